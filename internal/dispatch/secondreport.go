package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/silverswitch/silverswitch/internal/version"
)

// SecondReport is what one organisation requested, was granted and started in one whole second at a
// service that this router schedules, and what was turned away by gate, in tokens. Callers compare
// organisations by whole seconds.
type SecondReport struct {
	Service, Org                string
	Second                      time.Time // its begin
	Requested, Granted, Started int
	Turned                      [gateCount]int // see GateNames
}

func (SecondReport) output() {}

// GateNames returns the names of the gates in SecondReport.Turned, in order.
func GateNames() [gateCount]string {
	var out [gateCount]string
	for g := range gateCount {
		out[g] = g.String()
	}
	return out
}

const (
	// secondReportDelay is how long after its end a second is reported: routers report starts and
	// local decisions late.
	secondReportDelay = time.Second
	// maxSecondReports bounds the organisations reported for one second, those with the largest
	// demand first.
	maxSecondReports = 8
)

// reportSeconds reports the whole seconds that have ended since the last report.
func (n *Node) reportSeconds(p *pool, now time.Time) {
	l := &p.meter.ledger
	l.advance(now)
	last := now.Add(-secondReportDelay).Truncate(time.Second)
	first := last.Add(-time.Second)
	if p.secondsReported.Equal(first.Add(-time.Second)) {
		first = p.secondsReported // a second ended between two reports without one of its own
	}
	for at := first; at.Before(last) && !at.Before(p.secondsReported); at = at.Add(time.Second) {
		p.secondsReported = at.Add(time.Second)
		n.reportSecond(p, at)
	}
}

func (n *Node) reportSecond(p *pool, begin time.Time) {
	l := &p.meter.ledger
	oldest := l.ring.now - l.ring.stepOf(begin)
	sum := func(tokens *[ledgerSteps]float64) int {
		total := 0.0
		for step := range stepsPerSecond {
			if age := oldest - step; age >= 0 && age < ledgerSteps {
				total += tokens[l.ring.slot(age)]
			}
		}
		return int(total)
	}
	var list []SecondReport
	for org, r := range l.rows {
		s := SecondReport{Service: p.service, Org: n.reports.orgNames[org], Second: begin, Requested: sum(&r.requested), Granted: sum(&r.granted), Started: sum(&r.started)}
		for g := range gateCount {
			s.Turned[g] = sum(&r.turned[g])
		}
		if s.Requested > 0 {
			list = append(list, s)
		}
	}
	slices.SortFunc(list, func(a, b SecondReport) int {
		return cmp.Or(cmp.Compare(b.Requested, a.Requested), cmp.Compare(a.Org, b.Org))
	})
	for _, s := range list[:min(maxSecondReports, len(list))] {
		n.out = append(n.out, s)
	}
}

// marginOfSeconds returns what an organisation started as a ratio of the lesser of what it requested
// and what the organisation with the most starts of each second started, second by second.
func (l *ledger) marginOfSeconds(org version.ID) float64 {
	due := 0.0
	r := l.rows[org]
	for second := range ledgerSteps / stepsPerSecond {
		best := 0.0
		for _, other := range l.rows {
			best = max(best, l.secondOf(&other.started, second))
		}
		due += min(l.secondOf(&r.requested, second), best)
	}
	return l.latest(&r.started, ledgerSteps) / max(1, due)
}

// secondOf returns the sum of the steps of a second, counted back from now.
func (l *ledger) secondOf(tokens *[ledgerSteps]float64, second int64) float64 {
	sum := 0.0
	for step := range stepsPerSecond {
		sum += tokens[l.ring.slot(second*stepsPerSecond+step)]
	}
	return sum
}
