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
	// meshUpTo is the largest fleet in which every router tells every other one.
	meshUpTo = 12
	// beatEvery and beatPerRouter are the period of what goes to everyone: in a large
	// fleet less often, so that what a router sends stays bounded.
	beatEvery     = 200 * time.Millisecond
	beatPerRouter = 25 * time.Millisecond
	// heirEvery and heirPerHeir are the period of what heirs are told: shorter than a
	// request lasts, and at most ten datagrams a second.
	heirEvery   = 500 * time.Millisecond
	heirPerHeir = 100 * time.Millisecond
	// roundMost bounds how many routers are told at once by one whose ticks came late.
	roundMost = 8
)

// heirCount is how many routers of a service keep the model of kept parts warm, its
// scheduler among them.
const heirCount = 3

// beats is the state of regular messages.
type beats struct {
	no         uint32
	due        time.Time                  // of what heirs are told
	round      int64                      // number of the last turn in which a router was told
	schedulers map[version.ID]wire.NodeID // by service, as they were seen last
	changed    map[version.ID]time.Time   // since when they are
	since      map[version.ID]time.Time   // the same of the services that this router schedules
}

func beatPeriod(routers int) time.Duration {
	return max(beatEvery, time.Duration(routers)*beatPerRouter)
}

// heirsOf returns the routers that are, or may soon be, the scheduler of a service, in order.
func (n *Node) heirsOf(service version.ID, now time.Time) []wire.NodeID {
	ranked := n.ranked(service, now)
	return ranked[:min(heirCount, len(ranked))]
}

// others returns a list of routers without this one.
func (n *Node) others(list []wire.NodeID) []wire.NodeID {
	return slices.DeleteFunc(slices.Clone(list), func(id wire.NodeID) bool { return id == n.set.ID })
}

// heirs returns the routers that are, or may soon be, the scheduler of some services.
func (n *Node) heirs(now time.Time) map[wire.NodeID]bool {
	out := map[wire.NodeID]bool{}
	plain := n.isLarge()
	for _, p := range n.pools {
		if p.engine == nil && !plain {
			continue
		}
		for _, id := range n.heirsOf(p.id, now) {
			out[id] = true
		}
	}
	return out
}

// isLarge reports whether the fleet is too large for every router to tell every other one.
func (n *Node) isLarge() bool { return len(n.members.Live(true)) > meshUpTo }

// tickBeat sends the regular messages that are due.
func (n *Node) tickBeat(now time.Time) {
	n.noteScheduler(now)
	if n.isLarge() {
		n.tellRound(now)
	}
	if now.Before(n.beats.due) {
		return
	}
	n.sendBeat(now)
	n.logModels()
	for _, p := range n.pools {
		p.expire(now)
	}
	n.dropDead(now)
}

// noteScheduler tells a new scheduler at once what this router uses: until then it knows
// only what it has placed itself.
func (n *Node) noteScheduler(now time.Time) {
	for _, p := range n.pools {
		to := n.schedulerOf(p.id, now)
		if n.beats.schedulers[p.id] == to {
			continue
		}
		n.beats.schedulers[p.id], n.beats.changed[p.id] = to, now
		if to == n.set.ID {
			n.beats.since[p.id] = now
		} else {
			delete(n.beats.since, p.id)
		}
		soon := now.Add(time.Duration(n.rnd.Int64N(int64(fetchSpread))))
		if n.beats.due.After(soon) {
			n.beats.due = soon
		}
	}
}

// sendBeat tells every router, or the heirs in a large fleet, what this one uses, and the
// heirs what was read lately.
func (n *Node) sendBeat(now time.Time) {
	heirs := n.heirs(now)
	to := n.members.Live(true)
	n.beats.due = now.Add(beatPeriod(len(to)))
	if n.isLarge() {
		to = slices.DeleteFunc(slices.Clone(to), func(id wire.NodeID) bool { return !heirs[id] })
		n.beats.due = now.Add(max(heirEvery, time.Duration(len(to))*heirPerHeir))
	}
	n.beats.no++
	demand, models, doubts := n.ownDemand(now), n.ownModels(), n.doubts(now)
	n.applyLoads(n.set.ID, n.loadsFor(n.set.ID), now)
	all, placed := n.loadsFor(""), n.placers()
	for _, id := range to {
		if id == n.set.ID {
			continue
		}
		w := n.work(id)
		w.Heartbeat, w.Loads, w.Demand, w.ColdSuspicions = n.beats.no, all, demand, doubts
		if placed[id] {
			w.Loads = n.loadsFor(id)
		}
		if heirs[id] {
			w.CachedParts, w.PrefillModels = n.read, models
		}
		n.tellStore(id, now)
		n.takeNotes(id, w)
	}
	n.read = nil
}

