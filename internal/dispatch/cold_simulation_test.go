package dispatch

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/silverswitch/silverswitch/internal/core/wire"
	"github.com/silverswitch/silverswitch/internal/routing"
)

// Random schedules of faults while upstreams are cold: routers are killed and restarted, single
// routers and whole places are cut off from each other, or from the store as well; in half of the
// cases the fault hits the scheduler. Upstreams turn cold by one of the causes of coldCause, and
// callers send some forty requests a second for each.
//
// The operators' limit must hold: in any second a cold upstream gets at most
// rate x overage + slack requests, from all routers together.

const (
	coldSimRouters      = 9  // a full mesh of heartbeats
	coldSimRoutersLarge = 15 // heartbeats go to scheduler groups; one in six schedules has this size
	coldSimEngines      = 6
	coldSimDuration     = 7 * time.Second
	coldSimColdAt       = 2500 * time.Millisecond // when upstreams turn cold
	coldSimColdFor      = 3 * time.Second
	coldSimDownFor      = 2 * time.Second // of upstreams that restart
)

var coldSimPlaces = []string{"p", "q", "r"}

// coldCause says how upstreams of the first place turn cold.
type coldCause int

const (
	causePlaceReturned coldCause = iota // the place was evacuated and is returned; entries are written later
	causeRestart                        // they crash and restart under their IDs, with new entries
	causeSilentRestart                  // the same, but instead of refusing connections they are silent meanwhile
	causeReplaced                       // they are replaced by others, under new IDs
	coldCauses
)

// coldSimulation runs one random schedule.
type coldSimulation struct {
	*fleet
	rnd           *rand.Rand
	cause         coldCause
	began         time.Time
	storeCut      map[wire.NodeID]bool      // routers that cannot reach the store
	group         map[wire.NodeID]int       // routers of different groups cannot reach each other
	restartAt     map[wire.NodeID]time.Time // of routers that are down
	inc           wire.Incarnation
	no            uint64
	contents      []storeContent
	knownContents map[wire.NodeID]int // how many of the contents a router knows
	sends         []simulatedSend
	failing       []simulatedSend            // sorted by time
	arrived       map[string][]simulatedSend // at cold upstreams
}

// storeContent is the content of the store from a time on.
type storeContent struct {
	at        time.Time
	list      []routing.Instance
	evacuated []routing.Evacuation
}

type simulatedSend struct {
	place Placement
	by    wire.NodeID
	at    time.Time
}

func newColdSimulation(t *testing.T, seed uint64) *coldSimulation {
	rnd := rand.New(rand.NewPCG(seed, 7))
	d := &coldSimulation{
		fleet:         &fleet{t: t, now: start, nodes: map[wire.NodeID]*Node{}, cut: map[wire.NodeID]bool{}, got: map[wire.NodeID]map[uint64]Output{}},
		rnd:           rnd,
		cause:         coldCause(rnd.IntN(int(coldCauses))),
		began:         start.Add(2 * time.Second),
		storeCut:      map[wire.NodeID]bool{},
		group:         map[wire.NodeID]int{},
		restartAt:     map[wire.NodeID]time.Time{},
		knownContents: map[wire.NodeID]int{},
		arrived:       map[string][]simulatedSend{},
	}
	d.partitioned = func(a, b wire.NodeID) bool { return d.group[a] != d.group[b] }
	d.lose = func() bool { return rnd.Float64() < 0.02 }
	d.planContents()
	routers := coldSimRouters
	if rnd.IntN(6) == 0 {
		routers = coldSimRoutersLarge
	}
	for i := range routers {
		id := wire.NodeID(fmt.Sprintf("10.1.0.%d:1", i))
		d.order = append(d.order, id)
		d.boot(id)
		d.learn(id)
	}
	d.fleet.run(2 * time.Second)
	return d
}

// planContents plans the contents of the store and their times.
func (d *coldSimulation) planContents() {
	warm := d.engines("e", 100, 0)
	closed := []routing.Evacuation{{Place: "p", Revision: 11}}
	at := d.began.Add(coldSimColdAt)
	late := at.Add(time.Duration(d.rnd.Int64N(int64(300 * time.Millisecond))))
	d.contents = []storeContent{{start, warm, nil}}
	switch d.cause {
	case causePlaceReturned:
		d.contents = append(d.contents, storeContent{d.began.Add(200 * time.Millisecond), warm, closed}, storeContent{at, warm, nil}, storeContent{late, d.engines("e", 100, coldSimColdFor-late.Sub(at)), nil})
	case causeRestart, causeSilentRestart:
		d.contents = append(d.contents, storeContent{late, d.engines("e", 200, coldSimColdFor-late.Sub(at)), nil})
	case causeReplaced:
		d.contents = append(d.contents, storeContent{at, d.engines("n", 200, coldSimColdFor), nil})
	}
}

