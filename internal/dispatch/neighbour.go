package dispatch

import (
	"github.com/silverswitch/silverswitch/internal/core/wire"
)

// RouterPower is a router with its CPU in thousandths of a core, 0 if unknown.
type RouterPower struct {
	ID    wire.NodeID
	Power uint32
}

// NeighbourPowers returns the other live routers of the own place that are not leaving.
func (n *Node) NeighbourPowers() []RouterPower {
	var out []RouterPower
	for _, id := range n.members.Live(false) {
		if m := n.members.Get(id); m != nil && id != n.settings.ID && m.Place == n.settings.Place {
			out = append(out, RouterPower{ID: id, Power: m.Power})
		}
	}
	return out
}
