package lab

import (
	"fmt"
	"runtime"
	"syscall"
	"time"

	"github.com/silverswitch/silverswitch/internal/core"
	"github.com/silverswitch/silverswitch/internal/version"
)

// Size is the size of a simulated fleet and its load, one point of a capacity slope.
type Size struct {
	Nodes      int
	Engines    int
	Orgs       int
	Backlogged int     // number of organisations that are backlogged
	PerNode    float64 // requests/s received by one node from organisations that are not backlogged
	Seconds    int     // duration of the measurement
}

// Cost holds what a node spent on control at a size.
type Cost struct {
	Size
	Sent      float64 // control bytes/s, mean over nodes
	Busiest   float64 // control bytes/s of the node that sent most
	Datagrams float64 // sent per second, mean over nodes
	Requests  float64 // started per second in the whole fleet
	CPU       float64 // of one core, mean over nodes; includes encoding and the simulation, but no encryption or system calls
	HeapMB    float64 // mean over nodes; all nodes share one version in memory
	Running   int
	Waiting   int
}

// The dimensions of the planned fleet.
const (
	plannedPlaces      = 11
	plannedRegions     = 4
	plannedModels      = 14
	plannedSlots       = 40
	modelsPerOrg       = 3 // models that an organisation calls
	backlogFactor      = 3 // ratio of a backlogged organisation's open requests to its share of slots
	settleDuration     = 90 * time.Second
	meanRequestSeconds = 35.2 // of a request of mean size
)

// Measure simulates a fleet of the size and returns what a node spends.
func (s Size) Measure() Cost {
	f := Fleet{Engines: s.Engines, Slots: plannedSlots, Regions: plannedRegions, Models: plannedModels}
	for i := range plannedPlaces {
		f.Places = append(f.Places, fmt.Sprintf("p%02d", i))
	}
	for i := range s.Orgs {
		// Places i and i+4 are in the same region, to which the organisation is restricted.
		f.Orgs = append(f.Orgs, Org{Name: fmt.Sprintf("o%03d", i), Places: []string{f.Places[i%7], f.Places[i%7+plannedRegions]}})
	}
	w := New(f.Load(1), 1, nil)
	w.progressInterval = time.Second
	w.BootAll(s.Nodes, f.Places, core.Settings{Sched: core.DefaultSched()})
	w.Run(10 * time.Second)
	s.openRequests(w)
	w.Run(settleDuration)
	return s.measure(w)
}

// openRequests starts the callers of all organisations.
func (s Size) openRequests(w *World) {
	rate := s.PerNode * float64(s.Nodes) / float64(max(1, s.Orgs-s.Backlogged))
	orgSlots := s.Engines * plannedSlots / max(1, s.Orgs)
	for i := range s.Orgs {
		o := w.Version.ByName(fmt.Sprintf("o%03d", i))
		hosts := w.hostsOf(o)
		if len(hosts) == 0 {
			continue
		}
		for m := range modelsPerOrg {
			app := ChatApplication((i + m) % plannedModels)
			if i < s.Backlogged {
				w.KeepOpen(o, app, backlogFactor*orgSlots/modelsPerOrg+1, hosts)
			} else if rate > 0 {
				w.arrivals(o, app, rate/modelsPerOrg, hosts)
			}
		}
	}
}

// hostsOf returns the indices of the hosts in the places allowed to an organisation.
func (w *World) hostsOf(o *version.Organisation) []int {
	var out []int
	for i, id := range w.Order {
		if o.Allows(w.Hosts[id].Place) {
			out = append(out, i)
		}
	}
	return out
}

// arrivals submits requests in an open loop, at exponentially distributed intervals.
func (w *World) arrivals(o *version.Organisation, app string, rate float64, hosts []int) {
	gap := time.Duration(w.rnd.ExpFloat64() / rate * float64(time.Second))
	w.After(gap, func() {
		w.Submit(w.Hosts[w.Order[hosts[w.rnd.IntN(len(hosts))]]], o, app, w.AnswerTokens(), callerTimeout, nil, nil)
		w.arrivals(o, app, rate, hosts)
	})
}

// measure runs the world for the measured time and returns the cost per node.
func (s Size) measure(w *World) Cost {
	sent, started := w.Sent, w.Started
	for id := range w.SentBytes {
		w.SentBytes[id] = 0
	}
	cpu := cpuTime()
	w.Run(time.Duration(s.Seconds) * time.Second)
	cpu = cpuTime() - cpu
	nodeSeconds := float64(s.Nodes) * float64(s.Seconds)
	c := Cost{Size: s, CPU: cpu.Seconds() / nodeSeconds, Datagrams: float64(w.Sent-sent) / nodeSeconds, Requests: float64(w.Started-started) / float64(s.Seconds)}
	for _, id := range w.Order {
		rate := float64(w.SentBytes[id]) / float64(s.Seconds)
		c.Sent += rate / float64(s.Nodes)
		c.Busiest = max(c.Busiest, rate)
		v := w.Hosts[id].Router.(*core.Node).View(w.Now)
		c.Running += v.Running
		c.Waiting += v.Waiting
	}
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	c.HeapMB = float64(m.HeapAlloc) / 1e6 / float64(s.Nodes)
	runtime.KeepAlive(w)
	return c
}

// cpuTime returns the CPU time of this process.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		panic(err) // fails only for an invalid argument
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
