package dispatch

import (
	"maps"
	"slices"
	"time"

	"github.com/silverswitch/silverswitch/internal/core/wire"
	"github.com/silverswitch/silverswitch/internal/version"
)

// Streams and software versions. Upstreams of one service may run several versions of their
// software side by side. What two versions write does not fit together, so a stream goes on only
// at the version that began it, in one answer and over its caller's attempts at any router.
//
// While streams of several versions may be unfinished, whoever places a stream records its version
// and sends the record to the service's scheduler group, so that it outlives the router that has the
// stream. A router records its own streams when it sends them, a scheduler those of others when
// they have started: the request may have reached it late, and its router decided otherwise. A
// router that is asked to go on with a stream of an unknown version asks the scheduler. Where
// nobody has a record, the history of the service's versions decides (versionhistory.go), once it is
// confirmed that it is as of now (confirmation.go). A stream whose version cannot be known, or which no
// upstream runs any more, is refused. Nothing is recorded or sent while a service has one version, as far
// as can be confirmed.
//
// Load pattern: a rolling release in which routers are killed, one after the other or all at once.

const (
	// streamRecordGrace is how long after its deadline, or its end if that is later, an attempt's
	// record is kept. Its caller may take the stream up again, which renews the record.
	streamRecordGrace = 2 * time.Minute
	// maxStreamRecords bounds the records that a router keeps, of 100 bytes each. The oldest are
	// dropped first.
	maxStreamRecords = 60_000
	// streamSyncInterval is how often records are sent.
	streamSyncInterval = 5 * TickInterval
	// maxStreamsPerDatagram bounds the records in one datagram, of 20 bytes each.
	maxStreamsPerDatagram = 150
	// maxStreamAsks is the number of routers that are asked for a stream's version.
	maxStreamAsks = 3
)

// streamRecord is the version that a stream has to keep.
type streamRecord struct {
	wire.StreamRecord
	until time.Time
}

// streamRecords are the versions of streams, by stream.
type streamRecords struct {
	byStream map[uint64]streamRecord
	order    []streamExpiry // in the order in which records were put
}

// streamExpiry is one putting of a record; it is out of date if the record was put again.
type streamExpiry struct {
	stream uint64
	until  time.Time
}

func newStreamRecords() streamRecords { return streamRecords{byStream: map[uint64]streamRecord{}} }

// put keeps a record for a duration, or for as long as it is kept already. A record of an earlier attempt
// does not replace a later one's.
func (s *streamRecords) put(r wire.StreamRecord, d time.Duration, now time.Time) {
	if old, known := s.byStream[r.Stream]; known && old.Try > r.Try && old.Version != r.Version {
		return
	}
	until := now.Add(d)
	if old, known := s.byStream[r.Stream]; known && old.Version == r.Version && old.until.After(until) {
		until = old.until
	}
	s.byStream[r.Stream] = streamRecord{r, until}
	s.order = append(s.order, streamExpiry{r.Stream, until})
	s.expire(now)
}

// expire drops records that have expired, and the oldest beyond maxStreamRecords.
func (s *streamRecords) expire(now time.Time) {
	n := 0
	for n < len(s.order) && (len(s.byStream) > maxStreamRecords || !now.Before(s.order[n].until) || s.byStream[s.order[n].stream].until != s.order[n].until) {
		if s.byStream[s.order[n].stream].until == s.order[n].until {
			delete(s.byStream, s.order[n].stream)
		}
		n++
	}
	s.order = slices.Delete(s.order, 0, n)
}

// of returns the record of a stream, if one is known.
func (s *streamRecords) of(stream uint64, now time.Time) (streamRecord, bool) {
	r, known := s.byStream[stream]
	return r, known && now.Before(r.until)
}

// ofService returns the records of a service's streams.
func (s *streamRecords) ofService(service version.ID, now time.Time) []streamRecord {
	var out []streamRecord
	for _, e := range s.order {
		if r := s.byStream[e.stream]; r.Service == service && r.until == e.until && now.Before(r.until) {
			out = append(out, r)
		}
	}
	return out
}

// streamSync sends records to the scheduler groups.
type streamSync struct {
	due         time.Time
	refreshedAt time.Time
	queues      map[wire.NodeID][]streamRecord
	groups      map[version.ID][]wire.NodeID // as of the last tick
	told        map[version.ID][]wire.NodeID // routers that know the history of a service's versions
}

