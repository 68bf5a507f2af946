package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/silverswitch/silverswitch/internal/core/wire"
	"github.com/silverswitch/silverswitch/internal/version"
)

// shortLedger returns a ledger of six seconds in which organisation 1 requested four times what it
// started, organisation 2 started four times as much, and organisation 3 was served whole.
func shortLedger() (*ledger, time.Time) {
	l := newLedger()
	now := start
	for step := range ledgerSteps {
		now = start.Add(time.Duration(step) * shareStep)
		l.observeSize(100, now)
		for org, tokens := range map[version.ID]float64{1: 1000, 2: 4000, 3: 200} {
			l.addGrant(org, tokens, now)
			l.addStart(org, tokens, now)
		}
		l.addRequest(1, 4000, now)
		l.addRequest(2, 8000, now)
		l.addRequest(3, 200, now)
		l.addTurned(1, gateOrder, 1000, now)
		l.addTurnedAt(1, "10.1.0.9:1", 2000, now)
	}
	return &l, now
}

// An organisation that started far less than another one while both were refused requests in every
// second could be found only by adding up log lines of all routers.
func TestLeastServedOrganisationIsNamed(t *testing.T) {
	l, now := shortLedger()
	m, short := l.margin(now)
	require.True(t, short)
	assert.Equal(t, version.ID(1), m.least)
	assert.Equal(t, version.ID(2), m.best)
	assert.InDelta(t, 0.25, m.ratio, 0.001)

	f := newFleet(t, 1, 2)
	n := f.nodes[f.order[0]]
	p := n.pools[serviceID(engines)]
	p.meter.ledger = *l
	n.reports.orgNames = map[version.ID]string{1: "one", 2: "two", 3: "three"}
	n.reportFairness(p, now)
	assert.Equal(t, 25, n.LeastServedPercent(f.now))
	assert.Contains(t, n.out, FairnessReport{Service: engines, Least: "one", Best: "two", Margin: 0.25, MarginOfSeconds: 0.25, Requested: 96_000, Granted: 24_000, Started: 24_000, BestStarted: 96_000,
		Gate: "router", TurnedByGate: 48_000, TurnedByRouters: 48_000, Router: "10.1.0.9:1"})
}

// Nobody is short who was served whole in some second, who requested little, or after the requests
// have ended.
func TestNobodyGoesShortWithoutUnmetDemandInEverySecond(t *testing.T) {
	l, now := shortLedger()
	for back := 8; back < 12; back++ {
		i := l.ring.slot(int64(back))
		l.rows[1].requested[i] = l.rows[1].granted[i]
	}
	_, short := l.margin(now)
	assert.False(t, short, "it was served whole in a second")

	l, now = shortLedger()
	l.observeSize(100_000, now)
	_, short = l.margin(now)
	assert.False(t, short, "three requests would make up for it")

	l, now = shortLedger()
	_, short = l.margin(now.Add(ledgerSteps * shareStep))
	assert.False(t, short)
	assert.Empty(t, l.rows)
}

// What a router placed without the scheduler was missing in what an organisation had started.
func TestStartsOfLocalDecisionsAreCounted(t *testing.T) {
	f := newFleet(t, 2, 2)
	n := f.nodes[f.scheduler()]
	p := n.pools[serviceID(engines)]
	n.handleLocalUsage(f.other(), wire.LocalUsage{Service: p.id, Org: 7, Requested: 9000, Placed: 3000}, f.now)
	r := p.meter.ledger.rows[7]
	assert.InDelta(t, 3000, p.meter.ledger.latest(&r.started, ledgerSteps), 0.1)
	assert.InDelta(t, 6000, p.meter.ledger.latest(&r.turned[gateRouter], ledgerSteps), 0.1)
	assert.InDelta(t, 3000, windowTotal(&p.meter.at(7, f.now).started), 0.1)
}

