package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/silverswitch/silverswitch/internal/core/wire"
	"github.com/silverswitch/silverswitch/internal/version"
)

// A router that joins a service's scheduler group, perhaps as the scheduler at once, fetches a
// snapshot from another member with what heartbeats do not rebuild: the window in which shares
// are counted, the learned model of the engines, and the model of their prefix caches.
//
// Load pattern: an organisation floods, and two of three routers are stopped and start again.
// One of them becomes the scheduler with its first message. It took the flood for an
// organisation that had used nothing, and refused another one, at a quarter of its share,
// nearly as often.

const (
	// snapshotFetchInterval is the time after an unanswered fetch until another member is asked.
	snapshotFetchInterval = 300 * time.Millisecond
	// maxSnapshotFetches bounds the fetches: once the window is over, its content is worthless.
	maxSnapshotFetches = int(shareSteps * shareStep / snapshotFetchInterval)
)

// takeoverState is the progress of taking over what a service's scheduler group knows.
type takeoverState struct {
	inGroup  bool
	done     bool
	attempts int
	asked    []wire.NodeID // since all sources were last asked in turn
	due      time.Time
	leftAt   time.Time // when this router was last a member that knew the window

	refutations uint32      // of this router, when the window was last complete
	missedUntil time.Time   // until when other routers may know of grants that this one has missed
	askedAgain  wire.NodeID // the latest one that was asked for them
}

// markRefuted records this router's number of refutations. When it has risen, others may have taken
// this router for gone, and granted in its place: it was cut off or suspended. It asks the sources
// until one answers, or the window is over.
func (h *takeoverState) markRefuted(refutations uint32, now time.Time) {
	if refutations == h.refutations {
		return
	}
	h.refutations = refutations
	if h.done {
		h.asked, h.due, h.missedUntil = nil, now, now.Add(shareSteps*shareStep)
	}
}

// nextMissed returns the next router to ask for what this router has missed, or "".
func (h *takeoverState) nextMissed(sources []wire.NodeID, now time.Time) wire.NodeID {
	if now.After(h.missedUntil) || now.Before(h.due) || h.askedAll(sources) {
		return ""
	}
	h.askedAgain = h.nextSource(sources)
	h.asked = append(h.asked, h.askedAgain)
	h.due = now.Add(snapshotFetchInterval)
	return h.askedAgain
}

// knowsWindow reports whether this router knows what the group knows, as a member that has asked
// the others, or a member of a moment ago.
func (h *takeoverState) knowsWindow(now time.Time) bool {
	return h.inGroup && (h.done || h.attempts >= maxSnapshotFetches) || now.Sub(h.leftAt) < shareSteps*shareStep
}

// nextSource returns the first router that was not asked yet in this turn.
func (h *takeoverState) nextSource(sources []wire.NodeID) wire.NodeID {
	if h.askedAll(sources) {
		h.asked = nil
	}
	i := slices.IndexFunc(sources, func(id wire.NodeID) bool { return !slices.Contains(h.asked, id) })
	return sources[i]
}

func (h *takeoverState) askedAll(sources []wire.NodeID) bool {
	return !slices.ContainsFunc(sources, func(id wire.NodeID) bool { return !slices.Contains(h.asked, id) })
}

// snapshotSources returns the routers that may know what a service's scheduler group knows: its
// members, and those that come after them, which were members while members were down.
func (n *Node) snapshotSources(service version.ID, now time.Time) []wire.NodeID {
	ranked := n.ranked(service, now)
	return ranked[:min(2*schedulerGroupSize, len(ranked))]
}

// FetchSnapshot asks the driver to fetch a service's state from a member of its scheduler group.
type FetchSnapshot struct {
	From    wire.NodeID
	Service string
}

// SnapshotFetched is the state that was fetched from a member of a scheduler group.
type SnapshotFetched struct {
	From     wire.NodeID
	Snapshot *wire.Snapshot
}

func (FetchSnapshot) output()  {}
func (SnapshotFetched) input() {}

