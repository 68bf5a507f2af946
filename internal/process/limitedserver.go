package process

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/silverswitch/silverswitch/internal/request/forward"
)

// limitedServer serves connections that others have accepted, under the limits in force.
type limitedServer struct {
	server       *http.Server
	limits       *limitsInForce
	chanListener *chanListener
	mu           sync.Mutex
	conns        map[*limitedConn]struct{}
	stopping     bool // no request begins on a connection on which nothing has arrived
	lingering    lingering
}

// newLimitedServer returns a server. connState may be nil, and so may stop: a planned stop, other than this
// router's, that ends its requests.
func newLimitedServer(handler http.Handler, addr net.Addr, connState func(net.Conn, http.ConnState), limits *limitsInForce, stop *forward.Stop, log zerolog.Logger) *limitedServer {
	s := &limitedServer{
		server: &http.Server{
			Handler:           handler,
			ReadHeaderTimeout: headerTimeoutMark,
			IdleTimeout:       idleTimeoutMark,
			MaxHeaderBytes:    maxLibraryHeader,
			ConnState:         connState,
			ConnContext: func(ctx context.Context, c net.Conn) context.Context {
				if stop != nil {
					ctx = forward.WithStop(ctx, stop)
				}
				return forward.WithConn(ctx, c.(*limitedConn))
			},
			ErrorLog: discardLog(),
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
	limited := &limitedConn{Conn: c, limits: s.limits, closed: s.forget, lingering: &s.lingering, hold: s.limits.memory.Load().Hold("")}
	s.mu.Lock()
	s.conns[limited] = struct{}{}
	if s.stopping {
		limited.stop()
	}
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

// shutdownPollInterval is how often a stop looks for connections that are left.
const shutdownPollInterval = 5 * time.Millisecond

// Shutdown closes the connections on which no request has arrived, and each other one after the answers
// to those that have. http.Server.Shutdown would close connections whose requests it has just read.
func (s *limitedServer) Shutdown(ctx context.Context) error {
	s.mu.Lock()
	s.stopping = true
	for c := range s.conns {
		c.stop()
	}
	s.mu.Unlock()
	tick := time.NewTicker(shutdownPollInterval)
	defer tick.Stop()
	for s.open() > 0 {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

func (s *limitedServer) open() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// Close closes all connections.
func (s *limitedServer) Close() { s.server.Close() }
