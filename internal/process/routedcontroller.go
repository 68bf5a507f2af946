package process

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"github.com/silverswitch/silverswitch/internal/clock"
	"github.com/silverswitch/silverswitch/internal/conn"
	"github.com/silverswitch/silverswitch/internal/conn/relay"
	"github.com/silverswitch/silverswitch/internal/core/quarantine"
	"github.com/silverswitch/silverswitch/internal/core/wire"
	"github.com/silverswitch/silverswitch/internal/dispatch"
	"github.com/silverswitch/silverswitch/internal/memory"
	"github.com/silverswitch/silverswitch/internal/request/forward"
	"github.com/silverswitch/silverswitch/internal/routing"
)

// RoutedController runs the control state of the routed interface: a dispatch.Node and
// the view of the platform's store. A single control goroutine accesses both; all other
// goroutines use the methods of RoutedController, which queue work for it or read
// published copies. It implements forward.Control.
type RoutedController struct {
	id         wire.NodeID
	node       *dispatch.Node // control goroutine only
	view       *routing.View  // control goroutine only
	source     Source
	peerSocket *conn.PeerSocket
	sealer     *conn.Sealer
	exchanges  *conn.Exchanges
	log        zerolog.Logger
	nextID     atomic.Uint64
	controlLoop

	table            atomic.Pointer[routing.Table]
	ready            atomic.Bool
	watches          atomic.Bool
	asOf             atomic.Uint64
	scheduledEngines atomic.Pointer[[]routing.Instance] // engines that this router schedules
	neighbours       atomic.Pointer[[]relay.Peer]       // other live routers of the own place
	alone            atomic.Bool                        // no other live router is known
	leaving          atomic.Bool
	OnTable          func(routing.Limits) // called with the limits of each accepted table; set before Run
	limits           *limitsInForce       // what OnTable sets; set before Run

	tickets  map[uint64]*forward.Ticket // control goroutine only
	ticks    int                        // control goroutine only
	overload overloadDetector
	shed     shedTotals

	overloaded           bool                                   // control goroutine only: sheds load
	delaysMessages       bool                                   // control goroutine only: see overloadState.delaysMessages
	admitRatios          atomic.Pointer[map[serviceOrg]float64] // nil unless admission is limited
	serviceStates        atomic.Pointer[map[string]dispatch.ServiceState]
	admissionUntil       time.Time // control goroutine only
	quarantined          quarantineSnapshot
	availability         availability
	loggedUnknownService map[string]bool // control goroutine only: by instance start, where a missing service was logged
	publishedTable       *routing.Table  // control goroutine only: table of the last publication
	steadySince          time.Time       // control goroutine only: since when the source has been read without a gap
	listGap              bool            // control goroutine only: instances may have come and gone unseen since the last publication
	sourceChecks         chan struct{}   // asks the source watcher to read the source at once
	contentCache         contentCache
	peersContent         peersContent

	publications     atomic.Uint64 // number of times the view was published
	needsFullContent bool          // control goroutine only: the next fetch from a peer asks for the full content
	sent             sentMetrics
	maxRetryPauseNS  atomic.Int64
}

// Status is the control state as shown to operators.
type Status struct {
	Router    wire.NodeID              `json:"router"`
	Ready     bool                     `json:"ready"`
	Leaving   bool                     `json:"leaving"`
	Version   uint64                   `json:"version"`
	Revision  uint64                   `json:"revision"`
	Running   int                      `json:"requests"`
	Routers   []wire.NodeID            `json:"routers"`
	Upstreams []dispatch.UpstreamState `json:"upstreams"`
	Evacuated []routing.Evacuation     `json:"evacuated"`
	Held      []quarantine.HeldRequest `json:"held"`
	Counts    dispatch.Counts          `json:"counts"`
	// ListConfirmedMS is how long ago the list of upstreams was confirmed for a stream without a record,
	// in milliseconds, -1 if it never was.
	ListConfirmedMS int64 `json:"list_confirmed_ago_ms"`
	// LeastServed is the margin of fairness, in per cent: see dispatch.LeastServedPercent.
	LeastServed int                 `json:"least_served_percent"`
	Slots       dispatch.SlotStatus `json:"slots"`
	Capacity    []dispatch.Capacity `json:"capacity"` // of the services that this router schedules
	Role        dispatch.Role       `json:"role"`
	Memory      memory.Usage        `json:"memory"` // of requests; set by the daemon
}

