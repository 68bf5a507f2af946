package conn

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/joomcode/errorx"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/silverswitch/silverswitch/internal/clock"
)

func anyAnswer(*http.Response) bool { return true }

// serveRaw listens on a local port and runs f for each connection.
func serveRaw(t *testing.T, f func(net.Conn)) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go f(c)
		}
	}()
	return l.Addr().String()
}

const okAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

func get(t *testing.T, p *Exchanges, addr string) (string, error) {
	t.Helper()
	x, err := p.Send(context.Background(), addr, &Message{Method: "GET", Target: "/", Host: "h", Header: http.Header{}}, anyAnswer)
	if err != nil {
		return "", err
	}
	raw, err := io.ReadAll(x.Response.Body)
	x.Close(err == nil)
	return string(raw), err
}

func TestConnectionWithUnsolicitedBytesIsNotReused(t *testing.T) {
	opened := 0
	p := NewExchanges()
	p.OnOpen = func() { opened++ }
	defer p.Close()
	extra := false
	addr := serveRaw(t, func(c net.Conn) {
		buf := make([]byte, 4096)
		for {
			if _, err := c.Read(buf); err != nil {
				return
			}
			text := okAnswer
			if extra {
				text += "HTTP/1.1 200 OK\r\n"
			}
			_, _ = c.Write([]byte(text))
		}
	})
	for range 3 {
		body, err := get(t, p, addr)
		require.NoError(t, err)
		assert.Equal(t, "ok", body)
	}
	assert.Equal(t, 1, opened)
	extra = true
	_, err := get(t, p, addr)
	require.NoError(t, err)
	time.Sleep(50 * time.Millisecond) // time for the extra bytes to arrive
	extra = false
	body, err := get(t, p, addr)
	require.NoError(t, err)
	assert.Equal(t, "ok", body)
	assert.Equal(t, 2, opened, "a connection with unsolicited bytes is not reused")
}

func TestNotSentIsDistinguishedFromBroken(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	closed := l.Addr().String()
	l.Close()
	_, err = get(t, NewExchanges(), closed)
	assert.True(t, IsNotSent(err))
	addr := serveRaw(t, func(c net.Conn) { c.Close() })
	_, err = get(t, NewExchanges(), addr)
	require.Error(t, err)
	assert.False(t, IsNotSent(err), "it may have run")
}

// An upstream may answer before it has read a long body and read the rest later. Writing the
// whole body before reading the answer would block.
func TestAnswerBeforeLongBodyIsRead(t *testing.T) {
	addr := serveRaw(t, func(c net.Conn) {
		_, _ = c.Write([]byte(okAnswer))
		_, _ = io.Copy(io.Discard, c)
	})
	x, err := NewExchanges().Send(context.Background(), addr, &Message{Method: "POST", Target: "/", Host: "h", Header: http.Header{}, Body: [][]byte{[]byte(strings.Repeat("x", 8<<20))}}, anyAnswer)
	require.NoError(t, err)
	raw, err := io.ReadAll(x.Response.Body)
	require.NoError(t, err)
	assert.Equal(t, "ok", string(raw))
	x.Close(true)
}

func TestContextEndClosesConnection(t *testing.T) {
	ended := make(chan struct{})
	addr := serveRaw(t, func(c net.Conn) {
		_, _ = io.Copy(io.Discard, c)
		close(ended)
	})
	ctx, stop := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer stop()
	_, err := NewExchanges().Send(ctx, addr, &Message{Method: "GET", Target: "/", Host: "h", Header: http.Header{}}, anyAnswer)
	require.Error(t, err)
	<-ended
}

func TestNoUnreadSeesUnreadBytes(t *testing.T) {
	accepted := make(chan net.Conn, 1)
	addr := serveRaw(t, func(c net.Conn) { accepted <- c })
	client, err := net.Dial("tcp", addr)
	require.NoError(t, err)
	defer client.Close()
	c := <-accepted
	defer c.Close()
	assert.True(t, NoUnread(c))
	_, err = client.Write([]byte("x"))
	require.NoError(t, err)
	require.Eventually(t, func() bool { return !NoUnread(c) }, 5*time.Second, time.Millisecond)
	one := make([]byte, 1)
	_, err = c.Read(one)
	require.NoError(t, err)
	assert.Equal(t, "x", string(one), "NoUnread did not consume the byte")
}

