// Package sched decides which waiting request of which organisation takes the
// next free slot of a pool. One router at a time is the scheduler of a pool; it
// holds soft state only, rebuilt from the routers' reports.
//
// The next slot goes to the organisation with the least service received over
// share, plus what its running requests will receive within a short horizon.
// Looking ahead by slots held, not by cost hints, keeps wrong hints harmless.
package sched

import (
	"sort"
	"time"

	"github.com/silverswitch/silverswitch/internal/core/ledger"
	"github.com/silverswitch/silverswitch/internal/core/wire"
	"github.com/silverswitch/silverswitch/internal/version"
)

// Timing of grants.
const (
	// Lease is how long a grant may be used, counted by the router from before
	// it asked, and by the scheduler from after it gave.
	Lease = 5 * time.Second
	// CreditLease is that of a standing credit; a full pool calls credits back.
	CreditLease            = 10 * time.Second
	leaseMargin            = 500 * time.Millisecond
	resendInterval         = 1500 * time.Millisecond // longer than a router may delay its acknowledgement
	idleReplyInterval      = 3 * time.Second         // the same, in a pool in which nothing waits
	saturatedHold          = 2 * time.Second         // without waiting requests until the pool counts as free
	saturatedReplyInterval = 800 * time.Millisecond  // of a report that brought no grant
	maxReportAge           = 3 * time.Second         // no new grant to a router silent for longer
	idleTimeout            = 3 * time.Second
	rateHalfLife           = 20 * time.Second
	routerTTL              = 150 * time.Second // three times as long as a router with work may be
	maxCreditsPerRouter    = 8
)

// Options of a scheduler.
type Options struct {
	Horizon time.Duration // how far ahead running requests are charged
	Settle  time.Duration // a new scheduler listens this long before it grants
	Credits bool          // hand out standing credits while nothing waits
}

// Pool is the scheduler's state of one pool. The control goroutine owns it.
type Pool struct {
	id            version.ID
	started       time.Time
	opt           Options
	ver           *version.Version
	upstreams     map[version.ID]*upstream
	upstreamOrder []version.ID
	routers       map[wire.NodeID]*router
	sortedRouters []wire.NodeID // of routers, sorted; nil when they have changed
	accounts      map[version.ID]*account
	accountOrder  []*account // as they came, so that sums of floats do not depend on a map
	led           *ledger.Ledger
	virtualTime   float64 // virtual time: the least backlogged account's at the last grant
	slotFraction  float64 // of each upstream's slots this scheduler may use, 1 without a cut
	granted       uint64
	saturated     bool
	backlogAt     time.Time // last Plan with a backlog
	plannedAt     time.Time // of the last Plan
}

type upstream struct {
	def      *version.Upstream
	used     int // held and outstanding
	limit    limit
	draining bool
}

type router struct {
	inc             wire.Incarnation
	epoch           uint32 // the router's numbering of grants
	reset           bool   // the router counts grants that this state does not know
	seq             uint32
	reportSentMS    uint32
	acked           uint32
	nextNo          uint32
	reportedAt      time.Time
	wantsCredits    bool // standing credits
	sentAt          time.Time
	replyDue        bool // an answer
	sendNow         bool // grants that were not sent yet
	rows            map[version.ID]*row
	lastNormService map[version.ID]uint64 // service last told, to see what slots earn
	out             []wire.Grant          // not acknowledged
}

// ageUnit is the unit of wire.Row.OldestAge.
const ageUnit = 100 * time.Millisecond

// row is what one router has of one organisation.
type row struct {
	waiting       uint32
	urgent        uint32
	oldestArrival time.Time // arrival of the oldest waiting request
	held          map[version.ID]uint32
}

// New returns a scheduler of a pool that has heard nobody yet.
func New(id version.ID, v *version.Version, led *ledger.Ledger, opt Options, now time.Time) *Pool {
	p := &Pool{
		id:           id,
		started:      now,
		opt:          opt,
		routers:      map[wire.NodeID]*router{},
		accounts:     map[version.ID]*account{},
		led:          led,
		slotFraction: 1,
	}
	p.SetVersion(v)
	return p
}

