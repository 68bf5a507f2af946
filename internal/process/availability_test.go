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

// Before a request is sent, its placement is checked again: the place may have been
// evacuated, or the instance may have become cold, begun to leave or been replaced since.
func TestPlacementIsRejectedAfterLaterUpdates(t *testing.T) {
	now := clock.System.Now()
	s := &RoutedController{controlLoop: newControlLoop(now)}
	i := routing.Instance{ID: "a", Place: "p", Born: 7}
	p := &dispatch.Place{Instance: i}
	assert.Equal(t, forward.MaySend, s.Unusable(p), "nothing is published yet")
	s.publishAvailability([]routing.Instance{i}, nil)
	assert.Equal(t, forward.MaySend, s.Unusable(p))
	s.publishAvailability([]routing.Instance{i}, []routing.Evacuation{{Place: "p"}})
	assert.Equal(t, forward.PlaceEvacuated, s.Unusable(p))
	cold, leaving, next := i, i, i
	cold.ColdUntil, leaving.Draining, next.Born = now.Add(time.Minute), true, 8
	s.publishAvailability([]routing.Instance{cold}, nil)
	assert.Equal(t, forward.UpstreamCold, s.Unusable(p), "placed before the instance was known to be cold")
	assert.Equal(t, forward.MaySend, s.Unusable(&dispatch.Place{Instance: i, Cold: true, SendBy: now.Add(time.Minute)}))
	assert.Equal(t, forward.UpstreamCold, s.Unusable(&dispatch.Place{Instance: i, Cold: true, SendBy: now}), "SendBy has passed")
	for _, list := range [][]routing.Instance{{leaving}, {next}, nil} {
		s.publishAvailability(list, nil)
		assert.Equal(t, forward.UpstreamLeft, s.Unusable(p))
	}
}

// Guards against sending a request to an upstream that asked for backoff after the request
// was placed.
func TestPlacementIsRejectedDuringBackoff(t *testing.T) {
	now := clock.System.Now()
	s := &RoutedController{controlLoop: newControlLoop(now)}
	i := routing.Instance{ID: "a", Place: "p", Born: 7}
	p := &dispatch.Place{Instance: i}
	s.publishAvailability([]routing.Instance{i}, nil)
	s.availability.backOff(i.Start(), now.Add(time.Minute), now)
	assert.Equal(t, forward.UpstreamBacksOff, s.Unusable(p))
	s.availability.backOff(i.Start(), now.Add(time.Second), now)
	assert.Equal(t, forward.UpstreamBacksOff, s.Unusable(p), "a shorter backoff does not end a longer one")
	assert.True(t, s.availability.status(i.Start(), now.Add(2*time.Second)).backsOff)
	assert.False(t, s.availability.status(i.Start(), now.Add(2*time.Minute)).backsOff)
	i.Born = 8
	s.publishAvailability([]routing.Instance{i}, nil)
	assert.Equal(t, forward.MaySend, s.Unusable(&dispatch.Place{Instance: i}), "the backoff is of an earlier start")
}
