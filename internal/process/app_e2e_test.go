package process

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.opentelemetry.io/otel"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/sdk/trace/tracetest"

	"github.com/silverswitch/silverswitch/internal/request/outcome"
	"github.com/silverswitch/silverswitch/internal/standin"
	"github.com/silverswitch/silverswitch/internal/version"
)

const testSecret = "a-secret-for-tests-only"

// testFleet runs three routers in this process in front of stand-ins on loopback.
type testFleet struct {
	t        testing.TB
	platform *standin.Platform
	engines  []*standin.Engine
	plain    *standin.Plain
	files    map[string]string
	daemons  []*AppDaemon
	revision uint64
}

var places = []string{"p0", "p1", "p2"}

func serve(t testing.TB, h http.Handler) string {
	t.Helper()
	s := httptest.NewServer(h)
	t.Cleanup(func() { s.CloseClientConnections(); s.Close() })
	return strings.TrimPrefix(s.URL, "http://")
}

func keyHash(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// newTestFleet starts the fleet and publishes the first version. Organisation wide may run in
// every place, organisation narrow only in p0 and p1.
func newTestFleet(t testing.TB) *testFleet {
	return newTestFleetOf(t, func(h http.Handler) string { return serve(t, h) })
}

// newTestFleetOf is newTestFleet with engines served by serveEngine, which returns their
// address.
func newTestFleetOf(t testing.TB, serveEngine func(http.Handler) string) *testFleet {
	f := &testFleet{t: t, platform: standin.NewPlatform(), plain: &standin.Plain{BreakOn: "/break"}}
	var text strings.Builder
	for i, p := range places {
		fmt.Fprintf(&text, "[place %s]\nregion = r\n", p)
		e := &standin.Engine{TokenInterval: time.Millisecond, DefaultTokens: 20}
		f.engines = append(f.engines, e)
		fmt.Fprintf(&text, "[upstream e%d]\nservice = model\nplace = %s\naddress = %s\nslots = 8\n", i, p, serveEngine(e.Handler()))
	}
	fmt.Fprintf(&text, "[service model]\n[service counter]\nkind = plain\n[upstream c]\nservice = counter\nplace = p1\naddress = %s\nslots = 8\n", serve(t, f.plain.Handler()))
	f.files = map[string]string{
		version.FleetFile:          text.String(),
		"templates/t.ini":          "[template]\nname = t\nparameters = places\n[organisation]\nplaces = ${places}\n[application chat]\nservice = model\nidempotent = true\ntimeout = 10s\n[application once]\nservice = model\ntimeout = 10s\n[application order]\nservice = counter\npriority = urgent\nunit = answered\ntimeout = 5s\n",
		"organisations/wide.ini":   "[organisation]\nname = wide\ntemplate = t\nkey_sha256 = " + keyHash("wide-key") + "\n[parameters]\nplaces = p0, p1, p2\n",
		"organisations/narrow.ini": "[organisation]\nname = narrow\ntemplate = t\nkey_sha256 = " + keyHash("narrow-key") + "\n[parameters]\nplaces = p0, p1\n",
	}
	f.start()
	return f
}

func (f *testFleet) start() {
	plat := serve(f.t, f.platform.Handler())
	var peers []string
	for range places {
		peers = append(peers, standin.FreeAddr())
	}
	f.publish()
	var list VMList
	for _, p := range peers {
		list.VMs = append(list.VMs, VM{Role: "router", Address: p, State: "live"})
	}
	raw, err := json.Marshal(list)
	require.NoError(f.t, err)
	f.platform.Publish(ValueVMs, raw)
	for i, peer := range peers {
		callers := standin.FreeAddr()
		text := fmt.Sprintf("[router]\npeer_address = %s\nplace = %s\ncaller_address = %s\ncaller_url = http://%s\noperator_address = %s\n[fleet]\nseeds = %s\nsecret = %s\n[platform]\nurl = http://%s\n[limits]\nbody_bytes = 65536\nbody_time = 300ms\nheader_time = 300ms\n[stop]\nbalancer_wait = 100ms\n",
			peer, places[i], callers, callers, standin.FreeAddr(), strings.Join(peers, ","), testSecret, plat)
		set, err := ParseSettings("test", text)
		require.NoError(f.t, err)
		d, err := StartApp(set, zerolog.Nop())
		require.NoError(f.t, err)
		f.daemons = append(f.daemons, d)
		f.t.Cleanup(d.close)
	}
	for _, d := range f.daemons {
		require.Eventually(f.t, func() bool {
			v := d.ctrl.View()
			return d.ctrl.Ready() && v != nil && memberCount(v.Members) == 2
		}, 20*time.Second, 20*time.Millisecond)
	}
}

func memberCount[M any](members []M) int { return len(members) }

// publish publishes the files as a version with the next revision.
func (f *testFleet) publish() {
	f.revision++
	raw, err := version.Packed{Revision: f.revision, Files: f.files}.Encode()
	require.NoError(f.t, err)
	f.platform.Publish(ValueConfiguration, raw)
}

func (f *testFleet) url(router int) string { return f.daemons[router].set.Public }

type response struct {
	status  int
	kind    outcome.Kind
	reason  string
	header  http.Header
	body    string
	trailer http.Header
	err     error
}

// send makes one call and reads the whole response. It does not follow redirects.
func send(method, url, key, body string, header map[string]string) response {
	req, err := http.NewRequest(method, url, strings.NewReader(body))
	if err != nil {
		return response{err: err}
	}
	req.Header.Set("Authorization", "Bearer "+key)
	for k, v := range header {
		req.Header.Set(k, v)
	}
	c := &http.Client{CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }, Timeout: 30 * time.Second}
	res, err := c.Do(req)
	if err != nil {
		return response{err: err}
	}
	defer res.Body.Close()
	raw, err := io.ReadAll(res.Body)
	return response{res.StatusCode, outcome.Kind(res.Header.Get(outcome.HeaderOutcome)), res.Header.Get(outcome.HeaderReason), res.Header, string(raw), res.Trailer, err}
}

