package dispatch

import (
	"sort"
	"time"

	"gonum.org/v1/gonum/floats"

	"github.com/silverswitch/silverswitch/internal/version"
)

// Window in which an organisation's use is compared with its share, 4 s, in steps.
const (
	shareStep  = 250 * time.Millisecond
	shareSteps = 16
)

// meter measures what each organisation asked for and got in the window, in
// tokens, and cuts capacity between them by max-min fairness: whoever asks for
// less than an even share gets it, the rest share evenly what is left.
type meter struct {
	capacity      float64 // tokens in a window, 0 when unknown
	orgs          map[version.ID]*orgUsage
	ring          ring
	shares        map[version.ID]float64
	recordedUsage recordedUsage
	grantedShares map[version.ID]float64 // parts of what is given out, while engines serve less than is stated
	leastServed   float64                // tokens that the least served one got of those that ask for more
	dirty         bool
}

// tally is one organisation's tokens by step: missed was refused for the wait while it was
// under its share. begun is for the log alone.
type orgUsage struct{ asked, got, refusedUnderShare, started [shareSteps]float64 }

func newMeter(tokensPerSecond float64) *meter {
	m := &meter{
		orgs:          map[version.ID]*orgUsage{},
		shares:        map[version.ID]float64{},
		recordedUsage: newRecordedUsage(),
		ring:          ring{interval: shareStep, size: shareSteps},
	}
	m.setCapacity(tokensPerSecond)
	return m
}

// setCapacity takes what the operators state; it changes while the process runs.
func (m *meter) setCapacity(tokensPerSecond float64) {
	m.capacity = tokensPerSecond * shareStep.Seconds() * shareSteps
	m.dirty = true
}

// advance empties the steps that have left the window.
func (m *meter) advance(now time.Time) int {
	before := m.ring.now
	i := m.ring.advance(now, m.clearStep)
	m.dirty = m.dirty || m.ring.now != before
	return i
}

// empty forgets one step, and organisations that have asked for nothing since.
func (m *meter) clearStep(i int) {
	for id, u := range m.orgs {
		u.asked[i], u.got[i], u.refusedUnderShare[i], u.started[i] = 0, 0, 0, 0
		if windowTotal(&u.asked) == 0 {
			delete(m.orgs, id)
		}
	}
}

func (m *meter) usageOf(org version.ID) *orgUsage {
	u := m.orgs[org]
	if u == nil {
		u = &orgUsage{}
		m.orgs[org] = u
	}
	return u
}

// at returns an organisation's tokens as of a time.
func (m *meter) at(org version.ID, now time.Time) *orgUsage {
	m.advance(now)
	return m.usageOf(org)
}

// asked books a demand.
func (m *meter) addRequest(org version.ID, tokens float64, now time.Time) {
	i := m.advance(now)
	m.usageOf(org).asked[i] += tokens
	m.recordedUsage.add(org, tokens, 0)
}

// grant books what was placed; a negative number takes it back.
func (m *meter) addGrant(org version.ID, tokens float64, now time.Time) {
	i := m.advance(now)
	m.usageOf(org).got[i] += tokens
	m.recordedUsage.add(org, 0, tokens)
}

// miss books what was refused for the wait to an organisation under its share.
func (m *meter) addRefusal(org version.ID, tokens float64, now time.Time) {
	i := m.advance(now)
	m.usageOf(org).refusedUnderShare[i] += tokens
}

// begin books what an engine began.
func (m *meter) addStart(org version.ID, tokens float64, now time.Time) {
	i := m.advance(now)
	if u := m.orgs[org]; u != nil {
		u.started[i] += tokens
	}
}

func windowTotal(steps *[shareSteps]float64) float64 { return floats.Sum(steps[:]) }

// refresh cuts the shares anew when what they rest on has changed.
func (m *meter) updateShares(now time.Time) {
	m.advance(now)
	if m.dirty {
		demands := m.demands()
		m.shares = maxMinShares(demands, m.capacity)
		m.updateLeastServed()
		m.updateGrantedShares(demands)
		m.dirty = false
	}
}

// over returns how far an organisation is over its share: what it got, over its
// max-min share of the capacity. Below 1 it is under its share.
func (m *meter) over(org version.ID, now time.Time) float64 {
	m.updateShares(now)
	share := m.shares[org]
	if share <= 0 {
		return 0
	}
	return windowTotal(&m.usageOf(org).got) / share
}

// demand is what an organisation asked for in the window, in tokens.
type demand struct {
	org    version.ID
	tokens float64
}

// demands returns what organisations asked for, the least first.
func (m *meter) demands() []demand {
	out := make([]demand, 0, len(m.orgs))
	for id, u := range m.orgs {
		out = append(out, demand{id, windowTotal(&u.asked)})
	}
	sort.Slice(out, func(i, j int) bool {
		if out[i].tokens != out[j].tokens {
			return out[i].tokens < out[j].tokens
		}
		return out[i].org < out[j].org
	})
	return out
}

// maxMinShares divides a capacity between demands, the least first (progressive filling). It
// returns what each organisation may use without being over.
func maxMinShares(demands []demand, capacity float64) map[version.ID]float64 {
	out := make(map[version.ID]float64, len(demands))
	left := capacity
	for i, d := range demands {
		even := left / float64(len(demands)-i)
		got := min(d.tokens, even)
		left -= got
		out[d.org] = max(even, got)
	}
	return out
}
