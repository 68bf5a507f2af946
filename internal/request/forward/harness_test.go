package forward

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/silverswitch/silverswitch/internal/conn"
	"github.com/silverswitch/silverswitch/internal/core/quarantine"
	"github.com/silverswitch/silverswitch/internal/dispatch"
	"github.com/silverswitch/silverswitch/internal/fingerprint"
	"github.com/silverswitch/silverswitch/internal/memory"
	"github.com/silverswitch/silverswitch/internal/routing"
)

var testDialect = Dialect{
	RequestID: "X-Id", Deadline: "X-Left-Ms", Proof: "X-Proof", Organisation: "X-Org", ExpectInstance: "X-Expect",
	NotExecuted: "X-Not-Run", PromptParts: "X-Parts", TokenUsage: "X-Usage", LengthHint: "X-Hint", CacheSource: "X-Fetch", ColdFor: "X-Cold", Leaving: "X-Leaving",
	RouterOnly: []string{"X-Router-Only"},
}

// failedHealthCheck is a health check that kept a request from an upstream.
type failedHealthCheck struct {
	id      string
	coldFor time.Duration
}

// reportedBackoff is a backoff that an upstream asked for.
type reportedBackoff struct {
	start string
	d     time.Duration
}

// fakeControl places requests at its upstreams in order. When all are used it refuses.
type fakeControl struct {
	mu            sync.Mutex
	table         *routing.Table
	upstreams     []string
	next          int
	notes         []uint8
	stopping      atomic.Bool
	overloaded    atomic.Bool // nine in ten requests are to be shed
	shed          []dispatch.ShedWork
	leftInstances map[string]bool // instances that have left

	quarantinedRequests map[fingerprint.Fingerprint]quarantine.State
	heldParts           map[uint64]quarantine.PartState // nil while none is suspected
	promptsAnswered     []dispatch.PromptAnswered
	incompleteAttempts  []dispatch.AttemptIncomplete
	refusedConnections  []string // instances that refused connections
	answeredWhole       []fingerprint.Fingerprint
	onPlaceAgain        func() // called before another placement is made; may be nil
	failedHealthChecks  []failedHealthCheck
	backoffs            []reportedBackoff
	paces               []dispatch.StreamPace
	leavingStarts       []string           // starts of upstreams that announced that they are leaving
	healthCheckFirst    bool               // placements require a health check
	neverPlaceAgain     bool               // PlaceAgain and PlaceBeside get no decision
	placedBeside        int                // calls of PlaceBeside
	avoided             []routing.Instance // of the latest one

	targets      []time.Duration  // of arrived requests
	unservable   *dispatch.Refuse // refusal of every request without a placement; may be nil
	submitted    atomic.Int64     // calls of Submit
	maxUndecided int64            // see Control
	held         chan *Ticket     // gets the tickets in place of decisions; may be nil
}

func (c *fakeControl) Table() *routing.Table { return c.table }
func (c *fakeControl) MaxBodyBytes() int64   { return c.table.Limits.BodyBytes }
func (c *fakeControl) Leaving() bool         { return c.stopping.Load() }

func (c *fakeControl) ShedRatio() float64 {
	if c.overloaded.Load() {
		return 0.9
	}
	return 0
}

func (c *fakeControl) MaxUndecided() int64 { return c.maxUndecided }

func (c *fakeControl) AdmitRatio(string, string) float64 { return 1 }

func (c *fakeControl) Unusable(p *dispatch.Placement) Unusable {
	if c.leftInstances[p.Instance.ID] {
		return UpstreamLeft
	}
	return MaySend
}

func (c *fakeControl) HealthCheckFailed(i routing.Instance, coldFor time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.failedHealthChecks = append(c.failedHealthChecks, failedHealthCheck{i.ID, coldFor})
}

func (c *fakeControl) UpstreamLeaving(start string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leavingStarts = append(c.leavingStarts, start)
}

func (c *fakeControl) UpstreamBacksOff(start string, d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.backoffs = append(c.backoffs, reportedBackoff{start, d})
}

func (c *fakeControl) Quarantined(string) map[fingerprint.Fingerprint]quarantine.State {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.quarantinedRequests
}

func (c *fakeControl) AttemptIncomplete(b dispatch.AttemptIncomplete) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.incompleteAttempts = append(c.incompleteAttempts, b)
}