// engines returns the engines; those of the first place have the given name and birth.
func (d *coldSimulation) engines(name string, born int64, cold time.Duration) []routing.Instance {
	list := spreadOverPlaces(instances(coldSimEngines), coldSimPlaces...)
	for i := range list {
		list[i].Born = 100
		if list[i].Place == "p" && list[i].Service == engines {
			list[i].ID = fmt.Sprintf("%s%d", name, i)
			list[i].Born = born
			if cold > 0 {
				list[i].ColdUntil = d.began.Add(coldSimColdAt + coldSimColdFor)
			}
		}
	}
	return list
}

func (d *coldSimulation) boot(id wire.NodeID) {
	d.inc++
	i := slices.Index(d.order, id)
	n := New(Settings{ID: id, Inc: d.inc, Place: coldSimPlaces[i%len(coldSimPlaces)], Seeds: []wire.NodeID{"10.1.0.0:1", "10.1.0.1:1", "10.1.0.2:1"},
		Retry: DefaultRetryRules, Cold: coldRules, Seed: uint64(d.inc)}, d.now)
	d.nodes[id] = n
	d.knownContents[id] = 0
	d.got[id] = map[uint64]Output{}
}

// learn gives a router the store's current content, read by itself or by a peer.
func (d *coldSimulation) learn(id wire.NodeID) {
	known := 0
	for known < len(d.contents) && !d.now.Before(d.contents[known].at) {
		known++
	}
	if known <= d.knownContents[id] {
		return
	}
	d.knownContents[id] = known
	n := d.contents[known-1]
	d.nodes[id].Step(Catalogue{Table: coldTable(d.t), Instances: n.list, Evacuated: n.evacuated, Revision: uint64(10 + known), AsOf: uint64(10 + known)}, d.now)
	d.nodes[id].Step(StoreRead{}, d.now)
}

// reachesStore reports whether a router, or one that it can reach, reaches the store.
func (d *coldSimulation) reachesStore(id wire.NodeID) bool {
	for _, other := range d.order {
		if !d.cut[other] && !d.storeCut[other] && d.group[other] == d.group[id] {
			return true
		}
	}
	return false
}

// injectFault injects a random fault.
func (d *coldSimulation) injectFault() {
	switch d.rnd.IntN(5) {
	case 0: // a router is killed, and restarts
		d.kill(d.victim())
	case 1: // single routers are cut off from everything but callers and upstreams
		for range 1 + d.rnd.IntN(3) {
			id := d.victim()
			d.group[id] = 1000 + d.rnd.IntN(1000)
			d.storeCut[id] = true
		}
	case 2: // a place is cut off, with or without the store
		place, storeCut := d.rnd.IntN(3), d.rnd.IntN(2) == 0
		for i, id := range d.order {
			if i%3 == place {
				d.group[id] = 1 + place
				d.storeCut[id] = storeCut
			}
		}
	case 3: // all cuts end
		clear(d.group)
		clear(d.storeCut)
	case 4: // several are killed at once
		for _, id := range d.order {
			if d.rnd.IntN(2) == 0 {
				d.kill(id)
			}
		}
	}
}

func (d *coldSimulation) kill(id wire.NodeID) {
	d.cut[id] = true
	d.restartAt[id] = d.now.Add(200*time.Millisecond + time.Duration(d.rnd.Int64N(int64(1500*time.Millisecond))))
}

func (d *coldSimulation) victim() wire.NodeID {
	if d.rnd.IntN(2) == 0 {
		for _, id := range d.order {
			if !d.cut[id] && d.nodes[id].schedulerOf(serviceID(engines), d.now) == id {
				return id
			}
		}
	}
	return d.order[d.rnd.IntN(len(d.order))]
}

// step advances the simulation by a tick: store contents, restarts, requests, sends.
func (d *coldSimulation) step(perTick float64) {
	for _, id := range d.order {
		if at, down := d.restartAt[id]; down && !d.now.Before(at) {
			delete(d.restartAt, id)
			delete(d.cut, id)
			d.boot(id)
		}
		if !d.cut[id] && d.reachesStore(id) && d.rnd.IntN(5) == 0 {
			d.learn(id)
		}
	}
	for n := perTick; n > 0; n-- {
		if n < 1 && d.rnd.Float64() > n {
			break
		}
		d.sendRequest(d.order[d.rnd.IntN(len(d.order))])
	}
	d.runTick()
	d.collect()
	d.endFailed()
}

// runTick advances the running routers by a tick.
func (d *coldSimulation) runTick() {
	d.now = d.now.Add(TickInterval)
	for _, id := range d.order {
		if !d.cut[id] {
			d.nodes[id].Tick(d.now)
		}
	}
	d.deliver()
}

func (d *coldSimulation) sendRequest(id wire.NodeID) {
	if d.cut[id] {
		return
	}
	d.no++
	d.arrive(id, d.no, engines, "a", 100)
}

// collect collects the placements, and sends requests after a random delay.
func (d *coldSimulation) collect() {
	for _, id := range d.order {
		got := d.got[id]
		for _, no := range slices.Sorted(maps.Keys(got)) {
			o := got[no]
			if p, placed := o.(Placement); placed {
				wait := time.Duration(d.rnd.ExpFloat64() * float64(15*time.Millisecond))
				d.sends = append(d.sends, simulatedSend{p, id, d.now.Add(wait)})
			}
			delete(got, no)
		}
	}
	slices.SortStableFunc(d.sends, func(a, b simulatedSend) int { return a.at.Compare(b.at) })
	for len(d.sends) > 0 && !d.now.Before(d.sends[0].at) {
		s := d.sends[0]
		d.sends = d.sends[1:]
		d.send(s)
	}
}

