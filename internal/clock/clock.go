// Package clock provides a monotonic clock that includes the time during which the VM was
// suspended. Go's monotonic clock stands still during a suspension, so leases, deadlines
// and ages measured with it expire too late; the wall clock advances, but jumps when it is
// set. This clock advances across a suspension and never jumps back.
package clock

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// minSuspension is the smallest difference between the two system clocks that counts
	// as a suspension: consecutive readings differ by microseconds.
	minSuspension = 5 * time.Millisecond
	// maxReadDuration is how long a reading of both clocks may take. It is repeated when it
	// was interrupted for longer.
	maxReadDuration = time.Millisecond
	// maxReadAttempts bounds the attempts of one reading; the next Refresh follows soon.
	maxReadAttempts = 3
)

// Clock is a monotonic clock that includes suspensions of the VM. It may be used by any
// goroutine.
type Clock struct {
	suspended        func() (time.Duration, bool) // total so far; false when unknown
	suspendedAtStart time.Duration                // total when the clock was created
	offset           atomic.Int64                 // ahead of Go's monotonic clock, in nanoseconds
	mu               sync.Mutex
	contexts         map[*deadlineContext]bool
}

// deadlineContext is a context with a deadline by this clock.
type deadlineContext struct {
	deadline time.Time
	cancel   context.CancelFunc
}

// System is the clock of this VM.
var System = New(SuspendedSinceBoot)

// New returns a clock. The function returns the total time for which the VM has been
// suspended, and false when that is unknown.
func New(suspended func() (time.Duration, bool)) *Clock {
	c := &Clock{suspended: suspended, contexts: map[*deadlineContext]bool{}}
	c.suspendedAtStart, _ = suspended()
	return c
}

// SuspendedSinceBoot returns the total time for which the VM has been suspended since boot,
// and false when it is unknown.
func SuspendedSinceBoot() (time.Duration, bool) {
	for range maxReadAttempts {
		before, ok1 := readClock(unix.CLOCK_MONOTONIC)
		boot, ok2 := readClock(unix.CLOCK_BOOTTIME)
		after, ok3 := readClock(unix.CLOCK_MONOTONIC)
		if !ok1 || !ok2 || !ok3 {
			return 0, false
		}
		if after-before <= maxReadDuration {
			return boot - before, true
		}
	}
	return 0, false
}

func readClock(id int32) (time.Duration, bool) {
	var t unix.Timespec
	if err := unix.ClockGettime(id, &t); err != nil {
		return 0, false // on a system without these clocks suspensions cannot be detected
	}
	return time.Duration(t.Nano()), true
}

// Now returns the current time. Differences between two results include a suspension after
// the next Refresh.
func (c *Clock) Now() time.Time { return time.Now().Add(time.Duration(c.offset.Load())) }

// Since returns the time elapsed since t, a time of this clock.
func (c *Clock) Since(t time.Time) time.Duration { return c.Now().Sub(t) }

// Until returns the time remaining until t, a time of this clock.
func (c *Clock) Until(t time.Time) time.Duration { return t.Sub(c.Now()) }

// Monotonic converts a time of this clock for use with Go's timers and the deadlines of
// connections.
func (c *Clock) Monotonic(t time.Time) time.Time { return t.Add(-time.Duration(c.offset.Load())) }

// Refresh checks whether the VM was suspended since the last call and returns for how long.
// Contexts whose deadline has passed end at once.
func (c *Clock) Refresh() time.Duration {
	total, known := c.suspended()
	if !known {
		return 0
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	jump := total - c.suspendedAtStart - time.Duration(c.offset.Load())
	if jump < minSuspension {
		return 0
	}
	c.offset.Add(int64(jump))
	for w := range c.contexts {
		time.AfterFunc(c.Until(w.deadline), w.cancel) // the context's own timer is late by the suspended time
	}
	return jump
}

// WithDeadline returns a context with a deadline by this clock.
func (c *Clock) WithDeadline(parent context.Context, at time.Time) (context.Context, context.CancelFunc) {
	ctx, end := context.WithTimeout(parent, c.Until(at))
	w := &deadlineContext{at, end}
	c.mu.Lock()
	c.contexts[w] = true
	c.mu.Unlock()
	return ctx, func() {
		c.mu.Lock()
		delete(c.contexts, w)
		c.mu.Unlock()
		end()
	}
}
