package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/silverswitch/silverswitch/internal/core/wire"
	"github.com/silverswitch/silverswitch/internal/version"
)

// Rest that upstreams ask for when they turn a request away (Retry-After). It concerns the
// router that was asked alone: others may be served. A router's own rests after failures
// (rest.go) are guesses, and a try is better than a refusal; these are an upstream's word,
// and nothing is tried.
//
// Load pattern: one of a few upstreams turns away all that reaches it, or all do under a
// flood, each for seconds. Every router went on to try them several times a second.

// askedRests is until when upstreams want nothing of this router.
type askedRests map[version.ID]time.Time

func (r askedRests) has(id version.ID, now time.Time) bool { return now.Before(r[id]) }

// list returns those that rest, as they are told to a scheduler, and forgets the others.
func (r askedRests) list(now time.Time) (out []wire.Rest) {
	for id, until := range r {
		if !now.Before(until) {
			delete(r, id)
			continue
		}
		out = append(out, wire.Rest{Upstream: id, ForMS: leftMS(until, now)})
	}
	slices.SortFunc(out, func(a, b wire.Rest) int { return cmp.Compare(a.Upstream, b.Upstream) })
	return out
}

// wantsRest takes an upstream's word that it wants nothing of this router for a time.
func (n *Node) wantsRest(in WantsRest, now time.Time) {
	p := n.pools[serviceID(in.Instance.Service)]
	if p == nil {
		return
	}
	id := version.IDOf(in.Instance.Start())
	if p.ups[id] == nil {
		return
	}
	if !p.asked.has(id, now) {
		n.event(Event{Name: "upstream-wants-rest", Value: uint64(in.For.Milliseconds()), Detail: in.Instance.ID})
	}
	if until := now.Add(in.For); until.After(p.asked[id]) {
		p.asked[id] = until
	}
}

// restsOf returns the upstreams of a service that want nothing of this router.
func (n *Node) restsOf(service version.ID, now time.Time) []wire.Rest {
	if p := n.pools[service]; p != nil {
		return p.asked.list(now)
	}
	return nil
}

// allRests returns the upstreams of every service that want nothing of this router.
func (n *Node) allRests(now time.Time) (out []wire.Rest) {
	for service := range n.pools {
		out = append(out, n.restsOf(service, now)...)
	}
	return out
}

// restsFor reports whether an upstream wants nothing of the router that asks.
func (u *upstream) restsFor(a *wire.WorkAsk) bool {
	return slices.ContainsFunc(a.Resting, func(r wire.Rest) bool { return r.Upstream == u.id })
}

// allRest reports whether every upstream that could take a request has asked for rest.
func (p *pool) allRest(a *wire.WorkAsk) bool {
	if len(a.Resting) == 0 {
		return false
	}
	return !slices.ContainsFunc(p.order, func(u *upstream) bool {
		return !u.closed() && u.mayRun(a.Regions) && !slices.Contains(a.Avoid, u.id) && !u.restsFor(a)
	})
}

// leastRest is how long it takes until some upstream takes the router's requests again.
func (p *pool) leastRest(a *wire.WorkAsk) time.Duration {
	least := maxComeBack
	for _, r := range a.Resting {
		if p.ups[r.Upstream] != nil {
			least = min(least, time.Duration(r.ForMS)*time.Millisecond)
		}
	}
	return least
}
