package entry

import (
	"maps"
	"slices"
	"sort"
	"time"

	"github.com/silverswitch/silverswitch/internal/core/wire"
	"github.com/silverswitch/silverswitch/internal/version"
)

// oldUnit is the unit of Row.Old.
const oldUnit = 100 * time.Millisecond

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
		p.turnTo(scheduler(id), now)
		if p.silent(now, e.waitsIn(p)) {
			silent = append(silent, p.scheduler)
			p.answered = now
		}
		if r, due := e.report(p, now); due {
			out = append(out, Outgoing{To: p.scheduler, Report: r})
		}
	}
	return out, silent
}

func (e *Entry) poolIDs() []version.ID { return slices.Sorted(maps.Keys(e.pools)) }

// turnTo follows a new scheduler: everything is told anew, and what the former
// one granted but was not used is void.
func (p *poolView) turnTo(id wire.NodeID, now time.Time) {
	if id == p.scheduler {
		return
	}
	p.scheduler = id
	p.answered = now
	p.restart()
}

// silent reports a scheduler that has left reports unanswered.
func (p *poolView) silent(now time.Time, waits bool) bool {
	return p.seq > p.seen && now.Sub(p.answered) > pick(waits, silentFor, quietSilent)
}

func (p *poolView) busy() bool {
	return len(p.held) > 0 || len(p.credits) > 0 || len(p.changed) > 0
}

// unsent reports rows changed since the last report went out.
func (p *poolView) unsent() bool {
	for _, at := range p.changed {
		if at == p.seq {
			return true
		}
	}
	return false
}

// why says what makes a report due.
type why struct {
	moved bool // service received in a full pool
	full  bool // everything is told anew
	due   bool
}

func (e *Entry) reasons(p *poolView, now time.Time) why {
	since := now.Sub(p.lastSent)
	waits := e.waitsIn(p)
	hurried := p.tight || waits
	w := why{
		moved: p.tight && len(p.progress) > 0 && now.Sub(p.lastMoved) >= progressEvery,
		full:  p.needFull || (p.busy() && now.Sub(p.lastFull) >= fullEvery),
	}
	again := p.seq > p.seen && len(p.changed) > 0 && since >= pick(hurried, resendAfter, quietResend)
	alive := (waits && since >= keepAlive) || (len(p.credits) > 0 && since >= creditAlive)
	asked := !p.due.IsZero() && !now.Before(p.due)
	late := p.unsent() && since >= pick(hurried, ackDelay, quietDelay)
	w.due = w.moved || w.full || again || alive || asked || late
	return w
}

// report returns the next report for a pool, if one is due.
func (e *Entry) report(p *poolView, now time.Time) (wire.Report, bool) {
	w := e.reasons(p, now)
	if !w.due {
		return wire.Report{}, false
	}
	if p.seq == p.seen {
		p.answered = now
	}
	orgs := e.rowsFor(p, w)
	p.sent(w, now)
	r := wire.Report{
		Pool:  p.id,
		Seq:   p.seq,
		Asked: uint32(now.Sub(e.began).Milliseconds()),
		Epoch: p.epoch,
		Acked: p.acked,
		Full:  w.full,
		Want:  now.Sub(p.before) < creditIdle,
		Seen:  p.takeSamples(),
	}
	for _, org := range orgs {
		r.Rows = append(r.Rows, e.row(p, org, now))
	}
	return r, true
}

// sent notes that a report goes out now.
func (p *poolView) sent(w why, now time.Time) {
	p.seq++
	p.lastSent = now
	p.due = time.Time{}
	if w.full {
		p.needFull = false
		p.lastFull = now
	}
	if w.moved || w.full {
		p.lastMoved = now
		p.progress = map[version.ID]bool{}
	}
}

// pick returns the delay for a pool with a backlog, or for a quiet one.
func pick(busy bool, yes, no time.Duration) time.Duration {
	if busy {
		return yes
	}
	return no
}

func (e *Entry) waitsIn(p *poolView) bool {
	for _, q := range e.queues {
		if q.len() > 0 && slices.Contains(q.pools, p.id) {
			return true
		}
	}
	return false
}

// rowsFor lists the organisations whose rows the report carries. A full report
// stays to be repeated until answered, like any changed row.
func (e *Entry) rowsFor(p *poolView, w why) []version.ID {
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
		p.moveAll()
	}
	for org := range p.changed {
		set[org] = true
	}
	if w.moved {
		for org := range p.progress {
			set[org] = true
		}
	}
	return slices.Sorted(maps.Keys(set))
}

func (e *Entry) row(p *poolView, org version.ID, now time.Time) wire.Row {
	r := wire.Row{Org: org, Norm: e.norm[org]}
	r.Held = p.heldMoved(org)
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
			r.Old = max(r.Old, uint32(now.Sub(f.arrived)/oldUnit))
		}
	}
	return r
}

// moveAll marks everything held as changed, for a full report.
func (p *poolView) moveAll() {
	for up := range p.credits {
		p.moved[heldKey{0, up}] = p.seq
	}
	for org, ups := range p.held {
		for up := range ups {
			p.moved[heldKey{org, up}] = p.seq
		}
	}
}

// heldMoved lists an organisation's held counts that the scheduler may not know.
func (p *poolView) heldMoved(org version.ID) []wire.Held {
	var out []wire.Held
	for k := range p.moved {
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

func (p *poolView) takeSamples() []wire.Sample {
	out := make([]wire.Sample, 0, len(p.samples))
	for _, s := range p.samples {
		out = append(out, s)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Upstream < out[j].Upstream })
	p.samples = map[version.ID]wire.Sample{}
	return out
}
