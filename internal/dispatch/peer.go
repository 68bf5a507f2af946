package dispatch

import (
	"time"

	"github.com/silverswitch/silverswitch/internal/core/wire"
	"github.com/silverswitch/silverswitch/internal/version"
)

// receive takes everything in a datagram.
func (n *Node) receive(d *wire.Datagram, now time.Time) {
	if m := n.members.Get(d.From); m != nil {
		if d.Inc < m.Inc {
			return // a datagram of a process that has ended
		}
		if d.Inc > m.Inc && m.Inc != 0 {
			n.forgetRouters(map[wire.NodeID]bool{d.From: true}, now)
		}
	}
	n.heardAt = now
	n.heardLeaving(d.From, d.Drains, now)
	for _, s := range n.members.Hear(d, now) {
		n.box.Post(s)
	}
	if _, was := n.silent[d.From]; was {
		delete(n.silent, d.From)
		clear(n.ranks)
		n.event(Event{Name: "router-heard-again", Router: d.From})
	}
	if d.Tell {
		n.box.To(d.From)
	}
	if d.Join != nil {
		n.box.AnswerCrashes(d.From, n.crashes.All(now))
		n.tellStore(d.From, now) // it needs a table, and has heard of nobody yet
	}
	if d.Work != nil {
		n.receiveWork(d.From, d.Work, now)
	}
	if d.Crashes != nil {
		n.box.AnswerCrashes(d.From, n.crashes.Heard(d.From, d.Crashes, now))
	}
}

func (n *Node) receiveWork(from wire.NodeID, w *wire.Work, now time.Time) {
	n.setLate(from, w.Late)
	for _, note := range w.Notes {
		n.heardNote(from, note, now)
	}
	for _, u := range w.Unasked {
		n.heardUnasked(from, u, now)
	}
	for i := range w.Asks {
		w.Asks[i].Backoffs = w.Backoffs
		n.answer(from, &w.Asks[i], now)
	}
	n.heardBooked(w.Booked, now)
	n.heardWords(w.Words, now)
	for _, a := range w.Answers {
		n.answered(from, a, now)
	}
	if w.Sight != nil {
		n.heardSight(from, w.Sight, now)
	}
	if w.Delta != nil {
		n.heardDelta(from, w.Delta, now)
	}
	if w.Revision != 0 || w.Beat != 0 {
		n.heardStore(from, w, now)
	}
	if w.Fleet != nil {
		n.heardFleet(from, w.Fleet, now)
	}
	if w.Beat != 0 {
		n.heardBeat(from, w, now)
	}
}

func (n *Node) heardNote(from wire.NodeID, note wire.WorkNote, now time.Time) {
	for _, p := range n.pools {
		r := p.runs[runKey{from, note.No}]
		if r == nil {
			continue
		}
		if note.Event == wire.NoteFirst {
			n.toldRead(r.up.id, r.parts)
		}
		if r.told && r.neverBegan(note) {
			n.unasked.add(orgAt{p.id, r.org}, 0, -r.cost)
		}
		p.note(from, note, now)
		return
	}
}

// decideFor decides for another router, and reports whether the scheduler is told, which
// this router is not: the other one took it for that.
//
// In the scheduler's place nothing is given beyond shares: what engines have to read is
// known to the scheduler alone, and all seem idle here. Load pattern: a late router took
// its scheduler for silent; the one it asked instead placed 428 requests of its flood in
// a second, of which few were begun.
func (n *Node) decideFor(from wire.NodeID, p *pool, a *wire.WorkAsk, now time.Time) (v verdict, told bool) {
	inPlace := p.engine != nil && n.schedulerOf(p.id, now) != n.set.ID
	if over := p.meter.over(a.Org, now); inPlace && over >= 1 && p.mayRefuse(a) {
		n.countUnasked(p, a, false, now)
		return verdict{why: ReasonShare, after: minComeBack, over: hundredths(over)}, true
	}
	n.judgeCold(p, now)
	v = p.decide(from, a, now)
	n.tellWord(from, p, a.Org, now)
	return v, n.countUnasked(p, a, v.choice != nil, now)
}

// answer decides for another router. One ask asked twice gets the same answer.
//
// A router without a table has no answer: the other one decides by itself. Load pattern: all
// routers lose power, and some have read the table before their scheduler has. It told them
// that the service had no upstream, and they refused their callers.
func (n *Node) answer(from wire.NodeID, a *wire.WorkAsk, now time.Time) {
	if n.cat.Table == nil {
		return
	}
	w := n.work(from)
	p := n.pools[a.Service]
	if p == nil {
		w.Answers = append(w.Answers, wire.WorkAnswer{No: a.No, Try: a.Try, AfterMS: uint32(maxComeBack.Milliseconds()), Why: uint8(ReasonNoUpstream)})
		return
	}
	if r := p.runs[runKey{from, a.No}]; r != nil && r.try == a.Try {
		w.Answers = append(w.Answers, r.answer)
		return
	}
	v, told := n.decideFor(from, p, a, now)
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
	r.try, r.answer, r.told = a.Try, ans, told
	w.Answers = append(w.Answers, ans)
}

// answered takes a scheduler's word on an own request.
func (n *Node) answered(from wire.NodeID, a wire.WorkAnswer, now time.Time) {
	f := n.flights[a.No]
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
	if p == nil || !p.acceptsAnswer(a, regions, now) {
		// The scheduler knows an upstream that this router does not, or does not yet
		// know that it is leaving, evacuated or cold.
		w := n.work(from)
		w.Notes = append(w.Notes, wire.WorkNote{No: a.No, Event: wire.NoteUnused})
		if p == nil {
			n.refuse(f, verdict{why: ReasonNoUpstream, after: maxComeBack}, n.set.ID)
			return
		}
		f.try++
		n.decideHere(f, p, now)
		return
	}
	n.assign(f, p.ups[a.Upstream], p.sourceOf(a, regions), from, expectation{work: int(a.Work), waitMS: int(a.WaitMS), ownMS: int(a.OwnMS), cold: a.Cold, look: a.Look}, now)
}

// sourceOf returns the engine to fetch kept parts from, or nil where this router knows that
// it must not be used.
func (p *pool) sourceOf(a wire.WorkAnswer, regions []version.ID) *upstream {
	u := p.ups[a.Source]
	if u == nil || u.evacuated || !u.mayRun(regions) {
		return nil
	}
	return u
}

// acceptsAnswer reports whether a request may go where the scheduler placed it, by what
// this router knows.
func (p *pool) acceptsAnswer(a wire.WorkAnswer, regions []version.ID, now time.Time) bool {
	u := p.ups[a.Upstream]
	return u != nil && !u.closed() && !p.backoffs.has(u.id, now) && u.mayRun(regions) && (a.Cold || p.cold.RequestsPerSecond <= 0 || !u.isCold(coldLate, now))
}
