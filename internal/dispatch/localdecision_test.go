package dispatch

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/silverswitch/silverswitch/internal/version"
)

// One organisation's requests arrived at a small router, which shed most of them. The
// scheduler did not know of those, took the organisation for one with little demand, and
// granted the rest of the capacity to another one.
func TestShedWorkCountsAsDemand(t *testing.T) {
	f := newFleet(t, 3, 2)
	sched := f.nodes[f.scheduler()]
	p := sched.pools[serviceID(engines)]
	const window = 390_000 * 4
	p.meter.addRequest(2, window, f.now) // another organisation requests the whole capacity
	p.meter.addGrant(2, window, f.now)
	assert.InDelta(t, 1, p.meter.usedShare(2, f.now), 0.01)
	f.nodes[f.other()].Step(LoadShed{Work: []ShedWork{{Service: engines, Org: "shed", Tokens: window}}}, f.now)
	f.run(2 * localUsageInterval)
	assert.InDelta(t, 2, p.meter.usedShare(2, f.now), 0.1, "half of the capacity is the other organisation's share")
	f.nodes[f.other()].Step(LoadShed{Work: []ShedWork{{Service: counter, Org: "shed", Tokens: 1}, {Service: "unknown", Org: "shed", Tokens: 1}}}, f.now)
	f.run(2 * localUsageInterval) // plain and unknown services have no shares
}

// An overloaded router takes its scheduler for failed and decides by its own model. It
// placed two thirds of a flood beyond the organisation's share, and the scheduler never
// learned of it.
func TestRouterWithoutSchedulerPlacesNothingOverShare(t *testing.T) {
	f := newFleet(t, 3, 2)
	id, sched := f.other(), f.nodes[f.scheduler()]
	p := sched.pools[serviceID(engines)]
	org := version.IDOf("flood")
	p.meter.addRequest(version.IDOf("other"), 390_000*4, f.now)
	p.meter.addRequest(org, 390_000*8, f.now)
	p.meter.addGrant(org, 390_000*4, f.now)
	f.arrive(id, 1, engines, "flood", 4000)
	require.Contains(t, f.got[id], uint64(1))
	// From here on the scheduler's replies do not arrive in time.
	f.cut[f.scheduler()] = true
	f.arrive(id, 2, engines, "flood", 4000)
	f.arrive(id, 3, engines, "small", 4000)
	f.run(minPlacementTimeout + 3*TickInterval)
	r, refused := f.got[id][2].(Refuse)
	require.True(t, refused, "%#v", f.got[id][2])
	assert.Equal(t, ReasonCapacity, r.Reason)
	assert.Positive(t, r.After)
	assert.Equal(t, id, f.placed(id, 3).By, "an organisation under its share is served")
	f.run(overShareTTL)
	f.arrive(id, 4, engines, "flood", 4000)
	f.run(minPlacementTimeout + 3*TickInterval)
	f.placed(id, 4) // the share update has expired
}

// What a router places by local decisions counts in the shares of the next scheduler.
func TestLocalPlacementsCountInShares(t *testing.T) {
	f := newFleet(t, 3, 2)
	id, sched := f.other(), f.scheduler()
	f.cut[sched] = true
	f.arrive(id, 1, engines, "own", 4000)
	f.run(minPlacementTimeout + 3*TickInterval)
	f.placed(id, 1)
	delete(f.cut, sched)
	f.run(2 * localUsageInterval)
	got := 0.0
	for _, n := range f.nodes {
		if u := n.pools[serviceID(engines)].meter.orgs[version.IDOf("own")]; u != nil {
			got = max(got, windowTotal(&u.got))
		}
	}
	assert.GreaterOrEqual(t, got, Cost(4000, 50))
}
