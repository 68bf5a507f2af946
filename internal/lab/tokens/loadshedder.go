package tokens

import (
	"time"

	"github.com/silverswitch/silverswitch/internal/dispatch"
)

// A router that is short of processor refuses at its door, without asking, what it is told
// that shares do not cover. It tells what it refused, and asks for the rest.

const (
	// admitRatioInterval is how often the door is told what to let in.
	admitRatioInterval = 100 * time.Millisecond
	// shedReportInterval is how often the node is told what the door refused.
	shedReportInterval = 200 * time.Millisecond
	// shedRetryAfter is when a caller that the door refuses may come back.
	shedRetryAfter = 100 * time.Millisecond
)

// loadShedder is what the door of the late router goes by.
type loadShedder struct {
	admitRatios map[string]float64 // by organisation, let in
	shedTokens  map[string]float64 // tokens that the node was not told of
}

func newLoadShedder() loadShedder {
	return loadShedder{admitRatios: map[string]float64{}, shedTokens: map[string]float64{}}
}

// shed decides at the door, and counts what it refuses.
func (w *world) shed(c *call) bool {
	if !w.LoadShedding || !w.isFlooding() || c.router != w.overloadedRouter() {
		return false
	}
	part, known := w.shedder.admitRatios[c.req.Org]
	if !known || w.rnd.Float64() < part {
		return false
	}
	w.shedder.shedTokens[c.req.Org] += dispatch.Cost(c.req.Input, c.req.Output)
	w.retryRefused(dispatch.Refuse{ID: c.req.ID, After: shedRetryAfter})
	return true
}

// tickShedder brings news between the door and its node.
func (w *world) tickShedder() {
	n := w.nodes[w.overloadedRouter()]
	if !w.LoadShedding || n == nil {
		return
	}
	age := w.now.Sub(startTime)
	if age%admitRatioInterval == 0 {
		clear(w.shedder.admitRatios)
		for _, c := range n.Covered(w.now) {
			w.shedder.admitRatios[c.Org] = c.Part
		}
	}
	if age%shedReportInterval != 0 || len(w.shedder.shedTokens) == 0 {
		return
	}
	var work []dispatch.TurnedWork
	for i := range orgWeights {
		if tokens := w.shedder.shedTokens[orgName(i)]; tokens > 0 {
			work = append(work, dispatch.TurnedWork{Service: serviceName, Org: orgName(i), Tokens: tokens})
		}
	}
	clear(w.shedder.shedTokens)
	n.Step(dispatch.Turned{Work: work}, w.now)
}
