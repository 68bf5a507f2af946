package dispatch

import (
	"time"

	"github.com/silverswitch/silverswitch/internal/core/wire"
	"github.com/silverswitch/silverswitch/internal/version"
)

// receive handles a datagram of another router.
func (n *Node) receive(d *wire.Datagram, now time.Time) {
	if m := n.members.Get(d.From); m != nil {
		if d.Inc < m.Inc {
			return // from a former process of the router
		}
		if d.Inc > m.Inc && m.Inc != 0 {
			n.forgetRouters(map[wire.NodeID]bool{d.From: true}, now)
			n.resyncStreams(d.From)
		}
	}
	n.lastReceivedAt = now
	n.handlePeerLeaving(d.From, d.DrainingUpstreams, now)
	for _, s := range n.members.Handle(d, now) {
		n.outbox.Add(s)
	}
	if _, was := n.excluded[d.From]; was {
		delete(n.excluded, d.From)
		clear(n.rankings)
		n.event(Event{Name: "router-heard-again", Router: d.From})
	}
	if d.WantsUpdate {
		n.outbox.To(d.From)
	}
	if d.Join != nil {
		n.resyncStreams(d.From)
		n.outbox.ReplyCrashes(d.From, n.crashes.HeldUpdate(now))
		n.outbox.ReplyParts(d.From, n.crashes.HeldParts(now))
		n.attachStoreState(d.From, now) // it needs a table, and knows no other router yet
	}
	if d.Dispatch != nil {
		n.handleDispatch(d.From, d.Dispatch, now)
	}
	if d.Crashes != nil {
		n.outbox.ReplyCrashes(d.From, n.crashes.HandleUpdate(d.From, d.Crashes, now))
	}
	if d.Parts != nil {
		parts := d.Parts.Delayed(n.members.ReadDelay(d.From))
		n.outbox.ReplyParts(d.From, n.crashes.HandleParts(d.From, parts, now))
	}
}

func (n *Node) handleDispatch(from wire.NodeID, w *wire.Dispatch, now time.Time) {
	n.setOverloaded(from, w.Overloaded)
	n.handlePaceNotes(from, w.PaceNotes, now) // before the notes that end their runs
	n.handleRejections(from, w.Rejected, now)
	for _, note := range w.ProgressNotes {
		n.handleNote(from, note, now)
	}
	for _, u := range w.LocalUsage {
		n.handleLocalUsage(from, u, now)
	}
	takeStreamRequests(w)
	n.handleStreamRecords(w.StreamRecords, now)
	if w.HistoryDropped {
		n.distrustHistory(now)
	}
	n.handleVersionHistories(w, now)
	n.handleVersionOutages(w.VersionOutages, now)
	n.handleVersionFailures(from, w.VersionFailures, now)
	n.handleStreamQueries(from, w.StreamQueries, now)
	n.handleStreamAnswers(from, w.StreamAnswers, now)
	for i := range w.PlacementRequests {
		w.PlacementRequests[i].Backoffs = w.Backoffs
		n.reply(from, &w.PlacementRequests[i], now)
	}
	n.handleRecordedUsage(w.RecordedUsage, now)
	n.handleShareUpdates(w.ShareUpdates, now)
	for _, q := range w.Queued {
		n.handleQueued(from, q, now)
	}
	n.handleStreamReplies(from, w.StreamReplies)
	n.handleElsewhere(from, w.Elsewhere)
	for _, a := range w.PlacementReplies {
		n.handleReply(from, a, now)
	}
	if w.Reading != nil {
		n.handleReading(from, w.Reading, readingSpanOf(w), now)
	}
	if w.Delta != nil {
		wire.SetVersions(w.Delta.Put, w.DeltaVersions)
		w.Delta.Rejected = w.DeltaRejected
		n.handleDelta(from, w.Delta, now)
	}
	if w.Revision != 0 || w.Heartbeat != 0 {
		n.handleStoreState(from, w, now)
	}
	if w.FleetDemand != nil {
		n.handleFleetDemand(from, w.FleetDemand, now)
	}
	if w.Heartbeat != 0 {
		n.handleHeartbeat(from, w, now)
	}
}

