//go:build review

package main

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
)

// link is a loopback proxy in front of one address that can be cut: while it is cut, new
// connections are reset, and so are those that were open.
type link struct {
	addr, target string
	isCut        atomic.Bool
	mu           sync.Mutex
	open         map[net.Conn]bool
}

func newLink(target string) (*link, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	k := &link{addr: l.Addr().String(), target: target, open: map[net.Conn]bool{}}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go k.serve(c)
		}
	}()
	return k, nil
}

func (k *link) serve(c net.Conn) {
	if k.isCut.Load() {
		reset(c)
		return
	}
	s, err := net.Dial("tcp", k.target)
	if err != nil {
		reset(c)
		return
	}
	k.mu.Lock()
	k.open[c], k.open[s] = true, true
	k.mu.Unlock()
	var wg sync.WaitGroup
	copyTo := func(to, from net.Conn) {
		defer wg.Done()
		_, _ = io.Copy(to, from)
		to.Close()
		from.Close()
	}
	wg.Add(2)
	go copyTo(s, c)
	go copyTo(c, s)
	wg.Wait()
	k.mu.Lock()
	delete(k.open, c)
	delete(k.open, s)
	k.mu.Unlock()
}

// cut cuts the link or heals it.
func (k *link) cut(on bool) {
	k.isCut.Store(on)
	if !on {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	for c := range k.open {
		reset(c)
	}
}

func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	c.Close()
}
