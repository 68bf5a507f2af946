package dispatch

import (
	"time"

	"github.com/silverswitch/silverswitch/internal/core/wire"
	"github.com/silverswitch/silverswitch/internal/version"
)

// Decisions without the scheduler. A router refuses at its door when it is short of
// processor, and decides for itself when the scheduler does not answer in time.
// The scheduler must hear what was wanted and placed, or it bends shares.

// unaskedEvery is how often the scheduler is told; it is the step in which shares are
// counted.
const unaskedEvery = shareStep

// unaskedWork sums decisions without the scheduler until it is told.
type unaskedWork struct {
	sums map[orgAt]unaskedSum
	due  time.Time
}

// unaskedSum is in tokens as Cost counts them.
type unaskedSum struct{ wanted, placed float64 }

func (s unaskedSum) plus(wanted, placed float64) unaskedSum {
	return unaskedSum{s.wanted + wanted, s.placed + placed}
}

func newUnaskedWork() unaskedWork { return unaskedWork{sums: map[orgAt]unaskedSum{}} }

func (u *unaskedWork) add(k orgAt, wanted, placed float64) {
	u.sums[k] = u.sums[k].plus(wanted, placed)
}

// turned takes what was refused at the door.
func (n *Node) turned(in Turned, now time.Time) {
	for _, t := range in.Work {
		k := orgAt{serviceID(t.Service), version.IDOf(t.Org)}
		if p := n.pools[k.service]; p != nil {
			p.here.ask(k.org, t.Tokens, now)
		}
		n.unasked.add(k, t.Tokens, 0)
		n.reports.countTurned(k, t.Tokens)
	}
}

// countUnasked notes a decision made here though another router is the scheduler. It
// reports whether that one is told.
func (n *Node) countUnasked(p *pool, a *wire.PlacementRequest, placed bool, now time.Time) bool {
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
	k := orgAt{p.id, a.Org}
	n.unasked.add(k, wanted, got)
	n.reports.countAlone(k, tokens, placed)
	if placed {
		n.Counts.OwnPlaced++
	}
	return true
}

// tickUnasked tells the schedulers.
func (n *Node) tickUnasked(now time.Time) {
	if now.Before(n.unasked.due) {
		return
	}
	n.unasked.due = now.Add(unaskedEvery)
	n.words.expire(now)
	n.expireGivenUp(now)
	for k, s := range n.unasked.sums {
		p := n.pools[k.service]
		if p == nil || p.engine == nil {
			continue
		}
		u := wire.LocalUsage{Service: k.service, Org: k.org, Requested: int64(s.wanted), Placed: int64(s.placed)}
		to := n.schedulerOf(p.id, now)
		if to == n.set.ID {
			n.heardUnasked(n.set.ID, u, now)
			continue
		}
		w := n.work(to)
		w.LocalUsage = append(w.LocalUsage, u)
	}
	clear(n.unasked.sums)
}

// heardUnasked counts what a router decided without asking. One that took this router for
// the scheduler, and was wrong, has its sums passed on: the scheduler would else never
// hear of what was placed.
func (n *Node) heardUnasked(from wire.NodeID, u wire.LocalUsage, now time.Time) {
	p := n.pools[u.Service]
	if p == nil || p.engine == nil {
		return
	}
	p.meter.ask(u.Org, float64(u.Requested), now)
	p.meter.grant(u.Org, float64(u.Placed), now)
	p.meter.booked.addOwn(from, u.Org, float64(u.Requested), float64(u.Placed))
	if to := n.schedulerOf(p.id, now); to != n.set.ID && to != from {
		n.unasked.add(orgAt{p.id, u.Org}, float64(u.Requested), float64(u.Placed))
	}
}