// A network path may go silent for open connections while new ones work. After one silent
// connection the idle ones to that upstream are closed, and after silence of a second
// upstream all idle connections.
func TestSilentReusedConnectionClosesIdleConnections(t *testing.T) {
	var mute atomic.Bool
	serve := func(c net.Conn) {
		buf := make([]byte, 4096)
		for n := 0; ; n++ {
			if _, err := c.Read(buf); err != nil {
				return
			}
			if n > 0 && mute.Load() {
				continue // never answers on a reused connection
			}
			_, _ = c.Write([]byte(okAnswer))
		}
	}
	a, b, d := serveRaw(t, serve), serveRaw(t, serve), serveRaw(t, serve)
	p := NewExchanges()
	defer p.Close()
	opened, silences := 0, 0
	p.OnOpen = func() { opened++ }
	p.OnSilence = func(string, int) { silences++ }
	hold := func(addr string, n int) {
		var list []*Exchange
		for range n {
			x, err := p.Send(context.Background(), addr, &Message{Method: "GET", Target: "/", Host: "h", Header: http.Header{}}, anyAnswer)
			require.NoError(t, err)
			list = append(list, x)
		}
		for _, x := range list {
			_, _ = io.Copy(io.Discard, x.Response.Body)
			x.Close(true)
		}
	}
	hold(a, 3)
	hold(b, 3)
	hold(d, 2)
	require.Equal(t, 8, opened)
	mute.Store(true)
	silent := func(addr string) {
		ctx, stop := context.WithCancelCause(context.Background())
		time.AfterFunc(30*time.Millisecond, func() { stop(ErrSilence) })
		_, err := p.Send(ctx, addr, &Message{Method: "GET", Target: "/", Host: "h", Header: http.Header{}}, anyAnswer)
		require.Error(t, err)
		assert.False(t, IsNotSent(err), "it may have run")
	}
	silent(a)
	assert.Equal(t, 1, silences)
	_, err := get(t, p, a)
	require.NoError(t, err, "on a new connection")
	assert.Equal(t, 9, opened)
	silent(b)
	assert.Equal(t, 2, silences)
	_, err = get(t, p, d)
	require.NoError(t, err, "idle connections to other upstreams are closed too")
	assert.Equal(t, 10, opened)
}

// A request that ends because the caller disconnected says nothing about the path to the
// upstream, so no connections are closed.
func TestCancelledCallerIsNotCountedAsSilence(t *testing.T) {
	n := 0
	addr := serveRaw(t, func(c net.Conn) {
		buf := make([]byte, 4096)
		for ; ; n++ {
			if _, err := c.Read(buf); err != nil {
				return
			}
			if n == 0 {
				_, _ = c.Write([]byte(okAnswer))
			}
		}
	})
	p := NewExchanges()
	defer p.Close()
	p.OnSilence = func(string, int) { t.Error("silence was reported") }
	_, err := get(t, p, addr)
	require.NoError(t, err)
	ctx, stop := context.WithTimeout(context.Background(), 30*time.Millisecond)
	defer stop()
	_, err = p.Send(ctx, addr, &Message{Method: "GET", Target: "/", Host: "h", Header: http.Header{}}, anyAnswer)
	require.Error(t, err)
}

func TestWithdrawnExchangeSendsNothing(t *testing.T) {
	got := make(chan int, 10)
	addr := serveRaw(t, func(c net.Conn) {
		buf := make([]byte, 4096)
		for {
			n, err := c.Read(buf)
			if err != nil {
				return
			}
			got <- n
			_, _ = c.Write([]byte(okAnswer))
		}
	})
	p := NewExchanges()
	defer p.Close()
	opened := 0
	p.OnOpen = func() { opened++ }
	wanted := false
	_, err := p.Send(context.Background(), addr, &Message{Method: "GET", Target: "/", Host: "h", Header: http.Header{}, StillWanted: func() bool { return wanted }}, anyAnswer)
	assert.True(t, IsWithdrawn(err))
	assert.True(t, IsNotSent(err))
	_, err = get(t, p, addr)
	require.NoError(t, err)
	assert.Equal(t, 1, opened, "the connection is kept")
	assert.Len(t, got, 1)
}

