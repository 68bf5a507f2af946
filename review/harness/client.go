//go:build review

package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"
)

// requester sends requests one after the other, and keeps its connection (PROTOCOL.md, "Ingress"
// and "Answers"). It repeats a request that may run once at most only after a promise (408, 421,
// 429, 503), on a new connection and not before Retry-After.
type requester struct {
	number  int
	fleet   *fleet
	led     *ledger
	host    string
	key     string
	retries int
	conn    net.Conn
	br      *bufio.Reader
	router  *router
	carried int                // requests on the connection before
	links   map[*router]*pacer // nil: not paced
}

// request is what a requester asks.
type request struct {
	path   string
	body   []byte
	extra  string // further header lines
	budget time.Duration
}

// do sends a request and its repeats, and reports whether it was answered with success.
func (q *requester) do(in request) bool {
	until := time.Now().Add(in.budget)
	for try := 0; ; try++ {
		a, retryAfter := q.attempt(in, until, try)
		if a.status >= 200 && a.status < 300 {
			return true
		}
		promise := a.status == 408 || a.status == 421 || a.status == 429 || a.status == 503
		left := time.Until(until)
		if !promise || try >= q.retries || left <= 0 {
			return false
		}
		q.close()
		time.Sleep(min(retryAfter, left/3))
	}
}

// attempt sends a request once.
func (q *requester) attempt(in request, until time.Time, try int) (*attempt, time.Duration) {
	if q.conn == nil {
		q.router = q.fleet.pick(q.number, try)
		c, err := net.DialTimeout("tcp", q.router.front, time.Second)
		if err != nil {
			a := q.led.send(q.router, in.path, q.key, false)
			q.led.end(a, 0, false, "no connection")
			return a, 0
		}
		q.conn, q.br, q.carried = c, bufio.NewReader(c), 0
	}
	a := q.led.send(q.router, in.path, q.key, q.carried > 0)
	q.carried++
	_ = q.conn.SetDeadline(until.Add(time.Second))
	head := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\nAuthorization: Bearer %s\r\n%sContent-Length: %d\r\n\r\n",
		in.path, q.host, a.id, max(1, time.Until(until).Milliseconds()), q.key, in.extra, len(in.body))
	buffers := net.Buffers{[]byte(head), in.body}
	written := make(chan error, 1)
	conn := q.conn
	link := q.links[q.router]
	go func() { written <- writePaced(conn, buffers, link) }()
	res, err := http.ReadResponse(q.br, &http.Request{Method: http.MethodPost})
	if err != nil {
		q.close()
		<-written
		q.led.end(a, 0, false, "connection ends without an answer: "+shortError(err))
		return a, 0
	}
	n, err := io.Copy(io.Discard, res.Body)
	whole := err == nil && (res.ContentLength < 0 || n == res.ContentLength)
	if !whole || res.Close {
		q.close()
	}
	<-written
	q.led.end(a, res.StatusCode, whole, "stamp "+res.Header.Get("X-Response-Stamp"))
	seconds, _ := strconv.ParseFloat(res.Header.Get("Retry-After"), 64)
	return a, time.Duration(seconds * float64(time.Second))
}

// pieceBytes is the size of the pieces that a paced request is sent in.
const pieceBytes = 256 << 10

func writePaced(c net.Conn, buffers net.Buffers, link *pacer) error {
	for _, raw := range buffers {
		for len(raw) > 0 {
			n := min(len(raw), pieceBytes)
			if link != nil {
				link.wait(n)
			}
			if _, err := c.Write(raw[:n]); err != nil {
				return err
			}
			raw = raw[n:]
		}
	}
	return nil
}

// endClosed is how an attempt ends whose connection was closed by the other side.
const endClosed = "closed"

func shortError(err error) string {
	if ne, ok := err.(net.Error); ok && ne.Timeout() {
		return "time-out"
	}
	return endClosed
}

func (q *requester) close() {
	if q.conn != nil {
		q.conn.Close()
		q.conn = nil
	}
}
