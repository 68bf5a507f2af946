package dispatch

import (
	"sort"
	"time"

	"gonum.org/v1/gonum/floats"

	"github.com/silverswitch/silverswitch/internal/version"
)

// The sliding window in which an organisation's use is compared with its share: 4 s, in
// steps.
const (
	shareStep  = 250 * time.Millisecond
	shareSteps = 16
)

// meter measures what each organisation requested and was granted in the window, in tokens,
// and divides the capacity between organisations by max-min fairness: an organisation that
// requests less than an even share gets what it requests, and the others share the rest
// evenly.
type meter struct {
	capacity      float64 // stated, in tokens in a window, 0 when unknown
	orgs          map[version.ID]*orgUsage
	ring          ring
	shares        map[version.ID]float64 // of the stated capacity
	recordedUsage recordedUsage
	ledger        ledger
	dirty         bool
}

// orgUsage is the tokens of one organisation by step: requested, granted (got), and started by an
// engine. started is used for logging only.
type orgUsage struct{ requested, got, started [shareSteps]float64 }

func newMeter(tokensPerSecond float64) *meter {
	m := &meter{
		orgs:          map[version.ID]*orgUsage{},
		shares:        map[version.ID]float64{},
		recordedUsage: newRecordedUsage(),
		ring:          ring{interval: shareStep, size: shareSteps},
		ledger:        newLedger(),
	}
	m.setCapacity(tokensPerSecond)
	return m
}

// setCapacity sets the stated capacity, which may change while the process runs.
func (m *meter) setCapacity(tokensPerSecond float64) {
	m.capacity = tokensPerSecond * shareStep.Seconds() * shareSteps
	m.dirty = true
}

// advance clears the steps that have left the window and returns the index of the current
// one.
func (m *meter) advance(now time.Time) int {
	before := m.ring.now
	i := m.ring.advance(now, m.clearStep)
	m.dirty = m.dirty || m.ring.now != before
	return i
}

// clearStep clears one step and forgets organisations that have requested nothing in the
// window.
func (m *meter) clearStep(i int) {
	for id, u := range m.orgs {
		u.requested[i], u.got[i], u.started[i] = 0, 0, 0
		if windowTotal(&u.requested) == 0 {
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

// at returns an organisation's tokens in the window that ends now.
func (m *meter) at(org version.ID, now time.Time) *orgUsage {
	m.advance(now)
	return m.usageOf(org)
}

// addRequest counts requested tokens.
func (m *meter) addRequest(org version.ID, tokens float64, now time.Time) {
	i := m.advance(now)
	m.usageOf(org).requested[i] += tokens
	m.ledger.addRequest(org, tokens, now)
	m.recordedUsage.add(org, tokens, 0)
}

// addGrant counts placed tokens; a negative number takes them back.
func (m *meter) addGrant(org version.ID, tokens float64, now time.Time) {
	i := m.advance(now)
	m.usageOf(org).got[i] += tokens
	m.ledger.addGrant(org, tokens, now)
	m.recordedUsage.add(org, 0, tokens)
}

// addStart counts tokens of requests that an engine has started.
func (m *meter) addStart(org version.ID, tokens float64, now time.Time) {
	i := m.advance(now)
	if u := m.orgs[org]; u != nil {
		u.started[i] += tokens
		m.ledger.addStart(org, tokens, now)
	}
}

// refund takes back what was granted to an organisation at a time, in the step of the grant.
//
// Load pattern: callers that leave after 90 ms, and a burst at engines that are behind. Taken
// back in the step of the refund, the tokens were still missing when the step of the grant had
// left the window: an organisation's use fell below 0.
func (m *meter) refund(org version.ID, tokens float64, grantedAt, now time.Time) {
	m.advance(now)
	m.recordedUsage.add(org, 0, -tokens)
	age := m.ring.now - m.ring.stepOf(grantedAt)
	if u := m.orgs[org]; u != nil && age >= 0 && age < shareSteps {
		u.got[m.ring.slot(age)] -= tokens
	}
	m.ledger.refund(org, tokens, grantedAt, now)
}

// granted returns the tokens granted to all organisations in the window.
func (m *meter) granted(now time.Time) float64 {
	m.advance(now)
	sum := 0.0
	for _, u := range m.orgs {
		sum += windowTotal(&u.got)
	}
	return sum
}

func windowTotal(steps *[shareSteps]float64) float64 { return floats.Sum(steps[:]) }

// updateShares recomputes the shares when their inputs have changed.
func (m *meter) updateShares(now time.Time) {
	m.advance(now)
	if m.dirty {
		m.shares = maxMinShares(m.demands(), m.capacity)
		m.ledger.advance(now)
		m.ledger.updateOrder()
		m.dirty = false
	}
}

// usedShare returns how much of its share an organisation has used: the tokens granted to it as
// a ratio of its max-min share of the capacity. Below 1 it is under its share, from 1 on it
// is over.
func (m *meter) usedShare(org version.ID, now time.Time) float64 {
	m.updateShares(now)
	share := m.shares[org]
	if share <= 0 {
		return 0
	}
	return windowTotal(&m.usageOf(org).got) / share
}

// demand is what an organisation requested in the window, in tokens.
type demand struct {
	org    version.ID
	tokens float64
}

// demands returns what organisations requested, sorted by tokens, the smallest first.
func (m *meter) demands() []demand {
	out := make([]demand, 0, len(m.orgs))
	for id, u := range m.orgs {
		out = append(out, demand{id, windowTotal(&u.requested)})
	}
	sort.Slice(out, func(i, j int) bool {
		if out[i].tokens != out[j].tokens {
			return out[i].tokens < out[j].tokens
		}
		return out[i].org < out[j].org
	})
	return out
}

// maxMinShares divides a capacity between demands, the smallest first (progressive
// filling). It returns how much each organisation may use without being over its share.
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
