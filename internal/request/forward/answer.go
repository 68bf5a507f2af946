package forward

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/silverswitch/silverswitch/internal/conn"
	"github.com/silverswitch/silverswitch/internal/core/wire"
	"github.com/silverswitch/silverswitch/internal/memory"
	"github.com/silverswitch/silverswitch/internal/request/stream"
	"github.com/silverswitch/silverswitch/internal/routing"
)

// Bounds on what is read of an answer, whatever its upstream sends.
const (
	// maxDiscardedBytes and maxDiscardTime bound what is read of a discarded answer so that its
	// connection can be reused.
	maxDiscardedBytes = 1 << 20
	maxDiscardTime    = 50 * time.Millisecond
	// maxUnstatedAnswerBytes bounds an answer without a stated length. A longer one counts as one
	// without end.
	maxUnstatedAnswerBytes = 16 << 20
	// maxFillerBytes bounds the empty lines and comments between two events of a stream.
	maxFillerBytes = 64 << 10
)

// answer is an upstream's answer to an attempt.
type answer struct {
	*attempt
	exchange      *conn.Exchange
	continues     bool  // the caller has the beginning of an answer
	lastPosition  int64 // of the last event that it has, after which a stream goes on
	whole         bool  // the body was read to its end
	firstReported bool  // firstEvent was called
	unflushed     bool  // events were written to the caller and not yet sent
	filler        int   // bytes of empty lines and comments since the latest event

	events *bufio.Reader  // of a stream, once it is read
	reader *stream.Reader // of its events
	ahead  *readAhead     // nil unless it was read ahead

	survived    bool          // see reportSurvival
	timeToFirst time.Duration // from sending to the first event
	pace        paceMeter
}

// readAhead is what was read of an answer before it was chosen.
type readAhead struct {
	event    *stream.Event // the first one for the caller; nil if there is none, or it was taken
	err      error         // of reading the stream
	buffered *memory.Buffer
	rest     io.Reader // of a plain answer
	bodyErr  error     // of reading it
	at       time.Time
}

var (
	errUnproven       = errors.New("the answer lacks the upstream's proof header or has a content encoding")
	errNoEvent        = fmt.Errorf("the stream ended before any event: %w", io.ErrUnexpectedEOF)
	errNotResumed     = errors.New("the upstream did not resume the stream")
	errEndless        = fmt.Errorf("an answer without a stated length has more than %d bytes", maxUnstatedAnswerBytes)
	errFiller         = fmt.Errorf("the stream has more than %d bytes of empty lines and comments without an event", maxFillerBytes)
	errNotExecuted    = errors.New("the upstream did not run the request")
	errUpstreamStatus = errors.New("the upstream's status says that it failed")
	errSkipped        = errors.New("the stream skips an event position")
	errUnprovenNotRun = errors.New("the upstream's status says that the request did not run, but it may have run")
)

// deliver decides by the answer's headers what to do with it, and forwards it to the
// caller or goes on to another attempt.
func (a *answer) deliver() step {
	defer a.close()
	res := a.exchange.Response
	if !a.mayRepeat() && !a.hasRival(a.attempt) && !statesNotExecuted(&a.s.dialect, res) && a.exchange.SentWhole() {
		a.releaseBodyEarly()
	}
	err := a.unusable()
	switch {
	case errors.Is(err, errNotExecuted):
		return a.notExecuted(res)
	case err != nil:
		return a.handleBroken(err)
	case isStream(res):
		return a.stream(res)
	}
	return a.plain(res)
}

// unusable returns why an answer cannot be forwarded, by its headers.
func (a *answer) unusable() error {
	res := a.exchange.Response
	switch {
	case statesNotExecuted(&a.s.dialect, res):
		return errNotExecuted
	case res.Header.Get(a.s.dialect.Proof) == "" || res.Header.Get("Content-Encoding") != "":
		return errUnproven
	case isStream(res):
		return nil
	case a.continues:
		return errNotResumed // the caller would take its end for the stream's end
	case meansNotRun(res.StatusCode) && !a.route.MayRepeat():
		return errUnprovenNotRun
	}
	return nil
}

// isStream reports whether an answer is a stream of events of a request that has run.
func isStream(res *http.Response) bool { return res.StatusCode == http.StatusOK && isEventStream(res) }

// close ends the exchange. The connection is reused if the answer is whole.
func (a *answer) close() {
	a.exchange.Close(a.whole)
	if a.events != nil {
		a.reader.Close()
		a.events.Reset(nil)
		streamReaders.Put(a.events)
		a.events = nil
	}
	if a.ahead != nil {
		a.ahead.buffered.Release()
		a.ahead = nil
	}
}