func (c *fakeControl) HeldParts(string) (map[uint64]quarantine.PartState, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.heldParts, c.heldParts != nil
}

func (c *fakeControl) PromptAnswered(a dispatch.PromptAnswered) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.promptsAnswered = append(c.promptsAnswered, a)
}

func (c *fakeControl) ConnRefused(i routing.Instance) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.refusedConnections = append(c.refusedConnections, i.ID)
}

func (c *fakeControl) AnsweredWhole(f fingerprint.Fingerprint) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answeredWhole = append(c.answeredWhole, f)
}

func (c *fakeControl) RequestArrived(target time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.targets = append(c.targets, target)
}

func (c *fakeControl) Unservable(string, routing.Regions) (dispatch.Refuse, bool) {
	if c.unservable != nil {
		return *c.unservable, true
	}
	return dispatch.Refuse{}, false
}

func (c *fakeControl) RequestShed(w dispatch.ShedWork) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.shed = append(c.shed, w)
}

func (c *fakeControl) Submit(dispatch.Request) *Ticket {
	c.submitted.Add(1)
	t := NewTicket(1)
	if c.held != nil {
		c.held <- t
		return t
	}
	c.decide(t)
	return t
}

func (c *fakeControl) decide(t *Ticket) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.next >= len(c.upstreams) {
		t.Decide(Decision{Refusal: dispatch.Refuse{ID: t.ID, Reason: dispatch.ReasonCapacity, After: 300 * time.Millisecond}})
		return
	}
	i := routing.Instance{ID: fmt.Sprintf("i-%d", c.next), Address: c.upstreams[c.next]}
	c.next++
	t.Decide(Decision{Placement: &dispatch.Placement{ID: t.ID, Instance: i, CheckHealth: c.healthCheckFirst}})
}

func (c *fakeControl) PlaceAgain(t *Ticket, note uint8) {
	c.note(note)
	if c.onPlaceAgain != nil {
		c.onPlaceAgain()
	}
	if !c.neverPlaceAgain {
		c.decide(t)
	}
}

func (c *fakeControl) PlaceBeside(_ *Ticket, avoid []routing.Instance) *Ticket {
	c.mu.Lock()
	c.placedBeside++
	c.avoided = avoid
	c.mu.Unlock()
	t := NewTicket(2)
	if !c.neverPlaceAgain {
		c.decide(t)
	}
	return t
}

func (c *fakeControl) FirstEvent(*Ticket, time.Duration) {}

func (c *fakeControl) StreamPace(_ *Ticket, p dispatch.StreamPace) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.paces = append(c.paces, p)
}

func (c *fakeControl) End(_ *Ticket, note uint8) { c.note(note) }

func (c *fakeControl) note(n uint8) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.notes = append(c.notes, n)
}

func (c *fakeControl) recordedNotes() []uint8 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]uint8(nil), c.notes...)
}

func testTable(t testing.TB) *routing.Table {
	t.Helper()
	b := routing.Builder{Number: 7, Limits: routing.Limits{BodyBytes: 1000}, Services: []*routing.Service{{Name: "s", Health: "/health"}, {Name: "engines", Engine: &routing.Engine{Slots: 4, MemoryTokens: 1000}}}}
	split := []routing.WeightedService{{Service: "s", Weight: 1}}
	route := func(prefix string, k routing.Kind, resumable bool, attempts int) *routing.Route {
		r := &routing.Route{Name: prefix, Host: "h.example", Prefix: prefix, Kind: k, Resumable: resumable,
			Timeout: 2 * time.Second, TargetLatency: 500 * time.Millisecond, TargetGap: 100 * time.Millisecond, MaxAttempts: attempts, Split: split}
		b.Routes = append(b.Routes, r)
		return r
	}
	route("/once/", routing.AtMostOnce, false, 2)
	route("/safe/", routing.Idempotent, false, 2)
	route("/stream/", routing.Stream, true, 2)
	route("/long/", routing.Stream, true, 2).Timeout = 10 * time.Second
	route("/single/", routing.Stream, false, 1)
	route("/patient/", routing.AtMostOnce, false, 2).Timeout = time.Minute
	route("/engine/", routing.Stream, true, 2).Split = []routing.WeightedService{{Service: "engines", Weight: 1}}
	b.AddOrganisation(&routing.Organisation{Name: "alpha"}, []string{"key-a"})
	b.AddOrganisation(&routing.Organisation{Name: "beta"}, []string{"key-b"})
	table, err := b.Build()
	require.NoError(t, err)
	return table
}

