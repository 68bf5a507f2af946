package dispatch

import (
	"time"

	"github.com/silverswitch/silverswitch/internal/core/wire"
	"github.com/silverswitch/silverswitch/internal/routing"
	"github.com/silverswitch/silverswitch/internal/version"
)

// Reason says why a request was refused before it was sent.
type Reason uint8

// The reasons of a refusal.
const (
	ReasonNone       Reason = iota
	ReasonNoUpstream        // the service has no upstream
	ReasonCapacity          // its upstreams are busy beyond what the aim allows
	ReasonBudget            // the retry budget is spent
	ReasonShare             // the organisation has had its share, and others go first
	ReasonEvacuated         // all places of its upstreams are evacuated
	ReasonCold              // its upstreams are cold, and have had what they take
	ReasonRegions           // no upstream stands in the regions that are allowed
	ReasonBackoff           // its upstreams want nothing of the router for a while (Retry-After)
)

// String returns the reason as logs and answers show it.
func (r Reason) String() string {
	names := [...]string{"none", "no-upstream", "no-capacity-in-time", "retry-budget-spent", "share-used", "places-evacuated", "upstreams-cold", "no-upstream-in-allowed-regions", "upstreams-back-off"}
	if int(r) >= len(names) {
		return "unknown" // of a router of another release
	}
	return names[r]
}

// Request is what the decision needs to know of a caller's request. No content.
type Request struct {
	ID         uint64
	Service    string
	Org        string
	Input      int // tokens of the prompt
	Output     int // tokens expected
	Parts      []wire.PromptPart
	Priority   int
	TargetTime time.Time // an answer after this is late
	Deadline   time.Time
	Regions    routing.Regions // of the upstreams that may run it
}

// Input is one thing that happened. The types below are all there are.
type Input interface{ input() }

// Receive is a datagram of another router, authenticated.
type Receive struct{ Datagram *wire.Datagram }

// Arrive asks where to run a request.
type Arrive struct{ Request Request }

// Again asks for another upstream for a request that was placed, after the one
// it had failed it (Event is a Note constant). With NoteUnused nothing was sent, and
// it is no repeat.
type Again struct {
	ID    uint64
	Event uint8
}

// First says that a request's first event came, so long after it was sent.
type First struct {
	ID    uint64
	After time.Duration
}

// End ends a request. Event is a Note constant; one that was never placed is
// given up with NoteUnused.
type End struct {
	ID    uint64
	Event uint8
}

// Catalogue is the content of the platform's store as of a revision.
type Catalogue struct {
	Table     *routing.Table
	Instances []routing.Instance
	Evacuated []routing.Evacuation
	Revision  uint64 // of the last change known
	AsOf      uint64 // every change up to this is known
	// Part says that Instances are those that were put since the last catalogue, Ended those
	// that ended, and that the table names the same services as the last one.
	Incremental bool
	Ended       []routing.Ended
}

// Sighted says that this router has read the store itself just now, with the
// changes it found, nil for none. Whole says that it has listed all of it, so that it does
// not know what changed. Back says that the store had not answered it before.
type StoreRead struct {
	Delta       *wire.StoreDelta
	FullListing bool
	Recovered   bool
}

// Unsighted says that the store did not answer this router.
type StoreUnreachable struct{}

// Strained says whether this router is short of processor.
type CPUOverload struct{ On bool }

// Seen says that every change of the store up to a revision is known.
type CaughtUp struct{ AsOf uint64 }

// Kept is news of the prompt parts that an engine keeps: all of them when Full,
// else what changed.
type CacheUpdate struct {
	Instance string // names its start: routing.Instance.Start
	Full     bool
	Parts    []PartUpdate
}

// PartUpdate is a part and its tokens kept, 0 when it has left.
type PartUpdate struct {
	Part   uint64
	Tokens int
}

// Turned is work that this router refused without asking for a place, for want of
// processor. It counts as asked for when capacity is shared.
type LoadShed struct{ Work []ShedWork }

// ShedWork is the refused work of one organisation at one service.
type ShedWork struct {
	Service string
	Org     string
	Tokens  float64 // as Cost counts them
}

// Cost is the work of a request as shares are counted: a token read counts once,
// a token generated twice (the platform's measure of what its engines produce).
func Cost(input, output int) float64 { return float64(input) + 2*float64(output) }

