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

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

const (
	engines = "engines"
	counter = "counter"
)

// fleet is a few nodes with a network between them that can lose everything to and
// from some.
type fleet struct {
	t     *testing.T
	now   time.Time
	nodes map[wire.NodeID]*Node
	order []wire.NodeID
	cut   map[wire.NodeID]bool
	got   map[wire.NodeID]map[uint64]Output // Place or Refuse
	evs   []Event
}

func table(t *testing.T, tokensPerSecond float64) *routing.Table {
	t.Helper()
	b := routing.Builder{Number: 1, Limits: routing.Limits{TokensPerSecond: tokensPerSecond}, Services: []*routing.Service{
		{Name: engines, Engine: &routing.Engine{Slots: 64, MemoryTokens: 200_000, TokenBytes: 1, EventTokens: 3}},
		{Name: counter},
	}}
	tab, err := b.Build()
	require.NoError(t, err)
	return tab
}

func instances(n int) []routing.Instance {
	var out []routing.Instance
	for i := range n {
		out = append(out, routing.Instance{ID: fmt.Sprintf("e%d", i), Service: engines, Address: fmt.Sprintf("10.0.0.%d:1", i), Place: "p"})
	}
	return append(out, routing.Instance{ID: "c0", Service: counter, Address: "10.0.1.0:1", Place: "p"},
		routing.Instance{ID: "c1", Service: counter, Address: "10.0.1.1:1", Place: "q"})
}

func newFleet(t *testing.T, nodes, ups int) *fleet {
	f := &fleet{t: t, now: start, nodes: map[wire.NodeID]*Node{}, cut: map[wire.NodeID]bool{}, got: map[wire.NodeID]map[uint64]Output{}}
	for i := range nodes {
		id := wire.NodeID(fmt.Sprintf("10.1.0.%d:1", i))
		n := New(Settings{ID: id, Inc: 1, Place: "p", Seeds: []wire.NodeID{"10.1.0.0:1"}, Retry: DefaultRetryRules, Seed: uint64(i)}, start)
		n.Step(Catalogue{Table: table(t, 390_000), Instances: instances(ups), Revision: 5, AsOf: 9}, start)
		f.nodes[id] = n
		f.order = append(f.order, id)
		f.got[id] = map[uint64]Output{}
	}
	f.run(2 * time.Second)
	return f
}

// deliver carries datagrams until none is left.
func (f *fleet) deliver() {
	for moved := true; moved; {
		moved = false
		for _, id := range f.order {
			for _, o := range f.nodes[id].Ready(f.now) {
				switch o := o.(type) {
				case Send:
					moved = true
					if to := f.nodes[o.To]; to != nil && !f.cut[id] && !f.cut[o.To] {
						raw, err := wire.Encode(o.Datagram)
						require.NoError(f.t, err)
						d, err := wire.Decode(raw)
						require.NoError(f.t, err)
						d.From = id
						to.Step(Receive{Datagram: d}, f.now)
					}
				case Place:
					f.got[id][o.ID] = o
				case Refuse:
					f.got[id][o.ID] = o
				case Event:
					f.evs = append(f.evs, o)
				}
			}
		}
	}
}

func (f *fleet) run(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); {
		f.now = f.now.Add(TickEvery)
		for _, id := range f.order {
			f.nodes[id].Tick(f.now)
		}
		f.deliver()
	}
}

func (f *fleet) arrive(id wire.NodeID, no uint64, service, org string, input int, parts ...wire.PromptPart) {
	f.nodes[id].Step(Arrive{Request: Request{ID: no, Service: service, Org: org, Input: input, Output: 50, Parts: parts,
		Aim: f.now.Add(600 * time.Millisecond), Deadline: f.now.Add(6 * time.Second)}}, f.now)
	f.deliver()
}

func (f *fleet) placed(id wire.NodeID, no uint64) Place {
	f.t.Helper()
	p, ok := f.got[id][no].(Place)
	require.True(f.t, ok, "%s %d: %#v", id, no, f.got[id][no])
	return p
}

func (f *fleet) scheduler() wire.NodeID {
	return f.nodes[f.order[0]].schedulerOf(serviceID(engines), f.now)
}

func (f *fleet) other() wire.NodeID {
	for _, id := range f.order {
		if id != f.scheduler() {
			return id
		}
	}
	f.t.Fatal("no other router")
	return ""
}

