package dispatch

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/silverswitch/silverswitch/internal/core/wire"
	"github.com/silverswitch/silverswitch/internal/routing"
)

// at reports whether a time since the start of the load is reached in this call of event.
func (s *plainSim) at(d time.Duration) bool {
	passed := s.now.Sub(s.began)
	return passed >= d && passed < d+10*time.Millisecond
}

// cutOff reports whether the second third of the load is being played.
func (s *plainSim) cutOff() bool {
	passed := s.now.Sub(s.began)
	return !s.began.IsZero() && passed >= s.length/3 && passed < 2*s.length/3
}

// counted returns the requests that live routers count at upstreams.
func (s *plainSim) counted() int {
	n := 0
	for _, id := range s.order {
		if !s.cut[id] {
			n += len(s.nodes[id].pools[serviceID(counter)].runs)
		}
	}
	return n
}

// plainFailures are failures during a burst, with what is required of each.
var plainFailures = []struct {
	name      string
	routers   int // 0 for a large fleet
	event     func(s *plainSim)
	lose      func(s *plainSim, from, to wire.NodeID, d *wire.Datagram) bool
	prepare   func(s *plainSim)
	minInTime float64
}{
	{name: "the scheduler dies", minInTime: 0.9, event: func(s *plainSim) {
		if s.at(3 * time.Second) {
			s.cut[s.scheduler()] = true
		}
	}},
	{name: "every message about waiting is lost", minInTime: 0.9, lose: func(_ *plainSim, _, _ wire.NodeID, d *wire.Datagram) bool {
		return d.Dispatch != nil && len(d.Dispatch.Queued) > 0
	}},
	{name: "routers of the previous release", minInTime: 0.9, lose: func(_ *plainSim, _, _ wire.NodeID, d *wire.Datagram) bool {
		if d.Dispatch != nil {
			d.Dispatch.Queued, d.Dispatch.Rejected = nil, nil
		}
		return false
	}},
	{name: "one datagram in fifty is lost", minInTime: 0.85, lose: func(s *plainSim, _, _ wire.NodeID, _ *wire.Datagram) bool {
		return s.rnd.Float64() < 0.02
	}},
	{name: "a scheduler of the previous release", minInTime: 0.8, prepare: func(s *plainSim) {
		s.advance(2 * time.Second)
		s.nodes[s.scheduler()].pools[serviceID(counter)].slots = nil
	}},
	{name: "an upstream is silent for a while", minInTime: 0.75, event: func(s *plainSim) {
		u := s.upstreams["c0"]
		if s.at(2 * time.Second) {
			u.silent = true
		}
		if s.at(4 * time.Second) {
			u.silent, u.running, u.queue = false, 0, nil
		}
	}},
	{name: "an upstream is slow", minInTime: 0.8, event: func(s *plainSim) { s.upstreams["c0"].slow = 3 }},
	{name: "a router is cut off", minInTime: 0.85, lose: func(s *plainSim, from, to wire.NodeID, _ *wire.Datagram) bool {
		return s.cutOff() && (from == s.order[5]) != (to == s.order[5])
	}},
	{name: "half of the routers are cut off", minInTime: 0.8, lose: func(s *plainSim, from, to wire.NodeID, _ *wire.Datagram) bool {
		return s.cutOff() && slices.Contains(s.order[:7], from) != slices.Contains(s.order[:7], to)
	}},
	{name: "a small fleet", routers: 3, minInTime: 0.9},
	{name: "the largest fleet without a scheduler for plain services", routers: meshMaxRouters, minInTime: 0.9},
}

