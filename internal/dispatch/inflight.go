package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/silverswitch/silverswitch/internal/core/wire"
	"github.com/silverswitch/silverswitch/internal/routing"
	"github.com/silverswitch/silverswitch/internal/version"
)

// inflightRequest is a request that arrived at this router, from Arrive to End.
type inflightRequest struct {
	req           Request
	avoid         []version.ID
	service       version.ID
	try           uint32
	upstreamID    version.ID  // where it is placed, 0 while it is not placed
	placedVersion version.ID  // of that upstream, which may have left the list since
	scheduler     wire.NodeID // the router that placed it, or to which the placement request was sent
	work          int         // tokens that the upstream is expected to read
	firstEvent    bool
	arrivedAt     time.Time
	requestedAt   time.Time
	lastRequestAt time.Time // when the placement request was last sent
	orphan        bool      // the router that placed it has ended and has lost all knowledge of it
	queued        bool      // its scheduler, or this router, keeps it waiting for a slot
	waitUntil     time.Time // until then the scheduler is not asked again
	reported      bool      // it was placed here, and the scheduler has been informed

	version version.ID    // of upstreams that it has to keep to, 0 for any
	asked   []wire.NodeID // routers asked for that version that have not replied
	learn   versionsWait
	instead version.ID // version of its home, if its scheduler has placed it elsewhere
	beside  bool       // a second placement beside a first one: see PlaceBeside
}

// cost is the request's work as counted in shares.
func (f *inflightRequest) cost() float64 { return Cost(f.req.Input, f.req.Output) }

// arrive decides on a new request, or sends a placement request to the service's scheduler.
func (n *Node) arrive(r Request, now time.Time) {
	f := &inflightRequest{req: r, service: serviceID(r.Service), arrivedAt: now}
	n.inflight[r.ID] = f
	n.budget(f.service).countRequest(now)
	if p := n.pools[f.service]; p != nil {
		p.local.addRequest(version.IDOf(r.Org), f.cost(), now)
	}
	n.findPlacement(f, now)
}

func (n *Node) findPlacement(f *inflightRequest, now time.Time) {
	p := n.pools[f.service]
	f.try++
	f.upstreamID, f.queued, f.instead = 0, false, 0
	if p == nil {
		n.refuse(f, decision{reason: ReasonNoUpstream, retryAfter: maxRetryAfter}, n.settings.ID)
		return
	}
	if f.req.Regions != nil && len(f.req.Regions) == 0 {
		n.refuse(f, decision{reason: ReasonRegions, retryAfter: maxRetryAfter}, n.settings.ID)
		return
	}
	to := n.settings.ID
	if n.needsScheduler(p, now) || n.mustAskForStream(f, now) {
		to = n.schedulerOf(p.id, now)
	}
	if to == n.settings.ID {
		n.decideLocally(f, p, now)
		return
	}
	f.scheduler, f.requestedAt = to, now
	n.Counts.Asked++
	n.sendPlacementRequest(f, now)
}

// needsScheduler reports whether decisions for a service are made by its scheduler. The
// routers of a small fleet choose among a plain service's upstreams by themselves, since
// they learn of each other's use every 200 ms. In a larger fleet that information is too
// old for upstreams with few slots. Requests to cold upstreams have to be counted over all
// routers.
func (n *Node) needsScheduler(p *pool, now time.Time) bool {
	return (p.engine != nil || n.isLarge() || p.hasCold(now)) && !n.settings.Disabled.Scheduler
}

func (n *Node) sendPlacementRequest(f *inflightRequest, now time.Time) {
	f.lastRequestAt = now
	w := n.work(f.scheduler)
	w.PlacementRequests = append(w.PlacementRequests, n.placementRequest(f, now))
	n.attachStream(f, w, now)
	w.Backoffs = n.allBackoffs(now)
	n.attachNotes(f.scheduler, w)
}

func (n *Node) placementRequest(f *inflightRequest, now time.Time) wire.PlacementRequest {
	r := &f.req
	return wire.PlacementRequest{
		No:         r.ID,
		Try:        f.try,
		Service:    f.service,
		Org:        version.IDOf(r.Org),
		Place:      n.place,
		Input:      uint32(r.Input),
		Output:     uint32(r.Output),
		TargetMS:   remainingMS(r.TargetTime, now),
		DeadlineMS: remainingMS(r.Deadline, now),
		Priority:   uint8(min(max(r.Priority, 0), 255)),
		Parts:      r.Parts,
		Avoid:      f.avoid,
		Regions:    regionIDs(r.Regions),
		Stream:     r.Stream,
		Version:    f.version,
		Resumed:    r.Resumed,
	}
}

