package dispatch

import (
	"time"

	"gonum.org/v1/gonum/floats"
)

// Steps of the window in which placed reading time is counted.
const (
	busyStep  = 100 * time.Millisecond
	busySteps = 10
)

// busyMeter measures the fraction of the engines' time that recently placed reading takes
// up.
type busyMeter struct {
	ring ring
	ms   [busySteps]float64
}

func newBusyMeter() busyMeter {
	return busyMeter{ring: ring{interval: busyStep, size: busySteps}}
}

func (b *busyMeter) advance(now time.Time) int {
	return b.ring.advance(now, func(i int) { b.ms[i] = 0 })
}

// add counts the reading time of one prompt, in milliseconds.
func (b *busyMeter) add(ms float64, now time.Time) { b.ms[b.advance(now)] += ms }

// ratio returns the fraction of the time of the given number of engines that is taken up.
func (b *busyMeter) ratio(engines int, now time.Time) float64 {
	b.advance(now)
	window := float64((busySteps * busyStep).Milliseconds())
	return floats.Sum(b.ms[:]) / window / float64(max(1, engines))
}
