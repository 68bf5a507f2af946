package forward

import (
	"bufio"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
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
	"github.com/silverswitch/silverswitch/internal/memory"
)

// endlessUpstream is an upstream that answers without end until its connection is closed.
type endlessUpstream struct {
	addr   string
	wrote  atomic.Int64 // bytes that its socket accepted
	closed chan struct{}
}

// newEndlessUpstream starts an upstream that answers with a head and then a piece again and again,
// with a pause between two of them. %ID is replaced by the request's id.
func newEndlessUpstream(t *testing.T, head, piece string, pause time.Duration) *endlessUpstream {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	u := &endlessUpstream{addr: l.Addr().String(), closed: make(chan struct{})}
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer close(u.closed)
		defer c.Close()
		r, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			return
		}
		if pause == 0 {
			piece = strings.Repeat(piece, 1+4096/len(piece))
		}
		text := strings.ReplaceAll(head, "%ID", r.Header.Get("X-Id"))
		for end := time.Now().Add(20 * time.Second); time.Now().Before(end); text = piece {
			n, err := c.Write([]byte(text))
			u.wrote.Add(int64(n))
			if err != nil {
				return
			}
			time.Sleep(pause)
		}
	}()
	return u
}

// endlessMemory is the memory account of these tests: more than one answer may hold.
const endlessMemory = 64 << 20

func newEndlessHarness(t *testing.T, upstreams ...string) *harness {
	t.Helper()
	h := &harness{control: &fakeControl{table: testTable(t), upstreams: upstreams}, exchanges: conn.NewExchanges()}
	h.server = NewServer(h.control, h.exchanges, testDialect, testKey(t), Limits{MaxRequests: 100, Memory: memory.NewAccount(endlessMemory)}, metrics.NewRegistry(), zerolog.Nop())
	s := httptest.NewServer(h.server)
	t.Cleanup(func() { s.Close(); h.exchanges.Close() })
	h.url = s.URL
	return h
}

const (
	interimAnswer = "HTTP/1.1 100 Continue\r\n\r\n"
	// maxSocketBytes is what may lie in the sockets between an upstream and the router.
	maxSocketBytes = 16 << 20
)

// endlessChunk is a chunk of a kilobyte.
var endlessChunk = "400\r\n" + strings.Repeat(".", 1024) + "\r\n"

// Guards against answers without end, in a head or a body: the router read on until the caller's
// deadline, passed nonsense on as a success, and never asked the sound upstream. Every interim
// answer began the limit on the head anew, and a bound counted by silence is none for an upstream
// that never falls silent.
func TestAnswerWithoutEndIsSentElsewhere(t *testing.T) {
	kinds := []struct {
		name, head, piece string
		pause             time.Duration
	}{
		{"interim answers", "", interimAnswer, 0},
		{"interim answers, slowly", "", interimAnswer, 20 * time.Millisecond},
		{"early hints", "", "HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n", 0},
		{"chunks", okHeader + "Transfer-Encoding: chunked\r\n\r\n", endlessChunk, 0},
		{"no length", okHeader + "Connection: close\r\n\r\n", strings.Repeat(".", 1024), 0},
		{"stream of empty lines", okHeader + "Content-Type: text/event-stream\r\nConnection: close\r\n\r\n", "\n", 0},
		{"stream of empty lines, slowly", okHeader + "Content-Type: text/event-stream\r\nConnection: close\r\n\r\n", "\n", 20 * time.Millisecond},
		{"stream of comments", okHeader + "Content-Type: text/event-stream\r\nConnection: close\r\n\r\n", ": x\n\n", 0},
		{"stream of comments, slowly", okHeader + "Content-Type: text/event-stream\r\nConnection: close\r\n\r\n", ": x\n\n", 20 * time.Millisecond},
	}
	for _, k := range kinds {
		for _, path := range []string{"/safe/", "/stream/", "/once/", "/single/"} {
			t.Run(k.name+path, func(t *testing.T) {
				t.Parallel()
				endless := newEndlessUpstream(t, k.head, k.piece, k.pause)
				sound, asked := scriptedUpstream(t, okHelloAnswer)
				r := newEndlessHarness(t, endless.addr, sound)
				began := time.Now()
				res, body, err := r.do(t, "POST", path+"x", "b")
				took := time.Since(began)
				require.NoError(t, err)
				if path == "/safe/" || path == "/stream/" {
					assert.Equal(t, http.StatusOK, res.StatusCode)
					assert.Equal(t, "hello", body)
					assert.Less(t, took, 1900*time.Millisecond, "before the deadline")
					assert.Equal(t, wire.ProgressFailed, r.control.recordedNotes()[0], "the upstream's failure counts")
				} else {
					assert.Contains(t, []int{http.StatusBadGateway, http.StatusGatewayTimeout}, res.StatusCode, "it may have run")
					assert.Empty(t, asked())
					assert.Less(t, took, 4*time.Second)
				}
				select {
				case <-endless.closed:
				case <-time.After(5 * time.Second):
					assert.Fail(t, "the connection stays open")
				}
				assert.Less(t, endless.wrote.Load(), int64(maxUnstatedAnswerBytes+maxSocketBytes))
				assert.Eventually(t, func() bool { return r.server.memory.Used() == 0 }, 5*time.Second, time.Millisecond)
			})
		}
	}
}

