package process

import (
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/silverswitch/silverswitch/internal/conn"
	"github.com/silverswitch/silverswitch/internal/core/wire"
	"github.com/silverswitch/silverswitch/internal/standin"
)

// Load pattern: a flood at a small router, which refuses requests as fast as they arrive and
// reads no datagram. The router must accept the next connection once the datagrams have been
// read, or after maxAcceptDelay if that does not happen.
func TestAcceptIsDelayedWhileControlIsBehind(t *testing.T) {
	ok := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {})
	var checks atomic.Int64
	for name, behindFor := range map[string]int64{"until datagrams are read": 3, "control stays behind": 1 << 40} {
		checks.Store(0)
		cs, err := newCallerServer("127.0.0.1:0", 0, ok, 0, func() bool { return checks.Add(1) <= behindFor }, zerolog.Nop())
		require.NoError(t, err, name)
		res, err := http.Get("http://" + cs.listener.Addr().String())
		require.NoError(t, err, name)
		res.Body.Close()
		assert.Greater(t, checks.Load(), int64(3), name)
		cs.close()
	}
}

// HasUnread reports an unread datagram without consuming it.
func TestHasUnreadReportsUnreadDatagram(t *testing.T) {
	s, err := conn.NewSealer("a-secret-for-tests-only", "route")
	require.NoError(t, err)
	a, b := standin.FreeAddr(), standin.FreeAddr()
	from, err := conn.Listen(a, s, metrics.NewRegistry())
	require.NoError(t, err)
	defer from.Close()
	to, err := conn.Listen(b, s, metrics.NewRegistry())
	require.NoError(t, err)
	defer to.Close()
	assert.False(t, to.HasUnread())
	from.Send(wire.NodeID(b), &wire.Datagram{Inc: 1})
	require.Eventually(t, to.HasUnread, 20*time.Second, 10*time.Millisecond)
	d, err := to.Receive(make([]byte, 64<<10))
	require.NoError(t, err)
	assert.Equal(t, wire.NodeID(a), d.From)
	assert.False(t, to.HasUnread())
}