// send acts on a placement like internal/request/forward and the upstream.
func (d *coldSimulation) send(s simulatedSend) {
	if d.cut[s.by] {
		return
	}
	n := d.nodes[s.by]
	known := storeContent{}
	if k := d.knownContents[s.by]; k > 0 {
		known = d.contents[k-1]
	}
	i := slices.IndexFunc(known.list, func(i routing.Instance) bool { return i.StartID() == s.place.Instance.StartID() })
	closed := slices.ContainsFunc(known.evacuated, func(e routing.Evacuation) bool { return e.Place == s.place.Instance.Place })
	if i < 0 || closed || !s.place.MaySend(known.list[i].ColdUntil, d.now) {
		n.Step(PlaceAgain{ID: s.place.ID, Event: wire.ProgressUnused}, d.now)
		return
	}
	since := d.now.Sub(d.began.Add(coldSimColdAt))
	isCold := s.place.Instance.Place == "p" && since >= 0 && since < coldSimColdFor
	if s.place.CheckHealth && isCold {
		n.Step(HealthCheckFailed{Instance: s.place.Instance, ColdFor: coldSimColdFor - since}, d.now)
		n.Step(PlaceAgain{ID: s.place.ID, Event: wire.ProgressUnused}, d.now)
		return
	}
	down := d.cause != causePlaceReturned && since > -coldSimDownFor && since < 0
	gone := d.cause == causeReplaced && since >= 0 && s.place.Instance.ID[0] == 'e'
	if s.place.Instance.Place == "p" && (down || gone) {
		d.failing = append(d.failing, simulatedSend{s.place, s.by, d.now.Add(d.failsAfter())})
		return
	}
	if isCold {
		s.at = d.now
		d.arrived[s.place.Instance.ID] = append(d.arrived[s.place.Instance.ID], s)
	}
	n.Step(FirstEvent{ID: s.place.ID, After: 20 * time.Millisecond}, d.now)
	n.Step(End{ID: s.place.ID, Event: wire.ProgressDone}, d.now)
}

// failsAfter returns how long a router waits for an upstream that is down: the upstream refuses
// connections at once, or is silent until the router gives the connection up.
func (d *coldSimulation) failsAfter() time.Duration {
	if d.cause == causeSilentRestart {
		return 400 * time.Millisecond
	}
	return TickInterval
}

// endFailed ends the requests whose upstream is down.
func (d *coldSimulation) endFailed() {
	event := wire.ProgressRefused
	if d.cause == causeSilentRestart {
		event = wire.ProgressFailed
	}
	for len(d.failing) > 0 && !d.now.Before(d.failing[0].at) {
		f := d.failing[0]
		d.failing = d.failing[1:]
		if !d.cut[f.by] {
			d.nodes[f.by].Step(End{ID: f.place.ID, Event: event}, d.now)
		}
	}
}

// simulate runs a schedule and returns the requests of the busiest second of a cold upstream.
func (d *coldSimulation) simulate(faults int) []simulatedSend {
	var at []time.Time
	for range faults {
		at = append(at, d.began.Add(500*time.Millisecond+time.Duration(d.rnd.Int64N(int64(4500*time.Millisecond)))))
	}
	const perTick = 40 * coldSimEngines * float64(TickInterval) / float64(time.Second)
	for d.now.Sub(d.began) < coldSimDuration {
		for i := range at {
			if d.now.Sub(at[i]) >= 0 && d.now.Sub(at[i]) < TickInterval {
				d.injectFault()
			}
		}
		d.step(perTick)
	}
	return d.worst()
}

// worst returns the requests of the second in which a cold upstream got the most.
func (d *coldSimulation) worst() (most []simulatedSend) {
	for _, list := range d.arrived {
		from := 0
		for i := range list {
			for list[i].at.Sub(list[from].at) >= time.Second {
				from++
			}
			if i-from+1 > len(most) {
				most = list[from : i+1]
			}
		}
	}
	return most
}

// describe says which routers sent the requests, and how they were placed by whom.
func (d *coldSimulation) describe(sends []simulatedSend) string {
	counts := map[string]int{}
	for _, s := range sends {
		after := s.at.Sub(d.began.Add(coldSimColdAt)).Truncate(250 * time.Millisecond)
		counts[fmt.Sprintf("%s by %s placed by %s cold %v look %v", after, s.by[7:], s.place.By[7:], s.place.Cold, s.place.CheckHealth)]++
	}
	out := fmt.Sprintf("from %s after they turned cold:", sends[0].at.Sub(d.began.Add(coldSimColdAt)))
	for _, k := range slices.Sorted(maps.Keys(counts)) {
		out += fmt.Sprintf("\n\t%d %s", counts[k], k)
	}
	return out
}
