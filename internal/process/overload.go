package process

import (
	"context"
	"math"
	"sync/atomic"
	"syscall"
	"time"
)

// Parameters of load shedding. An overloaded router refuses a fraction of the arrivals, so
// that it serves the others in time; the callers retry at another router.
const (
	overloadCheckInterval = 100 * time.Millisecond

	// Between a scheduling lag of minShedLag and one of fullShedLag the shed ratio grows
	// from 0 to maxShedRatio. A request wakes some twenty goroutines until its first byte
	// is passed on, so each millisecond of lag delays it by some twenty milliseconds.
	minShedLag   = 4 * time.Millisecond
	fullShedLag  = 20 * time.Millisecond
	maxShedRatio = 0.9

	// From a CPU use of highCPUUseRatio the shed ratio grows by shedRatioStep per
	// overloadCheckInterval. Below lowCPUUseRatio it decreases.
	highCPUUseRatio = 0.92
	lowCPUUseRatio  = 0.8
	shedRatioStep   = 0.08
	shedRatioDecay  = 0.75 // factor of the shed ratio per overloadCheckInterval below lowCPUUseRatio
	minShedRatio    = 0.02 // a lower ratio for CPU use counts as 0
	// minBusyLag is the scheduling lag from which a high CPU use counts, because the number
	// of cores in the settings may be lower than what the VM provides.
	minBusyLag = 500 * time.Microsecond
)

// overloadDetector derives the shed ratio from the scheduling lag of this process's
// goroutines and from its CPU use relative to the cores in the settings. Lag alone is not
// enough: timers and the control goroutine are scheduled first, and a router that uses all
// of its CPU shows a lag of only a few milliseconds.
type overloadDetector struct {
	cores         float64 // 0 when unknown
	lag           schedLagMeter
	cpuShedRatio  float64       // shed ratio due to CPU use
	cpuUseBits    atomic.Uint64 // float64 bits of the CPU use in the last period, as a fraction of cores
	shedRatioBits atomic.Uint64 // float64 bits of the fraction of arrivals to refuse
}

// run measures until the context ends.
func (d *overloadDetector) run(ctx context.Context) {
	used, at := cpuTime(), time.Now()
	for ctx.Err() == nil {
		sleep(ctx, overloadCheckInterval)
		d.lag.read()
		u, t := cpuTime(), time.Now()
		use := 0.0
		if wall := t.Sub(at); d.cores > 0 && wall > 0 {
			use = float64(u-used) / float64(wall) / d.cores
		}
		used, at = u, t
		d.update(use, d.lag.lag())
	}
}

// update sets the shed ratio after a period with the given CPU use and scheduling lag.
func (d *overloadDetector) update(use float64, lag time.Duration) {
	d.cpuUseBits.Store(math.Float64bits(use))
	switch {
	case use >= highCPUUseRatio && lag >= minBusyLag:
		d.cpuShedRatio = min(maxShedRatio, d.cpuShedRatio+shedRatioStep)
	case use < lowCPUUseRatio || lag < minBusyLag:
		d.cpuShedRatio *= shedRatioDecay
	}
	if d.cpuShedRatio < minShedRatio {
		d.cpuShedRatio = 0
	}
	d.shedRatioBits.Store(math.Float64bits(max(d.cpuShedRatio, shedRatioAt(lag))))
}

// cpuUse returns the fraction of the CPU that was used in the last period.
func (d *overloadDetector) cpuUse() float64 { return math.Float64frombits(d.cpuUseBits.Load()) }

// shedRatio returns the fraction of all arrivals to refuse.
func (d *overloadDetector) shedRatio() float64 { return math.Float64frombits(d.shedRatioBits.Load()) }

// shedRatioAt returns the fraction of all arrivals to refuse at a scheduling lag.
func shedRatioAt(lag time.Duration) float64 {
	if lag <= minShedLag {
		return 0
	}
	return min(maxShedRatio, float64(lag-minShedLag)/float64(fullShedLag-minShedLag))
}

// cpuTime returns the CPU time that this process has used, 0 where the system does not
// report it.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0 // the scheduling lag still detects an overload
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