func chatBody(app, text string, stream bool, tokens int) string {
	return fmt.Sprintf(`{"model":%q,"stream":%t,"max_tokens":%d,"messages":[{"role":"user","content":%q}]}`, app, stream, tokens, text)
}

func (f *testFleet) chat(router int, app, text string, stream bool, tokens int) response {
	return send(http.MethodPost, f.url(router)+"/v1/chat/completions", "wide-key", chatBody(app, text, stream, tokens), nil)
}

// requireStreamEvents checks that a stream has exactly one event for each position, in order,
// and ends.
func requireStreamEvents(t require.TestingT, a response, text string, tokens int) {
	require.NoError(t, a.err)
	require.Equal(t, outcome.Answered, outcome.Kind(a.trailer.Get(outcome.HeaderOutcome)))
	got := strings.Split(strings.TrimSpace(a.body), "\n\n")
	require.Len(t, got, tokens+1)
	for i, e := range got {
		require.True(t, strings.HasPrefix(e, fmt.Sprintf("id: %d\n", i)), e)
	}
	require.Contains(t, got[0], "re:"+text)
	require.Contains(t, got[tokens], "[DONE]")
}

func TestAnswersBelongToTheirRequests(t *testing.T) {
	f := newTestFleet(t)
	var wg sync.WaitGroup
	for i := range 60 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			text := fmt.Sprintf("question %d", i)
			if i%2 == 0 {
				requireStreamEvents(assertT{t}, f.chat(i%3, "chat", text, true, 15), text, 15)
				return
			}
			a := f.chat(i%3, "chat", text, false, 15)
			assert.Equal(t, outcome.Answered, a.kind)
			assert.Contains(t, a.body, "re:"+text+" w1")
		}()
	}
	wg.Wait()
}

// assertT allows checks of package require in goroutines other than the test's own.
type assertT struct{ t *testing.T }

func (a assertT) Errorf(format string, args ...any) { a.t.Errorf(format, args...) }
func (a assertT) FailNow()                          { panic("check failed") }

func TestStreamsAreResumedAtTheExactPosition(t *testing.T) {
	f := newTestFleet(t)
	for _, e := range f.engines {
		e.CutAt = 7
	}
	requireStreamEvents(t, f.chat(0, "chat", "cut", true, 20), "cut", 20)
	assert.Positive(t, f.metricValue(0, "silverswitch_streams_resumed"))
}

