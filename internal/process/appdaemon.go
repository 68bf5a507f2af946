package process

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"github.com/silverswitch/silverswitch/internal/conn"
	"github.com/silverswitch/silverswitch/internal/core"
	"github.com/silverswitch/silverswitch/internal/core/wire"
	"github.com/silverswitch/silverswitch/internal/fingerprint"
	"github.com/silverswitch/silverswitch/internal/memory"
	"github.com/silverswitch/silverswitch/internal/request"
)

// shutdownLingerDuration is how long a router keeps answering peers after its last request
// has ended, so that all of them learn that it leaves.
const shutdownLingerDuration = 300 * time.Millisecond

// AppDaemon is a router process that serves the application interface.
type AppDaemon struct {
	set             Settings
	log             zerolog.Logger
	ctrl            *AppController
	peerSocket      *conn.PeerSocket
	fetchServer     *conn.FetchServer
	upstreams       *conn.Upstreams
	server          *request.Server
	callers         *http.Server
	operator        *http.Server
	memory          *memory.Account
	shutdownTracing func(context.Context) error
	leaving         atomic.Bool
	stop            context.CancelFunc
}

// StartApp opens all listeners and starts serving. On error it closes whatever it has
// opened.
func StartApp(set Settings, log zerolog.Logger) (*AppDaemon, error) {
	reg := metrics.NewRegistry()
	sealer, err := conn.NewSealer(set.Secret, "route")
	if err != nil {
		return nil, err
	}
	ctx, stop := context.WithCancel(context.Background())
	d := &AppDaemon{set: set, log: log, stop: stop, upstreams: conn.NewUpstreams(conn.DefaultLimits), memory: memory.ForVM(ctx, set.MemoryMB)}
	if d.shutdownTracing, err = startTracing(ctx, set); err != nil {
		stop()
		return nil, err
	}
	if d.peerSocket, err = conn.Listen(set.Peer, sealer, reg); err != nil {
		d.close()
		return nil, err
	}
	d.ctrl = NewAppController(d.coreSettings(), d.peerSocket, sealer, log)
	if d.fetchServer, err = conn.ServeFetch(set.Peer, sealer, conn.Handlers{conn.MethodVersion: func(conn.Query) []byte { return d.packedVersion() }}); err != nil {
		d.close()
		return nil, err
	}
	if err := d.listen(reg); err != nil {
		d.close()
		return nil, err
	}
	d.run(ctx, NewPlatform(set.Platform, d.ctrl, log, reg))
	return d, nil
}

func (d *AppDaemon) coreSettings() core.Settings {
	inc := wire.IncarnationAt(time.Now())
	return core.Settings{
		ID:     wire.NodeID(d.set.Peer),
		Inc:    inc,
		Place:  d.set.Place,
		Public: d.set.Public,
		Seeds:  d.set.Seeds,
		First:  d.set.First,
		Sched:  core.DefaultSched(),
		Seed:   uint64(inc),
	}
}

// packedVersion returns the encoded version in force, for peers, or nil.
func (d *AppDaemon) packedVersion() []byte {
	if v := d.ctrl.Version(); v != nil {
		return v.Packed
	}
	return nil
}

func (d *AppDaemon) listen(reg metrics.Registry) error {
	fingerprintKey, err := fingerprint.NewKey(d.set.Secret)
	if err != nil {
		return err
	}
	callers, err := net.Listen("tcp", d.set.Callers)
	if err != nil {
		return ErrSettings.Wrap(err, "[router] caller_address = %q", d.set.Callers)
	}
	polled, err := newPolledListener(callers)
	if err != nil {
		callers.Close()
		return ErrSettings.Wrap(err, "pipe")
	}
	operator, err := net.Listen("tcp", d.set.Operator)
	if err != nil {
		polled.Close()
		return ErrSettings.Wrap(err, "[router] operator_address = %q", d.set.Operator)
	}
	d.server = request.NewServer(d.ctrl, d.upstreams, fingerprintKey, d.set.Limits, d.memory, reg)
	d.callers = &http.Server{
		Handler:           d.withCloseHint(d.server.Handler()),
		ReadHeaderTimeout: d.set.HeadTime,
		IdleTimeout:       d.set.IdleTime,
		MaxHeaderBytes:    d.set.Header,
		Protocols:         protocols(),
	}
	d.operator = &http.Server{Handler: operatorHandler(d.ctrl, reg), ReadHeaderTimeout: d.set.HeadTime}
	go d.serve(d.callers, &lingeringListener{Listener: polled})
	go func() { _ = d.operator.Serve(operator) }()
	return nil
}

