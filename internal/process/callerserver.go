package process

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/silverswitch/silverswitch/internal/routing"
)

// edge serves callers on one listener under the limits of the table in force.
// net/http fixes a server's limits, so a table with other limits gets a server of
// its own for new connections; those that are open keep the limits they began
// with.
type callerServer struct {
	listener            net.Listener
	handler             http.Handler
	connLimiter         *connLimiter
	controlBehind       func() bool // control is behind; may be nil
	log                 zerolog.Logger
	mu                  sync.Mutex
	limits              routing.Limits
	current             *http.Server
	chanListener        *chanListener
	servers             []*http.Server
	closed              bool
	acceptErrorLoggedAt time.Time // last line of a failed accept; accept goroutine only
}

// initialLimits are in force until the first table is known.
var initialLimits = routing.Limits{HeaderBytes: 16 << 10, HeaderTime: 3 * time.Second, IdleTime: 15 * time.Second}

// newCallerServer listens for callers. While behind says that control is not read, they are
// accepted more slowly.
func newCallerServer(addr string, handler http.Handler, descriptors int, controlBehind func() bool, log zerolog.Logger) (*callerServer, error) {
	// Callers that are gone without a word are found by the limits on idle time and
	// requests; probes would cost four system calls a connection.
	config := net.ListenConfig{KeepAlive: -1}
	l, err := config.Listen(context.Background(), "tcp", addr)
	if err != nil {
		return nil, ErrSettings.Wrap(err, "[router] caller_address = %q", addr)
	}
	e := &callerServer{listener: l, connLimiter: newConnLimiter(descriptors), controlBehind: controlBehind, log: log}
	e.handler = e.withCloseHint(handler)
	e.setLimits(initialLimits)
	go e.accept()
	return e, nil
}

// closing asks callers to close their connections while there are many.
func (e *callerServer) withCloseHint(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if e.connLimiter.closeHint() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// use puts limits in force for new connections.
func (e *callerServer) setLimits(l routing.Limits) {
	l.TokensPerSecond, l.BodyBytes = 0, 0
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.closed || e.current != nil && e.limits == l {
		return
	}
	e.limits = l
	e.current = &http.Server{
		Handler:           e.handler,
		ReadHeaderTimeout: l.HeaderTime,
		IdleTimeout:       l.IdleTime,
		MaxHeaderBytes:    l.HeaderBytes,
		ConnState:         e.connLimiter.connState,
		ErrorLog:          discardLog(),
	}
	e.chanListener = newChanListener(e.listener.Addr())
	e.servers = append(e.servers, e.current)
	go func(s *http.Server, f *chanListener) {
		if err := s.Serve(f); !errors.Is(err, http.ErrServerClosed) {
			e.log.Error().Err(err).Msg("callers-listener-ended")
		}
	}(e.current, e.chanListener)
}

func (e *callerServer) accept() {
	for {
		e.waitForControl()
		c, err := e.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil { // out of descriptors: those in use end soon
			e.acceptFailed(err)
			continue
		}
		e.mu.Lock()
		f := e.chanListener
		e.mu.Unlock()
		f.deliver(c)
	}
}

// Accepting is held while control is behind, for maxAcceptDelay at the most, looking every
// acceptPollInterval, so that a router always takes some connections: callers give a new one a
// second.
//
// Load pattern: 2,600 requests a second of several floods at a router of a fifth of a core.
// Refusing each took all its processor, and it read no datagram for three seconds: it had
// no word on shares, and what it placed was not sent.
const (
	maxAcceptDelay     = 20 * time.Millisecond
	acceptPollInterval = 2 * time.Millisecond
)

// pace waits while control is behind.
func (e *callerServer) waitForControl() {
	if e.controlBehind == nil {
		return
	}
	for end := time.Now().Add(maxAcceptDelay); e.controlBehind() && time.Now().Before(end); {
		time.Sleep(acceptPollInterval)
	}
}

const (
	acceptRetryDelay  = 5 * time.Millisecond
	acceptLogInterval = time.Second
)

// acceptFailed waits a moment; of many failures one a second is logged.
func (e *callerServer) acceptFailed(err error) {
	if now := time.Now(); now.Sub(e.acceptErrorLoggedAt) >= acceptLogInterval {
		e.acceptErrorLoggedAt = now
		e.log.Warn().Err(err).Msg("accept-failed")
	}
	time.Sleep(acceptRetryDelay)
}

// stopAccepting closes the listener; open connections go on.
func (e *callerServer) stopAccepting() { e.listener.Close() }

// shutdown ends idle connections at once and others after their request.
func (e *callerServer) shutdown(ctx context.Context) error {
	e.stopAccepting()
	e.mu.Lock()
	e.closed = true
	servers := e.servers
	e.mu.Unlock()
	var wg sync.WaitGroup
	errs := make([]error, len(servers))
	for i, s := range servers {
		wg.Go(func() { errs[i] = s.Shutdown(ctx) })
	}
	wg.Wait()
	return errors.Join(errs...)
}

func (e *callerServer) close() {
	e.stopAccepting()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.closed = true
	for _, s := range e.servers {
		s.Close()
	}
}

// feed is a net.Listener that is given its connections.
type chanListener struct {
	addr  net.Addr
	conns chan net.Conn
	done  chan struct{}
	once  sync.Once
}

func newChanListener(addr net.Addr) *chanListener {
	return &chanListener{addr: addr, conns: make(chan net.Conn), done: make(chan struct{})}
}

func (f *chanListener) deliver(c net.Conn) {
	select {
	case f.conns <- c:
	case <-f.done:
		c.Close()
	}
}

// Accept implements net.Listener.
func (f *chanListener) Accept() (net.Conn, error) {
	select {
	case c := <-f.conns:
		return c, nil
	case <-f.done:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (f *chanListener) Close() error {
	f.once.Do(func() { close(f.done) })
	return nil
}

// Addr implements net.Listener.
func (f *chanListener) Addr() net.Addr { return f.addr }
