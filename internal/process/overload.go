package process

import (
	"context"
	"math"
	"sync/atomic"
	"syscall"
	"time"
)

// Load that a router refuses at its door, so that what it takes is served in
// time: another attempt enters by another router.
const (
	overloadCheckInterval = 100 * time.Millisecond

	// minShedLag and fullShedLag bound the wait for the processor between which the part
	// refused grows from nothing to maxShedRatio. A request wakes some twenty goroutines
	// until its first byte is passed on, so each millisecond makes it later by that
	// many.
	minShedLag   = 4 * time.Millisecond
	fullShedLag  = 20 * time.Millisecond
	maxShedRatio = 0.9

	// highCPUUseRatio is the part of its processor from which a router refuses more and
	// more, shedRatioStep of all arrivals each overloadCheckInterval; below lowCPUUseRatio it refuses
	// less again.
	highCPUUseRatio = 0.92
	lowCPUUseRatio  = 0.8
	shedRatioStep   = 0.08
	shedRatioDecay  = 0.75 // of the part refused, each strainEvery under busyUnder
	minShedRatio    = 0.02 // below this nothing is refused
	// minBusyLag is the least wait for the processor at which a high use counts: the
	// figure in the settings may be lower than what the VM gives.
	minBusyLag = 500 * time.Microsecond
)

// overloadDetector judges how short of processor this process is, by the waits of its
// goroutines and by the processor time it uses of what the settings say it has.
// Waits alone tell too little: timers and the control goroutine are served first,
// and a router that uses all it has shows waits of a few milliseconds only.
type overloadDetector struct {
	cores         float64 // 0 when the settings do not say
	lag           schedLagMeter
	cpuShedRatio  float64       // part refused for the use of the processor
	cpuUseBits    atomic.Uint64 // bits of the part of the processor used in the last period
	shedRatioBits atomic.Uint64 // bits of the part of arrivals to refuse
}

// run measures until the context ends.
func (s *overloadDetector) run(ctx context.Context) {
	used, at := cpuTime(), time.Now()
	for ctx.Err() == nil {
		sleep(ctx, overloadCheckInterval)
		s.lag.read()
		u, t := cpuTime(), time.Now()
		use := 0.0
		if wall := t.Sub(at); s.cores > 0 && wall > 0 {
			use = float64(u-used) / float64(wall) / s.cores
		}
		used, at = u, t
		s.update(use, s.lag.lag())
	}
}

// take judges one period: the part of the processor used, and the wait for it.
func (s *overloadDetector) update(use float64, lag time.Duration) {
	s.cpuUseBits.Store(math.Float64bits(use))
	switch {
	case use >= highCPUUseRatio && lag >= minBusyLag:
		s.cpuShedRatio = min(maxShedRatio, s.cpuShedRatio+shedRatioStep)
	case use < lowCPUUseRatio || lag < minBusyLag:
		s.cpuShedRatio *= shedRatioDecay
	}
	if s.cpuShedRatio < minShedRatio {
		s.cpuShedRatio = 0
	}
	s.shedRatioBits.Store(math.Float64bits(max(s.cpuShedRatio, shedRatioAt(lag))))
}

// use returns the part of the processor that was used in the last period.
func (s *overloadDetector) cpuUse() float64 { return math.Float64frombits(s.cpuUseBits.Load()) }

// excess returns the part of all arrivals to refuse.
func (s *overloadDetector) shedRatio() float64 { return math.Float64frombits(s.shedRatioBits.Load()) }

// shedRatioAt is the part of all arrivals to refuse at a lag.
func shedRatioAt(lag time.Duration) float64 {
	if lag <= minShedLag {
		return 0
	}
	return min(maxShedRatio, float64(lag-minShedLag)/float64(fullShedLag-minShedLag))
}

// cpuTime is the processor time this process has used, 0 where the system
// does not tell.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0 // the wait for the processor still tells
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
