package routing

import (
	"sort"

	"github.com/cespare/xxhash/v2"
)

// What changed in a view: for this router's own state since it was taken last, and for a
// peer since a revision that it names. Both cost what has changed, not the whole list.
//
// Load pattern: thousands of upstreams, a fiftieth of which is replaced one by one, and a new
// table every few seconds.

// Ended is an instance that is no longer there. Restarted says that another start of the
// same upstream is listed in its place.
type Ended struct {
	Instance  Instance
	Restarted bool
}

// Changes is what happened to the instances of a view.
type Changes struct {
	Put   []Instance // new ones, and those whose entry says something else, sorted by ID
	Ended []Ended
}

// journal is what a view remembers of its changes.
type journal struct {
	put   map[string]bool // IDs, since the changes were taken last
	ended []Ended         // the same
	// removed holds the instances that were found gone, by ID. Removals before floor are not
	// remembered, nor those within gaps.
	removed map[string]removal
	floor   uint64
	gaps    []gap
}

// removal is the end of an instance's entry.
type removal struct {
	rev  uint64 // at which it was found gone
	born int64  // of the instance
}

// gap is a span of revisions that was passed over by reading a whole list: an instance that
// came and went within it is not known.
type gap struct{ after, upTo uint64 }

// maxGaps is how many gaps are remembered: a store that forgets its history for a minute.
const maxGaps = 64

// maxRemoved is how many removals are remembered for peers: those of a release of a whole
// fleet of thousands of upstreams. A peer that is further behind reads the whole list.
const maxRemoved = 16384

func newJournal() journal {
	return journal{put: map[string]bool{}, removed: map[string]removal{}}
}

// entered notes that an instance is listed, in place of a former entry, if there was one.
func (j *journal) recordPut(now Instance, before *entry) {
	delete(j.removed, now.ID)
	if before != nil && before.inst == now {
		return
	}
	j.put[now.ID] = true
	if before != nil && before.inst.StartID() != now.StartID() {
		j.ended = append(j.ended, Ended{Instance: before.inst, Restarted: now.Born > before.inst.Born})
	}
}

// left notes that an instance was found gone at a revision.
func (j *journal) recordRemoval(gone Instance, rev uint64) {
	delete(j.put, gone.ID)
	j.ended = append(j.ended, Ended{Instance: gone})
	j.removed[gone.ID] = removal{rev, gone.Born}
	if len(j.removed) <= maxRemoved {
		return
	}
	for _, r := range j.removed {
		j.floor = max(j.floor, r.rev)
	}
	clear(j.removed)
}

// skipped notes that a whole list was read as of a revision, after everything up to another
// one was known.
func (j *journal) recordGap(after, upTo uint64) {
	switch {
	case upTo == after:
	case after == 0 || len(j.gaps) == maxGaps:
		j.floor = max(j.floor, upTo)
		j.gaps = nil
	default:
		j.gaps = append(j.gaps, gap{after, upTo})
	}
}

// covers reports whether every removal after a revision is remembered.
func (j *journal) covers(rev uint64) bool {
	for _, g := range j.gaps {
		if rev > g.after && rev < g.upTo {
			return false
		}
	}
	return rev != 0 && rev >= j.floor
}

// TakeChanges returns what happened to the instances since the last call.
func (v *View) TakeChanges() Changes {
	j := &v.journal
	var out Changes
	for id := range j.put {
		out.Put = append(out.Put, v.instances[id].inst)
	}
	sort.Slice(out.Put, func(a, b int) bool { return out.Put[a].ID < out.Put[b].ID })
	for _, e := range j.ended {
		if again := v.instances[e.Instance.ID]; again == nil || again.inst.StartID() != e.Instance.StartID() {
			out.Ended = append(out.Ended, e)
		}
	}
	clear(j.put)
	j.ended = nil
	return out
}

// Since returns the instances that were listed, and the IDs of those that were removed,
// after a revision up to which a peer knows everything. It returns false when removals
// since then may have been forgotten, or were never known here.
func (v *View) ChangesSince(rev uint64) (put []Instance, removed []string, known bool) {
	if !v.journal.covers(rev) {
		return nil, nil, false
	}
	for _, e := range v.instances {
		if e.changedRev > rev {
			put = append(put, e.inst)
		}
	}
	for id, r := range v.journal.removed {
		if r.rev > rev {
			removed = append(removed, id)
		}
	}
	sort.Slice(put, func(a, b int) bool { return put[a].ID < put[b].ID })
	sort.Strings(removed)
	return put, removed, true
}

// Sum is a checksum of the list: equal where two views list the same. Instances that are
// given time after an outage count for nothing, since each router times that by itself.
func (v *View) Sum() uint64 {
	var sum uint64
	for _, e := range v.instances {
		if !e.lapsing.IsZero() {
			continue
		}
		sum += xxhash.Sum64String(e.inst.StartID() + " " + e.inst.Service + " " + e.inst.Address)
	}
	return sum
}
