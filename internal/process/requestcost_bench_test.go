package process

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/silverswitch/silverswitch/internal/conn"
	"github.com/silverswitch/silverswitch/internal/core/quarantine"
	"github.com/silverswitch/silverswitch/internal/dispatch"
	"github.com/silverswitch/silverswitch/internal/fingerprint"
	"github.com/silverswitch/silverswitch/internal/memory"
	"github.com/silverswitch/silverswitch/internal/request/forward"
	"github.com/silverswitch/silverswitch/internal/routing"
)

// The benchmarks in this file measure what one request costs a router, through its caller
// server and handler on loopback. Callers and the upstream are another process, so the CPU
// time ("cpu-us/op", of all threads with the kernel's part), the allocations, and profiles
// are the router's alone. Placement is a fake that decides at once.
//
//	GOMAXPROCS=1 go test ./internal/process -run XXX -bench Cost -benchtime 20000x
//	... -bench CostRefusalNewConn -cpuprofile cpu.out -memprofile mem.out -memprofilerate 512

// Refusals carry a body of 9 KB, as a chat request does.
const (
	costBodyBytes    = 9200
	costConcurrency  = 8
	costStreamEvents = 29
	costEventGap     = time.Millisecond // so that every event is read and written by itself
)

const costProcessEnv = "SILVERSWITCH_COST_PROCESS"

func BenchmarkCostRefusalNewConn(b *testing.B) { benchCost(b, "new", 1) }

func BenchmarkCostRefusalKeptConn(b *testing.B) { benchCost(b, "kept", 1) }

func BenchmarkCostStream(b *testing.B) { benchCost(b, "stream", 0) }

// BenchmarkCostStreamBehind has the upstream send all events at once, as a router finds them
// that was not scheduled for a while.
func BenchmarkCostStreamBehind(b *testing.B) { benchCost(b, "burst", 0) }

func benchCost(b *testing.B, kind string, shedRatio float64) {
	shutdown, err := startTracing(context.Background(), Settings{Exporter: "off"})
	require.NoError(b, err)
	defer func() { _ = shutdown(context.Background()) }()
	ctrl := &costControl{table: costTable(b), shedRatio: shedRatio}
	key, err := fingerprint.NewKey("a secret of the fleet")
	require.NoError(b, err)
	exchanges := conn.NewExchanges()
	defer exchanges.Close()
	log := zerolog.New(io.Discard)
	handler := forward.NewServer(ctrl, exchanges, costDialect, key, forward.Limits{MaxRequests: 1000, Memory: memory.NewAccount(64 << 20)}, metrics.NewRegistry(), log)
	cs, err := newCallerServer("127.0.0.1:0", 0, handler, 4096, func() bool { return false }, log)
	require.NoError(b, err)
	defer cs.close()
	cs.setLimits(ctrl.table.Limits)
	cs.connLimiter.arrivals.Store(&ctrl.arrivals)
	p := startCostProcess(b)
	ctrl.upstream = p.line(b)
	p.run(b, kind, cs.listener.Addr().String(), 200) // connections, pools, heap
	b.ReportAllocs()
	b.ResetTimer()
	used := cpuTime()
	p.run(b, kind, cs.listener.Addr().String(), b.N)
	b.StopTimer()
	b.ReportMetric(float64((cpuTime()-used).Nanoseconds())/1000/float64(b.N), "cpu-us/op")
}

var costDialect = forward.Dialect{
	RequestID: "X-Id", Deadline: "X-Left-Ms", Proof: "X-Proof", Organisation: "X-Org", ExpectInstance: "X-Expect",
	NotExecuted: "X-Not-Run", PromptParts: "X-Parts", TokenUsage: "X-Usage", LengthHint: "X-Hint", CacheSource: "X-Fetch", ColdFor: "X-Cold", Leaving: "X-Leaving",
	RouterOnly: []string{"X-Router-Only"},
}

