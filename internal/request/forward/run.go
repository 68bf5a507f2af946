package forward

import (
	"cmp"
	"context"
	"net/http"
	"strconv"
	"strings"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"github.com/silverswitch/silverswitch/internal/conn"
	"github.com/silverswitch/silverswitch/internal/core/wire"
	"github.com/silverswitch/silverswitch/internal/dispatch"
	"github.com/silverswitch/silverswitch/internal/routing"
)

// run carries one request through its attempts to its outcome.
type run struct {
	*visit
	ctx      context.Context // ends at the deadline or with the caller
	ticket   *Ticket
	attempts int

	withdrawn int   // placements that were given up before the request was sent
	ran       bool  // an attempt may have run
	last      int64 // position of the last event passed on, or the caller's own
	begun     bool  // the answer's headers are sent

	sent time.Time // of the last attempt, by the server's clock
}

// maxWithdrawn bounds the placements of one request that are given up before it is sent:
// its upstream has left, its place is evacuated, or it has turned cold.
const maxWithdrawn = 3

// step is what follows an attempt.
type step uint8

const (
	stepDone  step = iota // the outcome has been told
	stepAgain             // another upstream is to be tried
)

// loop waits for a decision and tries, until there is an outcome.
func (r *run) loop() {
	for {
		asked := time.Now()
		d, ok := r.ticket.wait(r.ctx)
		r.s.count.decision.UpdateSince(asked)
		if !ok {
			r.s.ctl.End(r.ticket, wire.NoteUnused)
			r.giveUp("no-decision-in-time", "", nil)
			return
		}
		if d.Place == nil {
			r.refused(d.Refusal)
			return
		}
		if f := r.held(); f != nil {
			r.endHeld(*f)
			return
		}
		if r.lookFinds(d.Place) && r.withdrawn < maxWithdrawn {
			r.withdraw(d.Place, HealthSaysNo)
			continue
		}
		r.attempts++
		if r.attempt(d.Place) == stepDone {
			return
		}
	}
}

// refused tells a refusal. After an attempt that may have run, it is no promise.
func (r *run) refused(f dispatch.Refuse) {
	switch {
	case r.begun:
		r.abort("not-resumed: " + f.Reason.String())
	case r.ran:
		r.fail(inDoubt("upstream-failed", false, "", nil))
	default:
		end := notRun(f.Reason.String(), f.After)
		end.refusal = &f
		r.fail(end)
	}
}

// giveUp ends a request whose time is over or whose caller is gone.
func (r *run) giveUp(reason, up string, err error) {
	switch {
	case r.r.Context().Err() != nil:
		r.s.count.broken.Inc(1)
		r.logEnd(failure{reason: "caller-gone", up: up})
		panic(http.ErrAbortHandler)
	case r.begun:
		r.abort(reason)
	case r.ran:
		r.fail(inDoubt(reason, true, up, err))
	default:
		r.fail(notRun(reason, minComeBack))
	}
}

// minComeBack is when a caller returns whose request was never sent in its time.
const minComeBack = 200 * time.Millisecond

// abort cuts an answer that has begun, so that it cannot look whole.
func (r *run) abort(reason string) {
	r.s.count.broken.Inc(1)
	r.logEnd(failure{reason: "answer-cut: " + reason})
	panic(http.ErrAbortHandler)
}

// attempt sends the request to one upstream.
func (r *run) attempt(p *dispatch.Place) step {
	ctx, span := r.s.tracer.Start(r.ctx, "upstream", trace.WithSpanKind(trace.SpanKindClient),
		trace.WithAttributes(attribute.String("upstream", p.Instance.ID), attribute.String("place", p.Instance.Place)))
	defer span.End()
	ctx, stop := context.WithCancelCause(ctx)
	defer stop(nil)
	silence := newWatchdog(func() { stop(conn.ErrSilence) }, r.firstLimit(p))
	defer silence.stop()
	began := time.Now()
	r.sent = r.s.clock.Now()
	m := r.message(p)
	m.OnStart = silence.watch
	x, err := r.s.ups.Send(ctx, p.Instance.Address, m, r.isOwn)
	if err != nil {
		return r.sendFailed(p, err)
	}
	a := &answer{run: r, place: p, x: x, began: began, silence: silence, attempt: ctx}
	return a.deliver()
}

// firstLimit is how long an upstream may be silent before its answer begins when
// the request may be sent elsewhere; 0 is no limit. By then the answer is late
// where it is; a shorter limit would end work that a busy upstream, or this
// router, is merely slow with.
func (r *run) firstLimit(p *dispatch.Place) time.Duration {
	if !r.mayRepeat() {
		return 0
	}
	if r.route.Kind == routing.Stream {
		expect := time.Duration(p.WaitMS) * time.Millisecond
		return max(firstTargets*r.route.TargetLatency, firstWaits*expect+firstSlack)
	}
	return max(firstTargets*r.route.TargetLatency, plainFirst)
}

