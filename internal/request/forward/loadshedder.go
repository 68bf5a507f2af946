package forward

import (
	"math/rand/v2"
	"sort"
	"sync"
	"time"
)

const (
	// shedRetryDelay is the Retry-After of a shed request. It is short, so that the next attempt
	// may still be served within the target; most arrive at the router that refused the first one.
	shedRetryDelay = 100 * time.Millisecond
	// shedWindow is the window in which the arrivals of organisations are counted.
	shedWindow = 500 * time.Millisecond
)

// loadShedder decides which requests are refused while this router is overloaded (short of
// CPU). First it refuses what organisations send beyond their shares. If that is not enough,
// it caps the organisations that send most to this router by max-min fairness, so that a
// flood from one organisation does not get others refused. It is safe for concurrent use.
type loadShedder struct {
	mu          sync.Mutex
	windowStart time.Time // of the current window
	now         arrivals  // in the current window
	previous    arrivals  // in the window before, from which level is computed
	fraction    float64   // for which level was computed
	level       float64   // cap on one organisation's arrivals in a window
}

// arrivals counts requests in a window.
type arrivals struct {
	byOrg       map[string]int // requests within the share, by organisation
	covered     int            // sum of byOrg
	beyondShare int            // requests refused because they exceed the share
}

func newLoadShedder() *loadShedder { return &loadShedder{now: newArrivals(), previous: newArrivals()} }

func newArrivals() arrivals { return arrivals{byOrg: map[string]int{}} }

// refuses counts an arriving request and reports whether to refuse it. fraction is the part
// of all arrivals to be refused. covered is the part of this organisation's arrivals that
// its share covers; the rest is refused even if fraction is 0.
func (s *loadShedder) refuses(org string, fraction, covered float64, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rotate(now)
	if covered < 1 && rand.Float64() >= covered {
		s.now.beyondShare++
		return true
	}
	s.now.byOrg[org]++
	s.now.covered++
	if fraction == 0 {
		return false
	}
	if s.previous.covered == 0 {
		return rand.Float64() < fraction
	}
	if fraction != s.fraction {
		s.fraction, s.level = fraction, s.maxMinLevel(fraction)
	}
	sent := float64(s.previous.byOrg[org])
	return sent > s.level && rand.Float64() > s.level/sent
}

// rotate starts a new window when the current one is over.
func (s *loadShedder) rotate(now time.Time) {
	switch age := now.Sub(s.windowStart); {
	case age >= 2*shedWindow:
		s.previous, s.now = newArrivals(), newArrivals()
	case age >= shedWindow:
		s.previous, s.now = s.now, newArrivals()
	default:
		return
	}
	s.windowStart, s.fraction = now, 0
}

// maxMinLevel returns the cap per organisation at which the previous window's arrivals add
// up to what is to be admitted when the fraction is refused.
func (s *loadShedder) maxMinLevel(fraction float64) float64 {
	counts := make([]int, 0, len(s.previous.byOrg))
	for _, n := range s.previous.byOrg {
		counts = append(counts, n)
	}
	sort.Ints(counts)
	left := (1 - fraction) * float64(s.previous.covered+s.previous.beyondShare)
	for i, n := range counts {
		even := left / float64(len(counts)-i)
		if float64(n) > even {
			return even
		}
		left -= float64(n)
	}
	return float64(counts[len(counts)-1])
}
