package dispatch

import (
	"math"
	"slices"
	"time"

	"github.com/silverswitch/silverswitch/internal/core/wire"
	"github.com/silverswitch/silverswitch/internal/version"
)

// Limits of admission, in parts of the time within which an answer counts as
// fully useful.
const (
	waitUnder = 0.80 // for an organisation that has had nothing of its share
	// waitAtShare is the part for an organisation at its share: beyond it, what it adds
	// slows the streams of all others at an engine.
	waitAtShare = 0.15
	// overPrice is how many times the prices of a place, a fetch and a connection
	// count as wait for what is over its share: it gets what is left over where that
	// costs nobody anything. The wait allowed falls in proportion to how far over it is
	// and has no floor, so that of two that are far over the farther one waits less.
	overPrice = 2.0
	// largeOwn is the part of the aim beyond which a prompt's own reading makes it
	// late in any case; such prompts take their turn behind half the wait.
	largeOwn = 1.0
	// lessUrgent is the part of the wait that each further rank of priority is
	// allowed: where routes or organisations of one service differ, the more urgent are
	// served more often when there is not room for all.
	lessUrgent = 0.7
	// mostBusy and leastBusy bound the part of their time that engines may be reading for
	// an organisation over its share to get more: mostBusy at its share, less by the root
	// of how far it is over, but half of the time in any case. What is read beyond shares
	// slows every stream at the engine, and makes those under their shares late.
	mostBusy  = 0.9
	leastBusy = 0.5
	// mostOver bounds how far over its share an organisation is told to be.
	mostOver = 1000
)

// verdict is the decision on one ask.
type verdict struct {
	choice *choice
	after  time.Duration
	why    Reason
	wait   float64 // of a refusal: expected at the best upstream, in milliseconds
	limit  float64 // of a refusal: allowed
	ownMS  float64 // of a refusal: expected beyond the wait
	over   uint32  // hundredths of its share that the organisation has had
}

// decide places a request or refuses it.
func (p *pool) decide(from wire.NodeID, a *wire.PlacementRequest, now time.Time) verdict {
	tokens := Cost(int(a.Input), int(a.Output))
	if a.Try <= 1 {
		p.meter.ask(a.Org, tokens, now)
	}
	over := p.meter.over(a.Org, now)
	told := hundredths(over)
	best := p.choose(from, a, now)
	if best == nil {
		why := p.whyNone(a, now)
		return verdict{after: p.comeBackNone(a, why, now), why: why, over: told}
	}
	c := best.best(p.aimOf(a))
	if p.engine != nil {
		why, limit := p.whyRefuse(a, c, over, now)
		if why != ReasonNone && c.up != best.soonest.up {
			c = &best.soonest
			why, limit = p.whyRefuse(a, c, over, now)
		}
		if why != ReasonNone && p.mayRefuse(a) {
			if why == ReasonCapacity && over < 1 {
				p.meter.miss(a.Org, tokens, now)
			}
			return verdict{after: p.comeBack(a, c.waitMS, limit), why: why, wait: c.waitMS, limit: limit, ownMS: p.learner.Model().Base + c.ownMS, over: told}
		}
		p.meter.grant(a.Org, tokens, now)
		p.busy.add(c.ownMS, now)
	}
	p.start(from, a, c, tokens, now)
	return verdict{choice: c, over: told}
}

// whyRefuse returns why a request should not have a place, or ReasonNone, and how long it
// might wait there, in milliseconds.
func (p *pool) whyRefuse(a *wire.PlacementRequest, c *choice, over float64, now time.Time) (Reason, float64) {
	limit := p.waitLimit(a, c, over)
	switch {
	case p.waits(c, over) > limit:
		return ReasonCapacity, limit
	case p.tooBusy(over, now) || p.leads(a.Org, over, now):
		return ReasonShare, limit
	}
	return ReasonNone, limit
}

// waits is the wait that counts against the limit: for an organisation over its share
// with what else the place costs, but an engine with nothing before it takes everyone.
func (p *pool) waits(c *choice, over float64) float64 {
	if over >= 1 && c.waitMS > 0 {
		return c.waitMS + overPrice*c.price
	}
	return c.waitMS
}

// tooBusy reports whether engines read so much that an organisation over its share gets
// no more. Load pattern: organisations send several times their shares while others, at
// most their shares, have streams at the same engines.
func (p *pool) tooBusy(over float64, now time.Time) bool {
	return over >= 1 && !p.without.Shares && p.busy.part(p.open(now), now) > max(leastBusy, mostBusy/math.Sqrt(over))
}

// leads reports whether an organisation has to let the others go first.
func (p *pool) leads(org version.ID, over float64, now time.Time) bool {
	switch {
	case p.without.Shares || over < heldFrom:
		return false
	case over < 1:
		return p.meter.aheadOfGiven(org, now)
	}
	return p.meter.leads(org, now)
}

