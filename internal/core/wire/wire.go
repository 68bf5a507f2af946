// Package wire holds the messages between routers. One datagram carries a head
// and the messages for one receiver. Every message states absolute values, so
// that a lost, late or repeated one does no harm.
package wire

import (
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/joomcode/errorx"

	"github.com/silverswitch/silverswitch/internal/version"
)

// NodeID is a router's peer address, "ip:port".
type NodeID string

// Incarnation is a process's start, in tenths of a second since 2025; a restarted
// router has a higher one and remembers nothing of the former. It and what is
// counted from it fit four bytes on the wire until 2038.
type Incarnation uint64

// epoch2025 is the zero of Incarnation, in Unix milliseconds.
const incarnationEpochMS = 1735689600_000

// tenth is the unit of Incarnation in milliseconds.
const incarnationUnitMS = 100

// IncarnationAt returns the incarnation of a process that starts at a moment.
func IncarnationAt(t time.Time) Incarnation {
	return Incarnation((t.UnixMilli() - incarnationEpochMS) / incarnationUnitMS)
}

// Start returns the moment an incarnation names.
func (i Incarnation) Start() time.Time {
	return time.UnixMilli(int64(i)*incarnationUnitMS + incarnationEpochMS)
}

// State is what is known of a router.
type State uint8

// The states of a router, in order of precedence at equal numbers.
const (
	Alive State = iota
	Leaving
	Suspect
	Dead
)

// String returns the state's name as operators see it.
func (s State) String() string {
	return [...]string{"alive", "leaving", "suspect", "dead"}[s&3]
}

// Update is one router's state as its teller knows it. Refute is raised by the
// router itself to overrule a wrong suspicion (SWIM, Das et al. 2002, 4.2).
type Update struct {
	_           struct{} `cbor:",toarray"`
	ID          NodeID
	Inc         Incarnation
	Refutations uint32
	State       State
	Place       string
	Public      string // base URL for callers
	Power       uint32 // thousandths of a core the router has, 0 when it does not say
}

// Datagram is everything one router tells another at one moment.
type Datagram struct {
	From              NodeID          `cbor:"-"` // the socket it came from; sealing binds it
	Inc               Incarnation     `cbor:"2,keyasint"`
	Refutations       uint32          `cbor:"3,keyasint,omitempty"`
	State             State           `cbor:"4,keyasint,omitempty"`
	Version           *version.Number `cbor:"5,keyasint,omitempty"` // on pings, acks, and after a change
	Updates           []Update        `cbor:"6,keyasint,omitempty"`
	WantsUpdate       bool            `cbor:"16,keyasint,omitempty"` // the sender lacks the receiver's own update
	DrainingUpstreams []version.ID    `cbor:"7,keyasint,omitempty"`  // upstreams known to be leaving
	Ping              *Ping           `cbor:"8,keyasint,omitempty"`
	Ack               *Ack            `cbor:"9,keyasint,omitempty"`
	Reports           []Report        `cbor:"10,keyasint,omitempty"`
	Grants            []Grants        `cbor:"11,keyasint,omitempty"`
	Ledger            *Ledger         `cbor:"12,keyasint,omitempty"`
	Claims            []Claim         `cbor:"13,keyasint,omitempty"`
	Votes             []Vote          `cbor:"14,keyasint,omitempty"`
	PoolStates        []PoolState     `cbor:"15,keyasint,omitempty"`
	Dispatch          *Dispatch       `cbor:"17,keyasint,omitempty"`
	Join              *JoinRequest    `cbor:"18,keyasint,omitempty"` // the sender has just started: it wants what it does not know yet
	Crashes           *CrashUpdate    `cbor:"20,keyasint,omitempty"`
	JoinClock         uint32          `cbor:"19,keyasint,omitempty"` // answer to that: the clock up to which the updates tell all
}

// JoinRequest names how much of a router's table of members the sender knows.
type JoinRequest struct {
	_     struct{}    `cbor:",toarray"`
	Inc   Incarnation // of the process that told it
	Clock uint32      // that process's count of changes
}

// Ping asks for an Ack. When Target is set, the receiver asks it in its place.
type Ping struct {
	_      struct{} `cbor:",toarray"`
	Seq    uint32
	Target NodeID
}

// Ack answers a Ping; Target names the router that is alive.
type Ack struct {
	_      struct{} `cbor:",toarray"`
	Seq    uint32
	Target NodeID
}

// Report is a router's waiting and running work in one pool, to its scheduler.
type Report struct {
	_            struct{} `cbor:",toarray"`
	Pool         version.ID
	Seq          uint32 // number of this report; older ones are dropped
	SentMS       uint32 // ms since the sender's start, echoed by the grants that answer
	Epoch        uint32 // of grant numbers; the sender raises it to begin anew
	Acked        uint32 // last grant number taken in that epoch
	Full         bool   // rows not listed are empty
	WantsCredits bool   // requests come often enough to use standing credits
	Rows         []Row
	Samples      []Sample
}

// Row is one organisation's part of a Report.
type Row struct {
	_           struct{} `cbor:",toarray"`
	Org         version.ID
	Waiting     uint32
	Urgent      uint32
	OldestAge   uint32 // age of the oldest waiting request, in tenths of a second
	NormService uint64 // service received through the sender since its start, over share, in hundredths
	Held        []Held
}

