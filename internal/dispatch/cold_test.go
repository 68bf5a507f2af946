package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/silverswitch/silverswitch/internal/core/wire"
	"github.com/silverswitch/silverswitch/internal/routing"
)

// coldRate and coldRules together allow at most 19.7 requests in any second.
const coldRate = 9.8

var coldRules = ColdRules{Overage: 1.5, Slack: 5}

// coldTable returns a table whose engines are cold for three seconds after a start.
func coldTable(t *testing.T) *routing.Table {
	t.Helper()
	tab := table(t, 390_000)
	tab.Services[engines].Cold = routing.Cold{Period: 3 * time.Second, RequestsPerSecond: coldRate}
	return tab
}

// newColdFleet returns a fleet whose engines limit the requests they get while cold.
func newColdFleet(t *testing.T, nodes, ups int) *fleet {
	f := newFleet(t, nodes, ups)
	for _, id := range f.order {
		n := f.nodes[id]
		n.settings.Cold = coldRules
		n.Step(Catalogue{Table: coldTable(t), Instances: instances(ups), Revision: 6, AsOf: 10}, f.now)
	}
	f.run(2 * time.Second)
	return f
}

// turnCold publishes that some engines are cold for a duration.
func (f *fleet) turnCold(ups int, d time.Duration, which ...int) {
	list := instances(ups)
	for _, i := range which {
		list[i].ColdUntil = f.now.Add(d)
	}
	f.publishAll(list)
}

// sendRequests sends requests through all routers in turn for a duration, and returns when each
// engine got one. Each request ends at once.
func (f *fleet) sendRequests(d time.Duration, perTick int, no *uint64) map[string][]time.Time {
	got := map[string][]time.Time{}
	for end := f.now.Add(d); f.now.Before(end); {
		for range perTick {
			*no++
			id := f.order[int(*no)%len(f.order)]
			if f.cut[id] && f.nodes[id] == nil {
				continue
			}
			f.arrive(id, *no, engines, "a", 100)
			if p, placed := f.got[id][*no].(Placement); placed {
				got[p.Instance.ID] = append(got[p.Instance.ID], f.now)
				f.nodes[id].Step(End{ID: *no, Event: wire.ProgressDone}, f.now)
			}
		}
		f.run(TickInterval)
	}
	return got
}

// maxPerSecond returns the largest number of times within any second.
func maxPerSecond(at []time.Time) int {
	most, from := 0, 0
	for i := range at {
		for at[i].Sub(at[from]) >= time.Second {
			from++
		}
		most = max(most, i-from+1)
	}
	return most
}

// Load pattern: 200 requests a second for a cold engine.
func TestColdUpstreamGetsItsRateAndNoBurst(t *testing.T) {
	f := newColdFleet(t, 3, 1)
	no := uint64(0)
	f.sendRequests(time.Second, 2, &no)
	f.turnCold(1, 3*time.Second, 0)
	got := f.sendRequests(3*time.Second, 2, &no)["e0"]
	assert.LessOrEqual(t, maxPerSecond(got), 9)
	assert.GreaterOrEqual(t, float64(len(got)), 0.9*(coldRate*2), "the rate is used up; placements before it turned cold fill the first second")
	for i := 1; i < len(got); i++ {
		assert.GreaterOrEqual(t, got[i].Sub(got[i-1]), 40*time.Millisecond)
	}
	got = f.sendRequests(2*time.Second, 2, &no)["e0"]
	assert.Greater(t, len(got), 100, "it is warm")
}

// Requests that were placed before an engine turned cold may arrive after.
func TestPlacementsBeforeItTurnedColdCount(t *testing.T) {
	f := newColdFleet(t, 3, 1)
	no := uint64(0)
	before := f.sendRequests(time.Second, 1, &no)["e0"]
	require.Greater(t, len(before), 50)
	f.turnCold(1, 3*time.Second, 0)
	got := f.sendRequests(900*time.Millisecond, 1, &no)["e0"]
	assert.Empty(t, got)
}

func TestLocalDecisionsAvoidColdUpstreams(t *testing.T) {
	f := newColdFleet(t, 4, 2)
	f.turnCold(2, 30*time.Second, 0)
	id := f.other()
	f.cut[id] = true
	f.run(5 * time.Second)
	for no := range uint64(20) {
		f.arrive(id, no+1, engines, "a", 100)
		f.run(300 * time.Millisecond)
		assert.Equal(t, "e1", f.placed(id, no+1).Instance.ID)
		f.nodes[id].Step(End{ID: no + 1, Event: wire.ProgressDone}, f.now)
	}
	f.turnCold(2, 30*time.Second, 0, 1)
	f.arrive(id, 100, engines, "a", 100)
	f.run(300 * time.Millisecond)
	r, refused := f.got[id][100].(Refuse)
	require.True(t, refused)
	assert.Equal(t, ReasonCold, r.Reason)
}

// A scheduler that has just taken the role does not know its predecessor's placements.
func TestNewSchedulerWaitsForItsPredecessorsPlacements(t *testing.T) {
	f := newColdFleet(t, 5, 2)
	f.turnCold(2, 30*time.Second, 0)
	no := uint64(0)
	require.NotEmpty(t, f.sendRequests(2*time.Second, 1, &no)["e0"])
	f.cut[f.scheduler()] = true
	died := f.now
	got := f.sendRequests(6*time.Second, 1, &no)["e0"]
	require.NotEmpty(t, got)
	assert.GreaterOrEqual(t, got[0].Sub(died), coldWindow)
}

