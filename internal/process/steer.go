package process

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"github.com/silverswitch/silverswitch/internal/clock"
	"github.com/silverswitch/silverswitch/internal/conn"
	"github.com/silverswitch/silverswitch/internal/core/quarantine"
	"github.com/silverswitch/silverswitch/internal/core/wire"
	"github.com/silverswitch/silverswitch/internal/dispatch"
	"github.com/silverswitch/silverswitch/internal/request/forward"
	"github.com/silverswitch/silverswitch/internal/routing"
)

// Steerer runs a dispatch.Node and the view of the platform's store: it is the
// one goroutine that touches control state of the routed interface, and the
// adapter through which all others ask it. It implements forward.Control.
type Steerer struct {
	id     wire.NodeID
	node   *dispatch.Node // control goroutine only
	view   *routing.View  // control goroutine only
	src    Source
	route  *conn.PeerSocket
	sealer *conn.Sealer
	ups    *conn.Exchanges
	log    zerolog.Logger
	nextID atomic.Uint64
	controlLoop

	table   atomic.Pointer[routing.Table]
	ready   atomic.Bool
	watches atomic.Bool
	asOf    atomic.Uint64
	engines atomic.Pointer[[]routing.Instance] // that this router schedules
	leaving atomic.Bool
	OnTable func(routing.Limits) // called for each accepted table, set before Run

	tickets map[uint64]*forward.Ticket // control goroutine only
	ticks   int
	strain  strainMeter
	turned  turnedWork

	strained   bool // control goroutine only
	covered    atomic.Pointer[map[serviceOrg]float64]
	coverUntil time.Time // control goroutine only
	held       heldRequests
	usable     usable
	unnamed    map[string]bool // control goroutine only: starts whose service no table names
	published  *routing.Table  // control goroutine only: the last that was handed on
	packs      packs

	publications atomic.Uint64 // how often the view was published
	wantsWhole   bool          // control goroutine only: the next read of a peer's content is of all of it
	sent         sentCounts
	watchPause   atomic.Int64 // nanoseconds
}

// Status is what operators see of the control state.
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
	Role      dispatch.Role            `json:"role"`
}

// NewSteerer returns a steerer that is not running yet.
func NewSteerer(set dispatch.Settings, src Source, route *conn.PeerSocket, sealer *conn.Sealer, ups *conn.Exchanges, log zerolog.Logger) *Steerer {
	now := clock.System.Now()
	s := &Steerer{
		id:      set.ID,
		node:    dispatch.New(set, now),
		view:    routing.NewView(),
		src:     src,
		route:   route,
		sealer:  sealer,
		ups:     ups,
		log:     log,
		tickets: map[uint64]*forward.Ticket{},
		strain:  strainMeter{cores: float64(set.Power) / 1000},
		unnamed: map[string]bool{},
		sent:    newSentCounts(metrics.NewRegistry()),

		controlLoop: newControlLoop(now),
	}
	s.watches.Store(s.node.Watches(now))
	return s
}

// lookAtClock logs a suspension. The node takes it for a pause: what it believes of
// others is older by that much.
func lookAtClock(c *clock.Clock, log zerolog.Logger) {
	if jump := c.Refresh(); jump > 0 {
		log.Info().Int64("suspended_ms", jump.Milliseconds()).Msg("suspended")
	}
}

// Run is the control goroutine. It ends with the context.
func (s *Steerer) Run(ctx context.Context) {
	go s.strain.run(ctx)
	s.run(ctx, dispatch.TickEvery, s, s.log)
}

func (s *Steerer) receive(m *wire.Datagram, now time.Time) {
	s.node.Step(dispatch.Receive{Datagram: m}, now)
}

func (s *Steerer) flush(now time.Time) { s.act(s.node.Ready(now)) }

// readyTicks is how many ticks lie between two judgements of readiness.
const readyTicks = 25

// turnedTicks is how many ticks lie between two reports of work refused at the
// door; shares are counted in steps of 250 ms.
const turnedTicks = 20

// strainTicks is how many ticks lie between two lines on the processor while it is short.
const strainTicks = 50

// coverTicks is how many ticks lie between two judgements of what is let in at the door.
const coverTicks = 10

// watchTicks is how many ticks lie between two judgements of who watches.
const watchTicks = 10

func (s *Steerer) tick(now time.Time) {
	if s.view.Tick(now) {
		s.publish(now)
	}
	s.node.Tick(now)
	s.held.publish(s.node.Quarantine())
	s.ticks++
	if on := s.Excess() > 0; on != s.strained {
		s.strained = on
		s.node.Step(dispatch.Strained{On: on}, now)
		s.log.Info().Bool("on", on).Float64("excess", s.Excess()).Msg("short-of-processor")
	}
	if s.strained && s.ticks%strainTicks == 0 {
		s.log.Info().Float64("use", s.strain.use()).Int64("lag_us", s.strain.lag.lag().Microseconds()).Float64("excess", s.Excess()).Msg("processor-use")
	}
	if s.ticks%turnedTicks == 0 {
		if work := s.turned.take(); len(work) > 0 {
			s.node.Step(dispatch.Turned{Work: work}, now)
		}
	}
	if s.ticks%coverTicks == 0 {
		s.publishCovered(now)
	}
	if s.ticks%watchTicks == 0 {
		if on := s.node.Watches(now); s.watches.Swap(on) != on {
			s.log.Info().Bool("on", on).Bool("chosen", s.node.IsWatcher(now)).Msg("reads-source")
		}
		s.watchPause.Store(int64(s.pauseOf(now)))
		engines := s.node.Scheduled(now)
		s.engines.Store(&engines)
	}
	if s.ticks%readyTicks == 0 {
		s.judgeReady(now)
	}
}