// NewRoutedController returns a controller that is not running yet.
func NewRoutedController(set dispatch.Settings, source Source, peerSocket *conn.PeerSocket, sealer *conn.Sealer, exchanges *conn.Exchanges, log zerolog.Logger) *RoutedController {
	now := clock.System.Now()
	rc := &RoutedController{
		id:                   set.ID,
		node:                 dispatch.New(set, now),
		view:                 routing.NewView(),
		source:               source,
		peerSocket:           peerSocket,
		sealer:               sealer,
		exchanges:            exchanges,
		log:                  log,
		tickets:              map[uint64]*forward.Ticket{},
		overload:             overloadDetector{cores: float64(set.Power) / 1000},
		loggedUnknownService: map[string]bool{},
		sourceChecks:         make(chan struct{}, 1),
		sent:                 newSentMetrics(metrics.NewRegistry()),

		controlLoop: newControlLoop(now),
	}
	rc.watches.Store(rc.node.Watches(now))
	return rc
}

// refreshClock adds a suspension of the VM to the clock and logs it. The node handles the
// suspension like a pause of the process: its information about other routers is older by
// that duration.
func refreshClock(c *clock.Clock, log zerolog.Logger) {
	if jump := c.Refresh(); jump > 0 {
		log.Info().Int64("suspended_ms", jump.Milliseconds()).Msg("suspended")
	}
}

// Run runs the control goroutine until the context ends.
func (rc *RoutedController) Run(ctx context.Context) {
	go rc.overload.run(ctx)
	rc.run(ctx, dispatch.TickInterval, rc, rc.log)
}

func (rc *RoutedController) receive(m *wire.Datagram, now time.Time) {
	rc.node.Step(dispatch.Receive{Datagram: m}, now)
}

func (rc *RoutedController) flush(now time.Time) { rc.handleOutputs(rc.node.Ready(now)) }

// readinessCheckTicks is the number of ticks between readiness checks.
const readinessCheckTicks = 25

// shedReportTicks is the number of ticks between reports of shed work to the node, which
// counts shares in steps of 250 ms.
const shedReportTicks = 20

// overloadLogTicks is the number of ticks between log lines on CPU use during an overload.
const overloadLogTicks = 50

// admissionTicks is the number of ticks between updates of the admission ratios.
const admissionTicks = 10

// watchCheckTicks is the number of ticks between checks whether this router watches the source.
const watchCheckTicks = 10

func (rc *RoutedController) tick(now time.Time) {
	rc.updateLapseGrace()
	if rc.view.Tick(now) {
		rc.publish(now)
	}
	rc.node.Tick(now)
	rc.quarantined.publish(rc.node.Quarantine())
	rc.quarantined.publishParts(rc.node.HeldParts(now))
	rc.ticks++
	load := rc.overload.current()
	delays, overloaded := load.delaysMessages(), load.ratio > 0
	if delays != rc.delaysMessages || overloaded != rc.overloaded {
		rc.delaysMessages = delays
		rc.node.Step(dispatch.CPUOverload{On: delays, Shedding: overloaded}, now)
	}
	if overloaded != rc.overloaded {
		rc.overloaded = overloaded
		load.addFields(rc.log.Info().Bool("on", overloaded)).Msg("short-of-processor")
	}
	if rc.overloaded && rc.ticks%overloadLogTicks == 0 {
		load.addFields(rc.log.Info()).Msg("processor-use")
	}
	if rc.ticks%shedReportTicks == 0 {
		if work := rc.shed.take(); len(work) > 0 {
			rc.node.Step(dispatch.LoadShed{Work: work}, now)
		}
	}
	if rc.ticks%admissionTicks == 0 {
		rc.publishAdmitRatios(now)
		rc.publishServiceStates(now)
	}
	if rc.ticks%watchCheckTicks == 0 {
		if on := rc.node.Watches(now); rc.watches.Swap(on) != on {
			rc.log.Info().Bool("on", on).Bool("chosen", rc.node.IsWatcher(now)).Msg("reads-source")
		}
		rc.maxRetryPauseNS.Store(int64(rc.maxRetryPauseAt(now)))
		scheduledEngines := rc.node.ScheduledEngines(now)
		rc.scheduledEngines.Store(&scheduledEngines)
	}
	if rc.ticks%readinessCheckTicks == 0 {
		rc.updateReady(now)
		rc.publishNeighbours()
	}
}

