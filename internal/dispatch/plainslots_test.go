package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// plainCases are the loads on plain services for which the bounds hold.
func plainCases() map[string]plainLoad {
	out := map[string]plainLoad{}
	for name, l := range map[string]plainLoad{"A": loadA(), "B": loadB()} {
		out[name+" usual"] = l
		burst := l
		burst.burst = 1.7
		out[name+" burst"] = burst
		flood := l
		flood.flood, flood.floods = 10, 1
		out[name+" flood"] = flood
		both := flood
		both.burst = 1.7
		out[name+" burst and flood"] = both
	}
	return out
}

// minInTimeUnderFlood is the ratio of requests in time under every load, and more than is reached
// under a flood during a burst without regard to slots.
const minInTimeUnderFlood = 0.65

// Guards against requests that upstreams reject because their queues are full, against late
// answers at usual rates, against refusals while slots are free, and against a flood that keeps
// other organisations from being served.
func TestPlainServiceWithSlotsKeepsItsBounds(t *testing.T) {
	for name, l := range plainCases() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := playPlain(t, l)
			t.Log(r)
			assert.Less(t, r.rejectedRatio(), 0.01)
			assert.Zero(t, r.refusedFree)
			assert.Zero(t, r.open)
			assert.Less(t, r.refusedOf(1, emulatedOrgs), 0.04, "organisations that do not flood")
			assert.Greater(t, r.inTimeRatio(), minInTimeUnderFlood)
			if l.flood == 1 && l.burst == 1 {
				assert.Greater(t, r.inTimeRatio(), 0.95)
			}
			assert.Less(t, float64(r.lateRefused), 0.04*float64(r.arrived), "refused after the target")
		})
	}
}

// Shows that the bounds are due to the slots: without regard to them, upstreams reject requests
// of every organisation.
func TestPlainServiceWithoutSlotsIsRejected(t *testing.T) {
	for _, name := range []string{"A burst and flood", "B burst and flood"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			l := plainCases()[name]
			l.disabled.PlainSlots = true
			without := playPlain(t, l)
			t.Log(without)
			assert.Greater(t, without.rejectedRatio(), 0.15)
			assert.Less(t, without.inTimeRatio(), minInTimeUnderFlood)
		})
	}
}

// Guards against an organisation under an even share that is refused, or served late, because
// several others flood.
func TestFloodsDoNotTakeSlotsOfOtherOrganisations(t *testing.T) {
	for name, l := range map[string]plainLoad{"A": loadA(), "B": loadB()} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			l.flood, l.floods, l.length = 14, 3, 6*time.Second
			r := playPlain(t, l)
			t.Log(r)
			assert.Less(t, r.refusedOf(l.floods, emulatedOrgs), 0.05)
			assert.Greater(t, r.refusedOf(0, l.floods), 10*r.refusedOf(l.floods, emulatedOrgs))
			arrived, inTime := 0, 0
			for _, o := range r.byOrg[l.floods:] {
				arrived += o.arrived
				inTime += o.inTime
			}
			assert.Greater(t, float64(inTime), 0.85*float64(arrived))
		})
	}
}

// Guards against any change for services whose instances state no slots.
func TestPlainServiceWithoutStatedSlotsIsPlacedAsBefore(t *testing.T) {
	t.Parallel()
	l := loadB()
	l.slots, l.flood, l.floods = 0, 10, 1
	with := playPlain(t, l)
	l.disabled.PlainSlots = true
	assert.Equal(t, playPlain(t, l), with)
}
