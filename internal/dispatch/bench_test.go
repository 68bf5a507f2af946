package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/silverswitch/silverswitch/internal/core/wire"
	"github.com/silverswitch/silverswitch/internal/dispatch/pace"
	"github.com/silverswitch/silverswitch/internal/routing"
	"github.com/silverswitch/silverswitch/internal/version"
)

// BenchmarkDecide measures one decision and the end of a run, with 600 requests of 58 routers at
// engines in three places.
func BenchmarkDecide(b *testing.B) {
	for _, n := range []int{60, 600, 6000, 12000} {
		b.Run(fmt.Sprint(n, " engines"), func(b *testing.B) { benchmarkDecide(b, n, func(*pool) {}) })
	}
}

// BenchmarkDecideForPace is BenchmarkDecide where every engine may miss a target for the gap
// between events, so that each decision works out the harm to streams.
func BenchmarkDecideForPace(b *testing.B) {
	for _, n := range []int{60, 600, 6000, 12000} {
		b.Run(fmt.Sprint(n, " engines"), func(b *testing.B) {
			benchmarkDecide(b, n, func(p *pool) {
				p.pace.targetMS = 250
				p.pace.learner.Inherit(pace.Model{Plain: 80, Prefill: 350, Stall: 2}, 1_000_000)
				p.pace.misses = missCount{count: 1e9, at: start}
				p.disabled.PaceRefusals = true // as many runs as without
			})
		})
	}
}

func benchmarkDecide(b *testing.B, engineCount int, change func(*pool)) {
	svc := &routing.Service{Name: engines, Engine: &routing.Engine{Slots: 64, MemoryTokens: 232_000}}
	p := newPool(svc, 1_300_000)
	var list []routing.Instance
	for i := range engineCount {
		list = append(list, routing.Instance{ID: fmt.Sprintf("e%d", i), Service: engines, Place: fmt.Sprint(i % 3)})
	}
	p.setInstances(list)
	change(p)
	now := start
	newRequest := func(no int) (wire.NodeID, *wire.PlacementRequest) {
		parts := []wire.PromptPart{{Part: uint64(no % 4), Tokens: 2520}, {Part: uint64(100 + no%263), Tokens: 3780}, {Part: uint64(10_000 + no), Tokens: 2890}}
		return wire.NodeID(fmt.Sprint(no % 58)), &wire.PlacementRequest{No: uint64(no), Try: 1, Org: 1, Place: version.IDOf(fmt.Sprint(no % 3)), Input: 9190, Output: 50, TargetMS: 600, DeadlineMS: 6000, Parts: parts}
	}
	end := func(no int) {
		from, _ := newRequest(no)
		p.note(from, wire.ProgressNote{No: uint64(no), Event: wire.ProgressFirstEvent, FirstMS: 100}, now)
		p.paceNote(from, wire.PaceNote{No: uint64(no), Events: 20, MS: 1200, LongestMS: 100}, now)
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