// Held counts the sender's requests at one upstream.
type Held struct {
	_        struct{} `cbor:",toarray"`
	Upstream version.ID
	N        uint32
}

// Sample is what the sender saw of one upstream since its last report.
type Sample struct {
	_        struct{} `cbor:",toarray"`
	Upstream version.ID
	N        uint32
	FirstMS  uint32 // mean time to the first byte
	GapMS    uint32 // mean time between tokens
	Failed   uint32
	Running  uint32 // load the upstream reported, plus one; 0 is none
}

// Grants answers a Report. Grants are resent until a Report acknowledges them.
type Grants struct {
	_            struct{} `cbor:",toarray"`
	Pool         version.ID
	Epoch        uint32
	ReportSeq    uint32 // last report seen
	ReportSentMS uint32 // its clock; the receiver counts the lease from here
	Saturated    bool   // the pool has a backlog: give unused credits back
	Reset        bool   // the scheduler has lost count: begin a new epoch
	List         []Grant
}

// Grant is leave to run N requests at an upstream. Org 0 is a standing credit:
// any organisation that may use the upstream.
type Grant struct {
	_        struct{} `cbor:",toarray"`
	No       uint32
	Org      version.ID
	Upstream version.ID
	N        uint32
}

// Ledger is service received through the sender, over all pools.
type Ledger struct {
	_    struct{} `cbor:",toarray"`
	Rows []LedgerRow
}

// LedgerRow is one cell of the service ledger. Cells only grow, and merge by
// the larger value.
type LedgerRow struct {
	_           struct{} `cbor:",toarray"`
	Org         version.ID
	NormService uint64
}

// PoolState is a scheduler's state of one organisation's account, copied to the
// routers that would follow it.
type PoolState struct {
	_       struct{} `cbor:",toarray"`
	Pool    version.ID
	Offsets []Offset
	Cells   []Cell
}

// Offset is service an organisation is taken to have had (return from idleness).
type Offset struct {
	_           struct{} `cbor:",toarray"`
	Org         version.ID
	NormService uint64
}

// Cell is a ledger row with the router it came from.
type Cell struct {
	_           struct{} `cbor:",toarray"`
	Node        NodeID
	Inc         Incarnation
	Org         version.ID
	NormService uint64
}

// Attempt names one try to run a request; it is unique over all routers.
type Attempt struct {
	_    struct{} `cbor:",toarray"`
	Node NodeID
	Inc  Incarnation
	No   uint64
}

// Claim asks a witness to record that the attempt alone may run the key, or,
// when Release is set, to forget it: the attempt will never run.
type Claim struct {
	_       struct{} `cbor:",toarray"`
	Key     [16]byte // first half of the SHA-256 of organisation, application and key
	Minted  int64    // ms, from the key
	Attempt Attempt
	Release bool
	Done    bool // the attempt was answered whole
}

// Verdict is a witness's answer to a claim.
type Verdict uint8

// The verdicts. Only VerdictGranted counts towards a quorum.
const (
	VerdictGranted   Verdict = iota
	VerdictTaken             // another attempt holds the key
	VerdictForgotten         // the witness may have forgotten: key older than its memory
	VerdictExpired           // key outside the window in which keys are remembered
)

// Vote carries a Verdict, and the holder when the key is taken.
type Vote struct {
	_       struct{} `cbor:",toarray"`
	Key     [16]byte
	Attempt Attempt
	Verdict Verdict
	Holder  Attempt
	Done    bool
}

// Bounds on what is accepted from outside.
const (
	MaxDatagramBytes = 60 * 1024
	maxArrayElements = 16384
	maxNestedLevels  = 8
)

// ErrDecode is a datagram that is not one of ours.
var ErrDecode = errorx.NewNamespace("wire").NewType("decode")

var decoder = func() cbor.DecMode {
	m, err := cbor.DecOptions{MaxArrayElements: maxArrayElements, MaxMapPairs: 64, MaxNestedLevels: maxNestedLevels}.DecMode()
	if err != nil {
		panic(err) // options are constants
	}
	return m
}()

// Encode returns the bytes of a datagram.
func Encode(d *Datagram) ([]byte, error) {
	raw, err := cbor.Marshal(d)
	if err != nil {
		return nil, ErrDecode.Wrap(err, "encode")
	}
	if len(raw) > MaxDatagramBytes {
		return nil, ErrDecode.New("datagram of %d bytes: allowed: at most %d", len(raw), MaxDatagramBytes)
	}
	return raw, nil
}

// Decode reads the bytes of a datagram.
func Decode(raw []byte) (*Datagram, error) {
	if len(raw) > MaxDatagramBytes {
		return nil, ErrDecode.New("datagram of %d bytes: allowed: at most %d", len(raw), MaxDatagramBytes)
	}
	d := &Datagram{}
	if err := decoder.Unmarshal(raw, d); err != nil {
		return nil, ErrDecode.Wrap(err, "decode")
	}
	if d.State > Dead {
		return nil, ErrDecode.New("state = %d: allowed: at most %d", d.State, Dead)
	}
	return d, nil
}
