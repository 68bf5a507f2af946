package process

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	stdlog "log"
	"maps"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/gorilla/mux"
	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"github.com/silverswitch/silverswitch/internal/conn"
	"github.com/silverswitch/silverswitch/internal/core/wire"
	"github.com/silverswitch/silverswitch/internal/dispatch"
	"github.com/silverswitch/silverswitch/internal/fingerprint"
	"github.com/silverswitch/silverswitch/internal/memory"
	"github.com/silverswitch/silverswitch/internal/request/forward"
)

// RoutedDaemon is a router process that serves the routed interface.
type RoutedDaemon struct {
	mu              sync.Mutex // guards set.Wait, set.Bound and grace
	grace           *grace     // of a planned stop; nil before
	set             Settings
	log             zerolog.Logger
	ctrl            *RoutedController
	peerSocket      *conn.PeerSocket
	fetchServer     *conn.FetchServer
	exchanges       *conn.Exchanges
	server          *forward.Server
	callerServer    *callerServer
	relaying        *relaying // nil where [relay] address is empty
	operatorServer  *http.Server
	readyServer     *http.Server
	metricsServer   *http.Server
	memory          *memory.Account
	shutdownTracing func(context.Context) error
	stop            context.CancelFunc
}

const (
	// shutdownMargin is the part of a planned stop's bound that is reserved for closing.
	shutdownMargin = 600 * time.Millisecond
	// tellTimeout is the part of it in which callers are told that their requests have ended.
	tellTimeout = 400 * time.Millisecond
)

// Deployment holds what depends on the platform that the routers run on.
type Deployment struct {
	Source      Source
	HeaderNames forward.Dialect // of the headers that callers and upstreams use
	// PrefixCache returns a reader of the engines' prefix caches that uses the router's
	// connections. It is nil where engines do not publish them.
	PrefixCache func(*conn.Exchanges) PrefixCacheReader
}

// StartRouted opens all listeners and starts serving. On error it closes whatever it has
// opened.
func StartRouted(set Settings, dep Deployment, log zerolog.Logger) (*RoutedDaemon, error) {
	source, dialect := dep.Source, dep.HeaderNames
	reg := metrics.NewRegistry()
	sealer, err := conn.NewSealer(set.Secret, "route")
	if err != nil {
		return nil, err
	}
	key, err := fingerprint.NewKey(set.Secret)
	if err != nil {
		return nil, err
	}
	ctx, stop := context.WithCancel(context.Background())
	d := &RoutedDaemon{set: set, log: log, stop: stop, exchanges: conn.NewExchanges(), memory: memory.ForVM(ctx, set.MemoryMB)}
	if d.shutdownTracing, err = startTracing(ctx, set); err != nil {
		stop()
		return nil, err
	}
	if d.peerSocket, err = conn.Listen(set.Peer, sealer, reg); err != nil {
		d.close()
		return nil, err
	}
	d.ctrl = NewRoutedController(d.dispatchSettings(), source, d.peerSocket, sealer, d.exchanges, log)
	d.ctrl.sent = newSentMetrics(reg)
	if d.fetchServer, err = conn.ServeFetch(set.Peer, sealer, conn.Handlers{conn.MethodContent: d.ctrl.PackedContent, conn.MethodSnapshot: d.ctrl.PackedSnapshot}); err != nil {
		d.close()
		return nil, err
	}
	server := forward.NewServer(d.ctrl, d.exchanges, dialect, key, forward.Limits{MaxRequests: maxRequestsFor(set.MemoryMB), Memory: d.memory}, reg, log)
	d.server, server.Alone = server, d.ctrl.Alone
	d.ctrl.overload.undecided = server.Undecided
	if d.callerServer, err = newCallerServer(set.Callers, set.Cores, server, set.Files, d.controlBehind, log); err != nil {
		d.close()
		return nil, err
	}
	if err := d.listen(reg); err != nil {
		d.close()
		return nil, err
	}
	d.callerServer.limits.memory.Store(d.memory)
	_ = reg.Register("headers.memory.refused", metrics.NewFunctionalGauge(d.callerServer.limits.headersRefused.Load)) // the name is new
	d.ctrl.OnTable, d.ctrl.limits = d.callerServer.setLimits, d.callerServer.limits
	d.ctrl.overload.observeCallers(d.callerServer.connLimiter, reg)
	d.ctrl.overload.backlogAge = d.callerServer.backlog.age
	d.startRelaying(ctx, reg)
	go d.ctrl.Run(ctx)
	watcher := newSourceWatcher(source, d.ctrl, log, reg)
	watcher.kept = d.set.History
	go watcher.run(ctx)
	if dep.PrefixCache != nil {
		go newPrefixCachePoller(dep.PrefixCache(d.exchanges), d.ctrl, log, reg).run(ctx)
	}
	go d.receive()
	log.Info().Str("place", set.Place).Str("callers", set.Callers).Int("seeds", len(set.Seeds)).Int("memory_mb", set.MemoryMB).Msg("started")
	return d, nil
}

