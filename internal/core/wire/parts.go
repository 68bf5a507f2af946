package wire

import "github.com/silverswitch/silverswitch/internal/version"

// PartUpdate carries records of prompt parts that crash upstreams, from one router to another: new
// records, and now and then a checksum of all parts that the sender holds.
type PartUpdate struct {
	_           struct{} `cbor:",toarray"`
	Records     []PartRecord
	HasChecksum bool
	Checksum    uint64 // of the parts that the sender holds: equal at routers that hold the same ones
}

// PartRecord is what the sender knows of a prompt part that was in requests running at upstreams
// that crashed. Merging records of one part is commutative and idempotent.
type PartRecord struct {
	_           struct{} `cbor:",toarray"`
	Service     version.ID
	Part        uint64
	Org         version.ID // whose request was seen first
	Answered    bool       // some request with the part was answered whole
	AnsweredAge uint32     // milliseconds since the start of the latest attempt that was
	Crashes     []Crash    // after that
	Attempts    []uint8    // with the part that one router saw at each crash, at most
}
