package request

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/url"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/silverswitch/silverswitch/internal/conn"
	"github.com/silverswitch/silverswitch/internal/core"
	"github.com/silverswitch/silverswitch/internal/core/claim"
	"github.com/silverswitch/silverswitch/internal/core/entry"
	"github.com/silverswitch/silverswitch/internal/core/quarantine"
	"github.com/silverswitch/silverswitch/internal/core/wire"
	"github.com/silverswitch/silverswitch/internal/fingerprint"
	"github.com/silverswitch/silverswitch/internal/memory"
	"github.com/silverswitch/silverswitch/internal/request/outcome"
	"github.com/silverswitch/silverswitch/internal/standin"
	"github.com/silverswitch/silverswitch/internal/version"
)

// identity are the header lines of an upstream's own answers.
const identity = "X-Request-Id: %ID\r\n"

// openControl grants a slot at one upstream to every request.
type openControl struct {
	ver      *version.Version
	upstream *version.Upstream
}

func (c *openControl) Version() *version.Version       { return c.ver }
func (c *openControl) Place() string                   { return "p" }
func (c *openControl) Redirect(map[string]bool) string { return "" }

func (c *openControl) Submit(entry.Request, *claim.Key) *Ticket {
	t := NewTicket(1)
	c.Return(t, false)
	return t
}

func (c *openControl) Return(t *Ticket, _ bool) {
	t.Decide(Decision{Upstream: c.upstream, At: time.Now()})
}

func (c *openControl) Cancel(*Ticket)                           {}
func (c *openControl) Finish(*Ticket, wire.Sample, bool)        {}
func (c *openControl) AttemptIncomplete(core.AttemptIncomplete) {}
func (c *openControl) ConnRefused(version.ID)                   {}
func (c *openControl) AnsweredWhole(fingerprint.Fingerprint)    {}
func (c *openControl) UpstreamLeaving(version.ID)               {}

func (c *openControl) Quarantined(version.ID) map[fingerprint.Fingerprint]quarantine.State {
	return nil
}

// testVersion returns a version with one organisation and an upstream of each kind of service.
func testVersion(t *testing.T, addr string) *version.Version {
	t.Helper()
	raw, err := version.Packed{Revision: 1, Files: map[string]string{
		version.FleetFile: "[place p]\nregion = r\n[service model]\n[service counter]\nkind = plain\n" +
			"[upstream e]\nservice = model\nplace = p\naddress = " + addr + "\nslots = 8\n",
		"templates/t.ini": "[template]\nname = t\n[organisation]\nplaces = p\n" +
			"[application chat]\nservice = model\ntimeout = 10s\n" +
			"[application order]\nservice = counter\ntimeout = 10s\n" +
			"[application look]\nservice = counter\nidempotent = true\ntimeout = 10s\n",
		"organisations/o.ini": "[organisation]\nname = o\ntemplate = t\nkey_sha256 = 2c70e12b7a0646f92279f427c7b38e7334d8e5389cff167a1dc30e73f826b683\n",
	}}.Encode() // the hash is of the API key "key"
	require.NoError(t, err)
	v, err := version.Load(raw)
	require.NoError(t, err)
	return v
}

// tornCalls sends requests whose answers a torn upstream breaks off. It is safe for concurrent use.
type tornCalls struct {
	t        *testing.T
	upstream *standin.TornUpstream
	url      string
	client   *http.Client
	memory   *memory.Account

	body string // of requests to plain services

	mu      sync.Mutex
	calls   int
	tears   map[string][]standin.Tear // by call: of the request's attempts; the last one for all further ones
	calling map[string]string         // the call of an attempt
}

func newTornCalls(t *testing.T) *tornCalls {
	t.Helper()
	return newTornCallsTo(t, standin.NewTornUpstream)
}

