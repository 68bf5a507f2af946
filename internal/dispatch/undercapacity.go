package dispatch

import (
	"time"

	"github.com/silverswitch/silverswitch/internal/version"
)

// Engines may serve less than the stated capacity. No organisation reaches its share then,
// and decisions use the max-min shares of what is actually granted.
//
// Load pattern: engines at five eighths of the stated capacity, prompts of half a second, a
// small organisation and one that sends ten times as much. Each free engine went to the
// next request to arrive, and the small organisation, at a third of its share, was refused
// as often as the other.

const (
	// minRefusedRatio is the ratio of tokens refused because of the wait, to organisations
	// under their shares, to tokens granted in the window above which engines are taken to
	// serve less than the stated capacity.
	minRefusedRatio = 0.2
	// maxGrantedRatio is how many times its share of what is granted an organisation may
	// have used before others go first. Nobody is held back where all have been granted
	// about the same.
	maxGrantedRatio = 1.25
	// minYieldUsedShare is the use of its share below which an organisation is never held back:
	// after an outage, the first to be served has used more than its share of next to
	// nothing.
	minYieldUsedShare = 0.25
)

// updateGrantedShares divides what was granted in the window while engines serve less than
// the stated capacity.
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

// aboveGrantedShare reports whether an organisation has used so much more than its share of
// what is granted that others go first.
func (m *meter) aboveGrantedShare(org version.ID, now time.Time) bool {
	m.updateShares(now)
	share, short := m.grantedShares[org]
	return short && windowTotal(&m.usageOf(org).got) > maxGrantedRatio*share
}
