package forward

import (
	"math/rand/v2"
	"sort"
	"sync"
	"time"
)

// Load that a router refuses at its door, so that what it takes is served in
// time: another attempt enters by another router. A request wakes some twenty
// goroutines until its first byte is passed on, so each millisecond of lag makes
// it later by that many. Source: docs/BENCH.md.
const (
	lagFrom           = 4 * time.Millisecond // nothing is refused up to this
	lagFull           = 20 * time.Millisecond
	shedMost          = 0.9 // part refused from lagFull on
	comeBackElsewhere = 100 * time.Millisecond
	doorSpan          = 500 * time.Millisecond
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

// refuses counts an arrival, and decides whether it is refused.
func (d *door) refuses(org string, lag time.Duration, now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.count(org, now)
	part := shedPart(lag)
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

// shedPart is the part of all arrivals to refuse at a lag.
func shedPart(lag time.Duration) float64 {
	if lag <= lagFrom {
		return 0
	}
	return min(shedMost, float64(lag-lagFrom)/float64(lagFull-lagFrom))
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
