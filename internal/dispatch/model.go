package dispatch

import (
	"fmt"
	"math"

	"github.com/silverswitch/silverswitch/internal/core/wire"
	"github.com/silverswitch/silverswitch/internal/dispatch/prefill"
)

// ownModels is what this router has learned of engines, or inherited. It is told also
// after the scheduler's role has gone to another: a router that has just started may
// take the role at once, knowing nothing.
func (n *Node) ownModels() []wire.PrefillModel {
	var out []wire.PrefillModel
	for _, p := range n.pools {
		if p.engine == nil || p.learner.Seen() == 0 {
			continue
		}
		out = append(out, p.learned())
	}
	return out
}

// heardModels inherits what others have learned, where they have seen more.
func (n *Node) heardModels(models []wire.PrefillModel) {
	for _, m := range models {
		if p := n.pools[m.Service]; p != nil && p.engine != nil {
			p.learner.Inherit(modelOf(m), int(m.Samples))
		}
	}
}

// logModels writes a line when what is believed of a service's engines has changed by a
// fifth or more.
func (n *Node) logModels() {
	for _, p := range n.pools {
		if p.engine == nil {
			continue
		}
		m := p.learner.Model()
		if !differ(m, p.loggedModel) {
			continue
		}
		p.loggedModel = m
		n.event(Event{Name: "prefill-model", Value: uint64(p.learner.Seen()),
			Detail: fmt.Sprintf("%s: base %.1f ms, %.2f ms a thousand tokens, %.3f ms a million pairs, %.2f ms a thousand fetched", p.service, m.Base, 1000*m.PerToken, m.PerPair, 1000*m.PerFetched)})
	}
}

// differ reports whether two models expect times for a usual prompt that are a fifth or
// more apart.
func differ(a, b prefill.Model) bool {
	const usual, fifth = 2000, 1.2
	p := prefill.PromptOf(usual, 0, usual)
	x, y := a.Base+a.Read(p), b.Base+b.Read(p)
	return math.Max(x, y) > fifth*math.Min(x, y)
}

// learned is what was learned of the engines, as peers are told.
func (p *pool) learned() wire.PrefillModel {
	m := p.learner.Model()
	return wire.PrefillModel{Service: p.id, Base: float32(m.Base), PerToken: float32(m.PerToken), PerPair: float32(m.PerPair), PerFetched: float32(m.PerFetched), Samples: uint32(p.learner.Seen())}
}

// modelOf is a model as a peer tells it.
func modelOf(m wire.PrefillModel) prefill.Model {
	return prefill.Model{Base: float64(m.Base), PerToken: float64(m.PerToken), PerPair: float64(m.PerPair), PerFetched: float64(m.PerFetched)}
}
