package dispatch

import (
	"slices"
	"time"

	"github.com/silverswitch/silverswitch/internal/core/wire"
	"github.com/silverswitch/silverswitch/internal/dispatch/slots"
)

// The waiting queue of plain services with slots: at the scheduler for the whole fleet, at each
// router for its own requests where routers decide by themselves.

const (
	// queuedWaitFactor and queuedWaitSlack give how long a router is told that its request
	// waits, by the expected wait. After that the router asks again, so that a scheduler that
	// has died is noticed long before the membership reports it.
	queuedWaitFactor = 2
	queuedWaitSlack  = 50 * time.Millisecond
	// maxToldDoublings bounds how often the told wait doubles for a request that waits on. One
	// that was overtaken until it is late may wait for seconds.
	maxToldDoublings = 4
	// maxPlacementTries bounds the waiting requests that are tried in one pass. Only requests
	// that may not run at the upstreams with free slots are tried in vain.
	maxPlacementTries = 16
	slotReportPeriod  = time.Second
)

// SlotReport reports on the requests of a plain service that waited for slots here, since the
// last report.
type SlotReport struct {
	Service                               string
	Waiting, InFlight, Allowed, Upstreams int // now
	Silent                                int // upstreams
	ServiceMS, HeldMS                     float64
	Since                                 SlotCounts
}

func (SlotReport) output() {}

// prepareSlots sets what a slot decision depends on beyond the pool.
func (n *Node) prepareSlots(p *pool, now time.Time) {
	s := p.slots
	if s == nil {
		return
	}
	s.shared = n.needsScheduler(p, now) && n.schedulerOf(p.id, now) == n.settings.ID && n.KnowsFleet(now)
	s.routers = len(n.members.Live(true))
	s.loadTTL = 2 * heartbeatPeriod(meshMaxRouters)
	if n.isLarge() {
		s.loadTTL = p.serviceTimes(statedLoadServiceTimes)
	}
}

// placeWaiting places waiting requests while slots are free.
func (n *Node) placeWaiting(p *pool, now time.Time) {
	if p.slots == nil || p.slots.queue.Len() == 0 {
		return
	}
	n.prepareSlots(p, now)
	n.prepareColdDecision(p, now)
	for p.anyFreeSlot(now) && n.placeOneWaiting(p, now) {
	}
}

// anyFreeSlot reports whether some upstream may have a free slot.
func (p *pool) anyFreeSlot(now time.Time) bool {
	if !p.isSmall() {
		return true // choose looks at a few upstreams
	}
	return slices.ContainsFunc(p.order, func(u *upstream) bool {
		return !u.closed() && !u.ejection.active(now) && p.hasFreeSlot(u, now)
	})
}

// placeOneWaiting places the first waiting request that an upstream accepts now.
func (n *Node) placeOneWaiting(p *pool, now time.Time) bool {
	for limit := 1; ; limit = maxPlacementTries {
		list := p.slots.queue.First(p.slotOrder(now), limit)
		for _, it := range list {
			a := ageRequest(it.Request, now.Sub(it.Since))
			if best := p.choose(it.Key.Node, a, now); best != nil {
				p.slots.queue.Remove(it.Key)
				n.placeItem(p, it, a, &best.cheapest, now)
				return true
			}
			if len(a.Avoid)+len(a.Regions)+len(a.Backoffs) == 0 && a.Version == 0 {
				return false // it may run anywhere: no slot is free for the others either
			}
		}
		if limit == maxPlacementTries || len(list) < limit {
			return false
		}
	}
}

// placeItem places a request that has waited. It is removed from the queue already.
func (n *Node) placeItem(p *pool, it *slots.Item, a *wire.PlacementRequest, c *choice, now time.Time) {
	f := n.inflight[it.Key.No]
	own := it.Key.Node == n.settings.ID
	if own && (f == nil || f.upstreamID != 0 || f.try != a.Try) {
		return
	}
	p.slots.counts.WaitedMS += uint64(now.Sub(it.Since).Milliseconds())
	p.startRun(it.Key.Node, a, c, Cost(int(a.Input), int(a.Output)), now)
	if own {
		f.queued = false
		n.assign(f, c.up, nil, n.settings.ID, p.expectation(c, now), now)
		return
	}
	n.replyPlaced(it.Key.Node, p, a, decision{choice: c}, false, now)
}

// settleQueue refuses the requests that were displaced from a full queue.
func (n *Node) settleQueue(p *pool, now time.Time) {
	if p.slots == nil || len(p.slots.overtaken) == 0 {
		return
	}
	list := p.slots.overtaken
	p.slots.overtaken = nil
	for _, it := range list {
		n.refuseItem(p, it, now)
	}
}

