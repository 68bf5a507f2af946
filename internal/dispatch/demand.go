package dispatch

import (
	"time"

	"github.com/silverswitch/silverswitch/internal/core/wire"
	"github.com/silverswitch/silverswitch/internal/version"
)

// What the whole fleet is asked for, by which the slack of the retry budget is shared out.
// In a small fleet each router hears it from every other one, in a larger one the heirs
// do, and tell the sum.

// demands is what other routers said last of their requests in the window.
type demands map[wire.NodeID]map[version.ID]uint32

// fleetDemands is what heirs said last of all requests in the window.
type fleetDemands map[wire.NodeID]fleetDemand

type fleetDemand struct {
	by map[version.ID]uint32
	at time.Time
}

// fleetFor is how long an heir's sum is remembered: as long as the windows of the retry
// budget. The largest one counts, since an heir that has just started has heard few.
const fleetFor = 10 * time.Second

// expire forgets sums that are too old, but for the latest one: a router that is cut off
// goes on by it.
func (f fleetDemands) expire(now time.Time) {
	var latest time.Time
	for _, d := range f {
		if d.at.After(latest) {
			latest = d.at
		}
	}
	for id, d := range f {
		if d.at.Before(latest) && now.Sub(d.at) >= fleetFor {
			delete(f, id)
		}
	}
}

// demandOf returns the part of all requests for a service that came in here, by
// what is known of the others, reachable or not. A router of a large fleet that has heard
// no sum takes no part: all of them would take all.
func (n *Node) demandOf(service version.ID, now time.Time) float64 {
	own := float64(n.budget(service).asked(now))
	if own == 0 || len(n.demandSums) == 0 && n.isLarge() {
		return 0
	}
	return own / max(own, n.wholeDemand(service, now))
}

// wholeDemand returns the requests for a service in the window, of all routers.
func (n *Node) wholeDemand(service version.ID, now time.Time) float64 {
	all := float64(n.budget(service).asked(now))
	for _, by := range n.demands {
		all += float64(by[service])
	}
	for _, d := range n.demandSums {
		all = max(all, float64(d.by[service]))
	}
	return all
}

// ownDemand is what this router tells of its requests.
func (n *Node) ownDemand(now time.Time) []wire.ServiceDemand {
	var out []wire.ServiceDemand
	for id, b := range n.budgets {
		if asked := b.asked(now); asked > 0 {
			out = append(out, wire.ServiceDemand{Service: id, Requests: uint32(asked)})
		}
	}
	return out
}

// fleetDemand is what an heir tells of all routers' requests: what it has heard itself, so
// that a sum that was once too large does not go round for ever.
func (n *Node) fleetDemand(now time.Time) []wire.ServiceDemand {
	sums := map[version.ID]uint32{}
	for id, b := range n.budgets {
		sums[id] += uint32(b.asked(now))
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

func (n *Node) heardDemand(from wire.NodeID, told []wire.ServiceDemand) {
	n.demands[from] = byService(told)
}

func (n *Node) heardFleet(from wire.NodeID, told []wire.ServiceDemand, now time.Time) {
	n.demandSums[from] = fleetDemand{byService(told), now}
}

func byService(told []wire.ServiceDemand) map[version.ID]uint32 {
	by := map[version.ID]uint32{}
	for _, d := range told {
		by[d.Service] = d.Requests
	}
	return by
}
