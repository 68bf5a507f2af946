package dispatch

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/silverswitch/silverswitch/internal/core/wire"
	"github.com/silverswitch/silverswitch/internal/routing"
)

const (
	// watchers is how many routers read the platform's store; the others hear of
	// changes from them. Calls are priced, and the store's rate grows more slowly
	// than the fleet.
	watchers = 3
	// sightEvery is how often a watcher reads the store when nothing changes:
	// internal/process waits a second for a change, and gathers for 150 ms.
	sightEvery = 1150 * time.Millisecond
	// sightSlack is for the way of a sight through the fleet, beside half a period
	// of regular messages. The sum is well within the 2 to 3 s in which a router
	// must follow the store though it is cut off from its peers.
	sightSlack = 400 * time.Millisecond
	// blindFor is how long a router that the store did not answer is not chosen to
	// watch; then it is tried again.
	blindFor = 5 * time.Second
	// backFor is how long the return of the store is told: as long as entries that
	// lapsed in an outage are given time.
	backFor = routing.LapseGrace
	// settleFor is how long after its start a router that is no seed leaves the store to
	// others that it hears of: until it knows most routers it takes itself for one of those
	// chosen. firstLookLeast and firstLookSpread are when such a router that has heard of
	// no reading looks for itself in the fleet's first start. Load pattern: 195 routers start
	// together before the operators' first table; each listed the store and watched it until
	// the table came.
	settleFor       = 1500 * time.Millisecond
	firstLookLeast  = 400 * time.Millisecond
	firstLookSpread = 400 * time.Millisecond
	// againLookMost is the longest that a router which is no seed waits for a reading of
	// others when it starts again and callers wait for it: a listing by one of them, and the
	// way of its news. Load pattern: all routers of a fleet lose power, and the seeds come back
	// last: some of the others look early, and not all of them.
	againLookMost = 300 * time.Millisecond
)

// storeService ranks the routers that read the store.
var storeService = serviceID("the platform's store")

// storeSights is what this router knows of the fleet's readings of the store.
type storeSights struct {
	latest   wire.StoreReading
	at       time.Time // of the latest
	heard    map[wire.NodeID]reading
	no       uint32 // of the own last one
	failedAt time.Time
	back     time.Time                 // some router found the store back
	passedOn uint64                    // up to which revision this relay has passed changes on
	fetching bool                      // content was asked of a peer, and has not come yet
	tries    int                       // reads of a router that has no table yet
	blind    map[wire.NodeID]time.Time // routers that the store does not answer, as told
}

// reading names a router's last reading heard of.
type reading struct {
	inc wire.Incarnation
	no  uint32
}

func newStoreSights() storeSights {
	return storeSights{heard: map[wire.NodeID]reading{}, blind: map[wire.NodeID]time.Time{}}
}

// told is the latest reading as it is passed on, or nil before any.
func (s *storeSights) told(now time.Time) *wire.StoreReading {
	if s.at.IsZero() {
		return nil
	}
	out := s.latest
	out.AgeMS = uint32(now.Sub(s.at).Milliseconds())
	out.RecoveredMS = 0
	if !s.back.IsZero() && now.Sub(s.back) < backFor {
		out.RecoveredMS = uint32(now.Sub(s.back).Milliseconds()) + 1
	}
	return &out
}

// isBlind reports whether the store did not answer this router lately.
func (s *storeSights) isBlind(now time.Time) bool {
	return !s.failedAt.IsZero() && now.Sub(s.failedAt) < blindFor
}

// sightLimit is the age of the latest reading from which a router looks for itself.
func sightLimit(routers int) time.Duration {
	return sightEvery + sightSlack + beatPeriod(routers)/2
}

// Watches reports whether this router is to read the store itself: it is one of
// the watchers, or nobody it hears of has read the store lately.
func (n *Node) Watches(now time.Time) bool {
	live := n.members.Live(false)
	settled := n.isSeed() || now.Sub(n.begun) >= settleFor
	if settled && (len(live) <= watchers || n.IsWatcher(now)) {
		return true
	}
	if n.store.at.IsZero() {
		return now.Sub(n.begun) >= n.firstLook+n.lookTurn(now)
	}
	return now.Sub(n.store.at) >= sightLimit(len(live))
}