// refuseItem refuses a request that has waited. It is removed from the queue already.
func (n *Node) refuseItem(p *pool, it *slots.Item, now time.Time) {
	waitMS := p.slotWaitMS(it, now)
	v := decision{reason: ReasonCapacity, bestWaitMS: min(waitMS, float64(it.Request.DeadlineMS)), ownMS: p.slots.service.MS(), retryAfter: spreadRetryAfter(waitMS, it.Key.Node, it.Key.No)}
	if !p.acceptsWhenFree(it.Request, true, now) {
		v.reason = p.noUpstreamReason(it.Request, now)
		v.retryAfter = p.noUpstreamRetryAfter(it.Request, v.reason, now)
	}
	if it.Key.Node != n.settings.ID {
		n.replyRefused(it.Key.Node, it.Request, v)
		return
	}
	if f := n.inflight[it.Key.No]; f != nil && f.upstreamID == 0 && f.try == it.Request.Try {
		n.refuse(f, v, n.settings.ID)
	}
}

// replyQueued tells a router that its request waits.
func (n *Node) replyQueued(to wire.NodeID, p *pool, it *slots.Item, now time.Time) {
	waitMS := p.slotWaitMS(it, now)
	told := (queuedWaitFactor*min(waitMS, 1e6) + float64(queuedWaitSlack.Milliseconds())) * float64(int(1)<<min(it.Told, maxToldDoublings))
	it.Told++
	left := max(0, it.Deadline.Sub(now).Milliseconds())
	w := n.work(to)
	w.Queued = append(w.Queued, wire.QueuedRequest{No: it.Key.No, Try: it.Request.Try, WaitMS: uint32(min(told, float64(left)))})
}

// replyIfQueued answers a placement request that was received before and still waits.
func (n *Node) replyIfQueued(from wire.NodeID, p *pool, a *wire.PlacementRequest, now time.Time) bool {
	if p.slots == nil {
		return false
	}
	it := p.slots.queue.Get(slots.Key{Node: from, No: a.No})
	if it == nil {
		return false
	}
	if it.Request.Try != a.Try {
		p.slots.queue.Remove(it.Key)
		return false
	}
	n.replyQueued(from, p, it, now)
	return true
}

// withdrawWaiting removes a waiting request whose router no longer wants it.
func (n *Node) withdrawWaiting(from wire.NodeID, no uint64) {
	for _, p := range n.pools {
		if p.slots != nil && p.slots.queue.Remove(slots.Key{Node: from, No: no}) != nil {
			return
		}
	}
}

// handleQueued handles the message that a request of this router waits at its scheduler.
func (n *Node) handleQueued(from wire.NodeID, q wire.QueuedRequest, now time.Time) {
	f := n.inflight[q.No]
	if f == nil || f.scheduler != from {
		n.sendUnused(from, q.No)
		return
	}
	if f.upstreamID != 0 || f.try != q.Try {
		return
	}
	if !f.queued {
		n.replyRTT.observe(now.Sub(f.requestedAt))
	}
	f.queued = true
	f.waitUntil = now.Add(min(time.Duration(q.WaitMS)*time.Millisecond, max(0, f.req.Deadline.Sub(now))))
}

// sendUnused tells a router that a placement, or a place in its queue, is not wanted.
func (n *Node) sendUnused(to wire.NodeID, no uint64) {
	w := n.work(to)
	w.ProgressNotes = append(w.ProgressNotes, wire.ProgressNote{No: no, Event: wire.ProgressUnused})
}

// leaveQueue withdraws a request of this router that has no upstream from where it may wait. If
// its scheduler has placed it in the meantime, the slot is free again.
func (n *Node) leaveQueue(f *inflightRequest) {
	p := n.pools[f.service]
	if f.upstreamID != 0 || p == nil || p.slots == nil || f.scheduler == "" {
		return
	}
	f.queued = false
	if f.scheduler == n.settings.ID {
		p.slots.queue.Remove(slots.Key{Node: n.settings.ID, No: f.req.ID})
		return
	}
	n.sendUnused(f.scheduler, f.req.ID)
}