// maxRetryPauseAt returns the longest pause between two attempts to read a failing source.
// Routers that are no chosen watchers read it only because no other router could, so their
// pause grows with the number of routers, which keeps the rate of the whole fleet constant.
func (rc *RoutedController) maxRetryPauseAt(now time.Time) time.Duration {
	if rc.node.IsWatcher(now) {
		return maxSourceRetryPause
	}
	return max(maxSourceRetryPause, time.Duration(len(rc.node.Routers()))*sourceRetryPausePerRouter)
}

func (rc *RoutedController) tableVersion() uint64 {
	if rc.view.Table == nil {
		return 0
	}
	return rc.view.Table.Number
}

// handleOutputs carries out the node's outputs.
func (rc *RoutedController) handleOutputs(outs []dispatch.Output) {
	for _, o := range outs {
		switch o := o.(type) {
		case dispatch.Send:
			rc.sent.count(o.Datagram, rc.peerSocket.Send(o.To, o.Datagram), rc.node.InSamePlace(o.To))
		case dispatch.Placement:
			if t := rc.tickets[o.ID]; t != nil {
				t.Decide(forward.Decision{Placement: &o})
			}
		case dispatch.Refuse:
			if t := rc.tickets[o.ID]; t != nil {
				delete(rc.tickets, o.ID)
				t.Decide(forward.Decision{Refusal: o})
			}
		case dispatch.FetchContent:
			go rc.fetchContent(o.From, rc.knownRevision())
		case dispatch.FetchSnapshot:
			go rc.fetchSnapshot(o)
		case dispatch.CheckStore:
			select {
			case rc.sourceChecks <- struct{}{}:
			default: // one is due already
			}
		case dispatch.ConfirmStore:
			go rc.confirmSource(context.Background(), o.No)
		case dispatch.ApplyDelta:
			rc.applyPeerDelta(o, rc.now())
		case dispatch.UpstreamGone:
			rc.exchanges.CloseIdle(o.Instance.Address)
			cut := 0
			if o.Restarted {
				cut = rc.exchanges.Abort(o.Instance.StartID())
			}
			rc.log.Info().Str("upstream", o.Instance.ID).Str("address", o.Instance.Address).Int64("born", o.Instance.Born).Bool("restarted", o.Restarted).Int("cut", cut).
				Uint64("revision", rc.view.Revision).Msg("upstream-gone")
		case dispatch.UpstreamLeaving:
			rc.drainUpstream(o)
		case dispatch.Probe:
			go rc.probe(o.Instance)
		case dispatch.ShareReport, dispatch.FairnessReport, dispatch.SecondReport, dispatch.EngineReport, dispatch.LocalDecisionReport, dispatch.SlotReport, dispatch.UpstreamEnded, dispatch.QuarantineReport, dispatch.PartReport:
			logReport(rc.log, o)
		case dispatch.ColdChange:
			logColdChange(rc.log, o)
		case dispatch.Event:
			rc.log.Info().Str("peer", string(o.Router)).Uint64("value", o.Value).Str("detail", o.Detail).Msg(o.Name)
		}
	}
}

// SourceFailed reports to the node that reading the source failed.
func (rc *RoutedController) SourceFailed() { rc.Step(dispatch.StoreUnreachable{}) }

// MaxRetryPause returns the longest pause between two attempts to read a failing source.
func (rc *RoutedController) MaxRetryPause() time.Duration {
	return time.Duration(rc.maxRetryPauseNS.Load())
}

// updateReady publishes whether this router is ready: it has a routing table, knows its
// fleet and is not leaving.
func (rc *RoutedController) updateReady(now time.Time) {
	ready := rc.view.Table != nil && rc.node.KnowsFleet(now) && !rc.leaving.Load()
	if rc.ready.Swap(ready) != ready {
		rc.log.Info().Bool("ready", ready).Uint64("version", rc.tableVersion()).Int("routers", len(rc.node.Routers())).Msg("readiness")
	}
}

