package forward

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/silverswitch/silverswitch/internal/conn"
	"github.com/silverswitch/silverswitch/internal/core/wire"
	"github.com/silverswitch/silverswitch/internal/dispatch"
	"github.com/silverswitch/silverswitch/internal/request/stream"
	"github.com/silverswitch/silverswitch/internal/routing"
)

// maxSkipped is how much is read of an answer that nobody gets, in bytes, so that its
// connection can be kept.
const maxSkipped = 16 << 20

// answer is one upstream's answer to an attempt.
type answer struct {
	*run
	place   *dispatch.Place
	x       *conn.Exchange
	began   time.Time
	silence *watchdog
	attempt context.Context // ends with the silence of the upstream too
	whole   bool
	noted   bool

	firstAfter time.Duration // from sending to the first event
}

var (
	errForeign      = errors.New("the answer is not the upstream's own")
	errNotResumed   = errors.New("the upstream did not resume the stream")
	errFalsePromise = errors.New("the upstream's status says that the request did not run, which it may have")
)

// deliver judges the answer's headers and passes it on.
func (a *answer) deliver() step {
	defer func() { a.x.Close(a.whole) }()
	res := a.x.Response
	switch {
	case res.Header.Get(a.s.names.NotExecuted) != "" || res.StatusCode == http.StatusMisdirectedRequest:
		return a.notExecuted(res)
	case res.Header.Get(a.s.names.Proof) == "" || res.Header.Get("Content-Encoding") != "":
		return a.broken(errForeign)
	case res.StatusCode == http.StatusOK && isEvents(res):
		return a.stream(res)
	case a.begun:
		return a.broken(errNotResumed) // its end must not pass for the stream's
	case isPromise(res.StatusCode) && !a.route.MayRepeat():
		return a.broken(errFalsePromise)
	}
	return a.plain(res)
}

