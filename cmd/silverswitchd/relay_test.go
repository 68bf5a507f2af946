package main

import (
	"bufio"
	"cmp"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/silverswitch/silverswitch/internal/standin"
	"github.com/silverswitch/silverswitch/platform/fake"
)

// relayUpstream is an upstream of the routed interface.
type relayUpstream struct {
	*httptest.Server
	executed atomic.Int64
	ended    atomic.Int64  // held streams that the router has ended
	hold     chan struct{} // held streams wait for its close after the first event
}

const (
	relayEvents   = 29
	relayEventGap = 2 * time.Millisecond
)

var relayEvent = "data: " + strings.Repeat("e", 64)

func newRelayUpstream(t testing.TB) *relayUpstream {
	u := &relayUpstream{hold: make(chan struct{})}
	u.Server = httptest.NewServer(u)
	t.Cleanup(u.Close)
	return u
}

func (u *relayUpstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
	w.Header().Set("X-Response-Stamp", "stamp")
	u.executed.Add(1)
	_, _ = io.Copy(io.Discard, r.Body)
	if !strings.HasPrefix(r.URL.Path, "/stream/") {
		if r.URL.Path == "/a/wait" {
			select {
			case <-u.hold:
			case <-r.Context().Done():
			}
		}
		_, _ = io.WriteString(w, "answer")
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	for i := 1; i <= relayEvents; i++ {
		fmt.Fprintf(w, "id: %d\n%s\n\n", i, relayEvent)
		w.(http.Flusher).Flush()
		if i == 1 && r.URL.Path == "/stream/held" {
			select {
			case <-u.hold:
			case <-r.Context().Done():
				u.ended.Add(1)
				return
			}
		}
		time.Sleep(relayEventGap)
	}
}

// relayRouter is a router process on its own loopback address.
type relayRouter struct {
	*router
	ip string
}

// relayFleet is a router that believes to have a thousandth of a core, so that it always is
// short of CPU, and a helper in the same place.
type relayFleet struct {
	upstream *relayUpstream
	busy     *relayRouter
	helper   *relayRouter
}

type relayFleetOptions struct {
	busyCores     string // 0.001 if empty
	previous      bool   // the helper is of a release without relaying
	busyNoRelay   bool   // it has no relay address
	goMaxProcsOne bool   // as deployed
	address       string // of the upstream; a relayUpstream's if empty
	bound         string // of a planned stop; 15s if empty
}

func newRelayFleet(t testing.TB, opt relayFleetOptions) *relayFleet {
	t.Helper()
	f := &relayFleet{upstream: newRelayUpstream(t)}
	store := fake.NewStore()
	t.Cleanup(store.Stop)
	store.Put("op/config", `{"version":1,"routes":[
	 {"name":"a","host":"h.example","prefix":"/a/","kind":"non_idempotent","timeout_ms":15000,"target_latency_ms":600,"service":"app","max_attempts":2},
	 {"name":"s","host":"h.example","prefix":"/stream/","kind":"streaming","timeout_ms":15000,"target_latency_ms":600,"service":"app","max_attempts":2}],
	 "services":[{"name":"app"}],"limits":{"max_header_bytes":16384,"max_body_bytes":100000,"header_timeout_ms":3000,"idle_timeout_ms":15000},
	 "tenants":[{"name":"t1","api_keys":["k1"]}]}`)
	store.Put("servers/i-1", map[string]any{"service": "app", "address": cmp.Or(opt.address, strings.TrimPrefix(f.upstream.URL, "http://")), "zone": "z1", "slots": 64, "state": "ready", "seq": 4})
	relayPort := portOf(standin.FreeAddr())
	busyCores := opt.busyCores
	if busyCores == "" {
		busyCores = "0.001"
	}
	f.busy = f.startRelayRouter(t, store.URL, "127.0.0.2", busyCores, relayPort, "", opt, opt.busyNoRelay)
	f.helper = f.startRelayRouter(t, store.URL, "127.0.0.3", "8", relayPort, f.busy.peer, opt, opt.previous)
	return f
}

func portOf(addr string) string {
	_, port, _ := net.SplitHostPort(addr)
	return port
}

func (f *relayFleet) startRelayRouter(t testing.TB, store, ip, cores, relayPort, seed string, opt relayFleetOptions, noRelay bool) *relayRouter {
	addr := func() string { return ip + ":" + portOf(standin.FreeAddr()) }
	r := &relayRouter{router: &router{peer: addr(), callers: addr(), operator: addr()}, ip: ip}
	relay := ip + ":" + relayPort
	if noRelay {
		relay = ""
	}
	r.settings = filepath.Join(t.TempDir(), "r.ini")
	text := fmt.Sprintf("[router]\npeer_address = %s\nplace = z1\ncaller_address = %s\ncaller_url = http://%s\noperator_address = %s\n[fleet]\nseeds = %s\nsecret = a-secret-for-tests-only\n[platform]\nurl = %s\nkind = store\n[tls]\nplain_text_allowed = true\n[relay]\naddress = %s\n[machine]\ncores = %s\n[stop]\nbalancer_wait = 300ms\nbound = %s\n[log]\nlevel = error\n",
		r.peer, r.callers, r.callers, r.operator, seed, store, relay, cores, cmp.Or(opt.bound, "15s"))
	require.NoError(t, os.WriteFile(r.settings, []byte(text), 0o600))
	r.cmd = exec.Command(daemonPath, "-settings", r.settings)
	r.cmd.Stderr = os.Stderr
	if opt.goMaxProcsOne {
		r.cmd.Env = append(os.Environ(), "GOMAXPROCS=1")
	}
	require.NoError(t, r.cmd.Start())
	t.Cleanup(func() {
		_ = r.cmd.Process.Kill() // it may have ended
		_ = r.cmd.Wait()
	})
	require.Eventually(t, func() bool {
		res, err := http.Get("http://" + r.operator + "/readyz")
		if err != nil {
			return false
		}
		res.Body.Close()
		return res.StatusCode == http.StatusOK
	}, 20*time.Second, 10*time.Millisecond, "ready")
	return r
}

// metric returns a value of the metrics page, or 0.
func (r *relayRouter) metric(t testing.TB, name string) int {
	res, err := http.Get("http://" + r.operator + "/metrics")
	require.NoError(t, err)
	defer res.Body.Close()
	raw, err := io.ReadAll(res.Body)
	require.NoError(t, err)
	m := regexp.MustCompile(`(?m)^silverswitch_` + name + ` (\d+)$`).FindSubmatch(raw)
	if m == nil {
		return 0
	}
	n, _ := strconv.Atoi(string(m[1]))
	return n
}

// relayCall is one connection of a caller with one request on it.
type relayCall struct {
	net.Conn
	r *bufio.Reader
}

func (r *relayRouter) open(t testing.TB, path, key string) *relayCall {
	t.Helper()
	c, err := net.Dial("tcp", r.callers)
	require.NoError(t, err)
	t.Cleanup(func() { c.Close() })
	require.NoError(t, c.SetDeadline(time.Now().Add(20*time.Second)))
	call := &relayCall{c, bufio.NewReader(c)}
	call.send(t, path, key)
	return call
}

func (c *relayCall) send(t testing.TB, path, key string) {
	t.Helper()
	_, err := fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: r1\r\nAuthorization: Bearer %s\r\nContent-Length: 4\r\n\r\nbody", path, key)
	require.NoError(t, err)
}

func (c *relayCall) answer(t testing.TB) *http.Response {
	t.Helper()
	res, err := http.ReadResponse(c.r, nil)
	require.NoError(t, err)
	return res
}

// status sends a request on a new connection and returns the status of its answer.
func (r *relayRouter) status(t testing.TB, path, key string) int {
	c := r.open(t, path, key)
	defer c.Close()
	res := c.answer(t)
	_, err := io.Copy(io.Discard, res.Body)
	require.NoError(t, err)
	return res.StatusCode
}

// waitRelaying waits until every new connection is relayed.
func (f *relayFleet) waitRelaying(t testing.TB) {
	t.Helper()
	require.Eventually(t, func() bool {
		before := f.busy.metric(t, "relay_connections")
		for range 5 {
			f.busy.status(t, "/none/x", "k1")
		}
		return f.busy.metric(t, "relay_connections") == before+5
	}, 20*time.Second, 50*time.Millisecond, "relaying")
}

func (r *relayRouter) signal(t testing.TB, s os.Signal) { require.NoError(t, r.cmd.Process.Signal(s)) }

func (r *relayRouter) exitCode(t testing.TB) int {
	t.Helper()
	ended := make(chan struct{})
	go func() { _ = r.cmd.Wait(); close(ended) }()
	select {
	case <-ended:
		return r.cmd.ProcessState.ExitCode()
	case <-time.After(30 * time.Second):
		require.Fail(t, "the router has not ended")
		return -1
	}
}

// heldStream starts a stream that waits after its first event.
func (f *relayFleet) heldStream(t testing.TB) (*relayCall, *http.Response) {
	c := f.busy.open(t, "/stream/held", "k1")
	res := c.answer(t)
	require.Equal(t, http.StatusOK, res.StatusCode)
	_, err := io.ReadFull(res.Body, make([]byte, 5))
	require.NoError(t, err)
	return c, res
}

// Guards against a relay that works only inside one process: requests through a busy router
// are answered by its neighbour. The helper is killed: what it has not answered gets a 502,
// what it has begun is visibly cut, and nothing runs twice.
func TestKilledHelperLosesNothingSilently(t *testing.T) {
	f := newRelayFleet(t, relayFleetOptions{})
	f.waitRelaying(t)
	assert.Equal(t, 200, f.busy.status(t, "/a/x", "k1"))
	assert.Equal(t, 401, f.busy.status(t, "/a/x", "k2"))
	before := f.upstream.executed.Load()
	waiting := f.busy.open(t, "/a/wait", "k1")
	_, stream := f.heldStream(t)
	require.Eventually(t, func() bool { return f.upstream.executed.Load() == before+2 }, 20*time.Second, 5*time.Millisecond)
	f.helper.signal(t, syscall.SIGKILL)
	res := waiting.answer(t)
	assert.Equal(t, http.StatusBadGateway, res.StatusCode)
	assert.True(t, res.Close)
	_, err := io.ReadAll(stream.Body)
	assert.Error(t, err, "a cut stream is no whole one")
	assert.Equal(t, before+2, f.upstream.executed.Load(), "nothing runs twice")
	assert.Contains(t, []int{200, 503}, f.busy.status(t, "/a/x", "k1"), "the router serves new connections itself")
}

// Guards against a planned stop of either router that cuts relayed requests, or waits for an
// idle connection: the exit code is that of a stop without cut requests.
func TestPlannedStopOfEitherSideFinishesRelayedRequests(t *testing.T) {
	for _, side := range []string{"busy", "helper"} {
		t.Run(side, func(t *testing.T) {
			f := newRelayFleet(t, relayFleetOptions{})
			f.waitRelaying(t)
			r := map[string]*relayRouter{"busy": f.busy, "helper": f.helper}[side]
			idle := f.busy.open(t, "/a/x", "k1")
			_, err := io.Copy(io.Discard, idle.answer(t).Body)
			require.NoError(t, err)
			_, stream := f.heldStream(t)
			r.signal(t, syscall.SIGTERM)
			_, err = idle.r.ReadByte()
			assert.ErrorIs(t, err, io.EOF, "the idle connection is closed")
			close(f.upstream.hold)
			raw, err := io.ReadAll(stream.Body)
			require.NoError(t, err)
			assert.Equal(t, relayEvents, strings.Count("data: "+string(raw), relayEvent[:12]), "the whole stream, less what was read before")
			assert.Equal(t, exitOK, r.exitCode(t))
		})
	}
}

// When a router stopped, callers whose kept connections it relayed were cut at the end of its grace with
// no answer, and those that still sent their bodies were told that their requests may have run.
func TestCallersOfRelayedConnectionsAreToldAtTheEndOfAPlannedStop(t *testing.T) {
	f := newRelayFleet(t, relayFleetOptions{bound: "2s"})
	f.waitRelaying(t)
	running, body := f.busy.open(t, "/a/x", "k1"), f.busy.open(t, "/a/x", "k1")
	for _, c := range []*relayCall{running, body} {
		_, err := io.Copy(io.Discard, c.answer(t).Body)
		require.NoError(t, err)
	}
	before := f.upstream.executed.Load()
	running.send(t, "/a/wait", "k1")
	require.Eventually(t, func() bool { return f.upstream.executed.Load() == before+1 }, 20*time.Second, 5*time.Millisecond)
	_, err := io.WriteString(body, "POST /a/x HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: r2\r\nAuthorization: Bearer k1\r\nContent-Length: 4\r\n\r\nbo")
	require.NoError(t, err)
	f.busy.signal(t, syscall.SIGTERM)
	assert.Equal(t, http.StatusServiceUnavailable, body.answer(t).StatusCode, "it has not run")
	assert.Equal(t, http.StatusBadGateway, running.answer(t).StatusCode)
	f.busy.exitCode(t)
	assert.Equal(t, before+1, f.upstream.executed.Load())
	assert.Equal(t, http.StatusOK, f.helper.status(t, "/a/x", "k1"), "the other router goes on")
}

// Guards against lost connections and repeated attempts where the other router is of a release
// without relaying, or of another fleet.
func TestRouterWithoutAUsableHelperServesItself(t *testing.T) {
	f := newRelayFleet(t, relayFleetOptions{previous: true})
	require.Eventually(t, func() bool { return f.busy.metric(t, "dispatch_routers") == 2 }, 20*time.Second, 10*time.Millisecond)
	for range 30 {
		assert.Equal(t, 401, f.busy.status(t, "/a/x", "k2"))
		time.Sleep(50 * time.Millisecond)
	}
	assert.Zero(t, f.busy.metric(t, "relay_connections"))
}

// Guards against work that goes on at the helper for a caller that is gone, or whose router is.
func TestHelperEndsTheWorkOfARelayedCallerThatIsGone(t *testing.T) {
	for name, end := range map[string]func(*relayFleet, *relayCall){
		"caller closes":      func(_ *relayFleet, c *relayCall) { c.Close() },
		"busy router killed": func(f *relayFleet, _ *relayCall) { f.busy.signal(t, syscall.SIGKILL) },
	} {
		f := newRelayFleet(t, relayFleetOptions{})
		f.waitRelaying(t)
		c, _ := f.heldStream(t)
		require.Positive(t, f.helper.metric(t, "relay_served"), name)
		require.EqualValues(t, 0, f.upstream.ended.Load(), name)
		end(f, c)
		require.Eventually(t, func() bool { return f.upstream.ended.Load() == 1 }, 20*time.Second, 10*time.Millisecond, name)
	}
}

// cpuTimeOf returns the CPU time that a process has used, from the scheduler's counters of its
// threads.
func cpuTimeOf(t testing.TB, pid int) time.Duration {
	files, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/schedstat", pid))
	require.NoError(t, err)
	total := time.Duration(0)
	for _, file := range files {
		raw, err := os.ReadFile(file)
		if errors.Is(err, os.ErrNotExist) {
			continue // the thread has ended
		}
		require.NoError(t, err)
		ns, err := strconv.ParseInt(strings.Fields(string(raw))[0], 10, 64)
		require.NoError(t, err)
		total += time.Duration(ns)
	}
	return total
}

// BenchmarkBusyRouter measures the CPU time of the busy router alone, less what it uses without
// callers: for a refusal on a new connection, with a body of 9 KB that is not read, and for a
// stream of 29 events of 80 bytes on a new connection, 32 callers at a time.
func BenchmarkBusyRouter(b *testing.B) {
	for _, way := range []string{"direct", "relayed"} {
		for _, load := range []string{"refusal", "stream"} {
			b.Run(load+"/"+way, func(b *testing.B) {
				opt := relayFleetOptions{goMaxProcsOne: true}
				if way == "direct" {
					opt.busyCores, opt.busyNoRelay = "8", true
				}
				f := newRelayFleet(b, opt)
				if way == "relayed" {
					f.waitRelaying(b)
				}
				one := func() {
					path, key, size, want := "/stream/x", "k1", 4, 200
					if load == "refusal" {
						key, size, want = "k2", 9200, 401
					}
					c, err := net.Dial("tcp", f.busy.callers)
					if err != nil {
						b.Error(err)
						return
					}
					defer c.Close()
					fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: r1\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s", path, key, size, strings.Repeat("x", size))
					res, err := http.ReadResponse(bufio.NewReader(c), nil)
					if err != nil {
						b.Error(err)
						return
					}
					if n, err := io.Copy(io.Discard, res.Body); err != nil || res.StatusCode != want {
						b.Errorf("status %d, %d bytes, %v", res.StatusCode, n, err)
					}
				}
				run := func(n int) {
					var wg sync.WaitGroup
					var left atomic.Int64
					left.Store(int64(n))
					for range 32 {
						wg.Go(func() {
							for left.Add(-1) >= 0 {
								one()
							}
						})
					}
					wg.Wait()
				}
				run(200)
				pid := f.busy.cmd.Process.Pid
				began, used := time.Now(), cpuTimeOf(b, pid)
				time.Sleep(time.Second)
				idle := float64(cpuTimeOf(b, pid)-used) / float64(time.Since(began))
				b.ResetTimer()
				began, used = time.Now(), cpuTimeOf(b, pid)
				run(b.N)
				took := time.Since(began)
				cpu := float64(cpuTimeOf(b, pid)-used) - idle*float64(took)
				b.ReportMetric(cpu/float64(b.N)/1000, "busy-µs/op")
			})
		}
	}
}
