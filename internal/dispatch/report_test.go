package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/silverswitch/silverswitch/internal/version"
)

// Once a second the log shows the inputs of decisions.
func TestReportsDescribeDecisionInputs(t *testing.T) {
	f, id := newFloodedFleet(t)
	sched := f.nodes[f.scheduler()]
	sched.Step(CPUOverload{On: false}, f.now)
	var shares []ShareReport
	var believed []EngineReport
	sched.reports.due = f.now
	for range 50 {
		f.now = f.now.Add(TickInterval)
		sched.Tick(f.now)
		for _, o := range sched.Ready(f.now) {
			switch o := o.(type) {
			case ShareReport:
				shares = append(shares, o)
			case EngineReport:
				believed = append(believed, o)
			}
		}
	}
	require.Len(t, shares, 2)
	assert.Equal(t, 2*statedWindowTokens+int(Cost(4000, 50)), shares[0].Requested)
	assert.Positive(t, shares[0].Share)
	require.NotEmpty(t, believed)
	assert.Equal(t, 4, believed[0].Engines)

	n := f.nodes[id]
	n.reports.addDecision(serviceOrg{serviceID(engines), version.IDOf("flood")}, 500, true)
	n.reports.addDecision(serviceOrg{serviceID(engines), version.IDOf("flood")}, 0, false)
	n.reports.addShed(serviceOrg{serviceID(engines), version.IDOf("flood")}, 300)
	n.reports.addShed(serviceOrg{1, 2}, 300) // of a service that no longer exists
	n.reportLocalDecisions(f.now)
	var alone []LocalDecisionReport
	for _, o := range n.Ready(f.now) {
		if a, is := o.(LocalDecisionReport); is {
			alone = append(alone, a)
		}
	}
	require.Len(t, alone, 1)
	assert.Equal(t, 1, alone[0].Placed)
	assert.Equal(t, 1, alone[0].Refused)
	assert.Equal(t, 500, alone[0].PlacedTokens)
	assert.Equal(t, 300, alone[0].ShedTokens)
	assert.GreaterOrEqual(t, alone[0].ShareAgeMS, 0)
}

// Two organisations differed in the work that engines started for them, and the log did not
// show whether others were held back for the one with less: it showed placed work only.
func TestShareReportIncludesStartedWorkAndUnmetDemand(t *testing.T) {
	f := newFleet(t, 1, 2)
	id := f.order[0]
	n := f.nodes[id]
	p := n.pools[serviceID(engines)]
	for range shareSteps {
		f.run(shareStep)
		p.meter.addRequest(version.IDOf("a"), statedWindowTokens, f.now)
		p.meter.addGrant(version.IDOf("a"), 60_000, f.now)
	}
	f.arrive(id, 1, engines, "a", 4000)
	f.placed(id, 1)
	n.Step(FirstEvent{ID: 1, After: 50 * time.Millisecond}, f.now)
	n.reports.due = f.now
	n.Ready(f.now)
	n.Tick(f.now)
	for _, o := range n.Ready(f.now) {
		if r, ok := o.(ShareReport); ok {
			assert.Equal(t, int(Cost(4000, 50)), r.Started)
			assert.True(t, r.Waits)
			assert.GreaterOrEqual(t, r.UnmetSeconds, 2)
			return
		}
	}
	t.Fatal("no report")
}
