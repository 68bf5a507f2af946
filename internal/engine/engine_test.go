package engine

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

var start = time.Unix(1_800_000_000, 0)

// waitFor advances an engine until a request has an event of a kind, and returns the time
// since start.
func waitFor(t testing.TB, e *Engine, id uint64, kind EventKind) time.Duration {
	for at := start; at.Before(start.Add(time.Minute)); at = at.Add(time.Millisecond) {
		for _, ev := range e.Advance(at) {
			if ev.ID == id && ev.Kind == kind {
				return ev.At.Sub(start)
			}
		}
	}
	t.Fatal("request has no such event within a minute")
	return 0
}

func TestCachedPartsAreNotReadAgain(t *testing.T) {
	e := New(DefaultConfig, start)
	parts := []Part{{1, 4000}, {2, 4000}}
	assert.True(t, e.Add(Request{ID: 1, Parts: parts, Output: 30}, start))
	cold := waitFor(t, e, 1, FirstEvent)
	// 8 chunks of 1,024 tokens at 38.7 tokens a millisecond, each with the duration of a step.
	assert.InDelta(t, 270, cold.Milliseconds(), 25)
	again := New(DefaultConfig, start)
	again.addToCache(parts[0])
	again.addToCache(parts[1])
	again.Add(Request{ID: 1, Parts: parts, Output: 30}, start)
	assert.Less(t, waitFor(t, again, 1, FirstEvent), 30*time.Millisecond)
	assert.Equal(t, 8000, e.Read)
	assert.Equal(t, 1, again.Read)
}

func TestFetchingIsCheaperThanReading(t *testing.T) {
	from, to := New(DefaultConfig, start), New(DefaultConfig, start)
	parts := []Part{{1, 3780}, {2, 500}}
	from.addToCache(parts[0])
	to.Add(Request{ID: 1, Parts: parts, Output: 30, Source: from}, start)
	assert.Less(t, waitFor(t, to, 1, FirstEvent), 60*time.Millisecond)
	assert.Equal(t, 3780, to.Fetched)
	assert.Equal(t, 500, to.Read)
}

func TestPromptsAreReadInArrivalOrder(t *testing.T) {
	e := New(DefaultConfig, start)
	e.Add(Request{ID: 1, Parts: []Part{{1, 20_000}}, Output: 3}, start)
	e.Add(Request{ID: 2, Parts: []Part{{2, 100}}, Output: 3}, start)
	assert.Greater(t, waitFor(t, e, 2, FirstEvent), 500*time.Millisecond, "behind the large prompt")
}

func TestSlotAndMemoryLimitsHold(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := DefaultConfig
		cfg.Slots, cfg.MemoryTokens = rapid.IntRange(1, 8).Draw(t, "slots"), rapid.IntRange(2000, 20_000).Draw(t, "memory")
		e := New(cfg, start)
		now, open := start, map[uint64]bool{}
		for i := range uint64(rapid.IntRange(1, 60).Draw(t, "requests")) {
			r := Request{ID: i, Output: rapid.IntRange(1, 60).Draw(t, "output")}
			for range rapid.IntRange(1, 3).Draw(t, "parts") {
				r.Parts = append(r.Parts, Part{uint64(rapid.IntRange(1, 20).Draw(t, "part")), 300})
			}
			if e.Add(r, now) {
				open[i] = true
			}
			now = now.Add(time.Duration(rapid.IntRange(0, 100).Draw(t, "pause")) * time.Millisecond)
			for _, ev := range e.Advance(now) {
				if ev.Kind == Done {
					delete(open, ev.ID)
				}
			}
			_, running := e.Load()
			if running > cfg.Slots {
				t.Fatalf("%d requests run in %d slots", running, cfg.Slots)
			}
			if e.cachedTokens > 0 && e.cachedTokens+e.decoded() > cfg.MemoryTokens {
				t.Fatalf("%d cached and %d decoded tokens in a memory of %d", e.cachedTokens, e.decoded(), cfg.MemoryTokens)
			}
		}
		for _, ev := range e.Advance(now.Add(10 * time.Minute)) {
			if ev.Kind == Done {
				delete(open, ev.ID)
			}
		}
		if len(open) > 0 {
			t.Fatalf("%d requests never ended", len(open))
		}
	})
}

func TestCancelledRequestFreesItsSlot(t *testing.T) {
	e := New(DefaultConfig, start)
	e.Add(Request{ID: 1, Parts: []Part{{1, 20_000}}, Output: 3}, start)
	e.Add(Request{ID: 2, Parts: []Part{{2, 100}}, Output: 30}, start)
	e.Cancel(1)
	assert.Less(t, waitFor(t, e, 2, FirstEvent), 60*time.Millisecond)
	e.Cancel(99)
	w, r := e.Load()
	assert.Zero(t, w+r-1, "the second request still runs")
}

func TestEventOrder(t *testing.T) {
	e := New(DefaultConfig, start)
	e.Add(Request{ID: 1, Parts: []Part{{1, 100}}, Output: 10}, start)
	var kinds []EventKind
	for _, ev := range e.Advance(start.Add(time.Second)) {
		kinds = append(kinds, ev.Kind)
	}
	assert.Equal(t, []EventKind{FirstEvent, More, More, Done}, kinds, "an event every three tokens, and the last one")
}
