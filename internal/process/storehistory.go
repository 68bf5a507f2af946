package process

import (
	"context"
	"slices"
	"time"

	"github.com/joomcode/errorx"

	"github.com/silverswitch/silverswitch/internal/dispatch"
	"github.com/silverswitch/silverswitch/internal/routing"
)

// A router that has just started reads the store's history once, if no other router has told which
// software versions the services had: all routers may have been lost. It finds the oldest revision
// after which changes are still available, and replays the changes since. The history has no times;
// the settings state for how long it is kept.

const (
	// maxHistoryReads bounds the calls that one router makes to read the history.
	maxHistoryReads = 24
	// maxHistoryAttempts bounds how often a router tries to read the history.
	maxHistoryAttempts = 4
	// historyReadTimeout bounds the time of one attempt.
	historyReadTimeout = 3 * time.Second
	// maxHistoryChanges bounds the changes that are read: about six megabytes.
	maxHistoryChanges = 1 << 14
)

// storedHistory is the history of instances up to a listing, as far back as it is available.
type storedHistory struct {
	changes []Change
	whole   bool // since the store's first revision
	reads   int
	begin   time.Time // to which it reaches back, by this VM's clock; zero if unknown
	oldest  uint64    // changes after this revision are available
	readAt  time.Time // by this VM's clock
	listed  []routing.Instance
	lagging *dispatch.LaggingList // nil if unknown
}

// readLagging reads a listing that may be some seconds old. A failure only leaves signs unseen.
func readLagging(ctx context.Context, source HistorySource) *dispatch.LaggingList {
	l, err := source.ListLagging(ctx)
	if err != nil {
		return nil
	}
	return &dispatch.LaggingList{AsOf: l.AsOf, Instances: instancesIn(l)}
}

// instancesIn returns the instances of a listing.
func instancesIn(l Listing) (out []routing.Instance) {
	for _, c := range l.Changes {
		if c.Put != nil {
			out = append(out, *c.Put)
		}
	}
	return out
}

// readHistory reads the history up to a listing. It returns false if the source fails, or has more
// changes than are read.
func readHistory(ctx context.Context, source HistorySource, asOf uint64) (h storedHistory, ok bool) {
	newest := routing.CountOf(asOf)
	// Changes are available after the revision that is `available` changes before the listing, and
	// gone after the one that is `gone` changes before it.
	available, gone := uint64(0), newest+1
	for back := uint64(1); available+1 < gone; {
		back = min(back, newest)
		if h.reads == maxHistoryReads || back > maxHistoryChanges {
			return h, false
		}
		h.reads++
		after, _ := routing.RevisionIn(routing.EraOf(asOf), newest-back)
		l, err := source.History(ctx, after)
		switch {
		case errorx.IsOfType(err, ErrHistoryGone):
			gone = back
		case err != nil || routing.EraOf(l.AsOf) != routing.EraOf(asOf) || l.AsOf < asOf:
			return h, false
		default:
			available, h.changes = back, changesUpTo(l.Changes, asOf)
		}
		if gone > newest {
			back = 4 * available
		} else {
			back = available + (gone-available)/2
		}
	}
	h.oldest, _ = routing.RevisionIn(routing.EraOf(asOf), newest-available)
	h.whole = available == newest && routing.EraOf(asOf) == 0
	if available == 0 && routing.EraOf(asOf) > 0 {
		return h, false // the store may have been restored just now
	}
	return h, true
}

// changesUpTo returns the changes up to a revision.
func changesUpTo(list []Change, asOf uint64) []Change {
	for i, c := range list {
		if c.Revision > asOf {
			return list[:i]
		}
	}
	return list
}

// instanceReplay follows an instance through the history.
type instanceReplay struct {
	id    string
	seen  bool
	ready *dispatch.PastInstance // while it is listed as ready
	born  int64
	out   []dispatch.PastInstance
}

// replay returns what the history tells of lists of ready instances: those that came or left, at
// each of their versions.
func (h *storedHistory) replay(asOf uint64, kept time.Duration) dispatch.StoreHistory {
	out := dispatch.StoreHistory{AsOf: asOf, Reach: kept, Whole: h.whole, Changes: len(h.changes), Oldest: h.oldest, ReadAt: h.readAt, Listed: h.listed, Lagging: h.lagging}
	if slices.ContainsFunc(h.changes, func(c Change) bool { return c.Place != nil }) {
		return dispatch.StoreHistory{AsOf: asOf} // upstreams of an evacuated place are no homes
	}
	byID := map[string]*instanceReplay{}
	var order []*instanceReplay
	for i, c := range h.changes {
		id := c.Removed + c.Rejected
		if c.Put != nil {
			id = c.Put.ID
		}
		if id == "" {
			continue
		}
		r := byID[id]
		if r == nil {
			r = &instanceReplay{id: id}
			byID[id], order = r, append(order, r)
		}
		r.apply(c, i+1, h)
	}
	for _, r := range order {
		r.leave(0)
		out.Past = append(out.Past, r.out...)
	}
	return out
}

// maxClockError allows for the clocks of upstreams and of this VM.
const maxClockError = 10 * time.Second

// ranBefore reports whether an instance had started before a time.
func ranBefore(c Change, begin time.Time) bool {
	return c.Put.Born == 0 || time.UnixMilli(c.Put.Born).Before(begin.Add(-maxClockError))
}

// apply applies a change of a history, of the number that is given.
func (r *instanceReplay) apply(c Change, number int, h *storedHistory) {
	existed := !r.seen && !h.whole && (c.Put == nil || c.Created != c.Revision)
	r.seen = true
	if c.Put == nil {
		if existed {
			r.out = append(r.out, dispatch.PastInstance{ID: r.id, Unknown: true, Maybe: true, Until: number})
		}
		r.leave(number)
		return
	}
	sameStart, lapsed := ranBefore(c, h.begin), r.lapsed()
	if existed && !sameStart { // it was started anew, perhaps with another version
		r.out = append(r.out, dispatch.PastInstance{ID: r.id, Unknown: true, Maybe: true, Until: number})
	}
	if r.ready != nil && (r.ready.Version != c.Put.Version || r.born != c.Put.Born) {
		r.leave(number)
	}
	if sameStart && lapsed != nil {
		*lapsed = dispatch.PastInstance{ID: r.id, Service: c.Put.Service, Version: c.Put.Version, Maybe: true, From: lapsed.From, Until: number}
	}
	if r.ready == nil && (!c.Put.Draining || existed) {
		r.ready, r.born = &dispatch.PastInstance{ID: r.id, Service: c.Put.Service, Version: c.Put.Version, From: number, Maybe: c.ColdFor > 0}, c.Put.Born
		if existed && sameStart {
			r.ready.From, r.ready.Maybe = 0, r.ready.Maybe || c.Put.Draining
		}
	}
	if c.Put.Draining {
		r.leave(number)
	}
}

// lapsed returns the time in which the instance was listed before its entry was removed, if it is
// not listed: the entry may have lapsed in an outage of the store.
func (r *instanceReplay) lapsed() *dispatch.PastInstance {
	if r.ready != nil || len(r.out) == 0 {
		return nil
	}
	return &r.out[len(r.out)-1]
}

// leave ends the time in which the instance is listed as ready, 0 if it is listed now.
func (r *instanceReplay) leave(number int) {
	if r.ready == nil {
		return
	}
	r.ready.Until = number
	if r.ready.From != number || number == 0 {
		r.out = append(r.out, *r.ready)
	}
	r.ready = nil
}
