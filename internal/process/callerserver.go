package process

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/silverswitch/silverswitch/internal/request/forward"
	"github.com/silverswitch/silverswitch/internal/routing"
)

// callerServer serves callers on one listener under the limits of the table in force.
type callerServer struct {
	listener            net.Listener
	connLimiter         *connLimiter
	controlBehind       func() bool // see RoutedDaemon.controlBehind; may be nil
	unread              unreadConns
	backlog             acceptBacklog
	relay               atomic.Pointer[func(net.Conn) bool] // takes a new connection that another router is to serve; nil for none
	log                 zerolog.Logger
	own                 *limitedServer // connections that this router serves for itself
	handler             http.Handler
	relayedMu           sync.Mutex
	relayed             map[*limitedServer]struct{} // connections relayed to this router, by session
	limits              *limitsInForce
	relayedLimiter      *connLimiter // of connections relayed to this router; set before the first session
	acceptErrorLoggedAt time.Time    // accept goroutine only
}

// newCallerServer listens for callers and starts serving them. While controlBehind returns
// true, connections are accepted more slowly.
func newCallerServer(addr string, cores float64, handler http.Handler, descriptors int, controlBehind func() bool, log zerolog.Logger) (*callerServer, error) {
	l, err := listenCallers(addr, cores)
	if err != nil {
		return nil, ErrSettings.Wrap(err, "[router] caller_address = %q", addr)
	}
	polled, err := newPolledListener(l)
	if err != nil {
		l.Close()
		return nil, ErrSettings.Wrap(err, "pipe")
	}
	cs := &callerServer{listener: polled, connLimiter: newConnLimiter(descriptors), controlBehind: controlBehind, log: log, handler: handler, relayed: map[*limitedServer]struct{}{}, limits: newLimitsInForce()}
	cs.own = newLimitedServer(withCloseHint(cs.connLimiter.closeHint, handler), l.Addr(), cs.connState, cs.limits, nil, log)
	cs.limits.onChange(cs.limitsChanged)
	go cs.accept()
	return cs, nil
}

// withCloseHint asks callers to close their connections while closeHint returns true.
func withCloseHint(closeHint func() bool, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if closeHint() && !forward.HoldsMore(r) {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// setLimits sets the limits of the table in force, for open connections too.
func (cs *callerServer) setLimits(l routing.Limits) { cs.limits.set(l, time.Now()) }

// limitsChanged applies the limits to connections that wait.
func (cs *callerServer) limitsChanged() {
	cs.own.limitsChanged()
	cs.relayedMu.Lock()
	defer cs.relayedMu.Unlock()
	for s := range cs.relayed {
		s.limitsChanged()
	}
}

func (cs *callerServer) accept() {
	for {
		cs.waitForControl()
		cs.backlog.beforeAccept(time.Now())
		c, err := cs.listener.Accept()
		cs.backlog.afterAccept(time.Now())
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil { // out of descriptors; open connections will free some soon
			cs.acceptFailed(err)
			continue
		}
		if relay := cs.relay.Load(); relay != nil && (*relay)(c) {
			continue
		}
		cs.own.Serve(c)
	}
}

// Accepting a connection is delayed while the control state is behind or many accepted ones are
// unread (unreadconns.go), by at most
// maxAcceptDelay, checking every acceptPollInterval. The bound lets a router always accept
// some connections, because callers wait only a second for a new one.
//
// Load pattern: 2,600 requests per second from several floods at a router with a fifth of a
// core. Refusing them took all of its CPU time, and it read no datagram for three seconds:
// it received no share updates, and its placements were not sent.
const (
	maxAcceptDelay     = 20 * time.Millisecond
	acceptPollInterval = 2 * time.Millisecond
)

// waitForControl waits while the control state is behind or too many connections are unread.
func (cs *callerServer) waitForControl() {
	for end := time.Now().Add(maxAcceptDelay); cs.isBehind() && time.Now().Before(end); {
		time.Sleep(acceptPollInterval)
	}
}

func (cs *callerServer) isBehind() bool {
	return cs.unread.count(time.Now()) >= maxUnreadConns || cs.controlBehind != nil && cs.controlBehind()
}

// connState follows the states of the connections that this router serves itself.
func (cs *callerServer) connState(c net.Conn, state http.ConnState) {
	cs.unread.connState(c, state, time.Now())
	cs.connLimiter.connState(c, state)
}

const (
	acceptRetryDelay  = 5 * time.Millisecond
	acceptLogInterval = time.Second
)

// acceptFailed waits before the next attempt. It logs at most one failure per
// acceptLogInterval.
func (cs *callerServer) acceptFailed(err error) {
	if now := time.Now(); now.Sub(cs.acceptErrorLoggedAt) >= acceptLogInterval {
		cs.acceptErrorLoggedAt = now
		cs.log.Warn().Err(err).Msg("accept-failed")
	}
	time.Sleep(acceptRetryDelay)
}

// stopAccepting closes the listener. Open connections stay open.
func (cs *callerServer) stopAccepting() { cs.listener.Close() }

// shutdown stops accepting, closes the connections on which no request has arrived at once, and others
// after their current request.
func (cs *callerServer) shutdown(ctx context.Context) error {
	cs.stopAccepting()
	return cs.own.Shutdown(ctx)
}

func (cs *callerServer) close() {
	cs.stopAccepting()
	cs.own.Close()
}

// chanListener is a net.Listener for connections that another goroutine has accepted.
type chanListener struct {
	addr  net.Addr
	conns chan net.Conn
	done  chan struct{}
	once  sync.Once
}

func newChanListener(addr net.Addr) *chanListener {
	return &chanListener{addr: addr, conns: make(chan net.Conn), done: make(chan struct{})}
}

func (l *chanListener) deliver(c net.Conn) {
	select {
	case l.conns <- c:
	case <-l.done:
		c.Close()
	}
}

// Accept implements net.Listener.
func (l *chanListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *chanListener) Close() error {
	l.once.Do(func() { close(l.done) })
	return nil
}

// Addr implements net.Listener.
func (l *chanListener) Addr() net.Addr { return l.addr }