// startRelaying starts relaying where the settings name an address. A router that cannot
// listen there, such as on a platform whose port range has one port only, serves its callers
// itself.
func (d *RoutedDaemon) startRelaying(ctx context.Context, reg metrics.Registry) {
	if d.set.Relay == "" {
		return
	}
	r, err := startRelaying(ctx, relayingSettings{
		Address: d.set.Relay, Secret: d.set.Secret, Power: uint32(1000 * d.set.Cores), MemoryMB: d.set.MemoryMB, Stop: d.server.Stop, Registry: reg, Log: d.log,
	}, d.ctrl, d.callerServer)
	if err != nil {
		d.log.Error().Err(err).Msg("relay-off")
		return
	}
	d.relaying = r
}

const (
	// maxRequestsPerMB is the number of concurrent requests per megabyte of the VM's memory:
	// 60 KB each, in half of the memory. What they hold is bounded by the memory account.
	maxRequestsPerMB = 8
	// defaultMaxRequests applies where the VM's memory is unknown.
	defaultMaxRequests = 20_000
)

// maxRequestsFor returns the limit on concurrent requests for a VM with mb megabytes of memory,
// 0 for unknown.
func maxRequestsFor(mb int) int {
	if mb == 0 {
		return defaultMaxRequests
	}
	return maxRequestsPerMB * mb
}

// controlBehind reports whether this router is overloaded while datagrams from its peers
// are waiting to be read, behind accepted connections.
func (d *RoutedDaemon) controlBehind() bool {
	return d.ctrl.ShedRatio() > 0 && d.callerServer.unread.count(time.Now()) >= minUnreadConns && d.peerSocket.HasUnread()
}

func (d *RoutedDaemon) dispatchSettings() dispatch.Settings {
	inc := wire.IncarnationAt(time.Now())
	return dispatch.Settings{
		ID:      wire.NodeID(d.set.Peer),
		Inc:     inc,
		Place:   d.set.Place,
		Power:   uint32(1000 * d.set.Cores),
		Seeds:   d.set.Seeds,
		First:   d.set.First,
		Retry:   d.set.Retry,
		Cold:    d.set.Cold,
		Regions: d.set.Regions,
		Seed:    uint64(inc),
	}
}

// listen opens the listeners for operators, metrics and readiness.
func (d *RoutedDaemon) listen(reg metrics.Registry) error {
	var err error
	if d.operatorServer, err = listenAndServe(d.set.Operator, "[router] operator_address", d.operatorRoutes(reg)); err != nil {
		return err
	}
	if d.set.Metrics != "" {
		r := http.NewServeMux()
		r.HandleFunc("/metrics", d.metrics(reg))
		if d.metricsServer, err = listenAndServe(d.set.Metrics, "[metrics] address", r); err != nil {
			return err
		}
	}
	if d.set.Ready == "" {
		return nil
	}
	r := http.NewServeMux()
	r.HandleFunc(d.set.ReadyAt, d.serveReadiness)
	d.readyServer, err = listenAndServe(d.set.Ready, "[ready] address", r)
	return err
}

func listenAndServe(addr, key string, h http.Handler) (*http.Server, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, ErrSettings.Wrap(err, "%s = %q", key, addr)
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: 5 * time.Second, ErrorLog: discardLog()}
	go func() { _ = s.Serve(l) }() // Serve returns when the server is closed
	return s, nil
}

// discardLog returns a logger that drops net/http's log lines on single connections.
// Failures that matter are counted in metrics.
func discardLog() *stdlog.Logger { return stdlog.New(io.Discard, "", 0) }

