package process

import (
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/silverswitch/silverswitch/internal/memory"
	"github.com/silverswitch/silverswitch/internal/routing"
)

// limitOverlap is how long the limits of a replaced table stay in force where they are more
// generous: callers may not know the new ones yet. With the time until a router has the table it is
// well within the 2 s in which routers must apply it.
const limitOverlap = time.Second

// initialLimits apply until the first table is known. A header within the table's limit must not
// be refused for good by a router that does not know the table, so it may be as long as the
// library takes by default.
var initialLimits = routing.Limits{HeaderBytes: http.DefaultMaxHeaderBytes, HeaderTimeout: 3 * time.Second, IdleConnTimeout: 15 * time.Second}

// limitsInForce are the limits on what callers may send and how long they may take: those of the
// table in force, and for limitOverlap those of the tables that it has replaced where they are more
// generous. All connections and requests read them here, when they apply them. It is safe for
// concurrent use.
type limitsInForce struct {
	mu       sync.Mutex
	table    *routing.Limits // of the table in force, nil before the first
	replaced []replacedLimits
	current  routing.Limits
	changed  []func() // called without the lock after each change

	memory         atomic.Pointer[memory.Account] // of headers that are being read
	headersRefused atomic.Int64                   // for want of memory
}

// initialHeaderMemory bounds the memory of headers, in bytes, until the process has its account.
const initialHeaderMemory = 4 << 20

type replacedLimits struct {
	limits routing.Limits
	until  time.Time
}

func newLimitsInForce() *limitsInForce {
	f := &limitsInForce{current: initialLimits}
	f.memory.Store(memory.NewAccount(initialHeaderMemory))
	return f
}

// get returns the present limits.
func (f *limitsInForce) get() routing.Limits {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.current
}

// onChange makes f call a function after each change.
func (f *limitsInForce) onChange(call func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.changed = append(f.changed, call)
}

// set sets the limits of the table in force.
func (f *limitsInForce) set(l routing.Limits, now time.Time) {
	f.mu.Lock()
	if f.table != nil && *f.table != l {
		f.replaced = append(f.replaced, replacedLimits{*f.table, now.Add(limitOverlap)})
		time.AfterFunc(limitOverlap, func() { f.update(time.Now()) })
	}
	f.table = &l
	f.mu.Unlock()
	f.update(now)
}

// update applies the limits as of now.
func (f *limitsInForce) update(now time.Time) {
	f.mu.Lock()
	before := f.current
	f.current = *f.table
	kept := f.replaced[:0]
	for _, r := range f.replaced {
		if now.Before(r.until) {
			kept = append(kept, r)
			f.current = moreGenerous(f.current, r.limits)
		}
	}
	f.replaced = kept
	changed := f.changed
	if f.current == before {
		changed = nil
	}
	f.mu.Unlock()
	for _, call := range changed {
		call()
	}
}

// moreGenerous returns limits within which all is that is within a or b.
func moreGenerous(a, b routing.Limits) routing.Limits {
	a.HeaderBytes = max(a.HeaderBytes, b.HeaderBytes)
	a.BodyBytes = max(a.BodyBytes, b.BodyBytes)
	a.HeaderTimeout = max(a.HeaderTimeout, b.HeaderTimeout)
	a.IdleConnTimeout = max(a.IdleConnTimeout, b.IdleConnTimeout)
	return a
}
