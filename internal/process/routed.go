package process

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	stdlog "log"
	"net"
	"net/http"
	"runtime/debug"
	"sync"
	"time"

	"github.com/gorilla/mux"
	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"github.com/silverswitch/silverswitch/internal/conn"
	"github.com/silverswitch/silverswitch/internal/core/wire"
	"github.com/silverswitch/silverswitch/internal/dispatch"
	"github.com/silverswitch/silverswitch/internal/fingerprint"
	"github.com/silverswitch/silverswitch/internal/request/forward"
)

// Routed is one router process of the routed interface.
type Routed struct {
	mu       sync.Mutex // of the times of a planned stop
	set      Settings
	log      zerolog.Logger
	st       *Steerer
	route    *conn.PeerSocket
	fetch    *conn.FetchServer
	ups      *conn.Exchanges
	edge     *edge
	operator *http.Server
	ready    *http.Server
	figures  *http.Server
	flush    func(context.Context) error
	stop     context.CancelFunc
}

const (
	// memoryShare is the part of the VM's memory that the collector aims to stay
	// under; the rest is for stacks of the C library and bytes in sockets.
	memoryShare = 0.7
	// collectAt is the growth of the heap at which it is collected, in percent:
	// memory is cheap here below memoryShare, processor time is not.
	collectAt = 200
	// stopMargin is kept from the bound of a planned stop for closing.
	stopMargin = 600 * time.Millisecond
)

// Deployment is what is particular to where the routers run.
type Deployment struct {
	Source Source
	Names  forward.Dialect
	// Kept returns a reader of what engines keep, over the router's connections;
	// nil where engines do not tell.
	Kept func(*conn.Exchanges) KeptReader
}

// StartRouted opens every listener and begins to serve. On error nothing is left
// open.
func StartRouted(set Settings, dep Deployment, log zerolog.Logger) (*Routed, error) {
	src, names := dep.Source, dep.Names
	limitMemory(set.MemoryMB)
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
	d := &Routed{set: set, log: log, stop: stop, ups: conn.NewExchanges()}
	if d.flush, err = startTracing(ctx, set); err != nil {
		stop()
		return nil, err
	}
	if d.route, err = conn.Listen(set.Peer, sealer, reg); err != nil {
		d.close()
		return nil, err
	}
	d.st = NewSteerer(d.dispatchSettings(), src, d.route, sealer, d.ups, log)
	d.st.sent = newSentCounts(reg)
	if d.fetch, err = conn.ServeFetch(set.Peer, sealer, conn.Handlers{conn.MethodContent: d.st.Packed, conn.MethodSnapshot: d.st.PackedSnapshot}); err != nil {
		d.close()
		return nil, err
	}
	if d.edge, err = newEdge(set.Callers, forward.NewServer(d.st, d.ups, names, key, boundsOf(set.MemoryMB), reg, log), set.Files, d.behind, log); err != nil {
		d.close()
		return nil, err
	}
	if err := d.listen(reg); err != nil {
		d.close()
		return nil, err
	}
	d.st.OnTable = d.edge.use
	go d.st.Run(ctx)
	go newFollower(src, d.st, log, reg).run(ctx)
	if dep.Kept != nil {
		go newKeptFollower(dep.Kept(d.ups), d.st, log, reg).run(ctx)
	}
	go d.receive()
	log.Info().Str("place", set.Place).Str("callers", set.Callers).Int("seeds", len(set.Seeds)).Int("memory_mb", set.MemoryMB).Msg("started")
	return d, nil
}

const (
	// openPerMB is how many requests at once a megabyte of the VM's memory bears:
	// 60 KB each for bodies, buffers and stacks, in half of the memory.
	openPerMB = 8
	// answersShare is the part of the VM's memory that answers may take which are held
	// until they are whole: half of what openPerMB leaves.
	answersShare = 4
	// openUnknown and answersUnknown are the bounds where the memory is unknown.
	openUnknown    = 20_000
	answersUnknown = 64 << 20
)

// boundsOf is what a router takes on at once, by its memory in MB.
func boundsOf(mb int) forward.Bounds {
	if mb == 0 {
		return forward.Bounds{Requests: openUnknown, Answers: answersUnknown}
	}
	return forward.Bounds{Requests: openPerMB * mb, Answers: int64(mb) << 20 / answersShare}
}

// behind reports whether this router is short of processor and datagrams of its peers lie
// unread.
func (d *Routed) behind() bool { return d.st.Excess() > 0 && d.route.HasUnread() }

func limitMemory(mb int) {
	if mb > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(mb) * (1 << 20)))
		debug.SetGCPercent(collectAt)
	}
}

