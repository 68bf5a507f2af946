package prefill

import "time"

// slowness is the ratio of one engine's times to those expected by the service's model. It
// is a ratio of sums, so that long prompts, which tell most, have the most weight. The
// expected side is kept as work, not as time, so that after the model has been corrected an
// engine is not held to the errors of the old one.
type slowness struct {
	observedMS float64 // milliseconds; older samples count less
	idleStarts float64 // number of samples with the whole time to a first event
	prompt     Prompt  // sum of what was read
	lastSample time.Time
}

const (
	// slowDecay is the factor by which each sample reduces the sums, so that about ten
	// samples count.
	slowDecay = 0.9
	// slowPriorMS is the time in milliseconds that is taken as observed at normal speed.
	slowPriorMS = 60.0
	minSlow     = 0.5
	maxSlow     = 12.0
	// slowHalfLife is how fast slowness that is not observed again is forgotten, so that
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
