package entry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/silverswitch/silverswitch/internal/core/sched"
	"github.com/silverswitch/silverswitch/internal/core/wire"
	"github.com/silverswitch/silverswitch/internal/version"
)

var t0 = time.Unix(1_800_000_000, 0)

const schedulerID wire.NodeID = "10.0.0.9:1"

func testVersion(t *testing.T, revision uint64, places string) *version.Version {
	t.Helper()
	p := version.Packed{Revision: revision, Files: map[string]string{
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
		"templates/t.ini": "[template]\nname = t\nparameters = places\n[organisation]\nplaces = ${places}\nqueue_limit = 3\n[application app]\nservice = s\n",
		"organisations/x.ini": "[organisation]\nname = x\ntemplate = t\nkey_sha256 = 1111111111111111111111111111111111111111111111111111111111111111\n" +
			"[parameters]\nplaces = " + places + "\n",
	}}
	raw, err := p.Encode()
	require.NoError(t, err)
	v, err := version.Load(raw)
	require.NoError(t, err)
	return v
}

type fixture struct {
	*Entry
	t    *testing.T
	x    version.ID
	pool version.ID
	u1   version.ID
	u2   version.ID
	now  time.Time
}

// newFixture returns an entry in place a whose organisation x may use the given places, and
// which has reported n waiting requests to a scheduler.
func newFixture(t *testing.T, places string, n int) *fixture {
	f := &fixture{Entry: New("a", t0), t: t, now: t0, u1: version.IDOf("upstream/u1"), u2: version.IDOf("upstream/u2")}
	v := testVersion(t, 1, places)
	f.x = v.ByName("x").ID
	for id := range v.Pools {
		f.pool = id
	}
	f.SetVersion(v)
	for i := range n {
		f.arrive(uint64(i+1), time.Minute)
	}
	f.reports()
	return f
}

func (f *fixture) arrive(id uint64, timeout time.Duration) {
	f.Arrive(Request{ID: id, Org: f.x, App: "app", Deadline: f.now.Add(timeout)}, f.now)
}

func (f *fixture) reports() []Outgoing {
	out, _ := f.Reports(func(version.ID) wire.NodeID { return schedulerID }, f.now)
	return out
}

func (f *fixture) grants(list ...wire.Grant) {
	p := f.pools[f.pool]
	asked := uint32(p.lastSent.Sub(f.startedAt).Milliseconds())
	f.Grants(schedulerID, &wire.Grants{Pool: f.pool, Epoch: p.epoch, ReportSeq: p.seq, ReportSentMS: asked, List: list}, f.now)
}

func TestGrantStartsTheOldestRequest(t *testing.T) {
	f := newFixture(t, "a,b", 2)
	f.grants(wire.Grant{No: 1, Org: f.x, Upstream: f.u1, N: 1})
	starts, _ := f.Take()
	assert.Equal(t, []Start{{ID: 1, Upstream: f.u1}}, starts)
}

func TestRepeatedGrantIsUsedOnce(t *testing.T) {
	f := newFixture(t, "a,b", 2)
	g := wire.Grant{No: 1, Org: f.x, Upstream: f.u1, N: 1}
	f.grants(g)
	f.grants(g)
	starts, _ := f.Take()
	assert.Len(t, starts, 1)
}

func TestLateGrantIsNotUsed(t *testing.T) {
	f := newFixture(t, "a,b", 2)
	f.now = f.now.Add(sched.Lease)
	f.grants(wire.Grant{No: 1, Org: f.x, Upstream: f.u1, N: 1})
	starts, _ := f.Take()
	assert.Empty(t, starts)
	assert.Equal(t, uint64(1), f.Counts.GrantsLate)
}

