package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/silverswitch/silverswitch/internal/core/wire"
	"github.com/silverswitch/silverswitch/internal/dispatch/prefill"
	"github.com/silverswitch/silverswitch/internal/routing"
)

func TestAllRoutersAgreeOnTheScheduler(t *testing.T) {
	f := newFleet(t, 5, 4)
	want := f.scheduler()
	for _, id := range f.order {
		assert.Equal(t, want, f.nodes[id].schedulerOf(serviceID(engines), f.now))
		assert.Len(t, f.nodes[id].Routers(), 5)
	}
}

func TestLoadIsSpreadByTokensOfAllRouters(t *testing.T) {
	f := newFleet(t, 3, 4)
	seen := map[string]int{}
	for i := range 8 {
		id := f.order[i%3]
		f.arrive(id, uint64(i+1), engines, "a", 1000)
		seen[f.placed(id, uint64(i+1)).Instance.ID]++
	}
	for e, n := range seen {
		assert.Equal(t, 2, n, e)
	}
	assert.Len(t, seen, 4)
}

func TestRequestsGoWhereTheirPromptIsCached(t *testing.T) {
	f := newFleet(t, 3, 4)
	parts := []wire.PromptPart{{Part: 11, Tokens: 2500}, {Part: 12, Tokens: 3700}}
	a, b := f.order[0], f.order[1]
	f.arrive(a, 1, engines, "a", 9000, parts...)
	first := f.placed(a, 1)
	assert.Equal(t, 9000, first.PrefillTokens)
	f.nodes[a].Step(FirstEvent{ID: 1, After: 300 * time.Millisecond}, f.now)
	f.run(300 * time.Millisecond)
	f.nodes[a].Step(End{ID: 1, Event: wire.ProgressDone}, f.now)
	f.arrive(b, 1, engines, "b", 8000, parts...)
	second := f.placed(b, 1)
	assert.Equal(t, first.Instance.ID, second.Instance.ID)
	assert.Equal(t, 8000-6200, second.PrefillTokens)
}

func TestCachedPartsAreFetchedFromABusyEngine(t *testing.T) {
	f := newFleet(t, 2, 3)
	parts := []wire.PromptPart{{Part: 11, Tokens: 6000}}
	a := f.order[0]
	f.arrive(a, 1, engines, "a", 6500, parts...)
	home := f.placed(a, 1)
	f.nodes[a].Step(FirstEvent{ID: 1, After: 250 * time.Millisecond}, f.now)
	f.run(300 * time.Millisecond)
	for no := uint64(2); no < 12; no++ {
		f.arrive(a, no, engines, "a", 7500, parts...)
		if p := f.placed(a, no); p.Instance.ID != home.Instance.ID {
			assert.Equal(t, home.Instance.Address, p.Source)
			assert.Equal(t, 1500, p.PrefillTokens)
			return
		}
	}
	t.Fatal("every request went to the same engine")
}

func TestSilentSchedulerIsReplacedWithinAFewTicks(t *testing.T) {
	f := newFleet(t, 4, 4)
	dead := f.scheduler()
	id := f.other()
	f.cut[dead] = true
	f.arrive(id, 1, engines, "a", 3000)
	assert.Nil(t, f.got[id][1])
	f.run(minPlacementTimeout + 2*TickInterval)
	f.placed(id, 1)
	f.arrive(id, 2, engines, "a", 3000)
	f.run(2 * TickInterval)
	f.placed(id, 2) // at once, since the silent scheduler is passed over
	f.cut[dead] = false
	f.run(5 * time.Second)
	assert.Equal(t, dead, f.nodes[id].schedulerOf(serviceID(engines), f.now), "with its next message it is the scheduler again")
}

func TestRepeatedPlacementRequestCountsOnce(t *testing.T) {
	f := newFleet(t, 2, 2)
	s, id := f.scheduler(), f.other()
	request := wire.PlacementRequest{No: 1, Try: 1, Service: serviceID(engines), Org: 3, Input: 1000, TargetMS: 600, DeadlineMS: 6000}
	for range 3 {
		f.nodes[s].reply(id, &request, f.now)
	}
	p := f.nodes[s].pools[serviceID(engines)]
	assert.Len(t, p.runs, 1)
	total := 0
	for _, u := range p.upstreams {
		total += u.queue.Len()
	}
	assert.Equal(t, 1, total)
}

func TestDrainingUpstreamsGetNothing(t *testing.T) {
	f := newFleet(t, 2, 2)
	list := instances(2)
	list[0].Draining = true
	for _, id := range f.order {
		f.nodes[id].Step(Catalogue{Table: table(t, 390_000), Instances: list, Revision: 6, AsOf: 10}, f.now)
	}
	for i := range 6 {
		f.arrive(f.order[i%2], uint64(i+1), engines, "a", 1000)
		assert.Equal(t, "e1", f.placed(f.order[i%2], uint64(i+1)).Instance.ID)
	}
}

