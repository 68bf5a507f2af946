package dispatch

import (
	"slices"
	"time"

	"github.com/silverswitch/silverswitch/internal/core/wire"
)

// How news of the store's content reach a large fleet. The few routers that read the store
// tell the relays of each place, two routers of most processor there, and everyone in their
// own; a relay passes on what follows what it knows. Where content has to be read, a relay
// reads it from whoever knows it, and tells its place, whose routers read it from the relay.
// So each change and each table crosses into a place a few times at any size.
//
// Load pattern: hundreds of routers in a few places before thousands of upstreams. If each
// reads each new table from one of the three that read the store, and each of the three
// tells each change to all, what crosses between places grows with routers times upstreams.

const (
	// relayCount is how many relays a place has: one may be gone, or be lost with a
	// datagram.
	relayCount = 2
	// relayWait is how long a router that hears of a change from another place leaves it to
	// its relays: reading, decoding and telling a table of some megabytes.
	relayWait = 500 * time.Millisecond
)

// relays returns the relays by place. A small fleet has none.
func (n *Node) relays(now time.Time) map[string][]wire.NodeID {
	if !n.isLarge() {
		return nil
	}
	r := n.ranking(storeService, now)
	if r.relays != nil {
		return r.relays
	}
	r.relays = map[string][]wire.NodeID{}
	for _, id := range r.order {
		place := n.placeOf(id)
		if place != "" && len(r.relays[place]) < relayCount {
			r.relays[place] = append(r.relays[place], id)
		}
	}
	return r.relays
}

// isRelay reports whether this router is a relay of its place.
func (n *Node) isRelay(now time.Time) bool {
	return slices.Contains(n.relays(now)[n.set.Place], n.set.ID)
}

// placeOf returns a router's place, "" while it is not known.
func (n *Node) placeOf(id wire.NodeID) string {
	if id == n.set.ID {
		return n.set.Place
	}
	if m := n.members.Get(id); m != nil {
		return m.Place
	}
	return ""
}

// IsNear reports whether a router stands in this router's place.
func (n *Node) IsNear(id wire.NodeID) bool { return n.placeOf(id) == n.set.Place }

// neighbours returns the live routers of the own place, without this one.
func (n *Node) neighbours() []wire.NodeID {
	var out []wire.NodeID
	for _, id := range n.members.Live(true) {
		if id != n.set.ID && n.IsNear(id) {
			out = append(out, id)
		}
	}
	return out
}

// toldOfChanges returns whom a router tells that has read a change from the store.
func (n *Node) toldOfChanges(now time.Time) []wire.NodeID {
	if !n.isLarge() {
		return n.members.Live(true)
	}
	out := n.neighbours()
	for place, ids := range n.relays(now) {
		if place != n.set.Place {
			out = append(out, ids...)
		}
	}
	slices.Sort(out)
	return out
}

// tellChanges tells routers of a change of the store's content.
func (n *Node) tellChanges(to []wire.NodeID, d *wire.StoreDelta, now time.Time) {
	for _, id := range to {
		if id != n.set.ID {
			w := n.work(id)
			w.Delta, w.Reading = d, n.store.told(now)
		}
	}
}

// passOn tells the own place of a change that a relay has heard from another one.
func (n *Node) passOn(from wire.NodeID, d *wire.StoreDelta, now time.Time) {
	if d.To <= n.store.passedOn || n.IsNear(from) || !n.isRelay(now) {
		return
	}
	n.store.passedOn = d.To
	n.tellChanges(n.neighbours(), d, now)
}

// announceFetched tells the own place that a relay has read content which they may read
// from it.
func (n *Node) announceFetched(before uint64, now time.Time) {
	if n.cat.AsOf <= before || !n.store.fetching {
		return
	}
	n.store.fetching = false
	if !n.isRelay(now) {
		return
	}
	n.offerContent(n.neighbours(), now)
}

// offerContent tells routers up to where this one knows the store's content, which they may
// read from it.
func (n *Node) offerContent(to []wire.NodeID, now time.Time) {
	for _, id := range to {
		if id != n.set.ID {
			n.tellStore(id, now)
		}
	}
}

// fetchWait is how long a router leaves it to others to tell what a peer knows already: to
// its own watch of the store, or to the relays of its place.
func (n *Node) fetchWait(from wire.NodeID, now time.Time) time.Duration {
	spread := time.Duration(n.rnd.Int64N(int64(fetchSpread)))
	switch {
	case n.Watches(now):
		return fetchAfter
	case n.isLarge() && !n.IsNear(from) && !n.isRelay(now):
		return relayWait + spread
	}
	return spread
}

// sourceFor returns whom to read from where a peer is ahead. A router without a table asks
// the relays of its place and the peer in turn: it may be the first that knows of them.
func (n *Node) sourceFor(peer wire.NodeID, now time.Time) wire.NodeID {
	relays := n.relays(now)[n.set.Place]
	if n.cat.Table != nil || n.IsNear(peer) || len(relays) == 0 || slices.Contains(relays, n.set.ID) {
		return peer
	}
	n.store.tries++
	if n.store.tries%2 == 0 {
		return peer
	}
	return relays[n.store.tries/2%len(relays)]
}

// Another returns a router to read the whole content from in place of one whose answer
// cannot be used: a relay of the own place, or any other router. It is empty when there is
// none.
func (n *Node) Another(than wire.NodeID, now time.Time) wire.NodeID {
	usable := func(id wire.NodeID) bool { return id != n.set.ID && id != than }
	for _, id := range n.relays(now)[n.set.Place] {
		if usable(id) {
			return id
		}
	}
	others := slices.DeleteFunc(slices.Clone(n.members.Live(false)), func(id wire.NodeID) bool { return !usable(id) })
	if len(others) == 0 {
		return ""
	}
	return others[n.rnd.IntN(len(others))]
}
