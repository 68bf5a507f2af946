package process

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/silverswitch/silverswitch/internal/conn/relay"
	"github.com/silverswitch/silverswitch/internal/standin"
)

// fakeRelayControl is the control state of a router whose load the test sets.
type fakeRelayControl struct {
	use, shed atomic.Int64 // percent
	leaving   atomic.Bool
	unready   atomic.Bool
	peers     []relay.Peer
}

func (c *fakeRelayControl) CPULoad() (float64, float64) {
	return float64(c.use.Load()) / 100, float64(c.shed.Load()) / 100
}
func (c *fakeRelayControl) Neighbours() []relay.Peer { return c.peers }
func (c *fakeRelayControl) Ready() bool              { return !c.unready.Load() }
func (c *fakeRelayControl) Leaving() bool            { return c.leaving.Load() }

// relayingRouter is the part of a router that accepts, relays and serves callers.
type relayingRouter struct {
	*callerServer
	relaying *relaying
	ctrl     *fakeRelayControl
	reg      metrics.Registry
}

func startRelayingRouter(t *testing.T, ip, port, name string, power uint32, files, memory int, peers ...relay.Peer) *relayingRouter {
	t.Helper()
	r := &relayingRouter{ctrl: &fakeRelayControl{peers: peers}, reg: metrics.NewRegistry()}
	handler := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, name) })
	var err error
	r.callerServer, err = newCallerServer(ip+":0", 0, handler, files, nil, zerolog.Nop())
	require.NoError(t, err)
	ctx, stop := context.WithCancel(context.Background())
	r.relaying, err = startRelaying(ctx, relayingSettings{Address: ip + ":" + port, Secret: "a-secret-for-tests-only", Power: power, MemoryMB: memory, Registry: r.reg, Log: zerolog.Nop()}, r.ctrl, r.callerServer)
	require.NoError(t, err)
	t.Cleanup(func() {
		stop()
		r.callerServer.close()
		r.relaying.close()
	})
	return r
}

// startRelayingPair starts a busy router and a helper, and waits until all is relayed.
func startRelayingPair(t *testing.T, files, helperMemory int) (busy, helper *relayingRouter) {
	t.Helper()
	_, port, err := net.SplitHostPort(standin.FreeAddr())
	require.NoError(t, err)
	helper = startRelayingRouter(t, "127.0.0.3", port, "helper", 800, 0, helperMemory)
	busy = startRelayingRouter(t, "127.0.0.2", port, "busy", 192, files, 0, relay.Peer{ID: "127.0.0.3:1", Power: 800})
	busy.ctrl.use.Store(100)
	require.Eventually(t, func() bool {
		for range 10 {
			if busy.call(t) != "helper" {
				return false
			}
		}
		return true
	}, 20*time.Second, 10*time.Millisecond, "all is relayed")
	return busy, helper
}

// call sends a request on a new connection and returns the body of the answer.
func (r *relayingRouter) call(t *testing.T) string {
	t.Helper()
	c, br := dialCallerServer(t, r.listener.Addr().String())
	defer c.Close()
	return relayedCall(t, c, br)
}

func relayedCall(t *testing.T, c net.Conn, br *bufio.Reader) string {
	t.Helper()
	_, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	require.NoError(t, err)
	res, err := http.ReadResponse(br, nil)
	require.NoError(t, err)
	raw, err := io.ReadAll(res.Body)
	require.NoError(t, err)
	return string(raw)
}

// Guards against relayed connections with other limits than the helper's own, also on a session
// that was open before the limits were published.
func TestRelayedConnectionsHaveTheHelpersLimits(t *testing.T) {
	busy, helper := startRelayingPair(t, 0, 0)
	l := generousLimits
	l.IdleConnTimeout = 150 * time.Millisecond
	helper.setLimits(l)
	busy.setLimits(generousLimits)
	c, br := dialCallerServer(t, busy.listener.Addr().String())
	assert.Equal(t, "helper", relayedCall(t, c, br))
	_, err := br.ReadByte()
	assert.ErrorIs(t, err, io.EOF, "idle")
	c, br = dialCallerServer(t, busy.listener.Addr().String())
	code, err := roundTrip(t, c, br, "X-Some: "+strings.Repeat("x", 16<<10)+"\r\n")
	require.NoError(t, err)
	assert.Equal(t, http.StatusRequestHeaderFieldsTooLarge, code)
}