func (n *Node) handleNote(from wire.NodeID, note wire.ProgressNote, now time.Time) {
	for _, p := range n.pools {
		r := p.runs[runKey{from, note.No}]
		if r == nil {
			continue
		}
		if note.Event == wire.ProgressFirstEvent {
			n.recordReadParts(r.up.id, r.parts)
			if r.reported && !r.firstEvent {
				n.reportStart(p.id, r.org, r.cost)
			}
			n.recordStream(p, r.stream, r.up.version, now)
		}
		p.note(from, note, now)
		n.placeWaiting(p, now)
		return
	}
	if note.Event == wire.ProgressUnused {
		n.withdrawWaiting(from, note.No)
	}
}

// decideFor decides a placement request of another router. reported says that this router is
// not the service's scheduler, and reports the decision to the scheduler; the other router
// took this one for the scheduler.
//
// A router that decides in place of the scheduler grants nothing beyond shares: only the
// scheduler knows the engines' backlogs, and to this router all engines seem idle. Load
// pattern: an overloaded router took its scheduler for silent; the router that it asked
// instead placed 428 requests of its flood in a second, of which few were started.
func (n *Node) decideFor(from wire.NodeID, p *pool, a *wire.PlacementRequest, now time.Time) (v decision, reported bool) {
	at := n.firstAskedAt(runKey{from, a.No}, now)
	switch b := n.bindStream(p, a, at, now); {
	case b.waits:
		n.confirmation.asked[runKey{from, a.No}] = at
		return decision{reason: ReasonStreamUnknown, retryAfter: confirmingRetryAfter}, false // the router asks again
	case b.reason != ReasonNone:
		return decision{reason: b.reason, retryAfter: n.streamRetryAfter(p, b, now)}, false
	}
	n.countBound(a, from)
	standIn := p.engine != nil && n.schedulerOf(p.id, now) != n.settings.ID
	if usedShare := p.meter.usedShare(a.Org, now); standIn && usedShare >= 1 && p.mayRefuse(a) {
		n.countLocalDecision(p, a, false, now)
		return decision{reason: ReasonShare, retryAfter: minRetryAfter, usedShare: usedSharePercent(usedShare)}, true
	}
	n.prepareColdDecision(p, now)
	n.prepareSlots(p, now)
	v = p.decide(from, a, now)
	n.settleQueue(p, now)
	n.sendShareUpdate(from, p, a.Org, now)
	return v, n.countLocalDecision(p, a, v.choice != nil, now)
}

// reply answers a placement request of another router. A request that is received twice gets
// the same reply.
//
// A router without a table sends no reply, so that the other one decides locally. Load
// pattern: all routers lose power, and some have the table before their scheduler has. The
// scheduler replied that the service had no upstream, and the routers refused their callers.
func (n *Node) reply(from wire.NodeID, a *wire.PlacementRequest, now time.Time) {
	if n.catalogue.Table == nil {
		return
	}
	w := n.work(from)
	p := n.pools[a.Service]
	if p == nil {
		w.PlacementReplies = append(w.PlacementReplies, wire.PlacementReply{No: a.No, Try: a.Try, RetryAfterMS: uint32(maxRetryAfter.Milliseconds()), ReasonCode: uint8(ReasonNoUpstream)})
		return
	}
	if r := p.runs[runKey{from, a.No}]; r != nil && r.try == a.Try {
		w.PlacementReplies = append(w.PlacementReplies, r.reply)
		n.replyStream(from, a, r.up)
		n.replyElsewhere(from, p, a, r.up, now)
		return
	}
	if n.replyIfQueued(from, p, a, now) {
		return
	}
	v, reported := n.decideFor(from, p, a, now)
	switch {
	case v.queued:
		n.replyIfQueued(from, p, a, now)
	case v.choice == nil:
		n.replyRefused(from, a, v)
	default:
		n.replyPlaced(from, p, a, v, reported, now)
	}
}

func (n *Node) replyRefused(to wire.NodeID, a *wire.PlacementRequest, v decision) {
	w := n.work(to)
	w.PlacementReplies = append(w.PlacementReplies, wire.PlacementReply{No: a.No, Try: a.Try, RetryAfterMS: uint32(v.retryAfter.Milliseconds()), ReasonCode: uint8(v.reason),
		WaitMS: uint32(v.bestWaitMS), WaitLimitMS: uint32(v.limitMS), PrefillMS: uint32(v.ownMS), SharePercent: v.usedShare})
}

