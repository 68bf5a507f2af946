package dispatch

import (
	"slices"
	"time"

	"github.com/silverswitch/silverswitch/internal/core/wire"
	"github.com/silverswitch/silverswitch/internal/dispatch/prefill"
	"github.com/silverswitch/silverswitch/internal/version"
)

// Placement: a request runs at the upstream with the earliest expected first event, where
// other costs of an upstream are counted as time.

// Costs of a placement, in milliseconds of time to the first event.
const (
	crossPlaceCostMS = 8.0 // an engine in another place: traffic between places is charged for
	// crossPlaceExtraMS and fetchExtraMS are added to the costs of another place and of a
	// fetch while an engine has little to read: a request waits that much longer at an
	// engine that needs neither. Prompts and streams that cross places make up most of the
	// traffic between places.
	crossPlaceExtraMS = 30.0
	fetchExtraMS      = 20.0
	// shortWaitRatio is the ratio of the target latency up to which a wait is short. Behind
	// a longer wait a request goes where it is served soonest: late answers cost more than
	// traffic between places.
	shortWaitRatio        = 0.1
	fetchCostMS           = 10.0 // a fetch causes traffic and caches the same prompt parts twice
	notInUseCostMS        = 10.0 // an engine outside the working set: parts that later requests share have to be read there again
	newConnCostMS         = 8.0  // the router keeps no connection to the engine: opening one costs about as much as a small fetch
	plainCrossPlaceCostMS = 6.0  // a plain upstream in another place
	plainOwnRequestCostMS = 10.0 // each request that this router has at a plain upstream
	// plainOtherRequestCostMS is the cost of each request that other routers report at a
	// plain upstream.
	plainOtherRequestCostMS = 6.0
)

// accepts reports whether an upstream may be given this request at all. An ejected upstream
// is skipped unless includeEjected is set, because all candidates are ejected: a try there
// is better than a refusal. An upstream in backoff is never tried.
func (u *upstream) accepts(a *wire.PlacementRequest, includeEjected bool, now time.Time) bool {
	if u.closed() || a.Version != 0 && u.version != a.Version || !u.inAllowedRegion(a.Regions) || u.ejection.active(now) && !includeEjected || u.backsOff(a) {
		return false
	}
	for _, id := range a.Avoid {
		if id == u.id {
			return false
		}
	}
	return true
}

// inAllowedRegion reports whether an upstream is in one of the regions that a request is
// restricted to, or the request is not restricted.
func (u *upstream) inAllowedRegion(regions []version.ID) bool {
	return len(regions) == 0 || u.region != 0 && slices.Contains(regions, u.region)
}

// choice is an upstream considered for a request, with the expected times and costs there.
type choice struct {
	up        *upstream
	source    *upstream
	work      int // tokens to read
	prompt    prefill.Prompt
	waitMS    float64 // behind other requests
	ownMS     float64 // fetching cached parts and reading the rest
	penaltyMS float64 // costs beyond time: another place, a fetch, a new connection
	cost      float64 // time and penalty
	pace      choicePace
}

// choices are the two best upstreams for a request, by different weights of locality.
type choices struct {
	cheapest choice // of lowest cost
	nearby   choice // of lowest cost when another place and a fetch cost extra
	paced    choice // of lowest cost where it is not refused for the pace of streams
}

// best returns the nearby upstream while its wait is short, otherwise the cheapest one.
func (b *choices) best(targetMS float64) *choice {
	if b.nearby.waitMS <= shortWaitRatio*targetMS {
		return &b.nearby
	}
	return &b.cheapest
}

// expectation is what is expected of a choice, in whole tokens and milliseconds.
type expectation struct {
	work, waitMS, ownMS int
	cold                bool // the upstream is cold
	needsHealthCheck    bool // the upstream may be cold without this router knowing
}

func (p *pool) expectation(c *choice, now time.Time) expectation {
	e := expectation{work: c.work, waitMS: int(c.waitMS)}
	if p.cold.RequestsPerSecond > 0 {
		e.cold = c.up.isCold(0, now)
		e.needsHealthCheck = !e.cold && (p.mayMissCold || now.Sub(c.up.cold.answeredAt) >= silentRestartAfter)
	}
	if p.engine != nil {
		e.ownMS = int(p.learner.Model().Base + c.ownMS)
	}
	return e
}

// choose returns the best upstreams, or nil when none accepts the request.
func (p *pool) choose(from wire.NodeID, a *wire.PlacementRequest, now time.Time) *choices {
	if c := p.chooseAmong(from, a, false, now); c != nil {
		return c
	}
	if p.slots != nil && p.acceptsWhenFree(a, false, now) {
		return nil // slots of upstreams that are not ejected will be free soon
	}
	return p.chooseAmong(from, a, true, now)
}

// chooseAmong is choose among the upstreams that are not ejected, or among all.
func (p *pool) chooseAmong(from wire.NodeID, a *wire.PlacementRequest, includeEjected bool, now time.Time) *choices {
	upstreams := p.candidates(a, now)
	best := p.bestOf(upstreams, from, a, includeEjected, now)
	if best == nil && !p.isSmall() && !p.slotsExhausted() {
		best = p.bestOf(p.furtherCandidates(a, includeEjected, now), from, a, includeEjected, now)
	}
	return best
}

