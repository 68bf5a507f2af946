// Package quarantine records which requests were running at upstreams that crashed, and decides
// which of them are held back to protect the other requests. A request that is
// held here is called quarantined in the request path, which sends it to no further upstream.
//
// Load pattern: a request crashes each upstream that begins to run it, and comes again at any
// router. Every request that runs beside it is suspected with it: tens of sound requests for
// each guilty one. Several crashes in a row without a complete answer in between tell them
// apart.
//
// A router's knowledge of a request is the set of upstreams that crashed while running it since
// its last complete answer, and the stamp of that answer. Of two such records with the same stamp
// the sets are joined. Of two with different ones the later answer counts, with its crashes and
// those of the other whose attempts began after it: a router that has just started sees crashes
// though it knows of no answer. So a merge neither counts anything twice nor loses anything. Time is
// passed as an argument, and one goroutine owns a list.
package quarantine

import (
	"cmp"
	"slices"
	"time"

	"github.com/silverswitch/silverswitch/internal/core/wire"
	"github.com/silverswitch/silverswitch/internal/fingerprint"
	"github.com/silverswitch/silverswitch/internal/version"
)

const (
	// HoldAfterCrashes is the number of consecutive crashes from which on a request is held for
	// long. Two prove too little where an answer had begun: a stream that is resumed after a
	// crash meets another crash by chance.
	HoldAfterCrashes = 3
	// holdDuration is how long a request is then held. It doubles with each further crash,
	// since every trial of the request may cost an upstream.
	holdDuration    = 10 * time.Minute
	maxHoldDuration = 2 * time.Hour
	// briefHoldDuration is how long a request is held after two crashes that both came before
	// the first event of its answer. A request that crashes an upstream when it begins to run
	// has had no event, which is true of few of the sound requests beside it. The duration is
	// longer than the retries of a caller. (TestRacksThatLosePowerCondemnFewSoundRequests has
	// the figures.)
	briefHoldDuration = 30 * time.Second
	// suspicionTTL is how long crashes that do not hold the request, or no longer do, are
	// remembered.
	suspicionTTL = 10 * time.Minute
	// maxEntries bounds the requests remembered. A crash adds tens of them: this holds what 40
	// crashes with 50 requests each leave within suspicionTTL.
	maxEntries = 2000
	// maxAnswerCount is the highest number of answers that an earlier release counts. As a stamp it
	// stands for a time before any router of this release.
	maxAnswerCount = 1 << 20
	// maxCrashesPerRequest bounds the crashes remembered of one request. More than are needed
	// for the longest hold are of no use.
	maxCrashesPerRequest = 8
)

// List is what one router knows. Its methods must be called by one goroutine.
type List struct {
	entries  map[fingerprint.Fingerprint]*entry
	changed  bool // since the last call of View
	sum      uint64
	sumValid bool // sum is up to date; it is cached since every heartbeat carries it

	explained map[version.ID]bool // crashes that held parts of prompts explain
}

type entry struct {
	org       version.ID
	answers   uint32  // stamp of the last complete answer, see stampAfter
	crashes   []Crash // since the last answer, by time
	level     int     // at which the crashes hold the request; it never decreases without an answer
	held      bool    // the request is held, or was held before an answer
	lastCrash time.Time
}

// New returns an empty list.
func New() *List { return &List{entries: map[fingerprint.Fingerprint]*entry{}} }

// Levels at which a request is held. From levelLong on, each further crash adds one.
const (
	levelNone = iota
	levelBrief
	levelLong
)

// hold is how long the request is held after its last crash, 0 when it is not held.
func (e *entry) hold() time.Duration {
	switch e.level {
	case levelNone:
		return 0
	case levelBrief:
		return briefHoldDuration
	}
	return min(holdDuration<<(e.level-levelLong), maxHoldDuration)
}

// expired reports whether the entry can be removed. A request that was held is remembered for
// as long again afterwards, so that the next crash holds it at once.
func (e *entry) expired(now time.Time) bool {
	return now.Sub(e.lastCrash) >= max(suspicionTTL, 2*e.hold())
}

// AddCrash records that an upstream crashed while it ran a request. It reports whether the
// crash changed anything.
func (l *List) AddCrash(f fingerprint.Fingerprint, org version.ID, c Crash) bool {
	e := l.entry(f, org)
	return l.settle(e, e.addCrash(c), c.At)
}

