package process

import (
	"container/list"
	"net"
	"net/http"
	"sync"

	"github.com/silverswitch/silverswitch/internal/conn"
)

// Parts of a process's descriptors that callers' connections may take. The rest
// is for connections to upstreams, peers and the platform.
const (
	// closeHintRatio is the part from which answers ask callers to close.
	closeHintRatio = 0.35
	// maxOpenRatio is the part from which the longest idle connections are closed to
	// make room for new ones.
	maxOpenRatio = 0.6
	// reservedDescriptors are descriptors that no socket may take.
	reservedDescriptors = 200
)

// crowd keeps callers' connections within the process's descriptors: a caller
// that opens a connection for each request leaves idle ones behind, each for the
// whole idle time.
type connLimiter struct {
	mu           sync.Mutex
	close        int // open connections from which callers are asked to close
	maxOpen      int
	open         int
	idle         *list.List // of net.Conn, longest idle first
	idleElements map[net.Conn]*list.Element
}

// newConnLimiter returns the bounds for a number of descriptors, 0 for none.
func newConnLimiter(descriptors int) *connLimiter {
	usable := float64(max(0, descriptors-reservedDescriptors))
	return &connLimiter{close: int(closeHintRatio * usable), maxOpen: int(maxOpenRatio * usable), idle: list.New(), idleElements: map[net.Conn]*list.Element{}}
}

// dense reports whether callers are to be asked to close their connections.
func (c *connLimiter) closeHint() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.close > 0 && c.open > c.close
}

// connState follows http.Server's connections.
func (c *connLimiter) connState(caller net.Conn, state http.ConnState) {
	c.mu.Lock()
	var drop net.Conn
	switch state {
	case http.StateNew:
		c.open++
		drop = c.removeLongestIdle()
	case http.StateActive:
		c.removeIdle(caller)
	case http.StateIdle:
		c.idleElements[caller] = c.idle.PushBack(caller)
		drop = c.removeLongestIdle()
	case http.StateClosed, http.StateHijacked:
		c.open--
		c.removeIdle(caller)
	}
	c.mu.Unlock()
	if drop != nil {
		drop.Close() // it is idle: no request is lost that was read
	}
}

// maxIdleTries is how many idle connections are looked at for a quiet one.
const maxIdleTries = 8

// oldest takes the longest idle connection off the list when there are too many.
// One on which a request has arrived that was not read yet stays.
func (c *connLimiter) removeLongestIdle() net.Conn {
	if c.maxOpen == 0 || c.open <= c.maxOpen {
		return nil
	}
	e := c.idle.Front()
	for i := 0; e != nil && i < maxIdleTries; i++ {
		if idle := e.Value.(net.Conn); conn.Quiet(idle) {
			c.removeIdle(idle)
			return idle
		}
		e = e.Next()
	}
	return nil
}

func (c *connLimiter) removeIdle(caller net.Conn) {
	if e := c.idleElements[caller]; e != nil {
		c.idle.Remove(e)
		delete(c.idleElements, caller)
	}
}
