package dispatch

import (
	"fmt"
	"math"
	"time"

	"github.com/silverswitch/silverswitch/internal/core/wire"
	"github.com/silverswitch/silverswitch/internal/dispatch/pace"
	"github.com/silverswitch/silverswitch/internal/routing"
)

// Pace of running streams: what routers report of the time between events, and the model that
// is learned from it. See package pace.

// StreamPace reports the events of a request's stream: with 0 events when a gap first exceeds the
// target of the route or comes near it, and once when the stream has ended, before End.
type StreamPace struct {
	ID      uint64
	Events  int           // after the first one; 0 while the stream goes on
	Took    time.Duration // from the first event to the last
	Longest time.Duration // longest gap between two events
	Missed  bool          // a gap exceeded the target
}

func (StreamPace) input() {}

// poolPace is what a pool knows of the pace of its streams.
type poolPace struct {
	targetMS       float64 // the strictest target for the gap between events, 0 if there is none
	learner        pace.Learner
	misses         missCount
	streams        missCount  // streams that have ended, counted as misses are
	logged         pace.Model // as last written to the log
	invalidTable   uint64     // number of the last table with an invalid target
	active         bool       // in the current decision: the pace of streams is considered
	avoidCongested bool       // in the current decision: enough streams miss the target for congested engines to be avoided
	allowedHarm    float64    // in the current decision: the expected harm from which on a request is refused
	refused        int        // requests refused because of pace since the last log line
	lateEnd        int        // the same, because the stream would not end within its deadline
	logDue         time.Time
}

// missCount counts the streams that have missed the target lately. Where none do, whatever the
// model says, nothing is decided for the pace of streams.
type missCount struct {
	count float64
	at    time.Time
}

const (
	// minMisses is the number of misses from which on the pace of streams is considered: one
	// or two are accidents.
	minMisses = 3.0
	// missMemory is the time constant by which misses are forgotten. Decisions avoid further
	// ones, so that it has to be much longer than a peak of the load.
	missMemory = 2 * time.Minute
	// maxMissCount bounds a count, so that a long peak is not remembered for longer than another.
	maxMissCount = 100_000
	// minMissRatio is the fraction of streams that must have missed the target for congested
	// engines to be avoided: where one stream in a hundred misses it, single slow answers are the
	// cause, and prefill placed elsewhere would change decisions for nothing.
	minMissRatio = 0.04
	// minCongestionMisses is the number of misses from which on the fraction means anything: one
	// engine that stalls once makes all of its streams late.
	minCongestionMisses = 30.0
)

func (c *missCount) add(now time.Time) { c.count, c.at = min(c.now(now), maxMissCount)+1, now }

func (c *missCount) now(now time.Time) float64 {
	return c.count * math.Exp(-float64(now.Sub(c.at))/float64(missMemory))
}

// runPace is what is known of the pace of a run.
type runPace struct {
	events           float64   // expected after the first one
	firstAt          time.Time // of the first event
	placedAt         time.Time
	prefillAtFirstMS float64 // what the engine had prefilled by then
	late             bool    // a gap has exceeded the target
}

// strictestGapMS returns the lowest positive target for the gap between events of the routes
// that lead to a service, in milliseconds, 0 if there is none. invalid says that a route has a
// negative one.
func strictestGapMS(t *routing.Table, service string) (lowest float64, invalid bool) {
	for _, r := range t.Routes {
		for _, part := range r.Split {
			if part.Service != service || part.Weight <= 0 {
				continue
			}
			ms := float64(r.TargetGap) / float64(time.Millisecond)
			invalid = invalid || ms < 0
			if ms > 0 && (lowest == 0 || ms < lowest) {
				lowest = ms
			}
		}
	}
	return lowest, invalid
}

// updateGapTarget applies the target of a table.
func (n *Node) updateGapTarget(p *pool, t *routing.Table) {
	if p.engine == nil {
		return
	}
	targetMS, invalid := strictestGapMS(t, p.service)
	if invalid && p.pace.invalidTable != t.Number {
		p.pace.invalidTable = t.Number
		n.event(Event{Name: "gap-target-invalid", Value: t.Number, Detail: p.service + ": a negative target for the gap between events is ignored"})
	}
	if targetMS != p.pace.targetMS {
		n.event(Event{Name: "gap-target", Value: uint64(targetMS), Detail: p.service})
	}
	p.pace.targetMS = targetMS
}

