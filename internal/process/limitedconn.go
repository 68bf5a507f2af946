package process

import (
	"bytes"
	"errors"
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/silverswitch/silverswitch/internal/conn"
	"github.com/silverswitch/silverswitch/internal/routing"
)

// An http.Server reads its limits without a lock, so they cannot change while it serves. It has
// these in their place: a limitedConn knows by them what the server waits for, and applies the
// limits in force.
const (
	headerTimeoutMark = 1000 * time.Hour
	idleTimeoutMark   = 2000 * time.Hour
	maxLibraryHeader  = 1 << 30
	// headerSlop is what may be read beyond the limit on headers, because a buffer of this size
	// is read at once.
	headerSlop = 4 << 10
	// refusalLinger is how long a connection stays open after its request was refused while the
	// caller still sends, so that the answer is not lost in a reset.
	refusalLinger = 500 * time.Millisecond
)

// connPhase is what a connection waits for.
type connPhase uint8

const (
	phaseOther  connPhase = iota // a body, or nothing
	phaseHeader                  // the rest of a request's header
	phaseIdle                    // the next request
)

// limitedConn is a caller's connection under the limits in force.
type limitedConn struct {
	net.Conn
	limits *limitsInForce
	closed func(*limitedConn)

	mu     sync.Mutex
	phase  connPhase
	since  time.Time
	header int64 // bytes read in phaseHeader
	begun  bool  // bytes of the next request were read, while the connection waits for one
	stops  bool  // see stop

	headerEnd headerEnd
	past      int64 // bytes read after the end of the request's header
	pipelines bool  // requests are sent before the answers to others
}

// SetReadDeadline sets the deadline of the limits in force where the server sets one of its marks.
func (c *limitedConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	now, idle := time.Now(), c.phase == phaseIdle
	switch d := t.Sub(now); {
	case t.IsZero() || d < headerTimeoutMark/2:
		c.phase = phaseOther
		return c.Conn.SetReadDeadline(t)
	case d < (headerTimeoutMark+idleTimeoutMark)/2:
		c.phase = phaseHeader
		if idle && !c.begun { // the server waits for the first bytes before that, and had them
			c.begun, c.pipelines = true, true
		}
	default:
		c.phase, c.begun = phaseIdle, false
		c.headerEnd, c.past = headerEnd{}, 0
	}
	c.since, c.header = now, 0
	return c.applyDeadline(c.limits.get())
}

// applyDeadline sets the deadline of the present phase. The connection must be locked.
func (c *limitedConn) applyDeadline(l routing.Limits) error {
	timeout := l.IdleConnTimeout
	if c.phase == phaseHeader {
		timeout = l.HeaderTimeout
	}
	if timeout <= 0 {
		return c.Conn.SetReadDeadline(time.Time{})
	}
	return c.Conn.SetReadDeadline(c.since.Add(timeout))
}

// limitsChanged applies other limits to a connection that waits.
func (c *limitedConn) limitsChanged(l routing.Limits) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase != phaseOther {
		_ = c.applyDeadline(l) // fails only on a closed connection
	}
}

// Read refuses a request whose header exceeds the limit. The server would do so by its own limit,
// which it cannot change.
func (c *limitedConn) Read(p []byte) (int, error) {
	if c.headerExceeds() {
		c.refuseHeader()
		return 0, io.EOF
	}
	for {
		if c.endsUnread() {
			return 0, io.EOF
		}
		n, err := c.Conn.Read(p)
		if n == 0 && c.stopped() && isTimeout(err) {
			continue
		}
		c.mu.Lock()
		if c.phase == phaseHeader {
			c.header += int64(n)
		}
		c.begun = c.begun || n > 0
		c.past += int64(n - c.headerEnd.skip(p[:n]))
		c.mu.Unlock()
		return n, err
	}
}

func isTimeout(err error) bool {
	var e net.Error
	return errors.As(err, &e) && e.Timeout()
}

// HoldsMore implements forward.CallerConn. The length of a body in chunks is unknown.
func (c *limitedConn) HoldsMore(bodyLength int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.pipelines && bodyLength >= 0 && c.headerEnd.found {
		c.pipelines = c.past > bodyLength || c.past == bodyLength && c.HasUnread()
	}
	return c.pipelines
}

