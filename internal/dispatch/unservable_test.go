package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/silverswitch/silverswitch/internal/core/wire"
	"github.com/silverswitch/silverswitch/internal/routing"
)

// requireSameRefusal requires that a request is refused without a placement request just as
// a placement request is answered.
func (f *fleet) requireSameRefusal(id wire.NodeID, no uint64, service string, regions routing.Regions, want Reason) {
	f.t.Helper()
	early, unservable := f.nodes[id].ServiceStates(f.now)[service].Refusal(regions, f.now)
	require.True(f.t, unservable, want)
	assert.Equal(f.t, want, early.Reason)
	assert.Equal(f.t, id, early.By)
	f.arriveInRegions(id, no, service, regions)
	asked, refused := f.got[id][no].(Refuse)
	require.True(f.t, refused, want)
	assert.Equal(f.t, asked.Reason, early.Reason)
	assert.InDelta(f.t, asked.After.Milliseconds(), early.After.Milliseconds(), 1)
	assert.Equal(f.t, asked.Revision, early.Revision)
}

func (f *fleet) requireServable(id wire.NodeID, no uint64, service string, regions routing.Regions) {
	f.t.Helper()
	_, unservable := f.nodes[id].ServiceStates(f.now)[service].Refusal(regions, f.now)
	assert.False(f.t, unservable)
	f.arriveInRegions(id, no, service, regions)
	f.placed(id, no)
}

// Guards against answers that differ by where a request is refused, at the scheduler and at
// other routers.
func TestUnservableRequestsAreRefusedAsAPlacementRequestWouldBe(t *testing.T) {
	for _, service := range []string{engines, counter} {
		ups := map[string][]string{engines: {"e0", "e1", "e2", "e3"}, counter: {"c0", "c1"}}[service]
		for _, who := range []func(*fleet) wire.NodeID{(*fleet).scheduler, (*fleet).other} {
			f := newFleet(t, 3, 4)
			id := who(f)
			list := spreadOverPlaces(instances(4), "p", "q")
			f.publishAll(list)
			f.requireServable(id, 1, service, nil)
			f.publishAll(list, "p", "q")
			f.requireSameRefusal(id, 2, service, nil, ReasonEvacuated)
			f.publishAll(list, "p")
			f.requireServable(id, 3, service, nil)
			f.publishAll(list)
			for i, up := range ups {
				f.requireServable(id, uint64(10+i), service, nil)
				f.retryAfter(id, up, time.Duration(700+100*i)*time.Millisecond)
			}
			f.requireSameRefusal(id, 4, service, nil, ReasonBackoff)
			f.run(700*time.Millisecond + TickInterval)
			f.requireServable(id, 5, service, nil)
			f.publishAll(nil)
			f.requireSameRefusal(id, 6, service, nil, ReasonNoUpstream)
		}
	}
}

func TestRequestsWithoutAnAllowedRegionAreUnservable(t *testing.T) {
	f := newRegionFleet(t)
	for i, id := range f.order {
		no := uint64(10 * i)
		f.requireSameRefusal(id, no+1, engines, routing.Regions{"west"}, ReasonRegions)
		f.requireSameRefusal(id, no+2, engines, routing.Regions{}, ReasonRegions)
		f.requireServable(id, no+3, engines, routing.Regions{"west", "south"})
		f.requireServable(id, no+4, engines, nil)
	}
}

// An evacuated place is counted with the open ones of other places: the backoff of the open
// upstreams alone makes a service unservable.
func TestBackoffOfAllOpenUpstreamsIsUnservable(t *testing.T) {
	f := newFleet(t, 3, 4)
	id := f.other()
	list := spreadOverPlaces(instances(4), "p", "q")
	f.publishAll(list, "p")
	for _, i := range list {
		if i.Service == engines && i.Place == "q" {
			f.retryAfter(id, i.ID, time.Second)
		}
	}
	f.requireSameRefusal(id, 1, engines, nil, ReasonBackoff)
}

// The state of a service must not take longer with more upstreams, as it is published ten
// times a second by routers with a seventh of a core.
func BenchmarkServiceStates(b *testing.B) {
	for _, ups := range []int{60, 6000, 12_000} {
		b.Run(fmt.Sprint(ups), func(b *testing.B) {
			n := New(Settings{ID: "10.1.0.0:1", Inc: 1, Place: "p", Seed: 1}, start)
			n.Step(Catalogue{Table: scaleTable(b), Instances: instances(ups), Revision: 5, AsOf: 9}, start)
			n.Step(RetryAfter{Instance: instances(1)[0], For: time.Hour}, start)
			b.ReportAllocs()
			for b.Loop() {
				n.ServiceStates(start)
			}
		})
	}
}
