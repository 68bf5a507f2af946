package forward

import (
	"bufio"
	"context"
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
	"github.com/silverswitch/silverswitch/internal/core/wire"
	"github.com/silverswitch/silverswitch/internal/dispatch"
	"github.com/silverswitch/silverswitch/internal/routing"
)

var testDialect = Dialect{
	RequestID: "X-Id", Deadline: "X-Left-Ms", Proof: "X-Proof", Organisation: "X-Org", ExpectInstance: "X-Expect",
	NotExecuted: "X-Not-Run", PromptParts: "X-Parts", TokenUsage: "X-Usage", LengthHint: "X-Hint", CacheSource: "X-Fetch",
	RouterOnly: []string{"X-Router-Only"},
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
}

func (c *fakeControl) Table() *routing.Table { return c.table }
func (c *fakeControl) Leaving() bool         { return c.leave.Load() }

func (c *fakeControl) Excess() float64 {
	if c.full.Load() {
		return 0.9
	}
	return 0
}

func (c *fakeControl) Usable(id string) bool { return !c.left[id] }

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
	t.Decide(Decision{Place: &dispatch.Place{ID: t.ID, Instance: i}})
}

func (c *fakeControl) Again(t *Ticket, note uint8) {
	c.note(note)
	c.decide(t)
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

func testTable(t *testing.T) *routing.Table {
	t.Helper()
	b := routing.Builder{Number: 7, Limits: routing.Limits{BodyBytes: 1000}, Services: []*routing.Service{{Name: "s"}}}
	split := []routing.Part{{Service: "s", Weight: 1}}
	route := func(prefix string, k routing.Kind, resumable bool, attempts int) {
		b.Routes = append(b.Routes, &routing.Route{Name: prefix, Host: "h.example", Prefix: prefix, Kind: k, Resumable: resumable,
			Timeout: 2 * time.Second, Target: 500 * time.Millisecond, TargetGap: 100 * time.Millisecond, MaxAttempts: attempts, Split: split})
	}
	route("/once/", routing.Once, false, 2)
	route("/safe/", routing.Idempotent, false, 2)
	route("/stream/", routing.Stream, true, 2)
	route("/single/", routing.Stream, false, 1)
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

// rig is a server under test in front of scripted upstreams.
type rig struct {
	ctl *fakeControl
	url string
	ex  *conn.Exchanges

	most int
}

func newRig(t *testing.T, ups ...string) *rig {
	t.Helper()
	return newRigOf(t, 100, ups...)
}

func newRigOf(t *testing.T, most int, ups ...string) *rig {
	t.Helper()
	r := &rig{ctl: &fakeControl{table: testTable(t), ups: ups}, ex: conn.NewExchanges(), most: most}
	s := httptest.NewServer(NewServer(r.ctl, r.ex, testDialect, r.most, metrics.NewRegistry(), zerolog.Nop()))
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

func TestAnswerIsPassedOnUnchanged(t *testing.T) {
	up, got := script(t, okHello)
	r := newRig(t, up)
	res, body, err := r.do(t, "POST", "/once/a%2Fb?q=1", "text", "X-Org", "forged", "X-Router-Only", "forged", "X-Other", "kept", "X-Left-Ms", "900")
	require.NoError(t, err)
	assert.Equal(t, 200, res.StatusCode)
	assert.Equal(t, "hello", body)
	assert.Equal(t, "p", res.Header.Get("X-Proof"))
	q := got()[0]
	assert.Equal(t, "/once/a%2Fb?q=1", q.RequestURI)
	assert.Equal(t, "h.example", q.Host)
	assert.Equal(t, "alpha", q.Header.Get("X-Org"), "the router's word, not the caller's")
	assert.Empty(t, q.Header.Get("Authorization"), "keys never pass")
	assert.Empty(t, q.Header.Get("X-Router-Only"))
	assert.Equal(t, "kept", q.Header.Get("X-Other"))
	assert.Equal(t, "i-0", q.Header.Get("X-Expect"))
	assert.Less(t, len(q.Header.Get("X-Left-Ms")), 4, "what is left, not more than the caller gave")
	assert.Equal(t, []uint8{wire.NoteDone}, r.ctl.noted())
}

func TestRefusalsFromHeaders(t *testing.T) {
	r := newRig(t)
	cases := []struct {
		path, key string
		status    int
	}{
		{"/none/x", "Bearer key-a", 404},
		{"/once/x", "Bearer wrong", 401},
		{"/once/x", "", 401},
		{"/once/x", "Bearer key-a", 503},
	}
	for _, c := range cases {
		res, _, err := r.do(t, "POST", c.path, "", "Authorization", c.key)
		require.NoError(t, err)
		assert.Equal(t, c.status, res.StatusCode, c)
		assert.Equal(t, "r1", res.Header.Get("X-Id"))
	}
	res, _, err := r.do(t, "POST", "/once/x", strings.Repeat("x", 1001))
	require.NoError(t, err)
	assert.Equal(t, 413, res.StatusCode)
	r.ctl.table = nil
	res, _, err = r.do(t, "POST", "/once/x", "")
	require.NoError(t, err)
	assert.Equal(t, 503, res.StatusCode, "a router without a table promises that nothing ran")
	assert.NotEmpty(t, res.Header.Get("Retry-After"))
}

func TestRefusalSaysWhenToComeBack(t *testing.T) {
	r := newRig(t)
	res, _, err := r.do(t, "POST", "/stream/x", "")
	require.NoError(t, err)
	assert.Equal(t, 503, res.StatusCode)
	assert.Equal(t, "0.300", res.Header.Get("Retry-After"))
}

func TestWhatMayRunOnceIsNotSentAgain(t *testing.T) {
	for name, answer := range map[string]string{
		"cut before the answer": "\x00",
		"cut inside the answer": okHead + "Content-Length: 5\r\n\r\nhel\x00",
		"no proof":              "HTTP/1.1 200 OK\r\nX-Id: %ID\r\nContent-Length: 0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			a, _ := script(t, answer)
			b, gotB := script(t, okHello)
			r := newRig(t, a, b)
			res, _, err := r.do(t, "POST", "/once/x", "body")
			require.NoError(t, err)
			assert.Equal(t, 502, res.StatusCode, "it may have run: no promise")
			assert.Empty(t, gotB())
		})
	}
}

func TestNotRunByTheUpstreamIsTriedElsewhere(t *testing.T) {
	a, _ := script(t, notRunHead)
	b, _ := script(t, okHello)
	r := newRig(t, a, b)
	res, body, err := r.do(t, "POST", "/once/x", "body")
	require.NoError(t, err)
	assert.Equal(t, 200, res.StatusCode)
	assert.Equal(t, "hello", body)
}

func TestNotRunAnywhereIsAPromise(t *testing.T) {
	a, _ := script(t, notRunHead)
	r := newRig(t, a)
	res, _, err := r.do(t, "POST", "/single/x", "body")
	require.NoError(t, err)
	assert.Equal(t, 503, res.StatusCode)
	assert.NotEmpty(t, res.Header.Get("Retry-After"))
}

func TestRefusalAfterARunIsNoPromise(t *testing.T) {
	a, _ := script(t, "\x00")
	r := newRig(t, a)
	res, _, err := r.do(t, "GET", "/safe/x", "")
	require.NoError(t, err)
	assert.Equal(t, 502, res.StatusCode)
}

func TestIdempotentRequestsAreRepeated(t *testing.T) {
	for name, answer := range map[string]string{
		"cut":     "\x00",
		"failed":  "HTTP/1.1 500 Oops\r\nX-Id: %ID\r\nX-Proof: p\r\nContent-Length: 0\r\n\r\n",
		"encoded": okHead + "Content-Encoding: gzip\r\nContent-Length: 2\r\n\r\nxx",
		"silent":  "",
	} {
		t.Run(name, func(t *testing.T) {
			a, _ := script(t, answer)
			b, _ := script(t, okHello)
			r := newRig(t, a, b)
			res, body, err := r.do(t, "GET", "/safe/x", "")
			require.NoError(t, err)
			assert.Equal(t, 200, res.StatusCode)
			assert.Equal(t, "hello", body)
		})
	}
}

func TestLateAnswerOfAFormerRequestIsSkipped(t *testing.T) {
	late := strings.ReplaceAll(okHello, "%ID", "another")
	a, _ := script(t, late+okHead+"Content-Length: 4\r\n\r\nmine")
	r := newRig(t, a)
	res, body, err := r.do(t, "POST", "/once/x", "body")
	require.NoError(t, err)
	assert.Equal(t, 200, res.StatusCode)
	assert.Equal(t, "mine", body)
}

func TestStreamIsResumedAtItsExactPosition(t *testing.T) {
	torn := "8\r\nid: 3\nda\r\n"
	a, _ := script(t, events+event(1)+event(2)+torn+"\x00")
	b, got := script(t, events+event(2)+event(3)+event(4)+chunkEnd)
	r := newRig(t, a, b)
	res, body, err := r.do(t, "POST", "/stream/x", "body")
	require.NoError(t, err)
	assert.Equal(t, 200, res.StatusCode)
	assert.Equal(t, "id: 1\ndata: e1\n\nid: 2\ndata: e2\n\nid: 3\ndata: e3\n\nid: 4\ndata: e4\n\n", body)
	assert.Equal(t, "2", got()[0].Header.Get("Last-Event-Id"))
}

// Seen on trouble-1 of kobundo-kyu (ORDER): the upstream that was to resume a
// stream answered 500, and its answer's end was passed on as the stream's.
func TestStreamThatCannotBeResumedIsCut(t *testing.T) {
	for name, second := range map[string]string{
		"status 500":   "HTTP/1.1 500 Oops\r\nX-Id: %ID\r\nX-Proof: p\r\nContent-Length: 4\r\n\r\noops",
		"not a stream": okHello,
		"missing":      events + event(4) + chunkEnd,
		"not run":      notRunHead,
		"cut again":    events + event(3) + "\x00",
	} {
		t.Run(name, func(t *testing.T) {
			a, _ := script(t, events+event(1)+event(2)+"\x00")
			b, _ := script(t, second)
			r := newRig(t, a, b)
			_, body, err := r.do(t, "POST", "/stream/x", "body")
			assert.Error(t, err, "the caller must see that the answer is not whole")
			assert.NotContains(t, body, "oops")
			assert.NotContains(t, body, "e4")
		})
	}
}

func TestStreamThatMayNotBeResumedIsCut(t *testing.T) {
	a, _ := script(t, events+event(1)+"\x00")
	b, gotB := script(t, events+event(2)+chunkEnd)
	r := newRig(t, a, b)
	_, body, err := r.do(t, "POST", "/single/x", "body")
	assert.Error(t, err)
	assert.Equal(t, "id: 1\ndata: e1\n\n", body)
	assert.Empty(t, gotB())
}

func TestTimeIsUpMeansAnAnswerAtOnce(t *testing.T) {
	a, _ := script(t, "")
	r := newRig(t, a)
	res, _, err := r.do(t, "POST", "/once/x", "body", "X-Left-Ms", "100")
	require.NoError(t, err)
	assert.Equal(t, 504, res.StatusCode)
}

func TestCallerThatLeavesEndsTheUpstreamsWork(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	ended := make(chan struct{})
	arrived := make(chan struct{})
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		br := bufio.NewReader(c)
		if _, err := http.ReadRequest(br); err != nil {
			return
		}
		close(arrived)
		_, _ = io.Copy(io.Discard, br) // until the router closes
		close(ended)
	}()
	r := newRig(t, l.Addr().String())
	c, err := net.Dial("tcp", strings.TrimPrefix(r.url, "http://"))
	require.NoError(t, err)
	_, err = c.Write([]byte("POST /once/x HTTP/1.1\r\nHost: h.example\r\nX-Id: r1\r\nAuthorization: Bearer key-a\r\nContent-Length: 0\r\n\r\n"))
	require.NoError(t, err)
	<-arrived
	c.Close()
	<-ended
}

