// Package core is a router's decisions as one pure state machine: inputs by Step
// and Tick, outputs as values from Ready. It has no I/O, clock, goroutine, lock
// or global randomness, so that every failure replays as a table test.
// docs/CORE.md lists each input and output and their order.
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
	// TickEvery is how often the driver calls Tick.
	TickEvery = 50 * time.Millisecond
	// PauseLimit is the gap between two ticks after which the node takes itself
	// to have been frozen. It is shorter than any lease.
	PauseLimit = time.Second

	ledgerEvery   = 5 * time.Second
	copyEvery     = time.Second
	poolsEvery    = 200 * time.Millisecond
	resignAfter   = 10 * time.Second // of silence, when another is the scheduler
	forgetAfter   = 10 * time.Minute // of silence; a new start costs the settling time
	readyWait     = 3 * time.Second
	fetchAgain    = time.Second
	drainHold     = time.Minute
	drainSpread   = 5 * time.Second
	versionSpread = 2 * time.Second
	watchers      = 2
	pushTo        = 3
	copiesPerSend = 64
)

// Settings of a node, fixed for the process.
type Settings struct {
	ID     wire.NodeID
	Inc    wire.Incarnation
	Place  string
	Public string // base URL for callers
	Seeds  []wire.NodeID
	Sched  sched.Options
	Seed   uint64 // of the node's own random numbers
}

// DefaultSched is the scheduler chosen by measurement; docs/DESIGN.md has why.
func DefaultSched() sched.Options {
	return sched.Options{Horizon: 10 * time.Second, Settle: 500 * time.Millisecond, Credits: true}
}

// Node is one router's control state. One goroutine owns it.
type Node struct {
	set     Settings
	ver     *version.Version
	members *member.Table
	entry   *entry.Entry
	led     *ledger.Ledger
	witness *claim.Witness
	pools   map[version.ID]*hosted
	offsets map[version.ID]map[version.ID]uint64 // pool, organisation: copies from schedulers
	asks    map[uint64]*asking
	holds   map[uint64]*claim.Ask // claims of requests past the witnesses
	drains  map[version.ID]*drain
	crashes *quarantine.Tracker
	owners  ownerCache

	rejected map[version.Number]bool
	fetching version.Number
	fetchAt  time.Time

	started    time.Time
	lastTick   time.Time
	lastLedger time.Time
	lastCopy   time.Time
	lastPools  time.Time
	changedAt  time.Time // of the version in force
	copyFrom   int
	heardPeer  bool
	leaving    bool
	rnd        *rand.Rand

	box    member.Outbox
	out    []Output
	Counts Counts
}

// Counts are the node's totals since its start, beside the entry's own.
type Counts struct {
	Woke, Stale, SameRevision, Takeovers uint64
}

type hosted struct {
	*sched.Pool
	lastReport time.Time
}

type asking struct {
	ask *claim.Ask
	req entry.Request
}

type drain struct {
	first     time.Time // learned
	renewed   time.Time
	firstHand bool
	firm      bool // does not lapse
}

// New returns a node that has heard nobody.
func New(set Settings, now time.Time) *Node {
	rnd := rand.New(rand.NewPCG(set.Seed, uint64(set.Inc)))
	self := wire.Update{ID: set.ID, Inc: set.Inc, Place: set.Place, Public: set.Public}
	n := &Node{
		set:      set,
		members:  member.New(self, set.Seeds, now, rnd),
		entry:    entry.New(set.Place, now),
		led:      ledger.New(),
		witness:  claim.NewWitness(now),
		pools:    map[version.ID]*hosted{},
		offsets:  map[version.ID]map[version.ID]uint64{},
		asks:     map[uint64]*asking{},
		holds:    map[uint64]*claim.Ask{},
		drains:   map[version.ID]*drain{},
		crashes:  quarantine.NewTracker(set.ID),
		rejected: map[version.Number]bool{},
		started:  now,
		lastTick: now,
		rnd:      rnd,
	}
	n.members.Refresh()
	return n
}

// Version returns the version in force, or nil.
func (n *Node) Version() *version.Version { return n.ver }

