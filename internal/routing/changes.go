package routing

import (
	"sort"

	"github.com/cespare/xxhash/v2"
)

// Changes of a view: for this router's own state those since the last call, and for a peer
// those since a revision that the peer names. The cost of both is proportional to the number
// of changes and not to the length of the list.
//
// Load pattern: thousands of upstreams, a fiftieth of which is replaced one by one, and a new
// table every few seconds.

// Ended is an instance that has ended. Restarted is set when a later start of the same
// upstream is listed in its place.
type Ended struct {
	Instance  Instance
	Restarted bool
}

// Changes are the changes to the instances of a view.
type Changes struct {
	Put   []Instance // new instances and those whose entry changed, sorted by ID
	Ended []Ended
}

// journal remembers the changes of a view.
type journal struct {
	put   map[string]bool // IDs put since the last TakeChanges
	ended []Ended         // ended since the last TakeChanges
	// removed holds the removed instances by ID. Removals before floor and within gaps are
	// not remembered.
	removed map[string]removal
	floor   uint64
	gaps    []gap
}

// removal is the removal of an instance's entry.
type removal struct {
	rev  uint64 // at which it was found missing
	born int64  // Instance.Born
}

// gap is a range of revisions that was skipped by reading a full list: an instance that was
// added and removed within it is unknown here.
type gap struct{ after, upTo uint64 }

// maxGaps bounds the remembered gaps. It suffices for a minute in which the store keeps
// losing its history and is listed again every second.
const maxGaps = 64

// maxRemoved bounds the removals remembered for peers. It suffices for a rolling release of
// a whole fleet of thousands of upstreams. A peer that is further behind reads the full list.
const maxRemoved = 16384

func newJournal() journal {
	return journal{put: map[string]bool{}, removed: map[string]removal{}}
}

// recordPut records that an instance is listed, in place of its previous entry, if any.
func (j *journal) recordPut(listed Instance, before *entry) {
	delete(j.removed, listed.ID)
	if before != nil && before.inst == listed {
		return
	}
	j.put[listed.ID] = true
	if before != nil && before.inst.StartID() != listed.StartID() {
		j.ended = append(j.ended, Ended{Instance: before.inst, Restarted: listed.Born > before.inst.Born})
	}
}

// recordRemoval records that an instance was found missing at a revision.
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

// recordGap records that a full list was read as of the revision upTo, when all changes up
// to the revision after were known.
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

// covers reports whether all removals after a revision are remembered.
func (j *journal) covers(rev uint64) bool {
	for _, g := range j.gaps {
		if rev > g.after && rev < g.upTo {
			return false
		}
	}
	return rev != 0 && rev >= j.floor
}

// TakeChanges returns the changes to the instances since the last call.
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

// ChangesSince returns the instances that changed and the IDs of those that were removed
// after a revision up to which a peer knows everything. It returns false when later
// removals may have been forgotten or were never known here.
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

// Sum returns a checksum of the list, which is equal for views with the same instances.
// Lapsing instances are left out, since each router times their grace period by itself.
func (v *View) Sum() uint64 {
	var sum uint64
	for _, e := range v.instances {
		if e.missing {
			continue
		}
		sum += xxhash.Sum64String(e.inst.StartID() + " " + e.inst.Service + " " + e.inst.Address)
	}
	return sum
}
