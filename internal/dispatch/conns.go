package dispatch

import (
	"time"

	"github.com/silverswitch/silverswitch/internal/core/wire"
)

// connIdleTTL is how long a router keeps an idle connection to an upstream, less the time
// by which the notification of its last use may be late. internal/conn keeps idle
// connections for 4 s where the upstream states no other time.
const connIdleTTL = 3500 * time.Millisecond

// conns is the scheduler's model of the connections that routers keep to one upstream: each
// finished request leaves one, and the next request takes the one used last.
type conns struct {
	until map[wire.NodeID][]time.Time // when each connection will have been closed, in order
}

// cached reports whether a router keeps an idle connection.
func (c *conns) cached(node wire.NodeID, now time.Time) bool {
	list := c.until[node]
	return len(list) > 0 && now.Before(list[len(list)-1])
}

// use takes an idle connection, or opens a new one.
func (c *conns) use(node wire.NodeID, now time.Time) {
	if !c.cached(node, now) {
		delete(c.until, node)
		return
	}
	list := c.until[node]
	c.until[node] = list[:len(list)-1]
}

// release keeps a connection after use.
func (c *conns) release(node wire.NodeID, now time.Time) {
	if c.until == nil {
		c.until = map[wire.NodeID][]time.Time{}
	}
	list := c.until[node]
	for len(list) > 0 && !now.Before(list[0]) {
		list = list[1:]
	}
	c.until[node] = append(list, now.Add(connIdleTTL))
}
