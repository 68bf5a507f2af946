package dispatch

import (
	"cmp"
	"slices"
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
	return n.settings.ID
}

// ranked returns the live routers that are not known to be silent in the order in
// which they would decide for a service: those with most processor first, since
// a scheduler works for the whole fleet, and of equal ones by rendezvous hashing.
func (n *Node) ranked(service version.ID, now time.Time) []wire.NodeID {
	return n.ranking(service, now).order
}

func (n *Node) ranking(service version.ID, now time.Time) *ranking {
	r := n.rankings[service]
	if r != nil && r.holds(n, now) {
		return r
	}
	r = &ranking{changes: n.members.Changes, at: now}
	var list []ranked
	for _, id := range n.members.Live(false) {
		if until, silent := n.silent[id]; !silent || now.After(until) {
			list = append(list, ranked{id, n.power(id), rank(service, id)})
		}
	}
	slices.SortFunc(list, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(b.power, a.power), cmp.Compare(b.hash, a.hash))
	})
	for _, e := range list {
		r.order = append(r.order, e.id)
	}
	n.rankings[service] = r
	return r
}

// ranked is a router with what it is ranked by.
type ranked struct {
	id    wire.NodeID
	power uint32
	hash  uint64
}

// ranking is a service's routers in order, kept for a moment.
type ranking struct {
	order   []wire.NodeID
	relays  map[string][]wire.NodeID // by place, found when they are asked for
	changes int
	at      time.Time
}

const (
	// rankFor is how long a ranking is kept while no router's state changes, but some are
	// passed over for a time. Another one that falls silent clears it at once.
	rankFor = 100 * time.Millisecond
	// rankLeast is how long it is kept in a large fleet where states change all the time:
	// hundreds of routers that start together are heard of one by one.
	rankLeast = 2 * TickInterval
)

// holds reports whether a ranking may still be used.
func (r *ranking) holds(n *Node, now time.Time) bool {
	age := now.Sub(r.at)
	if r.changes != n.members.Changes {
		return age < rankLeast && len(r.order) > meshMaxRouters
	}
	return len(n.silent) == 0 || age < rankFor
}

// power is a router's processor, in steps of a quarter of a core, so that small
// differences do not make one router the scheduler of everything.
func (n *Node) power(id wire.NodeID) uint32 {
	const step = 250
	if id == n.settings.ID {
		return n.settings.Power / step
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
