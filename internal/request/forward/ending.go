package forward

import (
	"net/http"
	"strconv"

	"github.com/silverswitch/silverswitch/internal/conn"
	"github.com/silverswitch/silverswitch/internal/dispatch"
	"github.com/silverswitch/silverswitch/internal/memory"
)

// unanswered is why a request ends without a whole answer of an upstream.
type unanswered struct {
	reason   string
	cut      string // the reason logged if the answer has begun, where it differs
	timedOut bool   // its time is over
	upstream string // of the last attempt
	err      error
	refusal  *dispatch.Refuse // of another placement, for the log; may be nil
	notRun   *failure         // told if the request has certainly not run; nil for reason with unsentRetryDelay
}

// endUnanswered ends a request that gets no whole answer. It is the one place that decides what the
// caller is told, by what it was told before: an answer that has begun can only be cut, so that it does
// not look whole; otherwise there is a failure, which says that the request did not run only if no
// attempt may have run it. Nobody is left without a word who still listens.
func (r *run) endUnanswered(e unanswered) step {
	r.endRivals()
	e = r.stopEnding(e)
	switch {
	case r.r.Context().Err() != nil:
		r.s.count.broken.Inc(1)
		r.logEnd(failure{reason: "caller-gone", upstream: e.upstream})
		conn.CutCaller(r.w, r.r)
	case r.headersSent:
		if e.cut == "" {
			e.cut = e.reason
		}
		r.abort(e.cut)
	case r.kept != nil:
		r.forwardKept()
	case r.ran():
		end := inDoubt(e.reason, e.timedOut, e.upstream, e.err)
		end.refusal = e.refusal
		r.fail(end)
	case e.notRun != nil:
		r.fail(*e.notRun)
	default:
		r.fail(notRun(e.reason, unsentRetryDelay))
	}
	return stepDone
}

// abort cuts the connection of an answer that has begun, so that the caller cannot take
// it for a whole one.
func (r *run) abort(reason string) {
	r.s.count.broken.Inc(1)
	r.logEnd(failure{reason: "answer-cut: " + reason})
	conn.CutCaller(r.w, r.r)
}

// keptAnswer is a whole answer of an upstream that failed the request. It is forwarded if no other
// upstream answers.
type keptAnswer struct {
	answer *answer
	res    *http.Response
	body   *memory.Buffer
}

// keep keeps a failure of an upstream. The body must be whole.
func (r *run) keep(k keptAnswer) {
	r.dropKept()
	r.kept = &k
}

func (r *run) dropKept() {
	if r.kept != nil {
		r.kept.body.Release()
		r.kept = nil
	}
}

// forwardKept forwards the failure of an upstream.
func (r *run) forwardKept() {
	k := r.kept
	k.answer.writeWhole(k.res, k.body)
	r.logAnswered(k.answer.placement, k.res.StatusCode, k.answer.timeToFirst)
}

// writeWhole writes a whole answer to the caller.
func (a *answer) writeWhole(res *http.Response, body *memory.Buffer) {
	a.copyHeaders(res)
	a.w.Header().Set("Content-Length", strconv.Itoa(body.Len()))
	a.w.WriteHeader(res.StatusCode)
	_ = a.writeBuffered(body) // the caller may be gone
}
