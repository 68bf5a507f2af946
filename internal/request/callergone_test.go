package request

import (
	"fmt"
	"io"
	"net"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/silverswitch/silverswitch/internal/conn"
	"github.com/silverswitch/silverswitch/internal/core/claim"
	"github.com/silverswitch/silverswitch/internal/core/entry"
	"github.com/silverswitch/silverswitch/internal/fingerprint"
	"github.com/silverswitch/silverswitch/internal/memory"
	"github.com/silverswitch/silverswitch/internal/standin"
)

// fullControl lets every request wait.
type fullControl struct{ openControl }

func (c *fullControl) Submit(entry.Request, *claim.Key) *Ticket { return NewTicket(1) }

// halfCloser sends a request, closes its direction once it has read until a text, and reads the rest.
func halfCloser(t *testing.T, url, path, body, until string) string {
	t.Helper()
	c, err := net.Dial("tcp", strings.TrimPrefix(url, "http://"))
	require.NoError(t, err)
	defer c.Close()
	require.NoError(t, c.SetDeadline(time.Now().Add(10*time.Second)))
	_, err = fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer key\r\nContent-Length: %d\r\n\r\n%s", path, len(body), body)
	require.NoError(t, err)
	var got strings.Builder
	for !strings.Contains(got.String(), until) {
		_, err := io.CopyN(&got, c, 1)
		require.NoError(t, err)
	}
	require.NoError(t, c.(*net.TCPConn).CloseWrite())
	_, _ = io.Copy(&got, c) // an error is an end too
	return got.String()
}

// The end of a caller's input cancels its request. A caller that still read got an empty answer with
// status 200 if the request waited, and the proper end of a stream that was broken off.
func TestHalfClosedCallerTakesNothingForAnAnswer(t *testing.T) {
	key, err := fingerprint.NewKey("a secret of the fleet")
	require.NoError(t, err)
	full := &fullControl{openControl{ver: testVersion(t, "127.0.0.1:1")}}
	s := httptest.NewServer(NewServer(full, conn.NewUpstreams(conn.DefaultLimits), key, DefaultLimits, memory.NewAccount(64<<20), metrics.NewRegistry()).Handler())
	defer s.Close()
	assert.NotContains(t, halfCloser(t, s.URL, "/v1/apps/order/x", "b", ""), "200 OK", "no upstream has answered")

	c := newTornCalls(t)
	events := standin.TornEvents(0)
	c.tears[""] = []standin.Tear{{Raw: "HTTP/1.1 200 OK\r\n" + identity + "Content-Type: text/event-stream\r\n\r\n" + events[0], Cut: standin.All, End: standin.Keep}}
	got := halfCloser(t, c.url, "/v1/chat/completions", `{"model":"chat","stream":true,"messages":[]}`, events[0])
	assert.False(t, strings.HasSuffix(got, "0\r\n\r\n"), "looks whole: %q", got)
}
