package slots

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/silverswitch/silverswitch/internal/version"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func item(no uint64, org version.ID) *Item {
	return &Item{Key: Key{"r", no}, Org: org, Target: start.Add(300 * time.Millisecond), Deadline: start.Add(4 * time.Second), Since: start.Add(time.Duration(no) * time.Millisecond)}
}

func orderOf(u *Usage) Order { return Order{Usage: u, ServiceMS: 60, Now: start} }

func numbers(items []*Item) (out []uint64) {
	for _, it := range items {
		out = append(out, it.Key.No)
	}
	return out
}

// Guards against a mean that a hanging request or an invalid value spoils.
func TestMeanFollowsTheServiceAndIgnoresOutliers(t *testing.T) {
	var m Mean
	assert.InDelta(t, priorMS, m.MS(), 0)
	for range 200 {
		m.Observe(30)
	}
	for _, invalid := range []float64{-1, math.NaN(), math.Inf(1)} {
		m.Observe(invalid)
	}
	assert.Equal(t, 200, m.Samples())
	m.Observe(4000)
	assert.Less(t, m.MS(), 36.0)
	for range 300 {
		m.Observe(90)
	}
	assert.InDelta(t, 90, m.MS(), 2)
}

// Guards against an upstream that is sent what it rejects for ever, and against one that never
// gets its stated slots back.
func TestLimitFallsWithRejectionsAndRecovers(t *testing.T) {
	var l Limit
	assert.Equal(t, 8, l.Allowed(8, start))
	l.Reject(5, start)
	assert.Equal(t, 5, l.Allowed(8, start))
	l.Reject(0, start)
	assert.Equal(t, 1, l.Allowed(8, start), "one request is always allowed")
	assert.Equal(t, 3, l.Allowed(8, start.Add(2*limitRecovery)))
	now := start.Add(2 * limitRecovery)
	l.Reject(2, now)
	assert.Equal(t, 2, l.Allowed(8, now.Add(2*limitRecovery-1)), "a limit that was too high when it grew grows more slowly")
	assert.Equal(t, 8, l.Allowed(8, now.Add(12*limitRecovery)))
	assert.Equal(t, 8, l.Allowed(8, now))
}

// Guards against usage that is remembered for long after a flood.
func TestUsageIsForgotten(t *testing.T) {
	var u Usage
	u.Add(1, 1000, start)
	u.Add(2, 100, start)
	u.Add(1, math.NaN(), start)
	assert.InDelta(t, 0.05, u.SlotsBelow(1), 1e-6)
	assert.Zero(t, u.SlotsBelow(2))
	u.Add(2, 0, start.Add(2*time.Second))
	assert.InDelta(t, 1000/math.E, u.Of(1), 1)
	u.Add(2, -1e6, start.Add(2*time.Second))
	assert.Zero(t, u.Of(2))
	u.Add(2, 0, start.Add(time.Minute))
	assert.Empty(t, u.orgs)
}

// Guards against a flood that goes ahead of organisations that have used less.
func TestOrderAlternatesByUsedSlotTime(t *testing.T) {
	var u Usage
	var q Queue
	u.Add(1, 600, start) // ten requests
	for no := range uint64(5) {
		q.Push(item(no, 1))
	}
	q.Push(item(10, 2))
	q.Push(item(11, 2))
	q.Push(item(12, 3))
	assert.Equal(t, []uint64{10, 12, 11, 0, 1, 2, 3, 4}, numbers(q.First(orderOf(&u), 20)))
	assert.Equal(t, []uint64{10, 12, 11}, numbers(q.First(orderOf(&u), 3)))
	assert.Nil(t, q.Displaced(orderOf(&u), 8))
	assert.Equal(t, uint64(4), q.Displaced(orderOf(&u), 7).Key.No)
	assert.Equal(t, 3, q.Ahead(item(20, 2), orderOf(&u)))
	assert.Equal(t, 8, q.Ahead(item(20, 1), orderOf(&u)))
}

// Guards against urgent requests behind others of organisations that have used the same, against
// repeated requests behind new ones, and against late requests before those in time.
func TestOrderWithinEqualUsage(t *testing.T) {
	var u Usage
	var q Queue
	late, urgent, early, repeated := item(1, 1), item(2, 2), item(3, 3), item(4, 4)
	late.Target = start.Add(50 * time.Millisecond)
	urgent.Priority, early.Priority, repeated.Priority, late.Priority = 0, 1, 2, 0
	early.Deadline = start.Add(time.Second)
	repeated.Repeated = true
	other := item(5, 5)
	other.Priority = 1
	for _, it := range []*Item{late, urgent, early, repeated, other} {
		q.Push(it)
	}
	assert.Equal(t, []uint64{4, 2, 3, 5, 1}, numbers(q.First(orderOf(&u), 20)))
	assert.Nil(t, q.Displaced(orderOf(&u), 4), "the late one does not count")
	assert.Same(t, other, q.Displaced(orderOf(&u), 3), "the late one does not leave")
	for no := range uint64(maxQueueLen) {
		q.Push(item(100+no, 1))
	}
	assert.Same(t, late, q.Displaced(orderOf(&u), maxQueueLen))
}

// Guards against a request that waits twice, or that cannot be withdrawn.
func TestPushReplacesAndRemoveWithdraws(t *testing.T) {
	var q Queue
	q.Push(item(1, 1))
	again := item(1, 1)
	again.Deadline = start.Add(time.Second)
	q.Push(again)
	require.Equal(t, 1, q.Len())
	assert.Same(t, again, q.Get(Key{"r", 1}))
	assert.Same(t, again, q.Remove(Key{"r", 1}))
	assert.Nil(t, q.Remove(Key{"r", 1}))
	assert.Zero(t, q.Len())
}

// Guards against a repeated request that is displaced: its work may be half done.
func TestRepeatedRequestsAreNotDisplaced(t *testing.T) {
	var u Usage
	var q Queue
	it := item(1, 1)
	it.Repeated = true
	q.Push(it)
	assert.Nil(t, q.Displaced(orderOf(&u), 0))
}

// Guards against waits that are promised although other organisations go ahead, and against a
// wait of 0 or not a number without slots.
func TestExpectedWaits(t *testing.T) {
	var u Usage
	u.Add(1, 20_000, start) // ten slots
	u.Add(2, 10_000, start) // five slots
	assert.InDelta(t, 0.3*(1-5.0/18), orderOf(&u).RateFor(1, 0.3, 18), 1e-9)
	assert.InDelta(t, 0.3, orderOf(&u).RateFor(2, 0.3, 18), 1e-9)
	assert.InDelta(t, 0.3*minRateRatio, orderOf(&u).RateFor(1, 0.3, 1), 1e-9)
	assert.InDelta(t, 0.3, orderOf(&u).RateFor(1, 0.3, 0), 1e-9)
	assert.InDelta(t, 10, WaitMS(2, 0.3), 1e-9)
	assert.True(t, math.IsInf(WaitMS(0, 0), 1))
	assert.True(t, math.IsInf(WaitMS(0, math.NaN()), 1))
	assert.Equal(t, 60, MaxLen(0.3, 200))
	assert.Equal(t, minQueueLen, MaxLen(math.NaN(), 200))
	assert.Equal(t, maxQueueLen, MaxLen(1e9, 200))
}
