package entry

import (
	"maps"
	"slices"
	"time"

	"github.com/silverswitch/silverswitch/internal/core/sched"
	"github.com/silverswitch/silverswitch/internal/core/wire"
	"github.com/silverswitch/silverswitch/internal/version"
)

// poolState is this router's side of one pool: what it holds there, and what the scheduler has
// and has not been sent.
type poolState struct {
	id          version.ID
	scheduler   wire.NodeID
	epoch       uint32 // of grant numbers; raised when the numbering restarts
	acked       uint32
	seq         uint32
	answeredSeq uint32 // last report that the scheduler answered
	lastSent    time.Time
	lastFull    time.Time
	answeredAt  time.Time // last reply, or the first report without one
	saturated   bool

	changedRows   map[version.ID]uint32 // by organisation: its row changed after this report
	changedHeld   map[heldKey]uint32    // its held count changed after this report
	progress      map[version.ID]bool
	lastProgress  time.Time
	held          map[version.ID]map[version.ID]uint32 // by organisation and upstream
	credits       map[version.ID]uint32                // by upstream
	creditsUntil  time.Time
	samples       map[version.ID]wire.Sample
	needFull      bool
	lastStart     time.Time // last request started in the pool
	previousStart time.Time // the one before it
	due           time.Time // latest time to report changes; zero without changes
}

// heldKey identifies one held count in a pool.
type heldKey struct{ org, up version.ID }

func (e *Entry) pool(id version.ID) *poolState {
	p := e.pools[id]
	if p == nil {
		p = &poolState{
			id:          id,
			changedRows: map[version.ID]uint32{},
			changedHeld: map[heldKey]uint32{},
			progress:    map[version.ID]bool{},
			held:        map[version.ID]map[version.ID]uint32{},
			credits:     map[version.ID]uint32{},
			samples:     map[version.ID]wire.Sample{},
		}
		e.pools[id] = p
	}
	return p
}

func (p *poolState) markRow(org version.ID) { p.changedRows[org] = p.seq }

func (p *poolState) requireFull() { p.needFull = true }

func (p *poolState) markProgress(org version.ID) { p.progress[org] = true }

func (p *poolState) hold(org, up version.ID) {
	if p.held[org] == nil {
		p.held[org] = map[version.ID]uint32{}
	}
	p.held[org][up]++
	p.markHeld(org, up)
}

func (p *poolState) release(org, up version.ID, now time.Time) {
	p.held[org][up]--
	if p.held[org][up] == 0 {
		delete(p.held[org], up)
	}
	if len(p.held[org]) == 0 {
		delete(p.held, org)
	}
	if p.saturated {
		p.scheduleReport(now)
	} else {
		p.scheduleReport(now.Add(idleReportDelay))
	}
	p.markHeld(org, up)
}

// markHeld marks one held count as changed.
func (p *poolState) markHeld(org, up version.ID) {
	p.changedHeld[heldKey{org, up}] = p.seq
	p.markRow(org)
}

func (p *poolState) addSample(s wire.Sample) {
	old := p.samples[s.Upstream]
	if n := old.N + s.N; n > 0 {
		s.FirstMS = (old.FirstMS*old.N + s.FirstMS*s.N) / n
		s.GapMS = (old.GapMS*old.N + s.GapMS*s.N) / n
	}
	s.N += old.N
	s.Failed += old.Failed
	p.samples[s.Upstream] = s
}

// scheduleReport makes sure that a report is sent by a time.
func (p *poolState) scheduleReport(at time.Time) {
	if p.due.IsZero() || at.Before(p.due) {
		p.due = at
	}
}

func (p *poolState) dropCredits(up version.ID) {
	if p.credits[up] > 0 {
		delete(p.credits, up)
		p.markHeld(0, up)
	}
}

func (p *poolState) dropAllCredits() {
	for up := range p.credits {
		p.dropCredits(up)
	}
}

// startOnCredit starts a request at once if the router holds a standing credit for an upstream
// in the organisation's places, and no request of the organisation waits before it.
func (e *Entry) startOnCredit(f *trackedRequest, q *queue, now time.Time) bool {
	if q.position(f.Urgent) > 0 {
		return false
	}
	for _, id := range q.pools {
		p := e.pools[id]
		if p == nil || !now.Before(p.creditsUntil) {
			continue
		}
		for _, up := range slices.Sorted(maps.Keys(p.credits)) {
			if e.mayRun(f, p.id, up) {
				p.spendCredit(up)
				f.queue = q
				e.start(f, p, up, now)
				e.Counts.CreditsUsed++
				p.scheduleReport(now.Add(idleReportDelay))
				return true
			}
		}
	}
	return false
}

func (p *poolState) spendCredit(up version.ID) {
	p.credits[up]--
	if p.credits[up] == 0 {
		delete(p.credits, up)
	}
	p.markHeld(0, up)
}

