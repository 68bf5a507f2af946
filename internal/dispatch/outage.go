package dispatch

import (
	"slices"
	"time"

	"github.com/silverswitch/silverswitch/internal/core/wire"
	"github.com/silverswitch/silverswitch/internal/routing"
)

// A router that could not read the store for a while cannot tell whether the store was away or
// only its own link. In the first case entries may have expired although their upstreams live; in
// the second the missing ones have ended. One rule decides for every router and every way by which
// it hears of an outage: the store was away unless some router read it without a gap from before
// the outage until after it.
//
// Load pattern: single routers lose their link to the store and reach it again, while upstreams
// leave.

const (
	// minProofLead is how long before the end of an outage the readings that disprove it must have
	// begun. Otherwise a reader that was the first to reach the store again would disprove the
	// outage that another reports a moment later.
	minProofLead = 400 * time.Millisecond
	// minPresumedOutage is how long no reading of the store must have been known for a router that
	// has just begun to read it to presume an outage.
	minPresumedOutage = 600 * time.Millisecond
	// maxUncheckedReading is the age up to which a reader's own readings make it worth to check at
	// once whether they go on: one watch without changes.
	maxUncheckedReading = storeReadInterval + 200*time.Millisecond
	// storeCheckPause is the least time between two such checks.
	storeCheckPause = 300 * time.Millisecond
	// maxReadingSkew is how much later a peer's reading may seem than it was: the time that its
	// datagram took.
	maxReadingSkew = 50 * time.Millisecond
	// outageMemory is how long readings and outages are remembered: longer than an outage is
	// announced.
	outageMemory = 10 * time.Second
	// maxPastSpans bounds the remembered spans of readings that have ended.
	maxPastSpans = 64
)

// span is a period in which a router read the store without a gap.
type span struct{ from, to time.Time }

// outage is a period in which the store did not answer a router.
type outage struct{ from, to time.Time }

// disproves reports whether the store was read all through an outage.
func (s span) disproves(o outage) bool {
	from := o.to.Add(-minProofLead)
	if o.from.Before(from) {
		from = o.from
	}
	return !s.from.After(from) && !s.to.Before(o.to)
}

// outages is what a router knows of the outages of the store.
type outages struct {
	spans    map[wire.NodeID]span // latest of each reader
	past     []span               // earlier ones
	believed []outage             // that nothing has disproved, oldest first
}

func newOutages() outages { return outages{spans: map[wire.NodeID]span{}} }

// isDisproved reports whether some router read the store all through an outage.
func (o *outages) isDisproved(out outage) bool {
	for _, s := range o.spans {
		if s.disproves(out) {
			return true
		}
	}
	return slices.ContainsFunc(o.past, func(s span) bool { return s.disproves(out) })
}

// read records the span of a reader's latest reading. It returns the outages that it disproves.
func (o *outages) read(reader wire.NodeID, s span) (disproved []outage) {
	if last, known := o.spans[reader]; known && s.from.After(last.to) {
		o.past = append(o.past, last)
	}
	o.spans[reader] = s
	o.forget(s.to)
	o.believed = slices.DeleteFunc(o.believed, func(b outage) bool {
		if s.disproves(b) {
			disproved = append(disproved, b)
			return true
		}
		return false
	})
	return disproved
}

// forget removes what is older than outageMemory.
func (o *outages) forget(now time.Time) {
	o.past = slices.DeleteFunc(o.past, func(s span) bool { return now.Sub(s.to) > outageMemory })
	if n := len(o.past); n > maxPastSpans {
		o.past = slices.Delete(o.past, 0, n-maxPastSpans)
	}
	for reader, s := range o.spans {
		if now.Sub(s.to) > outageMemory {
			delete(o.spans, reader)
		}
	}
	o.believed = slices.DeleteFunc(o.believed, func(b outage) bool { return now.Sub(b.to) > outageMemory })
}

// experienced records an outage of this router's own readings. It reports whether it is believed.
func (o *outages) experienced(out outage) bool {
	if o.isDisproved(out) {
		return false
	}
	o.believed = append(o.believed, out)
	return true
}

// reported records an outage that another router announces. It reports whether it is believed and
// new: each router that watched the store reports the end of the same outage at its own time.
func (o *outages) reported(out outage) bool {
	for _, b := range o.believed {
		if out.to.Sub(b.to) <= routing.LapseGrace {
			return false
		}
	}
	return o.experienced(out)
}

// latest returns the outage that ended last, if any is believed.
func (o *outages) latest() (out outage, known bool) {
	for _, b := range o.believed {
		if b.to.After(out.to) {
			out, known = b, true
		}
	}
	return out, known
}

// LapseGraceUntil returns until when entries that are missing in the store may belong to live
// upstreams, zero for no such time.
func (n *Node) LapseGraceUntil() time.Time {
	if out, known := n.store.outages.latest(); known {
		return out.to.Add(routing.LapseGrace)
	}
	return time.Time{}
}

