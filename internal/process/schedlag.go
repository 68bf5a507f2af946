package process

import (
	"math"
	"runtime/metrics"
	"sync/atomic"
	"time"
)

// schedLagMeter measures the scheduling lag: how long runnable goroutines wait for a CPU. It
// indicates an overload. The delay of timers or of the control goroutine would not, since
// they are scheduled first.
type schedLagMeter struct {
	mean     atomic.Int64 // nanoseconds
	previous []uint64
}

const (
	schedLagWeight = 0.3 // weight of one period in the moving average
	schedLagMetric = "/sched/latencies:seconds"
)

// read adds what the runtime has counted since the last call.
func (l *schedLagMeter) read() {
	sample := []metrics.Sample{{Name: schedLagMetric}}
	metrics.Read(sample)
	if sample[0].Value.Kind() != metrics.KindFloat64Histogram {
		return // this runtime does not provide the histogram
	}
	h := sample[0].Value.Float64Histogram()
	l.update(h.Buckets, h.Counts)
}

// update adds one reading of the runtime's histogram, which counts since the start of the
// process.
func (l *schedLagMeter) update(buckets []float64, counts []uint64) {
	if len(l.previous) != len(counts) {
		l.previous = append([]uint64(nil), counts...)
		return
	}
	sum, n := 0.0, 0.0
	for i, c := range counts {
		if d := float64(c - l.previous[i]); d > 0 {
			n += d
			sum += d * bucketMidpoint(buckets[i], buckets[i+1])
		}
		l.previous[i] = c
	}
	current := 0.0
	if n > 0 {
		current = sum / n * float64(time.Second)
	}
	mean := float64(l.mean.Load())
	l.mean.Store(int64(mean + schedLagWeight*(current-mean)))
}

// bucketMidpoint returns the middle of a bucket. The outermost buckets are unbounded on one
// side; for them it returns the other bound.
func bucketMidpoint(lo, hi float64) float64 {
	switch {
	case math.IsInf(lo, -1):
		return hi
	case math.IsInf(hi, 1):
		return lo
	}
	return (lo + hi) / 2
}

// lag returns the moving average of the wait.
func (l *schedLagMeter) lag() time.Duration { return time.Duration(l.mean.Load()) }
