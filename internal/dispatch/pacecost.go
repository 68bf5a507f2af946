package dispatch

import (
	"time"

	"github.com/silverswitch/silverswitch/internal/core/wire"
	"github.com/silverswitch/silverswitch/internal/dispatch/pace"
)

// Decisions for the pace of running streams: a stream that a prompt makes late counts as cost of
// the engine, and a request that would make at least as many streams late as it adds is refused.
//
// Load pattern: long prompts before engines whose steps take longer than the target for the gap
// between events while they prefill without a break. First events arrive in time, and a fifth of
// the streams are late.

const (
	// paceCostRatio is the cost of one stream that misses its target, as a ratio of the target
	// for the first event: a late stream loses as much as a late first event. The limits on the
	// wait keep first events in time.
	paceCostRatio = 1.0
	// maxCountedHarm bounds the harm that counts as cost, so that the wait still decides
	// between engines that are all full.
	maxCountedHarm = 4.0
	// congestionHold is how long after a gap near the target an engine counts as congested: longer
	// than the stalls of 600 ms in which engines take 2.5 times as long, and the model of the pace
	// learns nothing.
	congestionHold = 900 * time.Millisecond
	// congestedStreamCostMS is the cost in milliseconds of each stream in time at a congested
	// engine. Beside it the prompt's own prefill counts twice, since every stream there waits
	// for it.
	congestedStreamCostMS = 2.0
	// halfShareWaitRatio is waitRatio at half of a share. An organisation that has used half of
	// its share may cause as much harm as its request is worth.
	halfShareWaitRatio = (maxWaitRatio + maxWaitRatioAtShare) / 2
)

// choicePace is the pace expected of a choice. Its zero value is that of an engine at which no
// stream can miss the target.
type choicePace struct {
	harm    float64 // expected number of streams that the prompt makes late
	endsMS  float64 // expected time to the end of the stream
	refused bool    // the harm is not allowed, or the stream would miss its deadline
	roomMS  float64 // until the engine has room for the prompt
}

// preparePace sets for the next decision whether the pace of streams is considered, and how much
// harm is allowed. The allowed harm falls with the use of the organisation's share as the allowed
// wait does, so that while there is not room for all an organisation under its share goes before
// those over theirs.
//
// Nothing is considered without a target, before there are enough samples, or while no stream
// has missed its target.
func (p *pool) preparePace(usedShare float64, now time.Time) {
	p.pace.active = p.pace.targetMS > 0 && p.pace.learner.Model().Known() && !p.disabled.Pace && p.pace.misses.now(now) >= minMisses
	p.pace.avoidCongested = p.pace.active && !p.disabled.GapWarnings && p.pace.misses.now(now) >= max(minCongestionMisses, minMissRatio*p.pace.streams.now(now))
	p.pace.allowedHarm = 1
	if !p.disabled.Shares {
		p.pace.allowedHarm = waitRatio(usedShare) / halfShareWaitRatio
	}
}

// isCongested reports whether a gap between the events of an engine's streams came near the target
// lately. This needs no model: it also sees engines that stall for less than a stream lasts.
//
// Load pattern: engines that take 2.5 times as long for 600 ms at a time, 15% of the time. What
// was placed there meanwhile made a quarter of all streams late, and the next ones were placed
// there too, since first events came in time.
func (u *upstream) isCongested(now time.Time) bool {
	return !u.congestedAt.IsZero() && now.Sub(u.congestedAt) < congestionHold
}

// judgePace works out what a request does to the pace of the streams at an engine, and adds its
// cost. Where an engine that is not congested keeps to the target while it prefills without a
// break, nothing is changed.
func (p *pool) judgePace(c *choice, a *wire.PlacementRequest, now time.Time) {
	if !p.pace.active {
		return
	}
	m, targetMS, u := p.pace.learner.Model(), p.pace.targetMS, c.up
	if p.pace.avoidCongested && u.isCongested(now) {
		c.cost += c.ownMS + congestedStreamCostMS*p.inTimeStreams(u, now)
	}
	slow := u.pace.Slow(now)
	if !m.Restricts(slow, targetMS) {
		return
	}
	reading := p.learner.Model()
	q := pace.Prompt{Slow: slow, BacklogMS: c.waitMS, PrefillMS: c.ownMS, Streams: p.inTimeStreams(u, now), Events: p.eventsOf(int(a.Output)), Busy: u.pace.Busy(now)}
	if prompt := c.prompt; prompt.Fetched > 0 {
		prompt.Fetched = 0 // a fetch does not slow the engine's steps
		q.PrefillMS = reading.Read(prompt) * u.queue.Slow(reading, now)
	}
	harm := m.Harm(&u.pace, q, targetMS, now)
	c.cost += paceCostRatio * p.requestTargetMS(a) * (min(harm, maxCountedHarm) + m.OwnRisk(q, targetMS))
	// A stall may or may not come: it counts as cost, and is no reason for a refusal.
	certain := m
	certain.Stall = 1
	if harm > 0 {
		c.pace.harm = certain.Harm(&u.pace, q, targetMS, now)
	}
	c.pace.endsMS = c.waitMS + reading.Base + c.ownMS + m.StreamMS(q)
	c.pace.refused = c.pace.harm >= p.pace.allowedHarm || c.pace.endsMS > float64(a.DeadlineMS)
	if c.pace.refused {
		c.pace.roomMS = certain.RoomAfterMS(&u.pace, q, targetMS, now)
	}
}

// choosePaced returns the choice for a request: the given one, or if that one makes other
// streams late the cheapest that does not. It returns nil if the request must be refused.
func (p *pool) choosePaced(a *wire.PlacementRequest, best *choices, c *choice, usedShare float64, now time.Time) *choice {
	if !c.pace.refused || p.disabled.PaceRefusals || !p.mayRefuse(a) {
		return c
	}
	if other := &best.paced; other.up != nil {
		if refusal, _ := p.refusal(a, other, usedShare, now); refusal == nil {
			return other
		}
	}
	if c.pace.harm >= p.pace.allowedHarm {
		p.pace.refused++
	} else {
		p.pace.lateEnd++
	}
	return nil
}

// paceRetryAfter is the time until the engine has room for the refused prompt.
func paceRetryAfter(c *choice) time.Duration {
	return min(max(time.Duration(c.pace.roomMS*float64(time.Millisecond)), minRetryAfter), maxRetryAfter)
}
