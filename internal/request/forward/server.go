package forward

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	"github.com/silverswitch/silverswitch/internal/clock"
	"github.com/silverswitch/silverswitch/internal/conn"
	"github.com/silverswitch/silverswitch/internal/dispatch"
	"github.com/silverswitch/silverswitch/internal/fingerprint"
	"github.com/silverswitch/silverswitch/internal/routing"
)

// Server is the HTTP handler of the routed interface. It is safe for concurrent use.
type Server struct {
	ctrl          Control
	exchanges     *conn.Exchanges
	dialect       Dialect
	limit         int // concurrent requests
	buffers       answerBuffers
	open          atomic.Int64
	loadShedder   *loadShedder
	healthChecker *healthChecker
	count         counters
	reqLog        *requestLog
	key           *fingerprint.Key
	clock         *clock.Clock
	tracer        trace.Tracer
}

// NewServer returns a Server. It identifies repeated requests by fingerprints made with
// the key.
func NewServer(ctl Control, exchanges *conn.Exchanges, dialect Dialect, key *fingerprint.Key, limit Limits, reg metrics.Registry, log zerolog.Logger) *Server {
	s := &Server{ctrl: ctl, exchanges: exchanges, dialect: dialect, key: key, clock: clock.System, limit: limit.MaxRequests, buffers: answerBuffers{limit: limit.MaxAnswerBytes}, loadShedder: newLoadShedder(), count: newCounters(reg), reqLog: newRequestLog(log), tracer: otel.Tracer("silverswitch")}
	s.healthChecker = newHealthChecker(exchanges, dialect, s.clock)
	exchanges.OnResponse = s.handleNotice
	exchanges.OnOpen = func() { s.count.opened.Inc(1) }
	exchanges.OnSilence = func(addr string, dropped int) {
		log.Info().Str("address", addr).Int("closed", dropped).Msg("kept-connection-silent")
	}
	return s
}

// callerRequest is one request, from its headers to its outcome.
type callerRequest struct {
	s                 *Server
	w                 http.ResponseWriter
	r                 *http.Request
	id                string
	arrived           time.Time
	table             *routing.Table
	route             *routing.Route
	service           string // drawn once from the route's traffic split
	org               string
	priority          int
	regions           routing.Regions
	body              []byte
	deadline          time.Time
	prompt            prompt
	cachedFingerprint *fingerprint.Fingerprint // computed on first use
}

// fingerprint returns the fingerprint of the request's content. The body must have been
// read. It is computed on first use, as it takes 24 us for a body of 40 KB.
func (v *callerRequest) fingerprint() fingerprint.Fingerprint {
	if v.cachedFingerprint == nil {
		f := v.s.key.Of(fingerprint.Content{
			Organisation: v.org,
			Method:       v.r.Method,
			Host:         v.r.Host,
			Target:       v.r.RequestURI,
			Body:         v.body,
		})
		v.cachedFingerprint = &f
	}
	return *v.cachedFingerprint
}

// startingRetryDelay is the Retry-After of a router that has no routing table yet.
const startingRetryDelay = 500 * time.Millisecond

// ServeHTTP decides from the headers whether to accept the request, reads its body within
// the limits of size and time, and runs it.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.count.arrived.Inc(1)
	ctx := otel.GetTextMapPropagator().Extract(r.Context(), propagation.HeaderCarrier(r.Header))
	ctx, span := s.tracer.Start(ctx, "entry", trace.WithSpanKind(trace.SpanKindServer))
	defer span.End()
	v := &callerRequest{s: s, w: w, r: r.WithContext(ctx), id: r.Header.Get(s.dialect.RequestID), arrived: s.clock.Now()}
	v.setWriteDeadline(v.arrived.Add(refusalWriteTimeout))
	defer s.open.Add(-1)
	full := s.open.Add(1) > int64(s.limit)
	if f := v.admit(); f != nil {
		v.fail(*f)
		return
	}
	if full || s.loadShedder.refuses(v.org, s.ctrl.ShedRatio(), s.ctrl.AdmitRatio(v.service, v.org), v.arrived) {
		v.shedRequest()
		return
	}
	if f := v.readBody(); f != nil {
		v.fail(*f)
		return
	}
	v.run()
}

// shedRequest refuses a request because this router is overloaded. Its work is still
// counted as demand, so that the organisation's share does not shrink because its requests
// arrived at this router.
func (v *callerRequest) shedRequest() {
	v.s.count.shed.Inc(1)
	v.s.ctrl.RequestShed(dispatch.ShedWork{
		Service: v.service,
		Org:     v.org,
		Tokens:  dispatch.Cost(v.prompt.input, v.prompt.output),
	})
	v.fail(notRun("router-overloaded", shedRetryDelay))
}

