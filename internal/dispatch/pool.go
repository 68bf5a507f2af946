package dispatch

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/silverswitch/silverswitch/internal/core/wire"
	"github.com/silverswitch/silverswitch/internal/dispatch/prefill"
	"github.com/silverswitch/silverswitch/internal/routing"
	"github.com/silverswitch/silverswitch/internal/version"
)

// pool is this router's model of one service's upstreams. Every router keeps such a model;
// the decisions are those of the service's scheduler.
type pool struct {
	service   string
	id        version.ID
	engine    *routing.Engine // nil for a plain service
	upstreams map[version.ID]*upstream
	order     []*upstream // by ID
	places    map[version.ID]*placeSet
	// placeOrder has the places in sorted order, nil after a change.
	placeOrder    []*placeSet
	holders       holders
	candidateList candidateList
	openUpstreams int // neither leaving nor evacuated
	// statedBy has the upstreams for which a router last stated a load. statementSeq numbers
	// the statements.
	statedBy         map[wire.NodeID][]*upstream
	statementSeq     uint64
	hasEvacuations   bool // some place was evacuated as of the last catalogue
	runs             map[runKey]*run
	learner          *prefill.Learner // of the engines' times to the first event
	loggedModel      prefill.Model    // as last written to the log
	margin           float64          // as of the last report: see LeastServedPercent
	secondsReported  time.Time        // end of the last second in a SecondReport
	targetMS         float64          // the strictest target latency of the routes to it, in milliseconds, 0 if unknown
	baseline         baselineLatency  // of a plain service
	meter            *meter           // of the whole fleet, as far as this router decides
	local            *meter           // of the requests received by this router, whoever decided
	busy             busyMeter        // of prefilling
	urgency          urgency
	overloaded       map[wire.NodeID]bool // routers that announce that they are overloaded
	withoutScheduler bool                 // the current decision is not made by the fleet's scheduler
	disabled         Disabled
	pace             poolPace

	regions     map[string]string // by place
	cold        routing.Cold      // limits for cold upstreams
	mayMissCold bool              // in the current decision: updates on cold upstreams may be missing
	coldLimit   int               // in the current decision: requests per second at a cold upstream

	slots    *slotPool // nil unless it is a plain service whose instances state slots
	takeover takeoverState
	// organisations is the number of organisations in the routing table.
	organisations int
	history       versionHistory // of the upstreams' software
	records       serviceRecords
	unconfirmable bool          // nobody can confirm which versions there are
	listChanged   bool          // since the history was updated
	loggedMixed   bool          // several versions counted as of the last line in the log
	streamLife    time.Duration // the longest age of an unfinished stream
	uses          versionUses
	backoffs      backoffs // for this router
}

func newPool(s *routing.Service, tokensPerSecond float64) *pool {
	return &pool{
		service:     s.Name,
		id:          version.IDOf(s.Name),
		engine:      s.Engine,
		upstreams:   map[version.ID]*upstream{},
		places:      map[version.ID]*placeSet{},
		holders:     holders{},
		runs:        map[runKey]*run{},
		learner:     prefill.NewLearner(),
		loggedModel: prefill.Prior,
		baseline:    initialBaselineMS,
		meter:       newMeter(tokensPerSecond),
		local:       newMeter(tokensPerSecond),
		busy:        newBusyMeter(),
		margin:      1,
		overloaded:  map[wire.NodeID]bool{},
		backoffs:    backoffs{},

		statedBy: map[wire.NodeID][]*upstream{},

		listChanged: true,
		streamLife:  defaultStreamLife,
	}
}

// setInstances applies the full list of the service's instances. It returns the upstreams
// that are no longer listed.
func (p *pool) setInstances(list []routing.Instance) (gone []*upstream) {
	listed := make(map[version.ID]routing.Instance, len(list))
	for _, inst := range list {
		listed[version.IDOf(inst.StartID())] = inst
	}
	// In the order of IDs, so that each is appended to the sorted lists.
	for _, id := range slices.Sorted(maps.Keys(listed)) {
		p.put(listed[id])
	}
	for _, u := range p.order {
		if _, still := listed[u.id]; !still {
			gone = append(gone, u)
		}
	}
	for _, u := range gone {
		p.drop(u)
	}
	return gone
}