// mayMixVersions reports whether streams of several versions of a service may be unfinished, as far as can
// be confirmed.
func (p *pool) mayMixVersions(now time.Time) bool {
	return p.unconfirmable || p.history.mayMix(p.streamLife, now)
}

// tickUnconfirmable makes streams be recorded while no router in touch reads the store: nobody can confirm
// then that a service has one version, and a stream whose router is lost goes on by its record alone.
func (n *Node) tickUnconfirmable(now time.Time) {
	silent := !n.store.at.IsZero() && now.Sub(n.store.at) > maxReadingAge(len(n.members.Live(true)))+time.Second
	for _, p := range n.pools {
		if began := silent && !p.unconfirmable; began {
			p.unconfirmable = true
			n.recordRunningStreams(p, now)
		}
		p.unconfirmable = silent
	}
}

// binding is how a placement request is bound to a version. Without a reason for a refusal it may be
// placed.
type binding struct {
	reason      Reason
	waits       bool // the version may be known soon
	unconfirmed bool // it would be known if others had confirmed it
}

// bindStream determines the version that a placement request must keep to. at is when the request
// arrived here. It is refused if it goes on with a stream whose version is unknown, or which began at
// another service.
func (n *Node) bindStream(p *pool, a *wire.PlacementRequest, at, now time.Time) binding {
	if a.Stream == 0 && !a.Resumed || a.Version != 0 {
		return binding{}
	}
	if !a.Resumed {
		v, waits := n.beginsAt(p, a, now)
		if waits {
			return binding{reason: ReasonStreamUnknown, waits: true}
		}
		a.Version = v
		return binding{}
	}
	if r, known := n.streams.of(a.Stream, now); known {
		if r.Service != p.id {
			return binding{reason: ReasonStreamVersion}
		}
		a.Version = r.Version
		return binding{}
	}
	byHome := a.Stream != 0 && len(a.Regions) == 0 // homes are those of all regions
	proven := p.history.prove(a.Stream, byHome, p.streamLife, now)
	if !proven.certain {
		return binding{reason: ReasonStreamUnknown}
	}
	if known, waits := n.isKnown(p, a.Stream, proven, at, now); !known {
		return binding{reason: ReasonStreamUnknown, waits: waits, unconfirmed: true}
	}
	a.Version, a.Proved = proven.version, true
	if p.refusesProved(proven.version, now) {
		return binding{reason: ReasonStreamVersion}
	}
	return binding{}
}

// hasOpen reports whether an upstream of a version may be used at all, other than those that have
// failed the request.
func (p *pool) hasOpen(v version.ID, regions, avoid []version.ID) bool {
	return slices.ContainsFunc(p.order, func(u *upstream) bool {
		return u.version == v && !u.closed() && u.inAllowedRegion(regions) && !slices.Contains(avoid, u.id)
	})
}

// mustAskForStream reports whether a request goes on with a stream whose version the scheduler has
// to say: it may have a record, or a newer list.
func (n *Node) mustAskForStream(f *inflightRequest, now time.Time) bool {
	if !f.req.Resumed || f.version != 0 {
		return false
	}
	_, known := n.streams.of(f.req.Stream, now)
	return !known
}

// recordStream records the version at which a stream has started, and sends the record to the scheduler
// group.
func (n *Node) recordStream(p *pool, s runStream, v version.ID, now time.Time) {
	if s.id == 0 || !p.mayMixVersions(now) {
		return
	}
	r := wire.StreamRecord{Stream: s.id, Service: p.id, Version: v, Try: s.try}
	n.streams.put(r, s.until.Sub(now), now)
	n.replicateStream(p, streamRecord{r, s.until}, now)
}

// recordStarted records the version of a stream of this router that has had an event. An attempt that has
// not may fail, and its stream begin elsewhere.
func (n *Node) recordStarted(f *inflightRequest, now time.Time) {
	p := n.pools[f.service]
	if p == nil || f.req.Stream == 0 || !p.mayMixVersions(now) {
		return
	}
	if f.scheduler == n.settings.ID {
		a := n.placementRequest(f, now)
		n.recordStream(p, streamOf(&a, now), f.placedVersion, now)
		return
	}
	r := wire.StreamRecord{Stream: f.req.Stream, Service: f.service, Version: f.placedVersion, Try: f.try}
	n.streams.put(r, f.req.Deadline.Sub(now)+streamRecordGrace, now)
}

