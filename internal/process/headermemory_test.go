package process

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/silverswitch/silverswitch/internal/memory"
)

// shortFields returns header fields of 6 bytes each, of n bytes in all. Parsed, they take some twenty
// times as much.
func shortFields(n int) string {
	var b strings.Builder
	for i := 0; b.Len() < n; i++ {
		fmt.Fprintf(&b, "%03x:\r\n", i)
	}
	return b.String()[:n]
}

// Callers without a key took a process far over the memory of its VM with headers that they did not end.
// A beginning that came together with the request before it counts as well.
func TestHeadersOfManyCallersStayWithinTheAccount(t *testing.T) {
	const callers, limit, ofConnection = 200, 2 << 20, 40 << 10
	for name, text := range map[string]string{
		"first request":     "POST / HTTP/1.1\r\nHost: h\r\n" + shortFields(15<<10),
		"pipelined request": "GET / HTTP/1.1\r\nHost: h\r\n\r\nPOST / HTTP/1.1\r\nHost: h\r\n" + shortFields(3<<10),
	} {
		t.Run(name, func(t *testing.T) {
			cs := startChangingServer(t, withHeaderBytes(16<<10))
			account := memory.NewAccount(limit)
			cs.limits.memory.Store(account)
			runtime.GC()
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			var conns []net.Conn
			for range callers {
				c, err := net.Dial("tcp", cs.listener.Addr().String())
				require.NoError(t, err)
				defer c.Close()
				_, err = io.WriteString(c, text)
				require.NoError(t, err)
				conns = append(conns, c)
			}
			c, br := dialCallerServer(t, cs.listener.Addr().String())
			code, err := roundTrip(t, c, br, headerOf(2<<10))
			require.NoError(t, err)
			assert.Equal(t, http.StatusOK, code, "a caller with a usual header")
			require.Eventually(t, func() bool { return cs.limits.headersRefused.Load() > callers/2 }, 2*time.Second, time.Millisecond)
			time.Sleep(2 * refusalLinger)
			runtime.GC()
			runtime.ReadMemStats(&after)
			assert.Less(t, int64(after.HeapAlloc)-int64(before.HeapAlloc), int64(limit+callers*ofConnection))
			assert.LessOrEqual(t, account.Used(), int64(limit))
			assert.Positive(t, account.Used())
			refused := conns[callers-1]
			require.NoError(t, refused.SetReadDeadline(time.Now().Add(time.Second)))
			res, err := http.ReadResponse(bufio.NewReader(refused), nil)
			if name == "first request" && assert.NoError(t, err) {
				assert.Equal(t, http.StatusServiceUnavailable, res.StatusCode)
				assert.NotEmpty(t, res.Header.Get("Retry-After"))
			}
			for _, c := range conns {
				c.Close()
			}
			assert.Eventually(t, func() bool { return account.Used() == 0 }, 5*time.Second, time.Millisecond)
		})
	}
}
