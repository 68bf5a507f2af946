package wire

import "github.com/silverswitch/silverswitch/internal/version"

// Work is what routers tell each other about requests that are placed one by
// one. Names travel as 32-bit IDs, prompt parts as 64-bit hashes; no content.
type Dispatch struct {
	Heartbeat         uint32             `cbor:"1,keyasint,omitempty"` // number of this regular message
	Revision          uint64             `cbor:"2,keyasint,omitempty"` // of the last change the sender knows of the store's content
	PlacementRequests []PlacementRequest `cbor:"3,keyasint,omitempty"`
	PlacementReplies  []PlacementReply   `cbor:"4,keyasint,omitempty"`
	ProgressNotes     []ProgressNote     `cbor:"5,keyasint,omitempty"`
	Loads             []UpstreamLoad     `cbor:"6,keyasint,omitempty"`  // absolute, of the sender's own requests
	CachedParts       []CachedPartUpdate `cbor:"8,keyasint,omitempty"`  // prompt parts that upstreams have read
	Reading           *StoreReading      `cbor:"9,keyasint,omitempty"`  // the latest one that the sender knows of
	Delta             *StoreDelta        `cbor:"10,keyasint,omitempty"` // a change of the store's content
	LocalUsage        []LocalUsage       `cbor:"11,keyasint,omitempty"` // since the last time
	Demand            []ServiceDemand    `cbor:"13,keyasint,omitempty"` // of the sender's callers
	FleetDemand       []ServiceDemand    `cbor:"18,keyasint,omitempty"` // of all routers' callers, as far as the sender knows
	StoreUnreachable  bool               `cbor:"12,keyasint,omitempty"` // the store does not answer the sender
	PrefillModels     []PrefillModel     `cbor:"14,keyasint,omitempty"` // told to those who may schedule
	ShareUpdates      []ShareUpdate      `cbor:"15,keyasint,omitempty"` // of the sender, as scheduler
	RecordedUsage     []LocalUsage       `cbor:"17,keyasint,omitempty"` // by the sender, as scheduler, since the last time; told to those who may take over
	ColdSuspicions    []ColdSuspicion    `cbor:"19,keyasint,omitempty"` // of the sender, with regular messages
	Backoffs          []Backoff          `cbor:"20,keyasint,omitempty"` // upstreams that want nothing of the sender: none of Asks is to go there
	Table             uint64             `cbor:"21,keyasint,omitempty"` // number of the routing table that the sender has
	Overloaded        bool               `cbor:"16,keyasint,omitempty"` // the sender is short of processor: times it tells are its own
}

// PrefillModel is what the sender has learned, or inherited, of the times to a first
// event of a service's engines: see package prefill.
type PrefillModel struct {
	_          struct{} `cbor:",toarray"`
	Service    version.ID
	Base       float32 // milliseconds
	PerToken   float32 // milliseconds
	PerPair    float32 // milliseconds for a million pairs
	PerFetched float32 // milliseconds
	Samples    uint32
}

// ServiceDemand is the sender's requests for a service in the window in which the
// retry budget is counted.
type ServiceDemand struct {
	_        struct{} `cbor:",toarray"`
	Service  version.ID
	Requests uint32
}

// StoreReading is one reading of the platform's store by some router. It is passed on
// until a later one is known, so that every router knows how old the fleet's
// knowledge of the store is. By, Inc and No name the reading: its age is counted
// from when it was first heard, so passing it on cannot make it look younger.
type StoreReading struct {
	_           struct{} `cbor:",toarray"`
	Reader      NodeID
	Inc         Incarnation
	No          uint32 // counts the reader's readings
	AgeMS       uint32
	RecoveredMS uint32 // since the reader found the store back after an outage, plus one; 0 is not lately
}

// Unasked is work of one organisation on which the sender decided without the
// scheduler: refused for want of processor, or placed because no answer came. Both
// are in tokens as shares are counted; Placed is less than 0 when more came to nothing
// than was placed since the last time.
type LocalUsage struct {
	_         struct{} `cbor:",toarray"`
	Service   version.ID
	Org       version.ID
	Requested int64
	Placed    int64
}

