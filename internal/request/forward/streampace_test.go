package forward

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestPaceMeterReportsTheFirstMissOnce(t *testing.T) {
	const target = 100 * time.Millisecond
	var m paceMeter
	at := time.Unix(1_800_000_000, 0)
	var reported []int
	for i, gap := range []time.Duration{0, 50, 100, 101, 300, 20} {
		at = at.Add(gap * time.Millisecond)
		if m.eventRead(target, at) == gapMissed {
			reported = append(reported, i)
		}
	}
	assert.Equal(t, []int{3}, reported)
	assert.Equal(t, 5, m.events)
	assert.Equal(t, 571*time.Millisecond, m.took)
	assert.Equal(t, 300*time.Millisecond, m.longest)
}

// Guards against an engine that stalls for 600 ms while the scheduler goes on to place prompts
// there, and against a warning for each of the events that come late meanwhile.
func TestGapsNearTheTargetWarnAtMostEachInterval(t *testing.T) {
	const target = 250 * time.Millisecond
	var m paceMeter
	at := time.Unix(1_800_000_000, 0)
	var got []gapReport
	for _, gap := range []time.Duration{0, 125, 126, 130, 140, 40, 300, 130, 300} {
		at = at.Add(gap * time.Millisecond)
		got = append(got, m.eventRead(target, at))
	}
	assert.Equal(t, []gapReport{gapInTime, gapInTime, gapWarning, gapInTime, gapWarning, gapInTime, gapMissed, gapInTime, gapWarning}, got)
}

// The scheduler would hold an engine to be slow because a caller reads slowly.
func TestSlowCallerIsNotBlamedOnTheUpstream(t *testing.T) {
	var m paceMeter
	at := time.Unix(1_800_000_000, 0)
	m.eventRead(100*time.Millisecond, at)
	for range 5 {
		at = at.Add(400 * time.Millisecond)
		m.eventWritten(at)
		at = at.Add(30 * time.Millisecond)
		assert.Equal(t, gapInTime, m.eventRead(100*time.Millisecond, at))
	}
	assert.Equal(t, 150*time.Millisecond, m.took)
}

func TestWithoutTargetNothingIsMissed(t *testing.T) {
	for _, target := range []time.Duration{0, -time.Second} {
		var m paceMeter
		at := time.Unix(1_800_000_000, 0)
		m.eventRead(target, at)
		assert.Equal(t, gapInTime, m.eventRead(target, at.Add(time.Hour)))
		assert.Equal(t, gapInTime, m.eventRead(target, at.Add(-time.Hour)), "a clock that goes back")
		assert.Equal(t, time.Hour, m.took)
	}
}

// A stream that misses its target must be reported when that happens, and once more with its
// whole pace before its end.
func TestPaceOfStreamIsReported(t *testing.T) {
	up := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Id", r.Header.Get("X-Id"))
		w.Header().Set("X-Proof", "p")
		w.Header().Set("Content-Type", "text/event-stream")
		for _, event := range []string{"id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n", "id: 3\ndata: c\n\n"} {
			_, _ = w.Write([]byte(event))
			_ = http.NewResponseController(w).Flush()
			time.Sleep(150 * time.Millisecond) // the route's target is 100 ms
		}
	}))
	defer up.Close()
	h := newHarness(t, strings.TrimPrefix(up.URL, "http://"))
	_, body, err := h.do(t, "POST", "/stream/x", "body")
	require.NoError(t, err)
	assert.Contains(t, body, "data: c")
	require.Eventually(t, func() bool { return len(h.control.recordedNotes()) > 0 }, 10*time.Second, time.Millisecond)
	h.control.mu.Lock()
	defer h.control.mu.Unlock()
	require.Len(t, h.control.paces, 2)
	first, last := h.control.paces[0], h.control.paces[1]
	assert.True(t, first.Missed)
	assert.Zero(t, first.Events)
	assert.True(t, last.Missed)
	assert.Equal(t, 2, last.Events)
	assert.GreaterOrEqual(t, last.Took, last.Longest)
	assert.Greater(t, last.Longest, 100*time.Millisecond)
}
