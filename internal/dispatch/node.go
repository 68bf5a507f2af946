// Package dispatch decides for each request where it runs, or that it is refused, by the
// work it causes: tokens to prefill, memory, and the parts of its prompt that upstreams
// have cached. It is a pure state machine like internal/core: inputs go in by Step and
// Tick, outputs come out of Ready as values, and the time is an argument.
//
// One router at a time is the scheduler of a service's engines. It is found by rendezvous
// hashing over the live routers. All other routers send it placement requests, and keep
// their own copies of its model up to date from its messages; a router that gets no reply
// in time decides locally. In a small fleet, requests for plain services are placed by the
// router that received them. Where plain upstreams state their slots, requests wait in a queue
// for free ones (plainslots.go, plainqueue.go).
//
// An engine reads a prompt when it prefills it; a prompt is unread until its first event.
package dispatch

import (
	"math/rand/v2"
	"time"

	"github.com/silverswitch/silverswitch/internal/core/member"
	"github.com/silverswitch/silverswitch/internal/core/quarantine"
	"github.com/silverswitch/silverswitch/internal/core/wire"
	"github.com/silverswitch/silverswitch/internal/version"
)

// Timings of a node.
const (
	// TickInterval is how often the driver calls Tick.
	TickInterval = 10 * time.Millisecond
	// MaxTickGap is the gap between two ticks above which the node assumes that the
	// process was suspended.
	MaxTickGap = time.Second

	// overloadTickGap is the gap between two ticks above which this router counts as
	// overloaded.
	overloadTickGap = 3 * TickInterval
	// minPlacementRetryDelay is the shortest time after which an unanswered placement
	// request is sent again, since the request or its reply may have been lost. It is ten
	// round trips between places of a region.
	minPlacementRetryDelay = 20 * time.Millisecond
	// minPlacementTimeout is how long a router waits for a placement reply before it decides
	// locally. Where replies are seen to take longer it waits up to maxPlacementTimeout, a
	// quarter of a long latency target.
	minPlacementTimeout = 45 * time.Millisecond
	maxPlacementTimeout = 250 * time.Millisecond
	// silentRouterExclusion is how long a router that did not answer a placement request is
	// not chosen as scheduler, unless a message of it arrives earlier.
	silentRouterExclusion = 2 * time.Second
	// noteDelay is how long notifications for a scheduler are collected before they are sent.
	noteDelay = 8 * time.Millisecond
	// contentFetchPause is the pause between two fetches of the store's content from peers.
	// contentFetchTimeout is how long a fetch may take before another peer is asked as well:
	// hundreds of routers fetch some megabytes from the same few peers at once.
	contentFetchPause   = 100 * time.Millisecond
	contentFetchTimeout = time.Second
	// watcherFetchDelay is how long a router that watches the store waits for its own watch
	// to deliver what a peer already has. fetchJitter spreads the fetches of the other
	// routers.
	watcherFetchDelay = 200 * time.Millisecond
	fetchJitter       = 40 * time.Millisecond
	// maxReportedParts bounds the recently prefilled prompt parts in one heartbeat.
	maxReportedParts = 400
)

// Settings are the settings of a node. Only those in UpdateSettings change while the process
// runs.
type Settings struct {
	ID    wire.NodeID
	Inc   wire.Incarnation
	Place string
	Power uint32 // CPU of this router in thousandths of a core, 0 if unknown
	Seeds []wire.NodeID
	First bool // the whole fleet starts for the first time, so no callers are waiting
	Retry RetryRules
	Cold  ColdRules
	// Regions maps places to regions. A request that is restricted to regions runs only in
	// places of these regions.
	Regions map[string]string
	Seed    uint64 // of the node's random numbers

	Disabled Disabled // for ablation measurements
}

// Disabled lists the mechanisms that are switched off, to measure what each one contributes
// (internal/lab/tokens). Routers switch none off.
type Disabled struct {
	Shares    bool // all organisations are treated alike, whatever they have used
	Parts     bool // the engines' prefix caches are not modelled
	Fetch     bool // cached parts are never fetched from another engine
	Refusals  bool // no request is refused for its wait
	Scheduler bool // each router decides locally
	ConnReuse bool // upstreams with an idle connection are not preferred
	Learning  bool // the prior model of the engines' times stays in force
	// PlainSlots places requests for plain services without regard to slots.
	PlainSlots bool

	Pace         bool // the pace of running streams is not considered
	PaceRefusals bool // no request is refused for the pace of running streams
	GapWarnings  bool // congested engines are not avoided
}

