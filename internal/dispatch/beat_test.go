package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/silverswitch/silverswitch/internal/core/wire"
)

// countSends runs a fleet and returns the datagrams that each router sent a second.
func (f *fleet) countSends(d time.Duration) map[wire.NodeID]float64 {
	f.sends = map[wire.NodeID]int{}
	f.run(d)
	out := map[wire.NodeID]float64{}
	for id, n := range f.sends {
		out[id] = float64(n) / d.Seconds()
	}
	return out
}

// Load pattern: nothing but regular messages, in fleets of 20 and 60 routers. Each router
// told every other one, 40 datagrams a second in either; now only those do who schedule or
// read the store, and what the others send does not grow.
func TestRegularMessagesStayFewInALargeFleet(t *testing.T) {
	for _, routers := range []int{20, 60} {
		f := newFleet(t, routers, 2)
		f.see(4 * time.Second)
		n := f.nodes[f.order[0]]
		tellers := n.tellers(n.heirs(f.now), f.now)
		assert.LessOrEqual(t, len(tellers), 3*heirCount)
		for id, rate := range f.countSends(5 * time.Second) {
			most := 14.0 // ten to heirs, a probe and answers to probes
			if contains(tellers, id) {
				most += float64(time.Second / beatPerRouter)
			}
			assert.LessOrEqual(t, rate, most, "%d routers, %s", routers, id)
		}
	}
}

func contains(ids []wire.NodeID, id wire.NodeID) bool {
	for _, x := range ids {
		if x == id {
			return true
		}
	}
	return false
}

// Everyone hears of a reading of the store well before it looks for itself.
func TestReadingsReachEveryRouterOfALargeFleetInTime(t *testing.T) {
	f := newFleet(t, 60, 2)
	f.see(6 * time.Second)
	for range 80 {
		for _, id := range f.order {
			if n := f.nodes[id]; n.IsWatcher(f.now) && f.now.Sub(n.store.at) >= sightEvery {
				n.Step(Sighted{}, f.now)
			}
		}
		f.run(50 * time.Millisecond)
		for _, id := range f.order {
			require.Less(t, f.now.Sub(f.nodes[id].store.at), sightLimit(60)*4/5, id)
		}
	}
}

// What runs is known to the heirs within a second, whatever the fleet's size.
func TestHeirsOfALargeFleetKnowWhatRuns(t *testing.T) {
	f := newFleet(t, 60, 2)
	ranked := f.nodes[f.order[0]].ranked(serviceID(engines), f.now)
	f.arrive(ranked[len(ranked)-1], 1, engines, "a", 2000)
	f.run(heirEvery + 500*time.Millisecond)
	assert.Equal(t, 1, f.runningAt(ranked[1]))
}

func (f *fleet) runningAt(id wire.NodeID) (running int) {
	for _, u := range f.nodes[id].pools[serviceID(engines)].ups {
		running += u.running()
	}
	return running
}

// A router that starts again and takes the scheduler's role is told at once what all
// others run.
func TestRestartedSchedulerOfALargeFleetKnowsWhatRuns(t *testing.T) {
	f := newFleet(t, 20, 2)
	ranked := f.nodes[f.order[0]].ranked(serviceID(engines), f.now)
	first, last := ranked[0], ranked[len(ranked)-1]
	f.cut[first] = true
	f.run(5 * time.Second)
	for no := range 6 {
		f.arrive(last, uint64(no+1), engines, "a", 2000)
	}
	f.run(20 * time.Millisecond)
	f.cut[first] = false
	f.restart(first)
	for f.nodes[last].schedulerOf(serviceID(engines), f.now) != first {
		f.run(TickEvery)
	}
	f.run(fetchSpread + 2*TickEvery)
	assert.Equal(t, 6, f.runningAt(first))
}

// restart replaces a router by a process that knows only its seeds.
func (f *fleet) restart(id wire.NodeID) {
	old := f.nodes[id]
	set := old.set
	set.Inc++
	n := New(set, f.now)
	n.Step(wholeCatalogue(old), f.now)
	f.nodes[id] = n
}

// The slack of the retry budget is given once: all parts together are the whole, and a
// router that has heard of nobody's requests takes none by demand.
func TestSlackIsGivenOnceInALargeFleet(t *testing.T) {
	f := newFleet(t, 30, 2)
	no := uint64(0)
	for i, id := range f.order {
		for range 1 + i%5 {
			no++
			f.arrive(id, no, counter, "a", 0)
		}
	}
	sum := func() (all float64) {
		for _, id := range f.order {
			all += f.nodes[id].demandOf(serviceID(counter), f.now)
		}
		return all
	}
	f.run(2 * time.Second)
	assert.InDelta(t, 1, sum(), 0.1)
	n := New(Settings{ID: "10.1.1.1:1", Inc: 2, Place: "p", Seeds: []wire.NodeID{f.order[0]}, Retry: DefaultRetryRules}, f.now)
	n.budget(serviceID(counter)).request(f.now)
	for _, id := range f.order {
		n.Step(Receive{Datagram: &wire.Datagram{From: id, Inc: 1}}, f.now)
	}
	assert.Zero(t, n.demandOf(serviceID(counter), f.now))
	n.Step(Receive{Datagram: &wire.Datagram{From: f.order[0], Inc: 1, Dispatch: &wire.Dispatch{FleetDemand: []wire.ServiceDemand{{Service: serviceID(counter), Requests: 4}}}}}, f.now)
	assert.InDelta(t, 0.25, n.demandOf(serviceID(counter), f.now), 0.01)
}

