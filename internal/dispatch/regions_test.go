package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/silverswitch/silverswitch/internal/core/wire"
	"github.com/silverswitch/silverswitch/internal/routing"
)

// newRegionFleet returns a fleet whose engines are in place p of region north and place q of region
// south in turn, and one in a place of unknown region.
func newRegionFleet(t *testing.T) *fleet {
	f := newFleet(t, 3, 7)
	list := spreadOverPlaces(instances(7), "p", "q")
	list[6].Place = "x"
	for _, id := range f.order {
		n := f.nodes[id]
		n.settings.Regions = map[string]string{"p": "north", "q": "south"}
		clear(n.pools)
	}
	f.publishAll(list)
	f.run(time.Second)
	return f
}

func (f *fleet) arriveInRegions(id wire.NodeID, no uint64, service string, regions routing.Regions, parts ...wire.PromptPart) {
	f.nodes[id].Step(Arrive{Request: Request{ID: no, Service: service, Org: "a", Input: 7000, Output: 50, Parts: parts, Regions: regions,
		TargetTime: f.now.Add(5 * time.Second), Deadline: f.now.Add(20 * time.Second)}}, f.now)
	f.deliver()
}

func TestRestrictedRequestsStayInTheirRegions(t *testing.T) {
	f := newRegionFleet(t)
	for no := range uint64(40) {
		id, service := f.order[no%3], []string{engines, counter}[no%2]
		f.arriveInRegions(id, no+1, service, routing.Regions{"south"})
		require.Equal(t, "q", f.placed(id, no+1).Instance.Place)
		if no%4 == 0 {
			f.nodes[id].Step(PlaceAgain{ID: no + 1, Event: wire.ProgressFailed}, f.now)
			f.deliver()
			require.Equal(t, "q", f.placed(id, no+1).Instance.Place, "nor does a retry leave")
		}
	}
}

func TestPartsAreNotFetchedFromAnotherRegion(t *testing.T) {
	f := newRegionFleet(t)
	id := f.order[0]
	parts := []wire.PromptPart{{Part: 11, Tokens: 6000}}
	f.arriveInRegions(id, 1, engines, routing.Regions{"north"}, parts...)
	f.nodes[id].Step(FirstEvent{ID: 1, After: 250 * time.Millisecond}, f.now)
	f.run(time.Second)
	f.arriveInRegions(id, 2, engines, routing.Regions{"south"}, parts...)
	assert.Equal(t, "q", f.placed(id, 2).Instance.Place)
	assert.Empty(t, f.placed(id, 2).Source)
}

func TestRequestWithoutAnAllowedUpstreamIsRefusedAtOnce(t *testing.T) {
	f := newRegionFleet(t)
	for i, regions := range []routing.Regions{{"west"}, {}} {
		for j, id := range f.order {
			no := uint64(10*i + j + 1)
			f.arriveInRegions(id, no, engines, regions)
			r, refused := f.got[id][no].(Refuse)
			require.True(t, refused)
			assert.Equal(t, ReasonRegions, r.Reason)
		}
	}
}

// The scheduler may be of another release, or send a wrong reply, so the reply is checked.
func TestPlacementReplyOutsideTheRegionsIsRejected(t *testing.T) {
	f := newRegionFleet(t)
	id, s := f.other(), f.scheduler()
	f.cut[s] = true
	f.arriveInRegions(id, 1, engines, routing.Regions{"south"})
	north := f.nodes[id].pools[serviceID(engines)].order
	for _, u := range north {
		if u.inst.Place == "p" {
			f.nodes[id].handleReply(s, wire.PlacementReply{No: 1, Try: 1, Upstream: u.id}, f.now)
			break
		}
	}
	f.deliver()
	assert.Equal(t, "q", f.placed(id, 1).Instance.Place)
}

func TestRegionsAreIntersected(t *testing.T) {
	var all routing.Regions
	north, both := routing.Regions{"north"}, routing.Regions{"south", "north"}
	assert.Nil(t, all.Intersect(all))
	assert.Equal(t, north, all.Intersect(north))
	assert.Equal(t, north, north.Intersect(all))
	assert.Equal(t, north, both.Intersect(north))
	assert.Equal(t, routing.Regions{}, north.Intersect(routing.Regions{"south"}), "no region is allowed, rather than every region")
}
