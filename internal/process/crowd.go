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
	// crowdClose is the part from which answers ask callers to close.
	crowdClose = 0.35
	// crowdMost is the part from which the longest idle connections are closed to
	// make room for new ones.
	crowdMost = 0.6
	// reservedFiles are descriptors that no socket may take.
	reservedFiles = 200
)

// crowd keeps callers' connections within the process's descriptors: a caller
// that opens a connection for each request leaves idle ones behind, each for the
// whole idle time.
type crowd struct {
	mu    sync.Mutex
	close int // open connections from which callers are asked to close
	most  int
	open  int
	idle  *list.List // of net.Conn, longest idle first
	where map[net.Conn]*list.Element
}

// newCrowd returns the bounds for a number of descriptors, 0 for none.
func newCrowd(descriptors int) *crowd {
	usable := float64(max(0, descriptors-reservedFiles))
	return &crowd{close: int(crowdClose * usable), most: int(crowdMost * usable), idle: list.New(), where: map[net.Conn]*list.Element{}}
}

// dense reports whether callers are to be asked to close their connections.
func (c *crowd) dense() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.close > 0 && c.open > c.close
}

// connState follows http.Server's connections.
func (c *crowd) connState(caller net.Conn, state http.ConnState) {
	c.mu.Lock()
	var drop net.Conn
	switch state {
	case http.StateNew:
		c.open++
		drop = c.oldest()
	case http.StateActive:
		c.unlist(caller)
	case http.StateIdle:
		c.where[caller] = c.idle.PushBack(caller)
		drop = c.oldest()
	case http.StateClosed, http.StateHijacked:
		c.open--
		c.unlist(caller)
	}
	c.mu.Unlock()
	if drop != nil {
		drop.Close() // it is idle: no request is lost that was read
	}
}

// oldestTries is how many idle connections are looked at for a quiet one.
const oldestTries = 8

// oldest takes the longest idle connection off the list when there are too many.
// One on which a request has arrived that was not read yet stays.
func (c *crowd) oldest() net.Conn {
	if c.most == 0 || c.open <= c.most {
		return nil
	}
	e := c.idle.Front()
	for i := 0; e != nil && i < oldestTries; i++ {
		if idle := e.Value.(net.Conn); conn.NoUnread(idle) {
			c.unlist(idle)
			return idle
		}
		e = e.Next()
	}
	return nil
}

func (c *crowd) unlist(caller net.Conn) {
	if e := c.where[caller]; e != nil {
		c.idle.Remove(e)
		delete(c.where, caller)
	}
}
