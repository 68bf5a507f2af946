package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/silverswitch/silverswitch/internal/core/wire"
)

func TestConnectionsOfRoutersAreModelled(t *testing.T) {
	var c conns
	assert.False(t, c.kept("a", start))
	c.put("a", start)
	c.put("a", start.Add(time.Second))
	assert.True(t, c.kept("a", start.Add(time.Second)))
	assert.False(t, c.kept("b", start))
	c.take("a", start.Add(time.Second))
	assert.True(t, c.kept("a", start.Add(time.Second)), "the first one is left")
	assert.False(t, c.kept("a", start.Add(connFor)), "and was closed")
	c.take("a", start.Add(connFor))
	assert.Empty(t, c.until["a"])
}

// Of two engines that are alike, a request goes where its router keeps a connection.
func TestKeptConnectionsAreUsed(t *testing.T) {
	f := newFleet(t, 1, 2)
	id := f.order[0]
	p := f.nodes[id].pools[serviceID(engines)]
	for i, u := range p.order {
		u.conns.put(id, f.now)
		f.arrive(id, uint64(i), engines, "a", 300)
		assert.Equal(t, u.inst.ID, f.placed(id, uint64(i)).Instance.ID)
		assert.False(t, u.conns.kept(id, f.now), "it is in use")
		f.nodes[id].Step(First{ID: uint64(i), After: 30 * time.Millisecond}, f.now)
		f.nodes[id].Step(End{ID: uint64(i), Event: wire.ProgressDone}, f.now)
		assert.True(t, u.conns.kept(id, f.now), "and kept again")
		clear(u.conns.until)
	}
}
