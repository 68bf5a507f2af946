package relay

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"github.com/silverswitch/silverswitch/internal/conn"
)

// OriginSettings are the settings of the side that relays its callers' connections.
type OriginSettings struct {
	Sealer *conn.Sealer
	// Address returns the relay address of a router of the own place.
	Address func(id string) string
	// Seed of the random choice of helpers.
	Seed uint64
	// MaxBlocked is the number of relayed connections that may wait for their callers to read
	// at the same time; beyond it the ones that have waited longest are closed. Each holds up
	// to streamWindow bytes.
	MaxBlocked int
	// ServeHere serves a connection for which the helper could not be reached, and of which
	// nothing was read yet.
	ServeHere func(net.Conn)
	// ConnState is called for relayed connections when they begin and end, with
	// http.StateNew and http.StateClosed.
	ConnState func(net.Conn, http.ConnState)
	// CloseHint reports whether callers should be asked to close their connections.
	CloseHint func() bool
	// Grace returns what a planned stop of this router leaves to requests, and false if there is
	// none or it has no bound. It may be nil.
	Grace    func() (left time.Duration, bounded bool)
	Log      zerolog.Logger
	Registry metrics.Registry
}

// Origin relays connections of callers to helpers. Its methods may be called by any goroutine.
type Origin struct {
	set      OriginSettings
	mu       sync.Mutex
	decider  *Decider
	sessions map[string]*originSession
	conns    map[*relayedConn]struct{}
	ended    chan struct{} // closed when stopping and no connection is left
	stopping bool
	closed   bool
	metrics  originMetrics
}

type originMetrics struct {
	relayed, bytesToHelper, bytesToCaller, broken, badGateway, unserved, blocked, declined metrics.Counter
	open, sessions                                                                         metrics.Gauge
}

// originSession is a session with one helper.
type originSession struct {
	*session
	id      string
	planned bool // closed by this router; guarded by Origin.mu
}

// NewOrigin returns an origin that relays nothing yet.
func NewOrigin(set OriginSettings) *Origin {
	counter := func(name string) metrics.Counter { return metrics.GetOrRegisterCounter("relay."+name, set.Registry) }
	return &Origin{
		set:      set,
		decider:  NewDecider(set.Seed),
		sessions: map[string]*originSession{},
		conns:    map[*relayedConn]struct{}{},
		ended:    make(chan struct{}),
		metrics: originMetrics{
			relayed: counter("connections"), bytesToHelper: counter("bytes-to-helper"), bytesToCaller: counter("bytes-to-caller"),
			broken: counter("broken"), badGateway: counter("bad-gateway"), unserved: counter("served-here"), blocked: counter("blocked-closed"), declined: counter("declined"),
			open: metrics.GetOrRegisterGauge("relay.open", set.Registry), sessions: metrics.GetOrRegisterGauge("relay.sessions", set.Registry),
		},
	}
}

// Observe handles the end of a period of DecisionInterval.
func (o *Origin) Observe(obs Observation, now time.Time) {
	o.mu.Lock()
	obs.Stopping = obs.Stopping || o.stopping
	orders := o.decider.Observe(obs, now)
	var idle []*originSession
	for _, id := range orders.Close {
		if s := o.sessions[id]; s != nil {
			s.planned = true
			delete(o.sessions, id)
			idle = append(idle, s)
		}
	}
	open, sessions := len(o.conns), len(o.sessions)
	blocked := o.longestBlocked(now)
	o.mu.Unlock()
	o.metrics.open.Update(int64(open))
	o.metrics.sessions.Update(int64(sessions))
	if orders.Started || orders.Ended {
		o.set.Log.Info().Bool("on", orders.Started).Str("reason", orders.Reason).Float64("use", obs.Use).Float64("excess", obs.ShedRatio).
			Int("connections", open).Int64("relayed", o.metrics.relayed.Count()).Msg("relays-connections")
	}
	for _, s := range idle {
		go s.mux.Close()
	}
	for _, c := range blocked {
		o.metrics.blocked.Inc(1)
		c.caller.Close()
	}
	for _, id := range orders.Open {
		go o.openSession(id)
	}
}

