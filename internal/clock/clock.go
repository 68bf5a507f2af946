// Package clock tells the time that has passed for everyone else. Go's monotonic clock
// stands still while the VM is suspended, so leases, deadlines and ages measured by it
// seem to have time left that has gone by; the wall clock goes on, but jumps when it is
// set. This one goes on and does not jump back.
package clock

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// minSuspension is what the two clocks must part by to count as a suspension: two
	// readings one after the other differ by microseconds.
	minSuspension = 5 * time.Millisecond
	// maxReadDuration is how long a reading of both clocks may take; one that was interrupted
	// for longer is made anew.
	maxReadDuration = time.Millisecond
	// maxReadAttempts bounds how often it is made anew; the next look is soon.
	maxReadAttempts = 3
)

// Clock is one clock. It may be used by any goroutine.
type Clock struct {
	suspended        func() (time.Duration, bool) // in all so far; false when it cannot be told
	suspendedAtStart time.Duration                // of it, when the clock was made
	offset           atomic.Int64                 // of the monotonic clock, in nanoseconds
	mu               sync.Mutex
	contexts         map[*deadlineContext]bool
}

// wait is a context that ends at a time of the clock.
type deadlineContext struct {
	deadline time.Time
	cancel   context.CancelFunc
}

// System is the clock of this VM.
var System = New(SuspendedSinceBoot)

// New returns a clock that learns from a function for how long the VM has been suspended
// in all.
func New(suspended func() (time.Duration, bool)) *Clock {
	c := &Clock{suspended: suspended, contexts: map[*deadlineContext]bool{}}
	c.suspendedAtStart, _ = suspended()
	return c
}

// SuspendedSinceBoot returns for how long the VM has been suspended since it booted.
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
		return 0, false // a system without it suspends nothing that could be told
	}
	return time.Duration(t.Nano()), true
}

// Now returns the time. Differences between two of its results are right across a
// suspension, from the next Refresh on.
func (c *Clock) Now() time.Time { return time.Now().Add(time.Duration(c.offset.Load())) }

// Since returns the time since one that Now returned.
func (c *Clock) Since(t time.Time) time.Duration { return c.Now().Sub(t) }

// Until returns the time until one.
func (c *Clock) Until(t time.Time) time.Duration { return t.Sub(c.Now()) }

// Monotonic returns a time of this clock as Go's own timers and deadlines of connections
// take it.
func (c *Clock) Monotonic(t time.Time) time.Time { return t.Add(-time.Duration(c.offset.Load())) }

// Refresh looks whether the VM was suspended since the last time, and returns for how
// long. Contexts whose time is over by then end at once.
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
		time.AfterFunc(c.Until(w.deadline), w.cancel) // its own timer is late by the jump
	}
	return jump
}

// WithDeadline returns a context that ends at a time of this clock.
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
