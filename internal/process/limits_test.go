package process

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/silverswitch/silverswitch/internal/routing"
)

// applyBound is the time within which routers must apply a table.
const applyBound = 2 * time.Second

// startChangingServer is startCallerServer, and returns the server for further limits.
func startChangingServer(t *testing.T, l routing.Limits) *callerServer {
	t.Helper()
	ok := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { _, _ = io.Copy(w, r.Body) })
	cs, err := newCallerServer("127.0.0.1:0", 0, ok, 0, nil, zerolog.Nop())
	require.NoError(t, err)
	t.Cleanup(cs.close)
	cs.setLimits(l)
	return cs
}

func headerOf(n int) string { return "X-Some: " + strings.Repeat("x", n) + "\r\n" }

func withHeaderBytes(n int) routing.Limits {
	l := generousLimits
	l.HeaderBytes = n
	return l
}

// A raised limit on headers never reached connections that were open: their next long request was
// refused with 431, for good.
func TestRaisedHeaderLimitReachesOpenConnections(t *testing.T) {
	cs := startChangingServer(t, withHeaderBytes(16<<10))
	c, br := dialCallerServer(t, cs.listener.Addr().String())
	code, err := roundTrip(t, c, br, "")
	require.NoError(t, err)
	require.Equal(t, 200, code)
	cs.setLimits(withHeaderBytes(32 << 10))
	for range 2 {
		code, err = roundTrip(t, c, br, headerOf(24<<10))
		require.NoError(t, err)
		assert.Equal(t, 200, code)
	}
	code, err = roundTrip(t, c, br, headerOf(48<<10))
	require.NoError(t, err)
	assert.Equal(t, http.StatusRequestHeaderFieldsTooLarge, code)
}

// A connection that was accepted before the first table kept the built-in limits.
func TestFirstTableReachesOpenConnections(t *testing.T) {
	ok := http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})
	cs, err := newCallerServer("127.0.0.1:0", 0, ok, 0, nil, zerolog.Nop())
	require.NoError(t, err)
	t.Cleanup(cs.close)
	c, br := dialCallerServer(t, cs.listener.Addr().String())
	code, err := roundTrip(t, c, br, "")
	require.NoError(t, err)
	require.Equal(t, 200, code)
	cs.setLimits(withHeaderBytes(64 << 10))
	code, err = roundTrip(t, c, br, headerOf(48<<10))
	require.NoError(t, err)
	assert.Equal(t, 200, code)
}

// A router that had just started and knew no table refused long headers with 431, by a built-in
// limit that was lower than the table's.
func TestRouterWithoutATableRefusesNoHeader(t *testing.T) {
	ok := http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})
	cs, err := newCallerServer("127.0.0.1:0", 0, ok, 0, nil, zerolog.Nop())
	require.NoError(t, err)
	t.Cleanup(cs.close)
	c, br := dialCallerServer(t, cs.listener.Addr().String())
	code, err := roundTrip(t, c, br, headerOf(48<<10))
	require.NoError(t, err)
	assert.Equal(t, 200, code)
	cs.setLimits(withHeaderBytes(16 << 10))
	code, err = roundTrip(t, c, br, headerOf(48<<10))
	require.NoError(t, err)
	assert.Equal(t, http.StatusRequestHeaderFieldsTooLarge, code, "the first table's limit applies at once")
}

// A lowered limit must reach open connections in time, but not before callers can know it.
func TestLoweredHeaderLimitReachesOpenConnectionsInTime(t *testing.T) {
	t.Parallel()
	cs := startChangingServer(t, withHeaderBytes(32<<10))
	c, br := dialCallerServer(t, cs.listener.Addr().String())
	cs.setLimits(withHeaderBytes(8 << 10))
	code, err := roundTrip(t, c, br, headerOf(24<<10))
	require.NoError(t, err)
	assert.Equal(t, 200, code, "proper under a table that may be in force")
	time.Sleep(applyBound - 500*time.Millisecond)
	code, err = roundTrip(t, c, br, headerOf(6<<10))
	require.NoError(t, err)
	assert.Equal(t, 200, code)
	code, err = roundTrip(t, c, br, headerOf(24<<10))
	require.NoError(t, err)
	assert.Equal(t, http.StatusRequestHeaderFieldsTooLarge, code)
}

// Requests that are sent without waiting for answers are read under the limits of their own time.
func TestPipelinedRequestsHaveTheLimitsInForce(t *testing.T) {
	cs := startChangingServer(t, withHeaderBytes(4<<10))
	c, br := dialCallerServer(t, cs.listener.Addr().String())
	code, err := roundTrip(t, c, br, "")
	require.NoError(t, err)
	require.Equal(t, 200, code)
	cs.setLimits(withHeaderBytes(32 << 10))
	long := "GET / HTTP/1.1\r\nHost: h\r\n" + headerOf(24<<10) + "\r\n"
	go func() { _, _ = io.WriteString(c, long+long+long) }()
	for range 3 {
		res, err := http.ReadResponse(br, nil)
		require.NoError(t, err)
		_, err = io.Copy(io.Discard, res.Body)
		require.NoError(t, err)
		assert.Equal(t, 200, res.StatusCode)
	}
}

