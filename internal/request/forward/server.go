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

// Server answers callers of the routed interface. It may be used by any
// goroutine.
type Server struct {
	ctl     Control
	ups     *conn.Exchanges
	names   Dialect
	most    int // requests at once
	answers heldBytes
	open    atomic.Int64
	door    *door
	looks   *looks
	count   counters
	lines   *reqLog
	key     *fingerprint.Key
	clock   *clock.Clock
	tracer  trace.Tracer
}

// NewServer returns the handler's state. It knows requests again by fingerprints of the
// key.
func NewServer(ctl Control, ups *conn.Exchanges, names Dialect, key *fingerprint.Key, most Bounds, reg metrics.Registry, log zerolog.Logger) *Server {
	s := &Server{ctl: ctl, ups: ups, names: names, key: key, clock: clock.System, most: most.Requests, answers: heldBytes{most: most.Answers}, door: newDoor(), count: newCounters(reg), lines: newReqLog(log), tracer: otel.Tracer("silverswitch")}
	s.looks = newLooks(ups, names, s.clock)
	ups.OnResponse = s.heard
	ups.OnOpen = func() { s.count.opened.Inc(1) }
	ups.OnSilence = func(addr string, dropped int) {
		log.Info().Str("address", addr).Int("closed", dropped).Msg("kept-connection-silent")
	}
	return s
}

// visit is one request between its headers and its outcome.
type visit struct {
	s        *Server
	w        http.ResponseWriter
	r        *http.Request
	id       string
	arrived  time.Time
	table    *routing.Table
	route    *routing.Route
	service  string // of the route's split, drawn once
	org      string
	priority int
	regions  routing.Regions
	body     []byte
	deadline time.Time
	prompt   prompt
	print    *fingerprint.Fingerprint // once it was needed
}

// fingerprint returns the name of the request's content. It costs 24 us for a body of
// 40 KB (BenchmarkFingerprint), so it is computed when it is needed first. The body must
// have been read.
func (v *visit) fingerprint() fingerprint.Fingerprint {
	if v.print == nil {
		f := v.s.key.Of(fingerprint.Content{
			Organisation: v.org,
			Method:       v.r.Method,
			Host:         v.r.Host,
			Target:       v.r.RequestURI,
			Body:         v.body,
		})
		v.print = &f
	}
	return *v.print
}

// comeBackStarting is when a caller should return to a router that has no table.
const comeBackStarting = 500 * time.Millisecond

// ServeHTTP decides from the headers, reads the body within its bounds, and runs
// the request.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.count.arrived.Inc(1)
	ctx := otel.GetTextMapPropagator().Extract(r.Context(), propagation.HeaderCarrier(r.Header))
	ctx, span := s.tracer.Start(ctx, "entry", trace.WithSpanKind(trace.SpanKindServer))
	defer span.End()
	v := &visit{s: s, w: w, r: r.WithContext(ctx), id: r.Header.Get(s.names.RequestID), arrived: s.clock.Now()}
	v.boundWrites(v.arrived.Add(refusalWrite))
	defer s.open.Add(-1)
	full := s.open.Add(1) > int64(s.most)
	if f := v.admit(); f != nil {
		v.fail(*f)
		return
	}
	if full || s.door.refuses(v.org, s.ctl.Excess(), s.ctl.Covered(v.service, v.org), v.arrived) {
		v.turnAway()
		return
	}
	if f := v.readBody(); f != nil {
		v.fail(*f)
		return
	}
	v.run()
}

// turnAway refuses a request for want of processor. Its work still counts as asked
// for, so that its organisation's share is not cut for having come in here.
func (v *visit) turnAway() {
	v.s.count.shed.Inc(1)
	v.s.ctl.TurnedAway(dispatch.TurnedWork{
		Service: v.service,
		Org:     v.org,
		Tokens:  dispatch.Cost(v.prompt.input, v.prompt.output),
	})
	v.fail(notRun("router-overloaded", comeBackElsewhere))
}

// admit decides from the headers alone.
func (v *visit) admit() *failure {
	v.table = v.s.ctl.Table()
	if v.table == nil {
		return &failure{status: http.StatusServiceUnavailable, reason: "no-configuration", after: comeBackStarting}
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
	v.deadline = v.arrived.Add(v.s.names.deadline(v.r.Header, v.route.Timeout))
	v.prompt = v.s.names.readPrompt(v.r.Header)
	return nil
}

// readBody reads the content whole: it may be needed for a second upstream.
func (v *visit) readBody() *failure {
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
	// refusalWrite is how long writing an answer may take that is known at once.
	refusalWrite = 5 * time.Second
	// answerWrite is how long after a request's deadline the rest of its answer may
	// take to be written.
	answerWrite = 2 * time.Second
)

// boundWrites bounds the writes to the caller, so that a caller's connection that
// has gone silent holds nothing for ever. It must be set anew for each request.
func (v *visit) boundWrites(until time.Time) {
	_ = http.NewResponseController(v.w).SetWriteDeadline(v.s.clock.Monotonic(until)) // not supported by test recorders
}

// run asks where the request runs and carries it through its attempts.
func (v *visit) run() {
	if f := v.held(); f != nil {
		v.fail(*f)
		return
	}
	v.boundWrites(v.deadline.Add(answerWrite))
	ctx, stop := v.s.clock.WithDeadline(v.r.Context(), v.deadline)
	defer stop()
	t := v.s.ctl.Submit(dispatch.Request{
		Service:  v.service,
		Org:      v.org,
		Input:    v.prompt.input,
		Output:   v.prompt.output,
		Parts:    v.prompt.parts,
		Priority: v.priority,
		Aim:      v.arrived.Add(v.route.TargetLatency),
		Deadline: v.deadline,
		Regions:  v.regions,
	})
	r := &run{visit: v, ctx: ctx, ticket: t, last: lastEvent(v.r.Header)}
	r.loop()
}
