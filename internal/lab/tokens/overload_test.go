package tokens

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Two organisations flooded, each by one small router, and one of them began a third of
// what the other did while both were refused in every second. A router that was short of
// processor read its scheduler's answers too late and decided alone: nothing for seconds,
// while an old word said that the organisation had had its share, then whatever came, 524
// requests and 1.83 million tokens in one second, twice the share of four. The others were
// refused for what that router said it had placed (expected wait 595 ms at the median
// engine, which had nothing to read), and its own organisation for the next four seconds.
func TestFloodAtOverloadedRouterKeepsShares(t *testing.T) {
	t.Parallel()
	for seed := range uint64(4) {
		s := Standard(2 * shortRun)["late"]
		s.Seed = 3 + seed
		r, err := s.Run()
		require.NoError(t, err)
		t.Logf("seed %d: %+v", s.Seed, r)
		assert.GreaterOrEqual(t, r.Fair, 1.0, "seed %d", s.Seed)
	}
}
