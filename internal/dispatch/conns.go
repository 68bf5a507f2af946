package dispatch

import (
	"time"

	"github.com/silverswitch/silverswitch/internal/core/wire"
)

// connIdleTTL is how long a router keeps a connection to an upstream unused, less what
// the news of its last use may lag. internal/conn keeps them 4 s where the upstream
// states nothing.
const connIdleTTL = 3500 * time.Millisecond

// conns is the scheduler's model of the connections that routers keep to one
// upstream: each ended request leaves one, the next takes the one used last.
type conns struct {
	until map[wire.NodeID][]time.Time // when each will have been closed, in order
}

func (c *conns) kept(node wire.NodeID, now time.Time) bool {
	list := c.until[node]
	return len(list) > 0 && now.Before(list[len(list)-1])
}

// take uses a connection, or opens one.
func (c *conns) use(node wire.NodeID, now time.Time) {
	if !c.kept(node, now) {
		delete(c.until, node)
		return
	}
	list := c.until[node]
	c.until[node] = list[:len(list)-1]
}

// put keeps a connection that has served.
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
