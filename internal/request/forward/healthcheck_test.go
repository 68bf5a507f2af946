package forward

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/silverswitch/silverswitch/internal/core/wire"
)

const healthyAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

// A router that is cut off checks an upstream's health before it sends a request there.
func TestColdUpstreamIsSkippedAfterHealthCheck(t *testing.T) {
	cold, gotCold := scriptedUpstream(t, "HTTP/1.1 503 Busy\r\nX-Cold: 1500\r\nContent-Length: 0\r\n\r\n")
	warm, gotWarm := scriptedUpstream(t, healthyAnswer, okHelloAnswer)
	r := newHarness(t, cold, warm)
	r.control.healthCheckFirst = true
	res, body, err := r.do(t, "POST", "/once/x", "text")
	require.NoError(t, err)
	assert.Equal(t, 200, res.StatusCode)
	assert.Equal(t, "hello", body)
	assert.Equal(t, []failedHealthCheck{{"i-0", 1500 * time.Millisecond}}, r.control.failedHealthChecks)
	assert.Equal(t, []uint8{wire.ProgressUnused, wire.ProgressDone}, r.control.recordedNotes(), "nothing was sent there, so this is no retry")
	require.Len(t, gotCold(), 1)
	assert.Equal(t, "/health", gotCold()[0].RequestURI)
	require.Len(t, gotWarm(), 2)
	assert.Equal(t, "/health", gotWarm()[0].RequestURI)
}

func TestUnreachableUpstreamIsSkippedAfterHealthCheck(t *testing.T) {
	unreachable, _ := scriptedUpstream(t, "\x00")
	warm, _ := scriptedUpstream(t, healthyAnswer, okHelloAnswer)
	r := newHarness(t, unreachable, warm)
	r.control.healthCheckFirst = true
	res, _, err := r.do(t, "POST", "/once/x", "text")
	require.NoError(t, err)
	assert.Equal(t, 200, res.StatusCode)
	assert.Equal(t, []failedHealthCheck{{"i-0", 0}}, r.control.failedHealthChecks)
}

// The result of one health check is used for half a second.
func TestHealthCheckIsReused(t *testing.T) {
	up, got := scriptedUpstream(t, healthyAnswer, okHelloAnswer, okHelloAnswer)
	r := newHarness(t, up, up)
	r.control.healthCheckFirst = true
	for range 2 {
		r.control.next = 0
		res, _, err := r.do(t, "POST", "/once/x", "text")
		require.NoError(t, err)
		assert.Equal(t, 200, res.StatusCode)
	}
	assert.Len(t, got(), 3)
}

func TestMalformedColdTimesAreIgnored(t *testing.T) {
	for text, want := range map[string]time.Duration{"": 0, "x": 0, "-1": 0, "NaN": 0, "1e300": time.Minute, "12.5": 12500 * time.Microsecond} {
		h := map[string][]string{"X-Cold": {text}}
		assert.Equal(t, want, testDialect.coldFor(h), text)
	}
}
