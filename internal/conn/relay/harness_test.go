package relay

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
)

const (
	testSecret  = "a-secret-for-tests-only"
	testTimeout = 20 * time.Second
)

// connServer serves single connections with an http.Server.
type connServer struct {
	*http.Server
	conns chan net.Conn
	done  chan struct{}
	once  sync.Once
}

func newConnServer(h http.Handler) *connServer {
	s := &connServer{Server: &http.Server{Handler: h}, conns: make(chan net.Conn), done: make(chan struct{})}
	go func() { _ = s.Server.Serve(s) }()
	return s
}

func (s *connServer) Serve(c net.Conn) {
	select {
	case s.conns <- c:
	case <-s.done:
		c.Close()
	}
}

func (s *connServer) Accept() (net.Conn, error) {
	select {
	case c := <-s.conns:
		return c, nil
	case <-s.done:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener for the http.Server, and Server. The http.Server closes the
// listener also when it is shut down, and must then leave open connections alone.
func (s *connServer) Close() error {
	s.once.Do(func() { close(s.done) })
	return nil
}

func (s *connServer) Addr() net.Addr { return &net.TCPAddr{} }

// relayServer makes connServer a Server.
type relayServer struct{ *connServer }

func (s relayServer) Close() { s.Server.Close() }

func (s relayServer) SetGrace(time.Duration) {}

// linkFake passes bytes on between an origin and a helper. It can swallow them without a
// reset, and close both sides.
type linkFake struct {
	listener net.Listener
	to       string
	swallow  atomic.Bool
	mu       sync.Mutex
	conns    []net.Conn
}

func newLinkFake(t testing.TB, to string) *linkFake {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	f := &linkFake{listener: l, to: to}
	t.Cleanup(func() { l.Close(); f.kill() })
	go func() {
		for {
			a, err := l.Accept()
			if err != nil {
				return
			}
			b, err := net.Dial("tcp", to)
			if err != nil {
				a.Close()
				continue
			}
			f.mu.Lock()
			f.conns = append(f.conns, a, b)
			f.mu.Unlock()
			go f.copy(a, b)
			go f.copy(b, a)
		}
	}()
	return f
}

func (f *linkFake) copy(to, from net.Conn) {
	buf := make([]byte, 64<<10)
	for {
		n, err := from.Read(buf)
		if err != nil {
			to.Close()
			return
		}
		if f.swallow.Load() {
			continue
		}
		if _, err := to.Write(buf[:n]); err != nil {
			from.Close()
			return
		}
	}
}

func (f *linkFake) kill() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, c := range f.conns {
		c.Close()
	}
}

// pair is a busy router and a helper. The busy router relays every connection that it can.
type pair struct {
	t        testing.TB
	origin   *Origin
	helper   *Helper
	link     *linkFake
	front    net.Listener
	registry metrics.Registry
	here     atomic.Int64 // connections that the busy router serves itself
	open     atomic.Int64 // by ConnState
	load     atomic.Pointer[Observation]
}

type pairOptions struct {
	secret     string // of the helper
	maxBlocked int
	maxUnread  int
	noHelper   bool
	closeHint  func() bool
}

func newPair(t testing.TB, h http.Handler, opt pairOptions) *pair {
	t.Helper()
	if opt.secret == "" {
		opt.secret = testSecret
	}
	if opt.maxBlocked == 0 {
		opt.maxBlocked = 100
	}
	if opt.maxUnread == 0 {
		opt.maxUnread = 100 << 20
	}
	if opt.closeHint == nil {
		opt.closeHint = func() bool { return false }
	}
	p := &pair{t: t, registry: metrics.NewRegistry()}
	helperSealer, err := NewSealer(opt.secret)
	require.NoError(t, err)
	p.helper, err = ListenHelper("127.0.0.1:0", HelperSettings{
		Sealer: helperSealer, Status: func() Message { return Message{Accepting: true, Spare: 1 << 30} },
		NewServer: func(closeHint func() bool) Server {
			return relayServer{newConnServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if closeHint() {
					w.Header().Set("Connection", "close")
				}
				h.ServeHTTP(w, r)
			}))}
		},
		MaxConns: 1000, MaxUnread: opt.maxUnread, Log: zerolog.Nop(), Registry: p.registry,
	})
	require.NoError(t, err)
	p.link = newLinkFake(t, p.helper.Addr().String())
	if opt.noHelper {
		p.helper.Close()
		p.link.listener.Close()
	}
	own := newConnServer(h)
	sealer, err := NewSealer(testSecret)
	require.NoError(t, err)
	p.origin = NewOrigin(OriginSettings{
		Sealer: sealer, Address: func(string) string { return p.link.listener.Addr().String() }, Seed: 1, MaxBlocked: opt.maxBlocked,
		ServeHere: own.Serve, CloseHint: opt.closeHint, Log: zerolog.Nop(), Registry: p.registry,
		ConnState: func(_ net.Conn, s http.ConnState) {
			switch s {
			case http.StateNew:
				p.open.Add(1)
			case http.StateClosed:
				p.open.Add(-1)
			}
		},
	})
	p.front, err = net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	ctx, stop := context.WithCancel(context.Background())
	t.Cleanup(func() {
		stop()
		p.front.Close()
		p.origin.Close()
		p.helper.Close()
		own.Server.Close()
	})
	p.load.Store(&Observation{Use: 1, Power: 192, Peers: []Peer{{"helper", 800}}})
	go func() {
		for ctx.Err() == nil {
			p.origin.Observe(*p.load.Load(), time.Now())
			time.Sleep(10 * time.Millisecond)
		}
	}()
	go func() {
		for {
			c, err := p.front.Accept()
			if err != nil {
				return
			}
			if !p.origin.Relay(c) {
				p.here.Add(1)
				own.Serve(c)
			}
		}
	}()
	return p
}

