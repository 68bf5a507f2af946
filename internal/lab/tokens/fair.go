package tokens

import (
	"math"
	"time"

	"github.com/silverswitch/silverswitch/internal/dispatch"
)

// The users' rule for how far an organisation may fall behind the best served one: if, in
// each of six seconds, requests of an organisation are refused or miss their target, it must
// start at least half of what it requested or of what the best served one started, whichever
// is less in each second, minus three of the largest requests.

const (
	fairWindowSeconds = 6
	fairSlackRequests = 3 // largest requests
	minFairRatio      = 0.5
	maxFairSeconds    = 64 // longest run that is measured
)

// second holds what an organisation requested and started in a second, in tokens as shares
// count them, and whether a request was refused or missed its target.
type second struct {
	requested, started float64
	waited             bool
}

// fairness records all organisations second by second.
type fairness struct {
	orgs           [16][maxFairSeconds]second
	largestRequest float64
}

// second returns the record of an organisation at a time.
func (w *world) second(org int, at time.Time) *second {
	i := int(at.Sub(startTime.Add(warmUpDuration)) / time.Second)
	return &w.fair.orgs[org][min(max(i, 0), maxFairSeconds-1)]
}

// countRequested records a submitted call.
func (w *world) countRequested(c *call) {
	cost := dispatch.Cost(c.req.Input, c.req.Output)
	w.fair.largestRequest = max(w.fair.largestRequest, cost)
	w.second(c.org, w.now).requested += cost
}

// countStarted records the first event of a call.
func (w *world) countStarted(c *call, at time.Time) {
	s := w.second(c.org, at)
	s.started += dispatch.Cost(c.req.Input, c.req.Output)
	if at.Sub(c.arrivedAt) > c.class.target {
		s.waited = true
	}
}

// worst returns the smallest ratio, over all windows, of what an organisation that waited in
// each second started to what it must start. The run was fair if it is at least 1.
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

// margin returns the smallest ratio, over all windows, of what an organisation that waited in
// each second started to the lesser of what it requested and what the best served one started,
// without slack. Organisations that requested less than the slack do not count.
func (f *fairness) margin(seconds int) float64 {
	lowest := math.Inf(1)
	for from := 0; from+fairWindowSeconds <= min(seconds, maxFairSeconds); from++ {
		best := f.best(from)
		for org := range f.orgs {
			if due := f.due(org, best, from); org != best && due > fairSlackRequests*f.largestRequest {
				lowest = min(lowest, f.started(org, from)/due)
			}
		}
	}
	return lowest
}

// due returns the lesser of what an organisation requested and what the best served one started
// in a window, second by second, or 0 if the organisation did not wait in each second.
func (f *fairness) due(org, best, from int) float64 {
	due := 0.0
	for i, s := range f.orgs[org][from : from+fairWindowSeconds] {
		if !s.waited {
			return 0
		}
		due += min(s.requested, f.orgs[best][from+i].started)
	}
	return due
}

// best returns the organisation that started most in a window.
func (f *fairness) best(from int) int {
	best, highest := 0, -1.0
	for org := range f.orgs {
		if sum := f.started(org, from); sum > highest {
			best, highest = org, sum
		}
	}
	return best
}

// started returns what an organisation started in a window.
func (f *fairness) started(org, from int) float64 {
	sum := 0.0
	for _, s := range f.orgs[org][from : from+fairWindowSeconds] {
		sum += s.started
	}
	return sum
}

// minRatio returns the smallest ratio, over all windows between two seconds, of what an
// organisation started to what another one started.
func (f *fairness) minRatio(org, other, from, to int) float64 {
	lowest := math.Inf(1)
	for ; from+fairWindowSeconds <= to; from++ {
		lowest = min(lowest, f.started(org, from)/max(1, f.started(other, from)))
	}
	return lowest
}

// ratio returns the ratio of what an organisation started in a window, with the slack, to
// what it must start; it is infinite if the organisation did not wait in each second.
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
