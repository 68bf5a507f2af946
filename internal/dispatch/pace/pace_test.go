package pace

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

var start = time.Unix(1_800_000_000, 0)

// True times of the simulated engines, in milliseconds.
var truth = Model{Plain: 50, Prefill: 160, Stall: 1}

// stream draws a stream of an engine of the given slowness.
func stream(rnd *rand.Rand, busy, slow float64, engine uint32) Sample {
	events := 5 + rnd.IntN(60)
	ms := float64(events) * truth.EventMS(slow, busy) * (0.9 + 0.2*rnd.Float64())
	return Sample{Events: events, MS: ms, Busy: busy, Engine: engine}
}

func TestModelIsLearned(t *testing.T) {
	rnd := rand.New(rand.NewPCG(1, 1))
	var l Learner
	for range 200 {
		assert.True(t, l.Add(stream(rnd, rnd.Float64(), 1, 1)))
	}
	assert.InEpsilon(t, truth.Plain, l.Model().Plain, 0.1)
	assert.InEpsilon(t, truth.Prefill, l.Model().Prefill, 0.1)
}

// Fails if a model is used before there is evidence: every prompt would be judged by a guess.
func TestModelWithoutEvidenceRestrictsNothing(t *testing.T) {
	rnd := rand.New(rand.NewPCG(1, 2))
	var l Learner
	var e Engine
	for range minSamples - 1 {
		l.Add(stream(rnd, rnd.Float64(), 1, 1))
		p := Prompt{Slow: 1, BacklogMS: 9000, PrefillMS: 9000, Streams: 50, Events: 100}
		assert.False(t, l.Model().Restricts(8, 1))
		assert.Zero(t, l.Model().Harm(&e, p, 1, start))
		assert.Zero(t, l.Model().OwnRisk(p, 1))
		assert.Zero(t, l.Model().StreamMS(p))
	}
}

// Fails if C is extrapolated from samples that do not tell it from P: streams of the same high
// fraction of prefill, with noise.
func TestUniformPrefillRestrictsNothing(t *testing.T) {
	for seed := range uint64(20) {
		rnd := rand.New(rand.NewPCG(seed, 3))
		var l Learner
		for range minSamples + 10 {
			l.Add(stream(rnd, 0.85+0.05*rnd.Float64(), 1, 1))
		}
		real := truth.EventMS(1, 0.875)
		assert.Less(t, l.Model().Prefill, 1.25*real, "seed %d", seed)
		assert.Greater(t, l.Model().Prefill, 0.75*real, "seed %d", seed)
	}
}

// Engines that take 2.5 times as long for 600 ms at a time must not shift the model by more than
// they cost on average.
func TestModelIsRobustToStalls(t *testing.T) {
	rnd := rand.New(rand.NewPCG(1, 4))
	var l Learner
	for range 300 {
		s := stream(rnd, rnd.Float64(), 1, 1)
		if rnd.Float64() < 0.3 {
			s.MS += 600 * 1.5 / 2.5 // the events of 600 ms at 2.5 times come in 240 ms without the stall
		}
		l.Add(s)
	}
	assert.InEpsilon(t, truth.Plain, l.Model().Plain, 0.2)
	assert.InEpsilon(t, truth.Prefill, l.Model().Prefill, 0.2)
}

// Where slow engines are given less to prefill, their streams must not make C seem small.
func TestSlowEnginesDoNotHidePrefillCost(t *testing.T) {
	rnd := rand.New(rand.NewPCG(1, 5))
	var l Learner
	fast, slow := &Engine{}, &Engine{}
	now := start
	for i := range 600 {
		now = now.Add(20 * time.Millisecond)
		e, factor, busy, engine := fast, 0.7, 0.4+0.5*rnd.Float64(), uint32(1+i%8)
		if rnd.IntN(3) == 0 {
			e, factor, busy, engine = slow, 1.7, 0.3*rnd.Float64(), uint32(9+i%4)
		}
		s := stream(rnd, busy, factor, engine)
		e.Observe(s, l.Model(), now)
		l.Add(s)
	}
	m := l.Model()
	assert.InEpsilon(t, truth.Prefill/truth.Plain, m.Prefill/m.Plain, 0.25, "%+v", m)
	assert.InEpsilon(t, 1.7*truth.Prefill, slow.Slow(now)*m.Prefill, 0.25)
	assert.InEpsilon(t, 0.7*truth.Prefill, fast.Slow(now)*m.Prefill, 0.25)
}

// An engine that was slow must be tried again once it has had no streams for some time.
func TestSlownessIsForgotten(t *testing.T) {
	rnd := rand.New(rand.NewPCG(1, 6))
	var e Engine
	for range 10 {
		e.Observe(stream(rnd, 0.5, 3, 1), truth, start)
	}
	assert.Greater(t, e.Slow(start), 2.0)
	assert.InDelta(t, 1, e.Slow(start.Add(time.Minute)), 0.1)
}

