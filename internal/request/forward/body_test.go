package forward

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/silverswitch/silverswitch/internal/memory"
)

// heldUpstream answers an organisation's requests only once they are released.
type heldUpstream struct {
	*httptest.Server
	holds    string // the organisation
	running  atomic.Int64
	bytes    atomic.Int64 // of the last body
	released chan struct{}
	once     sync.Once
}

func (u *heldUpstream) release() { u.once.Do(func() { close(u.released) }) }

func newHeldUpstream(t *testing.T, org string) *heldUpstream {
	u := &heldUpstream{holds: org, released: make(chan struct{})}
	u.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		n, _ := io.Copy(io.Discard, r.Body)
		u.bytes.Store(n)
		if r.Header.Get("X-Org") == u.holds {
			u.running.Add(1)
			<-u.released
		}
		w.Header().Set("X-Proof", "p")
		w.Header().Set("X-Id", r.Header.Get("X-Id"))
		fmt.Fprint(w, "hello")
	}))
	t.Cleanup(func() { u.release(); u.Close() })
	return u
}

// newLargeBodyHarness returns a harness for bodies of up to 1 MB whose requests all go to one
// upstream.
func newLargeBodyHarness(t *testing.T, u *heldUpstream) *harness {
	r := newHarness(t, slices.Repeat([]string{u.Listener.Addr().String()}, 100)...)
	r.control.table.Limits.BodyBytes = 1 << 20
	return r
}

// refusedForMemory reports whether an answer says truly that nothing ran, and when to come back.
func refusedForMemory(res *http.Response, body string) bool {
	after, err := strconv.ParseFloat(res.Header.Get("Retry-After"), 64)
	return res.StatusCode == http.StatusServiceUnavailable && body == "memory-full\n" && err == nil && after > 0
}

// The large bodies of one organisation filled the memory of every router, and the requests of
// others were lost with its process. They must be refused before they are read instead.
func TestLargeBodiesOfOneOrganisationDoNotExhaustMemory(t *testing.T) {
	const callers = 24
	u := newHeldUpstream(t, "alpha")
	r := newLargeBodyHarness(t, u)
	var refused, answered atomic.Int64
	var wg sync.WaitGroup
	for range callers {
		wg.Go(func() {
			res, body, err := r.do(t, "POST", "/patient/x", strings.Repeat("a", 512<<10))
			switch {
			case !assert.NoError(t, err):
			case res.StatusCode == http.StatusOK:
				answered.Add(1)
			case assert.True(t, refusedForMemory(res, body), "status %d, %q", res.StatusCode, body):
				refused.Add(1)
			}
		})
	}
	require.Eventually(t, func() bool { return refused.Load()+u.running.Load() == callers }, 10*time.Second, time.Millisecond)
	assert.LessOrEqual(t, r.server.memory.Used(), int64(testMemory))
	assert.GreaterOrEqual(t, r.server.memory.Used(), int64(testMemory/2), "memory that is free is used")
	assert.Equal(t, refused.Load(), int64(len(r.control.shed)), "refused work counts as demand")

	res, _, err := r.do(t, "POST", "/patient/x", strings.Repeat("b", 100<<10), "Authorization", "Bearer key-b")
	require.NoError(t, err)
	assert.Equal(t, http.StatusOK, res.StatusCode, "the other organisation is served")

	u.release()
	wg.Wait()
	assert.Equal(t, int64(callers), answered.Load()+refused.Load())
	assert.Eventually(t, func() bool { return r.server.memory.Used() == 0 }, 10*time.Second, time.Millisecond, "all memory is released")
}

// A body without a stated length is refused once it outgrows what its organisation may hold.
func TestBodyOfUnstatedLengthIsRefusedAsItGrows(t *testing.T) {
	u := newHeldUpstream(t, "nobody")
	r := newLargeBodyHarness(t, u)
	r.server.memory = memory.NewAccount(200 << 10)
	req, err := http.NewRequest("POST", r.url+"/safe/x", io.MultiReader(strings.NewReader(strings.Repeat("a", 600<<10))))
	require.NoError(t, err)
	require.Zero(t, req.ContentLength)
	req.Host = "h.example"
	req.Header.Set("Authorization", "Bearer key-a")
	res, err := http.DefaultClient.Do(req)
	require.NoError(t, err)
	defer res.Body.Close()
	body, _ := io.ReadAll(res.Body)
	assert.True(t, refusedForMemory(res, string(body)), "status %d, %q", res.StatusCode, body)
	assert.Zero(t, r.control.submitted.Load())
	assert.Eventually(t, func() bool { return r.server.memory.Used() == 0 }, 10*time.Second, time.Millisecond)
}

// The bodies of requests that cannot be sent again filled the memory until their answers came.
func TestBodyOfLastAttemptIsReleasedOnceWritten(t *testing.T) {
	u := newHeldUpstream(t, "alpha")
	r := newLargeBodyHarness(t, u)
	r.server.memory = memory.NewAccount(1 << 20)
	result := make(chan int, 1)
	go func() {
		res, _, err := r.do(t, "POST", "/single/x", strings.Repeat("a", 700<<10))
		if assert.NoError(t, err) {
			result <- res.StatusCode
		}
	}()
	require.Eventually(t, func() bool { return u.running.Load() == 1 }, 10*time.Second, time.Millisecond)
	assert.Eventually(t, func() bool { return r.server.memory.Used() < 100<<10 }, 10*time.Second, time.Millisecond, "while it runs")
	u.release()
	assert.Equal(t, http.StatusOK, <-result)
}

// A placement that is withdrawn before the request is sent does not use up its body.
func TestBodyOfLastAttemptIsKeptWhenItIsNotSent(t *testing.T) {
	u := newHeldUpstream(t, "nobody")
	r := newLargeBodyHarness(t, u)
	r.server.memory = memory.NewAccount(1 << 20)
	r.control.leftInstances = map[string]bool{"i-0": true}
	res, body, err := r.do(t, "POST", "/single/x", strings.Repeat("a", 700<<10))
	require.NoError(t, err)
	assert.Equal(t, http.StatusOK, res.StatusCode, body)
	assert.Equal(t, int64(700<<10), u.bytes.Load())
	assert.Eventually(t, func() bool { return r.server.memory.Used() == 0 }, 10*time.Second, time.Millisecond)
}

// An upstream that answers before it has read a large body must not leave its memory in use twice.
func TestMemoryIsReleasedWhereTheUpstreamAnswersEarly(t *testing.T) {
	addr, _ := scriptedUpstream(t, notRunAnswer, okHelloAnswer)
	r := newHarness(t, addr, addr)
	r.control.table.Limits.BodyBytes = 1 << 20
	res, _, err := r.do(t, "POST", "/once/x", strings.Repeat("a", 900<<10))
	require.NoError(t, err)
	assert.Equal(t, http.StatusOK, res.StatusCode)
	assert.Eventually(t, func() bool { return r.server.memory.Used() == 0 }, 10*time.Second, time.Millisecond)
}
