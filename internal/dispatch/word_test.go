package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/silverswitch/silverswitch/internal/core/wire"
	"github.com/silverswitch/silverswitch/internal/version"
)

// window is the stated capacity of a fleet of tests, in tokens of the window in which
// shares are counted.
const window = 390_000 * 4

// flooded is a fleet in which two organisations ask for everything there is, and one of
// them comes in by the router returned, which has the scheduler's word on it.
func flooded(t *testing.T) (f *fleet, id wire.NodeID) {
	f = newFleet(t, 4, 4)
	id = f.other()
	p := f.nodes[f.scheduler()].pools[serviceID(engines)]
	p.meter.ask(version.IDOf("rival"), window, f.now)
	p.meter.ask(version.IDOf("flood"), 2*window, f.now)
	f.arrive(id, 1, engines, "flood", 4000)
	require.NotZero(t, f.nodes[id].words.heard[orgAt{serviceID(engines), version.IDOf("flood")}].Share)
	return f, id
}

// pour sends a flood by a router that hears nobody, request by request, for a time, and
// returns the tokens that it placed.
func (f *fleet) pour(id wire.NodeID, from uint64, d time.Duration) float64 {
	f.cut[id] = true
	placed := 0.0
	no := from
	for end := f.now.Add(d); f.now.Before(end); no++ {
		f.arrive(id, no, engines, "flood", 4000)
		f.run(TickEvery)
	}
	for ; no > from; no-- {
		if _, ok := f.got[id][no].(Place); ok {
			placed += Cost(4000, 50)
		}
	}
	return placed
}

// A router that had heard nothing of its scheduler for two seconds placed whatever came,
// twice an organisation's share of four seconds in one. It places what the share covers.
func TestRouterAlonePlacesWhatTheShareCovers(t *testing.T) {
	f, id := flooded(t)
	f.cut[id] = true
	f.run(wordFor)
	share := float64(f.nodes[id].words.heard[orgAt{serviceID(engines), version.IDOf("flood")}].Share)
	placed := f.pour(id, 10, 4*time.Second)
	assert.Less(t, placed, 1.2*share)
	assert.Greater(t, placed, 0.05*share, "nor is everything refused")
}

// Without any word an organisation gets an even part.
func TestRouterThatKnowsNoShareGivesAnEvenPart(t *testing.T) {
	f := newFleet(t, 4, 4)
	n := f.nodes[f.other()]
	p := n.pools[serviceID(engines)]
	assert.InDelta(t, window, n.allowance(p, 1, f.now), 1)
	n.reports.names = map[version.ID]string{1: "a", 2: "b", 3: "c", 4: "d"}
	assert.InDelta(t, window/4, n.allowance(p, 1, f.now), 1)
}

// An organisation that comes in by many routers gets its part at each.
func TestPartOfAShareFollowsWhatComesInHere(t *testing.T) {
	f := newFleet(t, 4, 4)
	n := f.nodes[f.other()]
	p := n.pools[serviceID(engines)]
	n.heardWords([]wire.ShareUpdate{{Service: p.id, Org: 1, Share: 1000, Requested: 8000}}, f.now)
	p.here.ask(1, 4000, f.now)
	assert.InDelta(t, 500, n.allowance(p, 1, f.now), 1)
	p.here.ask(1, 40_000, f.now)
	assert.InDelta(t, 1000, n.allowance(p, 1, f.now), 1)
	assert.InDelta(t, 1000*leastPart, n.allowance(p, 1, f.now.Add(5*time.Second)), 1)
}

// Answers that came too late were thrown away with the word that they held.
func TestLateAnswerStillTellsHowAnOrganisationStands(t *testing.T) {
	f := newFleet(t, 4, 4)
	id := f.other()
	n := f.nodes[id]
	n.Step(Receive{Datagram: &wire.Datagram{From: f.scheduler(), Inc: 1, Dispatch: &wire.Dispatch{
		PlacementReplies: []wire.PlacementReply{{No: 99, Try: 1, Upstream: version.IDOf("e0")}},
		ShareUpdates:     []wire.ShareUpdate{{Service: serviceID(engines), Org: 7, SharePercent: 250, Share: 1000, Requested: 5000}},
	}}}, f.now)
	assert.InDelta(t, 2.5, n.aloneOver(n.pools[serviceID(engines)], 7, f.now), 0.01)
	f.now = f.now.Add(wordFor)
	assert.Zero(t, n.aloneOver(n.pools[serviceID(engines)], 7, f.now))
	f.run(shareFor)
	assert.Empty(t, n.words.heard, "it is forgotten in the end")
}

// Who was asked in place of a scheduler that seemed silent knew of nothing, and said that
// an organisation at 147 hundredths of its share had had 13.
func TestOnlyTheSchedulerHasAWord(t *testing.T) {
	f := newFleet(t, 4, 4)
	id := f.other()
	var third wire.NodeID
	for _, other := range f.order {
		if other != id && other != f.scheduler() {
			third = other
		}
	}
	ask := wire.PlacementRequest{No: 5, Try: 1, Service: serviceID(engines), Org: 7, Input: 4000, TargetMS: 600, DeadlineMS: 6000}
	f.nodes[third].Step(Receive{Datagram: &wire.Datagram{From: id, Inc: 1, Dispatch: &wire.Dispatch{PlacementRequests: []wire.PlacementRequest{ask}}}}, f.now)
	for _, o := range f.nodes[third].Ready(f.now) {
		if s, is := o.(Send); is && s.To == id {
			require.NotNil(t, s.Datagram.Dispatch)
			assert.NotEmpty(t, s.Datagram.Dispatch.PlacementReplies)
			assert.Empty(t, s.Datagram.Dispatch.ShareUpdates)
		}
	}
	assert.NotEmpty(t, f.nodes[third].unasked.sums, "what it placed is told to the scheduler")
}