func (d *RoutedDaemon) serveReadiness(w http.ResponseWriter, _ *http.Request) {
	if !d.ctrl.Ready() {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	fmt.Fprintln(w, "ready")
}

// operatorRoutes returns the operators' handler: health, readiness, status and metrics.
func (d *RoutedDaemon) operatorRoutes(reg metrics.Registry) http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/healthz", func(w http.ResponseWriter, _ *http.Request) { fmt.Fprintln(w, "ok") })
	r.HandleFunc("/readyz", d.serveReadiness)
	r.HandleFunc("/status", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(d.status()) // a write fails only when the operator has disconnected
	})
	r.HandleFunc("/metrics", d.metrics(reg))
	return r
}

func (d *RoutedDaemon) metrics(reg metrics.Registry) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; version=0.0.4")
		lines := memoryMetrics(d.memory.Usage())
		maps.Copy(lines, statusMetrics(d.ctrl.Status()))
		writeRegistry(w, reg, lines)
	}
}

// status returns the control state and the memory of requests, or nil when the control goroutine
// does not answer in time.
func (d *RoutedDaemon) status() *Status {
	s := d.ctrl.Status()
	if s != nil {
		s.Memory = d.memory.Usage()
	}
	return s
}

// memoryMetrics returns the memory of requests as lines of the metrics page.
func memoryMetrics(u memory.Usage) map[string]string {
	lines := map[string]string{}
	for name, n := range map[string]int64{"limit": u.Limit, "used": u.Used, "idle": u.Idle, "base": u.Base, "refused": u.Refused} {
		lines[promName("memory.requests."+name)] = fmt.Sprint(n)
	}
	for org, n := range u.Organisations {
		lines[fmt.Sprintf("%s{organisation=%q}", promName("memory.requests.held"), org)] = fmt.Sprint(n)
	}
	return lines
}

// statusMetrics returns the control state's counts as lines of the metrics page.
func statusMetrics(s *Status) map[string]string {
	if s == nil {
		return nil
	}
	lines := map[string]string{}
	for name, n := range map[string]uint64{
		"placed": s.Counts.Placed, "refused": s.Counts.Refused, "asked": s.Counts.Asked, "asked_again": s.Counts.AskedAgain,
		"own_decisions": s.Counts.OwnDecision, "own_placed": s.Counts.OwnPlaced, "answers_late": s.Counts.AnswersLate, "pauses": s.Counts.Woke,
		"table_version": s.Version, "store_revision": s.Revision, "routers": uint64(len(s.Routers)), "requests_held": uint64(len(s.Held)), "upstreams_ended": s.Counts.Ended,
		"places_evacuated": uint64(len(s.Evacuated)), "upstreams_cold": uint64(s.coldUpstreams()), "placed_cold": s.Counts.PlacedCold,
		"slots_waiting": uint64(s.Slots.Waiting), "slots_queued": s.Slots.Queued, "slots_waited_ms": s.Slots.WaitedMS, "slots_refused_wait": s.Slots.Refused, "slots_refused_displaced": s.Slots.Displaced,
		"slots_refused_expired": s.Slots.Expired, "slots_rejected": s.Slots.Rejected, "rejected_by_upstreams": s.Counts.Rejected,
		"refused_for_pace":               s.Counts.RefusedForPace,
		"refused_stream_version_unknown": s.Counts.StreamsUnknown, "refused_no_upstream_of_stream_version": s.Counts.StreamsLost,
		"streams_begun_elsewhere": s.Counts.StreamsElsewhere, "versions_out_of_use": s.Counts.VersionsOutOfUse,
		"store_histories_dropped_early": s.Counts.HistoriesDropped,
		"store_confirmations":           s.Counts.StoreConfirmations, "record_queries": s.Counts.RecordQueries, "refused_stream_unconfirmed": s.Counts.StreamsUnconfirmed,
		"started_tokens_per_s": s.startedTokens(),
		"least_served_percent": uint64(max(0, s.LeastServed)),
	} {
		lines[promName("dispatch."+name)] = fmt.Sprint(n)
	}
	return lines
}

// startedTokens returns the tokens a second that engines have started of the services that this
// router schedules.
func (s *Status) startedTokens() uint64 {
	sum := 0
	for _, c := range s.Capacity {
		sum += c.Started
	}
	return uint64(max(0, sum))
}

// coldUpstreams returns the number of upstreams considered cold.
func (s *Status) coldUpstreams() int {
	n := 0
	for _, u := range s.Upstreams {
		if u.Cold != nil {
			n++
		}
	}
	return n
}

func (d *RoutedDaemon) receive() {
	buf := make([]byte, 64<<10)
	for {
		m, err := d.peerSocket.Receive(buf)
		if err != nil {
			return // the socket is closed
		}
		d.ctrl.Deliver(m)
	}
}

