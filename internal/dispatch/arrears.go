package dispatch

import (
	"time"

	"github.com/silverswitch/silverswitch/internal/version"
)

// The order of organisations while some of them are refused something. What one of them is served
// is due to each other one as well, up to what that one asked for. Arrears are what was due and
// was not served. An organisation whose arrears are smaller than another one's by more than a fixed
// slack has to wait, so that of any two that ask on, neither is served more than the other one by
// more than the slack and what is forgotten, over any time.
//
// This is start-time fair queueing (Goyal et al., 1996; Sheng et al., OSDI 2024, for tokens) without
// a queue: arrears are the distance of an organisation's virtual time from the largest one. An
// organisation that asks for little accumulates none, and nobody is charged for a time in which
// others asked for nothing. The order depends neither on a stated capacity nor on what engines
// serve, nor on who decided.
//
// Load pattern: floods that begin, end, begin again and overlap. While the order remembered six
// seconds of grants, the organisation that had a burst was refused everything until that was
// forgotten, and was the least served one then.

const (
	// arrearsForgetting is the time constant with which arrears are forgotten. It bounds what others
	// lose by an organisation that cannot use what they leave to it.
	arrearsForgetting = 3 * time.Second
	arrearsKept       = 1 - float64(shareStep)/float64(arrearsForgetting) // in a step
	// stepsPerSecond is the number of steps in a second.
	stepsPerSecond = int64(time.Second / shareStep)
	// latestSteps is the time, in steps, within which what was asked for can become due, a refusal
	// means that an organisation goes short, and a grant has to start. The current step is part of
	// it, so that it is a second at least.
	latestSteps = stepsPerSecond + 1
	// minShortSteps is in how many of the latest steps an organisation that goes short was refused
	// something: one that has just begun to send is about to be served.
	minShortSteps = 2
	// yieldFloorRatio is the ratio of its share of the stated capacity, or of an even part of what
	// is granted where none is stated, below which an organisation never has to wait for others. It
	// bounds what others lose by an organisation that starts nothing whatever they leave to it.
	yieldFloorRatio = 0.4
	// idleFloorRatio is the same ratio where an engine has nothing to read: who is refused there
	// makes room for nobody.
	idleFloorRatio = 0.55
	// idleSlackSteps is by how many steps of what the best served one gets the slack is larger where
	// engines are idle, so that who goes first does not use them. With what is forgotten, one that
	// goes on at a constant pace is followed by others at one and a half times that pace.
	idleSlackSteps = 1.5
	// From minIdleRatio of idle engines on the slack is larger, from fullIdleRatio on by all of it.
	minIdleRatio, fullIdleRatio = 0.45, 0.75
)

// standing is an organisation's place in the order, in tokens.
type standing struct {
	arrears float64
	short   bool // it was refused something in minShortSteps of the latest steps
	// due is what it has asked for that became due, by step.
	due [ledgerSteps]float64
	// unstarted is what it was granted and has not started, and counted the part of it that counts
	// as served: what was granted in the latest steps.
	unstarted, counted float64
	// Sums of the latest steps up to the one that is replayed.
	latestRequested, latestGranted, latestDue float64
}

// updateOrder computes the arrears of all organisations at the begin of the current step.
func (l *ledger) updateOrder() {
	l.inOrder, l.short, l.pace = l.inOrder[:0], l.short[:0], 0
	for _, r := range l.rows {
		r.standing = standing{}
		l.inOrder = append(l.inOrder, r)
	}
	for age := int64(ledgerSteps) - 1; age > 0; age-- {
		l.replay(age)
	}
	for _, r := range l.inOrder {
		if r.short = l.refusedLately(r) >= minShortSteps; r.short {
			l.short = append(l.short, r)
		}
	}
}

