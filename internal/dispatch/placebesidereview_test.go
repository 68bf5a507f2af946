package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/silverswitch/silverswitch/internal/core/wire"
)

// The first upstream went on before the scheduler had decided on the second placement. Nothing was sent, and
// the repeat was spent.
func TestSecondPlacementEndedBeforeItsDecisionSpendsNoRepeat(t *testing.T) {
	f := newFleet(t, 3, 2)
	id := f.other()
	n := f.nodes[id]
	f.arrive(id, 1, engines, "a", 500)
	f.placed(id, 1)
	n.Step(PlaceBeside{ID: 1, NewID: 2}, f.now)
	require.Zero(t, n.inflight[2].upstreamID, "the scheduler is asked")
	n.Step(End{ID: 2, Event: wire.ProgressUnused}, f.now)
	f.deliver()
	assert.Zero(t, n.budget(serviceID(engines)).recentRepeats(f.now))
}

// A second attempt was sent and failed, and a third one was refused for the budget. The repeat of the second
// was given back, though it had run.
func TestRefusedThirdPlacementGivesNoSentRepeatBack(t *testing.T) {
	f := newFleet(t, 1, 4)
	id := f.order[0]
	n := f.nodes[id]
	f.arrive(id, 1, engines, "a", 500)
	f.placed(id, 1)
	n.Step(PlaceBeside{ID: 1, NewID: 2}, f.now)
	f.deliver()
	f.placed(id, 2)
	b := n.budget(serviceID(engines))
	for b.allowRepeat(n.fleetSize(), n.demandRatio(serviceID(engines), f.now), f.now) {
	}
	spent := b.recentRepeats(f.now)
	n.Step(End{ID: 1, Event: wire.ProgressFailed}, f.now)
	n.Step(PlaceAgain{ID: 2, Event: wire.ProgressFailed}, f.now)
	f.deliver()
	refusal, refused := f.got[id][2].(Refuse)
	require.True(t, refused)
	require.Equal(t, ReasonBudget, refusal.Reason)
	assert.Equal(t, spent, b.recentRepeats(f.now))
}

// The end of a second placement that was not used shortened the record of the stream's version, which the
// first upstream still sends.
func TestEndOfSecondPlacementKeepsTheStreamsRecord(t *testing.T) {
	f := newFleet(t, 1, 3)
	id := f.order[0]
	n := f.nodes[id]
	n.pools[serviceID(engines)].unconfirmable = true // streams are recorded
	n.Step(Arrive{Request: Request{ID: 1, Service: engines, Org: "a", Input: 500, Output: 50, Stream: 7,
		TargetTime: f.now.Add(600 * time.Millisecond), Deadline: f.now.Add(10 * time.Minute)}}, f.now)
	f.deliver()
	f.placed(id, 1)
	n.Step(FirstEvent{ID: 1}, f.now)
	before, known := n.streams.of(7, f.now)
	require.True(t, known)
	n.Step(PlaceBeside{ID: 1, NewID: 2}, f.now)
	f.deliver()
	f.placed(id, 2)
	n.Step(End{ID: 2, Event: wire.ProgressUnused}, f.now)
	after, known := n.streams.of(7, f.now)
	require.True(t, known)
	assert.False(t, after.until.Before(before.until), "kept until %s, now until %s", before.until, after.until)
}
