package relay

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

var start = time.Unix(1_000_000, 0)

// place is the largest place of deployment B: small routers, and a few with more CPU.
func place() []Peer {
	var peers []Peer
	for i := range 28 {
		power := uint32(192)
		if i < 2 {
			power = 800
		}
		peers = append(peers, Peer{ID: string(rune('a' + i)), Power: power})
	}
	return peers
}

// decisions plays periods against a decider, whose helpers open at once and state spare CPU.
type decisions struct {
	t       *testing.T
	d       *Decider
	now     time.Time
	opened  map[string]int // sessions asked for, by router
	changes []Orders       // starts and ends
	state   func(id string) Message
	refuses func(id string) bool // the session cannot be opened
}

func newDecisions(t *testing.T) *decisions {
	return &decisions{t: t, d: NewDecider(1), now: start, opened: map[string]int{},
		state:   func(string) Message { return Message{Accepting: true, Spare: 500} },
		refuses: func(string) bool { return false }}
}

func (p *decisions) period(o Observation) Orders {
	p.now = p.now.Add(DecisionInterval)
	orders := p.d.Observe(o, p.now)
	if orders.Started || orders.Ended {
		p.changes = append(p.changes, orders)
	}
	for _, id := range orders.Open {
		p.opened[id]++
		if p.refuses(id) {
			p.d.Failed(id, p.now)
		} else {
			p.d.Opened(id)
		}
	}
	for id := range p.d.helpers {
		p.d.Stated(id, p.state(id), p.now)
	}
	return orders
}

// arrive returns how many of n connections are relayed. They end at once.
func (p *decisions) arrive(n int) int {
	relayed := 0
	for range n {
		if id, ok := p.d.Choose(); ok {
			relayed++
			p.d.ConnectionEnded(id)
		}
	}
	return relayed
}

func busyRouter() Observation { return Observation{Use: 0.9, Power: 192, Peers: place()} }

func calmRouter() Observation { return Observation{Use: 0.1, Power: 192, Peers: place()} }

// The load: a small router receives 1,400 connections a second for 8 s while its place is
// idle. Served directly a connection takes 0.3 ms of CPU, relayed a third or a sixth; with the
// latter the router is calm while it relays. Guards against a router that keeps serving the
// flood, and against relaying that switches on and off while the flood lasts.
func TestFloodAtSmallRouterIsRelayed(t *testing.T) {
	for _, relayedCost := range []float64{0.1, 0.05} {
		p := newDecisions(t)
		const perPeriod, directCost, power = 140, 0.3, 0.192 // cost in ms
		relayed, total, use := 0, 0, 0.05
		for range 80 {
			p.period(Observation{Use: min(1, use), Power: 192, Peers: place()})
			n := p.arrive(perPeriod)
			use = (float64(perPeriod-n)*directCost + float64(n)*relayedCost) / 100 / power
			relayed, total = relayed+n, total+perPeriod
		}
		assert.Greater(t, float64(relayed)/float64(total), 0.75)
		require.Len(t, p.changes, 1)
		assert.True(t, p.changes[0].Started)
		assert.Len(t, p.opened, 2, "two helpers are asked")
		for range 60 {
			p.period(calmRouter())
		}
		require.Len(t, p.changes, 2)
		assert.True(t, p.changes[1].Ended)
		assert.Zero(t, p.arrive(perPeriod))
	}
}

// Guards against relaying for a single burst, such as a garbage collection or a stall by a CPU
// quota, and against any effect on deployments whose routers are alike.
func TestRoutersWithoutNeedDoNotRelay(t *testing.T) {
	alike, alone, unknown, stopping := busyRouter(), busyRouter(), busyRouter(), busyRouter()
	alike.Peers = []Peer{{"a", 192}, {"b", 192}}
	alone.Peers = nil
	unknown.Power = 0
	stopping.Stopping = true
	burst := newDecisions(t)
	for range 20 {
		burst.period(busyRouter())
		burst.period(busyRouter())
		burst.period(calmRouter())
	}
	assert.Empty(t, burst.opened, "bursts")
	for name, o := range map[string]Observation{"alike": alike, "alone": alone, "unknown CPU": unknown, "stopping": stopping, "calm": calmRouter(),
		"not a number": {Use: math.NaN(), ShedRatio: math.Inf(1), Power: 192, Peers: place()}, "negative": {Use: -5, ShedRatio: -1, Power: 192, Peers: place()}} {
		p := newDecisions(t)
		for range 50 {
			p.period(o)
		}
		assert.Empty(t, p.opened, name)
		assert.Zero(t, p.arrive(100), name)
	}
}

// Guards against a busy router that is not recognised because its periods differ, as they do
// where a CPU quota has periods of its own.
func TestUnevenUseCounts(t *testing.T) {
	p := newDecisions(t)
	for i := range 20 {
		o := busyRouter()
		o.Use = []float64{1, 0.6}[i%2]
		p.period(o)
	}
	assert.Equal(t, 1.0, p.d.Fraction())
}

