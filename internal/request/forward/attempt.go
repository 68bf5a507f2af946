package forward

import (
	"cmp"
	"context"
	"time"

	"github.com/silverswitch/silverswitch/internal/conn"
	"github.com/silverswitch/silverswitch/internal/core/wire"
	"github.com/silverswitch/silverswitch/internal/dispatch"
	"github.com/silverswitch/silverswitch/internal/routing"
)

// attempt is one sending of the request to an upstream, until its answer has ended.
type attempt struct {
	*run
	placement *dispatch.Placement
	ticket    *Ticket
	ctx       context.Context // also ends when the attempt is given up
	cancel    context.CancelCauseFunc
	endSpan   func()
	began     time.Time
	sentAt    time.Time // by the server's clock
	pulse     *pulse    // of the upstream
	silence   *watchdog
	over      bool // see end
}

// newAttempt returns an attempt, which must be ended. The end of parent ends it as well.
func (r *run) newAttempt(parent context.Context, p *dispatch.Placement, t *Ticket) *attempt {
	at := &attempt{run: r, placement: p, ticket: t, began: time.Now(), sentAt: r.s.clock.Now()}
	ctx, endSpan := r.s.tracing.attempt(parent, p)
	at.endSpan = endSpan
	at.ctx, at.cancel = context.WithCancelCause(ctx)
	at.pulse = r.s.pulses.begin(r.service, p.Instance, at.began)
	at.silence = newWatchdog(func() { r.fellSilent(at) }, 0)
	return at
}

// end releases what the attempt uses.
func (at *attempt) end() {
	if at.over {
		return
	}
	at.over = true
	at.mu.Lock()
	if at.going == at {
		at.going = nil
	}
	at.mu.Unlock()
	at.silence.stop()
	at.pulse.end()
	at.cancel(nil)
	at.endSpan()
}

// attempt sends the request to one upstream and forwards its answer.
func (r *run) attempt(p *dispatch.Placement) step {
	at := r.newAttempt(r.ctx, p, r.ticket)
	defer at.end()
	r.mu.Lock()
	r.attempts++
	r.going = at
	r.mu.Unlock()
	at.silence.reset(r.firstEventTimeout(p))
	m := r.message(p, r.headersSent, r.lastPosition)
	m.OnStart = at.silence.watch
	exchange, err := r.send(at.ctx, p.Instance.Address, m)
	if err != nil {
		return at.sendFailed(err)
	}
	at.pulse.heard(time.Now())
	a := &answer{attempt: at, exchange: exchange, continues: r.headersSent, lastPosition: r.lastPosition}
	return a.deliver()
}

// firstEventTimeout returns how long an upstream may be silent before its answer begins.
// After it a second upstream is asked, so 0 (no limit) is returned if that is not
// allowed. The answer has then missed its target latency already; a shorter timeout would
// repeat work of upstreams that are busy but well, or delayed by this router itself.
func (r *run) firstEventTimeout(p *dispatch.Placement) time.Duration {
	if !r.mayRepeat() {
		return 0
	}
	if r.route.Kind == routing.Stream {
		expect := time.Duration(p.WaitMS) * time.Millisecond
		return max(firstEventTargetFactor*r.route.TargetLatency, firstEventWaitFactor*expect+firstEventSlack)
	}
	return max(firstEventTargetFactor*r.route.TargetLatency, minPlainAnswerTimeout)
}

const (
	// firstEventTargetFactor multiplies the route's target latency.
	firstEventTargetFactor = 2
	// firstEventWaitFactor multiplies the expected wait at an engine; firstEventSlack is
	// added to the product.
	firstEventWaitFactor = 4
	firstEventSlack      = 600 * time.Millisecond
	// minPlainAnswerTimeout is the shortest silence of a plain service after which a second
	// upstream is asked.
	minPlainAnswerTimeout = 300 * time.Millisecond
)

// sendFailed handles an attempt that ended without an answer.
func (at *attempt) sendFailed(err error) step {
	p, sent := at.placement, !isNotSent(err)
	at.mayHaveRun = at.mayHaveRun || sent
	switch {
	case sent:
		at.reportBroken(true, err)
	case conn.IsRefused(err):
		at.s.ctrl.ConnRefused(p.Instance)
	}
	if at.run.ctx.Err() != nil {
		at.s.ctrl.End(at.ticket, endNote(sent && at.r.Context().Err() == nil))
		return at.endUnanswered(unanswered{reason: "no-answer-in-time", timedOut: true, upstream: p.Instance.ID, err: err})
	}
	note := wire.ProgressFailed
	if !sent && conn.IsRefused(err) {
		note = wire.ProgressRefused
	}
	if next, replaced := at.succeed(note, err); replaced {
		return next
	}
	if conn.IsWithdrawn(err) && at.withdrawn < maxWithdrawn {
		at.countAttempt(-1)
		at.withdraw(p, cmp.Or(at.s.ctrl.Unusable(p), UpstreamLeft))
		return stepRetry
	}
	at.logAttempt(p, "attempt-failed", err)
	if sent && !at.route.MayRepeat() || at.attemptsMade() >= at.route.MaxAttempts {
		at.s.ctrl.End(at.ticket, note)
		return at.failAfterAttempt(p, err)
	}
	return at.retry(note)
}
