package routing

import "time"

// A store that has come back from a copy. What it lists may be some seconds old: what was
// known before is newer, until the operators and the upstreams have written it again. The
// order of revisions does not tell the two apart, so what must not be undone is kept for a
// while:
//
//   - a table of a higher number, and an upstream's word that it leaves, for good;
//   - an upstream that has ended is not taken from the copy, unless its entry is written
//     again;
//   - an evacuated place that the copy does not have stays evacuated;
//   - an upstream that the copy does not have is given time, as after any outage
//     (StoreRecovered).

// restoreGrace is how long what is known outweighs the copy: an entry whose upstream has
// ended goes within three of its heartbeats, and the operators write again sooner.
const restoreGrace = 6 * time.Second

// Restored says that the store has come back from a copy, and what it lists. It must be
// called before any of that is taken.
func (v *View) StoreRestored(list []Instance, now time.Time) {
	v.restoreGraceUntil = now.Add(restoreGrace)
	for _, i := range list {
		if r, ended := v.journal.removed[i.ID]; ended && i.Born <= r.born {
			v.stale[i.ID] = i
		}
	}
}

// holds reports whether an entry is the copy's, of an upstream that has ended. One that was
// written since is not.
func (v *View) isStale(i Instance) bool {
	stale, found := v.stale[i.ID]
	if found && stale.Revision != i.Revision {
		delete(v.stale, i.ID)
		return false
	}
	return found
}

// settle takes the store at its word once it has had the time to be written again. It
// reports whether that changes anything.
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
