package request

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strings"
	"time"

	"go.opentelemetry.io/otel/attribute"

	"github.com/silverswitch/silverswitch/internal/conn"
	"github.com/silverswitch/silverswitch/internal/core/wire"
	"github.com/silverswitch/silverswitch/internal/memory"
	"github.com/silverswitch/silverswitch/internal/request/outcome"
	"github.com/silverswitch/silverswitch/internal/request/relay"
	"github.com/silverswitch/silverswitch/internal/request/stream"
	"github.com/silverswitch/silverswitch/internal/version"
)

const (
	maxResumes        = 5
	resumeDelay       = 100 * time.Millisecond
	streamBufferBytes = 4 << 10
	eventStream       = "text/event-stream"
)

// answer is an upstream's reply while it is forwarded to the caller.
type answer struct {
	*run
	upstream   *version.Upstream
	attempt    string
	res        relay.Result
	ctx        context.Context
	stop       context.CancelFunc
	began      time.Time
	next       int64 // position of the next event
	events     int64
	tokens     int64 // from the answer's usage field, 0 if it has none
	headerSent bool  // to the caller
	unnumbered bool  // events without a position were forwarded after the last one with one
}

// deliver forwards the reply. It returns false if the request is to be tried again.
func (a *answer) deliver() bool {
	defer func() { a.res.Response.Body.Close() }()
	if a.streams && strings.HasPrefix(a.res.Response.Header.Get("Content-Type"), eventStream) {
		return a.deliverStream()
	}
	buffered := a.v.hold.Buffer(0)
	defer buffered.Release()
	err := readWhole(a.res.Response, a.s.limits.Answer, buffered)
	if errors.Is(err, memory.ErrFull) {
		return a.passThrough(buffered)
	}
	if err != nil {
		return a.failed(a.upstream, a.attempt, relay.Result{State: relay.InDoubt, Err: err})
	}
	a.tokens = usage(buffered.Pieces())
	a.answeredWhole()
	a.finishWithUsage(true)
	a.writeHeader(a.res.Response, outcome.Answered, buffered.Len())
	a.recordAnswered()
	_ = a.writeBuffered(buffered) // the caller may be gone; the answer was whole
	return true
}

func (a *answer) recordAnswered() {
	a.s.count.outcome(outcome.Answered, "")
	a.v.span.SetAttributes(attribute.String("outcome", string(outcome.Answered)))
}

// passThrough forwards an answer as it arrives, after its beginning has been read: there is no
// memory to buffer it. If it breaks or exceeds the limit, the caller's connection is aborted.
func (a *answer) passThrough(beginning *memory.Buffer) bool {
	length := int(a.res.Response.ContentLength)
	a.headerSent = true
	a.writeHeader(a.res.Response, outcome.Answered, length)
	left := a.s.limits.Answer - int64(beginning.Len())
	err := a.writeBuffered(beginning)
	if err == nil {
		err = copyWhole(a.v.w, a.res.Response.Body, left)
	}
	if err != nil {
		return a.failStream()
	}
	a.answeredWhole()
	a.finishWithUsage(true)
	a.recordAnswered()
	return true
}

// copyWhole copies an answer of at most limit bytes.
func copyWhole(w io.Writer, r io.Reader, limit int64) error {
	n, err := io.Copy(w, io.LimitReader(r, limit+1))
	if err == nil && n > limit {
		return io.ErrShortBuffer
	}
	return err
}

// writeBuffered writes what was buffered of an answer to the caller.
func (a *answer) writeBuffered(b *memory.Buffer) error {
	for _, p := range b.Pieces() {
		if _, err := a.v.w.Write(p); err != nil {
			return err
		}
	}
	return nil
}

// finishWithUsage releases the slot and records the service received, in the application's
// unit: tokens, or the application's worth per answered request (an unanswered one counts
// nothing).
func (a *answer) finishWithUsage(answered bool) {
	tokens := float64(max(a.tokens, a.events))
	if a.app.Unit == version.UnitAnswered {
		tokens = 0
		if answered {
			tokens = a.app.Worth
		}
	}
	a.ticket.SetUnits(tokens)
	a.finish(a.sample(), answered)
}

func (a *answer) sample() wire.Sample {
	s := wire.Sample{N: 1, FirstMS: uint32(a.res.TimeToHeader.Milliseconds())}
	if a.events > 1 {
		s.GapMS = uint32(time.Since(a.began).Milliseconds() / (a.events - 1))
	}
	return s
}

// usage returns the completion tokens that an answer in pieces states, or 0.
func usage(pieces [][]byte) int64 {
	raw := bytes.Join(pieces, nil)

	var u struct {
		Usage struct {
			Tokens int64 `json:"completion_tokens"`
		} `json:"usage"`
	}
	if json.Unmarshal(raw, &u) != nil || u.Usage.Tokens < 0 {
		return 0
	}
	return u.Usage.Tokens
}

// deliverStream forwards events as they arrive, and resumes at the exact position if the
// upstream's connection ends early, unless events without a position came last. A stream is whole
// when its final event has arrived.
// Otherwise the caller's connection is aborted, so that no client takes a part of the answer
// for the whole.
func (a *answer) deliverStream() bool {
	for resumes := 0; ; resumes++ {
		done, err := a.copyEvents()
		if done {
			a.complete()
			return true
		}
		if a.v.r.Context().Err() != nil {
			return a.callerGone()
		}
		if a.ctx.Err() != nil || resumes >= maxResumes || err == errCallerGone || a.unnumbered {
			return a.failStream()
		}
		if !a.resume() {
			return a.failStream()
		}
	}
}

