package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/silverswitch/silverswitch/internal/core/wire"
	"github.com/silverswitch/silverswitch/internal/version"
)

// list replaces the instances that every router knows.
func (f *fleet) list(change func(i int, born *int64)) (gone []Gone) {
	for _, id := range f.order {
		list := instances(2)
		for i := range list {
			change(i, &list[i].Born)
		}
		n := f.nodes[id]
		n.Step(Catalogue{Table: n.cat.Table, Instances: list, Revision: n.cat.Revision + 1, AsOf: n.cat.AsOf + 1}, f.now)
		for _, o := range n.out {
			if g, ok := o.(Gone); ok {
				gone = append(gone, g)
			}
		}
	}
	f.deliver()
	return gone
}

// An engine that crashed behind a cut and started again under its ID holds and knows
// nothing: neither what it kept, nor how busy, slow or failing it was, is believed of it.
func TestUpstreamThatStartsAgainIsAnotherOne(t *testing.T) {
	f := newFleet(t, 3, 2)
	f.list(func(_ int, born *int64) { *born = 100 })
	id := f.scheduler()
	parts := []wire.PromptPart{{Part: 7, Tokens: 5000}, {Part: 8, Tokens: 1000}}
	f.arrive(id, 1, engines, "a", 6000, parts...)
	first := f.placed(id, 1)
	f.nodes[id].Step(First{ID: 1, After: 50 * time.Millisecond}, f.now)
	f.deliver()
	n := f.nodes[id]
	old := n.pools[serviceID(engines)].ups[version.IDOf(first.Instance.StartID())]
	require.Equal(t, 6000, keptOf(old.cache, parts))
	gone := f.list(func(i int, born *int64) {
		*born = 100
		if i == 0 && first.Instance.ID == "e0" || i == 1 && first.Instance.ID == "e1" {
			*born = 200
		}
	})
	require.Len(t, gone, 3, "each router drops what it had with the former start")
	assert.True(t, gone[0].Restarted)
	assert.Equal(t, first.Instance.StartID(), gone[0].Instance.StartID())
	again := first.Instance
	again.Born = 200
	u := n.pools[serviceID(engines)].ups[version.IDOf(again.StartID())]
	require.NotNil(t, u)
	assert.Zero(t, keptOf(u.cache, parts))
	assert.Zero(t, u.running())
	n.Step(Kept{Instance: first.Instance.StartID(), Full: true, Parts: []KeptPart{{Part: 7, Tokens: 5000}}}, f.now)
	assert.Zero(t, keptOf(u.cache, parts), "a report on the former start")
}

// An upstream whose entry is removed may still serve: nothing is said to have ended.
func TestRemovedUpstreamHasNotRestarted(t *testing.T) {
	f := newFleet(t, 3, 2)
	n := f.nodes[f.order[0]]
	n.Step(Catalogue{Table: n.cat.Table, Instances: instances(1), Revision: 6, AsOf: 10}, f.now)
	for _, o := range n.out {
		if g, ok := o.(Gone); ok {
			assert.False(t, g.Restarted)
		}
	}
}
