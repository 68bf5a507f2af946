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

// door decides who is refused when this router is short of processor. The part
// that must go is taken from whoever sends most here, by max-min fairness, so
// that one organisation's flood refuses nobody else. It may be used by any
// goroutine.
type door struct {
	mu    sync.Mutex
	begun time.Time // of the present span
	now   map[string]int
	last  map[string]int // the span before: what the level rests on
	total int            // of last
	part  float64        // that the level was cut for
	level float64        // arrivals of one organisation that are let in, of last
}

func newDoor() *door { return &door{now: map[string]int{}, last: map[string]int{}} }

// refuses counts an arrival, and decides whether it is among the part of all that
// must go.
func (d *door) refuses(org string, part float64, now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.count(org, now)
	if part == 0 {
		return false
	}
	if d.total == 0 {
		return rand.Float64() < part
	}
	if part != d.part {
		d.part, d.level = part, d.cut(part)
	}
	sent := float64(d.last[org])
	return sent > d.level && rand.Float64() > d.level/sent
}

func (d *door) count(org string, now time.Time) {
	switch age := now.Sub(d.begun); {
	case age >= 2*doorSpan:
		d.last, d.now, d.total = map[string]int{}, map[string]int{}, 0
		d.begun, d.part = now, 0
	case age >= doorSpan:
		d.last, d.now, d.total = d.now, map[string]int{}, 0
		for _, n := range d.last {
			d.total += n
		}
		d.begun, d.part = now, 0
	}
	d.now[org]++
}

// cut finds the level at which the arrivals of the last span, each organisation's
// counted up to it, make up what is to be let in.
func (d *door) cut(part float64) float64 {
	counts := make([]int, 0, len(d.last))
	for _, n := range d.last {
		counts = append(counts, n)
	}
	sort.Ints(counts)
	left := (1 - part) * float64(d.total)
	for i, n := range counts {
		even := left / float64(len(counts)-i)
		if float64(n) > even {
			return even
		}
		left -= float64(n)
	}
	return float64(counts[len(counts)-1])
}
