package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/silverswitch/silverswitch/internal/core/wire"
)

// A router short of CPU reported first events a second late. Every engine that had one of
// its prompts seemed a second behind, and all organisations were refused everywhere.
func TestOverloadedRouterDoesNotSlowEngineModel(t *testing.T) {
	f := newFleet(t, 3, 2)
	id := f.other()
	f.nodes[id].Step(CPUOverload{On: true}, f.now)
	p := f.nodes[f.scheduler()].pools[serviceID(engines)]
	before := p.learner.SampleCount()
	for no := uint64(1); no <= 4; no++ {
		f.run(TickInterval)
		f.arrive(id, no, engines, "a", 4000)
		f.placed(id, no)
	}
	f.run(time.Second)
	for _, u := range p.order {
		assert.Zero(t, u.backlog(p.learner.Model(), f.now), "the prompts have been read since")
	}
	for no := uint64(1); no <= 4; no++ {
		f.nodes[id].Step(FirstEvent{ID: no, After: time.Second}, f.now)
	}
	f.run(100 * time.Millisecond)
	assert.Equal(t, before, p.learner.SampleCount())
	for _, u := range p.order {
		assert.InDelta(t, 1, u.queue.Slow(p.learner.Model(), f.now), 0.01)
		assert.Zero(t, u.queue.Len())
	}
	f.nodes[id].Step(CPUOverload{On: false}, f.now)
	f.run(overloadHoldDuration + time.Second)
	assert.Empty(t, p.overloaded)
}

// When a router announces its overload, the times of requests that it has placed before
// become suspect too.
func TestOverloadMarksEarlierPlacementsSuspect(t *testing.T) {
	f := newFleet(t, 3, 1)
	id := f.other()
	p := f.nodes[f.scheduler()].pools[serviceID(engines)]
	f.arrive(id, 1, engines, "a", 4000)
	f.run(time.Second)
	assert.Greater(t, p.order[0].backlog(p.learner.Model(), f.now), 300.0, "its first event is missing")
	f.nodes[id].Step(CPUOverload{On: true}, f.now)
	f.run(300 * time.Millisecond)
	assert.Zero(t, p.order[0].backlog(p.learner.Model(), f.now))
	f.nodes[id].Step(End{ID: 1, Event: wire.ProgressDone}, f.now)
	f.run(100 * time.Millisecond)
	assert.Zero(t, p.order[0].queue.Len())
}

// The load that routers stated for their own placements remained for a second and a half
// after engines had read it.
func TestStatedLoadDecays(t *testing.T) {
	f := newFleet(t, 2, 1)
	n := f.nodes[f.order[0]]
	p := n.pools[serviceID(engines)]
	u := p.order[0]
	u.updateUsage("10.9.9.9:1", func(n *routerUsage) { n.load = wire.UpstreamLoad{Running: 3, Unread: 4000} })
	stated := u.stated(p.learner.Model(), f.now)
	require.Greater(t, stated, 50.0)
	half := time.Duration(stated/2) * time.Millisecond
	n.loadsUpdatedAt = f.now
	for range 2 {
		f.now = f.now.Add(half)
		n.tickStatedLoads(f.now)
	}
	assert.Less(t, u.stated(p.learner.Model(), f.now), 0.1*stated)
	assert.Equal(t, 3, u.running(), "the requests are still running")
	u.decayStatedLoad(p.learner.Model(), time.Second, f.now)
	assert.Zero(t, u.total.unread)
}

// A router that received replies after 70 ms gave up on each of them after 45 ms, and used
// none.
func TestReplyTimeoutFollowsRoundTripTime(t *testing.T) {
	var r roundTrip
	assert.Equal(t, minPlacementTimeout, r.timeout())
	assert.Equal(t, minPlacementRetryDelay, r.resendDelay())
	for range 40 {
		r.observe(70 * time.Millisecond)
	}
	assert.Greater(t, r.timeout(), 70*time.Millisecond)
	for range 40 {
		r.observe(2 * time.Second)
	}
	assert.Equal(t, maxPlacementTimeout, r.timeout())
	for range 80 {
		r.observe(2 * time.Millisecond)
	}
	assert.Equal(t, minPlacementTimeout, r.timeout(), "the timeout falls again")
}

// Replies to placement requests that have timed out still count in the estimate of the
// round-trip time.
func TestLateRepliesUpdateRoundTripTime(t *testing.T) {
	f := newFleet(t, 4, 4)
	id := f.other()
	n := f.nodes[id]
	for no := uint64(1); no <= 30; no++ {
		f.cut[f.scheduler()] = true
		f.arrive(id, no, engines, "a", 100)
		requestedAt := f.now
		delete(f.cut, f.scheduler())
		for f.got[id][no] == nil {
			f.now = f.now.Add(TickInterval)
			n.Tick(f.now)
			f.deliver()
			if f.now.Sub(requestedAt) == 100*time.Millisecond {
				n.Step(Receive{Datagram: &wire.Datagram{From: f.scheduler(), Inc: 1, Dispatch: &wire.Dispatch{PlacementReplies: []wire.PlacementReply{{No: no, Try: 1}}}}}, f.now)
				f.deliver()
			}
		}
		if try, late := n.timedOutRequests[no]; late {
			f.now = requestedAt.Add(100 * time.Millisecond)
			n.Step(Receive{Datagram: &wire.Datagram{From: f.scheduler(), Inc: 1, Dispatch: &wire.Dispatch{PlacementReplies: []wire.PlacementReply{{No: no, Try: try.try}}}}}, f.now)
		}
		f.run(TickInterval)
	}
	assert.Greater(t, n.replyRTT.timeout(), minPlacementTimeout)
	assert.LessOrEqual(t, n.replyTimeout(&inflightRequest{requestedAt: f.now, req: Request{TargetTime: f.now.Add(60 * time.Millisecond)}}), minPlacementTimeout, "bounded by the time left to the request's target")
	f.run(2 * timedOutRequestTTL)
	assert.Empty(t, n.timedOutRequests)
}

// A router that did not get to read its datagrams took nine schedulers for failed within
// 0.6 s.
func TestIsolatedRouterSuspectsOneScheduler(t *testing.T) {
	f := newFleet(t, 6, 4)
	ranked := f.nodes[f.order[0]].ranked(serviceID(engines), f.now)
	id := ranked[len(ranked)-1]
	f.cut[id] = true
	for no := uint64(1); no <= 20; no++ {
		f.arrive(id, no, engines, "a", 100)
		f.run(2 * minPlacementTimeout)
	}
	blamed := 0
	for _, e := range f.events {
		if e.Name == "scheduler-silent" {
			blamed++
		}
	}
	assert.LessOrEqual(t, blamed, 2)
}
