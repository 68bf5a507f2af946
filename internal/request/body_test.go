package request

import (
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.opentelemetry.io/otel/trace"

	"github.com/silverswitch/silverswitch/internal/conn"
	"github.com/silverswitch/silverswitch/internal/fingerprint"
	"github.com/silverswitch/silverswitch/internal/memory"
	"github.com/silverswitch/silverswitch/internal/request/outcome"
	"github.com/silverswitch/silverswitch/internal/standin"
	"github.com/silverswitch/silverswitch/internal/version"
)

// bodyOf reads a body of n bytes under an account, and returns the recorder of a failure.
func bodyOf(t *testing.T, account *memory.Account, org string, n int, stated bool) (*callerRequest, []byte, *httptest.ResponseRecorder) {
	key, err := fingerprint.NewKey("a secret of the fleet")
	require.NoError(t, err)
	s := NewServer(&slotControl{}, conn.NewUpstreams(conn.DefaultLimits), key, DefaultLimits, account, metrics.NewRegistry())
	w := httptest.NewRecorder()
	r := httptest.NewRequest(http.MethodPost, "/v1/chat/completions", strings.NewReader(strings.Repeat("a", n)))
	if !stated {
		r.ContentLength = -1
	}
	v := &callerRequest{w: w, r: r, org: &version.Organisation{Name: org}, hold: account.Hold(org), span: trace.SpanFromContext(r.Context())}
	raw, err := s.readBody(v, completionCopies)
	if err != nil {
		s.failRequest(v, err)
	}
	return v, raw, w
}

// One organisation's large bodies filled the memory here too, where each is held several times.
func TestBodiesOfOneOrganisationDoNotExhaustMemory(t *testing.T) {
	for _, stated := range []bool{true, false} {
		account := memory.NewAccount(8 << 20)
		var held []*callerRequest
		for {
			v, raw, w := bodyOf(t, account, "alpha", 300<<10, stated)
			if raw == nil {
				assert.Equal(t, http.StatusServiceUnavailable, w.Code)
				assert.Equal(t, string(outcome.NotRun), w.Header().Get(outcome.HeaderOutcome))
				after, err := strconv.ParseFloat(w.Header().Get("Retry-After"), 64)
				assert.NoError(t, err)
				assert.Positive(t, after)
				break
			}
			held = append(held, v)
			require.Less(t, len(held), 20, "stated length: %t", stated)
		}
		assert.GreaterOrEqual(t, len(held), 3)
		_, raw, _ := bodyOf(t, account, "beta", 50<<10, stated)
		assert.Len(t, raw, 50<<10, "the other organisation is served")
	}
}

// Events grew outside the memory account. One for which there is no room is broken off.
func TestLargeEventWithoutRoomIsBrokenOff(t *testing.T) {
	c := newTornCalls(t)
	stream := standin.Tear{Raw: "HTTP/1.1 200 OK\r\n" + identity + "Content-Type: text/event-stream\r\nConnection: close\r\n\r\n" +
		"id: 0\ndata: " + strings.Repeat("x", 300<<10) + "\n\nid: 1\ndata: [DONE]\n\n", Cut: standin.All}
	r := c.call("chat", stream)
	require.NoError(t, r.Err)
	assert.Equal(t, http.StatusOK, r.Status)
	assert.Contains(t, r.Body, "[DONE]")
	assert.Eventually(t, func() bool { return c.memory.Used() == 0 }, 5*time.Second, time.Millisecond)

	others := c.memory.Hold("o")
	for others.Reserve(256 << 10) {
	}
	r = c.call("chat", stream)
	assert.True(t, r.Err != nil || r.Status >= 500, "status %d", r.Status)
	assert.NotContains(t, r.Body, "[DONE]")
	others.Release()
	assert.Eventually(t, func() bool { return c.memory.Used() == 0 }, 5*time.Second, time.Millisecond)
}
