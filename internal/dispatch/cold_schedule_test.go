package dispatch

import (
	"fmt"
	"os"
	"strconv"
	"testing"

	"github.com/stretchr/testify/require"
)

// coldSimRuns is how many random schedules the tests run by default. The environment variable
// COLD_SCHEDULES sets another number, COLD_FROM another first seed.
const coldSimRuns = 18

func intFromEnv(t *testing.T, name string, otherwise int) int {
	text := os.Getenv(name)
	if text == "" {
		return otherwise
	}
	n, err := strconv.Atoi(text)
	require.NoError(t, err, name)
	return n
}

func TestRandomFaultsKeepTheColdLimit(t *testing.T) {
	allowed := coldRate*coldRules.Overage + coldRules.Slack
	from, all := intFromEnv(t, "COLD_FROM", 1), intFromEnv(t, "COLD_SCHEDULES", coldSimRuns)
	const parts = 6
	for part := range parts {
		t.Run(fmt.Sprint(part), func(t *testing.T) {
			t.Parallel()
			for i := part; i < all; i += parts {
				d := newColdSimulation(t, uint64(from+i))
				if most := d.simulate(1 + d.rnd.IntN(4)); float64(len(most)) > allowed {
					t.Errorf("schedule %d (way %d): %d requests in a second, %.1f allowed, %s", from+i, d.cause, len(most), allowed, d.describe(most))
				}
			}
		})
	}
}
