package dispatch

import (
	"time"

	"github.com/silverswitch/silverswitch/internal/version"
)

// Covered is the part of what an organisation asks for here that a router short of
// processor should ask a place for.
type Covered struct {
	Service, Org string
	Part         float64
}

// coverRoom is how many times its share, and how many times what was placed here of late, an
// organisation's requests are let in for: some of what is let in is refused for other
// reasons, and what lies beyond shares is given out too.
//
// Load pattern: of three floods one came in by a router short of processor, and the two
// others had three times their shares and more. Measured by its share alone the first one
// was left twice that, whatever the scheduler would have given it.
const coverRoom = 2.0

// Covered returns the organisations that have had their shares and ask for more than is
// covered. Load pattern: of 2,000 requests a second of one organisation at a small router
// 25 are served; asking for each of the others, and waiting for the answer, is what makes
// that router late. They are refused at its door, before their bodies are read.
func (n *Node) Covered(now time.Time) []Covered {
	var out []Covered
	for _, p := range n.pools {
		if p.engine == nil {
			continue
		}
		for org := range p.here.orgs {
			if part := n.coveredHere(p, org, now); part < 1 {
				out = append(out, Covered{Service: p.service, Org: n.reports.names[org], Part: part})
			}
		}
	}
	return out
}

// coveredHere is the part of an organisation's requests that is let in.
func (n *Node) coveredHere(p *pool, org version.ID, now time.Time) float64 {
	here := p.here.at(org, now)
	placed := coverRoom * total(&here.got) / max(1, total(&here.asked))
	if n.schedulerOf(p.id, now) == n.set.ID {
		return max(placed, p.meter.coveredByShare(org, now))
	}
	return max(placed, n.coveredAlone(p, org, now))
}

// coveredAlone is the part that the share covers, by the scheduler's word.
func (n *Node) coveredAlone(p *pool, org version.ID, now time.Time) float64 {
	w := n.words.heard[orgAt{p.id, org}]
	if w.at.IsZero() || n.aloneOver(p, org, now) < 1 {
		return 1
	}
	return coverRoom * float64(w.Share) / max(1, float64(w.Requested))
}

// coveredByShare is the part that the share covers, by the meter of the scheduler itself.
func (m *meter) coveredByShare(org version.ID, now time.Time) float64 {
	m.refresh(now)
	u, share := m.of(org), m.shares[org]
	if share <= 0 || total(&u.got) < share {
		return 1
	}
	return coverRoom * share / max(1, total(&u.asked))
}
