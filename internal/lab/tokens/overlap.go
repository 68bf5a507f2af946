package tokens

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/silverswitch/silverswitch/internal/core/wire"
	"github.com/silverswitch/silverswitch/internal/dispatch"
	"github.com/silverswitch/silverswitch/internal/engine"
	"github.com/silverswitch/silverswitch/internal/routing"
)

// Overlapping floods: one organisation floods through all routers. While it does, another one
// begins to flood through a single small router, to which its refused callers come back. That
// router processes few requests a second and sheds the others. Around the beginning of the second
// flood routers lose power, and engines crash and are replaced.

// Overlap selects the parts of a run with overlapping floods.
type Overlap struct {
	LostRouters    int     // routers that lose power, the scheduler first
	CrashedEngines float64 // fraction of the engines that crash
	PerSecond      int     // requests that the small router processes in a second; 0: the second flood too comes through all routers
}

const (
	// smallRouterBurst is how many requests the small router processes at once.
	smallRouterBurst = 2
	// routerDownTime is how long a router without power takes to start again, and engineDownTime
	// an engine that has crashed.
	routerDownTime = time.Second
	engineDownTime = 500 * time.Millisecond
	// crashNoticeDelay is how long a crashed engine stays in the list of engines.
	crashNoticeDelay = time.Second
)

// overlap is the state of a run with overlapping floods.
type overlap struct {
	lost, crashed bool
	restartAt     time.Time
	down          []wire.NodeID
	starts        map[wire.NodeID]wire.Incarnation
	budget        float64 // requests that the small router may process now
	refilledAt    time.Time
}

// overlapStart returns the time at which the second flood begins.
func (w *world) overlapStart() time.Time {
	return startTime.Add(warmUpDuration + w.Duration/2)
}

// isOverlapping reports whether an organisation floods now in a run with overlapping floods.
func (w *world) isOverlapping(org int) bool {
	begin, end := w.overlapStart(), startTime.Add(warmUpDuration+w.Duration*9/10)
	switch org {
	case secondFloodOrg:
		begin = begin.Add(-w.Duration / 5)
	case overloadedOrg:
	default:
		return false
	}
	return w.now.After(begin) && w.now.Before(end)
}

// tickOverlap loses routers a second before the second flood, and engines two seconds after it
// has begun.
func (w *world) tickOverlap() {
	if w.Overlap == nil {
		return
	}
	o := &w.overlap
	if !o.lost && !w.now.Before(w.overlapStart().Add(-routerDownTime)) {
		o.lost = true
		w.loseRouters(w.Overlap.LostRouters)
	}
	if !o.restartAt.IsZero() && !w.now.Before(o.restartAt) {
		o.restartAt = time.Time{}
		w.restartRouters()
	}
	if !o.crashed && !w.now.Before(w.overlapStart().Add(2*time.Second)) {
		o.crashed = true
		w.crashEngines(w.Overlap.CrashedEngines)
	}
}

// loseRouters takes routers down, the scheduler first and the small router never. Their callers
// leave.
func (w *world) loseRouters(count int) {
	o := &w.overlap
	o.restartAt = w.now.Add(routerDownTime)
	for i := range count {
		id := w.order[w.retryRnd.IntN(len(w.order)-1)]
		if i == 0 {
			id = w.scheduler()
		}
		if w.nodes[id] == nil || id == w.overloadedRouter() {
			continue
		}
		delete(w.nodes, id)
		o.down = append(o.down, id)
		for _, no := range slices.Sorted(maps.Keys(w.calls)) {
			if c := w.calls[no]; c.router == id {
				w.takeUpElsewhere(c)
			}
		}
	}
}

// restartRouters starts the routers that are down.
func (w *world) restartRouters() {
	for _, id := range w.overlap.down {
		w.startRouter(id)
	}
	w.overlap.down = nil
}

// startRouter starts a router that is down. It knows the store's content, and no other router but
// the seed.
func (w *world) startRouter(id wire.NodeID) {
	o := &w.overlap
	if o.starts == nil {
		o.starts = map[wire.NodeID]wire.Incarnation{}
	}
	o.starts[id]++
	w.nodes[id] = w.newNode(id, 1+o.starts[id])
	w.listAt[id] = w.releases.revision
	w.nodes[id].Step(w.contentAtStart(), w.now)
}

// contentAtStart returns what a router reads of the store when it starts again.
func (w *world) contentAtStart() dispatch.Catalogue {
	r := &w.releases
	return dispatch.Catalogue{Table: r.table, Instances: r.list, Revision: r.revision, AsOf: r.revision}
}

// crashEngines ends a fraction of the engines. Others start in their place, and routers learn of
// both later.
func (w *world) crashEngines(fraction float64) {
	r := &w.releases
	count := int(fraction * float64(len(r.list)))
	before := slices.Clone(r.list)
	r.list = slices.Clone(r.list)
	for _, i := range w.retryRnd.Perm(len(r.list))[:count] {
		old, fresh := r.list[i], r.list[i]
		fresh.ID = fmt.Sprintf("%s.1", old.ID)
		r.list[i] = fresh
		delete(w.engines, old.ID)
		w.ids = slices.Delete(w.ids, indexOf(w.ids, old.ID), indexOf(w.ids, old.ID)+1)
		for _, no := range slices.Sorted(maps.Keys(w.calls)) {
			if c := w.calls[no]; c.engine == old.ID {
				c.engine = ""
				w.deliverInput(c.router, dispatch.PlaceAgain{ID: c.req.ID, Event: wire.ProgressFailed})
			}
		}
		before = append(before, fresh)
		w.delayed = append(w.delayed, delayed{w.now.Add(engineDownTime), func() {
			w.engines[fresh.ID] = engine.New(w.engineConfig(), w.now)
			w.ids = append(w.ids, fresh.ID)
		}})
	}
	r.history.add(w.now, r.list)
	w.announceEngines(before, engineDownTime)
	w.announceEngines(r.list, crashNoticeDelay)
}

// announceEngines gives all routers a list of engines after a delay, each a little later.
func (w *world) announceEngines(list []routing.Instance, after time.Duration) {
	w.releases.revision++
	revision := w.releases.revision
	for _, id := range w.order {
		at := w.now.Add(after + time.Duration(w.retryRnd.Int64N(int64(maxListDelay))))
		w.delayed = append(w.delayed, delayed{at, w.listUpdate(id, revision, list)})
	}
}

// shedBySmallRouter reports whether the small router sheds a call. Its work is reported as load
// shedding reports it.
func (w *world) shedBySmallRouter(c *call) bool {
	if w.Overlap == nil || w.Overlap.PerSecond == 0 || c.router != w.overloadedRouter() || !w.isOverlapping(overloadedOrg) {
		return false
	}
	o := &w.overlap
	o.budget = min(smallRouterBurst, o.budget+w.now.Sub(o.refilledAt).Seconds()*float64(w.Overlap.PerSecond))
	o.refilledAt = w.now
	if o.budget >= 1 {
		o.budget--
		return false
	}
	w.shedder.shedTokens[c.req.Org] += dispatch.Cost(c.req.Input, c.req.Output)
	w.retryRefused(dispatch.Refuse{ID: c.req.ID, After: shedRetryAfter})
	return true
}