// Guards against requests without an outcome, full upstreams and slots that stay counted as used,
// while messages, routers or upstreams fail.
func TestPlainServiceWithSlotsUnderFailures(t *testing.T) {
	for _, f := range plainFailures {
		for name, l := range map[string]plainLoad{"A": loadA(), "B": loadB()} {
			t.Run(f.name+" "+name, func(t *testing.T) {
				t.Parallel()
				l.burst, l.event, l.length = 1.7, f.event, 6*time.Second
				if f.routers > 0 {
					l.routers = f.routers
				}
				s := newPlainSim(t, l)
				if f.prepare != nil {
					f.prepare(s)
				}
				if f.lose != nil {
					s.lose = func(from, to wire.NodeID, d *wire.Datagram) bool { return f.lose(s, from, to, d) }
				}
				r := s.run()
				t.Log(r)
				assert.Zero(t, r.open)
				assert.Greater(t, r.inTimeRatio(), f.minInTime)
				if f.prepare == nil {
					assert.Less(t, r.rejectedRatio(), 0.01)
				}
				s.advance(l.deadline + runGrace + time.Second)
				assert.Zero(t, s.counted(), "requests counted after all have ended")
			})
		}
	}
}

// Guards against an upstream that is sent request after request while it answers none.
func TestSilentPlainUpstreamGetsOneRequestAtATime(t *testing.T) {
	t.Parallel()
	l := loadA()
	sent := 0
	l.event = func(s *plainSim) { s.upstreams["c0"].silent = s.now.Sub(s.began) >= 2*time.Second }
	s := newPlainSim(t, l)
	s.onSend = func(a *simAttempt) {
		if a.up.silent {
			sent++
		}
	}
	s.run()
	assert.Positive(t, sent)
	logged := false
	for _, e := range s.logged {
		logged = logged || e.Name == "upstream-silent" && e.Detail == "c0"
	}
	assert.True(t, logged)
	// Until it is taken for silent, as many as are allowed; after that one a second.
	assert.LessOrEqual(t, sent, 8+7+4)
}

// Guards against a third of all slots that stay unused while requests are refused, because two
// requests in a row took too long at an upstream that answers all others.
func TestAnsweringUpstreamIsNotEjected(t *testing.T) {
	f := newSlotFleet(t, 1, 6)
	id := f.order[0]
	p := f.nodes[id].pools[serviceID(counter)]
	f.arrive(id, 1, counter, "a", 0)
	u := p.runs[runKey{id, 1}].up
	u.ejection.recordFailure(f.now)
	u.ejection.recordFailure(f.now)
	require.True(t, u.ejection.active(f.now))
	f.nodes[id].Step(FirstEvent{ID: 1, After: 50 * time.Millisecond}, f.now)
	assert.False(t, u.ejection.active(f.now))
	u.ejection.recordFailure(f.now)
	assert.True(t, u.ejection.active(f.now), "the next failure ejects it again")
}

// Guards against an upstream that rejects requests for as long as it has fewer slots than stated.
func TestUpstreamWithFewerSlotsThanStatedRejectsLittle(t *testing.T) {
	t.Parallel()
	l := loadB()
	l.event = func(s *plainSim) {
		s.upstreams["c0"].slots = 3
		for _, u := range s.upstreams {
			u.queueLen = 0
		}
	}
	r := playPlain(t, l)
	t.Log(r)
	assert.Less(t, r.rejectedRatio(), 0.03)
	l.disabled.PlainSlots = true
	assert.Greater(t, playPlain(t, l).rejectedRatio(), 2*r.rejectedRatio())
}

// newSlotFleet is a fleet whose plain service has two upstreams with some slots each.
func newSlotFleet(t *testing.T, nodes, slots int) *fleet {
	t.Helper()
	f := newFleet(t, nodes, 2)
	for _, n := range f.nodes {
		list := instances(2)
		for i := range list {
			if list[i].Service == counter {
				list[i].Slots = slots
			}
		}
		n.Step(Catalogue{Table: table(t, 390_000), Instances: list, Revision: 6, AsOf: 10}, f.now)
	}
	f.run(time.Second)
	return f
}

func (f *fleet) plainScheduler() wire.NodeID {
	return f.nodes[f.order[0]].schedulerOf(serviceID(counter), f.now)
}

// plainAsker is a router that does not schedule the plain service.
func (f *fleet) plainAsker() wire.NodeID {
	for _, id := range f.order {
		if id != f.plainScheduler() {
			return id
		}
	}
	return ""
}

