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
	// TickInterval is how often the driver calls Tick.
	TickInterval = 10 * time.Millisecond
	// PauseThreshold is the gap between two ticks after which the node takes itself
	// to have been frozen.
	PauseThreshold = time.Second

	// overloadTickGap is the gap between ticks from which a router is late itself.
	overloadTickGap = 3 * TickInterval
	// minPlacementRetryDelay is after how long an unanswered ask is sent again: a datagram or
	// its answer was lost. Ten round trips between places of a region.
	minPlacementRetryDelay = 20 * time.Millisecond
	// minPlacementTimeout is after how long a router decides for itself, and maxPlacementTimeout the same where
	// answers are seen to take longer: a quarter of a patient target.
	minPlacementTimeout = 45 * time.Millisecond
	maxPlacementTimeout = 250 * time.Millisecond
	// silentRouterExclusion is how long a router that did not answer an ask is passed over,
	// unless it is heard again.
	silentRouterExclusion = 2 * time.Second
	// noteDelay is how long news wait for company on the way to the scheduler.
	noteDelay = 8 * time.Millisecond
	// contentFetchPause is the pause between two reads of the store's content from peers, and
	// contentFetchTimeout how long one may take before another peer is asked beside it: hundreds of
	// routers read some megabytes from the same few at once.
	contentFetchPause   = 100 * time.Millisecond
	contentFetchTimeout = time.Second
	// watcherFetchDelay is how long the own watch has to tell what a peer knows already;
	// fetchJitter is over how long routers that do not watch spread their reads.
	watcherFetchDelay = 200 * time.Millisecond
	fetchJitter       = 40 * time.Millisecond
	// maxReportedParts is how many lately read prompt parts a regular message tells at most.
	maxReportedParts = 400
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
	Shares    bool // organisations are all alike, whatever they had
	Parts     bool // nothing is known of what engines keep
	Fetch     bool // kept parts are never fetched from another engine
	Refusals  bool // nobody is refused for the wait
	Scheduler bool // each router decides alone
	ConnReuse bool // kept connections are not preferred
	Learning  bool // what is believed of engines' times before anything is seen stays
}

// Node is one router's dispatch state. One goroutine owns it.
type Node struct {
	settings         Settings
	place            version.ID
	members          *member.Table
	catalogue        Catalogue
	pools            map[version.ID]*pool
	inflight         map[uint64]*flight
	budgets          map[version.ID]*retryBudget
	rankings         map[version.ID]*ranking
	silent           map[wire.NodeID]time.Time // until when a router is passed over
	newerContent     map[wire.NodeID]newerContent
	readParts        []wire.HeldPart // since the last regular message
	unreportedUsage  unaskedWork
	demands          demands
	shareUpdates     words
	replyRTT         roundTrip
	timedOutRequests map[uint64]givenUp // by the request's number
	reports          reports
	crashes          *quarantine.Tracker
	quorum           quorum
	leavingUpstreams leavingUpstreams

	upstreamPlaces map[string]bool // in which upstreams stand

	notes      map[wire.NodeID][]wire.WorkNote
	notesDue   time.Time
	heartbeats heartbeats
	demandSums fleetDemands
	startedAt  time.Time

	firstReadDelay time.Duration // after the start, when no table was heard of

	store            storeReadings
	fetchDue         time.Time
	lastTick         time.Time
	overloaded       bool // this router is short of processor, or its last tick came late
	cpuStrained      bool
	lastReceivedAt   time.Time // any router
	lastSilenceAt    time.Time // a scheduler was taken for silent
	lateness         lateness
	recordedUsageDue time.Time
	loadsUpdatedAt   time.Time // when stated loads were last worked off
	leaving          bool
	rnd              *rand.Rand
	outbox           member.Outbox
	out              []Output
	Counts           Counts
}

// ahead is a peer's later knowledge of the store's content.
type newerContent struct {
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
		settings:         set,
		place:            version.IDOf(set.Place),
		members:          member.New(self, set.Seeds, now, rnd),
		pools:            map[version.ID]*pool{},
		inflight:         map[uint64]*flight{},
		budgets:          map[version.ID]*retryBudget{},
		silent:           map[wire.NodeID]time.Time{},
		rankings:         map[version.ID]*ranking{},
		newerContent:     map[wire.NodeID]newerContent{},
		store:            newStoreReadings(),
		notes:            map[wire.NodeID][]wire.WorkNote{},
		lastTick:         now,
		rnd:              rnd,
		unreportedUsage:  newUnaskedWork(),
		demands:          demands{},
		shareUpdates:     newWords(),
		timedOutRequests: map[uint64]givenUp{},
		reports:          newReports(),
		leavingUpstreams: leavingUpstreams{},
		crashes:          quarantine.NewTracker(set.ID),
		startedAt:        now,
		firstReadDelay:   firstReadDelayOf(set, rnd),
		heartbeats:       heartbeats{schedulers: map[version.ID]wire.NodeID{}, schedulerSince: map[version.ID]time.Time{}, schedulingSince: map[version.ID]time.Time{}},
		demandSums:       fleetDemands{},
	}
}

