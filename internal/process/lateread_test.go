package process

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/silverswitch/silverswitch/internal/routing"
)

// suspendedConn is a connection whose reads do not begin while it is suspended.
type suspendedConn struct {
	*net.TCPConn
	suspended atomic.Bool
}

// Read implements net.Conn.
func (c *suspendedConn) Read(p []byte) (int, error) {
	for c.suspended.Load() {
		time.Sleep(time.Millisecond)
	}
	return c.TCPConn.Read(p)
}

// serveSuspended serves one suspended connection, which any request suspends again, and returns both of
// its ends.
func serveSuspended(t *testing.T, l routing.Limits) (*suspendedConn, net.Conn) {
	t.Helper()
	limits := newLimitsInForce()
	limits.set(l, time.Now())
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	caller, err := net.Dial("tcp", listener.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() { caller.Close() })
	require.NoError(t, caller.SetDeadline(time.Now().Add(20*time.Second)))
	accepted, err := listener.Accept()
	require.NoError(t, err)
	c := &suspendedConn{TCPConn: accepted.(*net.TCPConn)}
	c.suspended.Store(true)
	suspend := http.HandlerFunc(func(http.ResponseWriter, *http.Request) { c.suspended.Store(true) })
	s := newLimitedServer(suspend, listener.Addr(), nil, limits, nil, zerolog.Nop())
	t.Cleanup(s.Close)
	s.Serve(c)
	return c, caller
}

// A router was suspended, or short of CPU, until the time of an idle connection or of a header was over,
// and closed the connection although the request had come in time.
func TestRequestThatCameInTimeIsReadLate(t *testing.T) {
	t.Parallel()
	const timeout = 200 * time.Millisecond
	l := generousLimits
	l.HeaderTimeout, l.IdleConnTimeout = timeout, timeout
	c, caller := serveSuspended(t, l)
	br := bufio.NewReader(caller)
	for _, waits := range []string{"for a header", "for the next request"} {
		_, err := io.WriteString(caller, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		require.NoError(t, err)
		time.Sleep(2 * timeout)
		c.suspended.Store(false)
		res, err := http.ReadResponse(br, nil)
		require.NoError(t, err, "waits %s", waits)
		assert.Equal(t, http.StatusOK, res.StatusCode, "waits %s", waits)
	}
}

// A caller that sends its header byte by byte gains no time by it.
func TestHeaderWithoutEndIsReadLateOnce(t *testing.T) {
	t.Parallel()
	l := generousLimits
	l.HeaderTimeout = 200 * time.Millisecond
	c, caller := serveSuspended(t, l)
	c.suspended.Store(false)
	began := time.Now()
	_, err := io.WriteString(caller, "GET / HTTP/1.1\r\nX: ")
	for err == nil && time.Since(began) < 10*time.Second {
		time.Sleep(time.Millisecond)
		_, err = io.WriteString(caller, "x")
	}
	assert.Error(t, err)
	assert.Less(t, time.Since(began), 2*time.Second)
}
