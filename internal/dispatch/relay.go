package dispatch

import (
	"slices"
	"time"

	"github.com/silverswitch/silverswitch/internal/core/wire"
)

// How changes of the store's content are distributed in a large fleet. The few routers that
// read the store send changes to the relays of each place (the two routers with the most CPU
// there) and to all routers of their own place. A relay passes on changes that follow the
// content it has. Where content has to be fetched, a relay fetches it from any router that has
// it and announces it to its place, whose routers fetch it from the relay. So each change and
// each table is sent into a place only a few times, whatever the size of the fleet.
//
// Load pattern: hundreds of routers in a few places, and thousands of upstreams. If each
// router fetched each new table from one of the three that read the store, and each of the
// three sent each change to all routers, the traffic between places would grow with the
// number of routers times the number of upstreams.

const (
	// relaysPerPlace is two since one relay may be down, or a datagram to it may be lost.
	relaysPerPlace = 2
	// relayGracePeriod is how long a router that learns of a change from another place waits
	// for the relays of its place, which have to fetch, decode and announce a table of some
	// megabytes.
	relayGracePeriod = 500 * time.Millisecond
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
		if place != "" && len(r.relays[place]) < relaysPerPlace {
			r.relays[place] = append(r.relays[place], id)
		}
	}
	return r.relays
}

// isRelay reports whether this router is a relay of its place.
func (n *Node) isRelay(now time.Time) bool {
	return slices.Contains(n.relays(now)[n.settings.Place], n.settings.ID)
}

// placeOf returns a router's place, "" if it is unknown.
func (n *Node) placeOf(id wire.NodeID) string {
	if id == n.settings.ID {
		return n.settings.Place
	}
	if m := n.members.Get(id); m != nil {
		return m.Place
	}
	return ""
}

// InSamePlace reports whether a router is in this router's place.
func (n *Node) InSamePlace(id wire.NodeID) bool { return n.placeOf(id) == n.settings.Place }

// neighbours returns the other live routers of the own place.
func (n *Node) neighbours() []wire.NodeID {
	var out []wire.NodeID
	for _, id := range n.members.Live(true) {
		if id != n.settings.ID && n.InSamePlace(id) {
			out = append(out, id)
		}
	}
	return out
}

// changeRecipients returns the routers to which a router sends a change that it has read from
// the store.
func (n *Node) changeRecipients(now time.Time) []wire.NodeID {
	if !n.isLarge() {
		return n.members.Live(true)
	}
	out := n.neighbours()
	for place, ids := range n.relays(now) {
		if place != n.settings.Place {
			out = append(out, ids...)
		}
	}
	slices.Sort(out)
	return out
}

// sendDelta sends a change of the store's content to routers.
func (n *Node) sendDelta(to []wire.NodeID, d *wire.StoreDelta, now time.Time) {
	for _, id := range to {
		if id != n.settings.ID {
			w := n.work(id)
			w.Delta, w.Reading, w.ReadingSpan = d, n.store.current(now), n.store.readingSpan()
			w.DeltaVersions, w.DeltaRejected = wire.VersionsOf(d.Put), d.Rejected
		}
	}
}

// relayDelta passes a change on to the own place, if this router is a relay and received it
// from another place. So does a router that has yielded its roles: its sender takes it for a relay
// still.
func (n *Node) relayDelta(from wire.NodeID, d *wire.StoreDelta, now time.Time) {
	if d.To <= n.store.relayedUpTo || n.InSamePlace(from) || !n.isRelay(now) && !n.yielding.on {
		return
	}
	n.store.relayedUpTo = d.To
	n.sendDelta(n.neighbours(), d, now)
}

// announceFetched announces to the own place that this router, a relay, has fetched content
// from which the others may fetch theirs.
func (n *Node) announceFetched(before uint64, now time.Time) {
	if n.catalogue.AsOf <= before || !n.store.fetchPending {
		return
	}
	n.store.fetchPending = false
	if !n.isRelay(now) && !n.yielding.on {
		return
	}
	n.offerContent(n.neighbours(), now)
}

// offerContent announces to routers up to which revision this router has the store's content,
// which they may fetch from it.
func (n *Node) offerContent(to []wire.NodeID, now time.Time) {
	for _, id := range to {
		if id != n.settings.ID {
			n.attachStoreState(id, now)
		}
	}
}

// fetchDelay returns how long a router waits until it fetches content that a peer has: its own
// watch of the store, or the relays of its place, may deliver it before.
func (n *Node) fetchDelay(from wire.NodeID, now time.Time) time.Duration {
	spread := time.Duration(n.rnd.Int64N(int64(fetchJitter)))
	switch {
	case n.Watches(now):
		return watcherFetchDelay
	case n.isLarge() && !n.InSamePlace(from) && !n.isRelay(now):
		return relayGracePeriod + spread
	}
	return spread
}

// contentSource returns the router to fetch from when a peer has newer content. A router
// without a table alternates between the relays of its place and the peer: the relays may not
// know of the content yet.
func (n *Node) contentSource(peer wire.NodeID, now time.Time) wire.NodeID {
	relays := n.relays(now)[n.settings.Place]
	if n.catalogue.Table != nil || n.InSamePlace(peer) || len(relays) == 0 || slices.Contains(relays, n.settings.ID) {
		return peer
	}
	n.store.fetchAttempts++
	if n.store.fetchAttempts%2 == 0 {
		return peer
	}
	return relays[n.store.fetchAttempts/2%len(relays)]
}

// AlternativeSource returns a router from which to fetch the whole content instead of one whose
// answer cannot be used: a relay of the own place, or any other router. It is empty if there
// is none.
func (n *Node) AlternativeSource(except wire.NodeID, now time.Time) wire.NodeID {
	usable := func(id wire.NodeID) bool { return id != n.settings.ID && id != except }
	for _, id := range n.relays(now)[n.settings.Place] {
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