// bestOf returns the best of the given upstreams, or nil when none accepts the request.
func (p *pool) bestOf(upstreams []*upstream, from wire.NodeID, a *wire.PlacementRequest, includeEjected bool, now time.Time) *choices {
	if p.engine == nil {
		if c := p.choosePlain(upstreams, a, includeEjected, now); c != nil {
			return &choices{cheapest: *c, nearby: *c}
		}
		return nil
	}
	holder := p.findPrefixHolder(upstreams, a, now)
	var best choices
	for _, u := range upstreams {
		if p.hasRoom(u, a, includeEjected, now) {
			best.consider(p.estimate(u, from, a, holder, now), a.Place)
		}
	}
	if best.cheapest.up == nil {
		return nil
	}
	return &best
}

// hasRoom reports whether an upstream accepts a request now.
func (p *pool) hasRoom(u *upstream, a *wire.PlacementRequest, includeEjected bool, now time.Time) bool {
	if !u.accepts(a, includeEjected, now) || !p.admitsIfCold(u, now) || !includeEjected && p.failedLast(u, a, now) {
		return false
	}
	if p.engine == nil {
		return p.hasFreeSlot(u, now)
	}
	own := privateTokens(int(a.Input), int(a.Output), a.Parts)
	usable := int(usableMemoryRatio * float64(p.engine.MemoryTokens))
	return u.running() < p.engine.Slots && u.memory()+own <= usable
}

// consider replaces the best choices so far where c is better.
func (b *choices) consider(c choice, place version.ID) {
	if b.cheapest.up == nil || c.cost < b.cheapest.cost {
		b.cheapest = c
	}
	if b.nearby.up == nil || c.localityCost(place) < b.nearby.localityCost(place) {
		b.nearby = c
	}
	if !c.pace.refused && (b.paced.up == nil || c.cost < b.paced.cost) {
		b.paced = c
	}
}

// localityCost is the cost of a choice including the extra costs of another place and of a
// fetch.
func (c *choice) localityCost(place version.ID) float64 {
	out := c.cost
	if c.up.place != place {
		out += crossPlaceExtraMS
	}
	if c.source != nil {
		out += fetchExtraMS
	}
	return out
}

// findPrefixHolder records at each given engine how much of the prompt it has cached, and
// returns the engine from which the longest prefix can be fetched.
func (p *pool) findPrefixHolder(upstreams []*upstream, a *wire.PlacementRequest, now time.Time) *upstream {
	var holder *upstream
	for _, u := range upstreams {
		u.cached, u.ready = 0, 0
		if p.disabled.Parts {
			continue
		}
		u.cached, u.ready = u.cache.prefix(a.Parts)
		if p.disabled.Fetch || u.ready == 0 || u.evacuated || !u.inAllowedRegion(a.Regions) || u.ejection.active(now) || slices.Contains(a.Avoid, u.id) {
			continue
		}
		if holder == nil || u.ready > holder.ready {
			holder = u
		}
	}
	return holder
}

// estimate works out the wait, time and cost of a request at an engine.
func (p *pool) estimate(u *upstream, from wire.NodeID, a *wire.PlacementRequest, holder *upstream, now time.Time) choice {
	m := p.learner.Model()
	c := choice{up: u, waitMS: u.backlog(m, now)}
	cached, fetched := u.cached, 0
	if holder != nil && holder != u && holder.ready > cached {
		fetched = holder.ready - cached
		cached = holder.ready
		c.source = holder
		c.penaltyMS += fetchCostMS
	}
	c.work = max(0, int(a.Input)-cached)
	c.prompt = prefill.PromptOf(c.work, fetched, int(a.Input))
	c.ownMS = m.Read(c.prompt) * u.queue.Slow(m, now)
	if u.place != a.Place {
		c.penaltyMS += crossPlaceCostMS
	}
	if !p.disabled.ConnReuse && !u.conns.cached(from, now) {
		c.penaltyMS += newConnCostMS
	}
	if u.inUse == notInUse && !p.isSmall() {
		c.penaltyMS += notInUseCostMS
	}
	c.cost = c.waitMS + c.ownMS + c.penaltyMS + p.batchCostMS(u)
	p.judgePace(&c, a, now)
	if p.withoutScheduler {
		c.cost += spreadCostMS(from, u)
	}
	return c
}

// maxSpreadMS bounds the cost that a router deciding without the scheduler adds to engines
// by its own order of them.
//
// Load pattern: all routers restart at once and know nothing of each other. Each sent its
// first requests to the first of the engines with nothing to read, which was the same one
// for all routers of a place.
const maxSpreadMS = 20.0

// spreadCostMS is an engine's position in a router's own order (rendezvous hashing), scaled
// to the range from 0 to maxSpreadMS.
func spreadCostMS(from wire.NodeID, u *upstream) float64 {
	return maxSpreadMS * float64(rendezvousHash(u.id, from)>>11) / (1 << 53)
}

// batchCostMS is the time that a full batch adds to every token of its requests.
func (p *pool) batchCostMS(u *upstream) float64 {
	return 0.3 * float64(u.running())
}

// choosePlain returns the best of the given plain upstreams, or nil when none accepts the
// request.
func (p *pool) choosePlain(upstreams []*upstream, a *wire.PlacementRequest, includeEjected bool, now time.Time) *choice {
	var best *choice
	for _, u := range upstreams {
		if !p.hasRoom(u, a, includeEjected, now) {
			continue
		}
		u.fadeSlowness(now)
		own := len(u.runs)
		c := &choice{up: u, cost: (float64(own)*plainOwnRequestCostMS + float64(max(0, u.running()-own))*plainOtherRequestCostMS) * u.slowFactor}
		if p.hasSlots(u) {
			c.cost = p.slotCost(u, now)
		}
		if u.place != a.Place {
			c.cost += plainCrossPlaceCostMS
		}
		if best == nil || c.cost < best.cost {
			best = c
		}
	}
	return best
}