// Step takes one input.
func (n *Node) Step(in Input, now time.Time) {
	n.detectPause(now)
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
		n.applyCatalogue(in, now)
	case StoreRead:
		n.storeRead(in, now)
	case CacheUpdate:
		n.applyCacheUpdate(in, now)
	case CaughtUp:
		n.catalogue.AsOf = max(n.catalogue.AsOf, in.AsOf)
	case StoreUnreachable:
		n.store.failedAt = now
	case CPUOverload:
		n.cpuStrained = in.On
	case LoadShed:
		n.turned(in, now)
	case UpdateSettings:
		n.applySettings(in, now)
	case SnapshotFetched:
		n.applySnapshot(in, now)
	case Broke:
		n.broke(in, now)
	case ConnRefused:
		n.upstreamEnded(in.Instance, "connection refused", now)
	case Answered:
		n.crashes.Answered(in.Content, now)
	case Looked:
		n.healthChecked(in, now)
	case RetryAfter:
		n.retryAfter(in, now)
	case LeaveNotice:
		n.handleLeaveNotice(in.Instance, now)
	case FetchContentEnded:
		n.fetchDue = now.Add(contentFetchPause)
	case Leave:
		n.leave()
	}
}

// Tick moves time on. The driver calls it every TickInterval.
func (n *Node) Tick(now time.Time) {
	n.overloaded = n.cpuStrained || now.Sub(n.lastTick) > overloadTickGap
	n.detectPause(now)
	n.lastTick = now
	n.tickLate(now)
	n.tickStated(now)
	for _, s := range n.members.Tick(now) {
		n.outbox.Post(s)
	}
	n.tickFlights(now)
	n.tickFetch(now)
	n.tickUnasked(now)
	n.tickBooked(now)
	n.tickTakeover(now)
	n.tickReports(now)
	n.reportColdChanges(now)
	n.outbox.TellCrashes(n.members.Live(true), n.settings.ID, n.crashes.Tick(now))
	n.tickHeartbeat(now)
}

// Ready returns what to do after the inputs since the last call.
func (n *Node) Ready(now time.Time) []Output {
	if len(n.notes) > 0 && !now.Before(n.notesDue) {
		n.flushNotes()
	}
	n.reportCrashes()
	n.sendDatagrams()
	out := n.out
	n.out = nil
	return out
}

// detectPause notices that the process was frozen: what it believes of others'
// load is old, so it lets others decide until it has heard them.
func (n *Node) detectPause(now time.Time) {
	gap := now.Sub(n.lastTick)
	if gap <= PauseThreshold {
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

func (n *Node) applySettings(in UpdateSettings, now time.Time) {
	n.settings.Seeds = in.Seeds
	n.members.Meet(in.Seeds, now)
	n.settings.Cold = in.Cold
	if in.Retry != n.settings.Retry {
		n.settings.Retry = in.Retry
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
		if id != n.settings.ID {
			n.outbox.To(id)
		}
	}
	n.event(Event{Name: "leaving"})
}

// forgetDead forgets what routers had placed that are dead.
func (n *Node) forgetDead(now time.Time) {
	if dead := n.members.Dead(); len(dead) > 0 {
		n.forgetRouters(dead, now)
	}
	for id := range n.demands {
		if n.members.Get(id) == nil {
			delete(n.demands, id)
		}
	}
	n.demandSums.expire(now)
	for id := range n.store.byReader {
		if n.members.Get(id) == nil {
			delete(n.store.byReader, id)
		}
	}
}

// forgetRouters forgets what routers had placed, stated and told that are gone.
func (n *Node) forgetRouters(gone map[wire.NodeID]bool, now time.Time) {
	for _, p := range n.pools {
		p.dropRouters(gone, now)
	}
	for _, f := range n.inflight {
		f.orphan = f.orphan || gone[f.by] && f.placed != 0
	}
	for id := range gone {
		n.setLate(id, false)
		delete(n.newerContent, id)
		delete(n.store.unreachable, id)
	}
}

func (n *Node) event(e Event) { n.out = append(n.out, e) }

// work returns the work part of the datagram being filled for a router.
func (n *Node) work(id wire.NodeID) *wire.Work {
	d := n.outbox.To(id)
	if d.Work == nil {
		d.Work = &wire.Work{Late: n.lateness.told}
	}
	return d.Work
}

// seal hands every datagram over to be sent.
func (n *Node) sendDatagrams() {
	n.outbox.Seal(n.members, func(to wire.NodeID, d *wire.Datagram) {
		n.out = append(n.out, Send{To: to, Datagram: d})
	})
}

// Routers returns the live routers, this one among them.
func (n *Node) Routers() []wire.NodeID { return n.members.Live(true) }

// Heard reports whether any other router was ever heard.
func (n *Node) HasPeers() bool { return len(n.members.Live(true)) > 1 }
