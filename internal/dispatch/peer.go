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
		}
	}
	n.lastReceivedAt = now
	n.handlePeerLeaving(d.From, d.Drains, now)
	for _, s := range n.members.Hear(d, now) {
		n.outbox.Post(s)
	}
	if _, was := n.silent[d.From]; was {
		delete(n.silent, d.From)
		clear(n.rankings)
		n.event(Event{Name: "router-heard-again", Router: d.From})
	}
	if d.Tell {
		n.outbox.To(d.From)
	}
	if d.Join != nil {
		n.outbox.AnswerCrashes(d.From, n.crashes.All(now))
		n.attachStoreState(d.From, now) // it needs a table, and knows no other router yet
	}
	if d.Work != nil {
		n.receiveWork(d.From, d.Work, now)
	}
	if d.Crashes != nil {
		n.outbox.AnswerCrashes(d.From, n.crashes.Heard(d.From, d.Crashes, now))
	}
}

func (n *Node) receiveWork(from wire.NodeID, w *wire.Work, now time.Time) {
	n.setLate(from, w.Late)
	for _, note := range w.Notes {
		n.handleNote(from, note, now)
	}
	for _, u := range w.Unasked {
		n.heardUnasked(from, u, now)
	}
	for i := range w.Asks {
		w.Asks[i].Backoffs = w.Backoffs
		n.reply(from, &w.Asks[i], now)
	}
	n.heardBooked(w.Booked, now)
	n.heardWords(w.Words, now)
	for _, a := range w.Answers {
		n.handleReply(from, a, now)
	}
	if w.Sight != nil {
		n.handleReading(from, w.Sight, now)
	}
	if w.Delta != nil {
		n.handleDelta(from, w.Delta, now)
	}
	if w.Revision != 0 || w.Beat != 0 {
		n.handleStoreState(from, w, now)
	}
	if w.Fleet != nil {
		n.heardFleet(from, w.Fleet, now)
	}
	if w.Beat != 0 {
		n.handleHeartbeat(from, w, now)
	}
}

func (n *Node) handleNote(from wire.NodeID, note wire.WorkNote, now time.Time) {
	for _, p := range n.pools {
		r := p.runs[runKey{from, note.No}]
		if r == nil {
			continue
		}
		if note.Event == wire.NoteFirst {
			n.toldRead(r.up.id, r.parts)
		}
		if r.reported && r.neverStarted(note) {
			n.unreportedUsage.add(orgAt{p.id, r.org}, 0, -r.cost)
		}
		p.note(from, note, now)
		return
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
func (n *Node) decideFor(from wire.NodeID, p *pool, a *wire.WorkAsk, now time.Time) (v verdict, reported bool) {
	standIn := p.engine != nil && n.schedulerOf(p.id, now) != n.settings.ID
	if over := p.meter.over(a.Org, now); standIn && over >= 1 && p.mayRefuse(a) {
		n.countUnasked(p, a, false, now)
		return verdict{why: ReasonShare, after: minComeBack, over: hundredths(over)}, true
	}
	n.prepareColdDecision(p, now)
	v = p.decide(from, a, now)
	n.tellWord(from, p, a.Org, now)
	return v, n.countUnasked(p, a, v.choice != nil, now)
}

// reply answers a placement request of another router. A request that is received twice gets
// the same reply.
//
// A router without a table sends no reply, so that the other one decides locally. Load
// pattern: all routers lose power, and some have the table before their scheduler has. The
// scheduler replied that the service had no upstream, and the routers refused their callers.
func (n *Node) reply(from wire.NodeID, a *wire.WorkAsk, now time.Time) {
	if n.catalogue.Table == nil {
		return
	}
	w := n.work(from)
	p := n.pools[a.Service]
	if p == nil {
		w.Answers = append(w.Answers, wire.WorkAnswer{No: a.No, Try: a.Try, AfterMS: uint32(maxComeBack.Milliseconds()), Why: uint8(ReasonNoUpstream)})
		return
	}
	if r := p.runs[runKey{from, a.No}]; r != nil && r.try == a.Try {
		w.Answers = append(w.Answers, r.reply)
		return
	}
	v, reported := n.decideFor(from, p, a, now)
	if v.choice == nil {
		w.Answers = append(w.Answers, wire.WorkAnswer{No: a.No, Try: a.Try, AfterMS: uint32(v.after.Milliseconds()), Why: uint8(v.why),
			WaitMS: uint32(v.wait), LimitMS: uint32(v.limit), OwnMS: uint32(v.ownMS), Over: v.over})
		return
	}
	e := p.expectation(v.choice, now)
	ans := wire.WorkAnswer{No: a.No, Try: a.Try, Upstream: v.choice.up.id, Work: uint32(e.work), WaitMS: uint32(e.waitMS), OwnMS: uint32(e.ownMS), Over: v.over, Cold: e.cold, Look: e.look}
	if v.choice.source != nil {
		ans.Source = v.choice.source.id
	}
	r := p.runs[runKey{from, a.No}]
	r.try, r.reply, r.reported = a.Try, ans, reported
	w.Answers = append(w.Answers, ans)
}

// handleReply handles a reply to a placement request of this router.
func (n *Node) handleReply(from wire.NodeID, a wire.WorkAnswer, now time.Time) {
	f := n.inflight[a.No]
	n.answerTook(a.No, a.Try, f, now)
	if f == nil || f.placed != 0 || f.by != from || f.try != a.Try {
		n.Counts.AnswersLate++
		if a.Upstream != 0 && (f == nil || f.by != from || f.try != a.Try) {
			w := n.work(from)
			w.Notes = append(w.Notes, wire.WorkNote{No: a.No, Event: wire.NoteUnused})
		}
		return
	}
	if a.Upstream == 0 {
		n.refuse(f, verdict{why: Reason(a.Why), after: time.Duration(a.AfterMS) * time.Millisecond, wait: float64(a.WaitMS), limit: float64(a.LimitMS), ownMS: float64(a.OwnMS), over: a.Over}, from)
		return
	}
	p, regions := n.pools[f.pool], regionIDs(f.req.Regions)
	if p == nil || !p.acceptsReply(a, regions, now) {
		// The scheduler knows an upstream that is unknown here, or does not yet know that it
		// is leaving, evacuated or cold.
		w := n.work(from)
		w.Notes = append(w.Notes, wire.WorkNote{No: a.No, Event: wire.NoteUnused})
		if p == nil {
			n.refuse(f, verdict{why: ReasonNoUpstream, after: maxComeBack}, n.settings.ID)
			return
		}
		f.try++
		n.decideHere(f, p, now)
		return
	}
	n.assign(f, p.upstreams[a.Upstream], p.fetchSource(a, regions), from, expectation{work: int(a.Work), waitMS: int(a.WaitMS), ownMS: int(a.OwnMS), cold: a.Cold, look: a.Look}, now)
}

// fetchSource returns the engine from which to fetch cached parts, or nil if this router knows
// that it must not be used.
func (p *pool) fetchSource(a wire.WorkAnswer, regions []version.ID) *upstream {
	u := p.upstreams[a.Source]
	if u == nil || u.evacuated || !u.mayRun(regions) {
		return nil
	}
	return u
}

// acceptsReply reports whether a request may be sent where the scheduler placed it, as far as
// this router knows.
func (p *pool) acceptsReply(a wire.WorkAnswer, regions []version.ID, now time.Time) bool {
	u := p.upstreams[a.Upstream]
	return u != nil && !u.closed() && !p.backoffs.has(u.id, now) && u.mayRun(regions) && (a.Cold || p.cold.PerSecond <= 0 || !u.isCold(coldEndTolerance, now))
}
