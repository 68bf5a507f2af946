package prefill

import "time"

// slowness is one engine's times against the service's model, as a ratio of sums, so
// that long prompts, whose times say most, weigh most. What was expected is kept as
// what there was to do, so that a model that has just been learned is not corrected
// for the errors of the one before.
type slowness struct {
	seen   float64 // milliseconds, older ones counting less
	whole  float64 // samples with the whole time to a first event
	prompt Prompt  // sum of what was read
	at     time.Time
}

const (
	// slowKeep is what is left of a sum with each sample: some ten samples count.
	slowKeep = 0.9
	// slowPrior is milliseconds at the normal speed that are taken as seen.
	slowPrior = 60.0
	leastSlow = 0.5
	mostSlow  = 12.0
	// slowHalfLife is how fast a slowness that is not seen again is forgotten, so that
	// the engine is tried again.
	slowHalfLife = 3 * time.Second
)

func (s *slowness) add(sample Sample, m Model, now time.Time) {
	s.fade(now)
	s.scale(slowKeep)
	s.whole += sample.Whole
	s.seen += min(sample.MS, mostSlow*max(m.of(sample), noiseMS))
	s.prompt.add(sample.Prompt)
	s.at = now
}

func (s *slowness) scale(by float64) {
	s.seen *= by
	s.whole *= by
	s.prompt.scale(by)
}

// fade halves the sums for each half-life without a sample.
func (s *slowness) fade(now time.Time) {
	for !s.at.IsZero() && now.Sub(s.at) > slowHalfLife && s.seen > 1 {
		s.scale(0.5)
		s.at = s.at.Add(slowHalfLife)
	}
}

func (s *slowness) factor(m Model, now time.Time) float64 {
	s.fade(now)
	want := m.of(Sample{Prompt: s.prompt, Whole: s.whole})
	return min(max((s.seen+slowPrior)/(want+slowPrior), leastSlow), mostSlow)
}