func TestGrantOfAnotherSchedulerIsNotUsed(t *testing.T) {
	f := newFixture(t, "a,b", 2)
	p := f.pools[f.pool]
	f.Grants("10.0.0.8:1", &wire.Grants{Pool: f.pool, Epoch: p.epoch, List: []wire.Grant{{No: 1, Org: f.x, Upstream: f.u1, N: 1}}}, f.now)
	starts, _ := f.Take()
	assert.Empty(t, starts)
}

func TestGrantOutsideAllowedPlacesIsNotUsed(t *testing.T) {
	f := newFixture(t, "a", 2)
	f.grants(wire.Grant{No: 1, Org: f.x, Upstream: f.u2, N: 1})
	starts, _ := f.Take()
	assert.Empty(t, starts)
	assert.Equal(t, uint64(1), f.Counts.GrantsReturned)
}

func TestGrantForDrainingUpstreamIsNotUsed(t *testing.T) {
	f := newFixture(t, "a,b", 2)
	f.Drain(f.u1, true)
	f.grants(wire.Grant{No: 1, Org: f.x, Upstream: f.u1, N: 1})
	starts, _ := f.Take()
	assert.Empty(t, starts)
}

func TestRouterOutsideAllowedPlacesRefuses(t *testing.T) {
	f := newFixture(t, "b", 1)
	_, refused := f.Take()
	require.Len(t, refused, 1)
	assert.Equal(t, ReasonWithdrawn, refused[0].Reason)
}

func TestNewVersionRefusesWhatItNoLongerAllows(t *testing.T) {
	f := newFixture(t, "a,b", 2)
	f.SetVersion(testVersion(t, 2, "b"))
	_, refused := f.Take()
	assert.Len(t, refused, 2)
}

func TestRequestIsRefusedAtItsDeadline(t *testing.T) {
	f := newFixture(t, "a,b", 0)
	f.arrive(1, time.Second)
	f.now = f.now.Add(time.Second)
	f.Tick(f.now)
	_, refused := f.Take()
	require.Len(t, refused, 1)
	assert.Equal(t, ReasonDeadline, refused[0].Reason)
	assert.Positive(t, refused[0].RetryAfter)
}

func TestQueueIsBounded(t *testing.T) {
	f := newFixture(t, "a,b", 4)
	_, refused := f.Take()
	require.Len(t, refused, 1)
	assert.Equal(t, ReasonQueueFull, refused[0].Reason)
	assert.Equal(t, uint64(4), refused[0].ID)
}

func TestCanceledRequestFreesQueueSlot(t *testing.T) {
	f := newFixture(t, "a,b", 3)
	require.True(t, f.Cancel(2))
	f.arrive(9, time.Minute)
	_, refused := f.Take()
	assert.Empty(t, refused)
	assert.Equal(t, 3, f.Waiting())
}

func TestRequestThatWouldMissItsDeadlineIsRefused(t *testing.T) {
	f := newFixture(t, "a,b", 3)
	for i := range 3 {
		f.now = f.now.Add(10 * time.Second)
		f.reports()
		f.grants(wire.Grant{No: uint32(i + 1), Org: f.x, Upstream: f.u1, N: 1})
		f.arrive(uint64(10+i), time.Hour)
	}
	f.Take()
	f.now = f.now.Add(time.Millisecond)
	q := f.queues[queueKey{f.x, "s"}]
	q.starts, q.busy = 10, 40 // ten recent starts: one in 4 s
	f.Cancel(10)
	f.arrive(20, time.Second)
	_, refused := f.Take()
	require.Len(t, refused, 1)
	assert.Equal(t, ReasonDeadline, refused[0].Reason)
	assert.Greater(t, refused[0].RetryAfter, 5*time.Second)
}

func TestReturnedRequestGoesToHeadOfQueue(t *testing.T) {
	f := newFixture(t, "a,b", 3)
	f.grants(wire.Grant{No: 1, Org: f.x, Upstream: f.u1, N: 1})
	f.Return(1, false, f.now)
	f.reports()
	f.grants(wire.Grant{No: 2, Org: f.x, Upstream: f.u2, N: 1})
	starts, _ := f.Take()
	assert.Equal(t, []Start{{1, f.u1}, {1, f.u2}}, starts)
}

