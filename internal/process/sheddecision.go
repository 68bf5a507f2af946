package process

import (
	"slices"
	"time"
)

// loadSample is what a router observed of itself in one period of overloadCheckInterval, or
// longer if the router was not scheduled.
type loadSample struct {
	wall   time.Duration // length of the period; 0 or less counts as overloadCheckInterval
	use    float64       // CPU use as a fraction of the cores that this router has
	lag    time.Duration // scheduling lag, a moving average
	unread time.Duration // median time for which requests had lain unread, 0 if none were sampled
	// backlog is the longest that a connection may have waited to be accepted.
	backlog   time.Duration
	undecided int64         // requests without a decision
	target    time.Duration // strict target latency of the requests that arrived, 0 if none arrived
}

// shedReason is why a router sheds load.
type shedReason string

const (
	shedNothing   shedReason = ""
	shedProcessor shedReason = "processor" // the CPU is used up
	shedLag       shedReason = "lag"       // goroutines wait too long for the CPU
	shedUnread    shedReason = "unread"    // requests lie unread for too long
)

// Parameters of shedDecision, beside those of overload.go.
const (
	// shedMeanPeriods is the number of periods whose mean CPU use decides. A CPU that is
	// limited by a quota runs at full speed until the quota is used up and then stalls for
	// the rest of a tenth of a second: a single period shows a use of 0 or far above the
	// mean. With three periods a router that is out of CPU sheds after 300 ms.
	shedMeanPeriods = 3
	// lagMeanPeriods is the number of periods whose mean CPU use decides what a lag means.
	// Below minLagUse it is a stall or a burst, from fullLagUse it is all taken for a queue
	// that does not end; between the two it counts in part. With three periods, chance alone
	// takes a router with 0.144 cores from half of its CPU to above 0.9 (nine requests in a
	// period).
	lagMeanPeriods = 10
	// minLagUse and fullLagUse are shares of the CPU by the process's own count, which lacks
	// what the VM spends on its behalf: a router with 0.192 cores that could not keep up counted
	// 0.70 to 0.78. With 0.8 and 0.92 in their place its requests lay unread for seconds.
	minLagUse  = 0.66
	fullLagUse = 0.74
	// lagTargetDivisor and fullLagTargetDivisor divide the target to give the lags at which
	// shedding begins and at which it is maxShedRatio. A request waits for the CPU some
	// twenty times until an upstream has it, so that is a fifth of the target, and all of
	// it; half of it, which is the most that may pass, is within. With a target of 400 ms
	// they are minShedLag and fullShedLag.
	lagTargetDivisor     = 100
	fullLagTargetDivisor = 20
	// minUnreadPeriods is the number of successive periods in which requests must have lain
	// unread for too long: after a single pause of the process they have, once.
	minUnreadPeriods = 2
	// unreadTargetDivisor divides the target to give the time for which requests may lie
	// unread. At most half of a target may pass until an upstream has the request, which
	// after being read still has to be placed and sent. Shedding ends at calmUnreadRatio
	// of that time, slowly at first: the requests that are admitted then arrive while those
	// before them are still being read.
	unreadTargetDivisor = 3
	calmUnreadRatio     = 0.75
	idleUnreadRatio     = 0.375 // below it, shedding ends as fast as for CPU use
	unreadShedDecay     = 0.92  // factor per period between the two
	// unreadShedStep is what the shed ratio grows by in a period in which requests lie
	// unread for too long, multiplied by how many times too long, up to maxUnreadExcess.
	// Twice the step made a stalling router alternate between 0.4 and 0.98 and serve a
	// third of what it could.
	unreadShedStep  = 0.08
	maxUnreadExcess = 3.0
	// maxUnreadShedRatio is the largest fraction refused when requests lie unread for
	// farUnreadExcess times too long, as what is admitted then is late too: with 0.192
	// cores and 1,900 requests a second, one in ten and the refusals of the others take one
	// and a half times the CPU.
	maxUnreadShedRatio = 0.98
	farUnreadExcess    = 1.2
	// defaultShedTarget is the target while none is known, and minShedTarget the strictest
	// that counts: below it, the kernel's timer tick and single garbage collections would
	// count as overload.
	defaultShedTarget = 400 * time.Millisecond
	minShedTarget     = 50 * time.Millisecond
	// shedTargetPeriods is how many periods a target counts after its requests arrived, so
	// that a stall in which nothing is read does not change it.
	shedTargetPeriods = 20
)

// shedDecision decides which fraction of the arrivals an overloaded router refuses. It is
// pure: it does no I/O and reads no clock.
//
// Load pattern: an organisation sends 1,400 requests per second to one router with 0.192
// cores. The router must shed what it cannot process, neither more because it lags (it did
// so at half of its CPU) nor so late that requests lie unread past half of their target.
type shedDecision struct {
	cores   float64 // 0 when unknown: then the lag alone decides
	recent  []loadSample
	targets []time.Duration // of the last shedTargetPeriods periods

	unreadPeriods int  // successive periods in which requests lay unread for too long
	empty         bool // no request was read in the last period

	byProcessor float64
	byLag       float64
	byUnread    float64
}

// update takes the sample of a period into account.
func (d *shedDecision) update(s loadSample) {
	s = s.valid()
	d.recent = append(d.recent, s)
	if len(d.recent) > lagMeanPeriods {
		d.recent = slices.Delete(d.recent, 0, 1)
	}
	d.targets = append(d.targets, s.target)
	if len(d.targets) > shedTargetPeriods {
		d.targets = slices.Delete(d.targets, 0, 1)
	}
	if d.cores <= 0 {
		d.byLag = shedRatioAt(s.lag)
		return
	}
	d.updateProcessor(s)
	d.updateUnread(s)
	d.byLag = d.lagWeight() * shedRatioBetween(s.lag, d.shedTarget()/lagTargetDivisor, d.shedTarget()/fullLagTargetDivisor)
}

