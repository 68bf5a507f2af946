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

// mortal serves a handler at one address. Its process ends when it gets a body with the
// word, and starts again there.
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

// restartDelay is how long a crashed upstream is away.
const restartDelay = 100 * time.Millisecond

func serveCrashing(t testing.TB, handler http.Handler, keyword string, crashes *atomic.Int64) string {
	m := &crashingServer{t: t, handler: handler, addr: "127.0.0.1:0", keyword: keyword, crashes: crashes}
	m.start()
	t.Cleanup(func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		m.closed = true
		m.server.Close()
	})
	return m.addr
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
	go func() { _ = s.Serve(l) }() // ends when it is closed
}

// The interface of our own had the same fault as the routed one: what a router remembers
// of a failure is the upstream's. An application that may be repeated is tried up to four
// times at one router, and each caller's next try, at whichever router, begins anew.
func TestRetriedCrashingRequestCrashesFewUpstreams(t *testing.T) {
	const (
		word    = "deadly"
		tries   = 30
		allowed = 3 + 3
	)
	var ended atomic.Int64
	f := newTestFleetOf(t, func(h http.Handler) string { return serveCrashing(t, h, word, &ended) })
	sound := func(router int) func() bool {
		return func() bool { return f.chat(router, "chat", "sound", false, 5).kind == outcome.Answered }
	}
	for i := range places {
		require.Eventually(t, sound(i), 20*time.Second, 20*time.Millisecond)
	}
	for i := range tries {
		f.chat(i%len(places), "chat", word, false, 5)
		time.Sleep(2 * restartDelay)
	}
	assert.LessOrEqual(t, ended.Load(), int64(allowed), "upstreams that ended under one request")
	assert.GreaterOrEqual(t, ended.Load(), int64(2), "one proves nothing against a request")
	for i := range places {
		a := f.chat(i, "chat", word, false, 5)
		assert.Equal(t, outcome.NotRun, a.kind)
		assert.Equal(t, "crashes-upstreams", a.reason)
		assert.Equal(t, http.StatusServiceUnavailable, a.status)
		require.Eventually(t, sound(i), 20*time.Second, 20*time.Millisecond, "others are served")
	}
}
