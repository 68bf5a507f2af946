package dispatch

import (
	"time"

	"github.com/silverswitch/silverswitch/internal/routing"
	"github.com/silverswitch/silverswitch/internal/version"
)

// strictest returns the least target of the routes that lead to a service, in
// milliseconds. Waits at engines are kept within it for all of them: what waits
// for a patient route makes the others wait too.
func strictest(t *routing.Table, service string) float64 {
	least := 0.0
	for _, r := range t.Routes {
		for _, part := range r.Split {
			ms := float64(r.TargetLatency.Milliseconds())
			if part.Service == service && part.Weight > 0 && ms > 0 && (least == 0 || ms < least) {
				least = ms
			}
		}
	}
	return least
}

// catalogue takes newer content of the platform's store.
func (n *Node) catalogue(c Catalogue, now time.Time) {
	before := n.cat
	n.cat = c
	n.cat.Instances, n.cat.Ended, n.cat.Part = nil, nil, false // the pools keep them
	if c.Table != nil && c.Table != before.Table {
		n.reports.setNames(c)
	}
	if c.Table == nil {
		n.noteEvacuations(before.Evacuated, c.Evacuated)
		return
	}
	if c.Part {
		if c.Table != before.Table {
			n.takeTable(c.Table)
		}
		n.takeChanges(c, now)
	} else {
		n.takeWhole(c, now)
	}
	n.noteEvacuations(before.Evacuated, c.Evacuated)
	evacuated := routing.EvacuatedPlaces(c.Evacuated)
	for _, p := range n.pools {
		p.evacuate(evacuated, now)
		p.setCapacity(c.Table.Limits.TokensPerSecond)
	}
	n.announceFetched(before.AsOf, now)
}

// takeChanges takes what was put and what ended since the last catalogue.
func (n *Node) takeChanges(c Catalogue, now time.Time) {
	born := map[string]int64{}
	for _, i := range c.Instances {
		born[i.ID] = i.Born
		if p := n.pools[serviceID(i.Service)]; p != nil {
			p.put(i)
		}
	}
	for _, e := range c.Ended {
		if p, u := n.upstreamOf(e.Instance); u != nil {
			p.drop(u)
			n.ended(p, u, born[u.inst.ID], now)
		}
	}
	n.countPlaces()
}

// takeTable takes a table that names the same services as the one before.
func (n *Node) takeTable(t *routing.Table) {
	for _, s := range t.Services {
		n.poolOf(s, t)
	}
}

// takeWhole takes a whole catalogue: what is not in it has ended.
func (n *Node) takeWhole(c Catalogue, now time.Time) {
	by, born := map[string][]routing.Instance{}, map[string]int64{}
	for _, i := range c.Instances {
		by[i.Service] = append(by[i.Service], i)
		born[i.ID] = i.Born
	}
	for _, s := range c.Table.Services {
		p := n.poolOf(s, c.Table)
		for _, u := range p.setInstances(by[s.Name]) {
			n.ended(p, u, born[u.inst.ID], now)
		}
	}
	for id, p := range n.pools {
		if c.Table.Services[p.service] == nil {
			delete(n.pools, id)
		}
	}
	n.countPlaces()
}

// poolOf returns a service's pool as the table describes it.
func (n *Node) poolOf(s *routing.Service, t *routing.Table) *pool {
	id := serviceID(s.Name)
	p := n.pools[id]
	if p == nil {
		p = newPool(s, t.Limits.TokensPerSecond)
		p.without = n.set.Without
		p.regions = n.set.Regions
		n.pools[id] = p
	}
	p.cold = s.Cold
	p.aim = strictest(t, s.Name)
	p.urgency = urgencyOf(t, s.Name)
	return p
}

// ended takes an upstream that has left the list. born is of the start that is listed under
// its ID now, if there is one.
func (n *Node) ended(p *pool, u *upstream, born int64, now time.Time) {
	n.out = append(n.out, Gone{Instance: u.inst, Restarted: born > u.inst.Born})
	n.entryGone(u.inst, now)
	p.startedAgain(u.inst, born, now)
}

// upstreamOf returns what this router knows of an instance, and its service's pool; nil where
// there is none.
func (n *Node) upstreamOf(i routing.Instance) (*pool, *upstream) {
	p := n.pools[serviceID(i.Service)]
	if p == nil {
		return nil, nil
	}
	return p, p.ups[version.IDOf(i.StartID())]
}

// countPlaces notes in which places upstreams stand.
func (n *Node) countPlaces() {
	n.upstreamPlaces = map[string]bool{}
	for _, p := range n.pools {
		for _, set := range p.places {
			n.upstreamPlaces[set.name] = true
		}
	}
}

// aloneFor is how long a router that has heard no other one may be one of many that start:
// after it, it takes itself for the whole fleet.
const aloneFor = time.Second

// KnowsFleet reports whether this router has heard another one, or has been alone for so
// long that there is none.
func (n *Node) KnowsFleet(now time.Time) bool { return n.Heard() || now.Sub(n.begun) >= aloneFor }

// Scheduled returns the engines that this router schedules and that are in use: of the
// others there is nothing to learn. While it knows no fleet it schedules none: asking an
// engine for all that it keeps delays the engine's work.
//
// Load pattern: 195 routers lose power, and the seeds come back last. Each took itself for
// the scheduler for 0.4 s and asked 78 engines for all that they keep, 15,000 calls.
func (n *Node) Scheduled(now time.Time) []routing.Instance {
	var out []routing.Instance
	if !n.KnowsFleet(now) {
		return nil
	}
	for _, p := range n.pools {
		if p.engine == nil || n.schedulerOf(p.id, now) != n.set.ID {
			continue
		}
		for _, u := range p.inUse() {
			if !u.closed() && !p.backoffs.has(u.id, now) {
				out = append(out, u.inst)
			}
		}
	}
	return out
}

// kept corrects the model by what an engine itself says it keeps.
func (n *Node) kept(in Kept, now time.Time) {
	id := version.IDOf(in.Instance)
	for _, p := range n.pools {
		if u := p.ups[id]; u != nil && u.cache != nil {
			u.cache.correct(in, now)
			u.told = now
		}
	}
}
