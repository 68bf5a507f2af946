package tokens

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// playSilence plays a scenario with engines that are silent twice.
func playSilence(t *testing.T, s Silences, load float64) SilenceResult {
	s.At = []time.Duration{2 * time.Second, 5 * time.Second}
	r, err := Scenario{Duration: shortRun, LoadFactor: load, Routers: 8, Seed: 5, Silences: &s}.Run()
	require.NoError(t, err)
	t.Logf("%+v: %+v", s, r.Silence)
	return r.Silence
}

// Guards against calls that end with nothing because their engine says nothing for a moment, whether or
// not the retry budget allows second runs, and against second runs beyond it.
func TestSilentEnginesEndNoCall(t *testing.T) {
	for _, ratio := range []float64{1.0 / Engines, 0.5, 1} {
		for _, slack := range []int{2, 156} {
			for _, lasts := range []time.Duration{800 * time.Millisecond, 2 * time.Second} {
				t.Run(fmt.Sprintf("%.2f, slack %d, %v", ratio, slack, lasts), func(t *testing.T) {
					t.Parallel()
					r := playSilence(t, Silences{Lasts: lasts, Ratio: ratio, Slack: slack}, 0.66)
					assert.Zero(t, r.Nothing)
					assert.LessOrEqual(t, float64(r.Repeats), r.Allowed)
				})
			}
		}
	}
}

// Guards against a model of silences that loses no call even if routers end silent attempts first.
func TestAttemptsEndedForASilenceAreCounted(t *testing.T) {
	t.Parallel()
	assert.Positive(t, playSilence(t, Silences{Lasts: 1200 * time.Millisecond, Ratio: 0.5, Slack: 2, GiveUp: true}, 0.66).Nothing)
}
