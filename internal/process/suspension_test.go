package process

import (
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"

	"github.com/silverswitch/silverswitch/internal/clock"
	"github.com/silverswitch/silverswitch/internal/conn"
	"github.com/silverswitch/silverswitch/internal/core"
	"github.com/silverswitch/silverswitch/internal/dispatch"
)

// newSuspendableClock returns a clock, and the total suspension of its VM for the test to set.
func newSuspendableClock() (*clock.Clock, *atomic.Int64) {
	var total atomic.Int64
	return clock.New(func() (time.Duration, bool) { return time.Duration(total.Load()), true }), &total
}

// Guards against an unnoticed suspension of the VM. Go's monotonic clock does not count it, so
// a router that relies on it sees no late tick, and takes outdated information about other
// routers for current.
func TestSuspensionCountsAsPause(t *testing.T) {
	c, total := newSuspendableClock()
	rc := NewRoutedController(dispatch.Settings{ID: "10.0.0.1:1", Inc: 1, Place: "p", Retry: dispatch.DefaultRetryRules}, failingSource{}, nil, nil, conn.NewExchanges(), zerolog.Nop())
	rc.clock = c
	ac := NewAppController(core.Settings{ID: "10.0.0.1:1", Inc: 1, Place: "p"}, nil, nil, zerolog.Nop())
	ac.clock = c
	rc.tick(rc.now())
	ac.tick(ac.now())
	total.Add(int64(5 * time.Second))
	refreshClock(c, zerolog.Nop())
	rc.tick(rc.now())
	ac.tick(ac.now())
	assert.Equal(t, uint64(1), rc.node.Counts.Woke)
	assert.Equal(t, uint64(1), ac.node.Counts.Woke)
	rc.tick(rc.now())
	assert.Equal(t, uint64(1), rc.node.Counts.Woke, "a suspension counts once")
}
