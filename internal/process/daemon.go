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
	"github.com/silverswitch/silverswitch/internal/request"
)

// lastWords is how long a router that has ended its requests keeps answering
// peers, so that its leaving is known everywhere.
const lastWords = 300 * time.Millisecond

// Daemon is one router process.
type Daemon struct {
	set      Settings
	log      zerolog.Logger
	drv      *Driver
	route    *conn.PeerSocket
	fetch    *conn.FetchServer
	ups      *conn.Upstreams
	callers  *http.Server
	operator *http.Server
	flush    func(context.Context) error
	leaving  atomic.Bool
	stop     context.CancelFunc
}

// Start opens every listener and begins to serve. On error nothing is left open.
func Start(set Settings, log zerolog.Logger) (*Daemon, error) {
	reg := metrics.NewRegistry()
	sealer, err := conn.NewSealer(set.Secret, "route")
	if err != nil {
		return nil, err
	}
	ctx, stop := context.WithCancel(context.Background())
	d := &Daemon{set: set, log: log, stop: stop, ups: conn.NewUpstreams(conn.DefaultLimits)}
	if d.flush, err = startTracing(ctx, set); err != nil {
		stop()
		return nil, err
	}
	if d.route, err = conn.Listen(set.Peer, sealer, reg); err != nil {
		d.close()
		return nil, err
	}
	d.drv = NewDriver(d.coreSettings(), d.route, sealer, log)
	if d.fetch, err = conn.ServeFetch(set.Peer, sealer, conn.Handlers{conn.MethodVersion: func(conn.Query) []byte { return d.packed() }}); err != nil {
		d.close()
		return nil, err
	}
	if err := d.listen(reg); err != nil {
		d.close()
		return nil, err
	}
	d.run(ctx, NewPlatform(set.Platform, d.drv, log, reg))
	return d, nil
}

func (d *Daemon) coreSettings() core.Settings {
	inc := wire.IncarnationAt(time.Now())
	return core.Settings{
		ID:     wire.NodeID(d.set.Peer),
		Inc:    inc,
		Place:  d.set.Place,
		Public: d.set.Public,
		Seeds:  d.set.Seeds,
		Sched:  core.DefaultSched(),
		Seed:   uint64(inc),
	}
}

// packed returns the bytes of the version in force, for peers.
func (d *Daemon) packed() []byte {
	if v := d.drv.Version(); v != nil {
		return v.Packed
	}
	return nil
}

func (d *Daemon) listen(reg metrics.Registry) error {
	prints, err := fingerprint.NewKey(d.set.Secret)
	if err != nil {
		return err
	}
	callers, err := net.Listen("tcp", d.set.Callers)
	if err != nil {
		return ErrSettings.Wrap(err, "[router] caller_address = %q", d.set.Callers)
	}
	operator, err := net.Listen("tcp", d.set.Operator)
	if err != nil {
		callers.Close()
		return ErrSettings.Wrap(err, "[router] operator_address = %q", d.set.Operator)
	}
	server := request.NewServer(d.drv, d.ups, prints, d.set.Limits, reg)
	d.callers = &http.Server{
		Handler:           d.closing(server.Handler()),
		ReadHeaderTimeout: d.set.HeadTime,
		IdleTimeout:       d.set.IdleTime,
		MaxHeaderBytes:    d.set.Header,
		Protocols:         protocols(),
	}
	d.operator = &http.Server{Handler: operatorHandler(d.drv, reg), ReadHeaderTimeout: d.set.HeadTime}
	go d.serve(d.callers, callers)
	go func() { _ = d.operator.Serve(operator) }()
	return nil
}

// protocols serves HTTP/1.1 and HTTP/2, the latter also without TLS.
func protocols() *http.Protocols {
	p := &http.Protocols{}
	p.SetHTTP1(true)
	p.SetHTTP2(true)
	p.SetUnencryptedHTTP2(true)
	return p
}

func (d *Daemon) serve(s *http.Server, l net.Listener) {
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

// closing asks callers to open a new connection elsewhere once this router is
// leaving; requests that still arrive are served.
func (d *Daemon) closing(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if d.leaving.Load() && r.ProtoMajor == 1 {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

func (d *Daemon) run(ctx context.Context, p *Platform) {
	go d.drv.Run(ctx)
	go p.WatchConfiguration(ctx)
	go p.WatchVMs(ctx)
	go d.receive()
	d.log.Info().Str("peer", d.set.Peer).Str("callers", d.set.Callers).Str("operator", d.set.Operator).Msg("started")
}

func (d *Daemon) receive() {
	buf := make([]byte, 64<<10)
	for {
		m, err := d.route.Receive(buf)
		if err != nil {
			return
		}
		d.drv.Deliver(m)
	}
}

// Shutdown is the planned stop: not ready for the balancer, scheduler roles to
// others, every request that arrived served to its end, then gone. It returns
// the number of requests cut by the bound, 0 without one.
func (d *Daemon) Shutdown(ctx context.Context) int {
	d.leaving.Store(true)
	d.drv.Step(core.Leave{})
	sleep(ctx, d.set.Wait)
	if d.set.Bound > 0 {
		var stop context.CancelFunc
		ctx, stop = context.WithTimeout(ctx, d.set.Bound)
		defer stop()
	}
	if err := d.callers.Shutdown(ctx); err != nil {
		d.log.Warn().Int("requests", d.open()).Msg("requests-cut")
	}
	cut := d.open()
	sleep(ctx, lastWords)
	d.close()
	d.log.Info().Int("cut", cut).Msg("stopped")
	return cut
}

// Reload takes settings that may change while the process runs: none of this
// interface yet; WatchSettings says which wait for a restart.
func (d *Daemon) Reload(Settings) {}

// openWait bounds how long the control goroutine is asked for a count.
const openWait = time.Second

func (d *Daemon) open() int { return d.Open(openWait) }

// Open returns the requests that have no outcome yet.
func (d *Daemon) Open(wait time.Duration) int {
	n := make(chan int, 1)
	go d.drv.do(func(time.Time) { n <- len(d.drv.tickets) })
	select {
	case c := <-n:
		return c
	case <-time.After(wait):
		return 0
	case <-d.drv.done:
		return 0
	}
}

// close ends everything at once.
func (d *Daemon) close() {
	d.stop()
	if d.callers != nil {
		d.callers.Close()
	}
	if d.operator != nil {
		d.operator.Close()
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
