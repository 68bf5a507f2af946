package lab

import (
	"time"

	"github.com/silverswitch/silverswitch/internal/core"
	"github.com/silverswitch/silverswitch/internal/core/entry"
	"github.com/silverswitch/silverswitch/internal/version"
)

// Baseline is a router that decides by itself and sends no control messages. It implements
// the simple strategies with which the routers' strategy is compared.
type Baseline struct {
	ver      *version.Version
	routers  int // each may use 1/routers of every upstream's slots; 0 for no limit
	running  map[version.ID]int
	queues   map[version.ID][]entry.Request // by organisation
	request  map[uint64]entry.Request
	upstream map[uint64]version.ID
	served   map[version.ID]float64
	out      []core.Output
}

// NewLeastLoaded returns a router that starts each request at once, at the upstream that runs
// the fewest of this router's requests.
func NewLeastLoaded(core.Settings, time.Time) Router { return newBaseline(0) }

// NewPartitioned returns a function that makes routers which each own a fixed fraction of
// every upstream's slots and share it fairly between organisations.
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

// Step handles an input. Inputs that concern other routers are ignored.
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

// Tick does nothing, as a baseline acts on inputs only.
func (b *Baseline) Tick(time.Time) {}

// Ready returns the starts decided since the last call.
func (b *Baseline) Ready(time.Time) []core.Output {
	out := b.out
	b.out = nil
	return out
}

// startQueued starts queued requests while slots allow, those of the least served
// organisation first.
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

// next returns the least served organisation whose first request can start, and an upstream
// for that request, or zeros.
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

// servedLess reports whether x precedes y: it was served less, or as much and has the
// smaller ID.
func (b *Baseline) servedLess(x, y version.ID) bool {
	if b.served[x] != b.served[y] {
		return b.served[x] < b.served[y]
	}
	return x < y
}

// leastLoaded returns the allowed upstream with the fewest of this router's requests, or 0
// when this router's slots of all allowed upstreams are taken.
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
