package forward

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/silverswitch/silverswitch/internal/clock"
	"github.com/silverswitch/silverswitch/internal/conn"
	"github.com/silverswitch/silverswitch/internal/routing"
)

// A request was refused by its headers, and the refusal waited 3 s for the rest of its body although its
// caller had stated that it waits for a tenth of that.
func TestRefusalComesInTheRequestsTime(t *testing.T) {
	t.Parallel()
	r := newHarness(t)
	c, err := net.Dial("tcp", strings.TrimPrefix(r.url, "http://"))
	require.NoError(t, err)
	defer c.Close()
	began := time.Now()
	fmt.Fprintf(c, "POST /patient/x HTTP/1.1\r\nHost: h.example\r\nAuthorization: Bearer unknown\r\nX-Id: r1\r\nX-Left-Ms: 300\r\nContent-Length: 900\r\n\r\nslow")
	require.NoError(t, c.SetReadDeadline(time.Now().Add(2*refusalReadTimeout)))
	res, err := http.ReadResponse(bufio.NewReader(c), nil)
	require.NoError(t, err)
	assert.Equal(t, http.StatusUnauthorized, res.StatusCode)
	assert.Less(t, time.Since(began), time.Second)
}

// The caller whose request made a health check left while that ran: the upstream counted as out of reach,
// and the requests that waited for the result went elsewhere.
func TestHealthCheckOutlastsTheCallerThatMadeIt(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
					time.Sleep(100 * time.Millisecond)
					_, _ = c.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"))
				}
			}()
		}
	}()
	exchanges := conn.NewExchanges()
	defer exchanges.Close()
	h := newHealthChecker(exchanges, Dialect{}, clock.System)
	leaves, leave := context.WithCancel(t.Context())
	time.AfterFunc(30*time.Millisecond, leave)
	go h.latest(leaves, routing.Instance{ID: "i", Address: l.Addr().String()}, "/health")
	time.Sleep(10 * time.Millisecond)
	assert.True(t, h.latest(t.Context(), routing.Instance{ID: "i", Address: l.Addr().String()}, "/health").reached)
}
