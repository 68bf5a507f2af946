package forward

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"github.com/silverswitch/silverswitch/internal/clock"
	"github.com/silverswitch/silverswitch/internal/conn"
	"github.com/silverswitch/silverswitch/internal/dispatch"
	"github.com/silverswitch/silverswitch/internal/fingerprint"
	"github.com/silverswitch/silverswitch/internal/memory"
	"github.com/silverswitch/silverswitch/internal/routing"
)

// Server is the HTTP handler of the routed interface. It is safe for concurrent use.
type Server struct {
	ctrl          Control
	exchanges     *conn.Exchanges
	dialect       Dialect
	limit         int // concurrent requests
	memory        *memory.Account
	open          atomic.Int64
	undecided     atomic.Int64 // requests for engines that were submitted and have no decision yet
	loadShedder   *loadShedder
	healthChecker *healthChecker
	count         counters
	secondTries   *secondTries
	pulses        *pulses
	reach         *reach
	reqLog        *requestLog
	key           *fingerprint.Key
	clock         *clock.Clock
	tracing       tracing
	durations     *durations
	stopAlone     []*Stop

	// Stop is the planned stop of this router.
	Stop *Stop
	// Alone reports whether no other router could take this router's requests. It may be nil. It must be
	// set before the first request.
	Alone func() bool
}

// NewServer returns a Server. It identifies repeated requests by fingerprints made with
// the key.
func NewServer(ctrl Control, exchanges *conn.Exchanges, dialect Dialect, key *fingerprint.Key, limit Limits, reg metrics.Registry, log zerolog.Logger) *Server {
	s := &Server{ctrl: ctrl, exchanges: exchanges, dialect: dialect, key: key, clock: clock.System, limit: limit.MaxRequests, memory: limit.Memory, loadShedder: newLoadShedder(), pulses: newPulses(), reach: newReach(exchanges), count: newCounters(reg), reqLog: newRequestLog(log), tracing: newTracing(), durations: newDurations(), Stop: NewStop()}
	s.stopAlone = []*Stop{s.Stop}
	s.secondTries = newSecondTries(reg)
	_ = reg.Register("forward.undecided", metrics.NewFunctionalGauge(s.Undecided)) // the name is new
	s.healthChecker = newHealthChecker(exchanges, dialect, s.clock)
	exchanges.OnResponse = s.handleNotice
	exchanges.OnOpen = func() { s.count.opened.Inc(1) }
	exchanges.OnSilence = func(addr string, dropped int) {
		log.Info().Str("address", addr).Int("closed", dropped).Msg("kept-connection-silent")
	}
	return s
}

// Undecided returns how many requests for engines were submitted and have no decision yet. The
// scheduler decides on these at once, so they wait for this router's CPU.
func (s *Server) Undecided() int64 { return s.undecided.Load() }

// callerRequest is one request, from its headers to its outcome.
type callerRequest struct {
	s        *Server
	w        http.ResponseWriter
	r        *http.Request
	id       string
	arrived  time.Time
	table    *routing.Table
	route    *routing.Route
	service  string // drawn once from the route's traffic split
	org      string
	priority int
	stream   uint64 // see dispatch.Request; 0 also if the caller does not say which stream it takes up
	resumed  bool
	regions  routing.Regions
	body     *memory.Buffer // nil if there is none or it was released early
	hold     memory.Hold
	deadline time.Time
	prompt   prompt
	followed followed
	printed  sync.Once
	print    fingerprint.Fingerprint // set by printed
}

// fingerprint returns the fingerprint of the request's content. The body must have been
// read. It is computed on first use, as it takes 24 us for a body of 40 KB.
func (req *callerRequest) fingerprint() fingerprint.Fingerprint {
	req.printed.Do(func() {
		req.print = req.s.key.Of(fingerprint.Content{
			Organisation: req.org,
			Method:       req.r.Method,
			Host:         req.r.Host,
			Target:       req.r.RequestURI,
			Body:         req.body.Pieces(),
		})
	})
	return req.print
}

// startingRetryDelay is the Retry-After of a router that has no routing table yet.
const startingRetryDelay = 500 * time.Millisecond

