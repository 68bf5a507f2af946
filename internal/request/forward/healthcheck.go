package forward

import (
	"context"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/silverswitch/silverswitch/internal/clock"
	"github.com/silverswitch/silverswitch/internal/conn"
	"github.com/silverswitch/silverswitch/internal/dispatch"
	"github.com/silverswitch/silverswitch/internal/routing"
)

// Health checks of upstreams. A router that is cut off from the store and from the other
// routers may not know that an upstream has turned cold, so it asks for the upstream's
// health before it sends a request there.
//
// Load pattern: a third of the routers is cut off while a place of upstreams restarts. Each
// of these routers goes on sending its callers' requests; together they alone would send a
// cold upstream about as much as all routers are allowed to.

const (
	// healthCheckTTL is how long a result is used. A cut-off router sends less than one
	// request to an upstream in that time.
	healthCheckTTL = 500 * time.Millisecond
	// healthCheckTimeout bounds a health check. An upstream that takes longer is treated as
	// unreachable, as it should not get more requests.
	healthCheckTimeout = 250 * time.Millisecond
	// maxHealthBodyBytes bounds how much of a health answer is read so that its connection
	// can be reused.
	maxHealthBodyBytes = 16 << 10
	// maxHealthChecks bounds the cached results, one for each upstream process.
	maxHealthChecks = 8192
)

// healthResult is the result of a health check.
type healthResult struct {
	reached bool
	coldFor time.Duration // how much longer the upstream is cold
}

// healthCheck is the latest check of one upstream process. The mutex is held during the
// check, so that concurrent requests wait for its result.
type healthCheck struct {
	mu     sync.Mutex
	latest time.Time // when result was received
	result healthResult
}

// healthChecker keeps the latest health check of each upstream. It is safe for concurrent
// use.
type healthChecker struct {
	exchanges *conn.Exchanges
	dialect   Dialect
	clock     *clock.Clock
	mu        sync.Mutex
	checks    map[string]*healthCheck // by routing.Instance.StartID
}

func newHealthChecker(exchanges *conn.Exchanges, dialect Dialect, c *clock.Clock) *healthChecker {
	return &healthChecker{exchanges: exchanges, dialect: dialect, clock: c, checks: map[string]*healthCheck{}}
}

// latest returns the health of an upstream, at most healthCheckTTL old.
func (h *healthChecker) latest(ctx context.Context, i routing.Instance, path string) healthResult {
	check := h.entry(i.StartID())
	check.mu.Lock()
	defer check.mu.Unlock()
	if !check.latest.IsZero() && h.clock.Since(check.latest) < healthCheckTTL {
		return check.result
	}
	check.result = h.probe(context.WithoutCancel(ctx), i, path) // others use the result
	check.latest = h.clock.Now()
	return check.result
}

func (h *healthChecker) entry(start string) *healthCheck {
	h.mu.Lock()
	defer h.mu.Unlock()
	check := h.checks[start]
	if check == nil {
		if len(h.checks) >= maxHealthChecks {
			clear(h.checks)
		}
		check = &healthCheck{}
		h.checks[start] = check
	}
	return check
}

// probe requests an upstream's health. The status of the answer does not matter: any answer
// states for how long the upstream is cold.
func (h *healthChecker) probe(ctx context.Context, i routing.Instance, path string) healthResult {
	ctx, stop := h.clock.WithDeadline(ctx, h.clock.Now().Add(healthCheckTimeout))
	defer stop()
	m := &conn.Message{Method: http.MethodGet, Target: path, Host: i.Address, Header: http.Header{}, MaxHeaderBytes: conn.MaxPlainHeaderBytes, UpstreamStart: i.StartID()}
	x, err := h.exchanges.Send(ctx, i.Address, m, func(*http.Response) bool { return true })
	if err != nil {
		return healthResult{}
	}
	_, err = io.Copy(io.Discard, io.LimitReader(x.Response.Body, maxHealthBodyBytes))
	x.Close(err == nil)
	return healthResult{reached: true, coldFor: h.dialect.coldFor(x.Response.Header)}
}

// coldFor returns how much longer an upstream is cold.
func (d *Dialect) coldFor(h http.Header) time.Duration {
	return parseDuration(h.Get(d.ColdFor), time.Millisecond, maxColdDuration)
}

// maxColdDuration bounds the time for which an upstream may declare itself cold.
const maxColdDuration = time.Minute

// failsHealthCheck checks the health of the placement's upstream if the placement requires
// it. If the check fails, it informs the control state and returns true: the request must
// go elsewhere.
func (r *run) failsHealthCheck(p *dispatch.Placement) (elsewhere bool) {
	if !p.CheckHealth || r.s.ctrl.Unusable(p) != MaySend {
		return false // an unusable placement is withdrawn by Message.StillWanted before sending
	}
	path := r.table.HealthPath(r.service)
	if path == "" {
		return false
	}
	r.s.count.healthChecks.Inc(1)
	result := r.s.healthChecker.latest(r.ctx, p.Instance, path)
	if result.reached && result.coldFor == 0 {
		return false
	}
	r.s.ctrl.HealthCheckFailed(p.Instance, result.coldFor)
	return true
}
