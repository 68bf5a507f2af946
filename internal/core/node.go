// Package core makes a router's decisions in one pure state machine: Step and Tick take inputs,
// Ready returns outputs as values. It has no I/O, clock, goroutine, lock or global randomness,
// so every failure can be replayed as a table test. docs/CORE.md lists every input and output
// and their order.
package core

import (
	"math/rand/v2"
	"time"

	"github.com/silverswitch/silverswitch/internal/core/claim"
	"github.com/silverswitch/silverswitch/internal/core/entry"
	"github.com/silverswitch/silverswitch/internal/core/ledger"
	"github.com/silverswitch/silverswitch/internal/core/member"
	"github.com/silverswitch/silverswitch/internal/core/quarantine"
	"github.com/silverswitch/silverswitch/internal/core/sched"
	"github.com/silverswitch/silverswitch/internal/core/wire"
	"github.com/silverswitch/silverswitch/internal/version"
)

// Timing of a node.
const (
	// TickInterval is how often the driver calls Tick.
	TickInterval = 50 * time.Millisecond
	// MaxTickGap is the gap between two ticks from which on the node assumes that its process
	// was frozen. It is shorter than any lease.
	MaxTickGap = time.Second

	ledgerInterval          = 5 * time.Second
	poolCopyInterval        = time.Second
	poolCheckInterval       = 200 * time.Millisecond
	resignTimeout           = 10 * time.Second // without reports, when another router is the scheduler
	idlePoolTTL             = 10 * time.Minute // without reports; a scheduler that starts again grants nothing while it settles
	peerWaitTimeout         = 3 * time.Second
	fetchRetryInterval      = time.Second
	drainTTL                = time.Minute
	drainAnnounceDuration   = 5 * time.Second
	versionAnnounceDuration = 2 * time.Second
	watchersPerPlace        = 2
	pushFanout              = 3
	maxCellsPerCopy         = 64
	// maxCellsToNewRouter bounds the cells in a copy to a router that has just started, at 40 bytes each.
	maxCellsToNewRouter = 512
	// newRouterDuration is how long a router counts as one that has just started.
	newRouterDuration = 10 * time.Second
)

// Settings of a node, fixed for the life of the process.
type Settings struct {
	ID     wire.NodeID
	Inc    wire.Incarnation
	Place  string
	Public string // base URL for callers
	Seeds  []wire.NodeID
	First  bool // the whole fleet starts for the first time
	Sched  sched.Options
	Seed   uint64 // of the node's random numbers
}

// DefaultSched returns the default scheduler options; docs/DESIGN.md explains them.
func DefaultSched() sched.Options {
	return sched.Options{Horizon: 10 * time.Second, Settle: 500 * time.Millisecond, Credits: true}
}

// Node is the control state of one router. One goroutine owns it.
type Node struct {
	settings   Settings
	ver        *version.Version
	members    *member.Table
	entry      *entry.Entry
	led        *ledger.Ledger
	witness    *claim.Witness
	pools      map[version.ID]*hostedPool
	offsets    map[version.ID]map[version.ID]uint64 // by pool and organisation: copies from schedulers
	proposals  map[uint64]*pendingProposal
	heldClaims map[uint64]*claim.Proposal // granted claims of requests that wait or run
	drains     map[version.ID]*drain
	leavingAt  map[string]bool // addresses at which upstreams are leaving by the VM list
	crashes    *quarantine.Tracker
	schedulers schedulerCache

	rejected map[version.Number]bool
	fetching version.Number
	fetchAt  time.Time

	started      time.Time
	lastTick     time.Time
	lastLedger   time.Time
	lastCopy     time.Time
	lastPools    time.Time
	versionSince time.Time // when the version in force was accepted
	nextCell     int
	nextFormer   map[wire.NodeID]int // by receiver
	peerSeen     bool
	leaving      bool
	rnd          *rand.Rand

	outbox member.Outbox
	out    []Output
	Counts Counts
}

// Counts are the node's totals since its start, in addition to those of its entry.
type Counts struct {
	Woke, Stale, SameRevision, Takeovers uint64
}

