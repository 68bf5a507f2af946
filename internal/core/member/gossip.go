package member

import (
	"slices"
	"strconv"

	"github.com/silverswitch/silverswitch/internal/core/wire"
)

type gossipItem struct {
	id        wire.NodeID
	remaining int
}

// spread queues an update for the next datagrams.
func (t *Table) queueGossip(id wire.NodeID) {
	times := retransmitMultiplier * len(strconv.Itoa(len(t.members)))
	for i := range t.gossip {
		if t.gossip[i].id == id {
			t.gossip[i].remaining = times
			return
		}
	}
	t.gossip = append(t.gossip, gossipItem{id: id, remaining: times})
}

// Lacks reports whether a router's place is not known yet. Where a pool is
// scheduled depends on places, so views that lack one would disagree for ever.
func (t *Table) LacksPlace(id wire.NodeID) bool {
	m := t.members[id]
	return m != nil && m.Place == ""
}

// Fill puts membership's part on a datagram to a router.
func (t *Table) Fill(d *wire.Datagram, to wire.NodeID) {
	d.From, d.Inc, d.Refutations, d.State = t.self.ID, t.self.Inc, t.self.Refutations, t.self.State
	d.WantsUpdate = t.LacksPlace(to)
	if d.Ping != nil {
		d.Join = t.joinRequest(to)
	}
	if since, asked := t.join.take(to); asked {
		d.Updates, d.JoinClock = t.changedSince(since, to)
		return
	}
	d.Updates = t.piggyback(to)
}

// piggyback returns the updates that ride on a datagram to a router. One that is held dead
// or suspect is told so, that it may refute.
func (t *Table) piggyback(to wire.NodeID) []wire.Update {
	var out []wire.Update
	if m := t.members[to]; m != nil && m.State >= wire.Suspect && m.Inc != 0 {
		out = append(out, m.Update)
	}
	if t.updateRequested[to] {
		delete(t.updateRequested, to)
		out = append(out, t.self)
	}
	for _, i := range t.leastSent(maxPiggyback + 1) {
		if len(out) >= maxPiggyback {
			break
		}
		if u, ok := t.updateOf(t.gossip[i].id); ok && u.ID != to {
			out = append(out, u)
		}
		t.gossip[i].remaining--
	}
	t.dropSpent()
	return out
}

// freshest returns the places of the rumours that were told least, those that were told
// least first and of equal ones the earliest.
func (t *Table) leastSent(most int) []int {
	best := make([]int, 0, most+1)
	for i, r := range t.gossip {
		at := len(best)
		for at > 0 && t.gossip[best[at-1]].remaining < r.remaining {
			at--
		}
		if at == most {
			continue
		}
		best = slices.Insert(best, at, i)
		best = best[:min(len(best), most)]
	}
	return best
}

func (t *Table) updateOf(id wire.NodeID) (wire.Update, bool) {
	if id == t.self.ID {
		return t.self, true
	}
	m := t.members[id]
	if m == nil || m.Inc == 0 {
		return wire.Update{}, false
	}
	return m.Update, true
}

func (t *Table) dropSpent() {
	kept := t.gossip[:0]
	for _, r := range t.gossip {
		if r.remaining > 0 {
			kept = append(kept, r)
		}
	}
	t.gossip = kept
}
