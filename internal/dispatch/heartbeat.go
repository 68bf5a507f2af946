package dispatch

import (
	"maps"
	"slices"
	"time"

	"github.com/silverswitch/silverswitch/internal/core/wire"
	"github.com/silverswitch/silverswitch/internal/version"
)

// Heartbeats. In a small fleet every router sends its usage to every other one. In a large
// fleet it sends its usage only to the scheduler groups, which decide by it, and a few
// announcers send everyone what all need: that the store has changed, how old its latest
// reading is, and the demand of the whole fleet. So what a router sends does not grow with
// the fleet.
//
// Load pattern: 195 routers that each send to all others 40 times a second. That would be
// 7,800 datagrams a second in the fleet, and loads would be 5 s old on arrival.
const (
	// meshMaxRouters is the largest fleet in which every router sends heartbeats to every
	// other one.
	meshMaxRouters = 12
	// heartbeatInterval and heartbeatIntervalPerRouter give the interval of what is sent to
	// everyone. It grows with the fleet, so that what a router sends stays bounded.
	heartbeatInterval          = 200 * time.Millisecond
	heartbeatIntervalPerRouter = 25 * time.Millisecond
	// groupHeartbeatInterval and groupIntervalPerRouter give the interval of what is sent to
	// scheduler groups: shorter than a request lasts, and at most ten datagrams a second.
	groupHeartbeatInterval = 500 * time.Millisecond
	groupIntervalPerRouter = 100 * time.Millisecond
	// maxRoundCatchUp bounds how many announcements are sent at once after late ticks.
	maxRoundCatchUp = 8
)

// schedulerGroupSize is the size of a service's scheduler group: the scheduler and its
// standbys, which keep the model of the prefix caches up to date.
const schedulerGroupSize = 3

// heartbeats is the state of sending heartbeats.
type heartbeats struct {
	seq             uint32
	due             time.Time                  // of the next heartbeat
	lastSlot        int64                      // number of the last time slot for an announcement
	schedulers      map[version.ID]wire.NodeID // last known, by service
	schedulerSince  map[version.ID]time.Time   // when each of these took over
	schedulingSince map[version.ID]time.Time   // the same for services that this router schedules
}

// heartbeatPeriod returns the interval of what is sent to everyone.
func heartbeatPeriod(routers int) time.Duration {
	return max(heartbeatInterval, time.Duration(routers)*heartbeatIntervalPerRouter)
}

// schedulerGroup returns the scheduler of a service and its standbys, in order of succession.
func (n *Node) schedulerGroup(service version.ID, now time.Time) []wire.NodeID {
	ranked := n.ranked(service, now)
	return ranked[:min(schedulerGroupSize, len(ranked))]
}

// otherRouters returns a list of routers without this one.
func (n *Node) otherRouters(list []wire.NodeID) []wire.NodeID {
	return slices.DeleteFunc(slices.Clone(list), func(id wire.NodeID) bool { return id == n.settings.ID })
}

// groupMembers returns the routers that are in the scheduler group of some service.
func (n *Node) groupMembers(now time.Time) map[wire.NodeID]bool {
	out := map[wire.NodeID]bool{}
	plain := n.isLarge()
	for _, p := range n.pools {
		if p.engine == nil && !plain {
			continue
		}
		for _, id := range n.schedulerGroup(p.id, now) {
			out[id] = true
		}
	}
	return out
}

// isLarge reports whether the fleet is too large for a full mesh of heartbeats.
func (n *Node) isLarge() bool { return len(n.members.Live(true)) > meshMaxRouters }

// tickHeartbeat sends the heartbeats and announcements that are due.
func (n *Node) tickHeartbeat(now time.Time) {
	n.updateSchedulers(now)
	if n.isLarge() {
		n.announceInTurn(now)
	}
	if now.Before(n.heartbeats.due) {
		return
	}
	n.sendHeartbeat(now)
	n.logModels()
	n.logPace(now)
	for _, p := range n.pools {
		p.expire(now)
	}
	n.forgetDead(now)
}

