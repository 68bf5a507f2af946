package dispatch

import "time"

// A router that sheds load for long yields its roles for other routers: it is no scheduler, no
// standby, no watcher of the store and no relay while any other router can take these roles.
//
// Load pattern: a flood arrives through the scheduler's own router. Other routers took the
// scheduler for silent and heard it again a moment later, up to forty of them in a second. Some
// placements were decided by the overloaded router, some by its standby, and some by each router
// alone, with different knowledge of what organisations had received.
const (
	// yieldDelay is how long a router has to shed load without a pause before it yields.
	yieldDelay = time.Second
	// yieldEnd is how long it has to be without load shedding before it takes roles again. It
	// is longer than the window of shares, so that roles do not move with each wave of a flood.
	yieldEnd = 2 * shareSteps * shareStep
)

// yielding is the state of yielding this router's roles.
type yielding struct {
	sheds bool
	since time.Time // of sheds
	on    bool
}

// shedding records whether this router sheds load.
func (y *yielding) shedding(on bool, now time.Time) {
	if y.sheds != on {
		y.sheds, y.since = on, now
	}
}

// due reports whether to begin or to end yielding.
func (y *yielding) due(now time.Time) bool {
	if y.on {
		return !y.sheds && now.Sub(y.since) >= yieldEnd
	}
	return y.sheds && now.Sub(y.since) >= yieldDelay
}

// tickYielding begins or ends yielding, and announces it.
func (n *Node) tickYielding(now time.Time) {
	if !n.yielding.due(now) {
		return
	}
	n.yielding.on = !n.yielding.on
	n.members.Yield(n.yielding.on)
	name := "roles-resumed"
	if n.yielding.on {
		name = "roles-yielded"
	}
	n.event(Event{Name: name})
}
