package sched

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/silverswitch/silverswitch/internal/core/ledger"
	"github.com/silverswitch/silverswitch/internal/core/wire"
	"github.com/silverswitch/silverswitch/internal/version"
)

var t0 = time.Unix(1_800_000_000, 0)

// testVersion has one pool: upstream u1 in place a and u2 in place b, with two slots each.
// Organisation x may use both places, y only a.
func testVersion(t *testing.T) *version.Version {
	t.Helper()
	p := version.Packed{Revision: 1, Files: map[string]string{
		version.FleetFile: `[place a]
region = r
[place b]
region = r
[service s]
[upstream u1]
service = s
place = a
address = 127.0.0.1:1
slots = 2
[upstream u2]
service = s
place = b
address = 127.0.0.1:2
slots = 2
`,
		"templates/t.ini":     "[template]\nname = t\nparameters = places\n[organisation]\nplaces = ${places}\n[application app]\nservice = s\n",
		"organisations/x.ini": "[organisation]\nname = x\ntemplate = t\nkey_sha256 = " + key('1') + "\n[parameters]\nplaces = a, b\n",
		"organisations/y.ini": "[organisation]\nname = y\ntemplate = t\nkey_sha256 = " + key('2') + "\n[parameters]\nplaces = a\n",
	}}
	raw, err := p.Encode()
	require.NoError(t, err)
	v, err := version.Load(raw)
	require.NoError(t, err)
	return v
}

func key(c byte) string {
	b := make([]byte, 64)
	for i := range b {
		b[i] = c
	}
	return string(b)
}

type fixture struct {
	*Pool
	ver  *version.Version
	x, y version.ID
	u1   version.ID
	u2   version.ID
}

func newFixture(t *testing.T, opt Options) fixture {
	v := testVersion(t)
	var pool version.ID
	for id := range v.Pools {
		pool = id
	}
	p := New(pool, v, ledger.New(), opt, t0)
	return fixture{Pool: p, ver: v, x: v.ByName("x").ID, y: v.ByName("y").ID,
		u1: version.IDOf("upstream/u1"), u2: version.IDOf("upstream/u2")}
}

func waiting(org version.ID, n uint32) wire.Row { return wire.Row{Org: org, Waiting: n} }

func granted(sends []Send) int {
	n := 0
	for _, s := range sends {
		for _, g := range s.Grants.List {
			n += int(g.N)
		}
	}
	return n
}

func TestFreeSlotsGoToWaitingRequests(t *testing.T) {
	f := newFixture(t, Options{})
	f.Report("r1", 1, &wire.Report{Seq: 1, Full: true, Rows: []wire.Row{waiting(f.x, 9)}}, t0)
	assert.Equal(t, 4, granted(f.Plan(t0)))
}

func TestGrantsStayInAllowedPlaces(t *testing.T) {
	f := newFixture(t, Options{})
	f.Report("r1", 1, &wire.Report{Seq: 1, Full: true, Rows: []wire.Row{waiting(f.y, 9)}}, t0)
	sends := f.Plan(t0)
	require.Equal(t, 2, granted(sends))
	for _, g := range sends[0].Grants.List {
		assert.Equal(t, f.u1, g.Upstream)
	}
}

func TestNewSchedulerGrantsNothingWhileSettling(t *testing.T) {
	f := newFixture(t, Options{Settle: time.Second})
	f.Report("r1", 1, &wire.Report{Seq: 1, Full: true, Rows: []wire.Row{waiting(f.x, 9)}}, t0)
	assert.Zero(t, granted(f.Plan(t0)))
	f.Report("r1", 1, &wire.Report{Seq: 2}, t0.Add(time.Second))
	assert.Equal(t, 4, granted(f.Plan(t0.Add(time.Second))))
}

func TestGrantsAreResentUntilAcknowledged(t *testing.T) {
	f := newFixture(t, Options{})
	f.Report("r1", 1, &wire.Report{Seq: 1, Full: true, Rows: []wire.Row{waiting(f.x, 1)}}, t0)
	require.Equal(t, 1, granted(f.Plan(t0)))
	later := t0.Add(resendInterval)
	f.Report("r1", 1, &wire.Report{Seq: 2, Rows: []wire.Row{waiting(f.x, 1)}}, later)
	assert.Equal(t, 1, granted(f.Plan(later)))
	f.Report("r1", 1, &wire.Report{Seq: 3, Acked: 1, Rows: []wire.Row{{Org: f.x, Held: []wire.Held{{Upstream: f.u1, N: 1}}}}}, later)
	assert.Zero(t, granted(f.Plan(later.Add(2*resendInterval))))
}

