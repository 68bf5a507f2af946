package dispatch

import (
	"time"

	"github.com/silverswitch/silverswitch/internal/core/wire"
)

const (
	// watchers is how many routers read the platform's store; the others hear of
	// changes from them. Calls are priced, and the store's rate grows more slowly
	// than the fleet. Five bear the loss of any few, also of a whole place.
	watchers = 5
	// sightFor is how old the last sight of the store may be, beyond what regular
	// messages lag, until a router that does not watch looks for itself: a watch
	// waits 2.5 s (internal/process).
	sightFor = 3500 * time.Millisecond
)

// Watches reports whether this router is to read the store itself: it is one of
// the watchers, or none of them has seen the store lately.
func (n *Node) Watches(now time.Time) bool {
	live := n.members.Live(false)
	if len(live) <= watchers || n.cat.Table == nil {
		return true
	}
	if n.isWatcher(now) {
		return true
	}
	limit := sightFor + 2*beatPeriod(len(live))
	for _, at := range n.sights {
		if now.Sub(at) < limit {
			return false
		}
	}
	return true
}

// isWatcher ranks the live routers as for a service of the store's name.
func (n *Node) isWatcher(now time.Time) bool {
	ranked := n.ranked(serviceID("the platform's store"), now)
	for _, id := range ranked[:min(watchers, len(ranked))] {
		if id == n.set.ID {
			return true
		}
	}
	return false
}

// sighted notes that the store was read here, and tells everyone what changed.
func (n *Node) sighted(in Sighted, now time.Time) {
	n.sight = now
	if in.Delta == nil {
		return
	}
	for _, id := range n.members.Live(true) {
		if id != n.set.ID {
			w := n.work(id)
			w.Delta, w.Sight = in.Delta, n.sightMS(now)
		}
	}
}

// sightMS is the age of the own last sight of the store as it is told.
func (n *Node) sightMS(now time.Time) uint32 {
	if n.sight.IsZero() {
		return 0
	}
	return uint32(now.Sub(n.sight).Milliseconds()) + 1
}

// heardDelta takes a peer's news of the store's content: it is applied when it
// follows what is known here, and fetched whole when it does not.
func (n *Node) heardDelta(from wire.NodeID, d *wire.StoreDelta, now time.Time) {
	if d.To <= n.cat.AsOf {
		return
	}
	if n.cat.Table != nil && !d.Table && d.From <= n.cat.AsOf {
		n.out = append(n.out, Apply{From: from, Delta: d})
		return
	}
	n.compare(from, d.To, now)
}

// compare notes whether a peer knows a later change of the store's content than
// this router has had the chance to see itself.
func (n *Node) compare(from wire.NodeID, revision uint64, now time.Time) {
	if revision <= n.cat.AsOf && n.cat.Table != nil || revision == 0 {
		delete(n.ahead, from)
		return
	}
	if a, known := n.ahead[from]; !known || a.revision < revision {
		wait := fetchAfter
		if !n.Watches(now) {
			wait = time.Duration(n.rnd.Int64N(int64(fetchSpread)))
		}
		due := now.Add(wait)
		if known && a.due.Before(due) {
			due = a.due
		}
		n.ahead[from] = ahead{revision: revision, due: due}
	}
}

// tickFetch reads the content from a peer that has been ahead for long enough.
func (n *Node) tickFetch(now time.Time) {
	if now.Before(n.fetchDue) {
		return
	}
	var best wire.NodeID
	for id, a := range n.ahead {
		if a.revision <= n.cat.AsOf && n.cat.Table != nil {
			delete(n.ahead, id)
			continue
		}
		due := n.cat.Table == nil || !now.Before(a.due)
		if due && (best == "" || a.revision > n.ahead[best].revision || a.revision == n.ahead[best].revision && id < best) {
			best = id
		}
	}
	if best == "" {
		return
	}
	n.fetchDue = now.Add(fetchAgain)
	n.out = append(n.out, Fetch{From: best, Revision: n.ahead[best].revision})
	// The next read, if this one fails, is from another.
	a := n.ahead[best]
	a.due = now.Add(2 * fetchAgain)
	n.ahead[best] = a
}
