package dispatch

import (
	"math"
	"time"

	"github.com/silverswitch/silverswitch/internal/version"
)

// What is over shares goes to whoever asks, but not to one organisation alone while
// another one waits.

// mostLead is how many times what another one got that asks for more an organisation may
// have had for what is over its share: under two, so that what was placed and has not begun
// yet, or was told late, does not make it twice as much.
const mostLead = 1.5

// wantsMore is how many times what it got an organisation asks for that counts as one that
// waits.
const wantsMore = 1.5

// goesOnFor is how many seconds in a row an organisation has to have asked for more than
// it got for others to be held back for it: one that asked once may never return, and one
// that has just begun to ask is about to be served.
const goesOnFor = 2

// stepsASecond is how many steps of the window are summed. In a single step one large
// request that is served makes up for all that were refused.
const stepsASecond = int64(time.Second / shareStep)

// leads reports whether an organisation has had so much more than the least served of
// those that ask for more than they get, that the others go first. Load pattern: two
// organisations flood, one by a router that cannot bring its requests as fast; what is
// over shares all goes to the other, three and a half times as much in six seconds.
func (m *meter) leads(org version.ID, now time.Time) bool {
	m.refresh(now)
	return total(&m.of(org).got) > mostLead*m.least
}

// wants reports whether an organisation has asked for more than its share and for more
// than it got, and goes on asking.
func (m *meter) wants(org version.ID, u *tally) bool {
	asked := total(&u.asked)
	return asked > m.shares[org] && asked > wantsMore*total(&u.got) && m.goesOn(u)
}

// goesOn reports whether an organisation has asked for more than it got for some time.
func (m *meter) goesOn(u *tally) bool { return m.askingSeconds(u) >= goesOnFor }

// askingSeconds is for how many of the latest seconds, one after the other, an organisation
// has asked for more than it got.
func (m *meter) askingSeconds(u *tally) int {
	for second := range shareSteps / stepsASecond {
		asked, got := 0.0, 0.0
		for back := range stepsASecond {
			i := m.steps.place(second*stepsASecond + back)
			asked += u.asked[i]
			got += u.got[i]
		}
		if asked <= wantsMore*got {
			return int(second)
		}
	}
	return int(shareSteps / stepsASecond)
}

// findLeast finds what the least served organisation got of those that ask for more.
func (m *meter) findLeast() {
	m.least = math.Inf(1)
	for id, u := range m.orgs {
		if m.wants(id, u) {
			m.least = min(m.least, total(&u.got))
		}
	}
}
