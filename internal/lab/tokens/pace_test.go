package tokens

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/silverswitch/silverswitch/internal/dispatch"
)

const paceRun = 14 * time.Second

// runPace sums up runs of a load with some seeds.
func runPace(t *testing.T, load func() *PaceLoad, factor float64, seeds uint64, disabled dispatch.Disabled) PaceResult {
	t.Helper()
	var sum PaceResult
	for seed := range seeds {
		r, err := Scenario{Seed: seed + 3, Duration: paceRun, LoadFactor: factor, Pace: load(), Disabled: disabled}.Run()
		require.NoError(t, err)
		sum.add(r.Pace)
	}
	t.Logf("%+v, in time %.3f", sum, sum.inTime())
	return sum
}

func (r *PaceResult) add(o PaceResult) {
	r.Asked += o.Asked
	r.OnTime += o.OnTime
	r.FirstLate += o.FirstLate
	r.GapLate += o.GapLate
	r.SlowLate += o.SlowLate
	r.Cut += o.Cut
	r.Refused += o.Refused
}

// inTime returns the fraction of the requests whose first event and gaps were all in time.
func (r *PaceResult) inTime() float64 { return float64(r.OnTime) / float64(r.Asked) }

// Engines of one speed, whose streams miss the target while an engine prefills without a break:
// a quarter more of the requests are answered in time.
func TestPaceKeepsStreamsInTime(t *testing.T) {
	t.Parallel()
	without := runPace(t, LoadB, 1, 1, dispatch.Disabled{Pace: true})
	cost := runPace(t, LoadB, 1, 1, dispatch.Disabled{PaceRefusals: true})
	with := runPace(t, LoadB, 1, 1, dispatch.Disabled{})
	assert.Greater(t, with.inTime(), without.inTime()+0.05)
	assert.Greater(t, with.inTime(), cost.inTime())
	assert.Less(t, with.GapLate, without.GapLate)
	assert.LessOrEqual(t, with.FirstLate, without.FirstLate, "first events must not become late for it")
}

// Engines of two speeds that stall at times: prompts go to the fast ones, whose streams stay in
// time while they prefill. Of the slow ones' streams fewer are late; those that are late at fast
// engines, because these stall, remain. Chats shift by a factor of 2.2 within a moment, and must
// not leave engines full of streams for which prompts are refused.
func TestPaceAvoidsSlowEngines(t *testing.T) {
	t.Parallel()
	shifted := func() *PaceLoad {
		l := LoadA()
		l.shiftClass, l.shiftFactor = 1, 2.2
		return l
	}
	without := runPace(t, shifted, 0.9, 3, dispatch.Disabled{Pace: true})
	with := runPace(t, shifted, 0.9, 3, dispatch.Disabled{})
	assert.Greater(t, with.inTime(), without.inTime())
	assert.Less(t, with.GapLate, without.GapLate)
	assert.Less(t, float64(with.SlowLate), 0.85*float64(without.SlowLate))
}

// Where prefill without a break is within the target and engines stall rarely, no decision may
// differ, although some streams miss the target. (Where they stall so often that one stream in
// twelve misses it, engines are avoided while gaps come near the target.)
func TestPaceChangesNothingWithinTheTarget(t *testing.T) {
	t.Parallel()
	load := LoadA()
	load.gap, load.slowness = 300*time.Millisecond, []float64{0.7, 0.7, 1.2} // up to 0.63 of the target
	load.stallRatio = 0.01
	s := Scenario{Seed: 4, Duration: 8 * time.Second, LoadFactor: 1, Pace: load, Disabled: dispatch.Disabled{Pace: true}}
	without, err := s.Run()
	require.NoError(t, err)
	s.Disabled = dispatch.Disabled{}
	with, err := s.Run()
	require.NoError(t, err)
	assert.Equal(t, without, with)
	assert.Positive(t, with.Pace.GapLate, "the run must have streams that miss the target")
}

// Guards against a scheduler that goes on to place prompts at engines which stall for 600 ms at a
// time: the model of the pace learns nothing of so short a time, and first events are in time.
func TestGapWarningsKeepPromptsFromStalledEngines(t *testing.T) {
	t.Parallel()
	without := runPace(t, LoadA, 1, 4, dispatch.Disabled{GapWarnings: true})
	with := runPace(t, LoadA, 1, 4, dispatch.Disabled{})
	assert.Greater(t, with.inTime(), without.inTime())
	assert.Less(t, float64(with.GapLate), 0.9*float64(without.GapLate))
}

func TestPaceRunIsDeterministic(t *testing.T) {
	t.Parallel()
	s := Scenario{Seed: 3, Duration: 2 * time.Second, LoadFactor: 1, Pace: LoadB()}
	first, err := s.Run()
	require.NoError(t, err)
	second, err := s.Run()
	require.NoError(t, err)
	assert.Equal(t, first, second)
}
