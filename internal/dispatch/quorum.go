package dispatch

import (
	"time"

	"github.com/silverswitch/silverswitch/internal/core/wire"
	"github.com/silverswitch/silverswitch/internal/version"
)

// Whether this router is with most of the fleet: what it believes may be old otherwise, and
// another router may have the same role.

// quorum is whether this router hears more than half of the routers that it knows of, and
// routers in at least half of the places, kept for quorumCacheTTL. Membership takes three
// seconds to find that routers are gone; what is heard directly tells sooner.
type quorum struct {
	at   time.Time
	held bool
}

const (
	// quorumWindow and quorumWindowLarge are how old the last datagram of a router may be that
	// counts as heard. Each router tells those that schedule what it uses every 200 ms in a
	// small fleet, and about every second in a large one.
	quorumWindow      = 500 * time.Millisecond
	quorumWindowLarge = 1200 * time.Millisecond
	// quorumCacheTTL is small beside both: counting costs a look at every router.
	quorumCacheTTL = 50 * time.Millisecond
	// freshReadingAge is how old a reading of the store is news: less than the pause between two.
	freshReadingAge = 200 * time.Millisecond
)

func (n *Node) quorumWindow() time.Duration {
	if n.isLarge() {
		return quorumWindowLarge
	}
	return quorumWindow
}

func (q *quorum) holds(n *Node, now time.Time) bool {
	if q.at.IsZero() || now.Sub(q.at) >= quorumCacheTTL {
		*q = quorum{at: now, held: n.hearsMajority(now)}
	}
	return q.held
}

func (n *Node) hearsMajority(now time.Time) bool {
	heard := n.members.HeardSince(now.Add(-n.quorumWindow()))
	heard.Places[n.settings.Place] = true
	for place := range n.upstreamPlaces {
		if _, known := heard.Places[place]; !known {
			heard.Places[place] = false
		}
	}
	places := 0
	for _, isHeard := range heard.Places {
		if isHeard {
			places++
		}
	}
	return 2*(heard.Routers+1) > n.fleetSize() && 2*places >= len(heard.Places)
}

// mayMissColdStart reports whether a router that places requests may not know that an upstream
// has turned cold: it hears the lesser part of the fleet, and nobody there has read the
// store just now.
func (n *Node) mayMissColdStart(now time.Time) bool {
	return n.mayBeStale(now) && !n.quorum.holds(n, now)
}

// mayBePartitioned reports whether this router may have been cut off a moment ago: it decided in
// place of its scheduler, or that is another one since.
func (n *Node) mayBePartitioned(by wire.NodeID, service version.ID, now time.Time) bool {
	if !n.mayBeStale(now) {
		return false
	}
	alone := by == n.settings.ID && n.schedulerOf(service, now) != by
	return alone || now.Sub(n.heartbeats.schedulerSince[service]) < n.quorumWindow()
}

// mayBeStale reports whether others may know what this router does not: it is not the
// whole fleet, and the store was not read just now.
func (n *Node) mayBeStale(now time.Time) bool {
	return n.fleetSize() > 1 && now.Sub(n.store.at) >= freshReadingAge
}