func TestAllRoutersAgreeOnTheScheduler(t *testing.T) {
	f := newFleet(t, 5, 4)
	want := f.scheduler()
	for _, id := range f.order {
		assert.Equal(t, want, f.nodes[id].schedulerOf(serviceID(engines), f.now))
		assert.Len(t, f.nodes[id].Routers(), 5)
	}
}

func TestLoadIsSpreadByTokensOfAllRouters(t *testing.T) {
	f := newFleet(t, 3, 4)
	seen := map[string]int{}
	for i := range 8 {
		id := f.order[i%3]
		f.arrive(id, uint64(i+1), engines, "a", 1000)
		seen[f.placed(id, uint64(i+1)).Instance.ID]++
	}
	for e, n := range seen {
		assert.Equal(t, 2, n, e)
	}
	assert.Len(t, seen, 4)
}

func TestPromptPartsDrawRequestsToWhoeverKeepsThem(t *testing.T) {
	f := newFleet(t, 3, 4)
	parts := []wire.PromptPart{{Part: 11, Tokens: 2500}, {Part: 12, Tokens: 3700}}
	a, b := f.order[0], f.order[1]
	f.arrive(a, 1, engines, "a", 9000, parts...)
	first := f.placed(a, 1)
	assert.Equal(t, 9000, first.Work)
	f.nodes[a].Step(First{ID: 1, After: 300 * time.Millisecond}, f.now)
	f.run(300 * time.Millisecond)
	f.nodes[a].Step(End{ID: 1, Event: wire.NoteDone}, f.now)
	f.arrive(b, 1, engines, "b", 8000, parts...)
	second := f.placed(b, 1)
	assert.Equal(t, first.Instance.ID, second.Instance.ID)
	assert.Equal(t, 8000-6200, second.Work)
}

func TestKeptPartsAreFetchedWhenTheirEngineIsBusy(t *testing.T) {
	f := newFleet(t, 2, 3)
	parts := []wire.PromptPart{{Part: 11, Tokens: 6000}}
	a := f.order[0]
	f.arrive(a, 1, engines, "a", 6500, parts...)
	home := f.placed(a, 1)
	f.nodes[a].Step(First{ID: 1, After: 250 * time.Millisecond}, f.now)
	f.run(300 * time.Millisecond)
	for no := uint64(2); no < 12; no++ {
		f.arrive(a, no, engines, "a", 7500, parts...)
		if p := f.placed(a, no); p.Instance.ID != home.Instance.ID {
			assert.Equal(t, home.Instance.Address, p.Source)
			assert.Equal(t, 1500, p.Work)
			return
		}
	}
	t.Fatal("every request went to the same engine")
}

func TestSilentSchedulerIsReplacedWithinAFewTicks(t *testing.T) {
	f := newFleet(t, 4, 4)
	dead := f.scheduler()
	id := f.other()
	f.cut[dead] = true
	f.arrive(id, 1, engines, "a", 3000)
	assert.Nil(t, f.got[id][1])
	f.run(askGiveUp + 2*TickEvery)
	f.placed(id, 1)
	f.arrive(id, 2, engines, "a", 3000)
	f.run(2 * TickEvery)
	f.placed(id, 2) // at once: the silent one is passed over
	f.cut[dead] = false
	f.run(5 * time.Second)
	assert.Equal(t, dead, f.nodes[id].schedulerOf(serviceID(engines), f.now), "heard again, it is the scheduler again")
}

func TestAnAskThatIsRepeatedCountsOnce(t *testing.T) {
	f := newFleet(t, 2, 2)
	s, id := f.scheduler(), f.other()
	ask := wire.WorkAsk{No: 1, Try: 1, Service: serviceID(engines), Org: 3, Input: 1000, AimMS: 600, LeftMS: 6000}
	for range 3 {
		f.nodes[s].answer(id, &ask, f.now)
	}
	p := f.nodes[s].pools[serviceID(engines)]
	assert.Len(t, p.runs, 1)
	total := 0
	for _, u := range p.ups {
		total += len(u.queue)
	}
	assert.Equal(t, 1, total)
}

