package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/silverswitch/silverswitch/internal/core/wire"
	"github.com/silverswitch/silverswitch/internal/routing"
)

// see lets every router that watches read the store every so often.
func (f *fleet) see(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); {
		for _, id := range f.order {
			if !f.cut[id] && f.nodes[id].Watches(f.now) {
				f.nodes[id].Step(Sighted{}, f.now)
			}
		}
		f.run(time.Second)
	}
}

func (f *fleet) watching() (ids []wire.NodeID) {
	for _, id := range f.order {
		if f.nodes[id].Watches(f.now) {
			ids = append(ids, id)
		}
	}
	return ids
}

func TestFewRoutersOfALargeFleetWatch(t *testing.T) {
	f := newFleet(t, 20, 2)
	f.see(10 * time.Second)
	assert.Len(t, f.watching(), watchers)
	small := newFleet(t, watchers, 2)
	small.see(5 * time.Second)
	assert.Len(t, small.watching(), watchers, "in a small fleet all do")
}

func TestWatchersThatDieAreReplaced(t *testing.T) {
	f := newFleet(t, 20, 2)
	f.see(10 * time.Second)
	old := f.watching()
	for _, id := range old {
		f.cut[id] = true
	}
	f.see(20 * time.Second)
	n := 0
	for _, id := range f.watching() {
		if !f.cut[id] {
			n++
		}
	}
	assert.GreaterOrEqual(t, n, watchers)
	assert.Less(t, n, 15)
}

// When no watcher can read the store, everyone looks for itself.
func TestNoSightOfTheStoreMakesEveryoneLook(t *testing.T) {
	f := newFleet(t, 20, 2)
	f.see(10 * time.Second)
	f.run(15 * time.Second) // nobody reads it
	assert.Len(t, f.watching(), 20)
}

func TestDeltaIsAppliedWhereItFollows(t *testing.T) {
	f := newFleet(t, 3, 2)
	a, b := f.order[0], f.order[1]
	outs := func(d *wire.StoreDelta) []Output {
		f.nodes[b].Step(Receive{Datagram: &wire.Datagram{From: a, Inc: 1, Dispatch: &wire.Dispatch{Delta: d, Reading: &wire.StoreReading{Reader: a, Inc: 1, No: 1}}}}, f.now)
		return f.nodes[b].Ready(f.now)
	}
	d := &wire.StoreDelta{From: 9, To: 12, Removed: []string{"e0"}}
	require.Contains(t, outs(d), Apply{From: a, Delta: d})
	old := &wire.StoreDelta{From: 3, To: 9}
	assert.NotContains(t, outs(old), Apply{From: a, Delta: old}, "nothing new")
	gap := &wire.StoreDelta{From: 30, To: 31}
	assert.NotContains(t, outs(gap), Apply{From: a, Delta: gap}, "changes between are missing")
	assert.Equal(t, uint64(31), f.nodes[b].ahead[a].revision, "it is fetched whole")
	withTable := &wire.StoreDelta{From: 9, To: 40, Table: true}
	assert.NotContains(t, outs(withTable), Apply{From: a, Delta: withTable})
	assert.Equal(t, uint64(40), f.nodes[b].ahead[a].revision)
}

func TestEveryRouterIsToldOfAChange(t *testing.T) {
	f := newFleet(t, 4, 2)
	f.nodes[f.order[0]].Step(Sighted{Delta: &wire.StoreDelta{From: 9, To: 10}}, f.now)
	told := map[wire.NodeID]bool{}
	for _, o := range f.nodes[f.order[0]].Ready(f.now) {
		if s, ok := o.(Send); ok && s.Datagram.Dispatch != nil && s.Datagram.Dispatch.Delta != nil {
			told[s.To] = true
		}
	}
	assert.Len(t, told, 3)
}

