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
	// maxFullScan is the largest pool of which each decision looks at every upstream: more
	// than a decision would otherwise look at.
	maxFullScan = 128
	// maxLocalHolders and maxRemoteHolders are how many upstreams that keep a part are looked at
	// in the caller's place and in each other place.
	maxLocalHolders  = 16
	maxRemoteHolders = 4
	// maxLocalInUse and maxRemoteInUse are the same of those in use. The best of a few taken in
	// turn is nearly as little loaded as the best of all (power of d choices, Mitzenmacher
	// 2001).
	maxLocalInUse  = 8
	maxRemoteInUse = 2
	// maxUnusedScan bounds the search for one that is not in use and takes work.
	maxUnusedScan = 16
)

// isSmall reports whether a decision looks at every upstream.
func (p *pool) isSmall() bool { return len(p.order) <= maxFullScan }

// look is the list of those that a decision looks at.
type look struct {
	decisionNo uint64 // of the decision
	upstreams  []*upstream
}

func (l *look) reset() {
	l.decisionNo++
	l.upstreams = l.upstreams[:0]
}

// add takes an upstream, once.
func (l *look) add(u *upstream) {
	if u.lookedAt == l.decisionNo {
		return
	}
	u.lookedAt = l.decisionNo
	l.upstreams = append(l.upstreams, u)
}

// addRotating takes up to so many of a list, beginning at another one in each decision.
func (l *look) addRotating(list []*upstream, most int) {
	if len(list) == 0 {
		return
	}
	first := int(l.decisionNo % uint64(len(list)))
	for i := range min(most, len(list)) {
		l.add(list[(first+i)%len(list)])
	}
}

// candidates returns the upstreams that a decision looks at.
func (p *pool) candidates(a *wire.WorkAsk, now time.Time) []*upstream {
	if p.isSmall() {
		return p.order
	}
	l := &p.look
	l.reset()
	p.addHolders(a)
	for _, set := range p.sortedPlaces() {
		set.addInUse(l, limitFor(set, a, maxLocalInUse, maxRemoteInUse))
		p.addUnused(set, a, now)
	}
	return l.upstreams
}

// limitFor is how many upstreams of a place are looked at: of the caller's own, or of another.
func limitFor(set *placeSet, a *wire.WorkAsk, own, away int) int {
	if set.id == a.Place {
		return own
	}
	return away
}

// addHolders takes those that keep parts of the prompt, the longest beginnings first.
func (p *pool) addHolders(a *wire.WorkAsk) {
	if p.engine == nil || p.without.Parts {
		return
	}
	for i := len(a.Parts) - 1; i >= 0; i-- {
		for _, set := range p.sortedPlaces() {
			p.look.addRotating(p.holders[partInPlace{a.Parts[i].Part, set.id}], limitFor(set, a, maxLocalHolders, maxRemoteHolders))
		}
		if len(p.look.upstreams) >= maxLocalHolders {
			return
		}
	}
}

// addInUse takes a few of those in use, others in each decision.
func (s *placeSet) addInUse(l *look, most int) {
	for range min(most, len(s.inUse)) {
		s.nextInUse = (s.nextInUse + 1) % len(s.inUse)
		l.add(s.inUse[s.nextInUse])
	}
}

// addUnused takes the next upstream that is not in use and takes the request, if there is
// one nearby. It is the same in each decision until it is used.
func (p *pool) addUnused(s *placeSet, a *wire.WorkAsk, now time.Time) {
	if len(s.inUse) == len(s.all) {
		return
	}
	for range min(maxUnusedScan, len(s.all)) {
		s.nextUnused %= len(s.all)
		if u := s.all[s.nextUnused]; u.inUse == notInUse && u.accepts(a, false, now) && p.coldRoom(u, now) {
			p.look.add(u)
			return
		}
		s.nextUnused++
	}
}

// others returns upstreams beyond the candidates that take a request, where none of the
// candidates does.
func (p *pool) furtherCandidates(a *wire.WorkAsk, rested bool, now time.Time) []*upstream {
	l := &p.look
	l.upstreams = l.upstreams[:0]
	first := int(l.decisionNo % uint64(len(p.order)))
	for i := range p.order {
		u := p.order[(first+i)%len(p.order)]
		if u.lookedAt != l.decisionNo && p.hasRoom(u, a, rested, now) {
			l.add(u)
		}
		if len(l.upstreams) == maxFullScan {
			break
		}
	}
	return l.upstreams
}

// holders are the engines that keep a part of prompts, by place.
type holders map[partInPlace][]*upstream

type partInPlace struct {
	part  uint64
	place version.ID
}

// holderRecorder notes which parts one engine keeps. Its zero value notes nothing.
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
