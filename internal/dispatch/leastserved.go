package dispatch

import (
	"math"
	"time"

	"github.com/silverswitch/silverswitch/internal/version"
)

// Fairness beyond shares: capacity beyond shares goes to any organisation that requests it,
// but not to one organisation alone while another has unmet demand.

// maxLeadRatio is how many times the tokens of the least served organisation with unmet
// demand another organisation may have been granted before it gets nothing more beyond its
// share. It is below two, so that requests that were placed but not started, or reported
// late, do not make the difference twofold.
const maxLeadRatio = 1.5

// unmetDemandRatio is how many times its granted tokens an organisation must request to
// count as having unmet demand.
const unmetDemandRatio = 1.5

// minUnmetSeconds is how many seconds in a row an organisation must have had unmet demand
// before others are held back for it: an organisation with a single burst may never return,
// and one that has just begun to send is about to be served.
const minUnmetSeconds = 2

// stepsPerSecond is how many steps of the window are summed up to decide on unmet demand.
// In a single step one large request that is served outweighs all that were refused.
const stepsPerSecond = int64(time.Second / shareStep)

// mustYield reports whether an organisation has been granted so much more than the least
// served organisation with unmet demand that others go first.
//
// Load pattern: two organisations flood, one of them through a router that delivers its
// requests more slowly. All capacity beyond shares went to the other one, three and a half
// times as much within six seconds.
func (m *meter) mustYield(org version.ID, now time.Time) bool {
	m.updateShares(now)
	return windowTotal(&m.usageOf(org).got) > maxLeadRatio*m.leastServed
}

// hasUnmetDemand reports whether an organisation has requested more than its share and more
// than it was granted, and continues to do so.
func (m *meter) hasUnmetDemand(org version.ID, u *orgUsage) bool {
	requested := windowTotal(&u.requested)
	return requested > m.shares[org] && requested > unmetDemandRatio*windowTotal(&u.got) && m.unmetLongEnough(u)
}

// unmetLongEnough reports whether an organisation has had unmet demand for long enough that
// others are held back for it.
func (m *meter) unmetLongEnough(u *orgUsage) bool { return m.unmetSeconds(u) >= minUnmetSeconds }

// unmetSeconds counts the latest consecutive seconds in which an organisation requested
// more than it was granted.
func (m *meter) unmetSeconds(u *orgUsage) int {
	for second := range shareSteps / stepsPerSecond {
		requested, got := 0.0, 0.0
		for back := range stepsPerSecond {
			i := m.ring.slot(second*stepsPerSecond + back)
			requested += u.requested[i]
			got += u.got[i]
		}
		if requested <= unmetDemandRatio*got {
			return int(second)
		}
	}
	return int(shareSteps / stepsPerSecond)
}

// updateLeastServed computes the tokens granted to the least served organisation with unmet
// demand.
func (m *meter) updateLeastServed() {
	m.leastServed = math.Inf(1)
	for id, u := range m.orgs {
		if m.hasUnmetDemand(id, u) {
			m.leastServed = min(m.leastServed, windowTotal(&u.got))
		}
	}
}
