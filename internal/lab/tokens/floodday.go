package tokens

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/silverswitch/silverswitch/internal/core/wire"
	"github.com/silverswitch/silverswitch/internal/dispatch"
)

// A day of floods: a few organisations ask for several times the capacity, one after the other and
// at once. Floods begin, end, begin again and overlap; some arrive through a single small router
// that they starve of CPU. Meanwhile routers lose power, the scheduler among them, and engines
// crash.

// FloodDay selects the parts of a day of floods.
type FloodDay struct {
	SmallRouters   bool    // half of the floods arrive through a small router each
	LostRouters    int     // routers that lose power between two floods, the scheduler first
	CrashedEngines float64 // fraction of the engines that crash between two floods
	Cores          float64 // CPU of a small router, 0 for smallRouterCores
	Crowded        bool    // small routers are crowded: see crowdedrouter.go
	Unbounded      bool    // crowded routers let in calls however many have no decision
}

// flood is a time in which an organisation sends a multiple of its normal load.
type flood struct {
	org        int
	begin, end time.Duration // from the first request on
	factor     float64
	router     wire.NodeID // through which it arrives, "" for all
}

const (
	// floodDayDuration is how long callers send on a day of floods.
	floodDayDuration = 30 * time.Second
	// floodDaySkew is the exponent by which the loads of organisations fall with their rank: the
	// largest one sends more than all others.
	floodDaySkew = 2.0
	// minFloodDemand and maxFloodDemand bound what a flood asks for, as multiples of the stated
	// capacity.
	minFloodDemand, maxFloodDemand = 1.5, 5.0

	smallRouterCores = 0.192
	// What a small router spends on a request, in milliseconds of a core: to refuse it by its
	// header, to read its body and ask for a placement, and to run it.
	shedCostMS  = 0.08
	askCostMS   = 0.32
	serveCostMS = 0.4
	// From fullCPUUse on, in a period of smallRouterPeriod, a small router is short of CPU and refuses
	// a larger fraction of all requests; below calmCPUUse a smaller one.
	smallRouterPeriod = 100 * time.Millisecond
	fullCPUUse        = 0.92
	calmCPUUse        = 0.8
	shedStep          = 0.08
	shedDecay         = 0.75
	maxShedFraction   = 0.9
	minShedFraction   = 0.02
	// overloadHold is how long after it was short of CPU a small router admits what shares cover.
	overloadHold = 2 * time.Second
	// maxUnreadTime is how long a call waits unread at a small router until its caller leaves.
	maxUnreadTime = time.Second
	// longUnreadTime is how long calls wait unread where a small router is short of CPU.
	longUnreadTime = 100 * time.Millisecond
)

// floodDay is the state of a run of a day of floods.
type floodDay struct {
	floods            []flood
	lostAt, crashedAt time.Duration
	lost, crashed     bool
	small             map[wire.NodeID]*smallRouter
	crowded           map[wire.NodeID]*crowdedRouter
	rnd               *rand.Rand
}

// smallRouter is a router with a fraction of a core. Requests that are placed go before calls that
// wait to be read.
type smallRouter struct {
	cores       float64
	budgetMS    float64 // of a core, that it may use now
	usedMS      float64 // in the current period
	unread      []*call
	unreadSince []time.Time
	placed      []func()
	shed        float64 // fraction of calls that it refuses
	shortUntil  time.Time
	periodEnds  time.Time
	admitRatios map[string]float64
	shedTokens  map[string]float64
}

