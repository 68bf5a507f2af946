package forward

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/silverswitch/silverswitch/internal/conn"
	"github.com/silverswitch/silverswitch/internal/core/wire"
	"github.com/silverswitch/silverswitch/internal/dispatch"
)

// run executes one request: it makes attempts at upstreams until there is an outcome.
type run struct {
	*callerRequest
	ctx    context.Context // ends at the deadline or with the caller
	ticket *Ticket         // of the attempt that goes on

	withdrawn  int  // placements given up before the request was sent
	mayHaveRun bool // an attempt so far may have run the request

	undecided bool        // it counts in Server.undecided
	kept      *keptAnswer // nil for none

	secondSent atomic.Bool // a second attempt beside a silent one may have run the request
	rivals     sync.WaitGroup

	// What a second attempt reads, while the request's goroutine waits for the first. The request's
	// goroutine alone changes these, but for attempts.
	mu           sync.Mutex
	attempts     int
	lastPosition int64 // of the last event forwarded; at first the caller's Last-Event-Id
	headersSent  bool  // the answer's headers have been sent to the caller
	unnumbered   bool  // events without a position were forwarded after the last one with one
	going        *attempt
	rival        *rival // beside going; nil for none
	ended        bool   // no second attempt may begin
}

// maxWithdrawn bounds the placements of one request that are withdrawn before it is sent,
// because its upstream has left, backs off, has turned cold or fails its health check, or
// the place is evacuated.
const maxWithdrawn = 3

// step says how the request goes on after an attempt.
type step uint8

const (
	stepDone  step = iota // the request has ended and the caller has its outcome
	stepRetry             // another placement was requested
)

// loop waits for placements and makes attempts until there is an outcome.
func (r *run) loop() {
	defer r.dropKept()
	defer r.endRivals()
	for {
		waitStart := time.Now()
		d, ok := r.ticket.wait(r.ctx)
		r.countDecided()
		r.s.count.decision.UpdateSince(waitStart)
		if !ok {
			r.s.ctrl.End(r.ticket, wire.ProgressUnused)
			r.endUnanswered(unanswered{reason: "no-decision-in-time", timedOut: true})
			return
		}
		if d.Placement == nil {
			r.handleRefusal(d.Refusal)
			return
		}
		if f := r.quarantined(); f != nil {
			r.endQuarantined(*f)
			return
		}
		if r.failsHealthCheck(d.Placement) && r.withdrawn < maxWithdrawn {
			r.withdraw(d.Placement, UpstreamNotReady)
			continue
		}
		if r.refusePlacement() {
			return
		}
		if r.attempt(d.Placement) == stepDone {
			return
		}
	}
}

// handleRefusal ends the request after a refused placement.
func (r *run) handleRefusal(f dispatch.Refuse) {
	end := notRun(f.Reason.String(), f.After)
	end.refusal = &f
	r.endUnanswered(unanswered{reason: "upstream-failed", cut: "not-resumed: " + f.Reason.String(), refusal: &f, notRun: &end})
}

// unsentRetryDelay is the Retry-After of a request that has reached no upstream.
const unsentRetryDelay = 200 * time.Millisecond

// countDecided ends the time in which the request counts as undecided.
func (r *run) countDecided() {
	if r.undecided {
		r.undecided = false
		r.s.undecided.Add(-1)
	}
}

// mayRepeat reports whether the request may be sent again after it may have run. After events without
// a position no upstream can be told where to go on.
func (r *run) mayRepeat() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.mayRepeatLocked()
}

func (r *run) mayRepeatLocked() bool {
	return r.route.MayRepeat() && r.attempts < r.route.MaxAttempts && !r.unnumbered
}

// attemptsMade returns the number of attempts so far.
func (r *run) attemptsMade() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.attempts
}

// countAttempt adds n to the number of attempts.
func (r *run) countAttempt(n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.attempts += n
}

// position returns that of the last event forwarded.
func (r *run) position() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lastPosition
}

// ran reports whether an attempt may have run the request.
func (r *run) ran() bool { return r.mayHaveRun || r.secondSent.Load() }