func withIdleTimeout(d time.Duration) routing.Limits {
	l := generousLimits
	l.IdleConnTimeout = d
	return l
}

// A connection that was idle when the time-out was raised was closed at the old one, under a caller
// that may use it for longer.
func TestRaisedIdleTimeoutReachesOpenConnections(t *testing.T) {
	t.Parallel()
	cs := startChangingServer(t, withIdleTimeout(400*time.Millisecond))
	c, br := dialCallerServer(t, cs.listener.Addr().String())
	code, err := roundTrip(t, c, br, "")
	require.NoError(t, err)
	require.Equal(t, 200, code)
	cs.setLimits(withIdleTimeout(time.Minute))
	time.Sleep(800 * time.Millisecond)
	code, err = roundTrip(t, c, br, "")
	require.NoError(t, err)
	assert.Equal(t, 200, code)
}

// A connection that was idle when the time-out was lowered stayed open for the old one.
func TestLoweredIdleTimeoutReachesOpenConnections(t *testing.T) {
	t.Parallel()
	cs := startChangingServer(t, withIdleTimeout(time.Minute))
	c, br := dialCallerServer(t, cs.listener.Addr().String())
	code, err := roundTrip(t, c, br, "")
	require.NoError(t, err)
	require.Equal(t, 200, code)
	began := time.Now()
	cs.setLimits(withIdleTimeout(200 * time.Millisecond))
	_, err = br.ReadByte()
	assert.ErrorIs(t, err, io.EOF)
	assert.Less(t, time.Since(began), applyBound)
	assert.Greater(t, time.Since(began), limitOverlap, "a caller may not know the new one yet")
}

// A header that is on its way when its time-out changes.
func TestChangedHeaderTimeoutReachesOpenConnections(t *testing.T) {
	t.Parallel()
	with := func(d time.Duration) routing.Limits {
		l := generousLimits
		l.HeaderTimeout = d
		return l
	}
	cs := startChangingServer(t, with(500*time.Millisecond))
	c, br := dialCallerServer(t, cs.listener.Addr().String())
	_, err := io.WriteString(c, "GET / HTTP/1.1\r\nHos")
	require.NoError(t, err)
	cs.setLimits(with(time.Minute))
	time.Sleep(time.Second)
	_, err = io.WriteString(c, "t: h\r\n\r\n")
	require.NoError(t, err)
	res, err := http.ReadResponse(br, nil)
	require.NoError(t, err, "raised")
	assert.Equal(t, 200, res.StatusCode)

	_, err = io.WriteString(c, "GET / HTTP/1.1\r\nHos")
	require.NoError(t, err)
	began := time.Now()
	cs.setLimits(with(100 * time.Millisecond))
	_, err = io.ReadAll(br)
	assert.NoError(t, err, "lowered: the connection ends")
	assert.Less(t, time.Since(began), applyBound)
}

// The connections that other routers relay here have the same limits.
func TestChangedLimitsReachRelayedConnections(t *testing.T) {
	busy, helper := startRelayingPair(t, 0, 0)
	helper.setLimits(withHeaderBytes(16 << 10))
	busy.setLimits(withHeaderBytes(16 << 10))
	c, br := dialCallerServer(t, busy.listener.Addr().String())
	assert.Equal(t, "helper", relayedCall(t, c, br))
	helper.setLimits(withHeaderBytes(32 << 10))
	code, err := roundTrip(t, c, br, headerOf(24<<10))
	require.NoError(t, err)
	assert.Equal(t, 200, code)
}

// Connections that have ended must not be remembered.
func TestEndedConnectionsAreForgotten(t *testing.T) {
	cs := startChangingServer(t, generousLimits)
	for range 5 {
		c, br := dialCallerServer(t, cs.listener.Addr().String())
		_, err := roundTrip(t, c, br, "")
		require.NoError(t, err)
		c.Close()
	}
	assert.Eventually(t, func() bool {
		cs.own.mu.Lock()
		defer cs.own.mu.Unlock()
		return len(cs.own.conns) == 0
	}, 5*time.Second, time.Millisecond)
}

// Several tables in quick succession: each of those replaced lately still counts where it is the
// most generous, and no longer.
func TestLimitsOfReplacedTablesCountForAWhile(t *testing.T) {
	f, now := newLimitsInForce(), time.Now()
	assert.Equal(t, initialLimits, f.get())
	with := func(n int64) routing.Limits { return routing.Limits{BodyBytes: n, HeaderBytes: int(n)} }
	f.set(with(500), now)
	assert.Equal(t, with(500), f.get(), "there was no table before")
	f.set(with(100), now)
	f.set(with(300), now.Add(limitOverlap/2))
	assert.Equal(t, with(500), f.get())
	f.update(now.Add(limitOverlap))
	assert.Equal(t, with(300), f.get(), "100 is lower")
	f.set(with(200), now.Add(2*limitOverlap))
	assert.Equal(t, with(300), f.get())
	f.update(now.Add(3 * limitOverlap))
	assert.Equal(t, with(200), f.get())
	f.mu.Lock()
	defer f.mu.Unlock()
	assert.Empty(t, f.replaced)
}
