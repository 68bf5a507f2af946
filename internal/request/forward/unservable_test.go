package forward

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/silverswitch/silverswitch/internal/conn"
	"github.com/silverswitch/silverswitch/internal/dispatch"
	"github.com/silverswitch/silverswitch/internal/memory"
)

// unreadBody is a body that must not be read.
type unreadBody struct{ t *testing.T }

func (b unreadBody) Read([]byte) (int, error) {
	b.t.Error("the body was read")
	return 0, errors.New("not to be read")
}

func refuseWithoutBody(t *testing.T, ctrl *fakeControl, log *strings.Builder, length int64) *httptest.ResponseRecorder {
	t.Helper()
	ctrl.table = testTable(t)
	reg := metrics.NewRegistry()
	s := NewServer(ctrl, conn.NewExchanges(), testDialect, testKey(t), Limits{MaxRequests: 10, Memory: memory.NewAccount(1 << 20)}, reg, zerolog.New(log))
	req := httptest.NewRequest(http.MethodPost, "/stream/x", unreadBody{t})
	req.ContentLength = length
	req.Host = "h.example"
	req.Header.Set("Authorization", "Bearer key-a")
	req.Header.Set("X-Id", "r1")
	req.Header.Set("X-Usage", "100,40")
	w := httptest.NewRecorder()
	s.ServeHTTP(w, req)
	return w
}

// Guards against reading the body, and requesting a placement, for a request that no upstream
// can take; against an answer that differs from a refused placement's; and against work that
// the shares do not count.
func TestUnservableRequestIsRefusedBeforeItsBody(t *testing.T) {
	ctrl := &fakeControl{unservable: &dispatch.Refuse{Reason: dispatch.ReasonBackoff, After: 700 * time.Millisecond, By: "10.1.0.0:1", Revision: 5}}
	var log strings.Builder
	w := refuseWithoutBody(t, ctrl, &log, 900)
	assert.Equal(t, http.StatusServiceUnavailable, w.Code)
	assert.Equal(t, "0.700", w.Header().Get("Retry-After"))
	assert.Equal(t, "r1", w.Header().Get("X-Id"))
	assert.Equal(t, "text/plain; charset=utf-8", w.Header().Get("Content-Type"))
	assert.Equal(t, "upstreams-back-off\n", w.Body.String())
	assert.Zero(t, ctrl.submitted.Load())
	assert.Equal(t, []dispatch.ShedWork{{Service: "s", Org: "alpha", Tokens: dispatch.Cost(100, 20)}}, ctrl.shed)
	assert.Contains(t, log.String(), `"by":"10.1.0.0:1"`)
	assert.Contains(t, log.String(), `"revision":5`)
	assert.Equal(t, []time.Duration{500 * time.Millisecond}, ctrl.targets, "the load shedding decision needs the targets of all arrivals")
}

// A body that is too large is refused for good, also while the service is unservable.
func TestTooLargeBodyOfUnservableRequestIsRefusedForGood(t *testing.T) {
	ctrl := &fakeControl{unservable: &dispatch.Refuse{Reason: dispatch.ReasonEvacuated, After: time.Second}}
	var log strings.Builder
	w := refuseWithoutBody(t, ctrl, &log, 1001)
	assert.Equal(t, http.StatusRequestEntityTooLarge, w.Code)
	assert.Zero(t, ctrl.submitted.Load())
}

// Guards against a caller that never finishes the body of a refused request: it got no answer,
// and kept its connection for ever.
func TestRefusalDoesNotWaitForeverForABody(t *testing.T) {
	h := newHarness(t)
	h.control.overloaded.Store(true)
	h.control.unservable = &dispatch.Refuse{Reason: dispatch.ReasonEvacuated, After: time.Second}
	c, err := net.Dial("tcp", strings.TrimPrefix(h.url, "http://"))
	require.NoError(t, err)
	defer c.Close()
	_, err = io.WriteString(c, "POST /stream/x HTTP/1.1\r\nHost: h.example\r\nAuthorization: Bearer key-a\r\nX-Id: r1\r\nContent-Length: 900\r\n\r\nabc")
	require.NoError(t, err)
	require.NoError(t, c.SetReadDeadline(time.Now().Add(time.Minute)))
	raw, err := io.ReadAll(c)
	require.NoError(t, err, "the connection is closed")
	assert.Contains(t, string(raw), "503 Service Unavailable")
	assert.Contains(t, string(raw), "places-evacuated")
}

// The read deadline of a refusal must not end the next request on its connection.
func TestConnectionIsUsableAfterRefusal(t *testing.T) {
	addr, _ := scriptedUpstream(t, okHelloAnswer)
	h := newHarness(t, addr)
	h.control.unservable = &dispatch.Refuse{Reason: dispatch.ReasonEvacuated, After: time.Second}
	c, err := net.Dial("tcp", strings.TrimPrefix(h.url, "http://"))
	require.NoError(t, err)
	defer c.Close()
	br := bufio.NewReader(c)
	call := func() int {
		_, err = io.WriteString(c, "POST /once/x HTTP/1.1\r\nHost: h.example\r\nAuthorization: Bearer key-a\r\nX-Id: r1\r\nContent-Length: 3\r\n\r\nabc")
		require.NoError(t, err)
		res, err := http.ReadResponse(br, nil)
		require.NoError(t, err)
		_, err = io.Copy(io.Discard, res.Body)
		require.NoError(t, err)
		return res.StatusCode
	}
	assert.Equal(t, http.StatusServiceUnavailable, call())
	time.Sleep(refusalReadTimeout + 100*time.Millisecond)
	h.control.unservable = nil
	assert.Equal(t, http.StatusOK, call())
}
