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
	watcherCount = 3
	// storeReadInterval is how often a watcher reads the store when nothing changes:
	// internal/process waits a second for a change, and gathers for 150 ms.
	storeReadInterval = 1150 * time.Millisecond
	// storeReadingSlack is for the way of a sight through the fleet, beside half a period
	// of regular messages. The sum is well within the 2 to 3 s in which a router
	// must follow the store though it is cut off from its peers.
	storeReadingSlack = 400 * time.Millisecond
	// storeUnreachableTTL is how long a router that the store did not answer is not chosen to
	// watch; then it is tried again.
	storeUnreachableTTL = 5 * time.Second
	// recoveryNoticeDuration is how long the return of the store is told: as long as entries that
	// lapsed in an outage are given time.
	recoveryNoticeDuration = routing.LapseGrace
	// watchSettleDelay is how long after its start a router that is no seed leaves the store to
	// others that it hears of: until it knows most routers it takes itself for one of those
	// chosen. minFirstReadDelay and firstReadJitter are when such a router that has heard of
	// no reading looks for itself in the fleet's first start. Load pattern: 195 routers start
	// together before the operators' first table; each listed the store and watched it until
	// the table came.
	watchSettleDelay  = 1500 * time.Millisecond
	minFirstReadDelay = 400 * time.Millisecond
	firstReadJitter   = 400 * time.Millisecond
	// maxRestartReadDelay is the longest that a router which is no seed waits for a reading of
	// others when it starts again and callers wait for it: a listing by one of them, and the
	// way of its news. Load pattern: all routers of a fleet lose power, and the seeds come back
	// last: some of the others look early, and not all of them.
	maxRestartReadDelay = 300 * time.Millisecond
)

// storeService ranks the routers that read the store.
var storeService = serviceID("the platform's store")

// storeReadings is what this router knows of the fleet's readings of the store.
type storeReadings struct {
	latest        wire.StoreSight
	at            time.Time // of the latest
	byReader      map[wire.NodeID]readingID
	ownSeq        uint32 // of the own last one
	failedAt      time.Time
	recoveredAt   time.Time                 // some router found the store back
	relayedUpTo   uint64                    // up to which revision this relay has passed changes on
	fetchPending  bool                      // content was asked of a peer, and has not come yet
	fetchAttempts int                       // reads of a router that has no table yet
	unreachable   map[wire.NodeID]time.Time // routers that the store does not answer, as told
}

// reading names a router's last reading heard of.
type readingID struct {
	inc wire.Incarnation
	seq uint32
}

func newStoreReadings() storeReadings {
	return storeReadings{byReader: map[wire.NodeID]readingID{}, unreachable: map[wire.NodeID]time.Time{}}
}

// told is the latest reading as it is passed on, or nil before any.
func (s *storeReadings) current(now time.Time) *wire.StoreSight {
	if s.at.IsZero() {
		return nil
	}
	out := s.latest
	out.AgeMS = uint32(now.Sub(s.at).Milliseconds())
	out.BackMS = 0
	if !s.recoveredAt.IsZero() && now.Sub(s.recoveredAt) < recoveryNoticeDuration {
		out.BackMS = uint32(now.Sub(s.recoveredAt).Milliseconds()) + 1
	}
	return &out
}

// isUnreachable reports whether the store did not answer this router lately.
func (s *storeReadings) isUnreachable(now time.Time) bool {
	return !s.failedAt.IsZero() && now.Sub(s.failedAt) < storeUnreachableTTL
}

// maxReadingAge is the age of the latest reading from which a router looks for itself.
func maxReadingAge(routers int) time.Duration {
	return storeReadInterval + storeReadingSlack + heartbeatPeriod(routers)/2
}

// Watches reports whether this router is to read the store itself: it is one of
// the watchers, or nobody it hears of has read the store lately.
func (n *Node) Watches(now time.Time) bool {
	live := n.members.Live(false)
	settled := n.isSeed() || now.Sub(n.startedAt) >= watchSettleDelay
	if settled && (len(live) <= watcherCount || n.IsWatcher(now)) {
		return true
	}
	if n.store.at.IsZero() {
		return now.Sub(n.startedAt) >= n.firstReadDelay+n.listingDelay(now)
	}
	return now.Sub(n.store.at) >= maxReadingAge(len(live))
}