// updateSchedulers detects changes of schedulers, and brings the next heartbeat forward for a
// new one: until it receives that, it knows only its own placements.
func (n *Node) updateSchedulers(now time.Time) {
	for _, p := range n.pools {
		to := n.schedulerOf(p.id, now)
		if n.heartbeats.schedulers[p.id] == to {
			continue
		}
		n.heartbeats.schedulers[p.id], n.heartbeats.schedulerSince[p.id] = to, now
		if to == n.settings.ID {
			n.heartbeats.schedulingSince[p.id] = now
			p.takeOver(now)
		} else {
			delete(n.heartbeats.schedulingSince, p.id)
		}
		soon := now.Add(time.Duration(n.rnd.Int64N(int64(fetchJitter))))
		if n.heartbeats.due.After(soon) {
			n.heartbeats.due = soon
		}
	}
}

// sendHeartbeat sends this router's usage to every router, or in a large fleet to the scheduler
// groups, and to the scheduler groups also which prompt parts were prefilled since.
func (n *Node) sendHeartbeat(now time.Time) {
	groupMembers := n.groupMembers(now)
	to := n.members.Live(true)
	n.heartbeats.due = now.Add(heartbeatPeriod(len(to)))
	if n.isLarge() {
		to = slices.DeleteFunc(slices.Clone(to), func(id wire.NodeID) bool { return !groupMembers[id] })
		n.heartbeats.due = now.Add(max(groupHeartbeatInterval, time.Duration(len(to))*groupIntervalPerRouter))
	}
	n.heartbeats.seq++
	demand, models, suspicions := n.ownDemand(now), n.learnedModels(), n.suspicions(now)
	paceModels := n.paceModels()
	n.applyLoads(n.settings.ID, n.loadsFor(n.settings.ID), now)
	all, placed := n.loadsFor(""), n.placingRouters()
	for _, id := range to {
		if id == n.settings.ID {
			continue
		}
		w := n.work(id)
		w.Heartbeat, w.Loads, w.Demand, w.ColdSuspicions = n.heartbeats.seq, all, demand, suspicions
		if placed[id] {
			w.Loads = n.loadsFor(id)
		}
		if groupMembers[id] {
			w.CachedParts, w.PrefillModels, w.PaceModels = n.readParts, models, paceModels
		}
		n.attachStoreState(id, now)
		n.attachNotes(id, w)
	}
	n.readParts = nil
}

// attachStoreState adds to a router's datagram what this one knows of the store. Without a
// table it has no content that another router could fetch from it. The checksum of the held
// requests and the upstreams that are leaving go along with it.
func (n *Node) attachStoreState(to wire.NodeID, now time.Time) {
	w := n.work(to)
	n.attachQuarantineChecksum(to)
	n.attachLeaving(to, now)
	w.Revision, w.Table = n.completeUpTo(), n.tableNumber()
	w.Reading, w.ReadingSpan = n.store.current(now), n.store.readingSpan()
	w.StoreUnreachable = n.store.isUnreachable(now)
}

// completeUpTo returns the revision up to which this router knows all changes of the store's
// content, 0 without a table. Others fetch what they lack by it; a later change that is known
// by itself, such as one from a page that was read late, gives them nothing to fetch.
func (n *Node) completeUpTo() uint64 {
	if n.catalogue.Table == nil {
		return 0
	}
	return min(n.catalogue.Revision, n.catalogue.AsOf)
}

// announceInTurn sends announcements to all routers in turn, if this router is an announcer:
// one router in each heartbeatIntervalPerRouter. The announcers are spread evenly over the
// round, so that each router receives one of them every few hundred milliseconds.
func (n *Node) announceInTurn(now time.Time) {
	slot := now.UnixNano() / int64(heartbeatIntervalPerRouter)
	last := n.heartbeats.lastSlot
	if slot <= last {
		return
	}
	n.heartbeats.lastSlot = slot
	all := n.members.Live(true)
	groupMembers := n.groupMembers(now)
	announcers := n.announcers(groupMembers, now)
	i := slices.Index(announcers, n.settings.ID)
	if i < 0 {
		return
	}
	for t := max(last, slot-maxRoundCatchUp) + 1; t <= slot; t++ {
		id := all[(t+int64(i*len(all)/len(announcers)))%int64(len(all))]
		if id == n.settings.ID {
			continue
		}
		w := n.work(id)
		n.attachStoreState(id, now)
		if groupMembers[n.settings.ID] {
			w.FleetDemand = n.fleetDemand(now)
		}
	}
}

