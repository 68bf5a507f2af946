package member

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/silverswitch/silverswitch/internal/core/wire"
)

var t0 = time.Unix(1_800_000_000, 0)

const (
	self wire.NodeID = "10.0.0.1:1"
	peer wire.NodeID = "10.0.0.2:1"
)

func newTable(seeds ...wire.NodeID) *Table {
	return New(wire.Update{ID: self, Inc: 5, Place: "a"}, seeds, t0, rand.New(rand.NewPCG(1, 1)))
}

func receiveFromPeer(t *Table, now time.Time) {
	t.Handle(&wire.Datagram{From: peer, Inc: 7}, now)
}

// run ticks for a while and returns the pings sent.
func run(t *Table, from time.Time, d time.Duration) (pings []Send) {
	for now := from; now.Before(from.Add(d)); now = now.Add(50 * time.Millisecond) {
		for _, s := range t.Tick(now) {
			if s.Ping != nil {
				pings = append(pings, s)
			}
		}
	}
	return pings
}

func TestSilentRouterIsSuspectedThenDead(t *testing.T) {
	m := newTable(peer)
	receiveFromPeer(m, t0)
	require.Equal(t, wire.Alive, m.Get(peer).State)
	run(m, t0, 1500*time.Millisecond)
	assert.Equal(t, wire.Suspect, m.Get(peer).State)
	assert.Contains(t, m.Live(true), peer, "suspicion is not death")
	run(m, t0.Add(1500*time.Millisecond), 3*time.Second)
	assert.Equal(t, wire.Dead, m.Get(peer).State)
	assert.NotContains(t, m.Live(true), peer)
	assert.Contains(t, m.Roster(), peer, "quorums are taken over dead routers too")
}

func TestDirectEvidenceClearsSuspicion(t *testing.T) {
	m := newTable(peer)
	receiveFromPeer(m, t0)
	m.Suspect(peer, t0)
	receiveFromPeer(m, t0.Add(time.Second))
	assert.Equal(t, wire.Alive, m.Get(peer).State)
}

func TestDeadRouterIsPingedAndReturns(t *testing.T) {
	m := newTable(peer)
	receiveFromPeer(m, t0)
	run(m, t0, 6*time.Second)
	require.Equal(t, wire.Dead, m.Get(peer).State)
	assert.NotEmpty(t, run(m, t0.Add(6*time.Second), 5*time.Second))
	assert.Equal(t, wire.Dead, m.piggyback(peer)[0].State, "it receives the update of its death")
	m.Handle(&wire.Datagram{From: peer, Inc: 7, Refutations: m.Get(peer).Refutations + 1}, t0.Add(12*time.Second))
	assert.Equal(t, wire.Alive, m.Get(peer).State)
}

func TestReportOfOwnDeathIsRefuted(t *testing.T) {
	m := newTable(peer)
	m.Handle(&wire.Datagram{From: peer, Inc: 7, Updates: []wire.Update{{ID: self, Inc: 5, Refutations: 3, State: wire.Dead}}}, t0)
	assert.Equal(t, uint32(4), m.Self().Refutations)
	m.Handle(&wire.Datagram{From: peer, Inc: 7, Updates: []wire.Update{{ID: self, Inc: 4, Refutations: 9, State: wire.Dead}}}, t0)
	assert.Equal(t, uint32(4), m.Self().Refutations, "the report is about a former process")
}

func TestUpdatesAreOrdered(t *testing.T) {
	alive := wire.Update{Inc: 2, Refutations: 1}
	for _, c := range []struct {
		u    wire.Update
		wins bool
	}{
		{wire.Update{Inc: 3}, true},
		{wire.Update{Inc: 1, Refutations: 9, State: wire.Dead}, false},
		{wire.Update{Inc: 2, Refutations: 2}, true},
		{wire.Update{Inc: 2, Refutations: 0, State: wire.Dead}, false},
		{wire.Update{Inc: 2, Refutations: 1, State: wire.Suspect}, true},
		{wire.Update{Inc: 2, Refutations: 1}, false},
	} {
		assert.Equal(t, c.wins, supersedes(c.u, alive), "%+v", c.u)
	}
}

