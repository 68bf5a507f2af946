package relay

import (
	"errors"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/yamux"
)

const (
	// largeBuffer is the size of the first read from a caller, which takes most requests whole,
	// and of reads that follow one that filled its buffer. All others use smallBuffer, so that
	// connections that wait hold little memory.
	smallBuffer = 4 << 10
	largeBuffer = 32 << 10
	// lingerTimeout is how long input is read and dropped after the answer's end. Closing
	// with unread input would reset the connection and lose the end of the answer. It is
	// net/http's time for the same purpose.
	lingerTimeout = 500 * time.Millisecond
	// badGateway answers a request of which it is not known whether it has run.
	badGateway = "HTTP/1.1 502 Bad Gateway\r\nConnection: close\r\nContent-Type: text/plain; charset=utf-8\r\nContent-Length: 12\r\n\r\nrelay-broken"
)

var (
	smallBuffers = sync.Pool{New: func() any { return new([smallBuffer]byte) }}
	largeBuffers = sync.Pool{New: func() any { return new([largeBuffer]byte) }}
)

// copyBuffer is a read buffer that grows after a read that filled it.
type copyBuffer struct {
	small *[smallBuffer]byte
	large *[largeBuffer]byte
}

func newCopyBuffer() *copyBuffer { return &copyBuffer{small: smallBuffers.Get().(*[smallBuffer]byte)} }

// newRequestBuffer returns a buffer whose first read is large.
func newRequestBuffer() *copyBuffer {
	b := newCopyBuffer()
	b.large = largeBuffers.Get().(*[largeBuffer]byte)
	return b
}

func (b *copyBuffer) bytes() []byte {
	if b.large != nil {
		return b.large[:]
	}
	return b.small[:]
}

// adapt chooses the size of the next read after one of n bytes.
func (b *copyBuffer) adapt(n int) {
	switch {
	case b.large == nil && n == smallBuffer:
		b.large = largeBuffers.Get().(*[largeBuffer]byte)
	case b.large != nil && n < largeBuffer:
		largeBuffers.Put(b.large)
		b.large = nil
	}
}

func (b *copyBuffer) free() {
	smallBuffers.Put(b.small)
	if b.large != nil {
		largeBuffers.Put(b.large)
	}
}

// relayedConn copies between one caller and its stream, with a goroutine for each direction.
type relayedConn struct {
	origin  *Origin
	session *originSession
	caller  net.Conn
	stream  *yamux.Stream

	received     atomic.Bool  // bytes of a request were read from the caller
	answered     atomic.Bool  // bytes of an answer were written to the caller
	ended        atomic.Bool  // the helper has closed its side, or the session has ended
	gone         atomic.Bool  // the caller has reset the connection
	blockedSince atomic.Int64 // Unix nanoseconds since when a write to the caller has not returned, 0 for none
	copying      atomic.Int32 // directions that still run
}

func (c *relayedConn) run() {
	stream, err := c.session.mux.OpenStream()
	if err != nil {
		c.origin.metrics.unserved.Inc(1)
		c.origin.connEnded(c)
		c.origin.set.ServeHere(c.caller)
		return
	}
	c.stream = stream
	c.origin.metrics.relayed.Inc(1)
	c.origin.set.ConnState(c.caller, http.StateNew)
	c.copying.Store(2)
	go c.copyToCaller()
	c.copyToHelper()
}

// done is called at the end of each direction.
func (c *relayedConn) done() {
	if c.copying.Add(-1) > 0 {
		return
	}
	c.caller.Close()
	c.stream.Close()
	c.origin.set.ConnState(c.caller, http.StateClosed)
	c.origin.connEnded(c)
}

func (c *relayedConn) copyToHelper() {
	defer c.done()
	buf := newRequestBuffer()
	defer buf.free()
	for {
		b := buf.bytes()
		n, err := c.caller.Read(b)
		if n > 0 {
			c.received.Store(true)
			if !c.ended.Load() {
				c.writeToHelper(b[:n])
			}
			buf.adapt(n)
		}
		if err != nil {
			c.callerEnded(err)
			return
		}
	}
}

