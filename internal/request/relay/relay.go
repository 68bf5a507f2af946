// Package relay carries one attempt of a request to an upstream, and says what
// is proved when it fails.
package relay

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"
	"time"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/propagation"

	"github.com/silverswitch/silverswitch/internal/conn"
	"github.com/silverswitch/silverswitch/internal/version"
)

// Headers between routers and upstreams.
const (
	// HeaderAttempt names the attempt; the upstream repeats it in its reply.
	HeaderAttempt = "X-Request-Id"
	// HeaderNotStarted on a 429 or 503 reply proves that the request did not run.
	HeaderNotStarted = "X-Not-Started"
	// HeaderLeaving on a reply says that the upstream takes no more work.
	HeaderLeaving = "X-Leaving"
	// HeaderOrganisation names the organisation to the upstream.
	HeaderOrganisation = "X-Organisation"
)

// Call is what is sent.
type Call struct {
	Method       string
	Path         string // with query
	Header       http.Header
	Body         []byte
	Organisation string
	Repeatable   bool // idempotent: may use reused connections
}

// State is what is proved about an attempt.
type State uint8

// The states.
const (
	Replied  State = iota // Response is set; its body is still to be read
	NotSent               // no byte reached the upstream
	NotBegun              // the upstream's reply proves that it did not run
	InDoubt               // sent, no reply
	Foreign               // the reply names another attempt
)

// Result is the end of one attempt up to the reply's headers.
type Result struct {
	State    State
	Leaving  bool
	Response *http.Response
	Err      error
	First    time.Duration // to the reply's headers
}

// Send runs one attempt. attempt is unique over all attempts of all routers.
func Send(ctx context.Context, ups *conn.Upstreams, u *version.Upstream, attempt string, c Call) Result {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	req, err := newRequest(httptrace.WithClientTrace(ctx, trace), u, attempt, c)
	if err != nil {
		return Result{State: NotSent, Err: err}
	}
	rt := ups.SingleUse
	if c.Repeatable {
		rt = ups.Pooled
	}
	began := time.Now()
	res, err := rt.RoundTrip(req)
	if err != nil {
		if connected.Load() {
			return Result{State: InDoubt, Err: err}
		}
		return Result{State: NotSent, Err: err}
	}
	return judge(res, attempt, time.Since(began))
}

func newRequest(ctx context.Context, u *version.Upstream, attempt string, c Call) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, c.Method, "http://"+u.Address+c.Path, nil)
	if err != nil {
		return nil, err
	}
	copyHeader(req.Header, c.Header)
	req.Header.Set(HeaderAttempt, attempt)
	req.Header.Set(HeaderOrganisation, c.Organisation)
	otel.GetTextMapPropagator().Inject(ctx, propagation.HeaderCarrier(req.Header))
	if len(c.Body) > 0 {
		// No GetBody: net/http must not be able to send the body twice.
		req.Body = io.NopCloser(bytes.NewReader(c.Body))
		req.ContentLength = int64(len(c.Body))
	}
	return req, nil
}

// forwarded are the callers' headers that reach upstreams. Keys never do.
var forwarded = []string{"Content-Type", "Accept", "Accept-Language", "Idempotency-Key", "User-Agent"}

func copyHeader(to, from http.Header) {
	for _, name := range forwarded {
		if v, ok := from[name]; ok {
			to[name] = v
		}
	}
}

func judge(res *http.Response, attempt string, first time.Duration) Result {
	r := Result{State: Replied, Response: res, First: first, Leaving: res.Header.Get(HeaderLeaving) == "true"}
	refused := res.StatusCode == http.StatusServiceUnavailable || res.StatusCode == http.StatusTooManyRequests
	switch {
	case refused && res.Header.Get(HeaderNotStarted) == "true":
		r.State = NotBegun
	case res.Header.Get(HeaderAttempt) != attempt:
		r.State = Foreign
	}
	if r.State != Replied {
		res.Body.Close()
		r.Response = nil
	}
	return r
}

// Resume asks the upstream for an attempt's stream from a position on.
func Resume(ctx context.Context, ups *conn.Upstreams, u *version.Upstream, attempt, org string, from int64) Result {
	return Send(ctx, ups, u, attempt, Call{
		Method:       http.MethodGet,
		Path:         streamPath(attempt) + "?from=" + strconv.FormatInt(from, 10),
		Organisation: org,
		Repeatable:   true,
	})
}

// cancelTimeout bounds how long a slot waits for the upstream's word that a
// canceled request has ended.
const cancelTimeout = 2 * time.Second

// Cancel tells the upstream to end an attempt, and returns when it has confirmed
// or its time is up. The caller's context is gone by then.
func Cancel(ups *conn.Upstreams, u *version.Upstream, attempt, org string) bool {
	ctx, stop := context.WithTimeout(context.Background(), cancelTimeout)
	defer stop()
	r := Send(ctx, ups, u, attempt, Call{Method: http.MethodDelete, Path: streamPath(attempt), Organisation: org, Repeatable: true})
	if r.Response != nil {
		r.Response.Body.Close()
	}
	return r.State == Replied
}

func streamPath(attempt string) string { return "/v1/streams/" + attempt }
