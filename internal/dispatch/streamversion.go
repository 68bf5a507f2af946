package dispatch

import (
	"slices"
	"time"

	"github.com/silverswitch/silverswitch/internal/core/wire"
	"github.com/silverswitch/silverswitch/internal/version"
)

// Streams and software versions. Upstreams of one service may run several versions of their
// software side by side. What two versions write does not fit together, so a stream goes on only
// at the version that began it, in one answer and over its caller's attempts at any router.
//
// While a service has more than one version, whoever places a stream records its version and
// sends the record to the service's scheduler group, so that it outlives the router that has the
// stream. A router records its own streams when it sends them, a scheduler those of others when
// they have started: the request may have reached it late, and its router decided otherwise. A router that is asked to go on
// with a stream of an unknown version asks the scheduler. A stream whose version nobody knows, or
// no upstream runs any more, is refused at once. Nothing is recorded or sent while a service has
// one version.
//
// Load pattern: a rolling release in which routers are killed. 135 streams went on at another
// version than the one that began them.

const (
	// versionMemory is how long a service still counts as having more than one version after only
	// one is left: longer than most streams last.
	versionMemory = 30 * time.Second
	// streamRecordGrace is how long after its deadline an attempt's record is kept. Its caller may
	// take the stream up again with a new deadline, which renews the record.
	streamRecordGrace = 15 * time.Second
	// maxStreamRecords bounds the records that a router keeps, of 100 bytes each. The oldest are
	// dropped first.
	maxStreamRecords = 60_000
	// streamSyncInterval is how often records are sent.
	streamSyncInterval = 5 * TickInterval
	// maxStreamsPerDatagram bounds the records in one datagram, of 20 bytes each.
	maxStreamsPerDatagram = 150
	// maxStreamAsks is the number of routers that are asked for a stream's version.
	maxStreamAsks = 3
	// knownStoreAge is the age up to which the reading of the store tells that a service has a
	// single version, for a router that asks no other one.
	knownStoreAge = 5 * time.Second
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

// put keeps a record for a duration. A record of an earlier attempt does not replace a later one's.
func (s *streamRecords) put(r wire.StreamRecord, d time.Duration, now time.Time) {
	if old, known := s.byStream[r.Stream]; known && old.Try > r.Try && old.Version != r.Version {
		return
	}
	until := now.Add(d)
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

// versions counts the listed upstreams of a pool by version, and remembers that there were others.
type versions struct {
	count map[version.ID]int
	last  version.ID // the only version as of the last update
	mixed bool       // as of the last update
	until time.Time  // until then the service counts as having more than one version
}

// update takes changes of the upstreams into account. It reports whether the service has begun to
// have more than one version.
func (v *versions) update(now time.Time) (began bool) {
	was := v.mixed
	v.mixed = len(v.count) > 1
	only := v.last
	if len(v.count) == 1 {
		for only = range v.count {
		}
	}
	if v.mixed || v.last != 0 && only != v.last {
		v.until = now.Add(versionMemory)
	}
	v.last = only
	return v.mixed && !was
}

// several reports whether the service has, or has had lately, more than one version.
func (v *versions) several(now time.Time) bool { return len(v.count) > 1 || now.Before(v.until) }

func (v *versions) add(id version.ID, n int) {
	if v.count == nil {
		v.count = map[version.ID]int{}
	}
	if v.count[id] += n; v.count[id] == 0 {
		delete(v.count, id)
	}
}

// streamSync sends records to the scheduler groups.
type streamSync struct {
	due    time.Time
	queues map[wire.NodeID][]streamRecord
	groups map[version.ID][]wire.NodeID // as of the last tick
}

// bindStream determines the version that a placement request must keep to. It returns the reason
// for a refusal if the request goes on with a stream whose version is unknown, or which began at
// another service.
func (n *Node) bindStream(p *pool, a *wire.PlacementRequest, now time.Time) Reason {
	if !a.Resumed || a.Version != 0 {
		return ReasonNone
	}
	r, known := n.streams.of(a.Stream, now)
	switch {
	case known && r.Service != p.id:
		return ReasonStreamVersion
	case known:
		a.Version = r.Version
	case p.versions.several(now) || !n.knowsVersions(p, now):
		return ReasonStreamUnknown
	}
	return ReasonNone
}

// knowsVersions reports whether this router would know if a service had another version: it
// decides for the fleet, or has recently heard of the store. A router that decides alone may have
// an old list of upstreams.
func (n *Node) knowsVersions(p *pool, now time.Time) bool {
	return n.schedulerOf(p.id, now) == n.settings.ID && n.KnowsFleet(now) || !n.store.at.IsZero() && now.Sub(n.store.at) < knownStoreAge
}

// mustAskForStream reports whether a request goes on with a stream whose version the scheduler has
// to say.
func (n *Node) mustAskForStream(f *inflightRequest, p *pool, now time.Time) bool {
	a := wire.PlacementRequest{Stream: f.req.Stream, Resumed: f.req.Resumed, Version: f.version}
	return n.bindStream(p, &a, now) == ReasonStreamUnknown
}

// recordStream records the version at which a stream was placed, and sends the record to the
// scheduler group.
func (n *Node) recordStream(p *pool, s runStream, u *upstream, now time.Time) {
	if s.id == 0 || !p.versions.several(now) {
		return
	}
	r := wire.StreamRecord{Stream: s.id, Service: p.id, Version: u.version, Try: s.try}
	n.streams.put(r, s.until.Sub(now), now)
	n.replicateStream(p, streamRecord{r, s.until}, now)
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

// replicateStream queues a record for the other members of the service's scheduler group.
func (n *Node) replicateStream(p *pool, r streamRecord, now time.Time) {
	for _, id := range n.otherRouters(n.schedulerGroup(p.id, now)) {
		n.streamSync.queues[id] = append(n.streamSync.queues[id], r)
	}
}

// recordOwnStream records the version at which a scheduler placed a stream of this router.
func (n *Node) recordOwnStream(f *inflightRequest, u *upstream, now time.Time) {
	p := n.pools[f.service]
	if f.req.Stream == 0 || p == nil || !p.versions.several(now) {
		return
	}
	r := wire.StreamRecord{Stream: f.req.Stream, Service: f.service, Version: u.version, Try: f.try}
	n.streams.put(r, f.req.Deadline.Sub(now)+streamRecordGrace, now)
}

// tickStreams sends records that are due, and those that a changed scheduler group lacks.
func (n *Node) tickStreams(now time.Time) {
	for _, p := range n.pools {
		if p.versions.update(now) {
			n.recordRunningStreams(p, now)
		}
	}
	if now.Before(n.streamSync.due) {
		return
	}
	n.streamSync.due = now.Add(streamSyncInterval)
	n.streams.expire(now)
	for _, p := range n.pools {
		n.syncStreamGroup(p, now)
	}
	for id, queue := range n.streamSync.queues {
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
		u := p.upstreams[f.upstreamID]
		if f.service != p.id || f.req.Stream == 0 || u == nil {
			continue
		}
		a := n.placementRequest(f, now)
		n.recordStream(p, streamOf(&a, now), u, now)
	}
}

// syncStreamGroup sends all records of a service to routers that join its scheduler group.
func (n *Node) syncStreamGroup(p *pool, now time.Time) {
	if !p.versions.several(now) {
		delete(n.streamSync.groups, p.id)
		return
	}
	before, known := n.streamSync.groups[p.id]
	group := slices.Clone(n.schedulerGroup(p.id, now))
	n.streamSync.groups[p.id] = group
	if !known {
		return
	}
	for _, id := range n.otherRouters(group) {
		if !slices.Contains(before, id) {
			n.streamSync.queues[id] = append(n.streamSync.queues[id], n.streams.ofService(p.id, now)...)
		}
	}
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
	if f.req.Stream == 0 || p == nil || !f.req.Resumed && f.version == 0 && !p.versions.several(now) {
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
func (n *Node) refuseStream(f *inflightRequest, reason Reason) {
	n.refuse(f, decision{reason: reason, retryAfter: maxRetryAfter}, n.settings.ID)
}

// keepVersion binds a request to the version that has brought its first event.
func (n *Node) keepVersion(f *inflightRequest) {
	p := n.pools[f.service]
	if f.req.Stream == 0 || f.version != 0 || p == nil {
		return
	}
	if u := p.upstreams[f.upstreamID]; u != nil {
		f.version = u.version
	}
}

// askNextForStream asks the next router of the scheduler group for a stream's version, if the last
// one has not replied. It reports whether it did so.
func (n *Node) askNextForStream(f *inflightRequest, p *pool, now time.Time) bool {
	if f.asked = append(f.asked, f.scheduler); len(f.asked) >= maxStreamAsks || !n.mustAskForStream(f, p, now) {
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
