package relay

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"github.com/silverswitch/silverswitch/internal/conn"
)

// Server serves the connections of one session.
type Server interface {
	// Serve serves one connection. It returns before the connection ends.
	Serve(c net.Conn)
	// Shutdown closes idle connections and the others after their current request, and returns
	// when all are closed.
	Shutdown(ctx context.Context) error
	// Close closes all connections.
	Close()
	// SetGrace states what the planned stop of the origin leaves to requests. When nothing is left,
	// callers without an answer are told.
	SetGrace(left time.Duration)
}

// HelperSettings are the settings of the side that serves relayed connections.
type HelperSettings struct {
	Sealer *conn.Sealer
	// Status returns the spare CPU of this router, and whether it accepts connections.
	Status func() Message
	// NewServer returns the server of a new session. closeHint reports whether its callers
	// should be asked to close their connections.
	NewServer func(closeHint func() bool) Server
	// MaxConns is the number of connections that are served at the same time.
	MaxConns int
	// MaxUnread is the number of bytes from callers that may wait to be read, in all sessions.
	// Beyond it the connections with the most are closed.
	MaxUnread int
	Log       zerolog.Logger
	Registry  metrics.Registry
}

const (
	// maxHandshakes is the number of connections that may perform the proofs at the same time.
	maxHandshakes = 64
	// acceptRetryDelay is the pause after a failure to accept, such as a lack of descriptors.
	acceptRetryDelay = 5 * time.Millisecond
	// originCloseTimeout is how long a stopping helper waits, after all connections have ended,
	// for the origin to close the session. A close by the helper could reset the link while
	// the ends of answers are on their way.
	originCloseTimeout = time.Second
)

// Helper listens for sessions and serves the connections that are relayed on them.
type Helper struct {
	set        HelperSettings
	listener   net.Listener
	handshakes chan struct{}
	stopping   atomic.Bool
	conns      atomic.Int64

	rejectedLogged atomic.Int64 // Unix nanoseconds of the latest rejection; those within a second of another are not logged

	mu       sync.Mutex
	closed   bool
	sessions map[*helperSession]struct{}

	served, refused, rejected, flooding metrics.Counter
	open                                metrics.Gauge
}

// ListenHelper listens for sessions on an address and begins to serve them.
func ListenHelper(addr string, set HelperSettings) (*Helper, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, ErrSession.Wrap(err, "listen on %q", addr)
	}
	counter := func(name string) metrics.Counter { return metrics.GetOrRegisterCounter("relay."+name, set.Registry) }
	h := &Helper{
		set: set, listener: l, handshakes: make(chan struct{}, maxHandshakes), sessions: map[*helperSession]struct{}{},
		served: counter("served"), refused: counter("refused"), rejected: counter("sessions-rejected"), flooding: counter("unread-closed"), open: metrics.GetOrRegisterGauge("relay.serving", set.Registry),
	}
	go h.accept()
	return h, nil
}

// Addr returns the address of the listener.
func (h *Helper) Addr() net.Addr { return h.listener.Addr() }

func (h *Helper) accept() {
	for {
		c, err := h.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(acceptRetryDelay)
			continue
		}
		select {
		case h.handshakes <- struct{}{}:
			go h.serve(c)
		default:
			c.Close()
		}
	}
}

func (h *Helper) serve(c net.Conn) {
	err := verify(c, h.set.Sealer)
	<-h.handshakes
	if err != nil {
		c.Close()
		h.rejected.Inc(1)
		if now := time.Now().UnixNano(); now-h.rejectedLogged.Swap(now) >= int64(time.Second) {
			h.set.Log.Info().Err(err).Str("peer", c.RemoteAddr().String()).Msg("relay-session-rejected")
		}
		return
	}
	m := newMeter()
	s, err := newHelperSession(c, m)
	if err != nil {
		return
	}
	hs := &helperSession{session: s, helper: h, meter: m, conns: map[uint32]*streamConn{}}
	hs.server = h.set.NewServer(hs.closeHint.Load)
	h.mu.Lock()
	if h.closed {
		h.mu.Unlock()
		s.mux.Close()
		return
	}
	h.sessions[hs] = struct{}{}
	h.mu.Unlock()
	hs.run()
	h.mu.Lock()
	delete(h.sessions, hs)
	h.mu.Unlock()
}

func (h *Helper) status() Message {
	m := h.set.Status()
	m.Stopping = m.Stopping || h.stopping.Load()
	n := h.conns.Load()
	m.Accepting = m.Accepting && !m.Stopping && n < int64(h.set.MaxConns)
	h.open.Update(n)
	return m
}

// unreadLimit returns the bytes that may wait to be read in each session.
func (h *Helper) unreadLimit() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.set.MaxUnread / max(1, len(h.sessions))
}

// Shutdown performs the planned stop: it accepts no sessions and no connections, and returns
// when the requests on all connections have ended, or with the context's error.
func (h *Helper) Shutdown(ctx context.Context) error {
	h.stopping.Store(true)
	h.listener.Close()
	h.mu.Lock()
	var wg sync.WaitGroup
	errs := make([]error, 0, len(h.sessions))
	var errsMu sync.Mutex
	for s := range h.sessions {
		wg.Go(func() {
			err := s.shutdown(ctx)
			errsMu.Lock()
			errs = append(errs, err)
			errsMu.Unlock()
		})
	}
	h.mu.Unlock()
	wg.Wait()
	return errors.Join(errs...)
}

