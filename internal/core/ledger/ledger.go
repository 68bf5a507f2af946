// Package ledger counts the service that each organisation has received, fleet-wide. It is a
// grow-only counter with one cell per router and incarnation (Shapiro et al. 2011, G-Counter):
// views that differ merge to the larger value of each cell, with nothing lost and nothing
// counted twice.
package ledger

import (
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
	cells map[cellKey]uint64
	sum   uint64
	base  uint64 // sum of the cells of ended incarnations
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
	if inc > l.newest[node] {
		l.fold(node, l.newest[node])
		l.newest[node] = inc
	}
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

// fold moves the cells of an ended incarnation into the base, so that memory is limited to one
// cell per router and organisation.
func (l *Ledger) fold(node wire.NodeID, inc wire.Incarnation) {
	key := cellKey{node, inc}
	for _, a := range l.accounts {
		if v, ok := a.cells[key]; ok {
			a.base += v
			delete(a.cells, key)
		}
	}
}

func (l *Ledger) account(org version.ID) *account {
	a := l.accounts[org]
	if a == nil {
		a = &account{cells: map[cellKey]uint64{}}
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

// Size returns the number of cells.
func (l *Ledger) Size() int {
	n := 0
	for _, a := range l.accounts {
		n += len(a.cells)
	}
	return n
}
