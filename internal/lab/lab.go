// Package lab drives many core nodes in one process with time by argument: links
// that drop, delay, duplicate and cut, engines of a few lines, and organisations. It
// is shared by the tests of the decisions and by the bench.
package lab

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"github.com/silverswitch/silverswitch/internal/core"
	"github.com/silverswitch/silverswitch/internal/core/claim"
	"github.com/silverswitch/silverswitch/internal/core/entry"
	"github.com/silverswitch/silverswitch/internal/core/wire"
	"github.com/silverswitch/silverswitch/internal/version"
)

// Router is a core node, or a baseline in its place.
type Router interface {
	Step(core.Input, time.Time)
	Tick(time.Time)
	Ready(time.Time) []core.Output
}

// Link is how datagrams travel.
type Link struct {
	Delay  time.Duration
	Jitter time.Duration
	Drop   float64
	Dup    float64
}

// Host is one router in the lab.
type Host struct {
	ID      wire.NodeID
	Place   string
	Router  Router
	Up      bool
	Frozen  bool
	Since   time.Time
	jobs    map[uint64]*Job
	nextID  uint64
	held    []func() // what waits for a frozen host
	onDeath []func()
}

// World is the lab's state.
type World struct {
	Now       time.Time
	Version   *version.Version
	Hosts     map[wire.NodeID]*Host
	Order     []wire.NodeID
	Link      Link
	Cut       func(a, b wire.NodeID) bool
	Late      map[wire.NodeID]time.Duration // how long datagrams lie unread at a host
	TokenIn   time.Duration                 // between tokens
	First     time.Duration
	Bytes     map[wire.NodeID]int64 // control bytes sent, with AEAD, UDP and IP headers
	Sent      int64
	Started   int64
	Served    map[version.ID]float64 // tokens generated
	Counted   map[version.ID]float64 // answered requests
	Running   map[version.ID]int     // at each upstream
	Strays    int                    // starts outside the places allowed
	NoStart   version.ID             // an upstream that may get nothing new
	Forbidden int                    // starts there
	Events    map[string]int
	Peers     []wire.NodeID // seeds of new hosts
	Make      func(core.Settings, time.Time) Router

	Speed map[version.ID]float64 // of an upstream, 1 where not set

	progressPeriod time.Duration
	rnd            *rand.Rand
	queue          events
	full           map[version.ID][]*Job // waiting inside an upstream whose slots are taken
	seq            int
	jobs           map[*Job]bool
}

// overhead is what sealing, UDP and IPv4 add to an encoded datagram.
const overhead = 28 + 28

const progressEvery = 200 * time.Millisecond

// New returns a world at a fixed time whose nodes are made by mk, or core nodes.
func New(v *version.Version, seed uint64, mk func(core.Settings, time.Time) Router) *World {
	if mk == nil {
		mk = func(s core.Settings, now time.Time) Router { return core.New(s, now) }
	}
	return &World{
		Now: time.Unix(1_800_000_000, 0), Version: v, Make: mk,
		Hosts: map[wire.NodeID]*Host{}, Link: Link{Delay: time.Millisecond, Jitter: time.Millisecond},
		TokenIn: 75 * time.Millisecond, First: 300 * time.Millisecond,
		Bytes: map[wire.NodeID]int64{}, Served: map[version.ID]float64{}, Counted: map[version.ID]float64{},
		Running: map[version.ID]int{}, Events: map[string]int{},
		progressPeriod: progressEvery, Speed: map[version.ID]float64{}, full: map[version.ID][]*Job{},
		rnd: rand.New(rand.NewPCG(seed, 1)), jobs: map[*Job]bool{},
	}
}

// Rand returns the world's random numbers.
func (w *World) Rand() *rand.Rand { return w.rnd }

// Boot starts a host, empty, or again after a kill.
func (w *World) Boot(id wire.NodeID, place string, opt core.Settings) *Host {
	opt.ID, opt.Place, opt.Inc = id, place, wire.IncarnationAt(w.Now)
	opt.Seeds, opt.Seed = w.Peers, w.rnd.Uint64()
	h := &Host{ID: id, Place: place, Up: true, Since: w.Now, jobs: map[uint64]*Job{}}
	h.Router = w.Make(opt, w.Now)
	if w.Hosts[id] == nil {
		w.Order = append(w.Order, id)
	}
	w.Hosts[id] = h
	if w.Version != nil {
		h.Router.Step(core.NewVersion{Version: w.Version}, w.Now)
	}
	w.every(h, core.TickInterval, func() { h.Router.Tick(w.Now) })
	w.every(h, w.progressPeriod, func() { w.progress(h) })
	return h
}

// Kill ends a host at once; its running requests end at the upstreams.
func (w *World) Kill(id wire.NodeID) {
	h := w.Hosts[id]
	h.Up = false
	for _, j := range h.jobs {
		w.stop(j)
	}
	for _, f := range h.onDeath {
		w.After(again, f)
	}
	h.onDeath = nil
}

// Freeze stops a host's time until Thaw; what arrives meanwhile waits.
func (w *World) Freeze(id wire.NodeID) { w.Hosts[id].Frozen = true }