// isPromise reports whether a status tells a caller that its request has not run and never
// will. An upstream that did not run a request says so in a header besides; without it the
// request may have run.
func isPromise(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

func isEvents(res *http.Response) bool {
	return strings.HasPrefix(res.Header.Get("Content-Type"), "text/event-stream")
}

// notExecuted follows an upstream's word that it did not run the request.
func (a *answer) notExecuted(res *http.Response) step {
	_, err := io.Copy(io.Discard, io.LimitReader(res.Body, maxSkipped))
	a.whole = err == nil
	a.logAttempt(a.place, "not-run-by-upstream: "+strconv.Itoa(res.StatusCode), nil)
	if a.ctx.Err() != nil {
		a.s.ctl.End(a.ticket, wire.NoteUnused)
		a.giveUp("no-answer-in-time", a.place.Instance.ID, nil)
		return stepDone
	}
	if a.attempts < a.route.MaxAttempts {
		return a.again(wire.NoteFailed)
	}
	a.s.ctl.End(a.ticket, wire.NoteFailed)
	a.afterFailure(a.place, false, nil)
	return stepDone
}

// broken follows an answer that cannot be passed on; the request may have run.
func (a *answer) broken(err error) step {
	a.ran = true
	a.broke(a.place, !a.noted, err)
	if errors.Is(context.Cause(a.attempt), conn.ErrSilence) {
		a.x.ReportSilence()
	}
	if a.ctx.Err() != nil {
		a.s.ctl.End(a.ticket, endNote(a.r.Context().Err() == nil))
		a.giveUp("no-whole-answer-in-time", a.place.Instance.ID, err)
		return stepDone
	}
	a.logAttempt(a.place, "answer-broken", err)
	if a.mayRepeat() {
		a.x.Close(false) // the upstream stops before another begins
		return a.again(wire.NoteFailed)
	}
	a.s.ctl.End(a.ticket, wire.NoteFailed)
	a.afterFailure(a.place, true, err)
	return stepDone
}

// plain passes on an answer that is not a stream, when it is whole; one that is too large
// to be held as it comes.
func (a *answer) plain(res *http.Response) step {
	a.first()
	part, err := a.s.answers.hold(res.Body)
	defer a.s.answers.give(part.taken)
	if err != nil {
		return a.broken(err)
	}
	if !part.whole {
		return a.passOn(res, part.raw)
	}
	a.whole = true
	a.answeredWhole()
	note := wire.NoteDone
	if res.StatusCode >= 500 {
		note = wire.NoteFailed
		if a.route.Kind == routing.Idempotent && a.mayRepeat() && a.ctx.Err() == nil {
			a.ran = true
			a.logAttempt(a.place, "upstream-status: "+strconv.Itoa(res.StatusCode), nil)
			a.x.Close(true)
			return a.again(note)
		}
	}
	a.head(res)
	a.w.Header().Set("Content-Length", strconv.Itoa(len(part.raw)))
	a.w.WriteHeader(res.StatusCode)
	_, _ = a.w.Write(part.raw) // the caller may be gone
	a.s.ctl.End(a.ticket, note)
	a.logAnswered(a.place, res.StatusCode, a.firstAfter)
	return stepDone
}

// passOn passes on an answer of which the beginning has been read. When it breaks, the
// caller's connection is cut, so that it does not look whole.
func (a *answer) passOn(res *http.Response, beginning []byte) step {
	a.silence.stop() // nothing can be tried elsewhere any more
	a.begun = true
	a.head(res)
	if res.ContentLength >= 0 {
		a.w.Header().Set("Content-Length", strconv.FormatInt(res.ContentLength, 10))
	}
	a.w.WriteHeader(res.StatusCode)
	_, err := a.w.Write(beginning)
	if err == nil {
		_, err = io.Copy(a.w, res.Body)
	}
	if err != nil {
		a.broke(a.place, false, err)
		a.s.ctl.End(a.ticket, endNote(a.r.Context().Err() == nil))
		a.giveUp("answer-broken", a.place.Instance.ID, err)
		return stepDone
	}
	a.whole = true
	a.answeredWhole()
	a.s.ctl.End(a.ticket, wire.NoteDone)
	a.logAnswered(a.place, res.StatusCode, a.firstAfter)
	return stepDone
}

// head copies the answer's headers.
func (a *answer) head(res *http.Response) {
	h := a.w.Header()
	copyEndToEnd(h, res.Header)
	if a.s.ctl.Leaving() {
		h.Set("Connection", "close")
	}
}

func (a *answer) first() {
	if a.noted {
		return
	}
	a.noted = true
	a.ran = true
	a.firstAfter = time.Since(a.began)
	a.s.count.first.Update(a.firstAfter)
	a.s.ctl.First(a.ticket, a.firstAfter)
}

// stream passes events on as they come, each once and in order.
func (a *answer) stream(res *http.Response) step {
	br := bufio.NewReaderSize(res.Body, 4<<10)
	rc := http.NewResponseController(a.w)
	var buf []byte
	for {
		e, err := stream.Read(br, buf)
		if errors.Is(err, io.EOF) {
			return a.streamEnded(res)
		}
		if err != nil {
			return a.broken(err)
		}
		buf = e.Raw
		a.first()
		a.silence.reset(a.gapLimit())
		if e.Position != stream.NoPosition {
			if e.Position <= a.last {
				continue // passed on before the stream broke
			}
			if a.last > 0 && e.Position != a.last+1 {
				return a.broken(errors.New("an event is missing"))
			}
			a.last = e.Position
		}
		if !a.begun {
			a.begun = true
			a.head(res)
			a.w.WriteHeader(res.StatusCode)
		}
		if _, err := a.w.Write(e.Raw); err != nil {
			break
		}
		if err := rc.Flush(); err != nil {
			break
		}
	}
	a.broke(a.place, false, context.Canceled)
	a.s.ctl.End(a.ticket, wire.NoteDone)
	a.giveUp("caller-unreachable", a.place.Instance.ID, nil)
	return stepDone
}

// streamEnded passes on the end of a stream, if its transfer says that it is one.
func (a *answer) streamEnded(res *http.Response) step {
	if res.ContentLength < 0 && len(res.TransferEncoding) == 0 && a.ctx.Err() != nil {
		return a.broken(a.ctx.Err())
	}
	a.whole = true
	a.answeredWhole()
	if !a.begun {
		a.begun = true
		a.first()
		a.head(res)
		a.w.WriteHeader(res.StatusCode)
	}
	a.s.ctl.End(a.ticket, wire.NoteDone)
	a.logAnswered(a.place, res.StatusCode, a.firstAfter)
	return stepDone
}

// Bounds on the silence between two events that counts as a fault, in times of
// the route's own aim, and at least.
const (
	gapTimes = 4
	minGap   = 700 * time.Millisecond
)

// gapLimit is the silence between events after which a stream is resumed
// elsewhere; 0 is no limit.
func (a *answer) gapLimit() time.Duration {
	if !a.mayRepeat() {
		return 0
	}
	return max(minGap, gapTimes*a.route.TargetGap)
}
