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
	// HoldAfter is the number of crashes after which a request is held at the latest. Two
	// prove too little where an answer had begun: a stream that is resumed when its
	// upstream crashes meets another crash by chance.
	HoldAfter = 3
	// lateWeight is what a crash in the midst of an answer weighs, earlyWeight one before
	// the answer's first event: what ends an upstream when it begins to run has had none,
	// of the sound requests beside it few have not. Two early crashes hold a request, or
	// three of any kind (TestRacksThatLosePowerCondemnFewSoundRequests has the figures).
	lateWeight  = 2
	earlyWeight = 3
	holdWeight  = HoldAfter * lateWeight
	// holdFor is how long a request is held, and twice as long after each crash more:
	// every time that it is tried again may cost an upstream.
	holdFor = 10 * time.Minute
	maxHold = 2 * time.Hour
	// suspectFor is how long fewer crashes are remembered.
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
	answers uint32       // whole ones that were told of: they clear what was before
	crashed []version.ID // starts of upstreams since then, sorted
	early   []version.ID // of these, before the answer's first event
	held    bool         // it is, or was before an answer, held
	last    time.Time    // of the crashes
}

// New returns an empty list.
func New() *List { return &List{entries: map[fingerprint.Fingerprint]*entry{}} }

// hold is how long the request is held after its last crash, 0 when it is not.
func (e *entry) hold() time.Duration {
	if !e.heavy() {
		return 0
	}
	return min(holdFor<<((e.weight()-holdWeight)/lateWeight), maxHold)
}

func (e *entry) weight() int {
	return lateWeight*len(e.crashed) + (earlyWeight-lateWeight)*len(e.early)
}

// heavy reports whether its crashes hold the request.
func (e *entry) heavy() bool { return e.weight() >= holdWeight }

// forgotten reports whether the entry says nothing any more. A request that was held is
// remembered as long again after it: the next crash holds it at once.
func (e *entry) forgotten(now time.Time) bool {
	return now.Sub(e.last) >= max(suspectFor, 2*e.hold())
}

// join adds the members of b to the sorted set a, and reports whether there were new ones.
// Of more than maxCrashes the least are kept, the same ones whatever the order.
func join(a, b []version.ID) ([]version.ID, bool) {
	all := slices.Concat(a, b)
	slices.Sort(all)
	all = slices.Compact(all)
	all = all[:min(len(all), maxCrashes)]
	return all, !slices.Equal(a, all)
}

// Crashed notes that an upstream crashed while it ran a request; early says that its
// answer had no event yet. It reports whether that is news.
func (l *List) Crashed(f fingerprint.Fingerprint, org, up version.ID, early bool, now time.Time) bool {
	e := l.entry(f, org)
	crash := []version.ID{up}
	if !early {
		return l.settle(e, e.join(crash, nil), now)
	}
	return l.settle(e, e.join(crash, crash), now)
}

// join adds crashes, and reports whether there were new ones.
func (e *entry) join(crashed, early []version.ID) bool {
	var more, sooner bool
	e.crashed, more = join(e.crashed, crashed)
	e.early, sooner = join(e.early, early)
	return more || sooner
}

// Answered notes that a request was answered whole: no crash before speaks against it. It
// reports whether that is news.
func (l *List) Answered(f fingerprint.Fingerprint) bool {
	e := l.entries[f]
	if e == nil || len(e.crashed) == 0 {
		return false
	}
	e.answers++
	e.crashed, e.early = nil, nil
	l.touch()
	return true
}

// Join takes what another router knows. It reports whether there was news in it.
func (l *List) Join(w wire.CrashRecord, now time.Time) bool {
	at := now.Add(-time.Duration(w.AgeMS) * time.Millisecond)
	e := l.entry(fingerprint.Fingerprint(w.Content), w.Org)
	news := w.Held && !e.held
	e.held = e.held || w.Held
	switch {
	case w.Answers > e.answers:
		e.answers, e.crashed, e.early = w.Answers, nil, nil
		news = true
	case w.Answers < e.answers:
		return l.settle(e, news, at)
	}
	more := e.join(w.Crashed, w.Early)
	return l.settle(e, news || more, at)
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
	e.held = e.held || e.heavy()
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
		if o == nil || cmp.Or(cmp.Compare(e.weight(), o.weight()), e.last.Compare(o.last), cmp.Compare(f, least)) < 0 {
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
	s := State{Crashes: len(e.crashed)}
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
	return wire.CrashRecord{
		Content: uint64(f),
		Org:     e.org,
		Answers: e.answers,
		Crashed: e.crashed,
		Early:   e.early,
		Held:    e.held,
		AgeMS:   uint32(max(0, now.Sub(e.last).Milliseconds())),
	}, true
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
		switch {
		case e.heavy():
			l.sum ^= (uint64(f) + 1) * spread
		case e.held:
			l.sum ^= uint64(f) * spread
		}
	}
	return l.sum
}

// Len returns the number of requests remembered.
func (l *List) Len() int { return len(l.entries) }