// historyQueryTimeout bounds the wait for the control goroutine after a listing.
const historyQueryTimeout = time.Second

// NeedsStoreHistory reports whether the store's history may tell of software versions that no other
// router has told of.
func (rc *RoutedController) NeedsStoreHistory() bool {
	needed, _ := query(&rc.controlLoop, historyQueryTimeout, rc.node.NeedsStoreHistory)
	return needed
}

// Step queues one input for the node.
func (rc *RoutedController) Step(in dispatch.Input) {
	rc.enqueue(func(now time.Time) { rc.node.Step(in, now) })
}

// ScheduledEngines returns the engines that this router schedules.
func (rc *RoutedController) ScheduledEngines() []routing.Instance {
	if p := rc.scheduledEngines.Load(); p != nil {
		return *p
	}
	return nil
}

// publishNeighbours publishes the routers that may be asked to serve relayed connections.
func (rc *RoutedController) publishNeighbours() {
	peers := []relay.Peer{}
	for _, r := range rc.node.NeighbourPowers() {
		peers = append(peers, relay.Peer{ID: string(r.ID), Power: r.Power})
	}
	rc.neighbours.Store(&peers)
	rc.alone.Store(!rc.node.HasPeers())
}

// Alone reports whether no other live router is known.
func (rc *RoutedController) Alone() bool { return rc.alone.Load() }

// Neighbours implements relayControl.
func (rc *RoutedController) Neighbours() []relay.Peer {
	if p := rc.neighbours.Load(); p != nil {
		return *p
	}
	return nil
}

// CPULoad implements relayControl.
func (rc *RoutedController) CPULoad() (use, shedRatio float64) {
	return rc.overload.current().use, rc.ShedRatio()
}

// Leave begins the planned stop: the router becomes unready, and the node announces to the
// other routers that it leaves.
func (rc *RoutedController) Leave() {
	rc.leaving.Store(true)
	rc.enqueue(func(now time.Time) {
		rc.node.Step(dispatch.Leave{}, now)
		rc.updateReady(now)
	})
}

// OpenRequests returns the number of requests without an outcome, or 0 when the control
// goroutine has ended or does not answer in time.
func (rc *RoutedController) OpenRequests() int {
	n, _ := query(&rc.controlLoop, openRequestsTimeout, func(time.Time) int { return len(rc.tickets) })
	return n
}

// Ready reports whether the load balancer may send requests here.
func (rc *RoutedController) Ready() bool { return rc.ready.Load() }

// Watches reports whether this router should read the source itself: it is one of those chosen, or
// cannot read what its peers have read.
func (rc *RoutedController) Watches() bool {
	return rc.watches.Load() || rc.peersContent.isUnreadable()
}

// AsOf returns the store revision up to which every change is known.
func (rc *RoutedController) AsOf() uint64 { return rc.asOf.Load() }

// statusTimeout bounds the wait of a status request for the control goroutine.
const statusTimeout = time.Second

// Status returns the control state, or nil when the control goroutine does not answer in
// time. It is assembled on request, because copying a list of thousands of upstreams
// periodically would cost too much.
func (rc *RoutedController) Status() *Status {
	status, _ := query(&rc.controlLoop, statusTimeout, rc.statusAt)
	return status
}

func (rc *RoutedController) statusAt(now time.Time) *Status {
	return &Status{
		Router: rc.id, Ready: rc.ready.Load(), Leaving: rc.leaving.Load(), Version: rc.tableVersion(), Revision: rc.view.Revision,
		Running: len(rc.tickets), Routers: rc.node.Routers(), Upstreams: rc.node.Upstreams(now), Evacuated: rc.view.Evacuations(), Held: rc.node.Held(now), Counts: rc.node.Counts, Slots: rc.node.SlotStatus(), Capacity: rc.node.Capacities(now), LeastServed: rc.node.LeastServedPercent(now), Role: rc.node.Role(now),
		ListConfirmedMS: rc.listConfirmedMS(now),
	}
}

func (rc *RoutedController) listConfirmedMS(now time.Time) int64 {
	at := rc.node.ListConfirmedAt()
	if at.IsZero() {
		return -1
	}
	return max(0, now.Sub(at).Milliseconds())
}
