//go:build review

package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"time"
)

// outcome is how one attempt of a requester ended; status is 0 without an answer.
type outcome struct {
	status int
	stamp  string
	after  time.Duration // Retry-After
	err    error
}

// requester sends requests on a connection that it keeps.
type requester struct {
	router *router
	host   string
	key    string
	conn   net.Conn
	in     *bufio.Reader
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

func (q *requester) close() {
	if q.conn != nil {
		q.conn.Close()
		q.conn = nil
	}
}

// send sends one attempt and reads its answer.
func (q *requester) send(method, path, id, body string, deadline time.Duration) (out outcome) {
	if q.conn == nil {
		c, err := net.DialTimeout("tcp", q.router.front(), time.Second)
		if err != nil {
			return outcome{err: err}
		}
		q.conn, q.in = c, bufio.NewReader(c)
	}
	defer func() {
		if out.err != nil {
			q.close()
		}
	}()
	_ = q.conn.SetDeadline(time.Now().Add(deadline + time.Second))
	auth := ""
	if q.key != "" {
		auth = "Authorization: Bearer " + q.key + "\r\n"
	}
	_, err := fmt.Fprintf(q.conn, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\n%sContent-Length: %d\r\n\r\n%s", method, path, q.host, id, deadline.Milliseconds(), auth, len(body), body)
	if err != nil {
		return outcome{err: err}
	}
	res, err := http.ReadResponse(q.in, nil)
	if err != nil {
		return outcome{err: err}
	}
	if _, err := io.Copy(io.Discard, res.Body); err != nil {
		return outcome{err: err}
	}
	seconds, _ := strconv.ParseFloat(res.Header.Get("Retry-After"), 64)
	out = outcome{status: res.StatusCode, stamp: res.Header.Get("X-Response-Stamp"), after: time.Duration(seconds * float64(time.Second))}
	if res.Close {
		q.close()
	}
	return out
}
