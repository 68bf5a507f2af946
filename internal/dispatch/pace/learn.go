package pace

import (
	"math"
	"slices"
)

// Limits of learning.
const (
	// maxSamples is how many samples count: those of a few seconds at a busy service.
	maxSamples = 300
	// minSamples and minPrefillMS are the evidence below which the model is not used: streams,
	// and their time in which the engine prefilled.
	minSamples   = 40
	minPrefillMS = 3000.0
	fitInterval  = 25 // samples between two fits
	fitRounds    = 3
	// minEvents is the number of gaps from which on a stream is a sample. The prefill time
	// within shorter ones is known too inexactly.
	minEvents = 4
	// maxSampleMS bounds the weight of one stream, and maxGapMS the time per event that is
	// plausible; a longer one is a fault.
	maxSampleMS = 4000.0
	maxGapMS    = 5000.0
	// equalPriorMS is the weight, in milliseconds of observed time, of the prior that prefill
	// does not slow streams. Samples with about the same fraction of prefill do not tell P
	// from C; the prior keeps them from restricting anything.
	equalPriorMS = 1000.0
	// speedPriorMS is the weight of the prior that an engine is as fast as the others.
	speedPriorMS = 500.0
	// maxDelay bounds the part of its time by which prefill slows streams; delaySteps is the
	// number of values tried.
	maxDelay   = 0.96
	delaySteps = 48
	// outlierRatio is the residual, in medians, from which on a sample loses weight: engines
	// that stall for part of a second, callers that read slowly.
	outlierRatio = 3.0
)

// Sample is one observed stream.
type Sample struct {
	Events int     // after the first one
	MS     float64 // from the first event to the last
	Busy   float64 // fraction of that time in which the engine prefilled
	Engine uint32  // which engine it was
}

// usable reports whether a sample can be learned from.
func (s Sample) usable() bool {
	return s.Events >= minEvents && s.MS > 0 && s.MS <= maxGapMS*float64(s.Events) && s.Busy >= 0 && s.Busy <= 1
}

// Learner fits a Model to the latest samples. Its zero value knows nothing.
type Learner struct {
	model       Model
	inherited   Model // the prior of fits, if it is known
	samples     []Sample
	next        int
	sampleCount int
	sinceFit    int
}

// Model returns the current model, the zero value while there is too little evidence.
func (l *Learner) Model() Model { return l.model }

// SampleCount returns the number of samples, including those behind an inherited model.
func (l *Learner) SampleCount() int { return l.sampleCount }

// Inherit adopts the model of a peer that has seen more samples. It becomes the prior of later
// fits.
func (l *Learner) Inherit(m Model, sampleCount int) {
	if sampleCount <= l.sampleCount || !m.usable() {
		return
	}
	l.model, l.inherited, l.sampleCount = m, m, sampleCount
	l.samples, l.next, l.sinceFit = l.samples[:0], 0, 0
}

// Add adds a sample. It reports whether the sample is usable.
func (l *Learner) Add(s Sample) bool {
	if !s.usable() {
		return false
	}
	if len(l.samples) < maxSamples {
		l.samples = append(l.samples, s)
	} else {
		l.samples[l.next] = s
		l.next = (l.next + 1) % maxSamples
	}
	l.sampleCount++
	l.sinceFit++
	if l.sinceFit >= fitInterval {
		l.sinceFit = 0
		l.fit()
	}
	return true
}

// hasEvidence reports whether the samples suffice for a model.
func (l *Learner) hasEvidence() bool {
	prefillMS := 0.0
	for _, s := range l.samples {
		prefillMS += s.Busy * s.MS
	}
	return len(l.samples) >= minSamples && prefillMS >= minPrefillMS
}