// A version came while a request was at an upstream, which did not take it. Without any upstream in that
// version the request waited for its whole time; without the application it was told that its time is over.
func TestReturnedRequestThatCannotStartIsToldWhy(t *testing.T) {
	for reason, change := range map[Reason]func(f *fixture){
		ReasonWithdrawn:  func(f *fixture) { f.SetVersion(testVersion(t, 2, "b")) },
		ReasonNoUpstream: func(f *fixture) { f.queues[queueKey{f.x, "s"}].pools = nil },
	} {
		f := newFixture(t, "a,b", 1)
		f.grants(wire.Grant{No: 1, Org: f.x, Upstream: f.u1, N: 1})
		change(f)
		f.Return(1, false, f.now)
		_, refused := f.Take()
		if assert.Len(t, refused, 1, reason) {
			assert.Equal(t, reason, refused[0].Reason)
		}
	}
}

func TestCreditStartsRequestAtOnce(t *testing.T) {
	f := newFixture(t, "a,b", 1)
	f.grants(wire.Grant{No: 1, Org: f.x, Upstream: f.u1, N: 1}, wire.Grant{No: 2, Upstream: f.u2, N: 1})
	f.Take()
	f.arrive(2, time.Minute)
	starts, _ := f.Take()
	assert.Equal(t, []Start{{2, f.u2}}, starts)
}

func TestPauseDropsCredits(t *testing.T) {
	f := newFixture(t, "a,b", 1)
	f.grants(wire.Grant{No: 1, Org: f.x, Upstream: f.u1, N: 1}, wire.Grant{No: 2, Upstream: f.u2, N: 1})
	f.Take()
	f.Woke()
	f.arrive(2, time.Minute)
	starts, _ := f.Take()
	assert.Empty(t, starts)
}

func TestChangedRowsAreResentUntilAnswered(t *testing.T) {
	f := newFixture(t, "a,b", 2)
	f.now = f.now.Add(resendInterval)
	again := f.reports()
	require.Len(t, again, 1)
	require.Len(t, again[0].Report.Rows, 1)
	assert.Equal(t, uint32(2), again[0].Report.Rows[0].Waiting)
	f.grants()
	f.now = f.now.Add(keepAliveInterval)
	alive := f.reports()
	require.Len(t, alive, 1)
	assert.Empty(t, alive[0].Report.Rows)
}

func TestServiceIsChargedWhileStreaming(t *testing.T) {
	f := newFixture(t, "a,b", 1)
	f.grants(wire.Grant{No: 1, Org: f.x, Upstream: f.u1, N: 1})
	f.Progress(1, 40)
	f.Progress(1, 30) // late and lower: no service is deducted
	assert.Equal(t, uint64(4000), f.normService[f.x])
	f.Finish(1, 55, wire.Sample{N: 1}, f.now)
	assert.Equal(t, uint64(5500), f.normService[f.x])
	assert.Zero(t, f.Running())
}

// A request may run for minutes without any change to report, and the scheduler forgets a
// router that is silent for too long.
func TestFullReportsAreRepeatedDuringLongRequests(t *testing.T) {
	f := newFixture(t, "a,b", 1)
	f.grants(wire.Grant{No: 1, Org: f.x, Upstream: f.u1, N: 1})
	f.now = f.now.Add(ackReportDelay)
	f.reports()
	f.grants()
	f.now = f.now.Add(fullReportInterval)
	out := f.reports()
	require.Len(t, out, 1)
	require.True(t, out[0].Report.Full)
	require.Len(t, out[0].Report.Rows, 1)
	assert.Equal(t, []wire.Held{{Upstream: f.u1, N: 1}}, out[0].Report.Rows[0].Held)
}
