package dispatch

import (
	"math"
	"time"

	"github.com/silverswitch/silverswitch/internal/core/wire"
	"github.com/silverswitch/silverswitch/internal/version"
)

// The ledger counts what organisations requested, were granted and started in the last seconds.
// Organisations are compared by it as callers see them: by what has started, whichever router or
// scheduler decided, while they are refused something in every second.

const (
	// ledgerSteps is the length of the ledger in steps of shareStep: six seconds.
	ledgerSteps = 24
	// ledgerSlackRequests is the number of largest requests by which organisations may differ in
	// any case: what one large request makes up is luck, not a share.
	ledgerSlackRequests = 3
)

// gate is where a request was turned away.
type gate uint8

const (
	gateWait   gate = iota // the scheduler: no upstream in time
	gateOrder              // the scheduler: others go first
	gateBusy               // the scheduler: engines are busy, and the share is used up
	gatePace               // the scheduler: running streams would become late
	gateRouter             // the router that received it, short of CPU or without its scheduler
	gateCount
)

func (g gate) String() string {
	return [gateCount]string{"wait", "order", "busy", "pace", "router"}[g]
}

// ledgerRow is the tokens of one organisation by step.
type ledgerRow struct {
	requested, granted, started [ledgerSteps]float64
	turned                      [gateCount][ledgerSteps]float64
	byRouter                    map[wire.NodeID]float64 // of turned[gateRouter], since the last report
	standing
}

// ledger holds the rows of all organisations that requested something.
type ledger struct {
	ring    ring
	rows    map[version.ID]*ledgerRow
	largest [ledgerSteps]float64 // request of each step
	// idleRefusals is the tokens that the scheduler refused in each step though the engine that
	// they would have gone to had nothing to read.
	idleRefusals [ledgerSteps]float64

	// As of the begin of the current step, see updateOrder:
	inOrder []*ledgerRow // all rows
	short   []*ledgerRow // of organisations that go short
	served  []float64    // of inOrder, in the step that is replayed
	pace    float64      // tokens of the best served organisation in a step, a moving average
	idle    float64      // how idle the engines are, from 0 to 1: see pool.idleness
}

func newLedger() ledger {
	return ledger{ring: ring{interval: shareStep, size: ledgerSteps}, rows: map[version.ID]*ledgerRow{}}
}

// advance clears the steps that have left the ledger and returns the slot of the current one.
func (l *ledger) advance(now time.Time) int {
	return l.ring.advance(now, l.clearStep)
}

func (l *ledger) clearStep(i int) {
	l.largest[i], l.idleRefusals[i] = 0, 0
	for org, r := range l.rows {
		r.requested[i], r.granted[i], r.started[i] = 0, 0, 0
		for g := range r.turned {
			r.turned[g][i] = 0
		}
		if r.requested == [ledgerSteps]float64{} {
			delete(l.rows, org)
		}
	}
}

// row returns an organisation's row, and the slot of the current step.
func (l *ledger) row(org version.ID, now time.Time) (*ledgerRow, int) {
	i := l.advance(now)
	r := l.rows[org]
	if r == nil {
		r = &ledgerRow{}
		l.rows[org] = r
	}
	return r, i
}

func (l *ledger) addRequest(org version.ID, tokens float64, now time.Time) {
	r, i := l.row(org, now)
	r.requested[i] += tokens
}

// observeSize records the size of a single request.
func (l *ledger) observeSize(tokens float64, now time.Time) {
	i := l.advance(now)
	l.largest[i] = max(l.largest[i], tokens)
}

func (l *ledger) addGrant(org version.ID, tokens float64, now time.Time) {
	r, i := l.row(org, now)
	r.granted[i] += tokens
}

func (l *ledger) addStart(org version.ID, tokens float64, now time.Time) {
	r, i := l.row(org, now)
	r.started[i] += tokens
}

// addTurned counts tokens that were turned away. They are requested already.
func (l *ledger) addTurned(org version.ID, g gate, tokens float64, now time.Time) {
	r, i := l.row(org, now)
	r.turned[g][i] += tokens
}

// addTurnedAt counts tokens that another router turned away, or may have.
func (l *ledger) addTurnedAt(org version.ID, router wire.NodeID, tokens float64, now time.Time) {
	l.addTurned(org, gateRouter, tokens, now)
	r := l.rows[org]
	if r.byRouter == nil {
		r.byRouter = map[wire.NodeID]float64{}
	}
	r.byRouter[router] += tokens
}

// addIdleRefusal counts tokens refused though their engine had nothing to read.
func (l *ledger) addIdleRefusal(tokens float64, now time.Time) {
	l.idleRefusals[l.advance(now)] += tokens
}

// refund takes back a grant in its step.
func (l *ledger) refund(org version.ID, tokens float64, grantedAt, now time.Time) {
	l.advance(now)
	age := l.ring.now - l.ring.stepOf(grantedAt)
	if r := l.rows[org]; r != nil && age >= 0 && age < ledgerSteps {
		r.granted[l.ring.slot(age)] -= tokens
	}
}

// addReplicated counts usage of the last steps that another scheduler recorded. What it granted
// counts as started.
func (l *ledger) addReplicated(org version.ID, requested, granted float64, steps int64, now time.Time) {
	r, _ := l.row(org, now)
	for age := range steps {
		i := l.ring.slot(age)
		r.requested[i] += requested / float64(steps)
		r.granted[i] += granted / float64(steps)
		r.started[i] += granted / float64(steps)
	}
}

