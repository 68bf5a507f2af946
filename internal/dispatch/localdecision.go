package dispatch

import (
	"time"

	"github.com/silverswitch/silverswitch/internal/core/wire"
	"github.com/silverswitch/silverswitch/internal/version"
)

// Decisions without the scheduler. A router refuses at its door when it is short of
// processor, and decides for itself when the scheduler does not answer in time.
// The scheduler must hear what was wanted and placed, or it bends shares.

// localUsageInterval is how often the scheduler is told; it is the step in which shares are
// counted.
const localUsageInterval = shareStep

// localUsage sums decisions without the scheduler until it is told.
type localUsage struct {
	sums map[serviceOrg]usageSum
	due  time.Time
}

// usageSum is in tokens as Cost counts them.
type usageSum struct{ wanted, placed float64 }

func (s usageSum) plus(wanted, placed float64) usageSum {
	return usageSum{s.wanted + wanted, s.placed + placed}
}

func newLocalUsage() localUsage { return localUsage{sums: map[serviceOrg]usageSum{}} }

func (u *localUsage) add(k serviceOrg, wanted, placed float64) {
	u.sums[k] = u.sums[k].plus(wanted, placed)
}

// turned takes what was refused at the door.
func (n *Node) handleShedWork(in Turned, now time.Time) {
	for _, t := range in.Work {
		k := serviceOrg{serviceID(t.Service), version.IDOf(t.Org)}
		if p := n.pools[k.service]; p != nil {
			p.here.addRequest(k.org, t.Tokens, now)
		}
		n.unasked.add(k, t.Tokens, 0)
		n.reports.addShed(k, t.Tokens)
	}
}

// countLocalDecision notes a decision made here though another router is the scheduler. It
// reports whether that one is told.
func (n *Node) countLocalDecision(p *pool, a *wire.WorkAsk, placed bool, now time.Time) bool {
	if p.engine == nil || n.schedulerOf(p.id, now) == n.set.ID {
		return false // no shares, or it is this router that counts them
	}
	tokens := Cost(int(a.Input), int(a.Output))
	wanted := 0.0
	if a.Try <= 1 {
		wanted = tokens
	}
	got := 0.0
	if placed {
		got = tokens
	}
	k := serviceOrg{p.id, a.Org}
	n.unasked.add(k, wanted, got)
	n.reports.addDecision(k, tokens, placed)
	if placed {
		n.Counts.OwnPlaced++
	}
	return true
}

// tickLocalUsage tells the schedulers.
func (n *Node) tickLocalUsage(now time.Time) {
	if now.Before(n.unasked.due) {
		return
	}
	n.unasked.due = now.Add(localUsageInterval)
	n.words.expire(now)
	n.expireTimedOutRequests(now)
	for k, s := range n.unasked.sums {
		p := n.pools[k.service]
		if p == nil || p.engine == nil {
			continue
		}
		u := wire.Unasked{Service: k.service, Org: k.org, Wanted: int64(s.wanted), Placed: int64(s.placed)}
		to := n.schedulerOf(p.id, now)
		if to == n.set.ID {
			n.handleLocalUsage(n.set.ID, u, now)
			continue
		}
		w := n.work(to)
		w.Unasked = append(w.Unasked, u)
	}
	clear(n.unasked.sums)
}

// handleLocalUsage counts what a router decided without asking. One that took this router for
// the scheduler, and was wrong, has its sums passed on: the scheduler would else never
// hear of what was placed.
func (n *Node) handleLocalUsage(from wire.NodeID, u wire.Unasked, now time.Time) {
	p := n.pools[u.Service]
	if p == nil || p.engine == nil {
		return
	}
	p.meter.addRequest(u.Org, float64(u.Wanted), now)
	p.meter.addGrant(u.Org, float64(u.Placed), now)
	p.meter.recordedUsage.addKnown(from, u.Org, float64(u.Wanted), float64(u.Placed))
	if to := n.schedulerOf(p.id, now); to != n.set.ID && to != from {
		n.unasked.add(serviceOrg{p.id, u.Org}, float64(u.Wanted), float64(u.Placed))
	}
}