// Thaw lets a frozen host go on with all that arrived meanwhile.
func (w *World) Thaw(id wire.NodeID) {
	h := w.Hosts[id]
	h.Frozen = false
	held := h.held
	h.held = nil
	for _, f := range held {
		f()
	}
	w.act(h)
}

// every repeats f on a host while it lives.
func (w *World) every(h *Host, d time.Duration, f func()) {
	w.After(d, func() {
		if !h.Up {
			return
		}
		if !h.Frozen {
			f()
			w.act(h)
		}
		w.every(h, d, f)
	})
}

// Step gives a host an input and carries out what follows.
func (w *World) Step(h *Host, in core.Input) {
	w.on(h, func() { h.Router.Step(in, w.Now) })
}

func (w *World) on(h *Host, f func()) {
	if !h.Up {
		return
	}
	if h.Frozen {
		h.held = append(h.held, f)
		return
	}
	f()
	w.act(h)
}

// Submit brings a request to a host. done is called at its end, if it has one.
func (w *World) Submit(h *Host, o *version.Organisation, app string, tokens int, timeout time.Duration, key *claim.Key, done func(*Job)) *Job {
	h.nextID++
	j := &Job{Org: o, App: app, Host: h, ID: h.nextID, Key: key, Tokens: tokens, Arrived: w.Now, done: done}
	h.jobs[j.ID] = j
	r := entry.Request{ID: j.ID, Org: o.ID, App: app, Deadline: w.Now.Add(timeout), Urgent: o.Applications[app].Priority == version.PriorityUrgent}
	w.Step(h, core.Arrive{Request: r, Key: key})
	return j
}

func (w *World) act(h *Host) {
	for _, o := range h.Router.Ready(w.Now) {
		switch o := o.(type) {
		case core.Send:
			w.carry(h, o)
		case core.Start:
			w.start(h.jobs[o.ID], o.Upstream)
		case core.Refuse:
			w.end(h.jobs[o.ID], func(j *Job) { j.Refused, j.Doubt = o.Reason, o.Doubt })
		case core.Fetch:
			w.fetch(h, o)
		case core.Event:
			w.Events[o.Name]++
		}
	}
}

func (w *World) carry(from *Host, s core.Send) {
	raw, err := wire.Encode(s.Datagram)
	if err != nil {
		panic(err) // a node's own datagram is always within bounds
	}
	w.Bytes[from.ID] += int64(len(raw) + overhead)
	w.Sent++
	copies := 1
	if w.rnd.Float64() < w.Link.Dup {
		copies = 2
	}
	for range copies {
		if w.rnd.Float64() < w.Link.Drop || (w.Cut != nil && w.Cut(from.ID, s.To)) {
			continue
		}
		w.After(w.Link.Delay+time.Duration(w.rnd.Float64()*float64(w.Link.Jitter))+w.Late[s.To], func() { w.deliver(from.ID, s.To, raw) })
	}
}

func (w *World) deliver(from, to wire.NodeID, raw []byte) {
	h := w.Hosts[to]
	if h == nil {
		return
	}
	d, err := wire.Decode(raw)
	if err != nil {
		panic(err)
	}
	d.From = from
	w.Step(h, core.Receive{Datagram: d})
}

func (w *World) fetch(h *Host, f core.Fetch) {
	from := w.Hosts[f.From]
	if from == nil || !from.Up || from.Frozen || (w.Cut != nil && w.Cut(h.ID, f.From)) {
		return
	}
	if n, ok := from.Router.(*core.Node); ok && n.Version() != nil {
		v := n.Version()
		w.After(2*w.Link.Delay, func() { w.Step(h, core.NewVersion{Version: v}) })
	}
}

// Service returns the tokens generated for each organisation until now, those of
// running jobs included.
func (w *World) Service() map[version.ID]float64 {
	out := make(map[version.ID]float64, len(w.Served))
	for id, n := range w.Served {
		out[id] = n
	}
	for j := range w.jobs {
		out[j.Org.ID] += w.Generated(j)
	}
	return out
}

func (w *World) progress(h *Host) {
	for id, j := range h.jobs {
		if j.Running && j.Org.Applications[j.App].Unit == version.UnitTokens {
			h.Router.Step(core.Progress{ID: id, Units: w.Generated(j)}, w.Now)
		}
	}
}

// After calls f when the time has passed.
func (w *World) After(d time.Duration, f func()) {
	w.seq++
	heap.Push(&w.queue, event{at: w.Now.Add(d), seq: w.seq, f: f})
}

// Run moves time on.
func (w *World) Run(d time.Duration) {
	until := w.Now.Add(d)
	for len(w.queue) > 0 && !w.queue[0].at.After(until) {
		e := heap.Pop(&w.queue).(event)
		w.Now = e.at
		e.f()
	}
	w.Now = until
}

type event struct {
	at  time.Time
	seq int
	f   func()
}

type events []event

func (q events) Len() int { return len(q) }
func (q events) Less(i, j int) bool {
	if q[i].at.Equal(q[j].at) {
		return q[i].seq < q[j].seq
	}
	return q[i].at.Before(q[j].at)
}
func (q events) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *events) Push(x any)   { *q = append(*q, x.(event)) }
func (q *events) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}
