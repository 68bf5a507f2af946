package tokens

import (
	"slices"
	"time"

	"github.com/silverswitch/silverswitch/internal/dispatch"
	"github.com/silverswitch/silverswitch/internal/routing"
	"github.com/silverswitch/silverswitch/internal/version"
)

// listHistory is the store's history of the list of engines. It goes back for a limited time.
type listHistory struct {
	kept   time.Duration // how far back it goes
	stated time.Duration // how far back it goes by the routers' settings
	lists  []listing
}

// listing is a list of engines, which was in force from a time until the next one's.
type listing struct {
	from      time.Time
	instances []routing.Instance
}

func newListHistory(l *Losses, now time.Time, list []routing.Instance) listHistory {
	h := listHistory{kept: defaultHistoryKept, stated: defaultHistoryKept}
	if l != nil {
		h.kept, h.stated = l.historyKept(), l.historyStated()
	}
	h.add(now, list)
	return h
}

// add records a new list.
func (h *listHistory) add(now time.Time, list []routing.Instance) {
	h.lists = append(h.lists, listing{now, slices.Clone(list)})
}

// at returns the list that was in force at a time.
func (h *listHistory) at(t time.Time) []routing.Instance {
	for _, l := range slices.Backward(h.lists) {
		if !l.from.After(t) {
			return l.instances
		}
	}
	return nil
}

// changedLists returns the positions of the lists that came into force within the history that is
// kept at a moment, up to a listing.
func (h *listHistory) changedLists(listedAt, now time.Time) (out []int) {
	for i, l := range h.lists {
		if i > 0 && l.from.After(now.Add(-h.kept)) && !l.from.After(listedAt) {
			out = append(out, i)
		}
	}
	return out
}

// oldest returns the revision up to which the changes are gone at a moment.
func (h *listHistory) oldest(now time.Time) uint64 {
	rev := uint64(firstRevision)
	for i, l := range h.lists {
		if !l.from.After(now.Add(-h.kept)) {
			rev = firstRevision + uint64(i)
		}
	}
	return rev
}

// storeHistory returns what a router that listed the store at a time reads of the history now. An
// engine that leaves without notice is a removed key there, and its version is not known.
func (h *listHistory) storeHistory(listedAt, now time.Time, asOf uint64) dispatch.StoreHistory {
	out := dispatch.StoreHistory{AsOf: asOf, Reach: h.stated, Oldest: h.oldest(now), ReadAt: now}
	came := map[string]int{}
	for _, i := range h.changedLists(listedAt, now) {
		before, after := h.lists[i-1].instances, h.lists[i].instances
		for _, e := range without(after, before) {
			out.Changes++
			came[e.ID] = out.Changes
		}
		for _, e := range without(before, after) {
			out.Changes++
			out.Past = append(out.Past, leftInstance(e, came[e.ID], out.Changes))
			delete(came, e.ID)
			if !leavesWithoutNotice(e) {
				out.Changes++ // its entry is removed after the notice
			}
		}
	}
	for _, e := range h.at(listedAt) {
		if no := came[e.ID]; no > 0 {
			out.Past = append(out.Past, dispatch.PastInstance{ID: e.ID, Service: e.Service, Version: e.Version, From: no})
		}
	}
	return out
}

// leftInstance returns what the history tells of an engine that has left with a change. came is the
// change with which it came, 0 if that is not in the history.
func leftInstance(e routing.Instance, came, left int) dispatch.PastInstance {
	if came == 0 && leavesWithoutNotice(e) {
		return dispatch.PastInstance{ID: e.ID, Unknown: true, Maybe: true, Until: left}
	}
	return dispatch.PastInstance{ID: e.ID, Service: e.Service, Version: e.Version, Maybe: came == 0, From: came, Until: left}
}

// leavesWithoutNotice reports whether an engine ends without a notice, as a third of them do.
func leavesWithoutNotice(e routing.Instance) bool { return version.IDOf(e.ID)%3 == 0 }

// without returns the instances of a list that another one lacks.
func without(list, other []routing.Instance) (out []routing.Instance) {
	for _, e := range list {
		if !slices.ContainsFunc(other, func(o routing.Instance) bool { return o.ID == e.ID }) {
			out = append(out, e)
		}
	}
	return out
}
