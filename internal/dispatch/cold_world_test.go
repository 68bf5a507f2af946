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

// Drawn schedules of faults while upstreams are cold: routers are killed and start again,
// single ones and whole places are cut off, from each other or from the store too; the
// scheduler goes first in half of the cases. Upstreams turn cold in one of three ways, and
// callers ask for some forty requests a second at each.
//
// What must hold is the operators' bound: in any second a cold upstream gets at most
// rate x overage + slack requests, from all routers together.

const (
	drawnRouters = 9  // each tells each other one
	drawnLarge   = 15 // they tell those that schedule, and hear these; one in six schedules
	drawnEngines = 6
	drawnFor     = 7 * time.Second
	coldAt       = 2500 * time.Millisecond // when upstreams turn cold
	coldFor      = 3 * time.Second
	downFor      = 2 * time.Second // of those that start again
)

var drawnPlaces = []string{"p", "q", "r"}

// howCold is how upstreams of the first place turn cold.
type howCold int

const (
	coldReturns  howCold = iota // the place was evacuated and is taken back; entries are written later
	coldRestarts                // they crash and start again under their IDs, with new entries
	coldDark                    // the same, but they are silent meanwhile
	coldNew                     // others have taken their places, under new IDs
	coldWays
)

// drawn is one schedule.
type drawn struct {
	*fleet
	rnd     *rand.Rand
	how     howCold
	began   time.Time
	blind   map[wire.NodeID]bool      // cut off from the store too
	group   map[wire.NodeID]int       // routers of different groups do not hear each other
	rises   map[wire.NodeID]time.Time // of those that are down
	inc     wire.Incarnation
	no      uint64
	news    []published
	learned map[wire.NodeID]int // how many of the news a router knows
	sends   []drawnSend
	fails   []drawnSend            // in order of time
	arrived map[string][]drawnSend // at cold upstreams
}

// published is a content of the store, from a time on.
type published struct {
	at        time.Time
	list      []routing.Instance
	evacuated []routing.Evacuation
}

type drawnSend struct {
	place Place
	by    wire.NodeID
	at    time.Time
}

