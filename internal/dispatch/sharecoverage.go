package dispatch

import (
	"time"

	"github.com/silverswitch/silverswitch/internal/version"
)

// ShareCoverage is the ratio of an organisation's requests at this router for which a
// router short of CPU should request a placement.
type ShareCoverage struct {
	Service, Org string
	Ratio        float64
}

// coverageFactor multiplies the organisation's share, and what was recently placed here, to
// get the number of requests that are admitted: some of the admitted requests are refused
// for other reasons, and capacity beyond shares is given out too.
//
// Load pattern: of three floods one arrived through a router short of CPU, and the other
// two got three times their shares and more. Limited by its share alone, the first one was
// left with twice its share, whatever the scheduler would have granted it.
const coverageFactor = 2.0

// minCoveredUse is the use of a share below which no more of what is requested is covered.
const minCoveredUse = 2.0 / 3

// ShareCoverage returns the organisations that request more than is covered.
//
// Load pattern: of 2,000 requests a second of one organisation at a small router 25 are
// served. Sending a placement request for each of the others, and waiting for the reply, is
// what overloads that router. They are shed before their bodies are read.
func (n *Node) ShareCoverage(now time.Time) []ShareCoverage {
	var out []ShareCoverage
	for _, p := range n.pools {
		if p.engine == nil {
			continue
		}
		for org := range p.local.orgs {
			if ratio := n.localCoverage(p, org, now); ratio < 1 {
				out = append(out, ShareCoverage{Service: p.service, Org: n.reports.orgNames[org], Ratio: ratio})
			}
		}
	}
	return out
}

// localCoverage is the ratio of an organisation's requests that is admitted here.
func (n *Node) localCoverage(p *pool, org version.ID, now time.Time) float64 {
	local := p.local.at(org, now)
	placed := coverageFactor * windowTotal(&local.got) / max(1, windowTotal(&local.requested))
	if n.schedulerOf(p.id, now) == n.settings.ID {
		return max(placed, p.meter.coverageByShare(org, now))
	}
	return max(placed, n.coverageFromUpdate(p, org, now))
}

// coverageFromUpdate is the ratio that the share covers, by the scheduler's latest update.
func (n *Node) coverageFromUpdate(p *pool, org version.ID, now time.Time) float64 {
	w := n.shareUpdates.received[serviceOrg{p.id, org}]
	if w.at.IsZero() {
		return 1
	}
	requested := max(float64(w.Requested), p.local.latestRequested(org, now))
	return coverageOf(float64(w.Share), n.localUsedShare(p, org, now), requested)
}

// coverageOf returns the ratio of the tokens requested in a window that a share covers: more of them
// the less of the share was used, without a step where it is used up.
//
// Load pattern: a flood of an organisation that has used about its share, through a router short of
// CPU. Everything was let in whenever it was just below its share; the router sent little of that in
// time, so that the share stayed unused.
func coverageOf(share, usedShare, requested float64) float64 {
	return coverageFactor * share / min(1, max(minCoveredUse, usedShare)) / max(1, requested)
}

// coverageByShare is the ratio that the share covers, by the scheduler's own meter.
func (m *meter) coverageByShare(org version.ID, now time.Time) float64 {
	m.updateShares(now)
	share := m.shares[org]
	if share <= 0 {
		return 1
	}
	requested := max(windowTotal(&m.usageOf(org).requested), m.latestRequested(org, now))
	return coverageOf(share, m.usedShare(org, now), requested)
}

// latestRequested returns what an organisation requested in the latest second, scaled to the window,
// so that a flood that has just begun counts as what it is.
func (m *meter) latestRequested(org version.ID, now time.Time) float64 {
	u, latest := m.at(org, now), 0.0
	for age := range stepsPerSecond {
		latest += u.requested[m.ring.slot(age)]
	}
	return latest * shareSteps / float64(stepsPerSecond)
}