const (
	// firstTargets and firstWaits are in times of the route's target, and of the
	// expected wait at an engine; firstSlack comes on top of the latter.
	firstTargets = 2
	firstWaits   = 4
	firstSlack   = 600 * time.Millisecond
	// plainFirst is the least silence of a plain service that counts as a fault.
	plainFirst = 300 * time.Millisecond
)

func (r *run) mayRepeat() bool {
	return r.route.MayRepeat() && r.attempts < r.route.MaxAttempts
}

// message builds what is sent to an upstream.
func (r *run) message(p *dispatch.Place) *conn.Message {
	n := &r.s.names
	h := n.upstreamHeader(r.r.Header)
	h.Set(n.ExpectInstance, p.Instance.ID)
	h.Set(n.Deadline, strconv.FormatInt(max(1, r.s.clock.Until(r.deadline).Milliseconds()), 10))
	if r.org != "" {
		h.Set(n.Organisation, r.org)
	}
	if p.Source != "" {
		h.Set(n.CacheSource, p.Source)
	}
	if r.begun && r.last > 0 {
		h.Set(headerLastEvent, strconv.FormatInt(r.last, 10))
	}
	return &conn.Message{Method: r.r.Method, Target: r.r.RequestURI, Host: r.r.Host, Header: h, Body: r.body,
		StillWanted: func() bool { return r.s.ctl.Unusable(p) == MaySend }, UpstreamStart: p.Instance.StartID()}
}

// isOwn tells the own answer from late ones to former requests.
func (r *run) isOwn(res *http.Response) bool {
	id := res.Header.Get(r.s.names.RequestID)
	return r.id == "" || id == r.id || id == "" && res.Header.Get(r.s.names.Proof) == ""
}

// sendFailed follows an attempt without an answer.
func (r *run) sendFailed(p *dispatch.Place, err error) step {
	sent := !isNotSent(err)
	r.ran = r.ran || sent
	switch {
	case sent:
		r.broke(p, true, err)
	case conn.IsRefused(err):
		r.s.ctl.ConnRefused(p.Instance)
	}
	if r.ctx.Err() != nil {
		r.s.ctl.End(r.ticket, endNote(sent && r.r.Context().Err() == nil))
		r.giveUp("no-answer-in-time", p.Instance.ID, err)
		return stepDone
	}
	if conn.IsWithdrawn(err) && r.withdrawn < maxWithdrawn {
		r.attempts--
		r.withdraw(p, cmp.Or(r.s.ctl.Unusable(p), UpstreamLeft))
		return stepAgain
	}
	note := wire.NoteFailed
	if !sent && conn.IsRefused(err) {
		note = wire.NoteRefused
	}
	r.logAttempt(p, "attempt-failed", err)
	if sent && !r.route.MayRepeat() || r.attempts >= r.route.MaxAttempts {
		r.s.ctl.End(r.ticket, note)
		r.afterFailure(p, sent, err)
		return stepDone
	}
	return r.again(note)
}

// withdraw asks for another place for a request that was not sent to the one it had.
func (r *run) withdraw(p *dispatch.Place, why Unusable) {
	r.withdrawn++
	r.s.count.withdrawn.Inc(1)
	r.logAttempt(p, string(why), nil)
	r.s.ctl.Again(r.ticket, wire.NoteUnused)
}

// afterFailure tells the end of a request that is not tried again.
func (r *run) afterFailure(p *dispatch.Place, sent bool, err error) {
	switch {
	case r.begun:
		r.abort("upstream-failed")
	case r.ran:
		r.fail(inDoubt("upstream-failed", false, p.Instance.ID, err))
	default:
		r.fail(notRun("upstream-unreachable", minComeBack))
	}
}

func (r *run) again(note uint8) step {
	r.s.count.repeated.Inc(1)
	r.s.ctl.Again(r.ticket, note)
	return stepAgain
}

func endNote(failed bool) uint8 {
	if failed {
		return wire.NoteFailed
	}
	return wire.NoteUnused
}

func isNotSent(err error) bool { return conn.IsNotSent(err) }

// logAttempt writes the line of an attempt that did not end well.
func (r *run) logAttempt(p *dispatch.Place, what string, err error) {
	e := r.s.lines.failure()
	if e == nil {
		return
	}
	r.fields(e, p.Instance.ID)
	placeFields(e, p)
	if err != nil {
		e.AnErr("cause", err)
	}
	e.Stringer("fingerprint", r.fingerprint()).Int("attempt", r.attempts).Int64("position", r.last).Bool("may_have_run", r.ran).Msg(what)
}

// logAnswered writes the line of an answered request, for some of them.
func (r *run) logAnswered(p *dispatch.Place, status int, first time.Duration) {
	r.s.count.answered.Inc(1)
	e := r.s.lines.answered()
	if e == nil {
		return
	}
	r.fields(e, p.Instance.ID)
	placeFields(e, p)
	e.Int("attempt", r.attempts).Int("status", status).Int64("first_ms", first.Milliseconds()).Msg("request-answered")
}

func lastEvent(h http.Header) int64 {
	n, err := strconv.ParseInt(strings.TrimSpace(h.Get(headerLastEvent)), 10, 64)
	if err != nil || n < 0 {
		return 0
	}
	return n
}
