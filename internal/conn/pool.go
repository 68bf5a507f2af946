package conn

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/silverswitch/silverswitch/internal/clock"
	"github.com/silverswitch/silverswitch/internal/memory"
)

// Limits of the connections to upstreams.
const (
	// dialTimeout is many times the round trip within a region, and well below the
	// second within which callers expect a new connection themselves.
	dialTimeout = 400 * time.Millisecond
	// defaultIdleTimeout is how long an idle connection is kept when the upstream does
	// not state a timeout.
	defaultIdleTimeout = 4 * time.Second
	// idleMargin is subtracted from the timeout that an upstream states.
	idleMargin = 700 * time.Millisecond
	// unackedTimeout is how long sent bytes may stay unacknowledged before a connection
	// counts as broken: a silently broken path is not detected in any other way. It
	// leaves time to retransmit three packets lost in a row.
	unackedTimeout = 1500 * time.Millisecond
	// silenceWindow is the time within which silence on reused connections to two
	// upstreams makes all idle connections suspect.
	silenceWindow   = 3 * time.Second
	readBufferBytes = 4 << 10
)

// Exchanges is an HTTP/1.1 client with a pool of idle connections to all upstreams. It uses
// the codec of net/http; unlike http.Transport it never sends a request twice, and it
// recognises answers to other requests. It may be used by any goroutine.
type Exchanges struct {
	mu          sync.Mutex
	idle        map[string][]*upstreamConn
	inFlight    inFlight
	lastSilence silence
	clock       *clock.Clock
	OnOpen      func()                         // called for each new connection; may be nil
	OnSilence   func(addr string, dropped int) // called when an upstream fell silent on a connection; may be nil
	// OnResponse is called with the header of every response, also of late ones to earlier
	// requests, and the UpstreamStart of the message, unless that is empty; may be nil.
	OnResponse func(upstreamStart string, res *http.Response)
}

// silence is an upstream that fell silent, and when.
type silence struct {
	addr string
	at   time.Time
}

// NewExchanges returns a client without open connections.
func NewExchanges() *Exchanges {
	return &Exchanges{idle: map[string][]*upstreamConn{}, inFlight: newInFlight(), clock: clock.System}
}

// upstreamConn is a connection to an upstream, in use or idle.
type upstreamConn struct {
	*resetConn
	reused      bool // has served an exchange before
	addr        string
	limited     *limitedReader
	br          *bufio.Reader // reads from limited
	idleSince   time.Time     // when it was added to the pool
	idleTimeout time.Duration
}

func (p *Exchanges) getConn(ctx context.Context, addr string) (*upstreamConn, error) {
	for {
		c := p.pop(addr)
		if c == nil {
			return p.dial(ctx, addr)
		}
		if p.clock.Since(c.idleSince) < c.idleTimeout && isOpenWithoutUnread(c) {
			return c, nil
		}
		c.Close()
	}
}

// Open opens a connection to an upstream and keeps it for the next exchange.
func (p *Exchanges) Open(ctx context.Context, addr string) error {
	c, err := p.dial(ctx, addr)
	if err != nil {
		return ErrNotSent.Wrap(err, "connect to %s", addr)
	}
	p.addIdle(c)
	return nil
}

func (p *Exchanges) pop(addr string) *upstreamConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[addr]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	p.idle[addr] = list[:len(list)-1]
	return c
}

func (p *Exchanges) dial(ctx context.Context, addr string) (*upstreamConn, error) {
	ctx, stop := context.WithTimeout(ctx, dialTimeout)
	defer stop()
	c, err := dialReset(ctx, &net.Dialer{KeepAlive: -1, Control: setUserTimeout}, "tcp", addr)
	if err != nil {
		return nil, err
	}
	if p.OnOpen != nil {
		p.OnOpen()
	}
	limited := &limitedReader{r: c, remaining: unlimited}
	return &upstreamConn{resetConn: c, addr: addr, limited: limited, br: bufio.NewReaderSize(limited, readBufferBytes), idleTimeout: defaultIdleTimeout}, nil
}

// limitedReader limits the bytes and the memory of a response header. net/http reads one of any size,
// so an endless one would fill the router's memory.
type limitedReader struct {
	r         io.Reader
	remaining int // bytes; unlimited for no limit
	header    memory.Header
	reserve   func(n int64) bool // nil for no account
}

const unlimited = -1

var (
	errHeaderTooLarge = errors.New("the response header is too large")
	errHeaderMemory   = errors.New("no memory for the response header")
)

// beginHeader begins a header of at most n bytes.
func (l *limitedReader) beginHeader(n int, reserve func(n int64) bool) {
	l.remaining, l.header, l.reserve = n, memory.Header{}, reserve
}

// endHeader removes the limits.
func (l *limitedReader) endHeader() { l.remaining, l.reserve = unlimited, nil }

