// Package wire holds the messages between routers. One datagram carries a header and the
// messages for one receiver. Messages state absolute values where possible, so that a lost,
// late or repeated one does no harm.
package wire

import (
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/joomcode/errorx"

	"github.com/silverswitch/silverswitch/internal/version"
)

// NodeID is a router's peer address, "ip:port".
type NodeID string

// Incarnation identifies one process of a router by its start time, in tenths of a second since
// 2025. A restarted router has a higher incarnation and keeps no state of the former one. An
// incarnation, and a number counted from it, fit four bytes on the wire until 2038.
type Incarnation uint64

// incarnationEpochMS is the zero of Incarnation (1 January 2025, UTC), in Unix milliseconds.
const incarnationEpochMS = 1735689600_000

// incarnationUnitMS is the unit of Incarnation in milliseconds.
const incarnationUnitMS = 100

// IncarnationAt returns the incarnation of a process that starts at t.
func IncarnationAt(t time.Time) Incarnation {
	return Incarnation((t.UnixMilli() - incarnationEpochMS) / incarnationUnitMS)
}

// Start returns the start time that an incarnation stands for.
func (i Incarnation) Start() time.Time {
	return time.UnixMilli(int64(i)*incarnationUnitMS + incarnationEpochMS)
}

// ClockMS returns the time by a router's clock as it is sent: Unix milliseconds, modulo 2^32. Two of
// them less than 24 days apart can be compared by their difference as an int32.
func ClockMS(t time.Time) uint32 { return uint32(t.UnixMilli()) }

// State is the membership state of a router.
type State uint8

// The states of a router. Of two updates with equal incarnation and refutations, the higher
// state takes precedence.
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

// Update is one router's membership state as known to its sender. A router increments its own
// Refutations to overrule a wrong suspicion (SWIM, Das et al. 2002, 4.2).
type Update struct {
	_           struct{} `cbor:",toarray"`
	ID          NodeID
	Inc         Incarnation
	Refutations uint32
	State       State
	Place       string
	Public      string // base URL for callers
	Power       uint32 // CPU of the router in millicores, 0 when unknown
}

// Datagram is everything that one router sends to another at one moment.
type Datagram struct {
	From              NodeID          `cbor:"-"` // source address of the socket; the seal authenticates it
	Inc               Incarnation     `cbor:"2,keyasint"`
	Refutations       uint32          `cbor:"3,keyasint,omitempty"`
	State             State           `cbor:"4,keyasint,omitempty"`
	Version           *version.Number `cbor:"5,keyasint,omitempty"` // on pings and acks, and for a while after a change
	Updates           []Update        `cbor:"6,keyasint,omitempty"`
	WantsUpdate       bool            `cbor:"16,keyasint,omitempty"` // the sender has no update of the receiver itself and requests it
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
	Join              *JoinRequest    `cbor:"18,keyasint,omitempty"` // the sender has just started and requests the members it does not know yet
	Crashes           *CrashUpdate    `cbor:"20,keyasint,omitempty"`
	Parts             *PartUpdate     `cbor:"21,keyasint,omitempty"`
	JoinClock         uint32          `cbor:"19,keyasint,omitempty"` // reply to Join: Updates hold every change up to this clock
	JoinPartial       bool            `cbor:"22,keyasint,omitempty"` // reply to Join: the fleet may have routers that the sender has not named
	FormerCells       []Cell          `cbor:"24,keyasint,omitempty"` // beside PoolStates: service received through a router's processes before Inc
	LeavingNotices    []LeavingNotice `cbor:"23,keyasint,omitempty"` // reply to Join
	SentMS            uint32          `cbor:"25,keyasint,omitempty"` // ClockMS at the sending, beside Ping, Ack and Parts of the routed interface
}

// LeavingNotice is what the sender knows of an upstream that is leaving.
type LeavingNotice struct {
	_        struct{} `cbor:",toarray"`
	Upstream version.ID
	AgeMS    uint32 // since the notice was last given
}

// JoinRequest says how much of a router's member table the sender already has.
type JoinRequest struct {
	_     struct{}    `cbor:",toarray"`
	Inc   Incarnation // of the process that sent it
	Clock uint32      // that process's count of changes
}

// Ping requests an Ack. When Target is set, the receiver pings the target on behalf of the
// sender.
type Ping struct {
	_      struct{} `cbor:",toarray"`
	Seq    uint32
	Target NodeID
}

// Ack answers a Ping. Target is the router that is alive.
type Ack struct {
	_      struct{} `cbor:",toarray"`
	Seq    uint32
	Target NodeID
}

// Report is a router's waiting and running requests in one pool, sent to the pool's scheduler.
type Report struct {
	_            struct{} `cbor:",toarray"`
	Pool         version.ID
	Seq          uint32 // sequence number; older reports are dropped
	SentMS       uint32 // since the sender's start; echoed by the Grants that answer
	Epoch        uint32 // of grant numbers; the sender raises it to restart the numbering
	Acked        uint32 // last grant number accepted in that epoch
	Full         bool   // rows that are not listed are empty
	WantsCredits bool   // requests arrive often enough to use standing credits
	Rows         []Row
	Samples      []Sample
}

// Row is one organisation's requests in a Report.
type Row struct {
	_           struct{} `cbor:",toarray"`
	Org         version.ID
	Waiting     uint32
	Urgent      uint32
	OldestAge   uint32 // age of the oldest waiting request, in tenths of a second
	NormService uint64 // service received through the sender since its start, divided by share, in hundredths
	Held        []Held
}