// Node is one router's dispatch state. It is owned by one goroutine.
type Node struct {
	settings         Settings
	place            version.ID
	members          *member.Table
	catalogue        Catalogue
	pools            map[version.ID]*pool
	inflight         map[uint64]*inflightRequest
	budgets          map[version.ID]*retryBudget
	rankings         map[version.ID]*ranking
	excluded         map[wire.NodeID]time.Time // routers that are not chosen as scheduler, and until when
	newerContent     map[wire.NodeID]newerContent
	readParts        []wire.CachedPartUpdate // prefilled since the last heartbeat
	unreportedUsage  localUsage
	demands          demands
	shareUpdates     shareUpdates
	replyRTT         roundTrip
	timedOutRequests map[uint64]timedOutRequest // by request number
	reports          reports
	crashes          *quarantine.Tracker
	partViewAt       time.Time // of the last copy of the held parts
	quorum           quorum
	leavingUpstreams leavingUpstreams

	upstreamPlaces map[string]bool // places that have upstreams

	notes      map[wire.NodeID][]wire.ProgressNote
	notesDue   time.Time
	rejections map[wire.NodeID][]uint64 // requests that upstreams rejected, by the router to notify
	paceNotes  map[wire.NodeID][]wire.PaceNote
	heartbeats heartbeats
	demandSums fleetDemands
	startedAt  time.Time

	firstReadDelay time.Duration // after the start, while no store reading is known

	store             storeReadings
	fetchDue          time.Time
	lastTick          time.Time
	overloaded        bool // this router is short of CPU, or its last tick was late
	cpuStrained       bool
	lastReceivedAt    time.Time // when a datagram of any router was last received
	lastSilenceAt     time.Time // when a scheduler was last suspected because it did not reply
	overloadState     overloadState
	yielding          yielding
	streams           streamRecords
	streamSync        streamSync
	inheritedVersions map[version.ID]inheritedVersions // of services without a pool
	inheritedOutages  []inheritedOutage                // of services without a pool
	versionsKnown     bool                             // a list was taken into account
	historyDrop       historyDrop
	confirmation      confirmation
	listCheckedAt     time.Time // when the list was last known to be as new as the store's, or a peer's
	recordedUsageDue  time.Time
	loadsUpdatedAt    time.Time // when the stated loads were last reduced
	leaving           bool
	rnd               *rand.Rand
	outbox            member.Outbox
	sentMS            uint32 // this router's clock at the last Ready
	out               []Output
	Counts            Counts
}

// newerContent is what a peer has of the store's content beyond this router's.
type newerContent struct {
	revision uint64
	table    uint64    // table number, 0 if the peer did not state it
	due      time.Time // when to fetch it, if the own watch has not delivered it by then
}

// Counts are totals since the start. They are encoded as JSON under these names.
type Counts struct {
	Placed, Refused, Asked, AskedAgain, OwnDecision, OwnPlaced, AnswersLate, Woke, Ended, PlacedCold, Rejected, RefusedForPace uint64
	// StreamsRecorded and StreamsProved count requests that go on with a stream whose version was
	// recorded, or proved by the history of versions, as decided by this router.
	StreamsRecorded, StreamsProved uint64
	// StreamsUnknown and StreamsLost count refusals to go on with a stream: its software version
	// is unknown, or no upstream runs it.
	StreamsUnknown, StreamsLost uint64
	// StreamsElsewhere counts new streams that began elsewhere than at their home's version, and
	// VersionsOutOfUse how often this router took a version out of use.
	StreamsElsewhere, VersionsOutOfUse uint64
	// HistoriesDropped counts readings of the store's history that was dropped before its time.
	HistoriesDropped uint64
	// StoreConfirmations counts readings of the store, and RecordQueries questions to those that keep
	// records, before a conclusion from absence. StreamsUnconfirmed counts streams that would have gone
	// on if those had confirmed it.
	StoreConfirmations, RecordQueries, StreamsUnconfirmed uint64
}

