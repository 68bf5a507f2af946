package quarantine

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/silverswitch/silverswitch/internal/core/wire"
	"github.com/silverswitch/silverswitch/internal/version"
)

// A part of a prompt may crash each upstream that begins to answer a request with it, while no two
// such requests are alike. Parts are shared: by most requests of a service, by few, or by the
// requests of one session. What tells the guilty one from the others that ran beside it is that no
// request with it is ever answered whole, while its crashes go on.
//
// A router's knowledge of a part is the start of the latest attempt that was answered whole, at any
// router, and the crashes since. Of two records the later answer and all crashes after it count,
// so that merging is commutative and idempotent. Held parts follow from the records and the time
// alone, so that routers which know the same hold the same.
//
// A crash that a held part explains, because it was in a request that ran there, says nothing
// against other parts and requests.

const (
	// holdPartAfterCrashes consecutive crashes hold a part, partSettleTime after the last of them.
	// Until then answers to other requests with the part can clear it, wherever they arrive.
	holdPartAfterCrashes = 3
	partSettleTime       = time.Second
	// holdPartAfterAnyCrashes crashes hold a part though they overlap, as they do where many such
	// requests arrive at once, partLongSettleTime after the last of them. A rack that loses power
	// looks the same, but what ran there is answered elsewhere in that time.
	holdPartAfterAnyCrashes = 5
	partLongSettleTime      = 1500 * time.Millisecond
	// widePartSettleTime takes the place of both for a part that was in several attempts at each
	// crash: it is widely shared, so that holding it in error would refuse most requests, and
	// something with it is answered by then.
	widePartSettleTime = 2500 * time.Millisecond
	// wideAttempts is the mean number of attempts at a crash, at the router that saw most of them,
	// from which a part counts as widely shared.
	wideAttempts = 1.5
	// holdPartDuration is how long a part is held after its last crash. It doubles with each crash
	// after a hold.
	holdPartDuration    = 10 * time.Minute
	maxHoldPartDuration = 2 * time.Hour
	// partTrialSpacing is the time between the ends of a hold at two routers, in the order of
	// their ranks for the part: each trial may cost an upstream, and its outcome is known
	// everywhere before the next router's turn.
	partTrialSpacing = 5 * time.Second
	// partSuspicionTTL is how long crashes that do not hold a part are remembered.
	partSuspicionTTL = time.Minute
	// maxParts bounds the parts remembered, maxCrashesPerPart the crashes remembered of one.
	maxParts          = 4000
	maxCrashesPerPart = 24
)

// PartKey identifies a prompt part at a service.
type PartKey struct {
	Service version.ID
	Part    uint64
}

func (k PartKey) compare(other PartKey) int {
	return cmp.Or(cmp.Compare(k.Service, other.Service), cmp.Compare(k.Part, other.Part))
}

// part is what is known of a part.
type part struct {
	org      version.ID
	answered time.Time // start of the latest attempt that was answered whole
	crashes  []Crash   // after answered, by time
	// attempts has how many attempts with the part one router saw at a crash, at most; own is what
	// this router saw.
	attempts, own map[version.ID]int
	told          bool // other routers have been told of a crash, or have told of one
}

// partList holds the parts with crashes. One goroutine owns it.
type partList struct {
	parts map[PartKey]*part
	held  map[PartKey]bool
	// explained has the crashes that held parts explain.
	explained map[version.ID]bool
}

func newPartList() *partList {
	return &partList{parts: map[PartKey]*part{}, held: map[PartKey]bool{}, explained: map[version.ID]bool{}}
}

// addCrash records that an upstream crashed while it ran a request with a part. It reports whether
// that changed anything.
func (l *partList) addCrash(k PartKey, org version.ID, c Crash) bool {
	p := l.parts[k]
	if p == nil {
		l.evictIfFull()
		p = newPart(org)
		l.parts[k] = p
	}
	if !p.clears(c) {
		p.own[c.Upstream]++
		p.attempts[c.Upstream] = max(p.attempts[c.Upstream], p.own[c.Upstream])
	}
	return p.addCrash(c)
}

func newPart(org version.ID) *part {
	return &part{org: org, attempts: map[version.ID]int{}, own: map[version.ID]int{}}
}

func (p *part) addCrash(c Crash) bool {
	if p.clears(c) || len(p.crashes) >= maxCrashesPerPart {
		return false
	}
	var changed bool
	p.crashes, changed = mergeCrash(p.crashes, c, maxCrashesPerPart)
	return changed
}

// isWide reports whether the part was in several attempts at each of some crashes.
func (p *part) isWide(crashes []Crash) bool {
	attempts := 0
	for _, c := range crashes {
		attempts += max(1, p.attempts[c.Upstream])
	}
	return float64(attempts) >= wideAttempts*float64(len(crashes))
}

