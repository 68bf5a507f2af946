package dispatch

import (
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/silverswitch/silverswitch/internal/core/wire"
	"github.com/silverswitch/silverswitch/internal/dispatch/slots"
)

// Plain services whose instances state slots. An upstream is sent about as many requests as it
// has slots; the other requests wait in a queue (plainqueue.go). Instances that state no slots
// are treated as before.
//
// Load pattern: three upstreams with 6 slots and a queue of 24 behind these, which reject what
// finds the queue full. With a fixed cost for each request in flight, 17% to 19% of the requests
// that reached them were rejected, and a fifth of the orders were late.

const (
	// maxSlotCover bounds the requests sent beyond the slots of an upstream. The scheduler
	// learns that a slot is free some milliseconds after the upstream has freed it; without any
	// request behind the slots, slots would be idle for that time.
	maxSlotCover = 2
	// minServiceSamples is the number of answers from which on requests are refused because of
	// the wait, and upstreams are taken for silent. A service may take seconds.
	minServiceSamples = 8
	// silenceFactor is the number of service times after which an upstream that answers none
	// of its requests is silent: one request in a hundred takes five times the usual time.
	silenceFactor = 6
	// minSilence is the shortest such time, so that a lost packet is not taken for silence.
	minSilence = 100 * time.Millisecond
	// statedLoadServiceTimes is the number of service times for which a load counts that a
	// router of a large fleet states. Loads are stated every half second or less often there;
	// most of the requests have ended long before the next statement.
	statedLoadServiceTimes = 3
	// lostServiceTimes is the number of service times after which a request without an end no
	// longer counts at an upstream that answers others: its progress note was lost, or the
	// request hangs, and without this it would count until its deadline. One request in a
	// hundred takes five times the usual time, and slow phases last 2.5 times as long.
	lostServiceTimes = 8
	// lostCheckInterval is how long the number of such requests at an upstream is kept, so that a
	// decision does not look at every request in flight.
	lostCheckInterval = 10 * time.Millisecond
	// probeServiceTimes is the number of service times after which a silent upstream gets
	// another request although the last one has not ended: its progress note may be lost.
	probeServiceTimes = 16
	// slownessSampleWeight and maxSlownessSample give how an upstream's slowness follows its
	// answers. Slow phases of 600 ms are seen within a few answers; a single answer that takes
	// five times as long changes little.
	slownessSampleWeight = 0.15
	maxSlownessSample    = 4.0
	minSlotSlowness      = 0.3
	// slotRateTTL is how long the rate at which slots become free is kept.
	slotRateTTL = 50 * time.Millisecond
	// answerMarginMS is the part of a target latency that passes on the network between the
	// caller, its router and the scheduler.
	answerMarginMS = 10.0
	// maxSlotRetryAfterMS bounds the Retry-After time of a request that is refused for its wait.
	maxSlotRetryAfterMS = 5000.0
	// slowPhaseFactor is how many times longer upstreams take in their slow phases. The queue is
	// no longer than what is answered within the target if such a phase begins: with a queue as
	// long as the target, most of what waited in a burst was late (p99 2.4 s, target 300 ms).
	slowPhaseFactor = 2.5
	// maxChargedServiceTimes bounds the slot time that one request is charged. The end of a
	// request whose progress note was lost is known only by its deadline.
	maxChargedServiceTimes = 8
)

// slotPool is the state of a plain service whose instances state slots.
type slotPool struct {
	service slots.Mean // of answers to requests that found a free slot
	held    slots.Mean // from a placement until the slot is known to be free
	usage   slots.Usage
	queue   slots.Queue
	counts  SlotCounts

	shared    bool // this router places the requests of the whole fleet
	routers   int  // live ones
	loadTTL   time.Duration
	statedAt  map[wire.NodeID]time.Time // when each router last stated its loads
	rate      float64                   // slots that become free per millisecond
	open      float64                   // requests that all upstreams may have in flight
	rateAt    time.Time
	reportDue time.Time
	reported  SlotCounts // as of the last report
	overtaken []*slots.Item
}

// SlotCounts are totals of one plain service since the start.
type SlotCounts struct {
	Queued    uint64 `json:"queued"`    // requests that had to wait
	WaitedMS  uint64 `json:"waited_ms"` // by requests that were placed after a wait
	Refused   uint64 `json:"refused"`   // at once, because of the expected wait
	Displaced uint64 `json:"displaced"` // from a full queue, by requests that precede them
	Expired   uint64 `json:"expired"`   // while they waited: their deadlines could no longer be met, or no upstream was left
	Rejected  uint64 `json:"rejected"`  // not run by upstreams, at this router's placements
}