// A router that followed another scheduler in between restarts its numbering of grants. The
// slots of grants that it never accepted must be freed.
func TestNewEpochVoidsUnacknowledgedGrants(t *testing.T) {
	f := newFixture(t, Options{})
	f.Report("r1", 1, &wire.Report{Seq: 1, Full: true, Epoch: 1, Rows: []wire.Row{waiting(f.x, 4)}}, t0)
	require.Equal(t, 4, granted(f.Plan(t0)))
	f.Report("r1", 1, &wire.Report{Seq: 2, Epoch: 2, Full: true, Rows: []wire.Row{waiting(f.x, 4)}}, t0)
	sends := f.Plan(t0)
	require.Equal(t, 4, granted(sends))
	assert.Equal(t, uint32(1), sends[0].Grants.List[0].No)
	assert.Equal(t, uint32(2), sends[0].Grants.Epoch)
}

func TestRouterAcknowledgingUnknownGrantsIsReset(t *testing.T) {
	f := newFixture(t, Options{})
	f.Report("r1", 1, &wire.Report{Seq: 9, Epoch: 3, Acked: 5, Full: true, Rows: []wire.Row{waiting(f.x, 4)}}, t0)
	sends := f.Plan(t0.Add(time.Second))
	require.Len(t, sends, 1)
	assert.True(t, sends[0].Grants.Reset)
	assert.Zero(t, granted(sends))
}

func TestSlotsOfRemovedRouterAreFreed(t *testing.T) {
	f := newFixture(t, Options{})
	held := []wire.Held{{Upstream: f.u1, N: 2}, {Upstream: f.u2, N: 2}}
	f.Report("r1", 1, &wire.Report{Seq: 1, Full: true, Rows: []wire.Row{{Org: f.x, Held: held}}}, t0)
	f.Report("r2", 1, &wire.Report{Seq: 1, Full: true, Rows: []wire.Row{waiting(f.x, 4)}}, t0)
	require.Zero(t, granted(f.Plan(t0)))
	f.RemoveRouter("r1", t0)
	assert.Equal(t, 4, granted(f.Plan(t0)))
}

func TestGrantToSilentRouterExpires(t *testing.T) {
	f := newFixture(t, Options{})
	f.Report("r1", 1, &wire.Report{Seq: 1, Full: true, Rows: []wire.Row{waiting(f.x, 4)}}, t0)
	require.Equal(t, 4, granted(f.Plan(t0)))
	late := t0.Add(Lease + leaseMargin + time.Millisecond)
	f.Report("r2", 1, &wire.Report{Seq: 1, Full: true, Rows: []wire.Row{waiting(f.x, 4)}}, late)
	assert.Equal(t, 4, granted(f.Plan(late)))
}

func TestOlderReportsAreDropped(t *testing.T) {
	f := newFixture(t, Options{})
	f.Report("r1", 1, &wire.Report{Seq: 5, Rows: []wire.Row{waiting(f.x, 0)}}, t0)
	f.Report("r1", 1, &wire.Report{Seq: 4, Rows: []wire.Row{waiting(f.x, 4)}}, t0)
	assert.Zero(t, granted(f.Plan(t0)))
}

func TestDrainingUpstreamGetsNoGrants(t *testing.T) {
	f := newFixture(t, Options{})
	f.Drain(f.u2, true)
	f.Report("r1", 1, &wire.Report{Seq: 1, Full: true, Rows: []wire.Row{waiting(f.x, 4)}}, t0)
	for _, s := range f.Plan(t0) {
		for _, g := range s.Grants.List {
			assert.Equal(t, f.u1, g.Upstream)
		}
	}
}

func TestCreditsOnlyWhileNothingWaits(t *testing.T) {
	f := newFixture(t, Options{Credits: true})
	f.Report("idle", 1, &wire.Report{Seq: 1, Full: true}, t0)
	f.Report("r1", 1, &wire.Report{Seq: 1, Full: true, WantsCredits: true}, t0)
	sends := f.Plan(t0)
	require.Equal(t, 2, granted(sends), "half of the spare slots, to the routers that want credits")
	assert.Zero(t, sends[len(sends)-1].Grants.List[0].Org)
	f.Report("r2", 1, &wire.Report{Seq: 1, Full: true, Rows: []wire.Row{waiting(f.x, 9)}}, t0)
	for _, s := range f.Plan(t0) {
		assert.True(t, s.Grants.Saturated)
	}
}