// runStream is the stream of a run, and until when its record is kept.
type runStream struct {
	id    uint64
	try   uint32
	until time.Time
}

// streamOf returns the stream of a placement request.
func streamOf(a *wire.PlacementRequest, now time.Time) runStream {
	return runStream{a.Stream, a.Try, now.Add(time.Duration(a.DeadlineMS)*time.Millisecond + streamRecordGrace)}
}

// replicateStream queues a record for the routers that keep the service's records.
func (n *Node) replicateStream(p *pool, r streamRecord, now time.Time) {
	for _, id := range n.otherRouters(n.recordKeepers(n.schedulerGroup(p.id, now))) {
		n.streamSync.queues[id] = append(n.streamSync.queues[id], r)
	}
}

// recordKeepers returns the routers that keep the records of a service: its scheduler group, in a
// small fleet all.
//
// Load pattern: most routers of a small fleet lose power at once, the scheduler group with them.
func (n *Node) recordKeepers(group []wire.NodeID) []wire.NodeID {
	if n.isLarge() {
		return group
	}
	return n.members.Live(true)
}

// updateVersions takes changed lists of upstreams into account.
func (n *Node) updateVersions(now time.Time) {
	n.applyInheritedOutages()
	firstEver := n.settings.First && !n.versionsKnown
	n.versionsKnown = n.versionsKnown || len(n.pools) > 0
	for _, p := range n.pools {
		if !p.listChanged {
			continue
		}
		p.listChanged = false
		p.history.memory = p.streamLife + 2*listDelay
		p.history.whole = p.history.whole || !p.history.begun && firstEver
		began := p.history.update(p.order, n.listCurrentAt(now), now)
		maps.DeleteFunc(p.uses.byVersion, func(v version.ID, _ *versionUse) bool { return !p.history.knows(v) })
		if m, inherited := n.inheritedVersions[p.id]; inherited {
			delete(n.inheritedVersions, p.id)
			p.history.applyMessage(m.VersionHistory, m.fromStore, m.at, now)
		}
		if began {
			n.recordRunningStreams(p, now)
		}
		if mixed := !p.history.mixedUntil.IsZero(); mixed != p.loggedMixed || began {
			p.loggedMixed = mixed
			n.event(Event{Name: "versions-changed", Detail: p.history.String() + " at " + p.service})
		}
	}
}

// listCurrentAt returns a time at which the lists of upstreams before the present change were
// certainly current.
func (n *Node) listCurrentAt(now time.Time) time.Time {
	return earlier(n.listReadAt(now), now).Add(-listDelay)
}

// listReadAt returns when the store was read last with a list that this router has.
func (n *Node) listReadAt(now time.Time) time.Time {
	at := now
	if !n.store.at.IsZero() {
		at = earlier(n.store.at, n.listCheckedAt) // of a later reading the content has not arrived
	}
	if away := n.confirmation.awayAt; !away.IsZero() {
		at = earlier(at, away) // what has arrived since may have waited
	}
	return at
}

// inheritedVersions is another router's history of a service that is not known here yet.
type inheritedVersions struct {
	wire.VersionHistory
	at        time.Time // when it was received
	fromStore bool      // it rests on the store's history
}

// maxInheritedServices bounds the services of which histories are kept before they are in the table.
const maxInheritedServices = 256

// handleVersionHistories takes the histories of other routers into account.
func (n *Node) handleVersionHistories(w *wire.Dispatch, now time.Time) {
	for _, m := range w.VersionHistories {
		fromStore := slices.Contains(w.StoreHistories, m.Service)
		if fromStore && n.historyDrop.holds(now) {
			continue
		}
		if p := n.pools[m.Service]; p != nil && p.history.begun {
			p.history.applyMessage(m, fromStore, now, now)
		} else if len(n.inheritedVersions) < maxInheritedServices {
			n.inheritedVersions[m.Service] = inheritedVersions{m, now, fromStore}
		}
	}
}

// NeedsStoreHistory reports whether the store's history may tell of software versions that no
// other router has told of.
func (n *Node) NeedsStoreHistory(now time.Time) bool {
	if n.historyDrop.holds(now) {
		return false
	}
	for _, p := range n.pools {
		if p.history.begun && !p.history.reaches(now.Add(-p.streamLife)) {
			return true
		}
	}
	return false
}