// A router that is cut off from its peers still reaches the store: it must look for
// itself well before the bounds on leaving upstreams and new tables, 2 s with 8
// routers and 3 s with 60. It took 4 to 7 s before.
func TestRouterCutFromItsPeersLooksForItself(t *testing.T) {
	for routers, bound := range map[int]time.Duration{8: 1700 * time.Millisecond, 60: 2600 * time.Millisecond} {
		f := newFleet(t, routers, 2)
		f.see(10 * time.Second)
		var lone wire.NodeID
		for _, id := range f.order {
			if !f.nodes[id].Watches(f.now) {
				lone = id
			}
		}
		require.NotEmpty(t, lone)
		f.cut[lone] = true
		began := f.now
		for !f.nodes[lone].Watches(f.now) && f.now.Sub(began) < bound {
			f.see(100 * time.Millisecond)
		}
		assert.True(t, f.nodes[lone].Watches(f.now), "%d routers", routers)
	}
}

// An old reading that goes round does not look young: only a reading that was not
// heard of before counts.
func TestReadingPassedOnDoesNotGetYounger(t *testing.T) {
	f := newFleet(t, 8, 2)
	f.see(10 * time.Second)
	for range 50 {
		f.run(100 * time.Millisecond) // nobody reads the store, all tell each other
	}
	for _, id := range f.order {
		assert.GreaterOrEqual(t, f.now.Sub(f.nodes[id].store.at), 4*time.Second)
	}
}

// Routers that the store turns away are not chosen to watch, until they are tried
// again.
func TestWatchersThatTheStoreTurnsAwayAreReplaced(t *testing.T) {
	f := newFleet(t, 20, 2)
	f.see(10 * time.Second)
	away := map[wire.NodeID]bool{}
	for _, id := range f.watching() {
		away[id] = true
	}
	look := func(d time.Duration) {
		for end := f.now.Add(d); f.now.Before(end); f.run(200 * time.Millisecond) {
			for _, id := range f.order {
				switch {
				case !f.nodes[id].Watches(f.now):
				case away[id]:
					f.nodes[id].Step(Unsighted{}, f.now)
				default:
					f.nodes[id].Step(Sighted{}, f.now)
				}
			}
		}
	}
	look(4 * time.Second)
	others := 0
	for _, id := range f.watching() {
		if !away[id] {
			others++
		}
	}
	assert.Equal(t, watchers, others)
	clear(away)
	look(blindFor + 4*time.Second)
	assert.Len(t, f.watching(), watchers)
}

// What is missing after an outage may have lapsed in it. Routers that did not watch
// hear of the outage with the reading that ended it.
func TestReturnOfTheStoreIsTold(t *testing.T) {
	f := newFleet(t, 8, 2)
	f.see(5 * time.Second)
	f.nodes[f.order[0]].Step(Sighted{Back: true, Delta: &wire.StoreDelta{From: 9, To: 10}}, f.now)
	for _, id := range f.order[1:] {
		f.nodes[id].Ready(f.now)
	}
	for _, o := range f.nodes[f.order[0]].Ready(f.now) {
		if s, ok := o.(Send); ok && s.Datagram.Dispatch != nil {
			d := *s.Datagram
			d.From = f.order[0]
			f.nodes[s.To].Step(Receive{Datagram: &d}, f.now)
		}
	}
	for _, id := range f.order[1:] {
		outs := f.nodes[id].Ready(f.now)
		back, apply := -1, -1
		for i, o := range outs {
			switch o.(type) {
			case StoreBack:
				back = i
			case Apply:
				apply = i
			}
		}
		assert.GreaterOrEqual(t, back, 0)
		assert.Greater(t, apply, back, "the changes come after")
	}
}

// A router that started after the store had come back from a copy listed an older table than
// its peers hold, as of the same revision, and never read theirs.
func TestRouterWithTheCopysTableReadsTheNewerOneOfAPeer(t *testing.T) {
	f := newFleet(t, 3, 2)
	newer, id := f.order[0], f.order[1]
	b := routing.Builder{Number: 2}
	for _, s := range f.nodes[newer].cat.Table.Services {
		b.Services = append(b.Services, s)
	}
	tab, err := b.Build()
	require.NoError(t, err)
	c := wholeCatalogue(f.nodes[newer])
	c.Table = tab
	f.nodes[newer].Step(c, f.now)
	read := map[wire.NodeID]wire.NodeID{}
	f.onFetch = func(id, from wire.NodeID) { read[id] = from }
	f.run(time.Second)
	assert.Equal(t, newer, read[id])
	assert.NotContains(t, read, newer, "it has the newest")
}
