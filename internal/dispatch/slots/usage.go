package slots

import (
	"math"
	"time"

	"github.com/silverswitch/silverswitch/internal/version"
)

const (
	// usageDecay is the time constant with which used slot time is forgotten. Floods last 6 to
	// 11 s; an organisation that has paused for some seconds competes as a new one.
	usageDecay = 2 * time.Second
	// minUsageMS is the slot time below which an organisation is forgotten.
	minUsageMS = 0.5
)

// Usage is the slot time that organisations have used in the last seconds, in milliseconds.
type Usage struct {
	orgs map[version.ID]float64
	at   time.Time // up to which all values are decayed
}

// Add adds slot time to an organisation; a negative number takes it back.
func (u *Usage) Add(org version.ID, ms float64, now time.Time) {
	if math.IsNaN(ms) || math.IsInf(ms, 0) {
		return
	}
	u.decay(now)
	if u.orgs == nil {
		u.orgs = map[version.ID]float64{}
	}
	if ms += u.orgs[org]; ms < minUsageMS {
		delete(u.orgs, org)
		return
	}
	u.orgs[org] = ms
}

// Of returns the slot time of an organisation.
func (u *Usage) Of(org version.ID) float64 { return u.orgs[org] }

// SlotsBelow returns how many slots the organisations that have used less than one organisation
// have had on average. Their next requests will precede those of that organisation.
func (u *Usage) SlotsBelow(org version.ID) float64 {
	own, sum := u.orgs[org], int64(0)
	for _, ms := range u.orgs {
		if ms < own {
			sum += int64(1000 * ms) // a sum of integers does not depend on the order of the map
		}
	}
	return float64(sum) / float64(usageDecay.Microseconds())
}

// usageStep is the step in which values decay, so that most calls change nothing.
const usageStep = 50 * time.Millisecond

func (u *Usage) decay(now time.Time) {
	elapsed := now.Sub(u.at)
	if elapsed < usageStep {
		return
	}
	u.at = now
	factor := math.Exp(-float64(elapsed) / float64(usageDecay))
	for org, ms := range u.orgs {
		if ms *= factor; ms < minUsageMS {
			delete(u.orgs, org)
		} else {
			u.orgs[org] = ms
		}
	}
}