// complete ends a stream that was forwarded whole. The outcome is sent as a trailer.
func (a *answer) complete() {
	a.answeredWhole()
	a.finishWithUsage(true)
	a.v.w.Header().Set(http.TrailerPrefix+outcome.HeaderOutcome, string(outcome.Answered))
	a.s.count.outcome(outcome.Answered, "")
	a.v.span.SetAttributes(attribute.String("outcome", string(outcome.Answered)))
}

// errCallerGone is a failure to write to the caller.
var errCallerGone = io.ErrClosedPipe

// copyEvents forwards events until the final one or the end of the connection.
func (a *answer) copyEvents() (done bool, err error) {
	body := a.res.Response.Body
	events := stream.NewReader(bufio.NewReaderSize(body, streamBufferBytes), a.v.hold.Block())
	defer events.Close()
	stall := time.AfterFunc(a.s.limits.StallTimeout, func() { body.Close() })
	defer stall.Stop()
	for {
		e, err := events.Next()
		if errors.Is(err, stream.ErrNoMemory) {
			a.s.count.eventsRefused.Inc(1)
		}
		if err != nil {
			return false, err
		}
		stall.Reset(a.s.limits.StallTimeout)
		pass, err := a.checkPosition(e)
		if err != nil {
			return false, err
		}
		if !pass {
			continue
		}
		if err := a.writeEvent(e); err != nil {
			return false, errCallerGone
		}
		if e.Done() {
			return true, nil
		}
	}
}

// checkPosition reports whether to forward an event. A repeated event is dropped. A gap is
// an error, after which the stream is resumed at the missing position.
func (a *answer) checkPosition(e stream.Event) (bool, error) {
	if e.Position == stream.NoPosition {
		return true, nil
	}
	if e.Position < a.next {
		a.s.count.repeated.Inc(1)
		return false, nil
	}
	if e.Position > a.next {
		return false, stream.ErrEvent.New("position %d where %d was due", e.Position, a.next)
	}
	a.next++
	return true, nil
}

func (a *answer) writeEvent(e stream.Event) error {
	if !a.headerSent {
		a.headerSent = true
		a.writeHeader(a.res.Response, "", -1)
	}
	if e.Filler == stream.NoFiller {
		a.unnumbered = e.Position == stream.NoPosition
	}
	if _, err := a.v.w.Write(e.Raw); err != nil {
		return err
	}
	if !e.Done() && len(e.Data) > 0 {
		a.countTokens(e.Data)
	}
	return http.NewResponseController(a.v.w).Flush()
}

// countTokens updates the service received with each event, so that a long answer counts
// while it is still running.
func (a *answer) countTokens(data []byte) {
	if strings.Contains(string(data), `"usage"`) {
		if n := usage([][]byte{data}); n > 0 {
			a.tokens = n
			return
		}
	}
	a.events++
	if a.app.Unit == version.UnitTokens {
		a.ticket.SetUnits(float64(a.events))
	}
}

// resume reopens the stream at the next position. It returns false if the stream cannot be
// resumed. If the upstream does not reply it returns true: the old body is closed, so the
// next read fails and resume is called again, up to maxResumes times.
func (a *answer) resume() bool {
	a.res.Response.Body.Close()
	a.s.count.resumed.Inc(1)
	select {
	case <-time.After(resumeDelay):
	case <-a.ctx.Done():
		return false
	}
	r := relay.Resume(a.ctx, a.s.upstreams, a.upstream, a.attempt, a.call.Organisation, a.next)
	a.reportRefusedConnection(a.upstream, r.Err)
	if r.State != relay.Replied {
		return r.State == relay.NotSent || r.State == relay.InDoubt
	}
	r.TimeToHeader = a.res.TimeToHeader
	a.res = r
	return r.Response.StatusCode == http.StatusOK
}

// callerGone cancels the request at the upstream. The slot is released once the upstream
// has confirmed that, or relay.Cancel has timed out. The answer is cut, as the caller may have closed
// only its direction.
func (a *answer) callerGone() bool {
	a.stop()
	a.reportBrokenAttempt(a.upstream, a.events == 0)
	relay.Cancel(a.s.upstreams, a.upstream, a.attempt, a.call.Organisation)
	a.finishWithUsage(false)
	a.s.count.outcome(outcome.Unknown, outcome.ReasonCanceled)
	conn.CutCaller(a.v.w, a.v.r)
	return true
}

// failStream ends a stream that cannot be completed.
func (a *answer) failStream() bool {
	a.stop()
	a.cancelUpstream(a.upstream, a.attempt)
	if !a.headerSent {
		return a.failed(a.upstream, a.attempt, relay.Result{State: relay.InDoubt})
	}
	a.reportBrokenAttempt(a.upstream, a.events == 0)
	a.finishWithUsage(false)
	a.s.count.outcome(outcome.Unknown, outcome.ReasonBroken)
	a.v.span.SetAttributes(attribute.String("outcome", string(outcome.Unknown)))
	conn.CutCaller(a.v.w, a.v.r) // the stream must not look whole
	return true
}