// Close ends all sessions.
func (h *Helper) Close() {
	h.stopping.Store(true)
	h.listener.Close()
	h.mu.Lock()
	h.closed = true
	sessions := h.sessions
	h.sessions = map[*helperSession]struct{}{}
	h.mu.Unlock()
	for s := range sessions {
		s.mux.Close()
	}
}

// helperSession is a session with one origin.
type helperSession struct {
	*session
	helper    *Helper
	server    Server
	meter     *meter
	closeHint atomic.Bool
	stopOnce  sync.Once
	mu        sync.Mutex
	conns     map[uint32]*streamConn // by stream
}

// run serves the session until it ends. The connections are closed then, which ends the work
// for their callers.
func (s *helperSession) run() {
	go s.sendStatus(s.status)
	go s.receive(s.handle)
	for {
		stream, err := s.mux.AcceptStream()
		if err != nil {
			break
		}
		s.add(stream)
	}
	s.server.Close()
}

// status returns the status to send, and bounds what waits to be read. A caller that sends
// requests without waiting for answers has up to streamWindow bytes waiting.
func (s *helperSession) status() Message {
	for _, id := range s.meter.largest(s.helper.unreadLimit()) {
		s.reset(id)
		s.helper.flooding.Inc(1)
	}
	return s.helper.status()
}

// reset ends the connection on a stream, if there is one.
func (s *helperSession) reset(id uint32) {
	s.mu.Lock()
	c := s.conns[id]
	s.mu.Unlock()
	if c != nil {
		c.abort()
	}
}

func (s *helperSession) add(stream *yamux.Stream) {
	if s.helper.conns.Load() >= int64(s.helper.set.MaxConns) {
		s.helper.refused.Inc(1)
		s.meter.closed(stream.StreamID())
		stream.Close()
		return
	}
	c := &streamConn{Stream: stream, session: s}
	s.mu.Lock()
	s.conns[stream.StreamID()] = c
	s.mu.Unlock()
	s.helper.conns.Add(1)
	s.helper.served.Inc(1)
	s.server.Serve(c)
}

func (s *helperSession) handle(m Message) {
	s.closeHint.Store(m.CloseHint)
	if m.Reset != 0 {
		s.reset(m.Reset)
	}
	if m.GraceMS > 0 || m.GraceOver {
		s.server.SetGrace(time.Duration(m.GraceMS) * time.Millisecond)
	}
	if m.Stopping {
		s.stopOnce.Do(func() { go func() { _ = s.server.Shutdown(context.Background()) }() }) // ends with the session at the latest
	}
}

// shutdown ends the session on this router's planned stop.
func (s *helperSession) shutdown(ctx context.Context) error {
	_ = s.send(s.helper.status()) // the next status says the same
	if err := s.server.Shutdown(ctx); err != nil {
		return err
	}
	ctx, stop := context.WithTimeout(ctx, originCloseTimeout)
	defer stop()
	select {
	case <-s.mux.CloseChan():
	case <-ctx.Done():
		s.mux.Close()
	}
	return nil
}

func (s *helperSession) remove(c *streamConn) {
	s.mu.Lock()
	delete(s.conns, c.StreamID())
	s.mu.Unlock()
	s.meter.closed(c.StreamID())
	s.helper.conns.Add(-1)
}

// streamConn is a relayed connection as the helper serves it.
type streamConn struct {
	*yamux.Stream
	session   *helperSession
	aborted   atomic.Bool // the caller is gone
	closed    atomic.Bool
	closeOnce sync.Once
}

// Read implements net.Conn.
func (c *streamConn) Read(b []byte) (int, error) {
	if err := c.err(); err != nil {
		return 0, err
	}
	n, err := c.Stream.Read(b)
	c.session.meter.read(c.StreamID(), n)
	if n == 0 && err != nil {
		if e := c.err(); e != nil {
			return 0, e
		}
	}
	return n, err
}

// SetReadDeadline implements net.Conn.
func (c *streamConn) SetReadDeadline(t time.Time) error {
	if err := c.err(); err != nil {
		return err // keeps the deadline that abort has set
	}
	return c.Stream.SetReadDeadline(t)
}

// SetWriteDeadline implements net.Conn.
func (c *streamConn) SetWriteDeadline(t time.Time) error {
	if err := c.err(); err != nil {
		return err
	}
	return c.Stream.SetWriteDeadline(t)
}

// HasUnread reports whether bytes from the caller have arrived that were not read yet.
func (c *streamConn) HasUnread() bool { return c.session.meter.of(c.StreamID()) > 0 }

// Write implements net.Conn.
func (c *streamConn) Write(b []byte) (int, error) {
	if err := c.err(); err != nil {
		return 0, err
	}
	return c.Stream.Write(b)
}

func (c *streamConn) err() error {
	switch {
	case c.aborted.Load():
		return syscall.ECONNRESET
	case c.closed.Load():
		return net.ErrClosed
	}
	return nil
}

// abort makes all calls fail as on a connection that the caller has reset.
func (c *streamConn) abort() {
	c.aborted.Store(true)
	_ = c.Stream.SetDeadline(time.Unix(1, 0)) // unblocks Read and Write
}

// CloseWrite ends the direction to the caller. net/http calls it before it waits for callers
// that still send a body that was refused.
func (c *streamConn) CloseWrite() error { return c.Stream.Close() }

// Close implements net.Conn. yamux's Close alone would leave a blocked Read waiting for the
// origin.
func (c *streamConn) Close() error {
	c.closed.Store(true)
	err := c.Stream.Close()
	c.closeOnce.Do(func() {
		_ = c.Stream.SetDeadline(time.Unix(1, 0))
		c.session.remove(c)
	})
	return err
}
