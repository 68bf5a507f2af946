package tokens

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against unfair local decisions at an overloaded router: two organisations flooded,
// each through one small router, and one of them started a third of what the other did while
// both were refused requests in every second. A router short of CPU read the scheduler's
// placement replies too late and made local decisions: it placed nothing for seconds, while an
// old share update said that the organisation had received its share, and then all requests
// that came, 524 requests and 1.83 million tokens in one second, twice the share of four
// seconds. Because of what that router reported as placed, other organisations were refused
// (expected wait 595 ms at the median engine, which had nothing to read), and its own
// organisation was refused for the next four seconds.
func TestFloodAtOverloadedRouterKeepsShares(t *testing.T) {
	for seed := range uint64(4) {
		t.Run(fmt.Sprintf("seed %d", 3+seed), func(t *testing.T) {
			t.Parallel()
			s := Standard(2 * shortRun)["late"]
			s.Seed = 3 + seed
			r, err := s.Run()
			require.NoError(t, err)
			t.Logf("%+v", r)
			assert.GreaterOrEqual(t, r.Fair, 1.0)
		})
	}
}
