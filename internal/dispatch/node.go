// Package dispatch decides where and whether each request runs, one by one, by
// the work it brings: tokens to read, memory, parts of prompts that upstreams
// keep. It is a pure state machine like internal/core: inputs by Step and Tick,
// outputs as values from Ready, time as an argument.
//
// One router at a time is the scheduler of a service's engines, found by
// rendezvous hashing over the live routers. All others ask it, and keep the same
// model warm from what it tells them; when it does not answer in time, a router
// decides for itself. Plain services are decided at once where a request came in.
package dispatch

import (
	"math/rand/v2"
	"time"

	"github.com/silverswitch/silverswitch/internal/core/member"
	"github.com/silverswitch/silverswitch/internal/core/quarantine"
	"github.com/silverswitch/silverswitch/internal/core/wire"
	"github.com/silverswitch/silverswitch/internal/version"
)

// Timing of a node.
const (
	// TickEvery is how often the driver calls Tick.
	TickEvery = 10 * time.Millisecond
	// PauseLimit is the gap between two ticks after which the node takes itself
	// to have been frozen.
	PauseLimit = time.Second

	// lateTick is the gap between ticks from which a router is late itself.
	lateTick = 3 * TickEvery
	// askAgain is after how long an unanswered ask is sent again: a datagram or
	// its answer was lost. Ten round trips between places of a region.
	askAgain = 20 * time.Millisecond
	// askGiveUp is after how long a router decides for itself, and askMost the same where
	// answers are seen to take longer: a quarter of a patient target.
	askGiveUp = 45 * time.Millisecond
	askMost   = 250 * time.Millisecond
	// silentFor is how long a router that did not answer an ask is passed over,
	// unless it is heard again.
	silentFor = 2 * time.Second
	// noteDelay is how long news wait for company on the way to the scheduler.
	noteDelay = 8 * time.Millisecond
	// fetchAgain is the pause between two reads of the store's content from peers, and
	// fetchPatience how long one may take before another peer is asked beside it: hundreds of
	// routers read some megabytes from the same few at once.
	fetchAgain    = 100 * time.Millisecond
	fetchPatience = time.Second
	// fetchAfter is how long the own watch has to tell what a peer knows already;
	// fetchSpread is over how long routers that do not watch spread their reads.
	fetchAfter  = 200 * time.Millisecond
	fetchSpread = 40 * time.Millisecond
	// maxTold is how many lately read prompt parts a regular message tells at most.
	maxTold = 400
)

// Settings of a node, fixed for the process.
type Settings struct {
	ID    wire.NodeID
	Inc   wire.Incarnation
	Place string
	Power uint32 // thousandths of a core this router has, 0 when unknown
	Seeds []wire.NodeID
	First bool // the whole fleet starts for the first time: no caller waits for it
	Retry RetryRules
	Cold  ColdRules
	// Regions is the region of each place. Requests that are bound to regions run in no
	// other place.
	Regions map[string]string
	Seed    uint64 // of the node's own random numbers

	Without Without // for measuring what each mechanism brings
}

// Without leaves mechanisms out, to measure what each brings (internal/lab/tokens).
// Routers leave out none.
type Without struct {
	Shares     bool // organisations are all alike, whatever they had
	Parts      bool // nothing is known of what engines keep
	Fetch      bool // kept parts are never fetched from another engine
	Refusals   bool // nobody is refused for the wait
	Scheduler  bool // each router decides alone
	Connection bool // kept connections are not preferred
	Learning   bool // what is believed of engines' times before anything is seen stays
}

