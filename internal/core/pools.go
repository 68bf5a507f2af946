package core

import (
	"maps"
	"slices"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/silverswitch/silverswitch/internal/core/sched"
	"github.com/silverswitch/silverswitch/internal/core/wire"
	"github.com/silverswitch/silverswitch/internal/version"
)

// ownerCache keeps who schedules each pool until membership or version change.
type ownerCache struct {
	changes int
	owners  map[version.ID][]wire.NodeID
}

func (c *ownerCache) clear() { c.owners = nil }

// ownerOf returns the router that schedules a pool in this node's view.
func (n *Node) ownerOf(pool version.ID) wire.NodeID {
	return n.ownersOf(pool)[0]
}

// ownersOf returns the two first routers of the pool's rendezvous order: the
// scheduler and the one that would follow it. Routers in the pool's region come
// first, so that a cut between regions leaves each its own scheduler.
func (n *Node) ownersOf(pool version.ID) []wire.NodeID {
	if n.owners.owners == nil || n.owners.changes != n.members.Changes {
		n.owners = ownerCache{changes: n.members.Changes, owners: map[version.ID][]wire.NodeID{}}
	}
	if ids, ok := n.owners.owners[pool]; ok {
		return ids
	}
	ids := n.rank(pool)
	n.owners.owners[pool] = ids
	return ids
}

func (n *Node) rank(pool version.ID) []wire.NodeID {
	live := slices.Clone(n.members.Live(false))
	if len(live) == 0 {
		live = slices.Clone(n.members.Live(true))
	}
	region := ""
	if p := n.ver.Pools[pool]; p != nil {
		region = p.Region
	}
	weight := func(id wire.NodeID) uint64 {
		h := xxhash.New()
		h.WriteString(string(id))
		h.Write([]byte{byte(pool >> 24), byte(pool >> 16), byte(pool >> 8), byte(pool)})
		return h.Sum64()
	}
	sort.Slice(live, func(i, j int) bool {
		a, b := n.regionOf(live[i]) == region, n.regionOf(live[j]) == region
		if a != b {
			return a
		}
		return weight(live[i]) > weight(live[j])
	})
	return live[:min(2, len(live))]
}

func (n *Node) regionOf(id wire.NodeID) string {
	place := n.set.Place
	if id != n.set.ID {
		m := n.members.Get(id)
		if m == nil {
			return ""
		}
		place = m.Place
	}
	if p := n.ver.Places[place]; p != nil {
		return p.Region
	}
	return ""
}

// report takes a router's report. Whoever is reported to is the scheduler, so
// that two views which disagree for a moment stop no request.
func (n *Node) report(from wire.NodeID, inc wire.Incarnation, r *wire.Report, now time.Time) {
	if n.ver == nil || n.ver.Pools[r.Pool] == nil {
		return
	}
	p := n.pools[r.Pool]
	if p == nil {
		p = n.takeOver(r.Pool, now)
	}
	p.lastReport = now
	p.Report(from, inc, r, now)
}

func (n *Node) takeOver(pool version.ID, now time.Time) *hosted {
	p := &hosted{Pool: sched.New(pool, n.ver, n.led, n.set.Sched, now)}
	p.Adopt(n.offsetList(pool), now)
	for id := range n.drains {
		p.Drain(id, true)
	}
	p.SetFraction(n.fraction())
	n.pools[pool] = p
	n.Counts.Takeovers++
	n.event("scheduler-of", uint64(pool), n.ver.Pools[pool].Service+"@"+n.ver.Pools[pool].Region)
	return p
}

func (n *Node) offsetList(pool version.ID) []wire.Offset {
	var out []wire.Offset
	for org, v := range n.offsets[pool] {
		out = append(out, wire.Offset{Org: org, Norm: v})
	}
	return out
}

// fraction is the part of every slot this side may grant. Routers out of reach
// that the VM list names may be on the other side of a cut with a scheduler of
// their own; a single one is taken to have died.
func (n *Node) fraction() float64 {
	roster := n.members.Roster()
	live := map[wire.NodeID]bool{}
	for _, id := range n.members.Live(true) {
		live[id] = true
	}
	seen := 0
	for _, id := range roster {
		if live[id] {
			seen++
		}
	}
	if missing := len(roster) - seen; missing <= max(1, len(roster)/8) {
		return 1
	}
	return float64(seen) / float64(len(roster))
}

func (n *Node) planPools(now time.Time) {
	for _, id := range n.poolIDs() {
		for _, s := range n.pools[id].Plan(now) {
			d := n.box.To(s.To)
			d.Grants = append(d.Grants, s.Grants)
		}
	}
}