// lookApart is the time between the first looks of two routers of a large fleet in which
// nobody has read the store yet: 20 listings a second fit well into the store's link, each of
// some megabytes.
//
// Load pattern: hundreds of routers lose power before thousands of entries. A listing takes
// longer than they wait for one another, so all list at once, the store's link is full, each
// page takes longer than its time, and none has a table.
const lookApart = 50 * time.Millisecond

// lookTurn is how long a router leaves the store to those before it in the order in which
// routers are chosen to read it.
func (n *Node) lookTurn(now time.Time) time.Duration {
	if !n.isLarge() {
		return 0
	}
	turn := slices.Index(n.ranked(storeService, now), n.set.ID) - watchers + 1
	return time.Duration(max(0, turn)) * lookApart
}

// firstLookOf is how long a router that has heard of no reading of the store waits.
func firstLookOf(set Settings, rnd *rand.Rand) time.Duration {
	switch {
	case isSeed(set):
		return 0
	case set.First:
		return firstLookLeast + time.Duration(rnd.Int64N(int64(firstLookSpread)))
	}
	// The fourth root lets one in sixteen look within half of the time: a few of many, and
	// one of a few soon.
	return time.Duration(math.Pow(rnd.Float64(), 1.0/4) * float64(againLookMost))
}

// isSeed reports whether others begin with this router, or it has none to begin with.
func (n *Node) isSeed() bool { return isSeed(n.set) }

func isSeed(set Settings) bool {
	return len(set.Seeds) == 0 || slices.Contains(set.Seeds, set.ID)
}

// IsWatcher reports whether this router is one of those chosen to watch.
func (n *Node) IsWatcher(now time.Time) bool {
	return slices.Contains(n.chosenWatchers(now), n.set.ID)
}

// chosenWatchers returns those who watch, ranked as for a service of the store's name;
// those that the store does not answer are passed over while there are others.
func (n *Node) chosenWatchers(now time.Time) []wire.NodeID {
	ranked := n.ranked(storeService, now)
	var out []wire.NodeID
	for _, id := range ranked {
		if !n.blinded(id, now) {
			out = append(out, id)
		}
		if len(out) == watchers {
			return out
		}
	}
	if len(out) > 0 {
		return out
	}
	return ranked[:min(watchers, len(ranked))]
}

// wouldWatch reports whether this router would be one of those chosen if the store
// answered it, by what is known of the others.
func (n *Node) wouldWatch(now time.Time) bool {
	before := 0
	for _, id := range n.ranked(storeService, now) {
		if id == n.set.ID {
			return before < watchers
		}
		if !n.blinded(id, now) {
			before++
		}
	}
	return false
}

// blinded reports whether the store does not answer a router, as far as is known.
func (n *Node) blinded(id wire.NodeID, now time.Time) bool {
	if id == n.set.ID {
		return n.store.isBlind(now)
	}
	at, told := n.store.blind[id]
	return told && now.Sub(at) < blindFor
}

func (n *Node) heardBlind(from wire.NodeID, blind bool, now time.Time) {
	if blind {
		n.store.blind[from] = now
	} else {
		delete(n.store.blind, from)
	}
}

// sighted notes that the store was read here, and tells everyone what changed.
func (n *Node) sighted(in Sighted, now time.Time) {
	s := &n.store
	s.no++
	s.latest = wire.StoreReading{Reader: n.set.ID, Inc: n.set.Inc, No: s.no}
	s.at, s.failedAt = now, time.Time{}
	if in.Back {
		s.back = now
	}
	if in.Delta != nil {
		n.tellChanges(n.toldOfChanges(now), in.Delta, now)
	}
	if in.Whole {
		n.offerContent(n.toldOfChanges(now), now) // what changed is not known
	}
}

