package pace

import (
	"math"
	"slices"
)

// Limits of learning.
const (
	// maxSamples is how many samples count: those of a few seconds at a busy service. Each
	// engine has a dozen of them then, which its own speed takes.
	maxSamples = 800
	// minSamples, minPrefillMS and minPrefillRatio are the evidence without which nothing is
	// learned: streams, their time in which the engine prefilled, and its fraction of all of
	// their time. While engines prefill little, batches grow with the prefill, and C comes out
	// as several times too large.
	minSamples      = 40
	minPrefillMS    = 3000.0
	minPrefillRatio = 0.25
	fitInterval     = 25 // samples between two fits
	fitRounds       = 3
	// minEvents is the number of gaps from which on a stream is a sample. The prefill time
	// within shorter ones is known too inexactly.
	minEvents = 4
	// weightMS is the length of a stream that weighs as many milliseconds as it lasted. The
	// weight grows with the square of the length: the prefill time at either end of a stream
	// is known to about a prompt, which makes P too large and C too small in short streams.
	weightMS = 2000.0
	// maxSampleMS bounds the weight of one stream, and maxGapMS the time per event that is
	// plausible; a longer one is a fault.
	maxSampleMS = 8000.0
	maxGapMS    = 5000.0
	// equalPriorMS is the weight, in milliseconds of observed time, of the prior that prefill
	// does not slow streams. Samples with about the same fraction of prefill do not tell P
	// from C; the prior keeps them from restricting anything.
	equalPriorMS = 1000.0
	// speedPriorMS is the weight of the prior that an engine is as fast as the others.
	speedPriorMS = 500.0
	// maxDelay bounds the part of its time by which prefill slows streams; delaySteps is the
	// number of values tried.
	maxDelay   = 0.92
	delaySteps = 48
	// outlierRatio is the residual, in medians, from which on a sample loses weight: engines
	// that stall for part of a second, callers that read slowly.
	outlierRatio = 5.0
)

// Sample is one observed stream.
type Sample struct {
	Events int     // after the first one
	MS     float64 // from the first event to the last
	Busy   float64 // fraction of that time in which the engine prefilled
	Engine uint32  // which engine it was
	// LongestMS is the longest gap between two events, 0 if unknown.
	LongestMS float64
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
	prefillMS, allMS := 0.0, 0.0
	for _, s := range l.samples {
		prefillMS += s.Busy * s.MS
		allMS += s.MS
	}
	return len(l.samples) >= minSamples && prefillMS >= minPrefillMS && prefillMS >= minPrefillRatio*allMS
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
	if m := (Model{Plain: 1 / f.rate, Prefill: 1 / (f.rate * (1 - f.delay)), Stall: f.stall()}); m.usable() {
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
	longestMS      float64
}

// engineSums are the weighted sums over an engine's rows, and its speed.
type engineSums struct {
	w, f, ff, y, fy, speed float64
}

// products returns the sums of xx and xy for x = 1 - k x f.
func (e *engineSums) products(k float64) (xx, xy float64) {
	return e.w - 2*k*e.f + k*k*e.ff, e.y - k*e.fy
}

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
		weight *= weight / weightMS
		f.rows[i] = row{engine: no, busy: s.Busy, rate: float64(s.Events) / s.MS, weight: weight, fitted: weight, longestMS: s.LongestMS}
	}
	f.engines = make([]engineSums, len(index))
	return f
}

// solve tries values of k, and takes the one with the lowest loss.
func (f *fit) solve() {
	clear(f.engines)
	for _, r := range f.rows {
		e := &f.engines[r.engine]
		e.w += r.fitted
		e.f += r.fitted * r.busy
		e.ff += r.fitted * r.busy * r.busy
		e.y += r.fitted * r.rate
		e.fy += r.fitted * r.busy * r.rate
	}
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
// errors, less a constant, and of the deviations from the priors.
func (f *fit) lossAt(k float64) float64 {
	var sumXX, sumXY float64
	// Minimised over an engine's speed, its loss is one in the common rate alone.
	for i := range f.engines {
		xx, xy := f.engines[i].products(k)
		shrink := speedPriorMS / (xx + speedPriorMS)
		sumXX += shrink * xx
		sumXY += shrink * xy
	}
	if f.priorRate > 0 {
		sumXX += equalPriorMS
		sumXY += equalPriorMS * f.priorRate
	}
	f.rate = sumXY / sumXX
	loss := equalPriorMS * f.rate * f.rate * (k - f.priorDelay) * (k - f.priorDelay)
	if f.priorRate > 0 {
		loss += equalPriorMS * (f.rate - f.priorRate) * (f.rate - f.priorRate)
	}
	for i := range f.engines {
		e := &f.engines[i]
		xx, xy := e.products(k)
		e.speed = (xy + speedPriorMS*f.rate) / (xx + speedPriorMS)
		loss += e.speed*e.speed*xx - 2*e.speed*xy + speedPriorMS*(e.speed-f.rate)*(e.speed-f.rate)
	}
	return loss
}

// reweigh reduces the weights of rows far from the fit (Huber), and gives all engines the same
// weight: errors are proportional to the rate, so that those of fast engines would outweigh the
// others'.
func (f *fit) reweigh() {
	off := make([]float64, len(f.rows))
	for i, r := range f.rows {
		off[i] = math.Abs(r.rate/(f.engines[r.engine].speed*(1-f.delay*r.busy)) - 1)
	}
	sorted := slices.Sorted(slices.Values(off))
	limit := outlierRatio * max(sorted[len(sorted)/2], 0.02)
	for i := range f.rows {
		relative := min(max(f.rate/f.engines[f.rows[i].engine].speed, 0.1), 10)
		f.rows[i].fitted = f.rows[i].weight * relative * relative * min(1, limit/max(off[i], 1e-9))
	}
}

// stallQuantile is the fraction of streams whose longest gap the model covers.
const stallQuantile = 0.75

// stall returns by how much the longest gaps exceed the time per event of their engines while
// these prefill without a break: 1 where they do not.
func (f *fit) stall() float64 {
	ratios := make([]float64, len(f.rows))
	for i, r := range f.rows {
		ratios[i] = r.longestMS * f.engines[r.engine].speed * (1 - f.delay)
	}
	slices.Sort(ratios)
	return min(max(1, ratios[int(stallQuantile*float64(len(ratios)))]), maxStall)
}
