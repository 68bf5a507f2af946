package dispatch

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/silverswitch/silverswitch/internal/core/wire"
	"github.com/silverswitch/silverswitch/internal/routing"
	"github.com/silverswitch/silverswitch/internal/version"
)

// Which software versions a service had, and when. A stream whose version nobody has recorded goes
// on only if this history proves at which version it began.
//
// New streams that may be resumed begin at the version of their home: of all instances that are
// listed as ready and are not cold, the one with the highest hash of stream and instance. Whoever
// knows the lists of the time in which a stream may have begun knows its version, without a record
// that could be lost. The times of a list's changes are known within bounds only, since routers
// learn of a change at different times, and the store's history tells the order of changes and no
// times.
//
// Load pattern: a release, and all routers lose power while callers hold unfinished streams.

const (
	// versionMemory is how long a version that is no longer listed counts: longer than callers
	// keep unfinished streams.
	versionMemory = time.Minute
	// listDelay is how late a router that reaches the store or its peers may learn of a change of
	// the list, in which it follows an older one.
	listDelay = 3 * time.Second
	// defaultStreamLife is the least value of the longest age of an unfinished stream, and
	// maxStreamLife the largest one.
	defaultStreamLife = 15 * time.Second
	maxStreamLife     = 5 * time.Minute
)

// versionSpan is the time in which an instance was listed as ready. A zero mayFrom or from means
// that it has been listed since the history begins; a zero mayUntil means that it still is.
type versionSpan struct {
	instance version.ID // hash of the instance's ID: a restart under the same ID keeps its rank
	version  version.ID
	unknown  bool   // the version is not known
	cold     bool   // it is cold, and so no home of streams: it takes few requests
	revision uint64 // of the instance's entry when the span began here, 0 if unknown
	once     bool   // the instance does not start again under its ID

	mayFrom, from   time.Time // it was not listed before mayFrom, and has been since from
	until, mayUntil time.Time // it was listed until then, and not any more after mayUntil
}

func (s *versionSpan) open() bool { return s.mayUntil.IsZero() }

// versionHistory is the history of a service's versions. The zero value knows nothing.
type versionHistory struct {
	begun  bool
	whole  bool      // known since the service exists
	known  time.Time // from then on the spans are complete
	spans  []*versionSpan
	listed map[version.ID]*versionSpan // by upstream: those that are listed as ready
	memory time.Duration               // how long versions that are no longer listed count, 0 for versionMemory
	asOf   uint64                      // revision of the first list
	// knownBefore is what known was before the store's history was taken into account, here or at
	// the router that told it; zero if it was not.
	knownBefore time.Time

	warmAt     time.Time // when a listed instance that is cold ceases to be so, zero if none is
	mixedNow   bool      // instances of several versions are listed
	mixedUntil time.Time // until then streams of several versions may be unfinished

	outages     []versionOutage
	outageTells int // how often they are still to be told to those that keep the records

	outagesToldAt time.Time // when they were last told to all routers
	outagesUntold bool      // they have changed since
}

// update takes the current list into account. earliest is when the list was last known to be
// current. It reports whether the service has begun to have more than one version.
func (h *versionHistory) update(list []*upstream, earliest, now time.Time) (began bool) {
	was := h.mixedNow
	first := !h.begun
	if first {
		h.begin(list, now)
	}
	h.warmAt = time.Time{}
	ready := make(map[version.ID]bool, len(list))
	for _, u := range list {
		if u.inst.Draining || u.evacuated {
			continue
		}
		ready[u.id] = true
		cold := u.inst.ColdUntil.After(now)
		if cold && (h.warmAt.IsZero() || u.inst.ColdUntil.Before(h.warmAt)) {
			h.warmAt = u.inst.ColdUntil
		}
		s := h.listed[u.id]
		if s != nil && s.version == u.version && s.cold == cold {
			continue
		}
		if s != nil {
			s.close(earliest, now)
		}
		s = spanOf(u, now)
		s.cold = cold
		if !first {
			s.mayFrom, s.from = earliest, now.Add(listDelay)
		}
		h.listed[u.id] = s
		h.spans = append(h.spans, s)
	}
	for id, s := range h.listed {
		if !ready[id] {
			s.close(earliest, now)
			delete(h.listed, id)
		}
	}
	h.refresh(now)
	return h.mixedNow && !was
}