// tickTakeover requests the snapshots that this router lacks as a member of scheduler groups.
func (n *Node) tickTakeover(now time.Time) {
	for _, p := range n.pools {
		if p.engine == nil {
			continue
		}
		group := n.schedulerGroup(p.id, now)
		h := &p.takeover
		if !slices.Contains(group, n.settings.ID) {
			if h.inGroup && h.knowsWindow(now) {
				h.leftAt = now
			}
			*h = takeoverState{leftAt: h.leftAt}
			continue
		}
		if !h.inGroup {
			*h = takeoverState{inGroup: true, due: now, leftAt: h.leftAt, refutations: n.members.Self().Refutations}
		}
		otherRouters := n.otherRouters(n.snapshotSources(p.id, now))
		h.markRefuted(n.members.Self().Refutations, now)
		if from := h.nextMissed(otherRouters, now); from != "" {
			n.out = append(n.out, FetchSnapshot{From: from, Service: p.service})
			continue
		}
		if !n.HasPeers() && now.Sub(n.startedAt) >= shareSteps*shareStep {
			h.done = true // it has been the whole fleet for the whole window
		}
		if h.done || len(otherRouters) == 0 || h.attempts >= maxSnapshotFetches || now.Before(h.due) {
			continue
		}
		from := h.nextSource(otherRouters)
		n.out = append(n.out, FetchSnapshot{From: from, Service: p.service})
		h.asked = append(h.asked, from)
		h.attempts++
		h.due = now.Add(snapshotFetchInterval)
	}
}

// awaitsSnapshot reports whether this router is a member of the scheduler group and does not know
// yet what the other members know. Until then it grants each organisation an even part of the
// capacity, as a router that decides alone does.
//
// Load pattern: an organisation floods at several times its share, and the scheduler's router
// starts again. It took everybody for unserved, and granted the flood half a million tokens in the
// tenth of a second that it waited for the window.
func (p *pool) awaitsSnapshot() bool {
	h := &p.takeover
	return h.inGroup && !h.done && h.attempts > 0 && h.attempts < maxSnapshotFetches
}

// evenPart is an even part of the capacity for each organisation, in tokens of the window of
// shares.
func (p *pool) evenPart() float64 { return p.meter.capacity / float64(max(1, p.organisations)) }

// takeOver prepares the model of a service for decisions after another scheduler, whose usage
// is in the window. Without usage there was no other scheduler, or it placed nothing.
func (p *pool) takeOver(now time.Time) {
	if p.engine == nil || p.meter.granted(now) <= 0 {
		return
	}
	for _, u := range p.order {
		u.queue.MarkTakenOver(now)
	}
}

// Snapshot returns the state of all services whose scheduler group has this router as a member.
// Another router takes them over with it. All recorded usage counts as known to that router.
func (n *Node) Snapshot(asker wire.NodeID, now time.Time) *wire.Snapshot {
	out := &wire.Snapshot{}
	for _, p := range n.pools {
		if p.engine == nil || !p.takeover.knowsWindow(now) {
			continue
		}
		out.Services = append(out.Services, p.snapshot(now))
		p.meter.recordedUsage.markAllKnown(asker)
	}
	slices.SortFunc(out.Services, func(a, b wire.ServiceSnapshot) int { return cmp.Compare(a.Service, b.Service) })
	return out
}

func (p *pool) snapshot(now time.Time) wire.ServiceSnapshot {
	s := wire.ServiceSnapshot{Service: p.id, Orgs: p.meter.window(now), Model: p.learnedModel()}
	for _, u := range p.order {
		if u.cache.used == 0 && !u.ejection.active(now) {
			continue // nothing is known of this engine
		}
		s.Engines = append(s.Engines, wire.EngineSnapshot{Upstream: u.id, EjectionMS: remainingMS(u.ejection.until, now), CachedParts: u.cache.list()})
	}
	return s
}

// applySnapshot applies the state that was fetched from a member of a scheduler group. A router
// that was no member of a service's group knows nothing of it, so another one is asked at once.
func (n *Node) applySnapshot(in SnapshotFetched, now time.Time) {
	for _, p := range n.pools {
		h := &p.takeover
		if in.From == h.askedAgain {
			h.due = now
		}
		if sources := n.otherRouters(n.snapshotSources(p.id, now)); !h.done && slices.Contains(h.asked, in.From) && !h.askedAll(sources) {
			h.due = now
		}
	}
	for _, s := range in.Snapshot.Services {
		p := n.pools[s.Service]
		if p == nil || p.engine == nil {
			continue
		}
		if h := &p.takeover; h.done {
			if in.From == h.askedAgain {
				h.askedAgain, h.missedUntil = "", time.Time{}
				p.meter.mergeMissed(s.Orgs, now)
				n.event(Event{Name: "snapshot-merged", Router: in.From, Value: uint64(len(s.Orgs)), Detail: "organisations at " + p.service})
			}
			continue
		}
		p.takeover.done = true
		p.meter.applySnapshot(s.Orgs, now)
		p.takeOver(now)
		n.handleModels([]wire.PrefillModel{s.Model})
		for _, e := range s.Engines {
			if u := p.upstreams[e.Upstream]; u != nil {
				u.applySnapshot(e, now)
			}
		}
		n.event(Event{Name: "snapshot-inherited", Router: in.From, Value: uint64(len(s.Orgs)), Detail: "organisations at " + p.service})
	}
}