// scriptedUpstream starts an upstream that answers each request with the next of the raw
// answers. %ID is replaced by the request's id. An answer that ends in "\x00" closes the
// connection. got returns the requests received.
func scriptedUpstream(t *testing.T, answers ...string) (addr string, got func() []*http.Request) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	var mu sync.Mutex
	var reqs []*http.Request
	next := 0
	serve := func(c net.Conn) {
		defer c.Close()
		br := bufio.NewReader(c)
		for {
			r, err := http.ReadRequest(br)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, r.Body)
			mu.Lock()
			reqs = append(reqs, r)
			if next >= len(answers) {
				mu.Unlock()
				return
			}
			a := answers[next]
			next++
			mu.Unlock()
			text, cut := strings.CutSuffix(strings.ReplaceAll(a, "%ID", r.Header.Get("X-Id")), "\x00")
			_, _ = c.Write([]byte(text))
			if cut {
				return
			}
		}
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go serve(c)
		}
	}()
	return l.Addr().String(), func() []*http.Request {
		mu.Lock()
		defer mu.Unlock()
		return append([]*http.Request(nil), reqs...)
	}
}

const (
	okHeader          = "HTTP/1.1 200 OK\r\nX-Id: %ID\r\nX-Proof: p\r\n"
	okHelloAnswer     = okHeader + "Content-Length: 5\r\n\r\nhello"
	notRunAnswer      = "HTTP/1.1 503 Service Unavailable\r\nX-Id: %ID\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
	eventStreamHeader = okHeader + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
	lastChunk         = "0\r\n\r\n"
)

func eventChunk(n int) string {
	text := fmt.Sprintf("id: %d\ndata: e%d\n\n", n, n)
	return fmt.Sprintf("%x\r\n%s\r\n", len(text), text)
}

func testKey(t testing.TB) *fingerprint.Key {
	t.Helper()
	key, err := fingerprint.NewKey("a secret of the fleet")
	require.NoError(t, err)
	return key
}

// harness is a Server under test in front of scripted upstreams.
type harness struct {
	control   *fakeControl
	url       string
	exchanges *conn.Exchanges

	server *Server

	maxRequests int
}

// testMemory is the limit of the memory account in tests, in bytes.
const testMemory = 4 << 20

func newHarness(t *testing.T, upstreams ...string) *harness {
	t.Helper()
	return newHarnessWithLimit(t, 100, upstreams...)
}

func newHarnessWithLimit(t *testing.T, maxRequests int, upstreams ...string) *harness {
	t.Helper()
	h := &harness{control: &fakeControl{table: testTable(t), upstreams: upstreams}, exchanges: conn.NewExchanges(), maxRequests: maxRequests}
	h.server = NewServer(h.control, h.exchanges, testDialect, testKey(t), Limits{MaxRequests: h.maxRequests, Memory: memory.NewAccount(testMemory)}, metrics.NewRegistry(), zerolog.Nop())
	s := httptest.NewServer(h.server)
	t.Cleanup(func() { s.Close(); h.exchanges.Close() })
	h.url = s.URL
	return h
}

func (h *harness) do(t *testing.T, method, path, body string, header ...string) (*http.Response, string, error) {
	t.Helper()
	req, err := http.NewRequest(method, h.url+path, strings.NewReader(body))
	require.NoError(t, err)
	req.Host = "h.example"
	req.Header.Set("Authorization", "Bearer key-a")
	req.Header.Set("X-Id", "r1")
	for i := 0; i+1 < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, "", err
	}
	defer res.Body.Close()
	raw, err := io.ReadAll(res.Body)
	return res, string(raw), err
}

func FuzzPrompt(f *testing.F) {
	f.Add("1460,80", "5c1e07a2:800,91bd3f06:410", "12")
	f.Fuzz(func(t *testing.T, usage, parts, hint string) {
		p := testDialect.readPrompt(http.Header{"X-Usage": {usage}, "X-Parts": {parts}, "X-Hint": {hint}})
		assert.LessOrEqual(t, len(p.parts), maxParts)
		assert.GreaterOrEqual(t, p.input, 0)
	})
}
