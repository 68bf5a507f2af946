package process

import (
	"context"
	"sync"
	"time"
)

// grace is the time of a planned stop: a wait for the load balancer, after which no connections are
// accepted, and a bound on the whole. Both may change while it passes.
type grace struct {
	began   time.Time
	mu      sync.Mutex
	wait    time.Duration
	bound   time.Duration // 0 for none
	changed chan struct{} // closed at the next change
}

func newGrace(began time.Time, wait, bound time.Duration) *grace {
	return &grace{began: began, wait: wait, bound: bound, changed: make(chan struct{})}
}

// set changes the times, which count from the beginning.
func (g *grace) set(wait, bound time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.wait, g.bound = wait, bound
	close(g.changed)
	g.changed = make(chan struct{})
}

// end returns when requests that have no answer yet are ended, or the zero time for never.
func (g *grace) end() time.Time {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.bound == 0 {
		return time.Time{}
	}
	return g.began.Add(g.bound - shutdownMargin)
}

func (g *grace) waitEnd() time.Time {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.began.Add(g.wait)
}

// waitForBalancer returns after the wait, or at the end of the context.
func (g *grace) waitForBalancer(ctx context.Context) { g.sleepUntil(ctx, g.waitEnd) }

// context returns a context that ends with the grace. It must be released by stop.
func (g *grace) context(parent context.Context) (ctx context.Context, stop context.CancelFunc) {
	ctx, stop = context.WithCancel(parent)
	go func() {
		g.sleepUntil(ctx, g.end)
		stop()
	}()
	return ctx, stop
}

// sleepUntil returns at a time, which may change, or at the end of the context. The zero time is never.
func (g *grace) sleepUntil(ctx context.Context, at func() time.Time) {
	for ctx.Err() == nil {
		g.mu.Lock()
		changed := g.changed
		g.mu.Unlock()
		var passed <-chan time.Time
		if t := at(); !t.IsZero() {
			if time.Until(t) <= 0 {
				return
			}
			passed = time.After(time.Until(t))
		}
		select {
		case <-passed:
		case <-changed:
		case <-ctx.Done():
		}
	}
}
