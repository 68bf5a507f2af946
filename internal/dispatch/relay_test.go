package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/silverswitch/silverswitch/internal/core/wire"
)

// newPlacedFleet is a fleet in several places. Every router applies what it is told of the
// store's content, and reads from a peer what that has.
func newPlacedFleet(t *testing.T, routers, places int) *fleet {
	f := &fleet{t: t, now: start, nodes: map[wire.NodeID]*Node{}, cut: map[wire.NodeID]bool{}, got: map[wire.NodeID]map[uint64]Output{}}
	for i := range routers {
		id := wire.NodeID(fmt.Sprintf("10.1.%d.%d:1", i%places, i))
		n := New(Settings{ID: id, Inc: 1, Place: fmt.Sprint("p", i%places), Power: uint32(192 + 608*(i/places%8/7)), Seeds: []wire.NodeID{"10.1.0.0:1", "10.1.1.1:1"}, Retry: DefaultRetryRules, Seed: uint64(i)}, start)
		n.Step(Catalogue{Table: table(t, 390_000), Instances: instances(4), Revision: 5, AsOf: 9}, start)
		f.nodes[id] = n
		f.order = append(f.order, id)
		f.got[id] = map[uint64]Output{}
	}
	f.onApply = func(id wire.NodeID, d *wire.StoreDelta) { f.know(id, d.To) }
	f.onFetch = func(id, from wire.NodeID) {
		if peer := f.nodes[from]; !f.cut[id] && !f.cut[from] && peer.cat.Table != nil && peer.cat.AsOf > f.nodes[id].cat.AsOf {
			f.know(id, peer.cat.AsOf)
		}
	}
	return f
}

// know lets a router know the store's content up to a revision.
func (f *fleet) know(id wire.NodeID, asOf uint64) {
	n := f.nodes[id]
	if asOf <= n.cat.AsOf {
		return
	}
	n.Step(Catalogue{Table: n.cat.Table, Part: true, Revision: asOf, AsOf: asOf}, f.now)
}

// readChange lets a router that reads the store find a change.
func (f *fleet) readChange(id wire.NodeID, to uint64, table bool) {
	from := f.nodes[id].cat.AsOf
	f.know(id, to)
	f.nodes[id].Step(Sighted{Delta: &wire.StoreDelta{From: from, To: to, Table: table}}, f.now)
}

// behind returns how many routers do not know the content up to a revision.
func (f *fleet) behind(asOf uint64) (n int) {
	for _, id := range f.order {
		if !f.cut[id] && f.nodes[id].cat.AsOf < asOf {
			n++
		}
	}
	return n
}

// A change of upstreams crosses into each place a few times, and is known to all at once.
// Each of three routers that read the store told each of 585 others, four of five of them
// in another place.
func TestChangeCrossesIntoEachPlaceAFewTimes(t *testing.T) {
	const routers, places = 60, 5
	f := newPlacedFleet(t, routers, places)
	f.see(6 * time.Second)
	crossed := 0
	f.onSend = func(from wire.NodeID, s Send) {
		if s.Datagram.Dispatch != nil && s.Datagram.Dispatch.Delta != nil && f.nodes[from].set.Place != f.nodes[s.To].set.Place {
			crossed++
		}
	}
	reader := f.watching()[0]
	f.readChange(reader, 12, false)
	f.deliver()
	assert.Zero(t, f.behind(12))
	assert.LessOrEqual(t, crossed, relayCount*(places-1))
}

// A new table is read by the relays of each place from elsewhere, and by all others from
// them. Each of 585 routers read it, with all entries, from one of three.
func TestTableIsReadWithinThePlace(t *testing.T) {
	const routers, places = 60, 5
	f := newPlacedFleet(t, routers, places)
	f.see(6 * time.Second)
	crossed, fetch := 0, f.onFetch
	f.onFetch = func(id, from wire.NodeID) {
		if f.nodes[id].set.Place != f.nodes[from].set.Place {
			crossed++
		}
		fetch(id, from)
	}
	f.readChange(f.watching()[0], 13, true)
	f.run(relayWait)
	assert.Zero(t, f.behind(13))
	assert.LessOrEqual(t, crossed, relayCount*(places-1))
	assert.Positive(t, crossed)
}

// A list is as of its first page, and may hold later entries. Two relays of a place that knew
// such a list took each other for ahead, read from each other four times a second, and never
// from the routers of other places that knew all changes since.
func TestLaterEntriesOfAListAreNothingToRead(t *testing.T) {
	f := newPlacedFleet(t, 60, 5)
	f.see(6 * time.Second)
	for _, id := range f.order {
		n := f.nodes[id]
		n.Step(Catalogue{Table: n.cat.Table, Part: true, Revision: 40, AsOf: 20}, f.now)
	}
	reads := 0
	fetch := f.onFetch
	f.onFetch = func(id, from wire.NodeID) {
		reads++
		fetch(id, from)
	}
	f.see(2 * time.Second)
	assert.Zero(t, reads, "all know the same")
	f.know(f.watching()[0], 45)
	for range 40 {
		f.see(100 * time.Millisecond)
	}
	assert.Zero(t, f.behind(45))
}