func TestDrainingUpstreamsGetNothing(t *testing.T) {
	f := newFleet(t, 2, 2)
	list := instances(2)
	list[0].Draining = true
	for _, id := range f.order {
		f.nodes[id].Step(Catalogue{Table: table(t, 390_000), Instances: list, Revision: 6, AsOf: 10}, f.now)
	}
	for i := range 6 {
		f.arrive(f.order[i%2], uint64(i+1), engines, "a", 1000)
		assert.Equal(t, "e1", f.placed(f.order[i%2], uint64(i+1)).Instance.ID)
	}
}

// The scheduler may not yet know that an upstream is leaving.
func TestPlacementOnAnUpstreamKnownToLeaveIsNotUsed(t *testing.T) {
	f := newFleet(t, 2, 2)
	id := f.other()
	list := instances(2)
	list[0].Draining = true
	f.nodes[id].Step(Catalogue{Table: table(t, 390_000), Instances: list, Revision: 6, AsOf: 10}, f.now)
	for i := range 6 {
		f.arrive(id, uint64(i+1), engines, "a", 1000)
		assert.Equal(t, "e1", f.placed(id, uint64(i+1)).Instance.ID)
	}
}

func TestFailingUpstreamRestsAndIsTriedAgain(t *testing.T) {
	f := newFleet(t, 1, 2)
	id := f.order[0]
	no := uint64(0)
	bad := "e0"
	failed := 0
	for range 40 {
		no++
		f.arrive(id, no, engines, "a", 500)
		p := f.placed(id, no)
		event := wire.NoteDone
		if p.Instance.ID == bad {
			event = wire.NoteFailed
			failed++
		} else {
			f.nodes[id].Step(First{ID: no, After: 60 * time.Millisecond}, f.now)
		}
		f.nodes[id].Step(End{ID: no, Event: event}, f.now)
		f.run(50 * time.Millisecond)
	}
	assert.GreaterOrEqual(t, failed, 3, "it is tried again")
	assert.LessOrEqual(t, failed, 12, "but seldom")
}

func TestAgainAvoidsTheUpstreamThatFailed(t *testing.T) {
	f := newFleet(t, 1, 2)
	id := f.order[0]
	f.arrive(id, 1, engines, "a", 500)
	first := f.placed(id, 1).Instance.ID
	f.nodes[id].Step(Again{ID: 1, Event: wire.NoteFailed}, f.now)
	f.deliver()
	assert.NotEqual(t, first, f.placed(id, 1).Instance.ID)
}

func TestRetryBudgetIsKeptByTheFleet(t *testing.T) {
	rules := RetryRules{Ratio: 0.2, Window: 10 * time.Second, Slack: 52}
	const routers = 6
	spent, requests := 0, 0
	var budgets []*retryBudget
	for range routers {
		budgets = append(budgets, newRetryBudget(rules))
	}
	now := start
	for range 1000 {
		now = now.Add(10 * time.Millisecond)
		for _, b := range budgets[:2] { // all traffic enters by two of six
			b.request(now)
			requests++
			if b.take(routers, 0.5, now) { // each has half of the requests
				spent++
			}
		}
	}
	assert.LessOrEqual(t, float64(spent), rules.Ratio*float64(requests)+float64(rules.Slack))
	assert.Greater(t, spent, requests/10)
}

func TestOrganisationOverItsShareIsRefusedFirst(t *testing.T) {
	f := newFleet(t, 1, 2)
	id := f.order[0]
	placed := map[string]int{}
	refused := map[string]int{}
	no := uint64(0)
	for i := range 400 {
		org := "large"
		if i%8 == 0 {
			org = "small"
		}
		no++
		f.arrive(id, no, engines, org, 4000)
		switch o := f.got[id][no].(type) {
		case Place:
			placed[org]++
			f.nodes[id].Step(First{ID: no, After: time.Duration(22+o.WaitMS+o.Work/30) * time.Millisecond}, f.now)
			f.nodes[id].Step(End{ID: no, Event: wire.NoteDone}, f.now)
		case Refuse:
			refused[org]++
			assert.Positive(t, o.After)
		}
		// Twice as fast as two engines read.
		f.now = f.now.Add(30 * time.Millisecond)
		f.nodes[id].Tick(f.now)
		f.deliver()
	}
	assert.Less(t, float64(refused["small"])/50, 0.3, "%v %v", placed, refused)
}

