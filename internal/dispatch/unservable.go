package dispatch

import (
	"slices"
	"time"

	"github.com/silverswitch/silverswitch/internal/core/wire"
	"github.com/silverswitch/silverswitch/internal/routing"
	"github.com/silverswitch/silverswitch/internal/version"
)

// Refusals without a placement request. Where nothing that this router may send to can take
// a request, the scheduler's decision does not matter: a placement at an upstream that this
// router does not list, or knows to be evacuated or in backoff, is withdrawn before it is
// sent. Such requests are refused before their bodies are read.
//
// Load pattern: all upstreams of a service ask for backoff, or all its places are evacuated,
// under a flood of its requests at a small router.

// ServiceState is what this router knows of whether a service can take requests. It may be
// used by any goroutine.
type ServiceState struct {
	hasUpstreams bool
	regions      []version.ID // that have upstreams
	evacuated    bool         // evacuations leave no upstream that accepts work
	backoffUntil time.Time    // zero unless all upstreams that accept work are in backoff: when the first one's ends
	by           wire.NodeID
	revision     uint64
}

// ServiceStates returns the states of all services of the table. The time it takes does not
// grow with the number of upstreams, unless all of them are closed or in backoff.
func (n *Node) ServiceStates(now time.Time) map[string]ServiceState {
	out := make(map[string]ServiceState, len(n.pools))
	for _, p := range n.pools {
		s := ServiceState{hasUpstreams: len(p.order) > 0, by: n.settings.ID, revision: n.catalogue.Revision}
		for _, set := range p.places {
			if region, known := p.regions[set.name]; known {
				s.regions = append(s.regions, version.IDOf(region))
			}
		}
		s.evacuated = p.openUpstreams == 0 && p.fullyEvacuated()
		s.backoffUntil = p.allBackoffUntil(now)
		out[p.service] = s
	}
	return out
}

// allBackoffUntil returns when the first backoff ends if all upstreams that accept work are
// in backoff for this router, and zero otherwise.
func (p *pool) allBackoffUntil(now time.Time) time.Time {
	if p.openUpstreams == 0 || len(p.backoffs) < p.openUpstreams {
		return time.Time{}
	}
	var first time.Time
	for _, u := range p.order {
		switch until := p.backoffs[u.id]; {
		case u.closed():
		case !now.Before(until):
			return time.Time{}
		case first.IsZero() || until.Before(first):
			first = until
		}
	}
	if p.hasCold(now) && p.open(now) == 0 {
		return time.Time{} // the scheduler refuses for another reason, until they are warm
	}
	return first
}

// Refusal returns the refusal of a request that certainly cannot be placed now, as a placement
// request would be answered, and false for any other request.
func (s ServiceState) Refusal(allowed routing.Regions, now time.Time) (Refuse, bool) {
	r := Refuse{By: s.by, Revision: s.revision, After: maxRetryAfter}
	switch {
	case allowed != nil && len(allowed) == 0:
		r.Reason = ReasonRegions
	case !s.hasUpstreams:
		r.Reason, r.After = ReasonNoUpstream, minRetryAfter
	case !s.inAllowedRegion(allowed):
		r.Reason = ReasonRegions
	case s.evacuated:
		r.Reason = ReasonEvacuated
	case now.Before(s.backoffUntil):
		r.Reason = ReasonBackoff
		left := time.Duration(remainingMS(s.backoffUntil, now)) * time.Millisecond
		r.After = min(max(left, minRetryAfter), maxRetryAfter)
	default:
		return Refuse{}, false
	}
	return r, true
}

func (s ServiceState) inAllowedRegion(allowed routing.Regions) bool {
	return len(allowed) == 0 || slices.ContainsFunc(regionIDs(allowed), func(id version.ID) bool { return id != 0 && slices.Contains(s.regions, id) })
}
