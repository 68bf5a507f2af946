package forward

import (
	"math/rand/v2"
	"sort"
	"sync"
	"time"
)

const (
	// shedRetryDelay is when a caller may try again that was refused for want of
	// processor: its next attempt enters by another router.
	shedRetryDelay = 100 * time.Millisecond
	// shedWindow is the time over which organisations' arrivals are compared.
	shedWindow = 500 * time.Millisecond
)

// door decides who is refused when this router is short of processor: first what
// organisations send beyond what their shares cover, then, if that is not enough, what is
// taken from whoever sends most here by max-min fairness, so that one organisation's
// flood refuses nobody else. It may be used by any goroutine.
type loadShedder struct {
	mu          sync.Mutex
	windowStart time.Time // of the present span
	now         arrivals
	previous    arrivals // the span before: what the level rests on
	fraction    float64  // that the level was cut for
	level       float64  // arrivals of one organisation that are let in, of last
}

// arrivals are counted over a span.
type arrivals struct {
	byOrg       map[string]int // by organisation, of those that shares cover
	covered     int            // their sum
	beyondShare int            // refused since shares do not cover them
}

func newLoadShedder() *loadShedder { return &loadShedder{now: newArrivals(), previous: newArrivals()} }

func newArrivals() arrivals { return arrivals{byOrg: map[string]int{}} }

// refuses counts an arrival, and decides whether it is among the part of all that
// must go. covered is the part of its organisation's arrivals that its share covers.
func (d *loadShedder) refuses(org string, fraction, covered float64, now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.rotate(now)
	if covered < 1 && rand.Float64() >= covered {
		d.now.beyondShare++
		return true
	}
	d.now.byOrg[org]++
	d.now.covered++
	if fraction == 0 {
		return false
	}
	if d.previous.covered == 0 {
		return rand.Float64() < fraction
	}
	if fraction != d.fraction {
		d.fraction, d.level = fraction, d.maxMinLevel(fraction)
	}
	sent := float64(d.previous.byOrg[org])
	return sent > d.level && rand.Float64() > d.level/sent
}

// turn begins a new span when the present one is over.
func (d *loadShedder) rotate(now time.Time) {
	switch age := now.Sub(d.windowStart); {
	case age >= 2*shedWindow:
		d.previous, d.now = newArrivals(), newArrivals()
	case age >= shedWindow:
		d.previous, d.now = d.now, newArrivals()
	default:
		return
	}
	d.windowStart, d.fraction = now, 0
}

// cut finds the level at which the arrivals of the last span, each organisation's
// counted up to it, make up what is to be let in.
func (d *loadShedder) maxMinLevel(fraction float64) float64 {
	counts := make([]int, 0, len(d.previous.byOrg))
	for _, n := range d.previous.byOrg {
		counts = append(counts, n)
	}
	sort.Ints(counts)
	left := (1 - fraction) * float64(d.previous.covered+d.previous.beyondShare)
	for i, n := range counts {
		even := left / float64(len(counts)-i)
		if float64(n) > even {
			return even
		}
		left -= float64(n)
	}
	return float64(counts[len(counts)-1])
}
