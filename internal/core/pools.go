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

// schedulerCache caches the schedulers of each pool until membership or the version changes.
type schedulerCache struct {
	changes    int
	schedulers map[version.ID][]wire.NodeID
}

func (c *schedulerCache) clear() { c.schedulers = nil }

// schedulerOf returns the router that schedules a pool in this node's view.
func (n *Node) schedulerOf(pool version.ID) wire.NodeID {
	return n.schedulersOf(pool)[0]
}

// schedulersOf returns the first two routers of the pool's rendezvous order: the scheduler and
// its standby. Routers in the pool's region come first, so that each side of a partition
// between regions keeps a scheduler of its own.
func (n *Node) schedulersOf(pool version.ID) []wire.NodeID {
	if n.schedulers.schedulers == nil || n.schedulers.changes != n.members.Changes {
		n.schedulers = schedulerCache{changes: n.members.Changes, schedulers: map[version.ID][]wire.NodeID{}}
	}
	if ids, ok := n.schedulers.schedulers[pool]; ok {
		return ids
	}
	ids := n.rankRouters(pool)
	n.schedulers.schedulers[pool] = ids
	return ids
}

func (n *Node) rankRouters(pool version.ID) []wire.NodeID {
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
	place := n.settings.Place
	if id != n.settings.ID {
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

// handleReport handles a router's report. A router that receives a report acts as the pool's
// scheduler, so that no request is blocked while two routers disagree on who the scheduler is.
func (n *Node) handleReport(from wire.NodeID, inc wire.Incarnation, r *wire.Report, now time.Time) {
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

func (n *Node) takeOver(pool version.ID, now time.Time) *hostedPool {
	p := &hostedPool{Pool: sched.New(pool, n.ver, n.led, n.settings.Sched, now)}
	p.AdoptOffsets(n.offsetList(pool), now)
	for id := range n.drains {
		p.Drain(id, true)
	}
	p.SetSlotFraction(n.slotFraction())
	n.pools[pool] = p
	n.Counts.Takeovers++
	n.event("scheduler-of", uint64(pool), n.ver.Pools[pool].Service+"@"+n.ver.Pools[pool].Region)
	return p
}

func (n *Node) offsetList(pool version.ID) []wire.Offset {
	var out []wire.Offset
	for org, v := range n.offsets[pool] {
		out = append(out, wire.Offset{Org: org, NormService: v})
	}
	return out
}

// slotFraction is the fraction of every slot count that this node's schedulers may grant.
// Routers that the VM list names but that are unreachable may be on the other side of a
// partition with a scheduler of their own; a single one is assumed to have died.
func (n *Node) slotFraction() float64 {
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
			d := n.outbox.To(s.To)
			d.Grants = append(d.Grants, s.Grants)
		}
	}
}

func (n *Node) poolIDs() []version.ID { return slices.Sorted(maps.Keys(n.pools)) }

// tickPools removes dead routers from the pools, and pools to which nobody reports.
func (n *Node) tickPools(now time.Time) {
	if len(n.pools) == 0 || now.Sub(n.lastPools) < poolCheckInterval {
		return
	}
	n.lastPools = now
	f := n.slotFraction()
	for _, id := range n.poolIDs() {
		p := n.pools[id]
		p.SetSlotFraction(f)
		for _, m := range n.members.All() {
			if m.State == wire.Dead {
				p.RemoveRouter(m.ID, now)
			}
			p.RemoveStale(m.ID, m.Inc, now)
		}
		if idle := now.Sub(p.lastReport); idle > idlePoolTTL || (idle > resignTimeout && n.schedulerOf(id) != n.settings.ID) {
			delete(n.pools, id)
		}
	}
}

// sendLedger sends the service received through this router since the last call, over all
// pools, to the schedulers of saturated pools. The standbys get it too, since the cells of a
// router that dies would otherwise be lost together with its scheduler.
func (n *Node) sendLedger() {
	if n.ver == nil {
		return
	}
	rows := n.entry.Served()
	for _, r := range rows {
		n.led.Merge(n.settings.ID, n.settings.Inc, r.Org, r.NormService)
	}
	to := map[wire.NodeID]map[version.ID]wire.LedgerRow{}
	for _, pool := range n.entry.SaturatedPools() {
		for _, scheduler := range n.schedulersOf(pool) {
			n.addLedgerRows(to, scheduler, pool, rows)
		}
	}
	delete(to, n.settings.ID)
	for _, id := range slices.Sorted(maps.Keys(to)) {
		n.outbox.To(id).Ledger = &wire.Ledger{Rows: sortedRows(to[id])}
	}
}

// addLedgerRows adds the rows of the organisations that may use the pool.
func (n *Node) addLedgerRows(to map[wire.NodeID]map[version.ID]wire.LedgerRow, id wire.NodeID, pool version.ID, rows []wire.LedgerRow) {
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

// copyPools sends to each pool's standby what it could not rebuild from routers' reports:
// offsets, and the service received through dead routers and former processes. A standby sends the
// same to a scheduler that has just started, which has nobody else to ask.
func (n *Node) copyPools() {
	to := map[wire.NodeID]bool{}
	for _, id := range n.poolIDs() {
		if standby := n.standby(id); standby != "" {
			n.copyPool(id, standby, n.pools[id].Offsets())
			to[standby] = true
		}
	}
	for _, id := range n.poolsOfNewSchedulers() {
		scheduler := n.schedulerOf(id)
		n.copyPool(id, scheduler, n.offsetList(id))
		to[scheduler] = true
	}
	if len(to) == 0 {
		return
	}
	for _, m := range n.members.All() {
		n.led.Started(m.ID, m.Inc)
	}
	former := n.led.Former()
	if len(former) == 0 {
		return
	}
	for _, id := range slices.Sorted(maps.Keys(to)) {
		most := maxCellsPerCopy
		if n.isNew(id) {
			most = maxCellsToNewRouter
		}
		var part []wire.Cell
		part, n.nextFormer[id] = rotated(former, n.nextFormer[id], most)
		n.outbox.To(id).FormerCells = part
	}
}

// isNew reports whether a router has started, or come back, a moment ago.
func (n *Node) isNew(id wire.NodeID) bool {
	m := n.members.Get(id)
	return m != nil && n.lastTick.Sub(m.Since) < newRouterDuration
}

func (n *Node) copyPool(pool version.ID, to wire.NodeID, offsets []wire.Offset) {
	s := wire.PoolState{Pool: pool, Offsets: offsets, Cells: n.deadCells()}
	if len(s.Offsets)+len(s.Cells) == 0 {
		return
	}
	d := n.outbox.To(to)
	d.PoolStates = append(d.PoolStates, s)
}

// poolsOfNewSchedulers returns the pools of which this node is the standby, and whose scheduler has
// started, or come back, a moment ago.
func (n *Node) poolsOfNewSchedulers() []version.ID {
	if n.ver == nil {
		return nil
	}
	var out []version.ID
	for id := range n.ver.Pools {
		ranked := n.schedulersOf(id)
		if n.pools[id] != nil || len(ranked) < 2 || ranked[1] != n.settings.ID {
			continue
		}
		if n.isNew(ranked[0]) {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}

func (n *Node) standby(pool version.ID) wire.NodeID {
	for _, id := range n.schedulersOf(pool) {
		if id != n.settings.ID {
			return id
		}
	}
	return ""
}

// deadCells returns the ledger cells of dead routers, a few at a time in rotation.
func (n *Node) deadCells() []wire.Cell {
	var all []wire.Cell
	for _, m := range n.members.All() {
		if m.State == wire.Dead {
			all = append(all, n.led.Cells(m.ID)...)
		}
	}
	var part []wire.Cell
	part, n.nextCell = rotated(all, n.nextCell, maxCellsPerCopy)
	return part
}

// rotated returns up to a number of cells from next on, and the next one after them.
func rotated(all []wire.Cell, next, most int) ([]wire.Cell, int) {
	if len(all) <= most {
		return all, 0
	}
	from := next % len(all)
	end := min(from+most, len(all))
	return all[from:end], end
}

// adoptPoolState merges the state that a scheduler sent.
func (n *Node) adoptPoolState(s *wire.PoolState, now time.Time) {
	for _, c := range s.Cells {
		n.led.Merge(c.Node, c.Inc, c.Org, c.NormService)
	}
	m := n.offsets[s.Pool]
	if m == nil {
		m = map[version.ID]uint64{}
		n.offsets[s.Pool] = m
	}
	for _, o := range s.Offsets {
		m[o.Org] = max(m[o.Org], o.NormService)
	}
	if p := n.pools[s.Pool]; p != nil {
		p.AdoptOffsets(s.Offsets, now)
	}
}
