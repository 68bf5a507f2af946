package dispatch

import (
	"math"
	"slices"
	"time"

	"github.com/silverswitch/silverswitch/internal/core/wire"
	"github.com/silverswitch/silverswitch/internal/dispatch/confirm"
	"github.com/silverswitch/silverswitch/internal/version"
)

// What is asked of the routers that keep the records of streams, and whose answers count.

const (
	// maxAskedStreams bounds the streams of one question, of 9 bytes each.
	maxAskedStreams = 600
	// firstQuestionShift makes the first number of questions differ from those of a former process.
	firstQuestionShift = 24
	// votersTTL is how long voters are kept.
	votersTTL = 5 * TickInterval
)

// serviceRecords is what a router asks of those that keep the records of a service. Each question has one
// number and counts three times, by how many have answered it.
type serviceRecords struct {
	questions confirm.Questions[wire.NodeID] // more than half of the voters: nobody has told of a record
	leaving   confirm.Questions[wire.NodeID] // half of the voters: streams may leave their home
	all       confirm.Questions[wire.NodeID] // all routers: none has a newer list

	voters         voters
	needed         need
	streams        map[uint64]askedStream // that the next questions name
	askedAt        time.Time              // when the latest question was asked
	needsReader    bool                   // other routers shall read the store
	readersAskedAt time.Time              // when they were last asked to
	newest         uint64                 // newest revision that an answer stated
	historyAt      time.Time              // as of when the voters have sent their histories

	wanted  map[version.ID]leaving   // versions whose streams want to leave them
	leaves  map[version.ID]time.Time // versions whose streams may, as of when the voters know it
	carried map[uint64]carried       // by question
}

// askedStream is a stream that questions name, and the first of these, 0 if none was asked yet.
type askedStream struct {
	first uint64
	until time.Time
}

// confirms reports whether those that keep the records have told what they know of a stream.
func (r *serviceRecords) confirms(stream uint64, at time.Time) bool {
	return r.questions.Confirms(at) && r.questions.Answered(r.streams[stream].first)
}

// queryIfDue asks those that keep a service's records if that is needed.
func (n *Node) queryIfDue(p *pool, now time.Time) {
	r := &p.records
	if !now.Before(r.needed.until) {
		return
	}
	reader := r.needsReader && now.Sub(r.readersAskedAt) >= readingPace.Again
	if r.questions.IsDue(r.needed.at, queryPace, now) || r.hasUnasked() && now.Sub(r.askedAt) >= queryPace.Next || reader {
		n.queryRecords(p, r.needsReader, now)
	}
}

// hasUnasked reports whether a stream waits that no question has named.
func (r *serviceRecords) hasUnasked() bool {
	for _, s := range r.streams {
		if s.first == 0 {
			return true
		}
	}
	return false
}

// await makes the next questions name a stream, and reports whether there is room for it.
func (r *serviceRecords) await(stream uint64, now time.Time) bool {
	s, asked := r.streams[stream]
	if !asked && len(r.streams) >= maxAskedStreams {
		return false
	}
	if r.streams == nil {
		r.streams = map[uint64]askedStream{}
	}
	s.until = now.Add(confirmationTTL)
	r.streams[stream] = s
	return true
}

// voters are the routers whose answers count for a service, without this one.
type voters struct {
	list   []wire.NodeID
	needed int  // of these have to answer, so that they are more than half of all voters with this router, if it is one
	large  bool // the fleet is
	half   int  // of these have to know that streams leave their home: with any that are more than half they have one in common
	at     time.Time
}

// areThere reports whether enough voters are known to answer.
func (v *voters) areThere() bool { return len(v.list) >= v.needed }

// votersOf returns the routers whose answers count for a service: in a small fleet all, in a large one
// those that would be its scheduler group if all routers were alive. The group itself won't do: the two
// sides of a cut each have one. A router that sees less than half of a large fleet asks nobody.
func (n *Node) votersOf(p *pool, now time.Time) *voters {
	if v := &p.records.voters; now.Sub(v.at) < votersTTL {
		return v
	}
	expected := n.members.Expected(now)
	v := voters{needed: expected / 2, half: (expected - 1) / 2, large: expected > meshMaxRouters, at: now}
	if !n.members.KnowsFleet() && now.Sub(n.startedAt) < versionMemory {
		v.needed, v.half = max(1, v.needed), max(1, v.half) // it may know none of many
	}
	if v.large {
		all := n.ballot(p.id)
		v.list = n.otherRouters(all)
		v.needed = len(all)/2 + 1 - (len(all) - len(v.list))
		v.half = v.needed
		if 2*len(n.members.Live(true)) <= expected {
			v.list = nil
		}
	} else {
		v.list = n.otherRouters(n.members.Live(true))
	}
	p.records.voters = v
	return &p.records.voters
}

// ballot returns the first of all known routers, alive or not, in the order in which they would become the
// scheduler of a service.
func (n *Node) ballot(service version.ID) (out []wire.NodeID) {
	list := []rankedRouter{{n.settings.ID, n.cpuClass(n.settings.ID), rendezvousHash(service, n.settings.ID)}}
	for _, m := range n.members.All() {
		list = append(list, rankedRouter{m.ID, n.cpuClass(m.ID), rendezvousHash(service, m.ID)})
	}
	slices.SortFunc(list, compareRanked)
	for _, r := range list[:min(schedulerGroupSize, len(list))] {
		out = append(out, r.id)
	}
	return out
}

