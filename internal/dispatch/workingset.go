package dispatch

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/silverswitch/silverswitch/internal/version"
)

// The working set. Of a service's upstreams in a place some are in use: they were given work
// a short while ago. All others are known by their entries alone: nobody reads what they
// keep, and no connection is held to them. One of them is among those that each decision
// looks at, so that the set grows by as many requests as come, at once, and it shrinks slowly.
//
// Load pattern: thousands of engines, 98 of 100 idle, and a thousand requests a second that
// share parts. Strewn over all engines, shared parts are read again at each, and decisions
// that look at all take the whole of the scheduler's processor.

// unusedFor is how long an upstream stays in the working set without work: a few times as
// long as shared parts of prompts are asked for again.
const unusedFor = 20 * time.Second

// notInUse is the place in the working set of an upstream outside it.
const notInUse = -1

// placeSet is the upstreams of one service in one place.
type placeSet struct {
	id    version.ID
	name  string
	all   []*upstream // by ID
	inUse []*upstream
	turn  int // of inUse: where the next look begins
	next  int // of all: where the next upstream that is not in use is looked for
}

// placeOf returns the set of a place.
func (p *pool) placeOf(name string) *placeSet {
	id := version.IDOf(name)
	set := p.places[id]
	if set == nil {
		set = &placeSet{id: id, name: name}
		p.places[id] = set
		p.placeOrder = nil
	}
	return set
}

func (s *placeSet) add(u *upstream) {
	u.set = s
	s.all = inserted(s.all, u)
}

func (s *placeSet) remove(u *upstream) {
	s.leave(u)
	s.all = removed(s.all, u)
}

// touch notes that an upstream is used.
func (u *upstream) touch(now time.Time) {
	u.lastUsed = now
	if u.inUse != notInUse || u.set == nil {
		return
	}
	u.inUse = len(u.set.inUse)
	u.set.inUse = append(u.set.inUse, u)
}

// leave takes an upstream out of the working set.
func (s *placeSet) leave(u *upstream) {
	if u.inUse == notInUse {
		return
	}
	last := s.inUse[len(s.inUse)-1]
	s.inUse[u.inUse] = last
	last.inUse = u.inUse
	s.inUse = s.inUse[:len(s.inUse)-1]
	u.inUse = notInUse
}

// shrink takes those out of the working set that had no work for long.
func (s *placeSet) shrink(now time.Time) {
	for i := len(s.inUse) - 1; i >= 0; i-- {
		if u := s.inUse[i]; u.running() == 0 && now.Sub(u.lastUsed) >= unusedFor {
			s.leave(u)
		}
	}
}

// inUse returns the upstreams in use; in a small pool all are taken for that.
func (p *pool) inUse() []*upstream {
	if p.isSmall() {
		return p.order
	}
	var out []*upstream
	for _, set := range p.byPlace() {
		out = append(out, set.inUse...)
	}
	return out
}

// byPlace returns the places, sorted.
func (p *pool) byPlace() []*placeSet {
	if p.placeOrder == nil {
		p.placeOrder = slices.SortedFunc(maps.Values(p.places), func(a, b *placeSet) int { return cmp.Compare(a.id, b.id) })
	}
	return p.placeOrder
}

func byID(a *upstream, id version.ID) int { return cmp.Compare(a.id, id) }

// inserted adds an upstream to a list that is sorted by ID.
func inserted(list []*upstream, u *upstream) []*upstream {
	i, _ := slices.BinarySearchFunc(list, u.id, byID)
	return slices.Insert(list, i, u)
}

// removed takes an upstream out of a list that is sorted by ID.
func removed(list []*upstream, u *upstream) []*upstream {
	if i, found := slices.BinarySearchFunc(list, u.id, byID); found {
		return slices.Delete(list, i, i+1)
	}
	return list
}