func regionIDs(names routing.Regions) (out []version.ID) {
	for _, name := range names {
		out = append(out, version.IDOf(name))
	}
	return out
}

func remainingMS(t, now time.Time) uint32 { return uint32(max(0, t.Sub(now).Milliseconds())) }

// decideLocally decides by this router's own model: this router is the scheduler, the
// service is plain, or the scheduler does not reply.
func (n *Node) decideLocally(f *inflightRequest, p *pool, now time.Time) {
	a := n.placementRequest(f, now)
	a.Backoffs = p.backoffs.list(now)
	if b := n.bindStream(p, &a, f.arrivedAt, now); b.reason != ReasonNone {
		if b.waits && f.awaitFor(maxConfirmWait, now) || b.reason == ReasonStreamUnknown && n.learnsVersions(p, now) && f.awaitVersions(now) {
			return
		}
		n.refuseStream(f, p, b, now)
		return
	}
	if a.Resumed {
		f.version = a.Version
		n.countBound(&a, n.settings.ID)
	}
	p.withoutScheduler = !n.KnowsFleet(now) || n.schedulerOf(p.id, now) != n.settings.ID
	n.prepareColdDecision(p, now)
	n.prepareSlots(p, now)
	v := p.decide(n.settings.ID, &a, now)
	n.settleQueue(p, now)
	p.withoutScheduler = false
	if v.queued {
		f.queued, f.scheduler = true, n.settings.ID
		return
	}
	f.reported = n.countLocalDecision(p, &a, v.choice != nil, now)
	if v.choice == nil {
		n.refuse(f, v, n.settings.ID)
		return
	}
	n.assign(f, v.choice.up, v.choice.source, n.settings.ID, p.expectation(v.choice, now), now)
}

func (n *Node) assign(f *inflightRequest, u, source *upstream, scheduler wire.NodeID, e expectation, now time.Time) {
	f.upstreamID, f.scheduler, f.work, f.firstEvent, f.orphan = u.id, scheduler, e.work, false, false
	f.placedVersion = u.version
	f.learn = versionsWait{}
	n.Counts.Placed++
	n.recordElsewhere(f, u, now)
	n.addLocalGrant(f, f.cost(), now)
	o := Placement{ID: f.req.ID, Instance: u.inst, By: scheduler, WaitMS: e.waitMS, PrefillTokens: e.work, PrefillMS: e.ownMS, Revision: n.catalogue.Revision}
	if source != nil {
		o.Source = source.inst.Address
	}
	if e.cold {
		o.Cold, o.SendBy = true, now.Add(coldSendTimeout)
		n.Counts.PlacedCold++
	}
	if p := n.pools[f.service]; p != nil {
		o.CheckHealth = p.cold.RequestsPerSecond > 0 && !o.Cold && (e.needsHealthCheck || n.mayBePartitioned(scheduler, p.id, now))
	}
	n.out = append(n.out, o)
}

// addLocalGrant counts what was placed for this router's callers; a negative number takes
// it back. A router short of CPU does not take back what never started, since callers leave and
// connections time out for its own sake: the less it sends of what it has placed, the less it may
// place.
//
// Load pattern: a flood at a router that is starved of CPU. It placed 2.4 million tokens by itself
// in three seconds, more than twice the organisation's share, because most callers left before
// their requests were sent; to other routers these requests seemed to keep all engines busy.
func (n *Node) addLocalGrant(f *inflightRequest, tokens float64, now time.Time) {
	if p := n.pools[f.service]; p != nil {
		p.local.addGrant(version.IDOf(f.req.Org), tokens, now)
	}
}

func (n *Node) refuse(f *inflightRequest, v decision, by wire.NodeID) {
	delete(n.inflight, f.req.ID)
	n.returnRepeat(f)
	n.Counts.Refused++
	switch v.reason {
	case ReasonStreamUnknown:
		n.Counts.StreamsUnknown++
	case ReasonStreamVersion:
		n.Counts.StreamsLost++
	}
	n.out = append(n.out, Refuse{ID: f.req.ID, Reason: v.reason, After: v.retryAfter, By: by, WaitMS: int(v.bestWaitMS), LimitMS: int(v.limitMS), PrefillMS: int(v.ownMS), SharePercent: v.usedShare, Revision: n.catalogue.Revision})
}

// unplacedRequests returns the requests without an upstream in the order of their arrival,
// so that the same inputs lead to the same decisions.
func (n *Node) unplacedRequests() []*inflightRequest {
	var out []*inflightRequest
	for _, f := range n.inflight {
		if f.upstreamID == 0 {
			out = append(out, f)
		}
	}
	slices.SortFunc(out, func(a, b *inflightRequest) int { return cmp.Compare(a.req.ID, b.req.ID) })
	return out
}

