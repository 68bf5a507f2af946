package dispatch

import (
	"maps"
	"strings"
	"time"

	"github.com/silverswitch/silverswitch/internal/core/wire"
	"github.com/silverswitch/silverswitch/internal/routing"
	"github.com/silverswitch/silverswitch/internal/version"
)

// Signs that the store has dropped its history before its time. What is left then looks like the
// history of a store that has not changed for long: the lists of a stream's life are missing, and the
// present one would be taken for all of them.
//
// Each sign is a change that the store no longer has although it is too young for that. A sign only
// makes streams unknown. No sign proves nothing: where upstreams do not state when they started, and
// none of them is leaving, both histories look alike.
//
// Load pattern: a release, the store drops its history, and all routers lose power.

// maxBornAhead is by how much the clock of an upstream may be ahead of this VM's. A start that lies
// further ahead says nothing of its age.
const maxBornAhead = time.Minute

// The signs, as logged.
const (
	signBorn     = "born"     // an upstream that has just started wrote its entry before the history begins
	signDraining = "draining" // so did one that is leaving, which takes seconds
	signLagging  = "lagging"  // a listing that is seconds old is older than the history
)

// historySign is a sign of a dropped history, and the upstream that shows it.
type historySign struct{ name, upstream string }

// droppedEarly returns a sign that the store has dropped its history before its time, false if there
// is none.
func (n *Node) droppedEarly(in StoreHistory) (historySign, bool) {
	if in.Whole || in.Oldest == 0 {
		return historySign{}, false
	}
	if l := in.Lagging; l != nil && l.AsOf < in.Oldest && routing.EraOf(l.AsOf) == routing.EraOf(in.Oldest) {
		return historySign{name: signLagging}, true
	}
	if id, found := in.hiddenDrain(); found {
		return historySign{signDraining, id}, true
	}
	if id, found := n.hiddenStart(in); found {
		return historySign{signBorn, id}, true
	}
	return historySign{}, false
}

// hiddenStart returns the first upstream by its ID that has just started and wrote its entry before
// the history begins.
func (n *Node) hiddenStart(in StoreHistory) (id string, found bool) {
	for _, p := range n.pools {
		for _, u := range p.order {
			if in.hides(u.inst.Revision) && in.isYoung(u.inst.Born) && (!found || u.inst.ID < id) {
				id, found = u.inst.ID, true
			}
		}
	}
	return id, found
}

// hiddenDrain returns an upstream that is leaving and stated so before the history begins.
func (in *StoreHistory) hiddenDrain() (id string, found bool) {
	lists := [][]routing.Instance{in.Listed}
	if in.Lagging != nil {
		lists = append(lists, in.Lagging.Instances)
	}
	for _, list := range lists {
		for _, i := range list {
			if i.Draining && in.hides(i.Revision) {
				return i.ID, true
			}
		}
	}
	return "", false
}

// hides reports whether a change is not in the history.
func (in *StoreHistory) hides(rev uint64) bool {
	return rev != 0 && rev <= in.Oldest && routing.EraOf(rev) == routing.EraOf(in.Oldest)
}

// isYoung reports whether a start lies within the time for which the store keeps its history.
func (in *StoreHistory) isYoung(born int64) bool {
	if born == 0 {
		return false
	}
	at := time.UnixMilli(born)
	return at.After(in.ReadAt.Add(-in.Reach)) && !at.After(in.ReadAt.Add(maxBornAhead))
}

// historyDrop is what a router knows of the store having dropped its history.
type historyDrop struct {
	until time.Time           // for how long that matters, zero if it has not learned of it
	told  map[wire.NodeID]int // how often it has told each router, nil unless it has seen a sign itself
}

// holds reports whether the store's history is not to be used: a later reading shows less of what is
// missing, and no sign of it.
func (d *historyDrop) holds(now time.Time) bool {
	return now.Before(d.until)
}

// refuseHistory reports whether the store's history is not to be used, since it was dropped before
// its time.
func (n *Node) refuseHistory(in StoreHistory, now time.Time) bool {
	if n.historyDrop.holds(now) {
		return true
	}
	sign, dropped := n.droppedEarly(in)
	if !dropped {
		return false
	}
	n.Counts.HistoriesDropped++
	n.event(Event{Name: "store-history-dropped-early", Value: in.Oldest, Detail: strings.TrimSpace(sign.name + " " + sign.upstream)})
	n.distrustHistory(now)
	n.historyDrop.told = map[wire.NodeID]int{}
	return true
}

// distrustHistory makes this router do without the store's history, also if it has used it already.
func (n *Node) distrustHistory(now time.Time) {
	if n.historyDrop.holds(now) {
		return
	}
	lasts := versionMemory
	for _, p := range n.pools {
		lasts = max(lasts, p.streamLife+2*listDelay)
		p.history.withdrawStoreHistory()
	}
	n.historyDrop.until = now.Add(lasts)
	maps.DeleteFunc(n.inheritedVersions, func(_ version.ID, m inheritedVersions) bool { return m.fromStore })
}

const (
	// maxDropNotices bounds the routers that one tick tells of a dropped history.
	maxDropNotices = 50
	// dropTells is how often each is told, since datagrams may be lost.
	dropTells = 3
)

// tellDrop tells the other routers of a dropped history: one that reads it later may see no sign.
func (n *Node) tellDrop(now time.Time) {
	if n.historyDrop.told == nil || !n.historyDrop.holds(now) {
		return
	}
	left := maxDropNotices
	for _, id := range n.otherRouters(n.members.Live(true)) {
		if n.historyDrop.told[id] == dropTells || left == 0 {
			continue
		}
		n.work(id).HistoryDropped = true
		n.historyDrop.told[id]++
		left--
	}
}
