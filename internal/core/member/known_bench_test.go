package member

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/silverswitch/silverswitch/internal/core/wire"
)

// BenchmarkKnown counts a fleet of 363 routers, as each decision about cold upstreams does, and
// compares it with listing and sorting them.
func BenchmarkKnown(b *testing.B) {
	now := time.Unix(0, 0)
	t := New(wire.Update{ID: "10.0.0.0:1"}, nil, now, rand.New(rand.NewPCG(1, 1)))
	for i := range 362 {
		t.Add([]wire.NodeID{wire.NodeID(fmt.Sprintf("10.0.%d.%d:1", i/200, i%200+1))}, now)
	}
	b.Run("counted", func(b *testing.B) {
		for b.Loop() {
			if t.Known() != 363 {
				b.Fatal(t.Known())
			}
		}
	})
	b.Run("listed", func(b *testing.B) {
		for b.Loop() {
			if len(t.All())+1 != 363 {
				b.Fatal(len(t.All()))
			}
		}
	})
}
