package dispatch

import (
	"cmp"
	"math"
	"slices"
	"sort"
	"time"

	"github.com/silverswitch/silverswitch/internal/core/wire"
	"github.com/silverswitch/silverswitch/internal/dispatch/prefill"
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

// pool is one service's upstreams as this router models them. Every router has
// the same model; the service's scheduler is the one whose word counts.
type pool struct {
	service string
	id      version.ID
	engine  *routing.Engine // nil for a plain service
	ups     map[version.ID]*upstream
	order   []*upstream // by ID
	runs    map[runKey]*run
	learner *prefill.Learner // of the engines' times to the first event
	aim     float64          // the strictest target of the routes to it, in milliseconds, 0 when unknown
	usual   usualTime        // of a plain service
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
		learner: prefill.NewLearner(),
		usual:   firstUsual,
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
	work   int // tokens to read
	prompt prefill.Prompt
	waitMS float64 // behind others
	ownMS  float64 // fetching kept parts and reading the rest
	price  float64 // beyond time, in milliseconds: another place, a fetch, a new connection
	cost   float64
}

// expectation is what a choice stands for, in whole tokens and milliseconds.
type expectation struct{ work, waitMS, ownMS int }

func (p *pool) expectation(c *choice) expectation {
	e := expectation{work: c.work, waitMS: int(c.waitMS)}
	if p.engine != nil {
		e.ownMS = int(p.learner.Model().Base + c.ownMS)
	}
	return e
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
	kept, fetched := 0, 0
	if !p.without.Parts {
		kept = u.cache.prefix(a.Parts, false)
	}
	m := p.learner.Model()
	c := choice{up: u, waitMS: u.backlog(m, now)}
	if holder != nil && holder != u && held > kept {
		fetched = held - kept
		kept = held
		c.source = holder
		c.price += moveMS
	}
	c.work = max(0, int(a.Input)-kept)
	c.prompt = prefill.PromptOf(c.work, fetched, int(a.Input))
	c.ownMS = m.Read(c.prompt) * u.queue.Slow(m, now)
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
	if p.engine == nil {
		r.up.read(r, now)
		r.up.observe(gotMS, p.usual.learn(gotMS), now)
		return
	}
	if s, ok := r.up.queue.First(r.entry, gotMS, p.learner.Model(), now); ok {
		p.learner.Add(s)
	}
	r.up.read(r, now)
	for _, part := range r.parts {
		r.up.cache.add(part.Part, int(part.Tokens), true, now)
	}
	r.up.fit(now)
}

// usualTime is the time of a plain service's answers, in milliseconds, against which an
// upstream's slowness is counted. It is learned: against a fixed time of 60 ms, an
// upstream that took three times its usual 15 ms seemed as fast as all others.
type usualTime float64

const (
	firstUsual  usualTime = 60.0
	leastUsual  usualTime = 0.1
	usualWeight           = 0.05 // of one answer
	// mostStep is the ratio of an answer to the usual time beyond which it counts no
	// more: answers that hang say nothing of the usual.
	mostStep = 3.0
)

// learn takes one answer's time and returns the usual time after it.
func (u *usualTime) learn(gotMS float64) float64 {
	ratio := min(max(gotMS/float64(*u), 1/mostStep), mostStep)
	*u = max(*u*usualTime(math.Pow(ratio, usualWeight)), leastUsual)
	return float64(*u)
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
	p.forgetAll(func(r *run) bool { return r.key.node == id }, now)
	for _, u := range p.ups {
		if u.nodes[id] != nil {
			u.change(id, func(n *nodeUse) { n.load = wire.WorkLoad{} })
		}
	}
}

// expire forgets runs whose end was not heard.
func (p *pool) expire(now time.Time) {
	p.forgetAll(func(r *run) bool { return now.After(r.until) }, now)
}

// forgetAll forgets runs in the order of their keys, so that the same inputs give the
// same decisions.
func (p *pool) forgetAll(which func(*run) bool, now time.Time) {
	var keys []runKey
	for k, r := range p.runs {
		if which(r) {
			keys = append(keys, k)
		}
	}
	slices.SortFunc(keys, func(a, b runKey) int { return cmp.Or(cmp.Compare(a.node, b.node), cmp.Compare(a.no, b.no)) })
	for _, k := range keys {
		p.forget(k, false, now)
	}
}
