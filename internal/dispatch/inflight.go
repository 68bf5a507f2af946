package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/silverswitch/silverswitch/internal/core/wire"
	"github.com/silverswitch/silverswitch/internal/routing"
	"github.com/silverswitch/silverswitch/internal/version"
)

// flight is a request that came in at this router, from Arrive to End.
type inflightRequest struct {
	req           Request
	avoid         []version.ID
	service       version.ID
	try           uint32
	upstreamID    version.ID  // the upstream it has, 0 while it has none
	scheduler     wire.NodeID // who placed it, or is asked
	work          int         // tokens the upstream is expected to read
	firstEvent    bool
	requestedAt   time.Time
	lastRequestAt time.Time // of the last ask
	orphan        bool      // the router that placed it has ended, and remembers nothing of it
	reported      bool      // it was placed here, and the scheduler is told
}

// cost is the request's work as shares are counted.
func (f *inflightRequest) cost() float64 { return Cost(f.req.Input, f.req.Output) }

// arrive decides, or asks the service's scheduler to.
func (n *Node) arrive(r Request, now time.Time) {
	f := &inflightRequest{req: r, service: serviceID(r.Service)}
	n.flights[r.ID] = f
	n.budget(f.service).countRequest(now)
	if p := n.pools[f.service]; p != nil {
		p.here.addRequest(version.IDOf(r.Org), f.cost(), now)
	}
	n.findPlacement(f, now)
}

func (n *Node) findPlacement(f *inflightRequest, now time.Time) {
	p := n.pools[f.service]
	f.try++
	f.upstreamID = 0
	if p == nil {
		n.refuse(f, decision{reason: ReasonNoUpstream, retryAfter: maxRetryAfter}, n.set.ID)
		return
	}
	if f.req.Regions != nil && len(f.req.Regions) == 0 {
		n.refuse(f, decision{reason: ReasonRegions, retryAfter: maxRetryAfter}, n.set.ID)
		return
	}
	to := n.set.ID
	if n.needsScheduler(p, now) {
		to = n.schedulerOf(p.id, now)
	}
	if to == n.set.ID {
		n.decideLocally(f, p, now)
		return
	}
	f.scheduler, f.requestedAt = to, now
	n.Counts.Asked++
	n.sendPlacementRequest(f, now)
}

// needsScheduler reports whether a service's scheduler decides. The routers of a small fleet
// choose among a plain service's upstreams by themselves: they hear of each other's use
// every 200 ms. In a larger one that is too old for upstreams of a few slots; and what cold
// ones get is summed over all routers.
func (n *Node) needsScheduler(p *pool, now time.Time) bool {
	return (p.engine != nil || n.isLarge() || p.hasCold(now)) && !n.set.Without.Scheduler
}

func (n *Node) sendPlacementRequest(f *inflightRequest, now time.Time) {
	f.lastRequestAt = now
	w := n.work(f.scheduler)
	w.Asks = append(w.Asks, n.placementRequest(f, now))
	w.Backoffs = n.allBackoffs(now)
	n.attachNotes(f.scheduler, w)
}

func (n *Node) placementRequest(f *inflightRequest, now time.Time) wire.WorkAsk {
	r := &f.req
	return wire.WorkAsk{
		No:       r.ID,
		Try:      f.try,
		Service:  f.service,
		Org:      version.IDOf(r.Org),
		Place:    n.place,
		Input:    uint32(r.Input),
		Output:   uint32(r.Output),
		AimMS:    remainingMS(r.Aim, now),
		LeftMS:   remainingMS(r.Deadline, now),
		Priority: uint8(min(max(r.Priority, 0), 255)),
		Parts:    r.Parts,
		Avoid:    f.avoid,
		Regions:  regionIDs(r.Regions),
	}
}

func regionIDs(names routing.Regions) (out []version.ID) {
	for _, name := range names {
		out = append(out, version.IDOf(name))
	}
	return out
}

func remainingMS(t, now time.Time) uint32 { return uint32(max(0, t.Sub(now).Milliseconds())) }

// decideLocally decides on the own model: this router is the scheduler, the service
// is plain, or the scheduler does not answer.
func (n *Node) decideLocally(f *inflightRequest, p *pool, now time.Time) {
	a := n.placementRequest(f, now)
	a.Backoffs = p.backoffs.list(now)
	p.alone = !n.KnowsFleet(now) || n.schedulerOf(p.id, now) != n.set.ID
	n.judgeCold(p, now)
	v := p.decide(n.set.ID, &a, now)
	p.alone = false
	f.reported = n.countLocalDecision(p, &a, v.choice != nil, now)
	if v.choice == nil {
		n.refuse(f, v, n.set.ID)
		return
	}
	n.assign(f, v.choice.up, v.choice.source, n.set.ID, p.expectation(v.choice, now), now)
}

