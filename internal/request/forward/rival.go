package forward

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/silverswitch/silverswitch/internal/conn"
	"github.com/silverswitch/silverswitch/internal/core/wire"
	"github.com/silverswitch/silverswitch/internal/memory"
	"github.com/silverswitch/silverswitch/internal/routing"
)

// A silent upstream may go on at any moment, or never. An attempt at it is therefore given up only for
// another one that has the answer: when the upstream falls silent, a second attempt begins beside the
// first, and whichever goes on first is the request's; the other is cancelled. If there is no second
// placement, or it fails, the first attempt is none the worse.
//
// Load pattern: a sound upstream, or all of a service, says nothing for a second and goes on, while the
// retry budget is spent or no other upstream has room.

const (
	// maxOverlap bounds the time in which two upstreams work on one stream. A stream that goes on
	// elsewhere may not be worked on by its first upstream for 400 ms longer.
	maxOverlap = 250 * time.Millisecond
	// maxPause is how long the silence of an upstream is waited out that is silent in all its answers
	// and accepts connections, before its stream goes on elsewhere: a second attempt at a stream must be
	// chosen within maxOverlap, whether or not it has an event by then.
	maxPause = 2 * time.Second
	// maxServicePause is how long the silence of a whole service is waited out. Nothing is gained by
	// repeating its requests at another of its upstreams meanwhile.
	maxServicePause = 2500 * time.Millisecond
	// servicePauseUpstreams is the number of upstreams whose common silence is that of a service.
	servicePauseUpstreams = 2
	// evidenceInterval is how often a second attempt that waits looks for signs of life.
	evidenceInterval = 100 * time.Millisecond
	// askAgainInterval is the time after which another placement is requested for a second attempt
	// that got none, or that failed.
	askAgainInterval = 500 * time.Millisecond
)

// rival makes the second attempt beside a first one that is silent, in a goroutine of its own.
type rival struct {
	request  *run
	first    *attempt
	since    time.Time // since when the first one is silent
	latest   time.Time // until then a pause may be waited out: half of the time that the request has left
	begun    bool      // the caller has the beginning of an answer
	position int64     // of the last event that the caller has
	body     *memory.Buffer
	avoid    []routing.Instance // upstreams that it did not reach
	overlap  *time.Timer        // ends the time in which two upstreams may work on a stream; may be nil
	logged   bool               // see logSilence
	ctx      context.Context
	cancel   context.CancelFunc
	chosen   chan struct{} // closed when it is committed
	done     chan struct{} // closed when the goroutine has ended

	// Guarded by run.mu.
	attempt   *attempt // from the moment at which it may be sent, until it has failed
	committed bool     // the first attempt is given up for this one
	lost      bool     // the first attempt goes on, or the request has ended

	// Valid once done is closed, if it is committed.
	answer *answer
	err    error // of sending, if there is no answer
}

// fellSilent begins a second attempt beside one whose upstream has been silent for the limit of its
// watchdog.
func (r *run) fellSilent(at *attempt) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ended || !r.mayRepeatLocked() || r.endsTooLate() {
		return
	}
	if r.rival != nil && r.rival.attempt == at {
		r.rival.makeRoom()
	}
	if r.rival != nil || r.going != at {
		return
	}
	now := time.Now()
	rv := &rival{
		request: r, first: at, since: now.Add(-at.silence.limit()), latest: now.Add(r.s.clock.Until(r.deadline) / 2),
		begun: r.headersSent, position: r.lastPosition, body: r.body, chosen: make(chan struct{}), done: make(chan struct{}),
	}
	rv.body.Retain()
	rv.ctx, rv.cancel = context.WithCancel(r.ctx)
	r.rival = rv
	r.rivals.Add(1)
	r.s.count.silences.Inc(1)
	go rv.run()
}

// run makes second attempts until one is committed, or the first goes on.
func (rv *rival) run() {
	defer rv.request.rivals.Done()
	defer close(rv.done)
	defer rv.body.Release()
	for rv.awaitEvidence() && rv.try() {
		sleep(rv.ctx, askAgainInterval)
	}
}

// awaitEvidence waits until a second attempt may be of use. It returns false if the first goes on.
func (rv *rival) awaitEvidence() bool {
	var unreachable atomic.Bool
	for first := true; rv.ctx.Err() == nil; first = false {
		heard, silent := rv.request.s.pulses.during(rv.request.service, rv.since, time.Now())
		waits := rv.mayPause(heard, len(silent), time.Now()) && !unreachable.Load()
		if !rv.logged {
			rv.logged = true
			rv.request.logSilence(rv, heard, len(silent), waits)
		}
		if !waits {
			return true
		}
		if first {
			go func() {
				unreachable.Store(!rv.request.s.reach.accepts(rv.first.placement.Instance.Address))
			}()
		}
		sleep(rv.ctx, evidenceInterval)
	}
	return false
}