// tickPlacementRequests resends unanswered placement requests, and decides without
// schedulers that do not reply.
func (n *Node) tickPlacementRequests(now time.Time) {
	for _, f := range n.unplacedRequests() {
		switch {
		case n.waitsForVersions(f, now):
		case n.waitsForSlot(f, now):
		case now.Sub(f.requestedAt) >= n.replyTimeout(f):
			n.decideWithoutScheduler(f, now)
		case n.overloadState.announced:
			// The reply may already be here, not yet read.
		case now.Sub(f.lastRequestAt) >= n.replyRTT.resendDelay():
			n.Counts.AskedAgain++
			n.sendPlacementRequest(f, now)
		}
	}
}

// decideWithoutScheduler makes a local decision for a request whose scheduler has not
// replied. A router that has sent a datagram since the placement request is slow, not gone,
// and remains the scheduler.
func (n *Node) decideWithoutScheduler(f *inflightRequest, now time.Time) {
	n.Counts.OwnDecision++
	n.timedOutRequests[f.req.ID] = timedOutRequest{f.try, f.requestedAt}
	if m := n.members.Get(f.scheduler); n.maySuspectScheduler(now) && (m == nil || m.Received.Before(f.requestedAt)) {
		n.suspectScheduler(f.scheduler, now)
	}
	n.leaveQueue(f)
	p := n.pools[f.service]
	if p == nil {
		n.refuse(f, decision{reason: ReasonNoUpstream, retryAfter: maxRetryAfter}, n.settings.ID)
		return
	}
	f.try++ // a reply that still arrives belongs to an earlier attempt
	if n.askNextForStream(f, p, now) {
		return
	}
	org := version.IDOf(f.req.Org)
	if usedShare := n.localUsedShare(p, org, now); usedShare >= 1 && len(f.avoid) == 0 && p.engine != nil {
		n.reports.addDecision(serviceOrg{p.id, org}, 0, false)
		n.refuse(f, decision{reason: ReasonCapacity, retryAfter: minRetryAfter, usedShare: usedSharePercent(usedShare)}, n.settings.ID)
		return
	}
	n.decideLocally(f, p, now)
}

// maySuspectScheduler reports whether this router may take a silent scheduler for failed.
// It must not if it is overloaded itself, or was a moment ago, nor if it has received
// nothing from anyone since it last suspected a scheduler: then it is cut off, or does not
// get to read its datagrams.
//
// Load pattern: a flood at a small router. It took nine schedulers for failed within 0.6 s,
// and made itself a scheduler that knew nothing.
func (n *Node) maySuspectScheduler(now time.Time) bool {
	return !n.overloadState.announced && (n.lastReceivedAt.After(n.lastSilenceAt) || now.Sub(n.lastSilenceAt) >= silentRouterExclusion)
}

// suspectScheduler skips a silent scheduler for a while.
func (n *Node) suspectScheduler(id wire.NodeID, now time.Time) {
	if until := n.excluded[id]; now.After(until) {
		n.event(Event{Name: "scheduler-silent", Router: id, Detail: "decided here"})
	}
	n.lastSilenceAt = now
	n.excluded[id] = now.Add(silentRouterExclusion)
	clear(n.rankings)
	n.members.Suspect(id, now)
}

// retryElsewhere looks for another upstream for a request.
func (n *Node) retryElsewhere(in PlaceAgain, now time.Time) {
	f := n.inflight[in.ID]
	if f == nil || f.upstreamID == 0 {
		return
	}
	f.avoid = append(f.avoid, f.upstreamID)
	f.beside = false // its repeat was used
	n.sendNote(f, wire.ProgressNote{No: f.req.ID, Event: in.Event}, now)
	if in.Event != wire.ProgressUnused && !n.budget(f.service).allowRepeat(n.fleetSize(), n.demandRatio(f.service, now), now) {
		n.refuse(f, decision{reason: ReasonBudget, retryAfter: budgetRetryAfter}, n.settings.ID)
		return
	}
	n.findPlacement(f, now)
}

// returnRepeat gives back the repeat of a second placement that there was not.
func (n *Node) returnRepeat(f *inflightRequest) {
	if f.beside {
		n.budget(f.service).returnRepeat()
	}
}

