package wire

import (
	"math"

	"github.com/silverswitch/silverswitch/internal/version"
)

// Dispatch is the part of a datagram about requests that are placed one by one. Names travel as
// 32-bit IDs and prompt parts as 64-bit hashes; no content is sent.
type Dispatch struct {
	Heartbeat         uint32             `cbor:"1,keyasint,omitempty"` // number of this heartbeat
	Revision          uint64             `cbor:"2,keyasint,omitempty"` // up to which the sender knows all changes of the store's content, 0 without a table
	PlacementRequests []PlacementRequest `cbor:"3,keyasint,omitempty"`
	PlacementReplies  []PlacementReply   `cbor:"4,keyasint,omitempty"`
	ProgressNotes     []ProgressNote     `cbor:"5,keyasint,omitempty"`
	Loads             []UpstreamLoad     `cbor:"6,keyasint,omitempty"`  // of the sender's own requests, absolute
	CachedParts       []CachedPartUpdate `cbor:"8,keyasint,omitempty"`  // prompt parts that upstreams have cached
	Reading           *StoreReading      `cbor:"9,keyasint,omitempty"`  // the latest reading known to the sender
	Delta             *StoreDelta        `cbor:"10,keyasint,omitempty"` // a change of the store's content
	LocalUsage        []LocalUsage       `cbor:"11,keyasint,omitempty"` // local decisions of the sender since its last message
	Demand            []ServiceDemand    `cbor:"13,keyasint,omitempty"` // of the sender's callers
	FleetDemand       []ServiceDemand    `cbor:"18,keyasint,omitempty"` // of all routers' callers, as far as the sender knows
	StoreUnreachable  bool               `cbor:"12,keyasint,omitempty"` // the store does not answer the sender
	PrefillModels     []PrefillModel     `cbor:"14,keyasint,omitempty"` // sent to routers that may become schedulers
	ShareUpdates      []ShareUpdate      `cbor:"15,keyasint,omitempty"` // of the sender, as scheduler
	RecordedUsage     []LocalUsage       `cbor:"17,keyasint,omitempty"` // by the sender, as scheduler, since its last message; sent to the standby schedulers
	ColdSuspicions    []ColdSuspicion    `cbor:"19,keyasint,omitempty"` // of the sender, sent with heartbeats
	Backoffs          []Backoff          `cbor:"20,keyasint,omitempty"` // upstreams that refuse requests of the sender: none of PlacementRequests may go there
	Table             uint64             `cbor:"21,keyasint,omitempty"` // number of the sender's routing table
	Queued            []QueuedRequest    `cbor:"24,keyasint,omitempty"` // requests of the receiver that wait at the sender for a slot
	Rejected          []uint64           `cbor:"25,keyasint,omitempty"` // numbers of requests among ProgressNotes that failed because the upstream rejected them as not run
	Overloaded        bool               `cbor:"16,keyasint,omitempty"` // the sender is short of CPU: times that it reports include its own delay
	PaceNotes         []PaceNote         `cbor:"22,keyasint,omitempty"` // on streams that the receiver placed
	PaceModels        []PaceModel        `cbor:"23,keyasint,omitempty"` // sent to routers that may become schedulers
	DeltaVersions     []string           `cbor:"26,keyasint,omitempty"` // software versions of Delta.Put, in order
	StreamRequests    []StreamRequest    `cbor:"27,keyasint,omitempty"` // streams of PlacementRequests
	StreamReplies     []StreamReply      `cbor:"28,keyasint,omitempty"` // versions that placement requests of the receiver are bound to
	StreamRecords     []StreamRecord     `cbor:"29,keyasint,omitempty"` // sent to scheduler groups
	ReadingSpan       *ReadingSpan       `cbor:"30,keyasint,omitempty"` // what Reading says of the time before it
	VersionHistories  []VersionHistory   `cbor:"31,keyasint,omitempty"` // sent to routers that join scheduler groups
	Elsewhere         []StreamReply      `cbor:"32,keyasint,omitempty"` // of PlacementReplies: streams that begin elsewhere than at their home's version, which is Version
	VersionOutages    []VersionOutage    `cbor:"33,keyasint,omitempty"` // beside VersionHistories, and when they change
	VersionFailures   []VersionFailures  `cbor:"34,keyasint,omitempty"` // at services whose routers choose upstreams by themselves
	HistoryDropped    bool               `cbor:"35,keyasint,omitempty"` // the sender has seen that the store dropped its history early
	StoreHistories    []version.ID       `cbor:"36,keyasint,omitempty"` // services of VersionHistories that rest on the store's history
	DeltaRejected     []string           `cbor:"37,keyasint,omitempty"` // Rejected of Delta
	StreamQueries     []StreamQuery      `cbor:"38,keyasint,omitempty"` // what the sender asks before it concludes that a stream is not recorded
	StreamAnswers     []StreamAnswer     `cbor:"39,keyasint,omitempty"` // to StreamQueries of the receiver, beside StreamRecords and VersionOutages
}

