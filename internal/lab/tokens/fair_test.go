package tokens

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/silverswitch/silverswitch/internal/engine"
)

// fastEngine reads three times as fast as the capacity that operators state for the service,
// so that most grants exceed the shares.
func fastEngine() engine.Config {
	f := engine.DefaultConfig
	f.PrefillTokensPerMS, f.StepMS = 112, 3.23
	return f
}

// Guards against a flood taking all spare capacity: in every second the two next largest
// organisations were refused requests and started a quarter to a third of what the flood
// did. The scheduler holds back an organisation that received much more than another one
// that waits, but did not recognise that the others waited: an organisation counted as
// waiting only if it requested more than it received in ten of the last twelve steps of
// 250 ms, and one large served request outweighs all refused requests of its step. In one
// case an organisation had requested 1,507,032 tokens and received 477,985, in excess in
// eight steps, and counted as not waiting, while the flood had received 1,676,808 with a
// share of 110,944.
func TestFloodDoesNotTakeAllSpareCapacity(t *testing.T) {
	t.Parallel()
	for seed := range uint64(2) {
		s := Scenario{Duration: 2 * shortRun, LoadFactor: 1, FloodFactor: 50, Engine: fastEngine(), Seed: 4 + seed}
		r, err := s.Run()
		require.NoError(t, err)
		t.Logf("seed %d: %+v", s.Seed, r)
		assert.GreaterOrEqual(t, r.Fair, 1.0, "seed %d", s.Seed)
	}
}

// Guards against a load shedder that admits too little: of two organisations that flooded,
// the one at a load shedding router started less than half of what the other one did. The
// load shedder admitted twice the organisation's share, while the scheduler granted the
// other one more than three times its own. In one case, in tokens of four seconds, the first
// had 4,217,000 and the other 4,268,000 before the load shedders refused; three seconds later
// the first had 2,147,000 of a share of 1,186,000, while its routers shed nine in ten of its
// requests and the scheduler refused hardly any.
func TestFloodAtLoadSheddingRouterStartsHalfOfAnotherFlood(t *testing.T) {
	t.Parallel()
	for seed := range uint64(2) {
		s := Scenario{Duration: 2 * shortRun, LoadFactor: 1, Routers: 24, FloodFactor: 50, LoadShedding: true, Engine: fastEngine(), Seed: 4 + seed}
		w, err := s.simulate()
		require.NoError(t, err)
		lowest := w.fair.minRatio(overloadedOrg, secondFloodOrg, 14, 26)
		t.Logf("seed %d: smallest ratio %.2f, %+v", s.Seed, lowest, w.result())
		assert.GreaterOrEqual(t, lowest, minFairRatio, "seed %d", s.Seed)
	}
}

// slowEngine reads at two fifths of the speed that operators state for the service.
func slowEngine() engine.Config {
	f := engine.DefaultConfig
	f.PrefillTokensPerMS *= 0.4
	return f
}

// Guards against late service by engines that are slower than stated: nearly all
// organisations are then under their shares, and each was allowed to wait for four fifths of
// the target latency, so requests that an engine could have served in time waited until
// they were late.
func TestEnginesSlowerThanStatedServeInTime(t *testing.T) {
	t.Parallel()
	for seed := range uint64(2) {
		s := Standard(2 * shortRun)["flood"]
		s.Seed, s.Engine = 4+seed, slowEngine()
		r, err := s.Run()
		require.NoError(t, err)
		t.Logf("seed %d: %+v", s.Seed, r)
		served := float64(r.InTarget + r.Late)
		assert.Less(t, float64(r.Late)/served, 0.1, "seed %d", s.Seed)
	}
}

// Guards against counting what is placed but never started as received: an organisation that
// flooded through a router starved of CPU started 154,000 tokens in four seconds, where other
// organisations started a million. The router placed 431,000 tokens by itself in one second,
// and its callers left before most of these requests were sent. The placements counted as
// received, so that the scheduler refused the organisation's retries at other routers for
// having used its share.
func TestFloodAtStarvedRouterStartsHalfOfAnotherFlood(t *testing.T) {
	t.Parallel()
	checkStarvedFlood(t, Scenario{Starved: true, Seed: 4})
}

// Guards against an overloaded router that keeps the scheduler's role: an organisation flooded
// through the scheduler's own router, and got 1.4 of 4.0 million tokens that another one got in
// six seconds. Other routers took that scheduler for silent and heard it again in turns, so
// that it, its standby and each router alone placed requests with different knowledge of what
// organisations had received.
func TestFloodAtStarvedSchedulerStartsHalfOfAnotherFlood(t *testing.T) {
	t.Parallel()
	checkStarvedFlood(t, Scenario{Starved: true, StarvedRole: true, Seed: 5})
}

// checkStarvedFlood runs a scenario with two floods, one of them through a starved router.
func checkStarvedFlood(t *testing.T, s Scenario) {
	t.Helper()
	s.Duration, s.LoadFactor, s.Routers, s.FloodFactor = 2*shortRun, 1, 24, 50
	w, err := s.simulate()
	require.NoError(t, err)
	lowest := w.fair.minRatio(overloadedOrg, secondFloodOrg, 14, 26)
	r := w.result()
	t.Logf("smallest ratio %.2f, %+v", lowest, r)
	assert.GreaterOrEqual(t, lowest, minFairRatio)
	assert.GreaterOrEqual(t, r.Fair, 1.0)
}
