package lab

import (
	"fmt"
	"time"

	"github.com/silverswitch/silverswitch/internal/core"
	"github.com/silverswitch/silverswitch/internal/core/sched"
	"github.com/silverswitch/silverswitch/internal/core/wire"
	"github.com/silverswitch/silverswitch/internal/version"
)

// Strategy is a way of deciding where and when requests run.
type Strategy struct {
	Name      string
	NewRouter func(core.Settings, time.Time) Router // nil for core nodes
	Sched     sched.Options
}

// Strategies returns the baselines and, last, the strategy that routers use.
func Strategies(routers int) []Strategy {
	noLookAhead := core.DefaultSched()
	noLookAhead.Horizon, noLookAhead.Credits = 0, false
	return []Strategy{
		{Name: "each router alone, least loaded", NewRouter: NewLeastLoaded},
		{Name: "fixed parts of every slot", NewRouter: NewPartitioned(routers)},
		{Name: "scheduler, no look-ahead", Sched: noLookAhead},
		{Name: "scheduler, look-ahead and credits", Sched: core.DefaultSched()},
	}
}

// Fault is a fault that is injected during a scenario.
type Fault string

// The faults of the bench.
const (
	FaultNone       Fault = "none"
	FaultKill       Fault = "a router is killed, the scheduler's"
	FaultPartition  Fault = "60 s cut, 5 routers from 3"
	FaultFlood      Fault = "one organisation sends 100 times its share"
	FaultWrongHints Fault = "all cost hints wrong by 10 times"
	// FaultDelayedReads is for tests only: the router that receives one organisation's requests
	// reads its datagrams late, while another organisation floods all routers.
	FaultDelayedReads Fault = "one organisation's router reads 300 ms late"
)

// Faults lists the faults of the bench in the order of its table.
var Faults = []Fault{FaultNone, FaultKill, FaultPartition, FaultFlood, FaultWrongHints}

// Sizes and durations of the bench.
const (
	Routers           = 8
	engines           = 20
	slots             = 32
	backloggedOrgs    = 6                 // organisations that always have waiting requests
	smallOrgs         = 10                // organisations with few requests
	warmUpDuration    = 120 * time.Second // until the first organisation no longer holds every slot, as it does at the start
	measureDuration   = 400 * time.Second
	faultDelay        = 100 * time.Second
	partitionDuration = 60 * time.Second
	partitionSize     = 5    // number of routers on the first side of the partition
	firstOrgOpen      = 1600 // open requests of the first backlogged organisation
	readDelay         = 300 * time.Millisecond
	backloggedOrgOpen = 300 // open requests of each other backlogged organisation
	smallOrgOpen      = 4   // open requests of each small organisation
	minSpeed          = 0.7 // of engines, relative to the normal speed
	maxSpeed          = 1.3
)

// entryRouters lists, for each backlogged organisation, the routers that receive its
// requests.
var entryRouters = [][]int{{0, 1, 2, 3, 4, 5, 6, 7}, {0}, {1, 2}, {3}, {3, 6}, {7}}

// Result holds the measurements of a run.
type Result struct {
	Gap         float64 // largest gap between backlogged organisations, in largest requests
	Utilisation float64 // ratio of used slots to all slots
	Control     float64 // control bytes/s sent by a router, mean
	Busiest     float64 // control bytes/s of the router that sent most
	Strays      int     // starts outside the allowed places
}

// Scenario describes a run of the bench.
type Scenario struct {
	Strategy Strategy
	Fault    Fault
	Unit     version.Unit
	Seed     uint64
}

// Run simulates the scenario and returns its measurements.
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
	backlogged := s.openRequests(w)
	w.Run(warmUpDuration)
	for id := range w.SentBytes {
		w.SentBytes[id] = 0
	}
	meter := w.StartMeter(backlogged, engines*slots, s.serviceFunc(w))
	w.Run(faultDelay)
	s.injectFault(w)
	w.Run(measureDuration - faultDelay)
	return s.result(w, meter)
}

// hintTokens returns the published cost hint. The true mean is near 465 tokens.
func (s Scenario) hintTokens() int {
	if s.Fault == FaultWrongHints {
		return 4650
	}
	return 465
}

// anyPool returns one of the pools; the bench has a single one.
func (w *World) anyPool() version.ID {
	for id := range w.Version.Pools {
		return id
	}
	return 0
}

// BootAll starts n routers, assigned to the places in turn, that know each other.
func (w *World) BootAll(n int, places []string, opt core.Settings) {
	for i := range n {
		w.Peers = append(w.Peers, wire.NodeID(fmt.Sprintf("10.0.0.%d:7100", i+1)))
	}
	for i, id := range w.Peers {
		h := w.Boot(id, places[i%len(places)], opt)
		w.Step(h, core.Roster{Routers: w.Peers})
	}
}

// openRequests starts the callers of all organisations and returns the backlogged ones.
func (s Scenario) openRequests(w *World) []*version.Organisation {
	var backlogged []*version.Organisation
	for i, hosts := range entryRouters {
		o := w.Version.ByName(fmt.Sprintf("o%02d", i))
		backlogged = append(backlogged, o)
		open := backloggedOrgOpen
		if i == 0 {
			open = firstOrgOpen
		}
		w.KeepOpen(o, "chat", open, hosts)
	}
	for i := range smallOrgs {
		w.KeepOpen(w.Version.ByName(fmt.Sprintf("o%02d", backloggedOrgs+i)), "chat", smallOrgOpen, []int{i % Routers})
	}
	return backlogged
}

// serviceFunc returns a function that returns each organisation's service in the scenario's
// unit: answered requests, or tokens as a multiple of the largest request.
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

// injectFault starts the scenario's fault.
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

// busiest returns the router that sent most control bytes: the scheduler.
func (w *World) busiest() wire.NodeID {
	best := w.Order[0]
	for _, id := range w.Order {
		if w.SentBytes[id] > w.SentBytes[best] {
			best = id
		}
	}
	return best
}

// result returns the measurements since the counters were reset.
func (s Scenario) result(w *World, m *Meter) Result {
	r := Result{Gap: m.Gap, Utilisation: m.Utilisation(), Strays: w.Strays}
	for _, id := range w.Order {
		rate := float64(w.SentBytes[id]) / measureDuration.Seconds()
		r.Control += rate / Routers
		r.Busiest = max(r.Busiest, rate)
	}
	return r
}