// A router that lags sheds load before it has used its CPU.
func TestLaggingRouterRelays(t *testing.T) {
	p := newDecisions(t)
	for range 10 {
		p.period(Observation{Use: 0.55, ShedRatio: 0.2, Power: 192, Peers: place()})
	}
	assert.Positive(t, p.arrive(100))
	assert.Equal(t, "scheduling lag", p.changes[0].Reason)
}

// Guards against flapping: between the two thresholds nothing changes.
func TestRelayingEndsWithHysteresis(t *testing.T) {
	p := newDecisions(t)
	for range 10 {
		p.period(busyRouter())
	}
	for range 200 {
		p.period(Observation{Use: 0.6, Power: 192, Peers: place()})
	}
	assert.Equal(t, 1.0, p.d.Fraction())
	for range 30 {
		p.period(calmRouter())
	}
	assert.True(t, p.d.Relaying(), "3 s of calm do not end it")
}

// Guards against helpers that are driven into overload: the one with more spare CPU gets more,
// one that declines or has no CPU left gets nothing, and without any the router serves itself.
func TestHelperWithMoreSpareCPUIsChosen(t *testing.T) {
	p := newDecisions(t)
	for range 10 {
		p.period(busyRouter())
	}
	var ids []string
	for id := range p.opened {
		ids = append(ids, id)
	}
	require.Len(t, ids, 2)
	count := func(states ...Message) map[string]int {
		for i, m := range states {
			p.d.Stated(ids[i], m, p.now)
		}
		n := map[string]int{}
		for range 1000 {
			id, ok := p.d.Choose()
			if !ok {
				id = "self"
			}
			n[id]++
		}
		return n
	}
	n := count(Message{Accepting: true, Spare: 700}, Message{Accepting: true, Spare: 400})
	assert.Greater(t, n[ids[0]], n[ids[1]])
	assert.Positive(t, n[ids[1]])
	assert.Positive(t, n["self"], "what both have stated is used up")
	assert.Equal(t, map[string]int{"self": 1000}, count(Message{Spare: 700}, Message{Accepting: true, Spare: 700, Stopping: true}), "declined")
	assert.Equal(t, map[string]int{"self": 1000}, count(Message{Accepting: true, Spare: 30}, Message{Accepting: true}), "no CPU left")
}

// Guards against a tight loop of attempts at routers of the previous release, which have no
// listener, and at helpers that decline.
func TestHelpersThatFailOrDeclineAreNotAskedAgainSoon(t *testing.T) {
	for name, set := range map[string]func(*decisions){
		"no listener": func(p *decisions) { p.refuses = func(string) bool { return true } },
		"declines":    func(p *decisions) { p.state = func(string) Message { return Message{} } },
	} {
		p := newDecisions(t)
		set(p)
		for range 100 { // 10 s
			p.period(busyRouter())
			assert.Zero(t, p.arrive(100), name)
		}
		total := 0
		for id, n := range p.opened {
			assert.LessOrEqual(t, n, 2, "%s: %s", name, id)
			total += n
		}
		assert.LessOrEqual(t, total, 2*11, "%s: two a second", name)
	}
}

// The draw follows the CPU: routers with more of it are asked more often.
func TestHelpersAreDrawnInProportionToCPU(t *testing.T) {
	d := NewDecider(7)
	n := map[uint32]int{}
	candidates := []Peer{{"a", 192}, {"b", 192}, {"c", 768}, {"d", 1}}
	for range 10_000 {
		n[candidates[d.drawOne(candidates)].Power]++
	}
	assert.InDelta(t, 2.0, float64(n[768])/float64(n[192]), 0.2)
}

// Sessions are closed some time after relaying has ended, and only without connections.
func TestIdleSessionsAreClosed(t *testing.T) {
	p := newDecisions(t)
	for range 10 {
		p.period(busyRouter())
	}
	held, ok := p.d.Choose()
	require.True(t, ok)
	closed := map[string]bool{}
	for range 200 {
		for _, id := range p.period(calmRouter()).Close {
			closed[id] = true
		}
	}
	assert.Len(t, closed, 1)
	assert.False(t, closed[held])
	p.d.ConnectionEnded(held)
	assert.Equal(t, []string{held}, p.period(calmRouter()).Close)
}

// Guards against relaying that goes on while this router stops.
func TestStoppingRouterEndsRelaying(t *testing.T) {
	p := newDecisions(t)
	for range 10 {
		p.period(busyRouter())
	}
	o := busyRouter()
	o.Stopping = true
	orders := p.period(o)
	assert.True(t, orders.Ended)
	assert.Len(t, orders.Close, 2)
	assert.Zero(t, p.arrive(10))
}