// The scheduler may not yet know that an upstream is leaving.
func TestPlacementReplyIsRejectedForALeavingUpstream(t *testing.T) {
	f := newFleet(t, 2, 2)
	id := f.other()
	list := instances(2)
	list[0].Draining = true
	f.nodes[id].Step(Catalogue{Table: table(t, 390_000), Instances: list, Revision: 6, AsOf: 10}, f.now)
	for i := range 6 {
		f.arrive(id, uint64(i+1), engines, "a", 1000)
		assert.Equal(t, "e1", f.placed(id, uint64(i+1)).Instance.ID)
	}
}

// Two requests at a time, so that the healthy upstream is not always the better one.
func TestFailingUpstreamIsEjectedAndRetried(t *testing.T) {
	f := newFleet(t, 1, 2)
	id := f.order[0]
	bad, failed := "e0", 0
	for no := uint64(1); no < 80; no += 2 {
		f.arrive(id, no, engines, "a", 500)
		f.arrive(id, no+1, engines, "a", 3000)
		f.run(120 * time.Millisecond)
		for _, each := range []uint64{no, no + 1} {
			event := wire.ProgressDone
			if f.placed(id, each).Instance.ID == bad {
				event = wire.ProgressFailed
				failed++
			} else {
				f.nodes[id].Step(FirstEvent{ID: each, After: map[bool]time.Duration{true: 40, false: 120}[each == no] * time.Millisecond}, f.now)
			}
			f.nodes[id].Step(End{ID: each, Event: event}, f.now)
		}
	}
	assert.GreaterOrEqual(t, failed, 3, "it is tried again")
	assert.LessOrEqual(t, failed, 12, "but seldom")
}

// Routers state their loads every 200 ms; an engine that has prefilled all prompts since then has
// no backlog. Load pattern: many short prompts for engines that prefill them at once.
func TestPrefilledPromptsAreNoBacklog(t *testing.T) {
	f := newFleet(t, 3, 1)
	s, id := f.scheduler(), f.other()
	f.run(heartbeatInterval - 3*TickInterval) // the requests are running when heartbeats are sent
	for no := uint64(1); no <= 5; no++ {
		f.arrive(id, no, engines, "a", 2000)
		f.placed(id, no)
	}
	f.run(heartbeatInterval)
	for no := uint64(1); no <= 5; no++ {
		f.nodes[id].Step(FirstEvent{ID: no, After: 90 * time.Millisecond}, f.now)
	}
	f.run(2 * TickInterval)
	p := f.nodes[s].pools[serviceID(engines)]
	assert.Zero(t, p.order[0].backlog(p.learner.Model(), f.now))
	assert.Equal(t, 5, p.order[0].running())
}

// The placements of a former scheduler are stated to the next one.
func TestRunsOfAFormerSchedulerAreStated(t *testing.T) {
	f := newFleet(t, 3, 1)
	s, id := f.scheduler(), f.other()
	for no := uint64(1); no <= 5; no++ {
		f.arrive(id, no, engines, "a", 1000)
		f.placed(id, no)
	}
	n := New(Settings{ID: s, Inc: 2, Place: "p", Seeds: []wire.NodeID{id}, Retry: DefaultRetryRules}, f.now)
	n.Step(Catalogue{Table: table(t, 390_000), Instances: instances(1), Revision: 5, AsOf: 9}, f.now)
	f.nodes[s] = n
	f.run(3 * heartbeatInterval)
	assert.Equal(t, 5, n.pools[serviceID(engines)].order[0].running())
	assert.Positive(t, n.pools[serviceID(engines)].order[0].backlog(prefill.Prior, f.now))
}

func TestRetryAvoidsTheFailedUpstream(t *testing.T) {
	f := newFleet(t, 1, 2)
	id := f.order[0]
	f.arrive(id, 1, engines, "a", 500)
	first := f.placed(id, 1).Instance.ID
	f.nodes[id].Step(PlaceAgain{ID: 1, Event: wire.ProgressFailed}, f.now)
	f.deliver()
	assert.NotEqual(t, first, f.placed(id, 1).Instance.ID)
}

func TestCacheEvictsLeastRecentlyUsed(t *testing.T) {
	c := newCache(100)
	c.add(1, 40, true, start)
	c.add(2, 40, true, start)
	c.add(1, 40, true, start)
	c.add(3, 40, false, start)
	c.fit(0)
	assert.Equal(t, 40, readyTokensOf(c, []wire.PromptPart{{Part: 1, Tokens: 40}, {Part: 2, Tokens: 40}}))
	assert.Zero(t, readyTokensOf(c, []wire.PromptPart{{Part: 3, Tokens: 40}}), "not prefilled yet")
	assert.Equal(t, 40, cachedTokensOf(c, []wire.PromptPart{{Part: 3, Tokens: 40}}))
	c.fit(80)
	assert.Zero(t, readyTokensOf(c, []wire.PromptPart{{Part: 1, Tokens: 40}}), "running requests need the memory")
}