// Who was asked in place of the scheduler gave what seemed left over, 428 requests of one
// flood in a second, and what was never begun of it stayed counted at the scheduler.
func TestInTheSchedulersPlaceNothingIsGivenBeyondShares(t *testing.T) {
	f := newFleet(t, 4, 4)
	sched := f.nodes[f.scheduler()]
	p := sched.pools[serviceID(engines)]
	heir := f.nodes[sched.ranked(p.id, f.now)[1]]
	own := heir.pools[p.id]
	ask := func(no uint64) wire.PlacementReply {
		a := wire.PlacementRequest{No: no, Try: 1, Service: p.id, Org: 7, Input: 4000, TargetMS: 600, DeadlineMS: 6000}
		heir.Step(Receive{Datagram: &wire.Datagram{From: f.scheduler(), Inc: 1, Dispatch: &wire.Dispatch{PlacementRequests: []wire.PlacementRequest{a}}}}, f.now)
		for _, o := range heir.Ready(f.now) {
			if s, is := o.(Send); is && s.Datagram.Dispatch != nil && len(s.Datagram.Dispatch.PlacementReplies) > 0 {
				return s.Datagram.Dispatch.PlacementReplies[0]
			}
		}
		require.Fail(t, "no answer")
		return wire.PlacementReply{}
	}
	require.NotZero(t, ask(1).Upstream)
	heir.Step(Receive{Datagram: &wire.Datagram{From: f.scheduler(), Inc: 1, Dispatch: &wire.Dispatch{ProgressNotes: []wire.ProgressNote{{No: 1, Event: wire.ProgressUnused}}}}}, f.now)
	sum := heir.unasked.sums[orgAt{p.id, 7}]
	assert.InDelta(t, 0, sum.placed, 0.1, "what was placed and what came back")
	own.meter.ask(8, 2*window, f.now)
	own.meter.ask(7, 2*window, f.now)
	own.meter.grant(7, window, f.now)
	f.now = f.now.Add(shareStep)
	refused := ask(2)
	assert.Zero(t, refused.Upstream)
	assert.Equal(t, uint8(ReasonShare), refused.ReasonCode)
}

// The next scheduler knows what organisations had, and does not count twice what it
// placed and told itself.
func TestHeirsKnowTheWindow(t *testing.T) {
	f := newFleet(t, 4, 4)
	sched := f.nodes[f.scheduler()]
	p := sched.pools[serviceID(engines)]
	heir := f.nodes[sched.ranked(p.id, f.now)[1]]
	p.meter.ask(7, 50_000, f.now)
	p.meter.grant(7, 20_000, f.now)
	own := heir.pools[p.id].meter
	own.ask(8, 9000, f.now)
	own.grant(8, 9000, f.now)
	heir.unasked.add(orgAt{p.id, 8}, 9000, 9000)
	f.run(2 * bookedEvery)
	assert.InDelta(t, 50_000, total(&own.at(7, f.now).asked), 1)
	assert.InDelta(t, 20_000, total(&own.at(7, f.now).got), 1)
	assert.InDelta(t, 9000, total(&own.at(8, f.now).got), 1)
	assert.InDelta(t, 9000, total(&p.meter.at(8, f.now).got), 1)
}

// A placement that came to nothing counted as what its organisation had got, at the
// scheduler for good when another router had placed it.
func TestWorkThatNeverBeganIsTakenBack(t *testing.T) {
	f := newFleet(t, 4, 4)
	id := f.other()
	org := version.IDOf("unlucky")
	meter := f.nodes[f.scheduler()].pools[serviceID(engines)].meter
	f.arrive(id, 1, engines, "unlucky", 4000)
	f.placed(id, 1)
	assert.Positive(t, total(&meter.at(org, f.now).got))
	f.nodes[id].Step(End{ID: 1, Event: wire.ProgressFailed}, f.now)
	f.run(100 * time.Millisecond)
	assert.Zero(t, total(&meter.at(org, f.now).got), "its engine crashed before the first event")

	f.cut[f.scheduler()] = true
	f.arrive(id, 2, engines, "unlucky", 4000)
	f.run(askGiveUp + 3*TickEvery)
	f.placed(id, 2)
	delete(f.cut, f.scheduler())
	f.run(2 * unaskedEvery)
	f.nodes[id].Step(End{ID: 2, Event: wire.ProgressUnused}, f.now)
	f.run(4 * unaskedEvery)
	assert.InDelta(t, 0, total(&meter.at(org, f.now).got), 1, "it was placed alone, and never sent")
	assert.InDelta(t, 0, total(&f.nodes[id].pools[serviceID(engines)].here.at(org, f.now).got), 1)

	f.arrive(id, 3, engines, "unlucky", 4000)
	f.nodes[id].Step(First{ID: 3, After: 100 * time.Millisecond}, f.now)
	f.nodes[id].Step(End{ID: 3, Event: wire.ProgressFailed}, f.now)
	f.run(100 * time.Millisecond)
	assert.Positive(t, total(&meter.at(org, f.now).got), "what has begun was got")
}
