package request

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/url"
	"sort"
	"strings"
	"time"

	"github.com/gorilla/mux"
	"github.com/rcrowley/go-metrics"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	"github.com/silverswitch/silverswitch/internal/clock"
	"github.com/silverswitch/silverswitch/internal/conn"
	"github.com/silverswitch/silverswitch/internal/core/claim"
	"github.com/silverswitch/silverswitch/internal/core/entry"
	"github.com/silverswitch/silverswitch/internal/fingerprint"
	"github.com/silverswitch/silverswitch/internal/memory"
	"github.com/silverswitch/silverswitch/internal/request/caller"
	"github.com/silverswitch/silverswitch/internal/request/outcome"
	"github.com/silverswitch/silverswitch/internal/request/relay"
	"github.com/silverswitch/silverswitch/internal/version"
)

// Limits bound what callers may send and what upstreams may answer.
type Limits struct {
	Body         int64         // bytes of one request body
	Answer       int64         // bytes of one answer that is not a stream
	BodyTimeout  time.Duration // for receiving the whole body
	StallTimeout time.Duration // longest gap between two events of an upstream's stream
}

// DefaultLimits allow for syllabi of a few hundred pages.
var DefaultLimits = Limits{
	Body:         4 << 20,
	Answer:       16 << 20,
	BodyTimeout:  20 * time.Second,
	StallTimeout: 30 * time.Second,
}

// Server handles callers' requests. It is safe for concurrent use.
type Server struct {
	ctrl           Control
	upstreams      *conn.Upstreams
	limits         Limits
	memory         *memory.Account
	budget         *retryBudget
	count          counters
	clock          *clock.Clock
	fingerprintKey *fingerprint.Key
	tracer         trace.Tracer
	over           context.Context // ends with the grace of a planned stop
	tell           context.CancelFunc
}

// NewServer returns a Server. It identifies repeated requests by fingerprints made with the
// key, and keeps what they hold within the memory account.
func NewServer(ctrl Control, upstreams *conn.Upstreams, fingerprints *fingerprint.Key, limits Limits, account *memory.Account, reg metrics.Registry) *Server {
	s := &Server{
		ctrl:           ctrl,
		upstreams:      upstreams,
		limits:         limits,
		memory:         account,
		budget:         newRetryBudget(),
		count:          newCounters(reg),
		clock:          clock.System,
		fingerprintKey: fingerprints,
		tracer:         otel.Tracer("silverswitch"),
	}
	s.over, s.tell = context.WithCancel(context.Background())
	return s
}

// Handler returns the HTTP routes for callers.
func (s *Server) Handler() http.Handler {
	r := mux.NewRouter().UseEncodedPath()
	r.HandleFunc("/v1/chat/completions", s.withOrganisation(s.completion)).Methods(http.MethodPost)
	r.HandleFunc("/v1/models", s.withOrganisation(s.models)).Methods(http.MethodGet)
	r.PathPrefix("/v1/apps/{app}/").HandlerFunc(s.withOrganisation(s.plain))
	r.NotFoundHandler = http.HandlerFunc(s.notFound)
	r.MethodNotAllowedHandler = http.HandlerFunc(s.notFound)
	return r
}

func (s *Server) notFound(w http.ResponseWriter, r *http.Request) {
	boundRestOfBody(w, r)
	s.writeFailure(w, caller.RequestID(r), outcome.BadRequest(http.StatusNotFound, outcome.ReasonPath,
		"allowed: POST /v1/chat/completions, GET /v1/models, /v1/apps/{application}/{path}"))
}

// callerRequest is one request, from its headers to its outcome.
type callerRequest struct {
	w            http.ResponseWriter
	r            *http.Request
	ver          *version.Version
	org          *version.Organisation
	terms        caller.Terms
	hold         memory.Hold
	span         trace.Span
	keyUndecided bool // an idempotency key was given and the witnesses have not decided on it
}