// A router that hears from another place that it is behind leaves that to its relays for a
// while, and reads from there only then.
func TestChangesElsewhereAreLeftToTheRelays(t *testing.T) {
	f := newPlacedFleet(t, 60, 5)
	f.see(6 * time.Second)
	var id, far wire.NodeID
	for _, other := range f.order {
		n := f.nodes[other]
		switch {
		case n.set.Place == "p0" && !n.isRelay(f.now) && !n.Watches(f.now):
			id = other
		case n.set.Place == "p1":
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
	f.run(relayWait - 2*TickEvery)
	assert.Zero(t, reads)
	f.run(2*fetchSpread + 2*TickEvery)
	assert.Equal(t, 1, reads)
}

// Where the relays of a place are gone and nobody has noticed yet, its routers read the
// table from elsewhere.
func TestTableIsReadWhereRelaysAreGone(t *testing.T) {
	f := newPlacedFleet(t, 60, 5)
	f.see(6 * time.Second)
	reader := f.watching()[0]
	for place, ids := range f.nodes[reader].relays(f.now) {
		for _, id := range ids {
			f.cut[id] = place != f.nodes[reader].set.Place
		}
	}
	f.readChange(reader, 13, true)
	for range 40 {
		f.see(100 * time.Millisecond)
	}
	assert.Zero(t, f.behind(13))
}

// A scheduler that has just started and has no table says nothing. It said that the service
// had no upstream, and callers were refused while all engines stood idle.
func TestSchedulerWithoutATableIsPassedOver(t *testing.T) {
	f := newPlacedFleet(t, 30, 5)
	f.see(6 * time.Second)
	scheduler := f.scheduler()
	set := f.nodes[scheduler].set
	set.Inc = 2
	f.nodes[scheduler] = New(set, f.now)
	other := f.other()
	f.arrive(other, 1, engines, "a", 500)
	f.run(100 * time.Millisecond)
	f.placed(other, 1)
}

// A read of the whole content takes longer than the pause between two reads. Routers that
// started again asked anew every 0.3 s while the answer was on its way, and the relays served
// each of them several times.
func TestOneReadIsUnderWayAtATime(t *testing.T) {
	f := newPlacedFleet(t, 30, 5)
	f.see(6 * time.Second)
	id := f.order[7]
	n := New(Settings{ID: id, Inc: 2, Place: f.nodes[id].set.Place, Seeds: f.nodes[id].set.Seeds, Retry: DefaultRetryRules}, f.now)
	reads := func(d time.Duration) (count int) {
		for end := f.now.Add(d); f.now.Before(end); {
			f.now = f.now.Add(TickEvery)
			n.Tick(f.now)
			for _, o := range n.Ready(f.now) {
				if _, is := o.(Fetch); is {
					count++
				}
			}
		}
		return count
	}
	n.Step(Receive{Datagram: &wire.Datagram{From: f.order[0], Inc: 1, Dispatch: &wire.Dispatch{Revision: 9}}}, f.now)
	assert.Equal(t, 1, reads(fetchPatience-TickEvery))
	n.Step(FetchEnded{}, f.now)
	assert.Equal(t, 1, reads(fetchAgain+TickEvery), "it brought nothing")
}

// Routers that start together before the first table read it within their place too.
func TestFirstTableIsReadWithinThePlace(t *testing.T) {
	const routers, places = 60, 5
	f := newPlacedFleet(t, routers, places)
	for _, id := range f.order {
		f.nodes[id] = New(f.nodes[id].set, f.now)
	}
	crossed := map[wire.NodeID]bool{}
	f.onFetch = func(id, from wire.NodeID) {
		if peer := f.nodes[from]; peer.cat.Table != nil && f.nodes[id].cat.Table == nil {
			if f.nodes[id].set.Place != peer.set.Place {
				crossed[id] = true
			}
			f.nodes[id].Step(Catalogue{Table: peer.cat.Table, Instances: instances(4), Revision: peer.cat.Revision, AsOf: peer.cat.AsOf}, f.now)
		}
	}
	f.run(time.Second)
	reader := f.order[0]
	f.nodes[reader].Step(Catalogue{Table: table(t, 390_000), Instances: instances(4), Revision: 5, AsOf: 9}, f.now)
	f.nodes[reader].Step(Sighted{Delta: &wire.StoreDelta{From: 0, To: 9, Table: true}}, f.now)
	f.run(2 * time.Second)
	for _, id := range f.order {
		require.NotNil(t, f.nodes[id].cat.Table, id)
	}
	assert.LessOrEqual(t, len(crossed), 2*relayCount*(places-1))
}