// writeToHelper writes to the stream. When that fails, copyToCaller handles the end.
func (c *relayedConn) writeToHelper(b []byte) {
	n, err := c.stream.Write(b)
	c.origin.metrics.bytesToHelper.Inc(int64(n))
	if errors.Is(err, yamux.ErrConnectionWriteTimeout) {
		c.session.mux.Close() // the link has accepted nothing for writeTimeout
	}
}

// callerEnded passes the end of the caller's input on: its half-close, or that it is gone.
func (c *relayedConn) callerEnded(err error) {
	if !errors.Is(err, io.EOF) && !c.ended.Load() {
		c.abandon()
		return
	}
	c.stream.Close() // closes this direction only
}

// abandon tells the helper that the caller is gone. The helper then closes the stream.
func (c *relayedConn) abandon() {
	if c.gone.Swap(true) {
		return
	}
	c.caller.Close()
	c.stream.Close()
	m := c.origin.status()
	m.Reset = c.stream.StreamID()
	_ = c.session.send(m) // fails only when the session has ended
}

func (c *relayedConn) copyToCaller() {
	defer c.done()
	buf := newCopyBuffer()
	defer buf.free()
	for {
		b := buf.bytes()
		n, err := c.stream.Read(b)
		if n > 0 {
			c.writeToCaller(b[:n])
			buf.adapt(n)
		}
		if err != nil {
			break
		}
	}
	c.ended.Store(true)
	_ = c.stream.SetWriteDeadline(time.Unix(1, 0)) // unblocks copyToHelper
	if c.session.broken() {
		c.closeBroken()
	} else {
		c.lingerAndClose()
	}
}

// writeToCaller writes bytes of answers. After the caller is gone they are dropped until the
// helper closes the stream.
func (c *relayedConn) writeToCaller(b []byte) {
	if c.gone.Load() {
		return
	}
	c.answered.Store(true)
	c.blockedSince.Store(time.Now().UnixNano())
	n, err := c.caller.Write(b)
	c.blockedSince.Store(0)
	c.origin.metrics.bytesToCaller.Inc(int64(n))
	if err != nil {
		c.abandon()
	}
}

// closeBroken ends the caller's connection after the session has ended without the helper's
// close. A caller that has sent bytes and received none is told so. Otherwise an answer may
// have been cut: the reset keeps the caller from taking the end of the connection for the end
// of the answer.
func (c *relayedConn) closeBroken() {
	c.origin.metrics.broken.Inc(1)
	switch {
	case c.gone.Load():
	case !c.received.Load():
		c.caller.Close()
	case !c.answered.Load():
		c.origin.metrics.badGateway.Inc(1)
		_ = c.caller.SetWriteDeadline(time.Now().Add(lingerTimeout))
		_, _ = io.WriteString(c.caller, badGateway) // the caller may be gone
		c.lingerAndClose()
	default:
		if t, ok := c.caller.(interface{ SetLinger(int) error }); ok {
			_ = t.SetLinger(0)
		}
		c.caller.Close()
	}
}

// lingerAndClose closes the direction to the caller, and lets copyToHelper drop what still
// arrives.
func (c *relayedConn) lingerAndClose() {
	if t, ok := c.caller.(interface{ CloseWrite() error }); ok {
		_ = t.CloseWrite()
	}
	_ = c.caller.SetReadDeadline(time.Now().Add(lingerTimeout))
}

// longestBlocked returns the connections beyond limit whose writes to their callers have taken
// longest. Only writes that have taken a period count.
func longestBlocked(conns map[*relayedConn]struct{}, limit int, now time.Time) []*relayedConn {
	type blockedConn struct {
		*relayedConn
		since int64
	}
	var blocked []blockedConn
	for c := range conns {
		if since := c.blockedSince.Load(); since != 0 && now.UnixNano()-since >= int64(DecisionInterval) {
			blocked = append(blocked, blockedConn{c, since})
		}
	}
	if len(blocked) <= limit {
		return nil
	}
	slices.SortFunc(blocked, func(a, b blockedConn) int { return int(a.since - b.since) })
	var out []*relayedConn
	for _, c := range blocked[:len(blocked)-limit] {
		out = append(out, c.relayedConn)
	}
	return out
}
