package dispatch

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/silverswitch/silverswitch/internal/core/wire"
	"github.com/silverswitch/silverswitch/internal/dispatch/pace"
	"github.com/silverswitch/silverswitch/internal/routing"
)

// gapTable is the table of the tests with routes of the given targets for the gap.
func gapTable(t *testing.T, number uint64, targets ...time.Duration) *routing.Table {
	t.Helper()
	b := routing.Builder{Number: number, Limits: routing.Limits{TokensPerSecond: 390_000}, Services: []*routing.Service{
		{Name: engines, Engine: &routing.Engine{Slots: 64, MemoryTokens: 200_000, TokenBytes: 1, EventTokens: 10}},
		{Name: counter},
	}}
	for _, gap := range targets {
		b.Routes = append(b.Routes, &routing.Route{Host: "h", Prefix: "/", Kind: routing.Stream, Timeout: time.Minute, TargetGap: gap, Split: []routing.WeightedService{{Service: engines, Weight: 1}}})
	}
	tab, err := b.Build()
	require.NoError(t, err)
	return tab
}

// setGapTarget publishes targets for the gap between events to every node of a fleet.
func (f *fleet) setGapTarget(number uint64, ups int, targets ...time.Duration) {
	for _, n := range f.nodes {
		n.Step(Catalogue{Table: gapTable(f.t, number, targets...), Instances: instances(ups), Revision: 5 + number, AsOf: 9 + number}, f.now)
	}
	f.deliver()
}

func (f *fleet) schedulerPool() *pool { return f.nodes[f.scheduler()].pools[serviceID(engines)] }

// streamAt runs one request with a stream of the given pace through a router.
func (f *fleet) streamAt(id wire.NodeID, no uint64, events int, took time.Duration, missed bool) {
	f.arrive(id, no, engines, "a", 500)
	f.placed(id, no)
	f.nodes[id].Step(FirstEvent{ID: no, After: 50 * time.Millisecond}, f.now)
	f.run(50 * time.Millisecond)
	if missed {
		f.nodes[id].Step(StreamPace{ID: no, Longest: took, Missed: true}, f.now)
	}
	f.run(20 * time.Millisecond)
	f.nodes[id].Step(StreamPace{ID: no, Events: events, Took: took, Longest: took / 2, Missed: missed}, f.now)
	f.nodes[id].Step(End{ID: no, Event: wire.ProgressDone}, f.now)
	f.run(20 * time.Millisecond)
}

func TestPaceReportsReachTheScheduler(t *testing.T) {
	f := newFleet(t, 3, 2)
	f.setGapTarget(2, 2, 250*time.Millisecond)
	peer := f.other()
	p := f.schedulerPool()
	assert.Equal(t, 250.0, p.pace.targetMS)
	for no := uint64(1); no <= 20; no++ {
		f.streamAt(peer, no, 20, time.Second, false)
	}
	assert.Equal(t, 20, p.pace.learner.SampleCount())
	f.streamAt(f.scheduler(), 100, 20, time.Second, false)
	assert.Equal(t, 21, p.pace.learner.SampleCount(), "a stream of the scheduler's own callers")
}

// Fails if a late stream counts as one that can still be made late: engines with late streams
// would not be preferred for prompts.
func TestLateStreamIsNotCounted(t *testing.T) {
	f := newFleet(t, 3, 1)
	f.setGapTarget(2, 1, 250*time.Millisecond)
	peer := f.other()
	p := f.schedulerPool()
	p.pace.learner.Inherit(pace.Model{Plain: 50, Prefill: 160, Stall: 1}, 100)
	f.arrive(peer, 1, engines, "a", 500)
	f.arrive(peer, 2, engines, "a", 500)
	u := p.order[0]
	assert.Equal(t, 2.0, p.inTimeStreams(u, f.now))
	f.nodes[peer].Step(StreamPace{ID: 1, Longest: 300 * time.Millisecond, Missed: true}, f.now)
	f.run(2 * noteDelay)
	assert.InDelta(t, 1.0, p.inTimeStreams(u, f.now), 0.01)
	f.nodes[peer].Step(End{ID: 2, Event: wire.ProgressDone}, f.now)
	f.run(2 * noteDelay)
	assert.Zero(t, p.inTimeStreams(u, f.now))
}

