package dispatch

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/silverswitch/silverswitch/internal/core/wire"
	"github.com/silverswitch/silverswitch/internal/dispatch/confirm"
	"github.com/silverswitch/silverswitch/internal/version"
)

// Conclusions from absence. A stream that nobody has recorded goes on by the history of versions, and
// that rests on what this router has not heard of: another version, a record, a time in which streams
// began elsewhere than at their homes. A router that was cut off or suspended has not heard of them
// either. So each such conclusion is confirmed by questions that are asked once it is needed:
//
//   - the list of upstreams, by a reading of the store, here or at another router, or in a small fleet if
//     every router that there may be answers and none knows a newer list;
//   - records and times elsewhere, where several versions count, by answers of more than half of those
//     that keep them. A router begins streams elsewhere only while more than half of them know that
//     (mayLeaveHome), so the two halves have a router in common.
//
// Knowledge that is not confirmed in time proves nothing, and the stream is refused as unknown. New
// streams are not held up, but for the first ones that leave their home.
//
// Load pattern: a release, and a router that stands still or is cut off for some seconds while upstreams
// of a new version join.

// readingPace and queryPace are how often the store is read, and those that keep records are asked. They
// bound what callers that all come back at once cost.
var (
	readingPace = confirm.Pace{Next: 25 * time.Millisecond, Again: 100 * time.Millisecond}
	queryPace   = confirm.Pace{Next: 25 * time.Millisecond, Again: 2 * minPlacementRetryDelay}
)

const (
	// readingPatience is how long a reading of the store may take before others are asked for one.
	readingPatience = 6 * TickInterval
	// maxConfirmWait is how long a stream waits until it is confirmed.
	maxConfirmWait = 700 * time.Millisecond
	// maxReadersAsked is how many routers are asked to read the store.
	maxReadersAsked = 3
	// confirmationTTL is how long a confirmation, or the wait for one, is kept.
	confirmationTTL = 2 * time.Second
	// confirmingRetryAfter tells a router that its request waits for a confirmation here.
	confirmingRetryAfter = 200 * time.Millisecond
	// unconfirmedRetryAfter is the Retry-After time of a stream that this router cannot confirm. Another
	// router can.
	unconfirmedRetryAfter = 400 * time.Millisecond
)

// ConfirmStore asks the driver for a reading of the store that begins now. What it finds is stepped
// before StoreConfirmed; a reading that fails is not reported.
type ConfirmStore struct{ No uint64 }

// StoreConfirmed reports that a reading of the store, asked for by ConfirmStore, has ended: all changes
// up to a revision are known.
type StoreConfirmed struct {
	No   uint64
	AsOf uint64
}

func (ConfirmStore) output()  {}
func (StoreConfirmed) input() {}

// confirmation is what this router has confirmed, but for services' records.
type confirmation struct {
	list    confirm.Questions[wire.NodeID]
	wanted  need                 // of the list
	seenBy  []peerReading        // readings of others, whose content is not known here yet
	helps   []readingHelp        // readings that others have asked for
	asked   map[runKey]time.Time // when other routers first asked to go on with a stream, or to begin elsewhere
	awayAt  time.Time            // since when inputs may have waited, zero if they have been confirmed since
	missed  time.Time            // when a list that was read had not been current for long
	pruneAt time.Time            // when what has expired is dropped next
}

// peerReading is a reading of the store by another router.
type peerReading struct {
	askedAt time.Time
	asOf    uint64
}

// readingHelp is a question of another router that awaits a reading of the store here.
type readingHelp struct {
	to         wire.NodeID
	no         uint64
	service    version.ID
	receivedAt time.Time
}

// need is as of when something has to be confirmed, and until when.
type need struct{ at, until time.Time }

// add takes another need into account.
func (w *need) add(at, now time.Time) {
	w.at, w.until = later(w.at, at), now.Add(2*versionsWaitStep)
}