// Guards against a stream whose caller has events and that then goes on without any: it is resumed
// elsewhere, or cut where that is not possible.
func TestStreamThatGoesOnWithoutEventsIsResumed(t *testing.T) {
	for _, filler := range []string{"\n", ": x\n\n", ":\n"} {
		for path, resumes := range map[string]bool{"/stream/": true, "/single/": false} {
			t.Run(strings.TrimSpace(filler)+path, func(t *testing.T) {
				t.Parallel()
				endless := newEndlessUpstream(t, okHeader+"Content-Type: text/event-stream\r\nConnection: close\r\n\r\nid: 1\ndata: e1\n\n", filler, 0)
				sound, asked := scriptedUpstream(t, eventStreamHeader+eventChunk(2)+lastChunk)
				r := newEndlessHarness(t, endless.addr, sound)
				_, body, err := r.do(t, "POST", path+"x", "b")
				assert.Less(t, len(body), 2*maxFillerBytes)
				assert.Contains(t, body, "id: 1\ndata: e1\n\n")
				if !resumes {
					require.Error(t, err, "it must not look whole")
					return
				}
				require.NoError(t, err)
				assert.Contains(t, body, "id: 2\ndata: e2\n\n")
				assert.Equal(t, "1", asked()[0].Header.Get("Last-Event-Id"))
			})
		}
	}
}

// Guards against events that grow outside the memory account: 256 callers of a stream whose one event
// never ends took a process over the memory of its VM, with the requests of all other callers.
func TestEventsWithoutEndStayWithinTheAccount(t *testing.T) {
	const callers, limit = 48, 8 << 20
	head := okHeader + "Content-Type: text/event-stream\r\nConnection: close\r\n\r\nid: 1\ndata: " + strings.Repeat(".", 900<<10)
	r := newEndlessHarness(t)
	r.server.memory = memory.NewAccount(limit)
	for range callers {
		r.control.upstreams = append(r.control.upstreams, newEndlessUpstream(t, head, ".", time.Minute).addr)
	}
	runtime.GC()
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	var done sync.WaitGroup
	for range callers {
		done.Go(func() {
			res, _, err := r.do(t, "POST", "/single/x", "b")
			if assert.NoError(t, err) {
				assert.GreaterOrEqual(t, res.StatusCode, 500)
			}
		})
	}
	time.Sleep(time.Second) // all have sent what they send, and the deadline is 2 s
	runtime.GC()
	runtime.ReadMemStats(&after)
	assert.Less(t, int64(after.HeapAlloc)-int64(before.HeapAlloc), int64(limit+callers*(64<<10)))
	assert.LessOrEqual(t, r.server.memory.Used(), int64(limit))
	assert.Positive(t, r.server.memory.Usage().Refused)
	done.Wait()
	assert.Eventually(t, func() bool { return r.server.memory.Used() == 0 }, 5*time.Second, time.Millisecond)
	assert.Contains(t, r.control.recordedNotes(), wire.ProgressFailed, "it counts against the upstream")
}

