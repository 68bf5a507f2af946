package process

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"github.com/silverswitch/silverswitch/internal/conn/relay"
	"github.com/silverswitch/silverswitch/internal/core/wire"
	"github.com/silverswitch/silverswitch/internal/request/forward"
)

const (
	// relayedConnsPerMB is the number of connections per megabyte of the VM's memory that a
	// router serves for others. A connection that waits holds some 30 KB in buffers and stacks:
	// an eighth of the memory.
	relayedConnsPerMB = 4
	// unreadMemoryDivisor divides the VM's memory to give the bytes of callers' input that may
	// wait to be read.
	unreadMemoryDivisor = 16
	// blockedConnsPerMB is the number of relayed connections per megabyte of the VM's memory
	// that may wait for their callers to read, each with up to 256 KB: an eighth of the memory.
	blockedConnsPerMB = 0.5
	// unknownMemoryMB applies where the VM's memory is unknown.
	unknownMemoryMB = 1024
	// spareWeight is the weight of the latest period in the mean CPU use that a helper states.
	// A period of 100 ms is often as long as that of a CPU quota.
	spareWeight = 0.3
)

// relaying connects the two sides of internal/conn/relay to the router: its CPU use, the
// routers of its place, and the servers of its callers.
type relaying struct {
	origin   *relay.Origin
	helper   *relay.Helper
	ctrl     relayControl
	power    uint32
	spare    atomic.Uint32 // thousandths of a core
	shedding atomic.Bool
	meanUse  float64 // run only
}

// relayControl is what relaying needs of the control state.
type relayControl interface {
	// CPULoad returns the CPU use in the last period as a fraction of this router's CPU, and
	// the fraction of arrivals that the load shedder refuses.
	CPULoad() (use, shedRatio float64)
	// Neighbours returns the other live routers of the own place.
	Neighbours() []relay.Peer
	Ready() bool
	Leaving() bool
}

// relayingSettings are the settings of relaying.
type relayingSettings struct {
	Address  string // [relay] address
	Secret   string
	Power    uint32 // thousandths of a core, 0 when unknown
	MemoryMB int
	Stop     *forward.Stop // of this router; may be nil
	Registry metrics.Registry
	Log      zerolog.Logger
}

// startRelaying listens for sessions of other routers, and makes the caller server relay
// connections.
func startRelaying(ctx context.Context, set relayingSettings, ctrl relayControl, callers *callerServer) (*relaying, error) {
	sealer, err := relay.NewSealer(set.Secret)
	if err != nil {
		return nil, err
	}
	memory := set.MemoryMB
	if memory == 0 {
		memory = unknownMemoryMB
	}
	r := &relaying{ctrl: ctrl, power: set.Power}
	callers.relayedLimiter = newConnLimiter(reservedDescriptors + relayedConnsPerMB*memory)
	r.helper, err = relay.ListenHelper(set.Address, relay.HelperSettings{
		Sealer: sealer, Status: r.status, NewServer: callers.newRelayedServer,
		MaxConns: relayedConnsPerMB * memory, MaxUnread: memory << 20 / unreadMemoryDivisor, Log: set.Log, Registry: set.Registry,
	})
	if err != nil {
		return nil, ErrSettings.Wrap(err, "[relay] address = %q", set.Address)
	}
	port := netip.MustParseAddrPort(r.helper.Addr().String()).Port()
	r.origin = relay.NewOrigin(relay.OriginSettings{
		Sealer: sealer, Address: func(id string) string { return relayAddress(id, port) }, Seed: uint64(wire.IncarnationAt(time.Now())),
		MaxBlocked: int(blockedConnsPerMB * float64(memory)), ServeHere: callers.own.Serve, ConnState: callers.connLimiter.connState,
		CloseHint: callers.connLimiter.closeHint, Grace: graceOf(set.Stop), Log: set.Log, Registry: set.Registry,
	})
	take := r.relay(callers.connLimiter)
	callers.relay.Store(&take)
	go r.run(ctx)
	return r, nil
}

