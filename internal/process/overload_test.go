package process

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// A router of a fifth of a core that took a
// thousand requests a second used all it had, at waits of one to three
// milliseconds, and refused nobody.
func TestHighCPUUseShedsLoadBeforeLagGrows(t *testing.T) {
	s := overloadDetector{cores: 0.192}
	const calm = 200 * time.Microsecond
	s.update(0.5, calm)
	assert.Zero(t, s.shedRatio())
	for range 6 {
		s.update(1.1, 2*time.Millisecond)
	}
	assert.InDelta(t, 6*shedRatioStep, s.shedRatio(), 0.001)
	s.update(0.86, time.Millisecond)
	assert.InDelta(t, 6*shedRatioStep, s.shedRatio(), 0.001, "at the right load the part stays")
	for range 20 {
		s.update(0.4, calm)
	}
	assert.Zero(t, s.shedRatio())
	for range 100 {
		s.update(1.1, 2*time.Millisecond)
	}
	assert.InDelta(t, maxShedRatio, s.shedRatio(), 0.001)
}

// A VM may give more than the settings say: use without waits is no strain.
func TestHighCPUUseWithoutLagShedsNothing(t *testing.T) {
	s := overloadDetector{cores: 0.1}
	for range 50 {
		s.update(3, 100*time.Microsecond)
	}
	assert.Zero(t, s.shedRatio())
}

func TestLagAloneShedsLoad(t *testing.T) {
	var s overloadDetector
	s.update(0, minShedLag)
	assert.Zero(t, s.shedRatio())
	s.update(0, (minShedLag+fullShedLag)/2)
	assert.InDelta(t, 0.5, s.shedRatio(), 0.001)
	s.update(0, time.Second)
	assert.InDelta(t, maxShedRatio, s.shedRatio(), 0.001)
}

func TestCPUTimeGrows(t *testing.T) {
	before := cpuTime()
	for until := time.Now().Add(20 * time.Millisecond); time.Now().Before(until); {
	}
	assert.Greater(t, cpuTime(), before)
}
