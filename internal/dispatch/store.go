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
	// watcherCount is how many routers read the platform's store; the others receive changes
	// from them. Calls to the store cost money, and its call rate grows more slowly than the
	// fleet.
	watcherCount = 3
	// storeReadInterval is how often a watcher reads the store while nothing changes:
	// internal/process waits a second for a change, and collects changes for 150 ms.
	storeReadInterval = 1150 * time.Millisecond
	// storeReadingSlack allows for the time that a reading takes to reach every router, in
	// addition to half a heartbeat interval. The sum is well within the 2 to 3 s in which a
	// router must follow the store even when it is cut off from its peers.
	storeReadingSlack = 400 * time.Millisecond
	// storeUnreachableTTL is how long a router that could not reach the store is not chosen
	// as a watcher; then it is tried again.
	storeUnreachableTTL = 5 * time.Second
	// recoveryNoticeDuration is how long the recovery of the store is announced: as long as
	// the grace period for entries that expired in an outage.
	recoveryNoticeDuration = routing.LapseGrace
	// watchSettleDelay is how long after its start a router that is not a seed leaves the
	// store to other live routers: until it knows most routers it would choose itself as a
	// watcher. minFirstReadDelay and firstReadJitter say when such a router reads the store
	// itself in the first start of the fleet, if it has received no reading. Load pattern:
	// 195 routers start together before the operators' first table; each listed the store
	// and watched it until the table came.
	watchSettleDelay  = 1500 * time.Millisecond
	minFirstReadDelay = 400 * time.Millisecond
	firstReadJitter   = 400 * time.Millisecond
	// maxRestartReadDelay is the longest time that a restarted router that is not a seed
	// waits for a reading of others while callers wait for it: one listing, and the time to
	// announce it. Load pattern: all routers of a fleet lose power, and the seeds come back
	// last, so some of the others must read early, but not all of them.
	maxRestartReadDelay = 300 * time.Millisecond
)

// storeService is the service ID by which the routers that read the store are ranked.
var storeService = serviceID("the platform's store")

// storeReadings is what this router knows of the readings of the store in the fleet.
type storeReadings struct {
	latest         wire.StoreReading
	latestSteadyMS uint32    // see wire.ReadingSpan
	at             time.Time // of latest
	byReader       map[wire.NodeID]readingID
	ownSeq         uint32 // of this router's last reading
	failedAt       time.Time
	outages        outages
	noticeDue      bool                      // others must hear at once of the latest reading, which ended or disproved an outage
	checkedAt      time.Time                 // when the store was last read to answer an outage
	relayedUpTo    uint64                    // revision up to which this relay has passed changes on
	fetchPending   bool                      // content was requested from a peer and has not arrived
	fetchAttempts  int                       // fetches of a router that has no table yet
	unreachable    map[wire.NodeID]time.Time // when routers last reported the store unreachable
}

// readingID identifies a router's latest known reading.
type readingID struct {
	inc wire.Incarnation
	seq uint32
}

func newStoreReadings() storeReadings {
	return storeReadings{outages: newOutages(), byReader: map[wire.NodeID]readingID{}, unreachable: map[wire.NodeID]time.Time{}}
}

// current returns the latest reading as it is announced, or nil before any.
func (s *storeReadings) current(now time.Time) *wire.StoreReading {
	if s.at.IsZero() {
		return nil
	}
	out := s.latest
	out.AgeMS = uint32(now.Sub(s.at).Milliseconds())
	out.RecoveredMS = 0
	if b, known := s.outages.latest(); known && now.Sub(b.to) < recoveryNoticeDuration {
		out.RecoveredMS = uint32(now.Sub(b.to).Milliseconds()) + 1
	}
	return &out
}

// isUnreachable reports whether the store recently did not answer this router.
func (s *storeReadings) isUnreachable(now time.Time) bool {
	return !s.failedAt.IsZero() && now.Sub(s.failedAt) < storeUnreachableTTL
}

