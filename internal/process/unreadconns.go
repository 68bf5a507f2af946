package process

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// Accepting is paced by how many accepted connections still lie unread. Each costs goroutine
// switches before its request is known, and while hundreds are ready to run, everything else in
// the process waits behind them: datagrams of peers, events of streams, and the ends of callers'
// connections, which must end the work at upstreams within half a second.
//
// Load pattern: 2,000 new connections a second at a router with 0.192 cores. A fixed delay for
// each accepted connection limited it to 50 a second, and requests lay in the kernel's queue for
// up to 2.9 s; without any, the process noticed the ends of connections more than 0.5 s late.
const (
	// maxUnreadConns is the number of unread connections from which on the next one is accepted
	// later. At 0.1 ms of CPU each they take 17 ms of a router with 0.192 cores, less than a
	// twentieth of the strictest target of a stream.
	maxUnreadConns = 32
	// minUnreadConns is the same number while the control state is behind: fewer do not delay it.
	minUnreadConns = 4
	// maxUnreadAge is how long a connection counts. Callers may open connections long before
	// their first request, which must not delay others.
	maxUnreadAge = 100 * time.Millisecond
)

// unreadConns are accepted connections on which nothing has been read yet. Its zero value is
// ready to use. It is safe for concurrent use.
type unreadConns struct {
	mu       sync.Mutex
	accepted map[net.Conn]time.Time
}

// connState follows the states of connections (http.Server.ConnState).
func (u *unreadConns) connState(c net.Conn, state http.ConnState, now time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if state != http.StateNew {
		delete(u.accepted, c)
		return
	}
	if u.accepted == nil {
		u.accepted = map[net.Conn]time.Time{}
	}
	u.accepted[c] = now
}

// count returns the number of unread connections, and forgets those that are older than
// maxUnreadAge.
func (u *unreadConns) count(now time.Time) int {
	u.mu.Lock()
	defer u.mu.Unlock()
	for c, at := range u.accepted {
		if now.Sub(at) > maxUnreadAge {
			delete(u.accepted, c)
		}
	}
	return len(u.accepted)
}
