package tokens

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/silverswitch/silverswitch/internal/engine"
)

// fast reads three times what the operators state for the service, so that most of what is
// given out lies beyond shares.
func fastEngine() engine.Config {
	f := engine.DefaultConfig
	f.PrefillTokensPerMS, f.StepMS = 112, 3.23
	return f
}

// One organisation flooded, and in every second the two next largest were refused and began
// a quarter to a third of what the flood did. The scheduler holds an organisation back that
// has had much more than another one which waits, but took the other for one that does not:
// it had to have asked for more than it got in ten of the last twelve steps of 250 ms, and
// one large request that is served makes up for all that were refused in its step. The line
// of the scheduler that settled it: asked 1,507,032, got 477,985, eight steps, not waiting,
// while the flood had 1,676,808 of a share of 110,944.
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

// Two organisations flooded, and the one whose router refused at its door began less than
// half of what the other one did. The door let in twice the organisation's share, while the
// scheduler gave the other one more than three times its own. The lines of a scheduler that settled it,
// in tokens of four seconds: before the doors refused, the one had 4,217,000 and the other
// 4,268,000; three seconds later it had 2,147,000 of a share of 1,186,000, while its routers
// turned away nine in ten of its requests and the scheduler hardly any.
func TestFloodAtLoadSheddingRouterStartsHalfOfAnotherFlood(t *testing.T) {
	t.Parallel()
	for seed := range uint64(2) {
		s := Scenario{Duration: 2 * shortRun, LoadFactor: 1, Routers: 24, FloodFactor: 50, LoadShedding: true, Engine: fastEngine(), Seed: 4 + seed}
		w, err := s.simulate()
		require.NoError(t, err)
		least := w.fair.minRatio(overloadedOrg, secondFloodOrg, 14, 26)
		t.Logf("seed %d: least part %.2f, %+v", s.Seed, least, w.result())
		assert.GreaterOrEqual(t, least, minFairRatio, "seed %d", s.Seed)
	}
}

// slow reads two fifths of what the operators state for the service.
func slowEngine() engine.Config {
	f := engine.DefaultConfig
	f.PrefillTokensPerMS *= 0.4
	return f
}

// Engines served less than was stated. Those under their shares, nearly everyone, were all
// allowed to wait for four fifths of the target, and what an engine could have served in
// time waited until it was late.
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
