package dispatch

import (
	"time"

	"github.com/silverswitch/silverswitch/internal/core/wire"
	"github.com/silverswitch/silverswitch/internal/version"
)

// Decisions without the scheduler. A router refuses at its door when it is short of
// processor, and decides for itself when the scheduler does not answer in time.
// Both would bend shares: the scheduler must hear what was wanted and placed, and
// the router must know who has had its share.
const (
	// unaskedEvery is how often the scheduler is told; it is the step in which
	// shares are counted.
	unaskedEvery = shareStep
	// overFor is how long the scheduler's word that an organisation has had its
	// share holds here: half of the window in which shares are counted.
	overFor = shareSteps * shareStep / 2
	// overShare is the word, in hundredths of the share, from which on a router
	// places nothing for an organisation by itself.
	overShare = 100
)

// unaskedWork sums decisions without the scheduler until it is told, and keeps its
// last word on each organisation.
type unaskedWork struct {
	sums map[orgAt]unaskedSum
	due  time.Time
	over map[orgAt]overWord
}

// orgAt is an organisation at a service.
type orgAt struct{ service, org version.ID }

// unaskedSum is in tokens as Cost counts them.
type unaskedSum struct{ wanted, placed float64 }

// overWord is how much of its share an organisation has had, in hundredths.
type overWord struct {
	part uint32
	at   time.Time
}

func newUnaskedWork() unaskedWork {
	return unaskedWork{sums: map[orgAt]unaskedSum{}, over: map[orgAt]overWord{}}
}

func (u *unaskedWork) add(k orgAt, wanted, placed float64) {
	s := u.sums[k]
	u.sums[k] = unaskedSum{s.wanted + wanted, s.placed + placed}
}

// heardOver keeps the scheduler's word on an organisation.
func (u *unaskedWork) heardOver(service, org version.ID, part uint32, now time.Time) {
	u.over[orgAt{service, org}] = overWord{part, now}
}

// hadShare reports whether the scheduler said lately that an organisation has had
// its share.
func (u *unaskedWork) hadShare(k orgAt, now time.Time) bool {
	w, known := u.over[k]
	return known && w.part >= overShare && now.Sub(w.at) < overFor
}

// turned takes what was refused at the door.
func (n *Node) turned(in Turned) {
	for _, t := range in.Work {
		k := orgAt{serviceID(t.Service), version.IDOf(t.Org)}
		n.unasked.add(k, t.Tokens, 0)
		n.reports.countTurned(k, t.Tokens)
	}
}

// countUnasked notes a decision made here though another router is the scheduler.
func (n *Node) countUnasked(p *pool, a *wire.WorkAsk, placed bool, now time.Time) {
	if p.engine == nil || n.schedulerOf(p.id, now) == n.set.ID {
		return // no shares, or it is this router that counts them
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
}

// tickUnasked tells the schedulers.
func (n *Node) tickUnasked(now time.Time) {
	if now.Before(n.unasked.due) {
		return
	}
	n.unasked.due = now.Add(unaskedEvery)
	for k, w := range n.unasked.over {
		if now.Sub(w.at) >= overFor {
			delete(n.unasked.over, k)
		}
	}
	for k, s := range n.unasked.sums {
		p := n.pools[k.service]
		if p == nil || p.engine == nil {
			continue
		}
		u := wire.Unasked{Service: k.service, Org: k.org, Wanted: uint32(s.wanted), Placed: uint32(s.placed)}
		to := n.schedulerOf(p.id, now)
		if to == n.set.ID {
			n.heardUnasked(u, now)
			continue
		}
		w := n.work(to)
		w.Unasked = append(w.Unasked, u)
	}
	clear(n.unasked.sums)
}

// heardUnasked counts what a router decided without asking.
func (n *Node) heardUnasked(u wire.Unasked, now time.Time) {
	p := n.pools[u.Service]
	if p == nil || p.engine == nil {
		return
	}
	p.meter.ask(u.Org, float64(u.Wanted), now)
	p.meter.grant(u.Org, float64(u.Placed), now)
}
