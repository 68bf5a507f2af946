package process

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

func TestSchedLagIsRecentMeanWait(t *testing.T) {
	var l schedLagMeter
	buckets := []float64{math.Inf(-1), 0.001, 0.003, math.Inf(1)}
	l.update(buckets, []uint64{1000, 0, 0})
	assert.Zero(t, l.lag(), "counts from before the first reading are ignored")
	for i := range uint64(40) {
		l.update(buckets, []uint64{1000, 10 * (i + 1), 0})
	}
	assert.InDelta(t, float64(2*time.Millisecond), float64(l.lag()), float64(10*time.Microsecond))
	for range 40 {
		l.update(buckets, []uint64{1000, 400, 0})
	}
	assert.Less(t, l.lag(), 10*time.Microsecond, "no goroutine waits any more")
}
