package tokens

import (
	"time"

	"github.com/silverswitch/silverswitch/internal/core/wire"
	"github.com/silverswitch/silverswitch/internal/dispatch"
)

// An overloaded router is short of CPU, as a router with a fifth of a core is at a thousand
// requests a second. Its timers run on time, but it reads datagrams late, sends requests
// late, and reports events late.

const (
	// overloadReadDelay is how long a datagram stays unread at the overloaded router. It is
	// longer than the router waits for a placement reply.
	overloadReadDelay = 150 * time.Millisecond
	// overloadSendDelay is how long the overloaded router takes to send a request after its
	// placement.
	overloadSendDelay = 700 * time.Millisecond
	// The router is overloaded for overloadDuration in each overloadPeriod, and keeps up in
	// between, as its callers' flood comes in waves.
	overloadPeriod   = 4 * time.Second
	overloadDuration = 3 * time.Second
)

// overloadedOrg and secondFloodOrg flood in a run with an overloaded, load shedding or
// starved router: the first through that router, the second through another one.
const (
	overloadedOrg  = floodOrg
	secondFloodOrg = 3
)

func (w *world) overloadedRouter() wire.NodeID {
	if w.StarvedRole && w.starved.scheduler != "" {
		return w.starved.scheduler
	}
	return w.order[len(w.order)-1]
}

func (w *world) secondFloodRouter() wire.NodeID { return w.order[len(w.order)-2] }

// isOverloaded reports whether a router is overloaded now.
func (w *world) isOverloaded(id wire.NodeID) bool {
	if w.isStarved(id) {
		return true
	}
	return w.Overloaded && id == w.overloadedRouter() && w.isFlooding() && w.now.Sub(startTime)%overloadPeriod < overloadDuration
}

// hasTwoFloods reports whether two organisations flood, each through a router of its own.
func (w *world) hasTwoFloods() bool { return w.Overloaded || w.LoadShedding || w.Starved }

// isFlooding reports whether the run is in its middle third, in which organisations flood.
func (w *world) isFlooding() bool {
	at := w.now.Sub(startTime) - warmUpDuration
	return at > w.Duration/3 && at < 2*w.Duration/3
}

// fixedRouter returns the router that receives a call, if it is not drawn at random.
func (w *world) fixedRouter(c *call) (wire.NodeID, bool) {
	if w.Losses != nil {
		return w.takenUpAt(c)
	}
	if w.FloodDay != nil {
		return w.floodRouter(c.org)
	}
	if w.Overlap != nil {
		return w.overloadedRouter(), c.org == overloadedOrg && w.Overlap.PerSecond > 0
	}
	switch {
	case !w.hasTwoFloods() || w.Starved && c.tries > 0:
		return "", false
	case c.org == overloadedOrg:
		return w.overloadedRouter(), true
	case c.org == secondFloodOrg:
		return w.secondFloodRouter(), true
	}
	return "", false
}

// delayed is an action that an overloaded router takes later.
type delayed struct {
	at time.Time
	do func()
}

// doOrDelay calls do now, or after a delay if the router is overloaded.
func (w *world) doOrDelay(id wire.NodeID, after time.Duration, do func()) {
	if !w.isOverloaded(id) {
		do()
		return
	}
	w.delayed = append(w.delayed, delayed{w.now.Add(after), do})
}

// runDelayed runs the delayed actions that are due.
func (w *world) runDelayed() {
	pending := w.delayed
	w.delayed = nil
	for _, d := range pending {
		if d.at.After(w.now) {
			w.delayed = append(w.delayed, d)
			continue
		}
		d.do()
	}
}

// deliverInput passes an input to a router, late if it is short of CPU.
func (w *world) deliverInput(id wire.NodeID, in dispatch.Input) {
	delay := overloadReadDelay
	if w.Starved {
		delay = starvedReadDelay
	}
	w.doOrDelay(id, delay, func() {
		w.atRouter(id, &w.outOfStep.waiting, func() {
			if n := w.nodes[id]; n != nil {
				n.Step(in, w.now)
			}
		})
	})
}
