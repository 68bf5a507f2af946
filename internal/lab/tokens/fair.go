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
	fairWindowSeconds = 6 // seconds
	fairSlackRequests = 3 // of the largest requests
	minFairRatio      = 0.5
	maxFairSeconds    = 64 // a run's longest time that is judged
)

// second is what one organisation asked for, began and missed in a second, in tokens as
// shares are counted.
type second struct {
	requested, started float64
	waited             bool
}

// fairness follows all organisations second by second.
type fairness struct {
	orgs           [16][maxFairSeconds]second
	largestRequest float64
}

func (w *world) second(org int, at time.Time) *second {
	i := int(at.Sub(startTime.Add(warmUpDuration)) / time.Second)
	return &w.fair.orgs[org][min(max(i, 0), maxFairSeconds-1)]
}

func (w *world) countRequested(c *call) {
	cost := dispatch.Cost(c.req.Input, c.req.Output)
	w.fair.largestRequest = max(w.fair.largestRequest, cost)
	w.second(c.org, w.now).requested += cost
}

func (w *world) countStarted(c *call, at time.Time) {
	s := w.second(c.org, at)
	s.started += dispatch.Cost(c.req.Input, c.req.Output)
	if at.Sub(c.arrivedAt) > c.class.target {
		s.waited = true
	}
}

// least returns the least of what an organisation that waited all through a window began,
// over what it is to begin at least: from 1 on the run was fair.
func (f *fairness) worst(seconds int) float64 {
	worst := math.Inf(1)
	for from := 0; from+fairWindowSeconds <= min(seconds, maxFairSeconds); from++ {
		best := f.best(from)
		for org := range f.orgs {
			if org != best {
				worst = min(worst, f.ratio(org, best, from))
			}
		}
	}
	return worst
}

// best returns the organisation that began most in a window.
func (f *fairness) best(from int) int {
	best, most := 0, -1.0
	for org := range f.orgs {
		if sum := f.started(org, from); sum > most {
			best, most = org, sum
		}
	}
	return best
}

func (f *fairness) started(org, from int) float64 {
	sum := 0.0
	for _, s := range f.orgs[org][from : from+fairWindowSeconds] {
		sum += s.started
	}
	return sum
}

// minRatio returns the least of what an organisation began over what another one did, in
// any window between two seconds.
func (f *fairness) minRatio(org, other, from, to int) float64 {
	least := math.Inf(1)
	for ; from+fairWindowSeconds <= to; from++ {
		least = min(least, f.started(org, from)/max(1, f.started(other, from)))
	}
	return least
}

func (f *fairness) ratio(org, best, from int) float64 {
	due := 0.0
	for i, s := range f.orgs[org][from : from+fairWindowSeconds] {
		if !s.waited {
			return math.Inf(1)
		}
		due += minFairRatio * min(s.requested, f.orgs[best][from+i].started)
	}
	return (f.started(org, from) + fairSlackRequests*f.largestRequest) / max(due, 1)
}
