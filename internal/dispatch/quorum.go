package dispatch

import (
	"time"

	"github.com/silverswitch/silverswitch/internal/core/wire"
	"github.com/silverswitch/silverswitch/internal/version"
)

// Whether this router is with most of the fleet: what it believes may be old otherwise, and
// another router may have the same role.

// quorum is whether this router hears more than half of the routers that it knows of, and
// routers in at least half of the places, kept for quorumEvery. Membership takes three
// seconds to find that routers are gone; what is heard directly tells sooner.
type quorum struct {
	at   time.Time
	held bool
}

const (
	// heardWithin and heardWithinLarge are how old the last datagram of a router may be that
	// counts as heard. Each router tells those that schedule what it uses every 200 ms in a
	// small fleet, and about every second in a large one.
	heardWithin      = 500 * time.Millisecond
	heardWithinLarge = 1200 * time.Millisecond
	// quorumEvery is small beside both: counting costs a look at every router.
	quorumEvery = 50 * time.Millisecond
	// storeFresh is how old a reading of the store is news: less than the pause between two.
	storeFresh = 200 * time.Millisecond
)

func (n *Node) heardWithin() time.Duration {
	if n.isLarge() {
		return heardWithinLarge
	}
	return heardWithin
}

func (q *quorum) holds(n *Node, now time.Time) bool {
	if q.at.IsZero() || now.Sub(q.at) >= quorumEvery {
		*q = quorum{at: now, held: n.hearsMost(now)}
	}
	return q.held
}

func (n *Node) hearsMost(now time.Time) bool {
	heard := n.members.ReceivedSince(now.Add(-n.heardWithin()))
	heard.Places[n.set.Place] = true
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

// mayMissNews reports whether a router that places requests may not know that an upstream
// has turned cold: it hears the lesser part of the fleet, and nobody there has read the
// store just now.
func (n *Node) mayMissNews(now time.Time) bool {
	return n.mayBeBehind(now) && !n.quorum.holds(n, now)
}

// mayBeCut reports whether this router may have been cut off a moment ago: it decided in
// place of its scheduler, or that is another one since.
func (n *Node) mayBeCut(by wire.NodeID, service version.ID, now time.Time) bool {
	if !n.mayBeBehind(now) {
		return false
	}
	alone := by == n.set.ID && n.schedulerOf(service, now) != by
	return alone || now.Sub(n.beats.changed[service]) < n.heardWithin()
}

// mayBeBehind reports whether others may know what this router does not: it is not the
// whole fleet, and the store was not read just now.
func (n *Node) mayBeBehind(now time.Time) bool {
	return n.fleetSize() > 1 && now.Sub(n.store.at) >= storeFresh
}
