// Package sched decides which organisation's waiting request gets the next free slot of a pool.
// One router at a time is the scheduler of a pool. It holds soft state only, rebuilt from the
// routers' reports.
//
// The next slot goes to the organisation with the smallest sum of service received, divided by
// share, and the service that its running requests will receive within a short horizon. The
// look-ahead is based on held slots and not on cost hints, so wrong hints do no harm.
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
	// Lease is how long a grant may be used. The router counts it from before it sent the
	// report that the grant answers, the scheduler from after it gave the grant.
	Lease = 5 * time.Second
	// CreditLease is the lease of a standing credit. A saturated pool calls credits back
	// earlier.
	CreditLease            = 10 * time.Second
	leaseMargin            = 500 * time.Millisecond
	resendInterval         = 1500 * time.Millisecond // longer than a router may delay its acknowledgement
	idleReplyInterval      = 3 * time.Second         // delay of a reply without grants while nothing waits; a router may delay its acknowledgement as long
	saturatedHold          = 2 * time.Second         // without waiting requests until the pool counts as free
	saturatedReplyInterval = 800 * time.Millisecond  // delay of a reply without grants in a saturated pool
	maxReportAge           = 3 * time.Second         // age of a router's last report up to which it gets new grants
	idleTimeout            = 3 * time.Second
	rateHalfLife           = 20 * time.Second
	routerTTL              = 150 * time.Second // three times the longest silence of a router with requests
	maxCreditsPerRouter    = 8
)

// Options of a scheduler.
type Options struct {
	Horizon time.Duration // look-ahead for which running requests are charged
	Settle  time.Duration // time for which a new scheduler only receives reports
	Credits bool          // issue standing credits while nothing waits
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
	sortedRouters []wire.NodeID // keys of routers; nil after a change
	accounts      map[version.ID]*account
	accountOrder  []*account // in order of creation, so that sums of floats do not depend on map order
	led           *ledger.Ledger
	virtualTime   float64 // of the backlogged account with the least service at the last grant
	slotFraction  float64 // of each upstream's slots that this scheduler may use; 1 without a partition
	granted       uint64
	saturated     bool
	backlogAt     time.Time // last Plan with a backlog
	plannedAt     time.Time // of the last Plan
}

type upstream struct {
	def      *version.Upstream
	used     int // slots held or granted
	limit    limit
	draining bool
}

type router struct {
	inc             wire.Incarnation
	epoch           uint32 // of the router's numbering of grants
	reset           bool   // the router knows grants that this scheduler does not
	seq             uint32
	reportSentMS    uint32
	acked           uint32
	nextNo          uint32
	reportedAt      time.Time
	wantsCredits    bool // uses standing credits
	sentAt          time.Time
	replyDue        bool // a report has not been answered
	sendNow         bool // without waiting for the reply interval
	rows            map[version.ID]*row
	lastNormService map[version.ID]uint64 // by organisation, in the last report; measures what slots earn
	out             []wire.Grant          // grants not yet acknowledged
}

// ageUnit is the unit of wire.Row.OldestAge.
const ageUnit = 100 * time.Millisecond

// row is one router's requests of one organisation.
type row struct {
	waiting       uint32
	urgent        uint32
	oldestArrival time.Time // of the waiting requests
	held          map[version.ID]uint32
}

// New returns a scheduler of a pool that has received no reports yet.
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

// SetVersion switches to the upstreams and organisations of a newer version.
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

// SetSlotFraction limits the scheduler to a fraction of every upstream's slots while routers of
// the VM list are unreachable and may have a scheduler of their own.
func (p *Pool) SetSlotFraction(f float64) { p.slotFraction = f }

// Drain stops new grants at an upstream that is leaving, or allows them again.
func (p *Pool) Drain(id version.ID, draining bool) {
	if u := p.upstreams[id]; u != nil {
		u.draining = draining
	}
}

