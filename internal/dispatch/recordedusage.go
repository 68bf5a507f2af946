package dispatch

import (
	"time"

	"github.com/silverswitch/silverswitch/internal/core/wire"
	"github.com/silverswitch/silverswitch/internal/version"
)

// Recorded usage: a scheduler replicates what it has counted for each organisation to its
// standbys, so that a change of scheduler does not lose the window. A scheduler without it
// would treat every organisation as if it had used nothing.

// recordedUsageInterval is how often the standbys are updated: they lack at most a quarter
// of the window.
const recordedUsageInterval = time.Second

// recordedUsage sums up what a meter has counted since the last replication, and what each
// standby reported itself.
type recordedUsage struct {
	sums  map[version.ID]usageSum
	known map[wire.NodeID]map[version.ID]usageSum
}

func newRecordedUsage() recordedUsage {
	return recordedUsage{sums: map[version.ID]usageSum{}, known: map[wire.NodeID]map[version.ID]usageSum{}}
}

func (b *recordedUsage) add(org version.ID, requested, placed float64) {
	b.sums[org] = b.sums[org].plus(requested, placed)
}

// addKnown records that a router already knows of this usage, because it reported it.
func (b *recordedUsage) addKnown(from wire.NodeID, org version.ID, requested, placed float64) {
	if b.known[from] == nil {
		b.known[from] = map[version.ID]usageSum{}
	}
	b.known[from][org] = b.known[from][org].plus(requested, placed)
}

// unknownTo returns the usage that a router does not know yet.
func (b *recordedUsage) unknownTo(to wire.NodeID, service version.ID) []wire.LocalUsage {
	var out []wire.LocalUsage
	for org, s := range b.sums {
		known := b.known[to][org]
		row := wire.LocalUsage{Service: service, Org: org, Requested: int64(s.requested - known.requested), Placed: int64(s.placed - known.placed)}
		if row.Requested != 0 || row.Placed != 0 {
			out = append(out, row)
		}
	}
	return out
}

func (b *recordedUsage) clear() {
	clear(b.sums)
	clear(b.known)
}

// tickRecordedUsage updates the standbys of the services that this router schedules.
func (n *Node) tickRecordedUsage(now time.Time) {
	if now.Before(n.recordedUsageDue) {
		return
	}
	n.recordedUsageDue = now.Add(recordedUsageInterval)
	for _, p := range n.pools {
		if p.engine == nil {
			continue
		}
		if group := n.schedulerGroup(p.id, now); len(group) > 0 && group[0] == n.settings.ID {
			for _, id := range group[1:] {
				w := n.work(id)
				w.RecordedUsage = append(w.RecordedUsage, p.meter.recordedUsage.unknownTo(id, p.id)...)
			}
		}
		p.meter.recordedUsage.clear()
	}
}

// handleRecordedUsage adds the usage that a scheduler has recorded to this router's meters.
func (n *Node) handleRecordedUsage(rows []wire.LocalUsage, now time.Time) {
	for _, r := range rows {
		if p := n.pools[r.Service]; p != nil && p.engine != nil {
			p.meter.addReplicated(r.Org, float64(r.Requested), float64(r.Placed), now)
		}
	}
}

// addReplicated counts usage of the last recordedUsageInterval that another router recorded,
// evenly over the steps of that time. It is not recorded here: every standby has received it.
//
// Load pattern: three schedulers follow each other within four seconds. Each recorded what it
// had received as a standby as usage of its own, and its successor counted it twice. An
// organisation at three quarters of its share was then refused as if it had used it up. Counted
// in one step, a second of usage left the window at once, and a flood was below its share
// again.
func (m *meter) addReplicated(org version.ID, requested, placed float64, now time.Time) {
	const steps = int64(recordedUsageInterval / shareStep)
	m.advance(now)
	u := m.usageOf(org)
	for age := range steps {
		i := m.ring.slot(age)
		u.requested[i] += requested / float64(steps)
		u.got[i] += placed / float64(steps)
	}
	m.ledger.addReplicated(org, requested, placed, steps, now)
	m.dirty = true
}
