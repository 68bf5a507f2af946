package dispatch

import (
	"time"

	"github.com/silverswitch/silverswitch/internal/routing"
	"github.com/silverswitch/silverswitch/internal/version"
)

// strictestTargetMS returns the lowest target latency of the routes that lead to a service, in
// milliseconds. Waits at engines are kept within it for all routes: requests that wait for a
// route with a longer target make the others wait too.
func strictestTargetMS(t *routing.Table, service string) float64 {
	lowest := 0.0
	for _, r := range t.Routes {
		for _, part := range r.Split {
			ms := float64(r.TargetLatency.Milliseconds())
			if part.Service == service && part.Weight > 0 && ms > 0 && (lowest == 0 || ms < lowest) {
				lowest = ms
			}
		}
	}
	return lowest
}

// streamLifeOf returns the longest time for which a caller waits for a stream that it may take up:
// the longest timeout of the resumable routes that lead to a service.
func streamLifeOf(t *routing.Table, service string) time.Duration {
	longest := time.Duration(0)
	for _, r := range t.Routes {
		for _, part := range r.Split {
			if part.Service == service && r.Kind == routing.Stream && r.Resumable {
				longest = max(longest, r.Timeout)
			}
		}
	}
	return min(longest, maxStreamLife)
}

// applyCatalogue applies newer content of the platform's store.
func (n *Node) applyCatalogue(c Catalogue, now time.Time) {
	before := n.catalogue
	n.catalogue = c
	n.catalogue.Instances, n.catalogue.Ended, n.catalogue.Incremental = nil, nil, false // the pools keep them
	if c.Table != nil && c.Table != before.Table {
		n.reports.setNames(c)
	}
	if c.Table == nil {
		n.listChecked(now)
		n.logEvacuations(before.Evacuated, c.Evacuated)
		return
	}
	if c.Incremental {
		if c.Table != before.Table {
			n.applyTable(c.Table)
		}
		n.applyChanges(c, now)
	} else {
		n.applyFullCatalogue(c, now)
	}
	n.logEvacuations(before.Evacuated, c.Evacuated)
	evacuated := routing.EvacuatedPlaces(c.Evacuated)
	for _, p := range n.pools {
		p.setEvacuated(evacuated, now)
		p.setCapacity(c.Table.Limits.TokensPerSecond)
		p.organisations = len(n.reports.orgNames)
	}
	if c.Gap {
		n.confirmation.missed = now
		n.forgetVersions(now)
	}
	n.updateVersions(now)
	n.listChecked(now)
	n.announceFetched(before.AsOf, now)
}

// applyChanges applies what was put and what ended since the last catalogue.
func (n *Node) applyChanges(c Catalogue, now time.Time) {
	born := map[string]int64{}
	for _, i := range c.Instances {
		born[i.ID] = i.Born
		if p := n.pools[serviceID(i.Service)]; p != nil {
			p.put(i)
		}
	}
	for _, e := range c.Ended {
		p, u := n.upstreamOf(e.Instance)
		if u == nil {
			n.confirmation.missed = now // it came and left unseen
			continue
		}
		p.drop(u)
		n.upstreamDelisted(p, u, born[u.inst.ID], now)
	}
	n.updateUpstreamPlaces()
}

// applyTable applies a table that names the same services as the one before.
func (n *Node) applyTable(t *routing.Table) {
	for _, s := range t.Services {
		n.poolOf(s, t)
	}
}

// applyFullCatalogue applies a full catalogue: what it does not list has ended.
func (n *Node) applyFullCatalogue(c Catalogue, now time.Time) {
	by, born := map[string][]routing.Instance{}, map[string]int64{}
	for _, i := range c.Instances {
		by[i.Service] = append(by[i.Service], i)
		born[i.ID] = i.Born
	}
	for _, s := range c.Table.Services {
		p := n.poolOf(s, c.Table)
		for _, u := range p.setInstances(by[s.Name]) {
			n.upstreamDelisted(p, u, born[u.inst.ID], now)
		}
	}
	for id, p := range n.pools {
		if c.Table.Services[p.service] == nil {
			delete(n.pools, id)
		}
	}
	n.updateUpstreamPlaces()
}

// poolOf returns a service's pool, updated from the table.
func (n *Node) poolOf(s *routing.Service, t *routing.Table) *pool {
	id := serviceID(s.Name)
	p := n.pools[id]
	if p == nil {
		p = newPool(s, t.Limits.TokensPerSecond)
		p.disabled = n.settings.Disabled
		p.regions = n.settings.Regions
		n.pools[id] = p
	}
	p.cold = s.Cold
	p.targetMS = strictestTargetMS(t, s.Name)
	p.streamLife = max(p.streamLife, streamLifeOf(t, s.Name)) // streams of an earlier table may be unfinished
	p.urgency = urgencyOf(t, s.Name)
	n.updateGapTarget(p, t)
	return p
}

// upstreamDelisted handles an upstream that is no longer listed. born is the birth of the start
// that is listed under its ID now, if there is one.
func (n *Node) upstreamDelisted(p *pool, u *upstream, born int64, now time.Time) {
	n.out = append(n.out, UpstreamGone{Instance: u.inst, Restarted: born > u.inst.Born})
	n.entryRemoved(u.inst, now)
	p.markRestarted(u.inst, born, now)
}

// upstreamOf returns the pool and the model of an instance, nil if unknown.
func (n *Node) upstreamOf(i routing.Instance) (*pool, *upstream) {
	p := n.pools[serviceID(i.Service)]
	if p == nil {
		return nil, nil
	}
	return p, p.upstreams[version.IDOf(i.StartID())]
}

// updateUpstreamPlaces updates the places that have upstreams.
func (n *Node) updateUpstreamPlaces() {
	n.upstreamPlaces = map[string]bool{}
	for _, p := range n.pools {
		for _, set := range p.places {
			n.upstreamPlaces[set.name] = true
		}
	}
}

// loneRouterTimeout is how long a router that knows no other one may be one of many that start
// together. After that it takes itself for the whole fleet.
const loneRouterTimeout = time.Second

// KnowsFleet reports whether this router knows another one, or has been alone for so long that
// it takes itself for the whole fleet.
func (n *Node) KnowsFleet(now time.Time) bool {
	return n.HasPeers() || now.Sub(n.startedAt) >= loneRouterTimeout
}

// ScheduledEngines returns the engines in use that this router schedules; there is nothing to
// learn of the other engines. While it does not know the fleet it returns none, since listing
// an engine's whole prefix cache delays the engine's work.
//
// Load pattern: 195 routers lose power, and the seeds come back last. Each took itself for the
// scheduler for 0.4 s and asked 78 engines for their whole prefix cache: 15,000 calls.
func (n *Node) ScheduledEngines(now time.Time) []routing.Instance {
	var out []routing.Instance
	if !n.KnowsFleet(now) {
		return nil
	}
	for _, p := range n.pools {
		if p.engine == nil || n.schedulerOf(p.id, now) != n.settings.ID {
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

// applyCacheUpdate corrects the model of an engine's prefix cache by the engine's own report.
func (n *Node) applyCacheUpdate(in CacheUpdate, now time.Time) {
	id := version.IDOf(in.Instance)
	for _, p := range n.pools {
		if u := p.upstreams[id]; u != nil && u.cache != nil {
			u.cache.applyReport(in, now)
			u.cacheReportedAt = now
		}
	}
}
