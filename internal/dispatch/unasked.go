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
func (n *Node) turned(in LoadShed, now time.Time) {
	for _, t := range in.Work {
		k := orgAt{serviceID(t.Service), version.IDOf(t.Org)}
		if p := n.pools[k.service]; p != nil {
			p.here.ask(k.org, t.Tokens, now)
		}
		n.unreportedUsage.add(k, t.Tokens, 0)
		n.reports.countTurned(k, t.Tokens)
	}
}

// countUnasked notes a decision made here though another router is the scheduler. It
// reports whether that one is told.
func (n *Node) countUnasked(p *pool, a *wire.WorkAsk, placed bool, now time.Time) bool {
	if p.engine == nil || n.schedulerOf(p.id, now) == n.settings.ID {
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
	n.unreportedUsage.add(k, wanted, got)
	n.reports.countAlone(k, tokens, placed)
	if placed {
		n.Counts.OwnPlaced++
	}
	return true
}

// tickUnasked tells the schedulers.
func (n *Node) tickUnasked(now time.Time) {
	if now.Before(n.unreportedUsage.due) {
		return
	}
	n.unreportedUsage.due = now.Add(unaskedEvery)
	n.shareUpdates.expire(now)
	n.expireGivenUp(now)
	for k, s := range n.unreportedUsage.sums {
		p := n.pools[k.service]
		if p == nil || p.engine == nil {
			continue
		}
		u := wire.Unasked{Service: k.service, Org: k.org, Wanted: int64(s.wanted), Placed: int64(s.placed)}
		to := n.schedulerOf(p.id, now)
		if to == n.settings.ID {
			n.heardUnasked(n.settings.ID, u, now)
			continue
		}
		w := n.work(to)
		w.Unasked = append(w.Unasked, u)
	}
	clear(n.unreportedUsage.sums)
}

// heardUnasked counts what a router decided without asking. One that took this router for
// the scheduler, and was wrong, has its sums passed on: the scheduler would else never
// hear of what was placed.
func (n *Node) heardUnasked(from wire.NodeID, u wire.Unasked, now time.Time) {
	p := n.pools[u.Service]
	if p == nil || p.engine == nil {
		return
	}
	p.meter.ask(u.Org, float64(u.Wanted), now)
	p.meter.grant(u.Org, float64(u.Placed), now)
	p.meter.booked.addOwn(from, u.Org, float64(u.Wanted), float64(u.Placed))
	if to := n.schedulerOf(p.id, now); to != n.settings.ID && to != from {
		n.unreportedUsage.add(orgAt{p.id, u.Org}, float64(u.Wanted), float64(u.Placed))
	}
}
