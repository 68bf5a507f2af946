package dispatch

import (
	"math"
	"slices"
	"time"

	"github.com/silverswitch/silverswitch/internal/routing"
	"github.com/silverswitch/silverswitch/internal/version"
)

// Cold upstreams. One that has just started takes few requests a second, from all routers
// together, and crashes well above that.
//
// Load pattern: a place of twenty engines comes back while forty requests a second are
// placed at each engine, most by one scheduler, some by routers that are cut off from it.
// The sum over all routers must stay under what the operators allow in any second, also
// while the scheduler's role goes from one router to another.
//
// So only a scheduler places at cold upstreams: one that has had the role for long enough
// that its predecessor's placements are over, and that hears most routers it knows of. Where
// two overlap, each has half of what is allowed, and what was placed there is sent soon or
// not at all. A router that may have missed the news asks an upstream's health first.

// ColdRules bound what all routers together send to a cold upstream in any second: its
// service's rate times Overage, plus Slack requests.
type ColdRules struct {
	Overage float64
	Slack   float64
}

// DefaultColdRules allow the rate itself.
var DefaultColdRules = ColdRules{Overage: 1}

const (
	// coldWindow is the time over which the rules count.
	coldWindow = time.Second
	// coldSchedulers is how many schedulers may place at cold upstreams at once: one that is
	// cut off finds that out after heardWithin, or halves of a fleet that has just started.
	coldSchedulers = 2
	// coldSettle is how long a router must have been scheduler: the window, and the time in
	// which its predecessor's placements are sent.
	coldSettle = coldWindow + askMost + coldSendIn
	// coldSendIn is how long after its placement a request may be sent to a cold upstream.
	// What is sent later could meet what is placed for the next second.
	coldSendIn = 200 * time.Millisecond
	// coldSpacing is the part of the time between two placements at the full rate by which
	// one may come early: requests do not come at even times.
	coldSpacing = 0.5
	// coldLate is how far routers' beliefs of the end of a cold time may differ: an entry is
	// heard that much later where a datagram was lost.
	coldLate = 300 * time.Millisecond
)

// coldState is what is believed of an upstream beside what its entry says, and what was
// placed there lately.
type coldState struct {
	until    time.Time // it may be cold until then though its entry does not say so
	why      ColdReason
	unproved bool        // it may start again, and has not answered since
	answered time.Time   // last
	placed   []time.Time // in the last coldWindow, oldest first
	next     time.Time   // of the next placement while it is cold
	logged   bool
}

// suspect takes an upstream for cold until a time.
func (c *coldState) suspect(until time.Time, why ColdReason) {
	if until.After(c.until) {
		c.until, c.why = until, why
	}
}

// place books a placement.
func (c *coldState) place(rate float64, now time.Time) {
	c.forget(now)
	c.placed = append(c.placed, now)
	gap := time.Duration(float64(time.Second) / rate)
	from := now.Add(-time.Duration(coldSpacing * float64(gap)))
	if c.next.After(from) {
		from = c.next
	}
	if from.After(now) {
		from = now // it was warm, and took more than its cold rate
	}
	c.next = from.Add(gap)
}

// has reports whether another placement fits under so many in any second.
func (c *coldState) has(most int, now time.Time) bool {
	c.forget(now)
	return len(c.placed) < most && !now.Before(c.next)
}

func (c *coldState) forget(now time.Time) {
	old := 0
	for old < len(c.placed) && now.Sub(c.placed[old]) >= coldWindow {
		old++
	}
	c.placed = append(c.placed[:0], c.placed[old:]...)
}

// coldUntil is until when an upstream is believed to be cold, and why.
func (u *upstream) coldUntil() (time.Time, ColdReason) {
	if u.inst.ColdUntil.After(u.cold.until) {
		return u.inst.ColdUntil, ColdStated
	}
	return u.cold.until, u.cold.why
}

// isCold reports whether an upstream is believed to be cold, for longer than a time.
func (u *upstream) isCold(longer time.Duration, now time.Time) bool {
	until, _ := u.coldUntil()
	return until.Sub(now) > longer
}

// isCold reports whether an upstream is believed to be cold where that bounds what it gets.
func (p *pool) isCold(u *upstream, now time.Time) bool {
	return p.cold.RequestsPerSecond > 0 && u.isCold(0, now)
}

// coldRoom reports whether an upstream takes another request: while it is cold, within
// what this router may place there.
func (p *pool) coldRoom(u *upstream, now time.Time) bool {
	return !p.isCold(u, now) || u.cold.has(p.coldMost, now)
}

// placedAt books a placement at an upstream whose service bounds what cold ones take.
// Placements before it turned cold count too: they may arrive after.
func (p *pool) placedAt(u *upstream, now time.Time) {
	if p.cold.RequestsPerSecond > 0 {
		u.cold.place(p.cold.RequestsPerSecond, now)
	}
}

// hasCold reports whether some upstream that takes work is cold, so that only the scheduler
// may place there.
func (p *pool) hasCold(now time.Time) bool {
	return slices.ContainsFunc(p.order, func(u *upstream) bool { return !u.closed() && p.isCold(u, now) })
}

// warmIn is how long it takes until some upstream is no longer cold.
func (p *pool) warmIn(now time.Time) time.Duration {
	least := p.cold.Period
	for _, u := range p.order {
		if until, _ := u.coldUntil(); !u.closed() {
			least = min(least, max(0, until.Sub(now)))
		}
	}
	return least
}

// coldMost is how many requests a second this router may place at a cold upstream.
func (n *Node) coldMost(p *pool, now time.Time) int {
	rate := p.cold.RequestsPerSecond
	if rate <= 0 || !n.schedulesColdOnes(p.id, now) {
		return 0
	}
	allowed := rate*n.set.Cold.Overage + n.set.Cold.Slack
	return int(min(max(1, math.Floor(rate)), math.Floor(allowed/coldSchedulers)))
}

// judgeCold prepares a decision: what this router may place at cold upstreams, and whether
// it may not know which are.
func (n *Node) judgeCold(p *pool, now time.Time) {
	p.coldMost, p.blind = 0, false
	if p.cold.RequestsPerSecond > 0 {
		p.coldMost, p.blind = n.coldMost(p, now), n.mayMissNews(now)
	}
}

// schedulesColdOnes reports whether this router is a scheduler that may place at cold
// upstreams.
func (n *Node) schedulesColdOnes(service version.ID, now time.Time) bool {
	since, scheduler := n.beats.since[service]
	return scheduler && now.Sub(since) >= coldSettle && n.schedulerOf(service, now) == n.set.ID && n.quorum.holds(n, now)
}

// ColdChange is a change of what is believed of an upstream.
type ColdChange struct {
	Instance routing.Instance
	Why      ColdReason
	For      time.Duration // 0: it is cold no more
	Allowed  int           // requests a second that this router may place there
}

func (ColdChange) output() {}

// tickCold tells which upstreams are believed to have turned cold, or warm.
func (n *Node) tickCold(now time.Time) {
	for _, p := range n.pools {
		if p.cold.RequestsPerSecond <= 0 {
			continue
		}
		for _, u := range p.order {
			cold := u.isCold(0, now)
			if cold == u.cold.logged {
				continue
			}
			u.cold.logged = cold
			c := ColdChange{Instance: u.inst}
			if cold {
				until, why := u.coldUntil()
				c.Why, c.For, c.Allowed = why, until.Sub(now), n.coldMost(p, now)
			}
			n.out = append(n.out, c)
		}
	}
}