func TestMaxMinShares(t *testing.T) {
	m := newMeter(1000) // 4,000 in a window
	m.ask(1, 500, start)
	m.ask(2, 3000, start)
	m.ask(3, 9000, start)
	m.grant(1, 500, start)
	m.grant(2, 1750, start)
	m.grant(3, 3500, start)
	assert.LessOrEqual(t, m.over(1, start), 1.0)
	assert.InDelta(t, 1.0, m.over(2, start), 0.001)
	assert.InDelta(t, 2.0, m.over(3, start), 0.001)
	later := start.Add(5 * time.Second)
	assert.Zero(t, m.over(3, later), "the window has passed")
}

func TestCacheForgetsTheLeastRecentlyUsed(t *testing.T) {
	c := newCache(100)
	c.add(1, 40, true, start)
	c.add(2, 40, true, start)
	c.add(1, 40, true, start)
	c.add(3, 40, false, start)
	c.fit(0)
	assert.Equal(t, 40, c.prefix([]wire.PromptPart{{Part: 1, Tokens: 40}, {Part: 2, Tokens: 40}}, true))
	assert.Zero(t, c.prefix([]wire.PromptPart{{Part: 3, Tokens: 40}}, true), "not read yet")
	assert.Equal(t, 40, c.prefix([]wire.PromptPart{{Part: 3, Tokens: 40}}, false))
	c.fit(80)
	assert.Zero(t, c.prefix([]wire.PromptPart{{Part: 1, Tokens: 40}}, true), "running requests need the memory")
}

func TestPeerThatKnowsMoreIsAsked(t *testing.T) {
	f := newFleet(t, 2, 2)
	a, b := f.order[0], f.order[1]
	f.nodes[a].Step(Catalogue{Table: table(t, 1), Instances: instances(2), Revision: 20, AsOf: 20}, f.now)
	fetched := false
	for range 100 {
		f.now = f.now.Add(TickEvery)
		for _, id := range f.order {
			f.nodes[id].Tick(f.now)
			for _, o := range f.nodes[id].Ready(f.now) {
				switch o := o.(type) {
				case Send:
					o.Datagram.From = id
					f.nodes[o.To].Step(Receive{Datagram: o.Datagram}, f.now)
				case Fetch:
					assert.Equal(t, a, o.From)
					fetched = id == b
				}
			}
		}
	}
	assert.True(t, fetched)
}

// Prompts of running requests are among the kept parts: counted twice, a busy
// engine seemed to keep nothing, and parts were read again elsewhere.
func TestRunningPromptsAreNotCountedTwice(t *testing.T) {
	u := newUpstream(routing.Instance{ID: "e"}, &routing.Engine{Slots: 64, MemoryTokens: 200_000})
	shared := wire.PromptPart{Part: 1, Tokens: 6000}
	for i := range 20 {
		own := wire.PromptPart{Part: uint64(100 + i), Tokens: 2000}
		u.placeRun(&run{key: runKey{"a", uint64(i)}, tokens: 2050, output: 50, parts: []wire.PromptPart{shared, own}}, start)
	}
	assert.Equal(t, 20*2050, u.memory())
	assert.Equal(t, 46_000, u.cache.used)
	assert.Equal(t, 6000, u.cache.prefix([]wire.PromptPart{shared}, false))
}

// What waits for a patient route makes the others wait too.
func TestWaitsAreKeptWithinTheStrictestTarget(t *testing.T) {
	b := routing.Builder{Number: 1, Services: []*routing.Service{{Name: "s", Engine: &routing.Engine{Slots: 64, MemoryTokens: 200_000}}}}
	for i, ms := range []int{1000, 600, 800} {
		b.Routes = append(b.Routes, &routing.Route{Name: fmt.Sprint(i), Prefix: "/", Timeout: time.Second, Target: time.Duration(ms) * time.Millisecond,
			Split: []routing.Part{{Service: "s", Weight: 1}}})
	}
	tab, err := b.Build()
	require.NoError(t, err)
	assert.InDelta(t, 600, strictest(tab, "s"), 0)
	p := newPool(tab.Services["s"], 0)
	a := &wire.WorkAsk{AimMS: 1000, LeftMS: 4000}
	patient := p.waitLimit(a, &choice{}, 0)
	p.aim = strictest(tab, "s")
	assert.InDelta(t, 0.6*patient, p.waitLimit(a, &choice{}, 0), 1)
}

