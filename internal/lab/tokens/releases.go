package tokens

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/silverswitch/silverswitch/internal/core/wire"
	"github.com/silverswitch/silverswitch/internal/dispatch"
	"github.com/silverswitch/silverswitch/internal/engine"
	"github.com/silverswitch/silverswitch/internal/routing"
)

// Rolling releases: engines of two software versions serve side by side, and one after the other
// ends without notice and is replaced by one of the next version, or of its own. Routers learn of
// it at different times. Callers leave streams and take them up at other routers, and so do those
// of killed routers. What a caller holds of a stream must be of one version.

const (
	// replaceInterval is the time between two engines that end.
	replaceInterval = 600 * time.Millisecond
	// maxListDelay is how late a router learns of a new list of engines.
	maxListDelay = 250 * time.Millisecond
	// takeUpRatio is the ratio of streams that their callers take up, up to maxTakeUpDelay after
	// an event.
	takeUpRatio    = 0.4
	maxTakeUpDelay = 300 * time.Millisecond
	// killedRouters routers, the scheduler first, are killed halfway.
	killedRouters = 2
)

// firstRevision is the store's revision at the start.
const firstRevision = 9

// servedBefore is how long the first engines have served when a run with losses starts.
const servedBefore = time.Hour

// ReleaseResult is what callers saw of streams in a run with releases.
type ReleaseResult struct {
	Mixed               int // streams with events of two versions
	Began, AskedToBegin int // attempts at new streams that got an event, of all
	WentOn, AskedToGoOn int // attempts to go on, while two engines of the version served
	AfterLoss           LossResult
	Failing             FailingResult // of runs with a FailingVersion
	OutOfStep           OutOfStepResult
}

// releases is the state of the releases.
type releases struct {
	version  map[string]string // software version by engine
	list     []routing.Instance
	table    *routing.Table
	revision uint64
	replaced int
	takeUps  []takeUp
	killed   bool
	history  listHistory
}

// takeUp is a stream whose caller leaves and goes on elsewhere.
type takeUp struct {
	c  *call
	at time.Time
}

// bootReleases gives the first engines their versions.
func (w *world) bootReleases(list []routing.Instance, table *routing.Table) {
	w.releases = releases{version: map[string]string{}, list: list, table: table, revision: firstRevision}
	for i := range list {
		switch {
		case w.Releases:
			list[i].Version = fmt.Sprintf("v%d", 1+i%2)
		case w.Losses != nil:
			list[i].Version = w.Losses.firstVersion(i)
			w.stateStart(&list[i], w.now.Add(-servedBefore))
		}
		w.releases.version[list[i].ID] = list[i].Version
	}
	w.bootFailing()
	w.releases.history = newListHistory(w.Losses, w.now, w.releases.list)
}

// stateStart completes the entry of an engine that has started, if engines state when they did.
func (w *world) stateStart(i *routing.Instance, at time.Time) {
	if w.Losses != nil && w.Losses.StateBorn {
		i.Revision, i.Born = w.releases.revision, at.UnixMilli()
	}
}

// hasVersions reports whether engines run software versions and callers take streams up.
func (w *world) hasVersions() bool { return w.Releases || w.Losses != nil }

// tickReleases replaces engines, kills routers, and lets callers take their streams up.
func (w *world) tickReleases() {
	if !w.hasVersions() {
		return
	}
	if w.Losses != nil {
		w.tickLosses()
	} else {
		w.tickRollingRelease()
	}
	w.takeUpDue()
}

func (w *world) tickRollingRelease() {
	age := w.since()
	if age > 0 && age < w.Duration && age%replaceInterval == 0 {
		w.replaceEngine()
	}
	if age >= w.Duration/2 && !w.releases.killed {
		w.releases.killed = true
		w.killRouters()
	}
}

// takeUpDue lets the callers that left their streams take them up.
func (w *world) takeUpDue() {
	due := w.releases.takeUps
	w.releases.takeUps = nil
	for _, t := range due {
		if w.now.Before(t.at) {
			w.releases.takeUps = append(w.releases.takeUps, t)
		} else if w.calls[t.c.req.ID] == t.c {
			w.takeUpElsewhere(t.c)
		}
	}
}

// replaceEngine ends an engine, and starts one of the next version or of its own in its place.
func (w *world) replaceEngine() {
	r := &w.releases
	i := w.retryRnd.IntN(len(r.list))
	version := r.list[i].Version
	if no := r.replaced + 1; no%2 == 0 {
		version = fmt.Sprintf("v%d", 2+no/16)
	}
	w.replaceEngineBy(i, version)
}

