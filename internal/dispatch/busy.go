package dispatch

import (
	"time"

	"gonum.org/v1/gonum/floats"
)

const (
	// busyStep and busySteps give the window over which the engines' use is averaged: a second.
	busyStep  = 100 * time.Millisecond
	busySteps = 10
	// busySampleInterval is the time between two samples of the engines.
	busySampleInterval = busyStep / 2
	// idleSteps is the number of steps that tell whether engines are idle now.
	idleSteps = 3
	// maxUnseenRatio bounds the time that placed reading takes up, as a ratio of the time in which
	// engines were seen to have something to read: what a scheduler learns late.
	maxUnseenRatio = 2.0
)

// busyMeter measures the fraction of the engines' time that recently placed reading takes
// up, and the fraction of the engines that have something to read.
//
// Load pattern: engines crash under a flood, and a router short of CPU sends little of what it was
// granted. By what was placed alone, engines were taken for five times as busy as they can be,
// while most of them had nothing to read.
type busyMeter struct {
	ring      ring
	ms        [busySteps]float64
	reading   [busySteps]float64 // sums of samples
	samples   [busySteps]int
	sampledAt time.Time
}

func newBusyMeter() busyMeter {
	return busyMeter{ring: ring{interval: busyStep, size: busySteps}}
}

func (b *busyMeter) advance(now time.Time) int {
	return b.ring.advance(now, func(i int) { b.ms[i], b.reading[i], b.samples[i] = 0, 0, 0 })
}

// add counts the reading time of one prompt, in milliseconds.
func (b *busyMeter) add(ms float64, now time.Time) { b.ms[b.advance(now)] += ms }

// sample counts how many of the given number of engines have something to read.
func (b *busyMeter) sample(reading, engines int, now time.Time) {
	i := b.advance(now)
	b.reading[i] += float64(reading) / float64(max(1, engines))
	b.samples[i]++
	b.sampledAt = now
}

// readingRatio returns the mean of the samples of the latest steps, 0 without any.
func (b *busyMeter) readingRatio(steps int64, now time.Time) float64 {
	b.advance(now)
	reading, samples := 0.0, 0
	for age := range steps {
		i := b.ring.slot(age)
		reading, samples = reading+b.reading[i], samples+b.samples[i]
	}
	return reading / float64(max(1, samples))
}

// ratio returns the fraction of the time of the given number of engines that is taken up.
func (b *busyMeter) ratio(engines int, now time.Time) float64 {
	b.advance(now)
	window := float64((busySteps * busyStep).Milliseconds())
	placed := floats.Sum(b.ms[:]) / window / float64(max(1, engines))
	return min(placed, maxUnseenRatio*b.readingRatio(busySteps, now))
}

// sampleBusy takes a sample of the engines, unless the last one is recent.
func (p *pool) sampleBusy(now time.Time) {
	if p.engine == nil || now.Sub(p.busy.sampledAt) < busySampleInterval {
		return
	}
	reading, m := 0, p.learner.Model()
	for _, u := range p.inUse() {
		if !u.closed() && u.backlog(m, now) > 0 {
			reading++
		}
	}
	p.busy.sample(reading, p.open(now), now)
}

// idleness returns how idle the engines were lately, from 0 up to minIdleRatio of them without anything
// to read, to 1 from fullIdleRatio on.
func (p *pool) idleness(now time.Time) float64 {
	idle := 1 - p.busy.readingRatio(idleSteps, now)
	return min(1, max(0, (idle-minIdleRatio)/(fullIdleRatio-minIdleRatio)))
}