func (n *Node) assign(f *inflightRequest, u, source *upstream, scheduler wire.NodeID, e expectation, now time.Time) {
	f.upstreamID, f.scheduler, f.work, f.firstEvent, f.orphan = u.id, scheduler, e.work, false, false
	n.Counts.Placed++
	n.addLocalGrant(f, f.cost(), now)
	o := Place{ID: f.req.ID, Instance: u.inst, By: scheduler, WaitMS: e.waitMS, Work: e.work, OwnMS: e.ownMS, Revision: n.cat.Revision}
	if source != nil {
		o.Source = source.inst.Address
	}
	if e.cold {
		o.Cold, o.SendBy = true, now.Add(coldSendIn)
		n.Counts.PlacedCold++
	}
	if p := n.pools[f.service]; p != nil {
		o.Look = p.cold.PerSecond > 0 && !o.Cold && (e.needsHealthCheck || n.mayBeCut(scheduler, p.id, now))
	}
	n.out = append(n.out, o)
}

// addLocalGrant counts what was placed for this router's callers; a negative number takes it
// back.
func (n *Node) addLocalGrant(f *inflightRequest, tokens float64, now time.Time) {
	if p := n.pools[f.service]; p != nil {
		p.here.addGrant(version.IDOf(f.req.Org), tokens, now)
	}
}

func (n *Node) refuse(f *inflightRequest, v decision, by wire.NodeID) {
	delete(n.flights, f.req.ID)
	n.Counts.Refused++
	n.out = append(n.out, Refuse{ID: f.req.ID, Reason: v.reason, After: v.retryAfter, By: by, WaitMS: int(v.bestWaitMS), LimitMS: int(v.limitMS), OwnMS: int(v.ownMS), Over: v.over, Revision: n.cat.Revision})
}

// waiting returns the requests without a place, in the order in which they came, so
// that the same inputs give the same decisions.
func (n *Node) unplacedRequests() []*inflightRequest {
	var out []*inflightRequest
	for _, f := range n.flights {
		if f.upstreamID == 0 {
			out = append(out, f)
		}
	}
	slices.SortFunc(out, func(a, b *inflightRequest) int { return cmp.Compare(a.req.ID, b.req.ID) })
	return out
}

// tickPlacementRequests repeats asks that were not answered, and gives up on schedulers
// that stay silent.
func (n *Node) tickPlacementRequests(now time.Time) {
	for _, f := range n.unplacedRequests() {
		switch {
		case now.Sub(f.requestedAt) >= n.replyTimeout(f):
			n.decideWithoutScheduler(f, now)
		case n.lateness.announced:
			// The answer may wait unread here.
		case now.Sub(f.lastRequestAt) >= n.trip.resendDelay():
			n.Counts.AskedAgain++
			n.sendPlacementRequest(f, now)
		}
	}
}

// decideWithoutScheduler decides here instead of a scheduler that has not answered. A
// router that was heard since the ask is slow, not gone, and stays scheduler.
func (n *Node) decideWithoutScheduler(f *inflightRequest, now time.Time) {
	n.Counts.OwnDecision++
	n.gaveUp[f.req.ID] = timedOutRequest{f.try, f.requestedAt}
	if m := n.members.Get(f.scheduler); n.maySuspectScheduler(now) && (m == nil || m.Heard.Before(f.requestedAt)) {
		n.suspectScheduler(f.scheduler, now)
	}
	p := n.pools[f.service]
	if p == nil {
		n.refuse(f, decision{reason: ReasonNoUpstream, retryAfter: maxRetryAfter}, n.set.ID)
		return
	}
	f.try++ // an answer that still comes is to an ask that is over
	org := version.IDOf(f.req.Org)
	if over := n.localOver(p, org, now); over >= 1 && len(f.avoid) == 0 && p.engine != nil {
		n.reports.addDecision(serviceOrg{p.id, org}, 0, false)
		n.refuse(f, decision{reason: ReasonCapacity, retryAfter: minRetryAfter, over: overPercent(over)}, n.set.ID)
		return
	}
	n.decideLocally(f, p, now)
}