// begin begins the history with a first list. Since when places are evacuated is not known.
func (h *versionHistory) begin(list []*upstream, now time.Time) {
	h.begun, h.known, h.listed = true, now, map[version.ID]*versionSpan{}
	for _, u := range list {
		h.asOf = max(h.asOf, u.inst.Revision)
		if u.evacuated && !u.inst.Draining {
			s := spanOf(u, now)
			s.close(now, now)
			h.spans = append(h.spans, s)
		}
	}
}

// spanOf returns the span of an upstream that is listed since a time.
func spanOf(u *upstream, from time.Time) *versionSpan {
	return &versionSpan{instance: version.IDOf(u.inst.ID), version: u.version, revision: u.inst.Revision, once: u.inst.Born == 0, from: from}
}

// close records that the instance has left the list at some time since earliest, as seen here.
func (s *versionSpan) close(earliest, now time.Time) {
	s.until, s.mayUntil = earliest, now.Add(listDelay)
}

// refresh drops spans that ended long ago, and determines until when several versions count.
func (h *versionHistory) refresh(now time.Time) {
	h.spans = slices.DeleteFunc(h.spans, func(s *versionSpan) bool {
		old := !s.open() && now.Sub(s.mayUntil) > h.remembers()-listDelay
		if old {
			h.known, h.whole = later(h.known, s.mayUntil), false
		}
		return old
	})
	h.dropOutages(now)
	ends := map[versionKey]time.Time{} // when a version was last listed
	for _, s := range h.spans {
		end := s.mayUntil
		if s.open() {
			end = farFuture
		}
		if key := s.key(); end.After(ends[key]) {
			ends[key] = end
		}
	}
	var last, secondLast time.Time
	for _, end := range ends {
		if end.After(last) {
			last, secondLast = end, last
		} else if end.After(secondLast) {
			secondLast = end
		}
	}
	h.mixedNow = secondLast.Equal(farFuture)
	h.mixedUntil = time.Time{}
	if !secondLast.IsZero() {
		h.mixedUntil = secondLast.Add(h.remembers() - listDelay)
	}
}

// remembers returns how long a version counts after it has left the list.
func (h *versionHistory) remembers() time.Duration { return max(versionMemory, h.memory) }

// farFuture is after every time that a router meets.
var farFuture = time.Unix(1<<40, 0)

// versionKey is a version, or an unknown one.
type versionKey struct {
	id      version.ID
	unknown bool
}

func (s *versionSpan) key() versionKey {
	if s.unknown {
		return versionKey{unknown: true}
	}
	return versionKey{id: s.version}
}

// mayMix reports whether streams of several versions may be unfinished: the service has, or has
// had lately, more than one version, or it is not known whether it had. life is the longest age
// of an unfinished stream.
func (h *versionHistory) mayMix(life time.Duration, now time.Time) bool {
	return now.Before(h.mixedUntil) || !h.reaches(now.Add(-life))
}

// reaches reports whether the history is complete from a time on.
func (h *versionHistory) reaches(t time.Time) bool {
	return h.begun && (h.whole || !h.known.After(t))
}

// home returns the version at which a stream begins now, false if there is no choice.
func (h *versionHistory) home(stream uint64) (version.ID, bool) {
	return h.homeAmong(stream, nil)
}

// homeAmong is home among the instances of some versions, nil for all.
func (h *versionHistory) homeAmong(stream uint64, takes func(version.ID) bool) (version.ID, bool) {
	if !h.mixedNow {
		return 0, false
	}
	var best *versionSpan
	var bestRank uint64
	for _, s := range h.spans {
		if !s.open() || s.cold || takes != nil && !takes(s.version) {
			continue
		}
		if r := homeRank(stream, s.instance); best == nil || r > bestRank {
			best, bestRank = s, r
		}
	}
	if best == nil {
		return 0, false
	}
	return best.version, true
}