// replaceEngineBy ends the i-th engine, and starts one of a version in its place.
func (w *world) replaceEngineBy(i int, version string) {
	r := &w.releases
	old := r.list[i]
	r.replaced++
	fresh := old
	fresh.ID = fmt.Sprintf("%s.%d", old.ID[:3], r.replaced)
	fresh.Version = version
	r.revision++
	w.stateStart(&fresh, w.now)
	r.list = append([]routing.Instance(nil), r.list...)
	r.list[i] = fresh
	r.version[fresh.ID] = fresh.Version
	r.history.add(w.now, r.list)
	w.engines[fresh.ID] = engine.New(w.engineConfig(), w.now)
	delete(w.engines, old.ID)
	w.ids[indexOf(w.ids, old.ID)] = fresh.ID
	for _, id := range w.order {
		at := w.now.Add(time.Duration(w.retryRnd.Int64N(int64(maxListDelay))))
		w.delayed = append(w.delayed, delayed{at, w.listUpdate(id, r.revision, r.list)})
	}
	for _, no := range slices.Sorted(maps.Keys(w.calls)) {
		if c := w.calls[no]; c.engine == old.ID {
			c.engine = ""
			w.deliverInput(c.router, dispatch.PlaceAgain{ID: c.req.ID, Event: wire.ProgressFailed})
		}
	}
}

// listUpdate returns the action that gives a router a list of engines, unless it has a newer one.
func (w *world) listUpdate(id wire.NodeID, revision uint64, list []routing.Instance) func() {
	return func() {
		if w.isOutOfStep(id, CutOff) {
			return
		}
		w.atRouter(id, &w.outOfStep.waiting, func() {
			if n := w.nodes[id]; n != nil && w.listAt[id] < revision {
				w.listAt[id] = revision
				n.Step(dispatch.Catalogue{Table: w.releases.table, Instances: list, Revision: revision, AsOf: revision}, w.now)
			}
		})
	}
}

// killRouters kills routers; their callers take up elsewhere what they hold.
func (w *world) killRouters() {
	for range killedRouters {
		id := w.scheduler()
		if id == "" {
			id = w.order[0]
		}
		delete(w.nodes, id)
		for _, no := range slices.Sorted(maps.Keys(w.calls)) {
			if c := w.calls[no]; c.router == id {
				w.takeUpElsewhere(c)
			}
		}
	}
}

// takeUpElsewhere ends an attempt at its engine and its router, and sends the next one.
func (w *world) takeUpElsewhere(c *call) {
	delete(w.calls, c.req.ID)
	if e := w.engines[c.engine]; e != nil {
		e.Cancel(c.req.ID)
	}
	w.deliverInput(c.router, dispatch.End{ID: c.req.ID, Event: wire.ProgressDone})
	if c.held == "" || w.now.After(c.req.Deadline) {
		return
	}
	next := *c
	next.tries, next.engine, next.req.Resumed, next.got = 1, "", true, false
	if w.Losses != nil {
		w.comeBack(&next, w.pause())
		return
	}
	w.submit(&next)
}

// askedFor counts an attempt.
func (w *world) askedFor(c *call) {
	if !w.hasVersions() {
		return
	}
	if !c.req.Resumed {
		c.req.Stream = streamID(c.req.ID)
	}
	c.counted = !c.req.Resumed || w.enginesOf(c.held) >= 2
	switch {
	case !c.counted:
	case c.req.Resumed:
		w.res.Release.AskedToGoOn++
		if c.interrupted != nil {
			w.res.Release.AfterLoss.Asked++
		}
	default:
		w.res.Release.AskedToBegin++
		if c.whileFailing = w.whileFailing(); c.whileFailing {
			w.res.Release.Failing.Asked++
		}
	}
}

// gotEvent checks the first event that an engine sends for a call, and decides whether the caller
// will take the stream up.
func (w *world) gotEvent(c *call) {
	if !w.hasVersions() {
		return
	}
	v := w.releases.version[c.engine]
	w.countOutOfStep(c, v)
	if c.held != "" && c.held != v {
		w.res.Release.Mixed++
	}
	c.held = v
	if c.counted && !c.got {
		if c.req.Resumed {
			w.res.Release.WentOn++
			if c.interrupted != nil {
				w.res.Release.AfterLoss.WentOn++
			}
		} else {
			w.res.Release.Began++
			if c.whileFailing {
				w.res.Release.Failing.Began++
			}
		}
	}
	c.got, c.interrupted = true, nil
	if w.retryRnd.Float64() < takeUpRatio {
		w.releases.takeUps = append(w.releases.takeUps, takeUp{c, w.now.Add(time.Duration(w.retryRnd.Int64N(int64(maxTakeUpDelay))))})
	}
}

// streamID returns the ID of a stream by the number of its first attempt, spread as the hashes are
// that routers use.
func streamID(attempt uint64) uint64 { return xxhash.Sum64String(fmt.Sprint(attempt)) }

// enginesOf returns the number of engines of a version that serve.
func (w *world) enginesOf(version string) int {
	n := 0
	for _, i := range w.releases.list {
		if i.Version == version && !w.failing.engines[i.ID] {
			n++
		}
	}
	return n
}
