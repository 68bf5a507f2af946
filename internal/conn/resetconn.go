package conn

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"syscall"

	"golang.org/x/sys/unix"
)

// dialReset opens a connection to an upstream on which a reset never reads as the end of the data.
func dialReset(ctx context.Context, d *net.Dialer, network, addr string) (*resetConn, error) {
	c, err := d.DialContext(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	return &resetConn{Conn: c}, nil
}

// resetConn is a TCP connection that tells a reset from the end of the data. The system reports a
// reset, or a path that is lost, to one call only: a read, a write or a peek. For the reads that
// follow the data has ended, so an answer whose end is that of its connection would look whole.
type resetConn struct {
	net.Conn
	writing sync.Mutex            // held while writing
	broken  atomic.Pointer[error] // what a write or a peek was told
}

// Write implements net.Conn.
func (c *resetConn) Write(p []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(p)
	c.keep(err)
	return n, err
}

// WriteBuffers writes several buffers with one system call where possible.
func (c *resetConn) WriteBuffers(bufs net.Buffers) error {
	c.writing.Lock()
	defer c.writing.Unlock()
	_, err := bufs.WriteTo(c.Conn)
	c.keep(err)
	return err
}

// keep keeps an error that says that the connection broke. EPIPE does not: it is also what a write
// after the upstream's regular end gets.
func (c *resetConn) keep(err error) {
	if errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.ETIMEDOUT) || errors.Is(err, syscall.EHOSTUNREACH) || errors.Is(err, syscall.ENETUNREACH) {
		c.broken.CompareAndSwap(nil, &err)
	}
}

// Read implements net.Conn.
func (c *resetConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 && errors.Is(err, io.EOF) {
		return 0, c.endError(err)
	}
	return n, err
}

// endError returns the error of a read that found the end of the data. A connection that is closed in
// both directions may have been broken; a write under way then returns at once and says so.
func (c *resetConn) endError(end error) error {
	if tcpState(c.Conn) == tcpClosed {
		c.writing.Lock()
		defer c.writing.Unlock()
	}
	if err := c.broken.Load(); err != nil {
		return *err
	}
	return end
}

// SyscallConn implements syscall.Conn.
func (c *resetConn) SyscallConn() (syscall.RawConn, error) {
	if s, ok := c.Conn.(syscall.Conn); ok {
		return s.SyscallConn()
	}
	return nil, errors.ErrUnsupported
}

// tcpClosed is TCP_CLOSE of the Linux kernel: no direction is open.
const tcpClosed = 7

// tcpState returns the kernel's state of a TCP connection, or 0 if it is not known.
func tcpState(c net.Conn) uint8 {
	s, ok := c.(syscall.Conn)
	if !ok {
		return 0
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return 0
	}
	var info *unix.TCPInfo
	if err := raw.Control(func(fd uintptr) {
		info, _ = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
	}); err != nil || info == nil {
		return 0
	}
	return info.State
}