// Seen on a grown day (LOST): a stream whose upstream broke was refused another
// for the wait there, and cut.
func TestBegunRequestsAreNotRefusedForTheWait(t *testing.T) {
	f := newFleet(t, 1, 2)
	id := f.order[0]
	f.arrive(id, 1, engines, "a", 500)
	f.placed(id, 1)
	for no := uint64(2); no < 40; no++ {
		f.arrive(id, no, engines, "b", 4000)
	}
	f.nodes[id].Step(Again{ID: 1, Event: wire.NoteFailed}, f.now)
	f.deliver()
	f.placed(id, 1)
	f.arrive(id, 50, engines, "a", 500)
	_, refused := f.got[id][50].(Refuse)
	assert.True(t, refused, "a new request would wait too long")
}

// Seen in a hunt on ghadiyal (FAIR): two organisations were both so far over their
// shares that they might wait equally long, and the one that sent more got most.
func TestOfTwoFarOverTheFartherWaitsLess(t *testing.T) {
	p := newPool(&routing.Service{Name: "s", Engine: &routing.Engine{Slots: 64, MemoryTokens: 200_000}}, 1000)
	for org := range uint32(10) {
		p.meter.ask(version.ID(org+1), 10_000, start)
	}
	limits := map[int]float64{}
	for _, got := range []int{300, 800, 1600, 3200} {
		p.meter.of(1).got = [shareSteps]float64{}
		p.meter.grant(1, float64(got), start)
		limits[got] = p.waitLimit(&wire.WorkAsk{Org: 1, AimMS: 600, LeftMS: 6000}, &choice{}, p.meter.over(1, start))
	}
	assert.Greater(t, limits[300], limits[800])
	assert.Greater(t, limits[800], 1.5*limits[1600])
	assert.Greater(t, limits[1600], 1.5*limits[3200])
}

// A placement whose upstream has left before the request was sent is no repeat.
func TestPlacementThatWasNotUsedTakesNoBudget(t *testing.T) {
	f := newFleet(t, 1, 3)
	id := f.order[0]
	f.nodes[id].set.Retry = RetryRules{Ratio: 0, Window: 10 * time.Second, Slack: 0}
	f.arrive(id, 1, engines, "a", 100)
	first := f.placed(id, 1)
	f.nodes[id].Step(Again{ID: 1, Event: wire.NoteUnused}, f.now)
	f.deliver()
	assert.NotEqual(t, first.Instance.ID, f.placed(id, 1).Instance.ID)
	f.nodes[id].Step(Again{ID: 1, Event: wire.NoteFailed}, f.now)
	f.deliver()
	r, refused := f.got[id][1].(Refuse)
	require.True(t, refused)
	assert.Equal(t, ReasonBudget, r.Reason)
}

// Seen on ghadiyal-grown trouble-1: every upstream of a plain service fails almost
// half of its requests, so all rest at times; refusing everything meanwhile serves
// nobody.
func TestWhenAllRestOneIsTried(t *testing.T) {
	f := newFleet(t, 1, 2)
	id := f.order[0]
	for _, service := range []string{counter, engines} {
		for _, u := range f.nodes[id].pools[serviceID(service)].order {
			u.rest.failed(f.now)
			u.rest.failed(f.now)
			require.True(t, u.rest.resting(f.now))
		}
	}
	f.arrive(id, 1, counter, "a", 0)
	f.placed(id, 1)
	f.arrive(id, 2, engines, "a", 100)
	f.placed(id, 2)
	f.nodes[id].pools[serviceID(counter)].order[1].rest = rest{}
	f.arrive(id, 3, counter, "a", 0)
	assert.Equal(t, f.nodes[id].pools[serviceID(counter)].order[1].inst.ID, f.placed(id, 3).Instance.ID, "those that do not rest go first")
}

// In a large fleet routers hear of each other's use of a plain service too late to
// choose alone.
func TestLargeFleetPlacesPlainWorkAtOneRouter(t *testing.T) {
	f := newFleet(t, plainAlone+4, 2)
	by := map[wire.NodeID]bool{}
	load := map[string]int{}
	for i, id := range f.order {
		f.arrive(id, uint64(i), counter, "a", 0)
		p := f.placed(id, uint64(i))
		by[p.By] = true
		load[p.Instance.ID]++
	}
	assert.Len(t, by, 1)
	assert.InDelta(t, load["c0"], load["c1"], 2)
	small := newFleet(t, 4, 2)
	for i, id := range small.order {
		small.arrive(id, uint64(i), counter, "a", 0)
		assert.Equal(t, id, small.placed(id, uint64(i)).By)
	}
}

