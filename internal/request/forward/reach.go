package forward

import (
	"context"
	"sync"
	"time"

	"github.com/silverswitch/silverswitch/internal/conn"
)

const (
	// reachTimeout is the time in which a reachable upstream accepts a connection. A pausing process
	// does, since its system accepts for it; a host that is dark or cut off does not.
	reachTimeout = 150 * time.Millisecond
	// reachAge is for how long the outcome of a check is used.
	reachAge = 300 * time.Millisecond
	// maxReachChecks is the number of outcomes that are kept before old ones are dropped.
	maxReachChecks = 256
)

// reach checks whether upstreams accept connections, each address once at a time.
type reach struct {
	exchanges *conn.Exchanges
	mu        sync.Mutex
	checks    map[string]*reachCheck
}

type reachCheck struct {
	began   time.Time
	done    chan struct{}
	accepts bool // once done is closed
}

func newReach(x *conn.Exchanges) *reach {
	return &reach{exchanges: x, checks: map[string]*reachCheck{}}
}

// accepts reports whether an address accepts a connection now.
func (r *reach) accepts(addr string) bool {
	now := time.Now()
	r.mu.Lock()
	c := r.checks[addr]
	if c == nil || now.Sub(c.began) > reachAge {
		if len(r.checks) >= maxReachChecks {
			clear(r.checks)
		}
		c = &reachCheck{began: now, done: make(chan struct{})}
		r.checks[addr] = c
		go func() {
			ctx, stop := context.WithTimeout(context.Background(), reachTimeout)
			defer stop()
			c.accepts = r.exchanges.Open(ctx, addr) == nil
			close(c.done)
		}()
	}
	r.mu.Unlock()
	<-c.done
	return c.accepts
}