// withOrganisation authenticates the caller and calls next if the request may run at this
// router. It decides from the headers alone: the organisation, whether this router is in a
// place that the organisation allows, and the terms of the request.
func (s *Server) withOrganisation(next func(*callerRequest)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.count.arrived.Inc(1)
		ctx := otel.GetTextMapPropagator().Extract(r.Context(), propagation.HeaderCarrier(r.Header))
		ctx, span := s.tracer.Start(ctx, "entry", trace.WithSpanKind(trace.SpanKindServer))
		defer span.End()
		v := &callerRequest{w: w, r: r.WithContext(ctx), span: span, keyUndecided: r.Header.Get(caller.HeaderKey) != ""}
		if err := s.admit(v); err != nil {
			s.refuse(v, err)
			return
		}
		span.SetAttributes(attribute.String("organisation", v.org.Name), attribute.String("request_id", v.terms.ID))
		v.hold = s.memory.Hold(v.org.Name)
		defer v.hold.Release()
		next(v)
	}
}

func (s *Server) admit(v *callerRequest) error {
	v.terms.ID = caller.RequestID(v.r)
	v.ver = s.ctrl.Version()
	if v.ver == nil {
		return outcome.Refused(entry.ReasonNoVersion, time.Second, false)
	}
	org, err := caller.Authenticate(v.ver, v.r)
	if err != nil {
		return err
	}
	v.org = org
	if !org.Allows(s.ctrl.Place()) {
		return s.redirect(v)
	}
	v.terms, err = caller.Read(v.r, v.terms.ID)
	return err
}

// redirect returns a redirect to a router in an allowed place, before the body is read. If
// there is none, it returns a refusal.
func (s *Server) redirect(v *callerRequest) error {
	f := outcome.BadRequest(http.StatusMisdirectedRequest, outcome.ReasonPlace, "this router stands outside the organisation's places")
	if base := s.ctrl.Redirect(v.org.Places); base != "" {
		f.Status = http.StatusTemporaryRedirect
		f.Location = base + v.r.URL.RequestURI()
	} else {
		f.Status = http.StatusServiceUnavailable
		f.RetryDelay = 5 * time.Second
	}
	return f
}

func (s *Server) models(v *callerRequest) {
	type model struct {
		ID      string `json:"id"`
		Object  string `json:"object"`
		OwnedBy string `json:"owned_by"`
	}
	list := struct {
		Object string  `json:"object"`
		Data   []model `json:"data"`
	}{Object: "list", Data: []model{}}
	for _, app := range v.org.Applications {
		if v.ver.Services[app.Service].Kind == version.KindModel {
			list.Data = append(list.Data, model{ID: app.Name, Object: "model", OwnedBy: v.org.Name})
		}
	}
	sort.Slice(list.Data, func(i, j int) bool { return list.Data[i].ID < list.Data[j].ID })
	v.w.Header().Set("Content-Type", "application/json")
	v.w.Header().Set(outcome.HeaderOutcome, string(outcome.Answered))
	v.w.Header().Set(outcome.HeaderRequestID, v.terms.ID)
	_ = json.NewEncoder(v.w).Encode(list) // the caller may be gone
}

// completion serves the OpenAI-compatible route. The model field names the application.
func (s *Server) completion(v *callerRequest) {
	raw, err := s.readBody(v, completionCopies)
	if err != nil {
		s.refuse(v, err)
		return
	}
	var fields map[string]json.RawMessage
	var model string
	var streams bool
	if err := readCompletion(raw, &fields, &model, &streams); err != nil {
		s.failRequest(v, err)
		return
	}
	app, err := s.application(v, model, version.KindModel)
	if err != nil {
		s.failRequest(v, err)
		return
	}
	fields["model"], _ = json.Marshal(app.Service) // encoding a string cannot fail
	body, err := json.Marshal(fields)
	if err != nil {
		s.failRequest(v, outcome.BadRequest(http.StatusBadRequest, outcome.ReasonBody, err.Error()))
		return
	}
	s.serve(v, app, relay.Call{Method: http.MethodPost, Path: "/v1/chat/completions", Body: body}, streams)
}

