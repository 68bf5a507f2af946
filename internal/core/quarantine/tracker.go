package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/silverswitch/silverswitch/internal/core/wire"
	"github.com/silverswitch/silverswitch/internal/fingerprint"
	"github.com/silverswitch/silverswitch/internal/version"
)

const (
	// suspectAttemptTTL is how long before the end of an upstream an attempt may have ended
	// that is still attributed to it. An upstream's entry is removed after three missing
	// heartbeats of 1.2 s, and the update takes a little longer.
	suspectAttemptTTL = 5 * time.Second
	// maxSuspectAttempts bounds the suspect attempts at one upstream, which runs at most 64
	// requests at once.
	maxSuspectAttempts = 256
	// endedTTL is how long the end of an upstream is remembered, for attempts whose connections
	// have not reported it yet: the longest duration of a stream.
	endedTTL = 30 * time.Second
	// probeInterval is the minimum time between two probes of one upstream.
	probeInterval = 200 * time.Millisecond
	// announceCount is how often a router announces a change of a request, announceInterval the
	// time between two announcements. With 3 % of datagrams lost, 27 changes in a million are
	// lost.
	announceCount    = 3
	announceInterval = 100 * time.Millisecond
	// maxAnnounced bounds the records in one datagram, at 60 bytes each; maxHeldRecords when
	// two routers exchange all records of held requests.
	maxAnnounced   = 64
	maxHeldRecords = 500
	// exchangeInterval is the minimum time between two such exchanges of two routers.
	exchangeInterval = time.Second
	// partAnnounceDelay is how long the first announcement of a part's crash waits.
	partAnnounceDelay = 150 * time.Millisecond
	// partUpdateInterval is the shortest time between two changes of the held parts.
	partUpdateInterval = 50 * time.Millisecond
	// maxHeldParts bounds the records of held parts that two routers exchange, at up to 400 bytes
	// each.
	maxHeldParts = 50
	// sameEndTolerance is how much earlier than the last answer that an upstream's end broke off an
	// unframed answer may have ended with it.
	sameEndTolerance = 50 * time.Millisecond
	// expireInterval is how often expired state is removed.
	expireInterval = time.Second
)

// Tracker finds out which attempts were running when an upstream crashed, and maintains the
// list of requests with the updates of other routers.
//
// An attempt that ends without a complete answer is suspect: the answer may have been lost, cut
// off, or given up by its caller. It becomes a crash once the upstream is known to have ended.
// One goroutine owns a tracker.
type Tracker struct {
	self     wire.NodeID
	list     *List
	parts    *partList
	suspects map[version.ID][]suspectAttempt // by upstream
	unframed map[version.ID][]suspectAttempt // by upstream: answers that may be whole
	ended    map[version.ID]time.Time        // by crash
	left     map[version.ID]time.Time        // upstreams that ended as planned
	probed   map[version.ID]time.Time
	pending  map[fingerprint.Fingerprint]pending
	// pendingParts has the changes of parts that are still to be announced.
	pendingParts  map[PartKey]pending
	partsChanged  bool                      // since the last call of PartView
	partsUpdated  time.Time                 // when held parts last changed
	exchanged     map[wire.NodeID]time.Time // by router: when all records of held requests were last sent to it
	exchangedPart map[wire.NodeID]time.Time // the same for held parts
	expireAt      time.Time
	changes       []Change
	partChanges   []PartChange
}

// suspectAttempt is an attempt that ended without a complete answer.
type suspectAttempt struct {
	content fingerprint.Fingerprint
	org     version.ID
	parts   []PartKey
	early   bool // the answer had no event yet
	began   time.Time
	at      time.Time
}

// pending says how often a change of a request is still to be announced, and when next.
type pending struct {
	remaining int
	due       time.Time
}

// Change is a change in what is known of a request, for the log.
type Change struct {
	Content fingerprint.Fingerprint
	Org     version.ID
	Crashes int           // since its last complete answer
	Held    time.Duration // remaining time of the hold, 0 when it is not held
	From    wire.NodeID   // the router that observed it
}

// NewTracker returns the tracker of a router that knows nothing yet.
func NewTracker(self wire.NodeID) *Tracker {
	return &Tracker{
		self:      self,
		list:      New(),
		parts:     newPartList(),
		unframed:  map[version.ID][]suspectAttempt{},
		suspects:  map[version.ID][]suspectAttempt{},
		ended:     map[version.ID]time.Time{},
		left:      map[version.ID]time.Time{},
		probed:    map[version.ID]time.Time{},
		pending:   map[fingerprint.Fingerprint]pending{},
		exchanged: map[wire.NodeID]time.Time{},

		pendingParts:  map[PartKey]pending{},
		exchangedPart: map[wire.NodeID]time.Time{},
	}
}

