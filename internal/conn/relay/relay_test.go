package relay

import (
	"bufio"
	"bytes"
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"regexp"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// upstream is a handler with requests that run until they are released.
type upstream struct {
	executed atomic.Int64
	canceled atomic.Int64
	release  chan struct{}
}

func newUpstream() *upstream { return &upstream{release: make(chan struct{})} }

const bigBody = 3 << 20

func (u *upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	u.executed.Add(1)
	if r.URL.Path == "/early" {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	raw, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	switch r.URL.Path {
	case "/wait": // answers nothing until released
		u.wait(r)
	case "/stream": // one event, and another when released
		_, _ = io.WriteString(w, "first;")
		w.(http.Flusher).Flush()
		u.wait(r)
		_, _ = io.WriteString(w, "second;")
	case "/big":
		_, _ = w.Write(bytes.Repeat([]byte("x"), bigBody))
	case "/endless":
		for {
			if _, err := io.WriteString(w, "event;"); err != nil {
				u.canceled.Add(1)
				return
			}
			w.(http.Flusher).Flush()
			time.Sleep(time.Millisecond)
		}
	case "/abort":
		_, _ = io.WriteString(w, "cut")
		w.(http.Flusher).Flush()
		panic(http.ErrAbortHandler)
	default:
		fmt.Fprintf(w, "%s %d", r.URL.Path, len(raw))
	}
}

func (u *upstream) wait(r *http.Request) {
	select {
	case <-u.release:
	case <-r.Context().Done():
		u.canceled.Add(1)
		panic(http.ErrAbortHandler)
	}
}

var dateHeader = regexp.MustCompile(`Date: [^\r]*\r\n`)

// Guards against any difference between a relayed and a direct connection that a caller could
// see: kept-alive and pipelined requests, long bodies and answers, a half-close after the
// request, a malformed request, an answer that the handler cuts, a close by the server.
func TestRelayedConnectionBehavesLikeADirectOne(t *testing.T) {
	get := "GET /a HTTP/1.1\r\nHost: h\r\n\r\n"
	for name, c := range map[string]struct {
		text      string
		halfClose bool
	}{
		"kept alive":    {get + get + "GET /last HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n", false},
		"long body":     {"POST /a HTTP/1.1\r\nHost: h\r\nConnection: close\r\nContent-Length: 700000\r\n\r\n" + strings.Repeat("y", 700_000), false},
		"chunked body":  {"POST /a HTTP/1.1\r\nHost: h\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n", false},
		"long answer":   {"GET /big HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n", false},
		"HTTP/1.0":      {"GET /a HTTP/1.0\r\n\r\n", false},
		"half-close":    {"GET /a HTTP/1.0\r\n\r\n", true},
		"half request":  {"GET /a HTTP/1.1\r\nHo", true},
		"no request":    {"", true},
		"malformed":     {"what is this\r\n\r\n", false},
		"long header":   {"GET /a HTTP/1.1\r\nHost: h\r\nX: " + strings.Repeat("z", 2<<20) + "\r\n\r\n", false},
		"cut by server": {"GET /abort HTTP/1.1\r\nHost: h\r\n\r\n", false},
		"cut, HTTP/1.0": {"GET /abort HTTP/1.0\r\n\r\n", false},
	} {
		t.Run(name, func(t *testing.T) {
			u := newUpstream()
			p := newPair(t, u, pairOptions{}).relaying()
			direct := newConnServer(u)
			defer direct.Server.Close()
			front, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			defer front.Close()
			go func() {
				if c, err := front.Accept(); err == nil {
					direct.Serve(c)
				}
			}()
			var got [2]string
			for i, addr := range []string{front.Addr().String(), p.front.Addr().String()} {
				conn := dialCaller(t, addr)
				_, _ = io.WriteString(conn, c.text) // the server may close before it has read all
				if c.halfClose {
					require.NoError(t, conn.CloseWrite())
				}
				raw, err := io.ReadAll(conn)
				if err != nil {
					assert.ErrorIs(t, err, syscall.ECONNRESET)
				}
				got[i] = dateHeader.ReplaceAllString(string(raw), "")
			}
			assert.True(t, got[0] == got[1], "direct: %.300q\nrelayed: %.300q", got[0], got[1])
			assert.Zero(t, p.here.Load())
			p.eventually("all ended", func() bool { return p.open.Load() == 0 && p.helper.conns.Load() == 0 })
		})
	}
}

// Guards against an answer that is lost, or whose end is not seen, where a request is refused
// before its body has arrived.
func TestAnswerBeforeTheBodyReachesTheCaller(t *testing.T) {
	p := newPair(t, newUpstream(), pairOptions{}).relaying()
	c := p.dial().send("POST /early HTTP/1.1\r\nHost: h\r\nContent-Length: 3000000\r\n\r\n")
	res := c.answer()
	assert.Equal(t, http.StatusForbidden, res.StatusCode)
	body(t, res)
	c.send(strings.Repeat("b", 100_000)) // the router must read this, or the caller's end is a reset
	_, err := c.r.ReadByte()
	assert.ErrorIs(t, err, io.EOF)
	p.eventually("ended", func() bool { return p.open.Load() == 0 && p.helper.conns.Load() == 0 })
}

// Guards against work that goes on for a caller that is gone.
func TestHelperSeesTheCallersCloseAtOnce(t *testing.T) {
	for name, end := range map[string]func(*caller){
		"close": func(c *caller) { c.Close() },
		"reset": func(c *caller) { _ = c.SetLinger(0); c.Close() },
	} {
		for _, path := range []string{"/wait", "/stream"} {
			u := newUpstream()
			p := newPair(t, u, pairOptions{}).relaying()
			c := p.dial().get(path)
			p.eventually("it runs", func() bool { return u.executed.Load() == 1 })
			end(c)
			p.eventually(name+" is seen", func() bool { return u.canceled.Load() == 1 })
			p.eventually("ended", func() bool { return p.open.Load() == 0 && p.helper.conns.Load() == 0 })
		}
	}
}

// Guards against a stream that goes on for a caller that is gone and has sent a further request
// before. The end of its input lies behind that request; on a direct connection the writes
// fail.
func TestWritesForACallerThatHasResetFail(t *testing.T) {
	u := newUpstream()
	p := newPair(t, u, pairOptions{}).relaying()
	c := p.dial().get("/endless").get("/a")
	_, err := io.ReadFull(c.answer().Body, make([]byte, 100))
	require.NoError(t, err)
	require.NoError(t, c.SetLinger(0))
	c.Close()
	p.eventually("the stream ends", func() bool { return u.canceled.Load() == 1 })
	p.eventually("ended", func() bool { return p.open.Load() == 0 && p.helper.conns.Load() == 0 })
}

// brokenLink are the ways in which a session ends without notice.
var brokenLink = map[string]func(*pair){
	"helper killed": func(p *pair) { p.link.kill() },
	"link silent":   func(p *pair) { p.link.swallow.Store(true) },
}

// Guards against a request that is sent twice, against a cut answer that looks complete, and
// against a caller that waits for an answer that cannot come. HTTP/1.0 answers end with the
// connection: only a reset shows that one was cut.
func TestBrokenSessionAnswersOrCutsEachConnection(t *testing.T) {
	for name, breakLink := range brokenLink {
		t.Run(name, func(t *testing.T) {
			u := newUpstream()
			p := newPair(t, u, pairOptions{}).relaying()
			silent := p.dial()
			waiting := p.dial().get("/wait")
			partial := p.dial().send("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\nabc")
			chunked, closing := p.dial().get("/stream"), p.dial().send("GET /stream HTTP/1.0\r\n\r\n")
			idle := p.dial().get("/a")
			assert.Equal(t, "/a 0", body(t, idle.answer()))
			var streams []*http.Response
			for _, c := range []*caller{chunked, closing} {
				res := c.answer()
				_, err := io.ReadFull(res.Body, make([]byte, len("first;")))
				require.NoError(t, err)
				streams = append(streams, res)
			}
			p.eventually("all are relayed", func() bool { return u.executed.Load() == 5 && p.helper.conns.Load() == 6 })
			breakLink(p)
			for _, c := range []*caller{waiting, partial} {
				res := c.answer()
				assert.Equal(t, http.StatusBadGateway, res.StatusCode)
				assert.True(t, res.Close)
				body(t, res)
				_, err := c.r.ReadByte()
				assert.ErrorIs(t, err, io.EOF)
			}
			for _, res := range streams {
				rest, err := io.ReadAll(res.Body)
				assert.Error(t, err, "a cut answer is no whole one")
				assert.Empty(t, rest)
			}
			for _, c := range []*caller{silent, idle} {
				_, err := c.r.ReadByte()
				assert.True(t, errors.Is(err, io.EOF) || errors.Is(err, syscall.ECONNRESET), "%v", err)
			}
			p.eventually("the helper's work ends", func() bool { return p.helper.conns.Load() == 0 })
			p.eventually("ended", func() bool { return p.open.Load() == 0 })
			assert.EqualValues(t, 5, u.executed.Load(), "nothing is sent twice")
			assert.EqualValues(t, 2, p.counter("bad-gateway"))
			assert.EqualValues(t, 6, p.counter("broken"))
			assert.Equal(t, "/again 0", body(t, p.dial().get("/again").answer()), "the router serves new connections itself")
			assert.EqualValues(t, 1, p.here.Load())
		})
	}
}

// Guards against requests that a planned stop of either router cuts, against idle connections
// that delay the stop, and against callers that send a further request on a connection that
// is about to close.
func TestPlannedStopFinishesRelayedRequests(t *testing.T) {
	for name, shutdown := range map[string]func(*pair, context.Context) error{
		"busy router": func(p *pair, ctx context.Context) error { return p.origin.Shutdown(ctx) },
		"helper":      func(p *pair, ctx context.Context) error { return p.helper.Shutdown(ctx) },
	} {
		t.Run(name, func(t *testing.T) {
			u := newUpstream()
			p := newPair(t, u, pairOptions{}).relaying()
			stream, waiting, idle := p.dial().get("/stream"), p.dial().get("/wait"), p.dial().get("/a")
			assert.Equal(t, "/a 0", body(t, idle.answer()))
			res := stream.answer()
			_, err := io.ReadFull(res.Body, make([]byte, len("first;")))
			require.NoError(t, err)
			p.eventually("both run", func() bool { return u.executed.Load() == 3 })
			ctx, stop := context.WithTimeout(context.Background(), testTimeout)
			defer stop()
			stopped := make(chan error, 1)
			go func() { stopped <- shutdown(p, ctx) }()
			_, err = idle.r.ReadByte()
			assert.ErrorIs(t, err, io.EOF, "the idle connection is closed at once")
			select {
			case err := <-stopped:
				t.Fatalf("stopped with requests running: %v", err)
			default:
			}
			close(u.release)
			assert.Equal(t, "second;", body(t, res))
			last := waiting.answer()
			assert.True(t, last.Close, "Connection: close")
			body(t, last)
			for _, c := range []*caller{stream, waiting} {
				_, err := c.r.ReadByte()
				assert.ErrorIs(t, err, io.EOF)
			}
			require.NoError(t, <-stopped)
			assert.Zero(t, p.open.Load())
			assert.Equal(t, "/a 0", body(t, p.dial().get("/a").answer()), "new connections are served by the router itself")
			assert.Zero(t, p.counter("broken"))
		})
	}
}

// Guards against a planned stop that waits beyond its bound.
func TestPlannedStopEndsAtItsBound(t *testing.T) {
	u := newUpstream()
	p := newPair(t, u, pairOptions{}).relaying()
	p.dial().get("/wait")
	p.eventually("it runs", func() bool { return u.executed.Load() == 1 })
	ctx, stop := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer stop()
	assert.ErrorIs(t, p.origin.Shutdown(ctx), context.DeadlineExceeded)
	assert.ErrorIs(t, p.helper.Shutdown(ctx), context.DeadlineExceeded)
}

// Guards against sessions with a router of another fleet or of a release without relaying, and
// against connections that are lost by the attempt.
func TestRouterServesItselfWithoutAHelper(t *testing.T) {
	for name, opt := range map[string]pairOptions{"wrong secret": {secret: "another-secret-of-another"}, "no listener": {noHelper: true}} {
		t.Run(name, func(t *testing.T) {
			p := newPair(t, newUpstream(), opt)
			p.eventually("the attempt has failed", func() bool {
				p.origin.mu.Lock()
				defer p.origin.mu.Unlock()
				return !p.origin.decider.excluded["helper"].IsZero()
			})
			for range 20 {
				assert.Equal(t, "/a 0", body(t, p.dial().get("/a").answer()))
			}
			assert.EqualValues(t, 20, p.here.Load())
			assert.Zero(t, p.helper.served.Count())
			if opt.secret != "" {
				assert.EqualValues(t, 1, p.counter("sessions-rejected"), "one attempt only")
			}
		})
	}
}

// Guards against one caller that does not read and delays the others on the same link, and
// against the memory that such callers would hold.
func TestCallersThatDoNotReadAreBounded(t *testing.T) {
	u := newUpstream()
	p := newPair(t, u, pairOptions{maxBlocked: 2}).relaying()
	var slow []*caller
	for range 5 {
		c := p.dial()
		require.NoError(t, c.SetReadBuffer(4<<10))
		slow = append(slow, c.send(strings.Repeat("GET /big HTTP/1.1\r\nHost: h\r\n\r\n", 10)))
	}
	other := p.dial().get("/a")
	assert.Equal(t, "/a 0", body(t, other.answer()), "others are served")
	p.eventually("the ones beyond the bound are closed", func() bool { return p.counter("blocked-closed") >= 3 && p.open.Load() <= 3 })
	assert.Equal(t, "/a 0", body(t, other.get("/a").answer()))
	for _, c := range append(slow, other) {
		c.Close()
	}
	p.eventually("ended", func() bool { return p.open.Load() == 0 && p.helper.conns.Load() == 0 })
}

// Guards against the memory of a helper that callers fill with requests whose answers they do
// not wait for, and against idle connections that are closed with an unread request.
func TestUnreadInputIsKnownAndBounded(t *testing.T) {
	u := newUpstream()
	p := newPair(t, u, pairOptions{maxUnread: 300_000}).relaying()
	other := p.dial().get("/wait")
	var flooding []*caller
	for range 3 {
		c := p.dial().get("/wait")
		go func() { _, _ = io.WriteString(c, strings.Repeat("z", 200_000)) }() // the connection may be closed
		flooding = append(flooding, c)
	}
	p.eventually("the ones with the most are closed", func() bool { return p.counter("unread-closed") == 2 })
	for _, c := range flooding {
		c.Close()
	}
	close(u.release)
	body(t, other.answer())
	other.Close()
	p.eventually("nothing is left", func() bool {
		p.helper.mu.Lock()
		defer p.helper.mu.Unlock()
		for s := range p.helper.sessions {
			if m := s.meter; len(m.largest(0)) > 0 || p.helper.conns.Load() > 0 {
				return false
			}
		}
		return len(p.helper.sessions) == 1
	})
}

// Frames are counted however the link cuts them.
func TestMeterFollowsFramesAcrossReads(t *testing.T) {
	var raw []byte
	add := func(kind byte, flags uint16, id, length uint32, body int) {
		h := make([]byte, frameHeaderBytes)
		h[1] = kind
		binary.BigEndian.PutUint16(h[2:], flags)
		binary.BigEndian.PutUint32(h[4:], id)
		binary.BigEndian.PutUint32(h[8:], length)
		raw = append(append(raw, h...), make([]byte, body)...)
	}
	add(frameWindow, flagSYN, 3, 0, 0)
	add(frameData, 0, 3, 40, 40)
	add(2, flagSYN, 0, 77, 0) // a ping: its length is a number
	add(frameData, flagSYN, 5, 7, 7)
	add(frameData, 0, 9, 11, 11) // not open
	add(frameData, 0, 3, 2, 2)
	for _, chunk := range []int{1, 5, 12, 1000} {
		m := newMeter()
		for rest := raw; len(rest) > 0; {
			n := min(chunk, len(rest))
			m.arrived(rest[:n])
			rest = rest[n:]
		}
		assert.Equal(t, []int{42, 7, 0, 49}, []int{m.of(3), m.of(5), m.of(9), m.total}, chunk)
		m.read(3, 40)
		assert.Equal(t, []uint32{5}, m.largest(2))
		m.closed(5)
		assert.Equal(t, 2, m.total)
	}
}

// A slow caller that reads in the end receives everything.
func TestSlowCallerReceivesTheWholeAnswer(t *testing.T) {
	p := newPair(t, newUpstream(), pairOptions{}).relaying()
	c := p.dial().get("/big")
	time.Sleep(300 * time.Millisecond)
	assert.Len(t, body(t, c.answer()), bigBody)
}

// Guards against a router near its limit on descriptors whose relayed callers stay.
func TestCloseHintOfTheOriginReachesCallers(t *testing.T) {
	var hint atomic.Bool
	p := newPair(t, newUpstream(), pairOptions{closeHint: hint.Load}).relaying()
	c := p.dial().get("/a")
	assert.False(t, c.answer().Close)
	hint.Store(true)
	p.eventually("the hint", func() bool {
		res := p.dial().get("/a").answer()
		return res.Close
	})
}

// Guards against a message about one connection that changes what the origin has stated.
func TestCloseHintOutlastsResets(t *testing.T) {
	p := newPair(t, newUpstream(), pairOptions{closeHint: func() bool { return true }}).relaying()
	p.eventually("the hint", func() bool { return p.dial().get("/a").answer().Close })
	for range 20 {
		c := p.dial().get("/endless")
		c.answer()
		require.NoError(t, c.SetLinger(0))
		c.Close()
		p.eventually("the reset is passed on", func() bool { return p.helper.conns.Load() == 0 })
		assert.True(t, p.dial().get("/a").answer().Close)
	}
}

// Guards against connections that get lost among many on one link.
func TestManyConnectionsAtOnce(t *testing.T) {
	p := newPair(t, newUpstream(), pairOptions{}).relaying()
	var wg sync.WaitGroup
	for i := range 16 {
		wg.Go(func() {
			for j := range 20 {
				n := (i*20 + j) * 53
				c, err := net.Dial("tcp", p.front.Addr().String())
				if !assert.NoError(t, err) {
					return
				}
				_ = c.SetDeadline(time.Now().Add(testTimeout))
				fmt.Fprintf(c, "POST /p HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", n, strings.Repeat("b", n))
				res, err := http.ReadResponse(bufio.NewReader(c), nil)
				if assert.NoError(t, err) {
					raw, err := io.ReadAll(res.Body)
					assert.NoError(t, err)
					assert.Equal(t, fmt.Sprintf("/p %d", n), string(raw))
				}
				c.Close()
			}
		})
	}
	wg.Wait()
	p.eventually("ended", func() bool { return p.open.Load() == 0 && p.helper.conns.Load() == 0 })
	assert.EqualValues(t, 320, p.counter("connections"))
}

// countingConn counts the writes and keeps what is written.
type countingConn struct {
	net.Conn
	mu     sync.Mutex
	writes int
	data   []byte
}

func (c *countingConn) Write(b []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writes++
	c.data = append(c.data, b...)
	return len(b), nil
}

func (c *countingConn) SetWriteDeadline(time.Time) error { return nil }
func (c *countingConn) Close() error                     { return nil }

// Guards against a system call for each header and each opened stream: only whole frames are
// written, and openings with what follows them.
func TestLinkWritesAFrameWithOneCall(t *testing.T) {
	frame := func(kind byte, flags uint16, length uint32) []byte {
		h := make([]byte, frameHeaderBytes)
		h[1] = kind
		binary.BigEndian.PutUint16(h[2:], flags)
		binary.BigEndian.PutUint32(h[8:], length)
		return h
	}
	c := &countingConn{}
	l := newLink(c, nil)
	var want []byte
	write := func(b []byte) {
		_, err := l.Write(b)
		require.NoError(t, err)
		want = append(want, b...)
	}
	write(frame(frameWindow, flagSYN, 0))
	write(frame(frameData, 0, 5))
	write([]byte("hello"))
	require.NoError(t, l.Close())
	assert.Equal(t, 1, c.writes)
	assert.Equal(t, want, c.data)
	_, err := l.Write([]byte("x"))
	assert.Error(t, err)
}

// Guards against messages of a later release that this one cannot read.
func TestUnknownKeysOfMessagesAreIgnored(t *testing.T) {
	raw, err := decodingTestMarshal(map[int]any{1: 7, 2: true, 9: "later"})
	require.NoError(t, err)
	m, err := readMessage(bytes.NewReader(append(binary.BigEndian.AppendUint16(nil, uint16(len(raw))), raw...)))
	require.NoError(t, err)
	assert.Equal(t, Message{Spare: 7, Accepting: true}, m)
}
