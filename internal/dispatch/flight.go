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
type flight struct {
	req    Request
	avoid  []version.ID
	pool   version.ID
	try    uint32
	placed version.ID  // the upstream it has, 0 while it has none
	by     wire.NodeID // who placed it, or is asked
	work   int         // tokens the upstream is expected to read
	first  bool
	asked  time.Time
	sent   time.Time // of the last ask
	orphan bool      // the router that placed it has ended, and remembers nothing of it
	told   bool      // it was placed here, and the scheduler is told
}

// cost is the request's work as shares are counted.
func (f *flight) cost() float64 { return Cost(f.req.Input, f.req.Output) }

// arrive decides, or asks the service's scheduler to.
func (n *Node) arrive(r Request, now time.Time) {
	f := &flight{req: r, pool: serviceID(r.Service)}
	n.flights[r.ID] = f
	n.budget(f.pool).request(now)
	if p := n.pools[f.pool]; p != nil {
		p.here.ask(version.IDOf(r.Org), f.cost(), now)
	}
	n.route(f, now)
}

func (n *Node) route(f *flight, now time.Time) {
	p := n.pools[f.pool]
	f.try++
	f.placed = 0
	if p == nil {
		n.refuse(f, verdict{why: ReasonNoUpstream, after: maxComeBack}, n.set.ID)
		return
	}
	if f.req.Regions != nil && len(f.req.Regions) == 0 {
		n.refuse(f, verdict{why: ReasonRegions, after: maxComeBack}, n.set.ID)
		return
	}
	to := n.set.ID
	if n.asksScheduler(p, now) {
		to = n.schedulerOf(p.id, now)
	}
	if to == n.set.ID {
		n.decideHere(f, p, now)
		return
	}
	f.by, f.asked = to, now
	n.Counts.Asked++
	n.ask(f, now)
}

// asksScheduler reports whether a service's scheduler decides. The routers of a small fleet
// choose among a plain service's upstreams by themselves: they hear of each other's use
// every 200 ms. In a larger one that is too old for upstreams of a few slots; and what cold
// ones get is summed over all routers.
func (n *Node) asksScheduler(p *pool, now time.Time) bool {
	return (p.engine != nil || n.isLarge() || p.hasCold(now)) && !n.set.Without.Scheduler
}

func (n *Node) ask(f *flight, now time.Time) {
	f.sent = now
	w := n.work(f.by)
	w.Asks = append(w.Asks, n.askOf(f, now))
	w.Backoffs = n.allBackoffs(now)
	n.takeNotes(f.by, w)
}

