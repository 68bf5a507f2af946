package dispatch

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/silverswitch/silverswitch/internal/core/wire"
	"github.com/silverswitch/silverswitch/internal/fingerprint"
	"github.com/silverswitch/silverswitch/internal/routing"
)

const crashingPart = 0xbad

// crashWith ends an engine during attempts with parts, each at a router of its own.
func (f *fleet) crashWith(routers []wire.NodeID, engine string, early bool, parts ...uint64) {
	inst := routing.Instance{ID: engine, Service: engines, Address: "10.0.0.9:1", Place: "p"}
	for _, id := range routers {
		f.crashed(id, AttemptIncomplete{Content: fingerprint.Fingerprint(f.now.UnixNano()), Org: "alpha", Instance: inst, Parts: parts, Began: f.now.Add(-80 * time.Millisecond), Early: early, Lost: true})
	}
}

// holdsPart reports whether a router holds a part.
func (f *fleet) holdsPart(id wire.NodeID, part uint64) bool {
	n := f.nodes[id]
	n.partViewAt = time.Time{}
	if view, changed := n.HeldParts(f.now); changed {
		f.partViews[id] = view
	}
	s, held := f.partViews[id][serviceID(engines)][part]
	return held && s.Held(f.now) > 0
}

func (f *fleet) routersHoldingPart(part uint64) int {
	n := 0
	for _, id := range f.order {
		if f.holdsPart(id, part) {
			n++
		}
	}
	return n
}

// Guards against requests with a part that is known to crash upstreams reaching further ones by a
// router that does not know it: all routers hold it three seconds after the fifth crash at the
// latest, though a tenth of the datagrams is lost and each crash is seen by another router.
func TestPartIsHeldByAllRoutersWithinBound(t *testing.T) {
	t.Parallel()
	for _, routers := range []int{8, 60} {
		f := newFleet(t, routers, 8)
		rnd := rand.New(rand.NewPCG(5, uint64(routers)))
		f.lose = func() bool { return rnd.IntN(10) == 0 }
		for no := range 5 {
			part := uint64(crashingPart + no)
			for i := range 5 {
				f.crashWith([]wire.NodeID{f.order[(no+i)%routers]}, fmt.Sprintf("x%d-%d", no, i), true, uint64(100*no+i), part)
				f.run(200 * time.Millisecond)
			}
			f.run(3*time.Second - 200*time.Millisecond)
			assert.Equal(t, routers, f.routersHoldingPart(part), "%d routers, part %d", routers, no)
		}
	}
}

// Guards against a part that is unknown on one side of a cut after it has healed, to a router that
// starts, and to its scheduler.
func TestPartIsHeldAfterCutsAndRestarts(t *testing.T) {
	f := newFleet(t, 8, 8)
	cut := f.order[5]
	f.cut[cut] = true
	f.run(5 * time.Second)
	for i := range 4 {
		f.crashWith([]wire.NodeID{f.order[i]}, fmt.Sprint("x", i), true, uint64(100+i), crashingPart)
		f.run(200 * time.Millisecond)
	}
	f.run(2 * time.Second)
	assert.Equal(t, 7, f.routersHoldingPart(crashingPart))
	f.cut[cut] = false
	f.run(5 * time.Second)
	assert.True(t, f.holdsPart(cut, crashingPart))
	for _, id := range []wire.NodeID{f.scheduler(), f.other()} {
		f.restart(id)
		f.run(time.Second)
		assert.True(t, f.holdsPart(id, crashingPart), "%s", id)
	}
}

