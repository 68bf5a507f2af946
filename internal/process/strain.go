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
	strainEvery = 100 * time.Millisecond

	// lagFrom and lagFull bound the wait for the processor between which the part
	// refused grows from nothing to shedMost. A request wakes some twenty goroutines
	// until its first byte is passed on, so each millisecond makes it later by that
	// many.
	lagFrom  = 4 * time.Millisecond
	lagFull  = 20 * time.Millisecond
	shedMost = 0.9

	// busyFrom is the part of its processor from which a router refuses more and
	// more, shedStep of all arrivals each strainEvery; below busyUnder it refuses
	// less again.
	busyFrom  = 0.92
	busyUnder = 0.8
	shedStep  = 0.08
	shedEase  = 0.75 // of the part refused, each strainEvery under busyUnder
	shedLeast = 0.02 // below this nothing is refused
	// busyLag is the least wait for the processor at which a high use counts: the
	// figure in the settings may be lower than what the VM gives.
	busyLag = 500 * time.Microsecond
)

// strainMeter judges how short of processor this process is, by the waits of its
// goroutines and by the processor time it uses of what the settings say it has.
// Waits alone tell too little: timers and the control goroutine are served first,
// and a router that uses all it has shows waits of a few milliseconds only.
type strainMeter struct {
	cores float64 // 0 when the settings do not say
	lag   lagMeter
	busy  float64       // part refused for the use of the processor
	used  atomic.Uint64 // bits of the part of the processor used in the last period
	part  atomic.Uint64 // bits of the part of arrivals to refuse
}

// run measures until the context ends.
func (s *strainMeter) run(ctx context.Context) {
	used, at := processorTime(), time.Now()
	for ctx.Err() == nil {
		sleep(ctx, strainEvery)
		s.lag.read()
		u, t := processorTime(), time.Now()
		use := 0.0
		if wall := t.Sub(at); s.cores > 0 && wall > 0 {
			use = float64(u-used) / float64(wall) / s.cores
		}
		used, at = u, t
		s.take(use, s.lag.lag())
	}
}

// take judges one period: the part of the processor used, and the wait for it.
func (s *strainMeter) take(use float64, lag time.Duration) {
	s.used.Store(math.Float64bits(use))
	switch {
	case use >= busyFrom && lag >= busyLag:
		s.busy = min(shedMost, s.busy+shedStep)
	case use < busyUnder || lag < busyLag:
		s.busy *= shedEase
	}
	if s.busy < shedLeast {
		s.busy = 0
	}
	s.part.Store(math.Float64bits(max(s.busy, shedPart(lag))))
}

// use returns the part of the processor that was used in the last period.
func (s *strainMeter) use() float64 { return math.Float64frombits(s.used.Load()) }

// excess returns the part of all arrivals to refuse.
func (s *strainMeter) excess() float64 { return math.Float64frombits(s.part.Load()) }

// shedPart is the part of all arrivals to refuse at a lag.
func shedPart(lag time.Duration) float64 {
	if lag <= lagFrom {
		return 0
	}
	return min(shedMost, float64(lag-lagFrom)/float64(lagFull-lagFrom))
}

// processorTime is the processor time this process has used, 0 where the system
// does not tell.
func processorTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0 // the wait for the processor still tells
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
