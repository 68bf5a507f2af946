package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/silverswitch/silverswitch/internal/core/wire"
)

// newMultiPlaceFleet returns a fleet in several places. Every router applies the changes that it
// receives, and fetches from a peer what that peer has.
func newMultiPlaceFleet(t *testing.T, routers, places int) *fleet {
	f := &fleet{t: t, now: start, nodes: map[wire.NodeID]*Node{}, cut: map[wire.NodeID]bool{}, got: map[wire.NodeID]map[uint64]Output{}}
	for i := range routers {
		id := wire.NodeID(fmt.Sprintf("10.1.%d.%d:1", i%places, i))
		n := New(Settings{ID: id, Inc: 1, Place: fmt.Sprint("p", i%places), Power: uint32(192 + 608*(i/places%8/7)), Seeds: []wire.NodeID{"10.1.0.0:1", "10.1.1.1:1"}, Retry: DefaultRetryRules, Seed: uint64(i)}, start)
		n.Step(Catalogue{Table: table(t, 390_000), Instances: instances(4), Revision: 5, AsOf: 9}, start)
		f.nodes[id] = n
		f.order = append(f.order, id)
		f.got[id] = map[uint64]Output{}
	}
	f.onApply = func(id wire.NodeID, d *wire.StoreDelta) { f.learnUpTo(id, d.To) }
	f.onFetch = func(id, from wire.NodeID) {
		if peer := f.nodes[from]; !f.cut[id] && !f.cut[from] && peer.catalogue.Table != nil && peer.catalogue.AsOf > f.nodes[id].catalogue.AsOf {
			f.learnUpTo(id, peer.catalogue.AsOf)
		}
	}
	return f
}

// learnUpTo gives a router the store's content up to a revision.
func (f *fleet) learnUpTo(id wire.NodeID, asOf uint64) {
	n := f.nodes[id]
	if asOf <= n.catalogue.AsOf {
		return
	}
	n.Step(Catalogue{Table: n.catalogue.Table, Incremental: true, Revision: asOf, AsOf: asOf}, f.now)
}

// readChange makes a router that reads the store find a change.
func (f *fleet) readChange(id wire.NodeID, to uint64, table bool) {
	from := f.nodes[id].catalogue.AsOf
	f.learnUpTo(id, to)
	f.nodes[id].Step(StoreRead{Delta: &wire.StoreDelta{From: from, To: to, Table: table}}, f.now)
}

// countBehind returns how many routers lack content up to a revision.
func (f *fleet) countBehind(asOf uint64) (n int) {
	for _, id := range f.order {
		if !f.cut[id] && f.nodes[id].catalogue.AsOf < asOf {
			n++
		}
	}
	return n
}

// A change of upstreams must be sent into each place only a few times, and reach all routers at
// once. Each of three routers that read the store sent it to each of 585 others, four of five
// of them in another place.
func TestChangeCrossesIntoEachPlaceAFewTimes(t *testing.T) {
	t.Parallel()
	const routers, places = 60, 5
	f := newMultiPlaceFleet(t, routers, places)
	f.runReadingStore(6 * time.Second)
	crossed := 0
	f.onSend = func(from wire.NodeID, s Send) {
		if s.Datagram.Dispatch != nil && s.Datagram.Dispatch.Delta != nil && f.nodes[from].settings.Place != f.nodes[s.To].settings.Place {
			crossed++
		}
	}
	reader := f.watching()[0]
	f.readChange(reader, 12, false)
	f.deliver()
	assert.Zero(t, f.countBehind(12))
	assert.LessOrEqual(t, crossed, relaysPerPlace*(places-1))
}

// A new table must be fetched from other places by the relays only, and by all other routers
// from these. Each of 585 routers fetched it, with all entries, from one of three.
func TestTableIsFetchedWithinThePlace(t *testing.T) {
	t.Parallel()
	const routers, places = 60, 5
	f := newMultiPlaceFleet(t, routers, places)
	f.runReadingStore(6 * time.Second)
	crossed, fetch := 0, f.onFetch
	f.onFetch = func(id, from wire.NodeID) {
		if f.nodes[id].settings.Place != f.nodes[from].settings.Place {
			crossed++
		}
		fetch(id, from)
	}
	f.readChange(f.watching()[0], 13, true)
	f.run(relayGracePeriod)
	assert.Zero(t, f.countBehind(13))
	assert.LessOrEqual(t, crossed, relaysPerPlace*(places-1))
	assert.Positive(t, crossed)
}

// A listing is as of its first page, and may contain later entries. Two relays of a place that
// had such a listing each took the other's content for newer, fetched from each other four times
// a second, and never from routers of other places that knew all changes since.
func TestLaterEntriesOfAListingCauseNoFetch(t *testing.T) {
	t.Parallel()
	f := newMultiPlaceFleet(t, 60, 5)
	f.runReadingStore(6 * time.Second)
	for _, id := range f.order {
		n := f.nodes[id]
		n.Step(Catalogue{Table: n.catalogue.Table, Incremental: true, Revision: 40, AsOf: 20}, f.now)
	}
	reads := 0
	fetch := f.onFetch
	f.onFetch = func(id, from wire.NodeID) {
		reads++
		fetch(id, from)
	}
	f.runReadingStore(2 * time.Second)
	assert.Zero(t, reads, "all have the same content")
	f.learnUpTo(f.watching()[0], 45)
	for range 40 {
		f.runReadingStore(100 * time.Millisecond)
	}
	assert.Zero(t, f.countBehind(45))
}

