package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/silverswitch/silverswitch/internal/core/wire"
)

// Load pattern: forty routers start at once, know nothing of each other, and have a request each
// for ten engines with nothing to prefill. All forty went to the same engine.
func TestRoutersWithoutFleetSpreadOverEngines(t *testing.T) {
	got := map[string]int{}
	for i := range 40 {
		n := New(Settings{ID: wire.NodeID(fmt.Sprintf("10.1.0.%d:1", i)), Inc: 2, Place: "p", Seeds: []wire.NodeID{"10.1.0.0:1"}, Retry: DefaultRetryRules}, start)
		n.Step(Catalogue{Table: table(t, 390_000), Instances: instances(10), Revision: 5, AsOf: 9}, start)
		n.Step(Arrive{Request: Request{ID: 1, Service: engines, Org: "a", Input: 9000, Output: 50, TargetTime: start.Add(600 * time.Millisecond), Deadline: start.Add(6 * time.Second)}}, start)
		for _, o := range n.Ready(start) {
			if p, ok := o.(Placement); ok {
				got[p.Instance.ID]++
			}
		}
	}
	most, all := 0, 0
	for _, n := range got {
		most = max(most, n)
		all += n
	}
	assert.Equal(t, 40, all)
	assert.LessOrEqual(t, most, 12)
}

// The fleet's scheduler chooses by cost alone.
func TestSchedulerChoosesByCostAlone(t *testing.T) {
	f := newFleet(t, 3, 4)
	p := f.nodes[f.scheduler()].pools[serviceID(engines)]
	f.arrive(f.scheduler(), 1, engines, "a", 2000)
	assert.False(t, p.withoutScheduler)
	assert.Equal(t, p.order[0].inst.ID, f.placed(f.scheduler(), 1).Instance.ID)
}

// Load pattern: 195 routers lose power, and the seeds come back last. A router that knows no other
// one must not read any engine's prefix cache.
func TestRouterWithoutFleetSchedulesNoEngines(t *testing.T) {
	n := New(Settings{ID: "10.1.0.9:1", Inc: 2, Place: "p", Seeds: []wire.NodeID{"10.1.0.0:1"}, Retry: DefaultRetryRules}, start)
	n.Step(Catalogue{Table: table(t, 390_000), Instances: instances(4), Revision: 5, AsOf: 9}, start)
	assert.Empty(t, n.ScheduledEngines(start))
	require.Len(t, n.ScheduledEngines(start.Add(loneRouterTimeout)), 4, "it is the whole fleet")
	n.Step(Receive{Datagram: &wire.Datagram{From: "10.1.0.8:1", Inc: 1}}, start)
	n.members.Leave() // so that the other router is the scheduler
	assert.Empty(t, n.ScheduledEngines(start))
}