// storeHistory takes the store's history into account, and passes what it tells on to the scheduler
// groups.
func (n *Node) storeHistory(in StoreHistory, now time.Time) {
	if n.refuseHistory(in, now) {
		return
	}
	for _, p := range n.pools {
		if !p.history.applyStoreHistory(in, p.service, now) {
			continue
		}
		delete(n.streamSync.told, p.id)
		n.event(Event{Name: "versions-from-store-history", Value: uint64(in.Reach.Milliseconds()), Detail: p.history.String() + " at " + p.service})
	}
}

// resyncStreams makes this router send what a router that has started again has lost.
func (n *Node) resyncStreams(id wire.NodeID) {
	delete(n.historyDrop.told, id)
	for _, lists := range []map[version.ID][]wire.NodeID{n.streamSync.groups, n.streamSync.told} {
		for service, list := range lists {
			lists[service] = slices.DeleteFunc(list, func(other wire.NodeID) bool { return other == id })
		}
	}
}

// streamRefreshInterval is how often versions that are no longer listed are dropped, and records of
// running streams renewed.
const streamRefreshInterval = 10 * time.Second

// tickStreams sends records that are due, and those that a changed scheduler group lacks.
func (n *Node) tickStreams(now time.Time) {
	n.tickVersionUses(now)
	if now.Sub(n.streamSync.refreshedAt) >= streamRefreshInterval {
		n.streamSync.refreshedAt = now
		for _, p := range n.pools {
			p.history.refresh(now)
		}
	}
	if now.Before(n.streamSync.due) {
		return
	}
	for _, p := range n.pools {
		p.listChanged = p.listChanged || !p.history.warmAt.IsZero() && !now.Before(p.history.warmAt)
	}
	n.updateVersions(now)
	n.tickUnconfirmable(now)
	n.tellDrop(now)
	n.streamSync.due = now.Add(streamSyncInterval)
	n.streams.expire(now)
	for _, p := range n.pools {
		n.syncStreamGroup(p, now)
	}
	for _, id := range slices.Sorted(maps.Keys(n.streamSync.queues)) { // so that the same inputs give the same messages
		queue := n.streamSync.queues[id]
		part := queue[:min(maxStreamsPerDatagram, len(queue))]
		w := n.work(id)
		for _, r := range part {
			if left := r.until.Sub(now); left > 0 {
				r.ForMS = uint32(left.Milliseconds())
				w.StreamRecords = append(w.StreamRecords, r.StreamRecord)
			}
		}
		if len(part) == len(queue) || !slices.Contains(n.members.Live(true), id) {
			delete(n.streamSync.queues, id)
			continue
		}
		n.streamSync.queues[id] = queue[len(part):]
	}
}

// recordRunningStreams records this router's running streams when their service begins to have
// more than one version.
func (n *Node) recordRunningStreams(p *pool, now time.Time) {
	for _, f := range n.inflight {
		if f.service == p.id && f.firstEvent {
			a := n.placementRequest(f, now)
			n.recordStream(p, streamOf(&a, now), f.placedVersion, now)
		}
	}
}

// syncStreamGroup sends all records of a service to routers that join those that keep them, and the
// history of its versions.
func (n *Node) syncStreamGroup(p *pool, now time.Time) {
	if !p.history.begun {
		return
	}
	before := n.streamSync.groups[p.id]
	group := n.schedulerGroup(p.id, now)
	keepers := n.recordKeepers(group)
	joined := slices.DeleteFunc(n.otherRouters(keepers), func(id wire.NodeID) bool { return slices.Contains(before, id) })
	if len(joined) > 0 && (n.isLarge() || slices.Contains(group, n.settings.ID)) { // in a small fleet each of the group has all of them
		if records := n.streams.ofService(p.id, now); len(records) > 0 {
			for _, id := range joined {
				n.streamSync.queues[id] = append(n.streamSync.queues[id], records...)
			}
		}
	}
	n.streamSync.groups[p.id] = slices.Clone(keepers)
	n.tellVersions(p, group, now)
	n.tellOutages(p, group, now)
}