// A router that learns from another place that its content is old leaves the fetch to its relays
// for a while, and fetches from there only then.
func TestChangesElsewhereAreLeftToTheRelays(t *testing.T) {
	t.Parallel()
	f := newMultiPlaceFleet(t, 60, 5)
	f.runReadingStore(6 * time.Second)
	var id, far wire.NodeID
	for _, other := range f.order {
		n := f.nodes[other]
		switch {
		case n.settings.Place == "p0" && !n.isRelay(f.now) && !n.Watches(f.now):
			id = other
		case n.settings.Place == "p1":
			far = other
		}
	}
	reads := 0
	f.onFetch = func(by, _ wire.NodeID) {
		if by == id {
			reads++
		}
	}
	f.nodes[id].Step(Receive{Datagram: &wire.Datagram{From: far, Inc: 1, Dispatch: &wire.Dispatch{Revision: 50}}}, f.now)
	f.run(relayGracePeriod - 2*TickInterval)
	assert.Zero(t, reads)
	f.run(2*fetchJitter + 2*TickInterval)
	assert.Equal(t, 1, reads)
}

// While the failure of a place's relays is not detected yet, its routers fetch the table from
// elsewhere.
func TestTableIsFetchedWithoutRelays(t *testing.T) {
	t.Parallel()
	f := newMultiPlaceFleet(t, 60, 5)
	f.runReadingStore(6 * time.Second)
	reader := f.watching()[0]
	for place, ids := range f.nodes[reader].relays(f.now) {
		for _, id := range ids {
			f.cut[id] = place != f.nodes[reader].settings.Place
		}
	}
	f.readChange(reader, 13, true)
	for range 40 {
		f.runReadingStore(100 * time.Millisecond)
	}
	assert.Zero(t, f.countBehind(13))
}

// A scheduler that has just started and has no table must not reply. It replied that the service
// had no upstream, and callers were refused while all engines were idle.
func TestSchedulerWithoutATableDoesNotReply(t *testing.T) {
	f := newMultiPlaceFleet(t, 30, 5)
	f.runReadingStore(6 * time.Second)
	scheduler := f.scheduler()
	settings := f.nodes[scheduler].settings
	settings.Inc = 2
	f.nodes[scheduler] = New(settings, f.now)
	other := f.other()
	f.arrive(other, 1, engines, "a", 500)
	f.run(100 * time.Millisecond)
	f.placed(other, 1)
}

// A fetch of the whole content takes longer than the pause between two fetches. Restarted
// routers sent another one every 0.3 s while the answer was on its way, and the relays served
// each of them several times.
func TestContentFetchesDoNotOverlap(t *testing.T) {
	f := newMultiPlaceFleet(t, 30, 5)
	f.runReadingStore(6 * time.Second)
	id := f.order[7]
	n := New(Settings{ID: id, Inc: 2, Place: f.nodes[id].settings.Place, Seeds: f.nodes[id].settings.Seeds, Retry: DefaultRetryRules}, f.now)
	reads := func(d time.Duration) (count int) {
		for end := f.now.Add(d); f.now.Before(end); {
			f.now = f.now.Add(TickInterval)
			n.Tick(f.now)
			for _, o := range n.Ready(f.now) {
				if _, is := o.(FetchContent); is {
					count++
				}
			}
		}
		return count
	}
	n.Step(Receive{Datagram: &wire.Datagram{From: f.order[0], Inc: 1, Dispatch: &wire.Dispatch{Revision: 9}}}, f.now)
	assert.Equal(t, 1, reads(contentFetchTimeout-TickInterval))
	n.Step(FetchContentEnded{}, f.now)
	assert.Equal(t, 1, reads(contentFetchPause+TickInterval), "the first fetch brought nothing")
}

// Routers that start together before the first table also fetch it within their place.
func TestFirstTableIsFetchedWithinThePlace(t *testing.T) {
	const routers, places = 60, 5
	f := newMultiPlaceFleet(t, routers, places)
	for _, id := range f.order {
		f.nodes[id] = New(f.nodes[id].settings, f.now)
	}
	crossed := map[wire.NodeID]bool{}
	f.onFetch = func(id, from wire.NodeID) {
		if peer := f.nodes[from]; peer.catalogue.Table != nil && f.nodes[id].catalogue.Table == nil {
			if f.nodes[id].settings.Place != peer.settings.Place {
				crossed[id] = true
			}
			f.nodes[id].Step(Catalogue{Table: peer.catalogue.Table, Instances: instances(4), Revision: peer.catalogue.Revision, AsOf: peer.catalogue.AsOf}, f.now)
		}
	}
	f.run(time.Second)
	reader := f.order[0]
	f.nodes[reader].Step(Catalogue{Table: table(t, 390_000), Instances: instances(4), Revision: 5, AsOf: 9}, f.now)
	f.nodes[reader].Step(StoreRead{Delta: &wire.StoreDelta{From: 0, To: 9, Table: true}}, f.now)
	f.run(2 * time.Second)
	for _, id := range f.order {
		require.NotNil(t, f.nodes[id].catalogue.Table, id)
	}
	assert.LessOrEqual(t, len(crossed), 2*relaysPerPlace*(places-1))
}