func TestLeavingRouterTakesNoSchedulerRole(t *testing.T) {
	m := newTable()
	m.Handle(&wire.Datagram{From: peer, Inc: 7, State: wire.Leaving}, t0)
	assert.Contains(t, m.Live(true), peer)
	assert.NotContains(t, m.Live(false), peer)
	m.Leave()
	assert.NotContains(t, m.Live(false), self)
}

func TestIndirectProbesPrecedeSuspicion(t *testing.T) {
	m := newTable()
	for i := 2; i < 6; i++ {
		m.Handle(&wire.Datagram{From: wire.NodeID(fmt.Sprintf("10.0.0.%d:1", i)), Inc: 1}, t0)
	}
	asked := 0
	for _, s := range run(m, t0, 900*time.Millisecond) {
		if s.Ping.Target != "" {
			asked++
		}
	}
	assert.Equal(t, indirectProbes, asked)
}

// The number of probes does not grow with the fleet.
func TestProbesAreBounded(t *testing.T) {
	m := newTable()
	for i := range 360 {
		m.Handle(&wire.Datagram{From: wire.NodeID(fmt.Sprintf("10.0.%d.%d:1", i/250, i%250+2)), Inc: 1}, t0)
	}
	pings := run(m, t0.Add(time.Second), 20*time.Second)
	assert.LessOrEqual(t, len(pings), 20*(1+indirectProbes)+10+maxSeedPings)
	assert.LessOrEqual(t, len(m.piggyback(peer)), maxPiggyback)
}

// Routers that started just before their seeds stayed alone for seconds, each as its own
// scheduler, when the seeds were pinged only once.
func TestSeedsArePingedUntilOneAnswers(t *testing.T) {
	now := t0
	tab := New(wire.Update{ID: "a", Inc: 1}, []wire.NodeID{"b", "c"}, now, rand.New(rand.NewPCG(1, 1)))
	pings := func(d time.Duration) int {
		n := 0
		for end := now.Add(d); now.Before(end); now = now.Add(50 * time.Millisecond) {
			n += len(tab.Tick(now))
		}
		return n
	}
	assert.GreaterOrEqual(t, pings(900*time.Millisecond), 8)
	tab.Handle(&wire.Datagram{From: "b", Inc: 1}, now)
	pings(joinDuration)
	tab.Handle(&wire.Datagram{From: "b", Inc: 1}, now)
	assert.LessOrEqual(t, pings(900*time.Millisecond), 3, "and not forever")
}

// When all routers start at once, each knew only the few routers that its seeds had met by
// then, and for seconds they disagreed on the schedulers.
func TestRoutersStartedTogetherFindEachOther(t *testing.T) {
	const routers = 40
	now := t0
	ids := make([]wire.NodeID, routers)
	tabs := map[wire.NodeID]*Table{}
	for i := range ids {
		ids[i] = wire.NodeID(fmt.Sprintf("10.0.0.%d:1", i))
		tabs[ids[i]] = New(wire.Update{ID: ids[i], Inc: 1, Place: "a"}, ids[:min(3, i+1)], now, rand.New(rand.NewPCG(uint64(i), 1)))
	}
	var deliver func(from wire.NodeID, s Send)
	deliver = func(from wire.NodeID, s Send) {
		src, dst := tabs[from], tabs[s.To]
		d := &wire.Datagram{Ping: s.Ping, Ack: s.Ack}
		src.Fill(d, s.To)
		for _, reply := range dst.Handle(d, now) {
			deliver(s.To, reply)
		}
	}
	for range 20 { // one second
		now = now.Add(50 * time.Millisecond)
		for _, id := range ids {
			for _, s := range tabs[id].Tick(now) {
				deliver(id, s)
			}
		}
	}
	for _, id := range ids {
		assert.Len(t, tabs[id].Live(true), routers, id)
	}
}