// openSession opens a session and serves it until it ends.
func (o *Origin) openSession(id string) {
	s, err := o.dial(id)
	if err != nil {
		o.set.Log.Info().Err(err).Str("peer", id).Msg("relay-session-failed")
		o.mu.Lock()
		o.decider.Failed(id, time.Now())
		o.mu.Unlock()
		return
	}
	o.mu.Lock()
	if o.closed {
		o.mu.Unlock()
		s.mux.Close()
		return
	}
	o.sessions[id] = s
	o.decider.Opened(id)
	o.mu.Unlock()
	o.set.Log.Info().Str("peer", id).Msg("relay-session")
	go s.sendStatus(o.status)
	s.receive(func(m Message) { o.stated(id, m) })
	o.sessionEnded(s)
}

func (o *Origin) dial(id string) (*originSession, error) {
	addr := o.set.Address(id)
	c, err := (&net.Dialer{Timeout: handshakeTimeout, KeepAlive: -1}).Dial("tcp", addr)
	if err != nil {
		return nil, ErrSession.Wrap(err, "connect to %s", addr)
	}
	if err := prove(c, o.set.Sealer); err != nil {
		c.Close()
		return nil, err
	}
	s, err := newOriginSession(c)
	if err != nil {
		return nil, err
	}
	return &originSession{session: s, id: id}, nil
}

func (o *Origin) status() Message {
	o.mu.Lock()
	defer o.mu.Unlock()
	m := Message{Stopping: o.stopping, CloseHint: o.set.CloseHint()}
	if o.set.Grace == nil {
		return m
	}
	if left, bounded := o.set.Grace(); bounded {
		m.GraceOver = left <= 0
		m.GraceMS = uint32(max(0, left.Milliseconds()))
	}
	return m
}

func (o *Origin) stated(id string, m Message) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.decider.Stated(id, m, time.Now()) {
		o.metrics.declined.Inc(1)
	}
}

func (o *Origin) sessionEnded(s *originSession) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if s.planned || o.closed {
		return
	}
	delete(o.sessions, s.id)
	o.decider.Failed(s.id, time.Now())
	n := 0
	for c := range o.conns {
		if c.session == s {
			n++
		}
	}
	o.set.Log.Warn().Str("peer", s.id).Int("connections", n).Msg("relay-session-broken")
}

// Relay decides on a new connection. It returns false if this router is to serve it. Nothing
// is read from a connection before its stream is open.
func (o *Origin) Relay(caller net.Conn) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	id, relay := o.decider.Choose()
	s := o.sessions[id]
	if !relay || s == nil || o.stopping {
		return false
	}
	c := &relayedConn{origin: o, session: s, caller: caller}
	o.conns[c] = struct{}{}
	go c.run()
	return true
}

// connEnded is called once for each connection that Relay has taken.
func (o *Origin) connEnded(c *relayedConn) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.conns, c)
	if o.sessions[c.session.id] == c.session {
		o.decider.ConnectionEnded(c.session.id)
	}
	if o.stopping && len(o.conns) == 0 {
		o.signalEnded()
	}
}

func (o *Origin) signalEnded() {
	select {
	case <-o.ended:
	default:
		close(o.ended)
	}
}

// longestBlocked returns the connections that have waited longest for their callers, beyond
// MaxBlocked.
func (o *Origin) longestBlocked(now time.Time) []*relayedConn {
	if len(o.conns) <= o.set.MaxBlocked {
		return nil
	}
	return longestBlocked(o.conns, o.set.MaxBlocked, now)
}

// Shutdown performs the planned stop: the helpers are told to close idle connections, and to
// close the others after their current request. It returns when all relayed connections have
// ended, or with the context's error.
func (o *Origin) Shutdown(ctx context.Context) error {
	o.mu.Lock()
	o.stopping = true
	if len(o.conns) == 0 {
		o.signalEnded()
	}
	sessions := make([]*originSession, 0, len(o.sessions))
	for _, s := range o.sessions {
		sessions = append(sessions, s)
	}
	o.mu.Unlock()
	for _, s := range sessions {
		go func() { _ = s.send(o.status()) }() // the next status says the same
	}
	select {
	case <-o.ended:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Close ends all sessions and closes the relayed connections.
func (o *Origin) Close() {
	o.mu.Lock()
	o.closed, o.stopping = true, true
	sessions := o.sessions
	o.sessions = map[string]*originSession{}
	o.mu.Unlock()
	for _, s := range sessions {
		s.mux.Close()
	}
}