func (d *Routed) dispatchSettings() dispatch.Settings {
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

// listen opens the operators' and the readiness listeners.
func (d *Routed) listen(reg metrics.Registry) error {
	var err error
	if d.operator, err = serveOn(d.set.Operator, "[router] operator_address", d.operatorRoutes(reg)); err != nil {
		return err
	}
	if d.set.Metrics != "" {
		r := http.NewServeMux()
		r.HandleFunc("/metrics", d.metrics(reg))
		if d.figures, err = serveOn(d.set.Metrics, "[metrics] address", r); err != nil {
			return err
		}
	}
	if d.set.Ready == "" {
		return nil
	}
	r := http.NewServeMux()
	r.HandleFunc(d.set.ReadyAt, d.readiness)
	d.ready, err = serveOn(d.set.Ready, "[ready] address", r)
	return err
}

func serveOn(addr, key string, h http.Handler) (*http.Server, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, ErrSettings.Wrap(err, "%s = %q", key, addr)
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: 5 * time.Second, ErrorLog: quietLog()}
	go func() { _ = s.Serve(l) }() // ends with the process
	return s, nil
}

// quietLog drops net/http's own lines on single connections; they are counted
// where they matter.
func quietLog() *stdlog.Logger { return stdlog.New(io.Discard, "", 0) }

func (d *Routed) readiness(w http.ResponseWriter, _ *http.Request) {
	if !d.st.Ready() {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	fmt.Fprintln(w, "ready")
}

// operatorRoutes serves health, readiness, status and metrics.
func (d *Routed) operatorRoutes(reg metrics.Registry) http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/healthz", func(w http.ResponseWriter, _ *http.Request) { fmt.Fprintln(w, "ok") })
	r.HandleFunc("/readyz", d.readiness)
	r.HandleFunc("/status", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(d.st.Status()) // the operator may be gone
	})
	r.HandleFunc("/metrics", d.metrics(reg))
	return r
}

func (d *Routed) metrics(reg metrics.Registry) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; version=0.0.4")
		writeRegistry(w, reg, decisionLines(d.st.Status()))
	}
}

// decisionLines are the control state's totals for the metrics page.
func decisionLines(s *Status) map[string]string {
	if s == nil {
		return nil
	}
	lines := map[string]string{}
	for name, n := range map[string]uint64{
		"placed": s.Counts.Placed, "refused": s.Counts.Refused, "asked": s.Counts.Asked, "asked_again": s.Counts.AskedAgain,
		"own_decisions": s.Counts.OwnDecision, "own_placed": s.Counts.OwnPlaced, "answers_late": s.Counts.AnswersLate, "pauses": s.Counts.Woke,
		"table_version": s.Version, "store_revision": s.Revision, "routers": uint64(len(s.Routers)), "requests_held": uint64(len(s.Held)), "upstreams_ended": s.Counts.Ended,
		"places_evacuated": uint64(len(s.Evacuated)), "upstreams_cold": uint64(s.cold()), "placed_cold": s.Counts.PlacedCold,
	} {
		lines[promName("dispatch."+name)] = fmt.Sprint(n)
	}
	return lines
}

// cold counts the upstreams that are believed to be cold.
func (s *Status) cold() int {
	n := 0
	for _, u := range s.Upstreams {
		if u.Cold != nil {
			n++
		}
	}
	return n
}

func (d *Routed) receive() {
	buf := make([]byte, 64<<10)
	for {
		m, err := d.route.Receive(buf)
		if err != nil {
			return // the socket is closed
		}
		d.st.Deliver(m)
	}
}

// Shutdown is the planned stop: not ready for the balancer, requests that still
// arrive served, every one in progress ended or cut by the bound, then gone. It
// returns the number of requests cut.
func (d *Routed) Shutdown(ctx context.Context) int {
	began := time.Now()
	d.mu.Lock()
	wait, bound := d.set.Wait, d.set.Bound
	d.mu.Unlock()
	d.log.Info().Int64("wait_ms", wait.Milliseconds()).Int64("bound_ms", bound.Milliseconds()).Msg("stopping")
	d.st.Leave()
	sleep(ctx, wait)
	if bound > 0 {
		var stop context.CancelFunc
		ctx, stop = context.WithDeadline(ctx, began.Add(bound-stopMargin))
		defer stop()
	}
	err := d.edge.shutdown(ctx)
	cut := d.st.Open()
	if err != nil {
		d.log.Warn().Int("requests", cut).Msg("requests-cut")
	}
	d.close()
	d.st.sent.log(d.log)
	d.log.Info().Int("cut", cut).Int64("took_ms", time.Since(began).Milliseconds()).Msg("stopped")
	return cut
}

// Reload takes settings that may change while the process runs: the seeds and the
// rules of the retry budget at once, the times of a planned stop at the next one.
func (d *Routed) Reload(set Settings) {
	d.mu.Lock()
	d.set.Wait, d.set.Bound = set.Wait, set.Bound
	d.mu.Unlock()
	d.st.Step(dispatch.NewSettings{Seeds: set.Seeds, Retry: set.Retry, Cold: set.Cold})
}

// Open returns the requests that have no outcome yet.
func (d *Routed) Open(time.Duration) int { return d.st.Open() }

// close ends everything at once.
func (d *Routed) close() {
	if d.edge != nil {
		d.edge.close()
	}
	d.stop()
	for _, s := range []*http.Server{d.operator, d.ready, d.figures} {
		if s != nil {
			s.Close()
		}
	}
	if d.fetch != nil {
		d.fetch.Close()
	}
	if d.route != nil {
		d.route.Close()
	}
	d.ups.Close()
	flushTraces(d.flush, d.log)
}
