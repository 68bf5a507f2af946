package tokens

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/silverswitch/silverswitch/internal/core/wire"
	"github.com/silverswitch/silverswitch/internal/dispatch"
	"github.com/silverswitch/silverswitch/internal/routing"
)

// Losses of all routers beside a release: engines of two software versions serve, or those of the
// old one leave, while all routers lose power at once, or are restarted one after the other. No
// router that is left knows at which version a stream began. Callers take their streams up once
// routers are back.

// Losses selects when routers are lost, and what the versions do around each loss.
type Losses struct {
	At          []time.Duration // since the first request
	Down        time.Duration   // time without power of each router
	Gap         time.Duration   // time from one router's loss to the next one's; 0: all are lost at once
	Versions    VersionChange
	HistoryKept time.Duration // how far back the store's history goes; 0 for defaultHistoryKept
	// HistoryStated is how far back it goes by the routers' settings; 0 for HistoryKept.
	HistoryStated time.Duration
	StateBorn     bool            // entries of engines state when they started
	Failing       *FailingVersion // see failingversion.go; may be nil
	OutOfStep     *OutOfStep      // see outofstep.go; may be nil
}

// LossResult counts the attempts to go on with streams that a loss has interrupted, up to the first
// one that goes on and while two engines of the version serve.
type LossResult struct {
	WentOn, Asked int
	Refused       map[string]int // attempts by the reason of their refusal
	Streams       int            // that are taken up while two engines of their version serve
	Lost          int            // that are taken up while fewer do
}

// VersionChange is what the software versions do around a loss.
type VersionChange uint8

// The changes of versions. Before each of them both versions serve, except with OneVersion.
const (
	OneVersion   VersionChange = iota // all engines run the same version
	BothServe                         // both versions keep serving
	Rolling                           // both serve, and engines of the old one are replaced all the while
	LeavesBefore                      // the old version has left when the loss begins
	LeavesDuring                      // it leaves while routers are down
	LeavesAfter                       // it leaves once routers are back
)

// String returns a change's name in reports.
func (v VersionChange) String() string {
	return [...]string{"one version", "both serve", "rolling", "old leaves before", "old leaves meanwhile", "old leaves after"}[v]
}

const (
	defaultHistoryKept = 20 * time.Second
	// startSpread is the range of times that routers take to start.
	startSpread = 400 * time.Millisecond
	// leaveInterval is the time between two engines of a version that leaves.
	leaveInterval = 100 * time.Millisecond
	// leaveLead is how long before a loss the old version begins to leave, and leaveLag how long
	// after all routers are back.
	leaveLead = 1600 * time.Millisecond
	leaveLag  = time.Second
	// rollingLead is how long before a loss engines begin to be replaced one by one, and
	// rollingCount their number, which leaves some of the old version.
	rollingLead  = 2 * time.Second
	rollingCount = 6
	// nextVersionLag is how long after all routers are back the version after the next one begins to
	// serve, if there is another loss.
	nextVersionLag = 3 * time.Second
	// storeReadInterval is how often a router that watches the store reads it.
	storeReadInterval = 1150 * time.Millisecond
	// historyReadDelay is how long it takes to read the store's history. A router does so up to
	// maxHistoryReads times, with historyReadPause in between.
	historyReadDelay = 100 * time.Millisecond
	historyReadPause = 3 * time.Second
	maxHistoryReads  = 4
	// maxPause is how long a caller waits at most between leaving a stream and taking it up.
	maxPause = 4 * time.Second
	// reconnectInterval is how often a caller looks for a router again.
	reconnectInterval = 100 * time.Millisecond
	// maxFailedAttempts is the number of failed attempts after which a caller gives its stream up.
	maxFailedAttempts = 4
	// maxRetryAfterRatio is the ratio of the remaining time up to which a caller waits as told.
	maxRetryAfterRatio = 1.0 / 3
)

// losses is the state of a run with losses.
type losses struct {
	plan        []planned
	comingBack  []takeUp
	interrupted []*interruptedStream
	readers     map[wire.NodeID]storeReader
}

// storeReader is a router that reads the store.
type storeReader struct {
	since, at    time.Time // of its readings
	listedAt     time.Time // its first reading since its start, and its revision
	revision     uint64
	historyReads int
	historyAt    time.Time // of the last reading of the history
}

// planned is a step of the plan.
type planned struct {
	at time.Time
	do func()
}

// interruptedStream is a stream that a loss has interrupted.
type interruptedStream struct {
	loss                int // its position in Losses.At
	stream              uint64
	beganAt, takenUpAt  time.Time // takenUpAt is zero before
	beganVersion        string
	beganList, nextList []routing.Instance // as listed at these times
}