// fillSlots places requests until one waits, and returns the number of that one.
func (f *fleet) fillSlots(id wire.NodeID) uint64 {
	for no := uint64(1); no < 100; no++ {
		f.arrive(id, no, counter, "a", 0)
		if f.got[id][no] == nil {
			return no
		}
	}
	f.t.Fatal("no request waits")
	return 0
}

// Guards against routers that ask again, or decide by themselves, while the scheduler keeps a
// request waiting; and against a slot that stays unused when it becomes free.
func TestWaitingRequestIsPlacedWhenASlotIsFree(t *testing.T) {
	f := newSlotFleet(t, meshMaxRouters+2, 2)
	id := f.plainAsker()
	no := f.fillSlots(id)
	assert.Equal(t, uint64(2*(2+1)+1), no, "one beyond the slots of each upstream")
	n := f.nodes[id]
	before := n.Counts
	f.run(minPlacementTimeout + TickInterval)
	assert.Equal(t, before.OwnDecision, n.Counts.OwnDecision)
	assert.Equal(t, before.AskedAgain, n.Counts.AskedAgain)
	f.run(50 * time.Millisecond)
	assert.Equal(t, before.AskedAgain+1, n.Counts.AskedAgain, "once after the wait")
	assert.Equal(t, before.OwnDecision, n.Counts.OwnDecision)
	assert.Nil(t, f.got[id][no])
	n.Step(FirstEvent{ID: 1, After: 50 * time.Millisecond}, f.now)
	n.Step(End{ID: 1, Event: wire.ProgressDone}, f.now)
	f.run(3 * TickInterval)
	assert.Equal(t, f.plainScheduler(), f.placed(id, no).By)
}

// Guards against a wait that lasts until the deadline when the scheduler has died.
func TestWaitingRequestIsAskedForAgainAfterItsWait(t *testing.T) {
	f := newSlotFleet(t, meshMaxRouters+2, 2)
	id, dead := f.plainAsker(), f.plainScheduler()
	no := f.fillSlots(id)
	require.True(t, f.nodes[id].inflight[no].queued)
	f.cut[dead] = true
	f.run(time.Second)
	assert.NotEqual(t, dead, f.placed(id, no).By)
}

// Guards against requests that wait although their callers are gone, and take slots later.
func TestAbandonedRequestLeavesTheQueue(t *testing.T) {
	f := newSlotFleet(t, meshMaxRouters+2, 2)
	id := f.plainAsker()
	no := f.fillSlots(id)
	q := &f.nodes[f.plainScheduler()].pools[serviceID(counter)].slots.queue
	require.Equal(t, 1, q.Len())
	f.nodes[id].Step(End{ID: no, Event: wire.ProgressUnused}, f.now)
	f.run(2 * TickInterval)
	assert.Zero(t, q.Len())
}

// Guards against requests that wait until their deadlines for upstreams that are gone.
func TestWaitingRequestIsRefusedWhenNoUpstreamIsLeft(t *testing.T) {
	f := newSlotFleet(t, meshMaxRouters+2, 2)
	id := f.plainAsker()
	no := f.fillSlots(id)
	for _, n := range f.nodes {
		n.Step(Catalogue{Table: table(t, 390_000), Instances: instances(2)[:2], Revision: 7, AsOf: 11}, f.now)
	}
	f.run(3 * TickInterval)
	refused, ok := f.got[id][no].(Refuse)
	require.True(t, ok)
	assert.Equal(t, ReasonNoUpstream, refused.Reason)
}

// Guards against requests of a dead router that wait, and take slots later.
func TestRequestsOfADeadRouterLeaveTheQueue(t *testing.T) {
	f := newSlotFleet(t, meshMaxRouters+2, 2)
	id := f.plainAsker()
	f.fillSlots(id)
	p := f.nodes[f.plainScheduler()].pools[serviceID(counter)]
	f.nodes[f.plainScheduler()].forgetRouters(map[wire.NodeID]bool{id: true}, f.now)
	assert.Zero(t, p.slots.queue.Len())
	assert.Empty(t, p.runs)
}

