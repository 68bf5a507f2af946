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
			n.forgetRouter(d.From, now)
		}
	}
	n.heardAt = now
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
	if d.Work != nil {
		n.receiveWork(d.From, d.Work, now)
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
	v = p.decide(from, a, now)
	n.tellWord(from, p, a.Org, now)
	return v, n.countUnasked(p, a, v.choice != nil, now)
}

// answer decides for another router. One ask asked twice gets the same answer.
func (n *Node) answer(from wire.NodeID, a *wire.WorkAsk, now time.Time) {
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
	e := p.expectation(v.choice)
	ans := wire.WorkAnswer{No: a.No, Try: a.Try, Upstream: v.choice.up.id, Work: uint32(e.work), WaitMS: uint32(e.waitMS), OwnMS: uint32(e.ownMS), Over: v.over}
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
	p := n.pools[f.pool]
	if p == nil || p.ups[a.Upstream] == nil || p.ups[a.Upstream].inst.Draining {
		// The scheduler knows an upstream that this router does not, or does not yet
		// know that it is leaving.
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
	n.assign(f, p.ups[a.Upstream], p.ups[a.Source], from, expectation{work: int(a.Work), waitMS: int(a.WaitMS), ownMS: int(a.OwnMS)}, now)
}

// heirCount is how many routers of a service keep the model of kept parts warm, its
// scheduler among them.
const heirCount = 3

// heirs returns the routers that are, or may soon be, the scheduler of some engines.
func (n *Node) heirs(now time.Time) map[wire.NodeID]bool {
	out := map[wire.NodeID]bool{}
	for _, p := range n.pools {
		if p.engine == nil {
			continue
		}
		ranked := n.ranked(p.id, now)
		for _, id := range ranked[:min(heirCount, len(ranked))] {
			out[id] = true
		}
	}
	return out
}

// sendBeat tells every router what this one uses, and the heirs what was read
// lately.
func (n *Node) sendBeat(now time.Time) {
	live := n.members.Live(true)
	n.beatDue = now.Add(beatPeriod(len(live)))
	n.beat++
	demand, heirs, models := n.ownDemand(now), n.heirs(now), n.ownModels()
	n.applyLoads(n.set.ID, n.loadsFor(n.set.ID))
	all, placed := n.loadsFor(""), n.placers()
	for _, id := range live {
		if id == n.set.ID {
			continue
		}
		w := n.work(id)
		w.Beat, w.Revision, w.Loads, w.Demand = n.beat, n.cat.Revision, all, demand
		if placed[id] {
			w.Loads = n.loadsFor(id)
		}
		if heirs[id] {
			w.Held, w.Models = n.read, models
		}
		w.Sight, w.Blind = n.store.told(now), n.store.isBlind(now)
		n.takeNotes(id, w)
	}
	n.read = nil
}

func beatPeriod(routers int) time.Duration {
	return max(beatEvery, time.Duration(routers)*beatPerRouter)
}

// placers returns the routers that placed something that runs now: the loads of all
// others are the same.
func (n *Node) placers() map[wire.NodeID]bool {
	out := map[wire.NodeID]bool{}
	for _, f := range n.flights {
		if f.placed != 0 && !f.orphan {
			out[f.by] = true
		}
	}
	return out
}

// loadsFor is this router's use of upstreams, less what the receiver placed: that one
// knows it better. A load is up to 200 ms old. Counted against what was placed, prompts
// that had been read meanwhile seemed to wait, 50 to 100 ms of reading at each of nine
// engines that had nothing to read; without it 850,000 tokens a second were begun where
// 700,000 were, and 3,200 requests of 14,800 refused where 4,800 were (one run of 50 s
// under a flood, same seed).
func (n *Node) loadsFor(to wire.NodeID) []wire.WorkLoad {
	sums := map[version.ID]*wire.WorkLoad{}
	var out []wire.WorkLoad
	for _, f := range n.flights {
		if f.placed == 0 || f.by == to && !f.orphan {
			continue
		}
		l := sums[f.placed]
		if l == nil {
			l = &wire.WorkLoad{Upstream: f.placed}
			sums[f.placed] = l
		}
		l.Running++
		l.Tokens += uint32(ownTokens(f.req.Input, f.req.Output, f.req.Parts))
		if !f.first {
			l.Unread += uint32(f.work)
		}
	}
	for _, l := range sums {
		out = append(out, *l)
	}
	return out
}

// heardBeat takes a router's regular message.
func (n *Node) heardBeat(from wire.NodeID, w *wire.Work, now time.Time) {
	n.applyLoads(from, w.Loads)
	n.heardBlind(from, w.Blind, now)
	n.heardDemand(from, w.Demand)
	n.heardModels(w.Models)
	for _, p := range n.pools {
		if p.engine == nil {
			continue
		}
		for _, h := range w.Held {
			if u := p.ups[h.Upstream]; u != nil {
				u.cache.add(h.Part, int(h.Tokens), true, now)
				u.fit(now)
			}
		}
	}
	n.compare(from, w.Revision, now)
}

// applyLoads replaces what a router states of its use of upstreams.
func (n *Node) applyLoads(from wire.NodeID, loads []wire.WorkLoad) {
	stated := map[version.ID]wire.WorkLoad{}
	for _, l := range loads {
		stated[l.Upstream] = l
	}
	for _, p := range n.pools {
		for id, u := range p.ups {
			l, now := stated[id]
			if old := u.nodes[from]; now || old != nil && old.load != (wire.WorkLoad{}) {
				u.change(from, func(n *nodeUse) { n.load = l })
			}
		}
	}
}