// Load pattern: all routers of a large fleet start together, before the operators' first
// table. The seeds read the store; the others wait to hear of it, and look for themselves
// when they hear nothing.
func TestStartersLeaveTheStoreToTheSeeds(t *testing.T) {
	seeds := []wire.NodeID{"10.1.0.0:1", "10.1.0.1:1"}
	at := func(id wire.NodeID) *Node {
		return New(Settings{ID: id, Inc: 1, Place: "p", Seeds: seeds, First: true, Seed: 3}, start)
	}
	assert.True(t, at(seeds[0]).Watches(start))
	n := at("10.1.0.9:1")
	assert.False(t, n.Watches(start))
	assert.True(t, n.Watches(start.Add(firstLookLeast+firstLookSpread)), "nobody is heard")
	n.Step(Receive{Datagram: &wire.Datagram{From: seeds[0], Inc: 1, Dispatch: &wire.Dispatch{Reading: &wire.StoreReading{Reader: seeds[0], Inc: 1, No: 1}}}}, start)
	assert.False(t, n.Watches(start.Add(settleFor-time.Millisecond)))
	assert.True(t, n.Watches(start.Add(10*time.Second)), "the seeds read it no more")
}

// Load pattern: all routers lose power under load, and the seeds come back last. The others
// read the store themselves within a third of a second, once; of many only a few do before
// they can have heard of the first one's reading.
func TestRoutersThatStartAgainReadTheStoreSoon(t *testing.T) {
	early := 0
	for seed := range uint64(585) {
		n := New(Settings{ID: "10.1.0.9:1", Inc: 1, Place: "p", Seeds: []wire.NodeID{"10.1.0.0:1"}, Seed: seed}, start)
		if n.Watches(start.Add(againLookMost / 2)) {
			early++
		}
		require.True(t, n.Watches(start.Add(againLookMost)))
		n.Step(Sighted{}, start)
		require.False(t, n.Watches(start.Add(settleFor-time.Millisecond)))
	}
	assert.Greater(t, early, 10)
	assert.Less(t, early, 70)
	seed := New(Settings{ID: "10.1.0.9:1", Inc: 1, Place: "p", Seeds: []wire.NodeID{"10.1.0.9:1"}}, start)
	assert.True(t, seed.Watches(start), "a seed at once")
}

// All routers lose power and start again together: a few list the store, and all others read
// its content from them. Each of 585 listed 6,000 entries, 12 calls for each.
func TestFleetThatStartsAgainListsTheStoreAFewTimes(t *testing.T) {
	for _, listing := range []time.Duration{80 * time.Millisecond, 700 * time.Millisecond} {
		startAgain(t, listing)
	}
}

// startAgain starts a fleet again, in which a listing takes a time.
func startAgain(t *testing.T, listing time.Duration) {
	const routers = 60
	f := newPlacedFleet(t, routers, 5)
	for i, id := range f.order {
		set := f.nodes[id].set
		set.Inc, set.Seed = 2, uint64(1000+i)
		f.nodes[id] = New(set, f.now)
	}
	take := func(id wire.NodeID) {
		f.nodes[id].Step(Catalogue{Table: table(t, 390_000), Instances: instances(4), Revision: 5, AsOf: 9}, f.now)
	}
	f.onFetch = func(id, from wire.NodeID) {
		if f.nodes[from].cat.Table != nil {
			take(id)
		}
	}
	began := map[wire.NodeID]time.Time{}
	for range 60 + int(listing/TickEvery) {
		f.run(TickEvery)
		for _, id := range f.order {
			at, lists := began[id]
			switch {
			case !lists && f.nodes[id].cat.Table == nil && f.nodes[id].Watches(f.now):
				began[id] = f.now
			case lists && f.nodes[id].cat.Table == nil && f.now.Sub(at) >= listing:
				take(id)
				f.nodes[id].Step(Sighted{Whole: true}, f.now)
			}
		}
	}
	for _, id := range f.order {
		require.NotNil(t, f.nodes[id].cat.Table, id)
	}
	t.Logf("%s: %d listings", listing, len(began))
	assert.Less(t, len(began), routers/3)
}
