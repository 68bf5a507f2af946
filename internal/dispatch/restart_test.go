package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/silverswitch/silverswitch/internal/core/wire"
	"github.com/silverswitch/silverswitch/internal/version"
)

// list gives every router a new list of instances, with births set by change.
func (f *fleet) list(change func(i int, born *int64)) (gone []UpstreamGone) {
	for _, id := range f.order {
		list := instances(2)
		for i := range list {
			change(i, &list[i].Born)
		}
		n := f.nodes[id]
		n.Step(Catalogue{Table: n.catalogue.Table, Instances: list, Revision: n.catalogue.Revision + 1, AsOf: n.catalogue.AsOf + 1}, f.now)
		for _, o := range n.out {
			if g, ok := o.(UpstreamGone); ok {
				gone = append(gone, g)
			}
		}
	}
	f.deliver()
	return gone
}

// An engine that crashed while it was cut off and restarted under its ID has nothing cached, and
// the load, slowness and failures of its former start no longer apply.
func TestRestartedUpstreamIsTreatedAsNew(t *testing.T) {
	f := newFleet(t, 3, 2)
	f.list(func(_ int, born *int64) { *born = 100 })
	id := f.scheduler()
	parts := []wire.PromptPart{{Part: 7, Tokens: 5000}, {Part: 8, Tokens: 1000}}
	f.arrive(id, 1, engines, "a", 6000, parts...)
	first := f.placed(id, 1)
	f.nodes[id].Step(FirstEvent{ID: 1, After: 50 * time.Millisecond}, f.now)
	f.deliver()
	n := f.nodes[id]
	old := n.pools[serviceID(engines)].upstreams[version.IDOf(first.Instance.StartID())]
	require.Equal(t, 6000, cachedTokensOf(old.cache, parts))
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
	u := n.pools[serviceID(engines)].upstreams[version.IDOf(again.StartID())]
	require.NotNil(t, u)
	assert.Zero(t, cachedTokensOf(u.cache, parts))
	assert.Zero(t, u.running())
	n.Step(CacheUpdate{Instance: first.Instance.StartID(), Full: true, Parts: []PartUpdate{{Part: 7, Tokens: 5000}}}, f.now)
	assert.Zero(t, cachedTokensOf(u.cache, parts), "a report on the former start")
}

// An upstream whose entry is removed may still serve requests: it is not reported as ended.
func TestRemovedUpstreamHasNotRestarted(t *testing.T) {
	f := newFleet(t, 3, 2)
	n := f.nodes[f.order[0]]
	n.Step(Catalogue{Table: n.catalogue.Table, Instances: instances(1), Revision: 6, AsOf: 10}, f.now)
	for _, o := range n.out {
		if g, ok := o.(UpstreamGone); ok {
			assert.False(t, g.Restarted)
		}
	}
}