// upstreamSlots is the slot state of one upstream.
type upstreamSlots struct {
	limit      slots.Limit
	answeredAt time.Time
	lost       int // runs without an end that no longer count, as of lostAt
	lostAt     time.Time
	silent     bool // it has answered nothing for long, and gets one request at a time
	probe      *run // that request
	logged     bool // that it is silent
}

// slotData returns the slot state of an upstream. Engines, of which there may be thousands, have
// none.
func (u *upstream) slotData() *upstreamSlots {
	if u.slots == nil {
		u.slots = &upstreamSlots{}
	}
	return u.slots
}

// slotRun is the slot state of one run. Its zero value is a run without a slot.
type slotRun struct {
	at        time.Time // of the placement
	foundFree bool
	chargedMS float64 // slot time counted for the organisation
}

func newSlotPool() *slotPool {
	return &slotPool{statedAt: map[wire.NodeID]time.Time{}}
}

// enableSlots creates the slot state of a plain service when an instance states slots.
func (p *pool) enableSlots(stated int) {
	if p.engine == nil && stated > 0 && p.slots == nil && !p.disabled.PlainSlots {
		p.slots = newSlotPool()
	}
}

// hasSlots reports whether placement counts the slots of an upstream.
func (p *pool) hasSlots(u *upstream) bool { return p.slots != nil && u.inst.Slots > 0 }

// cover returns how many requests beyond its slots an upstream is sent: as many as finish while
// the scheduler does not yet know of free slots. A router that places only its own requests
// knows at once when they end.
func (p *pool) cover(u *upstream) int {
	s := p.slots
	if !s.shared {
		return 0
	}
	unknownMS := max(0, s.held.MS()-s.service.MS())
	return min(max(1, int(math.Ceil(float64(u.inst.Slots)*unknownMS/(s.service.MS()*u.slowFactor)))), maxSlotCover)
}

// slotLimit returns how many requests may be in flight at an upstream, or for a router that
// places only its own requests how many of these.
func (p *pool) slotLimit(u *upstream, now time.Time) int {
	limit := u.slotData().limit.Allowed(u.inst.Slots+p.cover(u), now)
	if p.slots.shared {
		return limit
	}
	// An even part is kept even if others report more than the rest: otherwise routers that
	// arrive first in a flood would keep the callers of all others waiting.
	part := max(1, limit/max(1, p.slots.routers))
	return max(part, limit-p.statedInFlight(u, now))
}

// inFlight returns the requests that count against slotLimit.
func (p *pool) inFlight(u *upstream, now time.Time) int {
	if p.slots.shared {
		return p.running(u, now) + p.statedInFlight(u, now)
	}
	return p.running(u, now)
}

// running returns the requests placed here that are believed to hold a slot of an upstream.
func (p *pool) running(u *upstream, now time.Time) int {
	if now.Sub(u.slotData().lostAt) >= lostCheckInterval {
		u.slotData().lost, u.slotData().lostAt = p.countLost(u, now), now
	}
	return max(0, len(u.runs)-u.slotData().lost)
}

// countLost returns the runs at an upstream that have taken so long, while the upstream answered
// later ones, that they are believed to have ended.
func (p *pool) countLost(u *upstream, now time.Time) int {
	lostAfter := p.serviceTimes(lostServiceTimes * max(1, u.slowFactor))
	n := 0
	for _, r := range u.runs {
		if now.Sub(r.slot.at) > lostAfter && u.slotData().answeredAt.Sub(r.slot.at) > lostAfter/2 {
			n++
		}
	}
	return n
}

// serviceTimes returns the duration of some service times.
func (p *pool) serviceTimes(n float64) time.Duration {
	return time.Duration(n * p.slots.service.MS() * float64(time.Millisecond))
}

// silenceTime is how long an upstream may leave its requests unanswered.
func (p *pool) silenceTime() time.Duration { return max(minSilence, p.serviceTimes(silenceFactor)) }

// statedInFlight returns the requests at an upstream that routers state beyond those placed
// here.
func (p *pool) statedInFlight(u *upstream, now time.Time) int {
	if u.running() <= len(u.runs) {
		return 0
	}
	sum := 0
	for id, usage := range u.usageByRouter {
		if usage.load.Running > 0 && now.Sub(p.slots.statedAt[id]) < p.slots.loadTTL {
			sum += int(usage.load.Running)
		}
	}
	return sum
}

