package process

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"github.com/silverswitch/silverswitch/internal/clock"
	"github.com/silverswitch/silverswitch/internal/core/wire"
)

const (
	queueSize    = 1024 // of the queues of operations and of datagrams
	maxBatchSize = 256  // queued inputs handled before a flush
)

// op is a function that runs on the control goroutine.
type op func(now time.Time)

// controlLoop runs a state machine on a single goroutine and queues operations and
// datagrams from other goroutines for it.
type controlLoop struct {
	ops       chan op
	datagrams chan *wire.Datagram
	startTime time.Time
	clock     *clock.Clock
	done      chan struct{}
}

// stateMachine is the state machine that a control loop runs.
type stateMachine interface {
	receive(m *wire.Datagram, now time.Time)
	tick(now time.Time)
	// flush carries out the outputs of all inputs since the last call.
	flush(now time.Time)
}

func newControlLoop(now time.Time) controlLoop {
	return controlLoop{
		ops:       make(chan op, queueSize),
		datagrams: make(chan *wire.Datagram, queueSize),
		startTime: now,
		clock:     clock.System,
		done:      make(chan struct{}),
	}
}

// now returns the wall time at the start plus the time elapsed since. It does not jump
// when the wall clock is set, and advances while the VM is suspended.
func (l *controlLoop) now() time.Time { return l.startTime.Add(l.clock.Since(l.startTime)) }

// run runs the control goroutine until the context ends.
func (l *controlLoop) run(ctx context.Context, interval time.Duration, m stateMachine, log zerolog.Logger) {
	defer close(l.done)
	tick := time.NewTicker(interval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case f := <-l.ops:
			f(l.now())
		case d := <-l.datagrams:
			m.receive(d, l.now())
		case <-tick.C:
			refreshClock(l.clock, log)
			m.tick(l.now())
		}
		l.drainQueues(m)
		m.flush(l.now())
	}
}

// drainQueues handles up to maxBatchSize inputs that are already queued, so that one
// datagram to each peer carries all resulting messages.
func (l *controlLoop) drainQueues(m stateMachine) {
	for range maxBatchSize {
		select {
		case f := <-l.ops:
			f(l.now())
		case d := <-l.datagrams:
			m.receive(d, l.now())
		default:
			return
		}
	}
}

// enqueue queues f for the control goroutine and blocks while the queue is full. Once the
// control goroutine has ended, f is dropped.
func (l *controlLoop) enqueue(f op) {
	select {
	case l.ops <- f:
	case <-l.done:
	}
}

// Deliver queues a datagram for the control goroutine. When the queue is full the datagram
// is dropped, as it could be on the network.
func (l *controlLoop) Deliver(m *wire.Datagram) {
	select {
	case l.datagrams <- m:
	default:
	}
}

// query runs answer on the control goroutine and returns its result. It returns false when
// that takes longer than wait, or when the control goroutine has ended.
func query[T any](l *controlLoop, wait time.Duration, answer func(now time.Time) T) (T, bool) {
	got := make(chan T, 1)
	go l.enqueue(func(now time.Time) { got <- answer(now) })
	select {
	case a := <-got:
		return a, true
	case <-time.After(wait):
	case <-l.done:
	}
	var none T
	return none, false
}
