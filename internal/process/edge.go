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
type edge struct {
	listener net.Listener
	handler  http.Handler
	crowd    *crowd
	behind   func() bool // control is behind; may be nil
	log      zerolog.Logger
	mu       sync.Mutex
	limits   routing.Limits
	current  *http.Server
	feed     *feed
	all      []*http.Server
	closed   bool
	failedAt time.Time // last line of a failed accept; accept goroutine only
}

// startLimits are in force until the first table is known.
var startLimits = routing.Limits{HeaderBytes: 16 << 10, HeaderTimeout: 3 * time.Second, IdleConnTimeout: 15 * time.Second}

// newEdge listens for callers. While behind says that control is not read, they are
// accepted more slowly.
func newEdge(addr string, handler http.Handler, descriptors int, behind func() bool, log zerolog.Logger) (*edge, error) {
	// Callers that are gone without a word are found by the limits on idle time and
	// requests; probes would cost four system calls a connection.
	config := net.ListenConfig{KeepAlive: -1}
	l, err := config.Listen(context.Background(), "tcp", addr)
	if err != nil {
		return nil, ErrSettings.Wrap(err, "[router] caller_address = %q", addr)
	}
	e := &edge{listener: l, crowd: newCrowd(descriptors), behind: behind, log: log}
	e.handler = e.closing(handler)
	e.use(startLimits)
	go e.accept()
	return e, nil
}

// closing asks callers to close their connections while there are many.
func (e *edge) closing(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if e.crowd.dense() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// use puts limits in force for new connections.
func (e *edge) use(l routing.Limits) {
	l.TokensPerSecond, l.BodyBytes = 0, 0
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.closed || e.current != nil && e.limits == l {
		return
	}
	e.limits = l
	e.current = &http.Server{
		Handler:           e.handler,
		ReadHeaderTimeout: l.HeaderTimeout,
		IdleTimeout:       l.IdleConnTimeout,
		MaxHeaderBytes:    l.HeaderBytes,
		ConnState:         e.crowd.connState,
		ErrorLog:          quietLog(),
	}
	e.feed = newFeed(e.listener.Addr())
	e.all = append(e.all, e.current)
	go func(s *http.Server, f *feed) {
		if err := s.Serve(f); !errors.Is(err, http.ErrServerClosed) {
			e.log.Error().Err(err).Msg("callers-listener-ended")
		}
	}(e.current, e.feed)
}

func (e *edge) accept() {
	for {
		e.pace()
		c, err := e.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil { // out of descriptors: those in use end soon
			e.acceptFailed(err)
			continue
		}
		e.mu.Lock()
		f := e.feed
		e.mu.Unlock()
		f.give(c)
	}
}

// Accepting is held while control is behind, for acceptHold at the most, looking every
// acceptLook, so that a router always takes some connections: callers give a new one a
// second.
//
// Load pattern: 2,600 requests a second of several floods at a router of a fifth of a core.
// Refusing each took all its processor, and it read no datagram for three seconds: it had
// no word on shares, and what it placed was not sent.
const (
	acceptHold = 20 * time.Millisecond
	acceptLook = 2 * time.Millisecond
)

// pace waits while control is behind.
func (e *edge) pace() {
	if e.behind == nil {
		return
	}
	for end := time.Now().Add(acceptHold); e.behind() && time.Now().Before(end); {
		time.Sleep(acceptLook)
	}
}

const (
	acceptPause   = 5 * time.Millisecond
	acceptLogSpan = time.Second
)

// acceptFailed waits a moment; of many failures one a second is logged.
func (e *edge) acceptFailed(err error) {
	if now := time.Now(); now.Sub(e.failedAt) >= acceptLogSpan {
		e.failedAt = now
		e.log.Warn().Err(err).Msg("accept-failed")
	}
	time.Sleep(acceptPause)
}

// stopAccepting closes the listener; open connections go on.
func (e *edge) stopAccepting() { e.listener.Close() }

// shutdown ends idle connections at once and others after their request.
func (e *edge) shutdown(ctx context.Context) error {
	e.stopAccepting()
	e.mu.Lock()
	e.closed = true
	all := e.all
	e.mu.Unlock()
	var wg sync.WaitGroup
	errs := make([]error, len(all))
	for i, s := range all {
		wg.Go(func() { errs[i] = s.Shutdown(ctx) })
	}
	wg.Wait()
	return errors.Join(errs...)
}

func (e *edge) close() {
	e.stopAccepting()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.closed = true
	for _, s := range e.all {
		s.Close()
	}
}

// feed is a net.Listener that is given its connections.
type feed struct {
	addr  net.Addr
	conns chan net.Conn
	done  chan struct{}
	once  sync.Once
}

func newFeed(addr net.Addr) *feed {
	return &feed{addr: addr, conns: make(chan net.Conn), done: make(chan struct{})}
}

func (f *feed) give(c net.Conn) {
	select {
	case f.conns <- c:
	case <-f.done:
		c.Close()
	}
}

// Accept implements net.Listener.
func (f *feed) Accept() (net.Conn, error) {
	select {
	case c := <-f.conns:
		return c, nil
	case <-f.done:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (f *feed) Close() error {
	f.once.Do(func() { close(f.done) })
	return nil
}

// Addr implements net.Listener.
func (f *feed) Addr() net.Addr { return f.addr }
