package dispatch

import (
	"maps"
	"slices"
	"time"

	"github.com/silverswitch/silverswitch/internal/core/wire"
	"github.com/silverswitch/silverswitch/internal/version"
)

// Regular messages. In a small fleet every router tells every other one what it uses. In a
// larger one it tells the heirs, who decide by it, and a few routers tell everyone what
// everyone needs: that the store has changed, how old its latest reading is, and how much
// the whole fleet is asked for. So what a router sends does not grow with the fleet.
//
// Load pattern: 195 routers, each telling all others 40 times a second. That is 7,800
// datagrams a second in the fleet, and loads are 5 s old when they are heard.
const (
	// meshMaxRouters is the largest fleet in which every router tells every other one.
	meshMaxRouters = 12
	// heartbeatInterval and heartbeatIntervalPerRouter are the period of what goes to everyone: in a large
	// fleet less often, so that what a router sends stays bounded.
	heartbeatInterval          = 200 * time.Millisecond
	heartbeatIntervalPerRouter = 25 * time.Millisecond
	// groupHeartbeatInterval and groupIntervalPerRouter are the period of what heirs are told: shorter than a
	// request lasts, and at most ten datagrams a second.
	groupHeartbeatInterval = 500 * time.Millisecond
	groupIntervalPerRouter = 100 * time.Millisecond
	// maxRoundCatchUp bounds how many routers are told at once by one whose ticks came late.
	maxRoundCatchUp = 8
)

// schedulerGroupSize is how many routers of a service keep the model of kept parts warm, its
// scheduler among them.
const schedulerGroupSize = 3

// beats is the state of regular messages.
type heartbeats struct {
	seq             uint32
	due             time.Time                  // of what heirs are told
	lastSlot        int64                      // number of the last turn in which a router was told
	schedulers      map[version.ID]wire.NodeID // by service, as they were seen last
	schedulerSince  map[version.ID]time.Time   // since when they are
	schedulingSince map[version.ID]time.Time   // the same of the services that this router schedules
}

func heartbeatPeriod(routers int) time.Duration {
	return max(heartbeatInterval, time.Duration(routers)*heartbeatIntervalPerRouter)
}

// schedulerGroup returns the routers that are, or may soon be, the scheduler of a service, in order.
func (n *Node) schedulerGroup(service version.ID, now time.Time) []wire.NodeID {
	ranked := n.ranked(service, now)
	return ranked[:min(schedulerGroupSize, len(ranked))]
}

// others returns a list of routers without this one.
func (n *Node) otherRouters(list []wire.NodeID) []wire.NodeID {
	return slices.DeleteFunc(slices.Clone(list), func(id wire.NodeID) bool { return id == n.settings.ID })
}

// heirs returns the routers that are, or may soon be, the scheduler of some services.
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

// isLarge reports whether the fleet is too large for every router to tell every other one.
func (n *Node) isLarge() bool { return len(n.members.Live(true)) > meshMaxRouters }

// tickHeartbeat sends the regular messages that are due.
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
	for _, p := range n.pools {
		p.expire(now)
	}
	n.forgetDead(now)
}

// updateSchedulers tells a new scheduler at once what this router uses: until then it knows
// only what it has placed itself.
func (n *Node) updateSchedulers(now time.Time) {
	for _, p := range n.pools {
		to := n.schedulerOf(p.id, now)
		if n.heartbeats.schedulers[p.id] == to {
			continue
		}
		n.heartbeats.schedulers[p.id], n.heartbeats.schedulerSince[p.id] = to, now
		if to == n.settings.ID {
			n.heartbeats.schedulingSince[p.id] = now
		} else {
			delete(n.heartbeats.schedulingSince, p.id)
		}
		soon := now.Add(time.Duration(n.rnd.Int64N(int64(fetchJitter))))
		if n.heartbeats.due.After(soon) {
			n.heartbeats.due = soon
		}
	}
}

// sendHeartbeat tells every router, or the heirs in a large fleet, what this one uses, and the
// heirs what was read lately.
func (n *Node) sendHeartbeat(now time.Time) {
	heirs := n.groupMembers(now)
	to := n.members.Live(true)
	n.heartbeats.due = now.Add(heartbeatPeriod(len(to)))
	if n.isLarge() {
		to = slices.DeleteFunc(slices.Clone(to), func(id wire.NodeID) bool { return !heirs[id] })
		n.heartbeats.due = now.Add(max(groupHeartbeatInterval, time.Duration(len(to))*groupIntervalPerRouter))
	}
	n.heartbeats.seq++
	demand, models, doubts := n.ownDemand(now), n.ownModels(), n.suspicions(now)
	n.applyLoads(n.settings.ID, n.loadsFor(n.settings.ID), now)
	all, placed := n.loadsFor(""), n.placingRouters()
	for _, id := range to {
		if id == n.settings.ID {
			continue
		}
		w := n.work(id)
		w.Beat, w.Loads, w.Demand, w.Doubts = n.heartbeats.seq, all, demand, doubts
		if placed[id] {
			w.Loads = n.loadsFor(id)
		}
		if heirs[id] {
			w.Held, w.Models = n.readParts, models
		}
		n.attachStoreState(id, now)
		n.takeNotes(id, w)
	}
	n.readParts = nil
}

