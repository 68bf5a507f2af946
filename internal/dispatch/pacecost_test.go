package dispatch

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/silverswitch/silverswitch/internal/core/wire"
	"github.com/silverswitch/silverswitch/internal/dispatch/pace"
	"github.com/silverswitch/silverswitch/internal/dispatch/prefill"
)

// pacePool returns the pool of a lone router whose engines read 50 tokens a millisecond, and
// miss a target of 250 ms while they prefill without a break.
func pacePool(t *testing.T, ups int) (*fleet, *pool) {
	t.Helper()
	f := newFleet(t, 1, ups)
	f.setGapTarget(2, ups, 250*time.Millisecond)
	p := f.schedulerPool()
	p.learner.Inherit(prefill.Model{Base: 20, PerToken: 0.02}, 1000)
	p.pace.learner.Inherit(pace.Model{Plain: 80, Prefill: 350, Stall: 1}, 1000)
	for range 10 {
		p.pace.misses.add(f.now)
	}
	return f, p
}

// request asks for a prompt that takes 4 ms for each 200 tokens.
func request(no uint64, input, output int) *wire.PlacementRequest {
	return &wire.PlacementRequest{No: no, Try: 1, Org: 1, Input: uint32(input), Output: uint32(output), TargetMS: 2000, DeadlineMS: 60_000}
}

// addStreams gives an engine streams whose prompts have been read, and lets the prefill pass.
func (f *fleet) addStreams(p *pool, u *upstream, first uint64, count int) {
	for no := first; no < first+uint64(count); no++ {
		c := &choice{up: u, work: 10}
		p.startRun("r", request(no, 10, 1000), c, 1, f.now)
		p.note("r", wire.ProgressNote{No: no, Event: wire.ProgressFirstEvent, FirstMS: 20}, f.now)
	}
	f.now = f.now.Add(time.Second)
}

// A prompt that would make the streams of an engine late goes to one with fewer streams, although
// it has to wait there for 100 ms.
func TestPromptGoesWhereItMakesFewerStreamsLate(t *testing.T) {
	for _, disabled := range []Disabled{{}, {PaceRefusals: true}} {
		f, p := pacePool(t, 2)
		p.disabled = disabled
		f.addStreams(p, p.order[0], 100, 10)
		p.startRun("r", request(50, 5000, 10), &choice{up: p.order[1], work: 5000, prompt: prefill.PromptOf(5000, 0, 5000)}, 1, f.now)
		v := p.decide("r", request(1, 20_000, 10), f.now)
		require.NotNil(t, v.choice)
		assert.Equal(t, p.order[1], v.choice.up)
		p.disabled.Pace = true
		v = p.decide("r", request(2, 20_000, 10), f.now)
		require.NotNil(t, v.choice)
		assert.Equal(t, p.order[0], v.choice.up, "without regard to pace")
	}
}

// Fails if engines whose streams are late already are spared: prompts would be refused, or make
// other streams late.
func TestEnginesWithLateStreamsArePreferred(t *testing.T) {
	f, p := pacePool(t, 2)
	f.addStreams(p, p.order[0], 100, 10)
	f.addStreams(p, p.order[1], 200, 10)
	for no := uint64(200); no < 210; no++ {
		p.paceNote("r", wire.PaceNote{No: no, LongestMS: 300, Missed: true}, f.now)
	}
	v := p.decide("r", request(1, 20_000, 10), f.now)
	require.NotNil(t, v.choice)
	assert.Equal(t, p.order[1], v.choice.up)
}

// Where every engine has streams that the prompt makes late, the request is refused like one
// whose wait is too long; a shorter prompt, and a request that was sent before, are not.
func TestRequestThatMakesMoreStreamsLateThanItAddsIsRefused(t *testing.T) {
	f, p := pacePool(t, 2)
	f.addStreams(p, p.order[0], 100, 10)
	f.addStreams(p, p.order[1], 200, 10)
	v := p.decide("r", request(1, 20_000, 10), f.now)
	require.Nil(t, v.choice)
	assert.Equal(t, ReasonCapacity, v.reason)
	assert.True(t, v.retryAfter >= minRetryAfter && v.retryAfter <= maxRetryAfter, v.retryAfter)
	assert.Equal(t, 1, p.pace.refused)
	assert.NotNil(t, p.decide("r", request(2, 2000, 10), f.now).choice)
	again := request(3, 20_000, 10)
	again.Avoid = append(again.Avoid, p.order[0].id)
	assert.NotNil(t, p.decide("r", again, f.now).choice, "a request that was sent before")
	p.disabled.PaceRefusals = true
	assert.NotNil(t, p.decide("r", request(4, 20_000, 10), f.now).choice)
}

