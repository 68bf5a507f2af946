package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// A flood at the scheduler's own router: others took it for silent and heard it again in turns,
// so that several routers decided for the same organisations.
func TestRouterThatShedsLoadYieldsTheSchedulerRole(t *testing.T) {
	f := newFleet(t, 4, 4)
	sched := f.scheduler()
	f.nodes[sched].Step(CPUOverload{On: true, Shedding: true}, f.now)
	f.run(yieldDelay / 2)
	assert.Equal(t, sched, f.scheduler(), "a short burst moves no role")
	f.run(yieldDelay)
	for _, id := range f.order {
		assert.NotEqual(t, sched, f.nodes[id].schedulerOf(serviceID(engines), f.now), "%s", id)
	}
	f.nodes[sched].Step(CPUOverload{}, f.now)
	f.run(yieldEnd / 2)
	assert.NotEqual(t, sched, f.scheduler(), "the role does not move with each wave of a flood")
	f.run(yieldEnd)
	assert.Equal(t, sched, f.scheduler())
}

// All routers short of CPU at once: somebody has to schedule.
func TestOneSchedulerRemainsWhenAllYield(t *testing.T) {
	f := newFleet(t, 4, 4)
	for _, id := range f.order {
		f.nodes[id].Step(CPUOverload{On: true, Shedding: true}, f.now)
	}
	f.run(yieldDelay + 2*time.Second)
	sched := f.scheduler()
	for _, id := range f.order {
		assert.Equal(t, sched, f.nodes[id].schedulerOf(serviceID(engines), f.now), "%s", id)
	}
}

// A router that is stopping takes no roles again when its overload ends.
func TestLeavingRouterDoesNotResumeRoles(t *testing.T) {
	f := newFleet(t, 4, 4)
	sched := f.scheduler()
	f.nodes[sched].Step(CPUOverload{On: true, Shedding: true}, f.now)
	f.run(2 * yieldDelay)
	f.nodes[sched].Step(Leave{}, f.now)
	f.nodes[sched].Step(CPUOverload{}, f.now)
	f.run(2 * yieldEnd)
	assert.NotEqual(t, sched, f.scheduler())
}