// Node is one router's dispatch state. One goroutine owns it.
type Node struct {
	set     Settings
	place   version.ID
	members *member.Table
	cat     Catalogue
	pools   map[version.ID]*pool
	flights map[uint64]*flight
	budgets map[version.ID]*retryBudget
	ranks   map[version.ID]*ranking
	silent  map[wire.NodeID]time.Time // until when a router is passed over
	ahead   map[wire.NodeID]ahead
	read    []wire.CachedPartUpdate // since the last regular message
	unasked unaskedWork
	demands demands
	words   words
	trip    roundTrip
	gaveUp  map[uint64]givenUp // by the request's number
	reports reports
	crashes *quarantine.Tracker
	quorum  quorum
	leavers leavers

	upstreamPlaces map[string]bool // in which upstreams stand

	notes   map[wire.NodeID][]wire.ProgressNote
	noteDue time.Time
	beats   beats
	fleet   fleetDemands
	begun   time.Time

	firstLook time.Duration // after the start, when no table was heard of

	store     storeSights
	fetchDue  time.Time
	lastTick  time.Time
	late      bool // this router is short of processor, or its last tick came late
	strained  bool
	heardAt   time.Time // any router
	blamedAt  time.Time // a scheduler was taken for silent
	lateness  lateness
	bookedDue time.Time
	worked    time.Time // when stated loads were last worked off
	leaving   bool
	rnd       *rand.Rand
	box       member.Outbox
	out       []Output
	Counts    Counts
}

// ahead is a peer's later knowledge of the store's content.
type ahead struct {
	revision uint64
	table    uint64    // number, 0 when it was not told
	due      time.Time // when to read from it, if the own watch has not told
}

// Counts are totals since the start.
type Counts struct {
	Placed, Refused, Asked, AskedAgain, OwnDecision, OwnPlaced, AnswersLate, Woke, Ended, PlacedCold uint64
}

// New returns a node that has heard nobody.
func New(set Settings, now time.Time) *Node {
	rnd := rand.New(rand.NewPCG(set.Seed, uint64(set.Inc)))
	self := wire.Update{ID: set.ID, Inc: set.Inc, Place: set.Place, Power: set.Power}
	return &Node{
		set:       set,
		place:     version.IDOf(set.Place),
		members:   member.New(self, set.Seeds, now, rnd),
		pools:     map[version.ID]*pool{},
		flights:   map[uint64]*flight{},
		budgets:   map[version.ID]*retryBudget{},
		silent:    map[wire.NodeID]time.Time{},
		ranks:     map[version.ID]*ranking{},
		ahead:     map[wire.NodeID]ahead{},
		store:     newStoreSights(),
		notes:     map[wire.NodeID][]wire.ProgressNote{},
		lastTick:  now,
		rnd:       rnd,
		unasked:   newUnaskedWork(),
		demands:   demands{},
		words:     newWords(),
		gaveUp:    map[uint64]givenUp{},
		reports:   newReports(),
		leavers:   leavers{},
		crashes:   quarantine.NewTracker(set.ID),
		begun:     now,
		firstLook: firstLookOf(set, rnd),
		beats:     beats{schedulers: map[version.ID]wire.NodeID{}, changed: map[version.ID]time.Time{}, since: map[version.ID]time.Time{}},
		fleet:     fleetDemands{},
	}
}

// Step takes one input.
func (n *Node) Step(in Input, now time.Time) {
	n.notePause(now)
	switch in := in.(type) {
	case Receive:
		n.receive(in.Datagram, now)
	case Arrive:
		n.arrive(in.Request, now)
	case Again:
		n.again(in, now)
	case First:
		n.first(in, now)
	case End:
		n.end(in, now)
	case Catalogue:
		n.catalogue(in, now)
	case Sighted:
		n.sighted(in, now)
	case Kept:
		n.kept(in, now)
	case Seen:
		n.cat.AsOf = max(n.cat.AsOf, in.AsOf)
	case Unsighted:
		n.store.failedAt = now
	case Strained:
		n.strained = in.On
	case Turned:
		n.turned(in, now)
	case NewSettings:
		n.newSettings(in, now)
	case Inherit:
		n.inherit(in, now)
	case Broke:
		n.broke(in, now)
	case ConnRefused:
		n.upstreamEnded(in.Instance, "connection refused", now)
	case Answered:
		n.crashes.Answered(in.Content, now)
	case Looked:
		n.looked(in, now)
	case RetryAfter:
		n.retryAfter(in, now)
	case SaysLeaving:
		n.saysLeaving(in.Instance, now)
	case FetchEnded:
		n.fetchDue = now.Add(fetchAgain)
	case Leave:
		n.leave()
	}
}

