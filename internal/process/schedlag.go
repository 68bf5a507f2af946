package process

import (
	"math"
	"runtime/metrics"
	"sync/atomic"
	"time"
)

// schedLagMeter measures how long goroutines that could run wait for the processor. It
// is this process's measure of being short of it: timers and the control
// goroutine are served first, so their own lateness tells nothing.
type schedLagMeter struct {
	mean     atomic.Int64 // nanoseconds
	previous []uint64
}

const (
	schedLagWeight = 0.3 // of one period in the average
	schedLagMetric = "/sched/latencies:seconds"
)

// read adds what the runtime has counted since the last time.
func (l *schedLagMeter) read() {
	sample := []metrics.Sample{{Name: schedLagMetric}}
	metrics.Read(sample)
	if sample[0].Value.Kind() != metrics.KindFloat64Histogram {
		return // this runtime does not tell
	}
	h := sample[0].Value.Float64Histogram()
	l.update(h.Buckets, h.Counts)
}

// take adds one reading of the histogram.
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
	now := 0.0
	if n > 0 {
		now = sum / n * float64(time.Second)
	}
	mean := float64(l.mean.Load())
	l.mean.Store(int64(mean + schedLagWeight*(now-mean)))
}

// middle of a bucket; the outermost ones are open.
func bucketMidpoint(lo, hi float64) float64 {
	switch {
	case math.IsInf(lo, -1):
		return hi
	case math.IsInf(hi, 1):
		return lo
	}
	return (lo + hi) / 2
}

// lag returns the average wait of late.
func (l *schedLagMeter) lag() time.Duration { return time.Duration(l.mean.Load()) }