// hasFreeSlot reports whether an upstream may be sent one more request now.
func (p *pool) hasFreeSlot(u *upstream, now time.Time) bool {
	if !p.hasSlots(u) {
		return true
	}
	if p.isSilent(u, now) {
		return u.slotData().probe == nil || p.runs[u.slotData().probe.key] != u.slotData().probe || now.Sub(u.slotData().probe.slot.at) > p.serviceTimes(probeServiceTimes)
	}
	return p.inFlight(u, now) < p.slotLimit(u, now)
}

// isSilent reports whether an upstream has answered nothing for so long that it gets only one
// request at a time until it answers.
func (p *pool) isSilent(u *upstream, now time.Time) bool {
	if u.slotData().silent || p.slots.service.Samples() < minServiceSamples {
		return u.slotData().silent
	}
	// Unanswered requests that were sent before the last answer hang, or their notes were lost.
	i := slices.IndexFunc(u.unread, func(r *run) bool { return r.slot.at.After(u.slotData().answeredAt) })
	u.slotData().silent = i >= 0 && now.Sub(u.unread[i].slot.at) > p.silenceTime()
	return u.slotData().silent
}

// slotCost is the cost of a request at an upstream: the expected time of its answer, and half a
// service time more when all slots are in use, so that upstreams of equal speed fill evenly.
func (p *pool) slotCost(u *upstream, now time.Time) float64 {
	expected := p.slots.service.MS() * u.slowFactor
	inFlight := float64(p.inFlight(u, now))
	used, behind := inFlight/float64(u.inst.Slots), (inFlight+1)/float64(u.inst.Slots)
	cost := expected*max(1, behind) + expected*used/2
	if u.slotData().silent {
		cost += silenceFactor * p.slots.service.MS()
	}
	return cost
}

// takeSlot records that a run takes a slot. The run is in flight already.
func (p *pool) takeSlot(r *run, now time.Time) {
	if p.slots == nil {
		return
	}
	// While all slots are in use, each request is one of those beyond the slots, and finds a slot
	// free or nearly so when it arrives.
	foundFree := p.running(r.up, now)+p.statedInFlight(r.up, now) <= r.up.inst.Slots+p.cover(r.up)
	r.slot = slotRun{at: now, foundFree: foundFree, chargedMS: p.slots.service.MS() * r.up.slowFactor}
	p.slots.usage.Add(r.org, r.slot.chargedMS, now)
	if r.up.slotData().silent {
		r.up.slotData().probe = r
	}
}

// freeSlot records that a run has ended, with an answer or without.
func (p *pool) freeSlot(r *run, answered bool, now time.Time) {
	if p.slots == nil || r.slot.at.IsZero() {
		return
	}
	heldMS := float64(now.Sub(r.slot.at)) / float64(time.Millisecond)
	if answered && r.slot.foundFree && !p.overloaded[r.key.node] {
		p.slots.held.Observe(heldMS)
	}
	p.slots.usage.Add(r.org, min(heldMS, maxChargedServiceTimes*p.slots.service.MS())-r.slot.chargedMS, now)
}

// slotAnswer learns from the time of an answer. It reports whether the service's instances state
// slots.
func (p *pool) slotAnswer(r *run, gotMS float64, now time.Time) bool {
	if p.slots == nil {
		return false
	}
	p.observeService(r.up, gotMS, r.slot.foundFree && !p.overloaded[r.key.node], now)
	return true
}

// observeService learns from an answer of an upstream. Times of requests that had to wait at
// the upstream, or that an overloaded router reports, say nothing about the service.
func (p *pool) observeService(u *upstream, gotMS float64, foundFree bool, now time.Time) {
	u.slotData().answeredAt = now
	u.slotData().silent, u.slotData().probe = false, nil
	if u.ejection.active(now) {
		// It was ejected for requests that took too long in a slow phase, and is not down. The
		// next failure ejects it again, for longer.
		u.ejection.until = now
	}
	if foundFree {
		p.slots.service.Observe(gotMS)
		ratio := min(gotMS/max(p.slots.service.MS(), 1), maxSlownessSample)
		u.slowFactor = max(minSlotSlowness, u.slowFactor+slownessSampleWeight*(ratio-u.slowFactor))
		u.slowSeenAt = now
	}
}

// observeOwnAnswer learns from an answer to a request of this router that another router has
// placed: this router may have to decide next.
func (n *Node) observeOwnAnswer(f *inflightRequest, after time.Duration, now time.Time) {
	p := n.pools[f.service]
	if p == nil || p.slots == nil || f.scheduler == n.settings.ID {
		return
	}
	if u := p.upstreams[f.upstreamID]; u != nil {
		p.observeService(u, float64(after)/float64(time.Millisecond), !n.overloaded, now)
	}
}