// mayPause reports whether the upstream may pause, alone or with its service, so that it is worth waiting
// for. One whose other answers go on does not.
func (rv *rival) mayPause(heard, silent int, now time.Time) bool {
	silence := now.Sub(rv.since)
	switch {
	case rv.first.pulse.wasHeard(rv.since.Add(silence/2)) || now.After(rv.latest):
		return false
	case heard == 0 && silent >= servicePauseUpstreams:
		return silence < maxServicePause
	}
	return rv.request.route.Kind == routing.Stream && silence < maxPause
}

// try makes a second attempt. It reports whether another one may follow.
func (rv *rival) try() (again bool) {
	r := rv.request
	_, silent := r.s.pulses.during(r.service, rv.since, time.Now())
	t := r.s.ctrl.PlaceBeside(rv.first.ticket, append(silent, rv.avoid...))
	d, ok := t.wait(rv.ctx)
	switch {
	case !ok:
		r.s.ctrl.End(t, wire.ProgressUnused)
		return false
	case d.Placement == nil:
		r.s.count.secondRefused.Inc(1)
		r.logAttempt(rv.first.placement, "second-attempt-refused: "+d.Refusal.Reason.String(), nil)
		return true
	case r.quarantined() != nil:
		r.s.ctrl.End(t, wire.ProgressUnused)
		return false
	case r.failsHealthCheck(d.Placement):
		r.s.ctrl.End(t, wire.ProgressUnused)
		rv.avoid = append(rv.avoid, d.Placement.Instance)
		return true
	}
	at := r.newAttempt(rv.ctx, d.Placement, t)
	if !rv.begin(at) {
		r.s.ctrl.End(t, wire.ProgressUnused)
		at.end()
		return false
	}
	r.s.count.repeated.Inc(1)
	exchange, err := rv.send(at)
	if err != nil {
		return rv.failed(at, nil, err)
	}
	at.pulse.heard(time.Now())
	a := &answer{attempt: at, exchange: exchange, lastPosition: rv.position, continues: rv.begun}
	err = a.readAhead()
	if errors.Is(err, errUpstreamStatus) && !r.mayRepeat() {
		rv.waitForFirst() // before the failure is passed on
		err = nil
	}
	if err != nil {
		return rv.failed(at, a, err)
	}
	if !rv.commit() {
		return rv.failed(at, a, context.Canceled)
	}
	rv.answer = a
	return false
}

// begin counts the attempt, unless the first goes on.
func (rv *rival) begin(at *attempt) bool {
	r := rv.request
	r.mu.Lock()
	defer r.mu.Unlock()
	if rv.lost || !r.mayRepeatLocked() {
		return false
	}
	r.attempts++
	rv.attempt = at
	return true
}

// send sends the request to the second upstream.
func (rv *rival) send(at *attempt) (*conn.Exchange, error) {
	r := rv.request
	m := r.message(at.placement, rv.begun, rv.position)
	at.silence.reset(r.firstEventTimeout(at.placement))
	m.OnStart = func(x *conn.Exchange) {
		at.silence.watch(x)
		r.secondSent.Store(true)
		if r.route.Kind == routing.Stream {
			rv.overlap = time.AfterFunc(maxOverlap, func() { rv.commit() })
		}
	}
	rv.body.Retain()
	m.Body, m.OnWritten = rv.body.Pieces(), rv.body.Release
	x, err := r.s.exchanges.Send(at.ctx, at.placement.Instance.Address, m, r.isOwnAnswer)
	if err != nil && isNotSent(err) {
		rv.body.Release()
	}
	return x, err
}

// waitForFirst waits while the first attempt may still go on.
func (rv *rival) waitForFirst() {
	end := rv.since.Add(maxServicePause)
	if rv.latest.Before(end) {
		end = rv.latest
	}
	t := time.NewTimer(time.Until(end))
	defer t.Stop()
	select {
	case <-t.C:
	case <-rv.chosen:
	case <-rv.ctx.Done():
	}
}

// commit gives the first attempt up for the second, unless it goes on or the second has failed.
func (rv *rival) commit() bool {
	r := rv.request
	r.mu.Lock()
	ok := !rv.lost && rv.attempt != nil
	if ok {
		rv.choose()
	}
	r.mu.Unlock()
	if ok {
		rv.first.cancel(conn.ErrSilence)
	}
	return ok
}

// makeRoom gives the first attempt up for the second where that is silent too, so that a third one may
// begin beside it: two are under way at the most. The request must be locked.
func (rv *rival) makeRoom() {
	rv.choose()
	rv.first.cancel(conn.ErrSilence)
}

// choose makes the second attempt the request's. The request must be locked.
func (rv *rival) choose() {
	if !rv.committed {
		rv.committed = true
		close(rv.chosen)
	}
}

