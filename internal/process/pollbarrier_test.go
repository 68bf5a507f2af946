package process

import (
	"net"
	"os"
	"runtime"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Connections that were accepted one after the other kept the only CPU busy without a poll of the
// network, so that nothing that came by it was read: replies, events of streams, ends of callers.
func TestBarrierLetsWhatWaitsInThePollerRun(t *testing.T) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	b, err := newPollBarrier()
	require.NoError(t, err)
	defer b.close()
	pc, err := net.ListenPacket("udp", "127.0.0.1:0")
	require.NoError(t, err)
	defer pc.Close()
	got := make(chan struct{}, 1)
	go func() {
		buf := make([]byte, 16)
		for {
			if _, _, err := pc.ReadFrom(buf); err != nil {
				return
			}
			got <- struct{}{}
		}
	}()
	c, err := net.Dial("udp", pc.LocalAddr().String())
	require.NoError(t, err)
	defer c.Close()
	for range 200 {
		_, err := c.Write([]byte("x"))
		require.NoError(t, err)
		require.True(t, b.wait(20*time.Second))
		select {
		case <-got:
		case <-time.After(20 * time.Second):
			t.Fatal("the datagram was not read")
		}
	}
}

// A barrier that the poller never reaches must not stop a router from accepting.
func TestBarrierWaitsForALimitedTime(t *testing.T) {
	b, err := newPollBarrier()
	require.NoError(t, err)
	b.close()
	assert.False(t, b.wait(time.Minute), "closed")
	b = &pollBarrier{polled: make(chan struct{}, 1)}
	b.r, b.w, err = os.Pipe()
	require.NoError(t, err)
	defer b.close()
	assert.False(t, b.wait(10*time.Millisecond), "nobody reads")
}

// While connections wait to be accepted, the network is polled every few milliseconds; an Accept that
// waits polls it itself.
func TestAcceptingHasTheNetworkPolled(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	l, err := newPolledListener(inner)
	require.NoError(t, err)
	defer l.Close()
	accept := func() time.Time {
		c, err := net.Dial("tcp", l.Addr().String())
		require.NoError(t, err)
		defer c.Close()
		time.Sleep(time.Millisecond) // the connection waits in the queue
		got, err := l.Accept()
		require.NoError(t, err)
		got.Close()
		return l.polledAt
	}
	first := accept()
	assert.False(t, first.IsZero())
	l.polledAt = time.Now().Add(time.Hour)
	assert.Equal(t, l.polledAt, accept(), "polled a moment ago")
	old := time.Now().Add(-maxPollPause)
	l.polledAt = old
	assert.True(t, accept().After(old))
}

// A router short of CPU was at the end of a queue of seconds, and all connections that it accepted had
// been given up.
func TestQueueOfNewConnectionsIsBoundedByCores(t *testing.T) {
	l, err := listenCallers("127.0.0.1:0", 0.01)
	require.NoError(t, err)
	defer l.Close()
	opened := 0
	for range 2 * minBacklog {
		c, err := net.DialTimeout("tcp", l.Addr().String(), 100*time.Millisecond)
		if err != nil {
			break
		}
		defer c.Close()
		opened++
	}
	assert.InDelta(t, minBacklog, opened, 2)
	got, err := l.Accept()
	require.NoError(t, err)
	got.Close()
	_, err = listenCallers(l.Addr().String(), 1)
	assert.ErrorContains(t, err, "address already in use")
	for _, addr := range []string{"127.0.0.1:0", "[::1]:0", "localhost:0"} {
		l, err := listenCallers(addr, 0)
		if err == nil {
			l.Close()
		}
		assert.NoError(t, err, addr)
	}
}