// Guards against a helper that takes connections while it sheds load itself, stops or is not
// ready, and against a router that is left without service by such a helper.
func TestRouterServesItselfWhileTheHelperDeclines(t *testing.T) {
	for name, decline := range map[string]func(*fakeRelayControl){
		"sheds load": func(c *fakeRelayControl) { c.shed.Store(10) },
		"no CPU":     func(c *fakeRelayControl) { c.use.Store(99) },
		"leaving":    func(c *fakeRelayControl) { c.leaving.Store(true) },
		"not ready":  func(c *fakeRelayControl) { c.unready.Store(true) },
	} {
		busy, helper := startRelayingPair(t, 0, 0)
		decline(helper.ctrl)
		require.Eventually(t, func() bool { return busy.call(t) == "busy" }, 20*time.Second, 10*time.Millisecond, name)
	}
}

// Guards against callers that leave an idle connection behind for each request: at the busy
// router they take descriptors, at the helper memory. Both ask callers to close, and the helper
// closes the longest idle ones.
func TestIdleRelayedConnectionsAreBounded(t *testing.T) {
	busy, helper := startRelayingPair(t, 0, 10) // at most 40 connections at the helper
	var conns []net.Conn
	hinted := 0
	for range 60 {
		c, br := dialCallerServer(t, busy.listener.Addr().String())
		_, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		require.NoError(t, err)
		res, err := http.ReadResponse(br, nil)
		require.NoError(t, err)
		_, _ = io.Copy(io.Discard, res.Body)
		if res.Close {
			hinted++
		}
		conns = append(conns, c)
	}
	assert.GreaterOrEqual(t, hinted, 30)
	helper.relayedLimiter.mu.Lock()
	open := helper.relayedLimiter.open
	helper.relayedLimiter.mu.Unlock()
	assert.LessOrEqual(t, open, 24)
	for _, c := range conns {
		c.Close()
	}
	require.Eventually(t, func() bool {
		busy.connLimiter.mu.Lock()
		defer busy.connLimiter.mu.Unlock()
		return busy.connLimiter.open == 0
	}, 20*time.Second, 10*time.Millisecond, "ended connections count no longer at the busy router")
}

// Guards against a busy router that runs out of descriptors by relaying.
func TestRouterNearItsDescriptorLimitDoesNotRelay(t *testing.T) {
	busy, _ := startRelayingPair(t, reservedDescriptors+10, 0) // at most 6 connections
	require.Eventually(t, func() bool { return !busy.connLimiter.full() }, 20*time.Second, time.Millisecond)
	busy.connLimiter.mu.Lock()
	busy.connLimiter.open += 6
	busy.connLimiter.mu.Unlock()
	assert.Equal(t, "busy", busy.call(t))
}

// A planned stop of the daemon's callers also ends the relayed connections.
func TestPlannedStopClosesIdleRelayedConnections(t *testing.T) {
	for _, side := range []string{"busy", "helper"} {
		busy, helper := startRelayingPair(t, 0, 0)
		c, br := dialCallerServer(t, busy.listener.Addr().String())
		assert.Equal(t, "helper", relayedCall(t, c, br))
		d := &RoutedDaemon{callerServer: busy.callerServer, relaying: busy.relaying}
		if side == "helper" {
			d = &RoutedDaemon{callerServer: helper.callerServer, relaying: helper.relaying}
		}
		ctx, stop := context.WithTimeout(context.Background(), 20*time.Second)
		require.NoError(t, d.shutdownCallers(ctx), side)
		stop()
		_, err := br.ReadByte()
		assert.ErrorIs(t, err, io.EOF, side)
	}
}

// All routers use one port, at their own addresses.
func TestRelayAddressOfAPeer(t *testing.T) {
	assert.Equal(t, "10.0.0.7:7239", relayAddress("10.0.0.7:7220", 7239))
	assert.Equal(t, "[fd00::7]:7239", relayAddress("[fd00::7]:7220", 7239))
	assert.Equal(t, "router-1", relayAddress("router-1", 7239))
}
