package lab

import (
	"fmt"
	"time"

	"github.com/silverswitch/silverswitch/internal/core"
	"github.com/silverswitch/silverswitch/internal/core/sched"
	"github.com/silverswitch/silverswitch/internal/core/wire"
	"github.com/silverswitch/silverswitch/internal/version"
)

// Way is one way to decide where a request runs.
type Strategy struct {
	Name      string
	NewRouter func(core.Settings, time.Time) Router // nil for core nodes
	Sched     sched.Options
}

// Ways returns the chosen way and its baselines.
func Strategies(routers int) []Strategy {
	last := core.DefaultSched()
	last.Horizon, last.Credits = 0, false
	return []Strategy{
		{Name: "each router alone, least loaded", NewRouter: NewLeastLoaded},
		{Name: "fixed parts of every slot", NewRouter: NewPartitioned(routers)},
		{Name: "scheduler, no look-ahead", Sched: last},
		{Name: "scheduler, look-ahead and credits", Sched: core.DefaultSched()},
	}
}

// Fault is what goes wrong during a scenario.
type Fault string

// The faults of the bench.
const (
	FaultNone       Fault = "none"
	FaultKill       Fault = "a router is killed, the scheduler's"
	FaultPartition  Fault = "60 s cut, 5 routers from 3"
	FaultFlood      Fault = "one organisation sends 100 times its share"
	FaultWrongHints Fault = "all cost hints wrong by 10 times"
	// FaultDelayedReads is for tests alone: the router by which one organisation comes in reads
	// what it is told late, while another one floods by all.
	FaultDelayedReads Fault = "one organisation's router reads 300 ms late"
)

// Faults lists them in the order of the table.
var Faults = []Fault{FaultNone, FaultKill, FaultPartition, FaultFlood, FaultWrongHints}

// Sizes of the bench.
const (
	Routers           = 8
	engines           = 20
	slots             = 32
	backloggedOrgs    = 6
	smallOrgs         = 10
	warmUpDuration    = 120 * time.Second // the organisation that comes first holds every slot at the start
	measureDuration   = 400 * time.Second
	faultDelay        = 100 * time.Second
	partitionDuration = 60 * time.Second
	partitionSize     = 5 // routers on the first side
	firstOrgOpen      = 1600
	readDelay         = 300 * time.Millisecond
	backloggedOrgOpen = 300
	smallOrgOpen      = 4
	minSpeed          = 0.7 // engines' speeds, of the usual
	maxSpeed          = 1.3
)

// entries says by which routers each backlogged organisation enters.
var entryRouters = [][]int{{0, 1, 2, 3, 4, 5, 6, 7}, {0}, {1, 2}, {3}, {3, 6}, {7}}

// Result is one run's figures.
type Result struct {
	Gap         float64 // largest, in largest requests
	Utilisation float64
	Control     float64 // bytes/s a router
	Busiest     float64 // bytes/s of the router that sent most
	Strays      int
}

// Scenario is one run of the bench.
type Scenario struct {
	Strategy Strategy
	Fault    Fault
	Unit     version.Unit
	Seed     uint64
}

// Run plays the scenario and returns its figures.
func (s Scenario) Run() Result {
	fleet := Fleet{Places: []string{"a", "b", "c", "d"}, Engines: engines, Slots: slots}
	for i := range backloggedOrgs + smallOrgs {
		fleet.Orgs = append(fleet.Orgs, Org{Name: fmt.Sprintf("o%02d", i), Unit: s.Unit, Worth: 1, Hint: s.hintTokens()})
	}
	w := New(fleet.Load(1), s.Seed, s.Strategy.NewRouter)
	for _, u := range w.Version.Pools[w.anyPool()].Upstreams {
		w.Speed[u.ID] = minSpeed + (maxSpeed-minSpeed)*w.Rand().Float64()
	}
	w.BootAll(Routers, fleet.Places, core.Settings{Sched: s.Strategy.Sched})
	w.Run(2 * time.Second)
	back := s.openRequests(w)
	w.Run(warmUpDuration)
	for id := range w.SentBytes {
		w.SentBytes[id] = 0
	}
	meter := w.StartMeter(back, engines*slots, s.serviceFunc(w))
	w.Run(faultDelay)
	s.injectFault(w)
	w.Run(measureDuration - faultDelay)
	return s.result(w, meter)
}

// hint is the published hint, in tokens; the true mean is near 465.
func (s Scenario) hintTokens() int {
	if s.Fault == FaultWrongHints {
		return 4650
	}
	return 465
}

func (w *World) anyPool() version.ID {
	for id := range w.Version.Pools {
		return id
	}
	return 0
}

// BootAll starts a number of routers over the places in turn.
func (w *World) BootAll(n int, places []string, opt core.Settings) {
	for i := range n {
		w.Peers = append(w.Peers, wire.NodeID(fmt.Sprintf("10.0.0.%d:7100", i+1)))
	}
	for i, id := range w.Peers {
		h := w.Boot(id, places[i%len(places)], opt)
		w.Step(h, core.Roster{Routers: w.Peers})
	}
}

func (s Scenario) openRequests(w *World) []*version.Organisation {
	var back []*version.Organisation
	for i, hosts := range entryRouters {
		o := w.Version.ByName(fmt.Sprintf("o%02d", i))
		back = append(back, o)
		open := backloggedOrgOpen
		if i == 0 {
			open = firstOrgOpen
		}
		w.KeepOpen(o, "chat", open, hosts)
	}
	for i := range smallOrgs {
		w.KeepOpen(w.Version.ByName(fmt.Sprintf("o%02d", backloggedOrgs+i)), "chat", smallOrgOpen, []int{i % Routers})
	}
	return back
}

// value counts service in the scenario's unit, in parts of the largest request.
func (s Scenario) serviceFunc(w *World) func() map[version.ID]float64 {
	if s.Unit == version.UnitTokens {
		return w.TokenService
	}
	return func() map[version.ID]float64 {
		out := map[version.ID]float64{}
		for id, n := range w.AnsweredRequests {
			out[id] = n
		}
		return out
	}
}

func (s Scenario) injectFault(w *World) {
	switch s.Fault {
	case FaultKill:
		w.Kill(w.busiest())
	case FaultPartition:
		side := map[wire.NodeID]bool{}
		for _, id := range w.Order[:partitionSize] {
			side[id] = true
		}
		w.Partitioned = func(a, b wire.NodeID) bool { return side[a] != side[b] }
		w.After(partitionDuration, func() { w.Partitioned = nil })
	case FaultDelayedReads:
		w.ReadDelay = map[wire.NodeID]time.Duration{w.Order[entryRouters[1][0]]: readDelay}
	case FaultFlood:
		share := engines * slots / backloggedOrgs
		w.KeepOpen(w.Version.ByName("o00"), "chat", 100*share-firstOrgOpen, entryRouters[0])
	}
}

// busiest returns the router that sent most: the scheduler's.
func (w *World) busiest() wire.NodeID {
	best := w.Order[0]
	for _, id := range w.Order {
		if w.SentBytes[id] > w.SentBytes[best] {
			best = id
		}
	}
	return best
}

func (s Scenario) result(w *World, m *Meter) Result {
	r := Result{Gap: m.Gap, Utilisation: m.Utilisation(), Strays: w.Strays}
	for _, id := range w.Order {
		rate := float64(w.SentBytes[id]) / measureDuration.Seconds()
		r.Control += rate / Routers
		r.Busiest = max(r.Busiest, rate)
	}
	return r
}
