// Package stream reads server-sent events from an upstream, one at a time and with a limit
// on their size. The bytes of an event are kept unchanged.
package stream

import (
	"bufio"
	"bytes"
	"errors"
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

// ErrNoMemory means that there is no memory for a large event. It is broken off.
var ErrNoMemory = errors.New("no memory for a large event")

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

// Memory holds the bytes of one event after the other.
type Memory interface {
	// Bytes returns what was appended since the last Reset.
	Bytes() []byte
	// Append returns false if there is no memory for more.
	Append([]byte) bool
	// Reset releases what was appended.
	Reset()
}

// Reader reads the events of a stream, and holds one of them at a time.
type Reader struct {
	in  *bufio.Reader
	mem Memory
}

// NewReader returns a reader of a stream that holds its events in mem. It must be closed.
func NewReader(r *bufio.Reader, mem Memory) *Reader { return &Reader{in: r, mem: mem} }

// Close releases the memory of the last event.
func (r *Reader) Close() { r.mem.Reset() }

// Next returns the next event, whose bytes are valid until the next call. At the end of the stream
// between two events it returns io.EOF; inside an event it returns an ErrEvent that wraps the
// reader's error. After an error no memory is held.
func (r *Reader) Next() (Event, error) {
	r.mem.Reset()
	e, err := r.read()
	if err != nil {
		r.mem.Reset()
		return Event{}, err
	}
	return e, nil
}

func (r *Reader) read() (Event, error) {
	e := Event{Position: NoPosition, Filler: EmptyLine}
	var data span
	for {
		start := len(r.mem.Bytes())
		if err := r.readLine(); err != nil {
			return e, err
		}
		e.Raw = r.mem.Bytes()
		line := bytes.TrimRight(e.Raw[start:], "\r\n")
		if len(line) == 0 {
			e.Data = e.Raw[data.from:data.to]
			return e, nil
		}
		if from, ok := e.parseField(line); ok {
			data = span{start + from, start + len(line)}
		}
	}
}

// span is a part of an event, which may move while the event is read.
type span struct{ from, to int }

// readLine reads a line, which may be longer than the reader's buffer.
func (r *Reader) readLine() error {
	for {
		line, err := r.in.ReadSlice('\n')
		read := len(r.mem.Bytes()) + len(line)
		switch {
		case read > MaxEventBytes:
			return ErrEvent.New("event of more than %d bytes", MaxEventBytes)
		case !r.mem.Append(line):
			return ErrNoMemory
		case err == nil:
			return nil
		case err != bufio.ErrBufferFull:
			return endError(err, read)
		}
	}
}

// Read returns the next event as Reader.Next does. The event's bytes are stored in buf, which the
// caller may reuse for the next event, without a bound on the sum of all streams.
func Read(r *bufio.Reader, buf []byte) (Event, error) {
	return (&Reader{in: r, mem: &slice{buf[:0]}}).read()
}

// slice is a Memory without a bound.
type slice struct{ bytes []byte }

func (s *slice) Bytes() []byte { return s.bytes }

func (s *slice) Append(p []byte) bool {
	s.bytes = append(s.bytes, p...)
	return true
}

func (s *slice) Reset() { s.bytes = s.bytes[:0] }

// endError returns err for an end between two events (nothing was read), and an ErrEvent for
// an end inside one.
func endError(err error, read int) error {
	if read == 0 {
		return err
	}
	return ErrEvent.Wrap(err, "ended inside an event")
}

// parseField parses an id or data line, and returns where the value of a data line begins. Other lines
// are ignored.
func (e *Event) parseField(line []byte) (data int, isData bool) {
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
		return len(line) - len(bytes.TrimPrefix(line[len(fieldData):], []byte(" "))), true
	}
	return 0, false
}
