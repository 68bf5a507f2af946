package dispatch

import (
	"math"
	"time"

	"github.com/silverswitch/silverswitch/internal/version"
)

// The rule of fairness: while an organisation is refused something in every second, nobody may
// lead it by more than maxLeadRatio. Only what an organisation has started counts for it, and all
// that it was granted against it, so that grants which are lost, late or never sent cannot hide
// that it goes short. The lead counts from the moment since which the other one goes short, so
// that the rule holds from its first refusal on and nobody is held back for the time before. It
// does not depend on a stated capacity, on who decided, or on what engines serve.

const (
	// maxLeadRatio is how many times what the least served organisation has started another one
	// may have been granted in the same time.
	maxLeadRatio = 1.5
	// leadSlackRequests is the number of largest requests that are added to what the least served
	// organisation has started.
	leadSlackRequests = 1
	// minShortSteps is for how long an organisation has to go short until others are held back for
	// it: one that has just begun to send is about to be served. What others were granted in that
	// time counts.
	minShortSteps = int(stepsPerSecond)
	// yieldFloorRatio is the ratio of its share of the stated capacity, or of an even part of what
	// is granted where none is stated, below which an organisation is never held back. It bounds
	// what others lose by an organisation that starts nothing whatever they leave to it.
	yieldFloorRatio = 0.4
	// stepsPerSecond is the number of steps in a second. Within it an organisation that goes short
	// is refused something.
	stepsPerSecond = int64(time.Second / shareStep)
)

// leadLimit is how many tokens may have been granted to an organisation in a number of latest
// steps, because others that go short have started so little in them.
type leadLimit struct {
	org    version.ID // that has started least
	tokens float64    // for all organisations but that one
	second float64    // for that one
}

var noLimit = leadLimit{tokens: math.Inf(1), second: math.Inf(1)}

// of returns the limit for an organisation.
func (l leadLimit) of(org version.ID) float64 {
	if org == l.org {
		return l.second
	}
	return l.tokens
}

// add takes another organisation that goes short into account.
func (l *leadLimit) add(org version.ID, tokens float64) {
	switch {
	case tokens < l.tokens:
		*l = leadLimit{org, tokens, l.tokens}
	case tokens < l.second:
		l.second = tokens
	}
}

// updateLimits computes the limits by the number of steps since which organisations go short.
func (l *ledger) updateLimits() {
	for i := range l.limits {
		l.limits[i] = noLimit
	}
	slack := leadSlackRequests * l.largestRequest()
	for org, r := range l.rows {
		r.short = false
		steps := l.unmetSteps(r)
		if steps < minShortSteps {
			continue
		}
		allowed := maxLeadRatio * (l.latest(&r.started, steps) + slack)
		if r.short = l.latest(&r.requested, steps) > allowed; r.short {
			l.limits[steps-1].add(org, allowed)
		}
	}
}

// usedLead returns how much of what it may have been granted an organisation was granted, as a
// ratio: 1 or more if others go first, and 0 if nobody else goes short.
func (l *ledger) usedLead(org version.ID) float64 {
	r := l.rows[org]
	if r == nil {
		return 0
	}
	granted, used := 0.0, 0.0
	for age, limit := range l.limits {
		granted += r.granted[l.ring.slot(int64(age))]
		used = max(used, granted/limit.of(org))
	}
	return used
}

// yieldFloor returns the tokens of the window of shares below which an organisation is never held
// back.
func (m *meter) yieldFloor(org version.ID) float64 {
	if m.capacity > 0 {
		return yieldFloorRatio * m.shares[org]
	}
	granted := 0.0
	for _, u := range m.orgs {
		granted += windowTotal(&u.got)
	}
	return yieldFloorRatio * granted / float64(max(1, len(m.orgs)))
}

// mustYield reports whether an organisation leads another one that goes short by so much that
// others go first.
func (m *meter) mustYield(org version.ID, now time.Time) bool {
	m.updateShares(now)
	return m.ledger.usedLead(org) >= 1 && windowTotal(&m.usageOf(org).got) >= m.yieldFloor(org)
}
