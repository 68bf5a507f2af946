package dispatch

import (
	"time"

	"github.com/silverswitch/silverswitch/internal/core/wire"
	"github.com/silverswitch/silverswitch/internal/version"
)

// Local decisions, made without the scheduler. A router sheds requests when it is short of
// CPU, and decides by itself when the scheduler does not reply in time. The scheduler must
// learn what was requested and placed that way, or the shares it computes are wrong.

// localUsageInterval is how often local decisions are reported to the scheduler; it is the
// step in which shares are counted.
const localUsageInterval = shareStep

// localUsage sums up local decisions until they are reported to the scheduler.
type localUsage struct {
	sums map[serviceOrg]usageSum
	due  time.Time
}

// usageSum is in tokens as counted by Cost.
type usageSum struct{ requested, placed float64 }

func (s usageSum) plus(requested, placed float64) usageSum {
	return usageSum{s.requested + requested, s.placed + placed}
}

func newLocalUsage() localUsage { return localUsage{sums: map[serviceOrg]usageSum{}} }

func (u *localUsage) add(k serviceOrg, requested, placed float64) {
	u.sums[k] = u.sums[k].plus(requested, placed)
}

// handleShedWork counts requests that were shed.
func (n *Node) handleShedWork(in LoadShed, now time.Time) {
	for _, t := range in.Work {
		k := serviceOrg{serviceID(t.Service), version.IDOf(t.Org)}
		if p := n.pools[k.service]; p != nil {
			p.local.addRequest(k.org, t.Tokens, now)
		}
		n.unreportedUsage.add(k, t.Tokens, 0)
		n.reports.addShed(k, t.Tokens)
	}
}

// countLocalDecision counts a decision made here while another router is the scheduler. It
// reports whether that scheduler has to be told: of the request at once, of the placement when
// the upstream starts it (reportStart).
func (n *Node) countLocalDecision(p *pool, a *wire.PlacementRequest, placed bool, now time.Time) bool {
	if p.engine == nil || n.schedulerOf(p.id, now) == n.settings.ID {
		return false // the service has no shares, or this router counts them itself
	}
	tokens := Cost(int(a.Input), int(a.Output))
	requested := 0.0
	if a.Try <= 1 {
		requested = tokens
	}
	k := serviceOrg{p.id, a.Org}
	n.unreportedUsage.add(k, requested, 0)
	n.reports.addDecision(k, tokens, placed)
	if placed {
		n.Counts.OwnPlaced++
	}
	return true
}

// reportStart reports a local placement to the scheduler once its upstream has started it.
//
// Load pattern: an organisation floods through a router that is starved of CPU, and places
// 431,000 tokens by itself in a second. Most of its callers left before their requests were
// sent. Reported as placed, these requests used up the organisation's share, and the scheduler
// refused its retries at other routers.
func (n *Node) reportStart(service, org version.ID, tokens float64) {
	n.unreportedUsage.add(serviceOrg{service, org}, 0, tokens)
}

// tickLocalUsage reports local decisions to the schedulers.
func (n *Node) tickLocalUsage(now time.Time) {
	if now.Before(n.unreportedUsage.due) {
		return
	}
	n.unreportedUsage.due = now.Add(localUsageInterval)
	n.shareUpdates.expire(now)
	n.expireTimedOutRequests(now)
	for _, p := range n.pools {
		if p.engine != nil {
			p.refundOvertaken(now)
		}
	}
	for k, s := range n.unreportedUsage.sums {
		p := n.pools[k.service]
		if p == nil || p.engine == nil {
			continue
		}
		u := wire.LocalUsage{Service: k.service, Org: k.org, Requested: int64(s.requested), Placed: int64(s.placed)}
		to := n.schedulerOf(p.id, now)
		if to == n.settings.ID {
			n.handleLocalUsage(n.settings.ID, u, now)
			continue
		}
		w := n.work(to)
		w.LocalUsage = append(w.LocalUsage, u)
	}
	clear(n.unreportedUsage.sums)
}

// handleLocalUsage counts the local decisions of another router. If that router wrongly
// took this one for the scheduler, the sums are passed on, since the scheduler would
// otherwise never learn what was placed.
func (n *Node) handleLocalUsage(from wire.NodeID, u wire.LocalUsage, now time.Time) {
	p := n.pools[u.Service]
	if p == nil || p.engine == nil {
		return
	}
	p.meter.addRequest(u.Org, float64(u.Requested), now)
	p.meter.addGrant(u.Org, float64(u.Placed), now)
	p.meter.addStart(u.Org, float64(u.Placed), now)
	p.meter.ledger.addTurnedAt(u.Org, from, max(0, float64(u.Requested-u.Placed)), now)
	p.meter.recordedUsage.addKnown(from, u.Org, float64(u.Requested), float64(u.Placed))
	if to := n.schedulerOf(p.id, now); to != n.settings.ID && to != from {
		n.unreportedUsage.add(serviceOrg{p.id, u.Org}, float64(u.Requested), float64(u.Placed))
	}
}