// recordRejection records that an upstream has rejected a run as not run. It returns the
// upstream if it is sent less from now on, else nil.
func (p *pool) recordRejection(k runKey, now time.Time) *upstream {
	r := p.runs[k]
	if r == nil || p.slots == nil {
		return nil
	}
	u := r.up
	r.rejected = true
	p.slots.counts.Rejected++
	before := p.slotLimit(u, now)
	u.slotData().limit.Reject(p.running(u, now)+p.statedInFlight(u, now)-1, now)
	u.slotData().answeredAt = now
	u.slotData().silent, u.slotData().probe = false, nil
	if p.slotLimit(u, now) == before {
		return nil
	}
	return u
}

// slotRate returns the slots that become free per millisecond while all are in use.
func (p *pool) slotRate(now time.Time) float64 {
	s := p.slots
	if now.Sub(s.rateAt) < slotRateTTL {
		return s.rate
	}
	s.rate, s.open, s.rateAt = 0, 0, now
	heldMS := max(s.service.MS(), 1)
	if s.held.Samples() > 0 {
		heldMS = max(s.held.MS(), heldMS)
	}
	for _, u := range p.order {
		switch {
		case u.closed() || u.ejection.active(now) || u.inst.Slots <= 0:
		case u.slotData().silent:
			s.open++
			s.rate += 1 / (silenceFactor * heldMS)
		default:
			limit := float64(p.slotLimit(u, now))
			s.open += limit
			s.rate += limit / (heldMS * u.slowFactor)
		}
	}
	return s.rate
}

// slotWaitMS returns the expected wait of a request that is not in the queue, in milliseconds.
func (p *pool) slotWaitMS(it *slots.Item, now time.Time) float64 {
	order, rate := p.slotOrder(now), p.slotRate(now)
	if !it.Repeated {
		rate = order.RateFor(it.Org, rate, p.slots.open)
	}
	return slots.WaitMS(p.slots.queue.Ahead(it, order), rate)
}

// spreadRetryAfter returns a Retry-After time: a time in milliseconds, multiplied by a factor
// from 1 to 1.1 that differs between requests, so that refused callers do not return together.
func spreadRetryAfter(ms float64, from wire.NodeID, no uint64) time.Duration {
	d := xxhash.New()
	_, _ = d.WriteString(string(from)) // writes to a digest never fail
	_, _ = d.Write([]byte{byte(no), byte(no >> 8), byte(no >> 16), byte(no >> 24)})
	factor := 1 + 0.1*float64(d.Sum64()>>11)/(1<<53)
	if math.IsInf(ms, 0) || math.IsNaN(ms) {
		return maxRetryAfter // when a slot is free is unknown
	}
	return time.Duration(min(ms, maxSlotRetryAfterMS) * factor * float64(time.Millisecond))
}

// ageRequest returns a placement request as it would be made after it has waited.
func ageRequest(a *wire.PlacementRequest, waited time.Duration) *wire.PlacementRequest {
	ms := uint32(max(0, waited.Milliseconds()))
	out := *a
	out.TargetMS -= min(ms, out.TargetMS)
	out.DeadlineMS -= min(ms, out.DeadlineMS)
	out.Backoffs = nil
	for _, b := range a.Backoffs {
		if b.ForMS > ms {
			out.Backoffs = append(out.Backoffs, wire.Backoff{Upstream: b.Upstream, ForMS: b.ForMS - ms})
		}
	}
	return &out
}

// acceptsWhenFree reports whether some upstream would accept a request if it had a free slot.
func (p *pool) acceptsWhenFree(a *wire.PlacementRequest, includeEjected bool, now time.Time) bool {
	for _, u := range p.order {
		if u.accepts(a, includeEjected, now) && p.admitsIfCold(u, now) && (includeEjected || !p.failedLast(u, a, now)) {
			return true
		}
	}
	return false
}

// slotsExhausted reports whether requests wait for slots, so that a search beyond the candidates
// would find none. The search of a pool of thousands of upstreams takes long.
func (p *pool) slotsExhausted() bool { return p.slots != nil && p.slots.queue.Len() > 0 }

// itemOf returns a request as it waits in the queue.
func (p *pool) itemOf(from wire.NodeID, a *wire.PlacementRequest, now time.Time) *slots.Item {
	return &slots.Item{
		Key:      slots.Key{Node: from, No: a.No},
		Org:      a.Org,
		Priority: p.urgency.rank(int(a.Priority)),
		Repeated: !p.mayRefuse(a),
		Target:   now.Add(time.Duration(p.requestTargetMS(a)*float64(time.Millisecond)) - answerMarginMS*time.Millisecond),
		Deadline: now.Add(time.Duration(a.DeadlineMS) * time.Millisecond),
		Since:    now,
		Request:  a,
	}
}

