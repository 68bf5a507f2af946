package routing

import (
	"maps"
	"sort"
	"strconv"
	"time"
)

// Instance is one start of an upstream, as the platform lists it.
type Instance struct {
	ID       string
	Service  string
	Address  string // ip:port
	Place    string
	Slots    int
	Draining bool
	Born     int64 // Unix milliseconds of its start, 0 when it does not say
	// Revision is that of the entry's last write, 0 when it is not known.
	Revision uint64
	// ColdUntil is until when its entry says that it is cold, by this router's clock.
	ColdUntil time.Time
}

// ColdRemaining is how much longer its entry says that the instance is cold, 0 when it is not.
func (i Instance) ColdRemaining(now time.Time) time.Duration { return max(0, i.ColdUntil.Sub(now)) }

// Start names this start of the upstream: one that starts again under its ID keeps nothing
// of before, and nothing that was learned of it holds.
func (i Instance) StartID() string {
	if i.Born == 0 {
		return i.ID
	}
	return i.ID + "@" + strconv.FormatInt(i.Born, 10)
}

// LapseGrace is how long an instance whose entry is missing after the store was
// away stays in use: entries of live upstreams are back 2 s after its return
// (platform's page on discovery), and 300 ms for the answer to reach here.
const LapseGrace = 2300 * time.Millisecond

// View is what the platform's store holds, as far as this router knows it: the
// table and the instances at one revision of the store. Whoever has the higher
// revision is right, whether it came from the store or from another router, and
// a revision never goes back. The control goroutine owns it.
type View struct {
	Revision        uint64 // of the last change known here
	AsOf            uint64 // every change up to this revision is known
	Table           *Table
	TableRaw        []byte // as published, for other routers
	TableRev        uint64
	instances       map[string]*entry
	places          map[string]*placeState
	lapseGraceUntil time.Time // removals before this may be lapses, not ends
	lapsing         int       // how many entries are missing and given time
	journal         journal

	restoreGraceUntil time.Time           // what is known outweighs a restored store's copy before this
	stale             map[string]Instance // by ID: entries of that copy whose instances have ended
}

type entry struct {
	inst       Instance
	rev        uint64    // as of which it is listed
	changedRev uint64    // as of which it was found to be as it is
	lapsing    time.Time // zero, or when a missing entry counts as gone
}

// NewView returns a view that knows nothing.
func NewView() *View {
	return &View{instances: map[string]*entry{}, places: map[string]*placeState{}, journal: newJournal(), stale: map[string]Instance{}}
}

// StoreRecovered says that the store answers again after it did not.
func (v *View) StoreRecovered(now time.Time) { v.lapseGraceUntil = now.Add(LapseGrace) }

// SetTable takes a table published at a revision. It returns false when a newer
// one is known.
func (v *View) SetTable(t *Table, raw []byte, rev uint64) bool {
	v.advance(rev)
	if v.Table != nil && v.hasNewerTable(t, rev) {
		return false
	}
	v.Table, v.TableRaw, v.TableRev = t, raw, rev
	return true
}

// hasNewerTable reports whether the table known is newer than another. Between eras of the store
// the number of a version tells, within one the revision too.
func (v *View) hasNewerTable(than *Table, rev uint64) bool {
	if than.Number != v.Table.Number && EraOf(rev) != EraOf(v.TableRev) {
		return than.Number < v.Table.Number
	}
	return than.Number < v.Table.Number || rev <= v.TableRev
}

// Put takes an instance's entry written at a revision. One of a former start is not taken:
// it was written late. One that was read before keeps how long it is cold: that counts from
// when it was written.
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
		i.Draining = true // an entry that says otherwise was written before it said so itself
	}
	if e != nil && i.Revision != 0 && CountOf(i.Revision) == CountOf(e.inst.Revision) && e.inst.StartID() == i.StartID() {
		i.ColdUntil = e.inst.ColdUntil
	}
	if e != nil && !e.lapsing.IsZero() {
		v.lapsing--
	}
	v.journal.recordPut(i, e)
	changedRev := rev
	if e != nil && e.inst == i {
		changedRev = e.changedRev
	}
	v.instances[i.ID] = &entry{inst: i, rev: rev, changedRev: changedRev}
}

// Drain takes an instance's own word that it leaves, which its entry may not say yet. A start
// that leaves stays so until it has ended. It reports whether that changes anything.
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

// drop takes an entry out that was found gone at a revision.
func (v *View) drop(id string, e *entry, rev uint64) {
	if !e.lapsing.IsZero() {
		v.lapsing--
	}
	delete(v.instances, id)
	v.journal.recordRemoval(e.inst, rev)
}

// Remove takes the removal of an instance's entry.
func (v *View) Remove(id string, rev uint64, now time.Time) {
	v.advance(rev)
	delete(v.stale, id)
	e := v.instances[id]
	if e == nil || rev < e.rev {
		return
	}
	v.dropOrLapse(id, e, rev, now)
}

// Reject takes an entry that names no upstream to use: whatever was there before is
// overwritten, and no outage of the store explains that.
func (v *View) Reject(id string, rev uint64) {
	v.advance(rev)
	delete(v.stale, id)
	if e := v.instances[id]; e != nil && rev >= e.rev {
		v.drop(id, e, rev)
	}
}

// lose drops an entry now, or after the grace when the store was just away.
func (v *View) dropOrLapse(id string, e *entry, rev uint64, now time.Time) {
	v.advance(rev)
	if !now.Before(v.lapseGraceUntil) {
		v.drop(id, e, rev)
		return
	}
	v.lapse(e, v.lapseGraceUntil)
}

// lapse gives an entry that is missing time.
func (v *View) lapse(e *entry, until time.Time) {
	if e.lapsing.IsZero() {
		e.lapsing = until
		v.lapsing++
	}
}

// Lapse is an instance whose entry is missing, and how much longer it is given time.
type Lapse struct {
	ID        string
	Remaining time.Duration
}

// Lapsing returns the instances whose entries are missing, for peers.
func (v *View) Lapsing(now time.Time) (out []Lapse) {
	if v.lapsing == 0 {
		return nil
	}
	for id, e := range v.instances {
		if !e.lapsing.IsZero() {
			out = append(out, Lapse{id, max(0, e.lapsing.Sub(now))})
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	return out
}

// Lapse takes a peer's word that an entry is missing as of a revision.
func (v *View) Lapse(l Lapse, rev uint64, now time.Time) {
	if e := v.instances[l.ID]; e != nil && e.rev <= rev {
		v.lapse(e, now.Add(l.Remaining))
	}
}

// Replace takes the whole list as of a revision; what is not in it has ended.
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

// Complete says that every change up to a revision is known.
func (v *View) Complete(asOf uint64) { v.AsOf = max(v.AsOf, asOf) }

func (v *View) advance(rev uint64) { v.Revision = max(v.Revision, rev) }

// Tick drops entries whose grace is over, and takes a restored store at its word when its
// time has come. It reports whether that changed anything.
func (v *View) Tick(now time.Time) bool {
	dropped := v.dropLapsed(now)
	return v.endRestoreGrace(now) || dropped
}

func (v *View) dropLapsed(now time.Time) bool {
	if v.lapsing == 0 {
		return false
	}
	dropped := false
	for id, e := range v.instances {
		if !e.lapsing.IsZero() && !now.Before(e.lapsing) {
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
