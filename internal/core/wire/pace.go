package wire

import "github.com/silverswitch/silverswitch/internal/version"

// PaceNote reports the events of a stream to the router that placed it: once when a gap between
// two events exceeds the target of its route for the first time, with 0 events, and once when
// the stream has ended.
type PaceNote struct {
	_         struct{} `cbor:",toarray"`
	No        uint64   // the sender's number of the request
	Events    uint32   // after the first one; 0 while the stream goes on
	MS        uint32   // from the first event to the last
	LongestMS uint32   // longest gap between two events
	Missed    bool     // a gap exceeded the target
}

// PaceModel is what the sender has learned, or inherited, of the time between the events of a
// service's streams; see package pace.
type PaceModel struct {
	_       struct{} `cbor:",toarray"`
	Service version.ID
	Plain   float32 // milliseconds, without prefill
	Prefill float32 // milliseconds, while the engine prefills without a break
	Stall   float32 // factor by which engines are slower at times
	Samples uint32
}
