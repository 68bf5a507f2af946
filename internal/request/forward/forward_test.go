package forward

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/silverswitch/silverswitch/internal/core/wire"
)

func TestAnswerIsPassedOnUnchanged(t *testing.T) {
	up, got := scriptedUpstream(t, okHelloAnswer)
	r := newHarness(t, up)
	res, body, err := r.do(t, "POST", "/once/a%2Fb?q=1", "text", "X-Org", "forged", "X-Router-Only", "forged", "X-Other", "kept", "X-Left-Ms", "900")
	require.NoError(t, err)
	assert.Equal(t, 200, res.StatusCode)
	assert.Equal(t, "hello", body)
	assert.Equal(t, "p", res.Header.Get("X-Proof"))
	q := got()[0]
	assert.Equal(t, "/once/a%2Fb?q=1", q.RequestURI)
	assert.Equal(t, "h.example", q.Host)
	assert.Equal(t, "alpha", q.Header.Get("X-Org"), "set by the router, not the caller")
	assert.Empty(t, q.Header.Get("Authorization"), "API keys are never forwarded")
	assert.Empty(t, q.Header.Get("X-Router-Only"))
	assert.Equal(t, "kept", q.Header.Get("X-Other"))
	assert.Equal(t, "i-0", q.Header.Get("X-Expect"))
	assert.Less(t, len(q.Header.Get("X-Left-Ms")), 4, "the time left, not more than the caller gave")
	assert.Equal(t, []uint8{wire.ProgressDone}, r.control.recordedNotes())
}

func TestRefusalsFromHeaders(t *testing.T) {
	r := newHarness(t)
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
	r.control.table = nil
	res, _, err = r.do(t, "POST", "/once/x", "")
	require.NoError(t, err)
	assert.Equal(t, 503, res.StatusCode, "without a table nothing ran")
	assert.NotEmpty(t, res.Header.Get("Retry-After"))
}

func TestRefusalHasRetryAfter(t *testing.T) {
	r := newHarness(t)
	res, _, err := r.do(t, "POST", "/stream/x", "")
	require.NoError(t, err)
	assert.Equal(t, 503, res.StatusCode)
	assert.Equal(t, "0.300", res.Header.Get("Retry-After"))
}

func TestAtMostOnceRequestIsNotResent(t *testing.T) {
	for name, answer := range map[string]string{
		"cut before the answer": "\x00",
		"cut inside the answer": okHeader + "Content-Length: 5\r\n\r\nhel\x00",
		"no proof":              "HTTP/1.1 200 OK\r\nX-Id: %ID\r\nContent-Length: 0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			a, _ := scriptedUpstream(t, answer)
			b, gotB := scriptedUpstream(t, okHelloAnswer)
			r := newHarness(t, a, b)
			res, _, err := r.do(t, "POST", "/once/x", "body")
			require.NoError(t, err)
			assert.Equal(t, 502, res.StatusCode, "it may have run")
			assert.Empty(t, gotB())
		})
	}
}

func TestRequestNotRunByUpstreamIsRetriedElsewhere(t *testing.T) {
	a, _ := scriptedUpstream(t, notRunAnswer)
	b, _ := scriptedUpstream(t, okHelloAnswer)
	r := newHarness(t, a, b)
	res, body, err := r.do(t, "POST", "/once/x", "body")
	require.NoError(t, err)
	assert.Equal(t, 200, res.StatusCode)
	assert.Equal(t, "hello", body)
}

func TestRequestNotRunAnywhereGets503(t *testing.T) {
	a, _ := scriptedUpstream(t, notRunAnswer)
	r := newHarness(t, a)
	res, _, err := r.do(t, "POST", "/single/x", "body")
	require.NoError(t, err)
	assert.Equal(t, 503, res.StatusCode)
	assert.NotEmpty(t, res.Header.Get("Retry-After"))
}

func TestRefusalAfterPossibleRunGets502(t *testing.T) {
	a, _ := scriptedUpstream(t, "\x00")
	r := newHarness(t, a)
	res, _, err := r.do(t, "GET", "/safe/x", "")
	require.NoError(t, err)
	assert.Equal(t, 502, res.StatusCode)
}

