package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/silverswitch/silverswitch/internal/core/wire"
)

// What the scheduler has learned of its engines is known to the router that follows it.
func TestNextSchedulerKnowsTheEngines(t *testing.T) {
	f := newFleet(t, 3, 2)
	id := f.scheduler()
	for no := uint64(1); no <= 60; no++ {
		input := 500 + 100*int(no%40)
		f.arrive(id, no, engines, "a", input)
		after := 50*time.Millisecond + time.Duration(input)*10*time.Microsecond // 100 tokens a millisecond
		f.run(after.Round(TickEvery))
		f.nodes[id].Step(First{ID: no, After: after}, f.now)
		f.nodes[id].Step(End{ID: no, Event: wire.NoteDone}, f.now)
	}
	f.run(time.Second)
	learned := f.nodes[id].pools[serviceID(engines)].learner.Model()
	assert.InDelta(t, 0.01, learned.PerToken+2000*learned.PerPair/1e6, 0.004)
	f.cut[id] = true
	heir := f.other()
	f.arrive(heir, 100, engines, "a", 500)
	f.run(askGiveUp + 2*TickEvery)
	assert.InDelta(t, learned.Base+5, f.placed(heir, 100).OwnMS, 8)
	assert.NotEqual(t, id, f.nodes[heir].schedulerOf(serviceID(engines), f.now))
	told := f.nodes[f.nodes[heir].schedulerOf(serviceID(engines), f.now)].pools[serviceID(engines)].learner.Model()
	assert.InDelta(t, learned.Base, told.Base, 0.1)
}