// SetVersion takes the upstreams and organisations of a newer version.
func (p *Pool) SetVersion(v *version.Version) {
	p.ver = v
	old := p.upstreams
	p.upstreams = map[version.ID]*upstream{}
	p.upstreamOrder = nil
	def := v.Pools[p.id]
	if def == nil {
		return
	}
	for _, u := range def.Upstreams {
		up := &upstream{def: u, limit: newLimit(u.Slots)}
		if o := old[u.ID]; o != nil {
			up.used, up.draining, up.limit = o.used, o.draining, o.limit
			up.limit.setMax(u.Slots)
		}
		p.upstreams[u.ID] = up
		p.upstreamOrder = append(p.upstreamOrder, u.ID)
	}
	for _, a := range p.accounts {
		a.allowedUpstreams = nil
	}
}

// SetSlotFraction limits the scheduler to a part of every upstream's slots, while
// routers of the VM list are out of reach and may have a scheduler of their own.
func (p *Pool) SetSlotFraction(f float64) { p.slotFraction = f }

// Drain stops new work to an upstream that is leaving.
func (p *Pool) Drain(id version.ID, draining bool) {
	if u := p.upstreams[id]; u != nil {
		u.draining = draining
	}
}

// Report takes a router's report. An older one than the last is dropped.
func (p *Pool) Report(from wire.NodeID, inc wire.Incarnation, r *wire.Report, now time.Time) {
	rt := p.routers[from]
	if rt != nil && inc < rt.inc {
		return
	}
	if rt == nil || inc > rt.inc {
		p.RemoveRouter(from, now)
		// Without a full report, what the router holds is not known yet.
		rt = &router{inc: inc, rows: map[version.ID]*row{}, lastNormService: map[version.ID]uint64{}, epoch: r.Epoch, nextNo: 1, reset: !r.Full}
		p.routers[from] = rt
		p.sortedRouters = nil
	}
	rt.replyDue = true
	if r.Seq <= rt.seq {
		return
	}
	rt.seq = r.Seq
	rt.reportSentMS = r.SentMS
	rt.reportedAt = now
	rt.wantsCredits = r.WantsCredits
	if r.Epoch != rt.epoch {
		p.restartNumbering(rt, r.Epoch, now)
	}
	p.acknowledge(rt, r.Acked, now)
	if r.Full {
		p.clearRows(rt, now)
	}
	for i := range r.Rows {
		p.setRow(from, rt, &r.Rows[i], now)
	}
	p.observe(r.Samples, now)
}

func (p *Pool) observe(samples []wire.Sample, now time.Time) {
	for _, s := range samples {
		if u := p.upstreams[s.Upstream]; u != nil {
			u.limit.observe(s, now)
		}
	}
}

// restart begins the numbering of grants anew, as the router has: it follows this
// scheduler again after another, or was asked to. Grants on their way are void,
// and it will not take them, or their slots would never come back.
func (p *Pool) restartNumbering(rt *router, epoch uint32, now time.Time) {
	for _, o := range rt.out {
		p.releaseGrant(o, now)
	}
	rt.epoch, rt.reset, rt.out, rt.acked, rt.nextNo = epoch, false, nil, 0, 1
}

// acknowledge ends the grants a router has taken; its rows now show them.
func (p *Pool) acknowledge(rt *router, acked uint32, now time.Time) {
	if acked >= rt.nextNo {
		rt.reset = true // it counts grants of a state this scheduler has lost
		return
	}
	rt.acked = max(rt.acked, acked)
	kept := rt.out[:0]
	for _, o := range rt.out {
		if o.No <= rt.acked {
			p.releaseGrant(o, now)
		} else {
			kept = append(kept, o)
		}
	}
	rt.out = kept
}

// setRow takes a row: counts are absolute, held ones only where they changed.
func (p *Pool) setRow(from wire.NodeID, rt *router, in *wire.Row, now time.Time) {
	r := rt.rows[in.Org]
	if r == nil {
		r = &row{held: map[version.ID]uint32{}}
		rt.rows[in.Org] = r
	}
	a := p.account(in.Org, now)
	if in.Org != 0 {
		p.led.Merge(from, rt.inc, in.Org, in.NormService)
		a.recordEarned(rt.lastNormService, in)
	}
	r.oldestArrival = now.Add(-time.Duration(in.OldestAge) * ageUnit)
	p.addWaiting(a, int(in.Waiting)-int(r.waiting), r.oldestArrival, now)
	r.waiting, r.urgent = in.Waiting, in.Urgent
	for _, h := range in.Held {
		p.addUsed(in.Org, h.Upstream, int(h.N)-int(r.held[h.Upstream]), now)
		r.held[h.Upstream] = h.N
		if h.N == 0 {
			delete(r.held, h.Upstream)
		}
	}
	if r.waiting == 0 && len(r.held) == 0 {
		delete(rt.rows, in.Org)
	}
}