// PrefillModel is what the sender has learned, or inherited, of the time to the first event at
// a service's engines; see package prefill.
type PrefillModel struct {
	_          struct{} `cbor:",toarray"`
	Service    version.ID
	Base       float32 // milliseconds
	PerToken   float32 // milliseconds
	PerPair    float32 // milliseconds for a million pairs
	PerFetched float32 // milliseconds
	Samples    uint32
}

// ServiceDemand is the number of the sender's requests for a service in the window of the retry
// budget.
type ServiceDemand struct {
	_        struct{} `cbor:",toarray"`
	Service  version.ID
	Requests uint32
}

// StoreReading is one reading of the platform's store by some router. It is passed on until a
// later one is known, so that every router knows how old the fleet's knowledge of the store is.
// Reader, Inc and No identify the reading: its age counts from when it was first received, so
// passing it on cannot make it look more recent.
type StoreReading struct {
	_           struct{} `cbor:",toarray"`
	Reader      NodeID
	Inc         Incarnation
	No          uint32 // sequence number of the reader's readings
	AgeMS       uint32
	RecoveredMS uint32 // time since the store recovered from an outage, as seen by the reader, plus one; 0 when there was no recent outage
}

// ReadingSpan is what a reading says of the time before it.
type ReadingSpan struct {
	_        struct{} `cbor:",toarray"`
	SteadyMS uint32   // until then the reader had read the store without a gap for this long
	AwayMS   uint32   // how long the outage had lasted of which RecoveredMS states the end
}

// LocalUsage is usage of one organisation that is known to the sender alone. As a local
// decision it is work that the sender shed because it was overloaded, or decided on because the
// scheduler did not reply in time; as recorded usage it is what the sender decided as scheduler. Both numbers
// are in tokens as shares are counted. Placed is negative when more work was undone than was
// placed since the last message.
type LocalUsage struct {
	_         struct{} `cbor:",toarray"`
	Service   version.ID
	Org       version.ID
	Requested int64
	Placed    int64
}

// ShareUpdate is the standing of an organisation at a service that the sender schedules, in
// tokens of the window in which shares are counted.
type ShareUpdate struct {
	_            struct{} `cbor:",toarray"`
	Service      version.ID
	Org          version.ID
	SharePercent uint32 // used part of its share, in percent
	Share        uint32
	Requested    uint32 // through all routers
}

// StoreDelta is every change of the store's content between two revisions.
type StoreDelta struct {
	_       struct{} `cbor:",toarray"`
	From    uint64
	To      uint64
	Table   bool // the routing table changed too and must be fetched
	Put     []InstanceEntry
	Removed []string
	Places  []PlaceEntry
	// Rejected has the IDs of instances whose entries were overwritten with content that cannot be
	// used; travels beside the delta.
	Rejected []string `cbor:"-"`
}

// PlaceEntry says whether a place is evacuated, as of an entry written at a revision.
type PlaceEntry struct {
	_         struct{} `cbor:",toarray"`
	Place     string
	Evacuated bool
	Revision  uint64
}

// InstanceEntry is the store's entry of one instance.
type InstanceEntry struct {
	_        struct{} `cbor:",toarray"`
	ID       string
	Service  string
	Address  string
	Place    string
	Slots    int
	Draining bool
	Born     int64
	Revision uint64
	ColdMS   uint32 // remaining cold time when the message was sent
	Version  string `cbor:"-"` // of its software; travels beside the entries
}

