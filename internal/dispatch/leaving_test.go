package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/silverswitch/silverswitch/internal/core/wire"
	"github.com/silverswitch/silverswitch/internal/routing"
)

// instanceOf returns an upstream as a router knows it.
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

// The scheduler placed requests of a router at an upstream that had told that router that it
// leaves.
func TestUpstreamThatToldOneRouterThatItLeavesGetsNothingFromTheScheduler(t *testing.T) {
	for _, routers := range []int{3, 20} {
		f := newFleet(t, routers, 2)
		id := f.other()
		f.nodes[id].Step(SaysLeaving{Instance: f.instanceOf(id, "e0")}, f.now)
		f.deliver()
		for i, from := range f.order {
			f.arrive(from, uint64(i+1), engines, "a", 20)
			assert.Equal(t, "e1", f.placed(from, uint64(i+1)).Instance.ID, "%d routers, asked by %s", routers, from)
		}
		assert.Equal(t, []string{"e1"}, idsOf(f.nodes[f.scheduler()].Scheduled(f.now)), "nor is it asked what it keeps")
	}
}

func idsOf(list []routing.Instance) (out []string) {
	for _, i := range list {
		out = append(out, i.ID)
	}
	return out
}

// A plain upstream of a small fleet is chosen by each router, which hears of it within a
// regular message though the first one was lost.
func TestUpstreamThatLeavesIsToldAgain(t *testing.T) {
	f := newFleet(t, 3, 1)
	id := f.order[0]
	f.lose = func() bool { return true }
	f.nodes[id].Step(SaysLeaving{Instance: f.instanceOf(id, "c0")}, f.now)
	f.deliver()
	f.lose = nil
	f.run(2 * beatPeriod(3))
	for i, from := range f.order {
		f.arrive(from, uint64(i+1), counter, "a", 10)
		assert.Equal(t, "c1", f.placed(from, uint64(i+1)).Instance.ID)
	}
}

// An entry that was written before the upstream said that it leaves comes late.
func TestEntryWrittenEarlierDoesNotTakeALeavingUpstreamBack(t *testing.T) {
	f := newFleet(t, 2, 1)
	id := f.order[0]
	i := f.instanceOf(id, "c0")
	f.nodes[id].Step(SaysLeaving{Instance: i}, f.now)
	f.nodes[id].Step(Catalogue{Table: f.nodes[id].cat.Table, Instances: []routing.Instance{i}, Part: true, Revision: 10, AsOf: 10}, f.now)
	f.arrive(id, 1, counter, "a", 10)
	assert.Equal(t, "c1", f.placed(id, 1).Instance.ID)
}

// What was told of an upstream is forgotten once it has ended: its ID may come back.
func TestLeavingUpstreamIsForgottenWhenItHasEnded(t *testing.T) {
	f := newFleet(t, 2, 1)
	id := f.order[0]
	n := f.nodes[id]
	i := f.instanceOf(id, "c0")
	n.Step(SaysLeaving{Instance: i}, f.now)
	n.Step(Catalogue{Table: n.cat.Table, Part: true, Ended: []routing.Ended{{Instance: i}}, Revision: 10, AsOf: 10}, f.now)
	f.run(time.Second)
	require.Empty(t, n.leavers)
	i.Born = 77
	n.Step(Catalogue{Table: n.cat.Table, Part: true, Instances: []routing.Instance{i}, Revision: 11, AsOf: 11}, f.now)
	f.arrive(id, 1, counter, "a", 10)
	assert.Equal(t, "c0", f.placed(id, 1).Instance.ID)
}

// While thousands of upstreams are replaced each message named all that had said that they
// leave, until the last of them had ended.
func TestLeavingUpstreamIsToldForAWhile(t *testing.T) {
	f := newFleet(t, 20, 2)
	id := f.other()
	told := 0
	f.onSend = func(_ wire.NodeID, s Send) { told += len(s.Datagram.DrainingUpstreams) }
	f.nodes[id].Step(SaysLeaving{Instance: f.instanceOf(id, "e0")}, f.now)
	f.run(2 * leaverToldFor)
	assert.Positive(t, told)
	for _, other := range f.order {
		assert.True(t, f.instanceOf(other, "e0").Draining, "everyone knows")
	}
	told = 0
	f.run(time.Second)
	assert.Zero(t, told)
	f.arrive(f.other(), 1, engines, "a", 20)
	assert.Equal(t, "e1", f.placed(f.other(), 1).Instance.ID, "and keeps to it")
}
