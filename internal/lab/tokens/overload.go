package tokens

import (
	"time"

	"github.com/silverswitch/silverswitch/internal/core/wire"
	"github.com/silverswitch/silverswitch/internal/dispatch"
)

// A router that is short of processor, as one of a fifth of a core is that takes a
// thousand requests a second: its timers are served first, but what it is told lies
// unread, what it is to send lies unsent, and what it saw it tells late.

const (
	// overloadReadDelay is how long a datagram lies unread at the late router; longer than it
	// waits for its scheduler.
	overloadReadDelay = 150 * time.Millisecond
	// overloadSendDelay is how long a request lies there between its placement and its sending.
	overloadSendDelay = 700 * time.Millisecond
	// overloadPeriod and overloadDuration say when the router is late: it keeps up in between, as its
	// callers' flood comes in waves.
	overloadPeriod   = 4 * time.Second
	overloadDuration = 3 * time.Second
)

// overloadedOrg and secondFloodOrg flood in a run with a late router: one by that router, one by
// another.
const (
	overloadedOrg  = floodOrg
	secondFloodOrg = 3
)

func (w *world) overloadedRouter() wire.NodeID { return w.order[len(w.order)-1] }

func (w *world) secondFloodRouter() wire.NodeID { return w.order[len(w.order)-2] }

// isOverloaded reports whether a router is late now.
func (w *world) isOverloaded(id wire.NodeID) bool {
	return w.Overloaded && id == w.overloadedRouter() && w.isFlooding() && w.now.Sub(startTime)%overloadPeriod < overloadDuration
}

// hasTwoFloods reports whether two organisations flood, each by a router of its own.
func (w *world) hasTwoFloods() bool { return w.Overloaded || w.LoadShedding }

// floods reports whether the middle third of the run has come.
func (w *world) isFlooding() bool {
	at := w.now.Sub(startTime) - warmUpDuration
	return at > w.Duration/3 && at < 2*w.Duration/3
}

// entry returns the router by which a call comes in when that does not depend on luck.
func (w *world) fixedRouter(c *call) (wire.NodeID, bool) {
	switch {
	case !w.hasTwoFloods():
		return "", false
	case c.org == overloadedOrg:
		return w.overloadedRouter(), true
	case c.org == secondFloodOrg:
		return w.secondFloodRouter(), true
	}
	return "", false
}

// delayed is something that a late router does later.
type delayed struct {
	at time.Time
	do func()
}

// soon does something now, or later when the router is late.
func (w *world) doOrDelay(id wire.NodeID, after time.Duration, do func()) {
	if !w.isOverloaded(id) {
		do()
		return
	}
	w.delayed = append(w.delayed, delayed{w.now.Add(after), do})
}

// runDelayed does what has been put off.
func (w *world) runDelayed() {
	due := w.delayed
	w.delayed = nil
	for _, d := range due {
		if d.at.After(w.now) {
			w.delayed = append(w.delayed, d)
			continue
		}
		d.do()
	}
}

// tell gives a router an input, late when it is late.
func (w *world) deliverInput(id wire.NodeID, in dispatch.Input) {
	w.doOrDelay(id, overloadReadDelay, func() {
		if n := w.nodes[id]; n != nil {
			n.Step(in, w.now)
		}
	})
}
