package dispatch

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/silverswitch/silverswitch/internal/core/wire"
	"github.com/silverswitch/silverswitch/internal/routing"
)

// A request whose second placement was refused lost its first one, and its repeat was spent.
func TestRefusedSecondPlacementLeavesTheFirst(t *testing.T) {
	f := newFleet(t, 1, 2)
	id := f.order[0]
	n := f.nodes[id]
	f.arrive(id, 1, engines, "a", 500)
	first := f.placed(id, 1)
	var others []routing.Instance
	for _, u := range n.pools[serviceID(engines)].order {
		others = append(others, u.inst)
	}
	n.Step(PlaceBeside{ID: 1, NewID: 2, Avoid: others}, f.now)
	f.deliver()
	refusal, refused := f.got[id][2].(Refuse)
	assert.True(t, refused, "all upstreams are to be avoided")
	assert.Equal(t, ReasonCapacity, refusal.Reason)
	assert.Zero(t, n.budget(serviceID(engines)).recentRepeats(f.now))
	n.Step(PlaceBeside{ID: 1, NewID: 3}, f.now)
	f.deliver()
	second := f.placed(id, 3)
	assert.NotEqual(t, first.Instance.ID, second.Instance.ID)
	assert.Equal(t, 1, n.budget(serviceID(engines)).recentRepeats(f.now))
	n.Step(End{ID: 3, Event: wire.ProgressUnused}, f.now)
	n.Step(FirstEvent{ID: 1, After: 0}, f.now)
	n.Step(End{ID: 1, Event: wire.ProgressDone}, f.now)
	assert.Empty(t, n.inflight)
	assert.Empty(t, n.pools[serviceID(engines)].runs)
}

// The second placement of a stream that has begun must keep to the version that began it.
func TestSecondPlacementOfAStreamKeepsItsVersion(t *testing.T) {
	f := newFleet(t, 1, 2)
	id := f.order[0]
	n := f.nodes[id]
	f.arrive(id, 1, engines, "a", 500)
	f.placed(id, 1)
	n.inflight[1].req.Stream = 7
	n.Step(FirstEvent{ID: 1, After: 0}, f.now)
	begun := n.inflight[1].version
	n.Step(PlaceBeside{ID: 1, NewID: 2}, f.now)
	assert.NotZero(t, begun)
	assert.Equal(t, begun, n.inflight[2].version)
}
