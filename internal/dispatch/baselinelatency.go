package dispatch

import "math"

// baselineLatency is the usual time of a plain service's answers, in milliseconds, relative
// to which an upstream's slowness is measured. It is learned: relative to a fixed time of
// 60 ms, an upstream that took three times its usual 15 ms seemed as fast as all others.
type baselineLatency float64

const (
	initialBaselineMS baselineLatency = 60.0
	minBaselineMS     baselineLatency = 0.1
	baselineWeight                    = 0.05 // of one answer
	// maxSampleRatio limits the ratio of an answer's time to the baseline: answers that
	// hang say nothing about the usual time.
	maxSampleRatio = 3.0
)

// learn adds the time of one answer and returns the new baseline, in milliseconds.
func (u *baselineLatency) learn(gotMS float64) float64 {
	ratio := min(max(gotMS/float64(*u), 1/maxSampleRatio), maxSampleRatio)
	*u = max(*u*baselineLatency(math.Pow(ratio, baselineWeight)), minBaselineMS)
	return float64(*u)
}
