package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/silverswitch/silverswitch/internal/core/wire"
	"github.com/silverswitch/silverswitch/internal/version"
)

// A router that comes to be an heir of a service, or its scheduler at once, reads from
// another heir what regular messages do not rebuild: the window in which shares are
// counted, what was learned of the engines, and what they keep.
//
// Load pattern: an organisation floods, and two of three routers are stopped and start
// again. One of them takes the scheduler's role as soon as it is heard; it took the flood
// for an organisation that has had nothing, and refused one at a quarter of its share
// nearly as often.

const (
	// inheritAgain is how long after an unanswered read another heir is asked.
	inheritAgain = 300 * time.Millisecond
	// inheritTries bounds the reads: after the window nothing of it is worth having.
	inheritTries = int(shareSteps * shareStep / inheritAgain)
)

// inheritance is how far a router has come to know what an heir of a service knows.
type inheritance struct {
	heir  bool
	done  bool
	tries int
	due   time.Time
}

// FetchSnapshot asks the driver to read the state of a service's scheduler from an heir.
type FetchSnapshot struct {
	From    wire.NodeID
	Service string
}

// Inherit is a state that was read from an heir.
type Inherit struct {
	From     wire.NodeID
	Snapshot *wire.Snapshot
}

func (FetchSnapshot) output() {}
func (Inherit) input()        {}

// tickInherit asks for the states that this router, as an heir, does not know.
func (n *Node) tickInherit(now time.Time) {
	for _, p := range n.pools {
		if p.engine == nil {
			continue
		}
		heirs := n.heirsOf(p.id, now)
		h := &p.inherited
		if !slices.Contains(heirs, n.set.ID) {
			*h = inheritance{}
			continue
		}
		if !h.heir {
			*h = inheritance{heir: true, due: now}
		}
		others := n.others(heirs)
		if h.done || len(others) == 0 || h.tries >= inheritTries || now.Before(h.due) {
			continue
		}
		n.out = append(n.out, FetchSnapshot{From: others[h.tries%len(others)], Service: p.service})
		h.tries++
		h.due = now.Add(inheritAgain)
	}
}

// Snapshot returns what another router needs to take over the services of which this one is
// an heir, and counts it as told.
func (n *Node) Snapshot(asker wire.NodeID, now time.Time) *wire.Snapshot {
	out := &wire.Snapshot{}
	for _, p := range n.pools {
		if p.engine == nil || !p.inherited.heir {
			continue
		}
		out.Services = append(out.Services, p.snapshot(now))
		p.meter.booked.toldAll(asker)
	}
	slices.SortFunc(out.Services, func(a, b wire.ServiceSnapshot) int { return cmp.Compare(a.Service, b.Service) })
	return out
}

func (p *pool) snapshot(now time.Time) wire.ServiceSnapshot {
	s := wire.ServiceSnapshot{Service: p.id, Orgs: p.meter.window(now), Model: p.learned()}
	for _, u := range p.order {
		if u.cache.used == 0 && !u.rest.resting(now) {
			continue // nothing is known of it
		}
		s.Engines = append(s.Engines, wire.EngineSnapshot{Upstream: u.id, EjectionMS: leftMS(u.rest.until, now), CachedParts: u.cache.list()})
	}
	return s
}

// inherit takes a state that was read from an heir.
func (n *Node) inherit(in Inherit, now time.Time) {
	for _, s := range in.Snapshot.Services {
		p := n.pools[s.Service]
		if p == nil || p.engine == nil || p.inherited.done {
			continue
		}
		p.inherited.done = true
		p.meter.inherit(s.Orgs, now)
		n.heardModels([]wire.PrefillModel{s.Model})
		for _, e := range s.Engines {
			if u := p.ups[e.Upstream]; u != nil {
				u.inherit(e, now)
			}
		}
		n.event(Event{Name: "snapshot-inherited", Router: in.From, Value: uint64(len(s.Orgs)), Detail: "organisations at " + p.service})
	}
}

// window returns what organisations asked for and got, by the age of steps.
func (m *meter) window(now time.Time) []wire.OrgWindow {
	m.advance(now)
	var out []wire.OrgWindow
	for org, u := range m.orgs {
		w := wire.OrgWindow{Org: org}
		for age := range int64(shareSteps) {
			i := m.steps.place(age)
			w.Requested = append(w.Requested, float32(u.asked[i]))
			w.Received = append(w.Received, float32(u.got[i]))
		}
		out = append(out, w)
	}
	slices.SortFunc(out, func(a, b wire.OrgWindow) int { return cmp.Compare(a.Org, b.Org) })
	return out
}

// inherit takes another meter's window. Where both know of a step the larger one counts:
// what this router placed since it was asked for work is in its own alone.
func (m *meter) inherit(rows []wire.OrgWindow, now time.Time) {
	m.advance(now)
	for _, r := range rows {
		u := m.of(r.Org)
		for age := range int64(shareSteps) {
			i := m.steps.place(age)
			if age < int64(len(r.Requested)) {
				u.asked[i] = max(u.asked[i], finite(r.Requested[age]))
			}
			if age < int64(len(r.Received)) {
				u.got[i] = max(u.got[i], finite(r.Received[age]))
			}
		}
	}
	m.dirty = true
}

// finite is a peer's figure, 0 when it is none.
func finite(x float32) float64 {
	if !(x > 0 && x < 1e12) {
		return 0
	}
	return float64(x)
}

// inherit takes another router's belief of an engine where this one has none.
func (u *upstream) inherit(e wire.EngineSnapshot, now time.Time) {
	u.touch(now)
	for _, k := range slices.Backward(e.CachedParts) {
		if u.cache.parts[k.Part] == nil {
			u.cache.add(k.Part, int(k.Tokens), k.Ready, now)
		}
	}
	u.fit(now)
	if until := now.Add(min(time.Duration(e.EjectionMS)*time.Millisecond, maxRest)); until.After(u.rest.until) {
		u.rest.until = until
	}
}

// list returns the kept parts, the latest used first.
func (c *cache) list() []wire.CachedPart {
	var out []wire.CachedPart
	for e := c.order.Front(); e != nil; e = e.Next() {
		p := e.Value.(*part)
		out = append(out, wire.CachedPart{Part: p.id, Tokens: uint32(p.tokens), Ready: p.ready})
	}
	return out
}

// toldAll notes that a router knows all that was booked until now.
func (b *booked) toldAll(to wire.NodeID) {
	b.own[to] = map[version.ID]unaskedSum{}
	for org, s := range b.sums {
		b.own[to][org] = s
	}
}
