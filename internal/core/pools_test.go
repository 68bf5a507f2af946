package core

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/silverswitch/silverswitch/internal/core/wire"
	"github.com/silverswitch/silverswitch/internal/version"
)

// Ranking routers for a pool sorted the membership's own list of live routers in place, which
// others search as a list sorted by name. After a scheduler died, live routers were missing
// from it and the pool's slots idled.
func TestRankingRoutersDoesNotReorderLiveList(t *testing.T) {
	now := time.Unix(0, 0)
	n := New(Settings{ID: "10.0.0.0:1", Inc: 1, Place: "a", Sched: DefaultSched()}, now)
	n.ver = &version.Version{}
	for i := range 20 {
		n.Step(Receive{Datagram: &wire.Datagram{From: wire.NodeID(fmt.Sprintf("10.0.0.%d:1", i+1)), Inc: 1}}, now)
	}
	for pool := range version.ID(5) {
		n.rankRouters(pool + 1)
		assert.True(t, slices.IsSorted(n.members.Live(false)))
		assert.Len(t, n.members.Live(false), 21)
	}
}