func (f *testFleet) metricValue(router int, name string) int {
	a := send(http.MethodGet, "http://"+f.daemons[router].set.Operator+"/metrics", "", "", nil)
	for _, line := range strings.Split(a.body, "\n") {
		var v int
		if n, _ := fmt.Sscanf(line, name+" %d", &v); n == 1 {
			return v
		}
	}
	return 0
}

func TestBrokenStreamIsVisiblyBroken(t *testing.T) {
	f := newTestFleet(t)
	for _, e := range f.engines {
		e.TokenInterval = 20 * time.Millisecond
		e.LoseAt = 5
	}
	a := f.chat(0, "chat", "lost", true, 20)
	require.Error(t, a.err, "a shortened stream must not end cleanly")
	assert.NotContains(t, a.body, "[DONE]")
}

func TestForeignAnswerIsNotPassedOn(t *testing.T) {
	f := newTestFleet(t)
	for _, e := range f.engines {
		e.WrongRequestID = true
	}
	a := f.chat(0, "once", "mine", false, 5)
	assert.Equal(t, outcome.Unknown, a.kind)
	assert.Equal(t, outcome.ReasonForeign, a.reason)
	assert.NotContains(t, a.body, "re:")
}

func TestRequestsRunOnlyInAllowedPlaces(t *testing.T) {
	f := newTestFleet(t)
	a := send(http.MethodPost, f.url(2)+"/v1/chat/completions", "narrow-key", chatBody("chat", "x", false, 2), nil)
	assert.Equal(t, http.StatusTemporaryRedirect, a.status)
	assert.Equal(t, outcome.NotRun, a.kind)
	where := a.header.Get("Location")
	assert.True(t, strings.HasPrefix(where, f.url(0)) || strings.HasPrefix(where, f.url(1)), where)
	for i := range 20 {
		a := send(http.MethodPost, f.url(i%2)+"/v1/chat/completions", "narrow-key", chatBody("chat", "x", false, 2), nil)
		assert.Equal(t, outcome.Answered, a.kind)
	}
	for _, e := range f.engines[2].Journal.Entries() {
		assert.NotEqual(t, "narrow", e.Organisation, "p2 is not a place of narrow")
	}
}

func newKey() map[string]string {
	return map[string]string{"Idempotency-Key": uuid.Must(uuid.NewV7()).String()}
}

func (f *testFleet) executions(key string) int {
	n := 0
	for _, e := range f.plain.Journal.Entries() {
		if e.Key == key {
			n++
		}
	}
	return n
}

func (f *testFleet) order(router int, path string, key map[string]string) response {
	return send(http.MethodPost, f.url(router)+"/v1/apps/order"+path, "wide-key", `{"boxes":2}`, key)
}

func TestRequestWithIdempotencyKeyRunsAtMostOnce(t *testing.T) {
	f := newTestFleet(t)
	time.Sleep(5500 * time.Millisecond) // witnesses only accept keys minted at least 5 s after their start
	key := newKey()
	first := f.order(0, "/orders", key)
	require.Equal(t, outcome.Answered, first.kind, first.body)
	for router := range 3 {
		again := f.order(router, "/orders", key)
		assert.Equal(t, outcome.Unknown, again.kind)
		assert.Equal(t, http.StatusConflict, again.status)
	}
	assert.Equal(t, 1, f.executions(key["Idempotency-Key"]))

	broken := newKey()
	a := f.order(1, "/break", broken)
	assert.Equal(t, outcome.Unknown, a.kind, "the request ran, and the connection broke before the response")
	assert.Equal(t, outcome.Unknown, f.order(2, "/break", broken).kind)
	assert.Equal(t, 1, f.executions(broken["Idempotency-Key"]))

	var wg sync.WaitGroup
	raced := newKey()
	for i := range 12 {
		wg.Add(1)
		go func() { defer wg.Done(); f.order(i%3, "/orders", raced) }()
	}
	wg.Wait()
	assert.LessOrEqual(t, f.executions(raced["Idempotency-Key"]), 1)

	old := f.order(0, "/orders", map[string]string{"Idempotency-Key": "00000000-0000-7000-8000-000000000001"})
	assert.Equal(t, string("key-outside-window"), old.reason)
}

