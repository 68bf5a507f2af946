package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/silverswitch/silverswitch/internal/core/wire"
	"github.com/silverswitch/silverswitch/internal/routing"
)

// The work that one router of a large fleet does without requests: 585 routers in five places,
// with 5,820 engines and 180 plain upstreams.

const (
	scaleRouters = 585
	scaleEngines = 5820
)

func scaleInstances() []routing.Instance {
	var out []routing.Instance
	for i := range scaleEngines {
		out = append(out, routing.Instance{ID: fmt.Sprintf("e%d", i), Service: engines, Address: fmt.Sprintf("10.8.%d.%d:1", i/250, i%250), Place: fmt.Sprint("p", i%5)})
	}
	for i := range 180 {
		out = append(out, routing.Instance{ID: fmt.Sprintf("c%d", i), Service: counter, Address: fmt.Sprintf("10.9.0.%d:1", i), Place: fmt.Sprint("p", i%5)})
	}
	return out
}

func scaleUpdate(i int) wire.Update {
	return wire.Update{ID: wire.NodeID(fmt.Sprintf("10.1.%d.%d:1", i/250, i%250)), Inc: 1, Place: fmt.Sprint("p", i%5), Power: 192}
}

// scaleNode returns a router that knows the whole fleet.
func scaleNode(t testing.TB) (*Node, time.Time) {
	n := New(Settings{ID: scaleUpdate(0).ID, Inc: 1, Place: "p0", Power: 800, Retry: DefaultRetryRules}, start)
	now := start
	tab := scaleTable(t)
	n.Step(Catalogue{Table: tab, Instances: scaleInstances(), Revision: 5, AsOf: 9}, now)
	receiveFromAll(n, now)
	n.Ready(now)
	for range 300 {
		now = now.Add(TickInterval)
		n.Tick(now)
		n.Ready(now)
	}
	return n, now
}

// receiveFromAll gives a router a datagram of each other router.
func receiveFromAll(n *Node, now time.Time) {
	for i := 1; i < scaleRouters; i++ {
		u := scaleUpdate(i)
		n.Step(Receive{Datagram: &wire.Datagram{From: u.ID, Inc: 1, Updates: []wire.Update{u, scaleUpdate((i + 7) % scaleRouters)}}}, now)
	}
}

func scaleTable(t testing.TB) *routing.Table {
	b := routing.Builder{Number: 1, Limits: routing.Limits{TokensPerSecond: 225_000_000}, Services: []*routing.Service{
		{Name: engines, Engine: &routing.Engine{Slots: 64, MemoryTokens: 232_000, TokenBytes: 1, EventTokens: 7}},
		{Name: counter},
	}}
	tab, err := b.Build()
	if err != nil {
		t.Fatal(err)
	}
	return tab
}

// BenchmarkScaleIdleSecond measures a second without requests: 100 ticks.
func BenchmarkScaleIdleSecond(b *testing.B) {
	n, now := scaleNode(b)
	b.ReportAllocs()
	for b.Loop() {
		for range 100 {
			now = now.Add(TickInterval)
			n.Tick(now)
			n.Ready(now)
		}
	}
}

// BenchmarkScaleHeartbeat measures how a scheduler handles one heartbeat of another router.
func BenchmarkScaleHeartbeat(b *testing.B) {
	n, now := scaleNode(b)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		from := scaleUpdate(1 + i%(scaleRouters-1))
		n.Step(Receive{Datagram: &wire.Datagram{From: from.ID, Inc: 1, Dispatch: &wire.Dispatch{Heartbeat: uint32(i + 1), Revision: 5}}}, now)
		n.Ready(now)
	}
}

// BenchmarkScaleStart measures a router that receives a datagram of each of 584 others, with a
// tick after every tenth.
func BenchmarkScaleStart(b *testing.B) {
	b.ReportAllocs()
	tab := scaleTable(b)
	list := scaleInstances()
	for b.Loop() {
		now := start
		n := New(Settings{ID: scaleUpdate(0).ID, Inc: 1, Place: "p0", Power: 800, Retry: DefaultRetryRules}, now)
		n.Step(Catalogue{Table: tab, Instances: list[:200], Revision: 5, AsOf: 9}, now)
		for i := 1; i < scaleRouters; i++ {
			u := scaleUpdate(i)
			n.Step(Receive{Datagram: &wire.Datagram{From: u.ID, Inc: 1, Updates: []wire.Update{u, scaleUpdate((i + 7) % scaleRouters)}}}, now)
			if i%10 == 0 {
				now = now.Add(TickInterval)
				n.Tick(now)
			}
			n.Ready(now)
		}
	}
}

// BenchmarkScaleFirstCatalogue measures a router that applies its first table, with all entries.
func BenchmarkScaleFirstCatalogue(b *testing.B) {
	b.ReportAllocs()
	tab, list := scaleTable(b), scaleInstances()
	for b.Loop() {
		n := New(Settings{ID: scaleUpdate(0).ID, Inc: 1, Place: "p0", Power: 800, Retry: DefaultRetryRules}, start)
		n.Step(Catalogue{Table: tab, Instances: list, Revision: 5, AsOf: 9}, start)
		n.Ready(start)
	}
}
