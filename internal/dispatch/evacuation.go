package dispatch

import (
	"time"

	"github.com/silverswitch/silverswitch/internal/routing"
)

// Places that are evacuated. Upstreams there get nothing more: no placement, repeat,
// resume, or fetch of kept parts. What was placed and not yet sent is placed elsewhere, and
// is no repeat. Routers there go on taking callers.
//
// Load pattern: a place of a third of all upstreams is evacuated under a flood, and taken
// back when its upstreams may have been replaced: they return together, cold.

// evacuate takes the places that are evacuated. Upstreams of those that were so until now
// may be cold, whatever their entries say: these are written later.
func (p *pool) evacuate(places map[string]bool, now time.Time) {
	if len(places) == 0 && !p.evacuations {
		return
	}
	p.evacuations = len(places) > 0
	for _, u := range p.order {
		was := u.evacuated
		u.evacuated = places[u.inst.Place]
		if was && !u.evacuated {
			u.cold.suspect(now.Add(p.cold.Period), ColdReturned)
		}
	}
}

// setCapacity takes what the operators state that all engines serve, less the part of those
// in places that are evacuated.
//
// Load pattern: two of three engines are evacuated under a flood. By the stated capacity
// nobody has had its share, and an organisation that asks for an eighth of what the flood
// does is refused as often.
func (p *pool) setCapacity(tokensPerSecond float64) {
	all, open := 0, 0
	for _, u := range p.order {
		if u.inst.Draining {
			continue
		}
		all++
		if !u.evacuated {
			open++
		}
	}
	p.openUps = open
	if all > 0 {
		tokensPerSecond *= float64(open) / float64(all)
	}
	p.meter.setCapacity(tokensPerSecond)
	p.here.setCapacity(tokensPerSecond)
}

// closed reports whether an upstream is to get nothing more.
func (u *upstream) closed() bool { return u.inst.Draining || u.evacuated }

// open counts the upstreams that take work at their usual rate.
func (p *pool) open(now time.Time) int {
	if p.cold.RequestsPerSecond <= 0 {
		return p.openUps
	}
	open := 0
	for _, u := range p.order {
		if !u.closed() && !p.isCold(u, now) {
			open++
		}
	}
	return open
}

// isEvacuated reports whether evacuations leave no upstream that takes work.
func (p *pool) isEvacuated() bool {
	evacuated := false
	for _, u := range p.order {
		if !u.closed() {
			return false
		}
		evacuated = evacuated || u.evacuated
	}
	return evacuated
}

// noteEvacuations tells of places that are newly evacuated, or taken back, and of those
// evacuated where nothing lies.
func (n *Node) noteEvacuations(before, after []routing.Evacuation) {
	was := routing.EvacuatedPlaces(before)
	for _, e := range after {
		if !was[e.Place] {
			n.event(Event{Name: "place-evacuated", Value: e.Revision, Detail: e.Place + n.describePlace(e.Place)})
		}
		delete(was, e.Place)
	}
	for place := range was {
		n.event(Event{Name: "place-returned", Value: n.cat.Revision, Detail: place})
	}
}

// describePlace says whether any upstream lies in a place.
func (n *Node) describePlace(place string) string {
	if n.upstreamPlaces[place] {
		return ""
	}
	return ": no upstream lies there"
}