func (n *Node) poolIDs() []version.ID { return slices.Sorted(maps.Keys(n.pools)) }

// tickPools drops dead routers from the pools, and pools nobody reports to.
func (n *Node) tickPools(now time.Time) {
	if len(n.pools) == 0 || now.Sub(n.lastPools) < poolsEvery {
		return
	}
	n.lastPools = now
	f := n.fraction()
	for _, id := range n.poolIDs() {
		p := n.pools[id]
		p.SetFraction(f)
		for _, m := range n.members.All() {
			if m.State == wire.Dead {
				p.Lost(m.ID, now)
			}
			p.Ended(m.ID, m.Inc, now)
		}
		if idle := now.Sub(p.lastReport); idle > forgetAfter || (idle > resignAfter && n.ownerOf(id) != n.set.ID) {
			delete(n.pools, id)
		}
	}
}

// sendLedger tells the schedulers of full pools what this router served since it
// last told, over all pools; and those that would follow them, since cells that
// came in through a router that dies would be lost with its scheduler.
func (n *Node) sendLedger() {
	if n.ver == nil {
		return
	}
	rows := n.entry.Served()
	for _, r := range rows {
		n.led.Merge(n.set.ID, n.set.Inc, r.Org, r.Norm)
	}
	to := map[wire.NodeID]map[version.ID]wire.LedgerRow{}
	for _, pool := range n.entry.FullPools() {
		for _, owner := range n.ownersOf(pool) {
			n.ledgerFor(to, owner, pool, rows)
		}
	}
	delete(to, n.set.ID)
	for _, id := range slices.Sorted(maps.Keys(to)) {
		n.box.To(id).Ledger = &wire.Ledger{Rows: sortedRows(to[id])}
	}
}

// ledgerFor adds the rows of the organisations that may use the pool.
func (n *Node) ledgerFor(to map[wire.NodeID]map[version.ID]wire.LedgerRow, id wire.NodeID, pool version.ID, rows []wire.LedgerRow) {
	if to[id] == nil {
		to[id] = map[version.ID]wire.LedgerRow{}
	}
	service := n.ver.Pools[pool].Service
	for _, r := range rows {
		if o := n.ver.Organisations[r.Org]; o != nil && o.UsesService(service) {
			to[id][r.Org] = r
		}
	}
}

func sortedRows(m map[version.ID]wire.LedgerRow) []wire.LedgerRow {
	out := make([]wire.LedgerRow, 0, len(m))
	for _, r := range m {
		out = append(out, r)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Org < out[j].Org })
	return out
}

// copyPools sends what routers' reports could not rebuild to the router that
// would follow: offsets, and the cells of routers that are gone.
func (n *Node) copyPools() {
	for _, id := range n.poolIDs() {
		follower := n.follower(id)
		if follower == "" {
			continue
		}
		s := wire.PoolState{Pool: id, Offsets: n.pools[id].Offsets(), Cells: n.deadCells()}
		if len(s.Offsets)+len(s.Cells) == 0 {
			continue
		}
		d := n.box.To(follower)
		d.States = append(d.States, s)
	}
}

func (n *Node) follower(pool version.ID) wire.NodeID {
	for _, id := range n.ownersOf(pool) {
		if id != n.set.ID {
			return id
		}
	}
	return ""
}

// deadCells returns the next few ledger cells of routers that are gone, in turn.
func (n *Node) deadCells() []wire.Cell {
	var all []wire.Cell
	for _, m := range n.members.All() {
		if m.State == wire.Dead {
			all = append(all, n.led.Cells(m.ID)...)
		}
	}
	if len(all) <= copiesPerSend {
		return all
	}
	from := n.copyFrom % len(all)
	n.copyFrom += copiesPerSend
	return all[from:min(from+copiesPerSend, len(all))]
}

// adopt takes a scheduler's copy.
func (n *Node) adopt(s *wire.PoolState, now time.Time) {
	for _, c := range s.Cells {
		n.led.Merge(c.Node, c.Inc, c.Org, c.Norm)
	}
	m := n.offsets[s.Pool]
	if m == nil {
		m = map[version.ID]uint64{}
		n.offsets[s.Pool] = m
	}
	for _, o := range s.Offsets {
		m[o.Org] = max(m[o.Org], o.Norm)
	}
	if p := n.pools[s.Pool]; p != nil {
		p.Adopt(s.Offsets, now)
	}
}