// Read reserves what came before, which belongs to the header since more of it is read. Of the last
// bytes a part may belong to the body.
func (l *limitedReader) Read(p []byte) (int, error) {
	switch {
	case l.remaining == unlimited:
		return l.r.Read(p)
	case l.remaining == 0 || l.header.Fields() > maxHeaderFields:
		return 0, errHeaderTooLarge
	case l.reserve != nil && !l.header.Reserve(l.reserve):
		return 0, errHeaderMemory
	}
	n, err := l.r.Read(p[:min(len(p), l.remaining)])
	l.remaining -= n
	l.header.Read(p[:n])
	return n, err
}

// setUserTimeout bounds how long sent bytes may stay unacknowledged.
func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var err error
	controlErr := raw.Control(func(fd uintptr) {
		err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
	})
	return errors.Join(controlErr, err)
}

// handleSilence handles an upstream that fell silent on a connection. The idle connections
// to the same upstream use the same path and are closed; when two upstreams fall silent
// within silenceWindow, all idle connections are closed.
func (p *Exchanges) handleSilence(addr string, now time.Time) {
	p.mu.Lock()
	all := p.lastSilence.addr != "" && p.lastSilence.addr != addr && now.Sub(p.lastSilence.at) < silenceWindow
	p.lastSilence = silence{addr, now}
	p.mu.Unlock()
	dropped := 0
	if all {
		dropped = p.closeAllIdle()
	} else {
		dropped = p.CloseIdle(addr)
	}
	if p.OnSilence != nil {
		p.OnSilence(addr, dropped)
	}
}

// putConn returns a connection to the pool and applies the idle timeout stated in a
// response header.
func (p *Exchanges) putConn(c *upstreamConn, h http.Header) {
	if t := statedTimeout(h); t > 0 {
		c.idleTimeout = max(0, t-idleMargin)
	}
	p.addIdle(c)
}

// addIdle adds a connection to the pool that is idle from now on.
func (p *Exchanges) addIdle(c *upstreamConn) {
	c.idleSince, c.reused = p.clock.Now(), true
	p.putBack(c)
}

// putUnused returns a connection to the pool on which nothing was sent: for its upstream it is idle
// since before.
func (p *Exchanges) putUnused(c *upstreamConn) {
	if c.reused {
		p.putBack(c)
		return
	}
	p.addIdle(c)
}

// putBack adds a connection to the pool. The oldest ones past their idle timeout are closed.
func (p *Exchanges) putBack(c *upstreamConn) {
	p.mu.Lock()
	list := p.idle[c.addr]
	var old []*upstreamConn
	for len(list) > 0 && p.clock.Since(list[0].idleSince) >= list[0].idleTimeout {
		old = append(old, list[0])
		list = list[1:]
	}
	p.idle[c.addr] = append(list, c)
	p.mu.Unlock()
	for _, o := range old {
		o.Close()
	}
}

// statedTimeout parses "timeout=N" of a Keep-Alive header, in whole seconds. It returns 0
// when there is none.
func statedTimeout(h http.Header) time.Duration {
	for _, part := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, val, _ := strings.Cut(strings.TrimSpace(part), "=")
		if n, err := strconv.Atoi(val); err == nil && strings.EqualFold(name, "timeout") {
			return time.Duration(n) * time.Second
		}
	}
	return 0
}

// CloseIdle closes the idle connections to an address whose upstream has ended, and
// returns their number.
func (p *Exchanges) CloseIdle(addr string) int {
	p.mu.Lock()
	list := p.idle[addr]
	delete(p.idle, addr)
	p.mu.Unlock()
	for _, c := range list {
		c.Close()
	}
	return len(list)
}

// Close closes all idle connections.
func (p *Exchanges) Close() { p.closeAllIdle() }

func (p *Exchanges) closeAllIdle() int {
	p.mu.Lock()
	all := p.idle
	p.idle = map[string][]*upstreamConn{}
	p.mu.Unlock()
	n := 0
	for _, list := range all {
		n += len(list)
		for _, c := range list {
			c.Close()
		}
	}
	return n
}

// isOpenWithoutUnread checks an idle connection without blocking. It returns false for
// unsolicited bytes, a closed connection or an error; such a connection cannot be used.
func isOpenWithoutUnread(c net.Conn) bool {
	_, err, known := peek(c)
	return !known || err == syscall.EAGAIN
}

// NoUnread reports whether a connection has no unread bytes. It returns true for a
// connection that cannot be checked.
func NoUnread(c net.Conn) bool {
	if u, ok := c.(interface{ HasUnread() bool }); ok { // a relayed connection has no socket of its own
		return !u.HasUnread()
	}
	n, _, known := peek(c)
	return !known || n <= 0
}

// peek checks for an unread byte without consuming it and without blocking. known is false
// for connections without a file descriptor.
func peek(c net.Conn) (n int, err error, known bool) {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return 0, nil, false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return 0, err, true
	}
	var one [1]byte
	controlErr := raw.Control(func(fd uintptr) {
		n, _, err = syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	if controlErr != nil {
		return 0, controlErr, true
	}
	if k, ok := c.(interface{ keep(error) }); ok {
		k.keep(err)
	}
	return n, err, true
}
