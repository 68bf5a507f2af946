package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/silverswitch/silverswitch/internal/core/wire"
	"github.com/silverswitch/silverswitch/internal/routing"
)

// instanceOf returns an upstream as known by a router.
func (f *fleet) instanceOf(id wire.NodeID, upstream string) routing.Instance {
	f.t.Helper()
	for _, i := range wholeCatalogue(f.nodes[id]).Instances {
		if i.ID == upstream {
			return i
		}
	}
	f.t.Fatalf("%s does not know %s", id, upstream)
	return routing.Instance{}
}

// The scheduler placed requests of a router at an upstream that had announced to that router that
// it was leaving.
func TestLeaveNoticeToOneRouterReachesTheScheduler(t *testing.T) {
	for _, routers := range []int{3, 20} {
		f := newFleet(t, routers, 2)
		id := f.other()
		f.nodes[id].Step(LeaveNotice{Instance: f.instanceOf(id, "e0")}, f.now)
		f.deliver()
		for i, from := range f.order {
			f.arrive(from, uint64(i+1), engines, "a", 20)
			assert.Equal(t, "e1", f.placed(from, uint64(i+1)).Instance.ID, "%d routers, asked by %s", routers, from)
		}
		assert.Equal(t, []string{"e1"}, idsOf(f.nodes[f.scheduler()].ScheduledEngines(f.now)), "nor is its cache read")
	}
}

func idsOf(list []routing.Instance) (out []string) {
	for _, i := range list {
		out = append(out, i.ID)
	}
	return out
}

// In a small fleet each router chooses a plain upstream itself. It must learn within a heartbeat
// that one is leaving, even if the first notice was lost.
func TestLostLeaveNoticeIsRepeated(t *testing.T) {
	f := newFleet(t, 3, 1)
	id := f.order[0]
	f.lose = func() bool { return true }
	f.nodes[id].Step(LeaveNotice{Instance: f.instanceOf(id, "c0")}, f.now)
	f.deliver()
	f.lose = nil
	f.run(2 * heartbeatPeriod(3))
	for i, from := range f.order {
		f.arrive(from, uint64(i+1), counter, "a", 10)
		assert.Equal(t, "c1", f.placed(from, uint64(i+1)).Instance.ID)
	}
}

// An entry that was written before the upstream announced that it was leaving arrives late.
func TestStaleEntryDoesNotRestoreALeavingUpstream(t *testing.T) {
	f := newFleet(t, 2, 1)
	id := f.order[0]
	i := f.instanceOf(id, "c0")
	f.nodes[id].Step(LeaveNotice{Instance: i}, f.now)
	f.nodes[id].Step(Catalogue{Table: f.nodes[id].catalogue.Table, Instances: []routing.Instance{i}, Incremental: true, Revision: 10, AsOf: 10}, f.now)
	f.arrive(id, 1, counter, "a", 10)
	assert.Equal(t, "c1", f.placed(id, 1).Instance.ID)
}

// A notice is forgotten once the upstream has ended, since its ID may come back.
func TestEndedLeavingUpstreamIsForgotten(t *testing.T) {
	f := newFleet(t, 2, 1)
	id := f.order[0]
	n := f.nodes[id]
	i := f.instanceOf(id, "c0")
	n.Step(LeaveNotice{Instance: i}, f.now)
	n.Step(Catalogue{Table: n.catalogue.Table, Incremental: true, Ended: []routing.Ended{{Instance: i}}, Revision: 10, AsOf: 10}, f.now)
	f.run(time.Second)
	require.Empty(t, n.leavingUpstreams)
	i.Born = 77
	n.Step(Catalogue{Table: n.catalogue.Table, Incremental: true, Instances: []routing.Instance{i}, Revision: 11, AsOf: 11}, f.now)
	f.arrive(id, 1, counter, "a", 10)
	assert.Equal(t, "c0", f.placed(id, 1).Instance.ID)
}

// While thousands of upstreams were replaced, each message listed all that had announced that
// they were leaving, until the last of them had ended.
func TestLeaveNoticeIsRepeatedForALimitedTime(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 20, 2)
	id := f.other()
	announced := 0
	f.onSend = func(_ wire.NodeID, s Send) { announced += len(s.Datagram.DrainingUpstreams) }
	f.nodes[id].Step(LeaveNotice{Instance: f.instanceOf(id, "e0")}, f.now)
	f.run(2 * leavingNoticeTTL)
	assert.Positive(t, announced)
	for _, other := range f.order {
		assert.True(t, f.instanceOf(other, "e0").Draining, "every router knows")
	}
	announced = 0
	f.run(time.Second)
	assert.Zero(t, announced)
	f.arrive(f.other(), 1, engines, "a", 20)
	assert.Equal(t, "e1", f.placed(f.other(), 1).Instance.ID, "the notice still applies")
}