// window returns what organisations requested and were granted, by the age of the steps.
func (m *meter) window(now time.Time) []wire.OrgWindow {
	m.advance(now)
	var out []wire.OrgWindow
	for org, u := range m.orgs {
		w := wire.OrgWindow{Org: org}
		for age := range int64(shareSteps) {
			i := m.ring.slot(age)
			w.Requested = append(w.Requested, float32(u.requested[i]))
			w.Received = append(w.Received, float32(u.got[i]))
		}
		out = append(out, w)
	}
	slices.SortFunc(out, func(a, b wire.OrgWindow) int { return cmp.Compare(a.Org, b.Org) })
	return out
}

// applySnapshot merges another meter's window. Of each step the larger value counts: what this
// router has placed since it became the scheduler is in its own window only.
func (m *meter) applySnapshot(rows []wire.OrgWindow, now time.Time) {
	m.advance(now)
	for _, r := range rows {
		u := m.usageOf(r.Org)
		for age := range int64(shareSteps) {
			i := m.ring.slot(age)
			if age < int64(len(r.Requested)) {
				u.requested[i] = max(u.requested[i], finite(r.Requested[age]))
			}
			if age < int64(len(r.Received)) {
				u.got[i] = max(u.got[i], finite(r.Received[age]))
			}
			m.ledger.applySnapshot(r.Org, age, u.requested[i], u.got[i], now)
		}
	}
	m.dirty = true
}

// mergeMissed adds what another meter has counted in the window and this one has not. Members learn
// of each other's grants in different steps, so that the larger value of each step would count a
// grant twice: only the difference of the sums is added, in the steps that are short.
func (m *meter) mergeMissed(rows []wire.OrgWindow, now time.Time) {
	m.advance(now)
	for _, r := range rows {
		u := m.usageOf(r.Org)
		m.addMissing(&u.requested, r.Requested)
		m.addMissing(&u.got, r.Received)
		for age := range int64(shareSteps) {
			i := m.ring.slot(age)
			m.ledger.applySnapshot(r.Org, age, u.requested[i], u.got[i], now)
		}
	}
	m.dirty = true
}

// addMissing raises the sum of a window to that of another one, whose values are by the age of the
// steps.
func (m *meter) addMissing(own *[shareSteps]float64, theirs []float32) {
	var short [shareSteps]float64
	total, shortTotal := 0.0, 0.0
	for age := range min(len(theirs), shareSteps) {
		x := finite(theirs[age])
		i := m.ring.slot(int64(age))
		short[i] = max(0, x-own[i])
		total += x
		shortTotal += short[i]
	}
	missing := total - windowTotal(own)
	if missing <= 0 {
		return
	}
	for i := range own {
		own[i] += short[i] * missing / shortTotal
	}
}

// finite returns a peer's value, or 0 if it is not a plausible one.
func finite(x float32) float64 {
	if !(x > 0 && x < 1e12) {
		return 0
	}
	return float64(x)
}

// applySnapshot adopts another router's model of an engine where this router knows nothing.
func (u *upstream) applySnapshot(e wire.EngineSnapshot, now time.Time) {
	u.markUsed(now)
	for _, k := range slices.Backward(e.CachedParts) {
		if u.cache.parts[k.Part] == nil {
			u.cache.add(k.Part, int(k.Tokens), k.Ready, now)
		}
	}
	u.fit(now)
	if until := now.Add(min(time.Duration(e.EjectionMS)*time.Millisecond, maxEjectionDuration)); until.After(u.ejection.until) {
		u.ejection.until = until
	}
}

// list returns the cached parts, the most recently used first.
func (c *cache) list() []wire.CachedPart {
	var out []wire.CachedPart
	for e := c.order.Front(); e != nil; e = e.Next() {
		p := e.Value.(*cachedPart)
		out = append(out, wire.CachedPart{Part: p.id, Tokens: uint32(p.tokens), Ready: p.ready})
	}
	return out
}

// markAllKnown records that a router knows all usage recorded so far.
func (b *recordedUsage) markAllKnown(to wire.NodeID) {
	b.known[to] = map[version.ID]usageSum{}
	for org, s := range b.sums {
		b.known[to][org] = s
	}
}