func (p *pool) slotOrder(now time.Time) slots.Order {
	return slots.Order{Usage: &p.slots.usage, ServiceMS: p.slots.service.MS(), Now: now}
}

// awaitSlot decides on a request for which no slot is free: it waits, or is refused because of
// the expected wait. ok is false if slots are not what it lacks.
func (p *pool) awaitSlot(from wire.NodeID, a *wire.PlacementRequest, now time.Time) (d decision, ok bool) {
	if p.slots == nil || !p.acceptsWhenFree(a, false, now) {
		return decision{}, false
	}
	s := p.slots
	it, order, rate := p.itemOf(from, a, now), p.slotOrder(now), p.slotRate(now)
	waitMS := p.slotWaitMS(it, now)
	limitMS := max(0, p.requestTargetMS(a)-s.service.MS()-answerMarginMS)
	d = decision{reason: ReasonCapacity, bestWaitMS: math.Min(waitMS, float64(a.DeadlineMS)), limitMS: limitMS, ownMS: s.service.MS(), retryAfter: spreadRetryAfter(waitMS, from, a.No)}
	if !it.Repeated && waitMS > limitMS && s.service.Samples() >= minServiceSamples {
		s.counts.Refused++
		return d, true
	}
	s.queue.Push(it)
	if last := s.queue.Displaced(order, slots.MaxLen(rate, p.queueableMS(a))); last != nil {
		s.queue.Remove(last.Key)
		if last == it {
			s.counts.Refused++
			return d, true
		}
		s.counts.Displaced++
		s.overtaken = append(s.overtaken, last)
	}
	s.counts.Queued++
	d.queued = true
	return d, true
}

// queueableMS returns the wait in milliseconds that the queue may hold in front of a request.
func (p *pool) queueableMS(a *wire.PlacementRequest) float64 {
	return max(0, (p.requestTargetMS(a)-answerMarginMS)/slowPhaseFactor-p.slots.service.MS())
}

// releaseRouter drops what waits for routers that are gone.
func (p *pool) releaseRouters(gone map[wire.NodeID]bool) {
	if p.slots == nil {
		return
	}
	for _, it := range append([]*slots.Item(nil), p.slots.queue.Items()...) {
		if gone[it.Key.Node] {
			p.slots.queue.Remove(it.Key)
		}
	}
	for id := range gone {
		delete(p.slots.statedAt, id)
	}
}

// slotState returns an upstream's slots for status pages, nil if none are stated.
func (p *pool) slotState(u *upstream, now time.Time) *SlotState {
	if !p.hasSlots(u) {
		return nil
	}
	return &SlotState{Stated: u.inst.Slots, Allowed: p.slotLimit(u, now), InFlight: p.inFlight(u, now), ServiceMS: p.slots.service.MS() * u.slowFactor, Silent: u.slotData().silent}
}

// SlotState is the use of a plain upstream's slots, as this router knows it.
type SlotState struct {
	Stated    int     `json:"stated"`
	Allowed   int     `json:"allowed"` // requests in flight that this router allows
	InFlight  int     `json:"in_flight"`
	ServiceMS float64 `json:"service_ms"` // learned time of one answer
	Silent    bool    `json:"silent"`
}

// SlotStatus is the state of the waiting queues at this router, summed over services.
type SlotStatus struct {
	Waiting int `json:"waiting"` // now
	SlotCounts
}

// SlotStatus returns the state of the waiting queues, for status pages and metrics.
func (n *Node) SlotStatus() SlotStatus {
	var out SlotStatus
	for _, p := range n.pools {
		if p.slots == nil {
			continue
		}
		out.Waiting += p.slots.queue.Len()
		out.SlotCounts = out.plus(p.slots.counts)
	}
	return out
}

func (c SlotCounts) plus(o SlotCounts) SlotCounts {
	return SlotCounts{c.Queued + o.Queued, c.WaitedMS + o.WaitedMS, c.Refused + o.Refused, c.Displaced + o.Displaced, c.Expired + o.Expired, c.Rejected + o.Rejected}
}

func (c SlotCounts) minus(o SlotCounts) SlotCounts {
	return SlotCounts{c.Queued - o.Queued, c.WaitedMS - o.WaitedMS, c.Refused - o.Refused, c.Displaced - o.Displaced, c.Expired - o.Expired, c.Rejected - o.Rejected}
}