// message builds the request to the upstream. headersSent says that the caller has the beginning of an
// answer, up to an event's position.
func (r *run) message(p *dispatch.Placement, headersSent bool, lastPosition int64) *conn.Message {
	d := &r.s.dialect
	h := d.upstreamHeader(r.r.Header)
	h.Set(d.ExpectInstance, p.Instance.ID)
	h.Set(d.Deadline, strconv.FormatInt(max(1, r.s.clock.Until(r.deadline).Milliseconds()), 10))
	if r.org != "" {
		h.Set(d.Organisation, r.org)
	}
	if p.Source != "" {
		h.Set(d.CacheSource, p.Source)
	}
	if headersSent && lastPosition > 0 {
		h.Set(headerLastEventID, strconv.FormatInt(lastPosition, 10))
	}
	return &conn.Message{Method: r.r.Method, Target: r.r.RequestURI, Host: r.r.Host, Header: h,
		StillWanted: func() bool { return r.s.ctrl.Unusable(p) == MaySend }, Reserve: r.reserveHeader, UpstreamStart: p.Instance.StartID()}
}

// isOwnAnswer reports whether an answer belongs to this request. A late answer to an
// earlier request on the same connection does not.
func (r *run) isOwnAnswer(res *http.Response) bool {
	id := res.Header.Get(r.s.dialect.RequestID)
	return r.id == "" || id == r.id || id == "" && res.Header.Get(r.s.dialect.Proof) == ""
}

// withdraw requests another placement for a request that was not sent to the one it had.
func (r *run) withdraw(p *dispatch.Placement, reason Unusable) {
	r.withdrawn++
	r.s.count.withdrawn.Inc(1)
	r.logAttempt(p, string(reason), nil)
	r.s.ctrl.PlaceAgain(r.ticket, wire.ProgressUnused)
}

// failAfterAttempt ends a request that is not tried again after a failed attempt.
func (r *run) failAfterAttempt(p *dispatch.Placement, err error) step {
	unreachable := notRun("upstream-unreachable", unsentRetryDelay)
	return r.endUnanswered(unanswered{reason: "upstream-failed", upstream: p.Instance.ID, err: err, notRun: &unreachable})
}

// retry requests another placement after a failed attempt.
func (r *run) retry(note uint8) step {
	r.s.count.repeated.Inc(1)
	r.s.ctrl.PlaceAgain(r.ticket, note)
	return stepRetry
}

// endNote returns the note to the control state about a placement that ended.
func endNote(failed bool) uint8 {
	if failed {
		return wire.ProgressFailed
	}
	return wire.ProgressUnused
}

func isNotSent(err error) bool { return conn.IsNotSent(err) }

// logAttempt logs a failed or withdrawn attempt.
func (r *run) logAttempt(p *dispatch.Placement, event string, err error) {
	e := r.s.reqLog.failure(r.resumed)
	if e == nil {
		return
	}
	r.addRequestFields(e, p.Instance.ID)
	addPlacementFields(e, p)
	if err != nil {
		e.AnErr("cause", err)
	}
	e.Stringer("fingerprint", r.fingerprint()).Int("attempt", r.attemptsMade()).Int64("position", r.position()).Bool("may_have_run", r.ran()).Msg(event)
}

// logAnswered counts an answered request, and logs some of them.
func (r *run) logAnswered(p *dispatch.Placement, status int, first time.Duration) {
	r.s.count.answered.Inc(1)
	r.learnDuration()
	e := r.s.reqLog.answered(r.resumed)
	if e == nil {
		return
	}
	r.addRequestFields(e, p.Instance.ID)
	addPlacementFields(e, p)
	if r.stream != 0 || r.resumed {
		e.Int64("position", r.position())
	}
	e.Int("attempt", r.attemptsMade()).Int("status", status).Int64("first_ms", first.Milliseconds()).Msg("request-answered")
}

// parseLastEventID returns the Last-Event-Id, or 0 if it is missing or malformed.
func parseLastEventID(h http.Header) int64 {
	n, err := strconv.ParseInt(strings.TrimSpace(h.Get(headerLastEventID)), 10, 64)
	if err != nil || n < 0 {
		return 0
	}
	return n
}