// Seen on a grown day: a small router that got most of its place's callers took
// them all, and answered none in time.
func TestOverloadedRouterRefusesAtOnce(t *testing.T) {
	a, got := script(t, okHello)
	r := newRig(t, a)
	r.ctl.full.Store(true)
	refused, atDoor := 0, 0
	for range 20 {
		res, body, err := r.do(t, "POST", "/once/x", "body")
		require.NoError(t, err)
		if body == "router-overloaded\n" {
			atDoor++
		}
		if res.StatusCode == 503 {
			refused++
			assert.NotEmpty(t, res.Header.Get("Retry-After"))
		}
	}
	assert.GreaterOrEqual(t, refused, 12)
	assert.LessOrEqual(t, len(got()), 20-refused)
	r.ctl.mu.Lock()
	assert.Len(t, r.ctl.away, atDoor, "each counts as asked for")
	r.ctl.mu.Unlock()
	full := newRigOf(t, 0, a)
	res, _, err := full.do(t, "POST", "/once/x", "body")
	require.NoError(t, err)
	assert.Equal(t, 503, res.StatusCode, "no room for another request")
}

func TestPromptIsReadFromHeaders(t *testing.T) {
	p := testDialect.readPrompt(http.Header{"X-Usage": {"1460,80"}, "X-Parts": {"5c:800,91:410, e4:250"}})
	assert.Equal(t, 1460, p.input)
	assert.Equal(t, 40, p.output)
	require.Len(t, p.parts, 3)
	assert.Equal(t, wire.PromptPart{Part: PartID("91"), Tokens: 410}, p.parts[1], "as engines name it")
	bad := testDialect.readPrompt(http.Header{"X-Usage": {"-5,x"}, "X-Parts": {"5c:-1,zz"}})
	assert.Equal(t, prompt{}, bad)
}

