package relay

import (
	"encoding/binary"
	"io"

	"github.com/fxamacker/cbor/v2"
)

// Message is what one side of a session tells the other on the control stream, at least every
// StatusInterval. Every message holds the sender's whole status. With its length it takes 3 to
// 29 bytes.
type Message struct {
	Spare     uint32 `cbor:"1,keyasint,omitempty"` // of a helper: CPU that it has left, in thousandths of a core
	Accepting bool   `cbor:"2,keyasint,omitempty"` // of a helper: it takes new connections
	Stopping  bool   `cbor:"3,keyasint,omitempty"` // the sender performs its planned stop
	CloseHint bool   `cbor:"4,keyasint,omitempty"` // of an origin: callers should be asked to close
	Reset     uint32 `cbor:"5,keyasint,omitempty"` // of an origin: the stream whose caller is gone, 0 for none
	GraceMS   uint32 `cbor:"6,keyasint,omitempty"` // of an origin: what its planned stop leaves to requests, 0 for no bound
	GraceOver bool   `cbor:"7,keyasint,omitempty"` // of an origin: callers without an answer must be told now
}

// maxMessageBytes bounds an encoded message. It leaves room for keys of later releases.
const maxMessageBytes = 256

var decoding = func() cbor.DecMode {
	m, err := cbor.DecOptions{MaxNestedLevels: 4, MaxArrayElements: 64, MaxMapPairs: 64}.DecMode()
	if err != nil {
		panic(err) // the options are constant
	}
	return m
}()

// encodeMessage returns the message, preceded by its length.
func encodeMessage(m Message) []byte {
	raw, err := cbor.Marshal(m)
	if err != nil {
		panic(err) // a struct of numbers and booleans can always be encoded
	}
	return append(binary.BigEndian.AppendUint16(nil, uint16(len(raw))), raw...)
}

// readMessage reads one message. Unknown keys are ignored.
func readMessage(r io.Reader) (Message, error) {
	var m Message
	raw, err := readBlock(r, maxMessageBytes)
	if err != nil {
		return m, err
	}
	if err := decoding.Unmarshal(raw, &m); err != nil {
		return Message{}, ErrMessage.Wrap(err, "decode a message")
	}
	return m, nil
}
