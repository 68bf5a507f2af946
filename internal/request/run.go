package request

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"github.com/silverswitch/silverswitch/internal/conn"
	"github.com/silverswitch/silverswitch/internal/core/entry"
	"github.com/silverswitch/silverswitch/internal/core/wire"
	"github.com/silverswitch/silverswitch/internal/fingerprint"
	"github.com/silverswitch/silverswitch/internal/memory"
	"github.com/silverswitch/silverswitch/internal/request/outcome"
	"github.com/silverswitch/silverswitch/internal/request/relay"
	"github.com/silverswitch/silverswitch/internal/version"
)

const (
	// maxAttempts bounds the attempts of one request that may be repeated.
	maxAttempts = 4
	// maxDecisionAge is the age after which a granted slot is returned unused: after a
	// pause the place rule and the lease must be checked again.
	maxDecisionAge = 500 * time.Millisecond
)

// run executes one request, from its ticket to its outcome.
type run struct {
	s          *Server
	v          *callerRequest
	app        *version.Application
	call       relay.Call
	streams    bool
	ticket     *Ticket
	ctx        context.Context
	waitCtx    context.Context // without the deadline, by which the control state refuses
	deadline   time.Time
	begun      atomic.Bool // the answer's headers are sent
	attempts   int
	mayHaveRun bool                     // an attempt so far may have run the request
	sentAt     time.Time                // of the latest attempt, by the server's clock
	print      *fingerprint.Fingerprint // computed on first use
}

// loop waits for slots and makes attempts until there is an outcome.
func (r *run) loop() {
	for {
		d, ok := r.wait()
		if !ok {
			return
		}
		r.s.clock.Refresh() // the lease may have expired during a suspension not yet noticed
		if r.s.clock.Since(d.At) > maxDecisionAge {
			r.s.ctrl.Return(r.ticket, false)
			continue
		}
		if left := r.quarantinedFor(); left > 0 {
			r.s.ctrl.Cancel(r.ticket)
			r.refuseQuarantined(left, false)
			return
		}
		if r.attempt(d.Upstream) {
			return
		}
	}
}

// wait returns a decision with a slot, or false once the outcome has been sent.
func (r *run) wait() (Decision, bool) {
	_, span := r.s.tracer.Start(r.ctx, "queue")
	defer span.End()
	d, ok := r.ticket.Wait(r.waitCtx)
	if !ok {
		r.abandon()
		return d, false
	}
	if d.Upstream == nil {
		span.SetAttributes(attribute.String("refused", string(d.Refusal.Reason)))
		r.refuse(d.Refusal.Reason, d.Refusal.RetryAfter, d.Refusal.MayHaveRun)
		return d, false
	}
	_, grant := r.s.tracer.Start(r.ctx, "grant", trace.WithTimestamp(d.At), trace.WithAttributes(attribute.String("upstream", d.Upstream.Name)))
	grant.End()
	return d, true
}

// abandon ends a request whose caller went away while it waited, or that a planned stop has ended. A slot
// that was granted at the same moment is returned unused. A caller that only closed its direction still
// reads: without a cut, net/http would send it an empty answer.
func (r *run) abandon() {
	r.s.ctrl.Cancel(r.ticket)
	if r.stopped() {
		r.s.failRequest(r.v, stopping(r.mayHaveRun))
		return
	}
	r.s.count.outcome(outcome.NotRun, outcome.ReasonCanceled)
	conn.CutCaller(r.v.w, r.v.r)
}

// attempt sends the request to an upstream once. It returns true if the outcome has been
// sent, and false if the request waits for another slot.
func (r *run) attempt(u *version.Upstream) bool {
	r.attempts++
	r.sentAt = r.s.clock.Now()
	id := uuid.Must(uuid.NewV7()).String()
	ctx, span := r.s.tracer.Start(r.ctx, "upstream", trace.WithSpanKind(trace.SpanKindClient),
		trace.WithAttributes(attribute.String("upstream", u.Name), attribute.String("place", u.Place)))
	defer span.End()
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	res := relay.Send(ctx, r.s.upstreams, u, id, r.call)
	if res.UpstreamLeaving {
		r.s.ctrl.UpstreamLeaving(u.ID)
	}
	switch res.State {
	case relay.Replied:
		header := memory.HeaderOf(res.Response.Header)
		if !header.Reserve(r.v.hold.Reserve) {
			res.Response.Body.Close()
			return r.failed(u, id, relay.Result{State: relay.InDoubt})
		}
		a := &answer{run: r, upstream: u, attempt: id, res: res, ctx: ctx, stop: stop, began: time.Now()}
		return a.deliver()
	case relay.NotSent, relay.NotStarted:
		r.reportRefusedConnection(u, res.Err)
		span.SetAttributes(attribute.Bool("not_run", true))
		return r.retry(res.State == relay.NotSent)
	case relay.Foreign:
		r.s.count.foreign.Inc(1)
	}
	return r.failed(u, id, res)
}

