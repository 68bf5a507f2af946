package pace

import (
	"math"
	"time"
)

// Prompt is a prompt that may be sent to an engine, and what the engine has before it.
type Prompt struct {
	Slow      float64 // of the engine's events
	BacklogMS float64 // prefill that the engine has to do before this prompt
	PrefillMS float64 // of this prompt
	Streams   float64 // at the engine, with events to come, that have not missed the target yet
	Events    float64 // expected of this request, after the first one
	Busy      float64 // fraction of its time for which the engine prefilled lately
}

// busiestMS returns the prefill time of the busiest window that ends when the engine has done
// all its prefill, aheadMS milliseconds from now. A window is as long as the target: streams
// stay in time while their gaps are shorter.
func (e *Engine) busiestMS(aheadMS, targetMS float64, now time.Time) float64 {
	if aheadMS >= targetMS {
		return targetMS
	}
	return min(targetMS, aheadMS+e.PrefilledSince(now.Add(-duration(targetMS-aheadMS))))
}

// Harm is the expected number of streams that a prompt makes miss the target. Streams that the
// prefill before it makes late anyway are not counted.
func (m Model) Harm(e *Engine, p Prompt, targetMS float64, now time.Time) float64 {
	if p.Streams <= 0 || !m.Restricts(p.Slow, targetMS) {
		return 0
	}
	after := m.MissRisk(m.GapMS(p.Slow, e.busiestMS(p.BacklogMS+p.PrefillMS, targetMS, now)), targetMS)
	if after == 0 {
		return 0
	}
	before := m.MissRisk(m.GapMS(p.Slow, e.busiestMS(p.BacklogMS, targetMS, now)), targetMS)
	return p.Streams * max(0, after-before)
}

// eventsPerRisk is the number of events over which one more prompt arrives that may make a
// stream late: the prefill of neighbouring gaps is about the same.
const eventsPerRisk = 8.0

// OwnRisk is the probability that a stream misses its target at an engine that goes on to
// prefill as much as it has lately.
func (m Model) OwnRisk(p Prompt, targetMS float64) float64 {
	if p.Events < 1 || !m.Restricts(p.Slow, targetMS) {
		return 0
	}
	risk := m.MissRisk(m.GapMS(p.Slow, p.Busy*targetMS), targetMS)
	if risk == 0 {
		return 0
	}
	return 1 - math.Pow(1-risk, p.Events/eventsPerRisk)
}

// RoomAfterMS returns the time in milliseconds until the busy period at an engine has room for
// a prompt.
func (m Model) RoomAfterMS(e *Engine, p Prompt, targetMS float64, now time.Time) float64 {
	longest := m.LongestPrefillMS(p.Slow, targetMS)
	return max(0, min(e.busiestMS(p.BacklogMS+p.PrefillMS, targetMS, now), targetMS)-longest)
}

// StreamMS is the expected time from a stream's first event to its end.
func (m Model) StreamMS(p Prompt) float64 {
	if !m.Known() {
		return 0
	}
	return p.Events * m.EventMS(p.Slow, p.Busy)
}