// Report handles a router's report. A report older than the last one is dropped.
func (p *Pool) Report(from wire.NodeID, inc wire.Incarnation, r *wire.Report, now time.Time) {
	rt := p.routers[from]
	if rt != nil && inc < rt.inc {
		return
	}
	if rt == nil || inc > rt.inc {
		p.RemoveRouter(from, now)
		// Only a full report says what the router holds.
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

// restartNumbering restarts the numbering of a router's grants, as the router has done because
// it follows this scheduler again after another one, or because it was asked to. Grants under
// way are void: the router will not accept them, and their slots would otherwise never be
// freed.
func (p *Pool) restartNumbering(rt *router, epoch uint32, now time.Time) {
	for _, o := range rt.out {
		p.releaseGrant(o, now)
	}
	rt.epoch, rt.reset, rt.out, rt.acked, rt.nextNo = epoch, false, nil, 0, 1
}

// acknowledge releases the grants that a router has accepted; its rows now include them.
func (p *Pool) acknowledge(rt *router, acked uint32, now time.Time) {
	if acked >= rt.nextNo {
		rt.reset = true // the grants are of a state that this scheduler has lost
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

// setRow applies a row of a report. Counts are absolute; held counts are listed only where they
// changed.
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

// addUsed adds n to the slots that an organisation holds at an upstream.
func (p *Pool) addUsed(org, up version.ID, n int, now time.Time) {
	if u := p.upstreams[up]; u != nil {
		u.used += n
	}
	p.account(org, now).addHeld(n, now)
}

// releaseGrant frees the slots of a grant that was acknowledged or has expired, or whose router
// is gone.
func (p *Pool) releaseGrant(g wire.Grant, now time.Time) {
	p.addUsed(g.Org, g.Upstream, -int(g.N), now)
	p.account(g.Org, now).pending -= int(g.N)
}

// RemoveRouter removes the held and waiting requests of a dead or restarted router. The service
// it gave stays in the ledger.
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

// RemoveStale removes the requests of a router's former process, since the new process never
// reports while it has no requests in this pool. It also removes a router that has been silent
// for longer than it may be while it has requests.
func (p *Pool) RemoveStale(id wire.NodeID, inc wire.Incarnation, now time.Time) {
	if rt := p.routers[id]; rt != nil && (rt.inc < inc || now.Sub(rt.reportedAt) > routerTTL) {
		p.RemoveRouter(id, now)
	}
}

// Offsets returns the accounts' offsets, for the standby.
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

// AdoptOffsets merges offsets copied from a former scheduler; the larger value wins.
func (p *Pool) AdoptOffsets(offsets []wire.Offset, now time.Time) {
	for _, o := range offsets {
		a := p.account(o.Org, now)
		a.offset = max(a.offset, float64(o.NormService)/ledger.Scale)
	}
}

// Backlog returns the waiting and held requests of each organisation, for status pages.
func (p *Pool) Backlog() map[version.ID]Load {
	out := map[version.ID]Load{}
	for org, a := range p.accounts {
		if a.waiting > 0 || a.held > 0 {
			out[org] = Load{Waiting: a.waiting, Held: a.held, Service: p.served(a)}
		}
	}
	return out
}

// Load is one organisation's requests in a pool. Service is divided by share, in units.
type Load struct {
	Waiting int     `json:"waiting"`
	Held    int     `json:"held"`
	Service float64 `json:"service"`
}

// UpstreamLoad is an upstream's load as its scheduler sees it.
type UpstreamLoad struct {
	Name  string `json:"name"`
	Used  int    `json:"used"`
	Limit int    `json:"limit"`
	Slots int    `json:"slots"`
	Drain bool   `json:"leaving"`
}

// Upstreams returns every upstream's load, in the order of the version.
func (p *Pool) Upstreams() []UpstreamLoad {
	out := make([]UpstreamLoad, 0, len(p.upstreamOrder))
	for _, id := range p.upstreamOrder {
		u := p.upstreams[id]
		out = append(out, UpstreamLoad{u.def.Name, u.used, p.capacity(u), u.def.Slots, u.draining || u.def.Closed()})
	}
	return out
}

// Granted returns the number of slots that this scheduler has granted to waiting requests.
func (p *Pool) Granted() uint64 { return p.granted }

// Routers returns the number of routers that report to this scheduler.
func (p *Pool) Routers() int { return len(p.routers) }