func TestLeavingUpstreamGetsNoRequests(t *testing.T) {
	f := newTestFleet(t)
	addr := f.daemons[0].ctrl.Version().Upstreams[version.IDOf("upstream/e0")].Address
	a := send(http.MethodPost, "http://"+addr+"/leave", "", "", nil)
	require.Equal(t, http.StatusOK, a.status)
	for i := range 30 {
		a := f.chat(i%3, "chat", "x", false, 2)
		assert.Equal(t, http.StatusOK, a.status, "after a refusal that proves that it was not run, a request is retried elsewhere")
	}
	assert.Empty(t, f.engines[0].Journal.Entries())
}

func TestInvalidRequestsAreRefused(t *testing.T) {
	f := newTestFleet(t)
	chat := f.url(0) + "/v1/chat/completions"
	huge := strings.Repeat("x", 70000)
	cases := map[string]struct {
		a      response
		status int
		reason string
	}{
		"wrong key":         {send("POST", chat, "nobody", chatBody("chat", "x", false, 1), nil), 401, outcome.ReasonKey},
		"unknown model":     {send("POST", chat, "wide-key", chatBody("nope", "x", false, 1), nil), 404, outcome.ReasonApplication},
		"plain as a model":  {send("POST", chat, "wide-key", chatBody("order", "x", false, 1), nil), 404, outcome.ReasonApplication},
		"broken JSON":       {send("POST", chat, "wide-key", `{"model":`, nil), 400, outcome.ReasonBody},
		"JSON null":         {send("POST", chat, "wide-key", `null`, nil), 400, outcome.ReasonBody},
		"no messages":       {send("POST", chat, "wide-key", `{"model":"chat"}`, nil), 400, outcome.ReasonBody},
		"stream not a bool": {send("POST", chat, "wide-key", `{"model":"chat","stream":"yes","messages":[]}`, nil), 400, outcome.ReasonBody},
		"large body":        {send("POST", chat, "wide-key", chatBody("chat", huge, false, 1), nil), 413, outcome.ReasonTooLarge},
		"wrong path":        {send("GET", f.url(0)+"/v2/x", "wide-key", "", nil), 404, outcome.ReasonPath},
		"wrong method":      {send("GET", chat, "wide-key", "", nil), 404, outcome.ReasonPath},
		"bad timeout":       {send("POST", chat, "wide-key", chatBody("chat", "x", false, 1), map[string]string{"Request-Timeout": "soon"}), 400, outcome.ReasonHeader},
		"bad priority":      {send("POST", chat, "wide-key", chatBody("chat", "x", false, 1), map[string]string{"Priority": "u=9"}), 400, outcome.ReasonHeader},
		"bad key":           {f.order(0, "/x", map[string]string{"Idempotency-Key": "order-17"}), 400, outcome.ReasonHeader},
	}
	for name, c := range cases {
		require.NoError(t, c.a.err, name)
		assert.Equal(t, c.status, c.a.status, name)
		assert.Equal(t, c.reason, c.a.reason, name)
		assert.Equal(t, outcome.NotRun, c.a.kind, name)
		var e struct {
			Error struct{ Message, Code, Outcome string }
		}
		assert.NoError(t, json.Unmarshal([]byte(c.a.body), &e), name)
		assert.Equal(t, c.reason, e.Error.Code, name)
	}
	assert.Equal(t, 431, rawCall(t, f, "GET /v1/models HTTP/1.1\r\nHost: x\r\nX: "+huge+"\r\n\r\n"))
	assert.Equal(t, 408, rawCall(t, f, "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer wide-key\r\nContent-Length: 99\r\n\r\n{"))
	assert.Equal(t, outcome.Answered, f.chat(0, "chat", "after", false, 1).kind)
}

// Until the witnesses have ruled on a key, an earlier call with it may have run, so a refusal
// must not claim that the request was not run.
func TestRefusalBeforeWitnessRulingReportsUnknownOutcome(t *testing.T) {
	f := newTestFleet(t)
	huge := strings.Repeat("x", 70000)
	with := send("POST", f.url(0)+"/v1/apps/order/orders", "wide-key", huge, newKey())
	assert.Equal(t, outcome.Unknown, with.kind)
	without := send("POST", f.url(0)+"/v1/apps/order/orders", "wide-key", huge, nil)
	assert.Equal(t, outcome.NotRun, without.kind)
	elsewhere := send("POST", f.url(2)+"/v1/apps/order/orders", "narrow-key", "{}", newKey())
	assert.Equal(t, http.StatusTemporaryRedirect, elsewhere.status)
	assert.Equal(t, outcome.Unknown, elsewhere.kind)
}

