package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/silverswitch/silverswitch/internal/core/wire"
	"github.com/silverswitch/silverswitch/internal/version"
)

// Backoff that upstreams ask for when they turn a request away (Retry-After). It concerns the
// router that was asked alone: others may be served. A router's own pauses after failures
// (rest.go) are guesses, and a try is better than a refusal; these are an upstream's word,
// and nothing is tried.
//
// Load pattern: one of a few upstreams turns away all that reaches it, or all do under a
// flood, each for seconds. Every router went on to try them several times a second.

// backoffs is until when upstreams want nothing of this router.
type backoffs map[version.ID]time.Time

func (r backoffs) has(id version.ID, now time.Time) bool { return now.Before(r[id]) }

// list returns those in force, as they are told to a scheduler, and forgets the others.
func (r backoffs) list(now time.Time) (out []wire.Backoff) {
	for id, until := range r {
		if !now.Before(until) {
			delete(r, id)
			continue
		}
		out = append(out, wire.Backoff{Upstream: id, ForMS: leftMS(until, now)})
	}
	slices.SortFunc(out, func(a, b wire.Backoff) int { return cmp.Compare(a.Upstream, b.Upstream) })
	return out
}

// retryAfter takes an upstream's word that it wants nothing of this router for a time.
func (n *Node) retryAfter(in RetryAfter, now time.Time) {
	p, u := n.upstreamOf(in.Instance)
	if u == nil {
		return
	}
	if !p.backoffs.has(u.id, now) {
		n.event(Event{Name: "upstream-backs-off", Value: uint64(in.For.Milliseconds()), Detail: in.Instance.ID})
	}
	if until := now.Add(in.For); until.After(p.backoffs[u.id]) {
		p.backoffs[u.id] = until
	}
}

// allBackoffs returns the upstreams of every service that want nothing of this router.
func (n *Node) allBackoffs(now time.Time) (out []wire.Backoff) {
	for _, p := range n.pools {
		out = append(out, p.backoffs.list(now)...)
	}
	return out
}

// backsOff reports whether an upstream wants nothing of the router that asks.
func (u *upstream) backsOff(a *wire.PlacementRequest) bool {
	return slices.ContainsFunc(a.Backoffs, func(r wire.Backoff) bool { return r.Upstream == u.id })
}

// allBackOff reports whether every upstream that could take a request wants nothing of the
// router that asks.
func (p *pool) allBackOff(a *wire.PlacementRequest) bool {
	if len(a.Backoffs) == 0 {
		return false
	}
	return !slices.ContainsFunc(p.order, func(u *upstream) bool {
		return !u.closed() && u.mayRun(a.Regions) && !slices.Contains(a.Avoid, u.id) && !u.backsOff(a)
	})
}

// leastBackoff is how long it takes until some upstream takes the router's requests again.
func (p *pool) leastBackoff(a *wire.PlacementRequest) time.Duration {
	least := maxComeBack
	for _, r := range a.Backoffs {
		if p.ups[r.Upstream] != nil {
			least = min(least, time.Duration(r.ForMS)*time.Millisecond)
		}
	}
	return least
}
