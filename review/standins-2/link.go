//go:build review

package main

import (
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

const (
	packetBytes    = 1448
	retransmission = 200 * time.Millisecond // the least time after which TCP sends a lost packet again
)

// link is a path to an address, on which packets may get lost. TCP sends a lost packet again: what comes
// after it on the connection waits meanwhile.
type link struct {
	listener net.Listener
	to       string
	loss     atomic.Pointer[float64] // nil: none
	delayed  atomic.Int64
	isCut    atomic.Bool
	silence  atomic.Int64 // number of the silence that began last: connections from before it are silent for good
	calledAt atomic.Int64 // when something was last sent from the side that connects, in Unix nanoseconds
}

func newLink(to string) *link {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	k := &link{listener: l, to: to}
	go k.run()
	return k
}

func (k *link) addr() string { return k.listener.Addr().String() }

// lose sets the share of packets that get lost.
func (k *link) lose(share float64) { k.loss.Store(&share) }

func (k *link) run() {
	for {
		c, err := k.listener.Accept()
		if err != nil {
			return
		}
		go func() {
			s, err := net.Dial("tcp", k.to)
			if err != nil {
				c.Close()
				return
			}
			var wg sync.WaitGroup
			wg.Go(func() { k.copy(s, c, true) })
			wg.Go(func() { k.copy(c, s, false) })
			wg.Wait()
		}()
	}
}

// copy passes on what arrives, packet by packet.
func (k *link) copy(to, from net.Conn, calls bool) {
	defer to.Close()
	defer from.Close()
	buf := make([]byte, packetBytes)
	lost := false // bytes were held up by a cut: nothing that follows is of use
	opened := k.silence.Load()
	for {
		n, err := from.Read(buf)
		if n > 0 {
			if calls {
				k.calledAt.Store(time.Now().UnixNano())
			}
			k.delay()
			if k.isCut.Load() || k.silence.Load() > opened {
				lost = true
			}
			if lost {
				continue
			}
			if _, err := to.Write(buf[:n]); err != nil {
				return
			}
		}
		if err == io.EOF || err != nil {
			return
		}
	}
}

// delay waits while a lost packet is sent again, after twice the time at each further loss.
func (k *link) delay() {
	for wait := retransmission; ; wait *= 2 {
		share := k.loss.Load()
		if share == nil || rand.Float64() >= *share {
			return
		}
		k.delayed.Add(1)
		time.Sleep(wait)
	}
}

// wasCalled reports whether the side that connects has sent something within a time before now.
func (k *link) wasCalled(within time.Duration) bool {
	return time.Since(time.Unix(0, k.calledAt.Load())) < within
}
