// Package relay sends one attempt of a request to an upstream. If the attempt fails, it
// states what is proved about whether the request ran.
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
	// HeaderAttempt identifies the attempt; the upstream returns it in its reply.
	HeaderAttempt = "X-Request-Id"
	// HeaderNotStarted on a 429 or 503 reply proves that the request did not run.
	HeaderNotStarted = "X-Not-Started"
	// HeaderLeaving on a reply says that the upstream accepts no more requests.
	HeaderLeaving = "X-Leaving"
	// HeaderOrganisation names the organisation to the upstream.
	HeaderOrganisation = "X-Organisation"
)

// Call is a request to an upstream.
type Call struct {
	Method       string
	Path         string // with query
	Header       http.Header
	Body         []byte
	Organisation string
	Repeatable   bool // idempotent, so it may use a reused connection
}

// State says what is proved about an attempt.
type State uint8

// The states.
const (
	Replied    State = iota // Response is set; its body is still to be read
	NotSent                 // no byte reached the upstream
	NotStarted              // the upstream's reply proves that the request did not run
	InDoubt                 // it was sent, but no reply arrived
	Foreign                 // the reply belongs to another attempt
)

// Result is the result of one attempt, up to the headers of the reply.
type Result struct {
	State           State
	UpstreamLeaving bool
	Response        *http.Response
	Err             error
	TimeToHeader    time.Duration // from sending to the reply's headers
}

// Send makes one attempt. attempt is an id that is unique among all attempts of all routers.
func Send(ctx context.Context, upstreams *conn.Upstreams, u *version.Upstream, attempt string, c Call) Result {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	req, err := newRequest(httptrace.WithClientTrace(ctx, trace), u, attempt, c)
	if err != nil {
		return Result{State: NotSent, Err: err}
	}
	rt := upstreams.SingleUse
	if c.Repeatable {
		rt = upstreams.Pooled
	}
	began := time.Now()
	res, err := rt.RoundTrip(req)
	if err != nil {
		if connected.Load() {
			return Result{State: InDoubt, Err: err}
		}
		return Result{State: NotSent, Err: err}
	}
	if conn.HasTwoHeads(res) {
		res.Body.Close()
		return Result{State: InDoubt, Err: conn.ErrTwoHeads}
	}
	return classify(res, attempt, time.Since(began))
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
		// GetBody is not set, so that net/http cannot send the body twice.
		req.Body = io.NopCloser(bytes.NewReader(c.Body))
		req.ContentLength = int64(len(c.Body))
	}
	return req, nil
}

// forwardedHeaders are the callers' headers that are forwarded to upstreams. API keys never
// are.
var forwardedHeaders = []string{"Content-Type", "Accept", "Accept-Language", "Idempotency-Key", "User-Agent"}

func copyHeader(to, from http.Header) {
	for _, name := range forwardedHeaders {
		if v, ok := from[name]; ok {
			to[name] = v
		}
	}
}

// classify determines what a reply proves. The body of a reply that is not forwarded is
// closed.
func classify(res *http.Response, attempt string, first time.Duration) Result {
	r := Result{State: Replied, Response: res, TimeToHeader: first, UpstreamLeaving: res.Header.Get(HeaderLeaving) == "true"}
	refused := res.StatusCode == http.StatusServiceUnavailable || res.StatusCode == http.StatusTooManyRequests
	switch {
	case refused && res.Header.Get(HeaderNotStarted) == "true":
		r.State = NotStarted
	case res.Header.Get(HeaderAttempt) != attempt:
		r.State = Foreign
	}
	if r.State != Replied {
		res.Body.Close()
		r.Response = nil
	}
	return r
}

// Resume requests an attempt's stream from the upstream again, from a position on.
func Resume(ctx context.Context, upstreams *conn.Upstreams, u *version.Upstream, attempt, org string, from int64) Result {
	return Send(ctx, upstreams, u, attempt, Call{
		Method:       http.MethodGet,
		Path:         streamPath(attempt) + "?from=" + strconv.FormatInt(from, 10),
		Organisation: org,
		Repeatable:   true,
	})
}

// cancelTimeout bounds how long a slot is kept until the upstream confirms that a canceled
// request has ended.
const cancelTimeout = 2 * time.Second

// Cancel requests the upstream to end an attempt, and reports whether the upstream confirmed
// that within cancelTimeout. It uses its own context, as the caller's has ended by then.
func Cancel(upstreams *conn.Upstreams, u *version.Upstream, attempt, org string) bool {
	ctx, stop := context.WithTimeout(context.Background(), cancelTimeout)
	defer stop()
	r := Send(ctx, upstreams, u, attempt, Call{Method: http.MethodDelete, Path: streamPath(attempt), Organisation: org, Repeatable: true})
	if r.Response != nil {
		r.Response.Body.Close()
	}
	return r.State == Replied
}

func streamPath(attempt string) string { return "/v1/streams/" + attempt }