// Guards against a slot that stays counted as used until the deadline when the scheduler's reply
// is late or lost, and the router has decided by itself.
func TestUnusedPlacementFreesItsSlot(t *testing.T) {
	f := newSlotFleet(t, meshMaxRouters+2, 2)
	id, s := f.plainAsker(), f.plainScheduler()
	f.onSend = func(from wire.NodeID, o Send) {
		if from == s && o.To == id && o.Datagram.Dispatch != nil {
			o.Datagram.Dispatch.PlacementReplies = nil
		}
	}
	f.arrive(id, 1, counter, "a", 0)
	p := f.nodes[s].pools[serviceID(counter)]
	require.Len(t, p.runs, 1)
	f.run(200 * time.Millisecond)
	assert.Equal(t, id, f.placed(id, 1).By)
	assert.Empty(t, p.runs)
}

// Guards against a lookup whose first upstream has failed and that waits behind new requests, or
// is refused for the wait.
func TestRepeatedRequestGoesAheadInTheQueue(t *testing.T) {
	f := newSlotFleet(t, meshMaxRouters+2, 2)
	id := f.plainAsker()
	waiting := f.fillSlots(id)
	n := f.nodes[id]
	up := f.placed(id, 1).Instance.ID
	delete(f.got[id], 1)
	n.Step(UpdateSettings{Retry: RetryRules{Ratio: 10, Window: 10 * time.Second, Slack: 100}}, f.now)
	n.Step(PlaceAgain{ID: 1, Event: wire.ProgressFailed}, f.now)
	f.run(2 * TickInterval)
	// The slot that it left goes to the other one, since it avoids that upstream.
	assert.Equal(t, up, f.placed(id, waiting).Instance.ID)
	f.arrive(id, 50, counter, "b", 0)
	require.Nil(t, f.got[id][50])
	for no := uint64(2); no < waiting; no++ {
		if f.placed(id, no).Instance.ID != up {
			n.Step(End{ID: no, Event: wire.ProgressDone}, f.now)
			break
		}
	}
	f.run(2 * TickInterval)
	assert.NotEqual(t, up, f.placed(id, 1).Instance.ID)
	assert.Nil(t, f.got[id][50])
}

// learnServiceTime makes the scheduler learn a service time from requests that are answered at
// once.
func (f *fleet) learnServiceTime(id wire.NodeID, took time.Duration) {
	for no := uint64(1000); no < 1000+2*minServiceSamples; no++ {
		f.arrive(id, no, counter, "a", 0)
		f.placed(id, no)
		f.nodes[id].Step(FirstEvent{ID: no, After: took}, f.now)
		f.nodes[id].Step(End{ID: no, Event: wire.ProgressDone}, f.now)
		f.run(2 * TickInterval)
	}
}

// Guards against a service time that is not learned while all slots are in use, when waits and
// refusals depend on it.
func TestServiceTimeIsLearnedWhileAllSlotsAreInUse(t *testing.T) {
	f := newSlotFleet(t, meshMaxRouters+2, 2)
	id := f.plainAsker()
	next := f.fillSlots(id) + 1
	p := f.nodes[f.plainScheduler()].pools[serviceID(counter)]
	for no := uint64(1); no < 40; no++ {
		if _, placed := f.got[id][no].(Placement); !placed {
			continue
		}
		f.nodes[id].Step(FirstEvent{ID: no, After: 200 * time.Millisecond}, f.now)
		f.nodes[id].Step(End{ID: no, Event: wire.ProgressDone}, f.now)
		f.arrive(id, next, counter, "a", 0)
		next++
		f.run(2 * TickInterval)
		require.Equal(t, 2*(2+1), len(p.runs))
	}
	assert.InDelta(t, 200, p.slots.service.MS(), 5)
}