// attachStoreState tells a router what this one knows of the store: without a table it has
// nothing that another could read from it. What it holds, and which upstreams have said that
// they leave, goes with it.
func (n *Node) attachStoreState(to wire.NodeID, now time.Time) {
	w := n.work(to)
	n.stateHeld(to)
	n.attachLeaving(to, now)
	w.Revision, w.Table = n.completeUpTo(), n.tableNumber()
	w.Sight, w.Blind = n.store.current(now), n.store.isUnreachable(now)
}

// complete is the last change of the store's content up to which this router knows all of
// them, 0 without a table. Others read from it what they lack: a change that it knows by
// itself, as one of a page that was read late, is nothing to read.
func (n *Node) completeUpTo() uint64 {
	if n.catalogue.Table == nil {
		return 0
	}
	return min(n.catalogue.Revision, n.catalogue.AsOf)
}

// announceInTurn tells everyone in turn, if this router is one of those that do: one router
// each heartbeatIntervalPerRouter, the tellers as far apart in the round as their number allows, so
// that each router hears one of them every few hundred milliseconds.
func (n *Node) announceInTurn(now time.Time) {
	turn := now.UnixNano() / int64(heartbeatIntervalPerRouter)
	last := n.heartbeats.lastSlot
	if turn <= last {
		return
	}
	n.heartbeats.lastSlot = turn
	all := n.members.Live(true)
	heirs := n.groupMembers(now)
	tellers := n.announcers(heirs, now)
	i := slices.Index(tellers, n.settings.ID)
	if i < 0 {
		return
	}
	for t := max(last, turn-maxRoundCatchUp) + 1; t <= turn; t++ {
		id := all[(t+int64(i*len(all)/len(tellers)))%int64(len(all))]
		if id == n.settings.ID {
			continue
		}
		w := n.work(id)
		n.attachStoreState(id, now)
		if heirs[n.settings.ID] {
			w.Fleet = n.fleetDemand(now)
		}
	}
}

// tellers returns those who tell everyone, sorted: the heirs, those who read the store,
// and this router if others take it for one that reads the store, and it cannot.
func (n *Node) announcers(heirs map[wire.NodeID]bool, now time.Time) []wire.NodeID {
	set := maps.Clone(heirs)
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

// placers returns the routers that placed something that runs now: the loads of all
// others are the same.
func (n *Node) placingRouters() map[wire.NodeID]bool {
	out := map[wire.NodeID]bool{}
	for _, f := range n.inflight {
		if f.placed != 0 && !f.orphan {
			out[f.by] = true
		}
	}
	return out
}

// loadsFor is this router's use of upstreams, less what the receiver placed: that one
// knows it better. A load is up to 200 ms old: counted against what was placed, prompts
// that have been read meanwhile would seem to wait.
func (n *Node) loadsFor(to wire.NodeID) []wire.WorkLoad {
	sums := map[version.ID]*wire.WorkLoad{}
	var out []wire.WorkLoad
	for _, f := range n.inflight {
		if f.placed == 0 || f.by == to && !f.orphan {
			continue
		}
		l := sums[f.placed]
		if l == nil {
			l = &wire.WorkLoad{Upstream: f.placed}
			sums[f.placed] = l
		}
		l.Running++
		l.Tokens += uint32(privateTokens(f.req.Input, f.req.Output, f.req.Parts))
		if !f.first {
			l.Unread += uint32(f.work)
		}
	}
	for _, l := range sums {
		out = append(out, *l)
	}
	return out
}

// handleStoreState takes what a router knows of the store.
func (n *Node) handleStoreState(from wire.NodeID, w *wire.Work, now time.Time) {
	n.handleStoreUnreachable(from, w.Blind, now)
	n.noteNewerContent(from, newerContent{revision: w.Revision, table: w.Table}, now)
}

// handleHeartbeat takes a router's regular message.
func (n *Node) handleHeartbeat(from wire.NodeID, w *wire.Work, now time.Time) {
	n.applyLoads(from, w.Loads, now)
	n.heardDemand(from, w.Demand)
	n.heardModels(w.Models)
	n.handleSuspicions(w.Doubts, now)
	for _, p := range n.pools {
		if p.engine == nil {
			continue
		}
		for _, h := range w.Held {
			if u := p.upstreams[h.Upstream]; u != nil {
				u.touch(now)
				u.cache.add(h.Part, int(h.Tokens), true, now)
				u.fit(now)
			}
		}
	}
}

// applyLoads replaces what a router states of its use of upstreams.
func (n *Node) applyLoads(from wire.NodeID, loads []wire.WorkLoad, now time.Time) {
	for _, p := range n.pools {
		p.applyLoads(from, loads, now)
	}
}
