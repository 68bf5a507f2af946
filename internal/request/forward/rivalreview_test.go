package forward

import (
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/silverswitch/silverswitch/internal/dispatch"
	"github.com/silverswitch/silverswitch/internal/memory"
)

// darkUpstream takes connections and never answers.
func darkUpstream(t *testing.T) string {
	return newPausingUpstream(t, 4, 1, time.Minute).addr
}

// Two hosts went dark. Their requests waited for the whole service until their deadline, though an
// upstream that had nothing to do could have answered.
func TestTwoDarkUpstreamsAreLeftForASoundOne(t *testing.T) {
	sound := newPausingUpstream(t, 0, 0, 0)
	sound.status = http.StatusOK
	r := newHarness(t, darkUpstream(t), darkUpstream(t), sound.addr, sound.addr)
	var wg sync.WaitGroup
	for range 2 {
		wg.Go(func() {
			res, _, err := r.do(t, "GET", "/safe/x", "")
			if assert.NoError(t, err) {
				assert.Equal(t, http.StatusOK, res.StatusCode)
			}
		})
	}
	wg.Wait()
}

// A request at a host that went dark waited for the whole service until its deadline, because another
// upstream was at work on a long request.
func TestDarkUpstreamBesideABusyOneIsLeft(t *testing.T) {
	busy := newPausingUpstream(t, 0, 0, 5*time.Second)
	busy.status = http.StatusOK
	sound := newPausingUpstream(t, 0, 0, 0)
	sound.status = http.StatusOK
	r := newHarness(t, busy.addr, darkUpstream(t), sound.addr)
	var wg sync.WaitGroup
	wg.Go(func() { _, _, _ = r.do(t, "POST", "/patient/x", "body") })
	require.Eventually(t, func() bool { return busy.runs.Load() == 1 }, 5*time.Second, time.Millisecond)
	res, _, err := r.do(t, "GET", "/safe/x", "")
	require.NoError(t, err)
	assert.Equal(t, http.StatusOK, res.StatusCode)
	wg.Wait()
}

// The first upstream went dark and the second one failed the request. Its caller waited until the deadline,
// and was told that there was no answer.
func TestFailureOfTheSecondUpstreamIsPassedOn(t *testing.T) {
	second := newPausingUpstream(t, 0, 0, 0)
	second.status = http.StatusInternalServerError
	r := newHarness(t, darkUpstream(t), second.addr)
	res, body, err := r.do(t, "GET", "/safe/x", "")
	require.NoError(t, err)
	assert.Equal(t, http.StatusInternalServerError, res.StatusCode)
	assert.Equal(t, "answer", body)
	assert.Equal(t, int64(1), second.runs.Load())
}

// A host went dark, and so had the one of the second attempt. No third upstream was asked, as nothing
// watches a second attempt.
func TestSilentSecondUpstreamIsLeftForAThird(t *testing.T) {
	for _, path := range []string{"/safe/x", "/stream/x"} {
		t.Run(path, func(t *testing.T) {
			sound := newPausingUpstream(t, 4, 0, 0)
			if path == "/safe/x" {
				sound.status = http.StatusOK
			}
			r := newHarness(t, darkUpstream(t), darkUpstream(t), sound.addr)
			for _, route := range r.control.table.Routes {
				route.MaxAttempts, route.Timeout = 3, 6*time.Second
			}
			res, _, err := r.do(t, "POST", path, "body")
			require.NoError(t, err)
			assert.Equal(t, http.StatusOK, res.StatusCode)
		})
	}
}

// A stream's upstream paused, and the second one turned the request down after 300 ms, or never answered.
// The first one had been given up by then, though it went on a moment later.
func TestFirstUpstreamIsNotGivenUpForOneThatHasNoAnswer(t *testing.T) {
	for name, second := range map[string]http.HandlerFunc{
		"rejects": func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body) // the router may have gone
			time.Sleep(300 * time.Millisecond)
			w.Header().Set("X-Id", r.Header.Get("X-Id"))
			w.Header().Set("X-Not-Run", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
		},
		"is dark": func(_ http.ResponseWriter, r *http.Request) { _, _ = io.Copy(io.Discard, r.Body); <-r.Context().Done() },
	} {
		t.Run(name, func(t *testing.T) {
			s := httptest.NewServer(second)
			t.Cleanup(func() { s.CloseClientConnections(); s.Close() })
			first := newPausingUpstream(t, 4, 3, 1300*time.Millisecond)
			r := newHarness(t, first.addr, strings.TrimPrefix(s.URL, "http://"))
			_, body, err := r.do(t, "POST", "/stream/x", "body")
			require.NoError(t, err)
			assert.Equal(t, wholeStream(4), body)
		})
	}
}

// slowControl is short of CPU: reporting a first event takes long.
type slowControl struct {
	*fakeControl
	firstEventTakes time.Duration
	unusable        func(*dispatch.Placement) Unusable // may be nil
}

func (c *slowControl) FirstEvent(*Ticket, time.Duration) { time.Sleep(c.firstEventTakes) }

func (c *slowControl) Unusable(p *dispatch.Placement) Unusable {
	if c.unusable == nil {
		return MaySend
	}
	return c.unusable(p)
}

