package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/silverswitch/silverswitch/internal/core/wire"
	"github.com/silverswitch/silverswitch/internal/version"
)

// statedWindowTokens is the stated capacity of a fleet in tests, in tokens of the window in
// which shares are counted.
const statedWindowTokens = 390_000 * 4

// newFloodedFleet returns a fleet in which two organisations request the whole capacity and
// more. The requests of one of them arrive at the returned router, which has received the
// scheduler's share update on it.
func newFloodedFleet(t *testing.T) (f *fleet, id wire.NodeID) {
	f = newFleet(t, 4, 4)
	id = f.other()
	p := f.nodes[f.scheduler()].pools[serviceID(engines)]
	p.meter.addRequest(version.IDOf("rival"), statedWindowTokens, f.now)
	p.meter.addRequest(version.IDOf("flood"), 2*statedWindowTokens, f.now)
	f.arrive(id, 1, engines, "flood", 4000)
	require.NotZero(t, f.nodes[id].shareUpdates.received[serviceOrg{serviceID(engines), version.IDOf("flood")}].Share)
	return f, id
}

// sendFlood sends a flood through a router that is cut off, request by request, for a time,
// and returns the tokens that it placed.
func (f *fleet) sendFlood(id wire.NodeID, from uint64, d time.Duration) float64 {
	f.cut[id] = true
	placed := 0.0
	no := from
	for end := f.now.Add(d); f.now.Before(end); no++ {
		f.arrive(id, no, engines, "flood", 4000)
		f.run(TickInterval)
	}
	for ; no > from; no-- {
		if _, ok := f.got[id][no].(Placement); ok {
			placed += Cost(4000, 50)
		}
	}
	return placed
}

// A router that had received nothing from its scheduler for two seconds placed whatever
// arrived: within one second twice the organisation's share of a four second window. It
// should place what the share covers.
func TestIsolatedRouterPlacesItsFractionOfTheShare(t *testing.T) {
	f, id := newFloodedFleet(t)
	f.cut[id] = true
	f.run(overShareTTL)
	share := float64(f.nodes[id].shareUpdates.received[serviceOrg{serviceID(engines), version.IDOf("flood")}].Share)
	placed := f.sendFlood(id, 10, 4*time.Second)
	assert.Less(t, placed, 1.2*share)
	assert.Greater(t, placed, 0.05*share, "not everything is refused")
}

// Without a share update an organisation gets an even part of the capacity.
func TestLocalAllowanceWithoutShareUpdate(t *testing.T) {
	f := newFleet(t, 4, 4)
	n := f.nodes[f.other()]
	p := n.pools[serviceID(engines)]
	assert.InDelta(t, statedWindowTokens, n.localAllowance(p, 1, f.now), 1)
	n.reports.orgNames = map[version.ID]string{1: "a", 2: "b", 3: "c", 4: "d"}
	assert.InDelta(t, statedWindowTokens/4, n.localAllowance(p, 1, f.now), 1)
}

// An organisation whose requests arrive at many routers gets a fraction of its share at
// each.
func TestLocalAllowanceFollowsLocalDemand(t *testing.T) {
	f := newFleet(t, 4, 4)
	n := f.nodes[f.other()]
	p := n.pools[serviceID(engines)]
	n.handleShareUpdates([]wire.ShareUpdate{{Service: p.id, Org: 1, Share: 1000, Requested: 8000}}, f.now)
	p.local.addRequest(1, 4000, f.now)
	assert.InDelta(t, 500, n.localAllowance(p, 1, f.now), 1)
	p.local.addRequest(1, 40_000, f.now)
	assert.InDelta(t, 1000, n.localAllowance(p, 1, f.now), 1)
	assert.InDelta(t, 1000*minLocalShareRatio, n.localAllowance(p, 1, f.now.Add(5*time.Second)), 1)
}

// Replies that arrived too late were dropped together with the share update that came with
// them.
func TestLateReplyDeliversShareUpdate(t *testing.T) {
	f := newFleet(t, 4, 4)
	id := f.other()
	n := f.nodes[id]
	n.Step(Receive{Datagram: &wire.Datagram{From: f.scheduler(), Inc: 1, Dispatch: &wire.Dispatch{
		PlacementReplies: []wire.PlacementReply{{No: 99, Try: 1, Upstream: version.IDOf("e0")}},
		ShareUpdates:     []wire.ShareUpdate{{Service: serviceID(engines), Org: 7, SharePercent: 250, Share: 1000, Requested: 5000}},
	}}}, f.now)
	assert.InDelta(t, 2.5, n.localUsedShare(n.pools[serviceID(engines)], 7, f.now), 0.01)
	f.now = f.now.Add(overShareTTL)
	assert.Zero(t, n.localUsedShare(n.pools[serviceID(engines)], 7, f.now))
	f.run(shareUpdateTTL)
	assert.Empty(t, n.shareUpdates.received, "expired updates are removed")
}