// readCompletion parses a completion request. All fields are kept, so that the body can be
// encoded again with another model name.
func readCompletion(raw []byte, fields *map[string]json.RawMessage, model *string, streams *bool) error {
	bad := func(detail string) error {
		return outcome.BadRequest(http.StatusBadRequest, outcome.ReasonBody, detail)
	}
	if err := json.Unmarshal(raw, fields); err != nil || *fields == nil {
		return bad("allowed: one JSON object")
	}
	if err := json.Unmarshal((*fields)["model"], model); err != nil || *model == "" {
		return bad("model: allowed: the name of an application; GET /v1/models lists them")
	}
	if s, ok := (*fields)["stream"]; ok {
		if err := json.Unmarshal(s, streams); err != nil {
			return bad("stream: allowed: true or false")
		}
	}
	if m, ok := (*fields)["messages"]; !ok || len(m) == 0 || m[0] != '[' {
		return bad("messages: allowed: a list")
	}
	return nil
}

// plain serves requests to plain services. The path names the application.
func (s *Server) plain(v *callerRequest) {
	name, err := url.PathUnescape(mux.Vars(v.r)["app"])
	if err != nil {
		s.refuse(v, outcome.BadRequest(http.StatusNotFound, outcome.ReasonPath, "application name is not a valid path segment"))
		return
	}
	app, err := s.application(v, name, version.KindPlain)
	if err != nil {
		s.refuse(v, err)
		return
	}
	raw, err := s.readBody(v, plainCopies)
	if err != nil {
		s.refuse(v, err)
		return
	}
	path := strings.TrimPrefix(v.r.URL.EscapedPath(), "/v1/apps/"+mux.Vars(v.r)["app"])
	if v.r.URL.RawQuery != "" {
		path += "?" + v.r.URL.RawQuery
	}
	s.serve(v, app, relay.Call{Method: v.r.Method, Path: path, Body: raw}, false)
}

// application returns the organisation's application of that name if its service is of the
// kind that the route serves.
func (s *Server) application(v *callerRequest, name string, kind version.Kind) (*version.Application, error) {
	app := v.org.Applications[name]
	if app == nil || v.ver.Services[app.Service].Kind != kind {
		return nil, outcome.BadRequest(http.StatusNotFound, outcome.ReasonApplication, "the organisation has no such application on this route")
	}
	v.hold.Assign(string(app.Service))
	return app, nil
}

const (
	// plainCopies is how often a body is held: in the pieces that were read, and in one.
	plainCopies = 2
	// completionCopies adds the parsed fields and the body that is sent on.
	completionCopies = 4
	// requestOverhead is what a request holds beside its body and its answer: the stacks of its
	// goroutines, the buffers of its connections, and the control state's entry.
	requestOverhead = 24 << 10
	// refusalReadTimeout bounds the time in which the rest of a refused request's body must
	// arrive. net/http reads up to 256 KB of it, before the answer unless that closes the connection.
	refusalReadTimeout = 3 * time.Second
)

// readBody reads the body within the limits of size, time and memory. Its memory, of which a
// request holds several copies, is reserved before it is read; a body of unstated size is reserved
// as it comes.
func (s *Server) readBody(v *callerRequest, copies int64) ([]byte, error) {
	size := v.r.ContentLength
	if size > s.limits.Body {
		v.w.Header().Set("Connection", "close")
		return nil, outcome.BadRequest(http.StatusRequestEntityTooLarge, outcome.ReasonTooLarge, "the body is larger than this router takes")
	}
	if n := requestOverhead + copies*memory.ReservedFor(size); !v.hold.Reserve(n) {
		return nil, s.memoryFull(v, n)
	}
	rc := http.NewResponseController(v.w)
	_ = rc.SetReadDeadline(time.Now().Add(s.limits.BodyTimeout))                          // not supported by test recorders
	undo := context.AfterFunc(s.over, func() { _ = rc.SetReadDeadline(time.Unix(1, 0)) }) // likewise
	body := v.hold.Buffer(size)
	defer body.Release()
	err := body.ReadAll(http.MaxBytesReader(v.w, v.r.Body, s.limits.Body))
	undo()
	if s.over.Err() != nil {
		v.w.Header().Set("Connection", "close")
		return nil, stopping(false)
	}
	if err == nil {
		_ = rc.SetReadDeadline(time.Time{})
	}
	if n := (copies - 1) * int64(body.Len()); err == nil && size <= 0 && !v.hold.Reserve(n) {
		return nil, s.memoryFull(v, n)
	}
	if err == nil {
		return bytes.Join(body.Pieces(), nil), nil
	}
	v.w.Header().Set("Connection", "close")
	if errors.Is(err, memory.ErrFull) {
		return nil, s.memoryFull(v, copies*int64(body.Len()))
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, outcome.BadRequest(http.StatusRequestEntityTooLarge, outcome.ReasonTooLarge, "the body is larger than this router takes")
	}
	return nil, outcome.BadRequest(http.StatusRequestTimeout, outcome.ReasonSlow, "the body did not arrive whole in time")
}