// An upstream runs a request and answers 503 with its proof, but without the header that
// says that it did not run the request. If that status were forwarded, it would tell the
// caller that the request never ran, and the caller would send it again.
func TestUpstreamStatusMeaningNotRunIsReplacedUnlessProven(t *testing.T) {
	for _, status := range []string{"429 Too Many Requests", "503 Service Unavailable", "408 Request Timeout"} {
		answer := "HTTP/1.1 " + status + "\r\nX-Id: %ID\r\nX-Proof: p\r\nRetry-After: 1\r\nContent-Length: 2\r\n\r\nno"
		up, _ := scriptedUpstream(t, answer)
		res, _, err := newHarness(t, up).do(t, "POST", "/once/x", "body")
		require.NoError(t, err)
		assert.Equal(t, 502, res.StatusCode, status)
		assert.Empty(t, res.Header.Get("X-Proof"), "the status is the router's")
		assert.Empty(t, res.Header.Get("Retry-After"))

		safe, _ := scriptedUpstream(t, answer)
		res, body, err := newHarness(t, safe).do(t, "GET", "/safe/x", "")
		require.NoError(t, err)
		if status[:3] != "503" { // 503 is retried elsewhere
			assert.Equal(t, status[:3], res.Status[:3], "the answer to a repeatable request is forwarded as it is")
			assert.Equal(t, "no", body)
		}
	}
}

func TestIdempotentRequestsAreRetried(t *testing.T) {
	for name, answer := range map[string]string{
		"cut":     "\x00",
		"failed":  "HTTP/1.1 500 Oops\r\nX-Id: %ID\r\nX-Proof: p\r\nContent-Length: 0\r\n\r\n",
		"encoded": okHeader + "Content-Encoding: gzip\r\nContent-Length: 2\r\n\r\nxx",
		"silent":  "",
	} {
		t.Run(name, func(t *testing.T) {
			a, _ := scriptedUpstream(t, answer)
			b, _ := scriptedUpstream(t, okHelloAnswer)
			r := newHarness(t, a, b)
			res, body, err := r.do(t, "GET", "/safe/x", "")
			require.NoError(t, err)
			assert.Equal(t, 200, res.StatusCode)
			assert.Equal(t, "hello", body)
		})
	}
}

func TestLateAnswerToEarlierRequestIsSkipped(t *testing.T) {
	late := strings.ReplaceAll(okHelloAnswer, "%ID", "another")
	a, _ := scriptedUpstream(t, late+okHeader+"Content-Length: 4\r\n\r\nmine")
	r := newHarness(t, a)
	res, body, err := r.do(t, "POST", "/once/x", "body")
	require.NoError(t, err)
	assert.Equal(t, 200, res.StatusCode)
	assert.Equal(t, "mine", body)
}

func TestStreamIsResumedAtExactPosition(t *testing.T) {
	torn := "8\r\nid: 3\nda\r\n"
	a, _ := scriptedUpstream(t, eventStreamHeader+eventChunk(1)+eventChunk(2)+torn+"\x00")
	b, got := scriptedUpstream(t, eventStreamHeader+eventChunk(2)+eventChunk(3)+eventChunk(4)+lastChunk)
	r := newHarness(t, a, b)
	res, body, err := r.do(t, "POST", "/stream/x", "body")
	require.NoError(t, err)
	assert.Equal(t, 200, res.StatusCode)
	assert.Equal(t, "id: 1\ndata: e1\n\nid: 2\ndata: e2\n\nid: 3\ndata: e3\n\nid: 4\ndata: e4\n\n", body)
	assert.Equal(t, "2", got()[0].Header.Get("Last-Event-Id"))
}

// The upstream that is asked to resume a stream answers something else, such as status 500.
// The end of that answer must not be forwarded as the end of the stream.
func TestStreamThatCannotBeResumedIsCut(t *testing.T) {
	for name, second := range map[string]string{
		"status 500":   "HTTP/1.1 500 Oops\r\nX-Id: %ID\r\nX-Proof: p\r\nContent-Length: 4\r\n\r\noops",
		"not a stream": okHelloAnswer,
		"missing":      eventStreamHeader + eventChunk(4) + lastChunk,
		"not run":      notRunAnswer,
		"cut again":    eventStreamHeader + eventChunk(3) + "\x00",
	} {
		t.Run(name, func(t *testing.T) {
			a, _ := scriptedUpstream(t, eventStreamHeader+eventChunk(1)+eventChunk(2)+"\x00")
			b, _ := scriptedUpstream(t, second)
			r := newHarness(t, a, b)
			_, body, err := r.do(t, "POST", "/stream/x", "body")
			assert.Error(t, err, "the caller must see that the answer is not whole")
			assert.NotContains(t, body, "oops")
			assert.NotContains(t, body, "e4")
		})
	}
}

func TestStreamOfNonResumableRouteIsCut(t *testing.T) {
	a, _ := scriptedUpstream(t, eventStreamHeader+eventChunk(1)+"\x00")
	b, gotB := scriptedUpstream(t, eventStreamHeader+eventChunk(2)+lastChunk)
	r := newHarness(t, a, b)
	_, body, err := r.do(t, "POST", "/single/x", "body")
	assert.Error(t, err)
	assert.Equal(t, "id: 1\ndata: e1\n\n", body)
	assert.Empty(t, gotB())
}