// addCrash adds a crash, and reports whether it changed the entry.
func (e *entry) addCrash(c Crash) bool {
	var changed bool
	e.crashes, changed = mergeCrash(e.crashes, c, maxCrashesPerRequest)
	e.level = max(e.level, levelOf(e.crashes))
	return changed
}

// Answered records that a request received a complete answer, which clears all crashes before
// it. It reports whether there were any.
func (l *List) Answered(f fingerprint.Fingerprint, now time.Time) bool {
	e := l.entries[f]
	if e == nil || len(e.crashes) == 0 {
		return false
	}
	e.answers, e.crashes, e.level = stampAfter(e.answers, now), nil, levelNone
	l.markChanged()
	return true
}

// stampAfter returns the stamp of an answer that follows another one: its time in the unit of
// wire.Incarnation, or one more than the stamp before where clocks differ (a hybrid logical clock,
// Kulkarni et al. 2014). Records of earlier releases have a count of answers there, which is less.
// It says nothing of the time, and is no more than maxAnswerCount.
func stampAfter(before uint32, now time.Time) uint32 {
	return max(before+1, uint32(wire.IncarnationAt(now)))
}

// followsAnswer reports whether a crash is known to come of an attempt that began after an answer.
func (c Crash) followsAnswer(stamp uint32) bool {
	return stamp > maxAnswerCount && c.Began.After(wire.Incarnation(stamp).Start())
}

// supersede replaces the last answer by a later one, and keeps the crashes after it.
func (e *entry) supersede(stamp uint32) {
	e.answers = stamp
	e.crashes = slices.DeleteFunc(e.crashes, func(c Crash) bool { return !c.followsAnswer(stamp) })
	e.level = levelOf(e.crashes)
}

// Merge merges what another router knows of a request. It reports whether the entry changed.
func (l *List) Merge(w wire.CrashRecord, now time.Time) bool {
	e := l.entry(fingerprint.Fingerprint(w.Content), w.Org)
	at := ago(now, w.AgeMS)
	changed := w.Held && !e.held
	e.held = e.held || w.Held
	if w.Answers > e.answers {
		e.supersede(w.Answers)
		changed = true
	}
	for _, r := range w.Crashes {
		c := Crash{Upstream: r.Upstream, Early: r.Early, Began: ago(now, r.AttemptAgeMS), At: ago(now, r.AgeMS)}
		if w.Answers == e.answers || c.followsAnswer(e.answers) {
			changed = e.addCrash(c) || changed
		}
	}
	if w.Answers == e.answers && int(w.Level) > e.level {
		e.level, changed = int(w.Level), true
	}
	return l.settle(e, changed, at)
}

// entry returns the entry of a request, which is created if necessary.
func (l *List) entry(f fingerprint.Fingerprint, org version.ID) *entry {
	e := l.entries[f]
	if e == nil {
		e = &entry{org: org}
		l.evictIfFull()
		l.entries[f] = e
	}
	return e
}

// settle completes a change of an entry, and returns whether it was one.
func (l *List) settle(e *entry, changed bool, at time.Time) bool {
	if at.After(e.lastCrash) {
		e.lastCrash = at
	}
	e.held = e.held || e.level > levelNone
	if changed {
		l.markChanged()
	}
	return changed
}

// markChanged records that something has changed.
func (l *List) markChanged() { l.changed, l.sumValid = true, false }

// evictIfFull removes one entry when the list is full: an entry of the organisation with the
// most entries, so that an organisation that sends ever new crashing requests displaces its
// own; of these the one with the lowest level, then the fewest crashes, then the oldest.
func (l *List) evictIfFull() {
	if len(l.entries) < maxEntries {
		return
	}
	count := map[version.ID]int{}
	var largest version.ID
	for _, e := range l.entries {
		count[e.org]++
		if n := cmp.Or(cmp.Compare(count[e.org], count[largest]), cmp.Compare(e.org, largest)); n > 0 {
			largest = e.org
		}
	}
	var victim fingerprint.Fingerprint
	for f, e := range l.entries {
		if e.org != largest {
			continue
		}
		o := l.entries[victim]
		if o == nil || cmp.Or(cmp.Compare(e.level, o.level), cmp.Compare(len(e.crashes), len(o.crashes)), e.lastCrash.Compare(o.lastCrash), cmp.Compare(f, victim)) < 0 {
			victim = f
		}
	}
	delete(l.entries, victim)
	l.markChanged()
}

