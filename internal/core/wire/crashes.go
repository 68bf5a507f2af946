package wire

import "github.com/silverswitch/silverswitch/internal/version"

// CrashUpdate is what routers tell each other of requests that crash upstreams: news, and
// now and then what they hold in all.
type CrashUpdate struct {
	_           struct{} `cbor:",toarray"`
	Records     []CrashRecord
	HasChecksum bool   // Sum is stated
	Checksum    uint64 // over the requests that the sender holds: it is the same at routers that hold the same
}

// CrashRecord is what the sender knows of a request that was running at upstreams that
// crashed. Records of one request may be joined in any order, and more than once.
type CrashRecord struct {
	_       struct{} `cbor:",toarray"`
	Content uint64   // the request's fingerprint
	Org     version.ID
	Answers uint32  // whole ones, after which crashes are counted anew
	Crashes []Crash // since the last of those
	Level   uint8   // at which they hold the request: package quarantine
	Held    bool    // it is, or was before an answer, held
	AgeMS   uint32  // of the last crash
}

// Crash is an upstream that crashed while it ran a request.
type Crash struct {
	_            struct{} `cbor:",toarray"`
	Upstream     version.ID
	Early        bool   // the answer had no event yet
	AttemptAgeMS uint32 // since the attempt began
	AgeMS        uint32 // since the crash
}
