package process

import (
	"context"
	"sync/atomic"
	"syscall"
	"time"
)

// Parameters of load shedding. An overloaded router refuses a fraction of the arrivals, so
// that it serves the others in time; the callers retry at another router.
const (
	overloadCheckInterval = 100 * time.Millisecond

	// Between a scheduling lag of minShedLag and one of fullShedLag the shed ratio grows
	// from 0 to maxShedRatio where the cores are unknown. A request wakes some twenty
	// goroutines until its first byte is passed on, so each millisecond of lag delays it by
	// some twenty milliseconds.
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

// overloadDetector measures the scheduling lag of this process's goroutines, its CPU use
// relative to the cores in the settings, and the requests that arrive, and publishes what
// shedDecision makes of them. Lag alone is not enough: timers and the control goroutine are
// scheduled first, and a router that uses all of its CPU shows a lag of only a few
// milliseconds.
type overloadDetector struct {
	cores    float64 // 0 when unknown
	lag      schedLagMeter
	arrivals arrivalStats
	decision shedDecision // of the goroutine that runs run
	state    atomic.Pointer[overloadState]
	// backlogAge returns how long connections may have waited to be accepted; may be nil. Set
	// before run.
	backlogAge func(now time.Time) time.Duration
	// undecided returns how many requests have no decision yet; may be nil. Set before run.
	undecided func() int64
}

// overloadState is the latest decision, and what it was made from.
type overloadState struct {
	ratio        float64 // fraction of arrivals to refuse
	maxUndecided int64   // see shedDecision.maxUndecided
	reason       shedReason
	shedDecision
	loadSample
}

// run measures until the context ends.
func (d *overloadDetector) run(ctx context.Context) {
	used, at := cpuTime(), time.Now()
	for ctx.Err() == nil {
		sleep(ctx, overloadCheckInterval)
		d.lag.read()
		u, t := cpuTime(), time.Now()
		s := loadSample{wall: t.Sub(at), lag: d.lag.lag()}
		if d.cores > 0 && s.wall > 0 {
			s.use = float64(u-used) / float64(s.wall) / d.cores
		}
		s.target, s.unread = d.arrivals.take()
		if d.backlogAge != nil {
			s.backlog = d.backlogAge(t)
		}
		if d.undecided != nil {
			s.undecided = d.undecided()
		}
		used, at = u, t
		d.observe(s)
	}
}

// update sets the shed ratio after a period with the given CPU use and scheduling lag.
func (d *overloadDetector) update(use float64, lag time.Duration) {
	d.observe(loadSample{wall: overloadCheckInterval, use: use, lag: lag})
}

// observe sets the shed ratio after a period.
func (d *overloadDetector) observe(s loadSample) {
	d.decision.cores = d.cores
	d.decision.update(s)
	state := overloadState{shedDecision: d.decision, loadSample: s}
	state.ratio, state.reason = d.decision.ratio()
	state.maxUndecided = d.decision.maxUndecided()
	state.recent, state.targets = nil, nil // modified by the next update
	d.state.Store(&state)
}

// delaysMessages reports whether other routers must be told that the times which this router
// reports say nothing about engines. That is so while it sheds load, and also while it lags
// without an overload, as between two parts of a quota.
func (s overloadState) delaysMessages() bool { return s.ratio > 0 || shedRatioAt(s.lag) > 0 }

// current returns the latest decision.
func (d *overloadDetector) current() overloadState {
	if s := d.state.Load(); s != nil {
		return *s
	}
	return overloadState{}
}

// shedRatio returns the fraction of all arrivals to refuse.
func (d *overloadDetector) shedRatio() float64 {
	if s := d.state.Load(); s != nil {
		return s.ratio
	}
	return 0
}

// shedRatioAt returns the fraction of all arrivals to refuse at a scheduling lag, by a router
// that does not know its cores.
func shedRatioAt(lag time.Duration) float64 { return shedRatioBetween(lag, minShedLag, fullShedLag) }

// cpuTime returns the CPU time that this process has used, 0 where the system does not
// report it.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0 // the scheduling lag still detects an overload
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
