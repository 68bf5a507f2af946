package dispatch

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/silverswitch/silverswitch/internal/core/wire"
	"github.com/silverswitch/silverswitch/internal/routing"
)

// publish gives a router the store's content with some places evacuated.
func (f *fleet) publish(id wire.NodeID, list []routing.Instance, places ...string) {
	n := f.nodes[id]
	c := Catalogue{Table: n.catalogue.Table, Instances: list, Revision: n.catalogue.Revision + 1, AsOf: n.catalogue.AsOf + 1}
	for _, p := range places {
		c.Evacuated = append(c.Evacuated, routing.Evacuation{Place: p, Revision: c.Revision})
	}
	n.Step(c, f.now)
}

func (f *fleet) publishAll(list []routing.Instance, places ...string) {
	for _, id := range f.order {
		f.publish(id, list, places...)
	}
	f.deliver()
}

// spreadOverPlaces assigns instances to places in turn.
func spreadOverPlaces(list []routing.Instance, places ...string) []routing.Instance {
	for i := range list {
		list[i].Place = places[i%len(places)]
	}
	return list
}

func TestEvacuatedPlaceGetsNothing(t *testing.T) {
	f := newFleet(t, 3, 6)
	list := spreadOverPlaces(instances(6), "p", "q")
	f.publishAll(list, "p")
	for i := range 60 {
		id, service := f.order[i%3], []string{engines, counter}[i%2]
		f.arrive(id, uint64(i+1), service, "a", 500)
		assert.Equal(t, "q", f.placed(id, uint64(i+1)).Instance.Place)
	}
	for _, id := range f.order {
		for _, i := range f.nodes[id].ScheduledEngines(f.now) {
			assert.Equal(t, "q", i.Place, "nor is its cache read")
		}
	}
	f.publishAll(list)
	seen := map[string]bool{}
	for i := range 60 {
		id := f.order[i%3]
		f.arrive(id, uint64(i+100), engines, "a", 500)
		seen[f.placed(id, uint64(i+100)).Instance.Place] = true
	}
	assert.True(t, seen["p"], "the place was returned")
}

// Either the router knows of the evacuation and its scheduler does not, or the reverse.
func TestEvacuationKnownToOneSideApplies(t *testing.T) {
	for _, schedulerKnows := range []bool{true, false} {
		f := newFleet(t, 3, 6)
		list := spreadOverPlaces(instances(6), "p", "q")
		f.publishAll(list)
		f.publish(map[bool]wire.NodeID{true: f.scheduler(), false: f.other()}[schedulerKnows], list, "p")
		for i := range 30 {
			f.arrive(f.other(), uint64(i+1), engines, "a", 500)
			assert.Equal(t, "q", f.placed(f.other(), uint64(i+1)).Instance.Place)
		}
	}
}

// A request that was placed and not sent is placed again, which does not count as a retry.
func TestWithdrawnPlacementCostsNoRetry(t *testing.T) {
	f := newFleet(t, 3, 6)
	id := f.other()
	list := spreadOverPlaces(instances(6), "p", "q")
	f.publishAll(list, "q")
	f.arrive(id, 1, engines, "a", 500)
	require.Equal(t, "p", f.placed(id, 1).Instance.Place)
	f.publishAll(list, "p")
	f.nodes[id].Step(UpdateSettings{Retry: RetryRules{Window: time.Second}}, f.now)
	f.nodes[id].Step(PlaceAgain{ID: 1, Event: wire.ProgressUnused}, f.now)
	f.deliver()
	assert.Equal(t, "q", f.placed(id, 1).Instance.Place)
}

func TestServiceWhollyEvacuatedIsRefusedAtOnce(t *testing.T) {
	f := newFleet(t, 3, 4)
	f.publishAll(spreadOverPlaces(instances(4), "p", "q"), "p", "q")
	for i, service := range []string{engines, counter} {
		f.arrive(f.other(), uint64(i+1), service, "a", 500)
		r, refused := f.got[f.other()][uint64(i+1)].(Refuse)
		require.True(t, refused)
		assert.Equal(t, ReasonEvacuated, r.Reason)
		assert.Positive(t, r.After)
	}
}

