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

// ShareCoverage returns the organisations that have used up their shares and request more
// than is covered.
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
	if w.at.IsZero() || n.localUsedShare(p, org, now) < 1 {
		return 1
	}
	return coverageFactor * float64(w.Share) / max(1, float64(w.Requested))
}

// coverageByShare is the ratio that the share covers, by the scheduler's own meter.
func (m *meter) coverageByShare(org version.ID, now time.Time) float64 {
	m.updateShares(now)
	u, share := m.usageOf(org), m.shares[org]
	if share <= 0 || windowTotal(&u.got) < share {
		return 1
	}
	return coverageFactor * share / max(1, windowTotal(&u.requested))
}
