package lab

import (
	"time"

	"github.com/silverswitch/silverswitch/internal/core"
	"github.com/silverswitch/silverswitch/internal/core/claim"
	"github.com/silverswitch/silverswitch/internal/core/entry"
	"github.com/silverswitch/silverswitch/internal/core/wire"
	"github.com/silverswitch/silverswitch/internal/version"
)

// Job is a request and its outcome.
type Job struct {
	Org        *version.Organisation
	App        string
	Host       *Host
	ID         uint64
	Key        *claim.Key
	Tokens     int
	Arrived    time.Time
	StartedAt  time.Time
	Upstream   *version.Upstream
	Starts     int
	Running    bool
	Ended      bool
	Refused    entry.Reason
	MayHaveRun bool // refused, but it is unknown whether the key has run
	done       func(*Job)
}

// start sends a job to an upstream, where it runs or waits for a slot, and counts starts
// outside the allowed places.
func (w *World) start(j *Job, up version.ID) {
	u := w.Version.Upstreams[up]
	j.Starts++
	w.Started++
	j.Upstream = u
	if up == w.ForbiddenUpstream {
		w.ForbiddenStarts++
	}
	if !j.Org.Allows(u.Place) || !j.Org.Allows(j.Host.Place) {
		w.Strays++
	}
	if w.Running[up] >= u.Slots {
		w.queued[up] = append(w.queued[up], j)
		return
	}
	w.runInSlot(j)
}

// runInSlot runs a job in a slot of its upstream.
func (w *World) runInSlot(j *Job) {
	j.Running, j.StartedAt = true, w.Now
	w.Running[j.Upstream.ID]++
	w.runningJobs[j] = true
	starts := j.Starts
	w.After(w.FirstTokenDelay+w.tokenInterval(j)*time.Duration(j.Tokens), func() {
		if j.Running && j.Starts == starts {
			w.finish(j)
		}
	})
}

// tokenInterval returns the time between a job's tokens at the speed of its upstream.
func (w *World) tokenInterval(j *Job) time.Duration {
	if s := w.Speed[j.Upstream.ID]; s > 0 {
		return time.Duration(float64(w.TokenInterval) / s)
	}
	return w.TokenInterval
}

// GeneratedTokens returns how many tokens a running job has generated so far.
func (w *World) GeneratedTokens(j *Job) float64 {
	n := int((w.Now.Sub(j.StartedAt) - w.FirstTokenDelay) / w.tokenInterval(j))
	return float64(min(max(n, 0), j.Tokens))
}

// finish ends a job that was answered and reports its cost and the time between its tokens
// to its router.
func (w *World) finish(j *Job) {
	units := float64(j.Tokens)
	w.stop(j)
	w.AnsweredRequests[j.Org.ID]++
	app := j.Org.Applications[j.App]
	if app.Unit == version.UnitAnswered {
		units = app.Worth
	}
	gap := uint32(min(w.tokenInterval(j).Milliseconds(), 75))
	w.Step(j.Host, core.Finish{ID: j.ID, Units: units, Sample: wire.Sample{N: 1, GapMS: gap}, Answered: true})
	w.end(j, func(*Job) {})
}

// stop ends a job at its upstream, records what it generated, and gives the slot to the
// next job that waits there.
func (w *World) stop(j *Job) {
	if !j.Running {
		return
	}
	w.ServedTokens[j.Org.ID] += w.GeneratedTokens(j)
	j.Running = false
	up := j.Upstream.ID
	w.Running[up]--
	delete(w.runningJobs, j)
	for len(w.queued[up]) > 0 {
		next := w.queued[up][0]
		w.queued[up] = w.queued[up][1:]
		if next.Host.Up {
			w.runInSlot(next)
			return
		}
	}
}

// end marks a job as ended, after set has stored its outcome, and calls its done function.
func (w *World) end(j *Job, set func(*Job)) {
	if j == nil || j.Ended {
		return
	}
	j.Ended = true
	set(j)
	delete(j.Host.jobs, j.ID)
	if j.done != nil {
		w.After(0, func() { j.done(j) })
	}
}
