package dispatch

import "math"

// baselineLatency is the time of a plain service's answers, in milliseconds, against which an
// upstream's slowness is counted. It is learned: against a fixed time of 60 ms, an
// upstream that took three times its usual 15 ms seemed as fast as all others.
type baselineLatency float64

const (
	initialBaselineMS baselineLatency = 60.0
	minBaselineMS     baselineLatency = 0.1
	baselineWeight                    = 0.05 // of one answer
	// maxSampleRatio is the ratio of an answer to the usual time beyond which it counts no
	// more: answers that hang say nothing of the usual.
	maxSampleRatio = 3.0
)

// learn takes one answer's time and returns the usual time after it.
func (u *baselineLatency) learn(gotMS float64) float64 {
	ratio := min(max(gotMS/float64(*u), 1/maxSampleRatio), maxSampleRatio)
	*u = max(*u*baselineLatency(math.Pow(ratio, baselineWeight)), minBaselineMS)
	return float64(*u)
}