// isYoung reports whether no instance of a version was listed before a duration ago. Entries that
// lapsed and came back, and places that were evacuated, make no version young.
func (h *versionHistory) isYoung(v version.ID, d time.Duration, now time.Time) bool {
	for _, s := range h.spans {
		if s.version == v && (s.mayFrom.IsZero() || now.Sub(s.mayFrom) >= d) {
			return false
		}
	}
	return true
}

// knows reports whether an instance of a version is listed, or was lately.
func (h *versionHistory) knows(v version.ID) bool {
	return slices.ContainsFunc(h.spans, func(s *versionSpan) bool { return s.version == v })
}

// homeRank is the rank of an instance as the home of a stream (splitmix64).
func homeRank(stream uint64, instance version.ID) uint64 {
	z := stream ^ uint64(instance)*0x9e3779b97f4a7c15
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return z ^ z>>31
}

// proof is what the history of versions proves of a stream.
type proof struct {
	version version.ID
	certain bool
	single  bool // all instances ran the version, so it does not matter which one was the stream's home
}

// versionOf returns the version at which a stream that is at most life old began, if that is certain.
func (h *versionHistory) versionOf(stream uint64, known bool, life time.Duration, now time.Time) (version.ID, bool) {
	p := h.prove(stream, known, life, now)
	return p.version, p.certain
}

// prove returns what the history proves of a stream that is at most life old. Its version is certain if
// every instance that may have been its home runs it, or, if it is not known which stream it is, every
// one that was listed.
func (h *versionHistory) prove(stream uint64, known bool, life time.Duration, now time.Time) proof {
	from := now.Add(-life)
	if !h.reaches(from) {
		return proof{}
	}
	var list []rankedSpan
	alike := true
	for _, s := range h.spans {
		if s.mayEnd().Before(from) {
			continue
		}
		list = append(list, rankedSpan{s, homeRank(stream, s.instance)})
		alike = alike && s.key() == list[0].key()
	}
	if len(list) == 0 {
		return proof{}
	}
	if alike || !known {
		return proof{list[0].version, alike && !list[0].unknown, alike}
	}
	slices.SortFunc(list, func(a, b rankedSpan) int { return cmp.Compare(b.rank, a.rank) })
	v, certain := h.firstHomes(list, timeRange{from, now})
	return proof{version: v, certain: certain}
}

// rankedSpan is a span with its instance's rank as the home of a stream.
type rankedSpan struct {
	*versionSpan
	rank uint64
}

// firstHomes returns the version of all instances that may have been the home of a stream at some
// time in a range, false if they have several or one is unknown. The list is in order of rank.
func (h *versionHistory) firstHomes(list []rankedSpan, in timeRange) (version.ID, bool) {
	open := []timeRange{in} // in which no instance of a higher rank was certainly listed
	var found *versionSpan
	for _, s := range list {
		if s.cold || !slices.ContainsFunc(open, func(r timeRange) bool { return r.meets(s.mayFrom, s.mayEnd()) }) {
			continue
		}
		if s.unknown || found != nil && found.version != s.version {
			return 0, false
		}
		found = s.versionSpan
		for _, r := range h.cover(s.versionSpan) {
			open = without(open, r.from, r.to)
		}
		if len(open) == 0 {
			return found.version, true
		}
	}
	return 0, false
}

// timeRange is a range of time with both ends.
type timeRange struct{ from, to time.Time }

func (r timeRange) meets(from, to time.Time) bool { return !to.Before(r.from) && !from.After(r.to) }

// without returns what is left of ranges without another one.
func without(list []timeRange, from, to time.Time) (out []timeRange) {
	for _, r := range list {
		if !r.meets(from, to) || to.Before(from) {
			out = append(out, r)
			continue
		}
		if r.from.Before(from) {
			out = append(out, timeRange{r.from, from})
		}
		if to.Before(r.to) {
			out = append(out, timeRange{to, r.to})
		}
	}
	return out
}