// failed handles a second attempt without an answer to go on with. If the first was given up for it, the
// request's goroutine takes care of it.
func (rv *rival) failed(at *attempt, a *answer, err error) (again bool) {
	r := rv.request
	r.mu.Lock()
	if rv.committed {
		rv.answer, rv.err = a, err
		r.mu.Unlock()
		return false
	}
	rv.attempt = nil
	if isNotSent(err) {
		r.attempts--
	}
	again = !rv.lost && r.mayRepeatLocked()
	r.mu.Unlock()
	rv.stopOverlap()
	r.s.ctrl.End(at.ticket, rv.note(at, a, err))
	if a != nil {
		a.close()
	}
	at.end()
	event := "second-attempt-failed"
	if rv.ctx.Err() != nil {
		event = "second-attempt-cancelled"
	}
	r.logAttempt(at.placement, event, err)
	return again
}

// note reports a failed second attempt to the control state, and returns the note with which its
// placement ends.
func (rv *rival) note(at *attempt, a *answer, err error) uint8 {
	if rv.ctx.Err() != nil {
		return wire.ProgressUnused // cancelled here
	}
	rv.avoid = append(rv.avoid, at.placement.Instance)
	switch {
	case conn.IsRefused(err):
		rv.request.s.ctrl.ConnRefused(at.placement.Instance)
		return wire.ProgressRefused
	case conn.IsWithdrawn(err):
		return wire.ProgressUnused
	case isNotSent(err):
		return wire.ProgressFailed
	case errors.Is(err, errNotExecuted):
		return rejectionNote(a.exchange.Response)
	}
	at.reportBroken(a == nil || a.ahead == nil, err)
	return wire.ProgressFailed
}

func (rv *rival) stopOverlap() {
	if rv.overlap != nil {
		rv.overlap.Stop()
	}
}

// lose cancels the second attempt. The request must be locked.
func (rv *rival) lose() {
	rv.lost, rv.request.rival = true, nil
	rv.cancel()
}

// goesOn states that the answer of an attempt goes on, so that a second attempt beside it is cancelled.
// It returns false if the attempt was given up for the second one.
func (r *run) goesOn(at *attempt) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.goesOnLocked(at)
}

func (r *run) goesOnLocked(at *attempt) bool {
	rv := r.rival
	switch {
	case rv == nil || rv.first != at:
		return true
	case rv.committed:
		return false
	}
	rv.lose() // the first goes on
	r.s.count.firstWentOn.Inc(1)
	return true
}

// hasRival reports whether a second attempt is under way beside an attempt.
func (r *run) hasRival(at *attempt) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.rival != nil && r.rival.first == at
}

// succeed goes on with the second attempt after the first has ended, if there is one that was sent. note
// says how the first ended, err why; it must be closed.
func (at *attempt) succeed(note uint8, err error) (next step, replaced bool) {
	r := at.run
	r.mu.Lock()
	rv := r.rival
	if rv == nil || rv.first != at || rv.attempt == nil {
		r.going = nil
		if rv != nil {
			rv.lose()
		}
		r.mu.Unlock()
		return 0, false
	}
	rv.choose()
	second := rv.attempt
	r.rival, r.going = nil, second
	r.mu.Unlock()
	r.s.count.secondWentOn.Inc(1)
	at.logAttempt(at.placement, "second-attempt-goes-on", err)
	at.s.ctrl.End(at.ticket, note)
	at.end()
	r.ticket = second.ticket
	defer rv.cancel()
	defer second.end()
	second.silence.reset(r.firstEventTimeout(second.placement))
	<-rv.done
	rv.stopOverlap()
	if rv.answer == nil {
		return second.sendFailed(rv.err), true
	}
	rv.answer.lastPosition = r.position()
	return rv.answer.deliver(), true
}

// endRivals cancels the second attempts and waits for their ends.
func (r *run) endRivals() {
	r.mu.Lock()
	r.ended = true
	rv := r.rival
	if rv != nil {
		rv.lose()
	}
	r.mu.Unlock()
	r.rivals.Wait()
	if rv != nil && rv.committed {
		rv.drop()
	}
}

// drop releases a second attempt that was chosen, and that the request has no more use for.
func (rv *rival) drop() {
	rv.stopOverlap()
	rv.request.s.ctrl.End(rv.attempt.ticket, wire.ProgressUnused)
	if rv.answer != nil {
		rv.answer.close()
	}
	rv.attempt.end()
}

// sleep waits for a duration or the end of the context.
func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

// logSilence logs a silence, and what the upstreams of its service do meanwhile.
func (r *run) logSilence(rv *rival, heard, silent int, waits bool) {
	e := r.s.reqLog.failure(r.resumed)
	if e == nil {
		return
	}
	p := rv.first.placement
	r.addRequestFields(e, p.Instance.ID)
	addPlacementFields(e, p)
	e.Int64("silent_ms", time.Since(rv.since).Milliseconds()).Int64("position", rv.position).Int("upstreams_heard", heard).Int("upstreams_silent", silent).Bool("waits", waits).Msg("upstream-silent")
}
