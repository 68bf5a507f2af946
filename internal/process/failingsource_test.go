package process

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/silverswitch/silverswitch/internal/dispatch"
	"github.com/silverswitch/silverswitch/internal/routing"
)

// failingSource answers nothing.
type failingSource struct{}

func (failingSource) List(context.Context) (Listing, error) {
	return Listing{}, ErrLate.New("no source")
}

func (failingSource) Watch(context.Context, uint64, time.Duration) (Listing, error) {
	return Listing{}, ErrLate.New("no source")
}

func (failingSource) Table([]byte) (*routing.Table, error) {
	return nil, ErrUnreadable.New("no source")
}

// A busy machine delays a router's ticks, so it takes itself for paused and reads its source, which
// controllers of tests did not have.
func TestPausedControllerOfATestReadsItsSource(t *testing.T) {
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	rc := newTestController(t)
	go rc.Run(ctx)
	rc.ApplyListing(listing(10, builtTable(t, 1), manyInstances(2)), true, reading{steady: true})
	require.Eventually(t, func() bool { return rc.AsOf() == 10 }, 5*time.Second, time.Millisecond)
	rc.enqueue(func(now time.Time) { rc.node.Step(dispatch.LoadShed{}, now.Add(2*dispatch.MaxTickGap)) })
	require.Eventually(t, func() bool { s := rc.Status(); return s != nil && s.Counts.StoreConfirmations > 0 }, 5*time.Second, time.Millisecond)
	assert.Negative(t, rc.Status().ListConfirmedMS, "a reading that fails confirms nothing")
}
