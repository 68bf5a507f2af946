package dispatch

import (
	"slices"
	"time"

	"github.com/silverswitch/silverswitch/internal/core/wire"
	"github.com/silverswitch/silverswitch/internal/routing"
	"github.com/silverswitch/silverswitch/internal/version"
)

// Upstreams that say themselves that they leave, before their entries in the platform's store
// do. Whoever hears it tells the routers that place at the upstream; a start that leaves does
// not come back.
//
// Load pattern: the store is away while upstreams are replaced one by one. A router hears
// from its callers' answers that one leaves, and the scheduler, which has sent it nothing
// itself, places the next request there.

// leaverToldFor is how long routers are told again: a few rounds in which everyone is told,
// in a large fleet too. Each keeps what it was told until the upstream has ended.
const leaverToldFor = 5 * time.Second

// leavers are the upstreams that have lately said that they leave.
type leavers map[version.ID]leaver

// leaver is when this router came to know that an upstream leaves, and the upstream's service.
type leaver struct {
	service version.ID
	since   time.Time
}

// Leaving says that an upstream leaves, by its own word or, with From, by a peer's.
type Leaving struct {
	Instance routing.Instance
	From     wire.NodeID
}

func (Leaving) output() {}

// saysLeaving takes an upstream's own word, and tells those who place at it at once.
func (n *Node) saysLeaving(i routing.Instance, now time.Time) {
	p, u := n.upstreamOf(i)
	if u == nil || !n.drain(p, u, "", now) {
		return
	}
	for _, id := range n.placersOf(p.id, now) {
		n.tellLeaving(id, now)
	}
}

// placersOf returns the other routers that place at a service's upstreams: all in a small
// fleet, its heirs in a large one.
func (n *Node) placersOf(service version.ID, now time.Time) []wire.NodeID {
	if n.isLarge() {
		return n.others(n.heirsOf(service, now))
	}
	return n.others(n.members.Live(true))
}

// drain takes an upstream out of use. It reports whether that is news.
func (n *Node) drain(p *pool, u *upstream, from wire.NodeID, now time.Time) bool {
	if u.inst.Draining {
		return false
	}
	n.leavers[u.id] = leaver{p.id, now}
	u.inst.Draining = true
	p.setCapacity(n.cat.Table.Limits.TokensPerSecond)
	n.out = append(n.out, Leaving{Instance: u.inst, From: from})
	return true
}

// heardLeaving takes a peer's word on upstreams that leave.
func (n *Node) heardLeaving(from wire.NodeID, list []version.ID, now time.Time) {
	for _, id := range list {
		for _, p := range n.pools {
			if u := p.ups[id]; u != nil {
				n.drain(p, u, from, now)
			}
		}
	}
}

// tellLeaving tells a router which upstreams have lately said that they leave.
func (n *Node) tellLeaving(to wire.NodeID, now time.Time) {
	var list []version.ID
	for id, l := range n.leavers {
		if p := n.pools[l.service]; p == nil || p.ups[id] == nil || now.Sub(l.since) >= leaverToldFor {
			delete(n.leavers, id)
			continue
		}
		list = append(list, id)
	}
	slices.Sort(list)
	n.box.To(to).DrainingUpstreams = list
}