// mayRun enforces the place rule at dispatch under the newest accepted version: the upstream is
// known, is not leaving, and is in an allowed place, as this router is.
func (e *Entry) mayRun(f *trackedRequest, pool, up version.ID) bool {
	u := e.ver.Upstreams[up]
	app := e.app(f.Request)
	if u == nil || app == nil || u.Pool != pool || u.Closed() || e.draining[up] {
		return false
	}
	return u.Service == app.Service && e.ver.Organisations[f.Org].Allows(u.Place)
}

func (e *Entry) start(f *trackedRequest, p *poolState, up version.ID, now time.Time) {
	f.running = true
	f.upstream = up
	f.pool = p.id
	p.previousStart, p.lastStart = p.lastStart, now
	p.hold(f.Org, up)
	e.Counts.Started++
	e.started = append(e.started, Start{ID: f.ID, Upstream: up})
}

// Grants handles a scheduler's reply. Grants from a router other than the current scheduler,
// and repeated, out-of-order or late grants, are not used.
func (e *Entry) Grants(from wire.NodeID, g *wire.Grants, now time.Time) {
	p := e.pools[g.Pool]
	if p == nil || from != p.scheduler || g.ReportSeq > p.seq || g.Epoch != p.epoch {
		return
	}
	p.answeredAt = now
	if g.Reset {
		p.restartNumbering()
		return
	}
	p.answeredSeq = max(p.answeredSeq, g.ReportSeq)
	p.dropAnswered()
	if g.Saturated && !p.saturated {
		p.scheduleReport(now) // changes that could wait before are urgent now
	}
	p.saturated = g.Saturated
	reportSent := e.startedAt.Add(time.Duration(g.ReportSentMS) * time.Millisecond)
	for _, grant := range g.List {
		if grant.No != p.acked+1 {
			continue
		}
		p.acked++
		p.scheduleReport(now.Add(ackReportDelay))
		e.useGrant(p, grant, now.Sub(reportSent) >= leaseOf(grant), now)
	}
	if g.Saturated {
		p.dropAllCredits()
	} else if to := reportSent.Add(sched.CreditLease); to.After(p.creditsUntil) {
		p.creditsUntil = to
	}
}

// restartNumbering restarts the numbering of grants. Earlier grants that were not accepted are
// void.
func (p *poolState) restartNumbering() {
	p.epoch++
	p.acked = 0
	p.dropAllCredits()
	p.needFull = true
}

// dropAnswered forgets the changes that were part of a report the scheduler has received.
func (p *poolState) dropAnswered() {
	for org, at := range p.changedRows {
		if at < p.answeredSeq {
			delete(p.changedRows, org)
		}
	}
	for k, at := range p.changedHeld {
		if at < p.answeredSeq {
			delete(p.changedHeld, k)
		}
	}
}

// leaseOf is how long a grant may be used, counted from the report that it answers.
func leaseOf(g wire.Grant) time.Duration {
	if g.Org == 0 {
		return sched.CreditLease
	}
	return sched.Lease
}

func (e *Entry) useGrant(p *poolState, g wire.Grant, late bool, now time.Time) {
	if late {
		e.Counts.GrantsLate += uint64(g.N)
		p.markRow(g.Org)
		return
	}
	if g.Org == 0 {
		p.credits[g.Upstream] += g.N
		p.markHeld(0, g.Upstream)
		return
	}
	p.markRow(g.Org)
	for range g.N {
		f := e.nextFor(p, g)
		if f == nil {
			e.Counts.GrantsReturned++
			continue
		}
		f.queue.accrue(now)
		f.queue.starts++
		e.dequeueStarted(f)
		e.start(f, p, g.Upstream, now)
		e.Counts.GrantsUsed++
	}
}

// nextFor returns the organisation's first waiting request if it may run at the upstream, or
// nil.
func (e *Entry) nextFor(p *poolState, g wire.Grant) *trackedRequest {
	u := e.ver.Upstreams[g.Upstream]
	if u == nil {
		return nil
	}
	q := e.queues[queueKey{g.Org, u.Service}]
	if q == nil {
		return nil
	}
	if f := q.head(); f != nil && e.mayRun(f, p.id, g.Upstream) {
		return f
	}
	return nil
}

// Tick refuses requests whose deadline has passed, and returns unused credits.
func (e *Entry) Tick(now time.Time) {
	if !now.Before(e.nextDeadline) {
		e.expire(now)
	}
	for _, p := range e.pools {
		if len(p.credits) > 0 && (!now.Before(p.creditsUntil) || now.Sub(p.lastStart) > creditIdleTimeout) {
			p.dropAllCredits()
			p.scheduleReport(now.Add(idleReportDelay))
		}
	}
}

// Woke gives up every credit after a pause of the process, since others may have taken the
// slots. Waiting requests are reported to the schedulers again.
func (e *Entry) Woke() {
	for _, p := range e.pools {
		p.dropAllCredits() // slots granted before the pause may belong to other routers by now
		p.requireFull()
	}
}
