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
	rc := &RoutedController{controlLoop: newControlLoop(now)}
	i := routing.Instance{ID: "a", Place: "p", Born: 7}
	p := &dispatch.Placement{Instance: i}
	assert.Equal(t, forward.MaySend, rc.Unusable(p), "nothing is published yet")
	rc.publishAvailability([]routing.Instance{i}, nil)
	assert.Equal(t, forward.MaySend, rc.Unusable(p))
	rc.publishAvailability([]routing.Instance{i}, []routing.Evacuation{{Place: "p"}})
	assert.Equal(t, forward.PlaceEvacuated, rc.Unusable(p))
	cold, leaving, next := i, i, i
	cold.ColdUntil, leaving.Draining, next.Born = now.Add(time.Minute), true, 8
	rc.publishAvailability([]routing.Instance{cold}, nil)
	assert.Equal(t, forward.UpstreamCold, rc.Unusable(p), "placed before the instance was known to be cold")
	assert.Equal(t, forward.MaySend, rc.Unusable(&dispatch.Placement{Instance: i, Cold: true, SendBy: now.Add(time.Minute)}))
	assert.Equal(t, forward.UpstreamCold, rc.Unusable(&dispatch.Placement{Instance: i, Cold: true, SendBy: now}), "SendBy has passed")
	for _, list := range [][]routing.Instance{{leaving}, {next}, nil} {
		rc.publishAvailability(list, nil)
		assert.Equal(t, forward.UpstreamLeft, rc.Unusable(p))
	}
}

// Guards against sending a request to an upstream that asked for backoff after the request
// was placed.
func TestPlacementIsRejectedDuringBackoff(t *testing.T) {
	now := clock.System.Now()
	rc := &RoutedController{controlLoop: newControlLoop(now)}
	i := routing.Instance{ID: "a", Place: "p", Born: 7}
	p := &dispatch.Placement{Instance: i}
	rc.publishAvailability([]routing.Instance{i}, nil)
	rc.availability.backOff(i.StartID(), now.Add(time.Minute), now)
	assert.Equal(t, forward.UpstreamBacksOff, rc.Unusable(p))
	rc.availability.backOff(i.StartID(), now.Add(time.Second), now)
	assert.Equal(t, forward.UpstreamBacksOff, rc.Unusable(p), "a shorter backoff does not end a longer one")
	assert.True(t, rc.availability.status(i.StartID(), now.Add(2*time.Second)).backsOff)
	assert.False(t, rc.availability.status(i.StartID(), now.Add(2*time.Minute)).backsOff)
	i.Born = 8
	rc.publishAvailability([]routing.Instance{i}, nil)
	assert.Equal(t, forward.MaySend, rc.Unusable(&dispatch.Placement{Instance: i}), "the backoff is of an earlier start")
}
