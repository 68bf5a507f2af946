package dispatch

import (
	"math"
	"slices"
	"time"

	"github.com/silverswitch/silverswitch/internal/routing"
	"github.com/silverswitch/silverswitch/internal/version"
)

// Cold upstreams. An upstream that has just started can take only a few requests per second,
// from all routers together, and crashes if it gets many more.
//
// Load pattern: a place with twenty engines comes back while forty requests per second are
// placed at each engine, most by one scheduler, some by routers that are cut off from it. The
// sum over all routers must stay below the operators' limit in any second, also while the
// scheduler's role moves from one router to another.
//
// So only a scheduler places requests at cold upstreams, and only if it has had the role for
// long enough that its predecessor's placements are over, and is in contact with most known
// routers. Since two such schedulers may overlap, each may use half of the limit, and what they
// place must be sent soon or not at all. A router that may have missed an update checks an
// upstream's health first.

// ColdRules limit what all routers together send to a cold upstream in any second: its
// service's rate times Overage, plus Slack requests.
type ColdRules struct {
	Overage float64
	Slack   float64
}

// DefaultColdRules allow just the rate.
var DefaultColdRules = ColdRules{Overage: 1}

const (
	// coldWindow is the time over which requests are counted.
	coldWindow = time.Second
	// maxColdSchedulers is how many schedulers may place at cold upstreams at once: a scheduler
	// that is cut off detects it only after quorumWindow, and a fleet that has just started may
	// be split in halves.
	maxColdSchedulers = 2
	// coldSettleDelay is how long a router must have been the scheduler: the window, and the
	// time in which its predecessor's placements are sent.
	coldSettleDelay = coldWindow + maxPlacementTimeout + coldSendTimeout
	// coldSendTimeout is how long after its placement a request may be sent to a cold upstream.
	// A request sent later could add to those placed for the next second.
	coldSendTimeout = 200 * time.Millisecond
	// coldEarlyRatio is the fraction of the interval between placements at the full rate by
	// which one may come early, since requests do not arrive evenly.
	coldEarlyRatio = 0.5
	// coldEndTolerance is how far the routers' views of the end of a cold period may differ:
	// where a datagram is lost, an entry arrives that much later.
	coldEndTolerance = 300 * time.Millisecond
)

// coldState is what is known of a cold upstream beyond its entry, and the recent placements
// there.
type coldState struct {
	until       time.Time // it may be cold until then even if its entry does not say so
	reason      ColdReason
	unconfirmed bool        // it may restart, and has not answered since that was suspected
	answeredAt  time.Time   // last answer
	placed      []time.Time // in the last coldWindow, oldest first
	nextAt      time.Time   // earliest next placement while it is cold
	logged      bool
}

// suspect treats an upstream as cold until a time.
func (c *coldState) suspect(until time.Time, reason ColdReason) {
	if until.After(c.until) {
		c.until, c.reason = until, reason
	}
}

// recordPlacement records a placement.
func (c *coldState) recordPlacement(rate float64, now time.Time) {
	c.dropOld(now)
	c.placed = append(c.placed, now)
	gap := time.Duration(float64(time.Second) / rate)
	from := now.Add(-time.Duration(coldEarlyRatio * float64(gap)))
	if c.nextAt.After(from) {
		from = c.nextAt
	}
	if from.After(now) {
		from = now // it was warm, and got more than its cold rate
	}
	c.nextAt = from.Add(gap)
}

// admits reports whether another placement keeps to the limit of placements in any second.
func (c *coldState) admits(limit int, now time.Time) bool {
	c.dropOld(now)
	return len(c.placed) < limit && !now.Before(c.nextAt)
}

// dropOld drops the placements before the window.
func (c *coldState) dropOld(now time.Time) {
	old := 0
	for old < len(c.placed) && now.Sub(c.placed[old]) >= coldWindow {
		old++
	}
	c.placed = append(c.placed[:0], c.placed[old:]...)
}

