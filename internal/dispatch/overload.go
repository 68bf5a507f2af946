package dispatch

import (
	"time"

	"github.com/silverswitch/silverswitch/internal/core/wire"
)

// A router that is short of CPU announces this with everything it sends, so that its delays
// are not attributed to engines or to other routers.

const (
	// overloadHoldDuration is how long after an overload a router continues to announce it:
	// by then it has sent what it had put off.
	overloadHoldDuration = time.Second
	// statedLoadDecayInterval is how often the loads stated by routers are reduced by what
	// engines have read since.
	statedLoadDecayInterval = 50 * time.Millisecond
)

// overloadState is the overload that this router announces.
type overloadState struct {
	announced bool
	until     time.Time
}

// tickOverload updates what this router announces of itself. A router that reads replies as
// late as others give up waiting for them is overloaded too, however much CPU it seems to
// have left.
func (n *Node) tickOverload(now time.Time) {
	if n.overloaded || n.replyRTT.mean >= minPlacementTimeout {
		n.overloadState.until = now.Add(overloadHoldDuration)
	}
	n.overloadState.announced = now.Before(n.overloadState.until)
	n.setOverloaded(n.settings.ID, n.overloadState.announced)
}

// tickStatedLoads reduces the stated loads by what engines have read since.
func (n *Node) tickStatedLoads(now time.Time) {
	elapsed := now.Sub(n.loadsUpdatedAt)
	if elapsed < statedLoadDecayInterval {
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

func (n *Node) setOverloaded(id wire.NodeID, overloaded bool) {
	for _, p := range n.pools {
		p.setOverloaded(id, overloaded)
	}
}

// setOverloaded records whether a router says that it is short of CPU. Its requests leave
// it late, and so do its notifications about them: neither delay is caused by the engines.
//
// Load pattern: a flood at one small router, which reported first events 0.7 to 2.7 s late.
// The median engine seemed 100 to 700 ms behind, and organisations under their shares were
// refused everywhere while engines had nothing to read.
func (p *pool) setOverloaded(id wire.NodeID, overloaded bool) {
	if p.overloaded[id] == overloaded {
		return
	}
	if !overloaded {
		delete(p.overloaded, id)
		return
	}
	p.overloaded[id] = true
	for k, r := range p.runs {
		if k.node == id && r.entry != nil {
			r.entry.MarkSuspect()
		}
	}
}
