package dispatch

import (
	"cmp"
	"slices"
	"sort"
	"time"

	"github.com/silverswitch/silverswitch/internal/core/wire"
	"github.com/silverswitch/silverswitch/internal/dispatch/prefill"
	"github.com/silverswitch/silverswitch/internal/routing"
	"github.com/silverswitch/silverswitch/internal/version"
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
	logged  prefill.Model    // as it was written to the log last
	aim     float64          // the strictest target of the routes to it, in milliseconds, 0 when unknown
	usual   usualTime        // of a plain service
	meter   *meter           // of the fleet, as far as this router decides
	here    *meter           // of what came in at this router, whoever decided
	busy    busyMeter        // of reading
	urgency urgency
	late    map[wire.NodeID]bool // routers that said so
	alone   bool                 // the decision being made is not the fleet's scheduler's
	without Without

	regions  map[string]string // of places
	cold     routing.Cold      // what its upstreams take while they are cold
	blind    bool              // in that decision, news of cold ones may be missed
	coldMost int               // requests a second at a cold one in the decision being made

	inherited inheritance
}

func newPool(s *routing.Service, tokensPerSecond float64) *pool {
	return &pool{
		service: s.Name,
		id:      version.IDOf(s.Name),
		engine:  s.Engine,
		ups:     map[version.ID]*upstream{},
		runs:    map[runKey]*run{},
		learner: prefill.NewLearner(),
		logged:  prefill.Prior,
		usual:   firstUsual,
		meter:   newMeter(tokensPerSecond),
		here:    newMeter(tokensPerSecond),
		busy:    newBusyMeter(),
		late:    map[wire.NodeID]bool{},
	}
}

// setInstances takes the list of the service's instances. It returns those that
// have left it.
func (p *pool) setInstances(list []routing.Instance) (gone []*upstream) {
	listed := map[version.ID]bool{}
	for _, inst := range list {
		id := version.IDOf(inst.Start())
		listed[id] = true
		if u := p.ups[id]; u != nil {
			u.inst = inst
			continue
		}
		u := newUpstream(inst, p.engine)
		if region, known := p.regions[inst.Place]; known {
			u.region = version.IDOf(region)
		}
		p.ups[id] = u
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
		p.answeredAgain(r.up, now)
		p.forget(r.key, true, now)
	case wire.NoteFailed, wire.NoteRefused:
		r.up.rest.failed(now)
		p.suspectStart(r.up, n.Event == wire.NoteRefused, now)
		p.takeBack(r, n, now)
		p.forget(r.key, false, now)
	case wire.NoteUnused:
		p.takeBack(r, n, now)
		p.forget(r.key, false, now)
	}
}

// takeBack returns what was counted for a run that its upstream never began: its
// organisation got nothing for it. Engines that crash under one organisation's requests
// would else cut its share twice.
func (p *pool) takeBack(r *run, n wire.WorkNote, now time.Time) {
	if r.neverBegan(n) {
		p.meter.grant(r.org, -r.cost, now)
	}
}

// neverBegan reports whether a note ends a run that has had no event.
func (r *run) neverBegan(n wire.WorkNote) bool {
	return !r.first && (wire.IsFailure(n.Event) || n.Event == wire.NoteUnused)
}

func (p *pool) first(r *run, gotMS float64, now time.Time) {
	if r.first {
		return
	}
	r.first = true
	r.up.rest.worked(now)
	p.answeredAgain(r.up, now)
	if p.engine == nil {
		r.up.read(r, now)
		r.up.observe(gotMS, p.usual.learn(gotMS), now)
		return
	}
	p.meter.begin(r.org, r.cost, now)
	if r.entry.Doubted() {
		r.up.queue.Settle(r.entry, p.learner.Model(), now)
	} else if s, ok := r.up.queue.First(r.entry, gotMS, p.learner.Model(), now); ok && !p.without.Learning {
		p.learner.Add(s)
	}
	r.up.read(r, now)
	for _, part := range r.parts {
		r.up.cache.add(part.Part, int(part.Tokens), true, now)
	}
	r.up.fit(now)
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