// Step takes one input.
func (n *Node) Step(in Input, now time.Time) {
	n.notePause(now)
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
		n.newVersion(in.Version, now)
	case BadVersion:
		n.rejected[in.Number] = true
		n.event("version-rejected", in.Number.Revision, in.Why)
	case Roster:
		n.members.SetRoster(in.Routers, now)
	case Drain:
		n.markDrain(in.Upstream, drain{firstHand: true, firm: in.Firm}, now)
	case Undrain:
		n.unmark(in.Upstream)
	case Broke:
		n.broke(in, now)
	case ConnRefused:
		n.connRefused(in.Upstream, now)
	case Answered:
		n.crashes.Answered(in.Content, now)
	case Leave:
		n.leave(now)
	}
}

// Tick moves time on. The driver calls it every TickEvery.
func (n *Node) Tick(now time.Time) {
	n.notePause(now)
	n.lastTick = now
	for _, s := range n.members.Tick(now) {
		n.box.Post(s)
	}
	n.entry.Tick(now)
	n.witness.Tick(now)
	n.tickAsks(now)
	n.tickDrains(now)
	n.tickPools(now)
	n.box.TellCrashes(n.members.Live(true), n.set.ID, n.crashes.Tick(now))
	if now.Sub(n.lastLedger) >= ledgerEvery {
		n.lastLedger = now
		n.sendLedger()
	}
	if now.Sub(n.lastCopy) >= copyEvery {
		n.lastCopy = now
		n.copyPools()
	}
}

// notePause notices that the process was frozen: leases ran out meanwhile, so
// every grant and scheduler role is given up before anything else is done.
func (n *Node) notePause(now time.Time) {
	if now.Sub(n.lastTick) <= PauseLimit {
		return
	}
	n.event("woke", uint64(now.Sub(n.lastTick).Milliseconds()), "milliseconds without a tick")
	n.lastTick = now
	n.Counts.Woke++
	n.entry.Woke()
	n.pools = map[version.ID]*hosted{}
	n.members.Refresh()
}

// receive takes everything in a datagram.
func (n *Node) receive(d *wire.Datagram, now time.Time) {
	before := n.incarnation(d.From)
	if d.Inc < before {
		return // a datagram of a process that has ended
	}
	for _, s := range n.members.Hear(d, now) {
		n.box.Post(s)
	}
	n.heardPeer = true
	if d.Tell {
		n.box.To(d.From)
	}
	if d.Version != nil {
		n.offer(d.From, *d.Version, now)
	}
	for _, id := range d.Drains {
		n.markDrain(id, drain{}, now)
	}
	for i := range d.Reports {
		n.report(d.From, d.Inc, &d.Reports[i], now)
	}
	for i := range d.Grants {
		n.entry.Grants(d.From, &d.Grants[i], now)
	}
	if d.Ledger != nil {
		for _, r := range d.Ledger.Rows {
			n.led.Merge(d.From, d.Inc, r.Org, r.Norm)
		}
	}
	n.hearClaims(d, now)
	if d.Join != nil {
		n.box.AnswerCrashes(d.From, n.crashes.All(now))
	}
	if d.Crashes != nil {
		n.box.AnswerCrashes(d.From, n.crashes.Heard(d.From, d.Crashes, now))
	}
	for i := range d.States {
		n.adopt(&d.States[i], now)
	}
}

func (n *Node) incarnation(id wire.NodeID) wire.Incarnation {
	if m := n.members.Get(id); m != nil {
		return m.Inc
	}
	return 0
}

// newVersion accepts a checked version if it is newer than the one in force:
// versions never go back, whatever a source offers.
func (n *Node) newVersion(v *version.Version, now time.Time) {
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
	n.changedAt = now
	n.owners.clear()
	n.entry.SetVersion(v)
	for id, p := range n.pools {
		if v.Pools[id] == nil {
			delete(n.pools, id)
			continue
		}
		p.SetVersion(v)
	}
	for _, id := range n.members.Random(pushTo) {
		n.box.To(id)
	}
	n.event("version-accepted", v.Number.Revision, "")
}

// offer asks for a version that a peer has and this node has not.
func (n *Node) offer(from wire.NodeID, num version.Number, now time.Time) {
	if num.Revision == 0 || n.rejected[num] {
		return
	}
	if n.ver != nil && !n.ver.Number.Less(num) {
		return
	}
	if n.fetching == num && now.Sub(n.fetchAt) < fetchAgain {
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
	n.owners.clear()
	n.copyPools()
	for _, id := range n.members.Live(true) {
		if id != n.set.ID {
			n.box.To(id)
		}
	}
	n.event("leaving", 0, "")
}

func (n *Node) event(name string, value uint64, detail string) {
	n.out = append(n.out, Event{Name: name, Value: value, Detail: detail})
}
