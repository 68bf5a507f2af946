package conn

import (
	"bytes"
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"syscall"
	"time"

	"github.com/joomcode/errorx"
)

// ErrNotSent is the type of errors for an exchange of which no byte reached the upstream.
var ErrNotSent = namespace.NewType("not_sent")

// ErrWithdrawn is the type of errors for an exchange that was no longer wanted once its
// connection was open; no byte of it reached the upstream.
var ErrWithdrawn = namespace.NewType("withdrawn")

// ErrExchange is the type of errors for an exchange that broke after it was sent: the
// request may have run.
var ErrExchange = namespace.NewType("exchange")

// ErrSilence is the cancellation cause of a context that ends because the upstream has
// been silent for too long.
var ErrSilence = namespace.NewType("silence").New("the upstream is silent")

// Limits of one connection to an upstream.
const (
	// maxStaleAnswers is how many answers to earlier requests are skipped on one
	// connection before it is closed.
	maxStaleAnswers = 2
	// maxStaleBodyBytes is the largest body that is skipped to reach the next answer.
	maxStaleBodyBytes = 256 << 10
	// maxHeaderBytes is the largest response header, including the status line and the interim
	// answers before it.
	maxHeaderBytes = 256 << 10
	// maxHeaderFields is the largest number of header fields, interim answers included. A field
	// takes many times its text once it is parsed.
	maxHeaderFields = 1000
	// MaxPlainHeaderBytes is the largest response header of a call of the router's own, which has no
	// request whose memory it could be part of.
	MaxPlainHeaderBytes = 16 << 10
	// maxInterimAnswers is how many interim answers (1xx) may come before an answer.
	maxInterimAnswers = 16
	// maxInlineBodyBytes is the largest body that is written before the answer is read. A
	// larger one is written concurrently, since an upstream may answer early.
	maxInlineBodyBytes = 2 << 10
)

// Message is a request to be sent.
type Message struct {
	Method string
	Target string // path and query, unchanged
	Host   string
	Header http.Header
	Body   [][]byte // in pieces
	// StillWanted is called once the connection is open, before the first byte is
	// written; the message is sent only if it returns true or StillWanted is nil.
	StillWanted func() bool
	// OnWritten is called once the message has been written, or writing it has failed: Body is
	// not used any more. Another goroutine may call it. It is not called if Send returns
	// ErrNotSent or ErrWithdrawn; may be nil.
	OnWritten func()
	// OnStart is called with the exchange before the first byte is written; may be nil.
	OnStart func(*Exchange)
	// Reserve reserves memory for a large response header, and returns false if there is none; may be
	// nil.
	Reserve func(n int64) bool
	// MaxHeaderBytes bounds the response header; maxHeaderBytes if it is 0.
	MaxHeaderBytes int
	// UpstreamStart identifies the start of the upstream that the message is for, so that
	// Abort finds the exchange; may be empty.
	UpstreamStart string
}

// Exchange is one request and its answer. It must be closed.
type Exchange struct {
	Response      *http.Response
	pool          *Exchanges
	c             *upstreamConn
	upstreamStart string
	written       chan error
	sentWhole     bool // cached result of SentWhole
	stopOnCancel  func() bool
	closed        bool
}

// Send sends a message to an address and reads the response header. own reports whether a
// response belongs to this message and not to an earlier request on the connection. Until
// Close, the end of ctx closes the connection, which makes the upstream stop its work.
// Errors are ErrNotSent, ErrWithdrawn or ErrExchange.
func (p *Exchanges) Send(ctx context.Context, addr string, m *Message, own func(*http.Response) bool) (*Exchange, error) {
	c, err := p.getConn(ctx, addr)
	if err != nil {
		return nil, ErrNotSent.Wrap(err, "connect to %s", addr)
	}
	if m.StillWanted != nil && !m.StillWanted() {
		p.putUnused(c)
		return nil, ErrWithdrawn.New("send to %s", addr)
	}
	x := &Exchange{pool: p, c: c, upstreamStart: m.UpstreamStart, written: make(chan error, 1)}
	p.inFlight.add(x)
	x.stopOnCancel = context.AfterFunc(ctx, func() { c.Close() })
	if m.OnStart != nil {
		m.OnStart(x)
	}
	x.write(m)
	if err := x.readHeader(m, own); err != nil {
		x.Close(false)
		if c.reused && (errors.Is(err, syscall.ETIMEDOUT) || errors.Is(context.Cause(ctx), ErrSilence)) {
			p.handleSilence(addr, p.clock.Now())
		}
		return nil, ErrExchange.Wrap(err, "answer of %s", addr)
	}
	return x, nil
}

func (x *Exchange) write(m *Message) {
	size := 0
	for _, p := range m.Body {
		size += len(p)
	}
	if size <= maxInlineBodyBytes {
		raw := encodeHeader(m, size, size)
		for _, p := range m.Body {
			raw = append(raw, p...)
		}
		_, err := x.c.Write(raw)
		x.handleWritten(m, err)
		return
	}
	bufs := append(net.Buffers{encodeHeader(m, size, 0)}, m.Body...)
	go func() {
		x.handleWritten(m, x.c.WriteBuffers(bufs))
	}()
}

func (x *Exchange) handleWritten(m *Message, err error) {
	if m.OnWritten != nil {
		m.OnWritten()
	}
	x.written <- err
}

