package conn

import (
	"bytes"
	"context"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/joomcode/errorx"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/silverswitch/silverswitch/internal/standin"
)

// cuttingProxy passes bytes between a client and a server, and ends the client's connection after cut
// bytes of the answer. It returns its address.
func cuttingProxy(t *testing.T, server string, cut *atomic.Int64) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				s, err := net.Dial("tcp", server)
				if err != nil {
					return
				}
				defer s.Close()
				go func() { _, _ = io.Copy(s, c) }()
				_, _ = io.CopyN(c, s, cut.Load())
				if cut.Load()%2 == 1 {
					_ = c.(*net.TCPConn).SetLinger(0)
				}
			}()
		}
	}()
	return l.Addr().String()
}

// Guards against an answer of another router that breaks off and is believed: a version in part, or a
// snapshot of some services only.
func TestFetchThatBreaksOffIsNotBelieved(t *testing.T) {
	content := []byte("a version that is packed, a version that is packed, and its end")
	addr := standin.FreeAddr()
	s, err := ServeFetch(addr, sealer(t, secret), Handlers{MethodVersion: func(Query) []byte { return content }})
	require.NoError(t, err)
	defer s.Close()
	var cut atomic.Int64
	proxy := cuttingProxy(t, addr, &cut)
	for n := int64(0); ; n++ {
		cut.Store(n)
		got, err := Fetch(context.Background(), Query{Method: MethodVersion, Requester: "asker"}, proxy, sealer(t, secret))
		if err == nil {
			assert.Equal(t, content, got, "after %d bytes", n)
			assert.Greater(t, n, int64(100))
			return
		}
		require.Nil(t, got, "after %d bytes", n)
		require.Less(t, n, int64(2000))
	}
}

// endlessMessage begins a message of the peers' protocol that has no end.
const endlessMessage = "Content-Length: 4000000000\r\n\r\n{\"jsonrpc\":\"2.0\",\"id\":0,\"result\":{\"sealed\":\""

// writeEndless writes an endless message, and returns how many bytes were taken.
func writeEndless(c net.Conn) (n int) {
	_, _ = io.WriteString(c, endlessMessage)
	piece := bytes.Repeat([]byte("A"), 64<<10)
	for n < 1<<30 {
		k, err := c.Write(piece)
		if n += k; err != nil {
			break
		}
	}
	return n
}

// Whoever reached the peer address, or stood at a peer's, could send a message of any size, which was
// kept in memory until it was whole.
func TestEndlessMessageOfAPeerIsBrokenOff(t *testing.T) {
	const socketBytes = 16 << 20
	sent := make(chan int, 1)
	answers := serveRaw(t, func(c net.Conn) {
		defer c.Close()
		_, _ = c.Read(make([]byte, 4<<10))
		sent <- writeEndless(c)
	})
	_, err := Fetch(context.Background(), Query{Method: MethodVersion, Requester: "asker"}, answers, sealer(t, secret))
	assert.True(t, errorx.IsOfType(err, ErrUnreadable), "%v", err)
	assert.Less(t, <-sent, maxSealedAnswerBytes+socketBytes)

	addr := standin.FreeAddr()
	s, err := ServeFetch(addr, sealer(t, secret), Handlers{MethodVersion: func(Query) []byte { return []byte("packed") }})
	require.NoError(t, err)
	defer s.Close()
	c, err := net.Dial("tcp", addr)
	require.NoError(t, err)
	defer c.Close()
	assert.Less(t, writeEndless(c), maxQueryBytes+socketBytes)
	raw, err := Fetch(context.Background(), Query{Method: MethodVersion, Requester: "asker"}, addr, sealer(t, secret))
	require.NoError(t, err)
	assert.Equal(t, "packed", string(raw))
	assert.Eventually(t, func() bool { return s.open.Load() == 0 }, 2*fetchTimeout, time.Millisecond, "connections no longer count")
}