func (n *Node) askOf(f *flight, now time.Time) wire.WorkAsk {
	r := &f.req
	return wire.WorkAsk{
		No:       r.ID,
		Try:      f.try,
		Service:  f.pool,
		Org:      version.IDOf(r.Org),
		Place:    n.place,
		Input:    uint32(r.Input),
		Output:   uint32(r.Output),
		AimMS:    leftMS(r.Aim, now),
		LeftMS:   leftMS(r.Deadline, now),
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

func leftMS(t, now time.Time) uint32 { return uint32(max(0, t.Sub(now).Milliseconds())) }

// decideHere decides on the own model: this router is the scheduler, the service
// is plain, or the scheduler does not answer.
func (n *Node) decideHere(f *flight, p *pool, now time.Time) {
	a := n.askOf(f, now)
	a.Backoffs = p.backoffs.list(now)
	p.alone = !n.KnowsFleet(now) || n.schedulerOf(p.id, now) != n.set.ID
	n.judgeCold(p, now)
	v := p.decide(n.set.ID, &a, now)
	p.alone = false
	f.told = n.countUnasked(p, &a, v.choice != nil, now)
	if v.choice == nil {
		n.refuse(f, v, n.set.ID)
		return
	}
	n.assign(f, v.choice.up, v.choice.source, n.set.ID, p.expectation(v.choice, now), now)
}

func (n *Node) assign(f *flight, u, source *upstream, by wire.NodeID, e expectation, now time.Time) {
	f.placed, f.by, f.work, f.first, f.orphan = u.id, by, e.work, false, false
	n.Counts.Placed++
	n.bookHere(f, f.cost(), now)
	o := Place{ID: f.req.ID, Instance: u.inst, By: by, WaitMS: e.waitMS, Work: e.work, OwnMS: e.ownMS, Revision: n.cat.Revision}
	if source != nil {
		o.Source = source.inst.Address
	}
	if e.cold {
		o.Cold, o.SendBy = true, now.Add(coldSendIn)
		n.Counts.PlacedCold++
	}
	if p := n.pools[f.pool]; p != nil {
		o.Look = p.cold.RequestsPerSecond > 0 && !o.Cold && (e.look || n.mayBeCut(by, p.id, now))
	}
	n.out = append(n.out, o)
}

// bookHere counts what was placed for this router's callers; a negative number takes it
// back.
func (n *Node) bookHere(f *flight, tokens float64, now time.Time) {
	if p := n.pools[f.pool]; p != nil {
		p.here.grant(version.IDOf(f.req.Org), tokens, now)
	}
}

func (n *Node) refuse(f *flight, v verdict, by wire.NodeID) {
	delete(n.flights, f.req.ID)
	n.Counts.Refused++
	n.out = append(n.out, Refuse{ID: f.req.ID, Reason: v.why, After: v.after, By: by, WaitMS: int(v.wait), LimitMS: int(v.limit), OwnMS: int(v.ownMS), Over: v.over, Revision: n.cat.Revision})
}

// waiting returns the requests without a place, in the order in which they came, so
// that the same inputs give the same decisions.
func (n *Node) waiting() []*flight {
	var out []*flight
	for _, f := range n.flights {
		if f.placed == 0 {
			out = append(out, f)
		}
	}
	slices.SortFunc(out, func(a, b *flight) int { return cmp.Compare(a.req.ID, b.req.ID) })
	return out
}

// tickFlights repeats asks that were not answered, and gives up on schedulers
// that stay silent.
func (n *Node) tickFlights(now time.Time) {
	for _, f := range n.waiting() {
		switch {
		case now.Sub(f.asked) >= n.patience(f):
			n.silentScheduler(f, now)
		case n.lateness.told:
			// The answer may wait unread here.
		case now.Sub(f.sent) >= n.trip.again():
			n.Counts.AskedAgain++
			n.ask(f, now)
		}
	}
}

// silentScheduler decides here instead of a scheduler that has not answered. A
// router that was heard since the ask is slow, not gone, and stays scheduler.
func (n *Node) silentScheduler(f *flight, now time.Time) {
	n.Counts.OwnDecision++
	n.gaveUp[f.req.ID] = givenUp{f.try, f.asked}
	if m := n.members.Get(f.by); n.mayBlame(now) && (m == nil || m.Heard.Before(f.asked)) {
		n.blame(f.by, now)
	}
	p := n.pools[f.pool]
	if p == nil {
		n.refuse(f, verdict{why: ReasonNoUpstream, after: maxComeBack}, n.set.ID)
		return
	}
	f.try++ // an answer that still comes is to an ask that is over
	org := version.IDOf(f.req.Org)
	if over := n.aloneOver(p, org, now); over >= 1 && len(f.avoid) == 0 && p.engine != nil {
		n.reports.countAlone(orgAt{p.id, org}, 0, false)
		n.refuse(f, verdict{why: ReasonCapacity, after: minComeBack, over: hundredths(over)}, n.set.ID)
		return
	}
	n.decideHere(f, p, now)
}

// mayBlame reports whether this router can tell whose silence it is. It cannot when it is
// late itself, or was a moment ago, nor when it has heard nobody since it last took one for silent: then it is
// cut off, or does not get to read. Load pattern: a flood at a small router; it took nine
// schedulers for silent in 0.6 s, and made itself one that knew of nothing.
func (n *Node) mayBlame(now time.Time) bool {
	return !n.lateness.told && (n.heardAt.After(n.blamedAt) || now.Sub(n.blamedAt) >= silentFor)
}

// blame passes a silent scheduler over for a while.
func (n *Node) blame(id wire.NodeID, now time.Time) {
	if until := n.silent[id]; now.After(until) {
		n.event(Event{Name: "scheduler-silent", Router: id, Detail: "decided here"})
	}
	n.blamedAt = now
	n.silent[id] = now.Add(silentFor)
	clear(n.ranks)
	n.members.Suspect(id, now)
}

// again looks for another upstream for a request.
func (n *Node) again(in Again, now time.Time) {
	f := n.flights[in.ID]
	if f == nil || f.placed == 0 {
		return
	}
	f.avoid = append(f.avoid, f.placed)
	n.tell(f, wire.WorkNote{No: f.req.ID, Event: in.Event}, now)
	if in.Event != wire.NoteUnused && !n.budget(f.pool).take(n.fleetSize(), n.demandOf(f.pool, now), now) {
		n.refuse(f, verdict{why: ReasonBudget, after: budgetComeBack}, n.set.ID)
		return
	}
	n.route(f, now)
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

func (n *Node) first(in First, now time.Time) {
	f := n.flights[in.ID]
	if f == nil || f.placed == 0 {
		return
	}
	f.first = true
	n.tell(f, wire.WorkNote{No: f.req.ID, Event: wire.NoteFirst, FirstMS: uint32(in.After.Milliseconds())}, now)
	if f.by == n.set.ID {
		n.toldRead(f.placed, f.req.Parts)
	}
}

func (n *Node) end(in End, now time.Time) {
	f := n.flights[in.ID]
	if f == nil {
		return
	}
	delete(n.flights, in.ID)
	if f.placed != 0 {
		n.tell(f, wire.WorkNote{No: f.req.ID, Event: in.Event}, now)
	}
}

// takeBackHere returns what was counted here for a placement that came to nothing, and
// tells the scheduler when the placement was not its own.
func (n *Node) takeBackHere(f *flight, now time.Time) {
	n.bookHere(f, -f.cost(), now)
	if f.by != n.set.ID || !f.told {
		return
	}
	n.unasked.add(orgAt{f.pool, version.IDOf(f.req.Org)}, 0, -f.cost())
}

// tell brings news of a run to the router that placed it.
func (n *Node) tell(f *flight, note wire.WorkNote, now time.Time) {
	if !f.first && (note.Event == wire.NoteUnused || wire.IsFailure(note.Event)) {
		n.takeBackHere(f, now)
	}
	n.sawRefusal(f, note.Event, now)
	if f.by == n.set.ID {
		if p := n.pools[f.pool]; p != nil {
			p.note(n.set.ID, note, now)
		}
		return
	}
	if len(n.notes) == 0 {
		n.noteDue = now.Add(noteDelay)
	}
	n.notes[f.by] = append(n.notes[f.by], note)
}

// takeNotes moves waiting news into a datagram that goes to their receiver.
func (n *Node) takeNotes(id wire.NodeID, w *wire.Work) {
	w.Notes = append(w.Notes, n.notes[id]...)
	delete(n.notes, id)
}

func (n *Node) flushNotes() {
	for id := range n.notes {
		n.takeNotes(id, n.work(id))
	}
}

// toldRead keeps what an upstream has read for the next regular message.
func (n *Node) toldRead(up version.ID, parts []wire.PromptPart) {
	for _, part := range parts {
		if len(n.read) >= maxTold {
			return
		}
		n.read = append(n.read, wire.HeldPart{Upstream: up, Part: part.Part, Tokens: part.Tokens})
	}
}
