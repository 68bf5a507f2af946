package tokens

import (
	"math"
	"time"

	"github.com/silverswitch/silverswitch/internal/dispatch"
)

// How far organisations that wait fall behind the best served one, as the users judge it:
// in six seconds an organisation that is refused, or waits past its target, in each of
// them begins at least half of what it asked or the best served one began, whichever is
// less second by second, less three of the largest requests.

const (
	fairWindow  = 6 // seconds
	fairSlack   = 3 // of the largest requests
	fairPart    = 0.5
	fairSeconds = 64 // a run's longest time that is judged
)

// second is what one organisation asked for, began and missed in a second, in tokens as
// shares are counted.
type second struct {
	asked, begun float64
	waited       bool
}

// fairness follows all organisations second by second.
type fairness struct {
	orgs    [16][fairSeconds]second
	largest float64
}

func (w *world) second(org int, at time.Time) *second {
	i := int(at.Sub(begin.Add(warmUp)) / time.Second)
	return &w.fair.orgs[org][min(max(i, 0), fairSeconds-1)]
}

func (w *world) countAsked(c *call) {
	cost := dispatch.Cost(c.req.Input, c.req.Output)
	w.fair.largest = max(w.fair.largest, cost)
	w.second(c.org, w.now).asked += cost
}

func (w *world) countBegun(c *call, at time.Time) {
	s := w.second(c.org, at)
	s.begun += dispatch.Cost(c.req.Input, c.req.Output)
	if at.Sub(c.arrived) > c.class.target {
		s.waited = true
	}
}

// least returns the least of what an organisation that waited all through a window began,
// over what it is to begin at least: from 1 on the run was fair.
func (f *fairness) least(seconds int) float64 {
	least := math.Inf(1)
	for from := 0; from+fairWindow <= min(seconds, fairSeconds); from++ {
		best := f.best(from)
		for org := range f.orgs {
			if org != best {
				least = min(least, f.ratio(org, best, from))
			}
		}
	}
	return least
}

// best returns the organisation that began most in a window.
func (f *fairness) best(from int) int {
	best, most := 0, -1.0
	for org := range f.orgs {
		if sum := f.begun(org, from); sum > most {
			best, most = org, sum
		}
	}
	return best
}

func (f *fairness) begun(org, from int) float64 {
	sum := 0.0
	for _, s := range f.orgs[org][from : from+fairWindow] {
		sum += s.begun
	}
	return sum
}

// leastPart returns the least of what an organisation began over what another one did, in
// any window between two seconds.
func (f *fairness) leastPart(org, other, from, to int) float64 {
	least := math.Inf(1)
	for ; from+fairWindow <= to; from++ {
		least = min(least, f.begun(org, from)/max(1, f.begun(other, from)))
	}
	return least
}

func (f *fairness) ratio(org, best, from int) float64 {
	due := 0.0
	for i, s := range f.orgs[org][from : from+fairWindow] {
		if !s.waited {
			return math.Inf(1)
		}
		due += fairPart * min(s.asked, f.orgs[best][from+i].begun)
	}
	return (f.begun(org, from) + fairSlack*f.largest) / max(due, 1)
}
