package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/silverswitch/silverswitch/internal/core/wire"
	"github.com/silverswitch/silverswitch/internal/routing"
	"github.com/silverswitch/silverswitch/internal/version"
)

// BenchmarkDecide measures one decision and the end of a run, with 600 requests of 58 routers at
// engines in three places.
func BenchmarkDecide(b *testing.B) {
	for _, n := range []int{60, 600, 6000, 12000} {
		b.Run(fmt.Sprint(n, " engines"), func(b *testing.B) { benchmarkDecide(b, n) })
	}
}

func benchmarkDecide(b *testing.B, engineCount int) {
	svc := &routing.Service{Name: engines, Engine: &routing.Engine{Slots: 64, MemoryTokens: 232_000}}
	p := newPool(svc, 1_300_000)
	var list []routing.Instance
	for i := range engineCount {
		list = append(list, routing.Instance{ID: fmt.Sprintf("e%d", i), Service: engines, Place: fmt.Sprint(i % 3)})
	}
	p.setInstances(list)
	now := start
	newRequest := func(no int) (wire.NodeID, *wire.PlacementRequest) {
		parts := []wire.PromptPart{{Part: uint64(no % 4), Tokens: 2520}, {Part: uint64(100 + no%263), Tokens: 3780}, {Part: uint64(10_000 + no), Tokens: 2890}}
		return wire.NodeID(fmt.Sprint(no % 58)), &wire.PlacementRequest{No: uint64(no), Try: 1, Org: 1, Place: version.IDOf(fmt.Sprint(no % 3)), Input: 9190, Output: 50, TargetMS: 600, DeadlineMS: 6000, Parts: parts}
	}
	end := func(no int) {
		from, _ := newRequest(no)
		p.note(from, wire.ProgressNote{No: uint64(no), Event: wire.ProgressFirstEvent, FirstMS: 100}, now)
		p.note(from, wire.ProgressNote{No: uint64(no), Event: wire.ProgressDone}, now)
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		now = now.Add(2 * time.Millisecond)
		from, a := newRequest(i)
		p.decide(from, a, now)
		if i >= 600 {
			end(i - 600)
		}
	}
}
