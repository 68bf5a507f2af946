package dispatch

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/silverswitch/silverswitch/internal/version"
)

// The working set is the upstreams of a service in a place that were given requests
// recently. All others are known only by their entries in the store: their caches are not
// followed, and no connections are kept to them. One upstream outside the set is a
// candidate in each decision, so that the set grows at once with the load; it shrinks
// slowly.
//
// Load pattern: thousands of engines, 98 of 100 idle, and a thousand requests a second that
// share prompt parts. If requests are spread over all engines, each engine reads the shared
// parts again, and decisions that compare all engines take up the scheduler's whole CPU.

// workingSetIdleTimeout is how long an upstream stays in the working set without requests:
// a few times as long as it takes until shared prompt parts are requested again.
const workingSetIdleTimeout = 20 * time.Second

// notInUse is the index of an upstream that is not in the working set.
const notInUse = -1

// placeSet holds the upstreams of one service in one place.
type placeSet struct {
	id         version.ID
	name       string
	all        []*upstream // sorted by ID
	inUse      []*upstream
	nextInUse  int // index in inUse where the next decision starts
	nextUnused int // index in all where the next search for an unused upstream starts
}

// placeSetOf returns the set of a place, creating it if needed.
func (p *pool) placeSetOf(name string) *placeSet {
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
	s.all = insertSorted(s.all, u)
}

func (s *placeSet) remove(u *upstream) {
	s.retire(u)
	s.all = removeSorted(s.all, u)
}

// markUsed records a use of an upstream and adds it to the working set.
func (u *upstream) markUsed(now time.Time) {
	u.lastUsed = now
	if u.inUse != notInUse || u.set == nil {
		return
	}
	u.inUse = len(u.set.inUse)
	u.set.inUse = append(u.set.inUse, u)
}

// retire removes an upstream from the working set.
func (s *placeSet) retire(u *upstream) {
	if u.inUse == notInUse {
		return
	}
	last := s.inUse[len(s.inUse)-1]
	s.inUse[u.inUse] = last
	last.inUse = u.inUse
	s.inUse = s.inUse[:len(s.inUse)-1]
	u.inUse = notInUse
}

// shrink removes upstreams without recent requests from the working set.
func (s *placeSet) shrink(now time.Time) {
	for i := len(s.inUse) - 1; i >= 0; i-- {
		if u := s.inUse[i]; u.running() == 0 && now.Sub(u.lastUsed) >= workingSetIdleTimeout {
			s.retire(u)
		}
	}
}

// inUse returns the working set; in a small pool it is all upstreams.
func (p *pool) inUse() []*upstream {
	if p.isSmall() {
		return p.order
	}
	var out []*upstream
	for _, set := range p.sortedPlaces() {
		out = append(out, set.inUse...)
	}
	return out
}

// sortedPlaces returns the places sorted by ID.
func (p *pool) sortedPlaces() []*placeSet {
	if p.placeOrder == nil {
		p.placeOrder = slices.SortedFunc(maps.Values(p.places), func(a, b *placeSet) int { return cmp.Compare(a.id, b.id) })
	}
	return p.placeOrder
}

func compareID(a *upstream, id version.ID) int { return cmp.Compare(a.id, id) }

// insertSorted adds an upstream to a list that is sorted by ID.
func insertSorted(list []*upstream, u *upstream) []*upstream {
	i, _ := slices.BinarySearchFunc(list, u.id, compareID)
	return slices.Insert(list, i, u)
}

// removeSorted removes an upstream from a list that is sorted by ID.
func removeSorted(list []*upstream, u *upstream) []*upstream {
	if i, found := slices.BinarySearchFunc(list, u.id, compareID); found {
		return slices.Delete(list, i, i+1)
	}
	return list
}
