package entry

import (
	"maps"
	"slices"
	"sort"
	"time"

	"github.com/silverswitch/silverswitch/internal/core/wire"
	"github.com/silverswitch/silverswitch/internal/version"
)

// ageUnit is the unit of Row.Old.
const ageUnit = 100 * time.Millisecond

// Outgoing is a report for a pool's scheduler.
type Outgoing struct {
	To     wire.NodeID
	Report wire.Report
}

// Reports returns the reports that are due. scheduler names the router that now
// schedules a pool; silent schedulers are returned for suspicion.
func (e *Entry) Reports(scheduler func(version.ID) wire.NodeID, now time.Time) (out []Outgoing, silent []wire.NodeID) {
	for _, id := range e.poolIDs() {
		p := e.pools[id]
		p.followScheduler(scheduler(id), now)
		if p.silent(now, e.hasWaiting(p)) {
			silent = append(silent, p.scheduler)
			p.answeredAt = now
		}
		if r, due := e.buildReport(p, now); due {
			out = append(out, Outgoing{To: p.scheduler, Report: r})
		}
	}
	return out, silent
}

func (e *Entry) poolIDs() []version.ID { return slices.Sorted(maps.Keys(e.pools)) }

// followScheduler follows a new scheduler: everything is told anew, and what the former
// one granted but was not used is void.
func (p *poolState) followScheduler(id wire.NodeID, now time.Time) {
	if id == p.scheduler {
		return
	}
	p.scheduler = id
	p.answeredAt = now
	p.restartNumbering()
}

// silent reports a scheduler that has left reports unanswered.
func (p *poolState) silent(now time.Time, waits bool) bool {
	return p.seq > p.answeredSeq && now.Sub(p.answeredAt) > delayFor(waits, schedulerTimeout, idleSchedulerTimeout)
}

func (p *poolState) busy() bool {
	return len(p.held) > 0 || len(p.credits) > 0 || len(p.changed) > 0
}

// unsent reports rows changed since the last report went out.
func (p *poolState) unsent() bool {
	for _, at := range p.changed {
		if at == p.seq {
			return true
		}
	}
	return false
}

// why says what makes a report due.
type reportReasons struct {
	progressDue bool // service received in a full pool
	full        bool // everything is told anew
	due         bool
}

func (e *Entry) reasons(p *poolState, now time.Time) reportReasons {
	since := now.Sub(p.lastSent)
	waits := e.hasWaiting(p)
	hurried := p.saturated || waits
	w := reportReasons{
		progressDue: p.saturated && len(p.progress) > 0 && now.Sub(p.lastProgress) >= progressInterval,
		full:        p.needFull || (p.busy() && now.Sub(p.lastFull) >= fullReportInterval),
	}
	again := p.seq > p.answeredSeq && len(p.changed) > 0 && since >= delayFor(hurried, resendInterval, idleResendInterval)
	alive := (waits && since >= keepAliveInterval) || (len(p.credits) > 0 && since >= creditKeepAliveInterval)
	asked := !p.due.IsZero() && !now.Before(p.due)
	late := p.unsent() && since >= delayFor(hurried, ackReportDelay, idleReportDelay)
	w.due = w.progressDue || w.full || again || alive || asked || late
	return w
}

// report returns the next report for a pool, if one is due.
func (e *Entry) buildReport(p *poolState, now time.Time) (wire.Report, bool) {
	w := e.reasons(p, now)
	if !w.due {
		return wire.Report{}, false
	}
	if p.seq == p.answeredSeq {
		p.answeredAt = now
	}
	orgs := e.rowsFor(p, w)
	p.markSent(w, now)
	r := wire.Report{
		Pool:         p.id,
		Seq:          p.seq,
		SentMS:       uint32(now.Sub(e.startedAt).Milliseconds()),
		Epoch:        p.epoch,
		Acked:        p.acked,
		Full:         w.full,
		WantsCredits: now.Sub(p.previousStart) < creditIdleTimeout,
		Samples:      p.takeSamples(),
	}
	for _, org := range orgs {
		r.Rows = append(r.Rows, e.row(p, org, now))
	}
	return r, true
}

// sent notes that a report goes out now.
func (p *poolState) markSent(w reportReasons, now time.Time) {
	p.seq++
	p.lastSent = now
	p.due = time.Time{}
	if w.full {
		p.needFull = false
		p.lastFull = now
	}
	if w.progressDue || w.full {
		p.lastProgress = now
		p.progress = map[version.ID]bool{}
	}
}

// pick returns the delay for a pool with a backlog, or for a quiet one.
func delayFor(busy bool, yes, no time.Duration) time.Duration {
	if busy {
		return yes
	}
	return no
}

func (e *Entry) hasWaiting(p *poolState) bool {
	for _, q := range e.queues {
		if q.len() > 0 && slices.Contains(q.pools, p.id) {
			return true
		}
	}
	return false
}

// rowsFor lists the organisations whose rows the report carries. A full report
// stays to be repeated until answered, like any changed row.
func (e *Entry) rowsFor(p *poolState, w reportReasons) []version.ID {
	set := map[version.ID]bool{}
	if w.full {
		for org := range p.held {
			p.changed[org] = p.seq
		}
		for _, q := range e.queues {
			if q.len() > 0 && slices.Contains(q.pools, p.id) {
				p.changed[q.key.org] = p.seq
			}
		}
		if len(p.credits) > 0 {
			p.changed[0] = p.seq
		}
		p.markAllHeld()
	}
	for org := range p.changed {
		set[org] = true
	}
	if w.progressDue {
		for org := range p.progress {
			set[org] = true
		}
	}
	return slices.Sorted(maps.Keys(set))
}

func (e *Entry) row(p *poolState, org version.ID, now time.Time) wire.Row {
	r := wire.Row{Org: org, NormService: e.normService[org]}
	r.Held = p.heldChanges(org)
	if org == 0 {
		return r
	}
	for _, q := range e.queues {
		if q.key.org != org || !slices.Contains(q.pools, p.id) {
			continue
		}
		r.Waiting += uint32(q.len())
		r.Urgent += uint32(len(q.urgent))
		if f := q.head(); f != nil {
			r.OldestAge = max(r.OldestAge, uint32(now.Sub(f.arrived)/ageUnit))
		}
	}
	return r
}

// markAllHeld marks everything held as changed, for a full report.
func (p *poolState) markAllHeld() {
	for up := range p.credits {
		p.changedHeld[heldKey{0, up}] = p.seq
	}
	for org, ups := range p.held {
		for up := range ups {
			p.changedHeld[heldKey{org, up}] = p.seq
		}
	}
}

// heldChanges lists an organisation's held counts that the scheduler may not know.
func (p *poolState) heldChanges(org version.ID) []wire.Held {
	var out []wire.Held
	for k := range p.changedHeld {
		if k.org != org {
			continue
		}
		n := p.held[org][k.up]
		if org == 0 {
			n = p.credits[k.up]
		}
		out = append(out, wire.Held{Upstream: k.up, N: n})
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Upstream < out[j].Upstream })
	return out
}

func (p *poolState) takeSamples() []wire.Sample {
	out := make([]wire.Sample, 0, len(p.samples))
	for _, s := range p.samples {
		out = append(out, s)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Upstream < out[j].Upstream })
	p.samples = map[version.ID]wire.Sample{}
	return out
}
