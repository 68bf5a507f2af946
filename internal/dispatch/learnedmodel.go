package dispatch

import (
	"fmt"
	"math"

	"github.com/silverswitch/silverswitch/internal/core/wire"
	"github.com/silverswitch/silverswitch/internal/dispatch/prefill"
)

// learnedModels returns what this router has learned or inherited about its engines. It is
// sent even after the scheduler's role has passed to another router: a router that has just
// started may take over the role at once, without any knowledge.
func (n *Node) learnedModels() []wire.PrefillModel {
	var out []wire.PrefillModel
	for _, p := range n.pools {
		if p.engine == nil || p.learner.SampleCount() == 0 {
			continue
		}
		out = append(out, p.learnedModel())
	}
	return out
}

// handleModels inherits the models of other routers that are based on more samples.
func (n *Node) handleModels(models []wire.PrefillModel) {
	for _, m := range models {
		if p := n.pools[m.Service]; p != nil && p.engine != nil {
			p.learner.Inherit(modelFromWire(m), int(m.Samples))
		}
	}
}

// logModels logs the model of a service's engines when it has changed by a fifth or more.
func (n *Node) logModels() {
	for _, p := range n.pools {
		if p.engine == nil {
			continue
		}
		m := p.learner.Model()
		if !modelsDiffer(m, p.loggedModel) {
			continue
		}
		p.loggedModel = m
		n.event(Event{Name: "prefill-model", Value: uint64(p.learner.SampleCount()),
			Detail: fmt.Sprintf("%s: base %.1f ms, %.2f ms a thousand tokens, %.3f ms a million pairs, %.2f ms a thousand fetched", p.service, m.Base, 1000*m.PerToken, m.PerPair, 1000*m.PerFetched)})
	}
}

// modelsDiffer reports whether the times that two models expect for a typical prompt differ
// by a fifth or more.
func modelsDiffer(a, b prefill.Model) bool {
	const usual, fifth = 2000, 1.2
	p := prefill.PromptOf(usual, 0, usual)
	x, y := a.Base+a.Read(p), b.Base+b.Read(p)
	return math.Max(x, y) > fifth*math.Min(x, y)
}

// learnedModel is the model of the pool's engines in the form sent to peers.
func (p *pool) learnedModel() wire.PrefillModel {
	m := p.learner.Model()
	return wire.PrefillModel{Service: p.id, Base: float32(m.Base), PerToken: float32(m.PerToken), PerPair: float32(m.PerPair), PerFetched: float32(m.PerFetched), Samples: uint32(p.learner.SampleCount())}
}

// modelFromWire converts a model received from a peer.
func modelFromWire(m wire.PrefillModel) prefill.Model {
	return prefill.Model{Base: float64(m.Base), PerToken: float64(m.PerToken), PerPair: float64(m.PerPair), PerFetched: float64(m.PerFetched)}
}
