package dispatch

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/silverswitch/silverswitch/internal/core/wire"
	"github.com/silverswitch/silverswitch/internal/routing"
)

// runReadingStore runs the fleet for a duration; the routers that watch read the store each second.
func (f *fleet) runReadingStore(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); {
		for _, id := range f.order {
			if !f.cut[id] && f.nodes[id].Watches(f.now) {
				f.nodes[id].Step(StoreRead{}, f.now)
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

func TestLargeFleetHasFewWatchers(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 20, 2)
	f.runReadingStore(10 * time.Second)
	assert.Len(t, f.watching(), watcherCount)
	small := newFleet(t, watcherCount, 2)
	small.runReadingStore(5 * time.Second)
	assert.Len(t, small.watching(), watcherCount, "in a small fleet all watch")
}

func TestDeadWatchersAreReplaced(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 20, 2)
	f.runReadingStore(10 * time.Second)
	old := f.watching()
	for _, id := range old {
		f.cut[id] = true
	}
	f.runReadingStore(20 * time.Second)
	n := 0
	for _, id := range f.watching() {
		if !f.cut[id] {
			n++
		}
	}
	assert.GreaterOrEqual(t, n, watcherCount)
	assert.Less(t, n, 15)
}

// If no watcher can read the store, every router reads it itself.
func TestAllRoutersReadTheStoreWithoutReadings(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 20, 2)
	f.runReadingStore(10 * time.Second)
	f.run(15 * time.Second) // no router reads it
	assert.Len(t, f.watching(), 20)
}

func TestDeltaIsAppliedOnlyIfItFollows(t *testing.T) {
	f := newFleet(t, 3, 2)
	a, b := f.order[0], f.order[1]
	outs := func(d *wire.StoreDelta) []Output {
		f.nodes[b].Step(Receive{Datagram: &wire.Datagram{From: a, Inc: 1, Dispatch: &wire.Dispatch{Delta: d, Reading: &wire.StoreReading{Reader: a, Inc: 1, No: 1}}}}, f.now)
		return f.nodes[b].Ready(f.now)
	}
	d := &wire.StoreDelta{From: 9, To: 12, Removed: []string{"e0"}}
	require.Contains(t, outs(d), ApplyDelta{From: a, Delta: d})
	old := &wire.StoreDelta{From: 3, To: 9}
	assert.NotContains(t, outs(old), ApplyDelta{From: a, Delta: old}, "it has nothing new")
	gap := &wire.StoreDelta{From: 30, To: 31}
	assert.NotContains(t, outs(gap), ApplyDelta{From: a, Delta: gap}, "changes between are missing")
	assert.Equal(t, uint64(31), f.nodes[b].newerContent[a].revision, "the whole content is fetched")
	withTable := &wire.StoreDelta{From: 9, To: 40, Table: true}
	assert.NotContains(t, outs(withTable), ApplyDelta{From: a, Delta: withTable})
	assert.Equal(t, uint64(40), f.nodes[b].newerContent[a].revision)
}

func TestChangeIsSentToEveryRouter(t *testing.T) {
	f := newFleet(t, 4, 2)
	f.nodes[f.order[0]].Step(StoreRead{Delta: &wire.StoreDelta{From: 9, To: 10}}, f.now)
	recipients := map[wire.NodeID]bool{}
	for _, o := range f.nodes[f.order[0]].Ready(f.now) {
		if s, ok := o.(Send); ok && s.Datagram.Dispatch != nil && s.Datagram.Dispatch.Delta != nil {
			recipients[s.To] = true
		}
	}
	assert.Len(t, recipients, 3)
}

// A router that is cut off from its peers still reaches the store. It must read the store itself
// well before the bounds on leaving upstreams and new tables, which are 2 s with 8 routers and
// 3 s with 60; it used to take 4 to 7 s.
func TestIsolatedRouterReadsTheStoreItself(t *testing.T) {
	t.Parallel()
	for routers, bound := range map[int]time.Duration{8: 1700 * time.Millisecond, 60: 2600 * time.Millisecond} {
		f := newFleet(t, routers, 2)
		f.runReadingStore(10 * time.Second)
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
			f.runReadingStore(100 * time.Millisecond)
		}
		assert.True(t, f.nodes[lone].Watches(f.now), "%d routers", routers)
	}
}

// A reading that is passed on among routers must not seem younger than it is: only a reading
// that was not received before counts.
func TestForwardedReadingKeepsItsAge(t *testing.T) {
	f := newFleet(t, 8, 2)
	f.runReadingStore(10 * time.Second)
	for range 50 {
		f.run(100 * time.Millisecond) // no router reads the store, but all send heartbeats
	}
	for _, id := range f.order {
		assert.GreaterOrEqual(t, f.now.Sub(f.nodes[id].store.at), 4*time.Second)
	}
}

// Routers that cannot reach the store are not chosen as watchers until they are tried again.
func TestWatchersWithoutStoreAccessAreReplaced(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 20, 2)
	f.runReadingStore(10 * time.Second)
	away := map[wire.NodeID]bool{}
	for _, id := range f.watching() {
		away[id] = true
	}
	readStore := func(d time.Duration) {
		for end := f.now.Add(d); f.now.Before(end); f.run(200 * time.Millisecond) {
			for _, id := range f.order {
				switch {
				case !f.nodes[id].Watches(f.now):
				case away[id]:
					f.nodes[id].Step(StoreUnreachable{}, f.now)
				default:
					f.nodes[id].Step(StoreRead{}, f.now)
				}
			}
		}
	}
	readStore(4 * time.Second)
	others := 0
	for _, id := range f.watching() {
		if !away[id] {
			others++
		}
	}
	assert.Equal(t, watcherCount, others)
	clear(away)
	readStore(storeUnreachableTTL + 4*time.Second)
	assert.Len(t, f.watching(), watcherCount)
}

// Entries that are missing after an outage may have expired during it. Routers that did not watch
// must learn of the outage together with the reading that ended it.
func TestStoreRecoveryIsAnnounced(t *testing.T) {
	f := newFleet(t, 8, 2)
	f.runReadingStore(5 * time.Second)
	f.nodes[f.order[0]].ReadStore(0, time.Second, false, f.now)
	f.nodes[f.order[0]].Step(StoreRead{Delta: &wire.StoreDelta{From: 9, To: 10}}, f.now)
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
	for _, id := range f.order {
		assert.Equal(t, f.now.Add(routing.LapseGrace), f.nodes[id].LapseGraceUntil(), "known before the changes are applied")
	}
	for _, id := range f.order[1:] {
		applies := slices.ContainsFunc(f.nodes[id].Ready(f.now), func(o Output) bool { _, ok := o.(ApplyDelta); return ok })
		assert.True(t, applies)
	}
}

// A router that started after the store was restored from a copy listed an older table than its
// peers had as of the same revision, and never fetched theirs.
func TestNewerTableOfAPeerIsFetchedAtTheSameRevision(t *testing.T) {
	f := newFleet(t, 3, 2)
	newer, id := f.order[0], f.order[1]
	b := routing.Builder{Number: 2}
	for _, s := range f.nodes[newer].catalogue.Table.Services {
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
	assert.NotContains(t, read, newer, "it has the newest table")
}
