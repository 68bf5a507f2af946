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

import (
	"math"
	"time"
)

// Model is the time from one event to the next at an engine of usual speed, in milliseconds.
// The zero value means that nothing is known.
//
// An engine step takes a fixed time and a time for each prompt token in it, and gives each
// stream one token. The time per event is therefore linear in the prefill time that falls into
// it, whatever the size of a chunk.
type Model struct {
	Plain   float64 // without prefill
	Prefill float64 // while the engine prefills without a break
	// Stall is the factor by which engines are slower at times, as the longest gaps show; 1
	// where they are not.
	Stall float64
}

// Known reports whether the model may be used for decisions.
func (m Model) Known() bool { return m.Plain > 0 && m.Prefill >= m.Plain }

// usable reports whether the values of a model, learned or received, are in a plausible range.
func (m Model) usable() bool {
	const maxValue = 60_000
	return m.Known() && m.Prefill < maxValue && m.Stall >= 1 && m.Stall <= maxStall // false for NaN
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

const (
	// restrictRatio is the time per event while an engine prefills without a break, as a ratio
	// of the target, from which on streams there may miss the target. The time is learned from
	// fractions of prefill that differ little, and comes out up to a quarter too low.
	restrictRatio = 0.75
	// inTimeRatio and lateRatio are the expected gaps, as ratios of the target, up to which a
	// stream certainly stays in time and from which on it certainly is late. In a trial on
	// load B of internal/lab/tokens, 0.753, 0.745 and 0.731 of the requests were in time with
	// an inTimeRatio of 0.75, 0.8 and 0.87.
	inTimeRatio = 0.8
	lateRatio   = 1.1
)

// Restricts reports whether an engine may miss a target, in milliseconds: whether prefill
// without a break makes its events come later than that.
func (m Model) Restricts(slow, targetMS float64) bool {
	return targetMS > 0 && m.Known() && slow*m.Prefill > restrictRatio*targetMS
}

// maxStall bounds Stall: an engine that is slower than that at times is taken for broken.
const maxStall = 4.0

// MissRisk is the probability that a gap exceeds the target, of an expected gap. It is 0 up to
// inTimeRatio of the target, also while the engine stalls, and 1 from lateRatio on.
func (m Model) MissRisk(gapMS, targetMS float64) float64 {
	low := inTimeRatio / m.Stall
	return min(max((gapMS/targetMS-low)/(lateRatio-low), 0), 1)
}

// LongestPrefillMS returns the longest prefill time within one gap at which an event still
// arrives in time: infinite where the engine is not restricted.
func (m Model) LongestPrefillMS(slow, targetMS float64) float64 {
	if !m.Restricts(slow, targetMS) {
		return math.Inf(1)
	}
	return max(0, (inTimeRatio/m.Stall*targetMS-slow*m.Plain)/m.delay())
}

const (
	// WarningRatio is the gap between events, as a ratio of its target, from which on the
	// scheduler is warned that the engine is congested: early enough for what is prefilled next
	// to be placed elsewhere before the target is missed.
	WarningRatio = 0.5
	// WarningInterval is the shortest time between two warnings of one stream. A warning counts
	// for several times as long at the scheduler.
	WarningInterval = 200 * time.Millisecond
)
