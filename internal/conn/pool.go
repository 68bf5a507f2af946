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
)

// Bounds of the connections to upstreams.
const (
	// dialTimeout is many times the round trip inside a region, and well under the
	// second within which callers expect a new connection themselves.
	dialTimeout = 400 * time.Millisecond
	// defaultIdleTimeout is how long a connection is kept unused when the upstream states
	// nothing itself.
	defaultIdleTimeout = 4 * time.Second
	// idleMargin is kept from the timeout an upstream states.
	idleMargin = 700 * time.Millisecond
	// unackedTimeout is how long sent bytes may stay unacknowledged before a connection
	// counts as broken: a path that has gone silent shows in no other way. Three
	// packets lost in a row are sent again within it.
	unackedTimeout = 1500 * time.Millisecond
	// silenceWindow is the time within which kept connections to two upstreams that
	// fall silent cast doubt on all that are kept.
	silenceWindow   = 3 * time.Second
	readBufferBytes = 4 << 10
)

// Exchanges holds the idle connections to all upstreams. The codec is net/http's;
// unlike its Transport, nothing here ever sends a request twice, and an answer to
// another request is told from the own one. It may be used by any goroutine.
type Exchanges struct {
	mu          sync.Mutex
	idle        map[string][]*upstreamConn
	inFlight    inFlight
	lastSilence silence
	clock       *clock.Clock
	OnOpen      func()                         // counts new connections, may be nil
	OnSilence   func(addr string, dropped int) // a kept connection fell silent, may be nil
	// Heard is told of the head of every answer and of the start of the upstream that it
	// was asked of, Message.UpstreamStart; may be nil.
	OnResponse func(owner string, head *http.Response)
}

// silence is the last kept connection that fell silent.
type silence struct {
	addr string
	at   time.Time
}

// NewExchanges returns an empty pool.
func NewExchanges() *Exchanges {
	return &Exchanges{idle: map[string][]*upstreamConn{}, inFlight: newInFlight(), clock: clock.System}
}

type upstreamConn struct {
	net.Conn
	reused      bool // it has served before
	addr        string
	limited     *limitedReader
	br          *bufio.Reader // of in
	idleSince   time.Time     // idle since
	idleTimeout time.Duration
}

func (p *Exchanges) getConn(ctx context.Context, addr string) (*upstreamConn, error) {
	for {
		c := p.pop(addr)
		if c == nil {
			return p.dial(ctx, addr)
		}
		if p.clock.Since(c.idleSince) < c.idleTimeout && isOpenWithoutUnread(c.Conn) {
			return c, nil
		}
		c.Close()
	}
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
	d := net.Dialer{KeepAlive: -1, Control: setUserTimeout}
	c, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	if p.OnOpen != nil {
		p.OnOpen()
	}
	limited := &limitedReader{r: c, remaining: unlimited}
	return &upstreamConn{Conn: c, addr: addr, limited: limited, br: bufio.NewReaderSize(limited, readBufferBytes), idleTimeout: defaultIdleTimeout}, nil
}

// bounded reads no more than it is allowed to. net/http's reading of an answer's head has
// no bound: one without an end filled a router's memory.
type limitedReader struct {
	r         io.Reader
	remaining int // bytes, noBound for any number
}

const unlimited = -1

var errHeaderTooLarge = errors.New("the head of the answer is too large")

func (b *limitedReader) setLimit(n int) { b.remaining = n }

func (b *limitedReader) Read(p []byte) (int, error) {
	if b.remaining == unlimited {
		return b.r.Read(p)
	}
	if b.remaining == 0 {
		return 0, errHeaderTooLarge
	}
	n, err := b.r.Read(p[:min(len(p), b.remaining)])
	b.remaining -= n
	return n, err
}

// setUserTimeout bounds how long sent bytes may stay unacknowledged.
func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var err error
	gone := raw.Control(func(fd uintptr) {
		err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
	})
	return errors.Join(gone, err)
}

// handleSilence takes a kept connection on which nothing came back. Those that are
// kept to the same upstream lie on the same path and are closed; when two upstreams
// fall silent, all that are kept.
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

// put keeps a connection. The oldest that are too old are closed on the way.
func (p *Exchanges) putConn(c *upstreamConn, h http.Header) {
	if t := statedTimeout(h); t > 0 {
		c.idleTimeout = max(0, t-idleMargin)
	}
	p.addIdle(c)
}

func (p *Exchanges) addIdle(c *upstreamConn) {
	c.idleSince, c.reused = p.clock.Now(), true
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

// statedTimeout reads "timeout=N" of a Keep-Alive header, whole seconds.
func statedTimeout(h http.Header) time.Duration {
	for _, part := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, val, _ := strings.Cut(strings.TrimSpace(part), "=")
		if n, err := strconv.Atoi(val); err == nil && strings.EqualFold(name, "timeout") {
			return time.Duration(n) * time.Second
		}
	}
	return 0
}

// Forget closes the idle connections to an address whose upstream has ended. It
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

// Close ends every idle connection.
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

// isOpenWithoutUnread looks at an idle connection without waiting: bytes that nobody
// asked for, an end or an error make it useless.
func isOpenWithoutUnread(c net.Conn) bool {
	_, err, known := peek(c)
	return !known || err == syscall.EAGAIN
}

// Quiet reports whether no byte waits on a connection to be read. One that cannot
// be looked at counts as quiet.
func NoUnread(c net.Conn) bool {
	n, _, known := peek(c)
	return !known || n <= 0
}

// peek looks for a byte without taking it and without waiting.
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
	gone := raw.Control(func(fd uintptr) {
		n, _, err = syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	if gone != nil {
		return 0, gone, true
	}
	return n, err, true
}