// put adds an instance or updates its entry.
func (p *pool) put(inst routing.Instance) {
	id := version.IDOf(inst.StartID())
	p.enableSlots(inst.Slots)
	p.listChanged = true
	if u := p.upstreams[id]; u != nil {
		inst.Draining = inst.Draining || u.inst.Draining
		u.inst = inst
		u.version = version.IDOf(inst.Version)
		return
	}
	u := newUpstream(inst, p.engine)
	if region, known := p.regions[inst.Place]; known {
		u.region = version.IDOf(region)
	}
	if u.cache != nil {
		u.cache.recorder = p.holders.recorderFor(u)
	}
	p.upstreams[id] = u
	p.order = insertSorted(p.order, u)
	p.placeSetOf(inst.Place).add(u)
}

// drop removes an upstream and the runs at it.
func (p *pool) drop(u *upstream) {
	for _, r := range u.runs {
		delete(p.runs, r.key)
	}
	if u.cache != nil {
		u.cache.clear()
	}
	delete(p.upstreams, u.id)
	p.listChanged = true
	delete(p.backoffs, u.id)
	p.order = removeSorted(p.order, u)
	set := u.set
	set.remove(u)
	if len(set.all) == 0 {
		delete(p.places, set.id)
		p.placeOrder = nil
	}
}

// note applies a notification on the progress of a run.
func (p *pool) note(from wire.NodeID, n wire.ProgressNote, now time.Time) {
	r := p.runs[runKey{from, n.No}]
	if r == nil {
		return
	}
	switch n.Event {
	case wire.ProgressFirstEvent:
		p.firstEvent(r, float64(n.FirstMS), now)
	case wire.ProgressDone:
		r.up.ejection.recordSuccess(now)
		p.markAnswered(r.up, now)
		p.versionAnswered(r, now)
		if p.engine != nil && !r.firstEvent { // its notification was lost
			p.meter.addStart(r.org, r.cost, now)
		}
		p.forget(r.key, true, now)
	case wire.ProgressFailed, wire.ProgressRefused:
		r.up.ejection.recordFailure(now)
		p.versionFailed(r, now)
		p.suspectRestart(r.up, n.Event == wire.ProgressRefused, now)
		p.refundUnstarted(r, n, now)
		p.forget(r.key, false, now)
	case wire.ProgressUnused:
		p.returnProbe(r, now)
		p.refundUnstarted(r, n, now)
		p.forget(r.key, false, now)
	}
}

// refundUnstarted gives an organisation back the cost of a run that its upstream never
// started. Otherwise engines that crash under one organisation's requests would reduce its
// share twice.
func (p *pool) refundUnstarted(r *run, n wire.ProgressNote, now time.Time) {
	if r.neverStarted(n) && !r.overtaken {
		p.meter.refund(r.org, r.cost, r.placedAt, now)
	}
}

// maxStartDelay is how much later than a run its upstream may have been given one that has
// started. Upstreams start requests in the order of arrival, so a run that is overtaken by more
// was not sent.
const maxStartDelay = 300 * time.Millisecond

// refundOvertaken takes back the cost of runs that were not sent, until they start. Shares
// compare what upstreams start, not what a router was allowed to send.
//
// Load pattern: a flood arrives through a router that is starved of CPU. It read the replies of
// the scheduler seconds late, when it had decided by itself or its callers had left.
func (p *pool) refundOvertaken(now time.Time) {
	for _, u := range p.inUse() {
		for _, r := range u.unread {
			if !r.overtaken && u.startedUpTo.Sub(r.placedAt) > maxStartDelay {
				r.overtaken = true
				p.meter.refund(r.org, r.cost, r.placedAt, now)
			}
		}
	}
}

