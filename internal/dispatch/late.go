package dispatch

import (
	"time"

	"github.com/silverswitch/silverswitch/internal/core/wire"
)

// A router that is short of processor says so with everything it tells, so that nobody
// takes its lateness for that of engines or of other routers.

const (
	// lateLasts is how long after it was last late a router says so: what it had put off
	// is told by then.
	lateLasts = time.Second
	// workOffEvery is how often stated loads are worked off.
	workOffEvery = 50 * time.Millisecond
)

// tickLate keeps what this router says of itself. One that reads answers as late as others
// give up on them is late too, whatever its processor seems to have left.
func (n *Node) tickLate(now time.Time) {
	if n.late || n.trip.mean >= askGiveUp {
		n.lateTold = now.Add(lateLasts)
	}
	n.tellsLate = now.Before(n.lateTold)
	n.setLate(n.set.ID, n.tellsLate)
}

// tickStated works off what routers state.
func (n *Node) tickStated(now time.Time) {
	elapsed := now.Sub(n.worked)
	if elapsed < workOffEvery {
		return
	}
	n.worked = now
	for _, p := range n.pools {
		if p.engine == nil {
			continue
		}
		for _, u := range p.order {
			u.workOff(p.learner.Model(), min(elapsed, PauseLimit), now)
		}
	}
}

func (n *Node) setLate(id wire.NodeID, late bool) {
	for _, p := range n.pools {
		p.setLate(id, late)
	}
}