func (l *Losses) firstVersion(engine int) string {
	if l.Versions == OneVersion {
		return versionName(0)
	}
	return versionName(engine % 2)
}

func (l *Losses) historyKept() time.Duration { return cmp.Or(l.HistoryKept, defaultHistoryKept) }

func (l *Losses) historyStated() time.Duration { return cmp.Or(l.HistoryStated, l.historyKept()) }

func versionName(i int) string { return fmt.Sprintf("v%d", 1+i) }

// planLosses draws up the plan of a run with losses.
func (w *world) planLosses() {
	l := w.Losses
	if l == nil {
		return
	}
	w.losses.readers = map[wire.NodeID]storeReader{}
	w.planFailing()
	w.planOutOfStep()
	for k, at := range l.At {
		back := at
		for i, id := range w.order {
			down := at + time.Duration(i)*l.Gap
			up := down + l.Down + time.Duration(w.retryRnd.Int64N(int64(startSpread)))
			w.plan(down, func() { w.loseRouter(id, k) })
			w.plan(up, func() { w.startRouter(id) })
			back = max(back, up)
		}
		w.planVersions(k, at, back)
	}
	slices.SortStableFunc(w.losses.plan, func(a, b planned) int { return a.at.Compare(b.at) })
}

// planVersions plans what the versions do around the k-th loss, which begins at a time and has all
// routers back at another.
func (w *world) planVersions(k int, at, back time.Duration) {
	half := len(w.releases.list) / 2
	switch w.Losses.Versions {
	case OneVersion, BothServe:
		return
	case Rolling:
		w.planReplacements(at-rollingLead, replaceInterval, rollingCount, k)
		return
	case LeavesBefore:
		w.planReplacements(at-leaveLead, leaveInterval, half, k)
	case LeavesDuring:
		w.planReplacements(at+w.Losses.Down/4+(back-at-w.Losses.Down)/2, leaveInterval, half, k)
	case LeavesAfter:
		w.planReplacements(back+leaveLag, leaveInterval, half, k)
	}
	if k+1 < len(w.Losses.At) {
		w.planReplacements(back+nextVersionLag, leaveInterval, half, k+1)
	}
}

// planReplacements plans that engines of the k-th version are replaced by the next one's.
func (w *world) planReplacements(at, interval time.Duration, count, k int) {
	for i := range count {
		w.plan(at+time.Duration(i)*interval, func() {
			old := slices.IndexFunc(w.releases.list, func(i routing.Instance) bool { return i.Version == versionName(k) })
			if old >= 0 {
				w.replaceEngineBy(old, versionName(k+1))
			}
		})
	}
}

// plan adds a step, at a time since the first request.
func (w *world) plan(at time.Duration, do func()) {
	w.losses.plan = append(w.losses.plan, planned{startTime.Add(warmUpDuration + at), do})
}

// tickLosses takes the steps that are due, and lets routers read the store and callers come back.
func (w *world) tickLosses() {
	l := &w.losses
	if w.now.Sub(startTime)%dispatch.TickInterval == 0 {
		w.readStore()
	}
	for len(l.plan) > 0 && !w.now.Before(l.plan[0].at) {
		l.plan[0].do()
		l.plan = l.plan[1:]
	}
	due := l.comingBack
	l.comingBack = nil
	for _, t := range due {
		if w.now.Before(t.at) {
			l.comingBack = append(l.comingBack, t)
		} else {
			w.goOn(t.c)
		}
	}
}

// readStore lets the routers read the store that have to. One that does not have the current list
// yet is still reading it.
func (w *world) readStore() {
	for _, id := range w.order {
		n, r := w.nodes[id], w.losses.readers[id]
		if n == nil || w.listAt[id] < w.releases.revision || w.now.Sub(r.at) < storeReadInterval || !n.Watches(w.now) || w.isOutOfStep(id, CutOff, NoStore, StandsStill) {
			continue
		}
		if r.listedAt.IsZero() {
			r.listedAt, r.revision = w.now, w.releases.revision
		}
		if r.since.IsZero() || w.now.Sub(r.at) > 2*storeReadInterval {
			r.since = w.now
		}
		r.at = w.now
		n.ReadStore(w.now.Sub(r.since), 0, false, w.now)
		n.Step(dispatch.CaughtUp{AsOf: w.releases.revision}, w.now)
		n.Step(dispatch.StoreRead{}, w.now)
		w.tryHistory(id, n, &r)
		w.losses.readers[id] = r
	}
}

