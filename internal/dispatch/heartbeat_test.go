package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/silverswitch/silverswitch/internal/core/wire"
)

// sendRates runs a fleet and returns the datagrams per second that each router sent.
func (f *fleet) sendRates(d time.Duration) map[wire.NodeID]float64 {
	f.sends = map[wire.NodeID]int{}
	f.run(d)
	out := map[wire.NodeID]float64{}
	for id, n := range f.sends {
		out[id] = float64(n) / d.Seconds()
	}
	return out
}

// Load pattern: only heartbeats, in fleets of 20 and 60 routers. With a full mesh each router
// sends 40 datagrams a second in either. Only schedulers and watchers may send to every router,
// and what the others send must not grow with the fleet.
func TestHeartbeatRateIsBoundedInALargeFleet(t *testing.T) {
	t.Parallel()
	for _, routers := range []int{20, 60} {
		f := newFleet(t, routers, 2)
		f.runReadingStore(4 * time.Second)
		n := f.nodes[f.order[0]]
		announcers := n.announcers(n.groupMembers(f.now), f.now)
		assert.LessOrEqual(t, len(announcers), 3*schedulerGroupSize)
		for id, rate := range f.sendRates(5 * time.Second) {
			maxRate := 14.0 // ten heartbeats to scheduler groups, a probe and answers to probes
			if contains(announcers, id) {
				maxRate += float64(time.Second / heartbeatIntervalPerRouter)
			}
			assert.LessOrEqual(t, rate, maxRate, "%d routers, %s", routers, id)
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

// Every router must receive a reading of the store well before it would read the store itself.
func TestReadingsReachEveryRouterOfALargeFleetInTime(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 60, 2)
	f.runReadingStore(6 * time.Second)
	for range 80 {
		for _, id := range f.order {
			if n := f.nodes[id]; n.IsWatcher(f.now) && f.now.Sub(n.store.at) >= storeReadInterval {
				n.Step(StoreRead{}, f.now)
			}
		}
		f.run(50 * time.Millisecond)
		for _, id := range f.order {
			require.Less(t, f.now.Sub(f.nodes[id].store.at), maxReadingAge(60)*4/5, id)
		}
	}
}

// Scheduler groups know all running requests within a second, whatever the fleet's size.
func TestSchedulerGroupKnowsLoadsInALargeFleet(t *testing.T) {
	f := newFleet(t, 60, 2)
	ranked := f.nodes[f.order[0]].ranked(serviceID(engines), f.now)
	f.arrive(ranked[len(ranked)-1], 1, engines, "a", 2000)
	f.run(groupHeartbeatInterval + 500*time.Millisecond)
	assert.Equal(t, 1, f.runningAt(ranked[1]))
}

func (f *fleet) runningAt(id wire.NodeID) (running int) {
	for _, u := range f.nodes[id].pools[serviceID(engines)].upstreams {
		running += u.running()
	}
	return running
}

// A router that restarts and becomes the scheduler must receive the loads of all others at once.
func TestRestartedSchedulerReceivesLoadsInALargeFleet(t *testing.T) {
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
		f.run(TickInterval)
	}
	f.run(fetchJitter + 2*TickInterval)
	assert.Equal(t, 6, f.runningAt(first))
}

// restart replaces a router by a new process that knows only its seeds.
func (f *fleet) restart(id wire.NodeID) {
	old := f.nodes[id]
	settings := old.settings
	settings.Inc++
	n := New(settings, f.now)
	n.Step(wholeCatalogue(old), f.now)
	f.nodes[id] = n
}

// The slack of the retry budget is granted once: the fractions of all routers sum to one, and a
// router that knows of no other router's requests gets none by demand.
func TestRetrySlackIsSharedOnceInALargeFleet(t *testing.T) {
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
			all += f.nodes[id].demandRatio(serviceID(counter), f.now)
		}
		return all
	}
	f.run(2 * time.Second)
	assert.InDelta(t, 1, sum(), 0.1)
	n := New(Settings{ID: "10.1.1.1:1", Inc: 2, Place: "p", Seeds: []wire.NodeID{f.order[0]}, Retry: DefaultRetryRules}, f.now)
	n.budget(serviceID(counter)).countRequest(f.now)
	for _, id := range f.order {
		n.Step(Receive{Datagram: &wire.Datagram{From: id, Inc: 1}}, f.now)
	}
	assert.Zero(t, n.demandRatio(serviceID(counter), f.now))
	n.Step(Receive{Datagram: &wire.Datagram{From: f.order[0], Inc: 1, Dispatch: &wire.Dispatch{FleetDemand: []wire.ServiceDemand{{Service: serviceID(counter), Requests: 4}}}}}, f.now)
	assert.InDelta(t, 0.25, n.demandRatio(serviceID(counter), f.now), 0.01)
}