// A router that decided in place of a seemingly failed scheduler knew nothing, and
// reported that an organisation at 147 per cent of its share had used 13.
func TestOnlySchedulerSendsShareUpdates(t *testing.T) {
	f := newFleet(t, 4, 4)
	id := f.other()
	var third wire.NodeID
	for _, other := range f.order {
		if other != id && other != f.scheduler() {
			third = other
		}
	}
	request := wire.PlacementRequest{No: 5, Try: 1, Service: serviceID(engines), Org: 7, Input: 4000, TargetMS: 600, DeadlineMS: 6000}
	f.nodes[third].Step(Receive{Datagram: &wire.Datagram{From: id, Inc: 1, Dispatch: &wire.Dispatch{PlacementRequests: []wire.PlacementRequest{request}}}}, f.now)
	for _, o := range f.nodes[third].Ready(f.now) {
		if s, is := o.(Send); is && s.To == id {
			require.NotNil(t, s.Datagram.Dispatch)
			assert.NotEmpty(t, s.Datagram.Dispatch.PlacementReplies)
			assert.Empty(t, s.Datagram.Dispatch.ShareUpdates)
		}
	}
	assert.NotEmpty(t, f.nodes[third].unreportedUsage.sums, "its placement is reported to the scheduler")
}

// A router that decided in place of the scheduler granted what seemed to be spare
// capacity, 428 requests of one flood in a second. Those that never started remained
// counted at the scheduler.
func TestStandInSchedulerPlacesNothingOverShare(t *testing.T) {
	f := newFleet(t, 4, 4)
	sched := f.nodes[f.scheduler()]
	p := sched.pools[serviceID(engines)]
	standby := f.nodes[sched.ranked(p.id, f.now)[1]]
	own := standby.pools[p.id]
	addRequest := func(no uint64) wire.PlacementReply {
		a := wire.PlacementRequest{No: no, Try: 1, Service: p.id, Org: 7, Input: 4000, TargetMS: 600, DeadlineMS: 6000}
		standby.Step(Receive{Datagram: &wire.Datagram{From: f.scheduler(), Inc: 1, Dispatch: &wire.Dispatch{PlacementRequests: []wire.PlacementRequest{a}}}}, f.now)
		for _, o := range standby.Ready(f.now) {
			if s, is := o.(Send); is && s.Datagram.Dispatch != nil && len(s.Datagram.Dispatch.PlacementReplies) > 0 {
				return s.Datagram.Dispatch.PlacementReplies[0]
			}
		}
		require.Fail(t, "no answer")
		return wire.PlacementReply{}
	}
	require.NotZero(t, addRequest(1).Upstream)
	standby.Step(Receive{Datagram: &wire.Datagram{From: f.scheduler(), Inc: 1, Dispatch: &wire.Dispatch{ProgressNotes: []wire.ProgressNote{{No: 1, Event: wire.ProgressUnused}}}}}, f.now)
	sum := standby.unreportedUsage.sums[serviceOrg{p.id, 7}]
	assert.InDelta(t, 0, sum.placed, 0.1, "the placement and its reversal cancel out")
	own.meter.addRequest(8, 2*statedWindowTokens, f.now)
	own.meter.addRequest(7, 2*statedWindowTokens, f.now)
	own.meter.addGrant(7, statedWindowTokens, f.now)
	f.now = f.now.Add(shareStep)
	refused := addRequest(2)
	assert.Zero(t, refused.Upstream)
	assert.Equal(t, uint8(ReasonShare), refused.ReasonCode)
}

// The next scheduler knows what organisations have used, and does not count twice what it
// placed and reported itself.
func TestStandbysReceiveRecordedUsage(t *testing.T) {
	f := newFleet(t, 4, 4)
	sched := f.nodes[f.scheduler()]
	p := sched.pools[serviceID(engines)]
	standby := f.nodes[sched.ranked(p.id, f.now)[1]]
	p.meter.addRequest(7, 50_000, f.now)
	p.meter.addGrant(7, 20_000, f.now)
	own := standby.pools[p.id].meter
	own.addRequest(8, 9000, f.now)
	own.addGrant(8, 9000, f.now)
	standby.unreportedUsage.add(serviceOrg{p.id, 8}, 9000, 9000)
	f.run(2 * recordedUsageInterval)
	assert.InDelta(t, 50_000, windowTotal(&own.at(7, f.now).requested), 1)
	assert.InDelta(t, 20_000, windowTotal(&own.at(7, f.now).got), 1)
	assert.InDelta(t, 9000, windowTotal(&own.at(8, f.now).got), 1)
	assert.InDelta(t, 9000, windowTotal(&p.meter.at(8, f.now).got), 1)
}