// Guards against a sound part that is held because it ran beside a guilty one: the first part of
// the prompt that all requests share, and one of a session whose streams are tried again and meet
// one crash after the other.
func TestPartsBesideTheCrashingOneAreNotHeld(t *testing.T) {
	f := newFleet(t, 8, 8)
	const shared, session = 0xf1, 0x5e55
	sound := routing.Instance{ID: "sound", Service: engines, Address: "10.0.0.8:1", Place: "p"}
	for i := range 12 {
		engine := fmt.Sprint("x", i)
		f.crashWith([]wire.NodeID{f.order[i%8]}, engine, true, shared, crashingPart)
		if i%3 != 1 {
			f.crashWith([]wire.NodeID{f.order[(i+3)%8]}, engine, false, shared, session)
		}
		f.run(100 * time.Millisecond)
		f.nodes[f.order[(i+1)%8]].Step(PromptAnswered{Org: "alpha", Instance: sound, Parts: []uint64{shared, uint64(i)}, Began: f.now.Add(-80 * time.Millisecond), Framed: true}, f.now)
		f.run(200 * time.Millisecond)
	}
	f.run(2 * time.Second)
	assert.Equal(t, 8, f.routersHoldingPart(crashingPart))
	assert.Zero(t, f.routersHoldingPart(shared))
	assert.Zero(t, f.routersHoldingPart(session), "its crashes are explained by the other part")
}

// Racks lose power every two seconds, three times as often as it takes to hold a part, under
// prompts of which all share a first part, some a second one, and each session a third one. Of the
// sessions one in three is not answered between two outages, so few of their parts may be held, and
// none that sessions share.
func TestRacksThatLosePowerHoldNoSoundPart(t *testing.T) {
	const sessions, outages, rack, mostHeld = 60, 9, 8, 3
	rnd := rand.New(rand.NewPCG(9, 9))
	f := newFleet(t, 3, 4)
	sound := routing.Instance{ID: "sound", Service: engines, Address: "10.0.0.8:1", Place: "p"}
	parts := func(s int) []uint64 { return []uint64{1, uint64(10 + s%6), uint64(100 + s)} }
	for outage := range outages {
		for s := range sessions {
			engine := rnd.IntN(3 * rack)
			if engine >= rack {
				continue // at an engine that goes on
			}
			inst := routing.Instance{ID: fmt.Sprintf("e%d-%d", engine, outage), Service: engines, Address: "10.0.0.9:1", Place: "p"}
			f.crashed(f.order[s%3], AttemptIncomplete{Content: fingerprint.Fingerprint(1000*outage + s), Org: "alpha", Instance: inst, Parts: parts(s), Began: f.now.Add(-time.Duration(rnd.IntN(2000)) * time.Millisecond), Early: rnd.IntN(10) == 0, Lost: true})
		}
		f.run(800 * time.Millisecond)
		for s := range sessions {
			if rnd.IntN(3) > 0 {
				f.nodes[f.order[rnd.IntN(3)]].Step(PromptAnswered{Org: "alpha", Instance: sound, Parts: parts(s), Began: f.now.Add(-500 * time.Millisecond), Framed: true}, f.now)
			}
		}
		f.run(1200 * time.Millisecond)
		held := 0
		for part := range uint64(100 + sessions) {
			if f.holdsPart(f.order[0], part) {
				assert.GreaterOrEqual(t, part, uint64(100), "outage %d", outage)
				held++
			}
		}
		assert.LessOrEqual(t, held, mostHeld, "outage %d", outage)
	}
}

// What parts cost: a crash under which 64 requests ran, with three shared parts each, all at other
// routers, in bytes that a router receives, and memory.
func TestPartRecordsAreBounded(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 30, 8)
	f.run(2 * time.Second)
	bytes := 0
	f.onSend = func(_ wire.NodeID, s Send) {
		if s.To == f.order[0] && s.Datagram.Parts != nil {
			raw, err := wire.Encode(&wire.Datagram{Parts: s.Datagram.Parts})
			require.NoError(t, err)
			bytes += len(raw)
		}
	}
	for i := range 64 {
		f.crashWith([]wire.NodeID{f.order[1+i%29]}, "x", false, 1, uint64(10+i%8), uint64(100+i))
	}
	f.run(2 * time.Second)
	records := 1 + 8 + 64
	t.Logf("%d bytes for %d parts", bytes, records)
	assert.Less(t, bytes, 3*records*100*2, "each part is announced three times, by few of the routers that saw it")
	n := f.nodes[f.order[0]]
	n.Step(PromptAnswered{Org: "alpha", Instance: routing.Instance{ID: "sound", Service: engines}, Parts: []uint64{1}, Began: f.now, Framed: true}, f.now)
	f.run(time.Second)
	for _, id := range f.order {
		assert.False(t, f.holdsPart(id, 1))
	}
}
