// Package quarantine keeps which requests were running at upstreams that crashed, and
// decides which of them are held back from all others.
//
// Load pattern: a request ends each upstream that begins to run it, and comes again at
// any router. Whatever runs beside it is suspected with it, tens of sound requests for one
// that is guilty; a few crashes in a row without a whole answer between tell them apart.
//
// What is known of a request is the set of upstreams that crashed under it since its last
// whole answer, and the number of those answers: of two sets the one after more answers
// is right, and after equally many both are joined. So nothing is counted twice or lost
// after a cut. Time is an argument; one goroutine owns a list.
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
	// HoldAfterCrashes is the number of crashes, one after the other, from which a request is held
	// for long. Two prove too little where an answer had begun: a stream that is resumed
	// when its upstream crashes meets another crash by chance.
	HoldAfterCrashes = 3
	// holdDuration is how long a request is held then, and twice as long after each crash more:
	// every time that it is tried again may cost an upstream.
	holdDuration    = 10 * time.Minute
	maxHoldDuration = 2 * time.Hour
	// briefHoldDuration is how long it is held after two crashes that both came before the
	// answer's first event: what ends an upstream when it begins to run has had none, of
	// the sound requests beside it few have not. It is longer than a caller's tries last.
	// (TestRacksThatLosePowerCondemnFewSoundRequests has the figures.)
	briefHoldDuration = 30 * time.Second
	// suspicionTTL is how long crashes are remembered that hold nothing, or no longer.
	suspicionTTL = 10 * time.Minute
	// maxEntries bounds the requests remembered. A crash makes tens of them: this holds
	// what 40 crashes with 50 requests each leave within suspicionTTL.
	maxEntries = 2000
	// maxCrashesPerRequest bounds the crashes remembered of one request: more than what holds it
	// longest are of no use.
	maxCrashesPerRequest = 8
)

// List is what one router knows. Its methods must be called by one goroutine.
type List struct {
	entries  map[fingerprint.Fingerprint]*entry
	changed  bool // since View was called
	sum      uint64
	sumValid bool // sum holds: every regular message tells it
}

type entry struct {
	org       version.ID
	answers   uint32  // whole ones that were told of: they clear what was before
	crashes   []Crash // since then, by time
	level     int     // that they hold the request at; it never falls without an answer
	held      bool    // it is, or was before an answer, held
	lastCrash time.Time
}

// New returns an empty list.
func New() *List { return &List{entries: map[fingerprint.Fingerprint]*entry{}} }

// Levels at which a request is held; each further crash adds one.
const (
	levelNone = iota
	levelBrief
	levelLong
)

// hold is how long the request is held after its last crash, 0 when it is not.
func (e *entry) hold() time.Duration {
	switch e.level {
	case levelNone:
		return 0
	case levelBrief:
		return briefHoldDuration
	}
	return min(holdDuration<<(e.level-levelLong), maxHoldDuration)
}

// forgotten reports whether the entry says nothing any more. A request that was held is
// remembered as long again after it: the next crash holds it at once.
func (e *entry) expired(now time.Time) bool {
	return now.Sub(e.lastCrash) >= max(suspicionTTL, 2*e.hold())
}

// Crashed notes that an upstream crashed while it ran a request. It reports whether that
// is news.
func (l *List) AddCrash(f fingerprint.Fingerprint, org version.ID, c Crash) bool {
	e := l.entry(f, org)
	return l.settle(e, e.addCrash(c), c.At)
}

// join adds a crash, and reports whether there was news in it.
func (e *entry) addCrash(c Crash) bool {
	var news bool
	e.crashes, news = mergeCrash(e.crashes, c)
	e.level = max(e.level, levelOf(e.crashes))
	return news
}

// Answered notes that a request was answered whole: no crash before speaks against it. It
// reports whether that is news.
func (l *List) Answered(f fingerprint.Fingerprint) bool {
	e := l.entries[f]
	if e == nil || len(e.crashes) == 0 {
		return false
	}
	e.clear(e.answers + 1)
	l.markChanged()
	return true
}

// clear forgets the crashes before a whole answer.
func (e *entry) clear(answers uint32) { e.answers, e.crashes, e.level = answers, nil, levelNone }

