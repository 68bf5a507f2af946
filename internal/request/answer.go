package request

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"go.opentelemetry.io/otel/attribute"

	"github.com/silverswitch/silverswitch/internal/core/wire"
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
	buf        []byte
}

// deliver forwards the reply. It returns false if the request is to be tried again.
func (p *answer) deliver() bool {
	defer func() { p.res.Response.Body.Close() }()
	if p.streams && strings.HasPrefix(p.res.Response.Header.Get("Content-Type"), eventStream) {
		return p.deliverStream()
	}
	raw, err := readWhole(p.res.Response, p.s.limits.Answer)
	if err != nil {
		return p.failed(p.upstream, p.attempt, relay.Result{State: relay.InDoubt, Err: err})
	}
	p.tokens = usage(raw)
	p.answeredWhole()
	p.finishWithUsage(true)
	p.writeHeader(p.res.Response, outcome.Answered, len(raw))
	p.s.count.outcome(outcome.Answered, "")
	p.v.span.SetAttributes(attribute.String("outcome", string(outcome.Answered)))
	_, _ = p.v.w.Write(raw) // the caller may be gone; the answer was whole
	return true
}

// finishWithUsage releases the slot and records the service received, in the application's
// unit: tokens, or the application's worth per answered request (an unanswered one counts
// nothing).
func (p *answer) finishWithUsage(answered bool) {
	tokens := float64(max(p.tokens, p.events))
	if p.app.Unit == version.UnitAnswered {
		tokens = 0
		if answered {
			tokens = p.app.Worth
		}
	}
	p.ticket.SetUnits(tokens)
	p.finish(p.sample(), answered)
}

func (p *answer) sample() wire.Sample {
	s := wire.Sample{N: 1, FirstMS: uint32(p.res.TimeToHeader.Milliseconds())}
	if p.events > 1 {
		s.GapMS = uint32(time.Since(p.began).Milliseconds() / (p.events - 1))
	}
	return s
}

// usage returns the completion tokens that an answer states, or 0.
func usage(raw []byte) int64 {
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
// upstream's connection ends early. A stream is whole when its final event has arrived.
// Otherwise the caller's connection is aborted, so that no client takes a part of the answer
// for the whole.
func (p *answer) deliverStream() bool {
	for resumes := 0; ; resumes++ {
		done, err := p.copyEvents()
		if done {
			p.complete()
			return true
		}
		if p.v.r.Context().Err() != nil {
			return p.callerGone()
		}
		if p.ctx.Err() != nil || resumes >= maxResumes || err == errCallerGone {
			return p.failStream()
		}
		if !p.resume() {
			return p.failStream()
		}
	}
}

// complete ends a stream that was forwarded whole. The outcome is sent as a trailer.
func (p *answer) complete() {
	p.answeredWhole()
	p.finishWithUsage(true)
	p.v.w.Header().Set(http.TrailerPrefix+outcome.HeaderOutcome, string(outcome.Answered))
	p.s.count.outcome(outcome.Answered, "")
	p.v.span.SetAttributes(attribute.String("outcome", string(outcome.Answered)))
}

// errCallerGone is a failure to write to the caller.
var errCallerGone = io.ErrClosedPipe

// copyEvents forwards events until the final one or the end of the connection.
func (p *answer) copyEvents() (done bool, err error) {
	br := bufio.NewReaderSize(p.res.Response.Body, streamBufferBytes)
	body := p.res.Response.Body
	stall := time.AfterFunc(p.s.limits.StallTimeout, func() { body.Close() })
	defer stall.Stop()
	for {
		e, err := stream.Read(br, p.buf)
		p.buf = e.Raw
		if err != nil {
			return false, err
		}
		stall.Reset(p.s.limits.StallTimeout)
		pass, err := p.checkPosition(e)
		if err != nil {
			return false, err
		}
		if !pass {
			continue
		}
		if err := p.writeEvent(e); err != nil {
			return false, errCallerGone
		}
		if e.Done() {
			return true, nil
		}
	}
}

// checkPosition reports whether to forward an event. A repeated event is dropped. A gap is
// an error, after which the stream is resumed at the missing position.
func (p *answer) checkPosition(e stream.Event) (bool, error) {
	if e.Position == stream.NoPosition {
		return true, nil
	}
	if e.Position < p.next {
		p.s.count.repeated.Inc(1)
		return false, nil
	}
	if e.Position > p.next {
		return false, stream.ErrEvent.New("position %d where %d was due", e.Position, p.next)
	}
	p.next++
	return true, nil
}

func (p *answer) writeEvent(e stream.Event) error {
	if !p.headerSent {
		p.headerSent = true
		p.writeHeader(p.res.Response, "", -1)
	}
	if _, err := p.v.w.Write(e.Raw); err != nil {
		return err
	}
	if !e.Done() && len(e.Data) > 0 {
		p.countTokens(e.Data)
	}
	return http.NewResponseController(p.v.w).Flush()
}

// countTokens updates the service received with each event, so that a long answer counts
// while it is still running.
func (p *answer) countTokens(data []byte) {
	if strings.Contains(string(data), `"usage"`) {
		if n := usage(data); n > 0 {
			p.tokens = n
			return
		}
	}
	p.events++
	if p.app.Unit == version.UnitTokens {
		p.ticket.SetUnits(float64(p.events))
	}
}

// resume reopens the stream at the next position. It returns false if the stream cannot be
// resumed. If the upstream does not reply it returns true: the old body is closed, so the
// next read fails and resume is called again, up to maxResumes times.
func (p *answer) resume() bool {
	p.res.Response.Body.Close()
	p.s.count.resumed.Inc(1)
	select {
	case <-time.After(resumeDelay):
	case <-p.ctx.Done():
		return false
	}
	r := relay.Resume(p.ctx, p.s.upstreams, p.upstream, p.attempt, p.call.Organisation, p.next)
	p.reportRefusedConnection(p.upstream, r.Err)
	if r.State != relay.Replied {
		return r.State == relay.NotSent || r.State == relay.InDoubt
	}
	r.TimeToHeader = p.res.TimeToHeader
	p.res = r
	return r.Response.StatusCode == http.StatusOK
}

// callerGone cancels the request at the upstream. The slot is released once the upstream
// has confirmed that, or relay.Cancel has timed out.
func (p *answer) callerGone() bool {
	p.stop()
	p.reportBrokenAttempt(p.upstream, p.events == 0)
	relay.Cancel(p.s.upstreams, p.upstream, p.attempt, p.call.Organisation)
	p.finishWithUsage(false)
	p.s.count.outcome(outcome.Unknown, outcome.ReasonCanceled)
	return true
}

// failStream ends a stream that cannot be completed.
func (p *answer) failStream() bool {
	p.stop()
	relay.Cancel(p.s.upstreams, p.upstream, p.attempt, p.call.Organisation)
	if !p.headerSent {
		return p.failed(p.upstream, p.attempt, relay.Result{State: relay.InDoubt})
	}
	p.reportBrokenAttempt(p.upstream, p.events == 0)
	p.finishWithUsage(false)
	p.s.count.outcome(outcome.Unknown, outcome.ReasonBroken)
	p.v.span.SetAttributes(attribute.String("outcome", string(outcome.Unknown)))
	panic(http.ErrAbortHandler) // makes net/http abort the connection, which the caller sees
}
