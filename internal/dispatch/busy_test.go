package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/silverswitch/silverswitch/internal/core/wire"
	"github.com/silverswitch/silverswitch/internal/version"
)

func TestBusyMeterCountsOneSecond(t *testing.T) {
	b := newBusyMeter()
	b.sample(2, 2, start)
	b.add(300, start)
	b.sample(2, 2, start.Add(500*time.Millisecond))
	b.add(300, start.Add(500*time.Millisecond))
	assert.InDelta(t, 0.3, b.ratio(2, start.Add(500*time.Millisecond)), 0.001)
	assert.InDelta(t, 0.15, b.ratio(2, start.Add(1200*time.Millisecond)), 0.001)
	assert.Zero(t, b.ratio(2, start.Add(3*time.Second)))
	assert.Zero(t, b.ratio(0, start.Add(3*time.Second)))
}

// Guards against engines that are taken for busy while they have nothing to read: the reading time
// of all that was placed was counted, also of what a router short of CPU never sent.
func TestPlacementsThatAreNotSentDoNotMakeEnginesBusy(t *testing.T) {
	f := newFleet(t, 1, 2)
	id := f.order[0]
	p := f.nodes[id].pools[serviceID(engines)]
	for no := uint64(1); no <= 200; no++ {
		f.arrive(id, no, engines, "small", 3000)
		f.placed(id, no)
		f.nodes[id].Step(End{ID: no, Event: wire.ProgressUnused}, f.now)
		if no%4 == 0 {
			f.run(TickInterval)
		}
	}
	assert.Less(t, p.busy.ratio(2, f.now), 0.1, "nothing was read")
	assert.False(t, p.enginesTooBusy(5, f.now))
}

// One organisation floods engines that are reading for a small fraction of their time, and
// gets the spare capacity. Once they read for more than half of the time, it gets no more,
// though no engine has a queue; an organisation under its share does.
func TestFloodIsRefusedWhileEnginesAreBusy(t *testing.T) {
	f := newFleet(t, 1, 2)
	id := f.order[0]
	p := f.nodes[id].pools[serviceID(engines)]
	flood := version.IDOf("flood")
	p.meter.addRequest(version.IDOf("other"), 390_000*4, f.now)
	p.meter.addRequest(flood, 390_000*40, f.now)
	p.meter.addGrant(flood, 390_000*20, f.now)
	require.Greater(t, p.meter.usedShare(flood, f.now), 5.0)
	no := uint64(0)
	read := func(org string) bool {
		no++
		f.arrive(id, no, engines, org, 3000)
		if _, placed := f.got[id][no].(Placement); !placed {
			return false
		}
		after := 125 * time.Millisecond // by the initial model
		f.run(after.Round(TickInterval))
		f.nodes[id].Step(FirstEvent{ID: no, After: after}, f.now)
		f.nodes[id].Step(End{ID: no, Event: wire.ProgressDone}, f.now)
		return true
	}
	assert.True(t, read("flood"))
	assert.True(t, read("flood"))
	p.busy.add(1100, f.now)
	for range 50 {
		p.busy.sample(1, 2, f.now)
	}
	assert.Greater(t, p.busy.ratio(2, f.now), minBusyRatio)
	assert.False(t, read("flood"))
	assert.True(t, read("other"))
	f.run(2 * time.Second)
	assert.True(t, read("flood"))
}