// drawFloods draws the floods of a day. The order of their times is that of operators' days of high
// load; organisations, sizes and routers differ by seed.
func (w *world) drawFloods() {
	d := &w.floodDay
	d.rnd = rand.New(rand.NewPCG(w.Seed, 11))
	d.small, d.crowded = map[wire.NodeID]*smallRouter{}, map[wire.NodeID]*crowdedRouter{}
	second := func(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
	between := func(a, b float64) float64 { return a + d.rnd.Float64()*(b-a) }
	add := func(org int, at, length float64) {
		f := flood{org: org, begin: second(at), end: second(at + length), factor: between(minFloodDemand, maxFloodDemand)}
		if w.FloodDay.SmallRouters && len(d.floods)%2 == int(w.Seed%2) {
			f.router = w.smallRouterOf(len(d.floods) / 2)
		}
		d.floods = append(d.floods, f)
	}
	orgs := d.rnd.Perm(10)
	first, second2, third, fourth := 4+orgs[0], 2+orgs[1]%2, 1, 4+orgs[2]
	add(first, 3.5, between(7.5, 8.5))
	add(second2, 9.5, between(6, 10))
	add(third, 10, between(8, 11))
	add(fourth, between(12.8, 13.5), between(5, 8))
	add(first, between(18, 20), between(5, 7)) // begins again
	if w.Duration >= longDayDuration {
		for _, f := range d.floods {
			f.begin, f.end = f.begin+floodDayDuration, f.end+floodDayDuration
			d.floods = append(d.floods, f)
		}
	}
	d.lostAt, d.crashedAt = second(between(10, 17)), second(between(10, 18))
}

// smallRouterOf returns the router through which a flood arrives.
func (w *world) smallRouterOf(i int) wire.NodeID {
	id := w.order[len(w.order)-1-i]
	if w.floodDay.small[id] != nil || w.floodDay.crowded[id] != nil {
		return id
	}
	cores := w.FloodDay.Cores
	if cores == 0 {
		cores = smallRouterCores
	}
	s := smallRouter{cores: cores, admitRatios: map[string]float64{}, shedTokens: map[string]float64{}}
	if w.FloodDay.Crowded {
		w.floodDay.crowded[id] = &crowdedRouter{smallRouter: s, undecided: map[uint64]bool{}}
	} else {
		w.floodDay.small[id] = &s
	}
	return id
}

// floodDayLoad returns the load of an organisation as a ratio of the normal total load.
func (w *world) floodDayLoad(org int) float64 {
	total := 0.0
	for i := range orgWeights {
		total += 1 / math.Pow(float64(i+1), floodDaySkew)
	}
	load := 1 / math.Pow(float64(org+1), floodDaySkew) / total
	for _, f := range w.floodDay.floods {
		if f.org == org && w.since() >= f.begin && w.since() < f.end {
			load = max(load, f.factor*capacity/w.normalTokens())
		}
	}
	return load
}

// normalTokens returns the tokens a second of the normal load, as shares count them.
func (w *world) normalTokens() float64 {
	sum := 0.0
	for _, c := range w.classes() {
		sum += c.perSecond * w.LoadFactor * dispatch.Cost(c.baseTokens+c.extensionTokens+int(c.meanPromptTokens), int(c.meanOutputTokens))
	}
	return sum
}

// since returns the time since the first request.
func (w *world) since() time.Duration { return w.now.Sub(startTime.Add(warmUpDuration)) }

// floodRouter returns the small router through which an organisation's calls arrive now.
func (w *world) floodRouter(org int) (wire.NodeID, bool) {
	for _, f := range w.floodDay.floods {
		if f.org == org && f.router != "" && w.since() >= f.begin && w.since() < f.end+2*time.Second {
			return f.router, w.nodes[f.router] != nil
		}
	}
	return "", false
}

// tickFloodDay loses routers and engines, and updates the small routers.
func (w *world) tickFloodDay() {
	if w.FloodDay == nil {
		return
	}
	d, o := &w.floodDay, &w.overlap
	if !d.lost && w.since() >= d.lostAt {
		d.lost = true
		w.loseRouters(w.FloodDay.LostRouters)
	}
	if !o.restartAt.IsZero() && !w.now.Before(o.restartAt) {
		o.restartAt = time.Time{}
		w.restartRouters()
	}
	if !d.crashed && w.since() >= d.crashedAt {
		d.crashed = true
		w.crashEngines(w.FloodDay.CrashedEngines)
	}
	for _, id := range w.order {
		if s := d.small[id]; s != nil {
			w.runSmallRouter(s)
			w.endSmallRouterPeriod(id, s, len(s.unread) > 0 && w.now.Sub(s.unreadSince[0]) > longUnreadTime)
		}
		if s := d.crowded[id]; s != nil {
			s.run()
			w.endSmallRouterPeriod(id, &s.smallRouter, len(s.queue) > 0 && w.now.Sub(s.readSince) > longUnreadTime)
		}
	}
}

// runSmallRouter does what a small router has CPU for in this millisecond.
func (w *world) runSmallRouter(s *smallRouter) {
	s.budgetMS = min(s.budgetMS+s.cores, s.cores*float64(smallRouterPeriod.Milliseconds()))
	for s.budgetMS > 0 && len(s.placed) > 0 {
		s.spend(serveCostMS)
		s.placed[0]()
		s.placed = s.placed[1:]
	}
	for s.budgetMS > 0 && len(s.unread) > 0 {
		c := s.unread[0]
		s.unread, s.unreadSince = s.unread[1:], s.unreadSince[1:]
		w.readAtSmallRouter(s, c)
	}
	for len(s.unread) > 0 && w.now.Sub(s.unreadSince[0]) > maxUnreadTime {
		w.retryRefused(dispatch.Refuse{ID: s.unread[0].req.ID, After: shedRetryAfter})
		s.unread, s.unreadSince = s.unread[1:], s.unreadSince[1:]
	}
}

func (s *smallRouter) spend(costMS float64) {
	s.usedMS += costMS
	s.budgetMS -= costMS
}

// readAtSmallRouter reads a call at a small router: it is refused, or its placement is requested.
func (w *world) readAtSmallRouter(s *smallRouter, c *call) {
	ratio := 1 - s.shed // what shares do not cover is part of what is shed
	if covered, limited := s.admitRatios[c.req.Org]; limited {
		ratio = min(ratio, covered)
	}
	if w.retryRnd.Float64() >= ratio {
		s.spend(shedCostMS)
		s.shedTokens[c.req.Org] += dispatch.Cost(c.req.Input, c.req.Output)
		w.retryRefused(dispatch.Refuse{ID: c.req.ID, After: shedRetryAfter})
		return
	}
	s.spend(askCostMS)
	if n := w.nodes[c.router]; n != nil {
		n.Step(dispatch.Arrive{Request: c.req}, w.now)
	}
}

// endSmallRouterPeriod updates at the end of a period what a small router sheds, as load shedding
// does; waits says that calls wait unread.
func (w *world) endSmallRouterPeriod(id wire.NodeID, s *smallRouter, waits bool) {
	if w.now.Before(s.periodEnds) {
		return
	}
	use := s.usedMS / s.cores / float64(smallRouterPeriod.Milliseconds())
	s.usedMS, s.periodEnds = 0, w.now.Add(smallRouterPeriod)
	switch {
	case use >= fullCPUUse || waits:
		s.shed = min(maxShedFraction, s.shed+shedStep)
		s.shortUntil = w.now.Add(overloadHold)
	case use < calmCPUUse:
		if s.shed *= shedDecay; s.shed < minShedFraction {
			s.shed = 0
		}
	}
	n := w.nodes[id]
	if n == nil {
		return
	}
	n.Step(dispatch.CPUOverload{On: s.shed > 0, Shedding: s.shed > 0}, w.now)
	clear(s.admitRatios)
	if w.now.Before(s.shortUntil) {
		for _, c := range n.ShareCoverage(w.now) {
			s.admitRatios[c.Org] = c.Ratio
		}
	}
	var work []dispatch.ShedWork
	for i := range orgWeights {
		if tokens := s.shedTokens[orgName(i)]; tokens > 0 {
			work = append(work, dispatch.ShedWork{Service: serviceName, Org: orgName(i), Tokens: tokens})
		}
	}
	clear(s.shedTokens)
	if len(work) > 0 {
		n.Step(dispatch.LoadShed{Work: work}, w.now)
	}
}

// arriveAtSmallRouter leaves a call unread at a small router. It returns false for other routers.
func (w *world) arriveAtSmallRouter(c *call) bool {
	s := w.floodDay.small[c.router]
	if s == nil {
		return false
	}
	s.unread, s.unreadSince = append(s.unread, c), append(s.unreadSince, w.now)
	return true
}

// longDayDuration is how long callers send on a long day: its floods come twice.
const longDayDuration = 60 * time.Second

// long returns a day whose floods come once more, thirty seconds later.
func long(s Scenario) Scenario {
	s.Duration = longDayDuration
	return s
}

// FloodDays returns the days of floods that ways to decide are compared on, by name.
func FloodDays(seed uint64) map[string]Scenario {
	day := func(d FloodDay) Scenario {
		return Scenario{Seed: seed, Duration: floodDayDuration, LoadFactor: 1, Routers: 24, FloodFactor: 1, FloodDay: &d}
	}
	return map[string]Scenario{
		"all routers":      day(FloodDay{}),
		"small routers":    day(FloodDay{SmallRouters: true}),
		"starved routers":  day(FloodDay{SmallRouters: true, Cores: 0.08}),
		"lost":             day(FloodDay{SmallRouters: true, LostRouters: 4, CrashedEngines: 0.25}),
		"crowded routers":  day(FloodDay{SmallRouters: true, Crowded: true}),
		"crowded, starved": day(FloodDay{SmallRouters: true, Crowded: true, Cores: 0.08}),
		"crowded, lost":    day(FloodDay{SmallRouters: true, Crowded: true, LostRouters: 4, CrashedEngines: 0.25}),
		"crowded, long":    long(day(FloodDay{SmallRouters: true, Crowded: true, Cores: 0.13})),
	}
}