func TestImplausibleStreamsAreNotLearned(t *testing.T) {
	var l Learner
	var e Engine
	for _, s := range []Sample{
		{Events: 10, MS: math.NaN()}, {Events: 10, MS: -1}, {Events: 10, MS: math.Inf(1)}, {Events: 0, MS: 10},
		{Events: 10, MS: 100, Busy: math.NaN()}, {Events: 10, MS: 100, Busy: 2}, {Events: 10, MS: 1e7},
	} {
		assert.False(t, l.Add(s), "%+v", s)
		e.Observe(s, truth, start)
	}
	assert.Equal(t, 1.0, e.Slow(start))
	e.Prefilled(start, start.Add(-time.Second))
	e.Prefilled(start.Add(-time.Hour), start)
	assert.Zero(t, e.TotalMS())
	l.Inherit(Model{Plain: math.NaN(), Prefill: 10}, 1000)
	l.Inherit(Model{Plain: 100, Prefill: 10, Stall: 1}, 1000)
	assert.Equal(t, Model{}, l.Model())
}

func TestModelOfMoreSamplesIsInherited(t *testing.T) {
	rnd := rand.New(rand.NewPCG(1, 7))
	var l Learner
	l.Inherit(truth, 500)
	assert.Equal(t, truth, l.Model())
	l.Inherit(Model{Plain: 1, Prefill: 2, Stall: 1}, 400)
	for range minSamples + 20 {
		l.Add(stream(rnd, 0.9, 1, 1)) // these alone do not tell P
	}
	assert.InEpsilon(t, truth.Plain, l.Model().Plain, 0.2)
	assert.InEpsilon(t, truth.Prefill, l.Model().Prefill, 0.1)
}

// A prompt that fits into the gap harms nobody; one that does not harms every stream that was
// in time; prefill that was there before is not blamed on it.
func TestHarmIsWhatThePromptAdds(t *testing.T) {
	const target = 250.0
	m, slow := truth, 1.7
	longest := m.LongestPrefillMS(slow, target)
	assert.InDelta(t, (inTimeRatio*target-slow*m.Plain)/(1-m.Plain/m.Prefill), longest, 0.01)
	var e Engine
	p := Prompt{Slow: slow, PrefillMS: longest - 1, Streams: 10}
	assert.Zero(t, m.Harm(&e, p, target, start))
	p.PrefillMS = target
	assert.Greater(t, m.Harm(&e, p, target, start), 5.0)
	p.BacklogMS = target
	assert.Zero(t, m.Harm(&e, p, target, start), "the streams are late already")
	p.BacklogMS, p.Streams = 0, 0
	assert.Zero(t, m.Harm(&e, p, target, start), "there are no streams")
	p = Prompt{Slow: 1.1, PrefillMS: target, Streams: 10}
	assert.Zero(t, m.Harm(&e, p, target, start), "prefill without a break is within the target")
}

// Prompts that are short by themselves add up within a window, also with those prefilled a
// moment ago.
func TestHarmCountsRecentPrefill(t *testing.T) {
	const target = 250.0
	var e Engine
	e.Prefilled(start.Add(-120*time.Millisecond), start)
	p := Prompt{Slow: 1.7, PrefillMS: 120, Streams: 10}
	assert.Greater(t, truth.Harm(&e, p, target, start.Add(5*time.Millisecond)), 1.0)
	assert.Zero(t, truth.Harm(&e, p, target, start.Add(130*time.Millisecond)))
	assert.Greater(t, truth.RoomAfterMS(&e, p, target, start.Add(5*time.Millisecond)), 0.0)
}

// Overlapping reports of prefill must not count a time twice: f would exceed 1.
func TestPrefillTimesDoNotOverlap(t *testing.T) {
	var e Engine
	now := start
	for range 500 {
		now = now.Add(10 * time.Millisecond)
		e.Prefilled(now.Add(-60*time.Millisecond), now)
	}
	assert.InDelta(t, 5000+50, e.TotalMS(), 1)
	assert.InDelta(t, 1, e.Busy(now), 0.05)
	assert.InDelta(t, 200, e.PrefilledSince(now.Add(-200*time.Millisecond)), 1)
	assert.Less(t, e.Busy(now.Add(3*time.Second)), 0.15)
}

// Reports of several routers do not come in the order of the prefill.
func TestPrefillIsRecordedInAnyOrder(t *testing.T) {
	var e Engine
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	for _, s := range [][2]int{{0, 100}, {300, 400}, {150, 200}, {90, 160}, {390, 500}, {0, 50}} {
		e.Prefilled(at(s[0]), at(s[1]))
	}
	assert.InDelta(t, 400, e.TotalMS(), 0.01)
	assert.Len(t, e.prefills, 2)
	assert.InDelta(t, 220, e.PrefilledSince(at(180)), 0.01)
}

func TestOwnRiskGrowsWithEvents(t *testing.T) {
	busy, idle := &Engine{}, &Engine{}
	now := start
	for range 400 {
		now = now.Add(10 * time.Millisecond)
		busy.Prefilled(now.Add(-8*time.Millisecond), now)
	}
	at := func(e *Engine, slow, events float64) Prompt {
		return Prompt{Slow: slow, Events: events, Busy: e.Busy(now)}
	}
	assert.Less(t, truth.OwnRisk(at(busy, 2.2, 2), 250), truth.OwnRisk(at(busy, 2.2, 60), 250))
	assert.Less(t, truth.OwnRisk(at(idle, 2.2, 60), 250), truth.OwnRisk(at(busy, 2.2, 60), 250))
	assert.Less(t, truth.StreamMS(at(idle, 2.2, 60)), truth.StreamMS(at(busy, 2.2, 60)))
	assert.Zero(t, truth.OwnRisk(at(busy, 0.7, 60), 250))
}