func TestHasUnreadSeesUnreadBytes(t *testing.T) {
	more := make(chan bool)
	addr := serveRaw(t, func(c net.Conn) {
		buf := make([]byte, 4096)
		_, _ = c.Read(buf)
		_, _ = c.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\na"))
		<-more
		_, _ = c.Write([]byte("bc"))
	})
	p := NewExchanges()
	defer p.Close()
	var x *Exchange
	m := &Message{Method: "GET", Target: "/", Host: "h", Header: http.Header{}, OnStart: func(e *Exchange) { x = e }}
	got, err := p.Send(context.Background(), addr, m, anyAnswer)
	require.NoError(t, err)
	require.Same(t, x, got)
	one := make([]byte, 1)
	_, err = io.ReadFull(got.Response.Body, one)
	require.NoError(t, err)
	assert.False(t, x.HasUnread(), "everything received was read")
	more <- true
	assert.Eventually(t, x.HasUnread, 10*time.Second, time.Millisecond)
	got.Close(false)
	assert.False(t, x.HasUnread())
}

func TestRefusesDetectsClosedListener(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	p := NewExchanges()
	defer p.Close()
	addr := l.Addr().String()
	assert.False(t, p.Refuses(context.Background(), addr))
	c := p.pop(addr)
	require.NotNil(t, c, "the connection is kept for the next request")
	c.Close()
	l.Close()
	assert.True(t, p.Refuses(context.Background(), addr))
	gone, stop := context.WithCancel(context.Background())
	stop()
	assert.False(t, p.Refuses(gone, addr), "a cancelled attempt is not a refusal")
}

// The VM is suspended for longer than the idle timeout. The upstream has closed its side,
// and if the network path was interrupted meanwhile, the router did not receive the close.
func TestIdleConnectionIsNotReusedAfterSuspension(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	var total atomic.Int64
	p := NewExchanges()
	p.clock = clock.New(func() (time.Duration, bool) { return time.Duration(total.Load()), true })
	defer p.Close()
	addr := l.Addr().String()
	require.False(t, p.Refuses(context.Background(), addr))
	c, err := p.getConn(context.Background(), addr)
	require.NoError(t, err)
	assert.True(t, c.reused)
	p.addIdle(c)
	total.Add(int64(defaultIdleTimeout))
	p.clock.Refresh()
	c, err = p.getConn(context.Background(), addr)
	require.NoError(t, err)
	defer c.Close()
	assert.False(t, c.reused)
}

// A request was withdrawn before it was sent, and its connection counted as idle from then on: the next
// one was sent on it while the upstream closed it.
func TestWithdrawnRequestDoesNotProlongAnIdleConnection(t *testing.T) {
	addr := serveRaw(t, func(c net.Conn) { _, _ = c.Read(make([]byte, 1)) })
	var total atomic.Int64
	p := NewExchanges()
	p.clock = clock.New(func() (time.Duration, bool) { return time.Duration(total.Load()), true })
	defer p.Close()
	require.False(t, p.Refuses(context.Background(), addr))
	withdrawn := &Message{Method: "GET", Target: "/", Host: "h", Header: http.Header{}, StillWanted: func() bool { return false }}
	opened := 0
	p.OnOpen = func() { opened++ }
	for range 2 {
		total.Add(int64(defaultIdleTimeout * 3 / 5))
		p.clock.Refresh()
		_, err := p.Send(context.Background(), addr, withdrawn, anyAnswer)
		require.True(t, IsWithdrawn(err))
	}
	assert.Equal(t, 1, opened, "it was idle for longer than its upstream keeps it")
}

// A response header without an end would fill a router's memory until its process is killed,
// and the caller's retry would do the same to the next router.
func TestEndlessHeaderIsRejected(t *testing.T) {
	const maxSent = 16 << 20
	sent := make(chan int, 1)
	addr := serveRaw(t, func(c net.Conn) {
		defer c.Close()
		_, _ = http.ReadRequest(bufio.NewReader(c))
		line := []byte("X-Filler: " + strings.Repeat("x", 1000) + "\r\n")
		n, _ := io.WriteString(c, "HTTP/1.1 200 OK\r\n")
		for n < maxSent {
			k, err := c.Write(line)
			n += k
			if err != nil {
				break
			}
		}
		sent <- n
	})
	p := NewExchanges()
	defer p.Close()
	_, err := p.Send(context.Background(), addr, &Message{Method: "GET", Target: "/", Host: "h", Header: http.Header{}}, anyAnswer)
	assert.True(t, errorx.IsOfType(err, ErrExchange), "%v", err)
	assert.False(t, IsDisconnected(err), "the upstream did not end the connection")
	assert.Less(t, <-sent, maxSent)
}

