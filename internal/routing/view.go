package routing

import (
	"maps"
	"sort"
	"strconv"
	"time"
)

// Instance is one start of an upstream, as listed in the platform's store.
type Instance struct {
	ID       string
	Service  string
	Address  string // ip:port
	Place    string
	Slots    int
	Draining bool
	Version  string // of its software, "" when not stated
	Born     int64  // Unix milliseconds of its start, 0 when not stated
	// Revision is the revision of the entry's last write, 0 when unknown.
	Revision uint64
	// ColdUntil is the end of the cold period stated in the entry, by this router's clock.
	ColdUntil time.Time
}

// ColdRemaining returns the rest of the cold period stated in the entry, 0 when it is over.
func (i Instance) ColdRemaining(now time.Time) time.Duration { return max(0, i.ColdUntil.Sub(now)) }

// StartID identifies this start of the upstream. An upstream that restarts under the same
// ID has lost all its state, so nothing learned about the previous start applies to it.
func (i Instance) StartID() string {
	if i.Born == 0 {
		return i.ID
	}
	return i.ID + "@" + strconv.FormatInt(i.Born, 10)
}

// LapseGrace is how long an instance stays in use when its entry is missing after an
// outage of the store: live upstreams have written their entries again within 2 s of the
// store's recovery (see the platform's discovery documentation), plus 300 ms until the
// listing arrives here.
const LapseGrace = 2300 * time.Millisecond

// RejectGrace is how long an instance stays in use after its entry was overwritten with content that
// names no usable upstream. That says nothing about the upstream: a live one writes its entry again
// at its next heartbeat, and the platform takes one for gone after three heartbeat intervals of
// silence.
const RejectGrace = 6 * time.Second

// View is this router's knowledge of the platform's store: the table, the instances and
// the evacuated places. Data with the higher revision wins, whether it came from the
// store or from another router, and the revision never decreases. The view is owned by
// the control goroutine.
type View struct {
	Revision        uint64 // of the latest change known here
	AsOf            uint64 // all changes up to this revision are known
	Table           *Table
	TableRaw        []byte // as published, served to other routers
	TableRev        uint64
	instances       map[string]*entry
	places          map[string]*placeState
	lapseGraceUntil time.Time // entries missing before this time may be lapses and not ended instances
	lapsing         int       // number of missing entries within their grace period
	rejected        int       // number of overwritten entries within their grace period
	journal         journal

	restoreGraceUntil time.Time           // until then, known data takes precedence over a restored copy of the store
	stale             map[string]Instance // by ID: entries of that copy whose instances are known to have ended
}

type entry struct {
	inst       Instance
	rev        uint64    // revision as of which it is listed
	changedRev uint64    // revision of its last change
	lapsing    time.Time // when a missing entry is dropped
	missing    bool
	rejected   time.Time // when an overwritten entry is dropped, zero if it was not overwritten
}

// NewView returns an empty view.
func NewView() *View {
	return &View{instances: map[string]*entry{}, places: map[string]*placeState{}, journal: newJournal(), stale: map[string]Instance{}}
}

// SetLapseGrace sets the end of the grace period for missing entries, after an outage of the
// store; it has none if the end has passed. Entries that are missing already are dropped by the
// next Tick after an earlier end.
func (v *View) SetLapseGrace(until time.Time) {
	if until.Equal(v.lapseGraceUntil) {
		return
	}
	v.lapseGraceUntil = until
	if v.lapsing == 0 {
		return
	}
	for _, e := range v.instances {
		if e.lapsing.After(until) {
			e.lapsing = until
		}
	}
}

// SetTable replaces the table by one published at a revision. It returns false when a
// newer table is known.
func (v *View) SetTable(t *Table, raw []byte, rev uint64) bool {
	v.advance(rev)
	if v.Table != nil && v.hasNewerTable(t, rev) {
		return false
	}
	v.Table, v.TableRaw, v.TableRev = t, raw, rev
	return true
}

// hasNewerTable reports whether the known table is newer than another. Across eras of the
// store different version numbers decide alone, within an era the revision counts too.
func (v *View) hasNewerTable(than *Table, rev uint64) bool {
	if than.Number != v.Table.Number && EraOf(rev) != EraOf(v.TableRev) {
		return than.Number < v.Table.Number
	}
	return than.Number < v.Table.Number || rev <= v.TableRev
}

// Put records an instance's entry as of a revision. An entry of a previous start is
// ignored: it was written late. An entry that was already read keeps its cold period,
// which counts from when the entry was written.
func (v *View) Put(i Instance, rev uint64) {
	v.advance(rev)
	v.put(i, rev)
}

func (v *View) put(i Instance, rev uint64) {
	e := v.instances[i.ID]
	if v.isStale(i) || e != nil && (rev < e.rev || i.Born < e.inst.Born) {
		return
	}
	if e != nil && e.inst.Draining && e.inst.StartID() == i.StartID() {
		i.Draining = true // the entry was written before the instance announced that it drains
	}
	if e != nil && i.Revision != 0 && CountOf(i.Revision) == CountOf(e.inst.Revision) && e.inst.StartID() == i.StartID() {
		i.ColdUntil = e.inst.ColdUntil
	}
	if e != nil && e.missing {
		v.lapsing--
	}
	v.journal.recordPut(i, e)
	next := &entry{inst: i, rev: rev, changedRev: rev}
	if e != nil && e.inst == i { // it was not written again
		next.changedRev, next.rejected = e.changedRev, e.rejected
	}
	v.countRejected(e, next)
	v.instances[i.ID] = next
}

// countRejected counts the overwritten entries when an entry replaces another; either may be nil.
func (v *View) countRejected(before, after *entry) {
	if before != nil && !before.rejected.IsZero() {
		v.rejected--
	}
	if after != nil && !after.rejected.IsZero() {
		v.rejected++
	}
}

