package dispatch

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/silverswitch/silverswitch/internal/dispatch/prefill"
	"github.com/silverswitch/silverswitch/internal/version"
)

// Observed capacity. Engines may serve less than operators state. No organisation reaches its
// share of the stated capacity then, and by that share a flood and an organisation that
// requests little are refused alike. While requests of organisations under their shares are
// refused because of the wait, those that have used more than their shares of the observed
// capacity let others go first. The observed capacity is what is granted, or what the model of
// the engines expects if that is more.
//
// Load pattern: engines at five eighths of the stated capacity, prompts of half a second, a
// small organisation and one that sends ten times as much. Each free engine went to the next
// request to arrive, and the small organisation, at a third of its share, was refused as often
// as the other.

const (
	// minRefusedRatio is the ratio of tokens refused because of the wait, to organisations
	// under their stated shares, to tokens granted in the window above which engines are taken
	// to serve less than the stated capacity.
	minRefusedRatio = 0.2
	// maxObservedRatio is how many times its share of what engines serve an organisation may
	// have used before others go first. Nobody is held back where all have been granted about
	// the same: with 1.1 engines at 0.4 of their rate served 2 to 4 in a hundred less in time.
	maxObservedRatio = 1.25
	// modelledRatio is the part of the capacity that the model of the engines expects which
	// engines are taken to serve at least: they do not read without a break.
	modelledRatio = 0.8
	// refusedLatelySteps is the number of steps, including the current one, in which a refusal
	// because of the wait shows that engines still serve less: one and a half seconds.
	refusedLatelySteps = 6
	// minYieldUsedShare is the use of its share of the stated capacity below which an
	// organisation is never held back: after an outage, the first to be served has used more
	// than its share of next to nothing.
	minYieldUsedShare = 0.25
)

// updateObserved divides what engines serve between organisations while requests of
// organisations under their stated shares are refused because of the wait: the observed capacity
// where it is below the stated one, else what was granted.
func (m *meter) updateObserved(demands []demand) {
	got, refusedUnderShare := 0.0, 0.0
	for _, u := range m.orgs {
		got += windowTotal(&u.got)
		refusedUnderShare += windowTotal(&u.refusedUnderShare)
	}
	m.observed, m.observedShares = 0, nil
	if refusedUnderShare <= minRefusedRatio*got || !m.refusedLately() {
		return
	}
	served := got
	if c := max(got, modelledRatio*m.modelled); c < m.capacity && m.isCovered() {
		m.observed, served = c, c
	}
	m.observedShares = maxMinShares(demands, served)
}

// refusedLately reports whether any request of an organisation under its stated share was refused
// because of the wait in the last steps.
//
// Load pattern: all routers restart under load. Refusals of the first second, with a model that
// knows nothing yet, made shares parts of the little that had been granted; for the rest of the
// window requests were refused at idle engines, and so nothing more was granted.
func (m *meter) refusedLately() bool {
	for _, u := range m.orgs {
		for age := range int64(refusedLatelySteps) {
			if u.refusedUnderShare[m.ring.slot(age)] > 0 {
				return true
			}
		}
	}
	return false
}

// isCovered reports whether the window has requests that are a second old. Shortly after the
// first requests little has been granted, however fast engines are.
func (m *meter) isCovered() bool {
	for _, u := range m.orgs {
		for age := stepsPerSecond; age < shareSteps; age++ {
			if u.requested[m.ring.slot(age)] > 0 {
				return true
			}
		}
	}
	return false
}

// updateModelled sets the capacity that the learned model of the engines' prefill expects, for
// prompts of usualTokens of which no part is cached. The model outlasts a scheduler, while the
// window of a new one lacks what the former one granted last.
func (p *pool) updateModelled() {
	const usualTokens = 2000
	ms := p.learner.Model().Read(prefill.PromptOf(usualTokens, 0, usualTokens))
	if ms <= 0 {
		p.meter.modelled = math.Inf(1)
		return
	}
	p.meter.modelled = float64(p.openUpstreams) * usualTokens / ms * float64(shareSteps*shareStep/time.Millisecond)
}

