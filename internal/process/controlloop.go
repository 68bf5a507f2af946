package process

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"github.com/silverswitch/silverswitch/internal/clock"
	"github.com/silverswitch/silverswitch/internal/core/wire"
)

const (
	opsQueueSize = 1024
	maxOpsBatch  = 256
)

// op is work for the control goroutine.
type op func(now time.Time)

// controlLoop is the one goroutine that touches a state machine, and the way to it for all
// others.
type controlLoop struct {
	ops       chan op
	datagrams chan *wire.Datagram
	startTime time.Time // process start
	clock     *clock.Clock
	done      chan struct{}
}

// machine is what a control loop drives.
type stateMachine interface {
	receive(m *wire.Datagram, now time.Time)
	tick(now time.Time)
	// flush carries out what follows from the inputs since the last call.
	flush(now time.Time)
}

func newControlLoop(now time.Time) controlLoop {
	return controlLoop{
		ops:       make(chan op, opsQueueSize),
		datagrams: make(chan *wire.Datagram, opsQueueSize),
		startTime: now,
		clock:     clock.System,
		done:      make(chan struct{}),
	}
}

// now is wall time at the start plus the time since: it never jumps when the wall clock
// is set, and goes on while the VM is suspended.
func (l *controlLoop) now() time.Time { return l.startTime.Add(l.clock.Since(l.startTime)) }

// run is the control goroutine. It ends with the context.
func (l *controlLoop) run(ctx context.Context, every time.Duration, m stateMachine, log zerolog.Logger) {
	defer close(l.done)
	tick := time.NewTicker(every)
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

// drain takes what else is already there, so that one datagram carries it all.
func (l *controlLoop) drainQueues(m stateMachine) {
	for range maxOpsBatch {
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

// do hands work to the control goroutine; it is dropped after its end.
func (l *controlLoop) enqueue(f op) {
	select {
	case l.ops <- f:
	case <-l.done:
	}
}

// Deliver hands over a datagram. When the control goroutine lags, datagrams are
// dropped, as a network would.
func (l *controlLoop) Deliver(m *wire.Datagram) {
	select {
	case l.datagrams <- m:
	default:
	}
}

// ask lets the control goroutine answer a question. It returns false when that takes longer
// than a time, or the goroutine has ended.
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
