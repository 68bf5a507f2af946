package memory

import (
	"errors"
	"io"
	"sync/atomic"
)

const (
	// chunkBytes is the size of the pieces of large contents. They are used again at once, so
	// that released memory need not wait for the collector.
	chunkBytes = 64 << 10
	// firstPieceBytes is the first piece of a content of unknown size; each further one is
	// twice as large, up to chunkBytes.
	firstPieceBytes = 4 << 10
)

// ErrFull means that a content of unknown size has outgrown what its organisation may hold.
var ErrFull = errors.New("the organisation holds its share of the memory")

// Buffer is the content of a body in memory. Its memory is released when all users have
// released it. A nil Buffer is empty.
type Buffer struct {
	hold   Hold
	sized  bool  // the size is known, and reserved
	rest   int64 // bytes still to come, if sized
	pieces [][]byte
	size   int
	users  atomic.Int32
}

// Buffer returns an empty buffer with one user. If size is positive it is the content's size, for
// which ReservedFor(size) bytes of the hold are used. Otherwise memory is reserved as the content
// comes.
func (h *Hold) Buffer(size int64) *Buffer {
	b := &Buffer{hold: h.Split(ReservedFor(size)), sized: size > 0, rest: size}
	b.users.Store(1)
	return b
}

// ReservedFor returns the bytes to reserve for a content of a known size, 0 for an unknown one.
func ReservedFor(size int64) int64 {
	if size < chunkBytes {
		return max(0, size)
	}
	return (size + chunkBytes - 1) / chunkBytes * chunkBytes
}

// Len returns the size of the content in bytes.
func (b *Buffer) Len() int {
	if b == nil {
		return 0
	}
	return b.size
}

// Pieces returns the content. It may be used until the buffer is released.
func (b *Buffer) Pieces() [][]byte {
	if b == nil {
		return nil
	}
	return b.pieces
}

// Retain adds a user.
func (b *Buffer) Retain() {
	if b != nil {
		b.users.Add(1)
	}
}

// Release removes a user.
func (b *Buffer) Release() {
	if b == nil || b.users.Add(-1) != 0 {
		return
	}
	b.hold.account.reuse(b.pieces)
	b.hold.Release()
	b.pieces = nil
}

// ReadAll reads the content from r: the known size, or until the end. It returns ErrFull if the
// organisation may hold no more; the buffer then has what came before.
func (b *Buffer) ReadAll(r io.Reader) error {
	for !b.sized || b.rest > 0 {
		space, err := b.space()
		if err != nil {
			return err
		}
		n, err := r.Read(space)
		b.add(n)
		switch {
		case err == io.EOF && b.sized && b.rest > 0:
			return io.ErrUnexpectedEOF
		case err == io.EOF:
			return nil
		case err != nil:
			return err
		}
	}
	return nil
}

// space returns the free part of the last piece, or a new piece.
func (b *Buffer) space() ([]byte, error) {
	if n := len(b.pieces); n > 0 {
		if last := b.pieces[n-1]; len(last) < cap(last) {
			return b.cut(last[len(last):cap(last)]), nil
		}
	}
	size := b.nextPiece()
	if !b.sized && !b.hold.Reserve(int64(size)) {
		return nil, ErrFull
	}
	var p []byte
	if size == chunkBytes {
		p = b.hold.account.chunk()
	} else {
		p = make([]byte, size)
	}
	b.pieces = append(b.pieces, p[:0])
	return b.cut(p), nil
}

// nextPiece returns the size of the next piece.
func (b *Buffer) nextPiece() int {
	switch n := len(b.pieces); {
	case b.sized && b.size == 0 && b.rest < chunkBytes:
		return int(b.rest)
	case b.sized:
		return chunkBytes
	case n == 0:
		return firstPieceBytes
	default:
		return min(2*cap(b.pieces[n-1]), chunkBytes)
	}
}

// cut returns no more of a piece than is to come.
func (b *Buffer) cut(p []byte) []byte {
	if b.sized && int64(len(p)) > b.rest {
		return p[:b.rest]
	}
	return p
}

// add adds n bytes that were read into space.
func (b *Buffer) add(n int) {
	last := &b.pieces[len(b.pieces)-1]
	*last = (*last)[:len(*last)+n]
	b.size += n
	if b.sized {
		b.rest -= int64(n)
	}
}

// chunk returns an idle chunk or a new one.
func (a *Account) chunk() []byte {
	a.mu.Lock()
	defer a.mu.Unlock()
	if c := a.idle.take(chunkBytes); c != nil {
		return c
	}
	return make([]byte, chunkBytes)
}

// reuse keeps the chunks among pieces.
func (a *Account) reuse(pieces [][]byte) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, p := range pieces {
		a.idle.put(p)
	}
}
