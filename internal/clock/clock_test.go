package clock

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// newTestClock returns a clock and a function that simulates a suspension of the VM.
func newTestClock() (*Clock, func(time.Duration)) {
	var total atomic.Int64
	total.Store(int64(time.Hour)) // suspended before the process started
	c := New(func() (time.Duration, bool) { return time.Duration(total.Load()), true })
	return c, func(d time.Duration) { total.Add(int64(d)) }
}

func TestClockAdvancesAcrossSuspension(t *testing.T) {
	c, suspend := newTestClock()
	began := c.Now()
	assert.Zero(t, c.Refresh())
	suspend(4 * time.Second)
	assert.Equal(t, 4*time.Second, c.Refresh())
	assert.Zero(t, c.Refresh(), "reported only once")
	assert.GreaterOrEqual(t, c.Since(began), 4*time.Second)
	assert.LessOrEqual(t, c.Until(began.Add(4*time.Second)), time.Duration(0))
}

func TestSmallReadingDifferencesAreNoSuspension(t *testing.T) {
	c, suspend := newTestClock()
	for range 3 {
		suspend(time.Millisecond)
		assert.Zero(t, c.Refresh())
		suspend(-time.Millisecond)
		assert.Zero(t, c.Refresh())
	}
}

func TestContextsExpiredDuringSuspensionEnd(t *testing.T) {
	c, suspend := newTestClock()
	over, stop := c.WithDeadline(context.Background(), c.Now().Add(time.Minute))
	defer stop()
	left, stopLeft := c.WithDeadline(context.Background(), c.Now().Add(time.Hour))
	defer stopLeft()
	suspend(2 * time.Minute)
	c.Refresh()
	<-over.Done()
	assert.NoError(t, left.Err())
	stopLeft()
	assert.Error(t, left.Err())
	stop()
	assert.Empty(t, c.contexts)
}

func TestClockWorksWithoutSuspensionReading(t *testing.T) {
	c := New(func() (time.Duration, bool) { return 0, false })
	assert.Zero(t, c.Refresh())
	assert.WithinDuration(t, time.Now(), c.Now(), time.Minute)
}

func TestSystemReportsSuspensions(t *testing.T) {
	_, known := SuspendedSinceBoot()
	assert.True(t, known)
	assert.Zero(t, System.Refresh(), "no suspension while the test runs")
}

// BenchmarkRefresh measures a call of Refresh, which is called a hundred times a second.
func BenchmarkRefresh(b *testing.B) {
	for b.Loop() {
		System.Refresh()
	}
}
