package dispatch

import (
	"time"

	"github.com/silverswitch/silverswitch/internal/core/wire"
	"github.com/silverswitch/silverswitch/internal/version"
)

// Whether this router is in contact with most of the fleet. If not, what it knows may be
// outdated, and another router may have the same role.

// quorum says whether this router receives datagrams of more than half of the known routers,
// and of routers in at least half of the places. The result is cached for quorumCacheTTL.
// Membership needs three seconds to detect that routers are gone; the age of received datagrams
// shows it sooner.
type quorum struct {
	at        time.Time
	hasQuorum bool
}

const (
	// quorumWindow and quorumWindowLarge are the greatest age of the last datagram of a router
	// that counts as in contact. Each router sends its usage to the scheduler groups every
	// 200 ms in a small fleet, and about every second in a large one.
	quorumWindow      = 500 * time.Millisecond
	quorumWindowLarge = 1200 * time.Millisecond
	// quorumCacheTTL is small compared with both; counting has to look at every router.
	quorumCacheTTL = 50 * time.Millisecond
	// freshReadingAge is the age up to which a reading of the store is fresh: less than the
	// pause between two readings.
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
		*q = quorum{at: now, hasQuorum: n.receivesFromMajority(now)}
	}
	return q.hasQuorum
}

func (n *Node) receivesFromMajority(now time.Time) bool {
	contacts := n.members.ReceivedSince(now.Add(-n.quorumWindow()))
	contacts.Places[n.settings.Place] = true
	for place := range n.upstreamPlaces {
		if _, known := contacts.Places[place]; !known {
			contacts.Places[place] = false
		}
	}
	places := 0
	for _, inContact := range contacts.Places {
		if inContact {
			places++
		}
	}
	return 2*(contacts.Routers+1) > n.fleetSize() && 2*places >= len(contacts.Places)
}

// mayMissColdStart reports whether this router may not know that an upstream has turned cold:
// it is in the smaller part of the fleet, and no router there has just read the store.
func (n *Node) mayMissColdStart(now time.Time) bool {
	return n.mayBeStale(now) && !n.quorum.holds(n, now)
}

// mayBePartitioned reports whether this router may have been cut off a moment ago: it decided
// in place of its scheduler, or the scheduler has changed since.
func (n *Node) mayBePartitioned(by wire.NodeID, service version.ID, now time.Time) bool {
	if !n.mayBeStale(now) {
		return false
	}
	alone := by == n.settings.ID && n.schedulerOf(service, now) != by
	return alone || now.Sub(n.heartbeats.schedulerSince[service]) < n.quorumWindow()
}

// mayBeStale reports whether other routers may know of changes that this one does not: it is
// not the whole fleet, and the store was not read just now.
func (n *Node) mayBeStale(now time.Time) bool {
	return n.fleetSize() > 1 && now.Sub(n.store.at) >= freshReadingAge
}