// rawCall writes text to a router and returns the status of its response.
func rawCall(t *testing.T, f *testFleet, text string) int {
	c, err := net.Dial("tcp", f.daemons[0].set.Callers)
	require.NoError(t, err)
	defer c.Close()
	require.NoError(t, c.SetDeadline(time.Now().Add(10*time.Second)))
	go func() { _, _ = io.Copy(c, bytes.NewReader([]byte(text))) }()
	var proto string
	var status int
	_, err = fmt.Fscan(c, &proto, &status)
	require.NoError(t, err)
	return status
}

func TestRefusalWithoutCapacityCarriesRetryAfter(t *testing.T) {
	f := newTestFleet(t)
	for _, e := range f.engines {
		e.TokenInterval = 50 * time.Millisecond
	}
	var wg sync.WaitGroup
	for range 24 { // every slot of the three engines
		wg.Add(1)
		go func() { defer wg.Done(); f.chat(0, "chat", "long", false, 60) }()
	}
	time.Sleep(1500 * time.Millisecond)
	began := time.Now()
	a := send("POST", f.url(1)+"/v1/chat/completions", "wide-key", chatBody("chat", "x", false, 1), map[string]string{"Request-Timeout": "0.3"})
	assert.Equal(t, outcome.NotRun, a.kind)
	assert.Equal(t, 503, a.status)
	assert.NotEmpty(t, a.header.Get("Retry-After"))
	assert.Less(t, time.Since(began), 2*time.Second)
	wg.Wait()
}

func TestConfigurationReachesEveryRouter(t *testing.T) {
	f := newTestFleet(t)
	old, err := version.Packed{Revision: 1, Files: f.files}.Encode()
	require.NoError(t, err)
	f.files["templates/t.ini"] = strings.Replace(f.files["templates/t.ini"], "[application chat]", "[application talk]", 1)
	f.publish()
	f.waitForRevision(2)
	// An invalid version between valid ones, then a configuration service restored to an
	// older version.
	good := f.files["templates/t.ini"]
	f.files["templates/t.ini"] = "broken"
	f.publish()
	f.platform.Publish(ValueConfiguration, old)
	time.Sleep(300 * time.Millisecond)
	for _, d := range f.daemons {
		assert.Equal(t, uint64(2), d.ctrl.Version().Number.Revision)
	}
	f.files["templates/t.ini"] = good
	f.publish()
	f.waitForRevision(4)
	assert.Equal(t, outcome.Answered, f.chat(1, "talk", "x", false, 1).kind)
	// While the configuration service is down, a router that restarts without a version gets
	// it from its peers.
	f.platform.SetDown(true)
	set := f.daemons[2].set
	f.daemons[2].close()
	d, err := StartApp(set, zerolog.Nop())
	require.NoError(t, err)
	t.Cleanup(d.close)
	f.daemons[2] = d
	f.waitForRevision(4)
}

func (f *testFleet) waitForRevision(revision uint64) {
	f.t.Helper()
	for _, d := range f.daemons {
		require.Eventually(f.t, func() bool {
			v := d.ctrl.Version()
			return v != nil && v.Number.Revision == revision
		}, 20*time.Second, 20*time.Millisecond)
	}
}

func TestPlannedStopCutsNoRequest(t *testing.T) {
	f := newTestFleet(t)
	for _, e := range f.engines {
		e.TokenInterval = 20 * time.Millisecond
	}
	var wg sync.WaitGroup
	for i := range 18 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			text := fmt.Sprintf("stay %d", i)
			requireStreamEvents(assertT{t}, f.chat(i%3, "chat", text, true, 100), text, 100)
		}()
	}
	time.Sleep(700 * time.Millisecond)
	for _, d := range f.daemons { // all routers, including the schedulers
		wg.Add(1)
		go func() { defer wg.Done(); assert.Zero(t, d.Shutdown(context.Background())) }()
	}
	wg.Wait()
}

