package conn

import (
	"bufio"
	"bytes"
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

	"github.com/joomcode/errorx"
)

// ErrNotSent is an exchange of which no byte reached the upstream.
var ErrNotSent = namespace.NewType("not_sent")

// ErrExchange is an exchange that broke after it was sent: it may have run.
var ErrExchange = namespace.NewType("exchange")

// Bounds of one connection to an upstream.
const (
	// dialTimeout is many times the round trip inside a region, and well under the
	// second within which callers expect a new connection themselves.
	dialTimeout = 400 * time.Millisecond
	// idleLimit is how long a connection is kept unused when the upstream states
	// nothing itself.
	idleLimit = 4 * time.Second
	// idleMargin is kept from the timeout an upstream states.
	idleMargin = 700 * time.Millisecond
	// maxStale is how many answers to former requests are skipped on one
	// connection before it is given up.
	maxStale = 2
	// maxStaleBody is the largest body read past to reach the next answer.
	maxStaleBody = 256 << 10
	// inlineBody is the largest body written before the answer is waited for; a
	// larger one is written beside it, since an upstream may answer early.
	inlineBody = 2 << 10
	readBuffer = 4 << 10
)

// Message is a request as it is sent.
type Message struct {
	Method string
	Target string // path and query, unchanged
	Host   string
	Header http.Header
	Body   []byte
}

// Exchanges holds the idle connections to all upstreams. The codec is net/http's;
// unlike its Transport, nothing here ever sends a request twice, and an answer to
// another request is told from the own one. It may be used by any goroutine.
type Exchanges struct {
	mu     sync.Mutex
	idle   map[string][]*upConn
	Opened func() // counts new connections, may be nil
}

// NewExchanges returns an empty pool.
func NewExchanges() *Exchanges { return &Exchanges{idle: map[string][]*upConn{}} }

type upConn struct {
	net.Conn
	addr  string
	br    *bufio.Reader
	since time.Time // idle since
	limit time.Duration
}

// Exchange is one request and its answer. Close it when done.
type Exchange struct {
	Response *http.Response
	pool     *Exchanges
	c        *upConn
	written  chan error
	release  func() bool
	ended    bool
}

// Send sends a message to an address and reads the answer's headers. own tells
// the own answer from those to former requests of the connection. The end of ctx
// closes the connection, which tells the upstream to stop work; that holds until
// Close. Errors are ErrNotSent or ErrExchange.
func (p *Exchanges) Send(ctx context.Context, addr string, m *Message, own func(*http.Response) bool) (*Exchange, error) {
	c, err := p.take(ctx, addr)
	if err != nil {
		return nil, ErrNotSent.Wrap(err, "connect to %s", addr)
	}
	x := &Exchange{pool: p, c: c, written: make(chan error, 1)}
	x.release = context.AfterFunc(ctx, func() { c.Close() })
	x.write(m)
	if err := x.readHead(m.Method, own); err != nil {
		x.Close(false)
		return nil, ErrExchange.Wrap(err, "answer of %s", addr)
	}
	return x, nil
}

func (x *Exchange) write(m *Message) {
	head := encodeHead(m)
	if len(m.Body) <= inlineBody {
		_, err := x.c.Write(append(head, m.Body...))
		x.written <- err
		return
	}
	go func() {
		bufs := net.Buffers{head, m.Body}
		_, err := bufs.WriteTo(x.c.Conn)
		x.written <- err
	}()
}