// heardSight takes a reading that a peer knows of, if it is news here.
func (n *Node) heardSight(from wire.NodeID, t *wire.StoreReading, now time.Time) {
	s := &n.store
	if old, known := s.heard[t.Reader]; t.Reader == n.set.ID || known && (t.Inc < old.inc || t.Inc == old.inc && t.No <= old.no) {
		return
	}
	s.heard[t.Reader] = reading{t.Inc, t.No}
	if at := now.Add(-time.Duration(t.AgeMS) * time.Millisecond); at.After(s.at) {
		s.latest, s.at = *t, at
	}
	if t.RecoveredMS == 0 {
		return
	}
	if back := now.Add(-time.Duration(t.RecoveredMS-1) * time.Millisecond); back.Sub(s.back) > backFor {
		s.back = back
		n.out = append(n.out, StoreBack{From: from, At: back})
	}
}

// heardDelta takes a peer's news of the store's content: it is applied when it
// follows what is known here, and fetched whole when it does not.
func (n *Node) heardDelta(from wire.NodeID, d *wire.StoreDelta, now time.Time) {
	if d.To <= n.cat.AsOf {
		return
	}
	if n.cat.Table != nil && !d.Table && d.From <= n.cat.AsOf {
		n.passOn(from, d, now)
		n.out = append(n.out, Apply{From: from, Delta: d})
		return
	}
	n.compare(from, ahead{revision: d.To}, now)
}

// compare notes whether a peer knows a later change of the store's content than
// this router has had the chance to see itself, or has a newer table.
func (n *Node) compare(from wire.NodeID, told ahead, now time.Time) {
	if told.revision == 0 || n.knows(told) {
		delete(n.ahead, from)
		return
	}
	a, known := n.ahead[from]
	if known && a.revision >= told.revision && a.table >= told.table {
		return
	}
	told.due = now.Add(n.fetchWait(from, now))
	if known && a.due.Before(told.due) {
		told.due = a.due
	}
	n.ahead[from] = told
}

// knows reports whether a peer has nothing that this router lacks. A router that has just
// listed a store which came back from a copy may have an older table than its peers, as of
// the same revision.
func (n *Node) knows(a ahead) bool {
	return n.cat.Table != nil && a.revision <= n.cat.AsOf && a.table <= n.tableNumber()
}

// tableNumber is the number of the table in force, 0 before any.
func (n *Node) tableNumber() uint64 {
	if n.cat.Table == nil {
		return 0
	}
	return n.cat.Table.Number
}

// tickFetch reads the content from a peer that has been ahead for long enough.
func (n *Node) tickFetch(now time.Time) {
	if now.Before(n.fetchDue) {
		return
	}
	best := n.mostAhead(now)
	if best == "" {
		return
	}
	n.fetchDue = now.Add(fetchPatience)
	n.store.fetching = true
	n.out = append(n.out, Fetch{From: n.sourceFor(best, now), Revision: n.ahead[best].revision})
	// The next read, if this one fails, is from another.
	a := n.ahead[best]
	a.due = now.Add(2 * fetchPatience)
	n.ahead[best] = a
}

// mostAhead returns the peer to read from: one of the own place before all others, and of
// those the one that knows most. It is empty when nobody has been ahead for long enough.
func (n *Node) mostAhead(now time.Time) (best wire.NodeID) {
	for id, a := range n.ahead {
		if n.knows(a) {
			delete(n.ahead, id)
			continue
		}
		due := n.cat.Table == nil || !now.Before(a.due)
		if due && (best == "" || n.readsRatherFrom(id, best)) {
			best = id
		}
	}
	return best
}

// readsRatherFrom reports whether one peer is the better one to read the content from.
func (n *Node) readsRatherFrom(id, than wire.NodeID) bool {
	if near, other := n.IsNear(id), n.IsNear(than); near != other {
		return near
	}
	if a, b := n.ahead[id].revision, n.ahead[than].revision; a != b {
		return a > b
	}
	return id < than
}
