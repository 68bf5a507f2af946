package forward

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestNoticesAreReadFromAnswers(t *testing.T) {
	answer := func(status int, header ...string) *http.Response {
		h := http.Header{}
		for i := 0; i+1 < len(header); i += 2 {
			h.Set(header[i], header[i+1])
		}
		return &http.Response{StatusCode: status, Header: h}
	}
	read := testDialect.readNotice
	assert.Equal(t, notice{}, read(answer(200)))
	assert.Equal(t, notice{leaving: true}, read(answer(200, "X-Leaving", "1")))
	assert.Equal(t, notice{leaving: true}, read(answer(500, "X-Leaving", "1")))
	assert.Equal(t, notice{leaving: true, backoff: 3 * time.Second}, read(answer(503, "X-Leaving", "1", "Retry-After", "3")))
	assert.Equal(t, notice{}, read(answer(421, "X-Leaving", "1")), "sent by another upstream")
	assert.Equal(t, notice{}, read(answer(200, "Retry-After", "3")), "the request was not refused")
	assert.Equal(t, notice{}, read(answer(200, "X-Leaving", "0")))
}

func TestMalformedRetryAfterIsIgnored(t *testing.T) {
	for text, want := range map[string]time.Duration{"": 0, "x": 0, "-1": 0, "0": 0, "NaN": 0, "1e300": maxBackoff, "0.5": 500 * time.Millisecond} {
		assert.Equal(t, want, parseRetryAfter(http.Header{"Retry-After": {text}}), text)
	}
}

// Notices must also be read from health answers and from refusals.
func TestNoticesAreReadFromEveryAnswer(t *testing.T) {
	leaving, _ := scriptedUpstream(t,
		"HTTP/1.1 200 OK\r\nX-Leaving: 1\r\nContent-Length: 2\r\n\r\nok",
		"HTTP/1.1 503 Service Unavailable\r\nX-Id: %ID\r\nX-Not-Run: 1\r\nRetry-After: 3\r\nContent-Length: 0\r\n\r\n")
	other, _ := scriptedUpstream(t, healthyAnswer, "HTTP/1.1 200 OK\r\nX-Id: %ID\r\nX-Proof: p\r\nX-Leaving: 1\r\nContent-Length: 5\r\n\r\nhello")
	r := newHarness(t, leaving, other)
	r.control.healthCheckFirst = true
	res, _, err := r.do(t, "POST", "/once/x", "text")
	require.NoError(t, err)
	assert.Equal(t, 200, res.StatusCode)
	assert.Equal(t, []string{"i-0", "i-1"}, r.control.leavingStarts, "the first on its health answer, the second on its answer")
	assert.Equal(t, []reportedBackoff{{"i-0", 3 * time.Second}}, r.control.backoffs)
}