// isKnown is the one place that decides whether knowledge is current enough to conclude that a stream
// began where the history of versions says. at is when the attempt to go on with it arrived here. If it
// is not, the questions that would confirm it are asked; waits reports that they may be answered soon.
func (n *Node) isKnown(p *pool, stream uint64, proven proof, at, now time.Time) (known, waits bool) {
	needsRecords := !proven.single || n.mayHaveMissed(p, now)
	list := n.confirmsList(p, at, now)
	records := !needsRecords || p.records.confirms(stream, at)
	if list && records {
		delete(p.records.streams, stream)
		return true, false
	}
	answerable := n.askAsOfNow(p, stream, at, needsRecords, now)
	if answerable && now.Sub(at) < maxConfirmWait {
		return false, true
	}
	have, needed := p.records.questions.Progress()
	n.Counts.StreamsUnconfirmed++
	n.event(Event{Name: "stream-not-confirmed", Value: uint64(now.Sub(at).Milliseconds()), Detail: fmt.Sprintf("%s: list %t as of %s ago, records %t with %d of %d answers",
		p.service, list, ageOf(n.confirmation.list.CurrentAt(), now), records, have, needed)})
	return false, false
}

// ageOf describes the age of a time for the log.
func ageOf(t, now time.Time) string {
	if t.IsZero() {
		return "never"
	}
	return now.Sub(t).Round(time.Millisecond).String()
}

// confirmsList reports whether the list of upstreams is confirmed as of a time: by a reading of the store,
// or if every router that there may be has answered and none knows a newer one.
func (n *Node) confirmsList(p *pool, at, now time.Time) bool {
	if n.confirmation.list.Confirms(at) {
		return true
	}
	return !n.votersOf(p, now).large && p.records.all.Confirms(at) && p.records.newest <= n.completeUpTo()
}

// mayHaveMissed reports whether versions may have come and gone unseen within a stream's life, and the
// voters have not told of them since: a list that was read anew shows what is listed, not what was in
// between.
func (n *Node) mayHaveMissed(p *pool, now time.Time) bool {
	missed := n.confirmation.missed
	return !missed.IsZero() && now.Sub(missed) < p.streamLife+2*listDelay && p.records.historyAt.Before(missed)
}

// askAsOfNow asks what is needed to conclude something of a stream as of a time. It reports whether
// enough routers are there to answer.
func (n *Node) askAsOfNow(p *pool, stream uint64, at time.Time, needsRecords bool, now time.Time) bool {
	c, r := &n.confirmation, &p.records
	c.wanted.add(at, now)
	n.readIfDue(now)
	readsItself := !n.store.isUnreachable(now)
	answerable := n.votersOf(p, now).areThere()
	unread := !c.list.Confirms(at)
	needsReader := unread && (!readsItself || c.list.WaitsFor(now) >= readingPatience)
	switch {
	case !needsRecords && !needsReader:
		return true
	case unread && !readsItself && !n.canBeToldTheList(p, now):
		return false
	}
	r.needsReader = needsReader
	if r.await(stream, now) && answerable {
		r.needed.add(at, now)
		n.queryIfDue(p, now)
	}
	return answerable || !needsRecords && readsItself
}

// canBeToldTheList reports whether other routers may confirm the list: one that reads the store, or all.
func (n *Node) canBeToldTheList(p *pool, now time.Time) bool {
	v := n.votersOf(p, now)
	all := !v.large && len(v.list) == n.members.Expected(now)-1
	return all || len(n.readers(now)) > 0
}

// readIfDue reads the store if a confirmation of the list is needed.
func (n *Node) readIfDue(now time.Time) {
	c := &n.confirmation
	if now.Before(c.wanted.until) && c.list.IsDue(c.wanted.at, readingPace, now) {
		n.readStoreNow(now)
	}
}

// ListConfirmedAt returns as of when the list of upstreams is confirmed, zero if it never was.
func (n *Node) ListConfirmedAt() time.Time { return n.confirmation.list.CurrentAt() }

// readStoreNow asks for a reading of the store.
func (n *Node) readStoreNow(now time.Time) {
	n.Counts.StoreConfirmations++
	n.out = append(n.out, ConfirmStore{No: n.confirmation.list.Ask(1, now)})
}

// readers returns the first other routers that may read the store for this one, its watchers before others.
func (n *Node) readers(now time.Time) []wire.NodeID {
	watchers := n.chosenWatchers(now)
	out := slices.DeleteFunc(n.otherRouters(n.members.Live(true)), func(id wire.NodeID) bool { return n.isStoreUnreachable(id, now) })
	slices.SortStableFunc(out, func(a, b wire.NodeID) int {
		return cmp.Compare(order(slices.Contains(watchers, a)), order(slices.Contains(watchers, b)))
	})
	return out[:min(maxReadersAsked, len(out))]
}