// applySnapshot merges a step of another scheduler's window. Of each step the larger value counts.
func (l *ledger) applySnapshot(org version.ID, age int64, requested, granted float64, now time.Time) {
	r, _ := l.row(org, now)
	i := l.ring.slot(age)
	r.requested[i] = max(r.requested[i], requested)
	r.granted[i] = max(r.granted[i], granted)
	r.started[i] = max(r.started[i], granted)
}

// slack is how many tokens organisations may differ by in any case.
func (l *ledger) slack() float64 { return ledgerSlackRequests * l.largestRequest() }

func (l *ledger) largestRequest() float64 {
	largest := 0.0
	for _, tokens := range l.largest {
		largest = max(largest, tokens)
	}
	return largest
}

// unmetSteps returns for how many of the latest steps an organisation has been refused something
// in every second.
func (l *ledger) unmetSteps(r *ledgerRow) int {
	unmet, met := int64(0), int64(0)
	for age := range int64(ledgerSteps) {
		if i := l.ring.slot(age); r.requested[i] > r.granted[i] {
			unmet, met = age+1, 0
			continue
		}
		if met++; met >= stepsPerSecond {
			break
		}
	}
	return int(unmet)
}

// latest sums up the latest steps.
func (l *ledger) latest(tokens *[ledgerSteps]float64, steps int) float64 {
	sum := 0.0
	for age := range int64(steps) {
		sum += tokens[l.ring.slot(age)]
	}
	return sum
}

// FairnessReport is the least served organisation of a service that this router schedules, of
// those that were refused something in each of the last six seconds. Numbers are tokens of that
// time.
type FairnessReport struct {
	Service, Least, Best          string
	Margin                        float64 // what Least started, as a ratio of the lesser of what it requested and what Best started
	MarginOfSeconds               float64 // the same, compared with the organisation that started most in each second
	Requested, Granted, Started   int     // of Least
	BestStarted                   int
	Gate                          string // which turned most of it away
	TurnedByGate, TurnedByRouters int
	Router                        wire.NodeID // that turned most of it away itself, "" if none did
}

func (FairnessReport) output() {}

// margin is the comparison behind a FairnessReport.
type margin struct {
	least, best version.ID
	ratio       float64
}

// margin compares the organisations that were refused something in every second with the one that
// started most. It returns false if nobody has gone short by more than the slack.
func (l *ledger) margin(now time.Time) (margin, bool) {
	l.advance(now)
	out, highest := margin{ratio: math.Inf(1)}, -1.0
	for org, r := range l.rows {
		if sum := l.latest(&r.started, ledgerSteps); sum > highest || sum == highest && org < out.best {
			out.best, highest = org, sum
		}
	}
	for org, r := range l.rows {
		if org == out.best || l.unmetSteps(r) <= ledgerSteps-int(stepsPerSecond) {
			continue
		}
		due := l.due(r, l.rows[out.best])
		if ratio := l.latest(&r.started, ledgerSteps) / max(1, due); due > l.slack() && (ratio < out.ratio || ratio == out.ratio && org < out.least) {
			out.least, out.ratio = org, ratio
		}
	}
	return out, out.least != 0
}

// due returns the lesser of what one organisation requested and what another one started, second
// by second.
func (l *ledger) due(r, best *ledgerRow) float64 {
	due := 0.0
	for second := range ledgerSteps / stepsPerSecond {
		due += min(l.secondOf(&r.requested, second), l.secondOf(&best.started, second))
	}
	return due
}

// reportFairness reports on the least served organisation, if anybody goes short.
func (n *Node) reportFairness(p *pool, now time.Time) {
	l := &p.meter.ledger
	m, short := l.margin(now)
	p.margin = 1
	if short {
		p.margin = min(1, m.ratio)
		n.out = append(n.out, n.fairnessReport(p, m))
	}
	for _, r := range l.rows {
		clear(r.byRouter)
	}
}

func (n *Node) fairnessReport(p *pool, m margin) FairnessReport {
	l := &p.meter.ledger
	r := l.rows[m.least]
	out := FairnessReport{
		Service: p.service, Least: n.reports.orgNames[m.least], Best: n.reports.orgNames[m.best], Margin: m.ratio, MarginOfSeconds: l.marginOfSeconds(m.least),
		Requested: int(l.latest(&r.requested, ledgerSteps)), Granted: int(l.latest(&r.granted, ledgerSteps)), Started: int(l.latest(&r.started, ledgerSteps)),
		BestStarted:     int(l.latest(&l.rows[m.best].started, ledgerSteps)),
		TurnedByRouters: int(l.latest(&r.turned[gateRouter], ledgerSteps)),
	}
	for g := range gateCount {
		if turned := int(l.latest(&r.turned[g], ledgerSteps)); turned > out.TurnedByGate {
			out.Gate, out.TurnedByGate = g.String(), turned
		}
	}
	most := 0.0
	for id, turned := range r.byRouter {
		if turned > most || turned == most && id < out.Router {
			out.Router, most = id, turned
		}
	}
	return out
}

// LeastServedPercent returns the smallest margin, in per cent, of the services that this router
// schedules: what the least served organisation that was refused something in each of the last six
// seconds started, of what the best served one did. It is 100 while nobody goes short.
func (n *Node) LeastServedPercent(now time.Time) int {
	lowest := 1.0
	for _, p := range n.pools {
		if p.engine != nil && n.schedulerOf(p.id, now) == n.settings.ID {
			lowest = min(lowest, p.margin)
		}
	}
	return int(100 * lowest)
}
