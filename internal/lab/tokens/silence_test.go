package tokens

import (
	"fmt"
	"os"
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

// silenceCases are all combinations, or the four that CI plays.
func silenceCases(all bool) (out []Silences) {
	for i, ratio := range []float64{1.0 / Engines, 0.5, 1} {
		for k, slack := range []int{2, 156} {
			for l, lasts := range []time.Duration{800 * time.Millisecond, 2 * time.Second} {
				if all || (i+k+l)%3 == 2 {
					out = append(out, Silences{Lasts: lasts, Ratio: ratio, Slack: slack})
				}
			}
		}
	}
	return out
}

// Guards against calls that end with nothing because their engine says nothing for a moment, whether or
// not the retry budget allows second runs, and against second runs beyond it. SILENCE_CASES=all plays all
// combinations.
func TestSilentEnginesEndNoCall(t *testing.T) {
	for _, s := range silenceCases(os.Getenv("SILENCE_CASES") == "all") {
		t.Run(fmt.Sprintf("%.2f, slack %d, %v", s.Ratio, s.Slack, s.Lasts), func(t *testing.T) {
			t.Parallel()
			r := playSilence(t, s, 0.66)
			assert.Zero(t, r.Nothing)
			assert.LessOrEqual(t, float64(r.Repeats), r.Allowed)
		})
	}
}

// Guards against a model of silences that loses no call even if routers end silent attempts first.
func TestAttemptsEndedForASilenceAreCounted(t *testing.T) {
	t.Parallel()
	assert.Positive(t, playSilence(t, Silences{Lasts: 1200 * time.Millisecond, Ratio: 0.5, Slack: 2, GiveUp: true}, 0.66).Nothing)
}
