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
	maxWaitRatio = 0.80 // for an organisation that has had nothing of its share
	// maxWaitRatioAtShare is the part for an organisation at its share: beyond it, what it adds
	// slows the streams of all others at an engine.
	maxWaitRatioAtShare = 0.15
	// overSharePenaltyFactor is how many times the prices of a place, a fetch and a connection
	// count as wait for what is over its share: it gets what is left over where that
	// costs nobody anything. The wait allowed falls in proportion to how far over it is
	// and has no floor, so that of two that are far over the farther one waits less.
	overSharePenaltyFactor = 2.0
	// maxOwnTimeRatio is the part of the aim beyond which a prompt's own reading makes it
	// late in any case; such prompts take their turn behind half the wait.
	maxOwnTimeRatio = 1.0
	// priorityRankWaitFactor is the part of the wait that each further rank of priority is
	// allowed: where routes or organisations of one service differ, the more urgent are
	// served more often when there is not room for all.
	priorityRankWaitFactor = 0.7
	// maxBusyRatio and minBusyRatio bound the part of their time that engines may be reading for
	// an organisation over its share to get more: maxBusyRatio at its share, less by the root
	// of how far it is over, but half of the time in any case. What is read beyond shares
	// slows every stream at the engine, and makes those under their shares late.
	maxBusyRatio = 0.9
	minBusyRatio = 0.5
	// maxReportedOver bounds how far over its share an organisation is told to be.
	maxReportedOver = 1000
)

// verdict is the decision on one ask.
type decision struct {
	choice     *choice
	retryAfter time.Duration
	reason     Reason
	bestWaitMS float64 // of a refusal: expected at the best upstream, in milliseconds
	limitMS    float64 // of a refusal: allowed
	ownMS      float64 // of a refusal: expected beyond the wait
	over       uint32  // hundredths of its share that the organisation has had
}

// decide places a request or refuses it.
func (p *pool) decide(from wire.NodeID, a *wire.WorkAsk, now time.Time) decision {
	tokens := Cost(int(a.Input), int(a.Output))
	if a.Try <= 1 {
		p.meter.addRequest(a.Org, tokens, now)
	}
	over := p.meter.over(a.Org, now)
	told := overPercent(over)
	best := p.choose(from, a, now)
	if best == nil {
		reason := p.noUpstreamReason(a, now)
		return decision{retryAfter: p.noUpstreamRetryAfter(a, reason, now), reason: reason, over: told}
	}
	c := best.best(p.requestTargetMS(a))
	if p.engine != nil {
		reason, limitMS := p.refusalReason(a, c, over, now)
		if reason != ReasonNone && c.up != best.cheapest.up {
			c = &best.cheapest
			reason, limitMS = p.refusalReason(a, c, over, now)
		}
		if reason != ReasonNone && p.mayRefuse(a) {
			if reason == ReasonCapacity && over < 1 {
				p.meter.addRefusal(a.Org, tokens, now)
			}
			return decision{retryAfter: p.backlogRetryAfter(a, c.waitMS, limitMS), reason: reason, bestWaitMS: c.waitMS, limitMS: limitMS, ownMS: p.learner.Model().Base + c.ownMS, over: told}
		}
		p.meter.addGrant(a.Org, tokens, now)
		p.busy.add(c.ownMS, now)
	}
	p.startRun(from, a, c, tokens, now)
	return decision{choice: c, over: told}
}

// refusalReason returns why a request should not have a place, or ReasonNone, and how long it
// might wait there, in milliseconds.
func (p *pool) refusalReason(a *wire.WorkAsk, c *choice, over float64, now time.Time) (Reason, float64) {
	limit := p.waitLimit(a, c, over)
	switch {
	case p.countedWaitMS(c, over) > limit:
		return ReasonCapacity, limit
	case p.enginesTooBusy(over, now) || p.mustYield(a.Org, over, now):
		return ReasonShare, limit
	}
	return ReasonNone, limit
}

// waits is the wait that counts against the limit: for an organisation over its share
// with what else the place costs, but an engine with nothing before it takes everyone.
func (p *pool) countedWaitMS(c *choice, over float64) float64 {
	if over >= 1 && c.waitMS > 0 {
		return c.waitMS + overSharePenaltyFactor*c.penaltyMS
	}
	return c.waitMS
}

// enginesTooBusy reports whether engines read so much that an organisation over its share gets
// no more. Load pattern: organisations send several times their shares while others, at
// most their shares, have streams at the same engines.
func (p *pool) enginesTooBusy(over float64, now time.Time) bool {
	return over >= 1 && !p.without.Shares && p.busy.ratio(p.open(now), now) > max(minBusyRatio, maxBusyRatio/math.Sqrt(over))
}