// The same prompts are placed where nothing is known, no stream has missed the target, there is
// no target, or prefill without a break is within it.
func TestWithoutEvidenceNoRequestIsRefusedForPace(t *testing.T) {
	for name, change := range map[string]func(*pool){
		"no samples":   func(p *pool) { p.pace.learner = pace.Learner{} },
		"no misses":    func(p *pool) { p.pace.misses = missCount{} },
		"no target":    func(p *pool) { p.pace.targetMS = 0 },
		"negative":     func(p *pool) { p.pace.targetMS = -1 },
		"not a number": func(p *pool) { p.pace.targetMS = math.NaN() },
		"within":       func(p *pool) { p.pace.targetMS = 500 },
		"disabled":     func(p *pool) { p.disabled.Pace = true },
	} {
		f, p := pacePool(t, 1)
		f.addStreams(p, p.order[0], 100, 10)
		change(p)
		for no := uint64(1); no <= 3; no++ {
			v := p.decide("r", request(no, 10_000, 10), f.now)
			require.NotNil(t, v.choice, name)
			assert.Equal(t, choicePace{}, v.choice.pace, name)
		}
	}
}

// While there is not room for all, an organisation under its share goes before one over it.
func TestAllowedHarmFallsWithTheUseOfTheShare(t *testing.T) {
	f, p := pacePool(t, 1)
	f.addStreams(p, p.order[0], 100, 10)
	last := math.Inf(1)
	for _, used := range []float64{0, 0.5, 1, 2, 100} {
		p.preparePace(used, f.now)
		assert.Less(t, p.pace.allowedHarm, last)
		last = p.pace.allowedHarm
	}
	var placed []float64
	for _, used := range []float64{0, 3} {
		p.preparePace(used, f.now)
		c := p.estimate(p.order[0], "r", request(1, 8300, 10), nil, f.now)
		if !c.pace.refused {
			placed = append(placed, used)
		}
	}
	assert.Equal(t, []float64{0}, placed)
}

// A stream that cannot end within its deadline at the engine's pace would take a place from
// others and be cut.
func TestStreamThatCannotMeetItsDeadlineIsRefused(t *testing.T) {
	f, p := pacePool(t, 1)
	a := request(1, 500, 1000) // 333 events of 80 ms
	a.DeadlineMS = 5000
	assert.Nil(t, p.decide("r", a, f.now).choice)
	assert.Equal(t, 1, p.pace.lateEnd)
	a.No, a.DeadlineMS = 2, 40_000
	assert.NotNil(t, p.decide("r", a, f.now).choice)
	f.events = nil
	f.run(heartbeatInterval + TickInterval)
	found := false
	for _, e := range f.events {
		found = found || e.Name == "refused-for-pace" && e.Value == 1
	}
	assert.True(t, found, "%v", f.events)
}

// Streams that an earlier scheduler placed are known from the loads that routers state.
func TestStatedStreamsCountAsInTime(t *testing.T) {
	f, p := pacePool(t, 1)
	u := p.order[0]
	p.applyLoads("other", []wire.UpstreamLoad{{Upstream: u.id, Running: 12}}, f.now)
	f.now = f.now.Add(2 * streamCountAge)
	assert.Equal(t, 12.0, p.inTimeStreams(u, f.now))
	assert.Nil(t, p.decide("r", request(1, 20_000, 10), f.now).choice)
	p.applyLoads("other", nil, f.now)
	f.now = f.now.Add(2 * streamCountAge)
	assert.NotNil(t, p.decide("r", request(2, 20_000, 10), f.now).choice)
}

// Streams of a router whose notes are lost must not block an engine for good.
func TestLostNotesDoNotBlockAnEngine(t *testing.T) {
	f, p := pacePool(t, 1)
	f.addStreams(p, p.order[0], 100, 10)
	assert.Nil(t, p.decide("r", request(1, 20_000, 10), f.now).choice)
	f.now = f.now.Add(time.Minute + 2*runGrace)
	p.expire(f.now)
	for range 10 {
		p.pace.misses.add(f.now)
	}
	assert.NotNil(t, p.decide("r", request(2, 20_000, 10), f.now).choice)
}
