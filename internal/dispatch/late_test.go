package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/silverswitch/silverswitch/internal/core/wire"
)

// First events of a router short of processor came a second late. Every engine that had
// one of its prompts seemed a second behind, and everyone was refused everywhere.
func TestLateRoutersTimesAreNotTheEngines(t *testing.T) {
	f := newFleet(t, 3, 2)
	id := f.other()
	f.nodes[id].Step(Strained{On: true}, f.now)
	p := f.nodes[f.scheduler()].pools[serviceID(engines)]
	before := p.learner.Seen()
	for no := uint64(1); no <= 4; no++ {
		f.run(TickEvery)
		f.arrive(id, no, engines, "a", 4000)
		f.placed(id, no)
	}
	f.run(time.Second)
	for _, u := range p.order {
		assert.Zero(t, u.backlog(p.learner.Model(), f.now), "it has been read since")
	}
	for no := uint64(1); no <= 4; no++ {
		f.nodes[id].Step(First{ID: no, After: time.Second}, f.now)
	}
	f.run(100 * time.Millisecond)
	assert.Equal(t, before, p.learner.Seen())
	for _, u := range p.order {
		assert.InDelta(t, 1, u.queue.Slow(p.learner.Model(), f.now), 0.01)
		assert.Zero(t, u.queue.Len())
	}
	f.nodes[id].Step(Strained{On: false}, f.now)
	f.run(lateLasts + time.Second)
	assert.Empty(t, p.late)
}

// A router that says that it is late makes what it has placed before doubtful too.
func TestLatenessHoldsForWhatWasPlacedBefore(t *testing.T) {
	f := newFleet(t, 3, 1)
	id := f.other()
	p := f.nodes[f.scheduler()].pools[serviceID(engines)]
	f.arrive(id, 1, engines, "a", 4000)
	f.run(time.Second)
	assert.Greater(t, p.order[0].backlog(p.learner.Model(), f.now), 300.0, "its first event is missing")
	f.nodes[id].Step(Strained{On: true}, f.now)
	f.run(300 * time.Millisecond)
	assert.Zero(t, p.order[0].backlog(p.learner.Model(), f.now))
	f.nodes[id].Step(End{ID: 1, Event: wire.ProgressDone}, f.now)
	f.run(100 * time.Millisecond)
	assert.Zero(t, p.order[0].queue.Len())
}

// What routers state of their own placements stood for a second and a half after engines
// had read it.
func TestStatedLoadIsWorkedOff(t *testing.T) {
	f := newFleet(t, 2, 1)
	n := f.nodes[f.order[0]]
	p := n.pools[serviceID(engines)]
	u := p.order[0]
	u.change("10.9.9.9:1", func(n *nodeUse) { n.load = wire.UpstreamLoad{Running: 3, Unread: 4000} })
	stated := u.stated(p.learner.Model(), f.now)
	require.Greater(t, stated, 50.0)
	half := time.Duration(stated/2) * time.Millisecond
	n.worked = f.now
	for range 2 {
		f.now = f.now.Add(half)
		n.tickStated(f.now)
	}
	assert.Less(t, u.stated(p.learner.Model(), f.now), 0.1*stated)
	assert.Equal(t, 3, u.running(), "the runs go on")
	u.workOff(p.learner.Model(), time.Second, f.now)
	assert.Zero(t, u.total.unread)
}

// A router whose answers came after 70 ms gave up on each of them after 45: it used none.
func TestWaitForAnAnswerFollowsHowLongAnswersTake(t *testing.T) {
	var r roundTrip
	assert.Equal(t, askGiveUp, r.giveUp())
	assert.Equal(t, askAgain, r.again())
	for range 40 {
		r.take(70 * time.Millisecond)
	}
	assert.Greater(t, r.giveUp(), 70*time.Millisecond)
	for range 40 {
		r.take(2 * time.Second)
	}
	assert.Equal(t, askMost, r.giveUp())
	for range 80 {
		r.take(2 * time.Millisecond)
	}
	assert.Equal(t, askGiveUp, r.giveUp(), "and back")
}

// Answers to asks that were given up on tell how late answers are.
func TestAnswersThatComeTooLateAreTimed(t *testing.T) {
	f := newFleet(t, 4, 4)
	id := f.other()
	n := f.nodes[id]
	for no := uint64(1); no <= 30; no++ {
		f.cut[f.scheduler()] = true
		f.arrive(id, no, engines, "a", 100)
		asked := f.now
		delete(f.cut, f.scheduler())
		for f.got[id][no] == nil {
			f.now = f.now.Add(TickEvery)
			n.Tick(f.now)
			f.deliver()
			if f.now.Sub(asked) == 100*time.Millisecond {
				n.Step(Receive{Datagram: &wire.Datagram{From: f.scheduler(), Inc: 1, Dispatch: &wire.Dispatch{PlacementReplies: []wire.PlacementReply{{No: no, Try: 1}}}}}, f.now)
				f.deliver()
			}
		}
		if try, late := n.gaveUp[no]; late {
			f.now = asked.Add(100 * time.Millisecond)
			n.Step(Receive{Datagram: &wire.Datagram{From: f.scheduler(), Inc: 1, Dispatch: &wire.Dispatch{PlacementReplies: []wire.PlacementReply{{No: no, Try: try.try}}}}}, f.now)
		}
		f.run(TickEvery)
	}
	assert.Greater(t, n.trip.giveUp(), askGiveUp)
	assert.LessOrEqual(t, n.patience(&flight{asked: f.now, req: Request{Aim: f.now.Add(60 * time.Millisecond)}}), askGiveUp, "not beyond what a request's target leaves")
	f.run(2 * givenUpFor)
	assert.Empty(t, n.gaveUp)
}

// A router that did not get to read took nine schedulers for silent in 0.6 s.
func TestRouterThatHearsNobodyBlamesOne(t *testing.T) {
	f := newFleet(t, 6, 4)
	ranked := f.nodes[f.order[0]].ranked(serviceID(engines), f.now)
	id := ranked[len(ranked)-1]
	f.cut[id] = true
	for no := uint64(1); no <= 20; no++ {
		f.arrive(id, no, engines, "a", 100)
		f.run(2 * askGiveUp)
	}
	blamed := 0
	for _, e := range f.evs {
		if e.Name == "scheduler-silent" {
			blamed++
		}
	}
	assert.LessOrEqual(t, blamed, 2)
}
