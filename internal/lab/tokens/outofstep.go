package tokens

import (
	"fmt"
	"slices"
	"time"

	"github.com/silverswitch/silverswitch/internal/core/wire"
	"github.com/silverswitch/silverswitch/internal/dispatch"
	"github.com/silverswitch/silverswitch/internal/engine"
	"github.com/silverswitch/silverswitch/internal/routing"
)

// A router out of step during a release: it does not reach the store or the other routers, or stands
// still, while engines of the next version join. Meanwhile streams begin through the other routers
// alone, and callers take them up at that one.

// OutOfStep selects how a router is out of step, and when.
type OutOfStep struct {
	Way       StepWay
	Scheduler bool          // it is the service's scheduler, otherwise another one
	At, For   time.Duration // At is since the first request
}

// StepWay is how a router is out of step.
type StepWay string

// The ways of being out of step.
const (
	InStep      StepWay = "in step" // for a run to compare with
	CutOff      StepWay = "cut off from the store and the other routers"
	NoStore     StepWay = "cut off from the store"
	NoRouters   StepWay = "cut off from the other routers"
	StandsStill StepWay = "stands still" // what arrives there waits
)

const (
	joinLag        = 100 * time.Millisecond // after a router is out of step the next version joins
	takeUpLag      = 300 * time.Millisecond // for which streams are taken up there once it is in step again
	storeCallDelay = 10 * time.Millisecond  // of a call of the store
)

// OutOfStepResult counts the attempts to go on at the router out of step, and at all routers those that were
// refused since nobody confirmed in time what the history of versions proves.
type OutOfStepResult struct{ Joined, WentOn, Refused, Unconfirmed int }

// outOfStep is the state of a run with a router out of step.
type outOfStep struct {
	takeUpAt           wire.NodeID // where callers take streams up, "" for anywhere
	router             wire.NodeID // the one out of step now, "" for none
	waiting, callsWait []func()    // what has arrived there, and the calls, while it stands still
}

// planOutOfStep draws up the plan of the router out of step.
func (w *world) planOutOfStep() {
	o := w.Losses.OutOfStep
	if o == nil {
		return
	}
	w.plan(o.At, func() {
		id := w.scheduler()
		if !o.Scheduler {
			id = w.order[(1+slices.Index(w.order, id))%len(w.order)]
		}
		w.outOfStep.router, w.outOfStep.takeUpAt = id, id
	})
	w.plan(o.At+joinLag, w.joinNextVersion)
	w.plan(o.At+o.For, w.backInStep)
	w.plan(o.At+o.For+takeUpLag, func() { w.outOfStep.takeUpAt = "" })
}

// joinNextVersion adds as many engines of the next version as there are.
func (w *world) joinNextVersion() {
	r := &w.releases
	r.list = slices.Clone(r.list)
	for i := range r.list {
		n := i + len(w.ids)
		e := routing.Instance{ID: fmt.Sprintf("e%02d", n), Service: serviceName, Address: fmt.Sprintf("10.9.0.%d:1", n), Place: placeName(n), Version: versionName(1)}
		r.list, r.version[e.ID], w.engines[e.ID] = append(r.list, e), e.Version, engine.New(w.engineConfig(), w.now)
	}
	for _, e := range r.list[len(w.ids):] {
		w.ids = append(w.ids, e.ID)
	}
	w.publishList()
}

// backInStep ends the time out of step. The calls that wait come first, then what else has arrived.
func (w *world) backInStep() {
	o := &w.outOfStep
	id, due := o.router, append(o.callsWait, o.waiting...)
	o.router, o.waiting, o.callsWait = "", nil, nil
	for _, do := range due {
		do()
	}
	w.confirmStore(id, nil)
}

// isOutOfStep reports whether a router is out of step in one of some ways.
func (w *world) isOutOfStep(id wire.NodeID, ways ...StepWay) bool {
	return id == w.outOfStep.router && id != "" && slices.Contains(ways, w.Losses.OutOfStep.Way)
}

// atRouter does something at a router, later if it stands still.
func (w *world) atRouter(id wire.NodeID, waiting *[]func(), do func()) {
	if w.isOutOfStep(id, StandsStill) {
		*waiting = append(*waiting, do)
		return
	}
	do()
}

// areCutOff reports whether two routers are cut off from each other.
func (w *world) areCutOff(a, b wire.NodeID) bool {
	return w.isOutOfStep(a, CutOff, NoRouters) || w.isOutOfStep(b, CutOff, NoRouters)
}

// confirmStore reads the store for a router, if it reaches the store, and answers with an input that
// follows the list; nil for none.
func (w *world) confirmStore(id wire.NodeID, answer func(asOf uint64) dispatch.Input) {
	n := w.nodes[id]
	w.delayed = append(w.delayed, delayed{w.now.Add(storeCallDelay), func() {
		list, asOf := w.releases.list, w.releases.revision
		if n == nil || w.nodes[id] != n || w.isOutOfStep(id, CutOff, NoStore) {
			return
		}
		w.atRouter(id, &w.outOfStep.waiting, func() {
			w.listUpdate(id, asOf, list)()
			n.Step(dispatch.CaughtUp{AsOf: asOf}, w.now)
			if answer != nil {
				n.Step(answer(asOf), w.now)
			}
		})
	}})
}

// takenUpAt returns the router at which a call arrives while one is or was just out of step.
func (w *world) takenUpAt(c *call) (wire.NodeID, bool) {
	id := w.outOfStep.takeUpAt
	switch {
	case id == "":
		return "", false
	case c.req.Resumed:
		return id, w.nodes[id] != nil
	}
	return w.order[(1+slices.Index(w.order, id))%len(w.order)], c.router == id
}

// countOutOfStep counts the outcome of an attempt at the router out of step: the version that serves
// it, "" if it is refused.
func (w *world) countOutOfStep(c *call, version string) {
	r := &w.res.Release.OutOfStep
	switch {
	case !c.takenUpThere || c.got:
	case version == "":
		r.Refused++
	case version == c.held:
		r.WentOn++
	default:
		r.Joined++
	}
}
