package process

import (
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against a router that accepts connections faster than it can read them, and against
// silent connections that delay all others for as long as they are open.
func TestUnreadConnectionsCountUntilTheyAreReadOrOld(t *testing.T) {
	var u unreadConns
	now := time.Unix(1_800_000_000, 0)
	a, b := net.Pipe()
	defer a.Close()
	defer b.Close()
	assert.Zero(t, u.count(now))
	u.connState(a, http.StateNew, now)
	u.connState(b, http.StateNew, now.Add(maxUnreadAge/2))
	assert.Equal(t, 2, u.count(now.Add(maxUnreadAge)))
	assert.Equal(t, 1, u.count(now.Add(maxUnreadAge+time.Millisecond)), "the first has sent nothing for long")
	u.connState(b, http.StateActive, now.Add(maxUnreadAge))
	assert.Zero(t, u.count(now.Add(maxUnreadAge)))
	u.connState(a, http.StateClosed, now)
	assert.Zero(t, u.count(now))
}

// Guards against accepting that is held up for longer than maxAcceptDelay by connections that
// send nothing: a caller waits only a second for a new connection.
func TestSilentConnectionsDelayAcceptingOnlyForAWhile(t *testing.T) {
	ok := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {})
	cs, err := newCallerServer("127.0.0.1:0", 0, ok, 0, nil, zerolog.Nop())
	require.NoError(t, err)
	defer cs.close()
	for range 2 * maxUnreadConns {
		c, err := net.Dial("tcp", cs.listener.Addr().String())
		require.NoError(t, err)
		defer c.Close()
	}
	res, err := http.Get("http://" + cs.listener.Addr().String())
	require.NoError(t, err)
	res.Body.Close()
	assert.Equal(t, http.StatusOK, res.StatusCode)
	assert.Eventually(t, func() bool { return cs.unread.count(time.Now()) == 0 }, 20*time.Second, 10*time.Millisecond)
}
