package forward

import (
	"net/http"
	"time"

	"github.com/silverswitch/silverswitch/internal/conn"
	"github.com/silverswitch/silverswitch/internal/core/quarantine"
	"github.com/silverswitch/silverswitch/internal/core/wire"
	"github.com/silverswitch/silverswitch/internal/dispatch"
)

// reasonQuarantined is the reason given for a request that crashes upstreams. It is distinct
// from overload; its Retry-After is the time at which the request may be tried again.
const reasonQuarantined = "crashes-upstreams"

// crashes returns the quarantine state of the request. The fingerprint is computed only if
// the organisation has requests during which upstreams crashed.
func (req *callerRequest) crashes() quarantine.State {
	known := req.s.ctrl.Quarantined(req.org)
	if len(known) == 0 {
		return quarantine.State{}
	}
	return known[req.fingerprint()]
}

// quarantined returns the refusal of a request that is quarantined because upstreams crashed
// during it, or nil. Such a request is sent to no further upstream: without quarantine a
// single request crashed 17 upstreams of a service in 82 s.
func (req *callerRequest) quarantined() *failure {
	now := req.s.clock.Now()
	known := req.crashes()
	left, crashes := known.Held(now), known.Crashes
	if part, held := req.heldPart(now); held {
		left, crashes = max(left, part.Held(now)), max(crashes, part.Crashes)
	}
	if left == 0 {
		return nil
	}
	req.s.count.quarantined.Inc(1)
	end := notRun(reasonQuarantined, left)
	end.crashes = crashes
	return &end
}

// heldPart returns the state of a part of the request's prompt that is held, if there is one.
func (req *callerRequest) heldPart(now time.Time) (quarantine.PartState, bool) {
	held, _ := req.s.ctrl.HeldParts(req.service)
	if len(held) == 0 {
		return quarantine.PartState{}, false
	}
	for _, part := range req.sharedParts() {
		if s, ok := held[part]; ok && s.Held(now) > 0 {
			return s, true
		}
	}
	return quarantine.PartState{}, false
}

// sharedParts returns the parts of the prompt that other requests may share: all but the last one.
func (req *callerRequest) sharedParts() []uint64 {
	if len(req.prompt.parts) < 2 {
		return nil
	}
	out := make([]uint64, 0, len(req.prompt.parts)-1)
	for _, part := range req.prompt.parts[:len(req.prompt.parts)-1] {
		out = append(out, part.Part)
	}
	return out
}

// endQuarantined ends a request that was quarantined while it waited or between attempts.
func (r *run) endQuarantined(f failure) {
	r.s.ctrl.End(r.ticket, wire.ProgressUnused)
	r.endUnanswered(unanswered{reason: reasonQuarantined, notRun: &f})
}

// reportBroken reports to the control state that the upstream may have run the
// request and gave no whole answer. early is true if the answer had not begun.
func (at *attempt) reportBroken(early bool, err error) {
	at.s.ctrl.AttemptIncomplete(dispatch.AttemptIncomplete{
		Content:  at.fingerprint(),
		Org:      at.org,
		Instance: at.placement.Instance,
		Parts:    at.sharedParts(),
		Began:    at.sentAt,
		Early:    early,
		Lost:     at.run.ctx.Err() == nil && conn.IsDisconnected(err),
	})
}

// answeredWhole reports a whole answer to the control state if crashes are attributed to
// the request, or to prompt parts of its service: the answer shows that they did not cause them.
// An unframed answer is reported in any case, since its upstream may just have ended.
func (a *answer) answeredWhole(res *http.Response) {
	framed := !isUnframed(res)
	if framed && a.crashes().Crashes > 0 {
		a.s.ctrl.AnsweredWhole(a.fingerprint())
	}
	if res.StatusCode >= http.StatusMultipleChoices {
		return // upstreams fail requests before they begin to run them
	}
	if _, suspected := a.s.ctrl.HeldParts(a.service); framed && (!suspected || len(a.prompt.parts) < 2) {
		return
	}
	a.reportPromptAnswered(framed)
}

// reportPromptAnswered reports that the attempt showed the parts of its prompt to be sound.
func (a *answer) reportPromptAnswered(framed bool) {
	in := dispatch.PromptAnswered{Org: a.org, Instance: a.placement.Instance, Parts: a.sharedParts(), Began: a.sentAt, Framed: framed}
	if !framed {
		in.Content = a.fingerprint()
	}
	a.s.ctrl.PromptAnswered(in)
}

// survivalTime is how long after its first event a stream has to run on to show that its prompt
// does not crash upstreams: those that crash do so when they begin to answer.
const survivalTime = time.Second

// reportSurvival reports once that a stream has run for long, while parts are suspected. Streams
// may last longer than suspicion takes to hold a part.
func (a *answer) reportSurvival(now time.Time) {
	if a.survived || now.Sub(a.began) < a.timeToFirst+survivalTime {
		return
	}
	if _, suspected := a.s.ctrl.HeldParts(a.service); !suspected {
		return
	}
	a.survived = true
	a.reportPromptAnswered(true)
}