// Guards against keepalive comments that are lost or counted as events: a stream of an upstream that
// queues for long begins with some.
func TestCommentsOfAStreamArePassedOn(t *testing.T) {
	up, _ := scriptedUpstream(t, unframedStreamHeader+": queued\n\nid: 1\ndata: e1\n\n: still here\n\nid: 2\ndata: e2\n\n\x00")
	r := newEndlessHarness(t, up)
	_, body, err := r.do(t, "POST", "/stream/x", "b")
	require.NoError(t, err)
	assert.Equal(t, "id: 1\ndata: e1\n\n: still here\n\nid: 2\ndata: e2\n\n", body)
}

// Guards against an answer that finds no room in the buffers and goes on without end: it is passed
// on as it arrives, but not for ever.
func TestAnswerWithoutEndThatIsPassedOnIsCut(t *testing.T) {
	endless := newEndlessUpstream(t, okHeader+"Transfer-Encoding: chunked\r\n\r\n", endlessChunk, 0)
	r := newHarness(t, endless.addr)
	began := time.Now()
	_, body, err := r.do(t, "POST", "/once/x", "b")
	require.Error(t, err, "it must not look whole")
	assert.LessOrEqual(t, len(body), maxUnstatedAnswerBytes)
	assert.Less(t, time.Since(began), 4*time.Second)
	<-endless.closed
}

// Guards against a request that is held until its deadline although the upstream stated at once that
// it did not run it: the rest of that answer came byte by byte.
func TestRestOfAnAnswerThatSaysNotRunIsNotAwaited(t *testing.T) {
	for name, piece := range map[string]string{"slowly": "1\r\n.\r\n", "fast": endlessChunk} {
		t.Run(name, func(t *testing.T) {
			pause := 20 * time.Millisecond
			if name == "fast" {
				pause = 0
			}
			refuses := newEndlessUpstream(t, "HTTP/1.1 503 Service Unavailable\r\nX-Id: %ID\r\nX-Not-Run: 1\r\nTransfer-Encoding: chunked\r\n\r\n", piece, pause)
			sound, _ := scriptedUpstream(t, okHelloAnswer)
			r := newEndlessHarness(t, refuses.addr, sound)
			began := time.Now()
			res, body, err := r.do(t, "POST", "/once/x", "b")
			require.NoError(t, err)
			assert.Equal(t, http.StatusOK, res.StatusCode)
			assert.Equal(t, "hello", body)
			assert.Less(t, time.Since(began), time.Second)
			<-refuses.closed
		})
	}
}

// Guards against a bound that refuses sound answers: one of the largest size, without a length.
func TestLargeAnswerWithoutALengthIsWhole(t *testing.T) {
	size := maxUnstatedAnswerBytes
	up, _ := scriptedUpstream(t, okHeader+"Connection: close\r\n\r\n"+strings.Repeat("x", size)+"\x00", okHeader+"Connection: close\r\n\r\n"+strings.Repeat("x", size+1)+"\x00")
	r := newEndlessHarness(t, up, up)
	res, body, err := r.do(t, "POST", "/once/x", "b")
	require.NoError(t, err)
	assert.Equal(t, http.StatusOK, res.StatusCode)
	assert.Len(t, body, size)
	res, _, err = r.do(t, "POST", "/once/x", "b")
	require.NoError(t, err)
	assert.Equal(t, http.StatusBadGateway, res.StatusCode)
}
