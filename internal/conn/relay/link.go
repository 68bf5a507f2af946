package relay

import (
	"encoding/binary"
	"net"
	"os"
	"sync"
	"time"

	"github.com/joomcode/errorx"
)

const (
	linkBufferBytes = 32 << 10  // read from the socket at once
	maxPendingBytes = 256 << 10 // waiting to be written, before writers wait
	// deadlineSlack is how much earlier than required a read deadline may expire. Setting the
	// deadline only this often saves the cost of a timer for each read.
	deadlineSlack = 100 * time.Millisecond
	// lateReadTimeout is for one more read after silenceTimeout: a process that was suspended
	// finds its deadline expired although bytes have arrived.
	lateReadTimeout = 50 * time.Millisecond
)

// Header of a yamux frame: version, type, flags (2 bytes), stream (4), length (4).
const (
	frameHeaderBytes = 12
	frameData        = 0
	frameWindow      = 1
	flagSYN          = 1
	flagACK          = 2
)

// link is the TCP connection under a multiplexer. It reads into a large buffer and writes
// each frame, header and body, with at most one system call; frames that are ready at the
// same time share one. A connection without a byte for silenceTimeout is closed.
type link struct {
	net.Conn
	meter *meter // nil on the origin's side

	readBuf     []byte
	unread      []byte
	readBoundAt time.Time // when the read deadline was last set

	mu       sync.Mutex
	changed  *sync.Cond // pending, writing or err has changed
	pending  []byte
	spare    []byte
	writing  bool
	bodyLeft int // bytes of the current frame's body that are still to come
	err      error
	wake     chan struct{}
}

func newLink(c net.Conn, m *meter) *link {
	l := &link{Conn: c, meter: m, readBuf: make([]byte, linkBufferBytes), wake: make(chan struct{}, 1)}
	l.changed = sync.NewCond(&l.mu)
	go l.flush()
	return l
}

// Read implements net.Conn. It is called by one goroutine.
func (l *link) Read(p []byte) (int, error) {
	if len(l.unread) == 0 {
		n, err := l.fill()
		if n == 0 {
			l.fail(err)
			return 0, err
		}
		l.unread = l.readBuf[:n]
		if l.meter != nil {
			l.meter.arrived(l.unread)
		}
	}
	n := copy(p, l.unread)
	l.unread = l.unread[n:]
	return n, nil
}

func (l *link) fill() (int, error) {
	if now := time.Now(); now.Sub(l.readBoundAt) > deadlineSlack {
		l.readBoundAt = now
		if err := l.Conn.SetReadDeadline(now.Add(silenceTimeout)); err != nil {
			return 0, err
		}
	}
	n, err := l.Conn.Read(l.readBuf)
	if n == 0 && isTimeout(err) {
		l.readBoundAt = time.Time{}
		if err := l.Conn.SetReadDeadline(time.Now().Add(lateReadTimeout)); err != nil {
			return 0, err
		}
		n, err = l.Conn.Read(l.readBuf)
	}
	return n, err
}

func isTimeout(err error) bool { return errorx.HasTrait(err, errorx.Timeout()) || os.IsTimeout(err) }

// Write implements net.Conn. It queues the bytes, and blocks while maxPendingBytes are queued.
func (l *link) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for len(l.pending) > maxPendingBytes && l.err == nil {
		l.changed.Wait()
	}
	if l.err != nil {
		return 0, l.err
	}
	l.pending = append(l.pending, p...)
	if l.mayWait(p) {
		return len(p), nil
	}
	select {
	case l.wake <- struct{}{}:
	default:
	}
	return len(p), nil
}

// mayWait reports whether p, which was passed to Write, need not be sent before the next
// frame: a header whose body follows, and the opening or acknowledgement of a stream, which
// the next frame follows within StatusInterval.
func (l *link) mayWait(p []byte) bool {
	if l.bodyLeft > 0 {
		l.bodyLeft = max(0, l.bodyLeft-len(p))
		return l.bodyLeft > 0
	}
	if len(p) != frameHeaderBytes {
		return false
	}
	flags, length := binary.BigEndian.Uint16(p[2:]), binary.BigEndian.Uint32(p[8:])
	switch p[1] {
	case frameData:
		l.bodyLeft = int(length)
		return length > 0
	case frameWindow:
		return length == 0 && (flags == flagSYN || flags == flagACK)
	}
	return false
}

// flush writes what is queued until the link fails.
func (l *link) flush() {
	for range l.wake {
		l.mu.Lock()
		for len(l.pending) > 0 && l.err == nil {
			out := l.pending
			l.pending, l.writing = l.spare[:0], true
			l.mu.Unlock()
			err := l.Conn.SetWriteDeadline(time.Now().Add(writeTimeout))
			if err == nil {
				_, err = l.Conn.Write(out)
			}
			l.mu.Lock()
			l.spare, l.writing = out, false
			if err != nil && l.err == nil {
				l.err = err
			}
			l.changed.Broadcast()
		}
		ended := l.err != nil
		l.mu.Unlock()
		if ended {
			l.Conn.Close()
			return
		}
	}
}

// fail makes all writes fail.
func (l *link) fail(err error) {
	l.mu.Lock()
	if l.err == nil {
		l.err = err
	}
	l.changed.Broadcast()
	l.mu.Unlock()
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// Close implements net.Conn. It waits until everything queued is written or has failed.
func (l *link) Close() error {
	l.mu.Lock()
	select {
	case l.wake <- struct{}{}:
	default:
	}
	for l.err == nil && (len(l.pending) > 0 || l.writing) {
		l.changed.Wait()
	}
	l.mu.Unlock()
	l.fail(net.ErrClosed)
	return l.Conn.Close()
}