// headerEnd finds the end of a request's header in what is read.
type headerEnd struct {
	found bool
	last  [len(endOfHeader) - 1]byte // read before
}

const endOfHeader = "\r\n\r\n"

// skip returns how many of the bytes that were read belong to the header.
func (e *headerEnd) skip(p []byte) int {
	if e.found || len(p) == 0 {
		return 0
	}
	var seam [2 * (len(endOfHeader) - 1)]byte
	copy(seam[:], e.last[:])
	n := copy(seam[len(e.last):], p)
	if i := bytes.Index(seam[:len(e.last)+n], []byte(endOfHeader)); i >= 0 {
		e.found = true
		return i + len(endOfHeader) - len(e.last)
	}
	if i := bytes.Index(p, []byte(endOfHeader)); i >= 0 {
		e.found = true
		return i + len(endOfHeader)
	}
	all := append(seam[:len(e.last)], p[max(0, len(p)-len(e.last)):]...)
	copy(e.last[:], all[len(all)-len(e.last):])
	return len(p)
}

// stop ends the connection where it waits for a request of which nothing has arrived, now or later. The
// goroutine that reads sees to it, so that nothing is read and then dropped.
func (c *limitedConn) stop() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stops = true
	if c.awaitsRequest() {
		_ = c.Conn.SetReadDeadline(time.Unix(1, 0)) // fails only on a closed connection
	}
}

// awaitsRequest reports whether nothing of the next request was read yet. The connection must be locked.
func (c *limitedConn) awaitsRequest() bool { return c.phase != phaseOther && !c.begun }

// stopped reports whether the connection waits for a request that it will not wait for.
func (c *limitedConn) stopped() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.stops && c.awaitsRequest()
}

// endsUnread reports whether a connection that stops has nothing to read. Otherwise the request that
// has arrived is read.
func (c *limitedConn) endsUnread() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.stops || !c.awaitsRequest() {
		return false
	}
	if !c.HasUnread() {
		return true
	}
	_ = c.applyDeadline(c.limits.get()) // fails only on a closed connection
	return false
}

func (c *limitedConn) headerExceeds() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.phase == phaseHeader && c.header >= int64(c.limits.get().HeaderBytes)+headerSlop
}

// refuseHeader answers as net/http does, and waits for the caller to read the answer.
func (c *limitedConn) refuseHeader() {
	const text = "431 Request Header Fields Too Large"
	_ = c.Conn.SetWriteDeadline(time.Now().Add(refusalLinger))
	_, err := io.WriteString(c.Conn, "HTTP/1.1 "+text+"\r\nContent-Type: text/plain; charset=utf-8\r\nConnection: close\r\n\r\n"+text)
	if err == nil && c.CloseWrite() == nil {
		time.Sleep(refusalLinger)
	}
}

// Close implements net.Conn.
func (c *limitedConn) Close() error {
	c.closed(c)
	return c.Conn.Close()
}

var errNoHalfClose = errors.New("the connection cannot be closed in one direction")

// CloseWrite lets net/http end its side before it closes a connection.
func (c *limitedConn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return errNoHalfClose
}

var errNoLinger = errors.New("the connection cannot be reset")

// SetLinger lets conn.CutCaller reset the connection.
func (c *limitedConn) SetLinger(sec int) error {
	if l, ok := c.Conn.(interface{ SetLinger(int) error }); ok {
		return l.SetLinger(sec)
	}
	return errNoLinger
}

// HasUnread reports whether bytes of the caller have arrived that were not read yet.
func (c *limitedConn) HasUnread() bool { return !conn.NoUnread(c.Conn) }

var errNoSocket = errors.New("the connection has no socket of its own")

// SyscallConn implements syscall.Conn.
func (c *limitedConn) SyscallConn() (syscall.RawConn, error) {
	if s, ok := c.Conn.(syscall.Conn); ok {
		return s.SyscallConn()
	}
	return nil, errNoSocket
}