func TestUrgentRequestsGoFirstWithinOrganisation(t *testing.T) {
	f := newFixture(t, Options{})
	old := wire.Row{Org: f.x, Waiting: 1, OldestAge: 600}
	urgent := wire.Row{Org: f.x, Waiting: 1, Urgent: 1}
	held := []wire.Held{{Upstream: f.u1, N: 2}, {Upstream: f.u2, N: 1}}
	f.Report("r0", 1, &wire.Report{Seq: 1, Full: true, Rows: []wire.Row{{Org: f.y, Held: held}}}, t0)
	f.Report("r1", 1, &wire.Report{Seq: 1, Full: true, Rows: []wire.Row{old}}, t0)
	f.Report("r2", 1, &wire.Report{Seq: 1, Full: true, Rows: []wire.Row{urgent}}, t0)
	sends := f.Plan(t0)
	require.Equal(t, 1, granted(sends))
	for _, s := range sends {
		if len(s.Grants.List) > 0 {
			assert.Equal(t, wire.NodeID("r2"), s.To)
		}
	}
}

func TestReturnFromIdlenessStartsAtVirtualTime(t *testing.T) {
	f := newFixture(t, Options{})
	f.Report("r1", 1, &wire.Report{Seq: 1, Full: true, Rows: []wire.Row{{Org: f.x, Waiting: 9, NormService: 5000}}}, t0)
	f.Plan(t0)
	now := t0.Add(time.Minute)
	f.Report("r1", 1, &wire.Report{Seq: 2, Acked: 4, Rows: []wire.Row{{Org: f.x, Waiting: 9, NormService: 900000}}}, now)
	f.Plan(now)
	f.Report("r1", 1, &wire.Report{Seq: 3, Acked: 4, Rows: []wire.Row{waiting(f.y, 3)}}, now.Add(time.Second))
	load := f.Backlog()
	assert.InDelta(t, load[f.x].Service, load[f.y].Service, 0.01)
}

// A new scheduler must not mistake an organisation that has been waiting all along for one that
// returns from idleness: its service would be charged twice.
func TestTakeoverDoesNotChargeWaitingOrganisationTwice(t *testing.T) {
	f := newFixture(t, Options{})
	row := wire.Row{Org: f.x, Waiting: 9, NormService: 100000, OldestAge: 50}
	f.Report("r1", 1, &wire.Report{Seq: 1, Full: true, Rows: []wire.Row{row}}, t0)
	f.Plan(t0)
	late := wire.Row{Org: f.y, Waiting: 9, NormService: 40000, OldestAge: 60}
	f.Report("r2", 1, &wire.Report{Seq: 1, Full: true, Rows: []wire.Row{late}}, t0.Add(10*time.Millisecond))
	assert.InDelta(t, 400, f.Backlog()[f.y].Service, 0.01)
}

func TestFailingUpstreamIsEjected(t *testing.T) {
	f := newFixture(t, Options{})
	f.Report("r1", 1, &wire.Report{Seq: 1, Full: true, Rows: []wire.Row{waiting(f.x, 9)}, Samples: []wire.Sample{{Upstream: f.u1, Failed: 1}}}, t0)
	for _, s := range f.Plan(t0) {
		for _, g := range s.Grants.List {
			assert.Equal(t, f.u2, g.Upstream)
		}
	}
	after := t0.Add(minEjection)
	f.Report("r1", 1, &wire.Report{Seq: 2, Acked: 2, Rows: []wire.Row{waiting(f.x, 9)}}, after)
	assert.Positive(t, granted(f.Plan(after)))
}

func TestLimitAdaptsToTimeBetweenTokens(t *testing.T) {
	l := newLimit(100)
	now := t0
	for range 10 {
		now = now.Add(decreaseInterval)
		l.observe(wire.Sample{N: 10, GapMS: maxGapMS + 50}, now)
	}
	assert.Less(t, l.now, 40.0)
	for range 1000 {
		l.observe(wire.Sample{N: 1, GapMS: maxGapMS - 10}, now)
	}
	assert.Equal(t, 100.0, l.now)
}