// mayEnd returns when the instance had certainly left the list.
func (s *versionSpan) mayEnd() time.Time {
	if s.open() {
		return farFuture
	}
	return s.mayUntil
}

// end returns until when the instance was certainly listed.
func (s *versionSpan) end() time.Time {
	if s.open() {
		return farFuture
	}
	return s.until
}

// StoreHistory is what the store's history tells of the time before this router's listing. It has
// the order of changes, but no times.
type StoreHistory struct {
	AsOf    uint64        // revision of the listing
	Reach   time.Duration // how far back it is complete, 0 if the store has no history
	Whole   bool          // it has all changes since the store is in use
	Changes int           // number of changes
	Past    []PastInstance

	Oldest  uint64             // the store has changes after this revision, and none before; 0 if unknown
	ReadAt  time.Time          // when that was so, by this VM's clock
	Listed  []routing.Instance // of the listing; nil if unknown
	Lagging *LaggingList       // nil if unknown
}

// LaggingList is a list that was current some seconds ago.
type LaggingList struct {
	AsOf      uint64
	Instances []routing.Instance
}

func (StoreHistory) input() {}

// PastInstance is an instance that came to the list of ready instances or left it within the
// history, at one version. Changes are numbered from 1.
type PastInstance struct {
	ID      string
	Service string // "" if unknown
	Version string
	Unknown bool // only its removal is known: it may have had any version, and any service
	Maybe   bool // where From is 0: it is not certain that it was listed
	From    int  // change with which it came, 0 if it was listed when the history begins
	Until   int  // change with which it left, 0 if it is listed now
}

// applyStoreHistory takes into account what the store's history tells of a service. Streams of
// before may have begun at any time of it, so its changes are put together at the end of that time.
func (h *versionHistory) applyStoreHistory(in StoreHistory, service string, now time.Time) (applied bool) {
	begin := now.Add(-in.Reach)
	if !h.begun || in.Reach <= 0 && !in.Whole || h.reaches(begin) {
		return false
	}
	if !in.Whole && !h.restsOnStore(now) {
		h.knownBefore = h.known
	}
	h.known, h.whole = begin, h.whole || in.Whole
	at := func(change int) time.Time { return now.Add(time.Duration(change-in.Changes) * time.Microsecond) }
	past := slices.DeleteFunc(slices.Clone(in.Past), func(c PastInstance) bool { return c.Service != service && !c.Unknown })
	if in.Whole {
		past = withoutBuildUp(past, len(h.listed))
	}
	changed := map[version.ID]bool{}
	for _, c := range past {
		changed[version.IDOf(c.ID)] = true
	}
	h.extend(in.AsOf, changed)
	for _, c := range past {
		s := &versionSpan{instance: version.IDOf(c.ID), version: version.IDOf(c.Version), unknown: c.Unknown}
		if own := h.lifetimeOf(s.instance); c.Unknown && own != nil { // its entry lapsed and is back
			s.unknown, s.version = false, own.version
		}
		if c.From > 0 {
			s.mayFrom, s.from = at(c.From), at(c.From).Add(listDelay)
		}
		if c.Until > 0 {
			s.until, s.mayUntil = at(c.Until), at(c.Until).Add(listDelay)
		}
		if c.Maybe {
			s.from = later(s.until, now)
		}
		h.inherit(s)
	}
	h.refresh(now)
	return true
}

// restsOnStore reports whether streams of now may be unknown without the store's history.
func (h *versionHistory) restsOnStore(now time.Time) bool {
	return !h.knownBefore.IsZero() && now.Sub(h.knownBefore) < h.remembers()
}

// withdrawStoreHistory makes the history known no further back than without the store's.
func (h *versionHistory) withdrawStoreHistory() {
	h.known, h.knownBefore = later(h.known, h.knownBefore), time.Time{}
}