// shortFields returns n header fields of some 7 bytes each.
func shortFields(n int) string {
	var b strings.Builder
	for i := range n {
		fmt.Fprintf(&b, "a%x:\r\n", i)
	}
	return b.String()
}

// A header field of a few bytes takes a hundred and more once it is parsed: 256 KB of them took several
// megabytes for each attempt, which no account held.
func TestHeaderOfShortFieldsIsReservedOrRejected(t *testing.T) {
	addr := serveRaw(t, func(c net.Conn) {
		defer c.Close()
		r, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			return
		}
		fields, _ := strconv.Atoi(r.URL.Path[1:])
		text := "HTTP/1.1 200 OK\r\n" + shortFields(max(fields, -fields))
		if fields < 0 { // without an end
			_, _ = io.WriteString(c, text)
			_, _ = io.Copy(io.Discard, c)
			return
		}
		_, _ = io.WriteString(c, text+"Content-Length: 2\r\n\r\nok")
	})
	p := NewExchanges()
	defer p.Close()
	for _, k := range []struct {
		fields, limit, room int
		ok                  bool
	}{{30, 0, 0, true}, {600, 0, 1 << 20, true}, {600, 0, 10 << 10, false}, {900, 0, 1 << 20, true}, {900, 0, 10 << 10, false},
		{30_000, 0, 1 << 30, false}, {-900, 0, 10 << 10, false}, {900, MaxPlainHeaderBytes, 1 << 20, true}, {900, 2 << 10, 1 << 20, false}} {
		reserved := int64(0)
		m := &Message{Method: "GET", Target: "/" + strconv.Itoa(k.fields), Host: "h", Header: http.Header{}, MaxHeaderBytes: k.limit, Reserve: func(n int64) bool {
			if reserved+n > int64(k.room) {
				return false
			}
			reserved += n
			return true
		}}
		ctx, stop := context.WithTimeout(t.Context(), 10*time.Second)
		defer stop()
		x, err := p.Send(ctx, addr, m, anyAnswer)
		assert.NoError(t, ctx.Err(), "%+v", k)
		assert.Equal(t, k.ok, err == nil, "%+v: %v", k, err)
		if err != nil {
			assert.False(t, IsNotSent(err) || IsDisconnected(err), "the answer is broken")
			continue
		}
		assert.Equal(t, k.fields > 100, reserved > int64(100*k.fields), "%+v: %d", k, reserved)
		x.Close(false)
	}
}

// The limit applies to each response header separately: a body may be larger, and a reused
// connection may deliver any number of answers.
func TestHeaderLimitAppliesToEachAnswer(t *testing.T) {
	const answers = 8
	body := strings.Repeat("b", maxHeaderBytes)
	addr := serveRaw(t, func(c net.Conn) {
		defer c.Close()
		br := bufio.NewReader(c)
		for {
			if _, err := http.ReadRequest(br); err != nil {
				return
			}
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nX-Filler: "+strings.Repeat("x", maxHeaderBytes/2)+"\r\nContent-Length: "+strconv.Itoa(len(body))+"\r\n\r\n"+body)
		}
	})
	p := NewExchanges()
	defer p.Close()
	for range answers {
		x, err := p.Send(context.Background(), addr, &Message{Method: "GET", Target: "/", Host: "h", Header: http.Header{}}, anyAnswer)
		require.NoError(t, err)
		raw, err := io.ReadAll(x.Response.Body)
		require.NoError(t, err)
		assert.Equal(t, body, string(raw))
		x.Close(true)
	}
}

// An exiting process may close its connections shortly before it stops listening, so that
// the first probe is still accepted.
func TestAddressThatClosesNewConnectionIsProbedAgain(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		l.Close()
		c.Close()
	}()
	addr := l.Addr().String()
	p := NewExchanges()
	defer p.Close()
	assert.True(t, p.Refuses(context.Background(), addr))
	assert.Nil(t, p.pop(addr))
}

// unreadConn is a connection without a socket that knows its unread bytes.
type unreadConn struct {
	net.Conn
	unread bool
}

func (c unreadConn) HasUnread() bool { return c.unread }

// Guards against an idle relayed connection that is closed although a request has arrived.
func TestNoUnreadAsksConnectionsWithoutSocket(t *testing.T) {
	a, b := net.Pipe()
	defer a.Close()
	defer b.Close()
	assert.True(t, NoUnread(a), "cannot be checked")
	assert.True(t, NoUnread(unreadConn{a, false}))
	assert.False(t, NoUnread(unreadConn{a, true}))
}