// readAhead reads an answer until its caller can have it: a stream up to its next event, any other whole.
// It returns an error if there is nothing to go on with.
func (a *answer) readAhead() error {
	if err := a.unusable(); err != nil {
		return err
	}
	res := a.exchange.Response
	a.ahead = &readAhead{}
	if isStream(res) {
		a.ahead.event, a.ahead.err = a.readNext()
		a.ahead.at = time.Now()
		if errors.Is(a.ahead.err, io.EOF) {
			return nil // its end
		}
		return a.ahead.err
	}
	b := a.hold.Buffer(0)
	a.ahead.buffered, a.ahead.rest = b, bodyOf(res)
	a.ahead.bodyErr = b.ReadAll(a.ahead.rest)
	a.ahead.at = time.Now()
	switch {
	case errors.Is(a.ahead.bodyErr, memory.ErrFull):
		return nil
	case a.ahead.bodyErr == nil && res.StatusCode >= http.StatusInternalServerError:
		return errUpstreamStatus
	}
	return a.ahead.bodyErr
}

// readNext reads a stream until an event that the caller does not have.
func (a *answer) readNext() (*stream.Event, error) {
	for {
		e, err := a.readEvent()
		if err != nil {
			return nil, err
		}
		a.pulse.heard(time.Now())
		if err := a.countFiller(e); err != nil {
			return nil, err
		}
		if e.Filler != stream.NoFiller {
			continue
		}
		if ok, err := a.checkPosition(e); ok || err != nil {
			return &e, err
		}
	}
}

// readEvent reads the next event of the stream.
func (a *answer) readEvent() (stream.Event, error) {
	if a.events == nil {
		a.events = streamReaders.Get().(*bufio.Reader)
		a.events.Reset(a.exchange.Response.Body)
		a.reader = stream.NewReader(a.events, a.hold.Block())
	}
	e, err := a.reader.Next()
	if errors.Is(err, stream.ErrNoMemory) {
		a.s.count.eventsRefused.Inc(1)
	}
	return e, err
}

// nextEvent returns the event that was read ahead, or the next one.
func (a *answer) nextEvent() (stream.Event, error) {
	if h := a.ahead; h != nil && (h.event != nil || h.err != nil) {
		e, err := h.event, h.err
		h.event = nil
		if err == nil {
			return *e, nil
		}
		return stream.Event{}, err
	}
	return a.readEvent()
}

// statesNotExecuted reports whether an upstream states that it did not run the request.
func statesNotExecuted(d *Dialect, res *http.Response) bool {
	return res.Header.Get(d.NotExecuted) != "" || res.StatusCode == http.StatusMisdirectedRequest
}

// meansNotRun reports whether callers take a status to mean that the request has not run
// and never will. An upstream that did not run a request also sets the NotExecuted header;
// without that header the request may have run, whatever the status.
func meansNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// isUnframed reports whether an answer has neither a length nor chunks and ends with its connection.
func isUnframed(res *http.Response) bool {
	return res.ContentLength < 0 && len(res.TransferEncoding) == 0
}

func isEventStream(res *http.Response) bool {
	return strings.HasPrefix(res.Header.Get("Content-Type"), "text/event-stream")
}

// notExecuted handles an answer by which the upstream states that it did not run the
// request.
func (a *answer) notExecuted(res *http.Response) step {
	a.whole = a.discard(res)
	a.logAttempt(a.placement, "not-run-by-upstream: "+strconv.Itoa(res.StatusCode), nil)
	if a.run.ctx.Err() != nil {
		a.s.ctrl.End(a.ticket, wire.ProgressUnused)
		return a.endUnanswered(unanswered{reason: "no-answer-in-time", timedOut: true, upstream: a.placement.Instance.ID})
	}
	note := rejectionNote(res)
	if next, replaced := a.succeed(note, errNotExecuted); replaced {
		return next
	}
	if a.attemptsMade() < a.route.MaxAttempts {
		return a.retry(note)
	}
	a.s.ctrl.End(a.ticket, note)
	return a.failAfterAttempt(a.placement, nil)
}

// rejectionNote returns the note to the control state about an upstream that did not run the request.
func rejectionNote(res *http.Response) uint8 {
	if res.StatusCode == http.StatusMisdirectedRequest {
		return wire.ProgressFailed // it reached another upstream, or another start of this one
	}
	return wire.ProgressRejected
}

