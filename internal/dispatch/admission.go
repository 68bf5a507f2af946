package dispatch

import (
	"math"
	"slices"
	"time"

	"github.com/silverswitch/silverswitch/internal/core/wire"
)

// Limits of admission, as ratios of the target latency, within which an answer counts as
// fully useful.
const (
	maxWaitRatio = 0.80 // for an organisation that has used nothing of its share
	// maxWaitRatioAtShare applies to an organisation that has used exactly its share. Any
	// load it adds beyond that slows the streams of all other organisations at an engine.
	maxWaitRatioAtShare = 0.15
	// overSharePenaltyFactor is how many times the cost penalties of a place, a fetch and a
	// connection count as wait for an organisation over its share: it gets spare capacity
	// only where that costs nobody anything. The allowed wait falls in proportion to how
	// far the organisation is over its share and has no floor, so that of two organisations
	// far over their shares the one further over waits less.
	overSharePenaltyFactor = 2.0
	// maxOwnTimeRatio is the ratio of the target beyond which the prompt's own reading time
	// makes the answer late in any case. Such prompts may wait half as long as others.
	maxOwnTimeRatio = 1.0
	// maxResumeWaitRatio applies to a request that goes on with a stream, whatever its organisation
	// has used: its caller holds the events so far, and few upstreams of its version may be left.
	maxResumeWaitRatio = 1.5
	// priorityRankWaitFactor multiplies the allowed wait once for each rank of priority
	// below the most urgent one. Where routes or organisations of one service differ in
	// priority, the more urgent requests are served more often while there is not room for
	// all.
	priorityRankWaitFactor = 0.7
	// maxBusyRatio and minBusyRatio bound the fraction of their time that engines may spend
	// on reading before an organisation over its share gets no more. The limit is
	// maxBusyRatio at the share and falls with the square root of how far the organisation
	// is over it, but never below minBusyRatio. Reading beyond shares slows every stream at
	// the engine and makes organisations under their shares late.
	maxBusyRatio = 0.9
	minBusyRatio = 0.5
	// maxReportedUsedShare bounds the use of a share, as a ratio, that is reported for an
	// organisation.
	maxReportedUsedShare = 1000
)

// decision is the outcome of one placement request.
type decision struct {
	choice     *choice
	retryAfter time.Duration
	reason     Reason
	bestWaitMS float64 // of a refusal: expected at the best upstream
	limitMS    float64 // of a refusal: the longest wait allowed
	ownMS      float64 // of a refusal: expected time to the first event beyond the wait
	usedShare  uint32  // percentage of its share that the organisation has used
	queued     bool    // neither placed nor refused: it waits for a slot
}

// decide places a request or refuses it.
func (p *pool) decide(from wire.NodeID, a *wire.PlacementRequest, now time.Time) decision {
	tokens := Cost(int(a.Input), int(a.Output))
	if a.Try <= 1 {
		p.meter.addRequest(a.Org, tokens, now)
	}
	p.meter.ledger.observeSize(tokens, now)
	p.sampleBusy(now)
	p.meter.ledger.idle = p.idleness(now)
	usedPercent := usedSharePercent(p.meter.usedShare(a.Org, now))
	usedShare := p.meter.countedShare(a.Org, now)
	p.preparePace(usedShare, now)
	best := p.choose(from, a, now)
	if best == nil {
		if d, ok := p.awaitSlot(from, a, now); ok {
			return d
		}
		reason := p.noUpstreamReason(a, now)
		p.meter.ledger.addTurned(a.Org, gateWait, tokens, now)
		return decision{retryAfter: p.noUpstreamRetryAfter(a, reason, now), reason: reason, usedShare: usedPercent}
	}
	c := best.best(p.requestTargetMS(a))
	if p.engine != nil {
		refusal, limitMS := p.refusal(a, c, usedShare, now)
		if refusal != nil && c.up != best.cheapest.up {
			c = &best.cheapest
			refusal, limitMS = p.refusal(a, c, usedShare, now)
		}
		if refusal != nil && p.mayRefuse(a) {
			p.meter.ledger.addTurned(a.Org, refusal.gate, tokens, now)
			if c.waitMS == 0 {
				p.meter.ledger.addIdleRefusal(tokens, now)
			}
			return decision{retryAfter: p.backlogRetryAfter(a, c.waitMS, limitMS), reason: refusal.reason, bestWaitMS: c.waitMS, limitMS: limitMS, ownMS: p.learner.Model().Base + c.ownMS, usedShare: usedPercent}
		}
		paced := p.choosePaced(a, best, c, usedShare, now)
		if paced == nil {
			p.meter.ledger.addTurned(a.Org, gatePace, tokens, now)
			return decision{retryAfter: paceRetryAfter(c), reason: ReasonCapacity, bestWaitMS: c.waitMS, limitMS: limitMS, ownMS: p.learner.Model().Base + c.ownMS, usedShare: usedPercent}
		}
		c = paced
		p.meter.addGrant(a.Org, tokens, now)
		p.busy.add(c.ownMS, now)
	}
	p.startRun(from, a, c, tokens, now)
	return decision{choice: c, usedShare: usedPercent}
}

