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

// Looks at the health of upstreams, before a request is sent to one that may have turned
// cold without this router's knowledge: it is cut off from the store and the other routers.
//
// Load pattern: a third of the routers is cut off while a place of upstreams starts again.
// Each of these routers goes on sending what its callers ask for; together they alone
// send a cold upstream about as much as all routers may.

const (
	// healthCheckTTL is how long a look holds. A cut-off router sends an upstream less than one
	// request in that time.
	healthCheckTTL = 500 * time.Millisecond
	// healthCheckTimeout bounds a look: one that takes longer says that the upstream is not to be
	// sent more.
	healthCheckTimeout = 250 * time.Millisecond
	// maxHealthBodyBytes is how much of a health answer is read, so that its connection can be kept.
	maxHealthBodyBytes = 16 << 10
	// maxHealthChecks bounds the starts of upstreams that are remembered.
	maxHealthChecks = 8192
)

// health is what a look has found.
type healthResult struct {
	reached bool
	coldFor time.Duration
}

// look is one upstream's latest look. The mutex is held while it is made, so that requests
// that come meanwhile wait for it.
type healthCheck struct {
	mu     sync.Mutex
	latest time.Time
	result healthResult
}

// looks keeps the latest looks. It may be used by any goroutine.
type healthChecker struct {
	ups     *conn.Exchanges
	dialect Dialect
	clock   *clock.Clock
	mu      sync.Mutex
	checks  map[string]*healthCheck // by start of an instance
}

func newHealthChecker(ups *conn.Exchanges, dialect Dialect, c *clock.Clock) *healthChecker {
	return &healthChecker{ups: ups, dialect: dialect, clock: c, checks: map[string]*healthCheck{}}
}

// at returns what an upstream's health says, not older than healthCheckTTL.
func (l *healthChecker) latest(ctx context.Context, i routing.Instance, path string) healthResult {
	k := l.entry(i.Start())
	k.mu.Lock()
	defer k.mu.Unlock()
	if !k.latest.IsZero() && l.clock.Since(k.latest) < healthCheckTTL {
		return k.result
	}
	k.result = l.probe(ctx, i, path)
	k.latest = l.clock.Now()
	return k.result
}

func (l *healthChecker) entry(start string) *healthCheck {
	l.mu.Lock()
	defer l.mu.Unlock()
	k := l.checks[start]
	if k == nil {
		if len(l.checks) >= maxHealthChecks {
			clear(l.checks)
		}
		k = &healthCheck{}
		l.checks[start] = k
	}
	return k
}

// ask reads an upstream's health. Whatever its status, an answer says for how long it is
// cold.
func (l *healthChecker) probe(ctx context.Context, i routing.Instance, path string) healthResult {
	ctx, stop := l.clock.WithDeadline(ctx, l.clock.Now().Add(healthCheckTimeout))
	defer stop()
	m := &conn.Message{Method: http.MethodGet, Target: path, Host: i.Address, Header: http.Header{}, Owner: i.Start()}
	x, err := l.ups.Send(ctx, i.Address, m, func(*http.Response) bool { return true })
	if err != nil {
		return healthResult{}
	}
	_, err = io.Copy(io.Discard, io.LimitReader(x.Response.Body, maxHealthBodyBytes))
	x.Close(err == nil)
	return healthResult{reached: true, coldFor: l.dialect.coldFor(x.Response.Header)}
}

// coldFor reads how much longer an upstream is cold.
func (d *Dialect) coldFor(h http.Header) time.Duration {
	return parseDuration(h.Get(d.ColdFor), time.Millisecond, maxColdDuration)
}

// maxColdDuration bounds how long an upstream may keep itself from its full load.
const maxColdDuration = time.Minute

// failsHealthCheck looks at the upstream of a placement that asks for it. It reports whether
// the request is to go elsewhere, and tells the control state why.
func (r *run) failsHealthCheck(p *dispatch.Place) (elsewhere bool) {
	if !p.Look || r.s.ctl.Unusable(p) != MaySend {
		return false // in the second case it is withdrawn before it is sent
	}
	path := r.table.HealthPath(r.service)
	if path == "" {
		return false
	}
	r.s.count.healthChecks.Inc(1)
	found := r.s.healthChecker.latest(r.ctx, p.Instance, path)
	if found.reached && found.coldFor == 0 {
		return false
	}
	r.s.ctl.Looked(p.Instance, found.coldFor)
	return true
}
