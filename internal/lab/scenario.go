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
type Way struct {
	Name  string
	Make  func(core.Settings, time.Time) Router // nil for core nodes
	Sched sched.Options
}

// Ways returns the chosen way and its baselines.
func Ways(routers int) []Way {
	last := core.DefaultSched()
	last.Horizon, last.Credits = 0, false
	return []Way{
		{Name: "each router alone, least loaded", Make: NewAlone},
		{Name: "fixed parts of every slot", Make: NewParts(routers)},
		{Name: "scheduler, no look-ahead", Sched: last},
		{Name: "scheduler, look-ahead and credits", Sched: core.DefaultSched()},
	}
}

// Fault is what goes wrong during a scenario.
type Fault string

// The faults of the bench.
const (
	FaultNone  Fault = "none"
	FaultKill  Fault = "a router is killed, the scheduler's"
	FaultCut   Fault = "60 s cut, 5 routers from 3"
	FaultFlood Fault = "one organisation sends 100 times its share"
	FaultHints Fault = "all cost hints wrong by 10 times"
	// FaultLate is for tests alone: the router by which one organisation comes in reads
	// what it is told late, while another one floods by all.
	FaultLate Fault = "one organisation's router reads 300 ms late"
)

// Faults lists them in the order of the table.
var Faults = []Fault{FaultNone, FaultKill, FaultCut, FaultFlood, FaultHints}

// Sizes of the bench.
const (
	Routers   = 8
	engines   = 20
	slots     = 32
	backlogs  = 6
	smalls    = 10
	warmUp    = 120 * time.Second // the organisation that comes first holds every slot at the start
	measured  = 400 * time.Second
	faultAt   = 100 * time.Second
	cutFor    = 60 * time.Second
	cutFrom   = 5 // routers on the first side
	flooders  = 1600
	lateBy    = 300 * time.Millisecond
	openEach  = 300
	openSmall = 4
	slowest   = 0.7 // engines' speeds, of the usual
	fastest   = 1.3
)

// entries says by which routers each backlogged organisation enters.
var entries = [][]int{{0, 1, 2, 3, 4, 5, 6, 7}, {0}, {1, 2}, {3}, {3, 6}, {7}}

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
	Way   Way
	Fault Fault
	Unit  version.Unit
	Seed  uint64
}

// Run plays the scenario and returns its figures.
func (s Scenario) Run() Result {
	fleet := Fleet{Places: []string{"a", "b", "c", "d"}, Engines: engines, Slots: slots}
	for i := range backlogs + smalls {
		fleet.Orgs = append(fleet.Orgs, Org{Name: fmt.Sprintf("o%02d", i), Unit: s.Unit, Worth: 1, Hint: s.hint()})
	}
	w := New(fleet.Load(1), s.Seed, s.Way.Make)
	for _, u := range w.Version.Pools[w.anyPool()].Upstreams {
		w.Speed[u.ID] = slowest + (fastest-slowest)*w.Rand().Float64()
	}
	w.BootAll(Routers, fleet.Places, core.Settings{Sched: s.Way.Sched})
	w.Run(2 * time.Second)
	back := s.load(w)
	w.Run(warmUp)
	for id := range w.Bytes {
		w.Bytes[id] = 0
	}
	meter := w.Watch(back, engines*slots, s.value(w))
	w.Run(faultAt)
	s.provoke(w)
	w.Run(measured - faultAt)
	return s.result(w, meter)
}

// hint is the published hint, in tokens; the true mean is near 465.
func (s Scenario) hint() int {
	if s.Fault == FaultHints {
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

func (s Scenario) load(w *World) []*version.Organisation {
	var back []*version.Organisation
	for i, hosts := range entries {
		o := w.Version.ByName(fmt.Sprintf("o%02d", i))
		back = append(back, o)
		open := openEach
		if i == 0 {
			open = flooders
		}
		w.KeepOpen(o, "chat", open, hosts)
	}
	for i := range smalls {
		w.KeepOpen(w.Version.ByName(fmt.Sprintf("o%02d", backlogs+i)), "chat", openSmall, []int{i % Routers})
	}
	return back
}

// value counts service in the scenario's unit, in parts of the largest request.
func (s Scenario) value(w *World) func() map[version.ID]float64 {
	if s.Unit == version.UnitTokens {
		return w.Tokens
	}
	return func() map[version.ID]float64 {
		out := map[version.ID]float64{}
		for id, n := range w.Counted {
			out[id] = n
		}
		return out
	}
}

func (s Scenario) provoke(w *World) {
	switch s.Fault {
	case FaultKill:
		w.Kill(w.busiest())
	case FaultCut:
		side := map[wire.NodeID]bool{}
		for _, id := range w.Order[:cutFrom] {
			side[id] = true
		}
		w.Cut = func(a, b wire.NodeID) bool { return side[a] != side[b] }
		w.After(cutFor, func() { w.Cut = nil })
	case FaultLate:
		w.Late = map[wire.NodeID]time.Duration{w.Order[entries[1][0]]: lateBy}
	case FaultFlood:
		share := engines * slots / backlogs
		w.KeepOpen(w.Version.ByName("o00"), "chat", 100*share-flooders, entries[0])
	}
}

// busiest returns the router that sent most: the scheduler's.
func (w *World) busiest() wire.NodeID {
	best := w.Order[0]
	for _, id := range w.Order {
		if w.Bytes[id] > w.Bytes[best] {
			best = id
		}
	}
	return best
}

func (s Scenario) result(w *World, m *Meter) Result {
	r := Result{Gap: m.Gap, Utilisation: m.Utilisation(), Strays: w.Strays}
	for _, id := range w.Order {
		rate := float64(w.Bytes[id]) / measured.Seconds()
		r.Control += rate / Routers
		r.Busiest = max(r.Busiest, rate)
	}
	return r
}
