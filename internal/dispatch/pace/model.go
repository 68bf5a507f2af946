// Package pace models the time from one event of an engine's stream to the next, learns the
// model from observed streams, and works out which streams a further prompt makes miss their
// target.
//
// Load pattern: engines that prefill long prompts without a break. Each step of such an
// engine holds a chunk of prompt, so that the running streams get their tokens several times
// more slowly. First events arrive in time, and the streams behind them miss the target for
// the gap between events.
//
// Time is an argument; nothing here reads a clock.
package pace

import "math"

// Model is the time from one event to the next at an engine of usual speed, in milliseconds.
// The zero value means that nothing is known.
//
// An engine step takes a fixed time and a time for each prompt token in it, and gives each
// stream one token. The time per event is therefore linear in the prefill time that falls into
// it, whatever the size of a chunk.
type Model struct {
	Plain   float64 // without prefill
	Prefill float64 // while the engine prefills without a break
}

// Known reports whether the model may be used for decisions.
func (m Model) Known() bool { return m.Plain > 0 && m.Prefill >= m.Plain }

// usable reports whether the values of a model, learned or received, are in a plausible range.
func (m Model) usable() bool {
	const maxValue = 60_000
	return m.Known() && m.Prefill < maxValue // false for NaN
}

// delay is the time by which one millisecond of prefill lengthens the gap that it falls into.
func (m Model) delay() float64 { return 1 - m.Plain/m.Prefill }

// GapMS is the expected gap between two events in which the engine prefills for prefillMS
// milliseconds. The gap is at most that of an engine that prefills without a break.
func (m Model) GapMS(slow, prefillMS float64) float64 {
	return min(slow*m.Plain+max(0, prefillMS)*m.delay(), slow*m.Prefill)
}

// EventMS is the expected time from one event to the next at an engine that spends a fraction
// of its time on prefill.
func (m Model) EventMS(slow, busy float64) float64 {
	busy = min(max(busy, 0), 1)
	return slow / ((1-busy)/m.Plain + busy/m.Prefill)
}

// Restricts reports whether an engine may miss a target, in milliseconds: whether prefill
// without a break makes its events come later than that.
func (m Model) Restricts(slow, targetMS float64) bool {
	return targetMS > 0 && m.Known() && slow*m.Prefill > targetMS
}

const (
	// inTimeRatio and lateRatio are the expected gaps, as ratios of the target, up to which a
	// stream certainly stays in time and from which on it certainly is late. Expected gaps are
	// off by about a tenth: engines differ from step to step, and prefill times are estimates.
	inTimeRatio = 0.9
	lateRatio   = 1.1
)

// MissRisk is the probability that an expected gap exceeds the target.
func MissRisk(gapMS, targetMS float64) float64 {
	return min(max((gapMS/targetMS-inTimeRatio)/(lateRatio-inTimeRatio), 0), 1)
}

// LongestPrefillMS returns the longest prefill time within one gap at which an event still
// arrives in time: infinite where the engine is not restricted.
func (m Model) LongestPrefillMS(slow, targetMS float64) float64 {
	if !m.Restricts(slow, targetMS) {
		return math.Inf(1)
	}
	return max(0, (inTimeRatio*targetMS-slow*m.Plain)/m.delay())
}
