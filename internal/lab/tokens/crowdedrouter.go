package tokens

import (
	"time"

	"github.com/silverswitch/silverswitch/internal/core/wire"
	"github.com/silverswitch/silverswitch/internal/dispatch"
)

// A crowded router has a fraction of a core. What it does takes turns of a run queue: reading a call,
// refusing it, requesting its placement, sending it, passing its answer on, and reading
// datagrams. So each call waits for the turns of all others, and a router that has let in more than
// it can send in time sends all of it late. (A crowded router sends what is placed before it reads
// more calls.) It sheds load as a crowded router does.

const (
	// What a crowded router spends, in milliseconds of a core: to read a call's body and request a
	// placement, to send the call, to pass its answer on, and to read a datagram. It reads and refuses
	// a call by its header for shedCostMS.
	readBodyCostMS = 0.24
	sendCostMS     = 0.1
	answerCostMS   = 0.3
	datagramCostMS = 0.01
	// turnMS is the longest turn.
	turnMS = 0.05
	// unsentPatience is how long a call waits there until its caller leaves. Who was not read within
	// maxUnreadTime comes back elsewhere.
	unsentPatience = 2 * time.Second
	// undecidedPerCore is the number of calls without a decision, for each core, from which on a
	// crowded router refuses undecidedShedFraction of what arrives; minUndecided may be undecided in
	// any case. They are those of the load shedder (internal/process).
	undecidedPerCore      = 95
	minUndecided          = 16
	undecidedShedFraction = 0.98
)

// crowdedRouter is the state of a crowded router. Of smallRouter it uses what load shedding needs.
type crowdedRouter struct {
	smallRouter
	queue     []turn
	readSince time.Time // arrival of the call that was read last
	undecided map[uint64]bool
}

// turn is a piece of work, and what follows it.
type turn struct {
	costMS float64
	do     func()
}

// work queues a piece of work, divided into turns.
func (s *crowdedRouter) work(costMS float64, do func()) {
	if costMS <= turnMS {
		s.queue = append(s.queue, turn{costMS, do})
		return
	}
	s.queue = append(s.queue, turn{turnMS, func() { s.work(costMS-turnMS, do) }})
}

// run does what a crowded router has CPU for in this millisecond.
func (s *crowdedRouter) run() {
	s.budgetMS = min(s.budgetMS+s.cores, 1)
	for s.budgetMS > 0 && len(s.queue) > 0 {
		t := s.queue[0]
		s.queue = s.queue[1:]
		s.usedMS += t.costMS
		s.budgetMS -= t.costMS
		t.do()
	}
}

// arriveAtCrowdedRouter queues a call at a crowded router. It returns false for other routers.
func (w *world) arriveAtCrowdedRouter(c *call) bool {
	s := w.floodDay.crowded[c.router]
	if s == nil {
		return false
	}
	at := w.now
	s.work(shedCostMS, func() { w.readAtCrowdedRouter(s, c, at) })
	return true
}

// readAtCrowdedRouter reads a call: it is refused, or its placement is requested.
func (w *world) readAtCrowdedRouter(s *crowdedRouter, c *call, arrivedAt time.Time) {
	s.readSince = arrivedAt
	if w.now.Sub(arrivedAt) > maxUnreadTime {
		c.elsewhere = true
		w.retryRefused(dispatch.Refuse{ID: c.req.ID, After: shedRetryAfter})
		return
	}
	ratio := 1 - s.shed // what shares do not cover is part of what is shed
	if covered, limited := s.admitRatios[c.req.Org]; limited {
		ratio = min(ratio, covered)
	}
	if !w.FloodDay.Unbounded && len(s.undecided) >= max(minUndecided, int(undecidedPerCore*s.cores)) {
		ratio = min(ratio, 1-undecidedShedFraction)
	}
	if w.retryRnd.Float64() >= ratio {
		s.shedTokens[c.req.Org] += dispatch.Cost(c.req.Input, c.req.Output)
		w.retryRefused(dispatch.Refuse{ID: c.req.ID, After: shedRetryAfter})
		return
	}
	s.undecided[c.req.ID] = true
	s.work(readBodyCostMS, func() {
		if n := w.nodes[c.router]; n != nil {
			n.Step(dispatch.Arrive{Request: c.req}, w.now)
		}
	})
}

// decidedAtCrowdedRouter records that a call has a decision.
func (w *world) decidedAtCrowdedRouter(id wire.NodeID, call uint64) {
	if s := w.floodDay.crowded[id]; s != nil {
		delete(s.undecided, call)
	}
}

// sendFromCrowdedRouter sends a placed call, unless its caller has left. It returns false for other
// routers.
func (w *world) sendFromCrowdedRouter(id wire.NodeID, o dispatch.Placement) bool {
	s := w.floodDay.crowded[id]
	if s == nil {
		return false
	}
	s.work(sendCostMS, func() {
		if c := w.calls[o.ID]; c != nil && w.now.Sub(c.submittedAt) > unsentPatience {
			w.retryRefused(dispatch.Refuse{ID: o.ID, After: shedRetryAfter})
			w.deliverInput(id, dispatch.End{ID: o.ID, Event: wire.ProgressUnused})
			return
		}
		w.sendToEngine(o)
		s.work(answerCostMS, func() {})
	})
	return true
}

// receiveAtCrowdedRouter queues a datagram at a crowded router. It returns false for other routers.
func (w *world) receiveAtCrowdedRouter(m inFlight) bool {
	s := w.floodDay.crowded[m.to]
	if s == nil {
		return false
	}
	s.work(datagramCostMS, func() {
		if w.nodes[m.to] != nil {
			w.deliverInput(m.to, dispatch.Receive{Datagram: m.d})
		}
	})
	return true
}
