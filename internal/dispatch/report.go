package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/silverswitch/silverswitch/internal/version"
)

// Reports log the inputs of this router's decisions once a second: the use of shares by
// organisations, the model of the engines, and the local decisions. They have no effect on
// decisions.

const (
	reportInterval = time.Second
	// maxReportedOrgs limits the organisations in one report, at either end of the order.
	maxReportedOrgs = 3
)

// ShareReport is one organisation's use of its share at a service that this router
// schedules, in tokens of the window in which shares are counted.
type ShareReport struct {
	Service, Org                       string
	Requested, Granted, Started, Share int
	UnmetSeconds                       int  // latest consecutive seconds in which it requested more than it was granted
	Arrears                            int  // what was due to it and was not served
	Waits                              bool // it was refused something lately: others that are ahead of it wait
}

// EngineReport is what this router expects of the engines in use of a service that it
// schedules: the components of the wait at the least busy and at the median engine.
type EngineReport struct {
	Service       string
	Engines       int // in use
	All           int
	Least, Median WaitParts
	BusyPercent   int // of the engines' time, taken up by recently placed reading
	// IdleRefused is the tokens refused in the last second though the engine that they would have
	// gone to had nothing to read.
	IdleRefused int
}

// WaitParts is the expected wait at one engine and its components.
type WaitParts struct {
	WaitMS    int // until a further prompt would be read
	OverdueMS int // of that, since its first event was due
	StatedMS  int // of that, load stated by routers beyond what was placed here
	Unread    int // prompts placed here without a first event
	Slow      float64
}

// LocalDecisionReport counts this router's local decisions for one organisation.
type LocalDecisionReport struct {
	Service, Org    string
	Placed, Refused int // requests
	PlacedTokens    int
	ShedTokens      int    // refused by load shedding
	Share           uint32 // percentage of its share that it has used, by the scheduler's latest update
	ShareAgeMS      int    // age of that update, -1 without one
	AdmittedPercent int    // of the requests that arrive here, by load shedding while this router is short of CPU
}

func (ShareReport) output()         {}
func (EngineReport) output()        {}
func (LocalDecisionReport) output() {}

// localDecisions counts local decisions between two reports.
type localDecisions struct {
	placed, refused int
	tokens, shed    float64
}

// reports is the state of periodic reporting.
type reports struct {
	due            time.Time
	localDecisions map[serviceOrg]localDecisions
	orgNames       map[version.ID]string // of the organisations in the routing table
}

func newReports() reports {
	return reports{localDecisions: map[serviceOrg]localDecisions{}, orgNames: map[version.ID]string{}}
}

// setNames keeps the names of the organisations by ID.
func (r *reports) setNames(c Catalogue) {
	clear(r.orgNames)
	for _, o := range c.Table.Organisations() {
		r.orgNames[version.IDOf(o.Name)] = o.Name
	}
}

func (r *reports) addDecision(k serviceOrg, tokens float64, placed bool) {
	a := r.localDecisions[k]
	if placed {
		a.placed++
		a.tokens += tokens
	} else {
		a.refused++
	}
	r.localDecisions[k] = a
}

func (r *reports) addShed(k serviceOrg, tokens float64) {
	a := r.localDecisions[k]
	a.shed += tokens
	r.localDecisions[k] = a
}

// tickReports outputs the reports that are due.
func (n *Node) tickReports(now time.Time) {
	if now.Before(n.reports.due) {
		return
	}
	n.reports.due = now.Add(reportInterval)
	n.reportLocalDecisions(now)
	for _, p := range n.pools {
		if p.engine == nil || n.schedulerOf(p.id, now) != n.settings.ID {
			continue
		}
		n.reportShares(p, now)
		n.reportFairness(p, now)
		n.reportSeconds(p, now)
		n.reportEngines(p, now)
	}
}

func (n *Node) reportLocalDecisions(now time.Time) {
	var keys []serviceOrg
	for k := range n.reports.localDecisions {
		keys = append(keys, k)
	}
	size := func(k serviceOrg) float64 {
		a := n.reports.localDecisions[k]
		return a.tokens + a.shed + float64(a.refused)
	}
	slices.SortFunc(keys, func(a, b serviceOrg) int {
		return cmp.Or(cmp.Compare(size(b), size(a)), cmp.Compare(a.service, b.service), cmp.Compare(a.org, b.org))
	})
	for _, k := range keys[:min(maxReportedOrgs, len(keys))] {
		p := n.pools[k.service]
		if p == nil {
			continue
		}
		a, w := n.reports.localDecisions[k], n.shareUpdates.received[k]
		age := -1
		if !w.at.IsZero() {
			age = int(now.Sub(w.at).Milliseconds())
		}
		n.out = append(n.out, LocalDecisionReport{Service: p.service, Org: n.reports.orgNames[k.org], Placed: a.placed, Refused: a.refused,
			PlacedTokens: int(a.tokens), ShedTokens: int(a.shed), Share: w.SharePercent, ShareAgeMS: age, AdmittedPercent: int(100 * min(1, n.localCoverage(p, k.org, now)))})
	}
	clear(n.reports.localDecisions)
}

// reportShares reports on organisations that requested more than their shares: those
// furthest over their shares and those furthest below them.
func (n *Node) reportShares(p *pool, now time.Time) {
	p.meter.updateShares(now)
	var orgs []version.ID
	for id, u := range p.meter.orgs {
		if windowTotal(&u.requested) > p.meter.shares[id] {
			orgs = append(orgs, id)
		}
	}
	slices.SortFunc(orgs, func(a, b version.ID) int {
		return cmp.Or(cmp.Compare(p.meter.usedShare(b, now), p.meter.usedShare(a, now)), cmp.Compare(a, b))
	})
	for i, id := range orgs {
		if i >= maxReportedOrgs && i < len(orgs)-maxReportedOrgs {
			continue
		}
		u := p.meter.orgs[id]
		n.out = append(n.out, ShareReport{Service: p.service, Org: n.reports.orgNames[id], Requested: int(windowTotal(&u.requested)), Granted: int(windowTotal(&u.got)), Started: int(windowTotal(&u.started)),
			Share: int(p.meter.shares[id]), UnmetSeconds: p.meter.ledger.unmetSteps(p.meter.ledger.rows[id]) / int(stepsPerSecond), Arrears: int(p.meter.ledger.rows[id].arrears), Waits: p.meter.ledger.rows[id].short})
	}
}

func (n *Node) reportEngines(p *pool, now time.Time) {
	var all []WaitParts
	for _, u := range p.inUse() {
		if u.cache != nil && !u.inst.Draining {
			all = append(all, p.waitParts(u, now))
		}
	}
	if len(all) == 0 {
		return
	}
	slices.SortFunc(all, func(a, b WaitParts) int { return cmp.Compare(a.WaitMS, b.WaitMS) })
	n.out = append(n.out, EngineReport{Service: p.service, Engines: len(all), Least: all[0], Median: all[len(all)/2], BusyPercent: int(100 * p.busy.ratio(p.open(now), now)), All: len(p.order), IdleRefused: int(p.meter.ledger.latest(&p.meter.ledger.idleRefusals, int(stepsPerSecond)))})
}

func (p *pool) waitParts(u *upstream, now time.Time) WaitParts {
	m := p.learner.Model()
	return WaitParts{
		WaitMS:    int(u.backlog(m, now)),
		OverdueMS: int(u.queue.Overdue(m, now)),
		StatedMS:  int(u.stated(m, now)),
		Unread:    u.queue.Len(),
		Slow:      u.queue.Slow(m, now),
	}
}
