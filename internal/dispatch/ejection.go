package dispatch

import "time"

// rest keeps work away from an upstream after failures, longer each time, and
// lets it in again gently.
type ejection struct {
	until    time.Time
	duration time.Duration
	failures int
}

// Failures in a row after which an upstream rests, and for how long. One failure
// proves little: an upstream may lose a fortieth of its answers and be sound.
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
		return // answers of requests sent before it rested
	}
	r.failures, r.duration = 0, 0
}

func (r *ejection) active(now time.Time) bool { return now.Before(r.until) }
