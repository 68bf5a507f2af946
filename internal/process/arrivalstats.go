package process

import (
	"net"
	"slices"
	"sync"
	"time"

	"github.com/silverswitch/silverswitch/internal/conn"
)

const (
	// strictTargetRatio is the fraction of a period's requests that must have a target, or
	// a stricter one, for it to count: a few requests of a strict route must not make a
	// router shed those of all others.
	strictTargetRatio = 0.1
	// unreadSampleInterval is the time between two samples of how long a request lay unread.
	// A sample takes a system call, so 200 a second take under a thousandth of a core.
	unreadSampleInterval = 5 * time.Millisecond
)

// arrivalStats collects what the load shedding decision needs to know of the requests that
// arrive: their targets, and how long they lay unread. It may be used by any goroutine.
type arrivalStats struct {
	mu        sync.Mutex
	targets   map[time.Duration]int // requests of this period by target latency
	unread    []time.Duration       // samples of this period
	sampledAt time.Time
}

// addTarget counts a request that has arrived. A target of 0 or less is not counted.
func (a *arrivalStats) addTarget(target time.Duration) {
	if target <= 0 {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.targets == nil {
		a.targets = map[time.Duration]int{}
	}
	a.targets[target]++
}

// sample measures how long the request that was just read from a connection had lain there,
// unless another one was measured a moment ago.
func (a *arrivalStats) sample(c net.Conn, now time.Time) {
	a.mu.Lock()
	if now.Sub(a.sampledAt) < unreadSampleInterval {
		a.mu.Unlock()
		return
	}
	a.sampledAt = now
	a.mu.Unlock()
	age, known := conn.SinceLastData(c)
	if !known {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.unread = append(a.unread, age)
}

// take returns the strict target and the median time unread of this period, each 0 if
// nothing arrived, and begins the next period.
func (a *arrivalStats) take() (target, unread time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	target = strictTarget(a.targets)
	clear(a.targets)
	if n := len(a.unread); n > 0 {
		slices.Sort(a.unread)
		unread = a.unread[(n-1)/2] // of few samples the lower: after a stall the first one is the oldest
		a.unread = a.unread[:0]
	}
	return target, unread
}

// strictTarget returns the strictest target such that at least strictTargetRatio of the
// requests have it or a stricter one.
func strictTarget(counts map[time.Duration]int) time.Duration {
	all := 0
	targets := make([]time.Duration, 0, len(counts))
	for t, n := range counts {
		all += n
		targets = append(targets, t)
	}
	slices.Sort(targets)
	seen := 0
	for _, t := range targets {
		if seen += counts[t]; float64(seen) >= strictTargetRatio*float64(all) {
			return t
		}
	}
	return 0
}
