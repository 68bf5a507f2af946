package tokens

import (
	"math"
	"time"

	"github.com/silverswitch/silverswitch/internal/core/wire"
	"github.com/silverswitch/silverswitch/internal/dispatch"
	"github.com/silverswitch/silverswitch/internal/engine"
)

// floodOrg is the organisation that floods; it is of medium size.
const floodOrg = 6

// drawArrivals submits the requests that callers send in this millisecond.
func (w *world) drawArrivals() {
	for i := range w.classes() {
		c := &w.classes()[i]
		for org, share := range w.loadRatios() {
			mean := c.perSecond * w.LoadFactor * w.shift(i) * share / 1000
			for range w.poisson(mean) {
				w.arrive(c, org)
			}
		}
	}
}

// loadRatios returns each organisation's load as a ratio of the normal total load.
func (w *world) loadRatios() []float64 {
	total := 0.0
	for _, weight := range orgWeights {
		total += weight
	}
	out := make([]float64, len(orgWeights))
	for i, weight := range orgWeights {
		out[i] = weight / total
		switch {
		case w.FloodDay != nil:
			out[i] = w.floodDayLoad(i)
		case w.Overlap != nil:
			if w.isOverlapping(i) {
				out[i] *= w.FloodFactor
			}
		case w.FloodFactor > 0 && w.isFlooding() && (i == floodOrg || w.hasTwoFloods() && i == secondFloodOrg):
			out[i] *= w.FloodFactor
		}
	}
	return out
}

// poisson draws from a Poisson distribution, up to 50.
func (w *world) poisson(mean float64) int {
	n, p, limit := 0, w.rnd.Float64(), math.Exp(-mean)
	for sum := limit; p > sum && n < 50; {
		n++
		limit *= mean / float64(n)
		sum += limit
	}
	return n
}

// arrive draws a request of a class and submits it.
func (w *world) arrive(c *class, org int) {
	extension := w.rnd.IntN(c.extensionVariants)
	base := w.rnd.IntN(c.baseVariants)
	w.lastID++
	parts := []engine.Part{
		{ID: w.partID(c, 1, base), Tokens: c.baseTokens},
		{ID: w.partID(c, 2, base*1000+extension), Tokens: c.extensionTokens},
		{ID: 1<<40 + w.lastID, Tokens: int(w.logNormal(c.meanPromptTokens, c.promptSigma, c.maxPromptTokens))},
	}
	k := &call{class: c, org: org, parts: parts, arrivedAt: w.now}
	k.req = dispatch.Request{Service: serviceName, Org: orgName(org), Output: 1 + int(w.logNormal(c.meanOutputTokens, 0.7, 5*c.meanOutputTokens)),
		TargetTime: w.now.Add(c.target), Deadline: w.now.Add(c.deadline)}
	w.drawOutput(k)
	for _, p := range parts {
		k.req.Input += p.Tokens
		k.req.Parts = append(k.req.Parts, wire.PromptPart{Part: p.ID, Tokens: uint32(p.Tokens)})
	}
	w.res.Asked++
	if w.counted(k) {
		w.res.Pace.Asked++
	}
	w.window(w.now).requested[org] += dispatch.Cost(k.req.Input, k.req.Output)
	w.submit(k)
}

// partID returns the ID of the no-th shared part of a class; level is its position in the
// prompt.
func (w *world) partID(c *class, level, no int) uint64 {
	for i := range w.classes() {
		if &w.classes()[i] == c {
			return uint64(i+1)<<32 + uint64(level)<<28 + uint64(no)
		}
	}
	return 0
}

func orgName(i int) string { return "organisation-" + string(rune('a'+i)) }

// logNormal draws from a log-normal distribution with the given mean, limited to the range
// from 1 to limit.
func (w *world) logNormal(mean, sigma, limit float64) float64 {
	return min(limit, max(1, mean*math.Exp(sigma*w.rnd.NormFloat64()-sigma*sigma/2)))
}

// submit sends a call to a router, unless the router's load shedder refuses it.
// Organisations are spread unevenly: most of an organisation's calls arrive at two routers.
func (w *world) submit(c *call) {
	live := w.ready()
	if len(live) == 0 {
		w.noRouter(c)
		return
	}
	rnd := w.rnd
	if c.tries > 0 {
		rnd = w.retryRnd
	}
	at := rnd.IntN(len(live))
	if c.tries == 0 && rnd.Float64() < 0.7 {
		at = (c.org + rnd.IntN(2)) % len(live)
	}
	w.lastID++
	c.req.ID = w.lastID
	c.router = live[at]
	if id, fixed := w.fixedRouter(c); fixed && !c.elsewhere {
		c.router = id
	}
	c.submittedAt, c.sends, c.takenUpThere = w.now, 0, c.req.Resumed && c.router == w.outOfStep.takeUpAt
	w.failing.sent = append(w.failing.sent, w.now)
	w.askedFor(c)
	w.countRequested(c)
	w.calls[c.req.ID] = c
	if w.shed(c) || w.shedBySmallRouter(c) || w.arriveAtSmallRouter(c) || w.arriveAtCrowdedRouter(c) {
		return
	}
	w.atRouter(c.router, &w.outOfStep.callsWait, func() {
		if w.calls[c.req.ID] == c {
			w.nodes[c.router].Step(dispatch.Arrive{Request: c.req}, w.now)
		}
	})
}

// ready returns the routers that take calls.
func (w *world) ready() []wire.NodeID {
	var out []wire.NodeID
	for _, id := range w.order {
		if n := w.nodes[id]; n != nil && n.KnowsFleet(w.now) {
			out = append(out, id)
		}
	}
	return out
}

// Standard returns the scenarios of the bench, with callers that send for a duration d.
func Standard(d time.Duration) map[string]Scenario {
	return map[string]Scenario{
		"quiet":  {Duration: d, LoadFactor: 0.66}, // two thirds of the normal load
		"calm":   {Duration: d, LoadFactor: 1},
		"busy":   {Duration: d, LoadFactor: 1.4},
		"flood":  {Duration: d, LoadFactor: 1, FloodFactor: 8},
		"killed": {Duration: d, LoadFactor: 1, KillScheduler: true},
		"late":   {Duration: d, LoadFactor: 1, Routers: 24, FloodFactor: 50, Overloaded: true},
	}
}
