package forward

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"time"

	"github.com/silverswitch/silverswitch/internal/conn"
	"github.com/silverswitch/silverswitch/internal/memory"
)

const (
	// requestOverhead is what a request holds beside its headers, its body and its answer: the
	// stacks of its goroutines, the buffers of the connections to its caller and its upstream,
	// and the control state's entry.
	requestOverhead = 24 << 10
	// minEarlyReleaseBytes is the size from which a body is released before its request ends,
	// where it cannot be sent again. The fingerprint must be computed before that.
	minEarlyReleaseBytes = 64 << 10
)

// reserveMemory reserves the memory of the request before its body is read. It returns a failure
// if the organisation holds too much. What is reserved must be released.
func (req *callerRequest) reserveMemory() *failure {
	req.hold = req.s.memory.HoldFor(req.org, req.service)
	header := memory.HeaderOf(req.r.Header)
	n := requestOverhead + header.Cost() + memory.ReservedFor(req.r.ContentLength)
	if !req.hold.Reserve(n) {
		return req.memoryFull(n)
	}
	return nil
}

// memoryFull returns the failure of a request for which n bytes could not be reserved.
func (req *callerRequest) memoryFull(n int64) *failure {
	req.s.count.memoryFull.Inc(1)
	req.reportUnplacedWork()
	f := notRun("memory-full", req.s.memory.RetryDelay(req.org, n))
	return &f
}

// refuseTooLarge returns the failure of a request whose stated length is above the limit.
func (req *callerRequest) refuseTooLarge() *failure {
	if req.r.ContentLength <= req.s.ctrl.MaxBodyBytes() {
		return nil
	}
	req.w.Header().Set("Connection", "close")
	return &failure{status: http.StatusRequestEntityTooLarge, reason: "body-too-large"}
}

// readBody reads the whole body, as it may have to be sent to a second upstream.
func (req *callerRequest) readBody() *failure {
	if req.r.Body == nil || req.r.Body == http.NoBody {
		return nil
	}
	rc := http.NewResponseController(req.w)
	_ = rc.SetReadDeadline(req.s.clock.Monotonic(req.deadline)) // not supported by test recorders
	undo := req.interruptBody(rc)
	req.body = req.hold.Buffer(req.r.ContentLength)
	err := req.body.ReadAll(http.MaxBytesReader(req.w, req.r.Body, req.s.ctrl.MaxBodyBytes()))
	undo()
	if req.stopOver() {
		req.w.Header().Set("Connection", "close")
		return req.bodyStopped()
	}
	if err == nil {
		_ = rc.SetReadDeadline(time.Time{})
		return nil
	}
	req.w.Header().Set("Connection", "close")
	var tooLarge *http.MaxBytesError
	switch {
	case errors.Is(err, memory.ErrFull):
		return req.memoryFull(2 * int64(req.body.Len()))
	case errors.As(err, &tooLarge):
		return &failure{status: http.StatusRequestEntityTooLarge, reason: "body-too-large"}
	case errors.Is(err, context.DeadlineExceeded) || strings.Contains(err.Error(), "timeout"):
		return &failure{status: http.StatusRequestTimeout, reason: "body-too-slow"}
	}
	return &failure{status: http.StatusBadRequest, reason: "body-broken", err: err}
}

// reserveHeader reserves memory for a large header of an answer.
func (req *callerRequest) reserveHeader(n int64) bool {
	ok := req.hold.Reserve(n)
	if !ok {
		req.s.count.headsRefused.Inc(1)
	}
	return ok
}

// releaseMemory releases all that the request holds, but for a body that is still being written to
// an upstream.
func (req *callerRequest) releaseMemory() {
	req.releaseBody()
	req.hold.Release()
}

func (req *callerRequest) releaseBody() {
	req.body.Release()
	req.body = nil
}

// releaseBodyEarly releases the body of a request that cannot be sent again, if memory is short.
func (req *callerRequest) releaseBodyEarly() {
	if req.body.Len() >= minEarlyReleaseBytes && req.s.memory.Short() {
		req.fingerprint() // needs the body
		req.releaseBody()
	}
}

// send sends a message with the body to the upstream at addr. The body of the last attempt that
// the request may make is released once it is written, and not when the answer comes, if memory is
// short.
func (r *run) send(ctx context.Context, addr string, m *conn.Message) (*conn.Exchange, error) {
	body := r.body
	body.Retain()
	m.Body, m.OnWritten = body.Pieces(), body.Release
	if r.attemptsMade() >= r.route.MaxAttempts {
		r.releaseBodyEarly()
	}
	released := r.body == nil
	exchange, err := r.s.exchanges.Send(ctx, addr, m, r.isOwnAnswer)
	switch {
	case !isNotSent(err):
	case released:
		r.body = body // what the message retained
	default:
		body.Release()
	}
	return exchange, err
}
