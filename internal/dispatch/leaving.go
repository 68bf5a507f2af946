package dispatch

import (
	"slices"
	"time"

	"github.com/silverswitch/silverswitch/internal/core/wire"
	"github.com/silverswitch/silverswitch/internal/routing"
	"github.com/silverswitch/silverswitch/internal/version"
)

// Upstreams that announce that they are leaving before their entries in the platform's store
// say so. A router that receives such a notice passes it on to the routers that place at the
// upstream. A start that is leaving does not come back.
//
// Load pattern: the store is unreachable while upstreams are replaced one by one. A router
// learns from the answers to its callers that one is leaving, and the scheduler, which has sent
// that upstream nothing itself, places the next request there.

// leavingNoticeTTL is how long notices are repeated: a few rounds of announcements to everyone,
// in a large fleet too. Each router keeps a notice until the upstream has ended.
const leavingNoticeTTL = 5 * time.Second

// leavingUpstreams has the upstreams that have recently announced that they are leaving.
type leavingUpstreams map[version.ID]leavingUpstream

// leavingUpstream is the service of a leaving upstream, and when this router learned of it.
type leavingUpstream struct {
	service version.ID
	since   time.Time
}

// UpstreamLeaving says that an upstream is leaving, by its own notice or, with From, by a peer's.
type UpstreamLeaving struct {
	Instance routing.Instance
	From     wire.NodeID
}

func (UpstreamLeaving) output() {}

// handleLeaveNotice handles an upstream's own notice, and sends it at once to the routers that
// place at the upstream.
func (n *Node) handleLeaveNotice(i routing.Instance, now time.Time) {
	p, u := n.upstreamOf(i)
	if u == nil || !n.drain(p, u, "", now) {
		return
	}
	for _, id := range n.routersPlacingAt(p.id, now) {
		n.attachLeaving(id, now)
	}
}

// routersPlacingAt returns the other routers that place at a service's upstreams: all in a small
// fleet, its scheduler group in a large one.
func (n *Node) routersPlacingAt(service version.ID, now time.Time) []wire.NodeID {
	if n.isLarge() {
		return n.otherRouters(n.schedulerGroup(service, now))
	}
	return n.otherRouters(n.members.Live(true))
}

// drain takes an upstream out of use. It reports whether the upstream was in use before.
func (n *Node) drain(p *pool, u *upstream, from wire.NodeID, now time.Time) bool {
	if u.inst.Draining {
		return false
	}
	n.leavingUpstreams[u.id] = leavingUpstream{p.id, now}
	u.inst.Draining = true
	p.setCapacity(n.catalogue.Table.Limits.TokensPerSecond)
	n.out = append(n.out, UpstreamLeaving{Instance: u.inst, From: from})
	return true
}

// handlePeerLeaving handles a peer's list of leaving upstreams.
func (n *Node) handlePeerLeaving(from wire.NodeID, list []version.ID, now time.Time) {
	for _, id := range list {
		for _, p := range n.pools {
			if u := p.upstreams[id]; u != nil {
				n.drain(p, u, from, now)
			}
		}
	}
}

// attachLeaving adds the upstreams that are leaving to a router's datagram.
func (n *Node) attachLeaving(to wire.NodeID, now time.Time) {
	var list []version.ID
	for id, l := range n.leavingUpstreams {
		if p := n.pools[l.service]; p == nil || p.upstreams[id] == nil || now.Sub(l.since) >= leavingNoticeTTL {
			delete(n.leavingUpstreams, id)
			continue
		}
		list = append(list, id)
	}
	slices.Sort(list)
	n.outbox.To(to).DrainingUpstreams = list
}