// discard reads the rest of an answer, so that its connection can be reused, and reports whether it
// came to its end. The next attempt does not wait for an upstream that goes on.
func (a *answer) discard(res *http.Response) bool {
	stop := a.exchange.CloseAfter(maxDiscardTime)
	n, err := io.Copy(io.Discard, io.LimitReader(res.Body, maxDiscardedBytes+1))
	return stop() && err == nil && n <= maxDiscardedBytes
}

// bodyOf returns a reader of an answer's body. One without a stated length fails where it is longer
// than maxUnstatedAnswerBytes.
func bodyOf(res *http.Response) io.Reader {
	if res.ContentLength >= 0 {
		return res.Body
	}
	return &boundedReader{r: res.Body, left: maxUnstatedAnswerBytes}
}

// boundedReader reads up to a number of bytes, and fails if there are more.
type boundedReader struct {
	r    io.Reader
	left int64
}

func (b *boundedReader) Read(p []byte) (int, error) {
	if int64(len(p)) > b.left+1 {
		p = p[:b.left+1]
	}
	n, err := b.r.Read(p)
	if b.left -= int64(n); b.left < 0 {
		return n - 1, errEndless
	}
	return n, err
}

// handleBroken handles an answer that cannot be forwarded. The request may have run.
func (a *answer) handleBroken(err error) step {
	a.mayHaveRun = true
	a.reportBroken(!a.firstReported, err)
	if errors.Is(context.Cause(a.ctx), conn.ErrSilence) {
		a.exchange.ReportSilence()
	}
	if a.run.ctx.Err() != nil {
		a.s.ctrl.End(a.ticket, endNote(a.r.Context().Err() == nil))
		return a.endUnanswered(unanswered{reason: "no-whole-answer-in-time", timedOut: true, upstream: a.placement.Instance.ID, err: err})
	}
	a.exchange.Close(false) // stops this upstream's work before another goes on
	if next, replaced := a.succeed(wire.ProgressFailed, err); replaced {
		return next
	}
	a.logAttempt(a.placement, "answer-broken", err)
	if a.mayRepeat() {
		return a.retry(wire.ProgressFailed)
	}
	a.s.ctrl.End(a.ticket, wire.ProgressFailed)
	return a.failAfterAttempt(a.placement, err)
}

// plain forwards an answer that is not a stream once it is whole. An answer for which there
// is no room in the buffers is forwarded as it arrives.
func (a *answer) plain(res *http.Response) step {
	a.firstEvent()
	buffered, body, err := a.readWhole(res)
	defer func() { buffered.Release() }()
	if errors.Is(err, memory.ErrFull) {
		return a.passThrough(res, buffered, body)
	}
	if err != nil {
		return a.handleBroken(err)
	}
	a.whole = true
	a.pulse.heard(time.Now())
	note := wire.ProgressDone
	if res.StatusCode >= http.StatusInternalServerError {
		note = wire.ProgressFailed
		if a.route.Kind == routing.Idempotent && a.run.ctx.Err() == nil {
			a.mayHaveRun = true
			a.answeredWhole(res)
			a.keep(keptAnswer{a, res, buffered})
			buffered = nil
			return a.tryElsewhere(note)
		}
	}
	if !a.goesOn(a.attempt) {
		return a.handleBroken(conn.ErrSilence)
	}
	a.answeredWhole(res)
	a.writeWhole(res, buffered)
	a.s.ctrl.End(a.ticket, note)
	a.logAnswered(a.placement, res.StatusCode, a.timeToFirst)
	return stepDone
}

// readWhole reads the body of a plain answer. rest reads what follows where there is no room for it.
func (a *answer) readWhole(res *http.Response) (buffered *memory.Buffer, rest io.Reader, err error) {
	if h := a.ahead; h != nil && h.buffered != nil {
		buffered, h.buffered = h.buffered, nil
		return buffered, h.rest, h.bodyErr
	}
	buffered, rest = a.hold.Buffer(0), bodyOf(res)
	err = buffered.ReadAll(rest)
	return buffered, rest, err
}

// tryElsewhere makes another attempt after a failure of an upstream that is kept, which the caller gets if
// there is no other answer.
func (a *answer) tryElsewhere(note uint8) step {
	cause := "upstream-status: " + strconv.Itoa(a.exchange.Response.StatusCode)
	a.exchange.Close(true)
	if next, replaced := a.succeed(note, errUpstreamStatus); replaced {
		return next
	}
	if a.mayRepeat() {
		a.logAttempt(a.placement, cause, nil)
		return a.retry(note)
	}
	a.s.ctrl.End(a.ticket, note)
	return a.endUnanswered(unanswered{reason: "upstream-failed", upstream: a.placement.Instance.ID})
}