// StreamRequest is the stream of a placement request in the same message: a hash that stands for
// the stream over its caller's attempts.
type StreamRequest struct {
	_       struct{} `cbor:",toarray"`
	No      uint64   // of the placement request
	Stream  uint64
	Version version.ID // that it has to keep, 0 if none or unknown to the sender
	Resumed bool       // the caller has events of it
}

// StreamReply tells which version a request that goes on with a stream has to keep.
type StreamReply struct {
	_       struct{} `cbor:",toarray"`
	No      uint64
	Version version.ID
}

// StreamRecord is the software version at which a stream was placed.
type StreamRecord struct {
	_       struct{} `cbor:",toarray"`
	Stream  uint64
	Service version.ID
	Version version.ID
	Try     uint32 // number of the attempt at an upstream that was placed
	ForMS   uint32 // for how long the record is needed
}

// StreamQuery asks for all that the receiver knows of streams and their service: the records of the
// streams, the times in which streams began elsewhere than at their homes, and up to where it knows the
// store's content. The receiver of a query has taken the VersionOutages beside it into account before it
// answers.
type StreamQuery struct {
	_       struct{} `cbor:",toarray"`
	No      uint64   // number of the question, by the sender
	Service version.ID
	Streams []uint64
	Reads   bool // the receiver shall read the store, and answer again once it has
	History bool // the receiver shall send its history of the service's versions
}

// StreamAnswer answers a StreamQuery.
type StreamAnswer struct {
	_        struct{} `cbor:",toarray"`
	No       uint64   // of the question
	Service  version.ID
	Revision uint64 // up to which the sender knows all changes of the store's content
	UpMS     uint32 // for how long the sender has run
	ReadTo   uint64 // revision of a reading of the store that began after the question was received, 0 if there was none
}

// VersionHistory tells which software versions a service had, and when. Times are in milliseconds
// relative to when the message was sent.
type VersionHistory struct {
	_       struct{} `cbor:",toarray"`
	Service version.ID
	AsOf    uint64 // revision of the sender's list
	KnownMS int32  // from then on the history is complete
	Full    bool   // all instances are among Spans, also those that have been listed for long
	Spans   []VersionSpan
}

// VersionSpan is the time in which an instance was listed as ready. It was not listed before
// MayFromMS, certainly from FromMS to UntilMS, and not any more after MayUntilMS.
type VersionSpan struct {
	_          struct{} `cbor:",toarray"`
	Instance   version.ID
	Version    version.ID
	Unknown    bool // the version is not known
	Cold       bool // it takes few requests
	MayFromMS  int32
	FromMS     int32
	UntilMS    int32
	MayUntilMS int32
}

// VersionOutage is a time in which new streams whose home ran a version began elsewhere. Times are
// those of a VersionHistory.
type VersionOutage struct {
	_       struct{} `cbor:",toarray"`
	Service version.ID
	Version version.ID
	FromMS  int32
	UntilMS int32
}

// VersionFailures are the upstreams of a software version that have failed the sender since the version
// last answered it. It replaces what the sender told before.
type VersionFailures struct {
	_         struct{} `cbor:",toarray"`
	Service   version.ID
	Version   version.ID
	Upstreams []version.ID
}

// Times of a VersionHistory that are not in milliseconds.
const (
	SinceEver = math.MinInt32
	NotYet    = math.MaxInt32
)

// VersionsOf returns the software versions of entries, in order.
func VersionsOf(list []InstanceEntry) []string {
	out := make([]string, len(list))
	for i := range list {
		out[i] = list[i].Version
	}
	return out
}

// SetVersions sets the software versions of entries. A router of a release without them sends none.
func SetVersions(list []InstanceEntry, versions []string) {
	for i := range min(len(list), len(versions)) {
		list[i].Version = versions[i]
	}
}