// Where routes of one service differ in priority, the more urgent ones are served
// more often when there is not room for all.
func TestUrgentRequestsWaitLongerThanOthers(t *testing.T) {
	one := 1
	b := routing.Builder{Number: 2, Services: []*routing.Service{{Name: engines, Engine: &routing.Engine{Slots: 64, MemoryTokens: 200_000}}, {Name: counter}}}
	for i, priority := range []int{0, 2} {
		b.Routes = append(b.Routes, &routing.Route{Name: fmt.Sprint(i), Host: "h", Prefix: fmt.Sprintf("/%d/", i), Priority: priority, Timeout: time.Second, Split: []routing.Part{{Service: engines, Weight: 1}}})
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
		return p.waitLimit(&wire.WorkAsk{Org: 1, AimMS: 600, LeftMS: 6000, Priority: priority}, &choice{}, 0)
	}
	assert.Greater(t, limit(0), limit(1))
	assert.Greater(t, limit(1), limit(2))
	p.urgency = urgency{2}
	assert.InDelta(t, limit(0), limit(2), 0.01, "one priority alone changes nothing")
}

// An organisation whose last key was taken away leaves the deployment closed.
func TestTableWithoutAnyKeyLetsNobodyIn(t *testing.T) {
	var b routing.Builder
	b.AddOrganisation(&routing.Organisation{Name: "a"}, nil)
	tab, err := b.Build()
	require.NoError(t, err)
	assert.True(t, tab.HasKeys())
	assert.Nil(t, tab.ByKey(""))
	open, err := (&routing.Builder{}).Build()
	require.NoError(t, err)
	assert.False(t, open.HasKeys())
}

// The slack goes where the requests are, and a router that is cut off from the
// others keeps to its part.
func TestRetrySlackFollowsDemand(t *testing.T) {
	f := newFleet(t, 4, 2)
	rules := RetryRules{Ratio: 0, Window: 10 * time.Second, Slack: 100}
	service := serviceID(engines)
	for _, id := range f.order {
		f.nodes[id].set.Retry = rules
	}
	busy, quiet := f.order[0], f.order[1]
	for range 90 {
		f.nodes[busy].budget(service).request(f.now)
	}
	for range 10 {
		f.nodes[quiet].budget(service).request(f.now)
	}
	f.run(time.Second) // they tell each other
	spend := func(id wire.NodeID) (n int) {
		for f.nodes[id].budget(service).take(f.nodes[id].fleetSize(), f.nodes[id].demandOf(service, f.now), f.now) {
			n++
		}
		return n
	}
	assert.InDelta(t, 0.9, f.nodes[busy].demandOf(service, f.now), 0.01)
	assert.Zero(t, f.nodes[f.order[2]].demandOf(service, f.now))
	f.cut[busy] = true
	f.run(5 * time.Second)
	assert.InDelta(t, 0.9, f.nodes[busy].demandOf(service, f.now), 0.01, "the others' last word holds in a cut")
	total := 0
	var each []int
	for _, id := range f.order {
		n := spend(id)
		each = append(each, n)
		total += n
	}
	assert.LessOrEqual(t, total, 100)
	assert.Greater(t, each[0], 2*each[1], "%v", each)
	assert.GreaterOrEqual(t, each[2], 11, "an even part is there for everyone")
}

// However far an organisation is over its share, it is served while an engine has
// nothing to read, whatever that costs.
func TestIdleEngineTakesWhoeverIsOverItsShare(t *testing.T) {
	f := newFleet(t, 1, 1)
	id := f.order[0]
	p := f.nodes[id].pools[serviceID(engines)]
	p.meter.ask(version.IDOf("other"), 390_000*4, f.now)
	p.meter.ask(version.IDOf("flood"), 390_000*40, f.now)
	p.meter.grant(version.IDOf("flood"), 390_000*20, f.now)
	require.Greater(t, p.meter.over(version.IDOf("flood"), f.now), 5.0)
	f.nodes[id].place = version.IDOf("elsewhere") // and it keeps no connection there
	f.arrive(id, 1, engines, "flood", 3000)
	f.placed(id, 1)
	f.arrive(id, 2, engines, "flood", 3000)
	_, refused := f.got[id][2].(Refuse)
	assert.True(t, refused, "behind the first one it would wait")
}
