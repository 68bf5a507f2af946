package process

import (
	"container/list"
	"net"
	"net/http"
	"sync"

	"github.com/silverswitch/silverswitch/internal/conn"
)

// Fractions of the process's descriptors, less reservedDescriptors, that callers' connections
// may use. The rest is for connections to upstreams, peers and the platform.
const (
	// closeHintRatio is the fraction above which responses ask callers to close their
	// connections.
	closeHintRatio = 0.35
	// maxOpenRatio is the fraction above which the longest idle connections are closed to
	// make room for new ones.
	maxOpenRatio = 0.6
	// reservedDescriptors is the number of descriptors that are not available to sockets.
	reservedDescriptors = 200
)

// connLimiter keeps the number of callers' connections within the process's descriptors. A
// caller that opens a connection for each request leaves idle connections behind, each for
// the whole idle timeout.
type connLimiter struct {
	mu           sync.Mutex
	close        int // number of open connections above which callers are asked to close; 0 for no bound
	maxOpen      int // 0 for no bound
	open         int
	idle         *list.List // net.Conn values, longest idle first
	idleElements map[net.Conn]*list.Element
	arrivals     arrivalsPointer // samples how long requests lie unread
}

// newConnLimiter returns a limiter for a number of descriptors, or one without bounds for 0.
func newConnLimiter(descriptors int) *connLimiter {
	usable := float64(max(0, descriptors-reservedDescriptors))
	return &connLimiter{close: int(closeHintRatio * usable), maxOpen: int(maxOpenRatio * usable), idle: list.New(), idleElements: map[net.Conn]*list.Element{}}
}

// closeHint reports whether callers should be asked to close their connections.
func (l *connLimiter) closeHint() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.close > 0 && l.open > l.close
}

// full reports whether idle connections have to be closed for new ones.
func (l *connLimiter) full() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.maxOpen > 0 && l.open >= l.maxOpen
}

// connState implements http.Server.ConnState.
func (l *connLimiter) connState(caller net.Conn, state http.ConnState) {
	l.mu.Lock()
	var drop net.Conn
	switch state {
	case http.StateNew:
		l.open++
		drop = l.removeLongestIdle()
	case http.StateActive:
		l.removeIdle(caller)
	case http.StateIdle:
		l.idleElements[caller] = l.idle.PushBack(caller)
		drop = l.removeLongestIdle()
	case http.StateClosed, http.StateHijacked:
		l.open--
		l.removeIdle(caller)
	}
	l.mu.Unlock()
	if state == http.StateActive {
		l.arrivals.sample(caller)
	}
	if drop != nil {
		drop.Close()
	}
}

// maxIdleTries bounds the number of idle connections that are checked for unread input.
const maxIdleTries = 8

// removeLongestIdle removes the longest idle connection from the list and returns it, or
// returns nil unless too many connections are open. It skips connections on which a request has
// arrived, read or not: the server states that a connection is active only once it has the header.
func (l *connLimiter) removeLongestIdle() net.Conn {
	if l.maxOpen == 0 || l.open <= l.maxOpen {
		return nil
	}
	e := l.idle.Front()
	for i := 0; e != nil && i < maxIdleTries; i++ {
		if idle := e.Value.(net.Conn); mayRetire(idle) {
			l.removeIdle(idle)
			return idle
		}
		e = e.Next()
	}
	return nil
}

// mayRetire reports whether an idle connection may be closed.
func mayRetire(idle net.Conn) bool {
	if c, ok := idle.(interface{ retire() bool }); ok {
		return c.retire()
	}
	return conn.NoUnread(idle)
}

func (l *connLimiter) removeIdle(caller net.Conn) {
	if e := l.idleElements[caller]; e != nil {
		l.idle.Remove(e)
		delete(l.idleElements, caller)
	}
}
