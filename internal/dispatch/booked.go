package dispatch

import (
	"time"

	"github.com/silverswitch/silverswitch/internal/core/wire"
	"github.com/silverswitch/silverswitch/internal/version"
)

// What a scheduler has booked of each organisation is told to those who may take over, so
// that a hand-over forgets no window: a scheduler that knows nothing takes every
// organisation for one that has had nothing.

// bookedEvery is how often heirs are told: what they do not know yet is a quarter of the
// window at most.
const bookedEvery = time.Second

// booked sums what a meter took since it was told last, and what each heir told itself.
type booked struct {
	sums map[version.ID]unaskedSum
	own  map[wire.NodeID]map[version.ID]unaskedSum
}

func newBooked() booked {
	return booked{sums: map[version.ID]unaskedSum{}, own: map[wire.NodeID]map[version.ID]unaskedSum{}}
}

func (b *booked) add(org version.ID, wanted, placed float64) {
	b.sums[org] = b.sums[org].plus(wanted, placed)
}

// addOwn notes that a router knows of this already.
func (b *booked) addOwn(from wire.NodeID, org version.ID, wanted, placed float64) {
	if b.own[from] == nil {
		b.own[from] = map[version.ID]unaskedSum{}
	}
	b.own[from][org] = b.own[from][org].plus(wanted, placed)
}

// newsFor is what a router does not know yet.
func (b *booked) newsFor(to wire.NodeID, service version.ID) []wire.LocalUsage {
	var out []wire.LocalUsage
	for org, s := range b.sums {
		own := b.own[to][org]
		row := wire.LocalUsage{Service: service, Org: org, Requested: int64(s.wanted - own.wanted), Placed: int64(s.placed - own.placed)}
		if row.Requested != 0 || row.Placed != 0 {
			out = append(out, row)
		}
	}
	return out
}

func (b *booked) clear() {
	clear(b.sums)
	clear(b.own)
}

// tickBooked tells the heirs of the services that this router schedules.
func (n *Node) tickBooked(now time.Time) {
	if now.Before(n.bookedDue) {
		return
	}
	n.bookedDue = now.Add(bookedEvery)
	for _, p := range n.pools {
		if p.engine == nil {
			continue
		}
		if heirs := n.heirsOf(p.id, now); len(heirs) > 0 && heirs[0] == n.set.ID {
			for _, id := range heirs[1:] {
				w := n.work(id)
				w.RecordedUsage = append(w.RecordedUsage, p.meter.booked.newsFor(id, p.id)...)
			}
		}
		p.meter.booked.clear()
	}
}

// heardBooked takes what a scheduler has booked.
func (n *Node) heardBooked(rows []wire.LocalUsage, now time.Time) {
	for _, r := range rows {
		if p := n.pools[r.Service]; p != nil && p.engine != nil {
			p.meter.ask(r.Org, float64(r.Requested), now)
			p.meter.grant(r.Org, float64(r.Placed), now)
		}
	}
}
