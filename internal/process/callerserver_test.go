package process

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/silverswitch/silverswitch/internal/routing"
)

// startCallerServer serves "ok" under the given limits and returns the address.
func startCallerServer(t *testing.T, l routing.Limits) string {
	t.Helper()
	ok := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, "ok") })
	cs, err := newCallerServer("127.0.0.1:0", 0, ok, 0, nil, zerolog.Nop())
	require.NoError(t, err)
	t.Cleanup(cs.close)
	cs.setLimits(l)
	return cs.listener.Addr().String()
}

func dialCallerServer(t *testing.T, addr string) (net.Conn, *bufio.Reader) {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	require.NoError(t, err)
	t.Cleanup(func() { c.Close() })
	require.NoError(t, c.SetDeadline(time.Now().Add(20*time.Second)))
	return c, bufio.NewReader(c)
}

func roundTrip(t *testing.T, c net.Conn, br *bufio.Reader, header string) (int, error) {
	t.Helper()
	_, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n"+header+"\r\n")
	require.NoError(t, err)
	res, err := http.ReadResponse(br, nil)
	if err != nil {
		return 0, err
	}
	defer res.Body.Close()
	_, err = io.Copy(io.Discard, res.Body)
	return res.StatusCode, err
}

var generousLimits = routing.Limits{HeaderBytes: 2 << 10, HeaderTimeout: time.Minute, IdleConnTimeout: time.Minute}

func TestOversizedHeaderIsRefused(t *testing.T) {
	addr := startCallerServer(t, generousLimits)
	c, br := dialCallerServer(t, addr)
	code, err := roundTrip(t, c, br, "X-Some: "+strings.Repeat("x", 1<<10)+"\r\n")
	require.NoError(t, err)
	assert.Equal(t, 200, code)
	code, err = roundTrip(t, c, br, "X-Some: "+strings.Repeat("x", 16<<10)+"\r\n")
	require.NoError(t, err)
	assert.Equal(t, http.StatusRequestHeaderFieldsTooLarge, code)
	c, br = dialCallerServer(t, addr)
	code, err = roundTrip(t, c, br, "")
	require.NoError(t, err, "other connections still work")
	assert.Equal(t, 200, code)
}

func TestSlowHeaderClosesOnlyItsConnection(t *testing.T) {
	l := generousLimits
	l.HeaderTimeout = 150 * time.Millisecond
	addr := startCallerServer(t, l)
	slow, slowReader := dialCallerServer(t, addr)
	_, err := io.WriteString(slow, "GET / HTTP/1.1\r\nHos")
	require.NoError(t, err)
	c, br := dialCallerServer(t, addr)
	code, err := roundTrip(t, c, br, "")
	require.NoError(t, err)
	assert.Equal(t, 200, code)
	raw, err := io.ReadAll(slowReader)
	require.NoError(t, err, "closed by the router")
	assert.Regexp(t, "^HTTP/1.1 4", string(raw), "a 4xx status: no complete request was read, so none was run")
}

func TestIdleConnectionsAreClosed(t *testing.T) {
	l := generousLimits
	l.IdleConnTimeout = 150 * time.Millisecond
	addr := startCallerServer(t, l)
	c, br := dialCallerServer(t, addr)
	for range 2 { // used again before the limit
		code, err := roundTrip(t, c, br, "")
		require.NoError(t, err)
		assert.Equal(t, 200, code)
	}
	_, err := br.ReadByte()
	assert.ErrorIs(t, err, io.EOF)
}

// A caller that asked to close the connection was refused by its headers, and the connection reset
// under the rest of its body: net/http does not read that of such a request.
func TestRefusalIsNotLostInAReset(t *testing.T) {
	t.Parallel()
	refuse := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) })
	routed, err := newCallerServer("127.0.0.1:0", 0, refuse, 0, nil, zerolog.Nop())
	require.NoError(t, err)
	t.Cleanup(routed.close)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	app := &http.Server{Handler: refuse}
	t.Cleanup(func() { app.Close() })
	go func() { _ = app.Serve(&lingeringListener{Listener: l}) }()
	piece := strings.Repeat("x", 20_000)
	for server, addr := range map[string]net.Addr{"routed interface": routed.listener.Addr(), "application interface": l.Addr()} {
		c, br := dialCallerServer(t, addr.String())
		_, err = io.WriteString(c, "POST / HTTP/1.1\r\nHost: h\r\nConnection: close\r\nContent-Length: 200000\r\n\r\n"+piece)
		require.NoError(t, err)
		for range 9 {
			time.Sleep(20 * time.Millisecond)
			_, err = io.WriteString(c, piece)
			require.NoError(t, err, server)
		}
		res, err := http.ReadResponse(br, nil)
		require.NoError(t, err, server)
		assert.Equal(t, http.StatusServiceUnavailable, res.StatusCode, server)
	}
}