// queryRecords asks the voters and those that keep a service's records. The times elsewhere go along: who
// answers knows of them.
func (n *Node) queryRecords(p *pool, reads bool, now time.Time) {
	r, v := &p.records, n.votersOf(p, now)
	to, readers := slices.Clone(v.list), []wire.NodeID(nil)
	if reads {
		readers, r.readersAskedAt = n.readers(now), now
	}
	for _, id := range slices.Concat(n.otherRouters(n.recordKeepers(n.schedulerGroup(p.id, now))), readers) {
		if !slices.Contains(to, id) {
			to = append(to, id)
		}
	}
	n.Counts.RecordQueries++
	r.askedAt = now
	no := n.askVoters(p, v, now)
	q := wire.StreamQuery{No: no, Service: p.id, Streams: r.name(no), History: n.mayHaveMissed(p, now)}
	r.carry(no, q.History, now)
	if v.half <= 0 {
		r.mayLeave(no)
	}
	if v.needed <= 0 {
		r.answered(no, now)
	}
	outages := p.history.outageMessages(p.id, now)
	for _, id := range to {
		q.Reads = slices.Contains(readers, id)
		w := n.work(id)
		w.StreamQueries = append(w.StreamQueries, q)
		w.VersionOutages = append(w.VersionOutages, outages...)
	}
}

// askVoters begins a question to the voters of a service. The same question counts for the list if all
// routers answer it.
func (n *Node) askVoters(p *pool, v *voters, now time.Time) uint64 {
	r := &p.records
	if r.questions.First == 0 {
		r.questions.First = uint64(n.settings.Inc) << firstQuestionShift
		r.all.First, r.leaving.First = r.questions.First, r.questions.First
	}
	r.all.Ask(n.members.Expected(now)-1, now)
	r.leaving.Ask(v.half, now)
	return r.questions.Ask(v.needed, now)
}

// name returns the streams that a question names, in order.
func (r *serviceRecords) name(no uint64) (out []uint64) {
	for stream, s := range r.streams {
		if s.first == 0 {
			s.first = no
			r.streams[stream] = s
		}
		if stream != 0 {
			out = append(out, stream)
		}
	}
	slices.Sort(out)
	return out
}

// answered takes into account that a question has enough answers.
func (r *serviceRecords) answered(no uint64, askedAt time.Time) {
	if r.carried[no].history {
		r.historyAt = later(r.historyAt, askedAt)
	}
}

// handleStreamQueries answers the questions of another router.
func (n *Node) handleStreamQueries(from wire.NodeID, list []wire.StreamQuery, now time.Time) {
	for _, q := range list {
		p := n.pools[q.Service]
		if p == nil || !p.history.begun {
			continue // it knows nothing of the service
		}
		w := n.work(from)
		if q.History && !n.attachHistory(w, p, now) {
			continue
		}
		up := uint32(min(now.Sub(n.startedAt).Milliseconds(), math.MaxUint32))
		w.StreamAnswers = append(w.StreamAnswers, wire.StreamAnswer{No: q.No, Service: q.Service, Revision: n.completeUpTo(), UpMS: up})
		w.VersionOutages = append(w.VersionOutages, p.history.outageMessages(p.id, now)...)
		for _, stream := range q.Streams {
			if r, known := n.streams.of(stream, now); known {
				r.ForMS = uint32(r.until.Sub(now).Milliseconds())
				w.StreamRecords = append(w.StreamRecords, r.StreamRecord)
			}
		}
		if q.Reads {
			n.helpReading(readingHelp{from, q.No, q.Service, now}, now)
		}
	}
}

// attachHistory adds the history of a service to a datagram, and reports whether all of it fits.
func (n *Node) attachHistory(w *wire.Dispatch, p *pool, now time.Time) bool {
	m := p.history.message(p.id, n.catalogue.AsOf, now)
	spans := len(m.Spans)
	for _, other := range w.VersionHistories {
		spans += len(other.Spans)
	}
	if spans > maxVersionSpans || len(m.Spans) == 0 && m.KnownMS == 0 && len(p.history.spans) > 0 {
		return false
	}
	w.VersionHistories = append(w.VersionHistories, m)
	if p.history.restsOnStore(now) {
		w.StoreHistories = append(w.StoreHistories, p.id)
	}
	return true
}

// handleStreamAnswers takes answers into account. The records, histories and times elsewhere that came
// with them are known already.
func (n *Node) handleStreamAnswers(from wire.NodeID, list []wire.StreamAnswer, now time.Time) {
	for _, a := range list {
		p := n.pools[a.Service]
		if p == nil || n.members.Get(from) == nil {
			continue
		}
		r := &p.records
		r.newest = max(r.newest, a.Revision)
		n.recordNewerContent(from, newerContent{revision: a.Revision, table: n.tableNumber()}, now)
		askedAt, enough := n.countAnswer(p, &a, from, now)
		if enough {
			r.answered(a.No, askedAt)
			n.retryWaiting(now)
		}
		if a.ReadTo != 0 && !askedAt.IsZero() {
			n.confirmation.seenBy = append(n.confirmation.seenBy, peerReading{askedAt, a.ReadTo})
			n.applyPeerReadings(now)
		}
	}
}

// countAnswer counts an answer of a voter. What a voter that has started again does not know may have been
// told to its former process, unless this router has started as lately: then all may have been lost.
func (n *Node) countAnswer(p *pool, a *wire.StreamAnswer, from wire.NodeID, now time.Time) (askedAt time.Time, enough bool) {
	r := &p.records
	if !slices.Contains(n.votersOf(p, now).list, from) {
		return r.questions.AskedAt(a.No), false
	}
	if _, enough = r.leaving.Answer(a.No, from, now); enough {
		r.mayLeave(a.No)
	}
	life := p.streamLife + 2*listDelay
	if time.Duration(a.UpMS)*time.Millisecond < life && now.Sub(n.startedAt) >= life {
		return r.questions.AskedAt(a.No), false
	}
	r.all.Answer(a.No, from, now)
	return r.questions.Answer(a.No, from, now)
}