// streamPace passes what was measured of a stream to the router that placed it.
func (n *Node) streamPace(in StreamPace, now time.Time) {
	f := n.inflight[in.ID]
	if f == nil || f.upstreamID == 0 {
		return
	}
	note := wire.PaceNote{No: in.ID, Events: wireCount(int64(in.Events)), MS: wireCount(in.Took.Milliseconds()), LongestMS: wireCount(in.Longest.Milliseconds()), Missed: in.Missed}
	if f.scheduler == n.settings.ID {
		if p := n.pools[f.service]; p != nil {
			p.paceNote(n.settings.ID, note, now)
		}
		return
	}
	if len(n.notes) == 0 {
		n.notesDue = now.Add(noteDelay)
	}
	if _, pending := n.notes[f.scheduler]; !pending {
		n.notes[f.scheduler] = nil // so that the datagram is sent when notes are due
	}
	n.paceNotes[f.scheduler] = append(n.paceNotes[f.scheduler], note)
}

func wireCount(x int64) uint32 { return uint32(min(max(x, 0), math.MaxUint32)) }

// attachPaceNotes moves pending reports on streams into a datagram for their receiver.
func (n *Node) attachPaceNotes(id wire.NodeID, w *wire.Dispatch) {
	w.PaceNotes = append(w.PaceNotes, n.paceNotes[id]...)
	delete(n.paceNotes, id)
}

// handlePaceNotes applies the reports of another router. Those about runs that are not known
// here are dropped.
func (n *Node) handlePaceNotes(from wire.NodeID, notes []wire.PaceNote, now time.Time) {
	for _, note := range notes {
		for _, p := range n.pools {
			if p.paceNote(from, note, now) {
				break
			}
		}
	}
}

// paceNote applies a report on a stream. It returns false if the run is unknown.
func (p *pool) paceNote(from wire.NodeID, note wire.PaceNote, now time.Time) bool {
	r := p.runs[runKey{from, note.No}]
	if r == nil {
		return false
	}
	suspect := r.entry.IsSuspect() || p.overloaded[from]
	if note.Events == 0 && !suspect {
		r.up.congestedAt = now
	}
	if note.Missed && !r.pace.late {
		r.pace.late = true
		r.up.streams.stale = true
		if !suspect {
			p.pace.misses.add(now)
		}
	}
	if note.Events > 0 && !suspect {
		p.pace.streams.add(now)
	}
	if p.engine == nil || note.Events == 0 || !r.firstEvent || r.pace.firstAt.IsZero() || suspect || p.disabled.Learning {
		return true
	}
	s := pace.Sample{Events: int(note.Events), MS: float64(note.MS), LongestMS: float64(note.LongestMS), Engine: uint32(r.up.id)}
	s.Busy = min(1, (r.up.pace.TotalMS()-r.pace.prefillAtFirstMS)/max(1, s.MS))
	r.up.pace.Observe(s, p.pace.learner.Model(), now)
	p.pace.learner.Add(s)
	return true
}

// paceFirstEvent records that an engine has prefilled the prompt of a run, whose first event came
// gotMS after it was placed. The prompts before it were prefilled in that time too; the base time
// of the model passes before the engine begins.
func (p *pool) paceFirstEvent(r *run, gotMS float64, now time.Time) {
	u := r.up
	if !r.entry.IsSuspect() {
		at := r.pace.placedAt.Add(time.Duration(min(gotMS, float64(now.Sub(r.pace.placedAt).Milliseconds())) * float64(time.Millisecond)))
		m := p.learner.Model()
		u.pace.Prefilled(r.pace.placedAt.Add(time.Duration(m.Base*u.queue.Slow(m, now)*float64(time.Millisecond))), at)
	}
	r.pace.firstAt, r.pace.prefillAtFirstMS = now, u.pace.TotalMS()
}

// eventsOf returns the expected number of events after the first one.
func (p *pool) eventsOf(outputTokens int) float64 {
	return max(0, float64(outputTokens-1)) / float64(max(1, p.engine.EventTokens))
}

// streamCount is the number of streams at an engine that a further prompt may make late.
type streamCount struct {
	count float64
	at    time.Time
	stale bool // a run was placed, ended or became late since
}

const (
	// streamCountAge is how long a count of streams is used while no run changes.
	streamCountAge = 50 * time.Millisecond
	// overdueEvents is the number of events that a stream is expected to have left when it has
	// lasted as long as expected. Expected lengths are often far off.
	overdueEvents = 0.5
)

