package lab

import (
	"time"

	"github.com/silverswitch/silverswitch/internal/core"
	"github.com/silverswitch/silverswitch/internal/core/entry"
	"github.com/silverswitch/silverswitch/internal/version"
)

// Baseline is a router that decides alone: the simple ways the chosen one is
// measured against. It sends no control messages.
type Baseline struct {
	ver      *version.Version
	routers  int // 0: no limit, least loaded; else each router has this part of every slot
	running  map[version.ID]int
	queues   map[version.ID][]entry.Request // waiting, by organisation
	request  map[uint64]entry.Request
	upstream map[uint64]version.ID
	served   map[version.ID]float64
	out      []core.Output
}

// NewLeastLoaded returns a router that sends each request at once to the upstream it
// has least at.
func NewLeastLoaded(core.Settings, time.Time) Router { return newBaseline(0) }

// NewPartitioned returns a router that owns a fixed part of every upstream's slots and
// queues fairly by itself.
func NewPartitioned(routers int) func(core.Settings, time.Time) Router {
	return func(core.Settings, time.Time) Router { return newBaseline(routers) }
}

func newBaseline(routers int) *Baseline {
	return &Baseline{
		routers: routers,
		running: map[version.ID]int{}, request: map[uint64]entry.Request{},
		queues:   map[version.ID][]entry.Request{},
		upstream: map[uint64]version.ID{}, served: map[version.ID]float64{},
	}
}

// Step takes an input; what concerns other routers is passed over.
func (b *Baseline) Step(in core.Input, _ time.Time) {
	switch in := in.(type) {
	case core.NewVersion:
		b.ver = in.Version
	case core.Arrive:
		b.queues[in.Request.Org] = append(b.queues[in.Request.Org], in.Request)
	case core.Finish:
		b.served[b.request[in.ID].Org] += in.Units
		b.running[b.upstream[in.ID]]--
		delete(b.request, in.ID)
		delete(b.upstream, in.ID)
	}
	b.startQueued()
}

// Tick does nothing: a baseline acts on inputs only.
func (b *Baseline) Tick(time.Time) {}

// Ready returns the starts decided.
func (b *Baseline) Ready(time.Time) []core.Output {
	out := b.out
	b.out = nil
	return out
}

// fill starts what it can, the organisation served least first.
func (b *Baseline) startQueued() {
	for {
		org, upstream := b.next()
		if upstream == 0 {
			return
		}
		r := b.queues[org][0]
		b.queues[org] = b.queues[org][1:]
		b.running[upstream]++
		b.request[r.ID], b.upstream[r.ID] = r, upstream
		b.out = append(b.out, core.Start{ID: r.ID, Upstream: upstream})
	}
}

func (b *Baseline) next() (org, up version.ID) {
	for id, q := range b.queues {
		if len(q) == 0 || (up != 0 && !b.servedLess(id, org)) {
			continue
		}
		if u := b.leastLoaded(q[0]); u != 0 {
			org, up = id, u
		}
	}
	return org, up
}

func (b *Baseline) servedLess(x, y version.ID) bool {
	if b.served[x] != b.served[y] {
		return b.served[x] < b.served[y]
	}
	return x < y
}

// least returns the allowed upstream with the least of this router's requests,
// or 0 when its part of each is full.
func (b *Baseline) leastLoaded(r entry.Request) version.ID {
	var best version.ID
	for id, u := range b.ver.Upstreams {
		if !b.ver.Organisations[r.Org].Allows(u.Place) {
			continue
		}
		if b.routers > 0 && b.running[id] >= u.Slots/b.routers {
			continue
		}
		if best == 0 || b.running[id] < b.running[best] || (b.running[id] == b.running[best] && id < best) {
			best = id
		}
	}
	return best
}
