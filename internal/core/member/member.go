// Package member decides which routers are alive. It implements SWIM (Das, Gupta, Motivala
// 2002) as a pure state machine: the number of probes per period does not depend on the size of
// the fleet, a router is suspected before it is declared dead, and updates are piggybacked on
// datagrams that are sent anyway.
package member

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/silverswitch/silverswitch/internal/core/wire"
)

// Timing and limits of the failure detector.
const (
	ProbeInterval     = time.Second
	ackTimeout        = 200 * time.Millisecond
	suspicionTimeout  = 1500 * time.Millisecond
	deadRetryInterval = 2 * time.Second
	expiryInterval    = 200 * time.Millisecond
	deadTTL           = 10 * time.Minute
	restartTime       = 15 * time.Second // within which a router that stopped by plan may be back
	indirectProbes    = 2
	maxPiggyback      = 6
	maxSeedPings      = 8 // seeds pinged at once at the start
	seedPingInterval  = 150 * time.Millisecond
	// joinDuration is how long a router that has started keeps requesting the members that its
	// seeds know. Where many routers start at once, each knows few others at first.
	joinDuration   = 2500 * time.Millisecond
	maxJoinUpdates = 400 // updates in one reply, 60 bytes each
	// retransmitMultiplier is how many times each router that learns an update sends it on, per
	// decimal digit of the number of members. Every router sends it on that often, so each is
	// reached many times over. With the binary logarithm instead of the number of digits, a
	// common start of the fleet would spend most of its traffic on these updates.
	retransmitMultiplier = 4
)

// Member is one router as this one knows it.
type Member struct {
	wire.Update
	Since    time.Time // start of the present state
	Received time.Time // time of the last datagram from it
	left     bool      // it said that it leaves, and has not come back
	pinged   bool      // it has been pinged since it was added
	clock    uint32    // of this table, at the latest change of the member
	listed   bool      // a VM list has named it
	stays    bool      // it was alive, and has not said since that it leaves

	delays    readDelays
	readDelay time.Duration // of the last datagram from it
}

// Table is the membership state. The control goroutine owns it.
type Table struct {
	self            wire.Update
	members         map[wire.NodeID]*Member
	roster          map[wire.NodeID]bool // from the VM list; only a hint
	order           []wire.NodeID
	next            int
	probe           probe
	gossip          []gossipItem
	lastProbe       time.Time
	lastDeadRetry   time.Time
	lastExpiry      time.Time
	alone           bool // no datagram of another router has arrived yet
	left            bool // this router is leaving for good
	firstStart      bool // the fleet starts for the first time
	keepsDead       bool // without a VM list, see KeepDead
	started         time.Time
	seeds           []wire.NodeID
	join            join
	lastSeedPing    time.Time
	rnd             *rand.Rand
	relays          map[uint32]relay
	updateRequested map[wire.NodeID]bool // routers that requested this router's own update
	seq             uint32
	live            [2]liveList
	changedIDs      []wire.NodeID // routers of the latest changes, in order
	Changes         int           // counts changes of state, for callers that cache a view
}

type probe struct {
	seq      uint32
	target   wire.NodeID
	sent     time.Time
	indirect bool
	open     bool
}

type relay struct {
	from wire.NodeID
	seq  uint32
	at   time.Time
}

// Send is a ping or ack to be sent.
type Send struct {
	To   wire.NodeID
	Ping *wire.Ping
	Ack  *wire.Ack
}

// New returns a table that knows this router and, as suspect until they answer, its seeds.
func New(self wire.Update, seeds []wire.NodeID, now time.Time, rnd *rand.Rand) *Table {
	t := &Table{
		self:            self,
		members:         map[wire.NodeID]*Member{},
		roster:          map[wire.NodeID]bool{},
		rnd:             rnd,
		relays:          map[uint32]relay{},
		updateRequested: map[wire.NodeID]bool{},
		alone:           true,
		started:         now,
		seeds:           seeds,
		join:            newJoin(),
	}
	t.join.complete = len(seeds) == 0
	for _, id := range seeds {
		t.add(id, now)
	}
	return t
}

// Self returns this router's own update.
func (t *Table) Self() wire.Update { return t.self }

// Leave marks this router as leaving: it takes no new scheduler role.
func (t *Table) Leave() {
	t.left = true
	t.setSelf(wire.Leaving)
}

func (t *Table) setSelf(state wire.State) {
	t.self.State = state
	t.self.Refutations++
	t.queueGossip(t.self.ID)
	t.join.changed(nil)
	t.changed(t.self.ID)
}

