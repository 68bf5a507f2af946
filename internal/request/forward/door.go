package forward

import (
	"math/rand/v2"
	"sort"
	"sync"
	"time"
)

const (
	// comeBackElsewhere is when a caller may try again that was refused for want of
	// processor: its next attempt enters by another router.
	comeBackElsewhere = 100 * time.Millisecond
	// doorSpan is the time over which organisations' arrivals are compared.
	doorSpan = 500 * time.Millisecond
)

// door decides who is refused when this router is short of processor: first what
// organisations send beyond what their shares cover, then, if that is not enough, what is
// taken from whoever sends most here by max-min fairness, so that one organisation's
// flood refuses nobody else. It may be used by any goroutine.
type door struct {
	mu    sync.Mutex
	begun time.Time // of the present span
	now   arrivals
	last  arrivals // the span before: what the level rests on
	part  float64  // that the level was cut for
	level float64  // arrivals of one organisation that are let in, of last
}

// arrivals are counted over a span.
type arrivals struct {
	of      map[string]int // by organisation, of those that shares cover
	covered int            // their sum
	beyond  int            // refused since shares do not cover them
}

func newDoor() *door { return &door{now: newArrivals(), last: newArrivals()} }

func newArrivals() arrivals { return arrivals{of: map[string]int{}} }

// refuses counts an arrival, and decides whether it is among the part of all that
// must go. covered is the part of its organisation's arrivals that its share covers.
func (d *door) refuses(org string, part, covered float64, now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.turn(now)
	if covered < 1 && rand.Float64() >= covered {
		d.now.beyond++
		return true
	}
	d.now.of[org]++
	d.now.covered++
	if part == 0 {
		return false
	}
	if d.last.covered == 0 {
		return rand.Float64() < part
	}
	if part != d.part {
		d.part, d.level = part, d.cut(part)
	}
	sent := float64(d.last.of[org])
	return sent > d.level && rand.Float64() > d.level/sent
}

// turn begins a new span when the present one is over.
func (d *door) turn(now time.Time) {
	switch age := now.Sub(d.begun); {
	case age >= 2*doorSpan:
		d.last, d.now = newArrivals(), newArrivals()
	case age >= doorSpan:
		d.last, d.now = d.now, newArrivals()
	default:
		return
	}
	d.begun, d.part = now, 0
}

// cut finds the level at which the arrivals of the last span, each organisation's
// counted up to it, make up what is to be let in.
func (d *door) cut(part float64) float64 {
	counts := make([]int, 0, len(d.last.of))
	for _, n := range d.last.of {
		counts = append(counts, n)
	}
	sort.Ints(counts)
	left := (1 - part) * float64(d.last.covered+d.last.beyond)
	for i, n := range counts {
		even := left / float64(len(counts)-i)
		if float64(n) > even {
			return even
		}
		left -= float64(n)
	}
	return float64(counts[len(counts)-1])
}
