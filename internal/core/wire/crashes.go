package wire

import "github.com/silverswitch/silverswitch/internal/version"

// CrashUpdate carries records of requests that crash upstreams, from one router to another: new
// records, and now and then a checksum of all requests that the sender holds.
type CrashUpdate struct {
	_           struct{} `cbor:",toarray"`
	Records     []CrashRecord
	HasChecksum bool   // Checksum is set
	Checksum    uint64 // of the requests that the sender holds: equal at routers that hold the same ones
}

// CrashRecord is what the sender knows of a request that was running at upstreams that crashed.
// Merging records of one request is commutative and idempotent.
type CrashRecord struct {
	_       struct{} `cbor:",toarray"`
	Content uint64   // fingerprint of the request's content
	Org     version.ID
	Answers uint32  // stamp of the last complete answer, which grows with each; see package quarantine
	Crashes []Crash // since the last complete answer
	Level   uint8   // at which the crashes hold the request; see package quarantine
	Held    bool    // the request is held, or was held before an answer
	AgeMS   uint32  // time since the last crash
}

// Crash is one crash of an upstream while it ran a request.
type Crash struct {
	_            struct{} `cbor:",toarray"`
	Upstream     version.ID
	Early        bool   // the answer had no event yet
	AttemptAgeMS uint32 // time since the start of the attempt
	AgeMS        uint32 // time since the crash
}
