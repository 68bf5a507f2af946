package dispatch

import (
	"time"

	"github.com/silverswitch/silverswitch/internal/routing"
)

// Evacuated places. Upstreams there get nothing new: no placement, retry, resume, or fetch of
// cached parts. A request that was placed there and not yet sent is placed elsewhere, which
// does not count as a retry. Routers in an evacuated place still accept callers.
//
// Load pattern: a place with a third of all upstreams is evacuated under a flood. When it is
// returned, its upstreams may have been replaced, and come back together, cold.

// setEvacuated applies the evacuated places. Upstreams of a place that was evacuated until now
// may be cold whatever their entries say, since the entries are written later.
func (p *pool) setEvacuated(places map[string]bool, now time.Time) {
	if len(places) == 0 && !p.hasEvacuations {
		return
	}
	p.hasEvacuations = len(places) > 0
	for _, u := range p.order {
		was := u.evacuated
		u.evacuated = places[u.inst.Place]
		p.listChanged = p.listChanged || was != u.evacuated
		if was && !u.evacuated {
			u.cold.suspect(now.Add(p.cold.Period), ColdReturned)
		}
	}
}

// setCapacity sets the capacity that the operators state for all engines, less the fraction of
// engines in evacuated places.
//
// Load pattern: two of three engines are evacuated under a flood. By the stated capacity no
// organisation would have used its share, and one that asks for an eighth of the flood would
// be refused as often as the flood.
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
	p.openUpstreams = open
	if all > 0 {
		tokensPerSecond *= float64(open) / float64(all)
	}
	p.meter.setCapacity(tokensPerSecond)
	p.local.setCapacity(tokensPerSecond)
}

// closed reports whether an upstream must get nothing new.
func (u *upstream) closed() bool { return u.inst.Draining || u.evacuated }

// open counts the upstreams that accept work at their usual rate.
func (p *pool) open(now time.Time) int {
	if p.cold.RequestsPerSecond <= 0 {
		return p.openUpstreams
	}
	open := 0
	for _, u := range p.order {
		if !u.closed() && !p.isCold(u, now) {
			open++
		}
	}
	return open
}

// fullyEvacuated reports whether evacuations leave no upstream that accepts work.
func (p *pool) fullyEvacuated() bool {
	evacuated := false
	for _, u := range p.order {
		if !u.closed() {
			return false
		}
		evacuated = evacuated || u.evacuated
	}
	return evacuated
}

// logEvacuations logs which places were evacuated or returned, and notes evacuated places that
// have no upstream.
func (n *Node) logEvacuations(before, after []routing.Evacuation) {
	was := routing.EvacuatedPlaces(before)
	for _, e := range after {
		if !was[e.Place] {
			n.event(Event{Name: "place-evacuated", Value: e.Revision, Detail: e.Place + n.describePlace(e.Place)})
		}
		delete(was, e.Place)
	}
	for place := range was {
		n.event(Event{Name: "place-returned", Value: n.catalogue.Revision, Detail: place})
	}
}

// describePlace returns a remark for the log if a place has no upstream.
func (n *Node) describePlace(place string) string {
	if n.upstreamPlaces[place] {
		return ""
	}
	return ": no upstream is in this place"
}
