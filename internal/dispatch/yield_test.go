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

// A change of the store that is sent to relays which have just yielded must reach their place.
func TestYieldedRelayPassesChangesOn(t *testing.T) {
	t.Parallel()
	f := newMultiPlaceFleet(t, 60, 5)
	f.runReadingStore(6 * time.Second)
	reader := f.watching()[0]
	for place, relays := range f.nodes[reader].relays(f.now) {
		for _, id := range relays {
			if n := f.nodes[id]; place != f.nodes[reader].settings.Place {
				n.yielding.on = true
				n.members.Yield(true)
				clear(n.rankings)
			}
		}
	}
	f.readChange(reader, 12, false)
	f.deliver()
	assert.Zero(t, f.countBehind(12))
	f.readChange(reader, 13, true)
	f.run(relayGracePeriod)
	assert.Zero(t, f.countBehind(13), "a new table")
}
