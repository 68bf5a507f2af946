package process

import (
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// A caller sends several requests at once to a router with too many connections: the second one was
// read together with the first, and its connection was closed as idle.
func TestConnectionWhoseNextRequestWasReadIsNotIdle(t *testing.T) {
	release := make(chan struct{})
	h := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/wait" {
			<-release
		}
	})
	cs, err := newCallerServer("127.0.0.1:0", 0, h, reservedDescriptors+2, nil, zerolog.Nop()) // two connections are too many
	require.NoError(t, err)
	t.Cleanup(cs.close)
	cs.setLimits(generousLimits)
	busy, busyReader := dialCallerServer(t, cs.listener.Addr().String())
	_, err = io.WriteString(busy, "GET /wait HTTP/1.1\r\nHost: h\r\n\r\n")
	require.NoError(t, err)
	c, br := dialCallerServer(t, cs.listener.Addr().String())
	const requests = 20
	_, err = io.WriteString(c, strings.Repeat("GET / HTTP/1.1\r\nHost: h\r\n\r\n", requests))
	require.NoError(t, err)
	for i := range requests {
		res, err := http.ReadResponse(br, nil)
		require.NoError(t, err, "request %d", i)
		require.Equal(t, http.StatusOK, res.StatusCode)
	}
	close(release)
	res, err := http.ReadResponse(busyReader, nil)
	require.NoError(t, err)
	assert.Equal(t, http.StatusOK, res.StatusCode)
}
