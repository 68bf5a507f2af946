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

// group is a few tables with a network that loses everything to and from some of them.
type group struct {
	now  time.Time
	ids  []wire.NodeID
	tabs map[wire.NodeID]*Table
	cut  map[wire.NodeID]bool
	told int // updates in answers to routers that join
	sent int // updates in all datagrams
}

func newGroup(routers, seeds int) *group {
	g := &group{now: t0, tabs: map[wire.NodeID]*Table{}, cut: map[wire.NodeID]bool{}}
	for i := range routers {
		g.ids = append(g.ids, wire.NodeID(fmt.Sprintf("10.0.%d.%d:1", i/100, i%100)))
	}
	for i, id := range g.ids {
		g.tabs[id] = New(wire.Update{ID: id, Inc: 1, Place: "a"}, g.ids[:seeds], g.now, rand.New(rand.NewPCG(uint64(i), 1)))
	}
	return g
}

func (g *group) deliver(from wire.NodeID, s Send) {
	d := &wire.Datagram{Ping: s.Ping, Ack: s.Ack}
	g.tabs[from].Fill(d, s.To)
	if g.cut[from] || g.cut[s.To] || g.tabs[s.To] == nil {
		return
	}
	g.sent += len(d.Updates)
	if d.Told != 0 {
		g.told += len(d.Updates)
	}
	for _, reply := range g.tabs[s.To].Hear(d, g.now) {
		g.deliver(s.To, reply)
	}
}

func (g *group) run(d time.Duration) {
	for end := g.now.Add(d); g.now.Before(end); {
		g.now = g.now.Add(50 * time.Millisecond)
		for _, id := range g.ids {
			for _, s := range g.tabs[id].Tick(g.now) {
				g.deliver(id, s)
			}
		}
	}
}

// Load pattern: a whole fleet starts together and each router asks its seeds sixteen times
// for every router they know. Answered whole each time, that was 2,600 updates a router here
// (three seeds, 60 routers), and 0.1 GB between places with 195 routers.
func TestCommonStartTellsEachRouterOnce(t *testing.T) {
	const routers = 60
	g := newGroup(routers, 3)
	g.run(joinFor + time.Second)
	for _, id := range g.ids {
		require.Len(t, g.tabs[id].Live(true), routers, id)
	}
	assert.Less(t, g.told, 2*routers*routers)
	assert.Less(t, g.sent, 4*routers*routers)
}

// What a seed told before it ended says nothing of what the next process knows.
func TestSeedThatStartsAgainTellsAll(t *testing.T) {
	g := newGroup(20, 1)
	g.run(300 * time.Millisecond)
	seed, other := g.ids[0], g.ids[7]
	fresh := New(wire.Update{ID: seed, Inc: 2, Place: "a"}, g.ids[:1], g.now, rand.New(rand.NewPCG(9, 9)))
	for _, id := range g.ids[1:] {
		fresh.Hear(&wire.Datagram{From: id, Inc: 1}, g.now)
	}
	g.tabs[seed] = fresh
	before := g.told
	g.deliver(other, Send{To: seed, Ping: &wire.Ping{Seq: 99}})
	assert.GreaterOrEqual(t, g.told-before, 18)
}

// A lost answer is given again: the asker still names what it knew.
func TestLostAnswerIsGivenAgain(t *testing.T) {
	g := newGroup(10, 1)
	g.run(300 * time.Millisecond)
	seed, other := g.tabs[g.ids[0]], g.tabs[g.ids[3]]
	seed.Hear(&wire.Datagram{From: "10.9.9.9:1", Inc: 1}, g.now)
	for range 2 {
		ask := &wire.Datagram{Ping: &wire.Ping{Seq: 1}}
		other.Fill(ask, g.ids[0])
		require.NotNil(t, ask.Join)
		seed.Hear(ask, g.now)
		answer := &wire.Datagram{}
		seed.Fill(answer, g.ids[3])
		require.Len(t, answer.Updates, 1, "the one router that is new")
		assert.Equal(t, wire.NodeID("10.9.9.9:1"), answer.Updates[0].ID)
	}
}

// A seed that does not answer is passed over for the next one.
func TestJoinGoesOnWithTheNextSeed(t *testing.T) {
	g := newGroup(30, 3)
	g.cut[g.ids[0]], g.cut[g.ids[2]] = true, true
	g.run(joinFor)
	for _, id := range g.ids[3:] {
		assert.GreaterOrEqual(t, len(g.tabs[id].Live(true)), 28, id)
	}
}