// admit finds the route, organisation and deadline of the request. It returns a failure if
// the headers alone rule the request out.
func (v *callerRequest) admit() *failure {
	v.table = v.s.ctrl.Table()
	if v.table == nil {
		return &failure{status: http.StatusServiceUnavailable, reason: "no-configuration", retryAfter: startingRetryDelay}
	}
	v.route = v.table.Match(v.r.Host, v.r.URL.Path)
	if v.route == nil {
		return &failure{status: http.StatusNotFound, reason: "no-route"}
	}
	v.service = v.route.Pick(rand.Float64())
	v.priority = v.route.Priority
	v.regions = v.route.Regions
	if v.table.RequiresAPIKey() && !v.route.Public {
		key, bearer := strings.CutPrefix(v.r.Header.Get("Authorization"), "Bearer ")
		org := v.table.ByAPIKey(strings.TrimSpace(key))
		if !bearer || org == nil {
			return &failure{status: http.StatusUnauthorized, reason: "unknown-api-key"}
		}
		v.org = org.Name
		if org.Priority != nil {
			v.priority = *org.Priority
		}
		v.regions = v.regions.Intersect(org.Regions)
	}
	v.deadline = v.arrived.Add(v.s.dialect.deadline(v.r.Header, v.route.Timeout))
	v.prompt = v.s.dialect.readPrompt(v.r.Header)
	return nil
}

// readBody reads the whole body, as it may have to be sent to a second upstream.
func (v *callerRequest) readBody() *failure {
	if v.r.Body == nil || v.r.Body == http.NoBody {
		return nil
	}
	limit := v.table.Limits.BodyBytes
	if v.r.ContentLength > limit {
		v.w.Header().Set("Connection", "close")
		return &failure{status: http.StatusRequestEntityTooLarge, reason: "body-too-large"}
	}
	rc := http.NewResponseController(v.w)
	_ = rc.SetReadDeadline(v.s.clock.Monotonic(v.deadline)) // not supported by test recorders
	raw, err := readSized(http.MaxBytesReader(v.w, v.r.Body, limit), v.r.ContentLength)
	if err == nil {
		_ = rc.SetReadDeadline(time.Time{})
		v.body = raw
		return nil
	}
	v.w.Header().Set("Connection", "close")
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return &failure{status: http.StatusRequestEntityTooLarge, reason: "body-too-large"}
	}
	if errors.Is(err, context.DeadlineExceeded) || strings.Contains(err.Error(), "timeout") {
		return &failure{status: http.StatusRequestTimeout, reason: "body-too-slow"}
	}
	return &failure{status: http.StatusBadRequest, reason: "body-broken", err: err}
}

func readSized(r io.Reader, size int64) ([]byte, error) {
	if size <= 0 {
		return io.ReadAll(r)
	}
	raw := make([]byte, size)
	_, err := io.ReadFull(r, raw)
	return raw, err
}

const (
	// refusalWriteTimeout bounds the time from a request's arrival until the refusal is
	// written, for requests refused without being run.
	refusalWriteTimeout = 5 * time.Second
	// answerWriteGrace is the time after a request's deadline within which the rest of its
	// answer must be written.
	answerWriteGrace = 2 * time.Second
)

// setWriteDeadline bounds writes to the caller, so that a dead connection does not hold
// resources for ever. The deadline applies to the connection, so each request must set it.
func (v *callerRequest) setWriteDeadline(until time.Time) {
	_ = http.NewResponseController(v.w).SetWriteDeadline(v.s.clock.Monotonic(until)) // not supported by test recorders
}

// run submits the request for placement and executes its attempts.
func (v *callerRequest) run() {
	if f := v.quarantined(); f != nil {
		v.fail(*f)
		return
	}
	v.setWriteDeadline(v.deadline.Add(answerWriteGrace))
	ctx, stop := v.s.clock.WithDeadline(v.r.Context(), v.deadline)
	defer stop()
	t := v.s.ctrl.Submit(dispatch.Request{
		Service:    v.service,
		Org:        v.org,
		Input:      v.prompt.input,
		Output:     v.prompt.output,
		Parts:      v.prompt.parts,
		Priority:   v.priority,
		TargetTime: v.arrived.Add(v.route.TargetLatency),
		Deadline:   v.deadline,
		Regions:    v.regions,
	})
	r := &run{callerRequest: v, ctx: ctx, ticket: t, lastPosition: parseLastEventID(v.r.Header)}
	r.loop()
}
