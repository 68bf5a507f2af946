package process

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"

	"github.com/rs/zerolog"
)

// limitedServer serves connections that others have accepted, under the limits in force.
type limitedServer struct {
	server       *http.Server
	limits       *limitsInForce
	chanListener *chanListener
	mu           sync.Mutex
	conns        map[*limitedConn]struct{}
	lingering    lingering
}

// newLimitedServer returns a server. connState may be nil.
func newLimitedServer(handler http.Handler, addr net.Addr, connState func(net.Conn, http.ConnState), limits *limitsInForce, log zerolog.Logger) *limitedServer {
	s := &limitedServer{
		server: &http.Server{
			Handler:           handler,
			ReadHeaderTimeout: headerTimeoutMark,
			IdleTimeout:       idleTimeoutMark,
			MaxHeaderBytes:    maxLibraryHeader,
			ConnState:         connState,
			ErrorLog:          discardLog(),
		},
		limits: limits, chanListener: newChanListener(addr), conns: map[*limitedConn]struct{}{},
	}
	go func() {
		if err := s.server.Serve(s.chanListener); !errors.Is(err, http.ErrServerClosed) {
			log.Error().Err(err).Msg("callers-listener-ended")
		}
	}()
	return s
}

// Serve serves one connection. It returns before the connection ends.
func (s *limitedServer) Serve(c net.Conn) {
	limited := &limitedConn{Conn: c, limits: s.limits, closed: s.forget, lingering: &s.lingering}
	s.mu.Lock()
	s.conns[limited] = struct{}{}
	s.mu.Unlock()
	s.chanListener.deliver(limited)
}

func (s *limitedServer) forget(c *limitedConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
}

// limitsChanged applies the limits to connections that wait.
func (s *limitedServer) limitsChanged() {
	l := s.limits.get()
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.limitsChanged(l)
	}
}

// Shutdown closes idle connections at once and others after their current request.
func (s *limitedServer) Shutdown(ctx context.Context) error { return s.server.Shutdown(ctx) }

// Close closes all connections.
func (s *limitedServer) Close() { s.server.Close() }