// Load pattern: two of three engines are evacuated while one organisation floods and another
// asks for an eighth of the flood. By the capacity of all three both were refused alike.
func TestEvacuationReducesShares(t *testing.T) {
	f := newFleet(t, 3, 3)
	list := spreadOverPlaces(instances(3), "p", "q")
	list[2].Place = "q"
	f.publishAll(list)
	whole := f.nodes[f.order[0]].pools[serviceID(engines)].meter.capacity
	f.publishAll(list, "q")
	for _, id := range f.order {
		p := f.nodes[id].pools[serviceID(engines)]
		assert.InDelta(t, whole/3, p.meter.capacity, 1)
		assert.InDelta(t, whole/3, p.local.capacity, 1)
	}
	f.publishAll(list)
	assert.Equal(t, whole, f.nodes[f.order[0]].pools[serviceID(engines)].meter.capacity)
	f.publishAll(list, "p", "q")
	assert.Zero(t, f.nodes[f.order[0]].pools[serviceID(engines)].meter.capacity)
}

func TestPartsAreNotFetchedFromAnEvacuatedPlace(t *testing.T) {
	f := newFleet(t, 2, 4)
	list := spreadOverPlaces(instances(4), "p", "q")
	f.publishAll(list, "q")
	parts := []wire.PromptPart{{Part: 11, Tokens: 6000}}
	id := f.order[0]
	f.arrive(id, 1, engines, "a", 6500, parts...)
	require.Equal(t, "p", f.placed(id, 1).Instance.Place)
	f.nodes[id].Step(FirstEvent{ID: 1, After: 250 * time.Millisecond}, f.now)
	f.run(time.Second)
	f.publishAll(list, "p")
	f.arrive(id, 2, engines, "a", 6500, parts...)
	assert.Equal(t, "q", f.placed(id, 2).Instance.Place)
	assert.Empty(t, f.placed(id, 2).Source)
}

// evacuationDelays returns for each router how long after a change of the store it learned of
// it: the watchers read the store up to gather late, and datagrams are lost.
func evacuationDelays(t *testing.T, routers int, loss float64, seed uint64) []time.Duration {
	const gather = 150 * time.Millisecond // between two readings of the store, internal/process
	rnd := rand.New(rand.NewPCG(seed, 1))
	f := newFleet(t, routers, 2)
	f.runReadingStore(3 * time.Second)
	f.lose = func() bool { return rnd.Float64() < loss }
	began := f.now
	from, to := f.nodes[f.order[0]].catalogue.AsOf, f.nodes[f.order[0]].catalogue.AsOf+1
	delta := &wire.StoreDelta{From: from, To: to, Places: []wire.PlaceEntry{{Place: "p", Evacuated: true, Revision: to}}}
	due := map[wire.NodeID]time.Time{}
	for _, id := range f.watching() {
		due[id] = began.Add(time.Duration(rnd.Int64N(int64(gather))))
	}
	delays := map[wire.NodeID]time.Duration{}
	take := func(id wire.NodeID) {
		if _, known := delays[id]; known {
			return
		}
		delays[id] = f.now.Sub(began)
		n := f.nodes[id]
		n.Step(Catalogue{Table: n.catalogue.Table, Instances: wholeCatalogue(n).Instances, Evacuated: []routing.Evacuation{{Place: "p", Revision: to}}, Revision: to, AsOf: to}, f.now)
	}
	f.onApply = func(id wire.NodeID, _ *wire.StoreDelta) { take(id) }
	f.onFetch = func(id, from wire.NodeID) {
		if _, knows := delays[from]; knows && !f.cut[id] {
			take(id)
		}
	}
	for f.now.Sub(began) < 5*time.Second && len(delays) < routers {
		for id, at := range due {
			if !f.now.Before(at) {
				delete(due, id)
				take(id)
				f.nodes[id].Step(StoreRead{Delta: delta}, f.now)
			}
		}
		f.run(TickInterval)
	}
	var out []time.Duration
	for _, id := range f.order {
		if d, known := delays[id]; known {
			out = append(out, d)
		}
	}
	return out
}

// The last request must arrive within a second of the operators' evacuation; the rest of that
// second is for the store, the network and the connection. 363 routers take half a minute, so
// they run only when EVACUATION_ROUTERS asks for them.
func TestEvacuationIsKnownToAllWithinASecond(t *testing.T) {
	t.Parallel()
	runs := map[int]int{8: 10, 91: 1}
	if routers := intFromEnv(t, "EVACUATION_ROUTERS", 0); routers > 0 {
		runs[routers] = intFromEnv(t, "EVACUATION_RUNS", 1)
	}
	for routers, times := range runs {
		t.Run(fmt.Sprint(routers), func(t *testing.T) {
			for seed := range times {
				delays := evacuationDelays(t, routers, 0.03, uint64(seed))
				require.Len(t, delays, routers)
				last := time.Duration(0)
				for _, d := range delays {
					last = max(last, d)
				}
				t.Logf("the last of %d routers learned of it after %s", routers, last)
				assert.LessOrEqual(t, last, time.Second-50*time.Millisecond)
			}
		})
	}
}