// LeaveNotice says that an instance has told this router itself that it leaves.
type LeaveNotice struct{ Instance routing.Instance }

// RetryAfter says that an instance has asked this router to send it nothing for a time.
type RetryAfter struct {
	Instance routing.Instance
	For      time.Duration
}

// Looked says that an instance takes no request now, by its own health: it is cold for a
// time, or was not reached when that is 0.
type Looked struct {
	Instance routing.Instance
	ColdFor  time.Duration
}

// UpdateSettings changes what may change while the process runs.
type UpdateSettings struct {
	Seeds []wire.NodeID
	Retry RetryRules
	Cold  ColdRules
}

// Leave begins a planned stop.
type Leave struct{}

func (Receive) input()          {}
func (Arrive) input()           {}
func (Again) input()            {}
func (First) input()            {}
func (End) input()              {}
func (Catalogue) input()        {}
func (StoreRead) input()        {}
func (CacheUpdate) input()      {}
func (CaughtUp) input()         {}
func (LoadShed) input()         {}
func (StoreUnreachable) input() {}
func (CPUOverload) input()      {}
func (Looked) input()           {}

func (LeaveNotice) input() {}
func (RetryAfter) input()  {}

func (FetchContentEnded) input() {}

func (UpdateSettings) input() {}

func (Leave) input() {}

// Output is one thing to do. The types below are all there are.
type Output interface{ output() }

// Send is a datagram for another router.
type Send struct {
	To       wire.NodeID
	Datagram *wire.Datagram
}

// Place says where a request runs.
type Placement struct {
	ID         uint64
	Instance   routing.Instance
	Source     string // address of an engine to fetch kept prompt parts from, or ""
	By         wire.NodeID
	WaitMS     int    // expected behind others
	ReadTokens int    // tokens expected to be read
	PrefillMS  int    // expected from the end of the wait to the first event
	Revision   uint64 // of the store's content it was decided on here
	// Cold says that the upstream is cold: the request is sent there by SendBy, or not at
	// all.
	Cold   bool
	SendBy time.Time
	// Look says that the upstream may have turned cold without this router's knowledge:
	// its health is to be asked first.
	CheckHealth bool
}

// MaySend reports whether a request may still be sent where it was placed, to an upstream
// whose entry says that it is cold until a time.
func (p *Placement) MaySend(coldUntil, now time.Time) bool {
	if p.Cold {
		return now.Before(p.SendBy)
	}
	return coldUntil.Sub(now) <= coldEndTolerance
}

// Refuse gives a request up; nothing of it was sent by this decision.
type Refuse struct {
	ID     uint64
	Reason Reason
	After  time.Duration // when to come back
	By     wire.NodeID

	WaitMS    int    // expected behind others at the best upstream
	LimitMS   int    // that was allowed
	PrefillMS int    // expected from the end of the wait to the first event
	Over      uint32 // hundredths of its share that the organisation has had
	Revision  uint64 // of the store's content it was decided on here
}

// Fetch asks the driver to read the store's content from a peer that knows more.
type FetchContent struct {
	From     wire.NodeID
	Revision uint64
}

// Apply hands over changes of the store's content that a peer has read.
type ApplyDelta struct {
	From  wire.NodeID
	Delta *wire.StoreDelta
}

// FetchContentEnded says that a read which Fetch asked for has ended, with or without content.
type FetchContentEnded struct{}

// StoreRecovered says that a peer found the store back after an outage, at a time: what
// is missing there may have lapsed meanwhile.
type StoreRecovered struct {
	From wire.NodeID
	At   time.Time
}

// Gone says that an instance has left: idle connections to it can go. One that has started
// again under its ID has ended for certain, with all that it was asked.
type UpstreamGone struct {
	Instance  routing.Instance
	Restarted bool
}

// Event is a change of belief, for one log line.
type Event struct {
	Name   string
	Router wire.NodeID
	Detail string
	Value  uint64
}

func (Send) output()         {}
func (Placement) output()    {}
func (Refuse) output()       {}
func (FetchContent) output() {}
func (ApplyDelta) output()   {}

func (StoreRecovered) output() {}

func (UpstreamGone) output() {}
func (Event) output()        {}

func serviceID(name string) version.ID { return version.IDOf(name) }
