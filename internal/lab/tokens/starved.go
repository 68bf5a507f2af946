package tokens

import (
	"time"

	"github.com/silverswitch/silverswitch/internal/core/wire"
	"github.com/silverswitch/silverswitch/internal/dispatch"
)

// A starved router receives so little CPU that it starts a small part of what is placed
// there: it sends few requests a second, and the callers of the others leave before their
// requests are sent. Callers that it refuses retry at other routers.

const (
	// starvedSendInterval is the time between two requests that the starved router sends.
	starvedSendInterval = 250 * time.Millisecond
	// starvedReadDelay is how long a datagram stays unread at the starved router.
	starvedReadDelay = 1500 * time.Millisecond
	// starvedPatience is how long a caller waits for its request to be sent.
	starvedPatience = 2 * time.Second
)

// starvedRouter is the queue of requests that are placed but not sent.
type starvedRouter struct {
	scheduler wire.NodeID // at the start of the flood, if that router is the starved one
	told      bool        // that it is starved
	queue     []starvedSend
	nextAt    time.Time
}

// starvedSend is a placed request, and when its caller leaves.
type starvedSend struct {
	placement dispatch.Placement
	leavesAt  time.Time
}

// isStarved reports whether a router is starved now.
func (w *world) isStarved(id wire.NodeID) bool {
	return w.Starved && id == w.overloadedRouter() && w.isFlooding()
}

// send sends a placed request to its engine, late if the router is short of CPU.
func (w *world) send(id wire.NodeID, o dispatch.Placement) {
	if w.isStarved(id) {
		w.starved.queue = append(w.starved.queue, starvedSend{o, w.now.Add(starvedPatience)})
		return
	}
	if w.sendFromCrowdedRouter(id, o) {
		return
	}
	if s := w.floodDay.small[id]; s != nil {
		s.placed = append(s.placed, func() { w.sendToEngine(o) })
		return
	}
	w.doOrDelay(id, overloadSendDelay, func() { w.sendToEngine(o) })
}

// tickStarved sends what the starved router manages to send, and ends the requests whose
// callers have left.
func (w *world) tickStarved() {
	w.tellStarved()
	pending := w.starved.queue
	w.starved.queue = nil
	for _, s := range pending {
		if w.now.Before(s.leavesAt) {
			w.starved.queue = append(w.starved.queue, s)
			continue
		}
		w.retryRefused(dispatch.Refuse{ID: s.placement.ID})
		w.deliverInput(w.overloadedRouter(), dispatch.End{ID: s.placement.ID, Event: wire.ProgressUnused})
	}
	if len(w.starved.queue) == 0 || w.now.Before(w.starved.nextAt) {
		return
	}
	w.sendToEngine(w.starved.queue[0].placement)
	w.starved.queue = w.starved.queue[1:]
	w.starved.nextAt = w.now.Add(starvedSendInterval)
}

// tellStarved tells the starved scheduler that it sheds load, as its load shedder does. A router
// whose VM provides less CPU than its settings state may not notice.
func (w *world) tellStarved() {
	if !w.StarvedRole || w.starved.told == w.isFlooding() {
		return
	}
	if !w.starved.told {
		w.starved.scheduler = w.scheduler()
	}
	w.starved.told = !w.starved.told
	if n := w.nodes[w.overloadedRouter()]; n != nil {
		n.Step(dispatch.CPUOverload{On: w.starved.told, Shedding: w.starved.told}, w.now)
	}
}

// scheduler returns the router that schedules the engines, "" if there is none.
func (w *world) scheduler() wire.NodeID {
	for _, id := range w.order {
		if n := w.nodes[id]; n != nil && len(n.ScheduledEngines(w.now)) > 0 {
			return id
		}
	}
	return ""
}
