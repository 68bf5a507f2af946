package tokens

import (
	"time"

	"github.com/silverswitch/silverswitch/internal/dispatch"
)

// An overloaded router's load shedder refuses requests beyond the ratio that the shares
// cover, without a placement request. The router reports the shed work to the scheduler, and
// requests placements for the rest.

const (
	// admitRatioInterval is how often the ratios of requests to admit are updated from the
	// node.
	admitRatioInterval = 100 * time.Millisecond
	// shedReportInterval is how often shed work is reported to the node.
	shedReportInterval = 200 * time.Millisecond
	// shedRetryAfter is the Retry-After of a shed request.
	shedRetryAfter = 100 * time.Millisecond
)

// loadShedder is the state of the overloaded router's load shedder.
type loadShedder struct {
	admitRatios map[string]float64 // of requests to admit, by organisation
	shedTokens  map[string]float64 // not yet reported to the node, by organisation
}

func newLoadShedder() loadShedder {
	return loadShedder{admitRatios: map[string]float64{}, shedTokens: map[string]float64{}}
}

// shed reports whether the load shedder refuses a call. If so, the call is counted and
// refused.
func (w *world) shed(c *call) bool {
	if !w.LoadShedding || !w.isFlooding() || c.router != w.overloadedRouter() {
		return false
	}
	ratio, known := w.shedder.admitRatios[c.req.Org]
	if !known || w.rnd.Float64() < ratio {
		return false
	}
	w.shedder.shedTokens[c.req.Org] += dispatch.Cost(c.req.Input, c.req.Output)
	w.retryRefused(dispatch.Refuse{ID: c.req.ID, After: shedRetryAfter})
	return true
}

// tickShedder updates the ratios from the node, and reports shed work to it, when due.
func (w *world) tickShedder() {
	n := w.nodes[w.overloadedRouter()]
	if !w.LoadShedding && w.Overlap == nil || n == nil {
		return
	}
	age := w.now.Sub(startTime)
	if age%admitRatioInterval == 0 {
		clear(w.shedder.admitRatios)
		for _, c := range n.ShareCoverage(w.now) {
			w.shedder.admitRatios[c.Org] = c.Ratio
		}
	}
	if age%shedReportInterval != 0 || len(w.shedder.shedTokens) == 0 {
		return
	}
	var work []dispatch.ShedWork
	for i := range orgWeights {
		if tokens := w.shedder.shedTokens[orgName(i)]; tokens > 0 {
			work = append(work, dispatch.ShedWork{Service: serviceName, Org: orgName(i), Tokens: tokens})
		}
	}
	clear(w.shedder.shedTokens)
	n.Step(dispatch.LoadShed{Work: work}, w.now)
}