// Yield sets whether this router takes no roles for other routers, as if it were leaving, while
// it is short of CPU. It does nothing once the router is leaving for good.
func (t *Table) Yield(on bool) {
	state := wire.Alive
	if on {
		state = wire.Leaving
	}
	if t.left || t.self.State == state {
		return
	}
	t.setSelf(state)
}

// Refresh raises this router's own refutation number, after a pause in which others may have
// declared it dead.
func (t *Table) Refresh() {
	t.self.Refutations++
	t.queueGossip(t.self.ID)
}

// SetRoster sets the routers of the VM list. New ones are probed. Absence from the list proves
// nothing, since the list lags.
func (t *Table) SetRoster(ids []wire.NodeID, now time.Time) {
	t.roster = map[wire.NodeID]bool{}
	t.join.complete = t.join.complete || len(ids) > 0
	for _, id := range ids {
		t.roster[id] = true
		if id == t.self.ID {
			continue
		}
		t.add(id, now)
		t.members[id].listed = true
	}
}

// IsListed reports whether the VM list names this router, or there is none.
func (t *Table) IsListed() bool { return len(t.roster) == 0 || t.roster[t.self.ID] }

// Roster returns every known router that the VM list names, or every known router when there is
// no list, sorted, alive or not. Quorums are taken over it, so that a partition does not shrink
// them.
func (t *Table) Roster() []wire.NodeID {
	ids := []wire.NodeID{t.self.ID}
	for id := range t.members {
		if len(t.roster) == 0 || t.roster[id] {
			ids = append(ids, id)
		}
	}
	return sorted(ids)
}

// Witnesses returns the routers of which some are a key's witnesses, in any order: those of Roster, and
// the live ones that no VM list has named yet and that started before a time. A router that does not
// get the list has heard of new routers all the same. One that dies without having said that it leaves
// may be on the other side of a partition, and counts until it is forgotten.
func (t *Table) Witnesses(startedBefore time.Time) []wire.NodeID {
	ids := []wire.NodeID{t.self.ID}
	for id, m := range t.members {
		unlisted := !m.listed && (m.stays || t.usable(m)) && m.Inc.Start().Before(startedBefore)
		if len(t.roster) == 0 || t.roster[id] || unlisted {
			ids = append(ids, id)
		}
	}
	return ids
}

// KeepDead makes the table keep dead routers for as long as it has no VM list. Without a list nothing
// tells a router that is gone from one on the other side of a partition, and a quorum over the
// routers of one side is none. It costs an entry for each address that was ever used.
func (t *Table) KeepDead() { t.keepsDead = true }

// isForgotten reports whether a dead router is removed from the table. Seeds are kept: a router that was
// cut off for long finds the others by them, and is no majority of those that it knows.
func (t *Table) isForgotten(m *Member, now time.Time) bool {
	if m.State != wire.Dead || now.Sub(m.Since) < deadTTL {
		return false
	}
	if len(t.roster) == 0 {
		return !t.keepsDead && !slices.Contains(t.seeds, m.ID)
	}
	return !t.roster[m.ID]
}

// SetSeeds replaces the seeds, and adds them.
func (t *Table) SetSeeds(ids []wire.NodeID, now time.Time) {
	t.seeds = ids
	t.Add(ids, now)
}

// Expected returns how many routers there may be, alive or not, with this one: all that are known but
// those that said that they leave and have been gone for longer than a restart takes. Seeds come back.
func (t *Table) Expected(now time.Time) int {
	n := t.Known()
	for _, m := range t.members {
		if m.left && m.State == wire.Dead && now.Sub(m.Since) >= restartTime && !slices.Contains(t.seeds, m.ID) {
			n--
		}
	}
	return n
}

// Add adds routers that may exist, to be probed.
func (t *Table) Add(ids []wire.NodeID, now time.Time) {
	for _, id := range ids {
		t.add(id, now)
	}
}

func (t *Table) add(id wire.NodeID, now time.Time) {
	if id == t.self.ID || t.members[id] != nil {
		return
	}
	t.members[id] = &Member{Update: wire.Update{ID: id, State: wire.Suspect}, Since: now}
	t.order = append(t.order, id)
	// At a random position (SWIM 4.3): after a common start all routers would otherwise probe
	// the same one each second.
	i, last := t.rnd.IntN(len(t.order)), len(t.order)-1
	t.order[i], t.order[last] = t.order[last], t.order[i]
	t.changed(id)
}

