package dispatch

import "time"

// ejection keeps requests away from an upstream after consecutive failures (outlier
// ejection), each time for longer, until it succeeds again.
type ejection struct {
	until    time.Time
	duration time.Duration
	failures int
}

// An upstream is ejected after consecutive failures. A single failure proves little: a
// healthy upstream may lose one in forty of its answers.
const (
	ejectAfterFailures  = 2
	minEjectionDuration = 300 * time.Millisecond
	maxEjectionDuration = 3 * time.Second
)

func (r *ejection) recordFailure(now time.Time) {
	r.failures++
	if r.failures < ejectAfterFailures || now.Before(r.until) {
		return
	}
	r.duration = min(max(minEjectionDuration, 2*r.duration), maxEjectionDuration)
	r.until = now.Add(r.duration)
}

func (r *ejection) recordSuccess(now time.Time) {
	if now.Before(r.until) {
		return // answers to requests sent before the ejection
	}
	r.failures, r.duration = 0, 0
}

func (r *ejection) active(now time.Time) bool { return now.Before(r.until) }
