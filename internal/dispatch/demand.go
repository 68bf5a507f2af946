package dispatch

import (
	"time"

	"github.com/silverswitch/silverswitch/internal/core/wire"
	"github.com/silverswitch/silverswitch/internal/version"
)

// The demand of the whole fleet, by which the slack of the retry budget is divided. In a
// small fleet every router receives the demand of every other router. In a larger one the
// scheduler groups do, and announce the sum.

// demands holds what other routers last reported of their requests in the window.
type demands map[wire.NodeID]map[version.ID]uint32

// fleetDemands holds what members of scheduler groups last reported of all requests in the
// window.
type fleetDemands map[wire.NodeID]fleetDemand

type fleetDemand struct {
	requests map[version.ID]uint32
	at       time.Time
}

// fleetDemandTTL is how long a reported sum is remembered: as long as the window of the
// retry budget. The largest sum counts, since a router that has just started has received
// few reports.
const fleetDemandTTL = 10 * time.Second

// expire forgets sums that are too old, except for the latest one, which a router that is
// cut off continues to use.
func (f fleetDemands) expire(now time.Time) {
	var latest time.Time
	for _, d := range f {
		if d.at.After(latest) {
			latest = d.at
		}
	}
	for id, d := range f {
		if d.at.Before(latest) && now.Sub(d.at) >= fleetDemandTTL {
			delete(f, id)
		}
	}
}

// demandRatio returns the fraction of all requests for a service that arrived here, by what
// is known of the other routers, reachable or not. A router of a large fleet that has
// received no sum takes no part of the slack: otherwise all such routers would take all of
// it.
func (n *Node) demandRatio(service version.ID, now time.Time) float64 {
	own := float64(n.budget(service).recentRequests(now))
	if own == 0 || len(n.demandSums) == 0 && n.isLarge() {
		return 0
	}
	return own / max(own, n.fleetRequests(service, now))
}

// fleetRequests returns the number of requests for a service in the window, at all routers.
func (n *Node) fleetRequests(service version.ID, now time.Time) float64 {
	all := float64(n.budget(service).recentRequests(now))
	for _, requests := range n.demands {
		all += float64(requests[service])
	}
	for _, d := range n.demandSums {
		all = max(all, float64(d.requests[service]))
	}
	return all
}

// ownDemand is what this router reports of its own requests.
func (n *Node) ownDemand(now time.Time) []wire.ServiceDemand {
	var out []wire.ServiceDemand
	for id, b := range n.budgets {
		if recentRequests := b.recentRequests(now); recentRequests > 0 {
			out = append(out, wire.ServiceDemand{Service: id, Requests: uint32(recentRequests)})
		}
	}
	return out
}

// fleetDemand is what a member of a scheduler group reports of all routers' requests. It
// contains only what it has received from the routers themselves, so that a sum that was
// once too large is not passed around for ever.
func (n *Node) fleetDemand(now time.Time) []wire.ServiceDemand {
	sums := map[version.ID]uint32{}
	for id, b := range n.budgets {
		sums[id] += uint32(b.recentRequests(now))
	}
	for _, by := range n.demands {
		for id, requests := range by {
			sums[id] += requests
		}
	}
	var out []wire.ServiceDemand
	for id, requests := range sums {
		out = append(out, wire.ServiceDemand{Service: id, Requests: requests})
	}
	return out
}

func (n *Node) handleDemand(from wire.NodeID, list []wire.ServiceDemand) {
	n.demands[from] = requestsByService(list)
}

func (n *Node) handleFleetDemand(from wire.NodeID, list []wire.ServiceDemand, now time.Time) {
	n.demandSums[from] = fleetDemand{requestsByService(list), now}
}

func requestsByService(list []wire.ServiceDemand) map[version.ID]uint32 {
	by := map[version.ID]uint32{}
	for _, d := range list {
		by[d.Service] = d.Requests
	}
	return by
}
