package tokens

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/silverswitch/silverswitch/internal/dispatch"
	"github.com/silverswitch/silverswitch/internal/engine"
)

// runScenario runs a scenario with a fixed seed.
func runScenario(t *testing.T, s Scenario) Result {
	t.Helper()
	s.Seed = 3
	r, err := s.Run()
	require.NoError(t, err)
	t.Logf("%+v", r)
	return r
}

const shortRun = 20 * time.Second

func TestNormalLoadIsServedInTime(t *testing.T) {
	t.Parallel()
	r := runScenario(t, Standard(shortRun)["calm"])
	assert.Greater(t, r.Owed, 0.94)
	assert.Greater(t, r.Least, 0.8)
}

// dissimilarEngines differ from each other by up to ten times in each figure.
var dissimilarEngines = map[string]engine.Config{
	"middle": engine.DefaultConfig,
	"fast, with much time beyond reading": {Slots: 128, MemoryTokens: 986_000, StepMS: 3.23, StepPerRequestMS: 0.0483, StepPer1KContextMS: 0.00146, PrefillTokensPerMS: 112, PrefillChunkTokens: 2048, EventTokens: 5,
		FetchTokensPerMS: 3900, FetchSetupMS: 1.7, RequestSetupMS: 47, AttentionMSPerMPairs: 0.154},
	"slow, attention dear": {Slots: 32, MemoryTokens: 400_000, StepMS: 15, StepPerRequestMS: 0.1, StepPer1KContextMS: 0.05, PrefillTokensPerMS: 13, PrefillChunkTokens: 512, EventTokens: 1,
		FetchTokensPerMS: 200, FetchSetupMS: 5, AttentionMSPerMPairs: 2},
}

// The prefill model is learned: on dissimilar engines the median time to the first event must
// be within a fifth of the predicted time, and nine in ten must be below two and a half times
// the predicted time.
func TestModelPredictsDissimilarEngines(t *testing.T) {
	t.Parallel()
	for name, cfg := range dissimilarEngines {
		s := Standard(shortRun)["calm"]
		s.Engine, s.LoadFactor = cfg, 0.5*cfg.PrefillTokensPerMS/engine.DefaultConfig.PrefillTokensPerMS
		r := runScenario(t, s)
		assert.InDelta(t, 1, r.Ratio[0], 0.2, name)
		assert.Less(t, r.Ratio[1], 2.5, name)
		for i := range Quantiles {
			assert.InDelta(t, 1, r.Predicted[i]/r.Seen[i], 0.5, "%s, quantile %v", name, Quantiles[i])
		}
	}
}

func TestFloodDoesNotReduceOtherTokenShares(t *testing.T) {
	t.Parallel()
	s := Standard(shortRun)["flood"]
	with := runScenario(t, s)
	s.Disabled = dispatch.Disabled{Shares: true}
	without := runScenario(t, s)
	assert.Greater(t, with.Owed, without.Owed)
	assert.Greater(t, with.Least, without.Least)
}

func TestKilledSchedulerCostsLittle(t *testing.T) {
	t.Parallel()
	calm, killed := runScenario(t, Standard(shortRun)["calm"]), runScenario(t, Standard(shortRun)["killed"])
	assert.Greater(t, killed.Owed, calm.Owed-0.1)
}

func TestRunIsDeterministic(t *testing.T) {
	t.Parallel()
	for _, name := range []string{"calm", "killed"} {
		s := Standard(4 * time.Second)[name]
		assert.Equal(t, runScenario(t, s), runScenario(t, s), name)
	}
}

func TestMaxMin(t *testing.T) {
	t.Parallel()
	assert.Equal(t, []float64{1, 4.5, 4.5}, maxMin([]float64{1, 50, 6}, 10))
	assert.Equal(t, []float64{1, 2}, maxMin([]float64{1, 2}, 10))
}