// ServeHTTP decides from the headers whether to accept the request, reserves its memory, reads
// its body within the limits of size and time, and runs it.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.count.arrived.Inc(1)
	r, endSpan := s.tracing.entry(r)
	defer endSpan()
	req := &callerRequest{s: s, w: w, r: r, id: r.Header.Get(s.dialect.RequestID), arrived: s.clock.Now()}
	defer s.open.Add(-1)
	full := s.open.Add(1) > int64(s.limit)
	if f := req.admit(); f != nil {
		req.refuse(*f)
		return
	}
	s.ctrl.RequestArrived(req.route.TargetLatency)
	req.followed = s.secondTries.arrived(&s.dialect, r.Header, req.org, req.arrived, s.reqLog)
	if f := req.refuseTooLate(); f != nil {
		req.refuse(*f)
		return
	}
	if req.refuseUnservable() {
		return
	}
	if full || s.loadShedder.refuses(req.org, s.shedRatio(), s.ctrl.AdmitRatio(req.service, req.org), req.arrived) {
		req.shedRequest()
		return
	}
	req.prompt = s.dialect.readPrompt(r.Header)
	if f := req.refuseTooLarge(); f != nil {
		req.refuse(*f)
		return
	}
	if f := req.reserveMemory(); f != nil {
		req.refuse(*f)
		return
	}
	defer req.releaseMemory()
	req.setWriteDeadline(req.deadline.Add(answerWriteGrace))
	if f := req.readBody(); f != nil {
		req.refuse(*f)
		return
	}
	req.run()
}

// maxUndecidedShedRatio is the fraction of arrivals that is refused while as many requests
// are undecided as may be.
const maxUndecidedShedRatio = 0.98

// shedRatio returns the fraction of all arriving requests to refuse.
func (s *Server) shedRatio() float64 {
	ratio := s.ctrl.ShedRatio()
	if most := s.ctrl.MaxUndecided(); most > 0 && s.Undecided() >= most {
		return max(ratio, maxUndecidedShedRatio)
	}
	return ratio
}

// shedRequest refuses a request because this router is overloaded. Its work is still
// counted as demand, so that the organisation's share does not shrink because its requests
// arrived at this router.
func (req *callerRequest) shedRequest() {
	req.s.count.shed.Inc(1)
	req.reportUnplacedWork()
	req.refuse(notRun("router-overloaded", shedRetryDelay))
}

// refuseUnservable refuses a request that no upstream can take now, as its placement would be
// refused. It reports whether it did so. Only the body's stated length goes before, since a
// body that is too large is refused for good.
func (req *callerRequest) refuseUnservable() bool {
	if req.r.ContentLength > req.s.ctrl.MaxBodyBytes() {
		return false
	}
	refusal, unservable := req.s.ctrl.Unservable(req.service, req.regions)
	if !unservable {
		return false
	}
	req.s.count.unservable.Inc(1)
	req.reportUnplacedWork()
	f := notRun(refusal.Reason.String(), refusal.After)
	kept := refusal // refusal itself must not escape to the heap for every request
	f.refusal = &kept
	req.refuse(f)
	return true
}

// reportUnplacedWork reports the work of a request that is refused without a placement
// request.
func (req *callerRequest) reportUnplacedWork() {
	req.prompt = req.s.dialect.readPrompt(req.r.Header)
	req.s.ctrl.RequestShed(dispatch.ShedWork{
		Service: req.service,
		Org:     req.org,
		Tokens:  dispatch.Cost(req.prompt.input, req.prompt.output),
	})
}

// refuse sends a failure to a request that is not run. Its bounds count from now, since the
// request may have waited for its body.
func (req *callerRequest) refuse(f failure) {
	now := req.s.clock.Now()
	req.setWriteDeadline(now.Add(refusalWriteTimeout))
	if req.r.ContentLength != 0 {
		_ = http.NewResponseController(req.w).SetReadDeadline(req.s.clock.Monotonic(now.Add(req.bodyWait(now)))) // not supported by test recorders
	}
	req.fail(f)
}