// waitsForSlot reports whether a request without an upstream was told to wait, and looks after
// requests whose wait is over or whose scheduler is lost.
func (n *Node) waitsForSlot(f *inflightRequest, now time.Time) bool {
	if !f.queued {
		return false
	}
	if f.scheduler == n.settings.ID {
		p := n.pools[f.service]
		f.queued = p != nil && p.slots != nil && p.slots.queue.Get(slots.Key{Node: n.settings.ID, No: f.req.ID}) != nil
		return f.queued
	}
	_, silent := n.excluded[f.scheduler]
	switch {
	case silent || !slices.Contains(n.members.Live(true), f.scheduler):
		n.leaveQueue(f)
		n.findPlacement(f, now)
	case now.Before(f.waitUntil):
	case n.schedulerOf(f.service, now) != f.scheduler:
		n.leaveQueue(f)
		n.findPlacement(f, now)
	default:
		f.queued = false
		f.requestedAt = now
		n.Counts.AskedAgain++
		n.sendPlacementRequest(f, now)
	}
	return true
}

// noteRejection turns the local event of a rejection into what the wire carries: a failure, and
// beside it the request's number in a field of its own, which older routers ignore.
func (n *Node) noteRejection(f *inflightRequest, note *wire.ProgressNote, now time.Time) {
	if note.Event != wire.ProgressRejected {
		return
	}
	note.Event = wire.ProgressFailed
	p := n.pools[f.service]
	if p == nil || p.slots == nil {
		return
	}
	n.Counts.Rejected++
	if f.scheduler == n.settings.ID {
		n.handleRejection(p, runKey{n.settings.ID, f.req.ID}, now)
		return
	}
	n.rejections[f.scheduler] = append(n.rejections[f.scheduler], f.req.ID)
}

// handleRejections handles the runs of another router that upstreams rejected.
func (n *Node) handleRejections(from wire.NodeID, numbers []uint64, now time.Time) {
	for _, no := range numbers {
		for _, p := range n.pools {
			n.handleRejection(p, runKey{from, no}, now)
		}
	}
}

func (n *Node) handleRejection(p *pool, k runKey, now time.Time) {
	if u := p.recordRejection(k, now); u != nil {
		n.event(Event{Name: "upstream-slots-lowered", Router: k.node, Detail: u.inst.ID, Value: uint64(p.slotLimit(u, now))})
	}
}

// logSilence logs upstreams that have become silent, or answer again.
func (n *Node) logSilence(p *pool) {
	for _, u := range p.order {
		if u.slotData().silent == u.slotData().logged {
			continue
		}
		u.slotData().logged = u.slotData().silent
		name := "upstream-answers-again"
		if u.slotData().silent {
			name = "upstream-silent"
		}
		n.event(Event{Name: name, Detail: u.inst.ID})
	}
}

// tickSlots places and expires waiting requests. Most placements follow a progress note; a tick
// covers slots that become free otherwise.
func (n *Node) tickSlots(now time.Time) {
	for _, p := range n.pools {
		if p.slots == nil {
			continue
		}
		n.placeWaiting(p, now)
		n.expireWaiting(p, now)
		n.reportSlots(p, now)
	}
}

// expireWaiting refuses waiting requests that can no longer be answered by their deadlines, or for
// which no upstream is left.
func (n *Node) expireWaiting(p *pool, now time.Time) {
	if p.slots.queue.Len() == 0 {
		return
	}
	service := p.serviceTimes(1)
	for _, it := range slices.Clone(p.slots.queue.Items()) {
		if now.Add(service).Before(it.Deadline) && p.acceptsWhenFree(it.Request, true, now) {
			continue
		}
		p.slots.queue.Remove(it.Key)
		p.slots.counts.Expired++
		n.refuseItem(p, it, now)
	}
}

// reportSlots reports once a second on a service for which requests waited, or were refused or
// rejected.
func (n *Node) reportSlots(p *pool, now time.Time) {
	s := p.slots
	if now.Before(s.reportDue) {
		return
	}
	s.reportDue = now.Add(slotReportPeriod)
	n.logSilence(p)
	since := s.counts.minus(s.reported)
	if since == (SlotCounts{}) && s.queue.Len() == 0 {
		return
	}
	s.reported = s.counts
	n.prepareSlots(p, now)
	r := SlotReport{Service: p.service, Waiting: s.queue.Len(), Upstreams: len(p.order), ServiceMS: s.service.MS(), HeldMS: s.held.MS(), Since: since}
	for _, u := range p.order {
		if u.closed() || !p.hasSlots(u) {
			continue
		}
		r.InFlight += p.inFlight(u, now)
		r.Allowed += p.slotLimit(u, now)
		if u.slotData().silent {
			r.Silent++
		}
	}
	n.out = append(n.out, r)
}
