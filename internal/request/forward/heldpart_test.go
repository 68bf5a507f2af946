package forward

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/silverswitch/silverswitch/internal/core/quarantine"
)

// heldUntil lets a control hold a part of prompts.
func (c *fakeControl) heldUntil(name string, until time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.heldParts = map[uint64]quarantine.PartState{PartID(name): {Crashes: 5, Until: until}}
}

// Guards against requests with a part that crashes upstreams reaching them by any path: a new
// request, one that was placed before the part was known, and one that is tried again.
func TestRequestWithAHeldPartIsNotSent(t *testing.T) {
	addr, got := scriptedUpstream(t, eventStreamHeader+eventChunk(1)+lastChunk)
	r := newHarness(t, addr)
	r.control.heldUntil("bad", time.Now().Add(time.Hour))
	res, _, err := r.do(t, "POST", "/stream/x", "b", "X-Parts", "f1:40,bad:40,last:9")
	require.NoError(t, err)
	assert.Equal(t, http.StatusServiceUnavailable, res.StatusCode)
	assert.NotEmpty(t, res.Header.Get("Retry-After"))
	assert.Empty(t, got())
	assert.Zero(t, r.control.submitted.Load(), "it takes no share of its organisation")

	res, _, err = r.do(t, "POST", "/stream/x", "b", "X-Parts", "f1:40,bad:9")
	require.NoError(t, err)
	assert.Equal(t, http.StatusOK, res.StatusCode, "the last part belongs to the request alone")

	torn, _ := scriptedUpstream(t, eventStreamHeader+"\x00")
	next, reached := scriptedUpstream(t, eventStreamHeader+eventChunk(1)+lastChunk)
	r = newHarness(t, torn, next)
	r.control.onPlaceAgain = func() { r.control.heldUntil("bad", time.Now().Add(time.Hour)) }
	res, _, err = r.do(t, "POST", "/stream/x", "b", "X-Parts", "f1:40,bad:40,last:9")
	require.NoError(t, err)
	assert.Equal(t, http.StatusBadGateway, res.StatusCode, "it may have run")
	assert.Empty(t, reached())
}

// Whole answers clear parts while any is suspected, and unframed ones are reported at all times;
// failures that upstreams answer show nothing.
func TestAnswersToPromptsAreReportedWhileSuspected(t *testing.T) {
	for name, c := range map[string]struct {
		path, answer      string
		suspected, framed bool
		reported          int
	}{
		"nothing is suspected": {"/stream/x", eventStreamHeader + eventChunk(1) + lastChunk, false, true, 0},
		"suspected":            {"/stream/x", eventStreamHeader + eventChunk(1) + lastChunk, true, true, 1},
		"unframed":             {"/stream/x", unframedStreamHeader + "id: 1\ndata: e1\n\n\x00", false, false, 1},
		"plain":                {"/safe/x", okHelloAnswer, true, true, 1},
		"failure":              {"/once/x", "HTTP/1.1 500 Internal Server Error\r\nX-Id: %ID\r\nX-Proof: p\r\nContent-Length: 0\r\n\r\n", true, true, 0},
	} {
		addr, _ := scriptedUpstream(t, c.answer)
		r := newHarness(t, addr)
		if c.suspected {
			r.control.heldUntil("other", time.Now().Add(time.Hour))
		}
		_, _, err := r.do(t, "POST", c.path, "b", "X-Parts", "f1:40,s:40,last:9")
		require.NoError(t, err, name)
		require.Len(t, r.control.promptsAnswered, c.reported, name)
		if c.reported > 0 {
			assert.Equal(t, c.framed, r.control.promptsAnswered[0].Framed, name)
			assert.Equal(t, []uint64{PartID("f1"), PartID("s")}, r.control.promptsAnswered[0].Parts, name)
		}
	}
}

// Guards against a sound part that is held while its streams run on: a stream may last longer than
// it takes to hold a part, and shows that the part is sound long before it is whole.
func TestStreamThatRunsOnShowsThatItsPromptIsSound(t *testing.T) {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Id", r.Header.Get("X-Id"))
		w.Header().Set("X-Proof", "p")
		w.Header().Set("Content-Type", "text/event-stream")
		for i := 1; i <= 8; i++ {
			fmt.Fprintf(w, "id: %d\ndata: e%d\n\n", i, i)
			w.(http.Flusher).Flush()
			time.Sleep(survivalTime / 6)
		}
	}))
	t.Cleanup(s.Close)
	r := newHarness(t, strings.TrimPrefix(s.URL, "http://"))
	r.control.heldUntil("other", time.Now().Add(time.Hour))
	_, _, err := r.do(t, "POST", "/stream/x", "b", "X-Parts", "f1:40,last:9")
	require.NoError(t, err)
	require.Len(t, r.control.promptsAnswered, 2, "once while it runs, and once as it ends")
	assert.Equal(t, []uint64{PartID("f1")}, r.control.promptsAnswered[0].Parts)
}
