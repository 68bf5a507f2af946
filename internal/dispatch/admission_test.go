package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/silverswitch/silverswitch/internal/core/wire"
	"github.com/silverswitch/silverswitch/internal/routing"
	"github.com/silverswitch/silverswitch/internal/version"
)

// Two engines read 30 tokens a millisecond each, and twice as much is requested. First
// events come when such engines would produce them.
func TestOrganisationOverItsShareIsRefusedFirst(t *testing.T) {
	f := newFleet(t, 1, 2)
	id := f.order[0]
	f.nodes[id].Step(Catalogue{Table: table(t, 60_000), Instances: instances(2), Revision: 6, AsOf: 10}, f.now)
	requested, refused := map[string]int{}, map[string]int{}
	free := map[string]time.Time{}
	type event struct {
		at time.Time
		in []Input
	}
	var events []event
	for no := uint64(1); no <= 400; no++ {
		org := "large"
		if no%8 == 0 {
			org = "small"
		}
		requested[org]++
		f.arrive(id, no, engines, org, 4000)
		switch o := f.got[id][no].(type) {
		case Placement:
			begun := f.now
			if free[o.Instance.ID].After(begun) {
				begun = free[o.Instance.ID]
			}
			free[o.Instance.ID] = begun.Add(time.Duration(o.PrefillTokens/30) * time.Millisecond)
			at := free[o.Instance.ID].Add(20 * time.Millisecond)
			events = append(events, event{at, []Input{FirstEvent{ID: no, After: at.Sub(f.now)}, End{ID: no, Event: wire.ProgressDone}}})
		case Refuse:
			refused[org]++
			assert.Positive(t, o.After)
		}
		for range 3 { // 4,000 tokens in 30 ms: 133 a millisecond
			f.run(TickInterval)
			for len(events) > 0 && !events[0].at.After(f.now) {
				for _, in := range events[0].in {
					f.nodes[id].Step(in, f.now)
				}
				events = events[1:]
			}
		}
	}
	part := func(org string) float64 { return float64(refused[org]) / float64(requested[org]) }
	assert.Less(t, part("small"), 0.3, "%v of %v", refused, requested)
	assert.Greater(t, part("large"), 0.4)
}

func TestMaxMinShares(t *testing.T) {
	m := newMeter(1000) // 4,000 in a window
	m.addRequest(1, 500, start)
	m.addRequest(2, 3000, start)
	m.addRequest(3, 9000, start)
	m.addGrant(1, 500, start)
	m.addGrant(2, 1750, start)
	m.addGrant(3, 3500, start)
	assert.LessOrEqual(t, m.usedShare(1, start), 1.0)
	assert.InDelta(t, 1.0, m.usedShare(2, start), 0.001)
	assert.InDelta(t, 2.0, m.usedShare(3, start), 0.001)
	later := start.Add(5 * time.Second)
	assert.Zero(t, m.usedShare(3, later), "the window is over")
}

// A long wait accepted for a route with a lenient target would delay requests of routes
// with stricter targets at the same engine.
func TestWaitLimitFollowsStrictestTarget(t *testing.T) {
	b := routing.Builder{Number: 1, Services: []*routing.Service{{Name: "s", Engine: &routing.Engine{Slots: 64, MemoryTokens: 200_000}}}}
	for i, ms := range []int{1000, 600, 800} {
		b.Routes = append(b.Routes, &routing.Route{Name: fmt.Sprint(i), Prefix: "/", Timeout: time.Second, TargetLatency: time.Duration(ms) * time.Millisecond,
			Split: []routing.WeightedService{{Service: "s", Weight: 1}}})
	}
	tab, err := b.Build()
	require.NoError(t, err)
	assert.InDelta(t, 600, strictestTargetMS(tab, "s"), 0)
	p := newPool(tab.Services["s"], 0)
	a := &wire.PlacementRequest{TargetMS: 1000, DeadlineMS: 4000}
	patient := p.waitLimit(a, &choice{}, 0)
	p.targetMS = strictestTargetMS(tab, "s")
	assert.InDelta(t, 0.6*patient, p.waitLimit(a, &choice{}, 0), 1)
}

// A stream whose upstream had failed was refused another one because of the wait there, and
// was cut.
func TestRetriedRequestIsNotRefusedForTheWait(t *testing.T) {
	f := newFleet(t, 1, 2)
	id := f.order[0]
	f.arrive(id, 1, engines, "a", 500)
	f.placed(id, 1)
	for no := uint64(2); no < 40; no++ {
		f.arrive(id, no, engines, "b", 4000)
	}
	f.nodes[id].Step(PlaceAgain{ID: 1, Event: wire.ProgressFailed}, f.now)
	f.deliver()
	f.placed(id, 1)
	f.arrive(id, 50, engines, "a", 500)
	_, refused := f.got[id][50].(Refuse)
	assert.True(t, refused, "a new request would wait too long")
}