// retry returns the slot to wait for another one, after an attempt that provably did not
// run. failed says that the upstream was at fault. It returns true if the request has ended
// instead.
func (r *run) retry(failed bool) bool {
	if r.attempts < maxAttempts && r.ctx.Err() == nil {
		r.s.ctrl.Return(r.ticket, failed)
		return false
	}
	r.finish(wire.Sample{Failed: 1}, false)
	r.refuse(entry.ReasonNoUpstream, time.Second, false)
	return true
}

// refuse ends a request that is not sent to a further upstream. earlier is true if an earlier request
// with its key may have run. After an attempt that may have run the status promises nothing either.
func (r *run) refuse(reason entry.Reason, retryAfter time.Duration, earlier bool) {
	f := outcome.Refused(reason, retryAfter, earlier || r.mayHaveRun)
	if r.mayHaveRun {
		f.Status = http.StatusBadGateway
	}
	r.s.failRequest(r.v, f)
}

// failed ends an attempt that may have run. Only idempotent requests are tried again,
// within the retry budget.
func (r *run) failed(u *version.Upstream, id string, res relay.Result) bool {
	r.mayHaveRun = true
	r.reportBrokenAttempt(u, true)
	gone := r.v.r.Context().Err() != nil
	if gone || r.ctx.Err() != nil {
		r.cancelUpstream(u, id)
	}
	if !gone && r.app.Idempotent && r.attempts < maxAttempts && r.ctx.Err() == nil && r.s.budget.take() {
		r.s.count.retried.Inc(1)
		r.s.ctrl.Return(r.ticket, true)
		return false
	}
	r.finish(wire.Sample{Failed: 1}, false)
	if r.stopped() {
		r.s.failRequest(r.v, stopping(true))
		return true
	}
	reason := outcome.ReasonUpstream
	if res.State == relay.Foreign {
		reason = outcome.ReasonForeign
	}
	status := http.StatusBadGateway
	if r.ctx.Err() != nil {
		status = http.StatusGatewayTimeout
	}
	r.s.failRequest(r.v, outcome.Failure{Kind: outcome.Unknown, Status: status, Reason: reason, Detail: "the upstream gave no whole answer; the request may have run"})
	return true
}

// cancelUpstream ends an attempt at its upstream. At the end of a planned stop the caller is told first.
func (r *run) cancelUpstream(u *version.Upstream, id string) {
	if r.stopped() {
		go relay.Cancel(r.s.upstreams, u, id, r.call.Organisation)
		return
	}
	relay.Cancel(r.s.upstreams, u, id, r.call.Organisation)
}

// finish releases the slot. An answered request adds to the retry budget.
func (r *run) finish(s wire.Sample, answered bool) {
	r.s.ctrl.Finish(r.ticket, s, answered)
	if answered {
		r.s.budget.earn()
	}
}

// forwardedHeaders are the upstream's headers that are forwarded to callers.
var forwardedHeaders = []string{"Content-Type", "Content-Language", "Cache-Control", "Retry-After", "Etag", "Last-Modified"}

// writeHeader sends the answer's headers. The outcome header is left out if kind is empty,
// and the length if it is negative.
func (r *run) writeHeader(res *http.Response, kind outcome.Kind, length int) {
	r.begun.Store(true)
	h := r.v.w.Header()
	for _, name := range forwardedHeaders {
		if v, ok := res.Header[name]; ok {
			h[name] = v
		}
	}
	h.Set(outcome.HeaderRequestID, r.v.terms.ID)
	if kind != "" {
		h.Set(outcome.HeaderOutcome, string(kind))
	}
	if length >= 0 {
		h.Set("Content-Length", strconv.Itoa(length))
	}
	r.v.w.WriteHeader(res.StatusCode)
}

// readWhole reads an answer that is not a stream into b. An answer that is cut short or exceeds
// the limit is an error. After memory.ErrFull, b has its beginning.
func readWhole(res *http.Response, limit int64, b *memory.Buffer) error {
	if err := b.ReadAll(io.LimitReader(res.Body, limit+1)); err != nil {
		return err
	}
	if int64(b.Len()) > limit {
		return io.ErrShortBuffer
	}
	return nil
}