// New returns a node that knows no other router yet.
func New(settings Settings, now time.Time) *Node {
	rnd := rand.New(rand.NewPCG(settings.Seed, uint64(settings.Inc)))
	self := wire.Update{ID: settings.ID, Inc: settings.Inc, Place: settings.Place, Power: settings.Power}
	return &Node{
		settings:          settings,
		place:             version.IDOf(settings.Place),
		members:           member.New(self, settings.Seeds, now, rnd),
		pools:             map[version.ID]*pool{},
		inflight:          map[uint64]*inflightRequest{},
		budgets:           map[version.ID]*retryBudget{},
		excluded:          map[wire.NodeID]time.Time{},
		rankings:          map[version.ID]*ranking{},
		newerContent:      map[wire.NodeID]newerContent{},
		store:             newStoreReadings(),
		notes:             map[wire.NodeID][]wire.ProgressNote{},
		rejections:        map[wire.NodeID][]uint64{},
		paceNotes:         map[wire.NodeID][]wire.PaceNote{},
		lastTick:          now,
		rnd:               rnd,
		unreportedUsage:   newLocalUsage(),
		demands:           demands{},
		shareUpdates:      newShareUpdates(),
		timedOutRequests:  map[uint64]timedOutRequest{},
		reports:           newReports(),
		leavingUpstreams:  leavingUpstreams{},
		crashes:           quarantine.NewTracker(settings.ID),
		startedAt:         now,
		firstReadDelay:    firstReadDelayOf(settings, rnd),
		heartbeats:        heartbeats{schedulers: map[version.ID]wire.NodeID{}, schedulerSince: map[version.ID]time.Time{}, schedulingSince: map[version.ID]time.Time{}},
		demandSums:        fleetDemands{},
		streams:           newStreamRecords(),
		inheritedVersions: map[version.ID]inheritedVersions{},
		confirmation:      confirmation{asked: map[runKey]time.Time{}},
		streamSync:        streamSync{queues: map[wire.NodeID][]streamRecord{}, groups: map[version.ID][]wire.NodeID{}, told: map[version.ID][]wire.NodeID{}},
	}
}

// Step processes one input.
func (n *Node) Step(in Input, now time.Time) {
	n.detectPause(now)
	switch in := in.(type) {
	case Receive:
		n.receive(in.Datagram, now)
	case Arrive:
		n.arrive(in.Request, now)
	case PlaceAgain:
		n.retryElsewhere(in, now)
	case PlaceBeside:
		n.placeBeside(in, now)
	case FirstEvent:
		n.firstEvent(in, now)
	case StreamPace:
		n.streamPace(in, now)
	case End:
		n.end(in, now)
	case Catalogue:
		n.applyCatalogue(in, now)
	case StoreRead:
		n.storeRead(in, now)
	case StoreHistory:
		n.storeHistory(in, now)
	case CacheUpdate:
		n.applyCacheUpdate(in, now)
	case CaughtUp:
		n.catalogue.AsOf = max(n.catalogue.AsOf, in.AsOf)
		n.listChecked(now)
	case StoreConfirmed:
		n.storeConfirmed(in, now)
	case StoreUnreachable:
		n.store.failedAt = now
	case CPUOverload:
		n.cpuStrained = in.On
		n.yielding.shedding(in.Shedding, now)
	case LoadShed:
		n.handleShedWork(in, now)
	case UpdateSettings:
		n.applySettings(in, now)
	case SnapshotFetched:
		n.applySnapshot(in, now)
	case AttemptIncomplete:
		n.attemptIncomplete(in, now)
	case ConnRefused:
		n.upstreamEnded(in.Instance, "connection refused", now)
	case Answered:
		n.crashes.Answered(in.Content, now)
	case PromptAnswered:
		n.promptAnswered(in, now)
	case HealthCheckFailed:
		n.healthCheckFailed(in, now)
	case RetryAfter:
		n.handleRetryAfter(in, now)
	case LeaveNotice:
		n.handleLeaveNotice(in.Instance, now)
	case FetchContentEnded:
		n.fetchDue = now.Add(contentFetchPause)
	case Leave:
		n.leave()
	}
}