// placeBeside looks for a second upstream for a request whose first one goes on with it.
func (n *Node) placeBeside(in PlaceBeside, now time.Time) {
	first := n.inflight[in.ID]
	if first == nil || first.upstreamID == 0 {
		n.out = append(n.out, Refuse{ID: in.NewID, Reason: ReasonCapacity, After: minRetryAfter, By: n.settings.ID})
		return
	}
	f := &inflightRequest{
		req: first.req, service: first.service, arrivedAt: first.arrivedAt, try: first.try, version: first.version,
		avoid: append(slices.Clone(first.avoid), first.upstreamID), beside: true,
	}
	f.req.ID = in.NewID
	for _, i := range in.Avoid[:min(len(in.Avoid), maxAvoidedBeside)] {
		f.avoid = append(f.avoid, version.IDOf(i.StartID()))
	}
	n.inflight[in.NewID] = f
	if !n.budget(f.service).allowRepeat(n.fleetSize(), n.demandRatio(f.service, now), now) {
		f.beside = false // nothing was spent
		n.refuse(f, decision{reason: ReasonBudget, retryAfter: budgetRetryAfter}, n.settings.ID)
		return
	}
	n.findPlacement(f, now)
}

// maxAvoidedBeside bounds the upstreams that a second placement avoids, beside those that the request
// was placed at.
const maxAvoidedBeside = 16

func (n *Node) budget(service version.ID) *retryBudget {
	b := n.budgets[service]
	if b == nil {
		b = newRetryBudget(n.settings.Retry)
		n.budgets[service] = b
	}
	return b
}

// fleetSize counts all known routers, alive or not, so that routers which lose contact with
// each other do not spend more of the retry budget together.
func (n *Node) fleetSize() int { return n.members.Known() }

func (n *Node) firstEvent(in FirstEvent, now time.Time) {
	f := n.inflight[in.ID]
	if f == nil || f.upstreamID == 0 {
		return
	}
	if !f.firstEvent && f.reported && f.scheduler == n.settings.ID {
		n.reportStart(f.service, version.IDOf(f.req.Org), f.cost())
	}
	first := !f.firstEvent
	f.firstEvent = true
	n.keepVersion(f)
	if first {
		n.recordStarted(f, now)
	}
	n.observeOwnAnswer(f, in.After, now)
	n.sendNote(f, wire.ProgressNote{No: f.req.ID, Event: wire.ProgressFirstEvent, FirstMS: uint32(in.After.Milliseconds())}, now)
	if f.scheduler == n.settings.ID {
		n.recordReadParts(f.upstreamID, f.req.Parts)
	}
}

func (n *Node) end(in End, now time.Time) {
	f := n.inflight[in.ID]
	if f == nil {
		return
	}
	delete(n.inflight, in.ID)
	if f.upstreamID != 0 {
		n.renewStream(f, now)
		n.sendNote(f, wire.ProgressNote{No: f.req.ID, Event: in.Event}, now)
		return
	}
	n.returnRepeat(f)
	n.leaveQueue(f)
}

// sendNote reports progress of a run to the router that placed it.
func (n *Node) sendNote(f *inflightRequest, note wire.ProgressNote, now time.Time) {
	n.noteRejection(f, &note, now)
	if !f.firstEvent && !n.overloadState.announced && (wire.IsFailure(note.Event) || note.Event == wire.ProgressUnused) {
		n.addLocalGrant(f, -f.cost(), now)
	}
	n.recordConnRefused(f, note.Event, now)
	if f.scheduler == n.settings.ID {
		if p := n.pools[f.service]; p != nil {
			p.note(n.settings.ID, note, now)
			n.placeWaiting(p, now)
		}
		return
	}
	if len(n.notes) == 0 {
		n.notesDue = now.Add(noteDelay)
	}
	n.notes[f.scheduler] = append(n.notes[f.scheduler], note)
}

// attachNotes moves pending notifications of progress into a datagram for their receiver.
func (n *Node) attachNotes(id wire.NodeID, w *wire.Dispatch) {
	w.ProgressNotes = append(w.ProgressNotes, n.notes[id]...)
	delete(n.notes, id)
	w.Rejected = append(w.Rejected, n.rejections[id]...)
	delete(n.rejections, id)
	n.attachPaceNotes(id, w)
}

func (n *Node) flushNotes() {
	for id := range n.notes {
		n.attachNotes(id, n.work(id))
	}
}

// recordReadParts keeps the prompt parts that an upstream has read for the next heartbeat.
func (n *Node) recordReadParts(up version.ID, parts []wire.PromptPart) {
	for _, part := range parts {
		if len(n.readParts) >= maxReportedParts {
			return
		}
		n.readParts = append(n.readParts, wire.CachedPartUpdate{Upstream: up, Part: part.Part, Tokens: part.Tokens})
	}
}