// bodyWait returns how long the rest of a refused request's body is waited for. Unless the connection is
// to be closed, net/http sends the refusal after that: no later than at half of the time that is left.
func (req *callerRequest) bodyWait(now time.Time) time.Duration {
	if req.w.Header().Get("Connection") == "close" {
		return refusalReadTimeout
	}
	left := req.arrived.Add(req.s.dialect.deadline(req.r.Header, 2*refusalReadTimeout)).Sub(now)
	return min(refusalReadTimeout, max(0, left/2))
}

// admit finds the route, organisation and deadline of the request. It returns a failure if
// the headers alone rule the request out.
func (req *callerRequest) admit() *failure {
	req.table = req.s.ctrl.Table()
	if req.table == nil {
		return &failure{status: http.StatusServiceUnavailable, reason: "no-configuration", retryAfter: startingRetryDelay}
	}
	req.route = req.table.Match(req.r.Host, req.r.URL.Path)
	if req.route == nil {
		return &failure{status: http.StatusNotFound, reason: "no-route"}
	}
	req.service = req.route.Pick(rand.Float64())
	req.priority = req.route.Priority
	req.regions = req.route.Regions
	if req.table.RequiresAPIKey() && !req.route.Public {
		key, bearer := strings.CutPrefix(req.r.Header.Get("Authorization"), "Bearer ")
		org := req.table.ByAPIKey(strings.TrimSpace(key))
		if !bearer || org == nil {
			return &failure{status: http.StatusUnauthorized, reason: "unknown-api-key"}
		}
		req.org = org.Name
		if org.Priority != nil {
			req.priority = *org.Priority
		}
		req.regions = req.regions.Intersect(org.Regions)
	}
	if req.route.Kind == routing.Stream && req.route.Resumable {
		stream, resumed, named := req.s.dialect.stream(req.r.Header, req.org, req.id)
		req.service = req.route.Pick(float64(stream>>11) / (1 << 53)) // the same one at each attempt
		if req.resumed = resumed; named || !resumed {
			req.stream = stream
		}
	}
	req.deadline = req.arrived.Add(req.s.dialect.deadline(req.r.Header, req.route.Timeout))
	return nil
}

const (
	// refusalWriteTimeout bounds the time in which a refusal is written, for requests refused
	// without being run.
	refusalWriteTimeout = 5 * time.Second
	// refusalReadTimeout bounds the time in which the rest of a refused request's body must
	// arrive. net/http reads bodies of up to 256 KB before it sends the answer;
	// a caller that did not finish its body kept the connection for ever.
	refusalReadTimeout = 3 * time.Second
	// answerWriteGrace is the time after a request's deadline within which the rest of its
	// answer must be written.
	answerWriteGrace = 2 * time.Second
)

// setWriteDeadline bounds writes to the caller, so that a dead connection does not hold
// resources for ever. The deadline applies to the connection, so each request must set it.
func (req *callerRequest) setWriteDeadline(until time.Time) {
	_ = http.NewResponseController(req.w).SetWriteDeadline(req.s.clock.Monotonic(until)) // not supported by test recorders
}

// run submits the request for placement and executes its attempts.
func (req *callerRequest) run() {
	if f := req.quarantined(); f != nil {
		req.fail(*f)
		return
	}
	ctx, stop := req.s.clock.WithDeadline(req.r.Context(), req.deadline)
	defer stop()
	ctx, end := context.WithCancelCause(ctx)
	defer end(nil)
	r := &run{callerRequest: req, ctx: ctx, undecided: req.table.HasEngines(req.service), lastPosition: parseLastEventID(req.r.Header)}
	defer r.watchStop(end)()
	if r.undecided {
		req.s.undecided.Add(1)
	}
	defer r.countDecided()
	r.ticket = req.s.ctrl.Submit(dispatch.Request{
		Service:    req.service,
		Org:        req.org,
		Input:      req.prompt.input,
		Output:     req.prompt.output,
		Parts:      req.prompt.parts,
		Priority:   req.priority,
		TargetTime: req.arrived.Add(req.route.TargetLatency),
		Deadline:   req.deadline,
		Regions:    req.regions,
		Stream:     req.stream,
		Resumed:    req.resumed,
	})
	r.loop()
}
