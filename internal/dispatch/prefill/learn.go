package prefill

import (
	"math"
	"slices"

	"gonum.org/v1/gonum/floats"
	"gonum.org/v1/gonum/mat"
	"gonum.org/v1/gonum/stat"
)

// Limits of learning.
const (
	// maxSamples is how many samples count: those of a few seconds at a busy service, so
	// that a changed engine is learned within that time.
	maxSamples = 300
	// firstFitInterval and fitInterval are the numbers of samples between two fits: few
	// while little is known, then enough for fitting to cost a thousandth of a core.
	firstFitInterval = 6
	fitInterval      = 25
	// noiseMS and noiseRatio describe the standard deviation of a sample: a constant part
	// for the steps of a batch and the network, and a part proportional to its length.
	noiseMS    = 10.0
	noiseRatio = 0.1
	// priorSpreadRatio is the standard deviation of the prior, as a multiple of its values.
	priorSpreadRatio = 3.0
	// outlierRatio is the residual, in medians, from which on a sample loses weight.
	outlierRatio = 3.0
	fitRounds    = 3
	maxSampleMS  = 60_000.0 // milliseconds; a longer time is a fault, not a speed
)

// Sample is a time in which an engine read prompts, one after the other.
type Sample struct {
	Prompt Prompt // the sum of what was read
	MS     float64
	// IdleStarts is how many of the prompts found the engine with nothing to read, so that
	// MS contains the whole time to their first event. For the others it contains the time
	// since the previous first event.
	IdleStarts float64
}

func (s Sample) row() [terms]float64 {
	return [terms]float64{s.IdleStarts, s.Prompt.Tokens, s.Prompt.Pairs, s.Prompt.Fetched}
}

// Indexes of the model's parameters in the equations.
const (
	termBase = iota
	termToken
	termPair
	termFetched
	terms
)

// Learner fits a model to the latest samples by least squares with reduced weights for
// outliers. The zero value is not usable; see NewLearner.
type Learner struct {
	model       Model
	prior       Model
	samples     []Sample // a ring once it is full
	next        int
	sampleCount int
	sinceFit    int // samples since the last fit
}

// NewLearner returns a learner whose model is Prior.
func NewLearner() *Learner { return &Learner{model: Prior, prior: Prior} }

// Model returns the current model.
func (l *Learner) Model() Model { return l.model }

// SampleCount returns the number of samples, including those behind an inherited model.
func (l *Learner) SampleCount() int { return l.sampleCount }

// Inherit adopts the model of a peer that has seen more samples. It becomes the prior of
// all later fits, so that a new scheduler starts from it.
func (l *Learner) Inherit(m Model, sampleCount int) {
	if sampleCount <= l.sampleCount || !m.usable() {
		return
	}
	l.model, l.prior, l.sampleCount = m, m, sampleCount
	l.samples, l.next, l.sinceFit = l.samples[:0], 0, 0
}

// Add adds a sample. It reports whether the sample is usable: times that are negative, not
// a number or longer than a minute are not.
func (l *Learner) Add(s Sample) bool {
	if !(s.MS >= 0 && s.MS <= maxSampleMS) || !(s.Prompt.Tokens >= 0) {
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
	if l.sinceFit >= fitInterval || l.sampleCount <= fitInterval && l.sinceFit >= firstFitInterval {
		l.sinceFit = 0
		l.fit()
	}
	return true
}

// fit is a ridge regression towards the prior, repeated with reduced weights for outliers.
func (l *Learner) fit() {
	weights := make([]float64, len(l.samples))
	for i := range weights {
		weights[i] = 1
	}
	found := l.model
	for range fitRounds {
		next, ok := l.solve(weights)
		if !ok {
			return
		}
		found = next
		l.reweigh(weights, found)
	}
	if found.usable() {
		l.model = found
	}
}

// solve returns the weighted least squares solution without negative parameters: the most
// negative parameter is set to 0, and the others are solved again without it.
func (l *Learner) solve(weights []float64) (Model, bool) {
	a, b := l.normalEquations(weights)
	active := []int{termBase, termToken, termPair, termFetched}
	for len(active) > 0 {
		x, ok := solveActive(a, b, active)
		if !ok {
			return Model{}, false
		}
		lowest := floats.MinIdx(x)
		if x[lowest] >= 0 {
			return modelFromTerms(active, x), true
		}
		active = slices.Delete(active, lowest, lowest+1)
	}
	return Model{}, true
}

// normalEquations returns the normal equations of the samples and the prior.
func (l *Learner) normalEquations(weights []float64) (*mat.SymDense, *mat.VecDense) {
	a, b := mat.NewSymDense(terms, nil), mat.NewVecDense(terms, nil)
	for j, p := range []float64{l.prior.Base, l.prior.PerToken, l.prior.PerPair, l.prior.PerFetched} {
		spread := priorSpreadRatio * max(p, minPriorValue[j])
		a.SetSym(j, j, 1/(spread*spread))
		b.SetVec(j, p/(spread*spread))
	}
	for i, s := range l.samples {
		row, sd := s.row(), noiseMS+noiseRatio*s.MS
		w := weights[i] / (sd * sd)
		for j := range terms {
			b.SetVec(j, b.AtVec(j)+w*row[j]*s.MS)
			for k := j; k < terms; k++ {
				a.SetSym(j, k, a.At(j, k)+w*row[j]*row[k])
			}
		}
	}
	return a, b
}

// minPriorValue keeps a prior value of 0 from having a standard deviation of 0.
var minPriorValue = [terms]float64{termBase: 1, termToken: 1e-3, termPair: 1e-2, termFetched: 1e-4}

// solveActive solves the equations for the active parameters; the others are 0.
func solveActive(a *mat.SymDense, b *mat.VecDense, active []int) ([]float64, bool) {
	part, right := mat.NewSymDense(len(active), nil), mat.NewVecDense(len(active), nil)
	for i, j := range active {
		right.SetVec(i, b.AtVec(j))
		for k := i; k < len(active); k++ {
			part.SetSym(i, k, a.At(j, active[k]))
		}
	}
	var c mat.Cholesky
	if !c.Factorize(part) {
		return nil, false
	}
	x := mat.NewVecDense(len(active), nil)
	if err := c.SolveVecTo(x, right); err != nil {
		return nil, false // too badly conditioned to be trusted
	}
	return x.RawVector().Data, true
}

func modelFromTerms(active []int, x []float64) Model {
	var all [terms]float64
	for i, j := range active {
		all[j] = x[i]
	}
	return Model{Base: all[termBase], PerToken: all[termToken], PerPair: all[termPair], PerFetched: all[termFetched]}
}

// reweigh reduces the weights of samples far from the model (Huber).
func (l *Learner) reweigh(weights []float64, m Model) {
	off := make([]float64, len(l.samples))
	for i, s := range l.samples {
		off[i] = math.Abs(s.MS - m.expectedMS(s))
	}
	sorted := slices.Sorted(slices.Values(off))
	limit := outlierRatio * max(1, stat.Quantile(0.5, stat.Empirical, sorted, nil))
	for i, r := range off {
		weights[i] = min(1, limit/max(r, 1))
	}
}
