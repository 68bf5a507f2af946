package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/silverswitch/silverswitch/internal/core/wire"
	"github.com/silverswitch/silverswitch/internal/version"
)

// schedulerOf returns the scheduler of a service.
func (n *Node) schedulerOf(service version.ID, now time.Time) wire.NodeID {
	if ranked := n.ranked(service, now); len(ranked) > 0 {
		return ranked[0]
	}
	return n.settings.ID
}

// ranked returns the live routers, except those suspected of having failed, in the order in
// which they become the scheduler of a service: the routers with the most CPU first, since
// a scheduler works for the whole fleet, and routers of equal CPU by rendezvous hashing.
func (n *Node) ranked(service version.ID, now time.Time) []wire.NodeID {
	return n.ranking(service, now).order
}

func (n *Node) ranking(service version.ID, now time.Time) *ranking {
	r := n.rankings[service]
	if r != nil && r.valid(n, now) {
		return r
	}
	r = &ranking{changes: n.members.Changes, at: now}
	var list []rankedRouter
	candidates := n.members.Live(false)
	if len(candidates) == 0 {
		candidates = n.members.Live(true) // all routers are leaving or short of CPU
	}
	for _, id := range candidates {
		if until, excluded := n.excluded[id]; !excluded || now.After(until) {
			list = append(list, rankedRouter{id, n.cpuClass(id), rendezvousHash(service, id)})
		}
	}
	slices.SortFunc(list, compareRanked)
	for _, e := range list {
		r.order = append(r.order, e.id)
	}
	n.rankings[service] = r
	return r
}

// rankedRouter is a router with its sort keys.
type rankedRouter struct {
	id       wire.NodeID
	cpuClass uint32
	hash     uint64
}

func compareRanked(a, b rankedRouter) int {
	return cmp.Or(cmp.Compare(b.cpuClass, a.cpuClass), cmp.Compare(b.hash, a.hash))
}

// ranking is the order of routers for one service, cached for a short time.
type ranking struct {
	order   []wire.NodeID
	relays  map[string][]wire.NodeID // by place, filled on demand
	changes int
	at      time.Time
}

const (
	// rankingTTL is how long a ranking is cached while the state of no router changes but
	// some routers are skipped for a time. A router that becomes suspect clears the cache
	// at once.
	rankingTTL = 100 * time.Millisecond
	// largeFleetRankingTTL is how long a ranking is cached in a large fleet while states
	// change all the time: hundreds of routers that start together are discovered one by
	// one.
	largeFleetRankingTTL = 2 * TickInterval
)

// valid reports whether a ranking may still be used.
func (r *ranking) valid(n *Node, now time.Time) bool {
	age := now.Sub(r.at)
	if r.changes != n.members.Changes {
		return age < largeFleetRankingTTL && len(r.order) > meshMaxRouters
	}
	return len(n.excluded) == 0 || age < rankingTTL
}

// cpuClass is a router's CPU in steps of a quarter of a core, so that small differences do
// not make one router the scheduler of every service.
func (n *Node) cpuClass(id wire.NodeID) uint32 {
	const step = 250
	if id == n.settings.ID {
		return n.settings.Power / step
	}
	if m := n.members.Get(id); m != nil {
		return m.Power / step
	}
	return 0
}

func rendezvousHash(service version.ID, id wire.NodeID) uint64 {
	var b [4]byte
	b[0], b[1], b[2], b[3] = byte(service), byte(service>>8), byte(service>>16), byte(service>>24)
	d := xxhash.New()
	_, _ = d.Write(b[:]) // writes to a digest never fail
	_, _ = d.WriteString(string(id))
	return d.Sum64()
}