// encodeHeader encodes the header of a message whose body has size bytes, and leaves room for
// more bytes.
func encodeHeader(m *Message, size, room int) []byte {
	var b bytes.Buffer
	b.Grow(1024 + room)
	b.WriteString(m.Method + " " + m.Target + " HTTP/1.1\r\nHost: " + m.Host + "\r\n")
	_ = m.Header.Write(&b) // writing to a bytes.Buffer never fails
	if size > 0 || m.Method == http.MethodPost || m.Method == http.MethodPut || m.Method == http.MethodPatch {
		b.WriteString("Content-Length: " + strconv.Itoa(size) + "\r\n")
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

// readHeader reads response headers until the one of this exchange. Interim responses and
// late answers to earlier requests are skipped.
func (x *Exchange) readHeader(m *Message, own func(*http.Response) bool) error {
	for stale := 0; ; {
		res, err := x.readFinalHeader(m)
		if err != nil {
			return err
		}
		x.reportResponse(res)
		if own(res) {
			x.Response = res
			return nil
		}
		if stale++; stale > maxStaleAnswers || res.ContentLength < 0 || res.ContentLength > maxStaleBodyBytes || res.Close {
			return errors.New("the answer belongs to another request")
		}
		if _, err := io.Copy(io.Discard, res.Body); err != nil {
			return err
		}
	}
}

// readFinalHeader reads a response header after any interim ones. The bound on its size holds for
// all of them together, so that an upstream that sends them without end is no exception.
func (x *Exchange) readFinalHeader(m *Message) (*http.Response, error) {
	x.c.limited.beginHeader(cmp.Or(m.MaxHeaderBytes, maxHeaderBytes), m.Reserve)
	defer x.c.limited.endHeader()
	for range maxInterimAnswers + 1 {
		res, err := http.ReadResponse(x.c.br, &http.Request{Method: m.Method})
		if err != nil {
			return nil, err
		}
		if HasTwoHeads(res) {
			return nil, ErrTwoHeads
		}
		if res.StatusCode >= 100 && res.StatusCode < 200 {
			continue
		}
		if m.Reserve != nil && !x.c.limited.header.Parsed(res.Header, m.Reserve) {
			return nil, errHeaderMemory
		}
		return res, nil
	}
	return nil, errInterimAnswers
}

var errInterimAnswers = fmt.Errorf("more than %d interim answers", maxInterimAnswers)

// reportResponse calls OnResponse, also for answers to earlier requests: what an upstream
// states about itself is valid whichever request it answers.
func (x *Exchange) reportResponse(res *http.Response) {
	if x.pool.OnResponse != nil && x.upstreamStart != "" {
		x.pool.OnResponse(x.upstreamStart, res)
	}
}

// Close ends the exchange. whole states that the body was read to its end; only then is the
// connection reused.
func (x *Exchange) Close(whole bool) {
	if x.closed {
		return
	}
	x.closed = true
	x.pool.inFlight.remove(x)
	alive := x.stopOnCancel()
	if !whole || !alive || x.Response == nil || x.Response.Close || !x.SentWhole() || x.c.br.Buffered() > 0 || x.Response.ContentLength < 0 && len(x.Response.TransferEncoding) == 0 {
		x.c.Close()
		return
	}
	x.pool.putConn(x.c, x.Response.Header)
}

// CloseAfter closes the connection after a time, whatever arrives on it. stop ends that and reports
// whether the connection is still open.
func (x *Exchange) CloseAfter(d time.Duration) (stop func() bool) {
	return time.AfterFunc(d, func() { x.c.Close() }).Stop
}

// ReportSilence reports that the upstream fell silent in the middle of its answer. The idle
// connections on the same path are then closed.
func (x *Exchange) ReportSilence() { x.pool.handleSilence(x.c.addr, x.pool.clock.Now()) }

// HasUnread reports whether bytes from the upstream have arrived that were not read yet:
// then the upstream is not silent. It may be called by any goroutine.
func (x *Exchange) HasUnread() bool {
	n, _, known := peek(x.c)
	return known && n > 0
}

// SentWhole reports whether the request has been written completely.
func (x *Exchange) SentWhole() bool {
	select {
	case err := <-x.written:
		x.sentWhole = err == nil
	default:
	}
	return x.sentWhole
}

// IsNotSent reports whether an error of Send proves that no byte was sent.
func IsNotSent(err error) bool {
	return errorx.IsOfType(err, ErrNotSent) || IsWithdrawn(err)
}

// IsRefused reports whether an error of Send means that nothing listens at the address.
func IsRefused(err error) bool { return isCausedBy(err, syscall.ECONNREFUSED) }

// IsDisconnected reports whether an error of Send, or of reading an answer, means that the
// other side closed the connection.
func IsDisconnected(err error) bool {
	return isCausedBy(err, io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.EPIPE)
}

// isCausedBy reports whether an error has one of the causes, including those that errorx
// hides from errors.Is.
func isCausedBy(err error, causes ...error) bool {
	for err != nil {
		for _, c := range causes {
			if errors.Is(err, c) {
				return true
			}
		}
		x := errorx.Cast(err)
		if x == nil {
			return false
		}
		err = x.Cause()
	}
	return false
}

// IsWithdrawn reports whether an error of Send means that the message was no longer wanted.
func IsWithdrawn(err error) bool { return errorx.IsOfType(err, ErrWithdrawn) }