// passThrough forwards an answer as it arrives, after its beginning has been read; rest reads what
// follows. If the answer breaks, the caller's connection is cut so that the answer does not look whole.
func (a *answer) passThrough(res *http.Response, beginning *memory.Buffer, rest io.Reader) step {
	a.silence.stop() // the request can no longer be sent to another upstream
	if !a.goesOn(a.attempt) {
		return a.handleBroken(conn.ErrSilence)
	}
	a.sendHeaders()
	a.copyHeaders(res)
	if res.ContentLength >= 0 {
		a.w.Header().Set("Content-Length", strconv.FormatInt(res.ContentLength, 10))
	}
	a.w.WriteHeader(res.StatusCode)
	err := a.writeBuffered(beginning)
	if err == nil {
		_, err = io.Copy(a.w, rest)
	}
	if err != nil {
		a.reportBroken(false, err)
		a.s.ctrl.End(a.ticket, endNote(a.r.Context().Err() == nil))
		return a.endUnanswered(unanswered{reason: "answer-broken", upstream: a.placement.Instance.ID, err: err})
	}
	a.whole = true
	a.answeredWhole(res)
	a.s.ctrl.End(a.ticket, wire.ProgressDone)
	a.logAnswered(a.placement, res.StatusCode, a.timeToFirst)
	return stepDone
}

// writeBuffered writes what was buffered of an answer to the caller.
func (a *answer) writeBuffered(b *memory.Buffer) error {
	for _, p := range b.Pieces() {
		if _, err := a.w.Write(p); err != nil {
			return err
		}
	}
	return nil
}

// copyHeaders copies the answer's end-to-end headers to the caller's response.
func (a *answer) copyHeaders(res *http.Response) {
	h := a.w.Header()
	copyEndToEnd(h, res.Header)
	if a.closesConn() {
		h.Set("Connection", "close")
	}
}

// firstEvent reports once that the answer has begun.
func (a *answer) firstEvent() {
	if a.firstReported {
		return
	}
	a.firstReported = true
	a.mayHaveRun = true
	a.timeToFirst = time.Since(a.began)
	if a.ahead != nil {
		a.timeToFirst = a.ahead.at.Sub(a.began)
	}
	a.s.count.firstEvent.Update(a.timeToFirst)
	a.s.ctrl.FirstEvent(a.ticket, a.timeToFirst)
}

// streamReaders holds the buffers of streams that have ended.
var streamReaders = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, streamBufferBytes) }}

const streamBufferBytes = 4 << 10

// stream forwards events as they arrive, each once and in order.
func (a *answer) stream(res *http.Response) step {
	rc := http.NewResponseController(a.w)
	gapTimeout := a.eventGapTimeout()
	for {
		e, err := a.nextEvent()
		if errors.Is(err, io.EOF) {
			return a.streamEnded(res)
		}
		if err != nil {
			return a.handleBroken(err)
		}
		if err := a.countFiller(e); err != nil {
			_ = a.flush(rc)
			return a.handleBroken(err)
		}
		if e.Filler != stream.NoFiller && !a.firstReported {
			continue // nothing of it is for the caller yet
		}
		ok, err := a.checkPosition(e)
		if e.Filler != stream.EmptyLine {
			if !a.passOn(e, ok) {
				return a.handleBroken(conn.ErrSilence)
			}
			a.silence.reset(gapTimeout)
			a.pulse.heard(time.Now())
			a.firstEvent()
		}
		switch {
		case err != nil:
			_ = a.flush(rc) // before the stream is resumed, which may take long
			return a.handleBroken(err)
		case ok:
			if e.Filler == stream.NoFiller {
				now := time.Now()
				a.eventRead(now)
				a.reportSurvival(now)
			}
			if err := a.writeEvent(res, e); err != nil {
				return a.callerUnreachable()
			}
			if a.unnumbered {
				a.silence.stop() // the stream can no longer go on elsewhere
			}
		}
		if hasWholeEvent(a.events) {
			continue // flushed together with the next event
		}
		if err := a.flush(rc); err != nil {
			return a.callerUnreachable()
		}
		a.pace.eventWritten(time.Now())
	}
}