// valid returns the sample with values that cannot be (negative, not a number) replaced by 0.
func (s loadSample) valid() loadSample {
	if !(s.use >= 0) {
		s.use = 0
	}
	if s.wall <= 0 {
		s.wall = overloadCheckInterval
	}
	s.lag, s.unread, s.backlog, s.target = max(0, s.lag), max(0, s.unread), max(0, s.backlog), max(0, s.target)
	return s
}

// updateProcessor raises the ratio while the CPU is used up, in this period and on average,
// and lowers it when it is used up in neither.
func (d *shedDecision) updateProcessor(s loadSample) {
	switch {
	case s.use >= highCPUUseRatio && d.meanUse(shedMeanPeriods) >= lowCPUUseRatio && s.lag >= minBusyLag:
		d.byProcessor = min(maxShedRatio, d.byProcessor+shedRatioStep)
	case s.use < lowCPUUseRatio && d.meanUse(shedMeanPeriods) < highCPUUseRatio || s.lag < minBusyLag:
		d.byProcessor = decayed(d.byProcessor, shedRatioDecay)
	}
}

// updateUnread raises the ratio while requests lie unread for too long, in accepted connections or
// in the kernel's queue of the listener, whatever the CPU use says: the VM may provide less CPU
// than the settings state. The age of that queue is an upper bound of the time for which requests
// lie there, so it raises the ratio to maxShedRatio only.
func (d *shedDecision) updateUnread(s loadSample) {
	nothingRead := s.target == 0 && s.unread == 0 && s.backlog == 0
	if nothingRead && !d.empty { // perhaps because of a stall
		d.empty = true
		return
	}
	d.empty = nothingRead
	limit := d.shedTarget() / unreadTargetDivisor
	switch excess := float64(max(s.unread, s.backlog)) / float64(limit); {
	case excess >= 1:
		if d.unreadPeriods++; d.unreadPeriods < minUnreadPeriods {
			return
		}
		most := maxShedRatio
		if float64(s.unread) >= farUnreadExcess*float64(limit) {
			most = maxUnreadShedRatio
		}
		d.byUnread = min(most, d.byUnread+unreadShedStep*min(excess, maxUnreadExcess))
	case excess < idleUnreadRatio:
		d.byUnread, d.unreadPeriods = decayed(d.byUnread, shedRatioDecay), 0
	case excess < calmUnreadRatio:
		d.byUnread, d.unreadPeriods = decayed(d.byUnread, unreadShedDecay), 0
	default:
		d.unreadPeriods = 0
	}
}

// decayed returns a shed ratio after a period without its cause.
func decayed(ratio, factor float64) float64 {
	if ratio *= factor; ratio >= minShedRatio {
		return ratio
	}
	return 0
}

// meanUse returns the CPU use over up to n recent periods.
func (d *shedDecision) meanUse(n int) float64 {
	used, wall := 0.0, 0.0
	for _, s := range d.recent[max(0, len(d.recent)-n):] {
		used += s.use * float64(s.wall)
		wall += float64(s.wall)
	}
	return used / max(1, wall)
}

const (
	// undecidedTargetDivisor divides the target to give the time in which a router with all of its
	// CPU sends the requests that may be undecided. Refusals of others take up to two thirds of
	// that CPU.
	undecidedTargetDivisor = 6
	// requestCPU is the CPU time that a request takes until it is sent to an upstream.
	requestCPU = 700 * time.Microsecond
	// minUndecided may be undecided in any case, as while a scheduler is silent.
	minUndecided = 16
)

// maxUndecided returns how many requests may have no decision at the same time, 0 for no limit. A
// decision takes a few milliseconds, so more of them wait for the CPU, and take it from each other
// until all are too late.
//
// Load pattern: a flood begins at a router short of CPU. Until the shed ratio had risen, more was
// let in than the router could send; it was decided without the scheduler, or its callers left, and
// the router served a third of what it could for as long as the flood went on.
func (d *shedDecision) maxUndecided() int64 {
	if d.cores <= 0 {
		return 0
	}
	drain := d.shedTarget() / undecidedTargetDivisor
	return max(minUndecided, int64(d.cores*float64(drain)/float64(requestCPU)))
}

// lagWeight is the part of the lag rule that applies at the mean CPU use.
func (d *shedDecision) lagWeight() float64 {
	return min(1, max(0, (d.meanUse(lagMeanPeriods)-minLagUse)/(fullLagUse-minLagUse)))
}

// shedTarget returns the strictest target of the requests that arrived lately.
func (d *shedDecision) shedTarget() time.Duration {
	strictest := time.Duration(0)
	for _, t := range d.targets {
		if t > 0 && (strictest == 0 || t < strictest) {
			strictest = t
		}
	}
	if strictest == 0 {
		return defaultShedTarget
	}
	return max(minShedTarget, strictest)
}

// ratio returns the fraction of arrivals to refuse, and why.
func (d *shedDecision) ratio() (float64, shedReason) {
	switch most := max(d.byProcessor, d.byLag, d.byUnread); {
	case most == 0:
		return 0, shedNothing
	case d.byUnread == most:
		return most, shedUnread
	case d.byProcessor == most:
		return most, shedProcessor
	default:
		return most, shedLag
	}
}

// shedRatioBetween returns a fraction that grows from 0 at the lag from to maxShedRatio at
// the lag to.
func shedRatioBetween(lag, from, to time.Duration) float64 {
	if lag <= from {
		return 0
	}
	return min(maxShedRatio, float64(lag-from)/float64(to-from))
}
