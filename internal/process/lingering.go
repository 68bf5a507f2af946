package process

import (
	"io"
	"net"
	"sync/atomic"
	"time"

	"github.com/silverswitch/silverswitch/internal/conn"
)

const (
	// refusalLinger is how long a connection stays open after its request was refused while the
	// caller still sends, so that the answer is not lost in a reset.
	refusalLinger = 500 * time.Millisecond
	// maxLingering bounds the connections of a server that are closed and still read.
	maxLingering = 256
)

// lingering closes connections with unread bytes. Closing them at once resets them, and an answer may be
// lost: net/http does not read the body of a request that asks to close the connection.
type lingering struct{ open atomic.Int64 }

// halfCloser is a connection that can be closed in one direction.
type halfCloser interface {
	net.Conn
	CloseWrite() error
}

// close ends the own direction, drops for a while what the other side still sends, and closes the
// connection.
func (l *lingering) close(c halfCloser) {
	defer c.Close()
	if l.open.Add(1) <= maxLingering && c.CloseWrite() == nil && c.SetReadDeadline(time.Now().Add(refusalLinger)) == nil {
		_, _ = io.Copy(io.Discard, c)
	}
	l.open.Add(-1)
}

// lingeringListener accepts connections that are closed by lingering.
type lingeringListener struct {
	net.Listener
	lingering lingering
}

// Accept implements net.Listener.
func (l *lingeringListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	if half, ok := c.(halfCloser); ok {
		return &lingeringConn{halfCloser: half, lingering: &l.lingering}, nil
	}
	return c, nil
}

// lingeringConn is a connection that is closed by lingering.
type lingeringConn struct {
	halfCloser
	lingering *lingering
	atOnce    atomic.Bool
}

// Close implements net.Conn.
func (c *lingeringConn) Close() error {
	if c.atOnce.Swap(true) || conn.NoUnread(c.halfCloser) {
		return c.halfCloser.Close()
	}
	go c.lingering.close(c)
	return nil
}

// SetLinger lets conn.CutCaller reset the connection.
func (c *lingeringConn) SetLinger(sec int) error {
	l, ok := c.halfCloser.(interface{ SetLinger(int) error })
	if !ok {
		return errNoLinger
	}
	c.atOnce.Store(sec == 0)
	return l.SetLinger(sec)
}
