package dispatch

import (
	"testing"

	"github.com/stretchr/testify/assert"

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
	p.local.addRequest(org, 100_000, f.now)
	assert.Empty(t, n.ShareCoverage(f.now), "no share update was received")
	n.handleShareUpdates([]wire.ShareUpdate{{Service: p.id, Org: org, SharePercent: 120, Share: 10_000, Requested: 100_000}}, f.now)
	assert.Equal(t, []ShareCoverage{{Service: engines, Org: "flood", Ratio: coverageFactor * 0.1}}, n.ShareCoverage(f.now))
	n.handleShareUpdates([]wire.ShareUpdate{{Service: p.id, Org: org, SharePercent: 90, Share: 10_000, Requested: 100_000}}, f.now)
	assert.Empty(t, n.ShareCoverage(f.now), "it is under its share")

	s := f.nodes[f.scheduler()]
	s.reports.orgNames[org] = "flood"
	own := s.pools[p.id]
	own.local.addRequest(org, 1, f.now)
	own.meter.addRequest(org, 4*statedWindowTokens, f.now)
	own.meter.addGrant(org, 2*statedWindowTokens, f.now)
	own.meter.updateShares(f.now.Add(shareStep))
	assert.Equal(t, []ShareCoverage{{Service: engines, Org: "flood", Ratio: coverageFactor / 4}}, s.ShareCoverage(f.now.Add(shareStep)))
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