// countFiller counts the bytes since the latest event that tell nothing. Comments show that the
// upstream lives, empty lines do not; without end neither is an answer.
func (a *answer) countFiller(e stream.Event) error {
	if e.Filler == stream.NoFiller {
		a.filler = 0
		return nil
	}
	if a.filler += len(e.Raw); a.filler > maxFillerBytes {
		return errFiller
	}
	return nil
}

// hasWholeEvent reports whether a whole event has already been read, so that the next one is
// there without waiting. An overloaded router finds several events at each read, and writes
// them together: a write takes a fifth of what forwarding an event costs.
func hasWholeEvent(br *bufio.Reader) bool {
	if br.Buffered() == 0 {
		return false
	}
	raw, _ := br.Peek(br.Buffered())
	return bytes.Contains(raw, eventEnd) || bytes.Contains(raw, eventEndCRLF)
}

var (
	eventEnd     = []byte("\n\n")
	eventEndCRLF = []byte("\n\r\n")
)

// checkPosition reports whether to forward an event: not if that was done before the stream
// broke. A skipped position is an error.
func (a *answer) checkPosition(e stream.Event) (bool, error) {
	if e.Position == stream.NoPosition {
		return true, nil
	}
	if e.Position <= a.lastPosition {
		return false, nil
	}
	if a.lastPosition > 0 && e.Position != a.lastPosition+1 {
		return false, errSkipped
	}
	return true, nil
}

// writeEvent writes an event to the caller's connection without flushing it.
func (a *answer) writeEvent(res *http.Response, e stream.Event) error {
	if !a.headersSent {
		a.sendHeaders()
		a.copyHeaders(res)
		a.w.WriteHeader(res.StatusCode)
	}
	a.unflushed = true
	_, err := a.w.Write(e.Raw)
	return err
}

// sendHeaders records that the answer's headers are sent to the caller.
func (r *run) sendHeaders() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.headersSent = true
}

// passOn states that the answer goes on with an event, and records its position if it is to be forwarded:
// a second attempt that begins from now on goes on after it. It returns false if the attempt was given up.
func (a *answer) passOn(e stream.Event, forward bool) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.goesOnLocked(a.attempt) {
		return false
	}
	if !forward || e.Filler != stream.NoFiller {
		return true
	}
	a.unnumbered = e.Position == stream.NoPosition
	if !a.unnumbered {
		a.lastPosition = e.Position
		a.run.lastPosition = e.Position
	}
	return true
}

// flush sends the events written since the last flush.
func (a *answer) flush(rc *http.ResponseController) error {
	if !a.unflushed {
		return nil // flushing before the first event would send headers
	}
	a.unflushed = false
	return rc.Flush()
}

// callerUnreachable ends a stream that can no longer be written to the caller.
func (a *answer) callerUnreachable() step {
	a.reportBroken(false, context.Canceled)
	a.s.ctrl.End(a.ticket, wire.ProgressDone)
	return a.endUnanswered(unanswered{reason: "caller-unreachable", upstream: a.placement.Instance.ID})
}

// streamEnded forwards the end of a stream. Without a length or chunked encoding a connection that
// ended with the request's context, or before any event, is a broken stream. Between events the
// end of such a stream cannot be told from one that is broken off.
func (a *answer) streamEnded(res *http.Response) step {
	if isUnframed(res) && a.ctx.Err() != nil {
		return a.handleBroken(a.ctx.Err())
	}
	if !a.goesOn(a.attempt) {
		return a.handleBroken(conn.ErrSilence)
	}
	if isUnframed(res) && !a.firstReported {
		return a.handleBroken(errNoEvent)
	}
	a.whole = true
	a.answeredWhole(res)
	if !a.headersSent {
		a.sendHeaders()
		a.firstEvent()
		a.copyHeaders(res)
		a.w.WriteHeader(res.StatusCode)
	}
	a.reportPace()
	a.s.ctrl.End(a.ticket, wire.ProgressDone)
	a.logAnswered(a.placement, res.StatusCode, a.timeToFirst)
	return stepDone
}

const (
	// eventGapTargetFactor multiplies the route's target for the gap between events.
	eventGapTargetFactor = 4
	// minEventGapTimeout is the shortest silence between events that counts as a failure.
	minEventGapTimeout = 700 * time.Millisecond
)

// eventGapTimeout returns the silence between two events after which a stream is resumed
// at another upstream; 0 is no limit.
func (a *answer) eventGapTimeout() time.Duration {
	if !a.mayRepeat() {
		return 0
	}
	return max(minEventGapTimeout, eventGapTargetFactor*a.route.TargetGap)
}