// graceOf returns what a planned stop leaves to requests, as sessions state it.
func graceOf(s *forward.Stop) func() (time.Duration, bool) {
	if s == nil {
		return nil
	}
	return func() (time.Duration, bool) { return s.Left(time.Now()) }
}

// relay returns the function that decides on new connections. Near the limit on descriptors
// this router serves new connections itself, because it can close its own idle ones only.
func (r *relaying) relay(l *connLimiter) func(net.Conn) bool {
	return func(c net.Conn) bool { return !l.full() && r.origin.Relay(c) }
}

// relayAddress returns the relay address of a router. All routers use the same port, as the
// settings template sets it.
func relayAddress(router string, port uint16) string {
	peer, err := netip.ParseAddrPort(router)
	if err != nil {
		return router // connecting fails, and is not tried again for a while
	}
	return netip.AddrPortFrom(peer.Addr(), port).String()
}

// run observes this router's load until the context ends.
func (r *relaying) run(ctx context.Context) {
	for ctx.Err() == nil {
		sleep(ctx, relay.DecisionInterval)
		r.observe(time.Now())
	}
}

func (r *relaying) observe(now time.Time) {
	use, shed := r.ctrl.CPULoad()
	r.meanUse += spareWeight * (use - r.meanUse)
	r.spare.Store(uint32(max(0, 1-max(use, r.meanUse)) * float64(r.power)))
	r.shedding.Store(shed > 0)
	r.origin.Observe(relay.Observation{Use: use, ShedRatio: shed, Power: r.power, Stopping: r.ctrl.Leaving(), Peers: r.ctrl.Neighbours()}, now)
}

// status is what this router states as a helper.
func (r *relaying) status() relay.Message {
	leaving := r.ctrl.Leaving()
	return relay.Message{Spare: r.spare.Load(), Accepting: r.ctrl.Ready() && !leaving && !r.shedding.Load(), Stopping: leaving}
}

// shutdown performs the planned stop of both sides.
func (r *relaying) shutdown(ctx context.Context) error {
	var wg sync.WaitGroup
	var errs [2]error
	wg.Go(func() { errs[0] = r.origin.Shutdown(ctx) })
	wg.Go(func() { errs[1] = r.helper.Shutdown(ctx) })
	wg.Wait()
	return errors.Join(errs[0], errs[1])
}

func (r *relaying) close() {
	r.origin.Close()
	r.helper.Close()
}

// newRelayedServer returns a server for the connections of one session. They take no
// descriptors here, but memory: they have a limiter of their own. The router that accepted them
// counts their descriptors, and states its close hint.
func (cs *callerServer) newRelayedServer(closeHint func() bool) relay.Server {
	stop := forward.NewStop()
	hint := func() bool { return closeHint() || cs.relayedLimiter.closeHint() }
	s := newLimitedServer(withCloseHint(hint, cs.handler), cs.listener.Addr(), cs.relayedLimiter.connState, cs.limits, stop, cs.log)
	cs.relayedMu.Lock()
	defer cs.relayedMu.Unlock()
	cs.relayed[s] = struct{}{}
	return &relayedServer{limitedServer: s, stop: stop, callers: cs}
}

// relayedServer is the server of one session.
type relayedServer struct {
	*limitedServer
	stop    *forward.Stop // of the router that relays the connections
	callers *callerServer
}

// SetGrace implements relay.Server.
func (s *relayedServer) SetGrace(left time.Duration) {
	s.stop.SetEnd(time.Now().Add(left))
	if left <= 0 {
		s.stop.EndUnanswered()
	}
}

// Close implements relay.Server.
func (s *relayedServer) Close() {
	s.limitedServer.Close()
	s.callers.relayedMu.Lock()
	defer s.callers.relayedMu.Unlock()
	delete(s.callers.relayed, s.limitedServer)
}