// inTimeStreams returns the number of streams at an engine that have not missed the target and
// have events to come. Of streams that another router placed no more is known than that they
// run.
func (p *pool) inTimeStreams(u *upstream, now time.Time) float64 {
	c := &u.streams
	if !c.stale && now.Sub(c.at) < streamCountAge {
		return c.count
	}
	eventMS := max(1, p.pace.learner.Model().EventMS(u.pace.Slow(now), u.pace.Busy(now)))
	thousandths := 1000 * max(0, u.running()-len(u.runs)) // integers: the sum must not depend on the order of the map
	for _, r := range u.runs {
		if r.pace.late {
			continue
		}
		left := r.pace.events
		if !r.pace.firstAt.IsZero() {
			left = max(overdueEvents, left-float64(now.Sub(r.pace.firstAt).Milliseconds())/eventMS)
		}
		thousandths += int(1000 * min(1, left))
	}
	*c = streamCount{count: float64(thousandths) / 1000, at: now}
	return c.count
}

// paceModels returns what this router has learned or inherited of the pace of streams.
func (n *Node) paceModels() []wire.PaceModel {
	var out []wire.PaceModel
	for _, p := range n.pools {
		if m := p.pace.learner.Model(); p.engine != nil && m.Known() {
			out = append(out, wire.PaceModel{Service: p.id, Plain: float32(m.Plain), Prefill: float32(m.Prefill), Stall: float32(m.Stall), Samples: uint32(p.pace.learner.SampleCount())})
		}
	}
	return out
}

// handlePaceModels inherits the models of other routers that are based on more samples.
func (n *Node) handlePaceModels(models []wire.PaceModel) {
	for _, m := range models {
		if p := n.pools[m.Service]; p != nil && p.engine != nil {
			p.pace.learner.Inherit(pace.Model{Plain: float64(m.Plain), Prefill: float64(m.Prefill), Stall: float64(m.Stall)}, int(m.Samples))
		}
	}
}

// logPace logs the model of each service when it has changed by a fifth or more, and the
// refusals because of pace.
func (n *Node) logPace(now time.Time) {
	for _, p := range n.pools {
		if p.engine == nil {
			continue
		}
		m := p.pace.learner.Model()
		if m.Known() && (!p.pace.logged.Known() || ratioDiffers(m.Plain, p.pace.logged.Plain) || ratioDiffers(m.Prefill, p.pace.logged.Prefill)) {
			p.pace.logged = m
			n.event(Event{Name: "pace-model", Value: uint64(p.pace.learner.SampleCount()),
				Detail: fmt.Sprintf("%s: %.0f ms an event, %.0f ms while an engine prefills without a break, %.1f times as much in stalls, target %.0f ms", p.service, m.Plain, m.Prefill, m.Stall, p.pace.targetMS)})
		}
		n.logPaceRefusals(p, now)
	}
}

func ratioDiffers(a, b float64) bool { return max(a, b) > 1.2*min(a, b) }

// logPaceRefusals logs at most once a second how many requests were refused because of pace.
func (n *Node) logPaceRefusals(p *pool, now time.Time) {
	if p.pace.refused+p.pace.lateEnd == 0 || now.Before(p.pace.logDue) {
		return
	}
	p.pace.logDue = now.Add(reportInterval)
	n.Counts.RefusedForPace += uint64(p.pace.refused + p.pace.lateEnd)
	n.event(Event{Name: "refused-for-pace", Value: uint64(p.pace.refused + p.pace.lateEnd),
		Detail: fmt.Sprintf("%s: %d that would make other streams late, %d that would not end within their deadlines", p.service, p.pace.refused, p.pace.lateEnd)})
	p.pace.refused, p.pace.lateEnd = 0, 0
}

// PaceState is what is known of the pace of an upstream's streams, for status pages.
type PaceState struct {
	TargetMS    float64 `json:"target_ms"`
	EventMS     float64 `json:"event_ms"`         // expected without prefill
	PrefillMS   float64 `json:"event_prefill_ms"` // expected while the engine prefills without a break
	Slow        float64 `json:"slow"`
	Restricted  bool    `json:"restricted"` // prefill is placed so that streams stay in time
	BusyPercent int     `json:"busy_percent"`
	InTime      int     `json:"in_time"` // streams that have not missed the target
	Late        int     `json:"late"`
}

// paceState returns the state of an engine, nil while nothing is known.
func (p *pool) paceState(u *upstream, now time.Time) *PaceState {
	m := p.pace.learner.Model()
	if p.engine == nil || !m.Known() {
		return nil
	}
	slow := u.pace.Slow(now)
	s := &PaceState{TargetMS: p.pace.targetMS, EventMS: math.Round(slow * m.Plain), PrefillMS: math.Round(slow * m.Prefill), Slow: math.Round(100*slow) / 100,
		Restricted: m.Restricts(slow, p.pace.targetMS), BusyPercent: int(100 * u.pace.Busy(now))}
	for _, r := range u.runs {
		if r.pace.late {
			s.Late++
		} else {
			s.InTime++
		}
	}
	return s
}
