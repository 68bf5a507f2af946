package dispatch

import (
	"time"

	"github.com/silverswitch/silverswitch/internal/core/wire"
	"github.com/silverswitch/silverswitch/internal/routing"
	"github.com/silverswitch/silverswitch/internal/version"
)

// Reason says why a request was refused before it was sent.
type Reason uint8

// Reasons for a refusal.
const (
	ReasonNone          Reason = iota
	ReasonNoUpstream           // the service has no upstream
	ReasonCapacity             // no upstream can serve the request within its target latency
	ReasonBudget               // the retry budget is spent
	ReasonShare                // the organisation has used its share, and others go first
	ReasonEvacuated            // all places of its upstreams are evacuated
	ReasonCold                 // its upstreams are cold, and have received all that cold ones may get
	ReasonRegions              // no upstream is in an allowed region
	ReasonBackoff              // its upstreams have asked this router to back off (Retry-After)
	ReasonStreamVersion        // no upstream runs the software version that began its stream
	ReasonStreamUnknown        // it is not known which software version began its stream
)

// String returns the reason as written in logs and responses.
func (r Reason) String() string {
	names := [...]string{"none", "no-upstream", "no-capacity-in-time", "retry-budget-spent", "share-used", "places-evacuated", "upstreams-cold", "no-upstream-in-allowed-regions", "upstreams-back-off", "no-upstream-of-stream-version", "stream-version-unknown"}
	if int(r) >= len(names) {
		return "unknown" // sent by a router of another release
	}
	return names[r]
}

// Request is what a decision needs to know of a caller's request. It has no content.
type Request struct {
	ID         uint64
	Service    string
	Org        string
	Input      int // tokens of the prompt
	Output     int // expected tokens of the answer
	Parts      []wire.PromptPart
	Priority   int
	TargetTime time.Time // an answer after this is late
	Deadline   time.Time
	Regions    routing.Regions // in which it may run
	Stream     uint64          // stands for the stream over its caller's attempts, 0 unless it may be resumed, or if it is unknown which one is
	Resumed    bool            // the caller has events of the stream
}

// Input is an event for the node. The types below are all of them.
type Input interface{ input() }

// Receive is an authenticated datagram of another router.
type Receive struct{ Datagram *wire.Datagram }

// Arrive asks for a placement of a new request.
type Arrive struct{ Request Request }

// PlaceAgain requests another upstream for a placed request. Event says how the last
// placement ended: it is one of the constants wire.ProgressFailed, ProgressRefused and
// ProgressUnused. After ProgressUnused the new placement does not count as a retry, since the
// upstream did not run the request.
type PlaceAgain struct {
	ID    uint64
	Event uint8
}

// PlaceBeside requests a second placement for a placed request, whose first placement goes on. The
// second one is a request of its own, NewID, which counts as a retry and ends by itself: a refusal
// changes nothing for the first. Avoid names further upstreams not to use.
type PlaceBeside struct {
	ID    uint64
	NewID uint64
	Avoid []routing.Instance
}

// FirstEvent reports a request's first event. After is the time since the request was sent.
type FirstEvent struct {
	ID    uint64
	After time.Duration
}

// End ends a request. Event is one of the wire.Progress constants; a request that was never
// placed is abandoned with ProgressUnused.
type End struct {
	ID    uint64
	Event uint8
}

// Catalogue is the content of the platform's store as of a revision.
type Catalogue struct {
	Table     *routing.Table
	Instances []routing.Instance
	Evacuated []routing.Evacuation
	Revision  uint64 // of the last known change
	AsOf      uint64 // every change up to this revision is known
	// Incremental means that Instances has only what was put since the last catalogue, Ended
	// has what ended since, and the table names the same services as the last one.
	Incremental bool
	Ended       []routing.Ended
	// Gap means that instances may have come and gone unseen since the last catalogue.
	Gap bool
}

// StoreRead reports that this router has just read the store itself. Delta has the changes
// it found, nil for none. FullListing means that it listed the whole store, so that the
// changes are not known. It follows a call of Node.ReadStore.
type StoreRead struct {
	Delta       *wire.StoreDelta
	FullListing bool
}

// StoreUnreachable reports that the store did not answer this router.
type StoreUnreachable struct{}

// CPUOverload reports whether this router is overloaded (short of CPU), and whether it sheds
// load for that.
type CPUOverload struct{ On, Shedding bool }

// CaughtUp reports that every change of the store up to a revision is known.
type CaughtUp struct{ AsOf uint64 }

// CacheUpdate reports which prompt parts an engine has cached: all of them if Full is set,
// else the changes.
type CacheUpdate struct {
	Instance string // identifies one start of the engine: routing.Instance.Start
	Full     bool
	Parts    []PartUpdate
}

// PartUpdate is a prompt part and its cached tokens, 0 if it was evicted.
type PartUpdate struct {
	Part   uint64
	Tokens int
}