// tellVersions sends the history of a service's versions to routers that have not been told. In a
// large fleet only members of the scheduler group tell it, to each other.
func (n *Node) tellVersions(p *pool, group []wire.NodeID, now time.Time) {
	to := group
	if !n.isLarge() {
		to = n.members.Live(true)
	}
	if !p.history.reaches(now.Add(-p.streamLife)) || n.isLarge() && !slices.Contains(group, n.settings.ID) {
		return
	}
	told := slices.DeleteFunc(n.streamSync.told[p.id], func(id wire.NodeID) bool { return !slices.Contains(to, id) })
	for _, id := range n.otherRouters(to) {
		if slices.Contains(told, id) {
			continue
		}
		w, m := n.work(id), p.history.message(p.id, n.catalogue.AsOf, now)
		spans := len(m.Spans)
		for _, other := range w.VersionHistories {
			spans += len(other.Spans)
		}
		if spans <= maxVersionSpans { // else with a later datagram
			w.VersionHistories = append(w.VersionHistories, m)
			w.VersionOutages = append(w.VersionOutages, p.history.outageMessages(p.id, now)...)
			if p.history.restsOnStore(now) {
				w.StoreHistories = append(w.StoreHistories, p.id)
			}
			told = append(told, id)
		}
	}
	n.streamSync.told[p.id] = told
}

// handleStreamRecords keeps the records of other routers.
func (n *Node) handleStreamRecords(list []wire.StreamRecord, now time.Time) {
	for _, r := range list {
		n.streams.put(r, min(time.Duration(r.ForMS)*time.Millisecond, maxStreamRecordTTL), now)
	}
}

// maxStreamRecordTTL bounds how long another router's record is kept.
const maxStreamRecordTTL = 10 * time.Minute

// attachStream adds to a placement request which stream it belongs to, where that matters.
func (n *Node) attachStream(f *inflightRequest, w *wire.Dispatch, now time.Time) {
	p := n.pools[f.service]
	if p == nil || !f.req.Resumed && (f.req.Stream == 0 || f.version == 0 && !p.mayMixVersions(now)) {
		return
	}
	w.StreamRequests = append(w.StreamRequests, wire.StreamRequest{No: f.req.ID, Stream: f.req.Stream, Version: f.version, Resumed: f.req.Resumed})
}

// takeStreamRequests completes the placement requests of a datagram with their streams.
func takeStreamRequests(w *wire.Dispatch) {
	for _, s := range w.StreamRequests {
		for i := range w.PlacementRequests {
			if a := &w.PlacementRequests[i]; a.No == s.No {
				a.Stream, a.Version, a.Resumed = s.Stream, s.Version, s.Resumed
			}
		}
	}
}

// replyStream tells a router at which version one of its requests goes on with a stream.
func (n *Node) replyStream(to wire.NodeID, a *wire.PlacementRequest, u *upstream) {
	if a.Resumed {
		w := n.work(to)
		w.StreamReplies = append(w.StreamReplies, wire.StreamReply{No: a.No, Version: u.version})
	}
}

// handleStreamReplies takes the versions that a scheduler has bound requests to.
func (n *Node) handleStreamReplies(from wire.NodeID, list []wire.StreamReply) {
	for _, r := range list {
		if f := n.inflight[r.No]; f != nil && f.scheduler == from && f.version == 0 {
			f.version = r.Version
		}
	}
}

// refuseStream refuses a request that cannot go on with its stream.
func (n *Node) refuseStream(f *inflightRequest, p *pool, b binding, now time.Time) {
	n.refuse(f, decision{reason: b.reason, retryAfter: n.streamRetryAfter(p, b, now)}, n.settings.ID)
}

// streamRetryAfter is the Retry-After time of a request that cannot go on with its stream.
func (n *Node) streamRetryAfter(p *pool, b binding, now time.Time) time.Duration {
	switch {
	case b.reason == ReasonStreamUnknown && n.learnsVersions(p, now):
		return startingRetryAfter
	case b.unconfirmed:
		return unconfirmedRetryAfter
	}
	return maxRetryAfter
}

const (
	// versionsLearnedIn is how long after its start a router may still learn of versions, from the
	// store's history or from other routers.
	versionsLearnedIn = 1500 * time.Millisecond
	// startingRetryAfter is the Retry-After time of such a router for streams of unknown version.
	startingRetryAfter = 300 * time.Millisecond
	// maxVersionsWait is how long a request waits for routers to learn of versions, and
	// versionsWaitStep the time between two attempts to place it.
	maxVersionsWait  = 250 * time.Millisecond
	versionsWaitStep = 3 * TickInterval
)