// relaying waits until every new connection is relayed.
func (p *pair) relaying() *pair {
	p.t.Helper()
	p.eventually("relaying", func() bool {
		p.origin.mu.Lock()
		defer p.origin.mu.Unlock()
		h := p.origin.decider.helpers["helper"]
		return p.origin.decider.Fraction() == 1 && h != nil && h.open && h.accepting
	})
	return p
}

func (p *pair) eventually(what string, ok func() bool) {
	p.t.Helper()
	require.Eventually(p.t, ok, testTimeout, 2*time.Millisecond, what)
}

func (p *pair) counter(name string) int64 {
	return metrics.GetOrRegisterCounter("relay."+name, p.registry).Count()
}

// caller is one connection of a caller.
type caller struct {
	*net.TCPConn
	t testing.TB
	r *bufio.Reader
}

func dialCaller(t testing.TB, addr string) *caller {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	require.NoError(t, err)
	t.Cleanup(func() { c.Close() })
	require.NoError(t, c.SetDeadline(time.Now().Add(testTimeout)))
	return &caller{c.(*net.TCPConn), t, bufio.NewReader(c)}
}

func (p *pair) dial() *caller {
	p.t.Helper()
	return dialCaller(p.t, p.front.Addr().String())
}

func (c *caller) send(text string) *caller {
	c.t.Helper()
	_, err := io.WriteString(c, text)
	require.NoError(c.t, err)
	return c
}

func (c *caller) get(path string) *caller {
	c.t.Helper()
	return c.send("GET " + path + " HTTP/1.1\r\nHost: h\r\n\r\n")
}

// answer reads the header of an answer.
func (c *caller) answer() *http.Response {
	c.t.Helper()
	res, err := http.ReadResponse(c.r, nil)
	require.NoError(c.t, err)
	return res
}

// body reads the body of an answer.
func body(t testing.TB, res *http.Response) string {
	t.Helper()
	raw, err := io.ReadAll(res.Body)
	require.NoError(t, err)
	return string(raw)
}