// PlacementRequest asks the receiver, as the scheduler of a service, to place a request.
type PlacementRequest struct {
	_          struct{} `cbor:",toarray"`
	No         uint64   // the sender's number of the request
	Try        uint32   // counts the sender's placement requests for this request
	Service    version.ID
	Org        version.ID
	Place      version.ID // of the sender
	Input      uint32     // tokens of the prompt
	Output     uint32     // expected tokens of the answer
	TargetMS   uint32     // until the answer misses its target latency, 0 when it has
	DeadlineMS uint32     // until the caller's deadline
	Priority   uint8
	Parts      []PromptPart
	Avoid      []version.ID // upstreams that failed this request
	Regions    []version.ID // in which it may run; empty means all
	Backoffs   []Backoff    `cbor:"-"` // of the message that carried the request
	Stream     uint64       `cbor:"-"` // these three are those of its StreamRequest
	Version    version.ID   `cbor:"-"`
	Resumed    bool         `cbor:"-"`
	Proved     bool         `cbor:"-"` // the receiver has found Version by the history of versions
}

// Backoff says for how long an upstream accepts no requests of the sender (Retry-After).
type Backoff struct {
	_        struct{} `cbor:",toarray"`
	Upstream version.ID
	ForMS    uint32
}

// PromptPart is one part of a prompt: the hash of its name, and its number of tokens.
type PromptPart struct {
	_      struct{} `cbor:",toarray"`
	Part   uint64
	Tokens uint32
}

// PlacementReply places a request, or refuses it when Upstream is 0.
type PlacementReply struct {
	_             struct{} `cbor:",toarray"`
	No            uint64
	Try           uint32
	Upstream      version.ID
	CacheSource   version.ID // upstream to fetch cached prompt parts from, or 0
	PrefillTokens uint32     // prompt tokens that the upstream is expected to read
	WaitMS        uint32     // expected wait behind other requests
	RetryAfterMS  uint32     // of a refusal: when to retry
	WaitLimitMS   uint32     // of a refusal: the longest wait that was allowed
	SharePercent  uint32     // used part of the organisation's share, in percent
	ReasonCode    uint8
	PrefillMS     uint32 // expected from the end of the wait to the first event
	Cold          bool   // the upstream is cold, and the request fits the few that a cold one takes
	CheckHealth   bool   // check the upstream's health before sending: it has not answered anything recently
}

// QueuedRequest says that a request waits at the sender for a free slot of a plain service. The
// placement reply follows; the receiver asks again only after WaitMS.
type QueuedRequest struct {
	_      struct{} `cbor:",toarray"`
	No     uint64
	Try    uint32
	WaitMS uint32
}

// ProgressNote notifies the scheduler of the progress of a placed request.
type ProgressNote struct {
	_       struct{} `cbor:",toarray"`
	No      uint64
	Event   uint8  // one of the Progress constants
	FirstMS uint32 // from sending to the first event
}

// Events of a ProgressNote.
const (
	ProgressFirstEvent uint8 = iota + 1 // the first event arrived
	ProgressDone                        // ended with an answer
	ProgressFailed                      // ended by a failure of the upstream
	ProgressUnused                      // the upstream did not run it, or it was never sent
	ProgressRefused                     // ended because the upstream refused the connection
	ProgressRejected                    // within a router only: the upstream stated that it did not run the request; sent as ProgressFailed, with the number in Dispatch.Rejected
)

// IsFailure reports whether an event is a failure of the upstream.
func IsFailure(event uint8) bool {
	return event == ProgressFailed || event == ProgressRefused || event == ProgressRejected
}

// UpstreamLoad is the sender's own use of one upstream.
type UpstreamLoad struct {
	_        struct{} `cbor:",toarray"`
	Upstream version.ID
	Running  uint32
	Tokens   uint32 // of engine memory
	Unread   uint32 // prompt tokens of requests without a first event
}

// ColdSuspicion says that the sender suspects an upstream to be cold for reasons beyond the
// upstream's entry.
type ColdSuspicion struct {
	_        struct{} `cbor:",toarray"`
	Upstream version.ID
	ForMS    uint32
}

// CachedPartUpdate says that an upstream has read a prompt part and so has it in its prefix
// cache.
type CachedPartUpdate struct {
	_        struct{} `cbor:",toarray"`
	Upstream version.ID
	Part     uint64
	Tokens   uint32
}
