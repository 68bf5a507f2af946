package dispatch

import (
	"math"
	"time"

	"github.com/silverswitch/silverswitch/internal/version"
)

// What is over shares goes to whoever asks, but not to one organisation alone while
// another one waits.

// maxLeadRatio is how many times what another one got that asks for more an organisation may
// have had for what is over its share: under two, so that what was placed and has not begun
// yet, or was told late, does not make it twice as much.
const maxLeadRatio = 1.5

// unmetDemandRatio is how many times what it got an organisation asks for that counts as one that
// waits.
const unmetDemandRatio = 1.5

// minUnmetSeconds is how many seconds in a row an organisation has to have asked for more than
// it got for others to be held back for it: one that asked once may never return, and one
// that has just begun to ask is about to be served.
const minUnmetSeconds = 2

// stepsPerSecond is how many steps of the window are summed. In a single step one large
// request that is served makes up for all that were refused.
const stepsPerSecond = int64(time.Second / shareStep)

// leads reports whether an organisation has had so much more than the least served of
// those that ask for more than they get, that the others go first. Load pattern: two
// organisations flood, one by a router that cannot bring its requests as fast; what is
// over shares all goes to the other, three and a half times as much in six seconds.
func (m *meter) mustYield(org version.ID, now time.Time) bool {
	m.updateShares(now)
	return windowTotal(&m.usageOf(org).got) > maxLeadRatio*m.leastServed
}

// wants reports whether an organisation has asked for more than its share and for more
// than it got, and goes on asking.
func (m *meter) hasUnmetDemand(org version.ID, u *orgUsage) bool {
	asked := windowTotal(&u.asked)
	return asked > m.shares[org] && asked > unmetDemandRatio*windowTotal(&u.got) && m.unmetLongEnough(u)
}

// unmetLongEnough reports whether an organisation has asked for more than it got for some time.
func (m *meter) unmetLongEnough(u *orgUsage) bool { return m.unmetSeconds(u) >= minUnmetSeconds }

// unmetSeconds is for how many of the latest seconds, one after the other, an organisation
// has asked for more than it got.
func (m *meter) unmetSeconds(u *orgUsage) int {
	for second := range shareSteps / stepsPerSecond {
		asked, got := 0.0, 0.0
		for back := range stepsPerSecond {
			i := m.ring.slot(second*stepsPerSecond + back)
			asked += u.asked[i]
			got += u.got[i]
		}
		if asked <= unmetDemandRatio*got {
			return int(second)
		}
	}
	return int(shareSteps / stepsPerSecond)
}

// updateLeastServed finds what the least served organisation got of those that ask for more.
func (m *meter) updateLeastServed() {
	m.leastServed = math.Inf(1)
	for id, u := range m.orgs {
		if m.hasUnmetDemand(id, u) {
			m.leastServed = min(m.leastServed, windowTotal(&u.got))
		}
	}
}