// View returns a copy of what is known of requests, and whether it has changed since the last
// call.
func (t *Tracker) View() (View, bool) { return t.list.View() }

// Changes returns the changes since the last call.
func (t *Tracker) Changes() []Change {
	out := t.changes
	t.changes = nil
	return out
}

// Attempt is an attempt that ended without a complete answer although it may have run.
type Attempt struct {
	Content fingerprint.Fingerprint
	Org     version.ID
	Began   time.Time
	Parts   []PartKey // of its prompt, but for the last one
	Early   bool      // its answer had no event yet
	Lost    bool      // the upstream's side closed the connection
}

// AttemptIncomplete records an attempt at an upstream that ended without a complete answer. It reports whether the upstream is to be probed now.
func (t *Tracker) AttemptIncomplete(up version.ID, a Attempt, now time.Time) bool {
	if _, left := t.left[up]; left {
		return false // a planned end is no evidence against the requests that it still ran
	}
	d := suspectAttempt{a.Content, a.Org, a.Parts, a.Early, a.Began, now}
	if _, ended := t.ended[up]; ended {
		t.addCrash(up, d, now)
		return false
	}
	if list := t.suspects[up]; len(list) < maxSuspectAttempts {
		t.suspects[up] = append(list, d)
	}
	if !a.Lost || now.Sub(t.probed[up]) < probeInterval {
		return false
	}
	t.probed[up] = now
	return true
}

// Left records the end of an upstream that was leaving.
func (t *Tracker) Left(up version.ID, now time.Time) { t.left[up] = now }

// Ended records the end of an upstream that was not leaving, and turns its suspect attempts
// into crashes. crash identifies the crash and is the same at all routers: the upstream's own
// ID where each start of an upstream has a new one. It returns the number of these attempts,
// and false when the end was already known.
func (t *Tracker) Ended(up, crash version.ID, now time.Time) (running int, isNew bool) {
	if _, known := t.ended[crash]; known {
		return 0, false
	}
	if _, left := t.left[up]; left {
		return 0, false
	}
	t.ended[crash] = now
	for _, d := range t.brokenOffBy(up) {
		if now.Sub(d.at) < suspectAttemptTTL {
			running++
			t.addCrash(crash, d, now)
		}
	}
	delete(t.suspects, up)
	delete(t.unframed, up)
	return running, true
}

// brokenOffBy returns the attempts that the end of an upstream broke off, as far as this router
// knows: those without a whole answer, and those whose unframed answers ended with the last of
// them.
func (t *Tracker) brokenOffBy(up version.ID) []suspectAttempt {
	out := t.suspects[up]
	var last time.Time
	for _, list := range [][]suspectAttempt{out, t.unframed[up]} {
		for _, d := range list {
			if d.at.After(last) {
				last = d.at
			}
		}
	}
	for _, d := range t.unframed[up] {
		if last.Sub(d.at) <= sameEndTolerance {
			out = append(out, d)
		}
	}
	return out
}

// addCrash attributes an upstream's crash to an attempt that was running there.
func (t *Tracker) addCrash(up version.ID, d suspectAttempt, now time.Time) {
	for _, k := range d.parts {
		if t.parts.addCrash(k, d.org, Crash{Upstream: up, Early: d.early, Began: d.began, At: d.at}) {
			t.announcePart(k, now)
		}
	}
	before := t.list.State(d.content).Crashes
	if t.list.AddCrash(d.content, d.org, Crash{Upstream: up, Early: d.early, Began: d.began, At: d.at}) {
		t.changed(d.content, d.org, t.self, before, now)
	}
}

// Answered records the complete answer of a request that was suspected.
func (t *Tracker) Answered(f fingerprint.Fingerprint, now time.Time) {
	before := t.list.State(f).Crashes
	if !t.list.Answered(f, now) {
		return
	}
	record, _ := t.list.Record(f, now)
	t.changed(f, record.Org, t.self, before, now)
}

// changed records a change for the log and, when this router observed it, for all other
// routers. A single crash and its clearing are not logged, since tens of sound requests are
// suspected with each crash.
func (t *Tracker) changed(f fingerprint.Fingerprint, org version.ID, from wire.NodeID, before int, now time.Time) {
	s := t.list.State(f)
	if max(before, s.Crashes) > 1 {
		t.changes = append(t.changes, Change{Content: f, Org: org, Crashes: s.Crashes, Held: s.Held(now), From: from})
	}
	if from == t.self {
		t.pending[f] = pending{remaining: announceCount, due: now}
	}
}

// Tick removes expired state, and returns the records to send to all routers now.
func (t *Tracker) Tick(now time.Time) []wire.CrashRecord {
	if !now.Before(t.expireAt) {
		t.expireAt = now.Add(expireInterval)
		t.removeExpired(now)
	}
	return t.takePending(now)
}