// Times of an overloaded router say nothing about an engine, and reports on unknown runs, or
// with impossible numbers, change nothing.
func TestUnusablePaceReportsAreDropped(t *testing.T) {
	f := newFleet(t, 3, 1)
	f.setGapTarget(2, 1, 250*time.Millisecond)
	peer := f.other()
	p := f.schedulerPool()
	f.arrive(peer, 1, engines, "a", 500)
	p.setOverloaded(peer, true)
	p.note(peer, wire.ProgressNote{No: 1, Event: wire.ProgressFirstEvent, FirstMS: 50}, f.now)
	assert.True(t, p.paceNote(peer, wire.PaceNote{No: 1, Events: 20, MS: 9000}, f.now))
	p.setOverloaded(peer, false)
	assert.Zero(t, p.pace.learner.SampleCount())
	assert.False(t, p.paceNote(peer, wire.PaceNote{No: 77, Events: 20, MS: 1000, Missed: true}, f.now))
	f.arrive(peer, 2, engines, "a", 500)
	p.note(peer, wire.ProgressNote{No: 2, Event: wire.ProgressFirstEvent, FirstMS: 50}, f.now)
	p.paceNote(peer, wire.PaceNote{No: 2, Events: math.MaxUint32, MS: math.MaxUint32, LongestMS: math.MaxUint32}, f.now)
	p.paceNote(peer, wire.PaceNote{No: 2, Events: 1, MS: 0}, f.now)
	assert.LessOrEqual(t, p.pace.learner.SampleCount(), 1)
	assert.False(t, p.pace.learner.Model().Known())
	f.nodes[peer].Step(StreamPace{ID: 2, Events: -5, Took: -time.Hour, Longest: -1}, f.now)
	f.nodes[peer].Step(StreamPace{ID: 99, Events: 5, Took: time.Second}, f.now)
	f.run(2 * noteDelay)
}

// The next scheduler knows the pace that the previous one has learned.
func TestNextSchedulerInheritsPaceModel(t *testing.T) {
	f := newFleet(t, 3, 2)
	f.setGapTarget(2, 2, 250*time.Millisecond)
	id := f.scheduler()
	f.schedulerPool().pace.learner.Inherit(pace.Model{Plain: 50, Prefill: 160, Stall: 1}, 500)
	f.run(2 * heartbeatInterval)
	f.cut[id] = true
	peer := f.other()
	f.arrive(peer, 100, engines, "a", 500)
	f.run(minPlacementTimeout + 2*TickInterval)
	next := f.nodes[peer].schedulerOf(serviceID(engines), f.now)
	assert.NotEqual(t, id, next)
	assert.Equal(t, pace.Model{Plain: 50, Prefill: 160, Stall: 1}, f.nodes[next].pools[serviceID(engines)].pace.learner.Model())
}

func TestStrictestPositiveGapTargetApplies(t *testing.T) {
	f := newFleet(t, 1, 1)
	f.events = nil
	f.setGapTarget(2, 1, 0, 400*time.Millisecond, -time.Second, 250*time.Millisecond)
	assert.Equal(t, 250.0, f.schedulerPool().pace.targetMS)
	f.setGapTarget(2, 1, 0, 400*time.Millisecond, -time.Second, 250*time.Millisecond)
	named := map[string]int{}
	for _, e := range f.events {
		named[e.Name]++
	}
	assert.Equal(t, 1, named["gap-target"])
	assert.Equal(t, 1, named["gap-target-invalid"], "one line for each table")
	f.setGapTarget(3, 1)
	assert.Zero(t, f.schedulerPool().pace.targetMS)
}

func TestPaceIsOnStatusPage(t *testing.T) {
	f := newFleet(t, 1, 1)
	f.setGapTarget(2, 1, 250*time.Millisecond)
	n := f.nodes[f.order[0]]
	upstreams := n.Upstreams(f.now)
	assert.Nil(t, upstreams[len(upstreams)-1].Pace, "nothing is known")
	f.schedulerPool().pace.learner.Inherit(pace.Model{Plain: 90, Prefill: 260, Stall: 1}, 100)
	for _, s := range n.Upstreams(f.now) {
		if s.Service == engines {
			require.NotNil(t, s.Pace)
			assert.True(t, s.Pace.Restricted)
			assert.Equal(t, 260.0, s.Pace.PrefillMS)
		} else {
			assert.Nil(t, s.Pace)
		}
	}
}
