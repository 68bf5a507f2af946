package wire

import (
	"math"
	"slices"
	"time"

	"github.com/silverswitch/silverswitch/internal/version"
)

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

// Delayed returns the update as of a time after its sending: its ages are that much higher.
func (u *PartUpdate) Delayed(by time.Duration) *PartUpdate {
	if by <= 0 || len(u.Records) == 0 {
		return u
	}
	later := func(ms uint32) uint32 { return uint32(min(int64(ms)+by.Milliseconds(), math.MaxUint32)) }
	out := *u
	out.Records = slices.Clone(u.Records)
	for i := range out.Records {
		r := &out.Records[i]
		r.AnsweredAge = later(r.AnsweredAge)
		r.Crashes = slices.Clone(r.Crashes)
		for j := range r.Crashes {
			r.Crashes[j].AttemptAgeMS, r.Crashes[j].AgeMS = later(r.Crashes[j].AttemptAgeMS), later(r.Crashes[j].AgeMS)
		}
	}
	return &out
}
