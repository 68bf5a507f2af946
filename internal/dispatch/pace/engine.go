package pace

import (
	"slices"
	"time"
)

// Constants of the model of one engine.
const (
	// slowDecay is the factor by which each stream reduces the sums, so that about ten streams
	// count.
	slowDecay = 0.95
	// slowPriorMS is the time in milliseconds that is taken as observed at usual speed.
	slowPriorMS = 1500.0
	minSlow     = 0.4
	maxSlow     = 8.0
	// slowHalfLife is how fast slowness that is not observed again is forgotten, so that the
	// engine is tried again.
	slowHalfLife = 6 * time.Second
	// busyWindow is the time constant of the fraction of time that an engine prefills.
	busyWindow = time.Second
	// prefillMemory is how long past prefill is kept: longer than any target that is worth
	// keeping to.
	prefillMemory = 2 * time.Second
	// maxPrefill is the longest time of one prompt that is plausible.
	maxPrefill = 20 * time.Second
)

// Engine is what is known of one engine: its slowness, and when it prefilled. The zero value
// is an engine of usual speed that has not prefilled.
type Engine struct {
	observedMS, expectedMS float64 // of streams; older ones count less
	lastSample             time.Time

	prefills  []span // the latest, in order of time, without overlap
	totalMS   float64
	busy      float64 // sum of prefill time that decays with busyWindow, as a fraction of it
	busySince time.Time
}

// span is a time in which an engine prefilled.
type span struct{ from, to time.Time }

// Slow returns the engine's times between events as a ratio of the service's; 1 is normal.
func (e *Engine) Slow(now time.Time) float64 {
	e.fade(now)
	return min(max((e.observedMS+slowPriorMS)/(e.expectedMS+slowPriorMS), minSlow), maxSlow)
}

// Observe adds a stream of the engine that was expected by the model.
func (e *Engine) Observe(s Sample, m Model, now time.Time) {
	if !s.usable() || !m.Known() {
		return
	}
	e.fade(now)
	want := float64(s.Events) * m.EventMS(1, s.Busy)
	got := min(s.MS, maxSlow*want)
	scale := min(1, maxSampleMS/got) // a long stream ended as one that lasted maxSampleMS
	e.observedMS = slowDecay*e.observedMS + scale*got
	e.expectedMS = slowDecay*e.expectedMS + scale*want
	e.lastSample = now
}

// fade halves the sums for each half-life without a sample.
func (e *Engine) fade(now time.Time) {
	for !e.lastSample.IsZero() && now.Sub(e.lastSample) > slowHalfLife && e.observedMS > 1 {
		e.observedMS /= 2
		e.expectedMS /= 2
		e.lastSample = e.lastSample.Add(slowHalfLife)
	}
}

// Prefilled records that the engine prefilled some prompt all the time between from and to. A time
// in which it prefilled several prompts counts once.
//
// The time is the one that passed, not the one that the prompts need by the model of first
// events: steps that hold a little of a prompt are longer than its tokens account for. With the
// model's times C came out as infinite.
func (e *Engine) Prefilled(from, to time.Time) {
	if !to.After(from) || to.Sub(from) > maxPrefill {
		return
	}
	e.forgetPrefills(to)
	was, merged := 0.0, span{from, to}
	i := len(e.prefills)
	for i > 0 && !e.prefills[i-1].to.Before(from) {
		i--
	}
	after := e.prefills[i:]
	n := 0
	for n < len(after) && !after[n].from.After(to) {
		was += millis(after[n].to.Sub(after[n].from))
		merged = span{earlier(merged.from, after[n].from), later(merged.to, after[n].to)}
		n++
	}
	e.prefills = slices.Replace(e.prefills, i, i+n, merged)
	took := millis(merged.to.Sub(merged.from)) - was
	e.totalMS += took
	if e.busySince.After(to) {
		to = e.busySince
	}
	e.busy, e.busySince = min(1, e.Busy(to)+took/millis(busyWindow)), to
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// forgetPrefills drops old prefill.
func (e *Engine) forgetPrefills(now time.Time) {
	old := 0
	for old < len(e.prefills) && now.Sub(e.prefills[old].to) > prefillMemory {
		old++
	}
	e.prefills = slices.Delete(e.prefills, 0, old)
}

// TotalMS returns the time in milliseconds for which the engine has prefilled so far.
func (e *Engine) TotalMS() float64 { return e.totalMS }

// Busy returns the fraction of the last second or so in which the engine prefilled.
func (e *Engine) Busy(now time.Time) float64 {
	age := millis(now.Sub(e.busySince)) / millis(busyWindow)
	if e.busy == 0 || age >= 10 {
		return 0
	}
	return e.busy / (1 + age*(1+age/2)) // about e^-age
}

// PrefilledSince returns the milliseconds for which the engine prefilled after a time.
func (e *Engine) PrefilledSince(t time.Time) float64 {
	sum := 0.0
	for i := len(e.prefills) - 1; i >= 0 && e.prefills[i].to.After(t); i-- {
		from := e.prefills[i].from
		if from.Before(t) {
			from = t
		}
		sum += millis(e.prefills[i].to.Sub(from))
	}
	return sum
}

func millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func duration(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
