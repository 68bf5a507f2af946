package dispatch

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/silverswitch/silverswitch/internal/core/wire"
	"github.com/silverswitch/silverswitch/internal/version"
)

// A router short of CPU sheds the requests that shares do not cover.
func TestShareCoverageRatio(t *testing.T) {
	f := newFleet(t, 3, 2)
	id := f.other()
	n := f.nodes[id]
	p := n.pools[serviceID(engines)]
	org := version.IDOf("flood")
	n.reports.orgNames[org] = "flood"
	for range shareSteps {
		f.run(shareStep)
		p.local.addRequest(org, 100_000.0/shareSteps, f.now)
	}
	assert.Empty(t, n.ShareCoverage(f.now), "no share update was received")
	n.handleShareUpdates([]wire.ShareUpdate{{Service: p.id, Org: org, SharePercent: 120, Share: 10_000, Requested: 100_000}}, f.now)
	assert.Equal(t, []ShareCoverage{{Service: engines, Org: "flood", Ratio: coverageFactor * 0.1}}, n.ShareCoverage(f.now))
	n.handleShareUpdates([]wire.ShareUpdate{{Service: p.id, Org: org, SharePercent: 90, Share: 10_000, Requested: 100_000}}, f.now)
	under := n.ShareCoverage(f.now)
	require.Len(t, under, 1, "it is under its share, but asks for several times of it")
	assert.InDelta(t, coverageFactor*0.1/0.9, under[0].Ratio, 1e-9)
	n.handleShareUpdates([]wire.ShareUpdate{{Service: p.id, Org: org, SharePercent: 90, Share: 100_000, Requested: 100_000}}, f.now)
	assert.Empty(t, n.ShareCoverage(f.now), "it asks for what its share covers")

	s := f.nodes[f.scheduler()]
	s.reports.orgNames[org] = "flood"
	own := s.pools[p.id]
	own.local.addRequest(org, 1, f.now)
	for range shareSteps {
		f.run(shareStep)
		own.meter.addRequest(org, 4*statedWindowTokens/shareSteps, f.now)
		own.meter.addGrant(org, 2*statedWindowTokens/shareSteps, f.now)
	}
	own.meter.dirty = true
	assert.Equal(t, []ShareCoverage{{Service: engines, Org: "flood", Ratio: coverageFactor / 4}}, s.ShareCoverage(f.now))
}

// Capacity granted beyond shares must continue to be admitted while the router is short of
// CPU. With admission by the share alone, an organisation kept half of what it had been
// granted there.
func TestShareCoverageIncludesRecentPlacements(t *testing.T) {
	f, id := newFloodedFleet(t)
	n := f.nodes[id]
	p := n.pools[serviceID(engines)]
	org := version.IDOf("flood")
	n.shareUpdates.received[serviceOrg{p.id, org}] = receivedShareUpdate{wire.ShareUpdate{Service: p.id, Org: org, SharePercent: 400, Share: 10_000, Requested: 1_000_000}, f.now}
	local := p.local.at(org, f.now)
	local.requested, local.got = [shareSteps]float64{1_000_000}, [shareSteps]float64{40_000}
	assert.InDelta(t, coverageFactor*0.04, n.localCoverage(p, org, f.now), 1e-9)
	local.got = [shareSteps]float64{}
	assert.InDelta(t, coverageFactor*0.01, n.localCoverage(p, org, f.now), 1e-9)
}

// An organisation floods through a router short of CPU and has used about its share. All that it
// sent was let in while it had used 0.97 of its share, a sixth at 1.1, and the router could send
// neither.
func TestCoverageHasNoStepAtTheShare(t *testing.T) {
	f, id := newFloodedFleet(t)
	n := f.nodes[id]
	p := n.pools[serviceID(engines)]
	org := version.IDOf("late-flood") // nothing of it was placed here
	last := 1.0
	for percent := uint32(0); percent <= 200; percent++ {
		n.handleShareUpdates([]wire.ShareUpdate{{Service: p.id, Org: org, SharePercent: percent, Share: 10_000, Requested: 120_000}}, f.now)
		ratio := min(1, n.localCoverage(p, org, f.now))
		assert.LessOrEqual(t, ratio, last, "at %d per cent", percent)
		if percent > 0 {
			assert.Greater(t, ratio, 0.95*last, "at %d per cent", percent)
		} else {
			assert.InDelta(t, coverageFactor/minCoveredUse/12, ratio, 1e-9)
		}
		last = ratio
	}
}

// A flood that has just begun has requested little in the window of shares. Counted by the window,
// a router short of CPU let twice the share of four seconds in within its first second.
func TestCoverageCountsWhatAFloodRequestsNow(t *testing.T) {
	f, id := newFloodedFleet(t)
	n := f.nodes[id]
	p := n.pools[serviceID(engines)]
	org := version.IDOf("late-flood")
	n.handleShareUpdates([]wire.ShareUpdate{{Service: p.id, Org: org, SharePercent: 10, Share: 100_000, Requested: 0}}, f.now)
	p.local.addRequest(org, 200_000, f.now)
	assert.InDelta(t, coverageFactor/minCoveredUse*100_000/(200_000*shareSteps/float64(stepsPerSecond)), n.localCoverage(p, org, f.now), 1e-9)
}