func TestExpiredDeadlineIsAnsweredAtOnce(t *testing.T) {
	a, _ := scriptedUpstream(t, "")
	r := newHarness(t, a)
	res, _, err := r.do(t, "POST", "/once/x", "body", "X-Left-Ms", "100")
	require.NoError(t, err)
	assert.Equal(t, 504, res.StatusCode)
}

func TestDisconnectedCallerEndsUpstreamRequest(t *testing.T) {
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
	r := newHarness(t, l.Addr().String())
	c, err := net.Dial("tcp", strings.TrimPrefix(r.url, "http://"))
	require.NoError(t, err)
	_, err = c.Write([]byte("POST /once/x HTTP/1.1\r\nHost: h.example\r\nX-Id: r1\r\nAuthorization: Bearer key-a\r\nContent-Length: 0\r\n\r\n"))
	require.NoError(t, err)
	<-arrived
	c.Close()
	<-ended
}

// A small router that gets most of its place's callers must not accept them all, or it
// answers none in time.
func TestOverloadedRouterRefusesAtOnce(t *testing.T) {
	a, got := scriptedUpstream(t, okHelloAnswer)
	r := newHarness(t, a)
	r.control.overloaded.Store(true)
	refused, shedCount := 0, 0
	for range 20 {
		res, body, err := r.do(t, "POST", "/once/x", "body")
		require.NoError(t, err)
		if body == "router-overloaded\n" {
			shedCount++
		}
		if res.StatusCode == 503 {
			refused++
			assert.NotEmpty(t, res.Header.Get("Retry-After"))
		}
	}
	assert.GreaterOrEqual(t, refused, 12)
	assert.LessOrEqual(t, len(got()), 20-refused)
	r.control.mu.Lock()
	assert.Len(t, r.control.shed, shedCount, "each is counted as demand")
	r.control.mu.Unlock()
	overloaded := newHarnessWithLimit(t, 0, a)
	res, _, err := overloaded.do(t, "POST", "/once/x", "body")
	require.NoError(t, err)
	assert.Equal(t, 503, res.StatusCode, "no room for another request")
}

func TestPromptIsReadFromHeaders(t *testing.T) {
	p := testDialect.readPrompt(http.Header{"X-Usage": {"1460,80"}, "X-Parts": {"5c:800,91:410, e4:250"}})
	assert.Equal(t, 1460, p.input)
	assert.Equal(t, 40, p.output)
	require.Len(t, p.parts, 3)
	assert.Equal(t, wire.PromptPart{Part: PartID("91"), Tokens: 410}, p.parts[1], "engines report it under the same id")
	bad := testDialect.readPrompt(http.Header{"X-Usage": {"-5,x"}, "X-Parts": {"5c:-1,zz"}})
	assert.Equal(t, prompt{}, bad)
}

// A busy router takes a third of a second between the placement of a request and sending
// it. If the upstream announces meanwhile that it is leaving, the request goes elsewhere.
func TestNothingIsSentToUpstreamThatLeftBeforeSend(t *testing.T) {
	a, gotA := scriptedUpstream(t, okHelloAnswer)
	b, gotB := scriptedUpstream(t, okHelloAnswer)
	r := newHarness(t, a, b)
	r.control.leftInstances = map[string]bool{"i-0": true}
	res, body, err := r.do(t, "POST", "/once/x", "body")
	require.NoError(t, err)
	assert.Equal(t, 200, res.StatusCode)
	assert.Equal(t, "hello", body)
	assert.Empty(t, gotA())
	assert.Len(t, gotB(), 1)
	assert.Equal(t, []uint8{wire.ProgressUnused, wire.ProgressDone}, r.control.recordedNotes())

	gone := newHarness(t, a, a, a, a, a)
	gone.control.leftInstances = map[string]bool{"i-0": true, "i-1": true, "i-2": true, "i-3": true, "i-4": true}
	res, _, err = gone.do(t, "POST", "/once/x", "body")
	require.NoError(t, err)
	assert.Equal(t, 503, res.StatusCode, "nothing was sent, so the request has not run")
	assert.Empty(t, gotA())
}

// Guards against a rejection that the control state takes for a failure: an upstream that rejects
// requests as not run has no free slot.
func TestRejectionIsReportedAsSuch(t *testing.T) {
	up, _ := scriptedUpstream(t, notRunAnswer)
	misdirected, _ := scriptedUpstream(t, "HTTP/1.1 421 Misdirected Request\r\nX-Id: %ID\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n")
	for _, c := range []struct {
		address string
		note    uint8
	}{{up, wire.ProgressRejected}, {misdirected, wire.ProgressFailed}} {
		r := newHarness(t, c.address)
		res, _, err := r.do(t, "POST", "/once/x", "text")
		require.NoError(t, err)
		assert.Equal(t, 503, res.StatusCode)
		assert.Contains(t, r.control.recordedNotes(), c.note)
	}
}