// protocols enables HTTP/1.1 and HTTP/2, with and without TLS.
func protocols() *http.Protocols {
	p := &http.Protocols{}
	p.SetHTTP1(true)
	p.SetHTTP2(true)
	p.SetUnencryptedHTTP2(true)
	return p
}

func (d *AppDaemon) serve(s *http.Server, l net.Listener) {
	var err error
	if d.set.CertFile != "" {
		err = s.ServeTLS(l, d.set.CertFile, d.set.KeyFile)
	} else {
		err = s.Serve(l)
	}
	if !errors.Is(err, http.ErrServerClosed) {
		d.log.Error().Err(err).Msg("callers-listener-ended")
	}
}

// withCloseHint asks callers to close their connections once this router is leaving, so
// that they reconnect to another one. Requests that still arrive are served.
func (d *AppDaemon) withCloseHint(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if d.leaving.Load() && r.ProtoMajor == 1 {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

func (d *AppDaemon) run(ctx context.Context, p *Platform) {
	go d.ctrl.Run(ctx)
	go p.WatchConfiguration(ctx)
	go p.WatchVMs(ctx)
	go d.receive()
	d.log.Info().Str("peer", d.set.Peer).Str("callers", d.set.Callers).Str("operator", d.set.Operator).Msg("started")
}

func (d *AppDaemon) receive() {
	buf := make([]byte, 64<<10)
	for {
		m, err := d.peerSocket.Receive(buf)
		if err != nil {
			return
		}
		d.ctrl.Deliver(m)
	}
}

// Shutdown performs the planned stop: it becomes unready for the load balancer, hands its
// scheduler roles over, serves every request that has arrived to its end, and closes. At the end of the
// bound or the context, callers without an answer are told, which takes tellTimeout at most. It returns
// the number of requests cut or in doubt.
func (d *AppDaemon) Shutdown(ctx context.Context) int {
	d.leaving.Store(true)
	d.ctrl.Step(core.Leave{})
	sleep(ctx, d.set.Wait)
	if d.set.Bound > 0 {
		var stop context.CancelFunc
		ctx, stop = context.WithTimeout(ctx, d.set.Bound)
		defer stop()
	}
	cut := 0
	if err := d.callers.Shutdown(ctx); err != nil {
		cut = d.openRequests()
		d.endRequests()
		d.log.Warn().Int("requests", cut).Msg("requests-cut")
	}
	sleep(ctx, shutdownLingerDuration)
	d.close()
	d.log.Info().Int("cut", cut).Msg("stopped")
	return cut
}

// endRequests tells callers whose answers have not begun that their requests have ended.
func (d *AppDaemon) endRequests() {
	d.server.EndUnanswered()
	ctx, stop := context.WithTimeout(context.Background(), tellTimeout)
	defer stop()
	_ = d.callers.Shutdown(ctx) // what is left is cut
}

// Reload does nothing: except for the log level, which WatchSettings sets, the application
// interface applies changed settings only after a restart.
func (d *AppDaemon) Reload(Settings) {}

// openRequestsTimeout bounds the wait for the control goroutine to count open requests.
const openRequestsTimeout = time.Second

func (d *AppDaemon) openRequests() int { return d.OpenRequests(openRequestsTimeout) }

// OpenRequests returns the number of requests without an outcome, or 0 when the control
// goroutine has ended or does not answer within wait.
func (d *AppDaemon) OpenRequests(wait time.Duration) int {
	n := make(chan int, 1)
	go d.ctrl.enqueue(func(time.Time) { n <- len(d.ctrl.tickets) })
	select {
	case c := <-n:
		return c
	case <-time.After(wait):
		return 0
	case <-d.ctrl.done:
		return 0
	}
}

// close closes all listeners and connections at once.
func (d *AppDaemon) close() {
	d.stop()
	if d.callers != nil {
		d.callers.Close()
	}
	if d.operator != nil {
		d.operator.Close()
	}
	if d.fetchServer != nil {
		d.fetchServer.Close()
	}
	if d.peerSocket != nil {
		d.peerSocket.Close()
	}
	d.upstreams.Close()
	flushTraces(d.shutdownTracing, d.log)
}