// Shutdown performs the planned stop: it becomes unready for the load balancer, keeps
// serving requests that still arrive and can end in time, waits until all requests have ended,
// or the bound or the context ends them, and closes. Callers whose answers have not begun are
// told first, which takes tellTimeout at most. It returns the number of requests cut: those that
// may have run and got no whole answer.
func (d *RoutedDaemon) Shutdown(ctx context.Context) int {
	began := time.Now()
	g := d.beginGrace(began)
	d.ctrl.Leave()
	ctx, stop := g.context(ctx)
	defer stop()
	g.waitForBalancer(ctx)
	cut := 0
	if err := d.shutdownCallers(ctx); err != nil {
		cut = d.endRequests()
	}
	d.close()
	d.ctrl.sent.log(d.log)
	refused := d.server.StopTotals().Refused
	d.log.Info().Int("cut", cut).Int64("refused", refused).Int64("took_ms", time.Since(began).Milliseconds()).Msg("stopped")
	return cut
}

// beginGrace begins the grace of a planned stop.
func (d *RoutedDaemon) beginGrace(now time.Time) *grace {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.grace = newGrace(now, d.set.Wait, d.set.Bound)
	d.server.Stop.SetEnd(d.grace.end())
	d.log.Info().Int64("wait_ms", d.set.Wait.Milliseconds()).Int64("bound_ms", d.set.Bound.Milliseconds()).Msg("stopping")
	return d.grace
}

// endRequests ends all requests that are left at the end of the grace, and tells their callers. It
// returns the number of those that may have run and got no whole answer.
func (d *RoutedDaemon) endRequests() (cut int) {
	d.server.Stop.EndUnanswered()
	ctx, stop := context.WithTimeout(context.Background(), tellTimeout)
	defer stop()
	_ = d.shutdownCallers(ctx) // what is left is cut
	begun, told := d.ctrl.OpenRequests(), d.server.StopTotals()
	d.log.Warn().Int("requests", begun).Int64("told_not_run", told.NotRun).Int64("told_in_doubt", told.InDoubt).Msg("requests-cut")
	return begun + int(told.InDoubt)
}

// shutdownCallers closes the connections of callers, those relayed to other routers and those
// that other routers relay here, each after its current request.
func (d *RoutedDaemon) shutdownCallers(ctx context.Context) error {
	if d.relaying == nil {
		return d.callerServer.shutdown(ctx)
	}
	var wg sync.WaitGroup
	var errs [2]error
	wg.Go(func() { errs[0] = d.callerServer.shutdown(ctx) })
	wg.Go(func() { errs[1] = d.relaying.shutdown(ctx) })
	wg.Wait()
	return errors.Join(errs[0], errs[1])
}

// Reload applies settings that may change while the process runs: the seeds, the retry
// budget and the cold-start rules take effect at once, the durations of a planned stop for one that
// has begun too.
func (d *RoutedDaemon) Reload(set Settings) {
	d.mu.Lock()
	if d.grace != nil && (d.set.Wait != set.Wait || d.set.Bound != set.Bound) {
		d.grace.set(set.Wait, set.Bound)
		d.server.Stop.SetEnd(d.grace.end())
		d.log.Info().Int64("wait_ms", set.Wait.Milliseconds()).Int64("bound_ms", set.Bound.Milliseconds()).Msg("stop-times-changed")
	}
	d.set.Wait, d.set.Bound = set.Wait, set.Bound
	d.mu.Unlock()
	d.ctrl.Step(dispatch.UpdateSettings{Seeds: set.Seeds, Retry: set.Retry, Cold: set.Cold})
}

// OpenRequests returns the number of requests without an outcome.
func (d *RoutedDaemon) OpenRequests(time.Duration) int { return d.ctrl.OpenRequests() }

// close closes all listeners and connections at once.
func (d *RoutedDaemon) close() {
	if d.callerServer != nil {
		d.callerServer.close()
	}
	if d.relaying != nil {
		d.relaying.close()
	}
	d.stop()
	for _, s := range []*http.Server{d.operatorServer, d.readyServer, d.metricsServer} {
		if s != nil {
			s.Close()
		}
	}
	if d.fetchServer != nil {
		d.fetchServer.Close()
	}
	if d.peerSocket != nil {
		d.peerSocket.Close()
	}
	d.exchanges.Close()
	flushTraces(d.shutdownTracing, d.log)
}
