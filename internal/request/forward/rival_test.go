package forward

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/silverswitch/silverswitch/internal/core/wire"
)

// pausingUpstream sends a stream, and pauses before one of its events.
type pausingUpstream struct {
	addr    string
	pauseAt int // before this event
	pause   time.Duration
	events  int
	gap     time.Duration // after each event
	runs    atomic.Int64
	begunAt atomic.Int64 // of the latest run, as UnixNano
	leftAt  atomic.Int64 // when the router closed its connection before the end
	status  int          // of a plain answer; 0 for a stream
}

func newPausingUpstream(t *testing.T, events, pauseAt int, pause time.Duration) *pausingUpstream {
	u := &pausingUpstream{events: events, pauseAt: pauseAt, pause: pause}
	s := httptest.NewServer(u)
	t.Cleanup(func() { s.CloseClientConnections(); s.Close() })
	u.addr = strings.TrimPrefix(s.URL, "http://")
	return u
}

func (u *pausingUpstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body) // the router may have gone
	if r.Header.Get("X-Id") != "r1" {
		w.WriteHeader(http.StatusMisdirectedRequest) // of another process, to an address that was used before
		return
	}
	u.runs.Add(1)
	u.begunAt.Store(time.Now().UnixNano())
	w.Header().Set("X-Id", r.Header.Get("X-Id"))
	w.Header().Set("X-Proof", "p")
	if u.status != 0 {
		u.wait(r)
		w.WriteHeader(u.status)
		_, _ = io.WriteString(w, "answer")
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id")) // 0 without one
	for i := last + 1; i <= u.events; i++ {
		if i == u.pauseAt && !u.wait(r) {
			return
		}
		fmt.Fprintf(w, "id: %d\ndata: e%d\n\n", i, i)
		w.(http.Flusher).Flush()
		time.Sleep(u.gap)
	}
}

// wait pauses, and returns false if the router leaves meanwhile.
func (u *pausingUpstream) wait(r *http.Request) bool {
	select {
	case <-time.After(u.pause):
		return true
	case <-r.Context().Done():
		u.leftAt.Store(time.Now().UnixNano())
		return false
	}
}

func wholeStream(events int) string {
	var b strings.Builder
	for i := 1; i <= events; i++ {
		fmt.Fprintf(&b, "id: %d\ndata: e%d\n\n", i, i)
	}
	return b.String()
}

// A refused second placement ended an answer that went on a moment later.
func TestRefusedSecondAttemptEndsNoAnswer(t *testing.T) {
	u := newPausingUpstream(t, 4, 3, maxPause+300*time.Millisecond)
	r := newHarness(t, u.addr)
	_, body, err := r.do(t, "POST", "/long/x", "body")
	require.NoError(t, err)
	assert.Equal(t, wholeStream(4), body)
	assert.Equal(t, int64(1), u.runs.Load())
	assert.Positive(t, r.control.placedBeside)
}

// Both upstreams went on with a stream whose first one had only paused.
func TestSecondAttemptIsCancelledWhenTheFirstGoesOn(t *testing.T) {
	first := newPausingUpstream(t, 20, 3, maxPause+100*time.Millisecond)
	first.gap = 30 * time.Millisecond
	second := newPausingUpstream(t, 20, 3, time.Minute)
	r := newHarness(t, first.addr, second.addr)
	_, body, err := r.do(t, "POST", "/long/x", "body")
	require.NoError(t, err)
	assert.Equal(t, wholeStream(20), body)
	assert.Equal(t, int64(1), second.runs.Load())
	require.Eventually(t, func() bool { return second.leftAt.Load() != 0 }, 5*time.Second, 5*time.Millisecond)
	assert.Less(t, time.Duration(second.leftAt.Load()-second.begunAt.Load()), 400*time.Millisecond)
	r.control.mu.Lock()
	defer r.control.mu.Unlock()
	require.NotEmpty(t, r.control.avoided)
	assert.Equal(t, "i-0", r.control.avoided[0].ID, "the silent upstream")
}

// A stream was worked on by two upstreams for as long as the second one took to its first event.
func TestFirstUpstreamIsGivenUpSoonAfterTheSecondBegins(t *testing.T) {
	first := newPausingUpstream(t, 4, 3, time.Minute)
	second := newPausingUpstream(t, 4, 3, 600*time.Millisecond)
	r := newHarness(t, first.addr, second.addr)
	_, body, err := r.do(t, "POST", "/long/x", "body")
	require.NoError(t, err)
	assert.Equal(t, wholeStream(4), body)
	require.Eventually(t, func() bool { return first.leftAt.Load() != 0 }, 5*time.Second, 5*time.Millisecond)
	assert.Less(t, time.Duration(first.leftAt.Load()-second.begunAt.Load()), 400*time.Millisecond)
}

// The end of the first connection ended a request whose second attempt was under way.
func TestSecondAttemptGoesOnWhenTheFirstBreaks(t *testing.T) {
	first := newPausingUpstream(t, 4, 3, time.Minute)
	second := newPausingUpstream(t, 4, 3, 150*time.Millisecond)
	r := newHarness(t, first.addr, second.addr)
	go func() {
		for second.runs.Load() == 0 {
			time.Sleep(time.Millisecond)
		}
		r.exchanges.Abort("i-0")
	}()
	_, body, err := r.do(t, "POST", "/long/x", "body")
	require.NoError(t, err)
	assert.Equal(t, wholeStream(4), body)
	assert.Equal(t, []uint8{wire.ProgressFailed, wire.ProgressDone}, r.control.recordedNotes())
}

// An idempotent request was answered 502 though its upstream had answered, with a failure, and there was
// no second one.
func TestFailureOfAnUpstreamIsPassedOnWithoutASecondOne(t *testing.T) {
	u := newPausingUpstream(t, 0, 0, 0)
	u.status = http.StatusInternalServerError
	r := newHarness(t, u.addr)
	res, body, err := r.do(t, "GET", "/safe/x", "")
	require.NoError(t, err)
	assert.Equal(t, http.StatusInternalServerError, res.StatusCode)
	assert.Equal(t, "answer", body)
}

// Second attempts of all requests of a pausing service spent the retry budget for nothing.
func TestPauseOfAServiceIsWaitedOut(t *testing.T) {
	a, b := newPausingUpstream(t, 4, 3, 1600*time.Millisecond), newPausingUpstream(t, 4, 3, 1600*time.Millisecond)
	r := newHarness(t, a.addr, b.addr)
	ends := make(chan string, 2)
	for range 2 {
		go func() {
			_, body, err := r.do(t, "POST", "/long/x", "body")
			assert.NoError(t, err)
			ends <- body
		}()
	}
	for range 2 {
		assert.Equal(t, wholeStream(4), <-ends)
	}
	assert.Zero(t, r.control.placedBeside)
}