// hostedPool is a pool of which this node is the scheduler.
type hostedPool struct {
	*sched.Pool
	lastReport time.Time
}

// pendingProposal is a request that waits for the votes of its key's witnesses.
type pendingProposal struct {
	proposal *claim.Proposal
	req      entry.Request
}

// drain is what is known of an upstream that is leaving.
type drain struct {
	learnedAt  time.Time // when this node first learned of it
	renewedAt  time.Time
	firstHand  bool
	persistent bool // does not expire
}

// New returns a node that knows no other routers but its seeds.
func New(settings Settings, now time.Time) *Node {
	rnd := rand.New(rand.NewPCG(settings.Seed, uint64(settings.Inc)))
	self := wire.Update{ID: settings.ID, Inc: settings.Inc, Place: settings.Place, Public: settings.Public}
	n := &Node{
		settings:   settings,
		members:    member.New(self, settings.Seeds, now, rnd),
		entry:      entry.New(settings.Place, now),
		led:        ledger.New(),
		witness:    claim.NewWitness(now),
		pools:      map[version.ID]*hostedPool{},
		offsets:    map[version.ID]map[version.ID]uint64{},
		proposals:  map[uint64]*pendingProposal{},
		heldClaims: map[uint64]*claim.Proposal{},
		drains:     map[version.ID]*drain{},
		leavingAt:  map[string]bool{},
		nextFormer: map[wire.NodeID]int{},
		crashes:    quarantine.NewTracker(settings.ID),
		rejected:   map[version.Number]bool{},
		started:    now,
		lastTick:   now,
		rnd:        rnd,
	}
	n.members.KeepDead()
	if settings.First {
		n.members.AssumeFirstStart()
	}
	n.members.Refresh()
	return n
}

// Version returns the configuration version in force, or nil.
func (n *Node) Version() *version.Version { return n.ver }

// Step handles one input.
func (n *Node) Step(in Input, now time.Time) {
	n.detectPause(now)
	switch in := in.(type) {
	case Receive:
		n.receive(in.Datagram, now)
	case Arrive:
		n.arrive(in, now)
	case Cancel:
		n.cancel(in.ID)
	case Progress:
		n.entry.Progress(in.ID, in.Units)
	case Finish:
		n.finish(in, now)
	case Return:
		n.entry.Return(in.ID, in.Failed, now)
	case NewVersion:
		n.acceptVersion(in.Version, now)
	case BadVersion:
		n.rejected[in.Number] = true
		n.event("version-rejected", in.Number.Revision, in.Reason)
	case Roster:
		n.members.SetRoster(in.Routers, now)
		n.applyLeavingList(in, now)
	case Drain:
		n.markDrain(in.Upstream, drain{firstHand: true, persistent: in.Persistent}, now)
	case AttemptIncomplete:
		n.attemptIncomplete(in, now)
	case ConnRefused:
		n.connRefused(in.Upstream, now)
	case Answered:
		n.crashes.Answered(in.Content, now)
	case Leave:
		n.leave(now)
	}
}

// Tick advances time. The driver calls it every TickInterval.
func (n *Node) Tick(now time.Time) {
	n.detectPause(now)
	n.lastTick = now
	for _, s := range n.members.Tick(now) {
		n.outbox.Add(s)
	}
	n.entry.Tick(now)
	n.witness.Tick(now)
	n.tickProposals(now)
	n.expireDrains(now)
	n.tickPools(now)
	n.outbox.SendCrashes(n.members.Live(true), n.settings.ID, n.crashes.Tick(now))
	if now.Sub(n.lastLedger) >= ledgerInterval {
		n.lastLedger = now
		n.sendLedger()
	}
	if now.Sub(n.lastCopy) >= poolCopyInterval {
		n.lastCopy = now
		n.copyPools()
	}
}

// detectPause detects that the process was frozen. Leases ran out meanwhile, so every grant and
// scheduler role is given up before anything else is done.
func (n *Node) detectPause(now time.Time) {
	if now.Sub(n.lastTick) <= MaxTickGap {
		return
	}
	n.event("woke", uint64(now.Sub(n.lastTick).Milliseconds()), "milliseconds without a tick")
	n.lastTick = now
	n.Counts.Woke++
	n.entry.Woke()
	n.pools = map[version.ID]*hostedPool{}
	n.members.Refresh()
}

