package dispatch

import (
	"math"
	"sort"
	"time"

	"github.com/silverswitch/silverswitch/internal/core/wire"
	"github.com/silverswitch/silverswitch/internal/routing"
	"github.com/silverswitch/silverswitch/internal/version"
)

// Weights of a choice, in milliseconds of a first event's time. Sources: the
// prices in the users' site files, and docs/BENCH.md.
const (
	otherPlaceMS = 8.0  // an engine in another place: bytes between places are priced
	moveMS       = 10.0 // a fetch is priced, and keeps the same parts twice
	newConnMS    = 8.0  // the router keeps no connection to the engine: a new one is priced like a small move
	plainPlaceMS = 6.0  // a plain upstream in another place
	plainRunMS   = 10.0 // each request the own router has at a plain upstream
	// plainOtherMS is the same for requests that other routers state.
	plainOtherMS = 6.0
)

// Limits of admission, in parts of the time within which an answer counts as
// fully useful. Source: docs/BENCH.md.
const (
	waitUnder   = 0.80 // for an organisation under its share
	waitAtShare = 0.35 // at its share
	// overPrice is how many times the prices of a place, a fetch and a connection
	// count as wait for what is over its share: it gets what is left over where that
	// costs nobody anything. The wait allowed falls in proportion to how far over it is
	// and has no floor, so that of two that are far over the farther one waits less.
	// Source: the token table of docs/BENCH.md; with the cube in place of the
	// proportion, engines stood idle while a tenth more requests were refused.
	overPrice = 2.0
	// largeOwn is the part of the aim beyond which a prompt's own reading makes it
	// late in any case; such prompts take their turn behind half the wait.
	largeOwn = 1.0
	// lessUrgent is the part of the wait that each further rank of priority is
	// allowed: where routes or organisations of one service differ, the more urgent are
	// served more often when there is not room for all. The users price the reverse
	// from 5 in 100 on.
	lessUrgent = 0.7
	// mostOver bounds how far over its share an organisation is told to be.
	mostOver = 1000
)

// pool is one service's upstreams as this router models them. Every router has
// the same model; the service's scheduler is the one whose word counts.
type pool struct {
	service string
	id      version.ID
	engine  *routing.Engine // nil for a plain service
	ups     map[version.ID]*upstream
	order   []*upstream // by ID
	runs    map[runKey]*run
	rate    float64
	aim     float64 // the strictest target of the routes to it, in milliseconds, 0 when unknown
	meter   *meter
	urgency urgency
	without Without
}

func newPool(s *routing.Service, tokensPerSecond float64) *pool {
	return &pool{
		service: s.Name,
		id:      version.IDOf(s.Name),
		engine:  s.Engine,
		ups:     map[version.ID]*upstream{},
		runs:    map[runKey]*run{},
		rate:    firstRate,
		meter:   newMeter(tokensPerSecond),
	}
}

// setInstances takes the list of the service's instances. It returns those that
// have left it.
func (p *pool) setInstances(list []routing.Instance) (gone []*upstream) {
	listed := map[version.ID]bool{}
	for _, inst := range list {
		id := version.IDOf(inst.ID)
		listed[id] = true
		if u := p.ups[id]; u != nil {
			u.inst = inst
			continue
		}
		p.ups[id] = newUpstream(inst, p.engine)
	}
	for id, u := range p.ups {
		if !listed[id] {
			gone = append(gone, u)
			for _, r := range u.runs {
				delete(p.runs, r.key)
			}
			delete(p.ups, id)
		}
	}
	p.order = p.order[:0]
	for _, u := range p.ups {
		p.order = append(p.order, u)
	}
	sort.Slice(p.order, func(i, j int) bool { return p.order[i].id < p.order[j].id })
	return gone
}

// takes reports whether an upstream may be given this work at all. One that rests
// after failures is passed over, unless rested says that all that could take it do:
// a try there is better than a refusal.
func (u *upstream) takes(a *wire.WorkAsk, rested bool, now time.Time) bool {
	if u.inst.Draining || u.rest.resting(now) && !rested {
		return false
	}
	for _, id := range a.Avoid {
		if id == u.id {
			return false
		}
	}
	return true
}

// choice is the best upstream for a request, with what is expected there.
type choice struct {
	up     *upstream
	source *upstream
	work   int     // tokens to read
	waitMS float64 // behind others
	ownMS  float64 // reading this prompt
	price  float64 // beyond time, in milliseconds: another place, a fetch, a new connection
	cost   float64
}

// choose returns the best upstream, or nil when none takes work.
func (p *pool) choose(from wire.NodeID, a *wire.WorkAsk, now time.Time) *choice {
	if c := p.chooseOf(from, a, false, now); c != nil {
		return c
	}
	return p.chooseOf(from, a, true, now)
}

