package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/silverswitch/silverswitch/internal/core/wire"
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
	small := newFleet(t, 4, 2)
	small.see(5 * time.Second)
	assert.Len(t, small.watching(), 4, "in a small fleet all do")
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
		f.nodes[b].Step(Receive{Datagram: &wire.Datagram{From: a, Inc: 1, Work: &wire.Work{Delta: d, Sight: 1}}}, f.now)
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
		if s, ok := o.(Send); ok && s.Datagram.Work != nil && s.Datagram.Work.Delta != nil {
			told[s.To] = true
		}
	}
	assert.Len(t, told, 3)
}