// A scheduler that is cut off does not know that another router has its role.
func TestIsolatedSchedulerAvoidsColdUpstreams(t *testing.T) {
	f := newColdFleet(t, 5, 1)
	s := f.scheduler()
	f.turnCold(1, 30*time.Second, 0)
	f.run(coldSettleDelay)
	f.cut[s] = true
	f.run(quorumWindow + quorumCacheTTL)
	for no := range uint64(5) {
		f.arrive(s, no+1, engines, "a", 100)
		r, refused := f.got[s][no+1].(Refuse)
		require.True(t, refused)
		assert.Equal(t, ReasonCold, r.Reason)
		f.run(200 * time.Millisecond)
	}
}

// A returned place may be cold as a whole before its entries say so.
func TestReturnedPlaceIsCold(t *testing.T) {
	f := newColdFleet(t, 3, 4)
	list := spreadOverPlaces(instances(4), "p", "q")
	f.publishAll(list, "p")
	no := uint64(0)
	assert.Empty(t, f.sendRequests(2*time.Second, 1, &no)["e0"])
	f.publishAll(list, "q")
	got := f.sendRequests(3*time.Second, 2, &no)
	for _, id := range []string{"e0", "e2"} {
		assert.LessOrEqual(t, maxPerSecond(got[id]), 9, id)
		assert.NotEmpty(t, got[id])
	}
	assert.Greater(t, maxPerSecond(f.sendRequests(2*time.Second, 2, &no)["e0"]), 20)
}

// An upstream that restarts under its ID is cold, even if its entry does not say so.
func TestRestartedUpstreamIsCold(t *testing.T) {
	f := newColdFleet(t, 3, 2)
	list := instances(2)
	list[0].Born = 100
	f.publishAll(list)
	no := uint64(0)
	f.sendRequests(2*time.Second, 1, &no)
	again := instances(2)
	again[0].Born = 200
	f.publishAll(again)
	assert.LessOrEqual(t, maxPerSecond(f.sendRequests(3*time.Second, 2, &no)["e0"]), 9)
}

// An upstream that answers nothing for seconds may restart under the same entry. Until the entry
// is rewritten, nothing says that the upstream is cold.
func TestSilentUpstreamIsTakenForCold(t *testing.T) {
	f := newColdFleet(t, 3, 1)
	id := f.scheduler()
	u := f.nodes[id].pools[serviceID(engines)].order[0]
	end := func(no uint64, event uint8) {
		f.arrive(id, no, engines, "a", 100)
		if _, placed := f.got[id][no].(Placement); placed {
			f.nodes[id].Step(End{ID: no, Event: event}, f.now)
		}
		f.run(100 * time.Millisecond)
	}
	for no := range uint64(30) {
		end(no+1, wire.ProgressFailed)
	}
	until, why := u.coldUntil()
	assert.Equal(t, ColdSilent, why)
	assert.True(t, until.After(f.now))
	f.run(time.Second)
	end(100, wire.ProgressDone)
	until, _ = u.coldUntil()
	assert.Equal(t, 3*time.Second-100*time.Millisecond, until.Sub(f.now), "by its first answer it has started")
	end(101, wire.ProgressDone)
	again, _ := u.coldUntil()
	assert.Equal(t, until, again)
}

// An upstream that loses only some answers is not taken for cold, since others arrive.
func TestUpstreamThatLosesSomeAnswersIsNotTakenForCold(t *testing.T) {
	f := newColdFleet(t, 3, 1)
	id := f.scheduler()
	for no := range uint64(120) {
		f.arrive(id, no+1, engines, "a", 100)
		event := wire.ProgressDone
		if no%4 != 0 {
			event = wire.ProgressFailed
		}
		f.nodes[id].Step(End{ID: no + 1, Event: event}, f.now)
		f.run(50 * time.Millisecond)
	}
	assert.False(t, f.nodes[id].pools[serviceID(engines)].order[0].isCold(0, f.now))
}

// The scheduler does not know yet that the upstream is cold.
func TestPlacementReplyIsRejectedForAColdUpstream(t *testing.T) {
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

func TestPlacementMaySend(t *testing.T) {
	cold := Placement{Cold: true, SendBy: start.Add(coldSendTimeout)}
	assert.True(t, cold.MaySend(start.Add(time.Minute), start))
	assert.False(t, cold.MaySend(time.Time{}, start.Add(coldSendTimeout)))
	warm := Placement{}
	assert.True(t, warm.MaySend(time.Time{}, start))
	assert.True(t, warm.MaySend(start.Add(coldEndTolerance), start), "it may have warmed up since")
	assert.False(t, warm.MaySend(start.Add(time.Second), start), "it has turned cold since")
}

// In a small fleet the routers place a plain service's requests themselves, but for cold
// upstreams the sum over all routers counts.
func TestColdPlainUpstreamsAreScheduled(t *testing.T) {
	f := newColdFleet(t, 4, 1)
	for _, id := range f.order {
		f.nodes[id].catalogue.Table.Services[counter].Cold = routing.Cold{Period: 3 * time.Second, RequestsPerSecond: coldRate}
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
		f.nodes[id].Step(End{ID: no + 1, Event: wire.ProgressDone}, f.now)
		f.run(TickInterval)
	}
	assert.LessOrEqual(t, maxPerSecond(got), 9)
	assert.NotEmpty(t, got)
}