// Guards against upstreams of a service that takes seconds, and of which no answer is known yet,
// that are taken for silent.
func TestUnknownServiceTimeIsNoSilence(t *testing.T) {
	f := newSlotFleet(t, meshMaxRouters+2, 6)
	id := f.plainAsker()
	f.arrive(id, 1, counter, "a", 0)
	f.arrive(id, 2, counter, "a", 0)
	f.run(2 * time.Second)
	for no := uint64(3); no < 8; no++ {
		f.arrive(id, no, counter, "a", 0)
		f.placed(id, no)
	}
	for _, u := range f.nodes[f.plainScheduler()].pools[serviceID(counter)].order {
		assert.False(t, u.slotData().silent)
	}
}

// Guards against requests that are kept waiting although they cannot be in time, and against a
// Retry-After that is not the expected wait.
func TestRequestIsRefusedAtOnceForTheExpectedWait(t *testing.T) {
	f := newSlotFleet(t, meshMaxRouters+2, 1)
	id := f.plainAsker()
	f.learnServiceTime(id, 400*time.Millisecond)
	refused := Refuse{}
	for no := uint64(1); no < 100 && refused.ID == 0; no++ {
		f.arrive(id, no, counter, "a", 0)
		refused, _ = f.got[id][no].(Refuse)
	}
	require.NotZero(t, refused.ID)
	assert.Equal(t, ReasonCapacity, refused.Reason)
	assert.Greater(t, refused.WaitMS, refused.LimitMS)
	assert.InDelta(t, 600-400-10, refused.LimitMS, 60)
	after := int(refused.After.Milliseconds())
	assert.GreaterOrEqual(t, after, refused.WaitMS)
	assert.LessOrEqual(t, after, refused.WaitMS*11/10+1)
	status := f.nodes[f.plainScheduler()].SlotStatus()
	assert.Equal(t, uint64(1), status.Refused)
	assert.Equal(t, status.Queued, uint64(status.Waiting))
	for _, u := range f.nodes[f.plainScheduler()].Upstreams(f.now) {
		if u.Service == counter {
			assert.Equal(t, 1, u.Slots.Stated)
			assert.Equal(t, u.Slots.Allowed, u.Slots.InFlight)
		} else {
			assert.Nil(t, u.Slots)
		}
	}
}

// Guards against a rejection that the scheduler takes for a failure only.
func TestRejectionIsReportedToTheScheduler(t *testing.T) {
	f := newSlotFleet(t, meshMaxRouters+2, 6)
	id := f.plainAsker()
	for no := uint64(1); no <= 8; no++ {
		f.arrive(id, no, counter, "a", 0)
	}
	up := f.placed(id, 8).Instance.ID
	f.nodes[id].Step(End{ID: 8, Event: wire.ProgressRejected}, f.now)
	f.run(2 * TickInterval)
	assert.Equal(t, uint64(1), f.nodes[id].Counts.Rejected)
	p := f.nodes[f.plainScheduler()].pools[serviceID(counter)]
	assert.Equal(t, uint64(1), p.slots.counts.Rejected)
	for _, u := range p.order {
		if u.inst.ID == up {
			assert.Less(t, p.slotLimit(u, f.now), 6)
			assert.Equal(t, len(u.runs), p.slotLimit(u, f.now))
			assert.Contains(t, f.events, Event{Name: "upstream-slots-lowered", Router: id, Detail: up, Value: uint64(len(u.runs))})
		} else {
			assert.Equal(t, 7, p.slotLimit(u, f.now))
		}
	}
}

// Guards against invalid numbers of slots that lead to other decisions than unknown ones.
func TestInvalidSlotsAreUnknown(t *testing.T) {
	for _, slots := range []int{0, -1} {
		p := newPool(&routing.Service{Name: counter}, 0)
		p.setInstances([]routing.Instance{{ID: "c", Service: counter, Slots: slots}})
		assert.Nil(t, p.slots)
	}
	p := newPool(&routing.Service{Name: engines, Engine: &routing.Engine{Slots: 4, MemoryTokens: 1000}}, 0)
	p.setInstances([]routing.Instance{{ID: "e", Service: engines, Slots: 4}})
	assert.Nil(t, p.slots, "engines")
}