// Tick moves time on. The driver calls it every TickEvery.
func (n *Node) Tick(now time.Time) {
	n.late = n.strained || now.Sub(n.lastTick) > lateTick
	n.notePause(now)
	n.lastTick = now
	n.tickLate(now)
	n.tickStated(now)
	for _, s := range n.members.Tick(now) {
		n.box.Add(s)
	}
	n.tickFlights(now)
	n.tickFetch(now)
	n.tickUnasked(now)
	n.tickBooked(now)
	n.tickInherit(now)
	n.tickReports(now)
	n.tickCold(now)
	n.box.SendCrashes(n.members.Live(true), n.set.ID, n.crashes.Tick(now))
	n.tickBeat(now)
}

// Ready returns what to do after the inputs since the last call.
func (n *Node) Ready(now time.Time) []Output {
	if len(n.notes) > 0 && !now.Before(n.noteDue) {
		n.flushNotes()
	}
	n.reportCrashes()
	n.seal()
	out := n.out
	n.out = nil
	return out
}

// notePause notices that the process was frozen: what it believes of others'
// load is old, so it lets others decide until it has heard them.
func (n *Node) notePause(now time.Time) {
	gap := now.Sub(n.lastTick)
	if gap <= PauseLimit {
		return
	}
	n.lastTick = now
	n.Counts.Woke++
	n.event(Event{Name: "woke", Value: uint64(gap.Milliseconds()), Detail: "milliseconds without a tick"})
	n.members.Refresh()
	for _, p := range n.pools {
		p.expire(now)
	}
}

func (n *Node) newSettings(in NewSettings, now time.Time) {
	n.set.Seeds = in.Seeds
	n.members.Add(in.Seeds, now)
	n.set.Cold = in.Cold
	if in.Retry != n.set.Retry {
		n.set.Retry = in.Retry
		clear(n.budgets) // counted anew: a window's worth is allowed again at most
	}
}

func (n *Node) leave() {
	if n.leaving {
		return
	}
	n.leaving = true
	n.members.Leave()
	for _, id := range n.members.Live(true) {
		if id != n.set.ID {
			n.box.To(id)
		}
	}
	n.event(Event{Name: "leaving"})
}

// dropDead forgets what routers had placed that are dead.
func (n *Node) dropDead(now time.Time) {
	if dead := n.members.Dead(); len(dead) > 0 {
		n.forgetRouters(dead, now)
	}
	for id := range n.demands {
		if n.members.Get(id) == nil {
			delete(n.demands, id)
		}
	}
	n.fleet.expire(now)
	for id := range n.store.heard {
		if n.members.Get(id) == nil {
			delete(n.store.heard, id)
		}
	}
}

// forgetRouters forgets what routers had placed, stated and told that are gone.
func (n *Node) forgetRouters(gone map[wire.NodeID]bool, now time.Time) {
	for _, p := range n.pools {
		p.lost(gone, now)
	}
	for _, f := range n.flights {
		f.orphan = f.orphan || gone[f.by] && f.placed != 0
	}
	for id := range gone {
		n.setLate(id, false)
		delete(n.ahead, id)
		delete(n.store.blind, id)
	}
}

func (n *Node) event(e Event) { n.out = append(n.out, e) }

// work returns the work part of the datagram being filled for a router.
func (n *Node) work(id wire.NodeID) *wire.Dispatch {
	d := n.box.To(id)
	if d.Dispatch == nil {
		d.Dispatch = &wire.Dispatch{Overloaded: n.lateness.told}
	}
	return d.Dispatch
}

// seal hands every datagram over to be sent.
func (n *Node) seal() {
	n.box.Flush(n.members, func(to wire.NodeID, d *wire.Datagram) {
		n.out = append(n.out, Send{To: to, Datagram: d})
	})
}

// Routers returns the live routers, this one among them.
func (n *Node) Routers() []wire.NodeID { return n.members.Live(true) }

// Heard reports whether any other router was ever heard.
func (n *Node) Heard() bool { return len(n.members.Live(true)) > 1 }