// At the end of the bound, connections were closed under callers that waited for an answer or a slot.
func TestCallersOfApplicationsAreToldAtTheEndOfAPlannedStop(t *testing.T) {
	f := newTestFleet(t)
	f.plain.Delay = 4 * time.Second
	ends := make(chan response, 12)
	for range cap(ends) {
		go func() { ends <- f.order(0, "/orders", nil) }()
	}
	d := f.daemons[0]
	require.Eventually(t, func() bool { return d.OpenRequests(time.Second) == cap(ends) }, 20*time.Second, 10*time.Millisecond)
	time.Sleep(time.Second)
	ran := len(f.plain.Journal.Entries())
	require.Positive(t, ran)
	require.Less(t, ran, cap(ends), "some wait for a slot")
	d.set.Bound = 500 * time.Millisecond
	assert.Positive(t, d.Shutdown(context.Background()))
	got := map[outcome.Kind]int{}
	for range cap(ends) {
		end := <-ends
		require.NoError(t, end.err)
		got[end.kind]++
		if end.kind == outcome.NotRun {
			assert.Equal(t, http.StatusServiceUnavailable, end.status)
		}
	}
	assert.Equal(t, map[outcome.Kind]int{outcome.Unknown: ran, outcome.NotRun: cap(ends) - ran}, got)
}

func TestDisconnectedCallerFreesItsSlot(t *testing.T) {
	f := newTestFleet(t)
	for _, e := range f.engines {
		e.TokenInterval = 100 * time.Millisecond
	}
	ctx, stop := context.WithCancel(context.Background())
	req, err := http.NewRequestWithContext(ctx, "POST", f.url(0)+"/v1/chat/completions", strings.NewReader(chatBody("chat", "x", true, 500)))
	require.NoError(t, err)
	req.Header.Set("Authorization", "Bearer wide-key")
	res, err := http.DefaultClient.Do(req)
	require.NoError(t, err)
	stop()
	res.Body.Close()
	assert.Eventually(t, func() bool { return f.daemons[0].OpenRequests(time.Second) == 0 }, 5*time.Second, 20*time.Millisecond)
}

func TestModelsListsTheOrganisationsApplications(t *testing.T) {
	f := newTestFleet(t)
	a := send("GET", f.url(0)+"/v1/models", "wide-key", "", nil)
	assert.Contains(t, a.body, `"id":"chat"`)
	assert.Contains(t, a.body, `"id":"once"`)
	assert.NotContains(t, a.body, `"id":"order"`)
}

func TestHTTP2WithoutTLS(t *testing.T) {
	f := newTestFleet(t)
	p := &http.Protocols{}
	p.SetUnencryptedHTTP2(true)
	c := &http.Client{Transport: &http.Transport{Protocols: p}}
	req, err := http.NewRequest("GET", f.url(0)+"/v1/models", nil)
	require.NoError(t, err)
	req.Header.Set("Authorization", "Bearer wide-key")
	res, err := c.Do(req)
	require.NoError(t, err)
	defer res.Body.Close()
	assert.Equal(t, 2, res.ProtoMajor)
	assert.Equal(t, 200, res.StatusCode)
}

// Every step has a span in the caller's trace, and no span contains content or keys.
func TestSpansOfARequest(t *testing.T) {
	rec := tracetest.NewSpanRecorder()
	old := otel.GetTracerProvider()
	otel.SetTracerProvider(sdktrace.NewTracerProvider(sdktrace.WithSpanProcessor(rec)))
	t.Cleanup(func() { otel.SetTracerProvider(old) })
	f := newTestFleet(t)
	const id = "0af7651916cd43dd8448eb211c80319c"
	a := send("POST", f.url(0)+"/v1/chat/completions", "wide-key", chatBody("chat", "the-content", false, 2),
		map[string]string{"Traceparent": "00-" + id + "-b7ad6b7169203331-01"})
	require.Equal(t, outcome.Answered, a.kind)
	names := map[string]bool{}
	for _, s := range rec.Ended() {
		if s.SpanContext().TraceID().String() != id {
			continue
		}
		names[s.Name()] = true
		text := fmt.Sprint(s.Attributes(), s.Events())
		assert.NotContains(t, text, "the-content")
		assert.NotContains(t, text, "wide-key")
	}
	for _, want := range []string{"entry", "queue", "grant", "upstream"} {
		assert.True(t, names[want], want)
	}
}
