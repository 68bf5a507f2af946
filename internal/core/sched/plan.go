package sched

import (
	"maps"
	"slices"
	"sort"
	"time"

	"github.com/silverswitch/silverswitch/internal/core/wire"
	"github.com/silverswitch/silverswitch/internal/version"
)

// Send is a Grants message for a router.
type Send struct {
	To     wire.NodeID
	Grants wire.Grants
}

// Plan grants free slots and returns what to send: replies to reports, new grants, and
// unacknowledged grants that are due to be resent.
func (p *Pool) Plan(now time.Time) []Send {
	p.plannedAt = now
	p.reclaim(now)
	if now.Sub(p.started) >= p.opt.Settle {
		p.grantWaiting(now)
		p.grantCredits(now)
	}
	return p.compose(now)
}

// reclaim releases grants whose lease is over. The router counts the lease from the report that
// the grants answered, which is earlier than when the scheduler received that report. The
// router may have accepted some of the grant numbers and not others, so both sides restart the
// numbering.
func (p *Pool) reclaim(now time.Time) {
	for _, id := range p.routerIDs() {
		rt := p.routers[id]
		if len(rt.out) == 0 || now.Sub(rt.reportedAt) <= rt.longestLease()+leaseMargin {
			continue
		}
		for _, o := range rt.out {
			p.releaseGrant(o, now)
		}
		rt.out = nil
		rt.reset = true
	}
}

// longestLease is the longest lease of the router's unacknowledged grants.
func (rt *router) longestLease() time.Duration {
	for _, o := range rt.out {
		if o.Org != 0 {
			return Lease
		}
	}
	return CreditLease
}

// grantWaiting fills free slots from the backlog, lowest score first. The pool is saturated
// only when requests remain that get no slot: a request that arrives at a free slot is no
// backlog.
func (p *Pool) grantWaiting(now time.Time) {
	waiting := p.waitingAccounts()
	rate := p.poolRate()
	for len(waiting) > 0 {
		a, up := p.next(waiting, rate)
		if a == nil {
			break
		}
		p.virtualTime = max(p.virtualTime, p.minServed(waiting))
		if !p.grantOne(a, up, now) {
			waiting = without(waiting, a)
		}
	}
	p.updateSaturation(now)
}

// updateSaturation notifies every router when the pool becomes saturated, or free again.
func (p *Pool) updateSaturation(now time.Time) {
	for _, a := range p.accounts {
		if a.org != 0 && a.waiting > a.pending {
			p.backlogAt = now
		}
	}
	if saturated := now.Sub(p.backlogAt) < saturatedHold; saturated != p.saturated {
		p.saturated = saturated
		p.replyToAll()
	}
}

// replyToAll sends every router a reply in this round, since the pool has become saturated or
// free.
func (p *Pool) replyToAll() {
	for _, rt := range p.routers {
		rt.sendNow = true
	}
}

func without(accounts []*account, a *account) []*account {
	kept := accounts[:0]
	for _, x := range accounts {
		if x != a {
			kept = append(kept, x)
		}
	}
	return kept
}

func (p *Pool) waitingAccounts() []*account {
	var out []*account
	for _, a := range p.accounts {
		if a.org != 0 && a.waiting > 0 {
			out = append(out, a)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].org < out[j].org })
	return out
}

func (p *Pool) minServed(accounts []*account) float64 {
	lowest := p.served(accounts[0])
	for _, a := range accounts[1:] {
		lowest = min(lowest, p.served(a))
	}
	return lowest
}

// next returns the account with the lowest score that has a request without a grant and a free
// slot at an upstream in its places, and that upstream.
func (p *Pool) next(waiting []*account, rate float64) (*account, *upstream) {
	var best *account
	var bestUp *upstream
	bestScore := 0.0
	for _, a := range waiting {
		if a.waiting <= a.pending {
			continue
		}
		score := p.score(a, rate)
		if best != nil && score >= bestScore {
			continue
		}
		if up := p.leastLoaded(a); up != nil {
			best, bestUp, bestScore = a, up, score
		}
	}
	return best, bestUp
}

// leastLoaded returns the allowed upstream with the largest fraction of free slots, or nil.
func (p *Pool) leastLoaded(a *account) *upstream {
	var best *upstream
	bestFree := 0.0
	for _, id := range p.upstreamsFor(a) {
		u := p.upstreams[id]
		c := p.capacity(u)
		if u.used >= c {
			continue
		}
		if free := float64(c-u.used) / float64(c); best == nil || free > bestFree {
			best, bestFree = u, free
		}
	}
	return best
}

// grantOne grants a slot to the router with the most urgent, then the oldest request. It
// returns false when no router that reported recently has one.
func (p *Pool) grantOne(a *account, u *upstream, now time.Time) bool {
	var best wire.NodeID
	var bestRow *row
	for _, id := range p.routerIDs() {
		rt := p.routers[id]
		r := rt.rows[a.org]
		if rt.reset || r == nil || int(r.waiting) <= rt.pendingFor(a.org) || now.Sub(rt.reportedAt) > maxReportAge {
			continue
		}
		if bestRow == nil || p.precedes(a.org, rt, r, p.routers[best], bestRow) {
			best, bestRow = id, r
		}
	}
	if bestRow == nil {
		return false
	}
	p.issueGrant(p.routers[best], a.org, u, 1, now)
	p.granted++
	return true
}

