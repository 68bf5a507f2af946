package process

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// Guards against an overload that scheduling lag alone does not show: a router with a fifth
// of a core at a thousand requests per second used all of its CPU at a lag of one to three
// milliseconds, and shed nothing.
func TestHighCPUUseShedsLoadBeforeLagGrows(t *testing.T) {
	d := overloadDetector{cores: 0.192}
	const calm = 200 * time.Microsecond
	d.update(0.5, calm)
	assert.Zero(t, d.shedRatio())
	for range 6 {
		d.update(1.1, 2*time.Millisecond)
	}
	assert.InDelta(t, 6*shedRatioStep, d.shedRatio(), 0.001)
	d.update(0.86, time.Millisecond)
	assert.InDelta(t, 6*shedRatioStep, d.shedRatio(), 0.001, "the ratio stays between lowCPUUseRatio and highCPUUseRatio")
	for range 20 {
		d.update(0.4, calm)
	}
	assert.Zero(t, d.shedRatio())
	for range 100 {
		d.update(1.1, 2*time.Millisecond)
	}
	assert.InDelta(t, maxShedRatio, d.shedRatio(), 0.001)
}

// A VM may provide more cores than the settings state, so high CPU use without lag is no
// overload.
func TestHighCPUUseWithoutLagShedsNothing(t *testing.T) {
	d := overloadDetector{cores: 0.1}
	for range 50 {
		d.update(3, 100*time.Microsecond)
	}
	assert.Zero(t, d.shedRatio())
}

func TestLagAloneShedsLoad(t *testing.T) {
	var d overloadDetector
	d.update(0, minShedLag)
	assert.Zero(t, d.shedRatio())
	d.update(0, (minShedLag+fullShedLag)/2)
	assert.InDelta(t, 0.5, d.shedRatio(), 0.001)
	d.update(0, time.Second)
	assert.InDelta(t, maxShedRatio, d.shedRatio(), 0.001)
}

func TestCPUTimeGrows(t *testing.T) {
	before := cpuTime()
	for until := time.Now().Add(20 * time.Millisecond); time.Now().Before(until); {
	}
	assert.Greater(t, cpuTime(), before)
}