// Tick advances the time. The driver calls it every TickInterval.
func (n *Node) Tick(now time.Time) {
	n.overloaded = n.cpuStrained || now.Sub(n.lastTick) > overloadTickGap
	n.detectPause(now)
	n.lastTick = now
	n.tickOverload(now)
	n.tickYielding(now)
	n.tickStatedLoads(now)
	for _, s := range n.members.Tick(now) {
		n.outbox.Add(s)
	}
	n.tickStreams(now)
	n.tickConfirmations(now)
	n.tickSlots(now)
	n.tickPlacementRequests(now)
	n.tickFetch(now)
	n.tickLocalUsage(now)
	n.tickRecordedUsage(now)
	n.tickTakeover(now)
	n.tickReports(now)
	n.reportColdChanges(now)
	n.outbox.SendCrashes(n.members.Live(true), n.settings.ID, n.crashes.Tick(now))
	n.outbox.SendParts(n.members.Live(true), n.settings.ID, n.crashes.TickParts(now))
	n.tickHeartbeat(now)
}

// Ready returns the outputs of all inputs since the last call.
func (n *Node) Ready(now time.Time) []Output {
	if len(n.notes) > 0 && !now.Before(n.notesDue) {
		n.flushNotes()
	}
	n.reportQuarantineChanges()
	n.sentMS = wire.ClockMS(now)
	n.sendDatagrams()
	out := n.out
	n.out = nil
	return out
}

// detectPause detects that the process was suspended. What the node knows of other routers'
// load is outdated then, so it lets others decide until it has received their messages.
func (n *Node) detectPause(now time.Time) {
	gap := now.Sub(n.lastTick)
	if gap <= MaxTickGap {
		return
	}
	n.wokeUp(n.lastTick, now)
	n.lastTick = now
	n.Counts.Woke++
	n.event(Event{Name: "woke", Value: uint64(gap.Milliseconds()), Detail: "milliseconds without a tick"})
	n.members.Refresh()
	n.overloaded = true // what it measures of what has waited includes the pause
	n.tickOverload(now)
	for _, p := range n.pools {
		p.expire(now)
	}
}

// applySettings applies the settings that may change while the process runs.
func (n *Node) applySettings(in UpdateSettings, now time.Time) {
	n.settings.Seeds = in.Seeds
	n.members.SetSeeds(in.Seeds, now)
	n.settings.Cold = in.Cold
	if in.Retry != n.settings.Retry {
		n.settings.Retry = in.Retry
		clear(n.budgets) // counting starts anew: at most one more window of retries is allowed
	}
}

// leave begins a planned stop and announces it to all live routers.
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

// forgetDead drops what is known of dead routers: their placements, loads and demand.
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

// forgetRouters drops the placements, stated loads and announcements of routers that are gone.
func (n *Node) forgetRouters(gone map[wire.NodeID]bool, now time.Time) {
	for _, p := range n.pools {
		p.dropRouters(gone, now)
		p.releaseRouters(gone)
	}
	for _, f := range n.inflight {
		f.orphan = f.orphan || gone[f.scheduler] && f.upstreamID != 0
	}
	for id := range gone {
		n.setOverloaded(id, false)
		delete(n.newerContent, id)
		delete(n.store.unreachable, id)
	}
}

func (n *Node) event(e Event) { n.out = append(n.out, e) }

// work returns the Dispatch part of the datagram that is being filled for a router.
func (n *Node) work(id wire.NodeID) *wire.Dispatch {
	d := n.outbox.To(id)
	if d.Dispatch == nil {
		d.Dispatch = &wire.Dispatch{Overloaded: n.overloadState.announced}
	}
	return d.Dispatch
}

// sendDatagrams hands all filled datagrams over to be sent.
func (n *Node) sendDatagrams() {
	n.outbox.Flush(n.members, func(to wire.NodeID, d *wire.Datagram) {
		if d.Parts != nil || d.Ping != nil || d.Ack != nil {
			d.SentMS = n.sentMS
		}
		n.out = append(n.out, Send{To: to, Datagram: d})
	})
}

// Routers returns the live routers, including this one.
func (n *Node) Routers() []wire.NodeID { return n.members.Live(true) }

// HasPeers reports whether any other live router is known.
func (n *Node) HasPeers() bool { return len(n.members.Live(true)) > 1 }