// refusal is why a request should not be placed.
type refusal struct {
	reason Reason
	gate   gate
}

var (
	refusedForWait  = &refusal{ReasonCapacity, gateWait}
	refusedForBusy  = &refusal{ReasonShare, gateBusy}
	refusedForOrder = &refusal{ReasonShare, gateOrder}
)

// refusal returns why a request should not be placed, or nil, and how long it may wait there, in
// milliseconds.
func (p *pool) refusal(a *wire.PlacementRequest, c *choice, usedShare float64, now time.Time) (*refusal, float64) {
	limitMS := p.waitLimit(a, c, usedShare)
	if a.Resumed && a.Version != 0 {
		limitMS = max(limitMS, maxResumeWaitRatio*p.requestTargetMS(a))
		usedShare = 0
	}
	switch {
	case p.countedWaitMS(c, usedShare) > limitMS:
		return refusedForWait, limitMS
	case usedShare < idleFloorRatio && c.waitMS == 0:
		return nil, limitMS
	case p.enginesTooBusy(usedShare, now):
		return refusedForBusy, limitMS
	case p.mustYield(a, now):
		return refusedForOrder, limitMS
	}
	return nil, limitMS
}

// countedWaitMS is the wait that counts against the limit. For an organisation over its
// share it includes the other costs of the upstream, but an engine with nothing to read
// before it accepts everyone.
func (p *pool) countedWaitMS(c *choice, usedShare float64) float64 {
	if usedShare >= 1 && c.waitMS > 0 {
		return c.waitMS + overSharePenaltyFactor*c.penaltyMS
	}
	return c.waitMS
}

// enginesTooBusy reports whether engines spend so much of their time on reading that an
// organisation over its share gets no more.
//
// Load pattern: organisations send several times their shares while others, at or below
// their shares, have streams at the same engines.
func (p *pool) enginesTooBusy(usedShare float64, now time.Time) bool {
	return usedShare >= 1 && !p.disabled.Shares && p.busy.ratio(p.open(now), now) > max(minBusyRatio, maxBusyRatio/math.Sqrt(usedShare))
}

// mustYield reports whether an organisation has to let others go first.
func (p *pool) mustYield(a *wire.PlacementRequest, now time.Time) bool {
	switch {
	case p.disabled.Shares || a.Resumed && a.Version != 0:
		return false
	case p.awaitsSnapshot() && p.meter.capacity > 0:
		return windowTotal(&p.meter.at(a.Org, now).got) >= p.evenPart()
	}
	return p.meter.mustYield(a.Org, now)
}

// mayRefuse reports whether a request may be refused because of the wait. A request that
// has been sent before must not be: its work is half done, or its answer half delivered.
func (p *pool) mayRefuse(a *wire.PlacementRequest) bool {
	return len(a.Avoid) == 0 && !p.disabled.Refusals
}

// startRun records a request at its upstream.
func (p *pool) startRun(from wire.NodeID, a *wire.PlacementRequest, c *choice, tokens float64, now time.Time) {
	r := &run{
		key:          runKey{from, a.No},
		org:          a.Org,
		cost:         tokens,
		work:         c.work,
		prompt:       c.prompt,
		tokens:       privateTokens(int(a.Input), int(a.Output), a.Parts),
		outputTokens: int(a.Output),
		parts:        a.Parts,
		placedAt:     now,
		expectMS:     p.expectedMS(c),
		until:        now.Add(time.Duration(a.DeadlineMS)*time.Millisecond + runGrace),
	}
	if p.engine != nil {
		r.pace = runPace{events: p.eventsOf(int(a.Output)), placedAt: now}
	}
	p.forget(r.key, false, now)
	c.up.placeRun(r, now)
	p.startProbe(r, now)
	p.takeSlot(r, now)
	p.recordColdPlacement(c.up, now)
	if p.overloaded[from] {
		r.entry.MarkSuspect()
	}
	p.runs[r.key] = r
}

