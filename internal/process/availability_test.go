package process

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/silverswitch/silverswitch/internal/clock"
	"github.com/silverswitch/silverswitch/internal/dispatch"
	"github.com/silverswitch/silverswitch/internal/request/forward"
	"github.com/silverswitch/silverswitch/internal/routing"
)

// A request that was placed and is about to be sent is held back by what has become known
// since.
func TestPlacementIsRejectedAfterLaterUpdates(t *testing.T) {
	now := clock.System.Now()
	s := &RoutedController{controlLoop: newControlLoop(now)}
	i := routing.Instance{ID: "a", Place: "p", Born: 7}
	p := &dispatch.Place{Instance: i}
	assert.Equal(t, forward.MaySend, s.Unusable(p), "nothing is known yet")
	s.publishAvailability([]routing.Instance{i}, nil)
	assert.Equal(t, forward.MaySend, s.Unusable(p))
	s.publishAvailability([]routing.Instance{i}, []routing.Evacuation{{Place: "p"}})
	assert.Equal(t, forward.PlaceEvacuated, s.Unusable(p))
	cold, leaving, next := i, i, i
	cold.ColdUntil, leaving.Draining, next.Born = now.Add(time.Minute), true, 8
	s.publishAvailability([]routing.Instance{cold}, nil)
	assert.Equal(t, forward.UpstreamCold, s.Unusable(p), "it was placed before that was known")
	assert.Equal(t, forward.MaySend, s.Unusable(&dispatch.Place{Instance: i, Cold: true, SendBy: now.Add(time.Minute)}))
	assert.Equal(t, forward.UpstreamCold, s.Unusable(&dispatch.Place{Instance: i, Cold: true, SendBy: now}), "its time is over")
	for _, list := range [][]routing.Instance{{leaving}, {next}, nil} {
		s.publishAvailability(list, nil)
		assert.Equal(t, forward.UpstreamLeft, s.Unusable(p))
	}
}

// A request that was placed before its upstream asked for backoff was sent there.
func TestPlacementIsRejectedDuringBackoff(t *testing.T) {
	now := clock.System.Now()
	s := &RoutedController{controlLoop: newControlLoop(now)}
	i := routing.Instance{ID: "a", Place: "p", Born: 7}
	p := &dispatch.Place{Instance: i}
	s.publishAvailability([]routing.Instance{i}, nil)
	s.availability.backOff(i.Start(), now.Add(time.Minute), now)
	assert.Equal(t, forward.UpstreamBacksOff, s.Unusable(p))
	s.availability.backOff(i.Start(), now.Add(time.Second), now)
	assert.Equal(t, forward.UpstreamBacksOff, s.Unusable(p), "a shorter one does not end it")
	assert.True(t, s.availability.status(i.Start(), now.Add(2*time.Second)).backsOff)
	assert.False(t, s.availability.status(i.Start(), now.Add(2*time.Minute)).backsOff)
	i.Born = 8
	s.publishAvailability([]routing.Instance{i}, nil)
	assert.Equal(t, forward.MaySend, s.Unusable(&dispatch.Place{Instance: i}), "another start")
}