// A router that restarts without requests never reports again. The slots that its former
// process held must be freed.
func TestRestartedRouterReleasesSlotsOfFormerProcess(t *testing.T) {
	f := newFixture(t, Options{})
	held := []wire.Held{{Upstream: f.u1, N: 2}, {Upstream: f.u2, N: 2}}
	f.Report("r1", 1, &wire.Report{Seq: 1, Full: true, Rows: []wire.Row{{Org: f.x, Held: held}}}, t0)
	f.Report("r2", 1, &wire.Report{Seq: 1, Full: true, Rows: []wire.Row{waiting(f.x, 4)}}, t0)
	f.RemoveStale("r1", 1, t0)
	require.Zero(t, granted(f.Plan(t0)))
	f.RemoveStale("r1", 2, t0)
	assert.Equal(t, 4, granted(f.Plan(t0)))
}

func TestFirstReportMustBeFull(t *testing.T) {
	f := newFixture(t, Options{})
	f.Report("r1", 1, &wire.Report{Seq: 7, Epoch: 2, Rows: []wire.Row{waiting(f.x, 4)}}, t0)
	sends := f.Plan(t0.Add(idleReplyInterval))
	require.Len(t, sends, 1)
	assert.True(t, sends[0].Grants.Reset)
	f.Report("r1", 1, &wire.Report{Seq: 8, Epoch: 3, Full: true, Rows: []wire.Row{waiting(f.x, 4)}}, t0.Add(idleReplyInterval))
	assert.Equal(t, 4, granted(f.Plan(t0.Add(idleReplyInterval))))
}

// After grants are reclaimed the router may lack some grant numbers. Without a reset it would
// wait for them forever.
func TestRouterIsResetAfterReclaimedGrants(t *testing.T) {
	f := newFixture(t, Options{})
	f.Report("r1", 1, &wire.Report{Seq: 1, Full: true, Epoch: 1, Rows: []wire.Row{waiting(f.x, 1)}}, t0)
	require.Equal(t, 1, granted(f.Plan(t0)))
	late := t0.Add(Lease + leaseMargin + time.Millisecond)
	f.Plan(late)
	f.Report("r1", 1, &wire.Report{Seq: 2, Epoch: 1, Rows: []wire.Row{waiting(f.x, 1)}}, late)
	sends := f.Plan(late)
	require.Len(t, sends, 1)
	assert.True(t, sends[0].Grants.Reset)
	assert.Zero(t, granted(sends))
}

// Service received under a former scheduler must not count as earned by slots of this one: the
// look-ahead would be wrong by as much for a minute.
func TestTakeoverIgnoresServiceBeforeFirstReport(t *testing.T) {
	f := newFixture(t, Options{})
	row := wire.Row{Org: f.x, NormService: 50_000_000, Held: []wire.Held{{Upstream: f.u1, N: 2}}}
	f.Report("r1", 1, &wire.Report{Seq: 1, Full: true, Rows: []wire.Row{row}}, t0)
	a := f.accounts[f.x]
	for i := range 20 {
		now := t0.Add(time.Duration(i+1) * time.Second)
		a.accrue(now)
		row.NormService += 2 * 13 * ledger.Scale // two slots, one second, 13 units each
		f.Report("r1", 1, &wire.Report{Seq: uint32(2 + i), Rows: []wire.Row{row}}, now)
	}
	assert.InDelta(t, 13, a.rate(0), 0.5)
}

// Just after a takeover many slots are free at once and no earnings have been observed yet. The
// slots must not all go to the organisation that is slightly behind.
func TestTakeoverSharesFreeSlots(t *testing.T) {
	f := newFixture(t, Options{Horizon: 10 * time.Second, Settle: 9 * time.Second})
	row := wire.Row{Org: f.x, NormService: 100_000, Waiting: 9, OldestAge: 90}
	other := wire.Row{Org: f.y, NormService: 110_000, Waiting: 9, OldestAge: 90}
	for i := range 10 {
		now := t0.Add(time.Duration(i) * time.Second)
		r := &wire.Report{Seq: uint32(1 + i), Full: i == 0, Rows: []wire.Row{row, other}}
		r.Rows[0].Held = []wire.Held{{Upstream: f.u2, N: 2}} // x holds all of u2
		f.Report("r1", 1, r, now)
	}
	byOrg := map[version.ID]int{}
	for _, s := range f.Plan(t0.Add(9 * time.Second)) {
		for _, g := range s.Grants.List {
			byOrg[g.Org]++
		}
	}
	assert.Equal(t, 2, byOrg[f.y], "being 100 units behind weighs less than two slots for 10 s")
}
