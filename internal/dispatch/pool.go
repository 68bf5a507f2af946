package dispatch

import (
	"cmp"
	"maps"
	"slices"
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
	places  map[version.ID]*placeSet
	// placeOrder is the places sorted, nil after a change of them.
	placeOrder []*placeSet
	holders    holders
	look       look
	openUps    int // that are neither leaving nor evacuated
	// statedBy are the upstreams at which a router states a load, and statedNo numbers the
	// statements.
	statedBy    map[wire.NodeID][]*upstream
	statedNo    uint64
	evacuations bool // some place was evacuated when that was looked at last
	runs        map[runKey]*run
	learner     *prefill.Learner // of the engines' times to the first event
	logged      prefill.Model    // as it was written to the log last
	aim         float64          // the strictest target of the routes to it, in milliseconds, 0 when unknown
	usual       usualTime        // of a plain service
	meter       *meter           // of the fleet, as far as this router decides
	here        *meter           // of what came in at this router, whoever decided
	busy        busyMeter        // of reading
	urgency     urgency
	late        map[wire.NodeID]bool // routers that said so
	alone       bool                 // the decision being made is not the fleet's scheduler's
	without     Without

	regions  map[string]string // of places
	cold     routing.Cold      // what its upstreams take while they are cold
	blind    bool              // in that decision, news of cold ones may be missed
	coldMost int               // requests a second at a cold one in the decision being made

	inherited inheritance
	backoffs  backoffs // of this router
}

func newPool(s *routing.Service, tokensPerSecond float64) *pool {
	return &pool{
		service:  s.Name,
		id:       version.IDOf(s.Name),
		engine:   s.Engine,
		ups:      map[version.ID]*upstream{},
		places:   map[version.ID]*placeSet{},
		holders:  holders{},
		runs:     map[runKey]*run{},
		learner:  prefill.NewLearner(),
		logged:   prefill.Prior,
		usual:    firstUsual,
		meter:    newMeter(tokensPerSecond),
		here:     newMeter(tokensPerSecond),
		busy:     newBusyMeter(),
		late:     map[wire.NodeID]bool{},
		backoffs: backoffs{},

		statedBy: map[wire.NodeID][]*upstream{},
	}
}

// setInstances takes the list of the service's instances. It returns those that
// have left it.
func (p *pool) setInstances(list []routing.Instance) (gone []*upstream) {
	listed := make(map[version.ID]routing.Instance, len(list))
	for _, inst := range list {
		listed[version.IDOf(inst.StartID())] = inst
	}
	// In the order of IDs, each is put at the end of the sorted lists.
	for _, id := range slices.Sorted(maps.Keys(listed)) {
		p.put(listed[id])
	}
	for _, u := range p.order {
		if _, still := listed[u.id]; !still {
			gone = append(gone, u)
		}
	}
	for _, u := range gone {
		p.drop(u)
	}
	return gone
}

// put takes an instance, new or with another entry.
func (p *pool) put(inst routing.Instance) {
	id := version.IDOf(inst.StartID())
	if u := p.ups[id]; u != nil {
		inst.Draining = inst.Draining || u.inst.Draining
		u.inst = inst
		return
	}
	u := newUpstream(inst, p.engine)
	if region, known := p.regions[inst.Place]; known {
		u.region = version.IDOf(region)
	}
	if u.cache != nil {
		u.cache.keep = p.holders.of(u)
	}
	p.ups[id] = u
	p.order = inserted(p.order, u)
	p.placeOf(inst.Place).add(u)
}

// drop forgets an upstream and what runs there.
func (p *pool) drop(u *upstream) {
	for _, r := range u.runs {
		delete(p.runs, r.key)
	}
	if u.cache != nil {
		u.cache.clear()
	}
	delete(p.ups, u.id)
	delete(p.backoffs, u.id)
	p.order = removed(p.order, u)
	set := u.set
	set.remove(u)
	if len(set.all) == 0 {
		delete(p.places, set.id)
		p.placeOrder = nil
	}
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

// lost forgets everything that routers had placed or stated: they are gone.
func (p *pool) lost(gone map[wire.NodeID]bool, now time.Time) {
	p.forgetAll(func(r *run) bool { return gone[r.key.node] }, now)
	for id := range gone {
		p.applyLoads(id, nil, now)
	}
}

// expire forgets runs whose end was not heard, and lets upstreams leave the working set.
func (p *pool) expire(now time.Time) {
	p.forgetAll(func(r *run) bool { return now.After(r.until) }, now)
	for _, set := range p.places {
		set.shrink(now)
	}
}

// applyLoads replaces what a router states of its use of upstreams.
func (p *pool) applyLoads(from wire.NodeID, loads []wire.WorkLoad, now time.Time) {
	p.statedNo++
	var stated []*upstream
	for _, l := range loads {
		u := p.ups[l.Upstream]
		if u == nil {
			continue
		}
		u.change(from, func(n *nodeUse) { n.load = l })
		u.touch(now)
		u.statedNo = p.statedNo
		stated = append(stated, u)
	}
	for _, u := range p.statedBy[from] {
		if u.statedNo != p.statedNo {
			u.change(from, func(n *nodeUse) { n.load = wire.WorkLoad{} })
		}
	}
	if len(stated) == 0 {
		delete(p.statedBy, from)
		return
	}
	p.statedBy[from] = stated
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
