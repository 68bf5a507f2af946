package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/silverswitch/silverswitch/internal/core/wire"
	"github.com/silverswitch/silverswitch/internal/routing"
)

// newRegionFleet has engines in place p of region north and q of region south, in turn, and
// one in a place whose region nobody knows.
func newRegionFleet(t *testing.T) *fleet {
	f := newFleet(t, 3, 7)
	list := spreadOver(instances(7), "p", "q")
	list[6].Place = "x"
	for _, id := range f.order {
		n := f.nodes[id]
		n.set.Regions = map[string]string{"p": "north", "q": "south"}
		clear(n.pools)
	}
	f.publishAll(list)
	f.run(time.Second)
	return f
}

func (f *fleet) arriveBound(id wire.NodeID, no uint64, service string, regions routing.Regions, parts ...wire.PromptPart) {
	f.nodes[id].Step(Arrive{Request: Request{ID: no, Service: service, Org: "a", Input: 7000, Output: 50, Parts: parts, Regions: regions,
		Aim: f.now.Add(5 * time.Second), Deadline: f.now.Add(20 * time.Second)}}, f.now)
	f.deliver()
}

func TestBoundRequestsStayInTheirRegions(t *testing.T) {
	f := newRegionFleet(t)
	for no := range uint64(40) {
		id, service := f.order[no%3], []string{engines, counter}[no%2]
		f.arriveBound(id, no+1, service, routing.Regions{"south"})
		require.Equal(t, "q", f.placed(id, no+1).Instance.Place)
		if no%4 == 0 {
			f.nodes[id].Step(Again{ID: no + 1, Event: wire.NoteFailed}, f.now)
			f.deliver()
			require.Equal(t, "q", f.placed(id, no+1).Instance.Place, "nor does a repeat leave")
		}
	}
}

func TestPartsAreNotFetchedFromAnotherRegion(t *testing.T) {
	f := newRegionFleet(t)
	id := f.order[0]
	parts := []wire.PromptPart{{Part: 11, Tokens: 6000}}
	f.arriveBound(id, 1, engines, routing.Regions{"north"}, parts...)
	f.nodes[id].Step(First{ID: 1, After: 250 * time.Millisecond}, f.now)
	f.run(time.Second)
	f.arriveBound(id, 2, engines, routing.Regions{"south"}, parts...)
	assert.Equal(t, "q", f.placed(id, 2).Instance.Place)
	assert.Empty(t, f.placed(id, 2).Source)
}

func TestRequestWithoutAnAllowedUpstreamIsRefusedAtOnce(t *testing.T) {
	f := newRegionFleet(t)
	for i, regions := range []routing.Regions{{"west"}, {}} {
		for j, id := range f.order {
			no := uint64(10*i + j + 1)
			f.arriveBound(id, no, engines, regions)
			r, refused := f.got[id][no].(Refuse)
			require.True(t, refused)
			assert.Equal(t, ReasonRegions, r.Reason)
		}
	}
}

// The scheduler may be of another release, or lie: its answer is checked.
func TestAnswerOutsideTheRegionsIsNotUsed(t *testing.T) {
	f := newRegionFleet(t)
	id, s := f.other(), f.scheduler()
	f.cut[s] = true
	f.arriveBound(id, 1, engines, routing.Regions{"south"})
	north := f.nodes[id].pools[serviceID(engines)].order
	for _, u := range north {
		if u.inst.Place == "p" {
			f.nodes[id].answered(s, wire.WorkAnswer{No: 1, Try: 1, Upstream: u.id}, f.now)
			break
		}
	}
	f.deliver()
	assert.Equal(t, "q", f.placed(id, 1).Instance.Place)
}

func TestBothBindWhereRouteAndOrganisationDo(t *testing.T) {
	var all routing.Regions
	north, both := routing.Regions{"north"}, routing.Regions{"south", "north"}
	assert.Nil(t, all.Intersect(all))
	assert.Equal(t, north, all.Intersect(north))
	assert.Equal(t, north, north.Intersect(all))
	assert.Equal(t, north, both.Intersect(north))
	assert.Equal(t, routing.Regions{}, north.Intersect(routing.Regions{"south"}), "nowhere, which is not everywhere")
}
