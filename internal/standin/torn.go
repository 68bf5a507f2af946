package standin

import (
	"bufio"
	"cmp"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// End says how a torn upstream's connection goes on after an answer's bytes.
type End uint8

// The ends.
const (
	Close     End = iota // it is closed
	Reset                // it is reset
	HalfClose            // the upstream's half is closed; it still reads
	EndReset             // the upstream's half is closed, and then the connection is reset
	Keep                 // it stays open for the next request
)

// String implements fmt.Stringer.
func (e End) String() string {
	return [...]string{"close", "reset", "half close", "end and reset", "keep"}[e]
}

// Tear is an answer of which an upstream writes the first bytes.
type Tear struct {
	Raw   string        // the whole answer; %ID is replaced by the request's id
	Cut   int           // the number of bytes written, or All
	Split int           // the bytes before a pause, 0 for none
	Pause time.Duration // its length, splitPause if 0
	End   End
}

// All is the Cut of an answer that is written whole.
const All = -1

// splitPause is the pause between two segments, in which a reader parses the first.
const splitPause = 2 * time.Millisecond

// Whole returns the answer's bytes for a request id.
func (a Tear) Whole(id string) string { return strings.ReplaceAll(a.Raw, "%ID", id) }

// TornRequest is a request that has reached a torn upstream.
type TornRequest struct {
	*http.Request
	Content []byte // the body
	OnConn  int    // how many requests came on the connection before it
}

// TornUpstream is an upstream that stops in the middle of its answers.
type TornUpstream struct {
	Addr     string
	listener net.Listener
	idHeader string
	plan     func(TornRequest) Tear
	early    bool // answers before it reads the body
	reused   atomic.Int64
}

// NewTornUpstream starts an upstream that answers each request by its plan, which any goroutine
// may call. idHeader is the header with the requests' ids.
func NewTornUpstream(idHeader string, plan func(TornRequest) Tear) (*TornUpstream, error) {
	return startTornUpstream(&TornUpstream{idHeader: idHeader, plan: plan})
}

// NewEarlyUpstream starts an upstream that answers before it reads the request's body.
func NewEarlyUpstream(idHeader string, plan func(TornRequest) Tear) (*TornUpstream, error) {
	return startTornUpstream(&TornUpstream{idHeader: idHeader, plan: plan, early: true})
}

func startTornUpstream(u *TornUpstream) (*TornUpstream, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	u.Addr, u.listener = l.Addr().String(), l
	go u.accept()
	return u, nil
}

// Close stops listening.
func (u *TornUpstream) Close() { u.listener.Close() }

// Reused returns how many requests came on a connection that had served one before.
func (u *TornUpstream) Reused() int64 { return u.reused.Load() }

func (u *TornUpstream) accept() {
	for {
		c, err := u.listener.Accept()
		if err != nil {
			return
		}
		go u.serve(c.(*net.TCPConn))
	}
}

// serve answers the requests on a connection until one of its answers ends it.
func (u *TornUpstream) serve(c *net.TCPConn) {
	defer c.Close()
	br := bufio.NewReader(c)
	for n := 0; ; n++ {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		var body []byte
		if !u.early {
			if body, err = io.ReadAll(r.Body); err != nil {
				return
			}
		}
		if n > 0 {
			u.reused.Add(1)
		}
		if !u.answer(c, br, TornRequest{Request: r, Content: body, OnConn: n}) {
			return
		}
	}
}

// answer writes an answer and reports whether the connection stays open.
func (u *TornUpstream) answer(c *net.TCPConn, br *bufio.Reader, r TornRequest) bool {
	a := u.plan(r)
	text := a.Whole(r.Header.Get(u.idHeader))
	if a.Cut != All {
		text = text[:min(a.Cut, len(text))]
	}
	if a.Split > 0 && a.Split < len(text) {
		_, _ = io.WriteString(c, text[:a.Split]) // the reader may be gone
		time.Sleep(cmp.Or(a.Pause, splitPause))
		text = text[a.Split:]
	}
	_, _ = io.WriteString(c, text)
	if u.early {
		time.Sleep(splitPause)
	}
	switch a.End {
	case Keep:
		return true
	case Reset:
		_ = c.SetLinger(0) // close then resets
	case HalfClose:
		_ = c.CloseWrite()
		_, _ = io.Copy(io.Discard, br)
	case EndReset:
		_ = c.CloseWrite()
		_ = c.SetLinger(0)
	}
	return false
}

// TornAnswer is a kind of answer that a test tears.
type TornAnswer struct {
	Name      string
	Raw       string // with %ID for the request's id
	Status    int    // 0 for 200
	Body      string // as callers read it
	Stream    bool   // of events
	Unframed  bool   // it ends with its connection
	Malformed bool   // no answer in the protocol, also if it is written whole
}

// TornAnswers returns the kinds. identity are the header lines that an upstream's own answers have,
// and first is the position of a stream's first event.
func TornAnswers(identity string, first int) []TornAnswer {
	const ok = "HTTP/1.1 200 OK\r\n"
	events := TornEvents(first)
	stream := "Content-Type: text/event-stream\r\n"
	return []TornAnswer{
		{Name: "length", Raw: ok + identity + "Content-Length: 12\r\n\r\nhello, world", Body: "hello, world"},
		{Name: "length, not last", Raw: ok + "Content-Length: 12\r\n" + identity + "\r\nhello, world", Body: "hello, world"},
		{Name: "length of zero", Raw: ok + identity + "Content-Length: 0\r\n\r\n"},
		{Name: "chunks", Raw: ok + identity + "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n7\r\n, world\r\n0\r\n\r\n", Body: "hello, world"},
		{Name: "trailers", Raw: ok + identity + "Trailer: X-Sum\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\nX-Sum: 1\r\n\r\n", Body: "hello"},
		{Name: "no length", Raw: ok + identity + "Connection: close\r\n\r\nhello, world", Body: "hello, world", Unframed: true},
		{Name: "HTTP/1.0", Raw: "HTTP/1.0 200 OK\r\n" + identity + "\r\nhello, world", Body: "hello, world", Unframed: true},
		{Name: "HTTP/1.0 with length", Raw: "HTTP/1.0 200 OK\r\n" + identity + "Content-Length: 12\r\n\r\nhello, world", Body: "hello, world"},
		{Name: "bare line feeds", Raw: strings.ReplaceAll(ok+identity, "\r\n", "\n") + "Content-Length: 12\n\nhello, world", Body: "hello, world"},
		{Name: "early hints first", Raw: "HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n" + ok + identity + "Content-Length: 5\r\n\r\nhello", Body: "hello"},
		{Name: "100 first", Raw: "HTTP/1.1 100 Continue\r\n\r\n" + ok + identity + "Content-Length: 5\r\n\r\nhello", Body: "hello"},
		{Name: "204", Status: http.StatusNoContent, Raw: "HTTP/1.1 204 No Content\r\n" + identity + "\r\n"},
		{Name: "folded line", Raw: ok + identity + "X-Note: one\r\n two\r\n\tthree\r\nContent-Length: 5\r\n\r\nhello", Body: "hello"},
		{Name: "length twice", Raw: ok + identity + "Content-Length: 5\r\nContent-Length: 5\r\n\r\nhello", Body: "hello"},
		{Name: "long head", Raw: ok + identity + "X-Long: " + strings.Repeat("x", 5000) + "\r\nContent-Length: 5\r\n\r\nhello", Body: "hello"},
		{Name: "failure", Status: http.StatusInternalServerError, Raw: "HTTP/1.1 500 Internal Server Error\r\n" + identity + "Content-Length: 6\r\n\r\nfailed", Body: "failed"},
		{Name: "stream in chunks", Raw: ok + identity + stream + "Transfer-Encoding: chunked\r\n\r\n" + Chunks(events...), Body: strings.Join(events, ""), Stream: true},
		{Name: "stream with length", Raw: ok + identity + stream + "Content-Length: 46\r\n\r\n" + strings.Join(events, ""), Body: strings.Join(events, ""), Stream: true},
		{Name: "stream without length", Raw: ok + identity + stream + "Connection: close\r\n\r\n" + strings.Join(events, ""), Body: strings.Join(events, ""), Stream: true, Unframed: true},
		{Name: "two lengths", Raw: ok + identity + "Content-Length: 5\r\nContent-Length: 6\r\n\r\nhello", Malformed: true},
		{Name: "no encoding known", Raw: ok + identity + "Transfer-Encoding: chunke\r\n\r\n5\r\nhello\r\n0\r\n\r\n", Malformed: true},
		{Name: "no length known", Raw: ok + identity + "Content-Length: 5x\r\n\r\nhello", Malformed: true},
	}
}

// TornEvents returns the events of a stream.
func TornEvents(first int) []string {
	return []string{fmt.Sprintf("id: %d\ndata: e1\n\n", first), fmt.Sprintf("id: %d\ndata: e2\n\n", first+1), "data: [DONE]\n\n"}
}

// Chunks returns texts in chunked encoding, with its end.
func Chunks(texts ...string) string {
	var b strings.Builder
	for _, t := range texts {
		fmt.Fprintf(&b, "%x\r\n%s\r\n", len(t), t)
	}
	return b.String() + "0\r\n\r\n"
}

// Cuts returns every length of a text of up to everyCut bytes. Of a longer one it returns those
// within endCut bytes of the beginning and the end, and one in cutStep between.
const (
	everyCut = 400
	endCut   = 80
	cutStep  = 499
)

// Cuts returns the lengths at which to tear a text, from none of it to all.
func Cuts(text string) []int {
	var out []int
	for n := 0; n <= len(text); n++ {
		if len(text) <= everyCut || n < endCut || n > len(text)-endCut || n%cutStep == 0 {
			out = append(out, n)
		}
	}
	return out
}

// Reply is what a caller saw.
type Reply struct {
	Status int
	Header http.Header
	Own    bool // it is an upstream's answer
	Body   string
	Err    error
}

// Fault returns what is wrong with a reply to the request id, whose last answer of this kind was
// torn, or "". A reply may be the whole answer, visibly broken off, or a router's failure.
func (k TornAnswer) Fault(tear Tear, id string, r Reply) string {
	text := tear.Whole(id)
	whole := !k.Malformed && (tear.Cut == All || tear.Cut >= len(text))
	var timeout net.Error
	switch {
	case errors.As(r.Err, &timeout) && timeout.Timeout():
		return "the caller waits for its end"
	case r.Err != nil || !r.Own && r.Status >= http.StatusBadRequest:
		if whole && tear.End != Reset {
			return fmt.Sprintf("not passed on, though whole: status %d, error %v", r.Status, r.Err)
		}
		return ""
	case !r.Own:
		return fmt.Sprintf("status %d of no upstream", r.Status)
	case k.Malformed:
		return fmt.Sprintf("passed on, though malformed: status %d, body %q", r.Status, r.Body)
	case r.Status != cmp.Or(k.Status, http.StatusOK):
		return fmt.Sprintf("status %d", r.Status)
	case whole && r.Body == k.Body || k.Unframed && tear.End != Reset && strings.HasSuffix(text[:min(max(tear.Cut, 0), len(text))], endOfHead+r.Body):
		return ""
	}
	return fmt.Sprintf("looks whole: status %d, body %q", r.Status, r.Body)
}

const endOfHead = "\r\n\r\n"
