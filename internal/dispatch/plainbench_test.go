package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/silverswitch/silverswitch/internal/core/wire"
	"github.com/silverswitch/silverswitch/internal/routing"
	"github.com/silverswitch/silverswitch/internal/version"
)

// BenchmarkDecidePlain measures one decision and the end of a run at plain upstreams, without
// stated slots, with free slots, and with a queue of waiting requests from which each end of a
// run places the first.
func BenchmarkDecidePlain(b *testing.B) {
	for _, n := range []int{3, 60, 6000, 12000} {
		for _, slots := range []int{0, 6} {
			b.Run(fmt.Sprint(n, " upstreams, ", slots, " slots"), func(b *testing.B) { benchmarkDecidePlain(b, n, slots, n*4) })
		}
		b.Run(fmt.Sprint(n, " upstreams, all slots in use"), func(b *testing.B) { benchmarkDecidePlain(b, n, 6, n*8+60) })
	}
}

func benchmarkDecidePlain(b *testing.B, upstreams, slots, open int) {
	now := start
	n := New(Settings{ID: "s", Inc: 1, Place: "0", Retry: DefaultRetryRules}, now)
	table := routing.Builder{Number: 1, Services: []*routing.Service{{Name: counter}}}
	tab, err := table.Build()
	if err != nil {
		b.Fatal(err)
	}
	var list []routing.Instance
	for i := range upstreams {
		list = append(list, routing.Instance{ID: fmt.Sprintf("c%d", i), Service: counter, Place: fmt.Sprint(i % 3), Slots: slots})
	}
	n.Step(Catalogue{Table: tab, Instances: list, Revision: 1, AsOf: 1}, now)
	p := n.pools[serviceID(counter)]
	if p.slots != nil {
		p.slots.shared, p.slots.loadTTL = true, time.Second
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		now = now.Add(60 * time.Millisecond / time.Duration(6*upstreams))
		from := wire.NodeID(fmt.Sprint(i % 58))
		p.decide(from, &wire.PlacementRequest{No: uint64(i), Try: 1, Service: p.id, Org: version.ID(i%30 + 1), Place: version.IDOf(fmt.Sprint(i % 3)), TargetMS: 300, DeadlineMS: 4000}, now)
		if i < open {
			continue
		}
		old := i - open
		k := runKey{wire.NodeID(fmt.Sprint(old % 58)), uint64(old)}
		if p.runs[k] == nil && p.slots != nil {
			for k = range p.runs {
				break
			}
		}
		p.note(k.node, wire.ProgressNote{No: k.no, Event: wire.ProgressFirstEvent, FirstMS: 60}, now)
		p.note(k.node, wire.ProgressNote{No: k.no, Event: wire.ProgressDone}, now)
		if p.slots != nil {
			p.slots.shared = true
			for p.anyFreeSlot(now) && n.placeOneWaiting(p, now) {
			}
		}
		n.sendDatagrams()
		n.out = nil
	}
}