// listingSpacing is the time between the first looks of two routers of a large fleet in which
// nobody has read the store yet: 20 listings a second fit well into the store's link, each of
// some megabytes.
//
// Load pattern: hundreds of routers lose power before thousands of entries. A listing takes
// longer than they wait for one another, so all list at once, the store's link is full, each
// page takes longer than its time, and none has a table.
const listingSpacing = 50 * time.Millisecond

// listingDelay is how long a router leaves the store to those before it in the order in which
// routers are chosen to read it.
func (n *Node) listingDelay(now time.Time) time.Duration {
	if !n.isLarge() {
		return 0
	}
	turn := slices.Index(n.ranked(storeService, now), n.settings.ID) - watcherCount + 1
	return time.Duration(max(0, turn)) * listingSpacing
}

// firstReadDelayOf is how long a router that has heard of no reading of the store waits.
func firstReadDelayOf(set Settings, rnd *rand.Rand) time.Duration {
	switch {
	case isSeed(set):
		return 0
	case set.First:
		return minFirstReadDelay + time.Duration(rnd.Int64N(int64(firstReadJitter)))
	}
	// The fourth root lets one in sixteen look within half of the time: a few of many, and
	// one of a few soon.
	return time.Duration(math.Pow(rnd.Float64(), 1.0/4) * float64(maxRestartReadDelay))
}

// isSeed reports whether others begin with this router, or it has none to begin with.
func (n *Node) isSeed() bool { return isSeed(n.settings) }

func isSeed(set Settings) bool {
	return len(set.Seeds) == 0 || slices.Contains(set.Seeds, set.ID)
}

// IsWatcher reports whether this router is one of those chosen to watch.
func (n *Node) IsWatcher(now time.Time) bool {
	return slices.Contains(n.chosenWatchers(now), n.settings.ID)
}

// chosenWatchers returns those who watch, ranked as for a service of the store's name;
// those that the store does not answer are passed over while there are others.
func (n *Node) chosenWatchers(now time.Time) []wire.NodeID {
	ranked := n.ranked(storeService, now)
	var out []wire.NodeID
	for _, id := range ranked {
		if !n.isStoreUnreachable(id, now) {
			out = append(out, id)
		}
		if len(out) == watcherCount {
			return out
		}
	}
	if len(out) > 0 {
		return out
	}
	return ranked[:min(watcherCount, len(ranked))]
}

// wouldBeWatcher reports whether this router would be one of those chosen if the store
// answered it, by what is known of the others.
func (n *Node) wouldBeWatcher(now time.Time) bool {
	before := 0
	for _, id := range n.ranked(storeService, now) {
		if id == n.settings.ID {
			return before < watcherCount
		}
		if !n.isStoreUnreachable(id, now) {
			before++
		}
	}
	return false
}

// blinded reports whether the store does not answer a router, as far as is known.
func (n *Node) isStoreUnreachable(id wire.NodeID, now time.Time) bool {
	if id == n.settings.ID {
		return n.store.isUnreachable(now)
	}
	at, told := n.store.unreachable[id]
	return told && now.Sub(at) < storeUnreachableTTL
}

func (n *Node) handleStoreUnreachable(from wire.NodeID, blind bool, now time.Time) {
	if blind {
		n.store.unreachable[from] = now
	} else {
		delete(n.store.unreachable, from)
	}
}

// sighted notes that the store was read here, and tells everyone what changed.
func (n *Node) storeRead(in StoreRead, now time.Time) {
	s := &n.store
	s.ownSeq++
	s.latest = wire.StoreSight{By: n.settings.ID, Inc: n.settings.Inc, No: s.ownSeq}
	s.at, s.failedAt = now, time.Time{}
	if in.Recovered {
		s.recoveredAt = now
	}
	if in.Delta != nil {
		n.sendDelta(n.changeRecipients(now), in.Delta, now)
	}
	if in.FullListing {
		n.offerContent(n.changeRecipients(now), now) // what changed is not known
	}
}

