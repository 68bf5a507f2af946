// Package ledger counts the service that each organisation has received, fleet-wide. It is a
// grow-only counter with one cell per router and incarnation (Shapiro et al. 2011, G-Counter):
// views that differ merge to the larger value of each cell, with nothing lost and nothing
// counted twice. The cells of a router's ended incarnations are kept as one sum, which grows with
// each incarnation and merges to the larger value too.
package ledger

import (
	"cmp"
	"slices"
	"sort"

	"github.com/silverswitch/silverswitch/internal/core/wire"
	"github.com/silverswitch/silverswitch/internal/version"
)

// Scale is the number of parts that a cell counts per unit of service divided by share.
const Scale = 100

type cellKey struct {
	node wire.NodeID
	inc  wire.Incarnation
}

type account struct {
	cells  map[cellKey]uint64
	former map[wire.NodeID]uint64 // sum of the cells of a router's ended incarnations
	sum    uint64
}

// Ledger is the merged service of all organisations. The control goroutine owns it.
type Ledger struct {
	accounts map[version.ID]*account
	newest   map[wire.NodeID]wire.Incarnation
}

// New returns an empty ledger.
func New() *Ledger {
	return &Ledger{accounts: map[version.ID]*account{}, newest: map[wire.NodeID]wire.Incarnation{}}
}

// Merge merges one cell, and returns by how much the organisation's sum grew. A cell of an
// incarnation older than the newest one known has been folded already.
func (l *Ledger) Merge(node wire.NodeID, inc wire.Incarnation, org version.ID, norm uint64) uint64 {
	if inc < l.newest[node] {
		return 0
	}
	l.Started(node, inc)
	a := l.account(org)
	key := cellKey{node, inc}
	old := a.cells[key]
	if norm <= old {
		return 0
	}
	a.cells[key] = norm
	a.sum += norm - old
	return norm - old
}

// Started records that a router has an incarnation. Those before it have ended.
func (l *Ledger) Started(node wire.NodeID, inc wire.Incarnation) {
	if inc > l.newest[node] {
		l.fold(node, l.newest[node])
		l.newest[node] = inc
	}
}

// MergeFormer merges what an organisation received through a router's incarnations before inc. It is
// less than, or equal to, what it received before any later one.
func (l *Ledger) MergeFormer(node wire.NodeID, inc wire.Incarnation, org version.ID, norm uint64) {
	l.Started(node, inc)
	a := l.account(org)
	if old := a.former[node]; norm > old {
		a.former[node] = norm
		a.sum += norm - old
	}
}

// fold adds the cells of an ended incarnation to those before it, so that memory is limited to two
// numbers per router and organisation.
func (l *Ledger) fold(node wire.NodeID, inc wire.Incarnation) {
	key := cellKey{node, inc}
	for _, a := range l.accounts {
		if v, ok := a.cells[key]; ok {
			a.former[node] += v
			delete(a.cells, key)
		}
	}
}

func (l *Ledger) account(org version.ID) *account {
	a := l.accounts[org]
	if a == nil {
		a = &account{cells: map[cellKey]uint64{}, former: map[wire.NodeID]uint64{}}
		l.accounts[org] = a
	}
	return a
}

// Sum returns an organisation's service divided by its share, in hundredths.
func (l *Ledger) Sum(org version.ID) uint64 {
	if a := l.accounts[org]; a != nil {
		return a.sum
	}
	return 0
}

// Cells returns the cells of one router, sorted by organisation.
func (l *Ledger) Cells(node wire.NodeID) []wire.Cell {
	key := cellKey{node, l.newest[node]}
	var out []wire.Cell
	for org, a := range l.accounts {
		if v, ok := a.cells[key]; ok {
			out = append(out, wire.Cell{Node: node, Inc: key.inc, Org: org, NormService: v})
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Org < out[j].Org })
	return out
}

// Former returns what organisations received through ended incarnations, by router and
// organisation. The incarnation of a cell is the first one that it does not include.
func (l *Ledger) Former() []wire.Cell {
	var out []wire.Cell
	for org, a := range l.accounts {
		for node, v := range a.former {
			out = append(out, wire.Cell{Node: node, Inc: l.newest[node], Org: org, NormService: v})
		}
	}
	slices.SortFunc(out, func(a, b wire.Cell) int {
		return cmp.Or(cmp.Compare(a.Node, b.Node), cmp.Compare(a.Org, b.Org))
	})
	return out
}

// Size returns the number of cells.
func (l *Ledger) Size() int {
	n := 0
	for _, a := range l.accounts {
		n += len(a.cells)
	}
	return n
}
