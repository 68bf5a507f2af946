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
	"github.com/silverswitch/silverswitch/internal/routing"
)

var testDialect = Dialect{
	RequestID: "X-Id", Deadline: "X-Left-Ms", Proof: "X-Proof", Organisation: "X-Org", ExpectInstance: "X-Expect",
	NotExecuted: "X-Not-Run", PromptParts: "X-Parts", TokenUsage: "X-Usage", LengthHint: "X-Hint", CacheSource: "X-Fetch", ColdFor: "X-Cold", Leaving: "X-Leaving",
	RouterOnly: []string{"X-Router-Only"},
}

// lookedAt is a look that kept a request from an upstream.
type lookedAt struct {
	id      string
	coldFor time.Duration
}

// askedBackoff is a time for which an upstream wanted nothing.
type askedBackoff struct {
	start string
	d     time.Duration
}

// fakeControl places requests at its upstreams in order, then refuses.
type fakeControl struct {
	mu    sync.Mutex
	table *routing.Table
	ups   []string
	next  int
	notes []uint8
	leave atomic.Bool
	full  atomic.Bool // excess of nine in ten
	away  []dispatch.TurnedWork
	left  map[string]bool // instances that have left

	known    map[fingerprint.Fingerprint]quarantine.State
	broke    []dispatch.Broke
	refusing []string // instances that refused connections
	whole    []fingerprint.Fingerprint
	onAgain  func() // called before another upstream is given; may be nil
	looked   []lookedAt
	rests    []askedBackoff
	leavers  []string // starts that said that they leave
	look     bool     // upstreams are to be looked at first
	slow     bool     // no other upstream is given
}

func (c *fakeControl) Table() *routing.Table { return c.table }
func (c *fakeControl) Leaving() bool         { return c.leave.Load() }

func (c *fakeControl) Excess() float64 {
	if c.full.Load() {
		return 0.9
	}
	return 0
}

func (c *fakeControl) Covered(string, string) float64 { return 1 }

func (c *fakeControl) Unusable(p *dispatch.Place) Unusable {
	if c.left[p.Instance.ID] {
		return UpstreamLeft
	}
	return MaySend
}

func (c *fakeControl) Looked(i routing.Instance, coldFor time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.looked = append(c.looked, lookedAt{i.ID, coldFor})
}

func (c *fakeControl) UpstreamLeaves(start string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leavers = append(c.leavers, start)
}

func (c *fakeControl) UpstreamBacksOff(start string, d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.rests = append(c.rests, askedBackoff{start, d})
}

func (c *fakeControl) Quarantined(string) map[fingerprint.Fingerprint]quarantine.State {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.known
}

func (c *fakeControl) Broke(b dispatch.Broke) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.broke = append(c.broke, b)
}

func (c *fakeControl) ConnRefused(i routing.Instance) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.refusing = append(c.refusing, i.ID)
}

func (c *fakeControl) AnsweredWhole(f fingerprint.Fingerprint) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.whole = append(c.whole, f)
}

func (c *fakeControl) TurnedAway(w dispatch.TurnedWork) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.away = append(c.away, w)
}

func (c *fakeControl) Submit(dispatch.Request) *Ticket {
	t := NewTicket(1)
	c.decide(t)
	return t
}

func (c *fakeControl) decide(t *Ticket) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.next >= len(c.ups) {
		t.Decide(Decision{Refusal: dispatch.Refuse{ID: t.ID, Reason: dispatch.ReasonCapacity, After: 300 * time.Millisecond}})
		return
	}
	i := routing.Instance{ID: fmt.Sprintf("i-%d", c.next), Address: c.ups[c.next]}
	c.next++
	t.Decide(Decision{Place: &dispatch.Place{ID: t.ID, Instance: i, Look: c.look}})
}

func (c *fakeControl) Again(t *Ticket, note uint8) {
	c.note(note)
	if c.onAgain != nil {
		c.onAgain()
	}
	if !c.slow {
		c.decide(t)
	}
}

func (c *fakeControl) First(*Ticket, time.Duration) {}

func (c *fakeControl) End(_ *Ticket, note uint8) { c.note(note) }

func (c *fakeControl) note(n uint8) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.notes = append(c.notes, n)
}

func (c *fakeControl) noted() []uint8 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]uint8(nil), c.notes...)
}

func testTable(t testing.TB) *routing.Table {
	t.Helper()
	b := routing.Builder{Number: 7, Limits: routing.Limits{BodyBytes: 1000}, Services: []*routing.Service{{Name: "s", Health: "/health"}}}
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
	route("/single/", routing.Stream, false, 1)
	route("/patient/", routing.AtMostOnce, false, 2).Timeout = time.Minute
	b.AddOrganisation(&routing.Organisation{Name: "alpha"}, []string{"key-a"})
	table, err := b.Build()
	require.NoError(t, err)
	return table
}

// script is an upstream that answers each connection's requests with raw bytes;
// %ID is the request's id. An answer ending in "\x00" cuts the connection.
func script(t *testing.T, answers ...string) (addr string, got func() []*http.Request) {
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
	okHead     = "HTTP/1.1 200 OK\r\nX-Id: %ID\r\nX-Proof: p\r\n"
	okHello    = okHead + "Content-Length: 5\r\n\r\nhello"
	notRunHead = "HTTP/1.1 503 Service Unavailable\r\nX-Id: %ID\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
	events     = okHead + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
	chunkEnd   = "0\r\n\r\n"
)

func event(n int) string {
	text := fmt.Sprintf("id: %d\ndata: e%d\n\n", n, n)
	return fmt.Sprintf("%x\r\n%s\r\n", len(text), text)
}

func testKey(t testing.TB) *fingerprint.Key {
	t.Helper()
	key, err := fingerprint.NewKey("a secret of the fleet")
	require.NoError(t, err)
	return key
}

// rig is a server under test in front of scripted upstreams.
type rig struct {
	ctl *fakeControl
	url string
	ex  *conn.Exchanges

	server *Server

	most int
}

func newRig(t *testing.T, ups ...string) *rig {
	t.Helper()
	return newRigOf(t, 100, ups...)
}

func newRigOf(t *testing.T, most int, ups ...string) *rig {
	t.Helper()
	r := &rig{ctl: &fakeControl{table: testTable(t), ups: ups}, ex: conn.NewExchanges(), most: most}
	r.server = NewServer(r.ctl, r.ex, testDialect, testKey(t), Bounds{Requests: r.most, Answers: 1 << 20}, metrics.NewRegistry(), zerolog.Nop())
	s := httptest.NewServer(r.server)
	t.Cleanup(func() { s.Close(); r.ex.Close() })
	r.url = s.URL
	return r
}

func (r *rig) do(t *testing.T, method, path, body string, header ...string) (*http.Response, string, error) {
	t.Helper()
	req, err := http.NewRequest(method, r.url+path, strings.NewReader(body))
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
