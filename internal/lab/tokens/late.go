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
	// lateRead is how long a datagram lies unread at the late router; longer than it
	// waits for its scheduler.
	lateRead = 150 * time.Millisecond
	// lateSend is how long a request lies there between its placement and its sending.
	lateSend = 700 * time.Millisecond
	// latePeriod and lateFor say when the router is late: it keeps up in between, as its
	// callers' flood comes in waves.
	latePeriod = 4 * time.Second
	lateFor    = 3 * time.Second
)

// lateOrg and promptOrg flood in a run with a late router: one by that router, one by
// another.
const (
	lateOrg   = floodOrg
	promptOrg = 3
)

func (w *world) lateRouter() wire.NodeID { return w.order[len(w.order)-1] }

func (w *world) promptRouter() wire.NodeID { return w.order[len(w.order)-2] }

// isLate reports whether a router is late now.
func (w *world) isLate(id wire.NodeID) bool {
	return w.Late && id == w.lateRouter() && w.floods() && w.now.Sub(begin)%latePeriod < lateFor
}

// twoFloods reports whether two organisations flood, each by a router of its own.
func (w *world) twoFloods() bool { return w.Late || w.Door }

// floods reports whether the middle third of the run has come.
func (w *world) floods() bool {
	at := w.now.Sub(begin) - warmUp
	return at > w.For/3 && at < 2*w.For/3
}

// entry returns the router by which a call comes in when that does not depend on luck.
func (w *world) entry(c *call) (wire.NodeID, bool) {
	switch {
	case !w.twoFloods():
		return "", false
	case c.org == lateOrg:
		return w.lateRouter(), true
	case c.org == promptOrg:
		return w.promptRouter(), true
	}
	return "", false
}

// delayed is something that a late router does later.
type delayed struct {
	at time.Time
	do func()
}

// soon does something now, or later when the router is late.
func (w *world) soon(id wire.NodeID, after time.Duration, do func()) {
	if !w.isLate(id) {
		do()
		return
	}
	w.delayed = append(w.delayed, delayed{w.now.Add(after), do})
}

// catchUp does what has been put off.
func (w *world) catchUp() {
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
func (w *world) tell(id wire.NodeID, in dispatch.Input) {
	w.soon(id, lateRead, func() {
		if n := w.nodes[id]; n != nil {
			n.Step(in, w.now)
		}
	})
}
