package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/silverswitch/silverswitch/internal/core/wire"
	"github.com/silverswitch/silverswitch/internal/routing"
)

// coldRate and coldRules are those of a sheet: 19.7 requests in any second at most.
const coldRate = 9.8

var coldRules = ColdRules{Overage: 1.5, Slack: 5}

// coldTable is the table with engines that are cold for three seconds after a start.
func coldTable(t *testing.T) *routing.Table {
	t.Helper()
	tab := table(t, 390_000)
	tab.Services[engines].Cold = routing.Cold{Period: 3 * time.Second, RequestsPerSecond: coldRate}
	return tab
}

// newColdFleet is a fleet whose engines bound what they take while they are cold.
func newColdFleet(t *testing.T, nodes, ups int) *fleet {
	f := newFleet(t, nodes, ups)
	for _, id := range f.order {
		n := f.nodes[id]
		n.set.Cold = coldRules
		n.Step(Catalogue{Table: coldTable(t), Instances: instances(ups), Revision: 6, AsOf: 10}, f.now)
	}
	f.run(2 * time.Second)
	return f
}

// turnCold publishes that some engines are cold for a time.
func (f *fleet) turnCold(ups int, d time.Duration, which ...int) {
	list := instances(ups)
	for _, i := range which {
		list[i].ColdUntil = f.now.Add(d)
	}
	f.publishAll(list)
}

// press sends requests by all routers in turn for a time, and returns when each engine got
// one. Each request ends at once.
func (f *fleet) press(d time.Duration, perTick int, no *uint64) map[string][]time.Time {
	got := map[string][]time.Time{}
	for end := f.now.Add(d); f.now.Before(end); {
		for range perTick {
			*no++
			id := f.order[int(*no)%len(f.order)]
			if f.cut[id] && f.nodes[id] == nil {
				continue
			}
			f.arrive(id, *no, engines, "a", 100)
			if p, placed := f.got[id][*no].(Place); placed {
				got[p.Instance.ID] = append(got[p.Instance.ID], f.now)
				f.nodes[id].Step(End{ID: *no, Event: wire.NoteDone}, f.now)
			}
		}
		f.run(TickEvery)
	}
	return got
}

// mostIn is the most times within any second.
func mostIn(at []time.Time) int {
	most, from := 0, 0
	for i := range at {
		for at[i].Sub(at[from]) >= time.Second {
			from++
		}
		most = max(most, i-from+1)
	}
	return most
}

// Load pattern: 200 requests a second at an engine that is cold.
func TestColdUpstreamGetsItsRateAndNoBurst(t *testing.T) {
	f := newColdFleet(t, 3, 1)
	no := uint64(0)
	f.press(time.Second, 2, &no)
	f.turnCold(1, 3*time.Second, 0)
	got := f.press(3*time.Second, 2, &no)["e0"]
	assert.LessOrEqual(t, mostIn(got), 9)
	assert.GreaterOrEqual(t, float64(len(got)), 0.9*(coldRate*2), "no idling: what was placed before it turned cold fills the first second")
	for i := 1; i < len(got); i++ {
		assert.GreaterOrEqual(t, got[i].Sub(got[i-1]), 40*time.Millisecond)
	}
	got = f.press(2*time.Second, 2, &no)["e0"]
	assert.Greater(t, len(got), 100, "it is warm")
}

// What was placed before an engine turned cold may arrive after.
func TestPlacementsBeforeItTurnedColdCount(t *testing.T) {
	f := newColdFleet(t, 3, 1)
	no := uint64(0)
	before := f.press(time.Second, 1, &no)["e0"]
	require.Greater(t, len(before), 50)
	f.turnCold(1, 3*time.Second, 0)
	got := f.press(900*time.Millisecond, 1, &no)["e0"]
	assert.Empty(t, got)
}

func TestRouterThatDecidesAloneSendsNothingToColdUpstreams(t *testing.T) {
	f := newColdFleet(t, 4, 2)
	f.turnCold(2, 30*time.Second, 0)
	id := f.other()
	f.cut[id] = true
	f.run(5 * time.Second)
	for no := range uint64(20) {
		f.arrive(id, no+1, engines, "a", 100)
		f.run(300 * time.Millisecond)
		assert.Equal(t, "e1", f.placed(id, no+1).Instance.ID)
		f.nodes[id].Step(End{ID: no + 1, Event: wire.NoteDone}, f.now)
	}
	f.turnCold(2, 30*time.Second, 0, 1)
	f.arrive(id, 100, engines, "a", 100)
	f.run(300 * time.Millisecond)
	r, refused := f.got[id][100].(Refuse)
	require.True(t, refused)
	assert.Equal(t, ReasonCold, r.Reason)
}

// A scheduler that has just taken the role does not know what the former one placed.
func TestNewSchedulerWaitsForTheLastOnesPlacements(t *testing.T) {
	f := newColdFleet(t, 5, 2)
	f.turnCold(2, 30*time.Second, 0)
	no := uint64(0)
	require.NotEmpty(t, f.press(2*time.Second, 1, &no)["e0"])
	f.cut[f.scheduler()] = true
	died := f.now
	got := f.press(6*time.Second, 1, &no)["e0"]
	require.NotEmpty(t, got)
	assert.GreaterOrEqual(t, got[0].Sub(died), coldWindow)
}

// A scheduler that is cut off does not know that another one has its role.
func TestSchedulerThatIsCutOffSendsNothingToColdUpstreams(t *testing.T) {
	f := newColdFleet(t, 5, 1)
	s := f.scheduler()
	f.turnCold(1, 30*time.Second, 0)
	f.run(coldSettle)
	f.cut[s] = true
	f.run(heardWithin + quorumEvery)
	for no := range uint64(5) {
		f.arrive(s, no+1, engines, "a", 100)
		r, refused := f.got[s][no+1].(Refuse)
		require.True(t, refused)
		assert.Equal(t, ReasonCold, r.Reason)
		f.run(200 * time.Millisecond)
	}
}

