package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/silverswitch/silverswitch/internal/core/wire"
	"github.com/silverswitch/silverswitch/internal/dispatch/prefill"
	"github.com/silverswitch/silverswitch/internal/version"
)

// The next scheduler knows what the previous one has learned of its engines.
func TestNextSchedulerInheritsEngineModel(t *testing.T) {
	f := newFleet(t, 3, 2)
	id := f.scheduler()
	for no := uint64(1); no <= 60; no++ {
		input := 500 + 100*int(no%40)
		f.arrive(id, no, engines, "a", input)
		after := 50*time.Millisecond + time.Duration(input)*10*time.Microsecond // 100 tokens a millisecond
		f.run(after.Round(TickInterval))
		f.nodes[id].Step(FirstEvent{ID: no, After: after}, f.now)
		f.nodes[id].Step(End{ID: no, Event: wire.ProgressDone}, f.now)
	}
	f.run(time.Second)
	learned := f.nodes[id].pools[serviceID(engines)].learner.Model()
	assert.InDelta(t, 0.01, learned.PerToken+2000*learned.PerPair/1e6, 0.004)
	f.cut[id] = true
	peer := f.other()
	f.arrive(peer, 100, engines, "a", 500)
	f.run(minPlacementTimeout + 2*TickInterval)
	assert.InDelta(t, learned.Base+5, f.placed(peer, 100).PrefillMS, 8)
	assert.NotEqual(t, id, f.nodes[peer].schedulerOf(serviceID(engines), f.now))
	inherited := f.nodes[f.nodes[peer].schedulerOf(serviceID(engines), f.now)].pools[serviceID(engines)].learner.Model()
	assert.InDelta(t, learned.Base, inherited.Base, 0.1)
}

// A router that has just started may become the scheduler at once: it learns the engines'
// model from the first heartbeats of the others.
func TestRestartedSchedulerInheritsEngineModel(t *testing.T) {
	f := newFleet(t, 3, 2)
	id := f.scheduler()
	peer := f.other()
	learned := prefill.Model{Base: 200, PerToken: 0.005, PerPair: 0.1, PerFetched: 0.001}
	f.nodes[peer].pools[serviceID(engines)].learner.Inherit(learned, 500)
	n := New(Settings{ID: id, Inc: 2, Place: "p", Seeds: []wire.NodeID{peer}, Retry: DefaultRetryRules}, f.now)
	n.Step(Catalogue{Table: table(t, 390_000), Instances: instances(2), Revision: 5, AsOf: 9}, f.now)
	f.nodes[id] = n
	f.run(2 * heartbeatInterval)
	assert.Equal(t, id, f.scheduler())
	assert.InDelta(t, 200, n.pools[serviceID(engines)].learner.Model().Base, 0.1)
}

// A table without targets, sizes or a stated capacity still has a defined decision: nobody
// is over its share, and a quarter of the time left until the deadline serves as the
// target.
func TestTableWithoutTargetsOrCapacity(t *testing.T) {
	f := newFleet(t, 1, 2)
	id := f.order[0]
	f.nodes[id].Step(Catalogue{Table: table(t, 0), Instances: instances(2), Revision: 6, AsOf: 10}, f.now)
	for no := uint64(1); no <= 40; no++ {
		f.nodes[id].Step(Arrive{Request: Request{ID: no, Service: engines, Org: "a", Deadline: f.now.Add(time.Second)}}, f.now)
		f.deliver()
		f.placed(id, no)
	}
	p := f.nodes[id].pools[serviceID(engines)]
	assert.Zero(t, p.meter.usedShare(version.IDOf("a"), f.now))
	f.nodes[id].Step(Arrive{Request: Request{ID: 50, Service: engines, Org: "a", Input: 1 << 30, Output: 1 << 30, Deadline: f.now}}, f.now)
	f.deliver()
	_, refused := f.got[id][50].(Refuse)
	assert.True(t, refused, "the request is larger than any engine")
}

// First events that come after an hour, or before the request, are not learned, and
// decisions continue.
func TestImplausibleTimesAreNotLearned(t *testing.T) {
	f := newFleet(t, 1, 1)
	id := f.order[0]
	learner := f.nodes[id].pools[serviceID(engines)].learner
	for no := uint64(1); no <= 60; no++ {
		f.arrive(id, no, engines, "a", 100)
		f.nodes[id].Step(FirstEvent{ID: no, After: map[bool]time.Duration{true: time.Hour, false: -time.Hour}[no%2 == 0]}, f.now)
		f.nodes[id].Step(End{ID: no, Event: wire.ProgressDone}, f.now)
		f.run(3 * time.Second)
	}
	m := learner.Model()
	assert.True(t, m.Base >= 0 && m.Base < 60_000 && m.PerToken >= 0, "%+v", m)
	f.arrive(id, 100, engines, "a", 100)
	f.placed(id, 100)
}
