package dispatch

import (
	"time"

	"github.com/silverswitch/silverswitch/internal/core/wire"
	"github.com/silverswitch/silverswitch/internal/version"
)

// Observed capacity. Engines may serve less than operators state. No organisation reaches its
// share of the stated capacity then, and by that share a flood and an organisation that
// requests little are refused alike. While requests of organisations under their shares are
// refused because of the wait, shares are therefore parts of what is granted.
//
// Load pattern: engines at five eighths of the stated capacity, prompts of half a second, a
// small organisation and one that sends ten times as much. Each free engine went to the next
// request to arrive, and the small organisation, at a third of its stated share, was refused
// because of waits of 100 to 300 ms that the flood had caused at two thirds of its own.

const (
	// minRefusedRatio is the ratio of tokens refused because of the wait, to organisations
	// under their stated shares, to tokens granted in the window above which engines are taken
	// to serve less than the stated capacity.
	minRefusedRatio = 0.2
	// minObservedLead is how many times its share of the observed capacity an organisation must
	// have been granted to count as having used that share. An organisation with all unmet
	// demand has been granted exactly its share, since the observed capacity is what was
	// granted; with a ratio of 1 it would go last although nobody else waits.
	minObservedLead = 1.1
	// maxGrantedRatio is how many times its share of the observed capacity an organisation may
	// have been granted before others go first, whatever the wait. Nobody is held back where
	// all have been granted about the same.
	maxGrantedRatio = 1.25
	// minYieldUsedShare is the use of its stated share below which the observed capacity does
	// not count for an organisation: after an outage, the first to be served has used more
	// than its share of next to nothing.
	minYieldUsedShare = 0.25
)

// updateObserved divides the observed capacity between organisations while engines serve less
// than the stated capacity.
func (m *meter) updateObserved(demands []demand) {
	got, refusedUnderShare := 0.0, 0.0
	for _, u := range m.orgs {
		got += windowTotal(&u.got)
		refusedUnderShare += windowTotal(&u.refusedUnderShare)
	}
	m.observed, m.observedShares = 0, nil
	if refusedUnderShare > minRefusedRatio*got && got > 0 && got < m.capacity {
		m.observed, m.observedShares = got, maxMinShares(demands, got)
	}
}

// usedShare returns how much of its share an organisation has used: the tokens granted to it as
// a ratio of its max-min share. Below 1 it is under its share, from 1 on it is over. The share
// is one of the stated capacity, unless engines serve less and the organisation has used its
// share of the observed capacity.
func (m *meter) usedShare(org version.ID, now time.Time) float64 {
	stated := m.usedStatedShare(org, now)
	if stated < minYieldUsedShare || stated >= 1 || m.observed == 0 {
		return stated
	}
	if lead := m.observedLead(org); lead >= minObservedLead {
		return max(1, lead/minObservedLead)
	}
	return stated
}

// usedStatedShare is usedShare by the stated capacity.
func (m *meter) usedStatedShare(org version.ID, now time.Time) float64 {
	m.updateShares(now)
	share := m.shares[org]
	if share <= 0 {
		return 0
	}
	return windowTotal(&m.usageOf(org).got) / share
}

// observedLead returns the tokens granted to an organisation as a ratio of its share of the
// observed capacity, 0 while engines serve the stated capacity.
func (m *meter) observedLead(org version.ID) float64 {
	share := m.observedShares[org]
	if share <= 0 {
		return 0
	}
	return windowTotal(&m.usageOf(org).got) / share
}

// aboveObservedShare reports whether an organisation has been granted so much more than its
// share of the observed capacity that others go first.
func (m *meter) aboveObservedShare(org version.ID, now time.Time) bool {
	return m.usedStatedShare(org, now) >= minYieldUsedShare && m.observedLead(org) > maxGrantedRatio
}

// countRefusal counts a refused request as evidence that engines serve less than the stated
// capacity: its organisation is under its stated share, and would have been refused because of
// the wait by the stated capacity too. Other refusals are caused by the observed capacity and
// must not prolong it after engines have recovered.
func (p *pool) countRefusal(a *wire.PlacementRequest, c *choice, tokens float64, reason Reason, usedShare float64, now time.Time) {
	stated := p.meter.usedStatedShare(a.Org, now)
	if stated >= 1 || reason != ReasonCapacity {
		return
	}
	if usedShare > stated && p.countedWaitMS(c, stated) <= p.waitLimit(a, c, stated) {
		return
	}
	p.meter.addRefusal(a.Org, tokens, now)
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
