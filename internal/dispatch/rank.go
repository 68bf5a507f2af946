package dispatch

import (
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/silverswitch/silverswitch/internal/core/wire"
	"github.com/silverswitch/silverswitch/internal/version"
)

// schedulerOf returns the router that decides for a service.
func (n *Node) schedulerOf(service version.ID, now time.Time) wire.NodeID {
	if ranked := n.ranked(service, now); len(ranked) > 0 {
		return ranked[0]
	}
	return n.set.ID
}

// ranked returns the live routers that are not known to be silent in the order in
// which they would decide for a service: those with most processor first, since
// a scheduler works for the whole fleet, and of equal ones by rendezvous hashing.
func (n *Node) ranked(service version.ID, now time.Time) []wire.NodeID {
	r := n.ranks[service]
	if r != nil && r.changes == n.members.Changes && now.Sub(r.at) < rankFor {
		return r.order
	}
	r = &ranking{changes: n.members.Changes, at: now}
	for _, id := range n.members.Live(false) {
		if until, silent := n.silent[id]; !silent || now.After(until) {
			r.order = append(r.order, id)
		}
	}
	sort.Slice(r.order, func(i, j int) bool {
		a, b := r.order[i], r.order[j]
		if pa, pb := n.power(a), n.power(b); pa != pb {
			return pa > pb
		}
		return rank(service, a) > rank(service, b)
	})
	n.ranks[service] = r
	return r.order
}

// ranking is a service's routers in order, kept for a moment.
type ranking struct {
	order   []wire.NodeID
	changes int
	at      time.Time
}

// rankFor is how long a ranking is kept while no router's state changes; a silent
// one clears it at once.
const rankFor = 100 * time.Millisecond

// power is a router's processor, in steps of a quarter of a core, so that small
// differences do not make one router the scheduler of everything.
func (n *Node) power(id wire.NodeID) uint32 {
	const step = 250
	if id == n.set.ID {
		return n.set.Power / step
	}
	if m := n.members.Get(id); m != nil {
		return m.Power / step
	}
	return 0
}

func rank(service version.ID, id wire.NodeID) uint64 {
	var b [4]byte
	b[0], b[1], b[2], b[3] = byte(service), byte(service>>8), byte(service>>16), byte(service>>24)
	d := xxhash.New()
	_, _ = d.Write(b[:]) // a digest takes everything
	_, _ = d.WriteString(string(id))
	return d.Sum64()
}