// ShareUpdate is how an organisation stands at a service that the sender schedules, in
// tokens of the window in which shares are counted.
type ShareUpdate struct {
	_            struct{} `cbor:",toarray"`
	Service      version.ID
	Org          version.ID
	SharePercent uint32 // hundredths of its share that it has had
	Share        uint32
	Requested    uint32 // by all routers
}

// StoreDelta is every change of the store's content from one revision to another.
type StoreDelta struct {
	_       struct{} `cbor:",toarray"`
	From    uint64
	To      uint64
	Table   bool // the routing table changed too: it is to be fetched
	Put     []InstanceEntry
	Removed []string
	Places  []PlaceEntry
}

// PlaceEntry says whether a place is evacuated, by an entry written at a revision.
type PlaceEntry struct {
	_         struct{} `cbor:",toarray"`
	Place     string
	Evacuated bool
	Revision  uint64
}

// InstanceEntry is one instance's entry.
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
	ColdMS   uint32 // how much longer it is cold, as of the sending
}

// PlacementRequest asks the receiver, as the scheduler of a service, to place a request.
type PlacementRequest struct {
	_          struct{} `cbor:",toarray"`
	No         uint64   // the sender's number of the request
	Try        uint32   // counts the sender's asks for this request
	Service    version.ID
	Org        version.ID
	Place      version.ID // of the sender
	Input      uint32     // tokens of the prompt
	Output     uint32     // tokens expected
	TargetMS   uint32     // until the answer is late, 0 when it is
	DeadlineMS uint32     // until the caller's deadline
	Priority   uint8
	Parts      []PromptPart
	Avoid      []version.ID // upstreams that failed this request
	Regions    []version.ID // that may run it; none are all
	Backoffs   []Backoff    `cbor:"-"` // of the message that the ask came with
}

// Backoff says for how long an upstream wants nothing of the sender (Retry-After).
type Backoff struct {
	_        struct{} `cbor:",toarray"`
	Upstream version.ID
	ForMS    uint32
}

// PromptPart is one part of a prompt: the hash of its name, and its tokens.
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
	CacheSource   version.ID // an upstream to fetch kept prompt parts from, or 0
	PrefillTokens uint32     // tokens the upstream is expected to read
	WaitMS        uint32     // expected behind others
	RetryAfterMS  uint32     // of a refusal: when to come back
	WaitLimitMS   uint32     // of a refusal: the wait that was allowed
	SharePercent  uint32     // hundredths of its share that the organisation has had
	ReasonCode    uint8
	PrefillMS     uint32 // expected from the end of the wait to the first event
	Cold          bool   // the upstream is cold, and the place is within what it takes
	CheckHealth   bool   // the upstream's health is to be asked first: it has answered nothing lately
}

// ProgressNote tells the scheduler how a placed request goes on.
type ProgressNote struct {
	_       struct{} `cbor:",toarray"`
	No      uint64
	Event   uint8  // one of the Note constants
	FirstMS uint32 // from sending to the first event
}

// Events of a ProgressNote.
const (
	ProgressFirstEvent uint8 = iota + 1 // the first event came
	ProgressDone                        // ended, answered
	ProgressFailed                      // ended by the upstream's fault
	ProgressUnused                      // the upstream did not run it, or it was never sent
	ProgressRefused                     // ended, since the upstream refused the connection
)

// IsFailure reports whether an event is an upstream's fault.
func IsFailure(event uint8) bool { return event == ProgressFailed || event == ProgressRefused }

// UpstreamLoad is the sender's own use of one upstream.
type UpstreamLoad struct {
	_        struct{} `cbor:",toarray"`
	Upstream version.ID
	Running  uint32
	Tokens   uint32 // of memory
	Unread   uint32 // tokens of prompts without a first event
}

// Doubt says that the sender has reason to take an upstream for cold, beside what the
// upstream's entry says.
type ColdSuspicion struct {
	_        struct{} `cbor:",toarray"`
	Upstream version.ID
	ForMS    uint32
}

// CachedPartUpdate says that an upstream has read a prompt part.
type CachedPartUpdate struct {
	_        struct{} `cbor:",toarray"`
	Upstream version.ID
	Part     uint64
	Tokens   uint32
}