// Join takes what another router knows. It reports whether there was news in it.
func (l *List) Merge(w wire.CrashRecord, now time.Time) bool {
	e := l.entry(fingerprint.Fingerprint(w.Content), w.Org)
	at := ago(now, w.AgeMS)
	news := w.Held && !e.held
	e.held = e.held || w.Held
	if w.Answers < e.answers {
		return l.settle(e, news, at)
	}
	if w.Answers > e.answers {
		e.clear(w.Answers)
		news = true
	}
	for _, c := range w.Crashes {
		more := e.addCrash(Crash{Upstream: c.Upstream, Early: c.Early, Began: ago(now, c.AttemptAgeMS), At: ago(now, c.AgeMS)})
		news = news || more
	}
	if int(w.Level) > e.level {
		e.level, news = int(w.Level), true
	}
	return l.settle(e, news, at)
}

// entry returns what is known of a request, which may be nothing yet.
func (l *List) entry(f fingerprint.Fingerprint, org version.ID) *entry {
	e := l.entries[f]
	if e == nil {
		e = &entry{org: org}
		l.evictIfFull()
		l.entries[f] = e
	}
	return e
}

// settle ends a change of an entry, and reports whether it was one.
func (l *List) settle(e *entry, news bool, at time.Time) bool {
	if at.After(e.lastCrash) {
		e.lastCrash = at
	}
	e.held = e.held || e.level > levelNone
	if news {
		l.markChanged()
	}
	return news
}

// touch notes that something has changed.
func (l *List) markChanged() { l.changed, l.sumValid = true, false }

// evictIfFull forgets one entry when the list is full: of the organisation that has most of
// them, so that one that sends a new deadly request each time displaces its own; of these
// the one with the fewest crashes, the oldest first.
func (l *List) evictIfFull() {
	if len(l.entries) < maxEntries {
		return
	}
	count := map[version.ID]int{}
	var most version.ID
	for _, e := range l.entries {
		count[e.org]++
		if n := cmp.Or(cmp.Compare(count[e.org], count[most]), cmp.Compare(e.org, most)); n > 0 {
			most = e.org
		}
	}
	var least fingerprint.Fingerprint
	for f, e := range l.entries {
		if e.org != most {
			continue
		}
		o := l.entries[least]
		if o == nil || cmp.Or(cmp.Compare(e.level, o.level), cmp.Compare(len(e.crashes), len(o.crashes)), e.lastCrash.Compare(o.lastCrash), cmp.Compare(f, least)) < 0 {
			least = f
		}
	}
	delete(l.entries, least)
	l.markChanged()
}

// Expire forgets what says nothing any more.
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
	Crashes int       // since its last whole answer
	Until   time.Time // it is held so long, the zero time when it is not
}

// Held returns how much longer the request is held, 0 when it is not.
func (s State) Held(now time.Time) time.Duration {
	if s.Until.IsZero() {
		return 0
	}
	return max(0, s.Until.Sub(now))
}

func (e *entry) state() State {
	s := State{Crashes: len(e.crashes)}
	if hold := e.hold(); hold > 0 {
		s.Until = e.lastCrash.Add(hold)
	}
	return s
}

// State returns what is known of a request.
func (l *List) State(f fingerprint.Fingerprint) State {
	e := l.entries[f]
	if e == nil {
		return State{}
	}
	return e.state()
}

// View is a copy of the list that does not change, by organisation: requests of one that
// has none need no fingerprint.
type View map[version.ID]map[fingerprint.Fingerprint]State

// View returns a copy, and whether anything has changed since the last one.
func (l *List) View() (View, bool) {
	if !l.changed {
		return nil, false
	}
	l.changed = false
	out := View{}
	for f, e := range l.entries {
		s := e.state()
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

// Told returns what is known of one request as it is told to other routers.
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

// Decided returns the requests that are, or were, held, the latest crash first.
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

// spread is an odd number that spreads small ones over 64 bits (golden ratio; Knuth, The
// Art of Computer Programming 3, 6.4).
const goldenRatio64 = 0x9E3779B97F4A7C15

// Sum is the same at two routers that hold, and held, the same requests.
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