// newTornCallsTo is newTornCalls with the upstream that start starts.
func newTornCallsTo(t *testing.T, start func(string, func(standin.TornRequest) standin.Tear) (*standin.TornUpstream, error)) *tornCalls {
	t.Helper()
	c := &tornCalls{t: t, body: "b", tears: map[string][]standin.Tear{}, calling: map[string]string{}}
	up, err := start("X-Request-Id", c.plan)
	require.NoError(t, err)
	t.Cleanup(up.Close)
	c.upstream = up
	key, err := fingerprint.NewKey("a secret of the fleet")
	require.NoError(t, err)
	ctrl := &openControl{ver: testVersion(t, up.Addr), upstream: &version.Upstream{Name: "u", Place: "p", Address: up.Addr}}
	upstreams := conn.NewUpstreams(conn.DefaultLimits)
	c.memory = memory.NewAccount(64 << 20)
	s := httptest.NewServer(NewServer(ctrl, upstreams, key, DefaultLimits, c.memory, metrics.NewRegistry()).Handler())
	c.client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2 * tornCallers}}
	t.Cleanup(func() { c.client.CloseIdleConnections(); s.Close(); upstreams.Close() })
	c.url = s.URL
	return c
}

// plan answers an attempt, or the resumption of its stream, by the next tear of its call.
func (c *tornCalls) plan(r standin.TornRequest) standin.Tear {
	if r.Method == http.MethodDelete {
		return standin.Tear{Raw: "HTTP/1.1 200 OK\r\n" + identity + "Content-Length: 0\r\n\r\n", Cut: standin.All, End: standin.Keep}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	attempt := r.Header.Get("X-Request-Id")
	if r.Method == http.MethodPost {
		call := r.URL.Query().Get("call")
		if _, text, ok := strings.Cut(string(r.Content), `"call":"`); ok {
			call, _, _ = strings.Cut(text, `"`)
		}
		c.calling[attempt] = call
	}
	call := c.calling[attempt]
	next := c.tears[call][0]
	if len(c.tears[call]) > 1 {
		c.tears[call] = c.tears[call][1:]
	}
	return next
}

// call sends a request whose attempts are answered by the tears in order.
func (c *tornCalls) call(app string, tears ...standin.Tear) standin.Reply {
	c.mu.Lock()
	c.calls++
	id := fmt.Sprintf("c%d", c.calls)
	c.tears[id] = tears
	c.mu.Unlock()
	target, body := c.url+"/v1/apps/"+app+"/x?"+url.Values{"call": {id}}.Encode(), c.body
	if app == "chat" {
		target, body = c.url+"/v1/chat/completions", `{"model":"chat","stream":true,"messages":[],"call":"`+id+`"}`
	}
	req, err := http.NewRequest(http.MethodPost, target, strings.NewReader(body))
	assert.NoError(c.t, err)
	req.Header.Set("Authorization", "Bearer key")
	res, err := c.client.Do(req)
	if err != nil {
		return standin.Reply{Err: err}
	}
	defer res.Body.Close()
	raw, err := io.ReadAll(res.Body)
	own := res.StatusCode < http.StatusBadRequest || res.Header.Get(outcome.HeaderOutcome) == string(outcome.Answered)
	return standin.Reply{Status: res.StatusCode, Own: own, Body: string(raw), Err: err}
}

// tornCallers is how many callers wait at the same time: a router pauses before it resumes a stream.
const tornCallers = 64

// eachTear calls f for every tear of every kind of answer.
func eachTear(t *testing.T, f func(t *testing.T, c *tornCalls, k standin.TornAnswer, tear standin.Tear, turn int)) {
	for _, k := range standin.TornAnswers(identity, 0) {
		t.Run(k.Name, func(t *testing.T) {
			t.Parallel()
			c := newTornCalls(t)
			text := standin.Tear{Raw: k.Raw}.Whole(attemptLike)
			slots := make(chan bool, tornCallers)
			var all sync.WaitGroup
			for turn, cut := range standin.Cuts(text) {
				slots <- true
				all.Go(func() {
					defer func() { <-slots }()
					f(t, c, k, standin.Tear{Raw: k.Raw, Cut: cut}, turn)
				})
			}
			all.Wait()
		})
	}
}

// attemptLike is as long as an attempt's id.
const attemptLike = "01234567-89ab-cdef-0123-456789abcdef"

// fault is TornAnswer.Fault for this interface, where a stream is whole once its final event has
// arrived, whatever follows.
func fault(k standin.TornAnswer, tear standin.Tear, r standin.Reply) string {
	if k.Stream && r.Err == nil && r.Status == http.StatusOK && r.Body == k.Body {
		return ""
	}
	return k.Fault(tear, attemptLike, r)
}

var tornEnds = []standin.End{standin.Close, standin.Reset, standin.HalfClose}

// Guards against an answer that breaks off, in its head or its body, and that the caller takes as
// whole: its upstream closes or resets the connection, or its half of it.
func TestAnswerThatBreaksOffDoesNotLookWhole(t *testing.T) {
	eachTear(t, func(t *testing.T, c *tornCalls, k standin.TornAnswer, tear standin.Tear, turn int) {
		for i, app := range []string{"order", "look", "chat"} {
			tear.End = tornEnds[(turn+i)%len(tornEnds)]
			if turn%2 == 1 && tear.Cut > 1 {
				tear.Split = tear.Cut / 2
			}
			assert.Empty(t, fault(k, tear, c.call(app, tear)), "%s, %d bytes, %s", app, tear.Cut, tear.End)
		}
	})
}

// Guards against the second answer on a connection that is judged by the first one.
func TestSecondAnswerThatBreaksOffDoesNotLookWhole(t *testing.T) {
	first := standin.Tear{Raw: "HTTP/1.1 200 OK\r\n" + identity + "Content-Length: 5\r\n\r\nfirst", Cut: standin.All, End: standin.Keep}
	for _, k := range standin.TornAnswers(identity, 0) {
		t.Run(k.Name, func(t *testing.T) {
			t.Parallel()
			c := newTornCalls(t)
			text := standin.Tear{Raw: k.Raw}.Whole(attemptLike)
			for turn, cut := range standin.Cuts(text) {
				require.Equal(t, "first", c.call("look", first).Body)
				tear := standin.Tear{Raw: k.Raw, Cut: cut, End: tornEnds[turn%len(tornEnds)]}
				assert.Empty(t, fault(k, tear, c.call("look", tear)), "%d bytes, %s", cut, tear.End)
			}
			assert.Positive(t, c.upstream.Reused())
		})
	}
}

// Guards against a stream whose resumption breaks off, in its head or later, and then looks whole, or
// is made of pieces that do not follow each other.
func TestResumptionThatBreaksOffDoesNotLookWhole(t *testing.T) {
	events := standin.TornEvents(0)
	head := "HTTP/1.1 200 OK\r\n" + identity + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
	c := newTornCalls(t)
	var all sync.WaitGroup
	slots := make(chan bool, 2*tornCallers)
	for i, begun := range []string{"", events[0][:9], events[0], events[0] + events[1][:9]} {
		one := standin.Tear{Raw: head + strings.TrimSuffix(standin.Chunks(begun), "0\r\n\r\n"), Cut: standin.All}
		if begun == "" {
			one.Raw = head
		}
		for _, k := range standin.TornAnswers(identity, 0) {
			step := 24
			if k.Stream {
				step = 4 // so that each length comes once
			}
			cuts := standin.Cuts(standin.Tear{Raw: k.Raw}.Whole(attemptLike))
			for turn := i; turn < len(cuts); turn += step {
				two := standin.Tear{Raw: k.Raw, Cut: cuts[turn], End: tornEnds[turn/step%len(tornEnds)]}
				slots <- true
				all.Go(func() {
					defer func() { <-slots }()
					assert.Empty(t, resumedFault(k, c.call("chat", one, two)), "%s, %d bytes, %s, after %q", k.Name, two.Cut, two.End, begun)
				})
			}
		}
	}
	all.Wait()
}

// resumedFault returns what is wrong with the reply to a stream whose resumption was torn, or "".
func resumedFault(k standin.TornAnswer, r standin.Reply) string {
	whole := strings.Join(standin.TornEvents(0), "")
	switch {
	case r.Err == nil && r.Status >= http.StatusBadRequest:
		return ""
	case !strings.HasPrefix(whole, r.Body):
		return fmt.Sprintf("not one stream: %q", r.Body)
	case r.Err == nil && (r.Body != whole || !k.Stream):
		return fmt.Sprintf("looks whole: status %d, body %q", r.Status, r.Body)
	}
	return ""
}

// Guards against a short success: an upstream answers before it has read a long body, with neither a
// length nor chunks, and resets the connection. The system reports a reset once; where the writer of
// the body takes it, the reader sees what looks like the answer's end.
func TestUnframedAnswerThatIsResetWhileTheBodyIsWrittenIsNotWhole(t *testing.T) {
	const runs = 40
	c := newTornCallsTo(t, standin.NewEarlyUpstream)
	c.body = strings.Repeat("b", int(DefaultLimits.Body))
	tear := standin.Tear{Raw: "HTTP/1.1 200 OK\r\n" + identity + "Connection: close\r\n\r\nhel", Cut: standin.All, End: standin.Reset}
	whole := 0
	for range runs {
		if r := c.call("order", tear); r.Err == nil && r.Status == http.StatusOK {
			whole++
		}
	}
	assert.Zero(t, whole, "of %d", runs)
}

// Guards against an answer with another's status: an upstream sends the beginning of another answer
// where a request's answer is due, up to the middle of a line, and then that answer on the same line.
func TestAnswerThatGoesOnInAnotherAnswersHeadIsNotPassedOn(t *testing.T) {
	const whole = "HTTP/1.1 200 OK\r\n" + identity + "Content-Length: 5\r\n\r\nhello"
	c := newTornCalls(t)
	kind := standin.TornAnswer{Body: "hello"}
	for _, status := range []string{"204 No Content", "404 Not Found", "200 OK"} {
		other := "HTTP/1.1 " + status + "\r\nX-Note: a\r\nX-Request-Id: an-earlier-attempt\r\n\r\n"
		for cut := 1; cut < len(other); cut++ {
			tear := standin.Tear{Raw: other[:cut] + whole, Cut: standin.All, End: standin.Reset}
			assert.Empty(t, kind.Fault(tear, attemptLike, c.call("order", tear)), "after %q", other[:cut])
		}
	}
}

// Guards against a short success: to an HTTP/1.0 caller a stream ends with its connection, so one that
// broke off looked whole where the connection was closed.
func TestCutAnswerToAnHTTP10CallerIsReset(t *testing.T) {
	events := standin.TornEvents(0)
	torn := "HTTP/1.1 200 OK\r\n" + identity + "Content-Type: text/event-stream\r\nConnection: close\r\n\r\n" + events[0]
	c := newTornCalls(t)
	for answer, end := range map[string]error{torn: syscall.ECONNRESET, torn + events[1] + events[2]: nil} {
		c.mu.Lock()
		c.tears[""] = []standin.Tear{{Raw: answer, Cut: standin.All}}
		c.mu.Unlock()
		caller, err := net.Dial("tcp", strings.TrimPrefix(c.url, "http://"))
		require.NoError(t, err)
		defer caller.Close()
		body := `{"model":"chat","stream":true,"messages":[]}`
		_, err = fmt.Fprintf(caller, "POST /v1/chat/completions HTTP/1.0\r\nAuthorization: Bearer key\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		require.NoError(t, err)
		raw, err := io.ReadAll(caller)
		assert.Contains(t, string(raw), "data: e1\n\n")
		assert.ErrorIs(t, err, end)
	}
}

// Guards against a stream of two runs: after events without ids an upstream can't be told where to go
// on, so it began again, and the caller took both for one whole stream.
func TestStreamWithoutIDsIsNotResumed(t *testing.T) {
	head := "HTTP/1.1 200 OK\r\n" + identity + "Content-Type: text/event-stream\r\nConnection: close\r\n\r\n"
	c := newTornCalls(t)
	one := standin.Tear{Raw: head + "data: e1\n\n", Cut: standin.All}
	two := standin.Tear{Raw: head + "data: e1\n\ndata: e2\n\ndata: [DONE]\n\n", Cut: standin.All}
	r := c.call("chat", one, two)
	assert.Error(t, r.Err, "it must not look whole")
	assert.Equal(t, "data: e1\n\n", r.Body)
}
