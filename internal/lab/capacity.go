package lab

import (
	"fmt"
	"runtime"
	"syscall"
	"time"

	"github.com/silverswitch/silverswitch/internal/core"
	"github.com/silverswitch/silverswitch/internal/version"
)

// Size is one point of a capacity slope.
type Size struct {
	Nodes      int
	Engines    int
	Orgs       int
	Backlogged int     // of the organisations
	PerNode    float64 // requests/s that enter by one node, of those not backlogged
	Seconds    int     // measured
}

// Cost is what one node spent on control at a size.
type Cost struct {
	Size
	Sent      float64 // bytes/s, mean over nodes
	Busiest   float64 // bytes/s of the node that sent most
	Datagrams float64 // sent a second, mean
	Requests  float64 // started a second, whole fleet
	CPU       float64 // of one core, mean, with encoding and the lab, without sealing and system calls
	HeapMB    float64 // mean, the version not counted
	Running   int
	Waiting   int
}

// The shape of the planned fleet.
const (
	plannedPlaces      = 11
	plannedRegions     = 4
	plannedModels      = 14
	plannedSlots       = 40
	modelsPerOrg       = 3 // models an organisation calls
	backlogFactor      = 3 // requests a backlogged organisation keeps open, over its part
	settleDuration     = 90 * time.Second
	meanRequestSeconds = 35.2 // seconds, at the mean size
)

// Measure plays a fleet of the size and returns what a node spends.
func (s Size) Measure() Cost {
	f := Fleet{Engines: s.Engines, Slots: plannedSlots, Regions: plannedRegions, Models: plannedModels}
	for i := range plannedPlaces {
		f.Places = append(f.Places, fmt.Sprintf("p%02d", i))
	}
	for i := range s.Orgs {
		// Places i and i+4 are of one region: an organisation stays in it.
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

// load opens the callers of every organisation.
func (s Size) openRequests(w *World) {
	rate := s.PerNode * float64(s.Nodes) / float64(max(1, s.Orgs-s.Backlogged))
	part := s.Engines * plannedSlots / max(1, s.Orgs)
	for i := range s.Orgs {
		o := w.Version.ByName(fmt.Sprintf("o%03d", i))
		hosts := w.hostsOf(o)
		if len(hosts) == 0 {
			continue
		}
		for m := range modelsPerOrg {
			app := ChatApplication((i + m) % plannedModels)
			if i < s.Backlogged {
				w.KeepOpen(o, app, backlogFactor*part/modelsPerOrg+1, hosts)
			} else if rate > 0 {
				w.arrivals(o, app, rate/modelsPerOrg, hosts)
			}
		}
	}
}

func (w *World) hostsOf(o *version.Organisation) []int {
	var out []int
	for i, id := range w.Order {
		if o.Allows(w.Hosts[id].Place) {
			out = append(out, i)
		}
	}
	return out
}

// arrivals is an open loop of callers with exponential gaps.
func (w *World) arrivals(o *version.Organisation, app string, rate float64, hosts []int) {
	gap := time.Duration(w.rnd.ExpFloat64() / rate * float64(time.Second))
	w.After(gap, func() {
		w.Submit(w.Hosts[w.Order[hosts[w.rnd.IntN(len(hosts))]]], o, app, w.AnswerTokens(), callerTimeout, nil, nil)
		w.arrivals(o, app, rate, hosts)
	})
}

func (s Size) measure(w *World) Cost {
	sent, started := w.Sent, w.Started
	for id := range w.SentBytes {
		w.SentBytes[id] = 0
	}
	cpu := cpuTime()
	w.Run(time.Duration(s.Seconds) * time.Second)
	cpu = cpuTime() - cpu
	per := float64(s.Nodes) * float64(s.Seconds)
	c := Cost{Size: s, CPU: cpu.Seconds() / per, Datagrams: float64(w.Sent-sent) / per, Requests: float64(w.Started-started) / float64(s.Seconds)}
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

func cpuTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		panic(err) // fails only for a wrong argument
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
