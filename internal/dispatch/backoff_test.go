package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/silverswitch/silverswitch/internal/core/wire"
)

// retryAfter delivers an upstream's Retry-After to a router.
func (f *fleet) retryAfter(id wire.NodeID, upstream string, d time.Duration) {
	f.nodes[id].Step(RetryAfter{Instance: f.instanceOf(id, upstream), For: d}, f.now)
	f.deliver()
}

// The scheduler placed requests of a router at an upstream that had requested a backoff
// from that router.
func TestBackoffAppliesOnlyToTheRouterThatReceivedIt(t *testing.T) {
	for _, service := range []string{engines, counter} {
		f := newFleet(t, 3, 2)
		first, second := "e0", "e1"
		if service == counter {
			first, second = "c0", "c1"
		}
		id := f.other()
		f.retryAfter(id, first, 3*time.Second)
		seen := map[string]bool{}
		for no := uint64(1); no <= 8; no++ {
			for _, from := range f.order {
				f.arrive(from, no, service, "a", 200)
				p := f.placed(from, no)
				at := p.Instance.ID
				if service == engines {
					assert.Equal(t, f.scheduler(), p.By, "the scheduler knows of the backoff, and its placement is used")
				}
				if from == id {
					assert.Equal(t, second, at)
				} else {
					seen[at] = true
				}
			}
		}
		assert.True(t, seen[first], "%s: others may use it", service)
		f.run(3*time.Second + TickInterval)
		for no := uint64(1); no <= 8; no++ {
			for _, from := range f.order {
				f.nodes[from].Step(End{ID: no, Event: wire.ProgressDone}, f.now)
			}
		}
		f.deliver()
		seen = map[string]bool{}
		for no := uint64(11); no <= 20; no++ {
			f.arrive(id, no, service, "a", 200)
			seen[f.placed(id, no).Instance.ID] = true
		}
		assert.True(t, seen[first], "%s: the backoff has expired", service)
	}
}

// A request that had failed elsewhere was sent to an upstream in backoff.
func TestRetryAvoidsUpstreamInBackoff(t *testing.T) {
	f := newFleet(t, 3, 2)
	id := f.other()
	f.retryAfter(id, "e0", 3*time.Second)
	f.arrive(id, 1, engines, "a", 200)
	require.Equal(t, "e1", f.placed(id, 1).Instance.ID)
	delete(f.got[id], 1)
	f.nodes[id].Step(PlaceAgain{ID: 1, Event: wire.ProgressFailed}, f.now)
	f.deliver()
	r, refused := f.got[id][1].(Refuse)
	require.True(t, refused, "%#v", f.got[id][1])
	assert.Equal(t, ReasonBackoff, r.Reason)
}

// When all upstreams were in backoff, one of them was tried all the same.
func TestAllUpstreamsInBackoffRefuseUntilTheFirstExpires(t *testing.T) {
	for _, service := range []string{engines, counter} {
		f := newFleet(t, 3, 2)
		id := f.other()
		ups := map[string][2]string{engines: {"e0", "e1"}, counter: {"c0", "c1"}}[service]
		f.retryAfter(id, ups[0], 700*time.Millisecond)
		f.retryAfter(id, ups[1], 5*time.Second)
		f.retryAfter(id, "c0", 300*time.Millisecond) // shorter for the plain service, without meaning for the engines
		f.arrive(id, 1, service, "a", 200)
		r, refused := f.got[id][1].(Refuse)
		require.True(t, refused)
		assert.Equal(t, ReasonBackoff, r.Reason)
		assert.InDelta(t, 700, r.After.Milliseconds(), 1)
		f.run(700*time.Millisecond + TickInterval)
		f.arrive(id, 2, service, "a", 200)
		assert.Equal(t, ups[0], f.placed(id, 2).Instance.ID)
	}
}

// The scheduler's reply was on its way when the upstream requested the backoff.
func TestPlacementReplyIsRejectedDuringBackoff(t *testing.T) {
	f := newFleet(t, 2, 2)
	id := f.other()
	p := f.nodes[id].pools[serviceID(engines)]
	f.retryAfter(id, "e0", time.Second)
	for _, u := range p.order {
		assert.Equal(t, u.inst.ID != "e0", p.acceptsReply(wire.PlacementReply{Upstream: u.id}, nil, f.now))
	}
}

func TestBackoffOfRemovedUpstreamIsForgotten(t *testing.T) {
	f := newFleet(t, 2, 2)
	id := f.order[0]
	f.retryAfter(id, "e0", time.Hour)
	f.publishAll(instances(2)[1:])
	assert.Empty(t, f.nodes[id].pools[serviceID(engines)].backoffs)
	f.retryAfter(id, "e1", time.Second)
	f.run(2 * time.Second)
	assert.Empty(t, f.nodes[id].allBackoffs(f.now))
}
