package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/silverswitch/silverswitch/internal/core/wire"
)

func TestConnectionsOfRoutersAreModelled(t *testing.T) {
	var c conns
	assert.False(t, c.cached("a", start))
	c.release("a", start)
	c.release("a", start.Add(time.Second))
	assert.True(t, c.cached("a", start.Add(time.Second)))
	assert.False(t, c.cached("b", start))
	c.use("a", start.Add(time.Second))
	assert.True(t, c.cached("a", start.Add(time.Second)), "the first connection remains")
	assert.False(t, c.cached("a", start.Add(connIdleTTL)), "it has been closed")
	c.use("a", start.Add(connIdleTTL))
	assert.Empty(t, c.until["a"])
}

// Of two equal engines, a request goes to the one to which its router keeps a connection.
func TestKeptConnectionsArePreferred(t *testing.T) {
	f := newFleet(t, 1, 2)
	id := f.order[0]
	p := f.nodes[id].pools[serviceID(engines)]
	for i, u := range p.order {
		u.conns.release(id, f.now)
		f.arrive(id, uint64(i), engines, "a", 300)
		assert.Equal(t, u.inst.ID, f.placed(id, uint64(i)).Instance.ID)
		assert.False(t, u.conns.cached(id, f.now), "the connection is in use")
		f.nodes[id].Step(FirstEvent{ID: uint64(i), After: 30 * time.Millisecond}, f.now)
		f.nodes[id].Step(End{ID: uint64(i), Event: wire.ProgressDone}, f.now)
		assert.True(t, u.conns.cached(id, f.now), "the connection is kept again")
		clear(u.conns.until)
	}
}
