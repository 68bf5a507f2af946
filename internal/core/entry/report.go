package entry

import (
	"maps"
	"slices"
	"sort"
	"time"

	"github.com/silverswitch/silverswitch/internal/core/wire"
	"github.com/silverswitch/silverswitch/internal/version"
)

// ageUnit is the unit of wire.Row.OldestAge.
const ageUnit = 100 * time.Millisecond

// Outgoing is a report for a pool's scheduler.
type Outgoing struct {
	To     wire.NodeID
	Report wire.Report
}

// Reports returns the reports that are due. scheduler returns the router that schedules a pool
// now. Schedulers that do not answer are returned as silent, to be suspected.
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

// followScheduler switches to a new scheduler: everything is reported again, and unused grants
// of the former scheduler are void.
func (p *poolState) followScheduler(id wire.NodeID, now time.Time) {
	if id == p.scheduler {
		return
	}
	p.scheduler = id
	p.answeredAt = now
	p.restartNumbering()
}

// silent reports whether the scheduler has left reports unanswered for too long.
func (p *poolState) silent(now time.Time, waits bool) bool {
	return p.seq > p.answeredSeq && now.Sub(p.answeredAt) > delayFor(waits, schedulerTimeout, idleSchedulerTimeout)
}

func (p *poolState) busy() bool {
	return len(p.held) > 0 || len(p.credits) > 0 || len(p.changedRows) > 0
}

// unsent reports whether rows have changed since the last report was sent.
func (p *poolState) unsent() bool {
	for _, at := range p.changedRows {
		if at == p.seq {
			return true
		}
	}
	return false
}

// reportReasons says why a report is due.
type reportReasons struct {
	progressDue bool // service was received in a saturated pool
	full        bool // everything is reported again
	due         bool
}

func (e *Entry) reasons(p *poolState, now time.Time) reportReasons {
	since := now.Sub(p.lastSent)
	waits := e.hasWaiting(p)
	urgent := p.saturated || waits
	w := reportReasons{
		progressDue: p.saturated && len(p.progress) > 0 && now.Sub(p.lastProgress) >= progressInterval,
		full:        p.needFull || (p.busy() && now.Sub(p.lastFull) >= fullReportInterval),
	}
	resend := p.seq > p.answeredSeq && len(p.changedRows) > 0 && since >= delayFor(urgent, resendInterval, idleResendInterval)
	keepAlive := (waits && since >= keepAliveInterval) || (len(p.credits) > 0 && since >= creditKeepAliveInterval)
	scheduled := !p.due.IsZero() && !now.Before(p.due)
	overdue := p.unsent() && since >= delayFor(urgent, ackReportDelay, idleReportDelay)
	w.due = w.progressDue || w.full || resend || keepAlive || scheduled || overdue
	return w
}

// buildReport returns the next report for a pool, if one is due.
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

// markSent records that a report is sent now.
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

// delayFor returns the delay for a pool with a backlog, or for an idle one.
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

// rowsFor lists the organisations whose rows the report carries. The rows of a full report are
// repeated until answered, like any changed row.
func (e *Entry) rowsFor(p *poolState, w reportReasons) []version.ID {
	set := map[version.ID]bool{}
	if w.full {
		for org := range p.held {
			p.changedRows[org] = p.seq
		}
		for _, q := range e.queues {
			if q.len() > 0 && slices.Contains(q.pools, p.id) {
				p.changedRows[q.key.org] = p.seq
			}
		}
		if len(p.credits) > 0 {
			p.changedRows[0] = p.seq
		}
		p.markAllHeld()
	}
	for org := range p.changedRows {
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

// markAllHeld marks every held count as changed, for a full report.
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