// replay accounts for one step in the standings.
func (l *ledger) replay(age int64) {
	lead, step, left := 0.0, l.ring.slot(age), l.ring.slot(age+latestSteps)
	served := l.served[:0]
	for _, r := range l.inOrder {
		r.latestRequested += r.requested[step]
		r.latestGranted += r.granted[step]
		if age+latestSteps < ledgerSteps {
			r.latestRequested -= r.requested[left]
			r.latestGranted -= r.granted[left]
			r.latestDue -= r.due[left]
		}
		tokens := r.servedIn(step)
		served = append(served, tokens)
		lead = max(lead, tokens-r.arrears)
	}
	for i, r := range l.inOrder {
		r.due[step] = min(lead, max(0, r.latestRequested-r.latestDue))
		r.latestDue += r.due[step]
		r.arrears = arrearsKept * max(0, r.arrears+r.due[step]-served[i])
	}
	l.served = served
	l.pace += (lead - l.pace) / float64(stepsPerSecond)
}

// servedIn returns what counts as served to an organisation in the step that is replayed: what it
// was granted, and of grants that have not started within the latest steps nothing.
func (r *ledgerRow) servedIn(step int) float64 {
	r.unstarted = max(0, r.unstarted+r.granted[step]-r.started[step])
	counted := min(r.unstarted, max(0, r.latestGranted))
	served := r.started[step] + counted - r.counted
	r.counted = counted
	return served
}

// claim returns what an organisation has asked for in the latest steps that has not become due.
func (l *ledger) claim(r *ledgerRow) float64 {
	return max(0, l.latest(&r.requested, int(latestSteps))-l.latest(&r.due, int(latestSteps)))
}

// refusedLately returns in how many of the latest steps an organisation was refused something.
func (l *ledger) refusedLately(r *ledgerRow) int {
	steps := 0
	for age := range latestSteps {
		if step := l.ring.slot(age); r.requested[step] > r.granted[step] {
			steps++
		}
	}
	return steps
}

// slackTokens returns by how many tokens an organisation may be ahead of another one: what the best
// served one gets in a step, and one largest request, which cannot be divided.
func (l *ledger) slackTokens() float64 {
	return l.largestRequest() + l.pace
}

// usedSlack returns how far an organisation is ahead of the one that is furthest behind it, of those
// that go short, as a ratio of the slack, which is larger where engines are idle: from 1 on others go
// first.
func (l *ledger) usedSlack(org version.ID) float64 {
	r := l.rows[org]
	if r == nil {
		return 0
	}
	ahead, now := 0.0, l.ring.slot(0)
	for _, o := range l.short {
		if o != r {
			owed := o.arrears - o.granted[now]
			ahead = max(ahead, min(owed+r.granted[now]-r.arrears, owed+l.claim(o)))
		}
	}
	return ahead / max(1, l.slackTokens()+idleSlackSteps*l.idle*l.pace)
}

// catchUp returns how far an organisation's arrears entitle it to be judged as if it had used no
// more than its share, from 0 to 1.
func (l *ledger) catchUp(org version.ID) float64 {
	r := l.rows[org]
	if r == nil {
		return 0
	}
	return min(1, r.arrears/max(1, l.slackTokens()))
}

// yieldFloor returns the tokens of the window of shares below which an organisation never waits for
// others.
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

// mustYield reports whether an organisation is so far ahead of another one that goes short that
// others go first. The floor applies to the window and to its latest second, so that an organisation
// that has had a burst is not refused everything.
func (m *meter) mustYield(org version.ID, now time.Time) bool {
	m.updateShares(now)
	if m.ledger.usedSlack(org) < 1 {
		return false
	}
	got, lately := &m.usageOf(org).got, 0.0
	for age := range stepsPerSecond {
		lately += got[m.ring.slot(age)]
	}
	return min(windowTotal(got), lately*shareSteps/float64(stepsPerSecond)) >= m.yieldFloor(org)
}

// countedShare is the use of a share by which an organisation's requests may wait and engines may be
// busy. Beyond its share an organisation that is behind others is judged as if it had used less, so
// that it catches up before others have to wait for it.
func (m *meter) countedShare(org version.ID, now time.Time) float64 {
	usedShare := m.usedShare(org, now)
	return min(usedShare, 1+(usedShare-1)*(1-m.ledger.catchUp(org)))
}
