// Package slots contains the decisions about plain services with few slots that need no
// knowledge of the fleet: learned times, limits on the requests in flight at an upstream, the
// slot time that organisations have used, and the order of the requests that wait for a slot.
// All of it is pure: times are arguments.
package slots

import "math"

// Constants of a learned mean.
const (
	// priorMS is the assumed time before the first sample.
	priorMS = 60.0
	// minMeanWeight is the smallest weight of one sample, so that a mean follows a change of
	// the service within some 50 requests.
	minMeanWeight = 0.02
	// maxMeanRatio bounds the ratio of a sample to the mean: a request that hangs says little
	// about the usual time.
	maxMeanRatio = 8.0
	minMeanMS    = 0.1
)

// Mean is a learned mean time in milliseconds. The zero value has no samples.
type Mean struct {
	ms      float64
	samples int
}

// Observe adds a sample. Values that are negative or not a number are ignored.
func (m *Mean) Observe(ms float64) {
	if !(ms >= 0) || math.IsInf(ms, 0) {
		return
	}
	ms = max(ms, minMeanMS)
	m.samples++
	if m.samples == 1 {
		m.ms = ms
		return
	}
	ms = min(max(ms, m.ms/maxMeanRatio), m.ms*maxMeanRatio)
	m.ms += max(minMeanWeight, 1/float64(m.samples)) * (ms - m.ms)
}

// MS returns the mean, or a prior without samples.
func (m *Mean) MS() float64 {
	if m.samples == 0 {
		return priorMS
	}
	return m.ms
}

// Samples returns the number of samples.
func (m *Mean) Samples() int { return m.samples }