// StoreWasRead reports whether the store is known to have been read at a time and before it, so
// that it had not just returned from an outage.
func (n *Node) StoreWasRead(at time.Time) bool {
	return n.store.outages.isDisproved(outage{at, at})
}

// ReadStore records a reading of the store by this router, before its changes are applied. Steady
// is for how long the store has been read without a gap, and away for how long it did not answer
// before, 0 if it did. If restored, it came back from a copy, in which entries may be missing too.
func (n *Node) ReadStore(steady, away time.Duration, restored bool, now time.Time) {
	o := &n.store.outages
	if steady == 0 && n.presumesOutage(now) {
		away = max(away, now.Sub(n.store.at))
	}
	disproved := o.read(n.settings.ID, span{now.Add(-steady), now})
	n.reportDisproved(n.settings.ID, disproved, now)
	n.store.noticeDue = n.store.noticeDue || len(disproved) > 0
	if (away > 0 || restored) && o.experienced(outage{now.Add(-away), now}) {
		n.store.noticeDue = true
	}
}

// presumesOutage reports whether the store may have been away until this router, which did not read
// it before, has just read it: others could not, and no reading is known since.
func (n *Node) presumesOutage(now time.Time) bool {
	s := &n.store
	if s.at.IsZero() || now.Sub(s.at) < minPresumedOutage {
		return false
	}
	if s.failedAt.After(s.at) {
		return true
	}
	for id, at := range s.unreachable {
		if at.After(s.at) && n.isStoreUnreachable(id, now) {
			return true
		}
	}
	return false
}

// handleOutage handles an outage of the store that a peer believes in. The reading that it comes
// with may be known, or this router's own.
func (n *Node) handleOutage(from wire.NodeID, t *wire.StoreReading, said wire.ReadingSpan, now time.Time) {
	to := now.Add(-time.Duration(t.RecoveredMS-1) * time.Millisecond)
	out := outage{to.Add(-time.Duration(said.AwayMS) * time.Millisecond), to}
	if n.store.outages.reported(out) {
		n.event(Event{Name: "source-back-at-peer", Router: from, Value: uint64(now.Sub(to).Milliseconds())})
		n.askReaders(out, now)
	}
	n.answerOutage(out, now)
}

// askReaders tells of an outage the routers that may have read the store all the while: the router
// that reported it may not know them yet. In a large fleet the relays do so.
func (n *Node) askReaders(out outage, now time.Time) {
	if n.isLarge() && !n.isRelay(now) {
		return
	}
	var readers []wire.NodeID
	for id, s := range n.store.outages.spans {
		if s.disproves(outage{out.from, s.to}) && now.Sub(s.to) <= maxReadingAge(len(n.members.Live(false))) {
			readers = append(readers, id)
		}
	}
	slices.Sort(readers)
	n.sendReading(readers, now)
}

// answerOutage makes a router that has read the store up to now, from before the outage on, read
// it once more, and tell others of that at once rather than with its next heartbeat.
func (n *Node) answerOutage(out outage, now time.Time) {
	s := &n.store
	own := s.outages.spans[n.settings.ID]
	if now.Sub(own.to) > maxUncheckedReading || s.isUnreachable(now) || !own.disproves(outage{out.from, own.to}) || now.Sub(s.checkedAt) < storeCheckPause {
		return
	}
	s.checkedAt, s.noticeDue = now, true
	n.out = append(n.out, CheckStore{})
}

// peerSpan returns the span of a peer's reading that was received at a time, at the latest.
func peerSpan(at time.Time, steady time.Duration) span {
	return span{at.Add(-steady), at.Add(-min(steady, maxReadingSkew))}
}

func (n *Node) sendReading(to []wire.NodeID, now time.Time) {
	for _, id := range to {
		if id != n.settings.ID {
			w := n.work(id)
			w.Reading, w.ReadingSpan = n.store.current(now), n.store.readingSpan()
		}
	}
}

// reportDisproved reports outages that a reader's readings disprove.
func (n *Node) reportDisproved(reader wire.NodeID, list []outage, now time.Time) {
	for _, out := range list {
		n.event(Event{Name: "source-was-read-meanwhile", Router: reader, Value: uint64(now.Sub(out.to).Milliseconds())})
	}
}

// readingSpan returns what is announced with the latest reading.
func (s *storeReadings) readingSpan() *wire.ReadingSpan {
	if s.at.IsZero() {
		return nil
	}
	out := &wire.ReadingSpan{SteadyMS: s.latestSteadyMS}
	if b, known := s.outages.latest(); known {
		out.AwayMS = uint32(b.to.Sub(b.from).Milliseconds())
	}
	return out
}

// readingSpanOf returns what a peer's reading says of the time before it: nothing, if the peer
// does not state it.
func readingSpanOf(w *wire.Dispatch) wire.ReadingSpan {
	if w.ReadingSpan == nil {
		return wire.ReadingSpan{}
	}
	return *w.ReadingSpan
}