// maxReadingAge returns the age of the latest reading from which a router reads the store
// itself.
func maxReadingAge(routers int) time.Duration {
	return storeReadInterval + storeReadingSlack + heartbeatPeriod(routers)/2
}

// Watches reports whether this router has to read the store itself: it is one of the
// watchers, or has received no recent reading.
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

// listingSpacing is the time between the first listings of two routers of a large fleet in
// which no reading of the store is known yet: 20 listings per second, each of some megabytes,
// are well within the capacity of the store's link.
//
// Load pattern: hundreds of routers lose power while the store has thousands of entries. A
// listing takes longer than the routers wait for one another, so all list at once, the
// store's link is saturated, every page times out, and no router gets a table.
const listingSpacing = 50 * time.Millisecond

// listingDelay returns how long a router leaves the store to those that come before it in the
// ranking of watchers.
func (n *Node) listingDelay(now time.Time) time.Duration {
	if !n.isLarge() {
		return 0
	}
	position := slices.Index(n.ranked(storeService, now), n.settings.ID) - watcherCount + 1
	return time.Duration(max(0, position)) * listingSpacing
}

// firstReadDelayOf returns how long a router waits before its first reading of the store, if
// it receives none of others.
func firstReadDelayOf(settings Settings, rnd *rand.Rand) time.Duration {
	switch {
	case isSeed(settings):
		return 0
	case settings.First:
		return minFirstReadDelay + time.Duration(rnd.Int64N(int64(firstReadJitter)))
	}
	// By the fourth root one of sixteen routers reads within half of the time: a few of a
	// large fleet, and one of a small fleet soon.
	return time.Duration(math.Pow(rnd.Float64(), 1.0/4) * float64(maxRestartReadDelay))
}

// isSeed reports whether this router is a seed, or has no seeds.
func (n *Node) isSeed() bool { return isSeed(n.settings) }

func isSeed(settings Settings) bool {
	return len(settings.Seeds) == 0 || slices.Contains(settings.Seeds, settings.ID)
}

// IsWatcher reports whether this router is one of the chosen watchers.
func (n *Node) IsWatcher(now time.Time) bool {
	return slices.Contains(n.chosenWatchers(now), n.settings.ID)
}

// chosenWatchers returns the watchers: the first routers in the ranking of the store's service
// ID. Those that cannot reach the store are passed over while there are others.
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

// wouldBeWatcher reports whether this router would be chosen as a watcher if it could reach
// the store.
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

// isStoreUnreachable reports whether the store is known not to answer a router.
func (n *Node) isStoreUnreachable(id wire.NodeID, now time.Time) bool {
	if id == n.settings.ID {
		return n.store.isUnreachable(now)
	}
	at, reported := n.store.unreachable[id]
	return reported && now.Sub(at) < storeUnreachableTTL
}

// handleStoreUnreachable records whether a router reports the store unreachable.
func (n *Node) handleStoreUnreachable(from wire.NodeID, unreachable bool, now time.Time) {
	if unreachable {
		n.store.unreachable[from] = now
	} else {
		delete(n.store.unreachable, from)
	}
}

// storeRead announces a reading of the store by this router, and what it changed. ReadStore must
// have been called.
func (n *Node) storeRead(in StoreRead, now time.Time) {
	s := &n.store
	s.ownSeq++
	s.latest = wire.StoreReading{Reader: n.settings.ID, Inc: n.settings.Inc, No: s.ownSeq}
	s.latestSteadyMS = uint32(min(now.Sub(s.outages.spans[n.settings.ID].from).Milliseconds(), math.MaxUint32))
	s.at, s.failedAt = now, time.Time{}
	if s.noticeDue {
		s.noticeDue = false
		n.sendReading(n.changeRecipients(now), now)
	}
	if in.Delta != nil {
		n.sendDelta(n.changeRecipients(now), in.Delta, now)
	}
	if in.FullListing {
		n.offerContent(n.changeRecipients(now), now) // the changes are not known
	}
}

