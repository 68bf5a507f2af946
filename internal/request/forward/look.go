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
	// lookFor is how long a look holds. A cut-off router sends an upstream less than one
	// request in that time.
	lookFor = 500 * time.Millisecond
	// lookTimeout bounds a look: one that takes longer says that the upstream is not to be
	// sent more.
	lookTimeout = 250 * time.Millisecond
	// lookBody is how much of a health answer is read, so that its connection can be kept.
	lookBody = 16 << 10
	// looksKept bounds the starts of upstreams that are remembered.
	looksKept = 8192
)

// health is what a look has found.
type health struct {
	reached bool
	coldFor time.Duration
}

// look is one upstream's latest look. The mutex is held while it is made, so that requests
// that come meanwhile wait for it.
type look struct {
	mu    sync.Mutex
	at    time.Time
	found health
}

// looks keeps the latest looks. It may be used by any goroutine.
type looks struct {
	ups   *conn.Exchanges
	names Dialect
	clock *clock.Clock
	mu    sync.Mutex
	known map[string]*look // by start of an instance
}

func newLooks(ups *conn.Exchanges, names Dialect, c *clock.Clock) *looks {
	return &looks{ups: ups, names: names, clock: c, known: map[string]*look{}}
}

// at returns what an upstream's health says, not older than lookFor.
func (l *looks) at(ctx context.Context, i routing.Instance, path string) health {
	k := l.of(i.StartID())
	k.mu.Lock()
	defer k.mu.Unlock()
	if !k.at.IsZero() && l.clock.Since(k.at) < lookFor {
		return k.found
	}
	k.found = l.ask(ctx, i, path)
	k.at = l.clock.Now()
	return k.found
}

func (l *looks) of(start string) *look {
	l.mu.Lock()
	defer l.mu.Unlock()
	k := l.known[start]
	if k == nil {
		if len(l.known) >= looksKept {
			clear(l.known)
		}
		k = &look{}
		l.known[start] = k
	}
	return k
}

// ask reads an upstream's health. Whatever its status, an answer says for how long it is
// cold.
func (l *looks) ask(ctx context.Context, i routing.Instance, path string) health {
	ctx, stop := l.clock.WithDeadline(ctx, l.clock.Now().Add(lookTimeout))
	defer stop()
	m := &conn.Message{Method: http.MethodGet, Target: path, Host: i.Address, Header: http.Header{}, UpstreamStart: i.StartID()}
	x, err := l.ups.Send(ctx, i.Address, m, func(*http.Response) bool { return true })
	if err != nil {
		return health{}
	}
	_, err = io.Copy(io.Discard, io.LimitReader(x.Response.Body, lookBody))
	x.Close(err == nil)
	return health{reached: true, coldFor: l.names.coldFor(x.Response.Header)}
}

// coldFor reads how much longer an upstream is cold.
func (d *Dialect) coldFor(h http.Header) time.Duration {
	return timeOf(h.Get(d.ColdFor), time.Millisecond, mostCold)
}

// mostCold bounds how long an upstream may keep itself from its full load.
const mostCold = time.Minute

// lookFinds looks at the upstream of a placement that asks for it. It reports whether
// the request is to go elsewhere, and tells the control state why.
func (r *run) lookFinds(p *dispatch.Place) (elsewhere bool) {
	if !p.Look || r.s.ctl.Unusable(p) != MaySend {
		return false // in the second case it is withdrawn before it is sent
	}
	path := r.table.HealthPath(r.service)
	if path == "" {
		return false
	}
	r.s.count.looked.Inc(1)
	found := r.s.looks.at(r.ctx, p.Instance, path)
	if found.reached && found.coldFor == 0 {
		return false
	}
	r.s.ctl.Looked(p.Instance, found.coldFor)
	return true
}