// Load pattern: all routers of a large fleet start together, before the operators' first table.
// The seeds read the store; the others wait for their readings, and read the store themselves
// if none come.
func TestStartingRoutersLeaveTheStoreToTheSeeds(t *testing.T) {
	seeds := []wire.NodeID{"10.1.0.0:1", "10.1.0.1:1"}
	at := func(id wire.NodeID) *Node {
		return New(Settings{ID: id, Inc: 1, Place: "p", Seeds: seeds, First: true, Seed: 3}, start)
	}
	assert.True(t, at(seeds[0]).Watches(start))
	n := at("10.1.0.9:1")
	assert.False(t, n.Watches(start))
	assert.True(t, n.Watches(start.Add(minFirstReadDelay+firstReadJitter)), "no other router is known")
	n.Step(Receive{Datagram: &wire.Datagram{From: seeds[0], Inc: 1, Dispatch: &wire.Dispatch{Reading: &wire.StoreReading{Reader: seeds[0], Inc: 1, No: 1}}}}, start)
	assert.False(t, n.Watches(start.Add(watchSettleDelay-time.Millisecond)))
	assert.True(t, n.Watches(start.Add(10*time.Second)), "the seeds no longer read it")
}

// Load pattern: all routers lose power under load, and the seeds come back last. The others read
// the store themselves within a third of a second, once. In a large fleet only a few of them
// read it before they can have received the first one's reading.
func TestRestartedRoutersReadTheStoreSoon(t *testing.T) {
	early := 0
	for seed := range uint64(585) {
		n := New(Settings{ID: "10.1.0.9:1", Inc: 1, Place: "p", Seeds: []wire.NodeID{"10.1.0.0:1"}, Seed: seed}, start)
		if n.Watches(start.Add(maxRestartReadDelay / 2)) {
			early++
		}
		require.True(t, n.Watches(start.Add(maxRestartReadDelay)))
		n.Step(StoreRead{}, start)
		require.False(t, n.Watches(start.Add(watchSettleDelay-time.Millisecond)))
	}
	assert.Greater(t, early, 10)
	assert.Less(t, early, 70)
	seed := New(Settings{ID: "10.1.0.9:1", Inc: 1, Place: "p", Seeds: []wire.NodeID{"10.1.0.9:1"}}, start)
	assert.True(t, seed.Watches(start), "a seed reads it at once")
}

// All routers lose power and restart together: a few must list the store, and all others fetch
// its content from these. Each of 585 routers listed 6,000 entries in 12 calls.
func TestRestartedFleetListsTheStoreAFewTimes(t *testing.T) {
	for _, listing := range []time.Duration{80 * time.Millisecond, 700 * time.Millisecond} {
		restartFleet(t, listing)
	}
}

// restartFleet restarts a whole fleet in which a listing takes a given time.
func restartFleet(t *testing.T, listing time.Duration) {
	const routers = 60
	f := newMultiPlaceFleet(t, routers, 5)
	for i, id := range f.order {
		settings := f.nodes[id].settings
		settings.Inc, settings.Seed = 2, uint64(1000+i)
		f.nodes[id] = New(settings, f.now)
	}
	take := func(id wire.NodeID) {
		f.nodes[id].Step(Catalogue{Table: table(t, 390_000), Instances: instances(4), Revision: 5, AsOf: 9}, f.now)
	}
	f.onFetch = func(id, from wire.NodeID) {
		if f.nodes[from].catalogue.Table != nil {
			take(id)
		}
	}
	began := map[wire.NodeID]time.Time{}
	for range 60 + int(listing/TickInterval) {
		f.run(TickInterval)
		for _, id := range f.order {
			at, lists := began[id]
			switch {
			case !lists && f.nodes[id].catalogue.Table == nil && f.nodes[id].Watches(f.now):
				began[id] = f.now
			case lists && f.nodes[id].catalogue.Table == nil && f.now.Sub(at) >= listing:
				take(id)
				f.nodes[id].Step(StoreRead{FullListing: true}, f.now)
			}
		}
	}
	for _, id := range f.order {
		require.NotNil(t, f.nodes[id].catalogue.Table, id)
	}
	t.Logf("%s: %d listings", listing, len(began))
	assert.Less(t, len(began), routers/3)
}
