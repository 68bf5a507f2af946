package forward

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/silverswitch/silverswitch/internal/conn"
)

// An overloaded router may not get to read its streams for a second. It must not take the
// upstreams for silent and cut streams whose events lie unread in its own sockets.
func TestWatchdogDoesNotFireWhileBytesAreUnread(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	go func() {
		c, err := l.Accept()
		if err == nil {
			_, _ = c.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n" + strings.Repeat("x", 50_000)))
		}
	}()
	var fired atomic.Int64
	w := newWatchdog(func() { fired.Add(1) }, 0)
	defer w.stop()
	exchanges := conn.NewExchanges()
	defer exchanges.Close()
	x, err := exchanges.Send(context.Background(), l.Addr().String(), &conn.Message{Method: "GET", Target: "/", Host: "h", Header: http.Header{}, OnStart: w.watch},
		func(*http.Response) bool { return true })
	require.NoError(t, err)
	require.Eventually(t, x.HasUnread, 10*time.Second, time.Millisecond)
	w.check()
	assert.Zero(t, fired.Load(), "received bytes are unread")
	_, _ = io.CopyN(io.Discard, x.Response.Body, 50_000)
	assert.Eventually(t, func() bool { return fired.Load() == 1 }, 10*time.Second, 10*time.Millisecond, "read, and then silent")
}

// A stream that falls silent midway is resumed elsewhere, and the idle connections to the
// silent upstream are closed.
func TestSilentStreamIsResumedAndItsConnectionsClosed(t *testing.T) {
	event := func(i int) string { return fmt.Sprintf("id: %d\ndata: x\n\n", i) }
	head := okHeader + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
	chunk := func(s string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(s), s) }
	silent, _ := scriptedUpstream(t, head+chunk(event(1)))
	other, got := scriptedUpstream(t, head+chunk(event(2))+"0\r\n\r\n")
	r := newHarness(t, silent, other)
	var silences atomic.Int64
	r.exchanges.OnSilence = func(string, int) { silences.Add(1) }
	res, body, err := r.do(t, "POST", "/stream/x", "body")
	require.NoError(t, err)
	assert.Equal(t, 200, res.StatusCode)
	assert.Equal(t, event(1)+event(2), body)
	require.Len(t, got(), 1)
	assert.Equal(t, "1", got()[0].Header.Get("Last-Event-Id"))
	assert.Equal(t, int64(1), silences.Load())
}