// precedes reports whether the first router's requests of an organisation go before the
// second's.
func (p *Pool) precedes(org version.ID, x *router, a *row, y *router, b *row) bool {
	px, py := x.pendingFor(org), y.pendingFor(org)
	ux, uy := int(a.urgent) > px, int(b.urgent) > py
	if ux != uy {
		return ux
	}
	return p.weightedAge(a, px) > p.weightedAge(b, py)
}

// weightedAge favours the oldest request. Each unacknowledged grant to the router counts
// against it, so that one old request does not attract every slot there.
func (p *Pool) weightedAge(r *row, pending int) float64 {
	left := float64(int(r.waiting)-pending) / float64(r.waiting)
	return p.plannedAt.Sub(r.oldestArrival).Seconds() * left
}

func (rt *router) pendingFor(org version.ID) int {
	n := 0
	for _, o := range rt.out {
		if o.Org == org {
			n += int(o.N)
		}
	}
	return n
}

// issueGrant numbers a grant and counts its slots as used.
func (p *Pool) issueGrant(rt *router, org version.ID, u *upstream, n int, now time.Time) {
	g := wire.Grant{No: rt.nextNo, Org: org, Upstream: u.def.ID, N: uint32(n)}
	rt.nextNo++
	rt.out = append(rt.out, g)
	rt.sendNow = true
	p.addUsed(org, u.def.ID, n, now)
	p.account(org, now).pending += n
}

// grantCredits spreads half of the spare slots over the active routers while nothing waits, so
// that their next requests start without a round trip to the scheduler.
func (p *Pool) grantCredits(now time.Time) {
	if !p.opt.Credits || p.saturated {
		return
	}
	active := p.activeRouters(now)
	if len(active) == 0 {
		return
	}
	spare := 0
	for _, id := range p.upstreamOrder {
		u := p.upstreams[id]
		spare += max(0, p.capacity(u)-u.used)
	}
	each := min(maxCreditsPerRouter, (spare+p.creditsOut(active))/(2*len(active)))
	for _, id := range active {
		p.topUpCredits(p.routers[id], each, now)
	}
}

func (p *Pool) activeRouters(now time.Time) []wire.NodeID {
	var out []wire.NodeID
	for _, id := range p.routerIDs() {
		if rt := p.routers[id]; !rt.reset && rt.wantsCredits && now.Sub(rt.reportedAt) < maxReportAge {
			out = append(out, id)
		}
	}
	return out
}

func (p *Pool) creditsOut(ids []wire.NodeID) int {
	n := 0
	for _, id := range ids {
		n += p.routers[id].credits()
	}
	return n
}

// credits returns the number of the router's unspent and unacknowledged credits.
func (rt *router) credits() int {
	n := rt.pendingFor(0)
	if row := rt.rows[0]; row != nil {
		for _, h := range row.held {
			n += int(h)
		}
	}
	return n
}

func (p *Pool) topUpCredits(rt *router, target int, now time.Time) {
	if rt.credits() > target/2 {
		return // refill in batches, not one by one
	}
	for n := target - rt.credits(); n > 0; n-- {
		u := p.leastLoadedOf(p.upstreamOrder)
		if u == nil {
			return
		}
		p.issueGrant(rt, 0, u, 1, now)
	}
}

func (p *Pool) leastLoadedOf(ids []version.ID) *upstream {
	return p.leastLoaded(&account{allowedUpstreams: ids})
}

// compose builds the messages that are due.
func (p *Pool) compose(now time.Time) []Send {
	var out []Send
	for _, id := range p.routerIDs() {
		rt := p.routers[id]
		resend := len(rt.out) > 0 && now.Sub(rt.sentAt) >= resendInterval && now.Sub(rt.reportedAt) < Lease
		within := idleReplyInterval
		if p.saturated {
			within = saturatedReplyInterval
		}
		answer := rt.replyDue && (rt.reset || now.Sub(rt.sentAt) >= within)
		if !rt.sendNow && !answer && !resend {
			continue
		}
		rt.replyDue, rt.sendNow = false, false
		rt.sentAt = now
		g := wire.Grants{Pool: p.id, Epoch: rt.epoch, ReportSeq: rt.seq, ReportSentMS: rt.reportSentMS, Saturated: p.saturated, Reset: rt.reset}
		g.List = append(g.List, rt.out...)
		out = append(out, Send{To: id, Grants: g})
	}
	return out
}

// routerIDs returns the routers in sorted order. The result is cached: it is needed for every
// grant, and routers come and go rarely.
func (p *Pool) routerIDs() []wire.NodeID {
	if p.sortedRouters == nil {
		p.sortedRouters = slices.Sorted(maps.Keys(p.routers))
	}
	return p.sortedRouters
}
