package forward

import (
	"math"
	"sync"
	"time"
)

// Left returns the time until the end of the grace, and false if there is none.
func (s *Stop) Left(now time.Time) (time.Duration, bool) {
	if s.over.Err() != nil {
		return 0, true
	}
	end := s.end.Load()
	if end == nil {
		return 0, false
	}
	return end.Sub(now), true
}

// endsTooLate reports whether the request, sent now, is not expected to be answered within the grace. A
// router that does not know how long such requests take expects the worst, unless no other router could
// take them.
func (req *callerRequest) endsTooLate() bool {
	now := req.s.clock.Now()
	for _, s := range req.stops() {
		left, stopping := s.Left(now)
		if !stopping {
			continue
		}
		need, known := req.s.durations.expected(req.route.Name)
		if !known && left > 0 && req.s.Alone != nil && req.s.Alone() {
			continue
		}
		if rest := req.deadline.Sub(now); !known || need > rest {
			need = rest
		}
		if need > left {
			return true
		}
	}
	return false
}

// refuseTooLate returns the refusal of a request that would not be answered within the grace, or nil.
func (req *callerRequest) refuseTooLate() *failure {
	if !req.endsTooLate() {
		return nil
	}
	req.s.count.stopRefused.Inc(1)
	f := notRun("router-stopping", stopRetryDelay)
	return &f
}

// refusePlacement ends a request whose placement comes too late for an answer within the grace. A stream
// that has begun goes on for as long as it can.
func (r *run) refusePlacement() bool {
	if r.headersSent {
		return false
	}
	f := r.refuseTooLate()
	if f == nil {
		return false
	}
	r.s.ctrl.End(r.ticket, endNote(false))
	r.endUnanswered(unanswered{reason: f.reason, notRun: f})
	return true
}

// learnDuration learns from a whole answer to a request that was sent once, from its beginning.
func (r *run) learnDuration() {
	r.mu.Lock()
	at, once := r.going, r.attempts == 1
	r.mu.Unlock()
	if at != nil && once && !r.resumed {
		r.s.durations.add(r.route.Name, time.Since(at.began))
	}
}

const (
	// durationQuantile is the part of a route's requests that take no longer than expected.
	durationQuantile = 0.95
	// minDurations is the number of answers that are enough to go by. With fewer, requests are expected to
	// take longer in proportion.
	minDurations = 4
	// durationMemory is the number of answers after which the weight of earlier ones halves.
	durationMemory  = 256
	durationBuckets = 152
	durationGrowth  = 1.1 // of each bucket's bound over the one before, from 1 ms on
	maxTimedRoutes  = 4096
)

// durations is how long upstreams took for the latest requests of each route.
type durations struct {
	mu      sync.Mutex
	byRoute map[string]*durationHistogram
}

type durationHistogram struct {
	weights [durationBuckets]float32
	total   float32
}

func newDurations() *durations { return &durations{byRoute: map[string]*durationHistogram{}} }

func (d *durations) add(route string, took time.Duration) {
	i := int(math.Ceil(math.Log(max(1, took.Seconds()*1000)) / math.Log(durationGrowth)))
	d.mu.Lock()
	defer d.mu.Unlock()
	h := d.byRoute[route]
	if h == nil {
		if len(d.byRoute) >= maxTimedRoutes {
			clear(d.byRoute)
		}
		h = &durationHistogram{}
		d.byRoute[route] = h
	}
	if h.total >= 2*durationMemory {
		for i := range h.weights {
			h.weights[i] /= 2
		}
		h.total /= 2
	}
	h.weights[min(i, durationBuckets-1)]++
	h.total++
}

// expected returns the time within which requests of a route are usually answered, and false if none
// was.
func (d *durations) expected(route string) (time.Duration, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	h := d.byRoute[route]
	if h == nil {
		return 0, false
	}
	last := 0
	for sum := float32(0); last < durationBuckets-1; last++ {
		if sum += h.weights[last]; sum >= durationQuantile*h.total {
			break
		}
	}
	few := max(1, minDurations/float64(h.total))
	return time.Duration(few * math.Pow(durationGrowth, float64(last)) * float64(time.Millisecond)), true
}
