package forward

import (
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// answerOfSize returns an answer of n bytes. If torn, the connection is cut before the last.
func answerOfSize(n int, torn bool) string {
	body := strings.Repeat("a", n)
	if torn {
		body = body[:n-1] + "\x00"
	}
	return okHeader + "Content-Length: " + strconv.Itoa(n) + "\r\n\r\n" + body
}

// Several large answers arrive at once at a router whose requests may hold 4 MB in total. It must
// forward them as they arrive. Buffering each whole up to 16 MB exceeds that limit, and
// answers above 16 MB could not be forwarded at all.
func TestLargeAnswersAreStreamedNotBuffered(t *testing.T) {
	const (
		callers = 3
		large   = 17 << 20
	)
	var wg sync.WaitGroup
	r := newHarness(t)
	for range callers {
		addr, _ := scriptedUpstream(t, answerOfSize(large, false))
		r.control.upstreams = append(r.control.upstreams, addr)
	}
	for range callers {
		wg.Go(func() {
			res, body, err := r.do(t, "POST", "/patient/x", "body")
			if assert.NoError(t, err) {
				assert.Equal(t, http.StatusOK, res.StatusCode)
				assert.Equal(t, int64(large), res.ContentLength)
				assert.Len(t, body, large)
			}
			assert.LessOrEqual(t, r.server.memory.Used(), int64(testMemory))
		})
	}
	wg.Wait()
	assert.Eventually(t, func() bool { return r.server.memory.Used() == 0 }, 10*time.Second, time.Millisecond, "all buffers are released")
}

// An answer that is forwarded as it arrives and breaks is cut; the request is not sent to
// another upstream.
func TestLargeAnswerThatBreaksIsCut(t *testing.T) {
	first, _ := scriptedUpstream(t, answerOfSize(4<<20, true))
	second, got := scriptedUpstream(t, okHelloAnswer)
	r := newHarness(t, first, second)
	_, _, err := r.do(t, "GET", "/safe/x", "")
	assert.Error(t, err)
	assert.Empty(t, got())
	assert.Eventually(t, func() bool { return len(r.control.recordedNotes()) == 1 }, 10*time.Second, time.Millisecond)
}

// A small answer is buffered until it is whole, so the request is sent elsewhere if the
// answer breaks.
func TestSmallAnswerThatBreaksIsRetriedElsewhere(t *testing.T) {
	first, _ := scriptedUpstream(t, answerOfSize(100<<10, true))
	second, _ := scriptedUpstream(t, okHelloAnswer)
	r := newHarness(t, first, second)
	res, body, err := r.do(t, "GET", "/safe/x", "")
	require.NoError(t, err)
	assert.Equal(t, http.StatusOK, res.StatusCode)
	assert.Equal(t, "hello", body)
	assert.Eventually(t, func() bool { return r.server.memory.Used() == 0 }, 10*time.Second, time.Millisecond)
}
