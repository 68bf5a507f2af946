package member

import (
	"slices"
	"sort"
	"time"

	"github.com/silverswitch/silverswitch/internal/core/wire"
)

// Live returns the routers believed alive, including this one; with leaving set, also those
// that are leaving. The list is sorted, and the caller must not change it.
//
// The list is cached and patched with the routers whose state has changed since. Load pattern:
// hundreds of routers start together, and each learns of the others one by one. Building and
// sorting the whole list for each of them took half of the CPU time.
func (t *Table) Live(leaving bool) []wire.NodeID {
	l := &t.live[0]
	if leaving {
		l = &t.live[1]
	}
	behind := t.Changes - l.changes
	switch {
	case l.ids != nil && behind == 0:
		return l.ids
	case l.ids == nil || behind > len(t.changedIDs):
		l.ids = t.listLive(leaving)
	default:
		l.ids = t.patchLive(l.ids, t.changedIDs[len(t.changedIDs)-behind:], leaving)
	}
	l.changes = t.Changes
	return l.ids
}

// liveList is the result of Live as of a number of changes.
type liveList struct {
	ids     []wire.NodeID
	changes int
}

// maxChangedIDs is the number of changes up to which a list is patched; after more it is built
// from scratch.
const maxChangedIDs = 64

// changed records a change of a router's state.
func (t *Table) changed(id wire.NodeID) {
	t.Changes++
	if len(t.changedIDs) == 2*maxChangedIDs {
		t.changedIDs = append(t.changedIDs[:0], t.changedIDs[maxChangedIDs:]...)
	}
	t.changedIDs = append(t.changedIDs, id)
}

// patchLive returns a copy of a list with the present state of the changed routers. The list
// itself is not changed, since others may hold it.
func (t *Table) patchLive(ids, touched []wire.NodeID, leaving bool) []wire.NodeID {
	out := slices.Clone(ids)
	for _, id := range touched {
		i, listed := slices.BinarySearch(out, id)
		switch is := t.isLive(id, leaving); {
		case is && !listed:
			out = slices.Insert(out, i, id)
		case !is && listed:
			out = slices.Delete(out, i, i+1)
		}
	}
	return out
}

// isLive reports whether a router belongs to the list of Live.
func (t *Table) isLive(id wire.NodeID, leaving bool) bool {
	if id == t.self.ID {
		return leaving || t.self.State == wire.Alive
	}
	m := t.members[id]
	return m != nil && t.usable(m) && (leaving || m.State != wire.Leaving)
}

// Dead returns the routers believed dead.
func (t *Table) Dead() map[wire.NodeID]bool {
	out := map[wire.NodeID]bool{}
	for id, m := range t.members {
		if m.State == wire.Dead {
			out[id] = true
		}
	}
	return out
}

func (t *Table) listLive(leaving bool) []wire.NodeID {
	ids := []wire.NodeID{}
	if t.isLive(t.self.ID, leaving) {
		ids = append(ids, t.self.ID)
	}
	for id := range t.members {
		if t.isLive(id, leaving) {
			ids = append(ids, id)
		}
	}
	return sorted(ids)
}

// usable reports whether a member counts as live. A suspect that has sent a datagram before
// does, since suspicion is not death.
func (t *Table) usable(m *Member) bool {
	switch m.State {
	case wire.Alive, wire.Leaving:
		return m.Inc != 0
	case wire.Suspect:
		return m.Inc != 0 && !m.Received.IsZero()
	}
	return false
}

// Known returns the number of routers known, alive or not, including this one.
func (t *Table) Known() int { return len(t.members) + 1 }

// All returns every member but this router, sorted.
func (t *Table) All() []*Member {
	out := make([]*Member, 0, len(t.members))
	for _, m := range t.members {
		out = append(out, m)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	return out
}

// Random returns up to n random live routers other than this one.
func (t *Table) Random(n int) []wire.NodeID {
	var ids []wire.NodeID
	for _, id := range t.Live(true) {
		if id != t.self.ID {
			ids = append(ids, id)
		}
	}
	t.rnd.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
	return ids[:min(n, len(ids))]
}

func sorted(ids []wire.NodeID) []wire.NodeID {
	sort.Slice(ids, func(i, j int) bool { return ids[i] < ids[j] })
	return ids
}

// Received says from which routers datagrams were received.
type Received struct {
	Routers int             // without this one
	Places  map[string]bool // by place: whether a datagram of one of its routers was received
}

// ReceivedSince returns from which routers a datagram was received after a time.
func (t *Table) ReceivedSince(after time.Time) Received {
	out := Received{Places: map[string]bool{}}
	for _, m := range t.members {
		received := m.Received.After(after)
		if received {
			out.Routers++
		}
		if m.Place != "" {
			out.Places[m.Place] = out.Places[m.Place] || received
		}
	}
	return out
}