// coldUntil returns until when an upstream is taken for cold, and why.
func (u *upstream) coldUntil() (time.Time, ColdReason) {
	if u.inst.ColdUntil.After(u.cold.until) {
		return u.inst.ColdUntil, ColdStated
	}
	return u.cold.until, u.cold.reason
}

// isCold reports whether an upstream is taken for cold for longer than a duration.
func (u *upstream) isCold(longer time.Duration, now time.Time) bool {
	until, _ := u.coldUntil()
	return until.Sub(now) > longer
}

// isCold reports whether an upstream is taken for cold and its service limits cold upstreams.
func (p *pool) isCold(u *upstream, now time.Time) bool {
	return p.cold.RequestsPerSecond > 0 && u.isCold(0, now)
}

// admitsIfCold reports whether an upstream may get another request: it is warm, or this router
// may place another one at it.
func (p *pool) admitsIfCold(u *upstream, now time.Time) bool {
	return !p.isCold(u, now) || u.cold.admits(p.coldLimit, now)
}

// recordColdPlacement records a placement at an upstream whose service limits cold upstreams.
// Placements before it turned cold count too, since the requests may arrive after.
func (p *pool) recordColdPlacement(u *upstream, now time.Time) {
	if p.cold.RequestsPerSecond > 0 {
		u.cold.recordPlacement(p.cold.RequestsPerSecond, now)
	}
}

// hasCold reports whether some upstream that accepts work is cold, so that only the scheduler
// may place at it.
func (p *pool) hasCold(now time.Time) bool {
	return slices.ContainsFunc(p.order, func(u *upstream) bool { return !u.closed() && p.isCold(u, now) })
}

// timeUntilWarm returns the time until some upstream is no longer cold.
func (p *pool) timeUntilWarm(now time.Time) time.Duration {
	shortest := p.cold.Period
	for _, u := range p.order {
		if until, _ := u.coldUntil(); !u.closed() {
			shortest = min(shortest, max(0, until.Sub(now)))
		}
	}
	return shortest
}

// coldLimit returns how many requests per second this router may place at a cold upstream.
func (n *Node) coldLimit(p *pool, now time.Time) int {
	rate := p.cold.RequestsPerSecond
	if rate <= 0 || !n.mayPlaceAtCold(p.id, now) {
		return 0
	}
	allowed := rate*n.settings.Cold.Overage + n.settings.Cold.Slack
	return int(min(max(1, math.Floor(rate)), math.Floor(allowed/maxColdSchedulers)))
}

// prepareColdDecision sets for the next decision how much this router may place at cold
// upstreams, and whether it may not know which are cold.
func (n *Node) prepareColdDecision(p *pool, now time.Time) {
	p.coldLimit, p.mayMissCold = 0, false
	if p.cold.RequestsPerSecond > 0 {
		p.coldLimit, p.mayMissCold = n.coldLimit(p, now), n.mayMissColdStart(now)
	}
}

// mayPlaceAtCold reports whether this router is a scheduler that may place at cold upstreams.
func (n *Node) mayPlaceAtCold(service version.ID, now time.Time) bool {
	schedulingSince, scheduler := n.heartbeats.schedulingSince[service]
	return scheduler && now.Sub(schedulingSince) >= coldSettleDelay && n.schedulerOf(service, now) == n.settings.ID && n.quorum.holds(n, now)
}

// ColdChange says that an upstream is now taken for cold, or no longer.
type ColdChange struct {
	Instance routing.Instance
	Why      ColdReason
	For      time.Duration // 0: it is no longer cold
	Allowed  int           // requests per second that this router may place there
}

func (ColdChange) output() {}

// reportColdChanges reports which upstreams have turned cold or warm.
func (n *Node) reportColdChanges(now time.Time) {
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
				c.Why, c.For, c.Allowed = why, until.Sub(now), n.coldLimit(p, now)
			}
			n.out = append(n.out, c)
		}
	}
}
