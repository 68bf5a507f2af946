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
	capacity float64 // tokens in a window, 0 when unknown
	orgs     map[version.ID]*tally
	steps    steps
	shares   map[version.ID]float64
	booked   booked
	given    map[version.ID]float64 // parts of what is given out, while engines serve less than is stated
	least    float64                // tokens that the least served one got of those that ask for more
	dirty    bool
}

// tally is one organisation's tokens by step: missed was refused for the wait while it was
// under its share. begun is for the log alone.
type tally struct{ asked, got, missed, begun [shareSteps]float64 }

func newMeter(tokensPerSecond float64) *meter {
	m := &meter{
		orgs:   map[version.ID]*tally{},
		shares: map[version.ID]float64{},
		booked: newBooked(),
		steps:  steps{length: shareStep, kept: shareSteps},
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
	before := m.steps.now
	i := m.steps.advance(now, m.empty)
	m.dirty = m.dirty || m.steps.now != before
	return i
}

// empty forgets one step, and organisations that have asked for nothing since.
func (m *meter) empty(i int) {
	for id, u := range m.orgs {
		u.asked[i], u.got[i], u.missed[i], u.begun[i] = 0, 0, 0, 0
		if total(&u.asked) == 0 {
			delete(m.orgs, id)
		}
	}
}

func (m *meter) of(org version.ID) *tally {
	u := m.orgs[org]
	if u == nil {
		u = &tally{}
		m.orgs[org] = u
	}
	return u
}

// at returns an organisation's tokens as of a time.
func (m *meter) at(org version.ID, now time.Time) *tally {
	m.advance(now)
	return m.of(org)
}

// asked books a demand.
func (m *meter) ask(org version.ID, tokens float64, now time.Time) {
	i := m.advance(now)
	m.of(org).asked[i] += tokens
	m.booked.add(org, tokens, 0)
}

// grant books what was placed; a negative number takes it back.
func (m *meter) grant(org version.ID, tokens float64, now time.Time) {
	i := m.advance(now)
	m.of(org).got[i] += tokens
	m.booked.add(org, 0, tokens)
}

// miss books what was refused for the wait to an organisation under its share.
func (m *meter) miss(org version.ID, tokens float64, now time.Time) {
	i := m.advance(now)
	m.of(org).missed[i] += tokens
}

// begin books what an engine began.
func (m *meter) begin(org version.ID, tokens float64, now time.Time) {
	i := m.advance(now)
	if u := m.orgs[org]; u != nil {
		u.begun[i] += tokens
	}
}

func total(steps *[shareSteps]float64) float64 { return floats.Sum(steps[:]) }

// refresh cuts the shares anew when what they rest on has changed.
func (m *meter) refresh(now time.Time) {
	m.advance(now)
	if m.dirty {
		demands := m.demands()
		m.shares = maxMin(demands, m.capacity)
		m.findLeast()
		m.findGiven(demands)
		m.dirty = false
	}
}

// over returns how far an organisation is over its share: what it got, over its
// max-min share of the capacity. Below 1 it is under its share.
func (m *meter) over(org version.ID, now time.Time) float64 {
	m.refresh(now)
	share := m.shares[org]
	if share <= 0 {
		return 0
	}
	return total(&m.of(org).got) / share
}

// demand is what an organisation asked for in the window, in tokens.
type demand struct {
	org version.ID
	n   float64
}

// demands returns what organisations asked for, the least first.
func (m *meter) demands() []demand {
	out := make([]demand, 0, len(m.orgs))
	for id, u := range m.orgs {
		out = append(out, demand{id, total(&u.asked)})
	}
	sort.Slice(out, func(i, j int) bool {
		if out[i].n != out[j].n {
			return out[i].n < out[j].n
		}
		return out[i].org < out[j].org
	})
	return out
}

// maxMin divides a capacity between demands, the least first (progressive filling). It
// returns what each organisation may use without being over.
func maxMin(demands []demand, capacity float64) map[version.ID]float64 {
	out := make(map[version.ID]float64, len(demands))
	left := capacity
	for i, d := range demands {
		even := left / float64(len(demands)-i)
		got := min(d.n, even)
		left -= got
		out[d.org] = max(even, got)
	}
	return out
}