// LoadShed is work that this router refused without a placement request because it was
// overloaded. It counts as demand when capacity is shared.
type LoadShed struct{ Work []ShedWork }

// ShedWork is the shed work of one organisation at one service.
type ShedWork struct {
	Service string
	Org     string
	Tokens  float64 // as counted by Cost
}

// Cost returns the work of a request as it is counted for shares: each prompt token counts
// once, each generated token twice (the platform's measure of engine output).
func Cost(input, output int) float64 { return float64(input) + 2*float64(output) }

// LeaveNotice reports that an instance has told this router that it is leaving.
type LeaveNotice struct{ Instance routing.Instance }

// RetryAfter reports that an instance has asked this router to send nothing for some time.
type RetryAfter struct {
	Instance routing.Instance
	For      time.Duration
}

// HealthCheckFailed reports a health check after which an instance gets no request now: it is
// cold for ColdFor, or was not reached if that is 0.
type HealthCheckFailed struct {
	Instance routing.Instance
	ColdFor  time.Duration
}

// UpdateSettings changes the settings that may change while the process runs.
type UpdateSettings struct {
	Seeds []wire.NodeID
	Retry RetryRules
	Cold  ColdRules
}

// Leave begins a planned stop.
type Leave struct{}

func (Receive) input()           {}
func (Arrive) input()            {}
func (PlaceAgain) input()        {}
func (PlaceBeside) input()       {}
func (FirstEvent) input()        {}
func (End) input()               {}
func (Catalogue) input()         {}
func (StoreRead) input()         {}
func (CacheUpdate) input()       {}
func (CaughtUp) input()          {}
func (LoadShed) input()          {}
func (StoreUnreachable) input()  {}
func (CPUOverload) input()       {}
func (HealthCheckFailed) input() {}

func (LeaveNotice) input() {}
func (RetryAfter) input()  {}

func (FetchContentEnded) input() {}

func (UpdateSettings) input() {}

func (Leave) input() {}

// Output is an action for the driver. The types below are all of them.
type Output interface{ output() }

// Send is a datagram for another router.
type Send struct {
	To       wire.NodeID
	Datagram *wire.Datagram
}

// Placement says where a request runs.
type Placement struct {
	ID            uint64
	Instance      routing.Instance
	Source        string // address of an engine from which to fetch cached prompt parts, or ""
	By            wire.NodeID
	WaitMS        int    // expected wait behind other requests
	PrefillTokens int    // expected tokens to prefill
	PrefillMS     int    // expected time from the end of the wait to the first event
	Revision      uint64 // of the store's content it was decided on here
	// Cold says that the upstream is cold: the request must be sent by SendBy, or not at
	// all.
	Cold   bool
	SendBy time.Time
	// CheckHealth says that the upstream may have turned cold without this router's
	// knowledge: its health must be checked first.
	CheckHealth bool
}

// MaySend reports whether a request may still be sent to its upstream, which is cold until
// coldUntil according to its entry.
func (p *Placement) MaySend(coldUntil, now time.Time) bool {
	if p.Cold {
		return now.Before(p.SendBy)
	}
	return coldUntil.Sub(now) <= coldEndTolerance
}

// Refuse refuses a request. This decision sent nothing of it.
type Refuse struct {
	ID     uint64
	Reason Reason
	After  time.Duration // when the caller should retry
	By     wire.NodeID

	WaitMS       int    // expected wait behind other requests at the best upstream
	LimitMS      int    // allowed wait
	PrefillMS    int    // expected time from the end of the wait to the first event
	SharePercent uint32 // used part of the organisation's share, in per cent
	Revision     uint64 // of the store's content it was decided on here
}

// FetchContent asks the driver to fetch the store's content from a peer that has more of it.
type FetchContent struct {
	From     wire.NodeID
	Revision uint64
}

// ApplyDelta passes on changes of the store's content that a peer has read.
type ApplyDelta struct {
	From  wire.NodeID
	Delta *wire.StoreDelta
}

// CheckStore asks for a reading of the store at once: whether its readings go on decides whether
// the store was away.
type CheckStore struct{}

// FetchContentEnded reports that a fetch has ended, with or without content.
type FetchContentEnded struct{}

// UpstreamGone reports that an instance is gone, so that idle connections to it can be
// closed. If it was restarted under its ID, the former process has certainly ended, with all
// its requests.
type UpstreamGone struct {
	Instance  routing.Instance
	Restarted bool
}

// Event is a state change that is written to the log as one line.
type Event struct {
	Name   string
	Router wire.NodeID
	Detail string
	Value  uint64
}

func (Send) output()         {}
func (CheckStore) output()   {}
func (Placement) output()    {}
func (Refuse) output()       {}
func (FetchContent) output() {}
func (ApplyDelta) output()   {}

func (UpstreamGone) output() {}
func (Event) output()        {}

func serviceID(name string) version.ID { return version.IDOf(name) }
