package process

import (
	"sync"
	"time"
)

// emptyBacklogWait is how long Accept must wait for a connection for the kernel's queue to count
// as empty: longer than it takes without waiting on a slow CPU.
const emptyBacklogWait = time.Millisecond

// acceptBacklog follows whether connections wait in the kernel's queue of the listener. Its zero
// value is ready to use. It is safe for concurrent use.
//
// Load pattern: a start of all routers under load. Requests lay a second in the queue of a router
// with 0.144 cores, which the age of the data of accepted connections does not show everywhere;
// they were sent on when their callers were about to give up.
type acceptBacklog struct {
	mu      sync.Mutex
	waiting time.Time // when Accept was called, zero while it is not running
	emptyAt time.Time // when the queue was last seen empty
}

// beforeAccept and afterAccept enclose a call of Accept.
func (b *acceptBacklog) beforeAccept(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.waiting = now
}

func (b *acceptBacklog) afterAccept(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.emptyAt.IsZero() || now.Sub(b.waiting) >= emptyBacklogWait {
		b.emptyAt = now
	}
	b.waiting = time.Time{}
}

// age returns how long connections may have waited in the queue: the time since it was last seen
// empty, 0 while it is.
func (b *acceptBacklog) age(now time.Time) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.emptyAt.IsZero() || !b.waiting.IsZero() && now.Sub(b.waiting) >= emptyBacklogWait {
		return 0
	}
	return max(0, now.Sub(b.emptyAt))
}