// A refund is taken back in the step of its grant, or nowhere.
func TestLedgerRefundsInTheStepOfTheGrant(t *testing.T) {
	l := newLedger()
	l.addRequest(1, 500, start)
	l.addGrant(1, 500, start)
	l.refund(1, 500, start, start.Add(time.Second))
	assert.Zero(t, l.latest(&l.rows[1].granted, ledgerSteps))
	l.refund(1, 500, start, start.Add(7*time.Second))
	l.refund(9, 500, start, start)
	assert.Empty(t, l.rows[9])
}

// Two organisations that trade places look alike over six seconds. Callers compare them second by
// second, with the one that started most in each.
func TestMarginOfSecondsComparesWithTheBestOfEachSecond(t *testing.T) {
	l := newLedger()
	now := start
	for second := range int64(ledgerSteps) / stepsPerSecond {
		for step := range stepsPerSecond {
			now = start.Add(time.Duration(second*stepsPerSecond+step) * shareStep)
			for org := range version.ID(2) {
				l.addRequest(1+org, 9000, now)
				l.addStart(1+org, []float64{1000, 3000}[(int64(org)+second)%2], now)
			}
		}
	}
	m, short := l.margin(now)
	require.True(t, short)
	assert.InDelta(t, 1, m.ratio, 0.001)
	assert.InDelta(t, 2.0/3, l.marginOfSeconds(m.least), 0.001, "half of the other one's starts are missed by a comparison over the whole time")
}

// The numbers of a whole second could be found only as differences of sums over four seconds.
func TestWholeSecondsAreReportedOnce(t *testing.T) {
	f := newFleet(t, 1, 2)
	n := f.nodes[f.order[0]]
	p := n.pools[serviceID(engines)]
	n.reports.orgNames = map[version.ID]string{1: "one"}
	begin := f.now.Truncate(time.Second).Add(2 * time.Second)
	at := begin.Add(600 * time.Millisecond)
	p.meter.ledger.addRequest(1, 500, at)
	p.meter.ledger.addGrant(1, 300, at)
	p.meter.ledger.addStart(1, 200, at)
	p.meter.ledger.addTurned(1, gateOrder, 100, at)
	p.meter.ledger.addTurnedAt(1, "10.1.0.9:1", 50, at)
	n.out = nil
	for _, after := range []time.Duration{1900, 2050, 2900, 3060, 4070} {
		n.reportSeconds(p, begin.Add(after*time.Millisecond))
	}
	var got []SecondReport
	for _, o := range n.out {
		if s, is := o.(SecondReport); is {
			got = append(got, s)
		}
	}
	want := SecondReport{Service: engines, Org: "one", Second: begin, Requested: 500, Granted: 300, Started: 200}
	want.Turned[gateOrder], want.Turned[gateRouter] = 100, 50
	assert.Equal(t, []SecondReport{want}, got)
}

// An order that holds the fleet down looked like busy engines: refusals beyond shares and for the
// order had one gate, and nothing told that the engines they would have gone to had nothing to read.
func TestRefusalsWhileEnginesAreIdleAreTold(t *testing.T) {
	f := newFleet(t, 1, 2)
	id := f.order[0]
	p := f.nodes[id].pools[serviceID(engines)]
	for range shareSteps {
		f.run(shareStep)
		p.meter.addRequest(version.IDOf("waits"), statedWindowTokens, f.now)
		p.meter.addRequest(version.IDOf("flood"), statedWindowTokens, f.now)
		p.meter.serve(version.IDOf("waits"), 60_000, f.now)
		p.meter.serve(version.IDOf("flood"), 120_000, f.now)
	}
	f.arrive(id, 1, engines, "flood", 3000)
	require.IsType(t, Refuse{}, f.got[id][1])
	l := &p.meter.ledger
	cost := l.latest(&l.idleRefusals, int(stepsPerSecond))
	assert.GreaterOrEqual(t, cost, 3000.0)
	assert.Equal(t, cost, l.latest(&l.rows[version.IDOf("flood")].turned[gateOrder], ledgerSteps))
	assert.Zero(t, l.latest(&l.rows[version.IDOf("flood")].turned[gateBusy], ledgerSteps))
}