// Two organisations far over their shares were allowed the same wait, so that the one that
// sent more requests got most.
func TestWaitLimitFallsWithUseBeyondShare(t *testing.T) {
	p := newPool(&routing.Service{Name: "s", Engine: &routing.Engine{Slots: 64, MemoryTokens: 200_000}}, 1000)
	for org := range uint32(10) {
		p.meter.addRequest(version.ID(org+1), 10_000, start)
	}
	limits := map[int]float64{}
	for _, got := range []int{300, 800, 1600, 3200} {
		p.meter.usageOf(1).got = [shareSteps]float64{}
		p.meter.addGrant(1, float64(got), start)
		limits[got] = p.waitLimit(&wire.PlacementRequest{Org: 1, TargetMS: 600, DeadlineMS: 6000}, &choice{}, p.meter.usedShare(1, start))
	}
	assert.Greater(t, limits[300], limits[800])
	assert.Greater(t, limits[800], 1.5*limits[1600])
	assert.Greater(t, limits[1600], 1.5*limits[3200])
}

// Where routes of one service differ in priority, the more urgent ones are served more
// often while there is not room for all.
func TestUrgentRequestsMayWaitLonger(t *testing.T) {
	one := 1
	b := routing.Builder{Number: 2, Services: []*routing.Service{{Name: engines, Engine: &routing.Engine{Slots: 64, MemoryTokens: 200_000}}, {Name: counter}}}
	for i, priority := range []int{0, 2} {
		b.Routes = append(b.Routes, &routing.Route{Name: fmt.Sprint(i), Host: "h", Prefix: fmt.Sprintf("/%d/", i), Priority: priority, Timeout: time.Second, Split: []routing.WeightedService{{Service: engines, Weight: 1}}})
	}
	b.AddOrganisation(&routing.Organisation{Name: "own", Priority: &one}, nil)
	tab, err := b.Build()
	require.NoError(t, err)
	u := urgencyOf(tab, engines)
	assert.Equal(t, urgency{0, 1, 2}, u)
	assert.Equal(t, urgency{1}, urgencyOf(tab, counter))
	assert.Equal(t, []int{0, 1, 2, 2}, []int{u.rank(0), u.rank(1), u.rank(2), u.rank(9)})
	assert.Zero(t, urgency(nil).rank(3))
	p := newPool(b.Services[0], 0)
	p.urgency = u
	limit := func(priority uint8) float64 {
		return p.waitLimit(&wire.PlacementRequest{Org: 1, TargetMS: 600, DeadlineMS: 6000, Priority: priority}, &choice{}, 0)
	}
	assert.Greater(t, limit(0), limit(1))
	assert.Greater(t, limit(1), limit(2))
	p.urgency = urgency{2}
	assert.InDelta(t, limit(0), limit(2), 0.01, "one priority alone changes nothing")
}

// However far an organisation is over its share, it is served while an engine has nothing
// to read, whatever the other costs of that engine.
func TestIdleEngineAcceptsOrganisationOverItsShare(t *testing.T) {
	f := newFleet(t, 1, 1)
	id := f.order[0]
	p := f.nodes[id].pools[serviceID(engines)]
	p.meter.addRequest(version.IDOf("other"), 390_000*4, f.now)
	p.meter.addRequest(version.IDOf("flood"), 390_000*40, f.now)
	p.meter.addGrant(version.IDOf("flood"), 390_000*20, f.now)
	require.Greater(t, p.meter.usedShare(version.IDOf("flood"), f.now), 5.0)
	f.nodes[id].place = version.IDOf("elsewhere") // where the router keeps no connection either
	f.arrive(id, 1, engines, "flood", 3000)
	f.placed(id, 1)
	f.arrive(id, 2, engines, "flood", 3000)
	_, refused := f.got[id][2].(Refuse)
	assert.True(t, refused, "it would have to wait behind the first request")
}

// Engines served two fifths of the stated capacity, so that nobody reached its share, and
// all organisations were allowed the same wait: a flood kept the wait at that limit for
// everyone.
func TestWaitRatioFallsTowardsShare(t *testing.T) {
	last := maxWaitRatio
	assert.Equal(t, last, waitRatio(0))
	for over := 0.05; over < 5; over += 0.05 {
		part := waitRatio(over)
		assert.Less(t, part, last, "over %.2f", over)
		last = part
	}
	assert.InDelta(t, maxWaitRatioAtShare, waitRatio(1), 1e-9)
}