// clears reports whether an attempt that was answered whole began after a crash.
func (p *part) clears(c Crash) bool {
	return !p.answered.IsZero() && p.answered.After(c.At.Add(-crashTolerance))
}

// answer records that an attempt that began at a time was answered whole. It reports whether that
// cleared any crash.
func (l *partList) answer(k PartKey, began time.Time) bool {
	p := l.parts[k]
	return p != nil && p.answer(began)
}

func (p *part) answer(began time.Time) bool {
	if !began.After(p.answered) {
		return false
	}
	p.answered = began
	before := len(p.crashes)
	p.crashes = slices.DeleteFunc(p.crashes, p.clears)
	if len(p.crashes) == 0 {
		clear(p.attempts)
		clear(p.own)
	}
	return len(p.crashes) < before
}

// settledAt returns when some of the part's crashes, sorted by time, hold it, or zero if they do
// not.
func (p *part) settledAt(crashes []Crash) time.Time {
	var at time.Time
	wide := p.isWide(crashes)
	earliest := func(last Crash, settle time.Duration) {
		if wide {
			settle = widePartSettleTime
		}
		if due := last.At.Add(settle); at.IsZero() || due.Before(at) {
			at = due
		}
	}
	if len(crashes) >= holdPartAfterAnyCrashes {
		earliest(crashes[holdPartAfterAnyCrashes-1], partLongSettleTime)
	}
	if list := consecutive(crashes); len(list) >= holdPartAfterCrashes {
		earliest(list[holdPartAfterCrashes-1], partSettleTime)
	}
	return at
}

// holdOf returns for how long after the last crash a part is held.
func (p *part) holdOf() time.Duration {
	hold := holdPartDuration
	for i := 1; i < len(p.crashes); i++ {
		if p.crashes[i].At.Sub(p.crashes[i-1].At) >= holdPartDuration {
			hold = min(2*hold, maxHoldPartDuration)
		}
	}
	return hold
}

// lastCrash returns the time of the last crash.
func (p *part) lastCrash() time.Time {
	if len(p.crashes) == 0 {
		return time.Time{}
	}
	return p.crashes[len(p.crashes)-1].At
}

