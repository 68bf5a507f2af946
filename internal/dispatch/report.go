package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/silverswitch/silverswitch/internal/version"
)

// Reports say once a second what this router's decisions rest on, for the log: how the
// organisations stand to each other, what is believed of the engines, and what was
// decided without the scheduler. They change nothing.

const (
	reportEvery = time.Second
	// mostReported bounds the organisations in one report, from either end.
	mostReported = 3
)

// ShareReport is how one organisation stands at a service that this router schedules,
// in tokens of the window in which shares are counted.
type ShareReport struct {
	Service, Org             string
	Asked, Got, Begun, Share int
	AskingSeconds            int  // the latest, one after the other, in which it asked for more than it got
	Waits                    bool // others that have had much more are held back for it
}

// EngineReport is what this router believes of the engines in use of a service that it
// schedules: the parts of the wait at the least busy engine and at the median one.
type EngineReport struct {
	Service       string
	Engines       int // in use
	All           int
	Least, Median WaitParts
	BusyPercent   int // of the engines' time that is taken by reading that was placed lately
}

// WaitParts is the expected wait at one engine.
type WaitParts struct {
	WaitMS    int // until a further prompt would be read
	OverdueMS int // of that, since its first event was expected
	StatedMS  int // of that, what routers state beyond what was placed here
	Unread    int // prompts placed here without a first event
	Slow      float64
}

// AloneReport is what this router decided without the scheduler for one organisation.
type AloneReport struct {
	Service, Org    string
	Placed, Refused int // requests
	PlacedTokens    int
	TurnedTokens    int    // refused at the door
	Share           uint32 // hundredths of its share that it has had, by the scheduler's last word
	ShareAgeMS      int    // of that word, -1 when there is none
	LetInPercent    int    // of what comes in here, by the door while this router is short of processor
}

func (ShareReport) output()  {}
func (EngineReport) output() {}
func (AloneReport) output()  {}

// alone counts decisions without the scheduler between two reports.
type alone struct {
	placed, refused int
	tokens, turned  float64
}

// reports is the state of the reports.
type reports struct {
	due   time.Time
	alone map[orgAt]alone
	names map[version.ID]string // of the organisations of the table
}

func newReports() reports { return reports{alone: map[orgAt]alone{}, names: map[version.ID]string{}} }

// setNames keeps the names behind the organisations' IDs.
func (r *reports) setNames(c Catalogue) {
	clear(r.names)
	for _, o := range c.Table.Organisations() {
		r.names[version.IDOf(o.Name)] = o.Name
	}
}

func (r *reports) countAlone(k orgAt, tokens float64, placed bool) {
	a := r.alone[k]
	if placed {
		a.placed++
		a.tokens += tokens
	} else {
		a.refused++
	}
	r.alone[k] = a
}

func (r *reports) countTurned(k orgAt, tokens float64) {
	a := r.alone[k]
	a.turned += tokens
	r.alone[k] = a
}

// tickReports writes the reports when they are due.
func (n *Node) tickReports(now time.Time) {
	if now.Before(n.reports.due) {
		return
	}
	n.reports.due = now.Add(reportEvery)
	n.reportAlone(now)
	for _, p := range n.pools {
		if p.engine == nil || n.schedulerOf(p.id, now) != n.set.ID {
			continue
		}
		n.reportShares(p, now)
		n.reportEngines(p, now)
	}
}

func (n *Node) reportAlone(now time.Time) {
	var keys []orgAt
	for k := range n.reports.alone {
		keys = append(keys, k)
	}
	size := func(k orgAt) float64 { a := n.reports.alone[k]; return a.tokens + a.turned + float64(a.refused) }
	slices.SortFunc(keys, func(a, b orgAt) int {
		return cmp.Or(cmp.Compare(size(b), size(a)), cmp.Compare(a.service, b.service), cmp.Compare(a.org, b.org))
	})
	for _, k := range keys[:min(mostReported, len(keys))] {
		p := n.pools[k.service]
		if p == nil {
			continue
		}
		a, w := n.reports.alone[k], n.words.heard[k]
		age := -1
		if !w.at.IsZero() {
			age = int(now.Sub(w.at).Milliseconds())
		}
		n.out = append(n.out, AloneReport{Service: p.service, Org: n.reports.names[k.org], Placed: a.placed, Refused: a.refused,
			PlacedTokens: int(a.tokens), TurnedTokens: int(a.turned), Share: w.SharePercent, ShareAgeMS: age, LetInPercent: int(100 * min(1, n.coveredHere(p, k.org, now)))})
	}
	clear(n.reports.alone)
}

// reportShares tells of the organisations that asked for more than they got: those that
// are furthest over their shares and those that are furthest under them.
func (n *Node) reportShares(p *pool, now time.Time) {
	p.meter.refresh(now)
	var orgs []version.ID
	for id, u := range p.meter.orgs {
		if total(&u.asked) > p.meter.shares[id] {
			orgs = append(orgs, id)
		}
	}
	slices.SortFunc(orgs, func(a, b version.ID) int {
		return cmp.Or(cmp.Compare(p.meter.over(b, now), p.meter.over(a, now)), cmp.Compare(a, b))
	})
	for i, id := range orgs {
		if i >= mostReported && i < len(orgs)-mostReported {
			continue
		}
		u := p.meter.orgs[id]
		n.out = append(n.out, ShareReport{Service: p.service, Org: n.reports.names[id], Asked: int(total(&u.asked)), Got: int(total(&u.got)), Begun: int(total(&u.begun)),
			Share: int(p.meter.shares[id]), AskingSeconds: p.meter.askingSeconds(u), Waits: p.meter.wants(id, u)})
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
	n.out = append(n.out, EngineReport{Service: p.service, Engines: len(all), Least: all[0], Median: all[len(all)/2], BusyPercent: int(100 * p.busy.part(p.open(now), now)), All: len(p.order)})
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
