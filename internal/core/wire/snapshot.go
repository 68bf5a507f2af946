package wire

import (
	"github.com/fxamacker/cbor/v2"

	"github.com/silverswitch/silverswitch/internal/version"
)

// Snapshot is the state of a router's schedulers that other routers' heartbeats do not rebuild.
// A router that becomes a scheduler or standby of a service reads it from another member of the
// scheduler group.
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

// OrgWindow is the tokens that one organisation requested and received in the window in which
// shares are counted, by age of the time step, the current step first.
type OrgWindow struct {
	_         struct{} `cbor:",toarray"`
	Org       version.ID
	Requested []float32
	Received  []float32
}

// EngineSnapshot is the prompt parts that one engine is believed to have cached, the most
// recently used first, and the remaining time of its ejection after failures.
type EngineSnapshot struct {
	_           struct{} `cbor:",toarray"`
	Upstream    version.ID
	EjectionMS  uint32
	CachedParts []CachedPart
}

// CachedPart is a prompt part in an engine's prefix cache. One that is not Ready is still being
// read by the engine.
type CachedPart struct {
	_      struct{} `cbor:",toarray"`
	Part   uint64
	Tokens uint32
	Ready  bool
}

// EncodeSnapshot returns the encoded form of a snapshot.
func EncodeSnapshot(s *Snapshot) ([]byte, error) {
	raw, err := cbor.Marshal(s)
	if err != nil {
		return nil, ErrDecode.Wrap(err, "encode scheduler snapshot")
	}
	return raw, nil
}

// DecodeSnapshot reads an encoded snapshot.
func DecodeSnapshot(raw []byte) (*Snapshot, error) {
	s := &Snapshot{}
	if err := decoder.Unmarshal(raw, s); err != nil {
		return nil, ErrDecode.Wrap(err, "decode scheduler snapshot")
	}
	return s, nil
}
