package process

import (
	"bytes"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/silverswitch/silverswitch/internal/conn"
	"github.com/silverswitch/silverswitch/internal/memory"
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
	// lateReadTimeout is for what had arrived when a deadline passed: a process that was suspended or
	// short of CPU finds both at once.
	lateReadTimeout = 50 * time.Millisecond
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
	limits    *limitsInForce
	closed    func(*limitedConn)
	lingering *lingering

	mu      sync.Mutex
	phase   connPhase
	since   time.Time
	size    int           // bytes read in phaseHeader
	header  memory.Header // what may have been read of the header that comes or is being read
	latest  memory.Header // what the latest read may have left in the server's buffer
	hold    memory.Hold   // of header; the organisation is not known yet
	begun   bool          // bytes of the next request were read, while the connection waits for one
	stops   bool          // see stop
	reading bool          // a Read has begun and has not returned
	retired bool          // see retire
	late    bool          // the deadline has passed, and what had arrived is read
	reset   bool          // Close is to reset the connection

	headerEnd headerEnd
	past      int64 // bytes read after the end of the request's header
	pipelines bool  // requests are sent before the answers to others
}

// SetReadDeadline sets the deadline of the limits in force where the server sets one of its marks.
func (c *limitedConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.hold.Release()
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
	if c.phase == phaseIdle {
		c.header = c.latest
	}
	c.since, c.size, c.late = now, 0, false
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
	if c.phase != phaseOther && !c.late {
		_ = c.applyDeadline(l) // fails only on a closed connection
	}
}

// Read refuses a request whose header exceeds the limit, or for which there is no memory. The server
// would do the former by its own limit, which it cannot change.
func (c *limitedConn) Read(p []byte) (int, error) {
	if refusal := c.refusesHeader(); refusal != "" {
		c.refuseHeader(refusal)
		return 0, io.EOF
	}
	for {
		if c.endsUnread() {
			return 0, io.EOF
		}
		c.mu.Lock()
		c.reading = true
		c.mu.Unlock()
		n, err := c.Conn.Read(p)
		if n == 0 && c.stopped() && os.IsTimeout(err) {
			continue
		}
		buffered := len(p) <= serverBufferBytes
		if n == 0 && os.IsTimeout(err) && c.allowLate() {
			n, err = c.Conn.Read(p)
		}
		return c.readDone(p[:n], buffered, err)
	}
}

// readDone counts what was read.
func (c *limitedConn) readDone(p []byte, buffered bool, err error) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reading = false
	if c.retired {
		return 0, net.ErrClosed
	}
	c.countRead(p, buffered)
	c.begun = c.begun || len(p) > 0
	c.past += int64(len(p) - c.headerEnd.skip(p))
	return len(p), err
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

// allowLate reports whether bytes had arrived when the deadline passed, and gives the server a moment
// to read them. A request that came in time must not end with a closed connection because it is read
// late, or because the limit was lowered meanwhile.
func (c *limitedConn) allowLate() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == phaseOther || c.late || conn.NoUnread(c.Conn) {
		return false
	}
	c.late = true
	return c.Conn.SetReadDeadline(time.Now().Add(lateReadTimeout)) == nil
}

// retire reports whether the connection may be closed because it is idle. It may be while the server
// waits for a request of which nothing has arrived; from then on none is read.
func (c *limitedConn) retire() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.retired = c.retired || c.phase == phaseIdle && c.reading && !c.begun && conn.NoUnread(c.Conn)
	return c.retired
}

// serverBufferBytes is the size of the server's buffer. A larger read bypasses it.
const serverBufferBytes = 4 << 10

// countRead counts what was read, which the server has buffered or not. The connection must be locked.
func (c *limitedConn) countRead(p []byte, buffered bool) {
	if len(p) > 1 { // the server reads single bytes while a handler runs, and keeps its buffer
		c.latest = memory.Header{}
	}
	if buffered {
		c.latest.Read(p)
	}
	switch c.phase {
	case phaseHeader:
		c.size += len(p)
		c.header.Read(p)
	case phaseIdle:
		c.header.Read(p)
	}
}

// Refusals of headers. A header that is not whole belongs to a request that has not run.
const (
	headerTooLarge  = "431 Request Header Fields Too Large"
	headerNoMemory  = "503 Service Unavailable"
	headerRetryText = "Retry-After: 0.2\r\n"
)

// refusesHeader returns the status of a refusal before more of a header is read, "" for none. What was
// read so far belongs to the header.
func (c *limitedConn) refusesHeader() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.phase != phaseHeader:
		return ""
	case c.size >= c.limits.get().HeaderBytes+headerSlop:
		return headerTooLarge
	case !c.header.Reserve(c.hold.Reserve):
		c.limits.headersRefused.Add(1)
		return headerNoMemory
	}
	return ""
}

// refuseHeader answers as net/http does, and waits for the caller to read the answer.
func (c *limitedConn) refuseHeader(status string) {
	retry := ""
	if status == headerNoMemory {
		retry = headerRetryText
	}
	_ = c.Conn.SetWriteDeadline(time.Now().Add(refusalLinger))
	_, err := io.WriteString(c.Conn, "HTTP/1.1 "+status+"\r\nContent-Type: text/plain; charset=utf-8\r\n"+retry+"Connection: close\r\n\r\n"+status)
	if err == nil && c.CloseWrite() == nil {
		time.Sleep(refusalLinger)
	}
}

// Close implements net.Conn.
func (c *limitedConn) Close() error {
	if !c.mayLinger() {
		c.release()
		return c.Conn.Close()
	}
	go c.lingering.close(c)
	return nil
}

// release forgets the connection and what its header holds.
func (c *limitedConn) release() {
	c.closed(c)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.phase = phaseOther
	c.hold.Release()
}

// mayLinger reports whether the caller may still read an answer and has sent what is not read yet.
func (c *limitedConn) mayLinger() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == phaseIdle || c.reset || conn.NoUnread(c.Conn) {
		return false
	}
	c.reset = true // a further Close closes at once
	return true
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
	c.mu.Lock()
	c.reset = c.reset || sec == 0
	c.mu.Unlock()
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