// Held is the number of the sender's requests at one upstream.
type Held struct {
	_        struct{} `cbor:",toarray"`
	Upstream version.ID
	N        uint32
}

// Sample is what the sender observed at one upstream since its last report.
type Sample struct {
	_        struct{} `cbor:",toarray"`
	Upstream version.ID
	N        uint32
	FirstMS  uint32 // mean time to the first byte
	GapMS    uint32 // mean time between tokens
	Failed   uint32
	Running  uint32 // load that the upstream reported, plus one; 0 when it reported none
}

// Grants answers a Report. Each grant is resent until a Report acknowledges it.
type Grants struct {
	_            struct{} `cbor:",toarray"`
	Pool         version.ID
	Epoch        uint32
	ReportSeq    uint32 // sequence number of the last report received
	ReportSentMS uint32 // SentMS of that report; the receiver counts leases from it
	Saturated    bool   // the pool has a backlog: the receiver returns unused credits
	Reset        bool   // the scheduler does not know the receiver's grants: the receiver starts a new epoch
	List         []Grant
}

// Grant permits N requests to run at an upstream. Org 0 is a standing credit, which any
// organisation that may use the upstream can spend.
type Grant struct {
	_        struct{} `cbor:",toarray"`
	No       uint32
	Org      version.ID
	Upstream version.ID
	N        uint32
}

// Ledger is the service received through the sender, over all pools.
type Ledger struct {
	_    struct{} `cbor:",toarray"`
	Rows []LedgerRow
}

// LedgerRow is one cell of the service ledger. Cells only grow, and merge to the larger value.
type LedgerRow struct {
	_           struct{} `cbor:",toarray"`
	Org         version.ID
	NormService uint64
}

// PoolState is a scheduler's state of the organisations' accounts in a pool, sent to the pool's
// standby.
type PoolState struct {
	_       struct{} `cbor:",toarray"`
	Pool    version.ID
	Offsets []Offset
	Cells   []Cell
}

// Offset is service that an organisation is treated as having received, from its return from
// idleness on.
type Offset struct {
	_           struct{} `cbor:",toarray"`
	Org         version.ID
	NormService uint64
}

// Cell is a ledger row with the router that it belongs to.
type Cell struct {
	_           struct{} `cbor:",toarray"`
	Node        NodeID
	Inc         Incarnation
	Org         version.ID
	NormService uint64
}

// Attempt identifies one attempt to run a request; it is unique over all routers.
type Attempt struct {
	_    struct{} `cbor:",toarray"`
	Node NodeID
	Inc  Incarnation
	No   uint64
}

// Claim asks a witness to record that only this attempt may run the key. With Release set the
// witness forgets the key, since the attempt will never run.
type Claim struct {
	_       struct{} `cbor:",toarray"`
	Key     [16]byte // first half of the SHA-256 of organisation, application and key
	Minted  int64    // Unix milliseconds, from the key
	Attempt Attempt
	Release bool
	Done    bool // the attempt received a complete answer
}

// Verdict is a witness's answer to a claim.
type Verdict uint8

// The verdicts. Only VerdictGranted counts towards a quorum.
const (
	VerdictGranted    Verdict = iota
	VerdictTaken              // another attempt holds the key
	VerdictForgotten          // the witness may have forgotten the key: it is older than the witness's memory, or the memory is full
	VerdictExpired            // the key is outside the window in which keys are remembered
	VerdictNotWitness         // the router is not a witness of the key, as far as it knows the fleet
)

// Vote carries a witness's Verdict, and the holder when the key is taken.
type Vote struct {
	_       struct{} `cbor:",toarray"`
	Key     [16]byte
	Attempt Attempt
	Verdict Verdict
	Holder  Attempt
	Done    bool
}

// Limits on datagrams from outside.
const (
	MaxDatagramBytes = 60 * 1024
	maxArrayElements = 16384
	maxNestedLevels  = 8
)

// ErrDecode is the error type of a message that cannot be encoded or decoded.
var ErrDecode = errorx.NewNamespace("wire").NewType("decode")

var decoder = func() cbor.DecMode {
	m, err := cbor.DecOptions{MaxArrayElements: maxArrayElements, MaxMapPairs: 64, MaxNestedLevels: maxNestedLevels}.DecMode()
	if err != nil {
		panic(err) // the options are constants
	}
	return m
}()

// Encode returns the encoded form of a datagram.
func Encode(d *Datagram) ([]byte, error) {
	raw, err := cbor.Marshal(d)
	if err != nil {
		return nil, ErrDecode.Wrap(err, "encode datagram")
	}
	if len(raw) > MaxDatagramBytes {
		return nil, ErrDecode.New("datagram has %d bytes; at most %d are allowed", len(raw), MaxDatagramBytes)
	}
	return raw, nil
}

// Decode reads an encoded datagram.
func Decode(raw []byte) (*Datagram, error) {
	if len(raw) > MaxDatagramBytes {
		return nil, ErrDecode.New("datagram has %d bytes; at most %d are allowed", len(raw), MaxDatagramBytes)
	}
	d := &Datagram{}
	if err := decoder.Unmarshal(raw, d); err != nil {
		return nil, ErrDecode.Wrap(err, "decode datagram")
	}
	if d.State > Dead {
		return nil, ErrDecode.New("datagram has unknown state %d; the highest known state is %d", d.State, Dead)
	}
	return d, nil
}
