package process

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"

	"github.com/rs/zerolog"

	"github.com/silverswitch/silverswitch/internal/routing"
)

// limitedServer serves connections that others have accepted, under limits that can change.
// The limits of an http.Server cannot change, so other limits get a new http.Server for new
// connections; open connections keep their limits.
type limitedServer struct {
	handler      http.Handler
	addr         net.Addr
	connState    func(net.Conn, http.ConnState) // may be nil
	log          zerolog.Logger
	mu           sync.Mutex
	limits       routing.Limits
	current      *http.Server
	chanListener *chanListener
	servers      []*http.Server
	closed       bool
}

// newLimitedServer returns a server that serves connections once its limits are set.
func newLimitedServer(handler http.Handler, addr net.Addr, connState func(net.Conn, http.ConnState), log zerolog.Logger) *limitedServer {
	return &limitedServer{handler: handler, addr: addr, connState: connState, log: log}
}

// setLimits applies limits to new connections.
func (s *limitedServer) setLimits(l routing.Limits) {
	l.TokensPerSecond, l.BodyBytes = 0, 0
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || s.current != nil && s.limits == l {
		return
	}
	s.limits = l
	s.current = &http.Server{
		Handler:           s.handler,
		ReadHeaderTimeout: l.HeaderTimeout,
		IdleTimeout:       l.IdleConnTimeout,
		MaxHeaderBytes:    l.HeaderBytes,
		ConnState:         s.connState,
		ErrorLog:          discardLog(),
	}
	s.chanListener = newChanListener(s.addr)
	s.servers = append(s.servers, s.current)
	go func(current *http.Server, ln *chanListener) {
		if err := current.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
			s.log.Error().Err(err).Msg("callers-listener-ended")
		}
	}(s.current, s.chanListener)
}

// Serve serves one connection under the present limits. It returns before the connection ends.
func (s *limitedServer) Serve(c net.Conn) {
	s.mu.Lock()
	ln := s.chanListener
	s.mu.Unlock()
	ln.deliver(c)
}

// Shutdown closes idle connections at once and others after their current request.
func (s *limitedServer) Shutdown(ctx context.Context) error {
	s.mu.Lock()
	s.closed = true
	servers := s.servers
	s.mu.Unlock()
	var wg sync.WaitGroup
	errs := make([]error, len(servers))
	for i, server := range servers {
		wg.Go(func() { errs[i] = server.Shutdown(ctx) })
	}
	wg.Wait()
	return errors.Join(errs...)
}

// Close closes all connections.
func (s *limitedServer) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for _, server := range s.servers {
		server.Close()
	}
}
