package dispatch

import "time"

// rest keeps work away from an upstream after failures, longer each time, and
// lets it in again gently.
type rest struct {
	until time.Time
	span  time.Duration
	fails int
}

// Failures in a row after which an upstream rests, and for how long. One failure
// proves little: an upstream may lose a fortieth of its answers and be sound.
const (
	restAfter = 2
	minRest   = 300 * time.Millisecond
	maxRest   = 3 * time.Second
)

func (r *rest) failed(now time.Time) {
	r.fails++
	if r.fails < restAfter || now.Before(r.until) {
		return
	}
	r.span = min(max(minRest, 2*r.span), maxRest)
	r.until = now.Add(r.span)
}

func (r *rest) worked(now time.Time) {
	if now.Before(r.until) {
		return // answers of requests sent before it rested
	}
	r.fails, r.span = 0, 0
}

func (r *rest) resting(now time.Time) bool { return now.Before(r.until) }