// replyPlaced replies with a placement, and keeps the reply for a repeated placement request.
func (n *Node) replyPlaced(to wire.NodeID, p *pool, a *wire.PlacementRequest, v decision, reported bool, now time.Time) {
	e := p.expectation(v.choice, now)
	n.replyStream(to, a, v.choice.up)
	n.replyElsewhere(to, p, a, v.choice.up, now)
	ans := wire.PlacementReply{No: a.No, Try: a.Try, Upstream: v.choice.up.id, PrefillTokens: uint32(e.work), WaitMS: uint32(e.waitMS), PrefillMS: uint32(e.ownMS), SharePercent: v.usedShare, Cold: e.cold, CheckHealth: e.needsHealthCheck}
	if v.choice.source != nil {
		ans.CacheSource = v.choice.source.id
	}
	r := p.runs[runKey{to, a.No}]
	r.try, r.reply, r.reported, r.stream = a.Try, ans, reported, streamOf(a, now)
	w := n.work(to)
	w.PlacementReplies = append(w.PlacementReplies, ans)
}

// handleReply handles a reply to a placement request of this router.
func (n *Node) handleReply(from wire.NodeID, a wire.PlacementReply, now time.Time) {
	f := n.inflight[a.No]
	n.recordReplyTime(a.No, a.Try, f, now)
	if f == nil || f.upstreamID != 0 || f.scheduler != from || f.try != a.Try {
		n.Counts.AnswersLate++
		if a.Upstream != 0 && (f == nil || f.scheduler != from || f.try != a.Try) {
			w := n.work(from)
			w.ProgressNotes = append(w.ProgressNotes, wire.ProgressNote{No: a.No, Event: wire.ProgressUnused})
		}
		return
	}
	if a.Upstream == 0 {
		learns := Reason(a.ReasonCode) == ReasonStreamUnknown && a.RetryAfterMS <= uint32(startingRetryAfter.Milliseconds())
		confirms := learns && a.RetryAfterMS <= uint32(confirmingRetryAfter.Milliseconds())
		if confirms && f.awaitFor(maxConfirmWait, now) || learns && f.awaitVersions(now) {
			return
		}
		n.refuse(f, decision{reason: Reason(a.ReasonCode), retryAfter: time.Duration(a.RetryAfterMS) * time.Millisecond, bestWaitMS: float64(a.WaitMS), limitMS: float64(a.WaitLimitMS), ownMS: float64(a.PrefillMS), usedShare: a.SharePercent}, from)
		return
	}
	p, regions := n.pools[f.service], regionIDs(f.req.Regions)
	if p != nil && f.version == 0 && n.mustAskForStream(f, now) {
		n.sendUnused(from, a.No)
		n.refuseStream(f, p, binding{reason: ReasonStreamUnknown}, now) // the scheduler's release knows nothing of versions
		return
	}
	if p == nil || !p.acceptsReply(a, regions, now) || !f.keepsHome(p, p.upstreams[a.Upstream], regions, now) {
		// The scheduler knows an upstream that is unknown here, or does not yet know that it
		// is leaving, evacuated or cold, or that the service has another version.
		w := n.work(from)
		w.ProgressNotes = append(w.ProgressNotes, wire.ProgressNote{No: a.No, Event: wire.ProgressUnused})
		if p == nil {
			n.refuse(f, decision{reason: ReasonNoUpstream, retryAfter: maxRetryAfter}, n.settings.ID)
			return
		}
		f.try++
		n.decideLocally(f, p, now)
		return
	}
	n.assign(f, p.upstreams[a.Upstream], p.fetchSource(a, regions), from, expectation{work: int(a.PrefillTokens), waitMS: int(a.WaitMS), ownMS: int(a.PrefillMS), cold: a.Cold, needsHealthCheck: a.CheckHealth}, now)
}

// fetchSource returns the engine from which to fetch cached parts, or nil if this router knows
// that it must not be used.
func (p *pool) fetchSource(a wire.PlacementReply, regions []version.ID) *upstream {
	u := p.upstreams[a.CacheSource]
	if u == nil || u.evacuated || !u.inAllowedRegion(regions) {
		return nil
	}
	return u
}

// acceptsReply reports whether a request may be sent where the scheduler placed it, as far as
// this router knows.
func (p *pool) acceptsReply(a wire.PlacementReply, regions []version.ID, now time.Time) bool {
	u := p.upstreams[a.Upstream]
	return u != nil && !u.closed() && !p.backoffs.has(u.id, now) && u.inAllowedRegion(regions) && (a.Cold || p.cold.RequestsPerSecond <= 0 || !u.isCold(coldEndTolerance, now))
}
