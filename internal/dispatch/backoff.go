package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/silverswitch/silverswitch/internal/core/wire"
	"github.com/silverswitch/silverswitch/internal/version"
)

// Backoff that upstreams request with Retry-After when they refuse a request. It applies
// only to the router that received it: the upstream may serve others. Ejection after
// failures (ejection.go) is a guess, and a try is better than a refusal. Backoff is an
// explicit statement of the upstream, so nothing is tried during it.
//
// Load pattern: one of a few upstreams refuses all requests that reach it, or all upstreams
// do during a flood, each for seconds. Without backoff every router went on to try them
// several times a second.

// backoffs holds until when each upstream accepts nothing from this router.
type backoffs map[version.ID]time.Time

func (r backoffs) has(id version.ID, now time.Time) bool { return now.Before(r[id]) }

// list returns the current backoffs in the form sent to a scheduler, and removes expired
// ones.
func (r backoffs) list(now time.Time) (out []wire.Backoff) {
	for id, until := range r {
		if !now.Before(until) {
			delete(r, id)
			continue
		}
		out = append(out, wire.Backoff{Upstream: id, ForMS: remainingMS(until, now)})
	}
	slices.SortFunc(out, func(a, b wire.Backoff) int { return cmp.Compare(a.Upstream, b.Upstream) })
	return out
}

// handleRetryAfter records the backoff that an upstream has requested from this router.
func (n *Node) handleRetryAfter(in RetryAfter, now time.Time) {
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

// allBackoffs returns the backoffs of all services.
func (n *Node) allBackoffs(now time.Time) (out []wire.Backoff) {
	for _, p := range n.pools {
		out = append(out, p.backoffs.list(now)...)
	}
	return out
}

// backsOff reports whether an upstream is in backoff for the router that sent the placement
// request.
func (u *upstream) backsOff(a *wire.PlacementRequest) bool {
	return slices.ContainsFunc(a.Backoffs, func(r wire.Backoff) bool { return r.Upstream == u.id })
}

// allBackOff reports whether every upstream that could accept a request is in backoff for
// the router that sent the placement request.
func (p *pool) allBackOff(a *wire.PlacementRequest) bool {
	if len(a.Backoffs) == 0 {
		return false
	}
	return !slices.ContainsFunc(p.order, func(u *upstream) bool {
		return u.mayServe(a) && !u.backsOff(a)
	})
}

// minBackoff is the time until the first upstream that could accept a request accepts requests of
// that router again.
func (p *pool) minBackoff(a *wire.PlacementRequest) time.Duration {
	shortest := maxRetryAfter
	for _, r := range a.Backoffs {
		if u := p.upstreams[r.Upstream]; u != nil && u.mayServe(a) {
			shortest = min(shortest, time.Duration(r.ForMS)*time.Millisecond)
		}
	}
	return shortest
}

// mayServe reports whether an upstream could accept a request, but for its load and health.
func (u *upstream) mayServe(a *wire.PlacementRequest) bool {
	return !u.closed() && u.inAllowedRegion(a.Regions) && !slices.Contains(a.Avoid, u.id) && (a.Version == 0 || u.version == a.Version)
}
