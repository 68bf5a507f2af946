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
	ID       wire.NodeID
	Place    string
	Router   Router
	Up       bool
	Frozen   bool
	Since    time.Time
	jobs     map[uint64]*Job
	nextID   uint64
	deferred []func() // what waits for a frozen host
	onKill   []func()
}

// World is the lab's state.
type World struct {
	Now               time.Time
	Version           *version.Version
	Hosts             map[wire.NodeID]*Host
	Order             []wire.NodeID
	Link              Link
	Partitioned       func(a, b wire.NodeID) bool
	ReadDelay         map[wire.NodeID]time.Duration // how long datagrams lie unread at a host
	TokenInterval     time.Duration                 // between tokens
	FirstTokenDelay   time.Duration
	SentBytes         map[wire.NodeID]int64 // control bytes sent, with AEAD, UDP and IP headers
	Sent              int64
	Started           int64
	ServedTokens      map[version.ID]float64 // tokens generated
	AnsweredRequests  map[version.ID]float64 // answered requests
	Running           map[version.ID]int     // at each upstream
	Strays            int                    // starts outside the places allowed
	ForbiddenUpstream version.ID             // an upstream that may get nothing new
	ForbiddenStarts   int                    // starts there
	Events            map[string]int
	Peers             []wire.NodeID // seeds of new hosts
	NewRouter         func(core.Settings, time.Time) Router

	Speed map[version.ID]float64 // of an upstream, 1 where not set

	progressInterval time.Duration
	rnd              *rand.Rand
	queue            events
	queued           map[version.ID][]*Job // waiting inside an upstream whose slots are taken
	seq              int
	runningJobs      map[*Job]bool
}

// overhead is what sealing, UDP and IPv4 add to an encoded datagram.
const datagramOverheadBytes = 28 + 28

const defaultProgressInterval = 200 * time.Millisecond

// New returns a world at a fixed time whose nodes are made by mk, or core nodes.
func New(v *version.Version, seed uint64, mk func(core.Settings, time.Time) Router) *World {
	if mk == nil {
		mk = func(s core.Settings, now time.Time) Router { return core.New(s, now) }
	}
	return &World{
		Now: time.Unix(1_800_000_000, 0), Version: v, NewRouter: mk,
		Hosts: map[wire.NodeID]*Host{}, Link: Link{Delay: time.Millisecond, Jitter: time.Millisecond},
		TokenInterval: 75 * time.Millisecond, FirstTokenDelay: 300 * time.Millisecond,
		SentBytes: map[wire.NodeID]int64{}, ServedTokens: map[version.ID]float64{}, AnsweredRequests: map[version.ID]float64{},
		Running: map[version.ID]int{}, Events: map[string]int{},
		progressInterval: defaultProgressInterval, Speed: map[version.ID]float64{}, queued: map[version.ID][]*Job{},
		rnd: rand.New(rand.NewPCG(seed, 1)), runningJobs: map[*Job]bool{},
	}
}

// Rand returns the world's random numbers.
func (w *World) Rand() *rand.Rand { return w.rnd }

// Boot starts a host, empty, or again after a kill.
func (w *World) Boot(id wire.NodeID, place string, opt core.Settings) *Host {
	opt.ID, opt.Place, opt.Inc = id, place, wire.IncarnationAt(w.Now)
	opt.Seeds, opt.Seed = w.Peers, w.rnd.Uint64()
	h := &Host{ID: id, Place: place, Up: true, Since: w.Now, jobs: map[uint64]*Job{}}
	h.Router = w.NewRouter(opt, w.Now)
	if w.Hosts[id] == nil {
		w.Order = append(w.Order, id)
	}
	w.Hosts[id] = h
	if w.Version != nil {
		h.Router.Step(core.NewVersion{Version: w.Version}, w.Now)
	}
	w.repeat(h, core.TickEvery, func() { h.Router.Tick(w.Now) })
	w.repeat(h, w.progressInterval, func() { w.progress(h) })
	return h
}

// Kill ends a host at once; its running requests end at the upstreams.
func (w *World) Kill(id wire.NodeID) {
	h := w.Hosts[id]
	h.Up = false
	for _, j := range h.jobs {
		w.stop(j)
	}
	for _, f := range h.onKill {
		w.After(retryDelay, f)
	}
	h.onKill = nil
}

// Freeze stops a host's time until Thaw; what arrives meanwhile waits.
func (w *World) Freeze(id wire.NodeID) { w.Hosts[id].Frozen = true }

// Thaw lets a frozen host go on with all that arrived meanwhile.
func (w *World) Thaw(id wire.NodeID) {
	h := w.Hosts[id]
	h.Frozen = false
	deferred := h.deferred
	h.deferred = nil
	for _, f := range deferred {
		f()
	}
	w.applyOutputs(h)
}

// every repeats f on a host while it lives.
func (w *World) repeat(h *Host, d time.Duration, f func()) {
	w.After(d, func() {
		if !h.Up {
			return
		}
		if !h.Frozen {
			f()
			w.applyOutputs(h)
		}
		w.repeat(h, d, f)
	})
}

// Step gives a host an input and carries out what follows.
func (w *World) Step(h *Host, in core.Input) {
	w.runOn(h, func() { h.Router.Step(in, w.Now) })
}

func (w *World) runOn(h *Host, f func()) {
	if !h.Up {
		return
	}
	if h.Frozen {
		h.deferred = append(h.deferred, f)
		return
	}
	f()
	w.applyOutputs(h)
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

func (w *World) applyOutputs(h *Host) {
	for _, o := range h.Router.Ready(w.Now) {
		switch o := o.(type) {
		case core.Send:
			w.send(h, o)
		case core.Start:
			w.start(h.jobs[o.ID], o.Upstream)
		case core.Refuse:
			w.end(h.jobs[o.ID], func(j *Job) { j.Refused, j.Doubt = o.Reason, o.Doubt })
		case core.Fetch:
			w.fetchVersion(h, o)
		case core.Event:
			w.Events[o.Name]++
		}
	}
}

func (w *World) send(from *Host, s core.Send) {
	raw, err := wire.Encode(s.Datagram)
	if err != nil {
		panic(err) // a node's own datagram is always within bounds
	}
	w.SentBytes[from.ID] += int64(len(raw) + datagramOverheadBytes)
	w.Sent++
	copies := 1
	if w.rnd.Float64() < w.Link.Dup {
		copies = 2
	}
	for range copies {
		if w.rnd.Float64() < w.Link.Drop || (w.Partitioned != nil && w.Partitioned(from.ID, s.To)) {
			continue
		}
		w.After(w.Link.Delay+time.Duration(w.rnd.Float64()*float64(w.Link.Jitter))+w.ReadDelay[s.To], func() { w.deliver(from.ID, s.To, raw) })
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

func (w *World) fetchVersion(h *Host, f core.Fetch) {
	from := w.Hosts[f.From]
	if from == nil || !from.Up || from.Frozen || (w.Partitioned != nil && w.Partitioned(h.ID, f.From)) {
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
	out := make(map[version.ID]float64, len(w.ServedTokens))
	for id, n := range w.ServedTokens {
		out[id] = n
	}
	for j := range w.runningJobs {
		out[j.Org.ID] += w.GeneratedTokens(j)
	}
	return out
}

func (w *World) progress(h *Host) {
	for id, j := range h.jobs {
		if j.Running && j.Org.Applications[j.App].Unit == version.UnitTokens {
			h.Router.Step(core.Progress{ID: id, Units: w.GeneratedTokens(j)}, w.Now)
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