func TestNewerContentIsFetchedFromAPeer(t *testing.T) {
	f := newFleet(t, 2, 2)
	a, b := f.order[0], f.order[1]
	f.nodes[a].Step(Catalogue{Table: table(t, 1), Instances: instances(2), Revision: 20, AsOf: 20}, f.now)
	fetched := false
	for range 100 {
		f.now = f.now.Add(TickInterval)
		for _, id := range f.order {
			f.nodes[id].Tick(f.now)
			for _, o := range f.nodes[id].Ready(f.now) {
				switch o := o.(type) {
				case Send:
					o.Datagram.From = id
					f.nodes[o.To].Step(Receive{Datagram: o.Datagram}, f.now)
				case FetchContent:
					assert.Equal(t, a, o.From)
					fetched = id == b
				}
			}
		}
	}
	assert.True(t, fetched)
}

// Prompts of running requests are cached parts themselves. When they were counted twice, a busy
// engine seemed to have nothing cached, and parts were prefilled again elsewhere.
func TestRunningPromptsAreNotCountedTwice(t *testing.T) {
	u := newUpstream(routing.Instance{ID: "e"}, &routing.Engine{Slots: 64, MemoryTokens: 200_000})
	shared := wire.PromptPart{Part: 1, Tokens: 6000}
	for i := range 20 {
		own := wire.PromptPart{Part: uint64(100 + i), Tokens: 2000}
		u.placeRun(&run{key: runKey{"a", uint64(i)}, tokens: 2050, outputTokens: 50, parts: []wire.PromptPart{shared, own}}, start)
	}
	assert.Equal(t, 20*2050, u.memory())
	assert.Equal(t, 46_000, u.cache.used)
	assert.Equal(t, 6000, cachedTokensOf(u.cache, []wire.PromptPart{shared}))
}

// Every upstream of a plain service fails almost half of its requests, so that all are ejected at
// times. Refusing all requests during that time would help nobody.
func TestEjectedUpstreamIsTriedIfAllAreEjected(t *testing.T) {
	f := newFleet(t, 1, 2)
	id := f.order[0]
	for _, service := range []string{counter, engines} {
		for _, u := range f.nodes[id].pools[serviceID(service)].order {
			u.ejection.recordFailure(f.now)
			u.ejection.recordFailure(f.now)
			require.True(t, u.ejection.active(f.now))
		}
	}
	f.arrive(id, 1, counter, "a", 0)
	f.placed(id, 1)
	f.arrive(id, 2, engines, "a", 100)
	f.placed(id, 2)
	f.nodes[id].pools[serviceID(counter)].order[1].ejection = ejection{}
	f.arrive(id, 3, counter, "a", 0)
	assert.Equal(t, f.nodes[id].pools[serviceID(counter)].order[1].inst.ID, f.placed(id, 3).Instance.ID, "upstreams that are not ejected go first")
}

// In a large fleet the routers learn of each other's use of a plain service too late to place
// requests by themselves.
func TestLargeFleetPlacesPlainWorkAtOneRouter(t *testing.T) {
	f := newFleet(t, meshMaxRouters+4, 2)
	by := map[wire.NodeID]bool{}
	load := map[string]int{}
	for i, id := range f.order {
		f.arrive(id, uint64(i), counter, "a", 0)
		p := f.placed(id, uint64(i))
		by[p.By] = true
		load[p.Instance.ID]++
	}
	assert.Len(t, by, 1)
	assert.InDelta(t, load["c0"], load["c1"], 2)
	small := newFleet(t, 4, 2)
	for i, id := range small.order {
		small.arrive(id, uint64(i), counter, "a", 0)
		assert.Equal(t, id, small.placed(id, uint64(i)).By)
	}
}

// One of two plain upstreams becomes three times slower than its service, which answers in 15 ms.
// It must get the smaller part of the requests.
func TestSlowPlainUpstreamGetsLess(t *testing.T) {
	f := newFleet(t, 1, 2)
	id := f.order[0]
	got := map[string]int{}
	var open []uint64
	for no := uint64(1); no <= 300; no++ {
		f.arrive(id, no, counter, "a", 0)
		p := f.placed(id, no)
		if no > 200 {
			got[p.Instance.ID]++
		}
		after := 15 * time.Millisecond
		if p.Instance.ID == "c0" && no > 100 {
			after *= 3
		}
		open = append(open, no)
		f.nodes[id].Step(FirstEvent{ID: no, After: after}, f.now)
		if len(open) > 4 { // four at a time
			f.nodes[id].Step(End{ID: open[0], Event: wire.ProgressDone}, f.now)
			open = open[1:]
		}
		f.run(TickInterval)
	}
	assert.Greater(t, float64(got["c1"]), 1.4*float64(got["c0"]), "%v", got)
}
