package forward

import (
	"context"
	"errors"
	"net/http"
	"sync/atomic"
	"time"
)

// A planned stop leaves requests until the end of its grace. What is not expected to be answered by then
// is refused before it reaches an upstream, so that its caller can ask another router. At the end of the
// grace everyone whose answer has not begun is told: 503 if the request has certainly not run, 502
// otherwise.
//
// Load pattern: requests that take seconds, in the last seconds of a planned stop.

// stopRetryDelay is the Retry-After of a request refused by a router that stops.
const stopRetryDelay = 100 * time.Millisecond

// errStopping is why a run ends at the end of a grace.
var errStopping = errors.New("the grace of a planned stop is over")

// Stop is the planned stop of a router, as the requests of its callers see it. It is safe for concurrent
// use. One without an end refuses nothing.
type Stop struct {
	end  atomic.Pointer[time.Time]
	over context.Context
	tell context.CancelFunc
}

// NewStop returns a Stop without an end.
func NewStop() *Stop {
	s := &Stop{}
	s.over, s.tell = context.WithCancel(context.Background())
	return s
}

// SetEnd sets the end of the grace, which may change. The zero time is none.
func (s *Stop) SetEnd(t time.Time) {
	if t.IsZero() {
		s.end.Store(nil)
		return
	}
	s.end.Store(&t)
}

// EndUnanswered ends all requests whose answers have not begun. Their callers are told. Requests that
// come later are refused.
func (s *Stop) EndUnanswered() { s.tell() }

type stopKey struct{}

// WithStop returns a context for the connections of callers that a stop other than this router's ends
// too, such as those that another router relays here.
func WithStop(ctx context.Context, s *Stop) context.Context {
	return context.WithValue(ctx, stopKey{}, s)
}

// stops returns the stops that end the request.
func (req *callerRequest) stops() []*Stop {
	if s, ok := req.r.Context().Value(stopKey{}).(*Stop); ok {
		return []*Stop{req.s.Stop, s}
	}
	return req.s.stopAlone
}

// CallerConn is a caller's connection.
type CallerConn interface {
	// HoldsMore reports whether more than a request with a body of this length has arrived, so that
	// further requests would be dropped if the connection closed after its answer.
	HoldsMore(bodyLength int64) bool
}

type connKey struct{}

// WithConn returns a context for the requests of a connection.
func WithConn(ctx context.Context, c CallerConn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// HoldsMore reports whether further requests have arrived on the request's connection.
func HoldsMore(r *http.Request) bool {
	c, ok := r.Context().Value(connKey{}).(CallerConn)
	return ok && c.HoldsMore(r.ContentLength)
}

// closesConn reports whether the answer asks the caller to close its connection, since this router stops.
// One on which further requests have arrived closes after their answers.
func (req *callerRequest) closesConn() bool { return req.s.ctrl.Leaving() && !HoldsMore(req.r) }

// StopTotals are the numbers of requests that a planned stop has refused, or told at its end.
type StopTotals struct {
	Refused int64 // since they were not expected to end in time
	NotRun  int64 // told at the end that they have not run
	InDoubt int64 // told at the end, and may have run
}

// StopTotals returns the totals so far.
func (s *Server) StopTotals() StopTotals {
	return StopTotals{Refused: s.count.stopRefused.Count(), NotRun: s.count.stopNotRun.Count(), InDoubt: s.count.stopInDoubt.Count()}
}

// watchStop makes the end of a grace end the run, unless its answer has begun.
func (r *run) watchStop(end context.CancelCauseFunc) (stop func()) {
	return r.onStopOver(func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		if !r.headersSent {
			end(errStopping)
		}
	})
}

// onStopOver calls f in a goroutine of its own at the end of a grace. The function that it returns
// undoes that.
func (req *callerRequest) onStopOver(f func()) (undo func()) {
	stops := req.stops()
	if len(stops) == 1 {
		cancel := context.AfterFunc(stops[0].over, f)
		return func() { cancel() }
	}
	var undos []func() bool
	for _, s := range stops {
		undos = append(undos, context.AfterFunc(s.over, f))
	}
	return func() {
		for _, u := range undos {
			u()
		}
	}
}

// stopOver reports whether the grace of a stop that ends the request is over.
func (req *callerRequest) stopOver() bool {
	for _, s := range req.stops() {
		if s.over.Err() != nil {
			return true
		}
	}
	return false
}

// stopEnding returns what is told to a request that the end of a grace has ended: its time is not over,
// and its caller may ask another router.
func (r *run) stopEnding(e unanswered) unanswered {
	if !errors.Is(context.Cause(r.ctx), errStopping) {
		return e
	}
	f := notRun("router-stopping", stopRetryDelay)
	e.reason, e.timedOut, e.notRun, e.refusal = f.reason, false, &f, nil
	switch {
	case r.r.Context().Err() != nil || r.kept != nil:
	case r.ran():
		r.s.count.stopInDoubt.Inc(1)
	default:
		r.s.count.stopNotRun.Inc(1)
	}
	return e
}

// interruptBody makes the end of a grace end the wait for the rest of a body.
func (req *callerRequest) interruptBody(rc *http.ResponseController) (undo func()) {
	return req.onStopOver(func() { _ = rc.SetReadDeadline(time.Unix(1, 0)) }) // not supported by test recorders
}

// bodyStopped returns the failure of a request whose body was still awaited at the end of a grace.
func (req *callerRequest) bodyStopped() *failure {
	req.s.count.stopNotRun.Inc(1)
	f := notRun("router-stopping", stopRetryDelay)
	return &f
}
