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

// lateness is what this router says of itself.
type lateness struct {
	told  bool
	until time.Time
}

// tickLate keeps what this router says of itself. One that reads answers as late as others
// give up on them is late too, whatever its processor seems to have left.
func (n *Node) tickLate(now time.Time) {
	if n.overloaded || n.replyRTT.mean >= minPlacementTimeout {
		n.lateness.until = now.Add(lateLasts)
	}
	n.lateness.told = now.Before(n.lateness.until)
	n.setLate(n.settings.ID, n.lateness.told)
}

// tickStated works off what routers state.
func (n *Node) tickStated(now time.Time) {
	elapsed := now.Sub(n.loadsUpdatedAt)
	if elapsed < workOffEvery {
		return
	}
	n.loadsUpdatedAt = now
	for _, p := range n.pools {
		if p.engine == nil {
			continue
		}
		for _, u := range p.inUse() {
			u.decayStatedLoad(p.learner.Model(), min(elapsed, MaxTickGap), now)
		}
	}
}

func (n *Node) setLate(id wire.NodeID, late bool) {
	for _, p := range n.pools {
		p.setLate(id, late)
	}
}

// setLate takes a router's word on whether it is short of processor. Its requests leave
// it late, and what it tells of them is late: neither is the engines' doing. Load pattern:
// a flood at one small router, whose first events came 0.7 to 2.7 s after they were made;
// the median engine seemed 100 to 700 ms behind, and organisations under their shares were
// refused everywhere while engines had nothing to read.
func (p *pool) setLate(id wire.NodeID, late bool) {
	if p.late[id] == late {
		return
	}
	if !late {
		delete(p.late, id)
		return
	}
	p.late[id] = true
	for k, r := range p.runs {
		if k.node == id && r.entry != nil {
			r.entry.Doubt()
		}
	}
}