// MarkDraining records an instance's own announcement that it drains, which its entry may
// not state yet. A start that drains stays so until it ends. It reports whether the view
// changed.
func (v *View) MarkDraining(i Instance) bool {
	e := v.instances[i.ID]
	if e == nil || e.inst.Draining || e.inst.StartID() != i.StartID() {
		return false
	}
	before := *e
	e.inst.Draining = true
	v.journal.recordPut(e.inst, &before)
	return true
}

// drop removes an entry that was found missing at a revision.
func (v *View) drop(id string, e *entry, rev uint64) {
	if e.missing {
		v.lapsing--
	}
	v.countRejected(e, nil)
	delete(v.instances, id)
	v.journal.recordRemoval(e.inst, rev)
}

// Remove records the removal of an instance's entry at a revision.
func (v *View) Remove(id string, rev uint64, now time.Time) {
	v.advance(rev)
	delete(v.stale, id)
	e := v.instances[id]
	if e == nil || rev < e.rev {
		return
	}
	v.dropOrLapse(id, e, rev, now)
}

// Reject records that an instance's entry was overwritten with content that names no usable
// upstream. The instance is dropped at a time, RejectGrace after that was read, unless its entry is
// written again.
func (v *View) Reject(id string, rev uint64, until time.Time) {
	v.advance(rev)
	delete(v.stale, id)
	e := v.instances[id]
	if e == nil || rev < e.rev {
		return
	}
	if e.rejected.IsZero() {
		v.rejected++
		e.rejected = until
	}
}

// Instance returns the instance of an ID.
func (v *View) Instance(id string) (i Instance, known bool) {
	e := v.instances[id]
	if e == nil {
		return Instance{}, false
	}
	return e.inst, true
}

// RevisionOf returns the revision of an instance's entry, 0 if it is unknown.
func (v *View) RevisionOf(id string) uint64 {
	if e := v.instances[id]; e != nil {
		return e.rev
	}
	return 0
}

// Rejected returns the instances whose entries were overwritten, sorted by ID, for peers.
func (v *View) Rejected(now time.Time) (out []Lapse) {
	if v.rejected == 0 {
		return nil
	}
	for id, e := range v.instances {
		if !e.rejected.IsZero() {
			out = append(out, Lapse{id, max(0, e.rejected.Sub(now))})
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	return out
}

// dropOrLapse drops an entry at once, or after a grace period when the store has just
// recovered from an outage.
func (v *View) dropOrLapse(id string, e *entry, rev uint64, now time.Time) {
	v.advance(rev)
	if !now.Before(v.lapseGraceUntil) {
		v.drop(id, e, rev)
		return
	}
	v.lapse(e, v.lapseGraceUntil)
}

// lapse keeps a missing entry until a time.
func (v *View) lapse(e *entry, until time.Time) {
	if !e.missing {
		e.missing, e.lapsing = true, until
		v.lapsing++
	}
}

// Lapse is an instance whose entry is missing or was overwritten, and the rest of its grace period.
type Lapse struct {
	ID        string
	Remaining time.Duration
}

// Lapsing returns the instances whose entries are missing, sorted by ID, for peers.
func (v *View) Lapsing(now time.Time) (out []Lapse) {
	if v.lapsing == 0 {
		return nil
	}
	for id, e := range v.instances {
		if e.missing {
			out = append(out, Lapse{id, max(0, e.lapsing.Sub(now))})
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	return out
}

// Lapse records a peer's report that an entry is missing as of a revision.
func (v *View) Lapse(l Lapse, rev uint64, now time.Time) {
	if e := v.instances[l.ID]; e != nil && e.rev <= rev {
		v.lapse(e, now.Add(l.Remaining))
	}
}

// Replace replaces all instances by the full list as of a revision; instances that are not
// in it have ended.
func (v *View) Replace(list []Instance, asOf uint64, now time.Time) {
	if asOf < v.AsOf {
		return
	}
	listed := map[string]bool{}
	for _, i := range list {
		listed[i.ID] = true
		if e := v.instances[i.ID]; e == nil || e.rev <= asOf {
			v.put(i, asOf)
		}
	}
	for id, e := range v.instances {
		if !listed[id] {
			v.dropOrLapse(id, e, asOf, now)
		}
	}
	maps.DeleteFunc(v.stale, func(id string, _ Instance) bool { return !listed[id] })
	v.journal.recordGap(v.AsOf, asOf)
	v.Complete(asOf)
}

// Complete records that all changes up to a revision are known.
func (v *View) Complete(asOf uint64) { v.AsOf = max(v.AsOf, asOf) }

func (v *View) advance(rev uint64) { v.Revision = max(v.Revision, rev) }

// Tick drops entries whose grace period is over, and accepts the whole content of a
// restored store once its grace period is over. It reports whether the view changed.
func (v *View) Tick(now time.Time) bool {
	dropped := v.dropLapsed(now)
	return v.endRestoreGrace(now) || dropped
}

func (v *View) dropLapsed(now time.Time) bool {
	if v.lapsing == 0 && v.rejected == 0 {
		return false
	}
	dropped := false
	for id, e := range v.instances {
		if e.missing && !now.Before(e.lapsing) || !e.rejected.IsZero() && !now.Before(e.rejected) {
			v.drop(id, e, max(v.Revision, v.AsOf))
			dropped = true
		}
	}
	return dropped
}

// Instances returns every instance, sorted by ID.
func (v *View) Instances() []Instance {
	out := make([]Instance, 0, len(v.instances))
	for _, e := range v.instances {
		out = append(out, e.inst)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	return out
}