// handleReading takes a reading that a peer knows of, if it is news here.
func (n *Node) handleReading(from wire.NodeID, t *wire.StoreSight, now time.Time) {
	s := &n.store
	if old, known := s.byReader[t.By]; t.By == n.settings.ID || known && (t.Inc < old.inc || t.Inc == old.inc && t.No <= old.seq) {
		return
	}
	s.byReader[t.By] = readingID{t.Inc, t.No}
	if at := now.Add(-time.Duration(t.AgeMS) * time.Millisecond); at.After(s.at) {
		s.latest, s.at = *t, at
	}
	if t.BackMS == 0 {
		return
	}
	if back := now.Add(-time.Duration(t.BackMS-1) * time.Millisecond); back.Sub(s.recoveredAt) > recoveryNoticeDuration {
		s.recoveredAt = back
		n.out = append(n.out, StoreRecovered{From: from, At: back})
	}
}

// handleDelta takes a peer's news of the store's content: it is applied when it
// follows what is known here, and fetched whole when it does not.
func (n *Node) handleDelta(from wire.NodeID, d *wire.StoreDelta, now time.Time) {
	if d.To <= n.catalogue.AsOf {
		return
	}
	if n.catalogue.Table != nil && !d.Table && d.From <= n.catalogue.AsOf {
		n.relayDelta(from, d, now)
		n.out = append(n.out, ApplyDelta{From: from, Delta: d})
		return
	}
	n.noteNewerContent(from, newerContent{revision: d.To}, now)
}

// compare notes whether a peer knows a later change of the store's content than
// this router has had the chance to see itself, or has a newer table.
func (n *Node) noteNewerContent(from wire.NodeID, told newerContent, now time.Time) {
	if told.revision == 0 || n.hasContent(told) {
		delete(n.newerContent, from)
		return
	}
	a, known := n.newerContent[from]
	if known && a.revision >= told.revision && a.table >= told.table {
		return
	}
	told.due = now.Add(n.fetchDelay(from, now))
	if known && a.due.Before(told.due) {
		told.due = a.due
	}
	n.newerContent[from] = told
}

// knows reports whether a peer has nothing that this router lacks. A router that has just
// listed a store which came back from a copy may have an older table than its peers, as of
// the same revision.
func (n *Node) hasContent(a newerContent) bool {
	return n.catalogue.Table != nil && a.revision <= n.catalogue.AsOf && a.table <= n.tableNumber()
}

// tableNumber is the number of the table in force, 0 before any.
func (n *Node) tableNumber() uint64 {
	if n.catalogue.Table == nil {
		return 0
	}
	return n.catalogue.Table.Number
}

// tickFetch reads the content from a peer that has been ahead for long enough.
func (n *Node) tickFetch(now time.Time) {
	if now.Before(n.fetchDue) {
		return
	}
	best := n.bestContentPeer(now)
	if best == "" {
		return
	}
	n.fetchDue = now.Add(contentFetchTimeout)
	n.store.fetchPending = true
	n.out = append(n.out, FetchContent{From: n.contentSource(best, now), Revision: n.newerContent[best].revision})
	// The next read, if this one fails, is from another.
	a := n.newerContent[best]
	a.due = now.Add(2 * contentFetchTimeout)
	n.newerContent[best] = a
}

// bestContentPeer returns the peer to read from: one of the own place before all others, and of
// those the one that knows most. It is empty when nobody has been ahead for long enough.
func (n *Node) bestContentPeer(now time.Time) (best wire.NodeID) {
	for id, a := range n.newerContent {
		if n.hasContent(a) {
			delete(n.newerContent, id)
			continue
		}
		due := n.catalogue.Table == nil || !now.Before(a.due)
		if due && (best == "" || n.prefersContentOf(id, best)) {
			best = id
		}
	}
	return best
}

// prefersContentOf reports whether one peer is the better one to read the content from.
func (n *Node) prefersContentOf(id, than wire.NodeID) bool {
	if near, other := n.InSamePlace(id), n.InSamePlace(than); near != other {
		return near
	}
	if a, b := n.newerContent[id].revision, n.newerContent[than].revision; a != b {
		return a > b
	}
	return id < than
}