// order sorts what holds before what does not.
func order(holds bool) int {
	if holds {
		return 0
	}
	return 1
}

// helpReading reads the store for another router.
func (n *Node) helpReading(h readingHelp, now time.Time) {
	c := &n.confirmation
	c.helps = append(c.helps, h)
	c.wanted.add(now, now)
	n.readIfDue(now)
}

// storeConfirmed takes a reading of the store into account, and tells those that have asked for it.
func (n *Node) storeConfirmed(in StoreConfirmed, now time.Time) {
	c := &n.confirmation
	askedAt, enough := c.list.Answer(in.No, n.settings.ID, now)
	if !enough {
		return
	}
	n.listConfirmed(askedAt, now)
	c.helps = slices.DeleteFunc(c.helps, func(h readingHelp) bool {
		if h.receivedAt.After(askedAt) {
			return now.Sub(h.receivedAt) >= confirmationTTL
		}
		w := n.work(h.to)
		w.StreamAnswers = append(w.StreamAnswers, wire.StreamAnswer{No: h.no, Service: h.service, Revision: n.completeUpTo(), ReadTo: in.AsOf})
		return true
	})
}

// applyPeerReadings confirms the list by readings of other routers, once their content is known here.
func (n *Node) applyPeerReadings(now time.Time) {
	c := &n.confirmation
	c.seenBy = slices.DeleteFunc(c.seenBy, func(r peerReading) bool {
		if r.asOf <= n.catalogue.AsOf {
			c.list.Raise(r.askedAt)
			n.listConfirmed(r.askedAt, now)
			return true
		}
		return now.Sub(r.askedAt) >= confirmationTTL
	})
}

// listConfirmed records that the list was current at a time.
func (n *Node) listConfirmed(at, now time.Time) {
	if c := &n.confirmation; !c.awayAt.IsZero() && !at.Before(c.awayAt) {
		c.awayAt = time.Time{}
	}
	n.listChecked(now)
	n.listCheckedAt = at
	n.retryWaiting(now)
}

// retryWaiting lets requests that wait for confirmations try again at the next tick.
func (n *Node) retryWaiting(now time.Time) {
	for _, f := range n.inflight {
		if f.upstreamID == 0 && f.learn.next.After(now) {
			f.learn.next = now
		}
	}
}

// listChecked records that the list is as new as the store's, or a peer's. If it had not been for long,
// upstreams may have come and gone that this router has never seen.
func (n *Node) listChecked(now time.Time) {
	if !n.listCheckedAt.IsZero() && now.Sub(n.listReadAt(now)) > listDelay {
		n.confirmation.missed = now
	}
	n.listCheckedAt = now
}

// wokeUp records that this router was suspended: messages that waited for it look as if they had been
// sent now.
func (n *Node) wokeUp(since, now time.Time) {
	if n.confirmation.awayAt.IsZero() {
		n.confirmation.awayAt = since
	}
	n.readStoreNow(now)
}

// firstAskedAt returns when another router first asked about a request that waits for a confirmation.
func (n *Node) firstAskedAt(k runKey, now time.Time) time.Time {
	if at, known := n.confirmation.asked[k]; known && now.Sub(at) < confirmationTTL {
		return at
	}
	return now
}

// tickConfirmations drops what has expired.
func (n *Node) tickConfirmations(now time.Time) {
	c := &n.confirmation
	n.applyPeerReadings(now)
	if len(c.helps) > 0 {
		c.wanted.add(c.helps[0].receivedAt, now)
	}
	n.readIfDue(now)
	for _, p := range n.pools {
		n.queryIfDue(p, now)
	}
	if now.Before(c.pruneAt) {
		return
	}
	c.pruneAt = now.Add(confirmationTTL)
	for k, at := range c.asked {
		if now.Sub(at) >= confirmationTTL {
			delete(c.asked, k)
		}
	}
	c.helps = slices.DeleteFunc(c.helps, func(h readingHelp) bool { return now.Sub(h.receivedAt) >= confirmationTTL })
	for _, p := range n.pools {
		for stream, s := range p.records.streams {
			if !now.Before(s.until) {
				delete(p.records.streams, stream)
			}
		}
	}
}
