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
	maxResumes   = 5
	resumePause  = 100 * time.Millisecond
	streamBuffer = 4 << 10
	eventStream  = "text/event-stream"
)

// passage is an upstream's reply on its way to the caller.
type passage struct {
	*run
	upstream *version.Upstream
	attempt  string
	res      relay.Result
	ctx      context.Context
	stop     context.CancelFunc
	began    time.Time
	next     int64 // position of the next event
	events   int64
	tokens   int64 // from the answer's usage, 0 when it told none
	sent     bool  // the head has gone to the caller
	buf      []byte
}

// deliver passes the reply on. It returns false when the request is to be tried
// again.
func (p *passage) deliver() bool {
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
	p.settle(true)
	p.writeHead(p.res.Response, outcome.Answered, len(raw))
	p.s.count.outcome(outcome.Answered, "")
	p.v.span.SetAttributes(attribute.String("outcome", string(outcome.Answered)))
	_, _ = p.v.w.Write(raw) // the caller may be gone; the answer was whole
	return true
}

// settle ends the slot with the service really received. An answered request
// counts its worth, or its tokens; an unanswered one its tokens alone.
func (p *passage) settle(answered bool) {
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

func (p *passage) sample() wire.Sample {
	s := wire.Sample{N: 1, FirstMS: uint32(p.res.First.Milliseconds())}
	if p.events > 1 {
		s.GapMS = uint32(time.Since(p.began).Milliseconds() / (p.events - 1))
	}
	return s
}

// usage reads the tokens an answer says it cost, or 0.
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

// deliverStream passes events on as they come, resuming at the exact position
// when the upstream's connection ends early. A stream is whole when its final
// event has come; otherwise the caller's connection is aborted, so that no
// client takes a part for the whole.
func (p *passage) deliverStream() bool {
	for resumes := 0; ; resumes++ {
		done, err := p.pump()
		if done {
			p.complete()
			return true
		}
		if p.v.r.Context().Err() != nil {
			return p.callerGone()
		}
		if p.ctx.Err() != nil || resumes >= maxResumes || err == errCaller {
			return p.broken()
		}
		if !p.resume() {
			return p.broken()
		}
	}
}

func (p *passage) complete() {
	p.answeredWhole()
	p.settle(true)
	p.v.w.Header().Set(http.TrailerPrefix+outcome.HeaderOutcome, string(outcome.Answered))
	p.s.count.outcome(outcome.Answered, "")
	p.v.span.SetAttributes(attribute.String("outcome", string(outcome.Answered)))
}

// errCaller is a failure to write to the caller.
var errCaller = io.ErrClosedPipe

// pump passes events until the final one or the connection's end.
func (p *passage) pump() (done bool, err error) {
	br := bufio.NewReaderSize(p.res.Response.Body, streamBuffer)
	body := p.res.Response.Body
	stall := time.AfterFunc(p.s.limits.StallTime, func() { body.Close() })
	defer stall.Stop()
	for {
		e, err := stream.Read(br, p.buf)
		p.buf = e.Raw
		if err != nil {
			return false, err
		}
		stall.Reset(p.s.limits.StallTime)
		pass, err := p.place(e)
		if err != nil {
			return false, err
		}
		if !pass {
			continue
		}
		if err := p.write(e); err != nil {
			return false, errCaller
		}
		if e.Done() {
			return true, nil
		}
	}
}

// place checks an event's position: a repeated one is dropped, a gap ends the
// connection so that the stream is resumed where it broke off.
func (p *passage) place(e stream.Event) (bool, error) {
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

func (p *passage) write(e stream.Event) error {
	if !p.sent {
		p.sent = true
		p.writeHead(p.res.Response, "", -1)
	}
	if _, err := p.v.w.Write(e.Raw); err != nil {
		return err
	}
	if !e.Done() && len(e.Data) > 0 {
		p.count(e.Data)
	}
	return http.NewResponseController(p.v.w).Flush()
}

// count charges as the tokens stream, so that a long answer weighs at once.
func (p *passage) count(data []byte) {
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

// resume opens the stream again at the next position.
func (p *passage) resume() bool {
	p.res.Response.Body.Close()
	p.s.count.resumed.Inc(1)
	select {
	case <-time.After(resumePause):
	case <-p.ctx.Done():
		return false
	}
	r := relay.Resume(p.ctx, p.s.ups, p.upstream, p.attempt, p.call.Organisation, p.next)
	p.notSent(p.upstream, r.Err)
	if r.State != relay.Replied {
		return r.State == relay.NotSent || r.State == relay.InDoubt
	}
	r.First = p.res.First
	p.res = r
	return r.Response.StatusCode == http.StatusOK
}

// callerGone cancels at the upstream; the slot is free when it has confirmed, or
// the bound on that has passed.
func (p *passage) callerGone() bool {
	p.stop()
	p.broke(p.upstream, p.events == 0)
	relay.Cancel(p.s.ups, p.upstream, p.attempt, p.call.Organisation)
	p.settle(false)
	p.s.count.outcome(outcome.Unknown, outcome.ReasonCanceled)
	return true
}

// broken ends a stream that cannot be made whole.
func (p *passage) broken() bool {
	p.stop()
	relay.Cancel(p.s.ups, p.upstream, p.attempt, p.call.Organisation)
	if !p.sent {
		return p.failed(p.upstream, p.attempt, relay.Result{State: relay.InDoubt})
	}
	p.broke(p.upstream, p.events == 0)
	p.settle(false)
	p.s.count.outcome(outcome.Unknown, outcome.ReasonBroken)
	p.v.span.SetAttributes(attribute.String("outcome", string(outcome.Unknown)))
	panic(http.ErrAbortHandler) // net/http's way to break a connection visibly
}