// runGrace is how long after its caller's deadline a run is kept when its end was never
// reported.
const runGrace = 500 * time.Millisecond

// requestTargetMS is the time in milliseconds within which the first event is due: what is
// left of the request's own target, or the strictest target of the service if that is
// shorter.
func (p *pool) requestTargetMS(a *wire.PlacementRequest) float64 {
	targetMS := float64(a.TargetMS)
	if a.TargetMS == 0 {
		targetMS = float64(a.DeadlineMS) / 4
	}
	if p.targetMS > 0 {
		targetMS = min(targetMS, p.targetMS)
	}
	return targetMS
}

// waitLimit is how long a request may wait behind others at an engine, in milliseconds.
// usedShare is the use of its organisation's share (see meter.usedShare).
func (p *pool) waitLimit(a *wire.PlacementRequest, c *choice, usedShare float64) float64 {
	targetMS := p.requestTargetMS(a)
	ratio := maxWaitRatio
	urgency := math.Pow(priorityRankWaitFactor, float64(p.urgency.rank(int(a.Priority))))
	if !p.disabled.Shares {
		ratio = waitRatio(usedShare)
	}
	roomMS := targetMS - p.learner.Model().Base - c.ownMS
	if c.ownMS > maxOwnTimeRatio*targetMS {
		return urgency * ratio * targetMS / 2
	}
	return urgency * min(ratio*targetMS, max(roomMS, ratio*targetMS/4))
}

// waitRatio is the ratio of the target that a request may wait, by the use of its
// organisation's share. The less of its share an organisation has used, the longer it may
// wait, so that organisations closer to their shares make room for the others even when
// nobody reaches its share.
//
// Load pattern: engines serve less than the stated capacity. With one limit for all
// organisations under their shares, a flood kept every wait at that limit, and the requests
// accepted there were answered late.
func waitRatio(usedShare float64) float64 {
	if usedShare >= 1 {
		return maxWaitRatioAtShare / usedShare
	}
	return maxWaitRatio + usedShare*(maxWaitRatioAtShare-maxWaitRatio)
}

func (p *pool) noUpstreamReason(a *wire.PlacementRequest, now time.Time) Reason {
	switch {
	case len(p.order) == 0:
		return ReasonNoUpstream
	case !slices.ContainsFunc(p.order, func(u *upstream) bool { return u.inAllowedRegion(a.Regions) }):
		return ReasonRegions
	case p.fullyEvacuated():
		return ReasonEvacuated
	case a.Version != 0 && !slices.ContainsFunc(p.order, func(u *upstream) bool { return u.version == a.Version && !u.closed() }):
		return ReasonStreamVersion
	case p.hasCold(now) && p.open(now) == 0:
		return ReasonCold
	case p.allBackOff(a):
		return ReasonBackoff
	}
	return ReasonCapacity
}

// noUpstreamRetryAfter is the Retry-After time when no upstream accepts the request now.
func (p *pool) noUpstreamRetryAfter(a *wire.PlacementRequest, reason Reason, now time.Time) time.Duration {
	switch reason {
	case ReasonEvacuated, ReasonRegions, ReasonStreamVersion:
		return maxRetryAfter // when that changes is unknown
	case ReasonCold:
		return min(max(p.timeUntilWarm(now), minRetryAfter), maxRetryAfter)
	case ReasonBackoff:
		return max(p.minBackoff(a), minRetryAfter)
	}
	return p.backlogRetryAfter(a, p.minBacklogMS(now), 0)
}

// minBacklogMS is the smallest backlog of all engines, in milliseconds.
func (p *pool) minBacklogMS(now time.Time) float64 {
	lowest := math.Inf(1)
	for _, u := range p.order {
		if u.cache != nil && !u.closed() {
			lowest = min(lowest, u.backlog(p.learner.Model(), now))
		}
	}
	if math.IsInf(lowest, 1) {
		return 0
	}
	return lowest
}

// Bounds on the Retry-After time of a refused request.
const (
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 1500 * time.Millisecond
)

// backlogRetryAfter is the time after which the backlog will have fallen below the
// request's limit.
func (p *pool) backlogRetryAfter(a *wire.PlacementRequest, waitMS, limitMS float64) time.Duration {
	d := time.Duration((waitMS - limitMS) * 1.5 * float64(time.Millisecond))
	return min(max(d, minRetryAfter), maxRetryAfter)
}