func (p *Pool) removeRow(rt *router, org version.ID, now time.Time) {
	r := rt.rows[org]
	if r == nil {
		return
	}
	delete(rt.rows, org)
	p.account(org, now).waiting -= int(r.waiting)
	for up, n := range r.held {
		p.addUsed(org, up, -int(n), now)
	}
}

func (p *Pool) clearRows(rt *router, now time.Time) {
	for org := range rt.rows {
		p.removeRow(rt, org, now)
	}
}

// use moves the count of slots held at an upstream by an organisation.
func (p *Pool) addUsed(org, up version.ID, n int, now time.Time) {
	if u := p.upstreams[up]; u != nil {
		u.used += n
	}
	p.account(org, now).addHeld(n, now)
}

// end takes back a grant's slots: acknowledged, expired, or its router lost.
func (p *Pool) releaseGrant(g wire.Grant, now time.Time) {
	p.addUsed(g.Org, g.Upstream, -int(g.N), now)
	p.account(g.Org, now).pending -= int(g.N)
}

// Lost drops what a dead or restarted router held and waited for. Its service
// stays in the ledger.
func (p *Pool) RemoveRouter(id wire.NodeID, now time.Time) {
	rt := p.routers[id]
	if rt == nil {
		return
	}
	p.clearRows(rt, now)
	for _, o := range rt.out {
		p.releaseGrant(o, now)
	}
	delete(p.routers, id)
	p.sortedRouters = nil
}

// Ended drops what a former process of a router held: the new one may have no
// work in this pool, and then never reports. So does a router that was silent
// for longer than it may be with work.
func (p *Pool) RemoveStale(id wire.NodeID, inc wire.Incarnation, now time.Time) {
	if rt := p.routers[id]; rt != nil && (rt.inc < inc || now.Sub(rt.reportedAt) > routerTTL) {
		p.RemoveRouter(id, now)
	}
}

// Offsets returns the accounts' offsets, for the routers that would follow.
func (p *Pool) Offsets() []wire.Offset {
	var out []wire.Offset
	for org, a := range p.accounts {
		if a.offset > 0 {
			out = append(out, wire.Offset{Org: org, NormService: uint64(a.offset * ledger.Scale)})
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Org < out[j].Org })
	return out
}

// Adopt merges offsets a former scheduler copied, by the larger.
func (p *Pool) Adopt(offsets []wire.Offset, now time.Time) {
	for _, o := range offsets {
		a := p.account(o.Org, now)
		a.offset = max(a.offset, float64(o.NormService)/ledger.Scale)
	}
}

// Backlog returns, for status pages, the waiting and held requests of each
// organisation.
func (p *Pool) Backlog() map[version.ID]Load {
	out := map[version.ID]Load{}
	for org, a := range p.accounts {
		if a.waiting > 0 || a.held > 0 {
			out[org] = Load{Waiting: a.waiting, Held: a.held, Service: p.served(a)}
		}
	}
	return out
}

// Load is one organisation's part of a pool; Service is over share, in units.
type Load struct {
	Waiting int     `json:"waiting"`
	Held    int     `json:"held"`
	Service float64 `json:"service"`
}

// UpstreamLoad is one upstream as its scheduler sees it.
type UpstreamLoad struct {
	Name  string `json:"name"`
	Used  int    `json:"used"`
	Limit int    `json:"limit"`
	Slots int    `json:"slots"`
	Drain bool   `json:"leaving"`
}

// Upstreams returns every upstream's load, in the version's order.
func (p *Pool) Upstreams() []UpstreamLoad {
	out := make([]UpstreamLoad, 0, len(p.upstreamOrder))
	for _, id := range p.upstreamOrder {
		u := p.upstreams[id]
		out = append(out, UpstreamLoad{u.def.Name, u.used, p.capacity(u), u.def.Slots, u.draining || u.def.Closed()})
	}
	return out
}

// Granted returns how many slots this scheduler gave to waiting requests.
func (p *Pool) Granted() uint64 { return p.granted }

// Routers returns how many routers report to this scheduler.
func (p *Pool) Routers() int { return len(p.routers) }