// neverStarted reports whether a notification ends a run that had no event.
func (r *run) neverStarted(n wire.ProgressNote) bool {
	return !r.firstEvent && (wire.IsFailure(n.Event) || n.Event == wire.ProgressUnused)
}

// firstEvent records the first event of a run, gotMS after the request was sent.
func (p *pool) firstEvent(r *run, gotMS float64, now time.Time) {
	if r.firstEvent {
		return
	}
	r.firstEvent = true
	r.up.ejection.recordSuccess(now)
	p.markAnswered(r.up, now)
	p.versionAnswered(r, now)
	if p.engine == nil {
		r.up.markRead(r, now)
		if p.slotAnswer(r, gotMS, now) {
			return
		}
		r.up.observeLatency(gotMS, p.baseline.learn(gotMS), now)
		return
	}
	if r.overtaken {
		p.meter.addGrant(r.org, r.cost, now)
	}
	if r.placedAt.After(r.up.startedUpTo) {
		r.up.startedUpTo = r.placedAt
	}
	p.meter.addStart(r.org, r.cost, now)
	if r.entry.IsSuspect() {
		r.up.queue.CompleteAsExpected(r.entry, p.learner.Model(), now)
	} else if s, ok := r.up.queue.FirstEvent(r.entry, gotMS, p.learner.Model(), now); ok && !p.disabled.Learning {
		p.learner.Add(s)
	}
	p.paceFirstEvent(r, gotMS, now)
	r.up.markRead(r, now)
	for _, part := range r.parts {
		r.up.cache.add(part.Part, int(part.Tokens), true, now)
	}
	r.up.fit(now)
}

// forget ends a run. prefilled says that its prompt was prefilled.
func (p *pool) forget(k runKey, prefilled bool, now time.Time) {
	r := p.runs[k]
	if r == nil {
		return
	}
	delete(p.runs, k)
	r.up.endRun(r, prefilled, now)
	p.freeSlot(r, prefilled, now)
}

// dropRouters drops all placements and stated loads of routers that are gone.
func (p *pool) dropRouters(gone map[wire.NodeID]bool, now time.Time) {
	p.forgetWhere(func(r *run) bool { return gone[r.key.node] }, now)
	for id := range gone {
		p.applyLoads(id, nil, now)
	}
}

// expire drops runs whose end was never reported, and takes idle upstreams out of the
// working set.
func (p *pool) expire(now time.Time) {
	p.forgetWhere(func(r *run) bool { return now.After(r.until) }, now)
	for _, set := range p.places {
		set.shrink(now)
	}
}

// applyLoads replaces the load that a router states for the upstreams.
func (p *pool) applyLoads(from wire.NodeID, loads []wire.UpstreamLoad, now time.Time) {
	p.statementSeq++
	if p.slots != nil {
		p.slots.statedAt[from] = now
	}
	var stated []*upstream
	for _, l := range loads {
		u := p.upstreams[l.Upstream]
		if u == nil {
			continue
		}
		u.updateUsage(from, func(n *routerUsage) { n.load = l })
		u.markUsed(now)
		u.statementSeq = p.statementSeq
		stated = append(stated, u)
	}
	for _, u := range p.statedBy[from] {
		if u.statementSeq != p.statementSeq {
			u.updateUsage(from, func(n *routerUsage) { n.load = wire.UpstreamLoad{} })
		}
	}
	if len(stated) == 0 {
		delete(p.statedBy, from)
		return
	}
	p.statedBy[from] = stated
}

// forgetWhere ends runs in the order of their keys, so that the same inputs give the same
// decisions.
func (p *pool) forgetWhere(which func(*run) bool, now time.Time) {
	var keys []runKey
	for k, r := range p.runs {
		if which(r) {
			keys = append(keys, k)
		}
	}
	slices.SortFunc(keys, func(a, b runKey) int { return cmp.Or(cmp.Compare(a.node, b.node), cmp.Compare(a.no, b.no)) })
	for _, k := range keys {
		p.forget(k, false, now)
	}
}