func costTable(t testing.TB) *routing.Table {
	b := routing.Builder{Number: 7, Limits: routing.Limits{HeaderBytes: 16 << 10, HeaderTimeout: 3 * time.Second, IdleConnTimeout: 15 * time.Second, BodyBytes: 1 << 20}, Services: []*routing.Service{{Name: "s"}}}
	b.Routes = append(b.Routes, &routing.Route{Name: "chat", Host: "h.example", Prefix: "/chat/", Kind: routing.Stream, Resumable: true,
		Timeout: 10 * time.Second, TargetLatency: 400 * time.Millisecond, TargetGap: 400 * time.Millisecond, MaxAttempts: 2, Split: []routing.WeightedService{{Service: "s", Weight: 1}}})
	b.AddOrganisation(&routing.Organisation{Name: "alpha"}, []string{"key-a"})
	table, err := b.Build()
	require.NoError(t, err)
	return table
}

// costControl places every request at the one upstream.
type costControl struct {
	table     *routing.Table
	upstream  string
	shedRatio float64
	next      atomic.Uint64
	arrivals  arrivalStats
}

func (c *costControl) Table() *routing.Table               { return c.table }
func (*costControl) MaxUndecided() int64                   { return 0 }
func (c *costControl) ShedRatio() float64                  { return c.shedRatio }
func (c *costControl) AdmitRatio(string, string) float64   { return 1 - c.shedRatio }
func (c *costControl) RequestArrived(target time.Duration) { c.arrivals.addTarget(target) }
func (c *costControl) Unservable(string, routing.Regions) (dispatch.Refuse, bool) {
	return dispatch.Refuse{}, false
}
func (c *costControl) RequestShed(dispatch.ShedWork) {}
func (c *costControl) PlaceBeside(*forward.Ticket, []routing.Instance) *forward.Ticket {
	return forward.NewTicket(0)
}
func (c *costControl) PlaceAgain(*forward.Ticket, uint8)                        {}
func (c *costControl) End(*forward.Ticket, uint8)                               {}
func (c *costControl) ConnRefused(routing.Instance)                             {}
func (c *costControl) PromptAnswered(dispatch.PromptAnswered)                   {}
func (c *costControl) HeldParts(string) (map[uint64]quarantine.PartState, bool) { return nil, false }
func (c *costControl) AnsweredWhole(fingerprint.Fingerprint)                    {}
func (c *costControl) UpstreamLeaving(string)                                   {}
func (c *costControl) MaxBodyBytes() int64                                      { return c.table.Limits.BodyBytes }
func (c *costControl) Leaving() bool                                            { return false }

func (c *costControl) FirstEvent(*forward.Ticket, time.Duration)         {}
func (c *costControl) StreamPace(*forward.Ticket, dispatch.StreamPace)   {}
func (c *costControl) AttemptIncomplete(dispatch.AttemptIncomplete)      {}
func (c *costControl) HealthCheckFailed(routing.Instance, time.Duration) {}
func (c *costControl) UpstreamBacksOff(string, time.Duration)            {}
func (c *costControl) Unusable(*dispatch.Placement) forward.Unusable     { return forward.MaySend }
func (c *costControl) Quarantined(string) map[fingerprint.Fingerprint]quarantine.State {
	return nil
}

func (c *costControl) Submit(dispatch.Request) *forward.Ticket {
	t := forward.NewTicket(c.next.Add(1))
	t.Decide(forward.Decision{Placement: &dispatch.Placement{ID: t.ID, Instance: routing.Instance{ID: "i-0", Address: c.upstream}}})
	return t
}

// costProcess is the process of the callers and the upstream.
type costProcess struct {
	in  io.WriteCloser
	out *bufio.Reader
}

func startCostProcess(b *testing.B) *costProcess {
	cmd := exec.Command(os.Args[0], "-test.run=^TestCostProcess$", "-test.v=false")
	cmd.Env = append(os.Environ(), costProcessEnv+"=1")
	cmd.Stderr = os.Stderr
	in, err := cmd.StdinPipe()
	require.NoError(b, err)
	out, err := cmd.StdoutPipe()
	require.NoError(b, err)
	require.NoError(b, cmd.Start())
	b.Cleanup(func() { in.Close(); _ = cmd.Wait() })
	return &costProcess{in: in, out: bufio.NewReader(out)}
}

