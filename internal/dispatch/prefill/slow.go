package prefill

import "time"

// slowness is one engine's times against the service's model, as a ratio of sums, so
// that long prompts, whose times say most, weigh most. What was expected is kept as
// what there was to do, so that a model that has just been learned is not corrected
// for the errors of the one before.
type slowness struct {
	observedMS float64 // milliseconds, older ones counting less
	idleStarts float64 // samples with the whole time to a first event
	prompt     Prompt  // sum of what was read
	lastSample time.Time
}

const (
	// slowDecay is what is left of a sum with each sample: some ten samples count.
	slowDecay = 0.9
	// slowPriorMS is milliseconds at the normal speed that are taken as seen.
	slowPriorMS = 60.0
	minSlow     = 0.5
	maxSlow     = 12.0
	// slowHalfLife is how fast a slowness that is not seen again is forgotten, so that
	// the engine is tried again.
	slowHalfLife = 3 * time.Second
)

func (s *slowness) add(sample Sample, m Model, now time.Time) {
	s.fade(now)
	s.scale(slowDecay)
	s.idleStarts += sample.IdleStarts
	s.observedMS += min(sample.MS, maxSlow*max(m.expectedMS(sample), noiseMS))
	s.prompt.add(sample.Prompt)
	s.lastSample = now
}

func (s *slowness) scale(by float64) {
	s.observedMS *= by
	s.idleStarts *= by
	s.prompt.scale(by)
}

// fade halves the sums for each half-life without a sample.
func (s *slowness) fade(now time.Time) {
	for !s.lastSample.IsZero() && now.Sub(s.lastSample) > slowHalfLife && s.observedMS > 1 {
		s.scale(0.5)
		s.lastSample = s.lastSample.Add(slowHalfLife)
	}
}

func (s *slowness) factor(m Model, now time.Time) float64 {
	s.fade(now)
	want := m.expectedMS(Sample{Prompt: s.prompt, IdleStarts: s.idleStarts})
	return min(max((s.observedMS+slowPriorMS)/(want+slowPriorMS), minSlow), maxSlow)
}
