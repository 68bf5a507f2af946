package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/silverswitch/silverswitch/internal/core/wire"
)

func TestRetryBudgetHoldsAcrossFleet(t *testing.T) {
	rules := RetryRules{Ratio: 0.2, Window: 10 * time.Second, Slack: 52}
	const routers = 6
	spent, requests := 0, 0
	var budgets []*retryBudget
	for range routers {
		budgets = append(budgets, newRetryBudget(rules))
	}
	now := start
	for range 1000 {
		now = now.Add(10 * time.Millisecond)
		for _, b := range budgets[:2] { // all requests arrive at two of six routers
			b.countRequest(now)
			requests++
			if b.allowRepeat(routers, 0.5, now) { // each receives half of the requests
				spent++
			}
		}
	}
	assert.LessOrEqual(t, float64(spent), rules.Ratio*float64(requests)+float64(rules.Slack))
	assert.Greater(t, spent, requests/10)
}

// A placement whose upstream has left before the request was sent is not a repeat.
func TestUnusedPlacementCostsNoRetryBudget(t *testing.T) {
	f := newFleet(t, 1, 3)
	id := f.order[0]
	f.nodes[id].settings.Retry = RetryRules{Ratio: 0, Window: 10 * time.Second, Slack: 0}
	f.arrive(id, 1, engines, "a", 100)
	first := f.placed(id, 1)
	f.nodes[id].Step(PlaceAgain{ID: 1, Event: wire.ProgressUnused}, f.now)
	f.deliver()
	assert.NotEqual(t, first.Instance.ID, f.placed(id, 1).Instance.ID)
	f.nodes[id].Step(PlaceAgain{ID: 1, Event: wire.ProgressFailed}, f.now)
	f.deliver()
	r, refused := f.got[id][1].(Refuse)
	require.True(t, refused)
	assert.Equal(t, ReasonBudget, r.Reason)
}

// The slack goes where the requests are, and a router that is cut off from the others stays
// within its part.
func TestRetrySlackFollowsDemand(t *testing.T) {
	f := newFleet(t, 4, 2)
	rules := RetryRules{Ratio: 0, Window: 10 * time.Second, Slack: 100}
	service := serviceID(engines)
	for _, id := range f.order {
		f.nodes[id].settings.Retry = rules
	}
	busy, quiet := f.order[0], f.order[1]
	for range 90 {
		f.nodes[busy].budget(service).countRequest(f.now)
	}
	for range 10 {
		f.nodes[quiet].budget(service).countRequest(f.now)
	}
	f.run(time.Second) // they exchange their demand
	spend := func(id wire.NodeID) (n int) {
		for f.nodes[id].budget(service).allowRepeat(f.nodes[id].fleetSize(), f.nodes[id].demandRatio(service, f.now), f.now) {
			n++
		}
		return n
	}
	assert.InDelta(t, 0.9, f.nodes[busy].demandRatio(service, f.now), 0.01)
	assert.Zero(t, f.nodes[f.order[2]].demandRatio(service, f.now))
	f.cut[busy] = true
	f.run(5 * time.Second)
	assert.InDelta(t, 0.9, f.nodes[busy].demandRatio(service, f.now), 0.01, "the demand last reported by the others is used during a partition")
	total := 0
	var each []int
	for _, id := range f.order {
		n := spend(id)
		each = append(each, n)
		total += n
	}
	assert.LessOrEqual(t, total, 100)
	assert.Greater(t, each[0], 2*each[1], "%v", each)
	assert.GreaterOrEqual(t, each[2], 11, "every router has an even part of the slack")
}