// maySuspectScheduler reports whether this router can tell whose silence it is. It cannot when it is
// late itself, or was a moment ago, nor when it has heard nobody since it last took one for silent: then it is
// cut off, or does not get to read. Load pattern: a flood at a small router; it took nine
// schedulers for silent in 0.6 s, and made itself one that knew of nothing.
func (n *Node) maySuspectScheduler(now time.Time) bool {
	return !n.lateness.announced && (n.heardAt.After(n.blamedAt) || now.Sub(n.blamedAt) >= silentFor)
}

// blame passes a silent scheduler over for a while.
func (n *Node) suspectScheduler(id wire.NodeID, now time.Time) {
	if until := n.silent[id]; now.After(until) {
		n.event(Event{Name: "scheduler-silent", Router: id, Detail: "decided here"})
	}
	n.blamedAt = now
	n.silent[id] = now.Add(silentFor)
	clear(n.ranks)
	n.members.Suspect(id, now)
}

// again looks for another upstream for a request.
func (n *Node) retryElsewhere(in Again, now time.Time) {
	f := n.flights[in.ID]
	if f == nil || f.upstreamID == 0 {
		return
	}
	f.avoid = append(f.avoid, f.upstreamID)
	n.sendNote(f, wire.WorkNote{No: f.req.ID, Event: in.Event}, now)
	if in.Event != wire.NoteUnused && !n.budget(f.service).allowRepeat(n.fleetSize(), n.demandRatio(f.service, now), now) {
		n.refuse(f, decision{reason: ReasonBudget, retryAfter: budgetRetryAfter}, n.set.ID)
		return
	}
	n.findPlacement(f, now)
}

// budget returns the retry budget of a service.
func (n *Node) budget(service version.ID) *retryBudget {
	b := n.budgets[service]
	if b == nil {
		b = newRetryBudget(n.set.Retry)
		n.budgets[service] = b
	}
	return b
}

// fleetSize counts every router known, alive or not, so that routers which lose
// sight of each other do not spend more together.
func (n *Node) fleetSize() int { return n.members.Known() }

func (n *Node) firstEvent(in First, now time.Time) {
	f := n.flights[in.ID]
	if f == nil || f.upstreamID == 0 {
		return
	}
	f.firstEvent = true
	n.sendNote(f, wire.WorkNote{No: f.req.ID, Event: wire.NoteFirst, FirstMS: uint32(in.After.Milliseconds())}, now)
	if f.scheduler == n.set.ID {
		n.recordReadParts(f.upstreamID, f.req.Parts)
	}
}

func (n *Node) end(in End, now time.Time) {
	f := n.flights[in.ID]
	if f == nil {
		return
	}
	delete(n.flights, in.ID)
	if f.upstreamID != 0 {
		n.sendNote(f, wire.WorkNote{No: f.req.ID, Event: in.Event}, now)
	}
}

// revertLocalGrant returns what was counted here for a placement that came to nothing, and
// tells the scheduler when the placement was not its own.
func (n *Node) revertLocalGrant(f *inflightRequest, now time.Time) {
	n.addLocalGrant(f, -f.cost(), now)
	if f.scheduler != n.set.ID || !f.reported {
		return
	}
	n.unasked.add(serviceOrg{f.service, version.IDOf(f.req.Org)}, 0, -f.cost())
}

// tell brings news of a run to the router that placed it.
func (n *Node) sendNote(f *inflightRequest, note wire.WorkNote, now time.Time) {
	if !f.firstEvent && (note.Event == wire.NoteUnused || wire.IsFailure(note.Event)) {
		n.revertLocalGrant(f, now)
	}
	n.sawRefusal(f, note.Event, now)
	if f.scheduler == n.set.ID {
		if p := n.pools[f.service]; p != nil {
			p.note(n.set.ID, note, now)
		}
		return
	}
	if len(n.notes) == 0 {
		n.noteDue = now.Add(noteDelay)
	}
	n.notes[f.scheduler] = append(n.notes[f.scheduler], note)
}

// attachNotes moves waiting news into a datagram that goes to their receiver.
func (n *Node) attachNotes(id wire.NodeID, w *wire.Work) {
	w.Notes = append(w.Notes, n.notes[id]...)
	delete(n.notes, id)
}

func (n *Node) flushNotes() {
	for id := range n.notes {
		n.attachNotes(id, n.work(id))
	}
}

// recordReadParts keeps what an upstream has read for the next regular message.
func (n *Node) recordReadParts(up version.ID, parts []wire.PromptPart) {
	for _, part := range parts {
		if len(n.read) >= maxTold {
			return
		}
		n.read = append(n.read, wire.HeldPart{Upstream: up, Part: part.Part, Tokens: part.Tokens})
	}
}
