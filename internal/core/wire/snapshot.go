package wire

import (
	"github.com/fxamacker/cbor/v2"

	"github.com/silverswitch/silverswitch/internal/version"
)

// Snapshot is what the scheduler of some services knows that routers' regular messages do not
// rebuild. A router that comes to be an heir reads it from another one.
type Snapshot struct {
	_        struct{} `cbor:",toarray"`
	Services []ServiceSnapshot
}

// ServiceSnapshot is the state of one service's scheduler.
type ServiceSnapshot struct {
	_       struct{} `cbor:",toarray"`
	Service version.ID
	Orgs    []OrgWindow
	Model   PrefillModel // Samples is 0 when nothing was learned
	Engines []EngineSnapshot
}

// OrgWindow is what one organisation asked for and got in the window in which shares are
// counted, in tokens, by the age of a step: the present one first.
type OrgWindow struct {
	_         struct{} `cbor:",toarray"`
	Org       version.ID
	Requested []float32
	Received  []float32
}

// EngineSnapshot is what one engine is believed to keep, the latest used first, and for how
// long it is passed over after failures.
type EngineSnapshot struct {
	_           struct{} `cbor:",toarray"`
	Upstream    version.ID
	EjectionMS  uint32
	CachedParts []CachedPart
}

// CachedPart is a prompt part that an engine keeps. One that is not Ready is still read.
type CachedPart struct {
	_      struct{} `cbor:",toarray"`
	Part   uint64
	Tokens uint32
	Ready  bool
}

// EncodeSnapshot returns the bytes of a state.
func EncodeSnapshot(s *Snapshot) ([]byte, error) {
	raw, err := cbor.Marshal(s)
	if err != nil {
		return nil, ErrDecode.Wrap(err, "encode a scheduler's snapshot")
	}
	return raw, nil
}

// DecodeSnapshot reads the bytes of a state.
func DecodeSnapshot(raw []byte) (*Snapshot, error) {
	s := &Snapshot{}
	if err := decoder.Unmarshal(raw, s); err != nil {
		return nil, ErrDecode.Wrap(err, "decode a scheduler's snapshot")
	}
	return s, nil
}