// A place that is taken back may be cold as a whole, before its entries say so.
func TestPlaceThatReturnsIsCold(t *testing.T) {
	f := newColdFleet(t, 3, 4)
	list := spreadOver(instances(4), "p", "q")
	f.publishAll(list, "p")
	no := uint64(0)
	assert.Empty(t, f.press(2*time.Second, 1, &no)["e0"])
	f.publishAll(list, "q")
	got := f.press(3*time.Second, 2, &no)
	for _, id := range []string{"e0", "e2"} {
		assert.LessOrEqual(t, mostIn(got[id]), 9, id)
		assert.NotEmpty(t, got[id])
	}
	assert.Greater(t, mostIn(f.press(2*time.Second, 2, &no)["e0"]), 20)
}

// An upstream that starts again under its ID is cold, also when its entry says nothing.
func TestUpstreamSeenToStartAgainIsCold(t *testing.T) {
	f := newColdFleet(t, 3, 2)
	list := instances(2)
	list[0].Born = 100
	f.publishAll(list)
	no := uint64(0)
	f.press(2*time.Second, 1, &no)
	again := instances(2)
	again[0].Born = 200
	f.publishAll(again)
	assert.LessOrEqual(t, mostIn(f.press(3*time.Second, 2, &no)["e0"]), 9)
}

// An upstream that answers nothing for seconds may start again under the same entry: until
// that is written anew nobody says that it is cold.
func TestUpstreamThatWasSilentIsTakenForCold(t *testing.T) {
	f := newColdFleet(t, 3, 1)
	id := f.scheduler()
	u := f.nodes[id].pools[serviceID(engines)].order[0]
	end := func(no uint64, event uint8) {
		f.arrive(id, no, engines, "a", 100)
		if _, placed := f.got[id][no].(Place); placed {
			f.nodes[id].Step(End{ID: no, Event: event}, f.now)
		}
		f.run(100 * time.Millisecond)
	}
	for no := range uint64(30) {
		end(no+1, wire.NoteFailed)
	}
	until, why := u.coldUntil()
	assert.Equal(t, ColdSilent, why)
	assert.True(t, until.After(f.now))
	f.run(time.Second)
	end(100, wire.NoteDone)
	until, _ = u.coldUntil()
	assert.Equal(t, 3*time.Second-100*time.Millisecond, until.Sub(f.now), "it has started by its first answer")
	end(101, wire.NoteDone)
	again, _ := u.coldUntil()
	assert.Equal(t, until, again)
}

// One that loses some answers is not: others come.
func TestUpstreamThatLosesSomeAnswersIsNotTakenForCold(t *testing.T) {
	f := newColdFleet(t, 3, 1)
	id := f.scheduler()
	for no := range uint64(120) {
		f.arrive(id, no+1, engines, "a", 100)
		event := wire.NoteDone
		if no%4 != 0 {
			event = wire.NoteFailed
		}
		f.nodes[id].Step(End{ID: no + 1, Event: event}, f.now)
		f.run(50 * time.Millisecond)
	}
	assert.False(t, f.nodes[id].pools[serviceID(engines)].order[0].isCold(0, f.now))
}

// The scheduler does not know yet that the upstream is cold.
func TestPlacementAtAnUpstreamKnownToBeColdIsNotUsed(t *testing.T) {
	f := newColdFleet(t, 3, 2)
	id := f.other()
	list := instances(2)
	list[0].ColdUntil = f.now.Add(3 * time.Second)
	f.publish(id, list)
	for no := range uint64(20) {
		f.arrive(id, no+1, engines, "a", 100)
		assert.Equal(t, "e1", f.placed(id, no+1).Instance.ID)
	}
}

func TestPlacementMaySendOnlyInItsTime(t *testing.T) {
	cold := Place{Cold: true, SendBy: start.Add(coldSendIn)}
	assert.True(t, cold.MaySend(start.Add(time.Minute), start))
	assert.False(t, cold.MaySend(time.Time{}, start.Add(coldSendIn)))
	warm := Place{}
	assert.True(t, warm.MaySend(time.Time{}, start))
	assert.True(t, warm.MaySend(start.Add(coldLate), start), "it may be warm by now")
	assert.False(t, warm.MaySend(start.Add(time.Second), start), "it has turned cold since")
}

// A plain service's routers choose for themselves in a small fleet, but for cold upstreams
// the sum over all of them counts.
func TestColdPlainUpstreamsAreScheduled(t *testing.T) {
	f := newColdFleet(t, 4, 1)
	for _, id := range f.order {
		f.nodes[id].cat.Table.Services[counter].Cold = routing.Cold{Period: 3 * time.Second, RequestsPerSecond: coldRate}
	}
	list := instances(1)
	list[1].ColdUntil = f.now.Add(10 * time.Second)
	f.publishAll(list)
	f.run(2 * time.Second)
	var got []time.Time
	for no := range uint64(400) {
		id := f.order[int(no)%len(f.order)]
		f.arrive(id, no+1, counter, "a", 0)
		if f.placed(id, no+1).Instance.ID == "c0" {
			got = append(got, f.now)
		}
		f.nodes[id].Step(End{ID: no + 1, Event: wire.NoteDone}, f.now)
		f.run(TickEvery)
	}
	assert.LessOrEqual(t, mostIn(got), 9)
	assert.NotEmpty(t, got)
}