// update finds the parts that are held now, and reports whether they have changed. Those that are
// not widely shared come first, then those with the most crashes, then those that were never
// answered. A part is held only for crashes that no part before it explains: once the guilty one is
// held, the others are answered again.
func (l *partList) update(now time.Time) bool {
	type candidate struct {
		key  PartKey
		wide bool
		part *part
	}
	var due []candidate
	for k, p := range l.parts {
		if at := p.settledAt(p.crashes); !at.IsZero() && !now.Before(at) {
			due = append(due, candidate{k, p.isWide(p.crashes), p})
		}
	}
	if len(due) == 0 && len(l.held) == 0 {
		return false
	}
	slices.SortFunc(due, func(a, b candidate) int {
		return cmp.Or(compareBool(a.wide, b.wide), cmp.Compare(len(b.part.crashes), len(a.part.crashes)),
			compareBool(!a.part.answered.IsZero(), !b.part.answered.IsZero()), a.key.compare(b.key))
	})
	held, explained := map[PartKey]bool{}, map[version.ID]bool{}
	for _, c := range due {
		if at := c.part.settledAt(unexplained(c.part.crashes, explained)); at.IsZero() || now.Before(at) {
			continue
		}
		held[c.key] = true
		for _, crash := range c.part.crashes {
			explained[crash.Upstream] = true
		}
	}
	changed := !maps.Equal(held, l.held) || !maps.Equal(explained, l.explained)
	l.held, l.explained = held, explained
	return changed
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

// unexplained returns the crashes that are not explained.
func unexplained(crashes []Crash, explained map[version.ID]bool) []Crash {
	if len(explained) == 0 {
		return crashes
	}
	var out []Crash
	for _, c := range crashes {
		if !explained[c.Upstream] {
			out = append(out, c)
		}
	}
	return out
}

// merge merges what another router knows of a part. It reports whether anything changed, and
// whether this router knows something that the other one does not.
func (l *partList) merge(w wire.PartRecord, now time.Time) (changed, ahead bool) {
	k := PartKey{w.Service, w.Part}
	p := l.parts[k]
	if p == nil {
		if len(w.Crashes) == 0 {
			return false, false
		}
		l.evictIfFull()
		p = newPart(w.Org)
		l.parts[k] = p
		changed = true
	}
	p.told = true
	if w.Answered {
		changed = p.answer(ago(now, w.AnsweredAge)) || changed
	}
	theirs := map[version.ID]bool{}
	for i, c := range w.Crashes {
		if i < len(w.Attempts) && int(w.Attempts[i]) > p.attempts[c.Upstream] {
			p.attempts[c.Upstream] = int(w.Attempts[i])
		}
		crash := Crash{Upstream: c.Upstream, Early: c.Early, Began: ago(now, c.AttemptAgeMS), At: ago(now, c.AgeMS)}
		theirs[c.Upstream] = true
		ahead = ahead || p.clears(crash)
		changed = p.addCrash(crash) || changed
	}
	return changed, ahead || len(unexplained(p.crashes, theirs)) > 0
}

// record returns the record of a part for other routers.
func (l *partList) record(k PartKey, now time.Time) (wire.PartRecord, bool) {
	p := l.parts[k]
	if p == nil {
		return wire.PartRecord{}, false
	}
	w := wire.PartRecord{Service: k.Service, Part: k.Part, Org: p.org}
	if !p.answered.IsZero() {
		w.Answered, w.AnsweredAge = true, ageMS(now, p.answered)
	}
	for _, c := range p.crashes {
		w.Crashes = append(w.Crashes, wire.Crash{Upstream: c.Upstream, Early: c.Early, AttemptAgeMS: ageMS(now, c.Began), AgeMS: ageMS(now, c.At)})
		w.Attempts = append(w.Attempts, uint8(min(max(1, p.attempts[c.Upstream]), math.MaxUint8)))
	}
	return w, true
}

// heldRecords returns the records of held parts, in the order of their keys.
func (l *partList) heldRecords(now time.Time) []wire.PartRecord {
	keys := make([]PartKey, 0, len(l.held))
	for k := range l.held {
		keys = append(keys, k)
	}
	slices.SortFunc(keys, PartKey.compare)
	var out []wire.PartRecord
	for _, k := range keys {
		if w, known := l.record(k, now); known {
			out = append(out, w)
		}
	}
	return out
}

// checksum is the same at routers that hold the same parts.
func (l *partList) checksum() uint64 {
	sum := uint64(0)
	for k := range l.held {
		sum ^= (k.Part ^ uint64(k.Service)<<32) * goldenRatio64
	}
	return sum
}

// evictIfFull removes one part when the list is full: of the organisation with the most parts that
// are not held, the one with the fewest crashes, then the oldest.
func (l *partList) evictIfFull() {
	if len(l.parts) < maxParts {
		return
	}
	count := map[version.ID]int{}
	var largest version.ID
	for k, p := range l.parts {
		if l.held[k] {
			continue
		}
		count[p.org]++
		if n := cmp.Or(cmp.Compare(count[p.org], count[largest]), cmp.Compare(p.org, largest)); n > 0 {
			largest = p.org
		}
	}
	var victim PartKey
	found := false
	for k, p := range l.parts {
		if l.held[k] || p.org != largest {
			continue
		}
		if o := l.parts[victim]; !found || cmp.Or(cmp.Compare(len(p.crashes), len(o.crashes)), p.lastCrash().Compare(o.lastCrash()), k.compare(victim)) < 0 {
			victim, found = k, true
		}
	}
	delete(l.parts, victim)
}

// expire removes parts whose crashes are old. A held part is remembered for as long again as its
// hold lasts, so that a crash after the trial holds it at once.
//
// It reports whether any was removed.
func (l *partList) expire(now time.Time) (removed bool) {
	for k, p := range l.parts {
		ttl := partSuspicionTTL
		if !p.settledAt(p.crashes).IsZero() {
			ttl = 2 * p.holdOf()
		}
		if now.Sub(p.lastCrash()) >= ttl && now.Sub(p.answered) >= partSuspicionTTL {
			delete(l.parts, k)
			removed = true
		}
	}
	return removed
}

// PartState is what is known of a held part.
type PartState struct {
	Crashes int
	Until   time.Time // end of the hold at the first router of the part's ranking
}

// Held returns how much longer the part is held at a router of a rank, 0 when it is not.
func (s PartState) Held(now time.Time) time.Duration { return max(0, s.Until.Sub(now)) }

// PartView is an immutable copy of the held parts, by service and part. A service with parts that
// have crashes, though none is held, has an empty map.
type PartView map[version.ID]map[uint64]PartState

// view returns a copy of the list. rank is this router's rank for a part.
func (l *partList) view(rank func(PartKey) int) PartView {
	out := PartView{}
	for k, p := range l.parts {
		if out[k.Service] == nil {
			out[k.Service] = map[uint64]PartState{}
		}
		if l.held[k] {
			until := p.lastCrash().Add(p.holdOf() + time.Duration(rank(k))*partTrialSpacing)
			out[k.Service][k.Part] = PartState{Crashes: len(p.crashes), Until: until}
		}
	}
	return out
}