// tellStore tells a router what this one knows of the store: without a table it has
// nothing that another could read from it. What it holds, and which upstreams have said that
// they leave, goes with it.
func (n *Node) tellStore(to wire.NodeID, now time.Time) {
	w := n.work(to)
	n.stateHeld(to)
	n.tellLeaving(to, now)
	w.Revision, w.Table = n.complete(), n.tableNumber()
	w.Reading, w.StoreUnreachable = n.store.told(now), n.store.isBlind(now)
}

// complete is the last change of the store's content up to which this router knows all of
// them, 0 without a table. Others read from it what they lack: a change that it knows by
// itself, as one of a page that was read late, is nothing to read.
func (n *Node) complete() uint64 {
	if n.cat.Table == nil {
		return 0
	}
	return min(n.cat.Revision, n.cat.AsOf)
}

// tellRound tells everyone in turn, if this router is one of those that do: one router
// each beatPerRouter, the tellers as far apart in the round as their number allows, so
// that each router hears one of them every few hundred milliseconds.
func (n *Node) tellRound(now time.Time) {
	turn := now.UnixNano() / int64(beatPerRouter)
	last := n.beats.round
	if turn <= last {
		return
	}
	n.beats.round = turn
	all := n.members.Live(true)
	heirs := n.heirs(now)
	tellers := n.tellers(heirs, now)
	i := slices.Index(tellers, n.set.ID)
	if i < 0 {
		return
	}
	for t := max(last, turn-roundMost) + 1; t <= turn; t++ {
		id := all[(t+int64(i*len(all)/len(tellers)))%int64(len(all))]
		if id == n.set.ID {
			continue
		}
		w := n.work(id)
		n.tellStore(id, now)
		if heirs[n.set.ID] {
			w.FleetDemand = n.fleetDemand(now)
		}
	}
}

// tellers returns those who tell everyone, sorted: the heirs, those who read the store,
// and this router if others take it for one that reads the store, and it cannot.
func (n *Node) tellers(heirs map[wire.NodeID]bool, now time.Time) []wire.NodeID {
	set := maps.Clone(heirs)
	for _, id := range n.chosenWatchers(now) {
		set[id] = true
	}
	if n.store.isBlind(now) && n.wouldWatch(now) {
		set[n.set.ID] = true
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
func (n *Node) placers() map[wire.NodeID]bool {
	out := map[wire.NodeID]bool{}
	for _, f := range n.flights {
		if f.placed != 0 && !f.orphan {
			out[f.by] = true
		}
	}
	return out
}

// loadsFor is this router's use of upstreams, less what the receiver placed: that one
// knows it better. A load is up to 200 ms old: counted against what was placed, prompts
// that have been read meanwhile would seem to wait.
func (n *Node) loadsFor(to wire.NodeID) []wire.UpstreamLoad {
	sums := map[version.ID]*wire.UpstreamLoad{}
	var out []wire.UpstreamLoad
	for _, f := range n.flights {
		if f.placed == 0 || f.by == to && !f.orphan {
			continue
		}
		l := sums[f.placed]
		if l == nil {
			l = &wire.UpstreamLoad{Upstream: f.placed}
			sums[f.placed] = l
		}
		l.Running++
		l.Tokens += uint32(ownTokens(f.req.Input, f.req.Output, f.req.Parts))
		if !f.first {
			l.Unread += uint32(f.work)
		}
	}
	for _, l := range sums {
		out = append(out, *l)
	}
	return out
}

// heardStore takes what a router knows of the store.
func (n *Node) heardStore(from wire.NodeID, w *wire.Dispatch, now time.Time) {
	n.heardBlind(from, w.StoreUnreachable, now)
	n.compare(from, ahead{revision: w.Revision, table: w.Table}, now)
}

// heardBeat takes a router's regular message.
func (n *Node) heardBeat(from wire.NodeID, w *wire.Dispatch, now time.Time) {
	n.applyLoads(from, w.Loads, now)
	n.heardDemand(from, w.Demand)
	n.heardModels(w.PrefillModels)
	n.heardDoubts(w.ColdSuspicions, now)
	for _, p := range n.pools {
		if p.engine == nil {
			continue
		}
		for _, h := range w.CachedParts {
			if u := p.ups[h.Upstream]; u != nil {
				u.touch(now)
				u.cache.add(h.Part, int(h.Tokens), true, now)
				u.fit(now)
			}
		}
	}
}

// applyLoads replaces what a router states of its use of upstreams.
func (n *Node) applyLoads(from wire.NodeID, loads []wire.UpstreamLoad, now time.Time) {
	for _, p := range n.pools {
		p.applyLoads(from, loads, now)
	}
}