// lifetimeOf returns the span of an instance that is listed and does not start again under its ID, or
// nil.
func (h *versionHistory) lifetimeOf(instance version.ID) *versionSpan {
	for _, s := range h.listed {
		if s.instance == instance && s.once {
			return s
		}
	}
	return nil
}

// withoutBuildUp returns the instances of a whole history as of the change from which on half of the
// present number were listed. While a service is built up its callers have not come yet.
func withoutBuildUp(past []PastInstance, present int) (out []PastInstance) {
	builtUp := builtUpBy(past, present)
	if slices.ContainsFunc(past, func(c PastInstance) bool { return c.Until > 0 && c.Until <= builtUp }) {
		return past // what left may have served callers
	}
	for _, c := range past {
		if c.From <= builtUp {
			c.From = 0
		}
		if c.Until == 0 || c.Until > builtUp {
			out = append(out, c)
		}
	}
	return out
}

// builtUpBy returns the change with which half of the present instances had come. A version whose first
// instance came when half of those of the versions before it were there is a release, and the service
// was built up with that half.
func builtUpBy(past []PastInstance, present int) int {
	all := slices.SortedFunc(slices.Values(past), func(a, b PastInstance) int { return cmp.Compare(a.From, b.From) })
	if len(all) == 0 {
		return 0
	}
	builtUp := all[min(present/2, len(all)-1)].From
	seen := map[string]bool{}
	for _, c := range all {
		if seen[c.Version] {
			continue
		}
		if half, ok := halfOf(all, seen); ok && half < c.From {
			builtUp = min(builtUp, half)
		}
		seen[c.Version] = true
	}
	return builtUp
}

// halfOf returns the change with which half of the instances of some versions had come, false if there
// are none. The list is in the order of the changes.
func halfOf(all []PastInstance, versions map[string]bool) (change int, ok bool) {
	of := slices.DeleteFunc(slices.Clone(all), func(c PastInstance) bool { return !versions[c.Version] })
	if len(of) == 0 {
		return 0, false
	}
	return of[(len(of)-1)/2].From, true
}

// extend takes instances that have not changed for listed since a history begins that tells of all
// changes up to a revision.
func (h *versionHistory) extend(asOf uint64, changed map[version.ID]bool) {
	for _, s := range h.spans {
		if s.open() && s.mayFrom.IsZero() && s.revision <= asOf && !changed[s.instance] {
			s.from = time.Time{}
		}
	}
}

// inherit takes a span of another router or the store into account.
func (h *versionHistory) inherit(s *versionSpan) {
	if !s.open() {
		h.add(s)
		return
	}
	own := h.listedAs(s)
	if own == nil { // this router knows already that it has left, or that it is cold
		return
	}
	if own.mayFrom.IsZero() {
		own.mayFrom = s.mayFrom
	}
	own.from = earlier(own.from, s.from)
}

