package process

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// The caller server reports how long a request lay unread on a connection. Guards against
// measuring only from when a request is read, which a router that reads too late never sees.
func TestCallerServerSamplesUnreadRequests(t *testing.T) {
	const busy = 80 * time.Millisecond
	began, written := make(chan bool), make(chan bool)
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/first" {
			close(began)
			<-written
			time.Sleep(busy)
		}
	})
	cs, err := newCallerServer("127.0.0.1:0", 0, handler, 0, nil, zerolog.Nop())
	require.NoError(t, err)
	defer cs.close()
	var d overloadDetector
	d.observeCallers(cs.connLimiter, metrics.NewRegistry())
	c, err := net.Dial("tcp", cs.listener.Addr().String())
	require.NoError(t, err)
	defer c.Close()
	_, err = io.WriteString(c, "GET /first HTTP/1.1\r\nHost: h\r\n\r\n")
	require.NoError(t, err)
	<-began
	_, err = io.WriteString(c, "GET /second HTTP/1.1\r\nHost: h\r\n\r\n")
	require.NoError(t, err)
	close(written)
	br := bufio.NewReader(c)
	for range 2 {
		res, err := http.ReadResponse(br, nil)
		require.NoError(t, err)
		res.Body.Close()
	}
	d.arrivals.mu.Lock()
	defer d.arrivals.mu.Unlock()
	require.NotEmpty(t, d.arrivals.unread)
	assert.GreaterOrEqual(t, d.arrivals.unread[len(d.arrivals.unread)-1], busy/2)
}