// announcers returns the announcers in sorted order: the members of scheduler groups, the
// watchers of the store, and this router if others take it for a watcher while it cannot reach
// the store.
func (n *Node) announcers(groupMembers map[wire.NodeID]bool, now time.Time) []wire.NodeID {
	set := maps.Clone(groupMembers)
	for _, id := range n.chosenWatchers(now) {
		set[id] = true
	}
	if n.store.isUnreachable(now) && n.wouldBeWatcher(now) {
		set[n.settings.ID] = true
	}
	var out []wire.NodeID
	for id := range set {
		out = append(out, id)
	}
	slices.Sort(out)
	return out
}

// placingRouters returns the routers that placed a request of this router that is running. All
// others are sent the same loads.
func (n *Node) placingRouters() map[wire.NodeID]bool {
	out := map[wire.NodeID]bool{}
	for _, f := range n.inflight {
		if f.upstreamID != 0 && !f.orphan {
			out[f.scheduler] = true
		}
	}
	return out
}

// loadsFor returns this router's usage of upstreams without what the receiver placed, which the
// receiver knows better. A load is up to 200 ms old: if it were counted together with the
// receiver's placements, prompts that have been prefilled since would seem to wait.
func (n *Node) loadsFor(to wire.NodeID) []wire.UpstreamLoad {
	sums := map[version.ID]*wire.UpstreamLoad{}
	var out []wire.UpstreamLoad
	for _, f := range n.inflight {
		if f.upstreamID == 0 || f.scheduler == to && !f.orphan {
			continue
		}
		l := sums[f.upstreamID]
		if l == nil {
			l = &wire.UpstreamLoad{Upstream: f.upstreamID}
			sums[f.upstreamID] = l
		}
		l.Running++
		l.Tokens += uint32(privateTokens(f.req.Input, f.req.Output, f.req.Parts))
		if !f.firstEvent {
			l.Unread += uint32(f.work)
		}
	}
	for _, l := range sums {
		out = append(out, *l)
	}
	return out
}

// handleStoreState handles what a router announces of the store.
func (n *Node) handleStoreState(from wire.NodeID, w *wire.Dispatch, now time.Time) {
	n.handleStoreUnreachable(from, w.StoreUnreachable, now)
	n.recordNewerContent(from, newerContent{revision: w.Revision, table: w.Table}, now)
	if w.Revision != 0 && w.Revision <= n.catalogue.AsOf {
		n.listChecked(now)
	}
}

// handleHeartbeat handles a router's heartbeat.
func (n *Node) handleHeartbeat(from wire.NodeID, w *wire.Dispatch, now time.Time) {
	n.applyLoads(from, w.Loads, now)
	n.handleDemand(from, w.Demand)
	n.handleModels(w.PrefillModels)
	n.handlePaceModels(w.PaceModels)
	n.handleSuspicions(w.ColdSuspicions, now)
	for _, p := range n.pools {
		if p.engine == nil {
			continue
		}
		for _, h := range w.CachedParts {
			if u := p.upstreams[h.Upstream]; u != nil {
				u.markUsed(now)
				u.cache.add(h.Part, int(h.Tokens), true, now)
				u.fit(now)
			}
		}
	}
}

// applyLoads replaces the load that a router states for the upstreams.
func (n *Node) applyLoads(from wire.NodeID, loads []wire.UpstreamLoad, now time.Time) {
	for _, p := range n.pools {
		p.applyLoads(from, loads, now)
	}
}