// Get returns what is known of a router, or nil.
func (t *Table) Get(id wire.NodeID) *Member { return t.members[id] }

// Handle handles the membership part of a datagram. It returns acks and relayed pings.
func (t *Table) Handle(d *wire.Datagram, now time.Time) []Send {
	t.handleDirect(d, now)
	if d.WantsUpdate {
		t.updateRequested[d.From] = true
	}
	if d.Join != nil {
		t.join.requested(d.From, d.Join, t.self.Inc)
	}
	for _, u := range d.Updates {
		t.applyUpdate(u, d.JoinClock != 0, now)
	}
	if d.JoinClock != 0 {
		t.join.answered(d.From, d.Inc, d.JoinClock, d.JoinPartial)
	}
	var out []Send
	if d.Ping != nil {
		out = append(out, t.handlePing(d.From, d.Ping, now))
	}
	if d.Ack != nil {
		out = append(out, t.handleAck(d.Ack, now)...)
	}
	return out
}

// handleDirect takes a datagram as evidence that its sender is alive, which is stronger than
// the suspicion of any other router.
func (t *Table) handleDirect(d *wire.Datagram, now time.Time) {
	t.alone = false
	t.add(d.From, now)
	m := t.members[d.From]
	if m == nil || d.Inc < m.Inc {
		return
	}
	m.Received = now
	m.readDelay = m.delays.read(d, now)
	newer := d.Inc > m.Inc || d.Refutations > m.Refutations
	if newer || m.State == wire.Suspect {
		t.set(m, wire.Update{ID: d.From, Inc: d.Inc, Refutations: max(d.Refutations, sameInc(m, d)), State: d.State, Place: m.Place, Public: m.Public, Power: m.Power}, now)
		t.queueGossip(d.From)
		return
	}
	if m.State == wire.Dead {
		t.queueGossip(d.From) // it will receive the update of its death and refute it
	}
}

func sameInc(m *Member, d *wire.Datagram) uint32 {
	if m.Inc != d.Inc {
		return 0
	}
	return m.Refutations
}

// applyUpdate applies a piggybacked update. An update from a reply to a joining router is not
// sent on, since the router that replied is already spreading it. It may add a dead router: whoever
// does not know those that are dead takes one side of a partition for the fleet.
func (t *Table) applyUpdate(u wire.Update, joining bool, now time.Time) {
	if u.ID == t.self.ID {
		t.refute(u)
		return
	}
	m := t.members[u.ID]
	if m == nil {
		if u.State == wire.Dead && !joining {
			return
		}
		t.add(u.ID, now)
		m = t.members[u.ID]
	}
	if m.Place == "" && u.Place != "" {
		m.Place, m.Public, m.Power = u.Place, u.Public, u.Power
		t.join.changed(m)
		t.changed(u.ID)
	}
	if !supersedes(u, m.Update) {
		return
	}
	t.set(m, u, now)
	if !joining {
		t.queueGossip(u.ID)
	}
}

// supersedes orders updates by incarnation, then refutations, then the graver state.
func supersedes(u, old wire.Update) bool {
	if u.Inc != old.Inc {
		return u.Inc > old.Inc
	}
	if u.Refutations != old.Refutations {
		return u.Refutations > old.Refutations
	}
	return u.State > old.State
}

// refute overrules a suspicion or death of this router that others report.
func (t *Table) refute(u wire.Update) {
	if u.Inc == t.self.Inc && u.State >= wire.Suspect && u.Refutations >= t.self.Refutations {
		t.self.Refutations = u.Refutations + 1
		t.queueGossip(t.self.ID)
	}
}

func (t *Table) set(m *Member, u wire.Update, now time.Time) {
	if u.Place == "" {
		u.Place, u.Public, u.Power = m.Place, m.Public, m.Power
	}
	if u.State != m.State || u.Inc != m.Inc {
		m.Since = now
		t.changed(u.ID)
	}
	m.left = u.State == wire.Leaving || m.left && (u.State == wire.Suspect || u.State == wire.Dead) && u.Inc == m.Inc
	m.Update = u
	if u.State <= wire.Leaving {
		m.stays = u.State == wire.Alive
	}
	t.join.changed(m)
}

// Suspect marks a router that does not answer as suspect.
func (t *Table) Suspect(id wire.NodeID, now time.Time) {
	m := t.members[id]
	if m == nil || m.State >= wire.Suspect {
		return
	}
	u := m.Update
	u.State = wire.Suspect
	t.set(m, u, now)
	t.queueGossip(id)
}