// A router short of CPU had read an event, and took its upstream for silent before it had passed the event
// on. The second upstream sent the event again.
func TestEventReadBeforeTheSilenceIsForwardedOnce(t *testing.T) {
	first := newPausingUpstream(t, 4, 2, time.Minute)
	second := newPausingUpstream(t, 4, 0, 0)
	r := newHarness(t, first.addr, second.addr)
	r.server.ctrl = &slowControl{fakeControl: r.control, firstEventTakes: 1300 * time.Millisecond}
	_, body, err := r.do(t, "POST", "/stream/x", "body", "X-Left-Ms", "8000")
	require.NoError(t, err)
	assert.Equal(t, wholeStream(4), body)
}

// blockedCaller takes nothing until it is gone.
type blockedCaller struct {
	*httptest.ResponseRecorder
	gone chan struct{}
}

func (c *blockedCaller) Write([]byte) (int, error) {
	<-c.gone
	return 0, errors.New("the caller is gone")
}

// A caller that took nothing left after the first upstream had been given up for the second one. The second
// attempt's placement, connection, pulse and memory were kept for ever.
func TestSecondAttemptOfACallerThatIsGoneIsReleased(t *testing.T) {
	first := newPausingUpstream(t, 4, 2, time.Minute)
	second := newPausingUpstream(t, 4, 3, time.Minute)
	h := newHarness(t, first.addr, second.addr)
	account := memory.NewAccount(testMemory)
	h.server.memory = account
	w := &blockedCaller{httptest.NewRecorder(), make(chan struct{})}
	req := httptest.NewRequest("POST", "http://h.example/stream/x", strings.NewReader("body"))
	req.Header.Set("Authorization", "Bearer key-a")
	req.Header.Set("X-Id", "r1")
	go func() {
		for second.runs.Load() == 0 {
			time.Sleep(time.Millisecond)
		}
		time.Sleep(400 * time.Millisecond) // it is committed
		close(w.gone)
	}()
	assert.Panics(t, func() { h.server.ServeHTTP(w, req) })
	for _, p := range h.server.pulses.byService["s"] {
		assert.Zero(t, p.running.Load(), "attempts under way at %s", p.instance.ID)
	}
	assert.Len(t, h.control.recordedNotes(), 2, "both placements are ended")
	assert.Zero(t, account.Used())
}

// Memory was short, so the body was released at the first answer's header, as a second attempt was under
// way. That one was not sent, and the next was sent without the body.
func TestBodyIsKeptWhileASecondAttemptMayBeWithdrawn(t *testing.T) {
	body := strings.Repeat("x", 100<<10)
	first := newPausingUpstream(t, 4, 1, time.Minute)
	sent := make(chan int64, 8)
	header, withdrawn := make(chan struct{}), make(chan struct{})
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body) // the router may have gone
		w.Header().Set("X-Id", r.Header.Get("X-Id"))
		w.Header().Set("X-Proof", "p")
		w.Header().Set("Content-Type", "text/event-stream")
		select {
		case <-header:
		case <-r.Context().Done():
		}
		w.(http.Flusher).Flush()
		select {
		case <-withdrawn:
		case <-r.Context().Done():
		}
		panic(http.ErrAbortHandler) // it crashes
	}))
	t.Cleanup(func() { s.CloseClientConnections(); s.Close() })
	third := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		sent <- r.ContentLength
		w.Header().Set("X-Id", r.Header.Get("X-Id"))
		w.Header().Set("X-Proof", "p")
	}))
	t.Cleanup(third.Close)
	h := newHarness(t, strings.TrimPrefix(s.URL, "http://"), first.addr, strings.TrimPrefix(third.URL, "http://"))
	h.control.table.Limits.BodyBytes = 1 << 20
	h.server.memory = memory.NewAccount(400 << 10)
	h.server.ctrl = &slowControl{fakeControl: h.control, unusable: func(p *dispatch.Placement) Unusable {
		if p.Instance.ID != "i-1" {
			return MaySend
		}
		close(header)
		time.Sleep(100 * time.Millisecond) // the first answer's header arrives
		time.AfterFunc(50*time.Millisecond, func() { close(withdrawn) })
		return UpstreamLeft
	}}
	_, _, _ = h.do(t, "POST", "/stream/x", body)
	select {
	case n := <-sent:
		assert.Equal(t, int64(len(body)), n)
	case <-time.After(5 * time.Second):
		t.Error("no other attempt")
	}
}

// An attempt had ended and another placement was requested when its watchdog, which had fired just before,
// got to run. A second attempt began beside one that was over.
func TestNoSecondAttemptBesideOneThatIsOver(t *testing.T) {
	h := newHarness(t, darkUpstream(t), darkUpstream(t))
	table := h.control.table
	req := &callerRequest{s: h.server, r: httptest.NewRequest("GET", "http://h.example/safe/x", nil), service: "s"}
	for _, route := range table.Routes {
		if route.Name == "/safe/" {
			req.route = route
		}
	}
	r := &run{callerRequest: req, ctx: t.Context(), ticket: NewTicket(1)}
	at := r.newAttempt(r.ctx, &dispatch.Placement{}, r.ticket)
	r.attempts, r.going = 1, at
	at.end()
	r.fellSilent(at)
	r.mu.Lock()
	began := r.rival != nil
	r.mu.Unlock()
	r.endRivals()
	assert.False(t, began)
}
