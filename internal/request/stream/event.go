// Package stream reads server-sent events from an upstream, one at a time and with a limit
// on their size. The bytes of an event are kept unchanged.
package stream

import (
	"bufio"
	"bytes"
	"strconv"

	"github.com/joomcode/errorx"
)

// MaxEventBytes is the largest event read, in bytes.
const MaxEventBytes = 1 << 20

// NoPosition is the Position of an event without a numeric id.
const NoPosition = -1

// ErrEvent is the type of errors for a stream that is malformed, ends inside an event or
// has an event larger than MaxEventBytes.
var ErrEvent = errorx.NewNamespace("stream").NewType("event")

var (
	fieldID   = []byte("id:")
	fieldData = []byte("data:")
	doneData  = []byte("[DONE]")
)

// Event is one server-sent event.
type Event struct {
	Position int64  // from the id field, or NoPosition
	Data     []byte // value of the last data field
	Raw      []byte // all lines, including the empty one that ends the event
	Filler   Filler // what it is if it has no field
}

// Filler says what an event without any field consists of. It tells nothing.
type Filler uint8

const (
	NoFiller    Filler = iota // it has a field
	EmptyLine                 // an empty line alone
	OnlyComment               // comments
)

// Done reports whether the event ends a completion stream.
func (e Event) Done() bool { return bytes.Equal(e.Data, doneData) }

// Read returns the next event. At the end of the stream between two events it returns
// io.EOF; inside an event it returns an ErrEvent that wraps the reader's error. The event's
// bytes are stored in buf, which the caller may reuse for the next event.
func Read(r *bufio.Reader, buf []byte) (Event, error) {
	e := Event{Position: NoPosition, Raw: buf[:0], Filler: EmptyLine}
	for {
		line, err := r.ReadSlice('\n')
		start := len(e.Raw)
		e.Raw = append(e.Raw, line...)
		if len(e.Raw) > MaxEventBytes {
			return e, ErrEvent.New("event of more than %d bytes", MaxEventBytes)
		}
		if err == bufio.ErrBufferFull {
			if e.Raw, err = readRest(r, e.Raw); err != nil {
				return e, err
			}
		} else if err != nil {
			return e, endError(err, len(e.Raw))
		}
		text := bytes.TrimRight(e.Raw[start:], "\r\n")
		if len(text) == 0 {
			return e, nil
		}
		e.parseField(text)
	}
}

// readRest reads the rest of a line that is longer than the reader's buffer.
func readRest(r *bufio.Reader, raw []byte) ([]byte, error) {
	for {
		line, err := r.ReadSlice('\n')
		raw = append(raw, line...)
		if len(raw) > MaxEventBytes {
			return raw, ErrEvent.New("event of more than %d bytes", MaxEventBytes)
		}
		if err == nil {
			return raw, nil
		}
		if err != bufio.ErrBufferFull {
			return raw, endError(err, len(raw))
		}
	}
}

// endError returns err for an end between two events (nothing was read), and an ErrEvent for
// an end inside one.
func endError(err error, read int) error {
	if read == 0 {
		return err
	}
	return ErrEvent.Wrap(err, "ended inside an event")
}

// parseField parses an id or data line. Other lines are ignored.
func (e *Event) parseField(line []byte) {
	if line[0] != ':' {
		e.Filler = NoFiller
	} else if e.Filler == EmptyLine {
		e.Filler = OnlyComment
	}
	switch {
	case bytes.HasPrefix(line, fieldID):
		text := string(bytes.TrimSpace(line[len(fieldID):]))
		if n, err := strconv.ParseInt(text, 10, 64); err == nil && n >= 0 {
			e.Position = n
		}
	case bytes.HasPrefix(line, fieldData):
		e.Data = bytes.TrimPrefix(line[len(fieldData):], []byte(" "))
	}
}