func FuzzPrompt(f *testing.F) {
	f.Add("1460,80", "5c1e07a2:800,91bd3f06:410", "12")
	f.Fuzz(func(t *testing.T, usage, parts, hint string) {
		p := testDialect.readPrompt(http.Header{"X-Usage": {usage}, "X-Parts": {parts}, "X-Hint": {hint}})
		assert.LessOrEqual(t, len(p.parts), maxParts)
		assert.GreaterOrEqual(t, p.input, 0)
	})
}

// Seen on ghadiyal-grown trouble-1 (DRAIN): a request spent a third of a second in
// a busy router between its placing and its sending, and the upstream's leaving
// became known meanwhile.
func TestUpstreamThatLeftBeforeTheSendGetsNothing(t *testing.T) {
	a, gotA := script(t, okHello)
	b, gotB := script(t, okHello)
	r := newRig(t, a, b)
	r.ctl.left = map[string]bool{"i-0": true}
	res, body, err := r.do(t, "POST", "/once/x", "body")
	require.NoError(t, err)
	assert.Equal(t, 200, res.StatusCode)
	assert.Equal(t, "hello", body)
	assert.Empty(t, gotA())
	assert.Len(t, gotB(), 1)
	assert.Equal(t, []uint8{wire.NoteUnused, wire.NoteDone}, r.ctl.noted())

	gone := newRig(t, a, a, a, a, a)
	gone.ctl.left = map[string]bool{"i-0": true, "i-1": true, "i-2": true, "i-3": true, "i-4": true}
	res, _, err = gone.do(t, "POST", "/once/x", "body")
	require.NoError(t, err)
	assert.Equal(t, 503, res.StatusCode, "nothing was sent: the refusal is true")
	assert.Empty(t, gotA())
}