func drawSchedule(t *testing.T, seed uint64) *drawn {
	rnd := rand.New(rand.NewPCG(seed, 7))
	d := &drawn{
		fleet:   &fleet{t: t, now: start, nodes: map[wire.NodeID]*Node{}, cut: map[wire.NodeID]bool{}, got: map[wire.NodeID]map[uint64]Output{}},
		rnd:     rnd,
		how:     howCold(rnd.IntN(int(coldWays))),
		began:   start.Add(2 * time.Second),
		blind:   map[wire.NodeID]bool{},
		group:   map[wire.NodeID]int{},
		rises:   map[wire.NodeID]time.Time{},
		learned: map[wire.NodeID]int{},
		arrived: map[string][]drawnSend{},
	}
	d.split = func(a, b wire.NodeID) bool { return d.group[a] != d.group[b] }
	d.lose = func() bool { return rnd.Float64() < 0.02 }
	d.publishNews()
	routers := drawnRouters
	if rnd.IntN(6) == 0 {
		routers = drawnLarge
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

// publishNews lays down what the store holds and when.
func (d *drawn) publishNews() {
	warm := d.engines("e", 100, 0)
	closed := []routing.Evacuation{{Place: "p", Revision: 11}}
	at := d.began.Add(coldAt)
	late := at.Add(time.Duration(d.rnd.Int64N(int64(300 * time.Millisecond))))
	d.news = []published{{start, warm, nil}}
	switch d.how {
	case coldReturns:
		d.news = append(d.news, published{d.began.Add(200 * time.Millisecond), warm, closed}, published{at, warm, nil}, published{late, d.engines("e", 100, coldFor-late.Sub(at)), nil})
	case coldRestarts, coldDark:
		d.news = append(d.news, published{late, d.engines("e", 200, coldFor-late.Sub(at)), nil})
	case coldNew:
		d.news = append(d.news, published{at, d.engines("n", 200, coldFor), nil})
	}
}

// engines lists the engines; those of the first place have names and births of their own.
func (d *drawn) engines(name string, born int64, cold time.Duration) []routing.Instance {
	list := spreadOver(instances(drawnEngines), drawnPlaces...)
	for i := range list {
		list[i].Born = 100
		if list[i].Place == "p" && list[i].Service == engines {
			list[i].ID = fmt.Sprintf("%s%d", name, i)
			list[i].Born = born
			if cold > 0 {
				list[i].ColdUntil = d.began.Add(coldAt + coldFor)
			}
		}
	}
	return list
}

func (d *drawn) boot(id wire.NodeID) {
	d.inc++
	i := slices.Index(d.order, id)
	n := New(Settings{ID: id, Inc: d.inc, Place: drawnPlaces[i%len(drawnPlaces)], Seeds: []wire.NodeID{"10.1.0.0:1", "10.1.0.1:1", "10.1.0.2:1"},
		Retry: DefaultRetryRules, Cold: coldRules, Seed: uint64(d.inc)}, d.now)
	d.nodes[id] = n
	d.learned[id] = 0
	d.got[id] = map[uint64]Output{}
}

// learn brings a router up to what the store holds, by itself or by a peer.
func (d *drawn) learn(id wire.NodeID) {
	known := 0
	for known < len(d.news) && !d.now.Before(d.news[known].at) {
		known++
	}
	if known <= d.learned[id] {
		return
	}
	d.learned[id] = known
	n := d.news[known-1]
	d.nodes[id].Step(Catalogue{Table: coldTable(d.t), Instances: n.list, Evacuated: n.evacuated, Revision: uint64(10 + known), AsOf: uint64(10 + known)}, d.now)
	d.nodes[id].Step(Sighted{}, d.now)
}

// hears reports whether a router, or one that it hears, reaches the store.
func (d *drawn) hears(id wire.NodeID) bool {
	for _, other := range d.order {
		if !d.cut[other] && !d.blind[other] && d.group[other] == d.group[id] {
			return true
		}
	}
	return false
}

// fault draws one fault.
func (d *drawn) fault() {
	switch d.rnd.IntN(5) {
	case 0: // a router is killed, and starts again
		d.kill(d.victim())
	case 1: // single routers are cut off from everything but callers and upstreams
		for range 1 + d.rnd.IntN(3) {
			id := d.victim()
			d.group[id] = 1000 + d.rnd.IntN(1000)
			d.blind[id] = true
		}
	case 2: // a place is cut off, with the store or without
		place, blind := d.rnd.IntN(3), d.rnd.IntN(2) == 0
		for i, id := range d.order {
			if i%3 == place {
				d.group[id] = 1 + place
				d.blind[id] = blind
			}
		}
	case 3: // all cuts heal
		clear(d.group)
		clear(d.blind)
	case 4: // several are killed at once
		for _, id := range d.order {
			if d.rnd.IntN(2) == 0 {
				d.kill(id)
			}
		}
	}
}

func (d *drawn) kill(id wire.NodeID) {
	d.cut[id] = true
	d.rises[id] = d.now.Add(200*time.Millisecond + time.Duration(d.rnd.Int64N(int64(1500*time.Millisecond))))
}

func (d *drawn) victim() wire.NodeID {
	if d.rnd.IntN(2) == 0 {
		for _, id := range d.order {
			if !d.cut[id] && d.nodes[id].schedulerOf(serviceID(engines), d.now) == id {
				return id
			}
		}
	}
	return d.order[d.rnd.IntN(len(d.order))]
}

// step moves the world on by a tick: news, starts, requests, sends.
func (d *drawn) step(perTick float64) {
	for _, id := range d.order {
		if at, down := d.rises[id]; down && !d.now.Before(at) {
			delete(d.rises, id)
			delete(d.cut, id)
			d.boot(id)
		}
		if !d.cut[id] && d.hears(id) && d.rnd.IntN(5) == 0 {
			d.learn(id)
		}
	}
	for n := perTick; n > 0; n-- {
		if n < 1 && d.rnd.Float64() > n {
			break
		}
		d.ask(d.order[d.rnd.IntN(len(d.order))])
	}
	d.runTick()
	d.collect()
	d.endFailed()
}

// runTick is a tick of those that run.
func (d *drawn) runTick() {
	d.now = d.now.Add(TickEvery)
	for _, id := range d.order {
		if !d.cut[id] {
			d.nodes[id].Tick(d.now)
		}
	}
	d.deliver()
}

func (d *drawn) ask(id wire.NodeID) {
	if d.cut[id] {
		return
	}
	d.no++
	d.arrive(id, d.no, engines, "a", 100)
}

// collect takes the placements, and lets requests arrive after a while.
func (d *drawn) collect() {
	for _, id := range d.order {
		got := d.got[id]
		for _, no := range slices.Sorted(maps.Keys(got)) {
			o := got[no]
			if p, placed := o.(Place); placed {
				wait := time.Duration(d.rnd.ExpFloat64() * float64(15*time.Millisecond))
				d.sends = append(d.sends, drawnSend{p, id, d.now.Add(wait)})
			}
			delete(got, no)
		}
	}
	slices.SortStableFunc(d.sends, func(a, b drawnSend) int { return a.at.Compare(b.at) })
	for len(d.sends) > 0 && !d.now.Before(d.sends[0].at) {
		s := d.sends[0]
		d.sends = d.sends[1:]
		d.send(s)
	}
}

// send is what internal/request/forward and the upstream do with a placement.
func (d *drawn) send(s drawnSend) {
	if d.cut[s.by] {
		return
	}
	n := d.nodes[s.by]
	known := published{}
	if k := d.learned[s.by]; k > 0 {
		known = d.news[k-1]
	}
	i := slices.IndexFunc(known.list, func(i routing.Instance) bool { return i.StartID() == s.place.Instance.StartID() })
	closed := slices.ContainsFunc(known.evacuated, func(e routing.Evacuation) bool { return e.Place == s.place.Instance.Place })
	if i < 0 || closed || !s.place.MaySend(known.list[i].ColdUntil, d.now) {
		n.Step(Again{ID: s.place.ID, Event: wire.NoteUnused}, d.now)
		return
	}
	since := d.now.Sub(d.began.Add(coldAt))
	isCold := s.place.Instance.Place == "p" && since >= 0 && since < coldFor
	if s.place.Look && isCold {
		n.Step(Looked{Instance: s.place.Instance, ColdFor: coldFor - since}, d.now)
		n.Step(Again{ID: s.place.ID, Event: wire.NoteUnused}, d.now)
		return
	}
	down := d.how != coldReturns && since > -downFor && since < 0
	gone := d.how == coldNew && since >= 0 && s.place.Instance.ID[0] == 'e'
	if s.place.Instance.Place == "p" && (down || gone) {
		d.fails = append(d.fails, drawnSend{s.place, s.by, d.now.Add(d.failsAfter())})
		return
	}
	if isCold {
		s.at = d.now
		d.arrived[s.place.Instance.ID] = append(d.arrived[s.place.Instance.ID], s)
	}
	n.Step(First{ID: s.place.ID, After: 20 * time.Millisecond}, d.now)
	n.Step(End{ID: s.place.ID, Event: wire.NoteDone}, d.now)
}

// failsAfter is how long an upstream that is down leaves a router waiting: it refuses
// connections at once, or is silent until the connection is given up.
func (d *drawn) failsAfter() time.Duration {
	if d.how == coldDark {
		return 400 * time.Millisecond
	}
	return TickEvery
}

// endFailed ends the requests whose upstream is down.
func (d *drawn) endFailed() {
	event := wire.NoteRefused
	if d.how == coldDark {
		event = wire.NoteFailed
	}
	for len(d.fails) > 0 && !d.now.Before(d.fails[0].at) {
		f := d.fails[0]
		d.fails = d.fails[1:]
		if !d.cut[f.by] {
			d.nodes[f.by].Step(End{ID: f.place.ID, Event: event}, d.now)
		}
	}
}

// play runs a schedule and returns what a cold upstream got in its worst second.
func (d *drawn) play(faults int) []drawnSend {
	var at []time.Time
	for range faults {
		at = append(at, d.began.Add(500*time.Millisecond+time.Duration(d.rnd.Int64N(int64(4500*time.Millisecond)))))
	}
	const perTick = 40 * drawnEngines * float64(TickEvery) / float64(time.Second)
	for d.now.Sub(d.began) < drawnFor {
		for i := range at {
			if d.now.Sub(at[i]) >= 0 && d.now.Sub(at[i]) < TickEvery {
				d.fault()
			}
		}
		d.step(perTick)
	}
	return d.worst()
}

// worst is the second in which a cold upstream got most.
func (d *drawn) worst() (most []drawnSend) {
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

// describe says who sent the requests, and who had placed them as what.
func (d *drawn) describe(sends []drawnSend) string {
	counts := map[string]int{}
	for _, s := range sends {
		after := s.at.Sub(d.began.Add(coldAt)).Truncate(250 * time.Millisecond)
		counts[fmt.Sprintf("%s by %s placed by %s cold %v look %v", after, s.by[7:], s.place.By[7:], s.place.Cold, s.place.Look)]++
	}
	out := fmt.Sprintf("from %s after they turned cold:", sends[0].at.Sub(d.began.Add(coldAt)))
	for _, k := range slices.Sorted(maps.Keys(counts)) {
		out += fmt.Sprintf("\n\t%d %s", counts[k], k)
	}
	return out
}
