package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/silverswitch/silverswitch/internal/core/wire"
	"github.com/silverswitch/silverswitch/internal/routing"
)

// BenchmarkDecide is one decision and its end, with 60 engines and 600 requests
// at them, of 58 routers: 53,000 decisions a second and core.
func BenchmarkDecide(b *testing.B) {
	svc := &routing.Service{Name: engines, Engine: &routing.Engine{Slots: 64, MemoryTokens: 232_000}}
	p := newPool(svc, 1_300_000)
	var list []routing.Instance
	for i := range 60 {
		list = append(list, routing.Instance{ID: fmt.Sprintf("e%d", i), Service: engines, Place: fmt.Sprint(i % 3)})
	}
	p.setInstances(list)
	now := start
	ask := func(no int) (wire.NodeID, *wire.WorkAsk) {
		parts := []wire.PromptPart{{Part: uint64(no % 4), Tokens: 2520}, {Part: uint64(100 + no%263), Tokens: 3780}, {Part: uint64(10_000 + no), Tokens: 2890}}
		return wire.NodeID(fmt.Sprint(no % 58)), &wire.WorkAsk{No: uint64(no), Try: 1, Org: 1, Input: 9190, Output: 50, AimMS: 600, LeftMS: 6000, Parts: parts}
	}
	end := func(no int) {
		from, _ := ask(no)
		p.note(from, wire.WorkNote{No: uint64(no), Event: wire.NoteFirst, FirstMS: 100}, now)
		p.note(from, wire.WorkNote{No: uint64(no), Event: wire.NoteDone}, now)
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		now = now.Add(2 * time.Millisecond)
		from, a := ask(i)
		p.decide(from, a, now)
		if i >= 600 {
			end(i - 600)
		}
	}
}
