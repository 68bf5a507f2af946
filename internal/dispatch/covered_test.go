package dispatch

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/silverswitch/silverswitch/internal/core/wire"
	"github.com/silverswitch/silverswitch/internal/version"
)

// What shares do not cover is refused at the door of a router short of processor.
func TestCoveredIsWhatTheDoorLetsIn(t *testing.T) {
	f := newFleet(t, 3, 2)
	id := f.other()
	n := f.nodes[id]
	p := n.pools[serviceID(engines)]
	org := version.IDOf("flood")
	n.reports.names[org] = "flood"
	p.here.ask(org, 100_000, f.now)
	assert.Empty(t, n.Covered(f.now), "nothing was said of it")
	n.heardWords([]wire.ShareUpdate{{Service: p.id, Org: org, SharePercent: 120, Share: 10_000, Requested: 100_000}}, f.now)
	assert.Equal(t, []Covered{{Service: engines, Org: "flood", Part: coverRoom * 0.1}}, n.Covered(f.now))
	n.heardWords([]wire.ShareUpdate{{Service: p.id, Org: org, SharePercent: 90, Share: 10_000, Requested: 100_000}}, f.now)
	assert.Empty(t, n.Covered(f.now), "it has not had its share")

	s := f.nodes[f.scheduler()]
	s.reports.names[org] = "flood"
	own := s.pools[p.id]
	own.here.ask(org, 1, f.now)
	own.meter.ask(org, 4*window, f.now)
	own.meter.grant(org, 2*window, f.now)
	own.meter.refresh(f.now.Add(shareStep))
	assert.Equal(t, []Covered{{Service: engines, Org: "flood", Part: coverRoom / 4}}, s.Covered(f.now.Add(shareStep)))
}

// What the scheduler gives beyond shares goes on coming in while the router is short of
// processor: the door measured by the share alone, and left an organisation a half of what
// it had had there.
func TestDoorLetsInWhatWasPlacedHereOfLate(t *testing.T) {
	f, id := flooded(t)
	n := f.nodes[id]
	p := n.pools[serviceID(engines)]
	org := version.IDOf("flood")
	n.words.heard[orgAt{p.id, org}] = heardWord{wire.ShareUpdate{Service: p.id, Org: org, SharePercent: 400, Share: 10_000, Requested: 1_000_000}, f.now}
	here := p.here.at(org, f.now)
	here.asked, here.got = [shareSteps]float64{1_000_000}, [shareSteps]float64{40_000}
	assert.InDelta(t, coverRoom*0.04, n.coveredHere(p, org, f.now), 1e-9)
	here.got = [shareSteps]float64{}
	assert.InDelta(t, coverRoom*0.01, n.coveredHere(p, org, f.now), 1e-9)
}