// pauseOf is the longest pause between two tries of a source that fails. Routers
// that look only because nobody else could share one rate between them.
func (s *Steerer) pauseOf(now time.Time) time.Duration {
	if s.node.IsWatcher(now) {
		return followLongest
	}
	return max(followLongest, time.Duration(len(s.node.Routers()))*pausePerRouter)
}

func (s *Steerer) number() uint64 {
	if s.view.Table == nil {
		return 0
	}
	return s.view.Table.Number
}

// act carries out the node's outputs.
func (s *Steerer) act(outs []dispatch.Output) {
	for _, o := range outs {
		switch o := o.(type) {
		case dispatch.Send:
			s.sent.count(o.Datagram, s.route.Send(o.To, o.Datagram), s.node.IsNear(o.To))
		case dispatch.Place:
			if t := s.tickets[o.ID]; t != nil {
				t.Decide(forward.Decision{Place: &o})
			}
		case dispatch.Refuse:
			if t := s.tickets[o.ID]; t != nil {
				delete(s.tickets, o.ID)
				t.Decide(forward.Decision{Refusal: o})
			}
		case dispatch.Fetch:
			go s.fetch(o.From, s.have())
		case dispatch.FetchSnapshot:
			go s.fetchSnapshot(o)
		case dispatch.Apply:
			s.apply(o)
		case dispatch.StoreBack:
			s.view.StartLapseGrace(o.At)
			s.log.Info().Str("peer", string(o.From)).Int64("age_ms", s.now().Sub(o.At).Milliseconds()).Msg("source-back-at-peer")
		case dispatch.Gone:
			s.ups.CloseIdle(o.Instance.Address)
			cut := 0
			if o.Restarted {
				cut = s.ups.Abort(o.Instance.StartID())
			}
			s.log.Info().Str("upstream", o.Instance.ID).Str("address", o.Instance.Address).Int64("born", o.Instance.Born).Bool("restarted", o.Restarted).Int("cut", cut).
				Uint64("revision", s.view.Revision).Msg("upstream-gone")
		case dispatch.Leaving:
			s.drain(o)
		case dispatch.Probe:
			go s.probe(o.Instance)
		case dispatch.ShareReport, dispatch.EngineReport, dispatch.AloneReport, dispatch.UpstreamEnded, dispatch.QuarantineReport:
			logReport(s.log, o)
		case dispatch.ColdChange:
			logCold(s.log, o)
		case dispatch.Event:
			s.log.Info().Str("peer", string(o.Router)).Uint64("value", o.Value).Str("detail", o.Detail).Msg(o.Name)
		}
	}
}

// SourceFailed says that the source did not answer.
func (s *Steerer) SourceFailed() { s.Step(dispatch.Unsighted{}) }

// WatchPause is the longest pause between two tries of a source that fails.
func (s *Steerer) WatchPause() time.Duration { return time.Duration(s.watchPause.Load()) }

// judgeReady: a router is ready once it has its table and knows its fleet.
func (s *Steerer) judgeReady(now time.Time) {
	ready := s.view.Table != nil && s.node.KnowsFleet(now) && !s.leaving.Load()
	if s.ready.Swap(ready) != ready {
		s.log.Info().Bool("ready", ready).Uint64("version", s.number()).Int("routers", len(s.node.Routers())).Msg("readiness")
	}
}

// Step gives the node one input.
func (s *Steerer) Step(in dispatch.Input) {
	s.do(func(now time.Time) { s.node.Step(in, now) })
}

// Scheduled returns the engines that this router schedules.
func (s *Steerer) Scheduled() []routing.Instance {
	if p := s.engines.Load(); p != nil {
		return *p
	}
	return nil
}

// Leave begins the planned stop.
func (s *Steerer) Leave() {
	s.leaving.Store(true)
	s.do(func(now time.Time) {
		s.node.Step(dispatch.Leave{}, now)
		s.judgeReady(now)
	})
}

// Open returns the requests that have no outcome yet, 0 after the end.
func (s *Steerer) Open() int {
	n, _ := ask(&s.controlLoop, openWait, func(time.Time) int { return len(s.tickets) })
	return n
}

// Ready reports whether the balancer may send callers here.
func (s *Steerer) Ready() bool { return s.ready.Load() }

// Watches reports whether this router is to read the source itself.
func (s *Steerer) Watches() bool { return s.watches.Load() }

// AsOf returns the revision up to which every change is known.
func (s *Steerer) AsOf() uint64 { return s.asOf.Load() }

// statusWait is how long a question for the status waits for the control goroutine.
const statusWait = time.Second

// Status returns the control state, or nil when the control goroutine does not answer. It is
// put together when it is asked for: a list of thousands of upstreams is too much to copy
// all the time.
func (s *Steerer) Status() *Status {
	status, _ := ask(&s.controlLoop, statusWait, s.statusAt)
	return status
}

func (s *Steerer) statusAt(now time.Time) *Status {
	return &Status{
		Router: s.id, Ready: s.ready.Load(), Leaving: s.leaving.Load(), Version: s.number(), Revision: s.view.Revision,
		Running: len(s.tickets), Routers: s.node.Routers(), Upstreams: s.node.Upstreams(now), Evacuated: s.view.Evacuations(), Held: s.node.Held(now), Counts: s.node.Counts, Role: s.node.Role(now),
	}
}
