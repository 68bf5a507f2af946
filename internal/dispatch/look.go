package dispatch

import (
	"time"

	"github.com/silverswitch/silverswitch/internal/core/wire"
	"github.com/silverswitch/silverswitch/internal/version"
)

// Which upstreams a decision looks at. In a small pool all; in a larger one those that keep
// the prompt's shared parts, a few of those in use, and one that is not, in each place. So a
// decision takes the same time before 60 upstreams and before 12,000.

// Bounds of a look.
const (
	// lookAtAll is the largest pool of which each decision looks at every upstream: more
	// than a decision would otherwise look at.
	lookAtAll = 128
	// lookHolders and lookHoldersAway are how many upstreams that keep a part are looked at
	// in the caller's place and in each other place.
	lookHolders     = 16
	lookHoldersAway = 4
	// lookInUse and lookInUseAway are the same of those in use. The best of a few taken in
	// turn is nearly as little loaded as the best of all (power of d choices, Mitzenmacher
	// 2001).
	lookInUse     = 8
	lookInUseAway = 2
	// unusedSteps bounds the search for one that is not in use and takes work.
	unusedSteps = 16
)

// isSmall reports whether a decision looks at every upstream.
func (p *pool) isSmall() bool { return len(p.order) <= lookAtAll }

// look is the list of those that a decision looks at.
type look struct {
	no   uint64 // of the decision
	list []*upstream
}

func (l *look) begin() {
	l.no++
	l.list = l.list[:0]
}

// add takes an upstream, once.
func (l *look) add(u *upstream) {
	if u.lookedAt == l.no {
		return
	}
	u.lookedAt = l.no
	l.list = append(l.list, u)
}

// addSome takes up to so many of a list, beginning at another one in each decision.
func (l *look) addSome(list []*upstream, most int) {
	if len(list) == 0 {
		return
	}
	first := int(l.no % uint64(len(list)))
	for i := range min(most, len(list)) {
		l.add(list[(first+i)%len(list)])
	}
}

// candidates returns the upstreams that a decision looks at.
func (p *pool) candidates(a *wire.PlacementRequest, now time.Time) []*upstream {
	if p.isSmall() {
		return p.order
	}
	l := &p.look
	l.begin()
	p.addHolders(a)
	for _, set := range p.byPlace() {
		set.addInUse(l, looksAt(set, a, lookInUse, lookInUseAway))
		p.addUnused(set, a, now)
	}
	return l.list
}

// looksAt is how many upstreams of a place are looked at: of the caller's own, or of another.
func looksAt(set *placeSet, a *wire.PlacementRequest, own, away int) int {
	if set.id == a.Place {
		return own
	}
	return away
}

// addHolders takes those that keep parts of the prompt, the longest beginnings first.
func (p *pool) addHolders(a *wire.PlacementRequest) {
	if p.engine == nil || p.without.Parts {
		return
	}
	for i := len(a.Parts) - 1; i >= 0; i-- {
		for _, set := range p.byPlace() {
			p.look.addSome(p.holders[partAt{a.Parts[i].Part, set.id}], looksAt(set, a, lookHolders, lookHoldersAway))
		}
		if len(p.look.list) >= lookHolders {
			return
		}
	}
}

// addInUse takes a few of those in use, others in each decision.
func (s *placeSet) addInUse(l *look, most int) {
	for range min(most, len(s.inUse)) {
		s.turn = (s.turn + 1) % len(s.inUse)
		l.add(s.inUse[s.turn])
	}
}

// addUnused takes the next upstream that is not in use and takes the request, if there is
// one nearby. It is the same in each decision until it is used.
func (p *pool) addUnused(s *placeSet, a *wire.PlacementRequest, now time.Time) {
	if len(s.inUse) == len(s.all) {
		return
	}
	for range min(unusedSteps, len(s.all)) {
		s.next %= len(s.all)
		if u := s.all[s.next]; u.inUse == notInUse && u.takes(a, false, now) && p.coldRoom(u, now) {
			p.look.add(u)
			return
		}
		s.next++
	}
}

// others returns upstreams beyond the candidates that take a request, where none of the
// candidates does.
func (p *pool) others(a *wire.PlacementRequest, rested bool, now time.Time) []*upstream {
	l := &p.look
	l.list = l.list[:0]
	first := int(l.no % uint64(len(p.order)))
	for i := range p.order {
		u := p.order[(first+i)%len(p.order)]
		if u.lookedAt != l.no && p.hasRoom(u, a, rested, now) {
			l.add(u)
		}
		if len(l.list) == lookAtAll {
			break
		}
	}
	return l.list
}

// holders are the engines that keep a part of prompts, by place.
type holders map[partAt][]*upstream

type partAt struct {
	part  uint64
	place version.ID
}

// heldBy notes which parts one engine keeps. Its zero value notes nothing.
type heldBy struct {
	holders holders
	up      *upstream
}

func (h holders) of(u *upstream) heldBy { return heldBy{h, u} }

func (b heldBy) added(part uint64) {
	if b.holders == nil {
		return
	}
	at := partAt{part, b.up.place}
	b.holders[at] = append(b.holders[at], b.up)
}

func (b heldBy) dropped(part uint64) {
	if b.holders == nil {
		return
	}
	at := partAt{part, b.up.place}
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