// Seen on ghadiyal-grown trouble-3 (LOST, 54): a router short of processor did not
// get to read its streams for a second, took the upstreams for silent, and cut
// streams whose events lay in its own sockets.
func TestWatchdogLooksAgainWhileBytesWait(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	go func() {
		c, err := l.Accept()
		if err == nil {
			_, _ = c.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n" + strings.Repeat("x", 50_000)))
		}
	}()
	var fired atomic.Int64
	w := newWatchdog(func() { fired.Add(1) }, 0)
	defer w.stop()
	ups := conn.NewExchanges()
	defer ups.Close()
	x, err := ups.Send(context.Background(), l.Addr().String(), &conn.Message{Method: "GET", Target: "/", Host: "h", Header: http.Header{}, Began: w.watch},
		func(*http.Response) bool { return true })
	require.NoError(t, err)
	require.Eventually(t, x.Waiting, 10*time.Second, time.Millisecond)
	w.look()
	assert.Zero(t, fired.Load(), "its bytes wait here")
	_, _ = io.CopyN(io.Discard, x.Response.Body, 50_000)
	assert.Eventually(t, func() bool { return fired.Load() == 1 }, 10*time.Second, 10*time.Millisecond, "read, and then silent")
}

// A stream that falls silent midway is resumed elsewhere, and what is kept on its
// path is given up.
func TestStreamThatFallsSilentCastsDoubtOnItsPath(t *testing.T) {
	event := func(i int) string { return fmt.Sprintf("id: %d\ndata: x\n\n", i) }
	head := okHead + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
	chunk := func(s string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(s), s) }
	silent, _ := script(t, head+chunk(event(1)))
	rest, got := script(t, head+chunk(event(2))+"0\r\n\r\n")
	r := newRig(t, silent, rest)
	var fell atomic.Int64
	r.ex.Fell = func(string, int) { fell.Add(1) }
	res, body, err := r.do(t, "POST", "/stream/x", "body")
	require.NoError(t, err)
	assert.Equal(t, 200, res.StatusCode)
	assert.Equal(t, event(1)+event(2), body)
	require.Len(t, got(), 1)
	assert.Equal(t, "1", got()[0].Header.Get("Last-Event-Id"))
	assert.Equal(t, int64(1), fell.Load())
}
