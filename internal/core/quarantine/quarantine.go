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
	// HoldAfter is the number of crashes, one after the other, from which a request is held
	// for long. Two prove too little where an answer had begun: a stream that is resumed
	// when its upstream crashes meets another crash by chance.
	HoldAfter = 3
	// holdFor is how long a request is held then, and twice as long after each crash more:
	// every time that it is tried again may cost an upstream.
	holdFor = 10 * time.Minute
	maxHold = 2 * time.Hour
	// holdBriefly is how long it is held after two crashes that both came before the
	// answer's first event: what ends an upstream when it begins to run has had none, of
	// the sound requests beside it few have not. It is longer than a caller's tries last.
	// (TestRacksThatLosePowerCondemnFewSoundRequests has the figures.)
	holdBriefly = 30 * time.Second
	// suspectFor is how long crashes are remembered that hold nothing, or no longer.
	suspectFor = 10 * time.Minute
	// maxEntries bounds the requests remembered. A crash makes tens of them: this holds
	// what 40 crashes with 50 requests each leave within suspectFor.
	maxEntries = 2000
	// maxCrashes bounds the crashes remembered of one request: more than what holds it
	// longest are of no use.
	maxCrashes = 8
)

// List is what one router knows. Its methods must be called by one goroutine.
type List struct {
	entries map[fingerprint.Fingerprint]*entry
	changed bool // since View was called
	sum     uint64
	summed  bool // sum holds: every regular message tells it
}

type entry struct {
	org     version.ID
	answers uint32  // whole ones that were told of: they clear what was before
	crashes []Crash // since then, by time
	level   int     // that they hold the request at; it never falls without an answer
	held    bool    // it is, or was before an answer, held
	last    time.Time
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
		return holdBriefly
	}
	return min(holdFor<<(e.level-levelLong), maxHold)
}

// forgotten reports whether the entry says nothing any more. A request that was held is
// remembered as long again after it: the next crash holds it at once.
func (e *entry) forgotten(now time.Time) bool {
	return now.Sub(e.last) >= max(suspectFor, 2*e.hold())
}

// Crashed notes that an upstream crashed while it ran a request. It reports whether that
// is news.
func (l *List) Crashed(f fingerprint.Fingerprint, org version.ID, c Crash) bool {
	e := l.entry(f, org)
	return l.settle(e, e.join(c), c.At)
}

// join adds a crash, and reports whether there was news in it.
func (e *entry) join(c Crash) bool {
	var news bool
	e.crashes, news = joinCrash(e.crashes, c)
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
	l.touch()
	return true
}

// clear forgets the crashes before a whole answer.
func (e *entry) clear(answers uint32) { e.answers, e.crashes, e.level = answers, nil, levelNone }

// Join takes what another router knows. It reports whether there was news in it.
func (l *List) Join(w wire.CrashRecord, now time.Time) bool {
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
		more := e.join(Crash{Up: c.Up, Early: c.Early, Began: ago(now, c.BeganMS), At: ago(now, c.AgeMS)})
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
		l.makeRoom()
		l.entries[f] = e
	}
	return e
}

// settle ends a change of an entry, and reports whether it was one.
func (l *List) settle(e *entry, news bool, at time.Time) bool {
	if at.After(e.last) {
		e.last = at
	}
	e.held = e.held || e.level > levelNone
	if news {
		l.touch()
	}
	return news
}

// touch notes that something has changed.
func (l *List) touch() { l.changed, l.summed = true, false }

// makeRoom forgets one entry when the list is full: of the organisation that has most of
// them, so that one that sends a new deadly request each time displaces its own; of these
// the one with the fewest crashes, the oldest first.
func (l *List) makeRoom() {
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
		if o == nil || cmp.Or(cmp.Compare(e.level, o.level), cmp.Compare(len(e.crashes), len(o.crashes)), e.last.Compare(o.last), cmp.Compare(f, least)) < 0 {
			least = f
		}
	}
	delete(l.entries, least)
	l.touch()
}

// Expire forgets what says nothing any more.
func (l *List) Expire(now time.Time) {
	for f, e := range l.entries {
		if e.forgotten(now) {
			delete(l.entries, f)
			l.touch()
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
		s.Until = e.last.Add(hold)
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
func (l *List) Told(f fingerprint.Fingerprint, now time.Time) (wire.CrashRecord, bool) {
	e := l.entries[f]
	if e == nil {
		return wire.CrashRecord{}, false
	}
	w := wire.CrashRecord{Content: uint64(f), Org: e.org, Answers: e.answers, Level: uint8(e.level), Held: e.held, AgeMS: ageMS(now, e.last)}
	for _, c := range e.crashes {
		w.Crashes = append(w.Crashes, wire.Crash{Up: c.Up, Early: c.Early, BeganMS: ageMS(now, c.Began), AgeMS: ageMS(now, c.At)})
	}
	return w, true
}

// Decided returns the requests that are, or were, held, the latest crash first.
func (l *List) Decided(now time.Time) []wire.CrashRecord {
	var out []wire.CrashRecord
	for f, e := range l.entries {
		if !e.held {
			continue
		}
		w, _ := l.Told(f, now)
		out = append(out, w)
	}
	slices.SortFunc(out, func(a, b wire.CrashRecord) int {
		return cmp.Or(cmp.Compare(a.AgeMS, b.AgeMS), cmp.Compare(a.Content, b.Content))
	})
	return out
}

// spread is an odd number that spreads small ones over 64 bits (golden ratio; Knuth, The
// Art of Computer Programming 3, 6.4).
const spread = 0x9E3779B97F4A7C15

// Sum is the same at two routers that hold, and held, the same requests.
func (l *List) Sum() uint64 {
	if l.summed {
		return l.sum
	}
	l.sum, l.summed = 0, true
	for f, e := range l.entries {
		if e.held {
			l.sum ^= (uint64(f) + uint64(e.level)) * spread
		}
	}
	return l.sum
}

// Len returns the number of requests remembered.
func (l *List) Len() int { return len(l.entries) }
