package process

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// A router of a fifth of a core that took a
// thousand requests a second used all it had, at waits of one to three
// milliseconds, and refused nobody.
func TestUseOfTheProcessorRefusesBeforeWaitsGrow(t *testing.T) {
	s := strainMeter{cores: 0.192}
	const calm = 200 * time.Microsecond
	s.take(0.5, calm)
	assert.Zero(t, s.excess())
	for range 6 {
		s.take(1.1, 2*time.Millisecond)
	}
	assert.InDelta(t, 6*shedStep, s.excess(), 0.001)
	s.take(0.86, time.Millisecond)
	assert.InDelta(t, 6*shedStep, s.excess(), 0.001, "at the right load the part stays")
	for range 20 {
		s.take(0.4, calm)
	}
	assert.Zero(t, s.excess())
	for range 100 {
		s.take(1.1, 2*time.Millisecond)
	}
	assert.InDelta(t, shedMost, s.excess(), 0.001)
}

// A VM may give more than the settings say: use without waits is no strain.
func TestUseWithoutWaitsRefusesNobody(t *testing.T) {
	s := strainMeter{cores: 0.1}
	for range 50 {
		s.take(3, 100*time.Microsecond)
	}
	assert.Zero(t, s.excess())
}

func TestWaitsAloneRefuse(t *testing.T) {
	var s strainMeter
	s.take(0, lagFrom)
	assert.Zero(t, s.excess())
	s.take(0, (lagFrom+lagFull)/2)
	assert.InDelta(t, 0.5, s.excess(), 0.001)
	s.take(0, time.Second)
	assert.InDelta(t, shedMost, s.excess(), 0.001)
}

func TestProcessorTimeGrows(t *testing.T) {
	before := processorTime()
	for until := time.Now().Add(20 * time.Millisecond); time.Now().Before(until); {
	}
	assert.Greater(t, processorTime(), before)
}
