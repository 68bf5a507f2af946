package sched

import (
	"math"
	"time"

	"github.com/silverswitch/silverswitch/internal/core/ledger"
	"github.com/silverswitch/silverswitch/internal/core/wire"
	"github.com/silverswitch/silverswitch/internal/version"
)

// account is the state of one organisation in a pool.
type account struct {
	org              version.ID
	offset           float64 // service that it is treated as having received; only grows
	waiting          int     // requests, over all routers
	pending          int     // unacknowledged grants, each for one of the waiting requests
	held             int     // slots held or granted
	lastWait         time.Time
	earned           float64 // service divided by share, decayed
	slotSeconds      float64 // slot-seconds in which it was earned, decayed
	accruedAt        time.Time
	allowedUpstreams []version.ID
}

func (p *Pool) account(org version.ID, now time.Time) *account {
	a := p.accounts[org]
	if a == nil {
		a = &account{org: org, accruedAt: now}
		p.accounts[org] = a
		p.accountOrder = append(p.accountOrder, a)
	}
	return a
}

// addWaiting adds n to an account's waiting requests. An organisation that returns from
// idleness starts at the present virtual time, so that idleness neither saves up service nor is
// penalised (start-time fair queueing, Goyal 1996). An organisation whose oldest request is
// older than this scheduler was already waiting at the former one and keeps its standing.
func (p *Pool) addWaiting(a *account, n int, oldest, now time.Time) {
	idle := a.waiting == 0 && n > 0 && now.Sub(a.lastWait) > idleTimeout
	if idle && oldest.After(p.started) {
		a.offset += max(0, p.virtualTime-p.served(a))
	}
	a.waiting += n
	if a.waiting > 0 || n < 0 {
		a.lastWait = now
	}
}

// recordEarned records service earned by slots that were held under this scheduler. What a
// router served before its first report to this scheduler says nothing about a slot's rate.
func (a *account) recordEarned(lastReported map[version.ID]uint64, in *wire.Row) {
	if last, known := lastReported[in.Org]; known && in.NormService > last {
		a.earned += float64(in.NormService-last) / ledger.Scale
	}
	lastReported[in.Org] = in.NormService
}

// addHeld adds n to the slots held, after accruing the slot-seconds until now.
func (a *account) addHeld(n int, now time.Time) {
	a.accrue(now)
	a.held += n
}

func (a *account) accrue(now time.Time) {
	dt := now.Sub(a.accruedAt).Seconds()
	if dt <= 0 {
		return
	}
	decay := math.Exp2(-dt / rateHalfLife.Seconds())
	a.earned *= decay
	a.slotSeconds = a.slotSeconds*decay + float64(a.held)*dt
	a.accruedAt = now
}

const (
	// minSlotSeconds is the amount of slot time from which on an account's own rate is used
	// instead of the pool's.
	minSlotSeconds = 10
	// learningDuration is how long a new scheduler assumes that every slot earns as much as at
	// the users' limit on the time between tokens. It has not observed any earnings yet, and a
	// rate of zero would disable the look-ahead just when many slots are free at once.
	learningDuration = 10 * time.Second
	// initialRate is the rate assumed meanwhile, in tokens per slot and second.
	initialRate = 1000.0 / maxGapMS
)

// rate is the account's service per slot and second, divided by share.
func (a *account) rate(fallback float64) float64 {
	if a.slotSeconds < minSlotSeconds {
		return fallback
	}
	return a.earned / a.slotSeconds
}

// served is the account's virtual time: service divided by share, in units.
func (p *Pool) served(a *account) float64 {
	return a.offset + float64(p.led.Sum(a.org))/ledger.Scale
}

// score orders accounts for the next slot; the lowest goes first.
func (p *Pool) score(a *account, poolRate float64) float64 {
	share := 1.0
	if o := p.ver.Organisations[a.org]; o != nil {
		share = o.Share
	}
	rate := poolRate / share
	if !p.learning() {
		rate = a.rate(rate)
	}
	ahead := rate * float64(a.held) * p.opt.Horizon.Seconds()
	return p.served(a) + ahead
}

// poolRate is the service per slot and second over all accounts, not divided by share.
func (p *Pool) poolRate() float64 {
	if p.learning() {
		return initialRate
	}
	var earned, slots float64
	for _, a := range p.accountOrder {
		if o := p.ver.Organisations[a.org]; o != nil {
			earned += a.earned * o.Share
			slots += a.slotSeconds
		}
	}
	if slots < minSlotSeconds {
		return initialRate
	}
	return earned / slots
}

// learning reports whether this scheduler is too new to know what slots earn.
func (p *Pool) learning() bool { return p.plannedAt.Sub(p.started) < learningDuration }

// upstreamsFor returns the upstreams in the organisation's places. The result is cached.
func (p *Pool) upstreamsFor(a *account) []version.ID {
	if a.allowedUpstreams != nil {
		return a.allowedUpstreams
	}
	a.allowedUpstreams = []version.ID{}
	o := p.ver.Organisations[a.org]
	if o == nil {
		return a.allowedUpstreams
	}
	for _, id := range p.upstreamOrder {
		if o.Allows(p.upstreams[id].def.Place) {
			a.allowedUpstreams = append(a.allowedUpstreams, id)
		}
	}
	return a.allowedUpstreams
}

// limit adapts the number of concurrent requests at an upstream to the time between tokens, by
// additive increase and multiplicative decrease, and ejects an upstream that fails.
type limit struct {
	max          int     // slots of the upstream
	now          float64 // concurrent requests allowed at present
	lastDecrease time.Time
	targetGapMS  uint32
	ejectedUntil time.Time // no new grants until then, after failures
	ejection     time.Duration
}

// Constants of the adaptive limit. The target is the users' limit on the time between tokens.
const (
	maxGapMS         = 75
	decreaseFactor   = 0.9
	decreaseInterval = 2 * time.Second
	increaseStep     = 0.25
	minEjection      = 250 * time.Millisecond
	maxEjection      = 5 * time.Second
)

func newLimit(slots int) limit {
	return limit{max: slots, now: float64(slots), targetGapMS: maxGapMS}
}

func (l *limit) setMax(slots int) {
	if slots > l.max {
		l.now += float64(slots - l.max)
	}
	l.max = slots
	l.now = min(l.now, float64(slots))
}

func (l *limit) observe(s wire.Sample, now time.Time) {
	if s.Failed > 0 && s.N == 0 {
		l.ejection = min(max(minEjection, 2*l.ejection), maxEjection)
		l.ejectedUntil = now.Add(l.ejection)
	} else if s.N > 0 {
		l.ejection = 0
	}
	if s.GapMS > l.targetGapMS || s.Failed > 0 {
		if now.Sub(l.lastDecrease) >= decreaseInterval {
			l.lastDecrease = now
			l.now = max(1, l.now*decreaseFactor)
		}
		return
	}
	if s.N > 0 {
		l.now = min(float64(l.max), l.now+increaseStep)
	}
}

// capacity is the number of slots that this scheduler may fill at an upstream.
func (p *Pool) capacity(u *upstream) int {
	if u.draining || u.def.Closed() || p.plannedAt.Before(u.limit.ejectedUntil) {
		return 0
	}
	return int(math.Ceil(math.Min(u.limit.now, float64(u.def.Slots)*p.slotFraction)))
}