// chooseOf is choose among those that do not rest, or among all.
func (p *pool) chooseOf(from wire.NodeID, a *wire.WorkAsk, rested bool, now time.Time) *choice {
	if p.engine == nil {
		return p.choosePlain(a, rested, now)
	}
	holder, held := p.holder(a, now)
	var best choice
	for _, u := range p.order {
		if !u.takes(a, rested, now) || u.running() >= p.engine.Slots || u.memory()+ownTokens(int(a.Input), int(a.Output), a.Parts) > int(memoryUsable*float64(p.engine.MemoryTokens)) {
			continue
		}
		c := p.at(u, from, a, holder, held, now)
		if best.up == nil || c.cost < best.cost {
			best = c
		}
	}
	if best.up == nil {
		return nil
	}
	return &best
}

// holder returns the engine that keeps most of the prompt, read and ready.
func (p *pool) holder(a *wire.WorkAsk, now time.Time) (*upstream, int) {
	var best *upstream
	most := 0
	if p.without.Fetch || p.without.Parts {
		return nil, 0
	}
	for _, u := range p.order {
		if u.rest.resting(now) {
			continue
		}
		if n := u.cache.prefix(a.Parts, true); n > most {
			best, most = u, n
		}
	}
	return best, most
}

// at works out what a request would meet at an engine.
func (p *pool) at(u *upstream, from wire.NodeID, a *wire.WorkAsk, holder *upstream, held int, now time.Time) choice {
	u.settle(now)
	kept := 0
	if !p.without.Parts {
		kept = u.cache.prefix(a.Parts, false)
	}
	c := choice{up: u, waitMS: u.backlog(p.rate, now)}
	extra := 0.0
	if holder != nil && holder != u && held > kept {
		kept = held
		c.source = holder
		extra = fetchMS
		c.price += moveMS
	}
	c.work = max(0, int(a.Input)-kept)
	c.ownMS = float64(c.work)/p.rate*u.slow + extra
	c.cost += c.waitMS + c.ownMS
	if u.place != a.Place {
		c.price += otherPlaceMS
	}
	if !p.without.Connection && !u.conns.kept(from, now) {
		c.price += newConnMS
	}
	c.cost += c.price + p.crowd(u)
	return c
}

// crowd is what a full batch adds to every token of its requests.
func (p *pool) crowd(u *upstream) float64 {
	return 0.3 * float64(u.running())
}

func (p *pool) choosePlain(a *wire.WorkAsk, rested bool, now time.Time) *choice {
	var best *choice
	for _, u := range p.order {
		if !u.takes(a, rested, now) {
			continue
		}
		u.settle(now)
		own := len(u.runs)
		c := &choice{up: u, cost: (float64(own)*plainRunMS + float64(max(0, u.running()-own))*plainOtherMS) * u.slow}
		if u.place != a.Place {
			c.cost += plainPlaceMS
		}
		if best == nil || c.cost < best.cost {
			best = c
		}
	}
	return best
}

// verdict is the decision on one ask.
type verdict struct {
	choice *choice
	after  time.Duration
	why    Reason
	wait   float64 // of a refusal: expected at the best upstream, in milliseconds
	limit  float64 // of a refusal: allowed
	over   uint32  // hundredths of its share that the organisation has had
}

// decide places a request or refuses it.
func (p *pool) decide(from wire.NodeID, a *wire.WorkAsk, now time.Time) verdict {
	tokens := Cost(int(a.Input), int(a.Output))
	if a.Try <= 1 {
		p.meter.ask(a.Org, tokens, now)
	}
	over := uint32(100 * min(p.meter.over(a.Org, now), mostOver))
	c := p.choose(from, a, now)
	if c == nil {
		return verdict{after: p.comeBack(a, p.shortest(now), 0), why: p.whyNone(), over: over}
	}
	if p.engine != nil {
		limit := p.waitLimit(a, c, now)
		wait := c.waitMS
		if over >= overShare && wait > 0 { // an engine with nothing before it takes everyone
			wait += overPrice * c.price
		}
		// One that has been sent before is work half done, or an answer half given.
		if wait > limit && len(a.Avoid) == 0 && !p.without.Refusals {
			return verdict{after: p.comeBack(a, c.waitMS, limit), why: ReasonCapacity, wait: c.waitMS, limit: limit, over: over}
		}
		p.meter.grant(a.Org, tokens, now)
	}
	r := &run{
		key:    runKey{from, a.No},
		org:    a.Org,
		cost:   tokens,
		work:   c.work,
		tokens: ownTokens(int(a.Input), int(a.Output), a.Parts),
		output: int(a.Output),
		parts:  a.Parts,
		until:  now.Add(time.Duration(a.LeftMS)*time.Millisecond + runGrace),
		want:   baseMS + c.waitMS + c.ownMS,
	}
	p.forget(r.key, false, now)
	c.up.placeRun(r, now)
	p.runs[r.key] = r
	return verdict{choice: c, over: over}
}