// Guards against refusing an organisation below its share after two changes of scheduler: a
// standby recorded the usage that it had received as its own, and replicated it once more when
// it became the scheduler, so that the next one counted a second of usage twice.
func TestReplicatedUsageIsNotReplicatedAgain(t *testing.T) {
	f := newFleet(t, 3, 4)
	first := f.nodes[f.scheduler()]
	service := serviceID(engines)
	ranked := first.ranked(service, f.now)
	second, third := f.nodes[ranked[1]], f.nodes[ranked[2]]
	f.run(recordedUsageInterval)
	first.pools[service].meter.addRequest(7, 50_000, f.now)
	first.pools[service].meter.addGrant(7, 20_000, f.now)
	for windowTotal(&second.pools[service].meter.at(7, f.now).got) == 0 {
		f.run(TickInterval)
	}
	first.Step(Leave{}, f.now)
	second.recordedUsageDue = f.now.Add(4 * TickInterval) // before the received usage is discarded
	f.run(3 * TickInterval)
	require.Equal(t, second.settings.ID, second.schedulerOf(service, f.now))
	f.run(recordedUsageInterval)
	for _, n := range []*Node{second, third} {
		assert.InDelta(t, 50_000, windowTotal(&n.pools[service].meter.at(7, f.now).requested), 1)
		assert.InDelta(t, 20_000, windowTotal(&n.pools[service].meter.at(7, f.now).got), 1)
	}
}

// Guards against a share that seems unused for a moment: usage that a standby received for a
// whole second counted in one step, and so left the window at once.
func TestReplicatedUsageLeavesTheWindowInSteps(t *testing.T) {
	m := newMeter(1000)
	m.addReplicated(7, 4000, 400, start)
	assert.InDelta(t, 400, windowTotal(&m.at(7, start).got), 0.01)
	later := start.Add((shareSteps - 3) * shareStep)
	assert.InDelta(t, 300, windowTotal(&m.at(7, later).got), 0.01)
	assert.InDelta(t, 100, windowTotal(&m.at(7, later.Add(2*shareStep)).got), 0.01)
	assert.Zero(t, windowTotal(&m.at(7, later.Add(3*shareStep)).got))
}

// A placement that was not used counted as granted to its organisation, and for good at the
// scheduler if another router had placed it.
func TestUnstartedWorkIsSubtractedFromUsage(t *testing.T) {
	f := newFleet(t, 4, 4)
	id := f.other()
	org := version.IDOf("unlucky")
	meter := f.nodes[f.scheduler()].pools[serviceID(engines)].meter
	f.arrive(id, 1, engines, "unlucky", 4000)
	f.placed(id, 1)
	assert.Positive(t, windowTotal(&meter.at(org, f.now).got))
	f.nodes[id].Step(End{ID: 1, Event: wire.ProgressFailed}, f.now)
	f.run(100 * time.Millisecond)
	assert.Zero(t, windowTotal(&meter.at(org, f.now).got), "its engine crashed before the first event")

	f.cut[f.scheduler()] = true
	f.arrive(id, 2, engines, "unlucky", 4000)
	f.run(minPlacementTimeout + 3*TickInterval)
	f.placed(id, 2)
	delete(f.cut, f.scheduler())
	f.run(2 * localUsageInterval)
	f.nodes[id].Step(End{ID: 2, Event: wire.ProgressUnused}, f.now)
	f.run(4 * localUsageInterval)
	assert.InDelta(t, 0, windowTotal(&meter.at(org, f.now).got), 1, "it was placed without the scheduler, and never sent")
	assert.InDelta(t, 0, windowTotal(&f.nodes[id].pools[serviceID(engines)].local.at(org, f.now).got), 1)

	f.arrive(id, 3, engines, "unlucky", 4000)
	f.nodes[id].Step(FirstEvent{ID: 3, After: 100 * time.Millisecond}, f.now)
	f.nodes[id].Step(End{ID: 3, Event: wire.ProgressFailed}, f.now)
	f.run(100 * time.Millisecond)
	assert.Positive(t, windowTotal(&meter.at(org, f.now).got), "started work counts as granted")
}