// fit finds P, C and each engine's speed g by penalised least squares of the rate of events,
// n/D = g x (1 - k x f) with k = 1 - P/C, repeated with reduced weights for outliers. Each engine
// has a speed of its own: otherwise C would seem small where slow engines are given less to
// prefill than fast ones.
func (l *Learner) fit() {
	if !l.hasEvidence() {
		return
	}
	f := newFit(l.samples)
	if l.inherited.Known() {
		f.priorDelay, f.priorRate = l.inherited.delay(), 1/l.inherited.Plain
	}
	for range fitRounds {
		f.solve()
		f.reweigh()
	}
	if m := (Model{Plain: 1 / f.rate, Prefill: 1 / (f.rate * (1 - f.delay))}); m.usable() {
		l.model = m
	}
}

// fit holds the equations of one fit, and its result so far.
type fit struct {
	rows    []row
	engines []engineSums
	delay   float64 // k
	rate    float64 // events per millisecond of the average engine without prefill

	priorDelay, priorRate float64 // priorRate is 0 without an inherited model
}

// row is one equation. fitted is its weight reduced for outliers.
type row struct {
	engine         int
	busy, rate     float64
	weight, fitted float64
}

// engineSums are the sums from which an engine's speed is found.
type engineSums struct{ xx, xy, speed float64 }

func newFit(samples []Sample) *fit {
	f := &fit{rows: make([]row, len(samples))}
	index := map[uint32]int{}
	for i, s := range samples {
		no, known := index[s.Engine]
		if !known {
			no = len(index)
			index[s.Engine] = no
		}
		weight := min(s.MS, maxSampleMS)
		f.rows[i] = row{engine: no, busy: s.Busy, rate: float64(s.Events) / s.MS, weight: weight, fitted: weight}
	}
	f.engines = make([]engineSums, len(index))
	return f
}

// solve tries values of k, and takes the one with the lowest loss.
func (f *fit) solve() {
	best, bestLoss := 0.0, math.Inf(1)
	for i := range delaySteps + 1 {
		k := maxDelay * float64(i) / delaySteps
		if loss := f.lossAt(k); loss < bestLoss {
			best, bestLoss = k, loss
		}
	}
	f.delay = best
	f.lossAt(best)
}

// lossAt finds the speeds that fit best with a value of k, and returns the sum of the squared
// errors and of the deviations from the priors.
func (f *fit) lossAt(k float64) float64 {
	clear(f.engines)
	var xx, xy, yy float64
	for _, r := range f.rows {
		e, x := &f.engines[r.engine], 1-k*r.busy
		e.xx += r.fitted * x * x
		e.xy += r.fitted * x * r.rate
		yy += r.fitted * r.rate * r.rate
	}
	// Minimised over an engine's speed, its loss is one in the common rate alone.
	for _, e := range f.engines {
		shrink := speedPriorMS / (e.xx + speedPriorMS)
		xx += shrink * e.xx
		xy += shrink * e.xy
	}
	if f.priorRate > 0 {
		xx += equalPriorMS
		xy += equalPriorMS * f.priorRate
	}
	f.rate = xy / xx
	loss := yy + equalPriorMS*f.rate*f.rate*(k-f.priorDelay)*(k-f.priorDelay)
	if f.priorRate > 0 {
		loss += equalPriorMS * (f.rate - f.priorRate) * (f.rate - f.priorRate)
	}
	for i := range f.engines {
		e := &f.engines[i]
		e.speed = (e.xy + speedPriorMS*f.rate) / (e.xx + speedPriorMS)
		loss += e.speed*e.speed*e.xx - 2*e.speed*e.xy + speedPriorMS*(e.speed-f.rate)*(e.speed-f.rate)
	}
	return loss
}

// reweigh reduces the weights of rows far from the fit (Huber).
func (f *fit) reweigh() {
	off := make([]float64, len(f.rows))
	for i, r := range f.rows {
		off[i] = math.Abs(r.rate/(f.engines[r.engine].speed*(1-f.delay*r.busy)) - 1)
	}
	sorted := slices.Sorted(slices.Values(off))
	limit := outlierRatio * max(sorted[len(sorted)/2], 0.02)
	for i := range f.rows {
		f.rows[i].fitted = f.rows[i].weight * min(1, limit/max(off[i], 1e-9))
	}
}
