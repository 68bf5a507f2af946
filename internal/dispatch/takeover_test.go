package dispatch

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/silverswitch/silverswitch/internal/core/wire"
	"github.com/silverswitch/silverswitch/internal/version"
)

// Load pattern: one organisation has had three times its share when the scheduler's router
// starts again, and takes the role as soon as it is heard. It knows the window, the engines
// and what they keep within a few milliseconds; before, it knew what was booked from then
// on, and placed for the flood as for one that has had nothing.
func TestRestartedSchedulerKnowsTheWindow(t *testing.T) {
	f := newFleet(t, 4, 4)
	p := serviceID(engines)
	first, other := f.scheduler(), f.other()
	f.cut[first] = true
	f.run(5 * time.Second)
	next := f.nodes[f.nodes[other].ranked(p, f.now)[0]]
	require.NotEqual(t, first, next.set.ID)
	part := wire.PromptPart{Part: 77, Tokens: 3000}
	flood := version.IDOf("flood")
	f.arrive(next.set.ID, 1, engines, "flood", 3000, part)
	u := next.pools[p].runs[runKey{next.set.ID, 1}].up
	next.pools[p].meter.ask(flood, 5_000_000, f.now)
	next.pools[p].meter.grant(flood, 2_000_000, f.now)
	f.cut[first] = false
	f.restart(first)
	for f.nodes[next.set.ID].schedulerOf(p, f.now) != first {
		f.run(TickEvery)
	}
	f.run(2 * TickEvery)
	got := f.nodes[first].pools[p]
	assert.Greater(t, got.meter.over(flood, f.now), 1.0)
	assert.InDelta(t, total(&next.pools[p].meter.at(flood, f.now).got), total(&got.meter.at(flood, f.now).got), 1)
	assert.Equal(t, 3000, keptOf(got.ups[u.id].cache, []wire.PromptPart{part}))
	f.run(2 * bookedEvery)
	assert.InDelta(t, 2_000_000, total(&got.meter.at(flood, f.now).got), 5000, "what was told with the snapshot is not told again")
}

// What a scheduler told with a snapshot it does not tell again with what it books.
func TestSnapshotIsNotToldTwice(t *testing.T) {
	f := newFleet(t, 5, 2)
	p := serviceID(engines)
	ranked := f.nodes[f.order[0]].ranked(p, f.now)
	sched, heir := f.nodes[ranked[0]], ranked[1]
	f.cut[heir] = true
	f.run(5 * time.Second)
	f.cut[heir] = false
	f.restart(heir)
	for f.nodes[heir].pools[p].inherited.tries == 0 || sched.bookedDue.Sub(f.now) < 100*time.Millisecond {
		f.nodes[heir].pools[p].inherited = inheritance{}
		f.run(TickEvery)
	}
	f.nodes[heir].pools[p].inherited = inheritance{}
	sched.pools[p].meter.ask(7, 9000, f.now)
	sched.pools[p].meter.grant(7, 9000, f.now)
	f.run(2 * TickEvery)
	require.True(t, f.nodes[heir].pools[p].inherited.done)
	f.run(bookedEvery)
	assert.InDelta(t, 9000, total(&f.nodes[heir].pools[p].meter.at(7, f.now).got), 1)
}

// An heir that does not answer is passed over for the other one, and not asked for ever.
func TestSnapshotIsAskedOfEachHeirInTurn(t *testing.T) {
	f := newFleet(t, 5, 2)
	p := serviceID(engines)
	n := f.nodes[f.nodes[f.order[0]].ranked(p, f.now)[0]]
	h := &n.pools[p].inherited
	ask := func(ticks int) map[wire.NodeID]int {
		asked := map[wire.NodeID]int{}
		for range ticks {
			f.now = f.now.Add(TickEvery)
			n.Tick(f.now)
			for _, o := range n.Ready(f.now) {
				if s, ok := o.(FetchSnapshot); ok {
					asked[s.From]++
				}
			}
		}
		return asked
	}
	*h = inheritance{}
	assert.Len(t, ask(2*int(inheritAgain/TickEvery)), heirCount-1)
	h.tries = inheritTries
	assert.Empty(t, ask(2*int(inheritAgain/TickEvery)))
}

// A peer's figures that are none, and windows that are too short or too long, do no harm.
func TestNonsenseInASnapshotIsNotBelieved(t *testing.T) {
	m := newMeter(1000)
	nan := float32(math.NaN())
	m.inherit([]wire.OrgWindow{
		{Org: 1, Requested: []float32{nan, -5, float32(math.Inf(1)), 7}, Received: make([]float32, 100)},
		{Org: 2},
	}, start)
	assert.Equal(t, 7.0, total(&m.at(1, start).asked))
	assert.Zero(t, total(&m.at(1, start).got))
	f := newFleet(t, 3, 1)
	f.nodes[f.order[0]].Step(Inherit{Snapshot: &wire.Snapshot{Services: []wire.ServiceSnapshot{{Service: 99}, {Service: serviceID(counter)}}}}, f.now)
}
