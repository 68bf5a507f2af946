package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/silverswitch/silverswitch/internal/core/wire"
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
	f.nodes[id].Step(FirstEvent{ID: 1, After: 100 * time.Millisecond}, f.now)
	delete(f.cut, sched)
	f.run(2 * localUsageInterval)
	assert.GreaterOrEqual(t, f.granted("own"), Cost(4000, 50))
}

// A router starved of CPU placed 431,000 tokens of a flood by itself in one second, of which few
// were sent before their callers left. As placements they used up the organisation's share, and
// the scheduler refused its retries at other routers.
func TestLocalPlacementCountsWhenItStarts(t *testing.T) {
	f := newFleet(t, 3, 2)
	id, sched := f.other(), f.scheduler()
	f.nodes[id].Step(CPUOverload{On: true}, f.now)
	f.run(TickInterval)
	f.cut[sched] = true
	f.arrive(id, 1, engines, "own", 4000)
	f.run(minPlacementTimeout + 3*TickInterval)
	f.placed(id, 1)
	delete(f.cut, sched)
	f.nodes[id].Step(LoadShed{Work: []ShedWork{{Service: engines, Org: "own", Tokens: 4000}}}, f.now) // it has demand
	f.run(2 * localUsageInterval)
	assert.Zero(t, f.grantedBy(sched, "own"))
	f.nodes[id].Step(FirstEvent{ID: 1, After: time.Second}, f.now)
	f.run(2 * localUsageInterval)
	assert.InDelta(t, Cost(4000, 50), f.grantedBy(sched, "own"), 1)
}

// The same for what a scheduler grants to such a router: once its engine has started a request
// that was placed later, it counts again only when it has started.
func TestGrantThatIsNotSentIsTakenBack(t *testing.T) {
	f := newFleet(t, 3, 1)
	id, sched := f.other(), f.scheduler()
	f.arrive(id, 1, engines, "own", 4000)
	f.placed(id, 1)
	f.run(2 * maxStartDelay)
	assert.InDelta(t, Cost(4000, 50), f.grantedBy(sched, "own"), 1, "its engine has started nothing")
	f.arrive(sched, 2, engines, "other", 4000)
	f.nodes[sched].Step(FirstEvent{ID: 2, After: 100 * time.Millisecond}, f.now)
	f.run(2 * localUsageInterval)
	assert.Zero(t, f.grantedBy(sched, "own"))
	f.nodes[id].Step(FirstEvent{ID: 1, After: 2 * time.Second}, f.now)
	f.run(2 * localUsageInterval)
	assert.InDelta(t, Cost(4000, 50), f.grantedBy(sched, "own"), 1)
	f.nodes[id].Step(End{ID: 1, Event: wire.ProgressFailed}, f.now)
	f.run(2 * localUsageInterval)
	assert.InDelta(t, Cost(4000, 50), f.grantedBy(sched, "own"), 1, "it started")
}

// granted returns the most tokens that any router counts as granted to an organisation.
func (f *fleet) granted(org string) float64 {
	most := 0.0
	for _, id := range f.order {
		most = max(most, f.grantedBy(id, org))
	}
	return most
}

// grantedBy returns the tokens that a router counts as granted to an organisation.
func (f *fleet) grantedBy(id wire.NodeID, org string) float64 {
	u := f.nodes[id].pools[serviceID(engines)].meter.orgs[version.IDOf(org)]
	if u == nil {
		return 0
	}
	return windowTotal(&u.got)
}

// A starved router placed 2.4 million tokens of a flood in three seconds, twice the organisation's
// share, because what its callers left was taken back at once.
func TestOverloadedRouterKeepsCountOfWhatItDidNotSend(t *testing.T) {
	f := newFleet(t, 3, 4)
	id := f.other()
	p := f.nodes[id].pools[serviceID(engines)]
	local := func() float64 { return windowTotal(&p.local.at(version.IDOf("own"), f.now).got) }
	f.arrive(id, 1, engines, "own", 4000)
	f.nodes[id].Step(End{ID: 1, Event: wire.ProgressUnused}, f.now)
	assert.Zero(t, local())
	f.nodes[id].Step(CPUOverload{On: true}, f.now)
	f.run(TickInterval)
	for no, event := range []uint8{wire.ProgressUnused, wire.ProgressFailed, wire.ProgressRefused} {
		f.arrive(id, uint64(2+no), engines, "own", 4000)
		f.nodes[id].Step(End{ID: uint64(2 + no), Event: event}, f.now)
	}
	assert.InDelta(t, 3*Cost(4000, 50), local(), 1)
	f.run(shareSteps * shareStep)
	assert.Zero(t, local())
}
