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
func TestPlacementIsHeldBackByLaterNews(t *testing.T) {
	now := clock.System.Now()
	s := &Steerer{controlLoop: newControlLoop(now)}
	i := routing.Instance{ID: "a", Place: "p", Born: 7}
	p := &dispatch.Place{Instance: i}
	assert.Equal(t, forward.MaySend, s.Unusable(p), "nothing is known yet")
	s.publishUsable([]routing.Instance{i}, nil)
	assert.Equal(t, forward.MaySend, s.Unusable(p))
	s.publishUsable([]routing.Instance{i}, []routing.Evacuation{{Place: "p"}})
	assert.Equal(t, forward.PlaceEvacuated, s.Unusable(p))
	cold, leaving, next := i, i, i
	cold.ColdUntil, leaving.Draining, next.Born = now.Add(time.Minute), true, 8
	s.publishUsable([]routing.Instance{cold}, nil)
	assert.Equal(t, forward.UpstreamCold, s.Unusable(p), "it was placed before that was known")
	assert.Equal(t, forward.MaySend, s.Unusable(&dispatch.Place{Instance: i, Cold: true, SendBy: now.Add(time.Minute)}))
	assert.Equal(t, forward.UpstreamCold, s.Unusable(&dispatch.Place{Instance: i, Cold: true, SendBy: now}), "its time is over")
	for _, list := range [][]routing.Instance{{leaving}, {next}, nil} {
		s.publishUsable(list, nil)
		assert.Equal(t, forward.UpstreamLeft, s.Unusable(p))
	}
}

// A request that was placed before its upstream asked for backoff was sent there.
func TestPlacementIsHeldBackByABackoff(t *testing.T) {
	now := clock.System.Now()
	s := &Steerer{controlLoop: newControlLoop(now)}
	i := routing.Instance{ID: "a", Place: "p", Born: 7}
	p := &dispatch.Place{Instance: i}
	s.publishUsable([]routing.Instance{i}, nil)
	s.usable.backOff(i.StartID(), now.Add(time.Minute), now)
	assert.Equal(t, forward.UpstreamBacksOff, s.Unusable(p))
	s.usable.backOff(i.StartID(), now.Add(time.Second), now)
	assert.Equal(t, forward.UpstreamBacksOff, s.Unusable(p), "a shorter one does not end it")
	assert.True(t, s.usable.of(i.StartID(), now.Add(2*time.Second)).backsOff)
	assert.False(t, s.usable.of(i.StartID(), now.Add(2*time.Minute)).backsOff)
	i.Born = 8
	s.publishUsable([]routing.Instance{i}, nil)
	assert.Equal(t, forward.MaySend, s.Unusable(&dispatch.Place{Instance: i}), "another start")
}