// receive handles every part of a datagram.
func (n *Node) receive(d *wire.Datagram, now time.Time) {
	before := n.incarnation(d.From)
	if d.Inc < before {
		return // from a former process of the router
	}
	for _, s := range n.members.Handle(d, now) {
		n.outbox.Add(s)
	}
	n.peerSeen = true
	if d.WantsUpdate {
		n.outbox.To(d.From)
	}
	if d.Version != nil {
		n.fetchIfNewer(d.From, *d.Version, now)
	}
	for _, id := range d.DrainingUpstreams {
		n.markDrain(id, drain{}, now)
	}
	n.adoptLeavingNotices(d.LeavingNotices, now)
	for i := range d.Reports {
		n.handleReport(d.From, d.Inc, &d.Reports[i], now)
	}
	for i := range d.Grants {
		n.entry.Grants(d.From, &d.Grants[i], now)
	}
	if d.Ledger != nil {
		for _, r := range d.Ledger.Rows {
			n.led.Merge(d.From, d.Inc, r.Org, r.NormService)
		}
	}
	n.handleClaims(d, now)
	if d.Join != nil {
		n.outbox.ReplyCrashes(d.From, n.crashes.HeldUpdate(now))
	}
	if d.Crashes != nil {
		n.outbox.ReplyCrashes(d.From, n.crashes.HandleUpdate(d.From, d.Crashes, now))
	}
	for _, c := range d.FormerCells {
		n.led.MergeFormer(c.Node, c.Inc, c.Org, c.NormService)
	}
	for i := range d.PoolStates {
		n.adoptPoolState(&d.PoolStates[i], now)
	}
}

func (n *Node) incarnation(id wire.NodeID) wire.Incarnation {
	if m := n.members.Get(id); m != nil {
		return m.Inc
	}
	return 0
}

// acceptVersion accepts a checked version if it is newer than the one in force. Versions never
// go back, whatever a source offers.
func (n *Node) acceptVersion(v *version.Version, now time.Time) {
	if n.ver != nil {
		cur := n.ver.Number
		if cur.Revision == v.Number.Revision && cur.Hash != v.Number.Hash {
			n.Counts.SameRevision++
			n.event("same-revision-two-values", cur.Revision, "the larger hash is in force")
		}
		if !cur.Less(v.Number) {
			if v.Number.Revision < cur.Revision {
				n.Counts.Stale++
			}
			return
		}
	}
	n.ver = v
	n.versionSince = now
	n.schedulers.clear()
	n.entry.SetVersion(v)
	for id, p := range n.pools {
		if v.Pools[id] == nil {
			delete(n.pools, id)
			continue
		}
		p.SetVersion(v)
	}
	n.drainListed(now)
	for _, id := range n.members.Random(pushFanout) {
		n.outbox.To(id)
	}
	n.event("version-accepted", v.Number.Revision, "")
}

// fetchIfNewer fetches a version that a peer has if it is newer than the one in force.
func (n *Node) fetchIfNewer(from wire.NodeID, num version.Number, now time.Time) {
	if num.Revision == 0 || n.rejected[num] {
		return
	}
	if n.ver != nil && !n.ver.Number.Less(num) {
		return
	}
	if n.fetching == num && now.Sub(n.fetchAt) < fetchRetryInterval {
		return
	}
	n.fetching, n.fetchAt = num, now
	n.out = append(n.out, Fetch{From: from, Number: num})
}

func (n *Node) leave(now time.Time) {
	if n.leaving {
		return
	}
	n.leaving = true
	n.members.Leave()
	n.schedulers.clear()
	n.copyPools()
	for _, id := range n.members.Live(true) {
		if id != n.settings.ID {
			n.outbox.To(id)
		}
	}
	n.event("leaving", 0, "")
}

func (n *Node) event(name string, value uint64, detail string) {
	n.out = append(n.out, Event{Name: name, Value: value, Detail: detail})
}