func (p *costProcess) line(b *testing.B) string {
	text, err := p.out.ReadString('\n')
	require.NoError(b, err)
	return strings.TrimSpace(text)
}

// run sends n requests of a kind and waits for their answers.
func (p *costProcess) run(b *testing.B, kind, addr string, n int) {
	_, err := fmt.Fprintln(p.in, kind, addr, n)
	require.NoError(b, err)
	require.Equal(b, "ok", p.line(b))
}

// TestCostProcess is no test: it is the process of the callers and the upstream of the
// benchmarks in this file, which start it with costProcessEnv.
func TestCostProcess(t *testing.T) {
	if os.Getenv(costProcessEnv) == "" {
		return
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	go serveCostUpstream(l)
	fmt.Println(l.Addr())
	in := bufio.NewScanner(os.Stdin)
	for in.Scan() {
		f := strings.Fields(in.Text())
		n, err := strconv.Atoi(f[2])
		require.NoError(t, err)
		var left atomic.Int64
		left.Store(int64(n))
		var wg sync.WaitGroup
		var failed atomic.Pointer[error]
		for range costConcurrency {
			wg.Go(func() {
				if err := costCaller(f[0], f[1], &left); err != nil {
					failed.Store(&err)
				}
			})
		}
		wg.Wait()
		if err := failed.Load(); err != nil {
			fmt.Println(*err)
			continue
		}
		fmt.Println("ok")
	}
}

// costCaller sends requests one after the other until none are left. It reads answers with
// little work, as it shares the machine with the router.
func costCaller(kind, addr string, left *atomic.Int64) error {
	text := fmt.Sprintf("POST /chat/%s HTTP/1.1\r\nHost: h.example\r\nUser-Agent: caller/1.0\r\nAccept: */*\r\nContent-Type: application/json\r\nAuthorization: Bearer key-a\r\nX-Id: 6fa1c2d8-r1\r\nX-Left-Ms: 9000\r\nX-Parts: 5c1e07a2:800,91bd3f06:410\r\nX-Usage: 1460,80\r\nX-Hint: 40\r\nContent-Length: %d\r\n\r\n%s", kind, costBodyBytes, strings.Repeat("x", costBodyBytes))
	var c net.Conn
	var br *bufio.Reader
	for left.Add(-1) >= 0 {
		if c == nil {
			var err error
			if c, err = net.Dial("tcp", addr); err != nil {
				return err
			}
			br = bufio.NewReader(c)
		}
		if _, err := c.Write([]byte(text)); err != nil {
			return err
		}
		res, err := http.ReadResponse(br, nil)
		if err != nil {
			return err
		}
		body, err := io.ReadAll(res.Body)
		if err != nil {
			return err
		}
		want := http.StatusServiceUnavailable
		if kind == "stream" || kind == "burst" {
			want = http.StatusOK
			if n := strings.Count(string(body), "\n\n"); n != costStreamEvents {
				return fmt.Errorf("%d events", n)
			}
		}
		if res.StatusCode != want {
			return fmt.Errorf("status %d", res.StatusCode)
		}
		if kind == "new" || res.Close {
			c.Close()
			c = nil
		}
	}
	if c != nil {
		c.Close()
	}
	return nil
}

func serveCostUpstream(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go func() {
			defer c.Close()
			br := bufio.NewReader(c)
			for {
				r, err := http.ReadRequest(br)
				if err != nil {
					return
				}
				_, _ = io.Copy(io.Discard, r.Body)
				fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Proof: p\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", r.Header.Get("X-Id"))
				for i := 1; i <= costStreamEvents; i++ {
					event := fmt.Sprintf("id: %d\ndata: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"seven tokens of an answer in words\"}}]}\n\n", i)
					fmt.Fprintf(c, "%x\r\n%s\r\n", len(event), event)
					if r.URL.Path == "/chat/stream" {
						time.Sleep(costEventGap)
					}
				}
				fmt.Fprint(c, "0\r\n\r\n")
			}
		}()
	}
}
