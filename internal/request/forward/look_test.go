package forward

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/silverswitch/silverswitch/internal/core/wire"
)

const healthy = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

// A router that is cut off asks an upstream's health before it sends a request there.
func TestColdUpstreamIsPassedOverByItsHealth(t *testing.T) {
	cold, gotCold := script(t, "HTTP/1.1 503 Busy\r\nX-Cold: 1500\r\nContent-Length: 0\r\n\r\n")
	warm, gotWarm := script(t, healthy, okHello)
	r := newRig(t, cold, warm)
	r.ctl.look = true
	res, body, err := r.do(t, "POST", "/once/x", "text")
	require.NoError(t, err)
	assert.Equal(t, 200, res.StatusCode)
	assert.Equal(t, "hello", body)
	assert.Equal(t, []lookedAt{{"i-0", 1500 * time.Millisecond}}, r.ctl.looked)
	assert.Equal(t, []uint8{wire.ProgressUnused, wire.ProgressDone}, r.ctl.noted(), "nothing was sent there, so it is no repeat")
	require.Len(t, gotCold(), 1)
	assert.Equal(t, "/health", gotCold()[0].RequestURI)
	require.Len(t, gotWarm(), 2)
	assert.Equal(t, "/health", gotWarm()[0].RequestURI)
}

func TestUpstreamWhoseHealthIsNotReachedIsPassedOver(t *testing.T) {
	mute, _ := script(t, "\x00")
	warm, _ := script(t, healthy, okHello)
	r := newRig(t, mute, warm)
	r.ctl.look = true
	res, _, err := r.do(t, "POST", "/once/x", "text")
	require.NoError(t, err)
	assert.Equal(t, 200, res.StatusCode)
	assert.Equal(t, []lookedAt{{"i-0", 0}}, r.ctl.looked)
}

// One look serves the requests of half a second.
func TestLookHoldsForAWhile(t *testing.T) {
	up, got := script(t, healthy, okHello, okHello)
	r := newRig(t, up, up)
	r.ctl.look = true
	for range 2 {
		r.ctl.next = 0
		res, _, err := r.do(t, "POST", "/once/x", "text")
		require.NoError(t, err)
		assert.Equal(t, 200, res.StatusCode)
	}
	assert.Len(t, got(), 3)
}

func TestColdTimesThatCannotBeReadSayNothing(t *testing.T) {
	for text, want := range map[string]time.Duration{"": 0, "x": 0, "-1": 0, "NaN": 0, "1e300": time.Minute, "12.5": 12500 * time.Microsecond} {
		h := map[string][]string{"X-Cold": {text}}
		assert.Equal(t, want, testDialect.coldFor(h), text)
	}
}
