package dispatch

import (
	"slices"
	"time"

	"github.com/silverswitch/silverswitch/internal/core/wire"
	"github.com/silverswitch/silverswitch/internal/version"
)

// When a new stream may begin elsewhere than at its home. Whoever lacks its record takes it for its home's,
// so those that keep records have to know first that streams leave that home. One question tells them,
// and its answers hold for a while.

const (
	// maxCarried bounds the questions without answers of which it is kept what they carry.
	maxCarried = 32
	// leaveHomeLease is how long streams may begin elsewhere after a question about it was asked that
	// was answered. It is less than listDelay, by which the time elsewhere is extended in histories.
	leaveHomeLease = 2 * time.Second
	// leaveHomeRenewal is the age of the lease from which it is renewed.
	leaveHomeRenewal = 500 * time.Millisecond
	// maxLeaveWait is how long a new stream waits until it may begin elsewhere.
	maxLeaveWait = 150 * time.Millisecond
)

// leaving is for how long the streams of a version have wanted to leave it.
type leaving struct{ since, last time.Time }

// mayLeaveHome reports whether streams whose home runs a version may begin at another one: enough of
// those that keep the records know of it, so that nobody takes such a stream for its home's. If not,
// they are asked; waits reports that they may answer soon.
func (n *Node) mayLeaveHome(p *pool, home version.ID, now time.Time) (may, waits bool) {
	r := &p.records
	if now.Sub(r.leaves[home]) < leaveHomeRenewal {
		return true, false
	}
	w, known := r.wanted[home]
	if !known || now.Sub(w.last) >= confirmationTTL {
		w.since = now
	}
	w.last = now
	if r.wanted == nil {
		r.wanted = map[version.ID]leaving{}
	}
	r.wanted[home] = w
	n.breakCover(p, home, true, now)
	v := n.votersOf(p, now)
	answerable := len(v.list) >= v.half
	if answerable && now.Sub(r.askedAt) >= queryPace.Next {
		n.queryRecords(p, false, now)
	}
	may = now.Sub(r.leaves[home]) < leaveHomeLease
	return may, !may && answerable && now.Sub(later(w.since, r.leaves[home])) < maxLeaveWait
}

// beginsAt returns the version at which a new stream has to begin, 0 for any. waits reports that it may
// soon begin elsewhere than at its home.
func (n *Node) beginsAt(p *pool, a *wire.PlacementRequest, now time.Time) (v version.ID, waits bool) {
	v = p.homeOf(a, now)
	home, mixed := p.history.home(a.Stream)
	if !mixed || v == home || !p.isServedIn(home, a.Regions) {
		return v, false
	}
	may, waits := n.mayLeaveHome(p, home, now)
	switch {
	case may:
		return v, false
	case waits:
		return 0, true
	}
	return home, false
}

// isServedIn reports whether a version has upstreams in the allowed regions, usable or not.
func (p *pool) isServedIn(v version.ID, regions []version.ID) bool {
	return slices.ContainsFunc(p.order, func(u *upstream) bool { return u.version == v && u.inAllowedRegion(regions) })
}

// carried is what is known once a question has enough answers.
type carried struct {
	left    map[version.ID]time.Time // versions whose streams may leave them, as of when those who answer know that
	history bool                     // the voters have sent their histories
}

// carry notes what is known once a question is answered. Questions that nobody answers are forgotten.
func (r *serviceRecords) carry(no uint64, history bool, now time.Time) {
	if r.carried == nil {
		r.carried = map[uint64]carried{}
	}
	c := carried{history: history, left: map[version.ID]time.Time{}}
	for v, w := range r.wanted {
		if now.Sub(w.last) < confirmationTTL {
			c.left[v] = w.last
		} else {
			delete(r.wanted, v)
		}
	}
	r.carried[no] = c
	delete(r.carried, no-maxCarried)
}

// mayLeave lets streams leave their homes once a question has told that they do.
func (r *serviceRecords) mayLeave(no uint64) {
	for v, at := range r.carried[no].left {
		if r.leaves == nil {
			r.leaves = map[version.ID]time.Time{}
		}
		r.leaves[v] = later(r.leaves[v], at)
	}
}
