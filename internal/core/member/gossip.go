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

// queueGossip queues a router's update for the next datagrams.
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

// LacksPlace reports whether a router's place is not known yet. The scheduler of a pool depends
// on the places of routers, so views that lack one would disagree forever.
func (t *Table) LacksPlace(id wire.NodeID) bool {
	m := t.members[id]
	return m != nil && m.Place == ""
}

// Fill adds the membership part to a datagram for a router.
func (t *Table) Fill(d *wire.Datagram, to wire.NodeID) {
	d.From, d.Inc, d.Refutations, d.State = t.self.ID, t.self.Inc, t.self.Refutations, t.self.State
	d.WantsUpdate = t.LacksPlace(to)
	if d.Ping != nil {
		d.Join = t.joinRequest(to)
	}
	if since, requested := t.join.take(to); requested {
		var partial bool
		d.Updates, d.JoinClock, partial = t.changedSince(since, to)
		d.JoinPartial = partial || !t.join.complete
		return
	}
	d.Updates = t.piggyback(to)
}

// piggyback returns the updates for a datagram to a router. A router believed dead or suspect
// gets its own update, so that it can refute it.
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

// leastSent returns the indices of the updates that were sent least often, in that order; of
// equal ones the earliest come first.
func (t *Table) leastSent(limit int) []int {
	best := make([]int, 0, limit+1)
	for i, r := range t.gossip {
		at := len(best)
		for at > 0 && t.gossip[best[at-1]].remaining < r.remaining {
			at--
		}
		if at == limit {
			continue
		}
		best = slices.Insert(best, at, i)
		best = best[:min(len(best), limit)]
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