// tryHistory lets a router read the store's history as of its first reading, if that may tell it more
// than it knows.
func (w *world) tryHistory(id wire.NodeID, n *dispatch.Node, r *storeReader) {
	if w.now.Sub(r.historyAt) < historyReadPause || r.historyReads == maxHistoryReads {
		return
	}
	if !n.NeedsStoreHistory(w.now) {
		r.historyReads = 0
		return
	}
	r.historyReads, r.historyAt = r.historyReads+1, w.now
	read := w.releases.history.storeHistory(r.listedAt, w.now, r.revision)
	w.delayed = append(w.delayed, delayed{w.now.Add(historyReadDelay), func() {
		if w.nodes[id] == n {
			n.Step(read, w.now)
		}
	}})
}

// loseRouter takes a router's power in the k-th loss. Its calls break, and callers that hold events
// will take their streams up; the others give up.
func (w *world) loseRouter(id wire.NodeID, k int) {
	delete(w.nodes, id)
	delete(w.losses.readers, id)
	for _, t := range w.losses.comingBack {
		w.recordInterrupted(t.c, k)
	}
	for _, no := range slices.Sorted(maps.Keys(w.calls)) {
		c := w.calls[no]
		if c.router != id {
			continue
		}
		delete(w.calls, no)
		if e := w.engines[c.engine]; e != nil {
			e.Cancel(no)
		}
		w.uncount(c)
		if c.held != "" {
			w.recordInterrupted(c, k)
			w.tryAgain(c, time.Duration(w.retryRnd.Int64N(int64(maxTakeUpDelay))))
		}
	}
}

// recordInterrupted records a stream that the k-th loss interrupts: its router is lost, or its
// caller has left it and will take it up.
func (w *world) recordInterrupted(c *call, k int) {
	if c.interrupted != nil {
		return
	}
	c.interrupted = &interruptedStream{loss: k, stream: c.req.Stream, beganAt: c.arrivedAt, beganVersion: c.held, beganList: w.releases.history.at(c.arrivedAt)}
	w.losses.interrupted = append(w.losses.interrupted, c.interrupted)
}

// uncount takes an attempt that has not brought an event out of the result.
func (w *world) uncount(c *call) {
	switch {
	case !c.counted || c.got:
	case c.req.Resumed:
		w.res.Release.AskedToGoOn--
		if c.interrupted != nil {
			w.res.Release.AfterLoss.Asked--
		}
	default:
		w.res.Release.AskedToBegin--
		if c.whileFailing {
			w.res.Release.Failing.Asked--
		}
	}
	c.counted = c.counted && c.got
}

// refusedToGoOn counts a refusal, or that an answer has broken off. The caller tries again after as
// long as it was told to wait, but not longer than a third of its remaining time.
func (w *world) refusedToGoOn(c *call, o dispatch.Refuse) {
	w.countOutOfStep(c, "")
	r := &w.res.Release.AfterLoss
	switch {
	case !c.counted || c.got:
	case w.enginesOf(c.held) < 2:
		w.uncount(c)
	case c.interrupted != nil:
		if r.Refused == nil {
			r.Refused = map[string]int{}
		}
		r.Refused[o.Reason.String()]++
	}
	left := time.Duration(float64(c.req.Deadline.Sub(w.now)) * maxRetryAfterRatio)
	w.tryAgain(c, min(o.After, left))
}

// tryAgain lets a caller take its stream up after a failed attempt, unless it has had enough.
func (w *world) tryAgain(c *call, after time.Duration) {
	next := *c
	if next.failed++; next.failed < maxFailedAttempts {
		w.comeBack(&next, after)
	}
}

// comeBack lets a caller take its stream up after some time.
func (w *world) comeBack(c *call, after time.Duration) {
	c.tries, c.engine, c.req.Resumed, c.got = 1, "", true, false
	w.losses.comingBack = append(w.losses.comingBack, takeUp{c, w.now.Add(after)})
}

// pause draws how long a caller that has left its stream waits: half of them do not.
func (w *world) pause() time.Duration {
	return max(0, time.Duration(w.retryRnd.Int64N(int64(2*maxPause)))-maxPause)
}

// goOn sends an attempt to go on. All attempts together have the time of the first one.
func (w *world) goOn(c *call) {
	if !w.now.Before(c.req.Deadline) {
		return
	}
	if s := c.interrupted; s != nil && s.takenUpAt.IsZero() && len(w.ready()) > 0 {
		s.takenUpAt, s.nextList = w.now, w.releases.list
		if w.enginesOf(c.held) < 2 {
			w.res.Release.AfterLoss.Lost++
		} else {
			w.res.Release.AfterLoss.Streams++
		}
	}
	c.req.TargetTime = w.now.Add(c.class.target)
	w.submit(c)
}

// noRouter handles a call while no router is ready.
func (w *world) noRouter(c *call) {
	if c.req.Resumed {
		w.comeBack(c, reconnectInterval)
		return
	}
	w.res.Refused++
}