// leads reports whether an organisation has to let the others go first.
func (p *pool) mustYield(org version.ID, over float64, now time.Time) bool {
	switch {
	case p.without.Shares || over < minYieldOver:
		return false
	case over < 1:
		return p.meter.aboveGrantedShare(org, now)
	}
	return p.meter.mustYield(org, now)
}

// mayRefuse reports whether a request may be refused for the wait. One that has been
// sent before is work half done, or an answer half given.
func (p *pool) mayRefuse(a *wire.WorkAsk) bool { return len(a.Avoid) == 0 && !p.without.Refusals }

// start books a request at its upstream.
func (p *pool) startRun(from wire.NodeID, a *wire.WorkAsk, c *choice, tokens float64, now time.Time) {
	r := &run{
		key:    runKey{from, a.No},
		org:    a.Org,
		cost:   tokens,
		work:   c.work,
		prompt: c.prompt,
		tokens: ownTokens(int(a.Input), int(a.Output), a.Parts),
		output: int(a.Output),
		parts:  a.Parts,
		until:  now.Add(time.Duration(a.LeftMS)*time.Millisecond + runGrace),
	}
	p.forget(r.key, false, now)
	c.up.placeRun(r, now)
	p.placedAt(c.up, now)
	if p.late[from] {
		r.entry.MarkSuspect()
	}
	p.runs[r.key] = r
}

// runGrace is how much longer than its caller's deadline a run is kept when
// nothing is heard of its end.
const runGrace = 500 * time.Millisecond

// requestTargetMS is the time in milliseconds within which a first event is to come: what is left of
// the request's own target, and the strictest target of the service.
func (p *pool) requestTargetMS(a *wire.WorkAsk) float64 {
	aim := float64(a.AimMS)
	if a.AimMS == 0 {
		aim = float64(a.LeftMS) / 4
	}
	if p.aim > 0 {
		aim = min(aim, p.aim)
	}
	return aim
}

// waitLimit is how long a request may wait behind others at an engine, in
// milliseconds. over is how much of its share its organisation has had.
func (p *pool) waitLimit(a *wire.WorkAsk, c *choice, over float64) float64 {
	aim := p.requestTargetMS(a)
	part := maxWaitRatio
	urgency := math.Pow(priorityRankWaitFactor, float64(p.urgency.rank(int(a.Priority))))
	if !p.without.Shares {
		part = waitRatio(over)
	}
	room := aim - p.learner.Model().Base - c.ownMS
	if c.ownMS > maxOwnTimeRatio*aim {
		return urgency * part * aim / 2
	}
	return urgency * min(part*aim, max(room, part*aim/4))
}

// waitRatio is the part of the target that a request may wait whose organisation has had so
// much of its share: the less, the longer, so that who is nearer to its share makes room for
// the others also where nobody comes to it.
//
// Load pattern: engines serve less than is stated. With one limit for all that were under
// their shares a flood kept every wait at that limit, and what was taken there came late.
func waitRatio(over float64) float64 {
	if over >= 1 {
		return maxWaitRatioAtShare / over
	}
	return maxWaitRatio + over*(maxWaitRatioAtShare-maxWaitRatio)
}

func (p *pool) noUpstreamReason(a *wire.WorkAsk, now time.Time) Reason {
	switch {
	case len(p.order) == 0:
		return ReasonNoUpstream
	case !slices.ContainsFunc(p.order, func(u *upstream) bool { return u.inAllowedRegion(a.Regions) }):
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

// noUpstreamRetryAfter is when to come back if no upstream takes the request now.
func (p *pool) noUpstreamRetryAfter(a *wire.WorkAsk, why Reason, now time.Time) time.Duration {
	switch why {
	case ReasonEvacuated, ReasonRegions:
		return maxRetryAfter // nobody knows when that changes
	case ReasonCold:
		return min(max(p.warmIn(now), minRetryAfter), maxRetryAfter)
	case ReasonBackoff:
		return max(p.minBackoff(a), minRetryAfter)
	}
	return p.backlogRetryAfter(a, p.minBacklogMS(now), 0)
}

// shortest is the least backlog over all engines, in milliseconds.
func (p *pool) minBacklogMS(now time.Time) float64 {
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
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 1500 * time.Millisecond
)

// backlogRetryAfter is when the backlog will have fallen below the request's limit.
func (p *pool) backlogRetryAfter(a *wire.WorkAsk, waitMS, limitMS float64) time.Duration {
	d := time.Duration((waitMS - limitMS) * 1.5 * float64(time.Millisecond))
	return min(max(d, minRetryAfter), maxRetryAfter)
}
