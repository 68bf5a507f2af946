package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/silverswitch/silverswitch/internal/version"
)

// Two organisations flood, one through a router that delivers its requests more slowly: all
// capacity beyond shares went to the other one.
func TestLeastServedOrganisationGoesFirst(t *testing.T) {
	m := newMeter(390_000)
	now := start
	for range shareSteps {
		now = now.Add(shareStep)
		m.addRequest(1, statedWindowTokens, now)
		m.addRequest(2, statedWindowTokens, now)
		m.addGrant(1, 40_000, now)
		m.addGrant(2, 100_000, now)
	}
	assert.True(t, m.mustYield(2, now))
	assert.False(t, m.mustYield(1, now))
	later := now.Add(minUnmetSeconds * time.Second)
	for at := now; at.Before(later); at = at.Add(shareStep) {
		m.addRequest(2, statedWindowTokens, at)
	}
	assert.False(t, m.mustYield(2, later), "an organisation that has stopped sending holds nobody back")
}

// A refusal because of the share has another reason than one because of the wait.
func TestRefusalForShareHasItsOwnReason(t *testing.T) {
	f := newFleet(t, 1, 2)
	id := f.order[0]
	p := f.nodes[id].pools[serviceID(engines)]
	for range shareSteps {
		f.run(shareStep)
		p.meter.addRequest(version.IDOf("waits"), statedWindowTokens, f.now)
		p.meter.addRequest(version.IDOf("flood"), statedWindowTokens, f.now)
		p.meter.addGrant(version.IDOf("waits"), 60_000, f.now)
		p.meter.addGrant(version.IDOf("flood"), 120_000, f.now)
	}
	f.arrive(id, 1, engines, "flood", 3000)
	r, refused := f.got[id][1].(Refuse)
	require.True(t, refused)
	assert.Equal(t, ReasonShare, r.Reason)
	assert.Equal(t, "share-used", r.Reason.String())
	assert.Equal(t, "unknown", Reason(200).String())
	f.arrive(id, 2, engines, "waits", 3000)
	f.placed(id, 2)
}

// An organisation that has only begun to request more than it is granted is about to be
// served.
func TestNewFloodHoldsNobodyBack(t *testing.T) {
	m := newMeter(390_000)
	now := start
	for range shareSteps {
		now = now.Add(shareStep)
		m.addRequest(2, statedWindowTokens, now)
		m.addGrant(2, 100_000, now)
	}
	m.addRequest(1, 2*statedWindowTokens, now)
	assert.False(t, m.mustYield(2, now))
}

// An organisation requested four times what it was granted in every second, but did not
// count as having unmet demand: in a step in which one of its large requests was served it
// had been granted all it requested.
func TestUnmetDemandIsSummedOverSeconds(t *testing.T) {
	m := newMeter(390_000)
	now := start
	for step := range shareSteps {
		now = now.Add(shareStep)
		m.addRequest(2, statedWindowTokens, now)
		m.addGrant(2, 200_000, now)
		m.addRequest(1, 100_000, now)
		if step%4 == 0 {
			m.addGrant(1, 100_000, now)
		}
		if step >= minUnmetSeconds*int(stepsPerSecond) {
			assert.True(t, m.mustYield(2, now), "step %d", step)
			assert.False(t, m.mustYield(1, now), "step %d", step)
		}
	}
}

// One organisation had used a third of its share and the other nine tenths, and the first
// was refused because of the wait as often as the other: each free engine went to the next
// request to arrive, and the other sent ten times as many.
func TestLeastServedGoesFirstWhileEnginesUnderperform(t *testing.T) {
	f := newFleet(t, 1, 2)
	p := f.nodes[f.order[0]].pools[serviceID(engines)]
	m := p.meter
	small, flood := version.IDOf("small"), version.IDOf("flood")
	for range shareSteps {
		f.run(shareStep)
		m.addRequest(small, statedWindowTokens, f.now)
		m.addRequest(flood, 10*statedWindowTokens, f.now)
		m.addGrant(small, 0.3*m.capacity/2/shareSteps, f.now)
		m.addGrant(flood, 0.9*m.capacity/2/shareSteps, f.now)
	}
	usedShare := m.usedShare(flood, f.now)
	assert.InDelta(t, 0.9, usedShare, 0.01)
	assert.False(t, p.mustYield(flood, usedShare, f.now), "it is under its share")
	m.addRefusal(small, m.capacity, f.now)
	f.run(shareStep)
	assert.True(t, p.mustYield(flood, usedShare, f.now))
	assert.False(t, p.mustYield(small, m.usedShare(small, f.now), f.now))
	assert.False(t, p.mustYield(flood, 0.2, f.now), "an organisation that has used little of its share is never held back")
}
