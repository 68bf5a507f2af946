package tokens

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/silverswitch/silverswitch/internal/dispatch"
)

func play(t *testing.T, s Scenario) Result {
	t.Helper()
	s.Seed = 3
	r, err := s.Run()
	require.NoError(t, err)
	t.Logf("%+v", r)
	return r
}

const short = 20 * time.Second

func TestCalmIsServedInTime(t *testing.T) {
	t.Parallel()
	r := play(t, Standard(short)["calm"])
	assert.Greater(t, r.Owed, 0.94)
	assert.Greater(t, r.Least, 0.8)
}

// The model that decides must know what engines do: its medians agree, and so do its
// tails within a half.
func TestModelPredictsTheEmulator(t *testing.T) {
	t.Parallel()
	r := play(t, Standard(short)["calm"])
	for i := range Quantiles {
		assert.InDelta(t, 1, r.Predicted[i]/r.Seen[i], 0.5, "quantile %v", Quantiles[i])
	}
}

func TestFloodTakesNobodysShareOfTokens(t *testing.T) {
	t.Parallel()
	s := Standard(short)["flood"]
	with := play(t, s)
	s.Without = dispatch.Without{Shares: true}
	without := play(t, s)
	assert.Greater(t, with.Owed, without.Owed)
	assert.Greater(t, with.Least, without.Least)
}

func TestKilledSchedulerCostsLittle(t *testing.T) {
	t.Parallel()
	calm, killed := play(t, Standard(short)["calm"]), play(t, Standard(short)["killed"])
	assert.Greater(t, killed.Owed, calm.Owed-0.1)
}

func TestRunFollowsFromItsSeed(t *testing.T) {
	t.Parallel()
	for _, name := range []string{"calm", "killed"} {
		s := Standard(4 * time.Second)[name]
		assert.Equal(t, play(t, s), play(t, s), name)
	}
}

func TestMaxMin(t *testing.T) {
	t.Parallel()
	assert.Equal(t, []float64{1, 4.5, 4.5}, maxMin([]float64{1, 50, 6}, 10))
	assert.Equal(t, []float64{1, 2}, maxMin([]float64{1, 2}, 10))
}