// add adds a span that has ended, unless this router has seen it itself.
func (h *versionHistory) add(s *versionSpan) {
	if !slices.ContainsFunc(h.spans, func(own *versionSpan) bool {
		return own.instance == s.instance && own.key() == s.key() && own.cold == s.cold && !own.open() && timeRange{own.mayFrom, own.mayUntil}.meets(s.mayFrom, s.mayUntil)
	}) {
		h.spans = append(h.spans, s)
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// message returns the history for another router. If it is long, instances that have been listed for
// long are left out: their list is the receiver's, up to a revision.
func (h *versionHistory) message(service version.ID, asOf uint64, now time.Time) wire.VersionHistory {
	out := wire.VersionHistory{Service: service, AsOf: asOf, KnownMS: offsetMS(h.known, now), Full: len(h.spans) <= maxVersionSpans}
	if h.whole {
		out.KnownMS = wire.SinceEver
	}
	for _, s := range h.spans {
		if !out.Full && s.open() && (s.mayFrom.IsZero() && s.from.IsZero() || now.Sub(s.from) > h.remembers()) {
			continue
		}
		w := wire.VersionSpan{Instance: s.instance, Version: s.version, Unknown: s.unknown, Cold: s.cold, MayFromMS: offsetMS(s.mayFrom, now), FromMS: offsetMS(s.from, now),
			UntilMS: wire.NotYet, MayUntilMS: wire.NotYet}
		if !s.open() {
			w.UntilMS, w.MayUntilMS = offsetMS(s.until, now), offsetMS(s.mayUntil, now)
		}
		out.Spans = append(out.Spans, w)
	}
	if len(out.Spans) > maxVersionSpans {
		out.Spans, out.KnownMS = nil, 0
	}
	return out
}

// maxVersionSpans bounds the spans in one datagram, of up to 50 bytes each.
const maxVersionSpans = 700

// offsetMS returns a time relative to now, in milliseconds.
func offsetMS(t, now time.Time) int32 {
	if t.IsZero() {
		return wire.SinceEver
	}
	return int32(min(max(t.Sub(now).Milliseconds(), wire.SinceEver+1), wire.NotYet-1))
}

// timeAt is the opposite of offsetMS.
func timeAt(ms int32, now time.Time) time.Time {
	if ms == wire.SinceEver {
		return time.Time{}
	}
	return now.Add(time.Duration(ms) * time.Millisecond)
}

// applyMessage takes another router's history into account, which was received at a time, and may rest
// on the store's.
func (h *versionHistory) applyMessage(m wire.VersionHistory, fromStore bool, at, now time.Time) {
	known, whole := timeAt(m.KnownMS, at), m.KnownMS == wire.SinceEver
	if !h.begun || !m.Full && m.AsOf < h.asOf {
		return
	}
	if !fromStore && (whole || known.Before(h.knownBefore)) {
		h.knownBefore = known // what this router had from the store others know themselves
	}
	if !whole && h.reaches(known) {
		h.addEnded(m, at)
		h.refresh(now)
		return
	}
	if fromStore && !h.restsOnStore(now) {
		h.knownBefore = h.known
	}
	h.known, h.whole = known, h.whole || whole
	changed := map[version.ID]bool{}
	for _, w := range m.Spans {
		changed[w.Instance] = true
	}
	h.extend(m.AsOf, changed)
	for _, w := range m.Spans {
		s := receivedSpan(w, at)
		if s.open() && h.listedAs(s) == nil {
			s.until, s.mayUntil = at.Add(-listDelay), at.Add(listDelay)
		}
		h.inherit(s)
	}
	h.refresh(now)
}

// addEnded adds what another router knows of instances that have left the list.
func (h *versionHistory) addEnded(m wire.VersionHistory, at time.Time) {
	for _, w := range m.Spans {
		if w.UntilMS != wire.NotYet {
			h.add(receivedSpan(w, at))
		}
	}
}

// receivedSpan returns the span that another router sent, which was received at a time.
func receivedSpan(w wire.VersionSpan, at time.Time) *versionSpan {
	s := &versionSpan{instance: w.Instance, version: w.Version, unknown: w.Unknown, cold: w.Cold, mayFrom: timeAt(w.MayFromMS, at), from: timeAt(w.FromMS, at)}
	if w.UntilMS != wire.NotYet {
		s.until, s.mayUntil = earlier(timeAt(w.UntilMS, at), at), earlier(timeAt(w.MayUntilMS, at), at.Add(listDelay))
	}
	return s
}

// listedAs returns the span of the same instance and version that is listed now, or nil.
func (h *versionHistory) listedAs(s *versionSpan) *versionSpan {
	for _, own := range h.listed {
		if own.instance == s.instance && own.version == s.version && own.cold == s.cold {
			return own
		}
	}
	return nil
}

// String describes the history for the log.
func (h *versionHistory) String() string {
	open := 0
	for _, s := range h.spans {
		if s.open() {
			open++
		}
	}
	return fmt.Sprintf("%d instances listed and %d that have left, several versions: %t", open, len(h.spans)-open, !h.mixedUntil.IsZero())
}