// Expire removes expired entries.
func (l *List) Expire(now time.Time) {
	for f, e := range l.entries {
		if e.expired(now) {
			delete(l.entries, f)
			l.markChanged()
		}
	}
}

// State is what is known of a request.
type State struct {
	Crashes int       // since its last complete answer
	Until   time.Time // end of the hold; the zero time when it is not held
}

// Held returns how much longer the request is held, 0 when it is not held.
func (s State) Held(now time.Time) time.Duration {
	if s.Until.IsZero() {
		return 0
	}
	return max(0, s.Until.Sub(now))
}

// stateOf returns what is known of an entry. Crashes that a held part of a prompt explains do not
// hold it.
func (l *List) stateOf(e *entry) State {
	s := State{Crashes: len(e.crashes)}
	if left := unexplained(e.crashes, l.explained); len(left) < len(e.crashes) && levelOf(left) == levelNone {
		return s
	}
	if hold := e.hold(); hold > 0 {
		s.Until = e.lastCrash.Add(hold)
	}
	return s
}

// setExplained sets the crashes that held parts of prompts explain.
func (l *List) setExplained(explained map[version.ID]bool) {
	l.explained = explained
	l.changed = true
}

// State returns what is known of a request.
func (l *List) State(f fingerprint.Fingerprint) State {
	e := l.entries[f]
	if e == nil {
		return State{}
	}
	return l.stateOf(e)
}

// View is an immutable copy of the list, by organisation. For requests of an organisation
// without an entry no fingerprint needs to be computed.
type View map[version.ID]map[fingerprint.Fingerprint]State

// View returns a copy, and whether anything has changed since the last one.
func (l *List) View() (View, bool) {
	if !l.changed {
		return nil, false
	}
	l.changed = false
	out := View{}
	for f, e := range l.entries {
		s := l.stateOf(e)
		if s.Crashes == 0 {
			continue
		}
		if out[e.org] == nil {
			out[e.org] = map[fingerprint.Fingerprint]State{}
		}
		out[e.org][f] = s
	}
	return out, true
}

// Record returns the record of one request for other routers.
func (l *List) Record(f fingerprint.Fingerprint, now time.Time) (wire.CrashRecord, bool) {
	e := l.entries[f]
	if e == nil {
		return wire.CrashRecord{}, false
	}
	w := wire.CrashRecord{Content: uint64(f), Org: e.org, Answers: e.answers, Level: uint8(e.level), Held: e.held, AgeMS: ageMS(now, e.lastCrash)}
	for _, c := range e.crashes {
		w.Crashes = append(w.Crashes, wire.Crash{Upstream: c.Upstream, Early: c.Early, AttemptAgeMS: ageMS(now, c.Began), AgeMS: ageMS(now, c.At)})
	}
	return w, true
}

// HeldRecords returns the records of requests that are or were held, the latest crash first.
func (l *List) HeldRecords(now time.Time) []wire.CrashRecord {
	var out []wire.CrashRecord
	for f, e := range l.entries {
		if !e.held {
			continue
		}
		w, _ := l.Record(f, now)
		out = append(out, w)
	}
	slices.SortFunc(out, func(a, b wire.CrashRecord) int {
		return cmp.Or(cmp.Compare(a.AgeMS, b.AgeMS), cmp.Compare(a.Content, b.Content))
	})
	return out
}

// goldenRatio64 is an odd number that spreads small numbers over 64 bits (golden ratio; Knuth,
// The Art of Computer Programming 3, 6.4).
const goldenRatio64 = 0x9E3779B97F4A7C15

// Checksum returns a value that is the same at two routers that hold, and held, the same
// requests.
func (l *List) Checksum() uint64 {
	if l.sumValid {
		return l.sum
	}
	l.sum, l.sumValid = 0, true
	for f, e := range l.entries {
		if e.held {
			l.sum ^= (uint64(f) + uint64(e.level)) * goldenRatio64
		}
	}
	return l.sum
}

// Len returns the number of requests remembered.
func (l *List) Len() int { return len(l.entries) }
