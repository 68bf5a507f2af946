package dispatch

import (
	"time"

	"github.com/silverswitch/silverswitch/internal/version"
)

// Engines may serve less than is stated. Nobody comes to its share then, and what decides is
// the max-min part of what is really given out.
//
// Load pattern: engines at five eighths of what is stated, prompts of half a second, a small
// organisation and one that sends ten times as much. Each engine that came free went to
// whoever came next, and the small one, at a third of its share, was refused as often.

const (
	// minRefusedRatio is the part of what was placed in the window that has to be refused for the
	// wait, of organisations under their shares, for engines to serve less than is stated.
	minRefusedRatio = 0.2
	// maxGrantedRatio is how many times its part of what is given out an organisation may have
	// had before others go first. Nobody is held back where all have had about the same.
	maxGrantedRatio = 1.25
	// minYieldOver is the part of its share under which nobody is held back: the first to be
	// served after an outage has had more than its part of next to nothing.
	minYieldOver = 0.25
)

// updateGrantedShares cuts what was given out in the window while engines serve less than is stated.
func (m *meter) updateGrantedShares(demands []demand) {
	got, refusedUnderShare := 0.0, 0.0
	for _, u := range m.orgs {
		got += windowTotal(&u.got)
		refusedUnderShare += windowTotal(&u.refusedUnderShare)
	}
	m.grantedShares = nil
	if refusedUnderShare > minRefusedRatio*got {
		m.grantedShares = maxMinShares(demands, got)
	}
}

// aboveGrantedShare reports whether an organisation has had so much more than its part of what is
// given out that the others go first.
func (m *meter) aboveGrantedShare(org version.ID, now time.Time) bool {
	m.updateShares(now)
	part, short := m.grantedShares[org]
	return short && windowTotal(&m.usageOf(org).got) > maxGrantedRatio*part
}