// runGrace is how much longer than its caller's deadline a run is kept when
// nothing is heard of its end.
const runGrace = 500 * time.Millisecond

// waitLimit is how long a request may wait behind others at an engine, in
// milliseconds.
func (p *pool) waitLimit(a *wire.WorkAsk, c *choice, now time.Time) float64 {
	aim := float64(a.AimMS)
	if a.AimMS == 0 {
		aim = float64(a.LeftMS) / 4
	}
	if p.aim > 0 {
		aim = min(aim, p.aim)
	}
	part := waitUnder
	urgency := math.Pow(lessUrgent, float64(p.urgency.rank(int(a.Priority))))
	if over := p.meter.over(a.Org, now); over >= 1 && !p.without.Shares {
		part = waitAtShare / over
	}
	room := aim - baseMS - c.ownMS
	if c.ownMS > largeOwn*aim {
		return urgency * part * aim / 2
	}
	return urgency * min(part*aim, max(room, part*aim/4))
}

func (p *pool) whyNone() Reason {
	if len(p.order) == 0 {
		return ReasonNoUpstream
	}
	return ReasonCapacity
}

// shortest is the least backlog over all engines, in milliseconds.
func (p *pool) shortest(now time.Time) float64 {
	least := math.Inf(1)
	for _, u := range p.order {
		if u.cache != nil && !u.inst.Draining {
			least = min(least, u.backlog(p.rate, now))
		}
	}
	if math.IsInf(least, 1) {
		return 0
	}
	return least
}

// Bounds on when a refused caller is told to come back.
const (
	minComeBack = 100 * time.Millisecond
	maxComeBack = 1500 * time.Millisecond
)

// comeBack is when the backlog will have fallen below the request's limit.
func (p *pool) comeBack(a *wire.WorkAsk, waitMS, limitMS float64) time.Duration {
	d := time.Duration((waitMS - limitMS) * 1.5 * float64(time.Millisecond))
	return min(max(d, minComeBack), maxComeBack)
}

// note takes the news of a run.
func (p *pool) note(from wire.NodeID, n wire.WorkNote, now time.Time) {
	r := p.runs[runKey{from, n.No}]
	if r == nil {
		return
	}
	switch n.Event {
	case wire.NoteFirst:
		p.first(r, float64(n.FirstMS), now)
	case wire.NoteDone:
		r.up.rest.worked(now)
		p.forget(r.key, true, now)
	case wire.NoteFailed:
		r.up.rest.failed(now)
		p.forget(r.key, false, now)
	case wire.NoteUnused:
		p.meter.grant(r.org, -r.cost, now)
		p.forget(r.key, false, now)
	}
}

func (p *pool) first(r *run, gotMS float64, now time.Time) {
	if r.first {
		return
	}
	r.first = true
	r.up.rest.worked(now)
	r.up.read(r, now)
	if p.engine == nil {
		r.up.observe(gotMS, plainExpectMS, now)
		return
	}
	for _, part := range r.parts {
		r.up.cache.add(part.Part, int(part.Tokens), true, now)
	}
	r.up.fit(now)
	r.up.observe(gotMS, r.want, now)
	p.learnRate(r, gotMS)
}

// plainExpectMS is the time of an answer of a plain service against which an
// upstream's slowness is counted; only ratios between upstreams matter.
const plainExpectMS = 60.0

// learnRate corrects the pool's rate by a run that read alone on a sound engine.
func (p *pool) learnRate(r *run, gotMS float64) {
	const enough = 1500 // tokens for which reading outweighs all else
	if !r.alone || r.work < enough || gotMS <= baseMS || r.up.slow > 2 {
		return
	}
	sample := min(max(float64(r.work)/(gotMS-baseMS), minRate), maxRate)
	p.rate += rateWeight * (sample - p.rate)
}

func (p *pool) forget(k runKey, whole bool, now time.Time) {
	r := p.runs[k]
	if r == nil {
		return
	}
	delete(p.runs, k)
	r.up.end(r, whole, now)
}

// lost forgets everything a router had placed: it is gone.
func (p *pool) lost(id wire.NodeID, now time.Time) {
	for k := range p.runs {
		if k.node == id {
			p.forget(k, false, now)
		}
	}
	for _, u := range p.ups {
		if u.nodes[id] != nil {
			u.change(id, func(n *nodeUse) { n.load = wire.WorkLoad{} })
		}
	}
}

// expire forgets runs whose end was not heard.
func (p *pool) expire(now time.Time) {
	for k, r := range p.runs {
		if now.After(r.until) {
			p.forget(k, false, now)
		}
	}
}
