package request

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/silverswitch/silverswitch/internal/conn"
	"github.com/silverswitch/silverswitch/internal/fingerprint"
	"github.com/silverswitch/silverswitch/internal/memory"
)

// slowCaller begins a request with a body and returns the connection.
func slowCaller(t *testing.T, url, path, key string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", strings.TrimPrefix(url, "http://"))
	require.NoError(t, err)
	t.Cleanup(func() { c.Close() })
	require.NoError(t, c.SetDeadline(time.Now().Add(2*refusalReadTimeout)))
	_, err = fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer %s\r\nContent-Length: 1000\r\n\r\nbegin", path, key)
	require.NoError(t, err)
	return c
}

// A caller that was refused by its headers, and did not finish its body, was never told, and kept its
// connection for ever.
func TestRefusalDoesNotWaitForTheBodyForEver(t *testing.T) {
	t.Parallel()
	c := newTornCalls(t)
	for path, key := range map[string]string{"/v1/apps/order/x": "unknown", "/elsewhere": "key", "/v1/apps/none/x": "key"} {
		caller := slowCaller(t, c.url, path, key)
		res, err := http.ReadResponse(bufio.NewReader(caller), nil)
		require.NoError(t, err, path)
		assert.Contains(t, []int{http.StatusUnauthorized, http.StatusNotFound}, res.StatusCode)
	}
}

// The connection of a body that came too slowly was closed as soon as the refusal was written, and what
// came of the body after that reset it, under a caller that had not read yet.
func TestRefusalOfASlowBodyIsReadByItsCaller(t *testing.T) {
	t.Parallel()
	key, err := fingerprint.NewKey("a secret of the fleet")
	require.NoError(t, err)
	limits := DefaultLimits
	limits.BodyTimeout = 100 * time.Millisecond
	ctrl := &openControl{ver: testVersion(t, "127.0.0.1:1")}
	s := httptest.NewServer(NewServer(ctrl, conn.NewUpstreams(conn.DefaultLimits), key, limits, memory.NewAccount(64<<20), metrics.NewRegistry()).Handler())
	t.Cleanup(s.Close)
	caller := slowCaller(t, s.URL, "/v1/apps/order/x", "key")
	for range 20 {
		time.Sleep(20 * time.Millisecond)
		_, err := io.WriteString(caller, "more")
		require.NoError(t, err)
	}
	res, err := http.ReadResponse(bufio.NewReader(caller), nil)
	require.NoError(t, err)
	assert.Equal(t, http.StatusRequestTimeout, res.StatusCode)
}