// memoryFull returns the refusal of a request for which n bytes could not be reserved.
func (s *Server) memoryFull(v *callerRequest, n int64) error {
	return outcome.Refused(entry.ReasonMemory, s.memory.RetryDelay(v.org.Name, n), false)
}

// serve waits for a slot, runs the request at an upstream and sends the outcome.
func (s *Server) serve(v *callerRequest, app *version.Application, call relay.Call, streams bool) {
	idempotencyKey, err := s.idempotencyKey(v, app)
	v.keyUndecided = false // the key is not needed, or the witnesses will decide on it
	if err != nil {
		s.failRequest(v, err)
		return
	}
	timeout := app.Timeout
	if v.terms.Timeout > 0 {
		timeout = min(timeout, v.terms.Timeout)
	}
	deadline := s.clock.Now().Add(timeout)
	waitCtx, end := context.WithCancelCause(v.r.Context())
	defer end(nil)
	ctx, stop := s.clock.WithDeadline(waitCtx, deadline)
	defer stop()
	call.Header = v.r.Header
	call.Organisation = v.org.Name
	call.Repeatable = app.Idempotent
	run := &run{s: s, v: v, app: app, call: call, streams: streams, ctx: ctx, waitCtx: waitCtx, deadline: deadline}
	defer run.watchStop(end)()
	if left := run.quarantinedFor(); left > 0 {
		run.refuseQuarantined(left, idempotencyKey != nil)
		return
	}
	run.ticket = s.ctrl.Submit(entry.Request{
		Org:      v.org.ID,
		App:      app.Name,
		Urgent:   v.terms.Urgent || app.Priority == version.PriorityUrgent,
		Deadline: deadline,
	}, idempotencyKey)
	run.loop()
}

// idempotencyKey returns the request's idempotency key, or nil. Requests of idempotent
// applications need none.
func (s *Server) idempotencyKey(v *callerRequest, app *version.Application) (*claim.Key, error) {
	if app.Idempotent || v.terms.Key == "" {
		return nil, nil
	}
	k, err := claim.ParseKey(v.org.Name, app.Name, v.terms.Key)
	if err != nil {
		return nil, outcome.BadRequest(http.StatusBadRequest, outcome.ReasonHeader, err.Error())
	}
	return &k, nil
}

// refuse sends a failure to a caller that may still send its body. If the connection is to be closed,
// what comes of the body is read for a while, so that the answer is not lost in a reset.
func (s *Server) refuse(v *callerRequest, err error) {
	boundRestOfBody(v.w, v.r)
	s.failRequest(v, err)
}

func boundRestOfBody(w http.ResponseWriter, r *http.Request) {
	if r.ContentLength != 0 {
		_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(refusalReadTimeout)) // not supported by test recorders
	}
}

// failRequest sends a failure to the caller and records it on the request's span.
func (s *Server) failRequest(v *callerRequest, err error) {
	var f outcome.Failure
	if !errors.As(err, &f) {
		f = outcome.BadRequest(http.StatusBadRequest, outcome.ReasonBody, err.Error())
	}
	if v.keyUndecided && f.Kind == outcome.NotRun {
		f.Kind = outcome.Unknown // an earlier request with the same key may have run
	}
	v.span.SetAttributes(attribute.String("outcome", string(f.Kind)), attribute.String("reason", f.Reason))
	s.writeFailure(v.w, v.terms.ID, f)
}

func (s *Server) writeFailure(w http.ResponseWriter, id string, f outcome.Failure) {
	s.count.outcome(f.Kind, f.Reason)
	outcome.Write(w, id, f)
}