// mayRefuse reports whether a request may be refused for the wait. One that has been
// sent before is work half done, or an answer half given.
func (p *pool) mayRefuse(a *wire.PlacementRequest) bool {
	return len(a.Avoid) == 0 && !p.without.Refusals
}

// start books a request at its upstream.
func (p *pool) start(from wire.NodeID, a *wire.PlacementRequest, c *choice, tokens float64, now time.Time) {
	r := &run{
		key:    runKey{from, a.No},
		org:    a.Org,
		cost:   tokens,
		work:   c.work,
		prompt: c.prompt,
		tokens: ownTokens(int(a.Input), int(a.Output), a.Parts),
		output: int(a.Output),
		parts:  a.Parts,
		until:  now.Add(time.Duration(a.DeadlineMS)*time.Millisecond + runGrace),
	}
	p.forget(r.key, false, now)
	c.up.placeRun(r, now)
	p.placedAt(c.up, now)
	if p.late[from] {
		r.entry.Doubt()
	}
	p.runs[r.key] = r
}

// runGrace is how much longer than its caller's deadline a run is kept when
// nothing is heard of its end.
const runGrace = 500 * time.Millisecond

// aimOf is the time in milliseconds within which a first event is to come: what is left of
// the request's own target, and the strictest target of the service.
func (p *pool) aimOf(a *wire.PlacementRequest) float64 {
	aim := float64(a.TargetMS)
	if a.TargetMS == 0 {
		aim = float64(a.DeadlineMS) / 4
	}
	if p.aim > 0 {
		aim = min(aim, p.aim)
	}
	return aim
}

// waitLimit is how long a request may wait behind others at an engine, in
// milliseconds. over is how much of its share its organisation has had.
func (p *pool) waitLimit(a *wire.PlacementRequest, c *choice, over float64) float64 {
	aim := p.aimOf(a)
	part := waitUnder
	urgency := math.Pow(lessUrgent, float64(p.urgency.rank(int(a.Priority))))
	if !p.without.Shares {
		part = waitPart(over)
	}
	room := aim - p.learner.Model().Base - c.ownMS
	if c.ownMS > largeOwn*aim {
		return urgency * part * aim / 2
	}
	return urgency * min(part*aim, max(room, part*aim/4))
}

// waitPart is the part of the target that a request may wait whose organisation has had so
// much of its share: the less, the longer, so that who is nearer to its share makes room for
// the others also where nobody comes to it.
//
// Load pattern: engines serve less than is stated. With one limit for all that were under
// their shares a flood kept every wait at that limit, and what was taken there came late.
func waitPart(over float64) float64 {
	if over >= 1 {
		return waitAtShare / over
	}
	return waitUnder + over*(waitAtShare-waitUnder)
}

func (p *pool) whyNone(a *wire.PlacementRequest, now time.Time) Reason {
	switch {
	case len(p.order) == 0:
		return ReasonNoUpstream
	case !slices.ContainsFunc(p.order, func(u *upstream) bool { return u.mayRun(a.Regions) }):
		return ReasonRegions
	case p.isEvacuated():
		return ReasonEvacuated
	case p.hasCold(now) && p.open(now) == 0:
		return ReasonCold
	case p.allBackOff(a):
		return ReasonBackoff
	}
	return ReasonCapacity
}

// comeBackNone is when to come back if no upstream takes the request now.
func (p *pool) comeBackNone(a *wire.PlacementRequest, why Reason, now time.Time) time.Duration {
	switch why {
	case ReasonEvacuated, ReasonRegions:
		return maxComeBack // nobody knows when that changes
	case ReasonCold:
		return min(max(p.warmIn(now), minComeBack), maxComeBack)
	case ReasonBackoff:
		return max(p.leastBackoff(a), minComeBack)
	}
	return p.comeBack(a, p.shortest(now), 0)
}

// shortest is the least backlog over all engines, in milliseconds.
func (p *pool) shortest(now time.Time) float64 {
	least := math.Inf(1)
	for _, u := range p.order {
		if u.cache != nil && !u.closed() {
			least = min(least, u.backlog(p.learner.Model(), now))
		}
	}
	if math.IsInf(least, 1) {
		return 0
	}
	return least
}

// Bounds on when a refused caller is told to come back.
const (
	minComeBack = 100 * time.Millisecond
	maxComeBack = 1500 * time.Millisecond
)

// comeBack is when the backlog will have fallen below the request's limit.
func (p *pool) comeBack(a *wire.PlacementRequest, waitMS, limitMS float64) time.Duration {
	d := time.Duration((waitMS - limitMS) * 1.5 * float64(time.Millisecond))
	return min(max(d, minComeBack), maxComeBack)
}
