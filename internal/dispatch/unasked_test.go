package dispatch

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/silverswitch/silverswitch/internal/version"
)

// One organisation's callers came in at a
// small router, which refused most of them at its door. The scheduler did not know
// of those, took the organisation for one that asked for little, and gave what was
// left to another one.
func TestWorkRefusedAtTheDoorCountsAsAskedFor(t *testing.T) {
	f := newFleet(t, 3, 2)
	sched := f.nodes[f.scheduler()]
	p := sched.pools[serviceID(engines)]
	const window = 390_000 * 4
	p.meter.ask(2, window, f.now) // another one asks for everything there is
	p.meter.grant(2, window, f.now)
	assert.InDelta(t, 1, p.meter.over(2, f.now), 0.01)
	f.nodes[f.other()].Step(LoadShed{Work: []ShedWork{{Service: engines, Org: "shed", Tokens: window}}}, f.now)
	f.run(2 * unaskedEvery)
	assert.InDelta(t, 2, p.meter.over(2, f.now), 0.1, "half of it is the other's share")
	f.nodes[f.other()].Step(LoadShed{Work: []ShedWork{{Service: counter, Org: "shed", Tokens: 1}, {Service: "unknown", Org: "shed", Tokens: 1}}}, f.now)
	f.run(2 * unaskedEvery) // plain and unknown services have no shares
}

// A router that is late itself takes its
// scheduler for silent, decides by its own model, and places two thirds of a
// flood beyond the organisation's share; the scheduler never heard of it.
func TestLateRouterPlacesNothingBeyondTheShare(t *testing.T) {
	f := newFleet(t, 3, 2)
	id, sched := f.other(), f.nodes[f.scheduler()]
	p := sched.pools[serviceID(engines)]
	org := version.IDOf("flood")
	p.meter.ask(version.IDOf("other"), 390_000*4, f.now)
	p.meter.ask(org, 390_000*8, f.now)
	p.meter.grant(org, 390_000*4, f.now)
	f.arrive(id, 1, engines, "flood", 4000)
	require.Contains(t, f.got[id], uint64(1))
	// From here on the scheduler's answers do not come in time.
	f.cut[f.scheduler()] = true
	f.arrive(id, 2, engines, "flood", 4000)
	f.arrive(id, 3, engines, "small", 4000)
	f.run(minPlacementTimeout + 3*TickInterval)
	r, refused := f.got[id][2].(Refuse)
	require.True(t, refused, "%#v", f.got[id][2])
	assert.Equal(t, ReasonCapacity, r.Reason)
	assert.Positive(t, r.After)
	assert.Equal(t, id, f.placed(id, 3).By, "an organisation that has not had its share is served")
	f.run(wordFor)
	f.arrive(id, 4, engines, "flood", 4000)
	f.run(minPlacementTimeout + 3*TickInterval)
	f.placed(id, 4) // an old word does not hold for ever
}

// What a router places by itself counts in the shares of the next scheduler.
func TestOwnPlacementsCountInShares(t *testing.T) {
	f := newFleet(t, 3, 2)
	id, sched := f.other(), f.scheduler()
	f.cut[sched] = true
	f.arrive(id, 1, engines, "own", 4000)
	f.run(minPlacementTimeout + 3*TickInterval)
	f.placed(id, 1)
	delete(f.cut, sched)
	f.run(2 * unaskedEvery)
	got := 0.0
	for _, n := range f.nodes {
		if u := n.pools[serviceID(engines)].meter.orgs[version.IDOf("own")]; u != nil {
			got = max(got, total(&u.got))
		}
	}
	assert.GreaterOrEqual(t, got, Cost(4000, 50))
}