// aboveObservedShare reports whether an organisation has used so much more than its share of
// what engines serve that others go first.
func (m *meter) aboveObservedShare(org version.ID, now time.Time) bool {
	m.updateShares(now)
	share, short := m.observedShares[org]
	return short && windowTotal(&m.usageOf(org).got) > maxObservedRatio*share
}

// refund takes back what was granted to an organisation at a time, in the step of the grant.
//
// Load pattern: callers that leave after 90 ms, and a burst at engines that are behind. Taken
// back in the step of the refund, the tokens were still missing when the step of the grant had
// left the window: an organisation's use and the observed capacity fell below 0.
func (m *meter) refund(org version.ID, tokens float64, grantedAt, now time.Time) {
	m.advance(now)
	m.recordedUsage.add(org, 0, -tokens)
	age := m.ring.now - m.ring.stepOf(grantedAt)
	if u := m.orgs[org]; u != nil && age >= 0 && age < shareSteps {
		u.got[m.ring.slot(age)] -= tokens
	}
	m.ledger.refund(org, tokens, grantedAt, now)
}

// takeOver prepares the model of a service for decisions after another scheduler, whose usage
// is in the window. Without usage there was no other scheduler, or it placed nothing.
func (p *pool) takeOver(now time.Time) {
	if p.engine == nil || p.meter.granted(now) <= 0 {
		return
	}
	p.meter.inferRefusals(now)
	for _, u := range p.order {
		u.queue.MarkTakenOver(now)
	}
}

// inferRefusals takes as refused what organisations under their stated shares requested and
// were not granted. A scheduler replicates what was requested and granted, not what it refused.
//
// Load pattern: three schedulers follow each other within four seconds. Each began with the
// stated shares, and placed for the flood until it had refused enough itself.
func (m *meter) inferRefusals(now time.Time) {
	m.updateShares(now)
	for id, u := range m.orgs {
		if windowTotal(&u.got) >= m.shares[id] {
			continue
		}
		for i := range u.refusedUnderShare {
			u.refusedUnderShare[i] = max(u.refusedUnderShare[i], u.requested[i]-u.got[i])
		}
	}
	m.dirty = true
}

// Capacity is the capacity of a service by which this router, its scheduler, computes shares.
type Capacity struct {
	Service  string `json:"service"`
	Stated   int    `json:"stated_tokens_per_s"`
	Observed int    `json:"observed_tokens_per_s"` // 0 while engines serve the stated capacity
}

// Capacities returns the capacities of the services with engines that this router schedules.
func (n *Node) Capacities(now time.Time) []Capacity {
	var out []Capacity
	for _, p := range n.pools {
		if p.engine != nil && n.schedulerOf(p.id, now) == n.settings.ID {
			p.meter.updateShares(now)
			out = append(out, Capacity{Service: p.service, Stated: perSecond(p.meter.capacity), Observed: perSecond(p.meter.observed)})
		}
	}
	slices.SortFunc(out, func(a, b Capacity) int { return cmp.Compare(a.Service, b.Service) })
	return out
}

// perSecond converts tokens in a window to tokens in a second.
func perSecond(windowTokens float64) int {
	return int(windowTokens / (shareSteps * shareStep).Seconds())
}

// reportCapacity logs when shares begin or cease to be parts of the observed capacity.
func (n *Node) reportCapacity(p *pool, now time.Time) {
	p.meter.updateShares(now)
	if observed := p.meter.observed > 0; observed != p.loggedObserved {
		p.loggedObserved = observed
		n.event(Event{Name: "observed-capacity", Value: uint64(max(0, perSecond(p.meter.observed))), Detail: p.service})
	}
}
