package dispatch

import (
	"time"

	"github.com/silverswitch/silverswitch/internal/core/wire"
	"github.com/silverswitch/silverswitch/internal/version"
)

// Candidates: the upstreams that a decision compares. In a small pool these are all
// upstreams. In a larger one they are, in each place, those that have cached parts of the
// prompt, a few of the working set, and one outside it. A decision therefore takes the same
// time for 60 upstreams and for 12,000.

// Limits on the number of candidates.
const (
	// maxFullScan is the size of the largest pool of which each decision compares all
	// upstreams. It is more than a decision compares in a larger pool.
	maxFullScan = 128
	// maxLocalHolders and maxRemoteHolders limit the candidates that have cached a part of
	// the prompt, in the caller's place and in each other place.
	maxLocalHolders  = 16
	maxRemoteHolders = 4
	// maxLocalInUse and maxRemoteInUse are the same limits for upstreams of the working
	// set. The best of a few upstreams taken in rotation is nearly as little loaded as the
	// best of all (power of d choices, Mitzenmacher 2001).
	maxLocalInUse  = 8
	maxRemoteInUse = 2
	// maxUnusedScan limits the search for an upstream outside the working set that accepts
	// the request.
	maxUnusedScan = 16
)

// isSmall reports whether a decision compares all upstreams of the pool.
func (p *pool) isSmall() bool { return len(p.order) <= maxFullScan }

// candidateList is the list of candidates of one decision.
type candidateList struct {
	decisionNo uint64 // counts decisions
	upstreams  []*upstream
}

func (l *candidateList) reset() {
	l.decisionNo++
	l.upstreams = l.upstreams[:0]
}

// add appends an upstream unless it is on the list already.
func (l *candidateList) add(u *upstream) {
	if u.lastDecision == l.decisionNo {
		return
	}
	u.lastDecision = l.decisionNo
	l.upstreams = append(l.upstreams, u)
}

// addRotating adds up to limit upstreams of a list, from another starting point in each
// decision.
func (l *candidateList) addRotating(list []*upstream, limit int) {
	if len(list) == 0 {
		return
	}
	first := int(l.decisionNo % uint64(len(list)))
	for i := range min(limit, len(list)) {
		l.add(list[(first+i)%len(list)])
	}
}

// candidates returns the upstreams that a decision compares.
func (p *pool) candidates(a *wire.PlacementRequest, now time.Time) []*upstream {
	if p.isSmall() {
		return p.order
	}
	l := &p.candidateList
	l.reset()
	p.addHolders(a)
	for _, set := range p.sortedPlaces() {
		set.addInUse(l, limitFor(set, a, maxLocalInUse, maxRemoteInUse))
		p.addUnused(set, a, now)
	}
	return l.upstreams
}

// limitFor returns the limit that applies to a place: own for the caller's place, away for
// any other.
func limitFor(set *placeSet, a *wire.PlacementRequest, own, away int) int {
	if set.id == a.Place {
		return own
	}
	return away
}

// addHolders adds engines that have cached parts of the prompt, the longest prefixes first.
func (p *pool) addHolders(a *wire.PlacementRequest) {
	if p.engine == nil || p.disabled.Parts {
		return
	}
	for i := len(a.Parts) - 1; i >= 0; i-- {
		for _, set := range p.sortedPlaces() {
			p.candidateList.addRotating(p.holders[partInPlace{a.Parts[i].Part, set.id}], limitFor(set, a, maxLocalHolders, maxRemoteHolders))
		}
		if len(p.candidateList.upstreams) >= maxLocalHolders {
			return
		}
	}
}

// addInUse adds a few upstreams of the working set, in rotation.
func (s *placeSet) addInUse(l *candidateList, limit int) {
	for range min(limit, len(s.inUse)) {
		s.nextInUse = (s.nextInUse + 1) % len(s.inUse)
		l.add(s.inUse[s.nextInUse])
	}
}

// addUnused adds the next upstream outside the working set that accepts the request, if one
// is found nearby. It stays the same for all decisions until it is used.
func (p *pool) addUnused(s *placeSet, a *wire.PlacementRequest, now time.Time) {
	if len(s.inUse) == len(s.all) {
		return
	}
	for range min(maxUnusedScan, len(s.all)) {
		s.nextUnused %= len(s.all)
		if u := s.all[s.nextUnused]; u.inUse == notInUse && u.accepts(a, false, now) && p.admitsIfCold(u, now) {
			p.candidateList.add(u)
			return
		}
		s.nextUnused++
	}
}

// furtherCandidates returns upstreams beyond the candidates that accept a request, for when
// no candidate does.
func (p *pool) furtherCandidates(a *wire.PlacementRequest, includeEjected bool, now time.Time) []*upstream {
	l := &p.candidateList
	l.upstreams = l.upstreams[:0]
	first := int(l.decisionNo % uint64(len(p.order)))
	for i := range p.order {
		u := p.order[(first+i)%len(p.order)]
		if u.lastDecision != l.decisionNo && p.hasRoom(u, a, includeEjected, now) {
			l.add(u)
		}
		if len(l.upstreams) == maxFullScan {
			break
		}
	}
	return l.upstreams
}

// holders maps each prompt part to the engines that have cached it, by place.
type holders map[partInPlace][]*upstream

type partInPlace struct {
	part  uint64
	place version.ID
}

// holderRecorder records which parts one engine has cached. Its zero value records nothing.
type holderRecorder struct {
	holders holders
	up      *upstream
}

func (h holders) recorderFor(u *upstream) holderRecorder { return holderRecorder{h, u} }

func (b holderRecorder) added(part uint64) {
	if b.holders == nil {
		return
	}
	at := partInPlace{part, b.up.place}
	b.holders[at] = append(b.holders[at], b.up)
}

func (b holderRecorder) dropped(part uint64) {
	if b.holders == nil {
		return
	}
	at := partInPlace{part, b.up.place}
	list := b.holders[at]
	for i, u := range list {
		if u == b.up {
			list[i] = list[len(list)-1]
			list[len(list)-1] = nil
			list = list[:len(list)-1]
			break
		}
	}
	if len(list) == 0 {
		delete(b.holders, at)
		return
	}
	b.holders[at] = list
}
