package forward

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/silverswitch/silverswitch/internal/conn"
	"github.com/silverswitch/silverswitch/internal/memory"
)

// flushRecorder records what was written before each flush.
type flushRecorder struct {
	*httptest.ResponseRecorder
	flushed []string
	from    int
}

func (r *flushRecorder) Flush() {
	r.flushed = append(r.flushed, r.Body.String()[r.from:])
	r.from = r.Body.Len()
}

func streamTo(t *testing.T, header http.Header, upstreams ...string) *flushRecorder {
	t.Helper()
	ctrl := &fakeControl{table: testTable(t), upstreams: upstreams}
	exchanges := conn.NewExchanges()
	t.Cleanup(exchanges.Close)
	s := NewServer(ctrl, exchanges, testDialect, testKey(t), Limits{MaxRequests: 10, Memory: memory.NewAccount(1 << 20)}, metrics.NewRegistry(), zerolog.Nop())
	req := httptest.NewRequest(http.MethodPost, "/stream/x", nil)
	req.Host = "h.example"
	req.Header = header
	req.Header.Set("Authorization", "Bearer key-a")
	req.Header.Set("X-Id", "r1")
	w := &flushRecorder{ResponseRecorder: httptest.NewRecorder()}
	s.ServeHTTP(w, req)
	return w
}

// Events that have arrived together are sent with one flush, and every flush sends whole
// events. Guards against one write per event at a router that is behind, and against events
// that wait for the one after them.
func TestEventsThatArrivedTogetherAreFlushedTogether(t *testing.T) {
	addr, _ := scriptedUpstream(t, eventStreamHeader+eventChunk(1)+eventChunk(2)+eventChunk(3)+lastChunk)
	w := streamTo(t, http.Header{}, addr)
	assert.Equal(t, "id: 1\ndata: e1\n\nid: 2\ndata: e2\n\nid: 3\ndata: e3\n\n", w.Body.String())
	assert.Equal(t, w.Body.String(), strings.Join(w.flushed, ""), "nothing is left to the end of the stream")
	for _, part := range w.flushed {
		assert.True(t, strings.HasSuffix(part, "\n\n"), "%q", part)
	}
	assert.Less(t, len(w.flushed), 3)
}

// An event that arrived with the beginning of the next one must not wait for its rest.
func TestEventBeforePartOfAnotherIsFlushed(t *testing.T) {
	half := "id: 2\ndata: "
	addr, _ := scriptedUpstream(t, eventStreamHeader+eventChunk(1)+"c\r\n"+half+"\r\n\x00")
	again, _ := scriptedUpstream(t, eventStreamHeader+eventChunk(2)+lastChunk)
	w := streamTo(t, http.Header{}, addr, again)
	require.NotEmpty(t, w.flushed)
	assert.Equal(t, "id: 1\ndata: e1\n\n", w.flushed[0])
	assert.Equal(t, "id: 1\ndata: e1\n\nid: 2\ndata: e2\n\n", w.Body.String())
}

// Events before a skipped position are sent before the stream is resumed elsewhere.
func TestEventsBeforeSkippedPositionAreFlushed(t *testing.T) {
	addr, _ := scriptedUpstream(t, eventStreamHeader+eventChunk(1)+eventChunk(3)+lastChunk)
	again, _ := scriptedUpstream(t, eventStreamHeader+eventChunk(2)+lastChunk)
	w := streamTo(t, http.Header{}, addr, again)
	require.NotEmpty(t, w.flushed)
	assert.Equal(t, "id: 1\ndata: e1\n\n", w.flushed[0])
	assert.Equal(t, "id: 1\ndata: e1\n\nid: 2\ndata: e2\n\n", w.Body.String())
}

// An upstream that repeats events which the caller has must not make the router send the
// headers of an answer that may still fail.
func TestRepeatedEventsSendNoHeaders(t *testing.T) {
	addr, _ := scriptedUpstream(t, eventStreamHeader+eventChunk(1)+"5\r\nid: 2\r\n\x00")
	broken, _ := scriptedUpstream(t, eventStreamHeader+eventChunk(1)+"5\r\nid: 2\r\n\x00")
	w := streamTo(t, http.Header{"Last-Event-Id": {"1"}}, addr, broken)
	assert.Equal(t, http.StatusBadGateway, w.Code)
	assert.Empty(t, w.flushed)
}
