package routing

import "time"

// Handling of a store that was restored from a copy. Its content may be some seconds old:
// what this router already knows is newer, until the operators and the upstreams have
// written to the store again. Revisions do not tell the two apart, so the following is
// kept:
//
//   - a table with a higher number and an upstream's announcement that it drains, for good;
//   - the end of an upstream, for a while: its entry in the copy is ignored unless it is
//     written again;
//   - an evacuation that is missing from the copy, for a while;
//   - an upstream that is missing from the copy, for a grace period as after any outage
//     (SetLapseGrace).

// restoreGrace is how long known data takes precedence over the copy. The entry of an
// upstream that has ended is removed within three of its heartbeat intervals, and the
// operators write again sooner.
const restoreGrace = 6 * time.Second

// StoreRestored starts the grace period after the store was restored from a copy that lists
// the given instances. It must be called before any of them is put into the view.
func (v *View) StoreRestored(list []Instance, now time.Time) {
	v.restoreGraceUntil = now.Add(restoreGrace)
	for _, i := range list {
		if r, ended := v.journal.removed[i.ID]; ended && i.Born <= r.born {
			v.stale[i.ID] = i
		}
	}
}

// isStale reports whether an entry was restored from the copy although its upstream has
// ended. An entry that has been written since is not stale.
func (v *View) isStale(i Instance) bool {
	stale, found := v.stale[i.ID]
	if found && stale.Revision != i.Revision {
		delete(v.stale, i.ID)
		return false
	}
	return found
}

// endRestoreGrace accepts the whole content of a restored store once the grace period is
// over. It reports whether the view changed.
func (v *View) endRestoreGrace(now time.Time) (changed bool) {
	if v.restoreGraceUntil.IsZero() || now.Before(v.restoreGraceUntil) {
		return false
	}
	v.restoreGraceUntil = time.Time{}
	for id, i := range v.stale {
		delete(v.stale, id)
		v.put(i, max(v.Revision, v.AsOf))
		changed = true
	}
	for place, p := range v.places {
		if p.unlisted {
			v.SetEvacuated(place, false, max(p.rev, v.Revision), now)
			changed = true
		}
	}
	return changed
}