// takePending returns the records that are due, those with the most crashes first.
func (t *Tracker) takePending(now time.Time) []wire.CrashRecord {
	var due []fingerprint.Fingerprint
	for f, w := range t.pending {
		if !now.Before(w.due) {
			due = append(due, f)
		}
	}
	slices.SortFunc(due, func(a, b fingerprint.Fingerprint) int {
		return cmp.Or(cmp.Compare(t.list.State(b).Crashes, t.list.State(a).Crashes), cmp.Compare(a, b))
	})
	var out []wire.CrashRecord
	for _, f := range due[:min(len(due), maxAnnounced)] {
		t.pending[f] = pending{remaining: t.pending[f].remaining - 1, due: now.Add(announceInterval)}
		if t.pending[f].remaining == 0 {
			delete(t.pending, f)
		}
		if w, known := t.list.Record(f, now); known {
			out = append(out, w)
		}
	}
	return out
}

// Checksum returns a value that is the same at routers that hold the same requests.
func (t *Tracker) Checksum() uint64 { return t.list.Checksum() }

// HandleUpdate handles another router's update. It returns a reply when the two routers do not
// hold the same requests: one of them has just started, or there was a partition between them.
func (t *Tracker) HandleUpdate(from wire.NodeID, c *wire.CrashUpdate, now time.Time) *wire.CrashUpdate {
	for _, w := range c.Records {
		f := fingerprint.Fingerprint(w.Content)
		before := t.list.State(f).Crashes
		if t.list.Merge(w, now) {
			t.changed(f, w.Org, from, before, now)
		}
	}
	if !c.HasChecksum || c.Checksum == t.list.Checksum() {
		return nil
	}
	if at, known := t.exchanged[from]; known && now.Sub(at) < exchangeInterval {
		return nil
	}
	t.exchanged[from] = now
	return t.HeldUpdate(now)
}

// HeldUpdate returns all records of held requests, for a router that has just started or holds
// different requests.
func (t *Tracker) HeldUpdate(now time.Time) *wire.CrashUpdate {
	held := t.list.HeldRecords(now)
	return &wire.CrashUpdate{Records: held[:min(len(held), maxHeldRecords)], HasChecksum: true, Checksum: t.list.Checksum()}
}

func (t *Tracker) removeExpired(now time.Time) {
	t.list.Expire(now)
	t.partsChanged = t.parts.expire(now) || t.partsChanged
	for up, list := range t.unframed {
		t.unframed[up] = slices.DeleteFunc(list, func(d suspectAttempt) bool {
			if now.Sub(d.at) < suspectAttemptTTL {
				return false
			}
			t.clearUnframed(d, now)
			return true
		})
		if len(t.unframed[up]) == 0 {
			delete(t.unframed, up)
		}
	}
	for up, list := range t.suspects {
		list = slices.DeleteFunc(list, func(d suspectAttempt) bool { return now.Sub(d.at) >= suspectAttemptTTL })
		t.suspects[up] = list
		if len(list) == 0 {
			delete(t.suspects, up)
		}
	}
	old := func(_ version.ID, at time.Time) bool { return now.Sub(at) >= endedTTL }
	maps.DeleteFunc(t.ended, old)
	maps.DeleteFunc(t.left, old)
	maps.DeleteFunc(t.probed, old)
	maps.DeleteFunc(t.exchangedPart, func(_ wire.NodeID, at time.Time) bool { return now.Sub(at) >= exchangeInterval })
	maps.DeleteFunc(t.exchanged, func(_ wire.NodeID, at time.Time) bool { return now.Sub(at) >= exchangeInterval })
}

// HeldRequest is a held request, for status pages.
type HeldRequest struct {
	Fingerprint  string `json:"fingerprint"`
	Organisation string `json:"organisation"`
	Crashes      int    `json:"crashes"`
	HeldMS       int64  `json:"held_ms"` // remaining time of the hold
}

// Held returns the held requests, the latest crash first.
func (t *Tracker) Held(names map[version.ID]string, now time.Time) []HeldRequest {
	out := []HeldRequest{}
	for _, w := range t.list.HeldRecords(now) {
		f := fingerprint.Fingerprint(w.Content)
		s := t.list.State(f)
		if left := s.Held(now); left > 0 {
			out = append(out, HeldRequest{Fingerprint: f.String(), Organisation: names[w.Org], Crashes: s.Crashes, HeldMS: left.Milliseconds()})
		}
	}
	return out
}

// State returns what is known of a request.
func (t *Tracker) State(f fingerprint.Fingerprint) State { return t.list.State(f) }
