package process

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/silverswitch/silverswitch/internal/request/outcome"
)

// crashingServer serves a handler at one address. It closes when it receives a body that
// contains the keyword, and starts again at the same address after restartDelay.
type crashingServer struct {
	t       testing.TB
	handler http.Handler
	addr    string
	keyword string
	crashes *atomic.Int64
	mu      sync.Mutex
	server  *http.Server
	closed  bool
}

// restartDelay is how long a crashed upstream is unreachable.
const restartDelay = 100 * time.Millisecond

func serveCrashing(t testing.TB, handler http.Handler, keyword string, crashes *atomic.Int64) string {
	cs := &crashingServer{t: t, handler: handler, addr: "127.0.0.1:0", keyword: keyword, crashes: crashes}
	cs.start()
	t.Cleanup(func() {
		cs.mu.Lock()
		defer cs.mu.Unlock()
		cs.closed = true
		cs.server.Close()
	})
	return cs.addr
}

func (cs *crashingServer) start() {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	if cs.closed {
		return
	}
	l, err := net.Listen("tcp", cs.addr)
	if !assert.NoError(cs.t, err) {
		return
	}
	cs.addr = l.Addr().String()
	s := &http.Server{}
	var once sync.Once
	s.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		raw, _ := io.ReadAll(r.Body)
		if strings.Contains(string(raw), cs.keyword) {
			once.Do(func() {
				cs.crashes.Add(1)
				s.Close()
				time.AfterFunc(restartDelay, cs.start)
			})
			return
		}
		r.Body = io.NopCloser(bytes.NewReader(raw))
		cs.handler.ServeHTTP(w, r)
	})
	cs.server = s
	go func() { _ = s.Serve(l) }() // returns when it is closed
}

// Guards against a request that crashes every upstream it is sent to. A router records a
// failure for the upstream, not for the request. An idempotent application's request is
// attempted up to four times at one router, and each retry by the caller, at any router,
// starts over, so that without quarantine one request ends one upstream after another.
func TestRetriedCrashingRequestCrashesFewUpstreams(t *testing.T) {
	const (
		keyword = "deadly"
		tries   = 30
		allowed = 3 + 3
	)
	var crashes atomic.Int64
	f := newTestFleetOf(t, func(h http.Handler) string { return serveCrashing(t, h, keyword, &crashes) })
	served := func(router int) func() bool {
		return func() bool { return f.chat(router, "chat", "sound", false, 5).kind == outcome.Answered }
	}
	for i := range places {
		require.Eventually(t, served(i), 20*time.Second, 20*time.Millisecond)
	}
	for i := range tries {
		f.chat(i%len(places), "chat", keyword, false, 5)
		time.Sleep(2 * restartDelay)
	}
	assert.LessOrEqual(t, crashes.Load(), int64(allowed), "upstreams crashed by one request")
	assert.GreaterOrEqual(t, crashes.Load(), int64(2), "a single crash is not enough to quarantine a request")
	for i := range places {
		a := f.chat(i, "chat", keyword, false, 5)
		assert.Equal(t, outcome.NotRun, a.kind)
		assert.Equal(t, "crashes-upstreams", a.reason)
		assert.Equal(t, http.StatusServiceUnavailable, a.status)
		require.Eventually(t, served(i), 20*time.Second, 20*time.Millisecond, "other requests are served")
	}
}