// learnsVersions reports whether this router has just started and may still learn of a service's
// versions.
func (n *Node) learnsVersions(p *pool, now time.Time) bool {
	return now.Sub(n.startedAt) < versionsLearnedIn && !p.history.reaches(now.Add(-p.streamLife))
}

// versionsWait is the wait of a request that goes on with a stream of a version that is not known
// yet.
type versionsWait struct{ since, until, next time.Time }

// awaitVersions makes a request wait for the version of its stream, while the router that does not
// know it may still learn of versions. It reports false if the request has waited for long enough.
func (f *inflightRequest) awaitVersions(now time.Time) bool {
	return f.awaitFor(maxVersionsWait, now)
}

// awaitFor is awaitVersions for a time of its own, which counts from when the request began to wait.
func (f *inflightRequest) awaitFor(d time.Duration, now time.Time) bool {
	if f.learn.since.IsZero() {
		f.learn.since = now
	}
	f.learn.until = later(f.learn.until, f.learn.since.Add(d))
	f.learn.next = now.Add(versionsWaitStep)
	return now.Before(f.learn.until)
}

// waitsForVersions reports whether a request waits for the version of its stream. It places those
// that have waited for a step.
func (n *Node) waitsForVersions(f *inflightRequest, now time.Time) bool {
	p := n.pools[f.service]
	switch {
	case f.learn.until.IsZero() || p == nil:
		return false
	case f.learn.next.IsZero():
		return false // it is being placed
	case !now.Before(f.learn.next):
		f.learn.next, f.asked = time.Time{}, nil
		n.findPlacement(f, now)
	}
	return true
}

// keepVersion binds a request to the version that has brought its first event.
func (n *Node) keepVersion(f *inflightRequest) {
	if (f.req.Stream != 0 || f.req.Resumed) && f.version == 0 {
		f.version = f.placedVersion
	}
}

// askNextForStream asks the next router of the scheduler group for a stream's version, if the last
// one has not replied. It reports whether it did so.
func (n *Node) askNextForStream(f *inflightRequest, p *pool, now time.Time) bool {
	if f.asked = append(f.asked, f.scheduler); len(f.asked) >= maxStreamAsks || !n.mustAskForStream(f, now) {
		return false
	}
	for _, id := range n.otherRouters(n.schedulerGroup(p.id, now)) {
		if !slices.Contains(f.asked, id) {
			f.scheduler, f.requestedAt = id, now
			n.Counts.Asked++
			n.sendPlacementRequest(f, now)
			return true
		}
	}
	return false
}

// countBound counts a request that goes on with a stream, by how its version is known.
func (n *Node) countBound(a *wire.PlacementRequest, from wire.NodeID) {
	switch {
	case !a.Resumed || a.Version == 0:
	case a.Proved:
		n.Counts.StreamsProved++
		n.event(Event{Name: "stream-version-proved", Router: from, Value: a.No})
	default:
		n.Counts.StreamsRecorded++
	}
}

// isUnrecorded reports whether a request takes up a stream that this router has no record of, and that
// has not gone on.
func (n *Node) isUnrecorded(f *inflightRequest, now time.Time) bool {
	_, known := n.streams.of(f.req.Stream, now)
	return f.req.Resumed && !f.firstEvent && !known
}

// renewStream keeps the record of a stream from its end on, since its caller may take it up.
func (n *Node) renewStream(f *inflightRequest, now time.Time) {
	p := n.pools[f.service]
	if f.req.Stream == 0 || f.version == 0 || p == nil || !p.mayMixVersions(now) || n.isUnrecorded(f, now) {
		return
	}
	n.streams.put(wire.StreamRecord{Stream: f.req.Stream, Service: f.service, Version: f.version, Try: f.try}, streamRecordGrace, now)
}

// forgetVersions begins the histories anew, after instances may have come and gone unseen: the list
// was not read for longer than it takes an instance to come, to announce that it leaves, or to be
// missed, and to be dropped.
func (n *Node) forgetVersions(now time.Time) {
	if !n.store.at.IsZero() && now.Sub(n.listReadAt(now)) <= listDelay {
		return
	}
	for _, p := range n.pools {
		if p.history.begun {
			p.history.known, p.history.whole = now, false
		}
	}
}
