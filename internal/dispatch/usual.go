package dispatch

import "math"

// usualTime is the time of a plain service's answers, in milliseconds, against which an
// upstream's slowness is counted. It is learned: against a fixed time of 60 ms, an
// upstream that took three times its usual 15 ms seemed as fast as all others.
type usualTime float64

const (
	firstUsual  usualTime = 60.0
	leastUsual  usualTime = 0.1
	usualWeight           = 0.05 // of one answer
	// mostStep is the ratio of an answer to the usual time beyond which it counts no
	// more: answers that hang say nothing of the usual.
	mostStep = 3.0
)

// learn takes one answer's time and returns the usual time after it.
func (u *usualTime) learn(gotMS float64) float64 {
	ratio := min(max(gotMS/float64(*u), 1/mostStep), mostStep)
	*u = max(*u*usualTime(math.Pow(ratio, usualWeight)), leastUsual)
	return float64(*u)
}