func encodeHead(m *Message) []byte {
	var b bytes.Buffer
	b.Grow(1024 + len(m.Body)*boolInt(len(m.Body) <= inlineBody))
	b.WriteString(m.Method + " " + m.Target + " HTTP/1.1\r\nHost: " + m.Host + "\r\n")
	_ = m.Header.Write(&b) // a bytes.Buffer takes everything
	if len(m.Body) > 0 || m.Method == http.MethodPost || m.Method == http.MethodPut || m.Method == http.MethodPatch {
		b.WriteString("Content-Length: " + strconv.Itoa(len(m.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

func boolInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// readHead reads answers until the own one. Interim answers and late answers to
// former requests are skipped.
func (x *Exchange) readHead(method string, own func(*http.Response) bool) error {
	for stale := 0; ; {
		res, err := http.ReadResponse(x.c.br, &http.Request{Method: method})
		if err != nil {
			return err
		}
		if res.StatusCode >= 100 && res.StatusCode < 200 {
			continue
		}
		if own(res) {
			x.Response = res
			return nil
		}
		if stale++; stale > maxStale || res.ContentLength < 0 || res.ContentLength > maxStaleBody || res.Close {
			return errors.New("the answer is to another request")
		}
		if _, err := io.Copy(io.Discard, res.Body); err != nil {
			return err
		}
	}
}

// Close ends the exchange. whole says that the answer's body was read to its end;
// only then is the connection kept.
func (x *Exchange) Close(whole bool) {
	if x.ended {
		return
	}
	x.ended = true
	alive := x.release()
	if !whole || !alive || x.Response == nil || x.Response.Close || !x.wrote() || x.c.br.Buffered() > 0 || x.Response.ContentLength < 0 && len(x.Response.TransferEncoding) == 0 {
		x.c.Close()
		return
	}
	x.pool.put(x.c, x.Response.Header)
}

// wrote reports whether the request has gone out whole.
func (x *Exchange) wrote() bool {
	select {
	case err := <-x.written:
		return err == nil
	default:
		return false
	}
}

func (p *Exchanges) take(ctx context.Context, addr string) (*upConn, error) {
	for {
		c := p.pop(addr)
		if c == nil {
			return p.dial(ctx, addr)
		}
		if time.Since(c.since) < c.limit && quietAndOpen(c.Conn) {
			return c, nil
		}
		c.Close()
	}
}

func (p *Exchanges) pop(addr string) *upConn {
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

func (p *Exchanges) dial(ctx context.Context, addr string) (*upConn, error) {
	ctx, stop := context.WithTimeout(ctx, dialTimeout)
	defer stop()
	c, err := (&net.Dialer{KeepAlive: -1}).DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	if p.Opened != nil {
		p.Opened()
	}
	return &upConn{Conn: c, addr: addr, br: bufio.NewReaderSize(c, readBuffer), limit: idleLimit}, nil
}

// put keeps a connection. The oldest that are too old are closed on the way.
func (p *Exchanges) put(c *upConn, h http.Header) {
	if t := statedTimeout(h); t > 0 {
		c.limit = max(0, t-idleMargin)
	}
	c.since = time.Now()
	p.mu.Lock()
	list := p.idle[c.addr]
	var old []*upConn
	for len(list) > 0 && time.Since(list[0].since) >= list[0].limit {
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

// Forget closes the idle connections to an address whose upstream has ended.
func (p *Exchanges) Forget(addr string) {
	p.mu.Lock()
	list := p.idle[addr]
	delete(p.idle, addr)
	p.mu.Unlock()
	for _, c := range list {
		c.Close()
	}
}

// Close ends every idle connection.
func (p *Exchanges) Close() {
	p.mu.Lock()
	all := p.idle
	p.idle = map[string][]*upConn{}
	p.mu.Unlock()
	for _, list := range all {
		for _, c := range list {
			c.Close()
		}
	}
}

// quietAndOpen looks at an idle connection without waiting: bytes that nobody
// asked for, an end or an error make it useless.
func quietAndOpen(c net.Conn) bool {
	_, err, known := peek(c)
	return !known || err == syscall.EAGAIN
}

// Quiet reports whether no byte waits on a connection to be read. One that cannot
// be looked at counts as quiet.
func Quiet(c net.Conn) bool {
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

// IsNotSent reports whether an error of Send proves that no byte was sent.
func IsNotSent(err error) bool { return errorx.IsOfType(err, ErrNotSent) }
