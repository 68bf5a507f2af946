package forward

import (
	"net"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/silverswitch/silverswitch/internal/core/quarantine"
	"github.com/silverswitch/silverswitch/internal/fingerprint"
)

// fingerprintOf returns the fingerprint of a request as harness.do sends it.
func fingerprintOf(t *testing.T, method, path, body string) fingerprint.Fingerprint {
	t.Helper()
	return testKey(t).Of(fingerprint.Content{Organisation: "alpha", Method: method, Host: "h.example", Target: path, Body: [][]byte{[]byte(body)}})
}

func (c *fakeControl) setQuarantined(f fingerprint.Fingerprint, crashes int, until time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.quarantinedRequests = map[fingerprint.Fingerprint]quarantine.State{f: {Crashes: crashes, Until: until}}
}

func TestQuarantinedRequestIsRefusedAndNotSent(t *testing.T) {
	for _, path := range []string{"/once/x", "/safe/x", "/stream/x"} {
		addr, got := scriptedUpstream(t, okHelloAnswer)
		r := newHarness(t, addr)
		r.control.setQuarantined(fingerprintOf(t, "POST", path, "body"), 3, time.Now().Add(time.Minute))
		res, body, err := r.do(t, "POST", path, "body")
		require.NoError(t, err)
		assert.Equal(t, http.StatusServiceUnavailable, res.StatusCode, "it has not run")
		assert.Equal(t, reasonQuarantined+"\n", body)
		after, err := strconv.ParseFloat(res.Header.Get("Retry-After"), 64)
		require.NoError(t, err)
		assert.InDelta(t, 60, after, 5, "not before it may be tried again")
		assert.Empty(t, got())
		res, _, err = r.do(t, "POST", path, "another body")
		require.NoError(t, err)
		assert.Equal(t, http.StatusOK, res.StatusCode)
	}
}

func TestRequestIsSentAgainWhenItsQuarantineHasExpired(t *testing.T) {
	addr, _ := scriptedUpstream(t, okHelloAnswer)
	r := newHarness(t, addr)
	r.control.setQuarantined(fingerprintOf(t, "POST", "/once/x", "body"), 3, time.Now().Add(-time.Second))
	res, _, err := r.do(t, "POST", "/once/x", "body")
	require.NoError(t, err)
	assert.Equal(t, http.StatusOK, res.StatusCode)
	assert.Equal(t, []fingerprint.Fingerprint{fingerprintOf(t, "POST", "/once/x", "body")}, r.control.answeredWhole, "its answer clears it")
}

// A request may become quarantined while it is at an upstream. The attempt may have run, so
// the outcome must not say that it did not, and no further attempt is made.
func TestRequestQuarantinedDuringAnAttemptIsNotSentAgain(t *testing.T) {
	first, _ := scriptedUpstream(t, "\x00")
	second, got := scriptedUpstream(t, okHelloAnswer)
	r := newHarness(t, first, second)
	r.control.onPlaceAgain = func() {
		r.control.setQuarantined(fingerprintOf(t, "GET", "/safe/x", ""), 3, time.Now().Add(time.Minute))
	}
	res, _, err := r.do(t, "GET", "/safe/x", "")
	require.NoError(t, err)
	assert.Equal(t, http.StatusBadGateway, res.StatusCode)
	assert.Empty(t, res.Header.Get("Retry-After"))
	assert.Empty(t, got())

	first, _ = scriptedUpstream(t, eventStreamHeader+eventChunk(1)+"\x00")
	second, got = scriptedUpstream(t, eventStreamHeader+eventChunk(2)+lastChunk)
	r = newHarness(t, first, second)
	r.control.onPlaceAgain = func() {
		r.control.setQuarantined(fingerprintOf(t, "POST", "/stream/x", "body"), 3, time.Now().Add(time.Minute))
	}
	_, body, err := r.do(t, "POST", "/stream/x", "body")
	assert.Error(t, err, "cut, so that it does not look whole")
	assert.Contains(t, body, "data: e1")
	assert.Empty(t, got())
}

func TestAttemptsThatMayHaveRunAreReported(t *testing.T) {
	for name, c := range map[string]struct {
		path   string
		answer string
		lost   []bool
		early  bool
	}{
		"cut before the answer": {"/once/x", "\x00", []bool{true}, true},
		"cut before an event":   {"/single/x", eventStreamHeader + "\x00", []bool{true}, true},
		"cut in the midst":      {"/single/x", eventStreamHeader + eventChunk(1) + "\x00", []bool{true}, false},
		"cut inside an event":   {"/single/x", eventStreamHeader + eventChunk(1) + "8\r\nid: 2\nda\r\n\x00", []bool{true}, false},
		"answer of another":     {"/once/x", "HTTP/1.1 200 OK\r\nX-Id: %ID\r\nContent-Length: 0\r\n\r\n", []bool{false}, true},
		"not run":               {"/single/x", notRunAnswer, nil, false},
		"whole":                 {"/once/x", okHelloAnswer, nil, false},
		"whole failure":         {"/once/x", "HTTP/1.1 500 Oh\r\nX-Id: %ID\r\nX-Proof: p\r\nContent-Length: 0\r\n\r\n", nil, false},
	} {
		t.Run(name, func(t *testing.T) {
			addr, _ := scriptedUpstream(t, c.answer)
			r := newHarness(t, addr)
			_, _, _ = r.do(t, "POST", c.path, "body") // some of these end cut
			r.control.mu.Lock()
			defer r.control.mu.Unlock()
			var lost []bool
			for _, b := range r.control.incompleteAttempts {
				lost = append(lost, b.Lost)
				assert.Equal(t, fingerprintOf(t, "POST", c.path, "body"), b.Content)
				assert.Equal(t, "alpha", b.Org)
				assert.Equal(t, c.early, b.Early)
				assert.Equal(t, "i-0", b.Instance.ID)
			}
			assert.Equal(t, c.lost, lost)
			assert.Empty(t, r.control.answeredWhole, "nothing was known of it")
		})
	}
}

func TestRefusedConnectionIsReported(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	l.Close()
	r := newHarness(t, l.Addr().String())
	res, _, err := r.do(t, "POST", "/once/x", "body")
	require.NoError(t, err)
	assert.Equal(t, http.StatusServiceUnavailable, res.StatusCode)
	assert.Equal(t, []string{"i-0"}, r.control.refusedConnections)
	assert.Empty(t, r.control.incompleteAttempts)
}