// handleReading records a reading that a peer announces, if it is newer than the known one, and an
// outage that the peer announces with it.
func (n *Node) handleReading(from wire.NodeID, t *wire.StoreReading, span wire.ReadingSpan, now time.Time) {
	if n.isNewReading(t) {
		n.recordReading(from, t, span, now)
	}
	if t.RecoveredMS > 0 {
		n.handleOutage(from, t, span, now)
	}
}

// isNewReading reports whether a reading is of another router and newer than the known one.
func (n *Node) isNewReading(t *wire.StoreReading) bool {
	old, known := n.store.byReader[t.Reader]
	return t.Reader != n.settings.ID && (!known || t.Inc > old.inc || t.Inc == old.inc && t.No > old.seq)
}

func (n *Node) recordReading(from wire.NodeID, t *wire.StoreReading, span wire.ReadingSpan, now time.Time) {
	s := &n.store
	s.byReader[t.Reader] = readingID{t.Inc, t.No}
	at := now.Add(-time.Duration(t.AgeMS) * time.Millisecond)
	if at.After(s.at) {
		s.latest, s.latestSteadyMS, s.at = *t, span.SteadyMS, at
	}
	disproved := s.outages.read(t.Reader, peerSpan(at, time.Duration(span.SteadyMS)*time.Millisecond))
	n.reportDisproved(t.Reader, disproved, now)
	if len(disproved) > 0 && !n.InSamePlace(from) && n.isRelay(now) {
		n.sendReading(n.neighbours(), now)
	}
}

// handleDelta handles a peer's changes of the store's content. They are applied if they
// follow the known content; otherwise the whole content is fetched.
func (n *Node) handleDelta(from wire.NodeID, d *wire.StoreDelta, now time.Time) {
	if d.To <= n.catalogue.AsOf {
		return
	}
	if n.catalogue.Table != nil && !d.Table && d.From <= n.catalogue.AsOf {
		n.relayDelta(from, d, now)
		n.out = append(n.out, ApplyDelta{From: from, Delta: d})
		return
	}
	n.recordNewerContent(from, newerContent{revision: d.To}, now)
}

// recordNewerContent records whether a peer has a later change of the store's content, or a
// newer table, than this router.
func (n *Node) recordNewerContent(from wire.NodeID, theirs newerContent, now time.Time) {
	if theirs.revision == 0 || n.hasContent(theirs) {
		delete(n.newerContent, from)
		return
	}
	a, known := n.newerContent[from]
	if known && a.revision >= theirs.revision && a.table >= theirs.table {
		return
	}
	theirs.due = now.Add(n.fetchDelay(from, now))
	if known && a.due.Before(theirs.due) {
		theirs.due = a.due
	}
	n.newerContent[from] = theirs
}

// hasContent reports whether this router has all that a peer has. After the store was
// restored from a copy, a router that has just listed it may have an older table than its
// peers as of the same revision.
func (n *Node) hasContent(a newerContent) bool {
	return n.catalogue.Table != nil && a.revision <= n.catalogue.AsOf && a.table <= n.tableNumber()
}

// tableNumber returns the number of the current table, 0 before any.
func (n *Node) tableNumber() uint64 {
	if n.catalogue.Table == nil {
		return 0
	}
	return n.catalogue.Table.Number
}

// tickFetch fetches content from a peer that has had newer content for long enough.
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
	// If this fetch fails, the next one is from another peer.
	a := n.newerContent[best]
	a.due = now.Add(2 * contentFetchTimeout)
	n.newerContent[best] = a
}

// bestContentPeer returns the peer to fetch content from: one in the own place before all
// others, and among those the one with the latest content. It is empty if no fetch is due.
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

// prefersContentOf reports whether to fetch content from id rather than from than.
func (n *Node) prefersContentOf(id, than wire.NodeID) bool {
	if near, other := n.InSamePlace(id), n.InSamePlace(than); near != other {
		return near
	}
	if a, b := n.newerContent[id].revision, n.newerContent[than].revision; a != b {
		return a > b
	}
	return id < than
}
