package dispatch

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/silverswitch/silverswitch/internal/core/wire"
	"github.com/silverswitch/silverswitch/internal/routing"
)

// plainLoad is a load on a plain service in the emulation.
type plainLoad struct {
	routers  int
	serve    time.Duration // service time of one request
	slots    int           // of each upstream, as stated; 0 states none
	actual   int           // slots that upstreams have, if not as stated
	orders   float64       // per second
	lookups  float64
	target   time.Duration
	deadline time.Duration
	length   time.Duration
	burst    float64 // factor on all rates in the middle third
	flood    float64 // factor on the rates of the flooding organisations in the middle third
	floods   int     // number of flooding organisations, the largest first
	steady   bool    // upstreams have no slow phases, and all requests take the same time
	disabled Disabled
	seed     uint64
	// event is called every 10 ms; it may be nil.
	event func(s *plainSim)
}

// Loads of the two deployments at their usual rates.
func loadA() plainLoad {
	return plainLoad{routers: 14, serve: 60 * time.Millisecond, slots: 6, orders: 93, lookups: 37, target: 300 * time.Millisecond, deadline: 4 * time.Second, length: 9 * time.Second, burst: 1, flood: 1, seed: 1}
}

func loadB() plainLoad {
	return plainLoad{routers: 14, serve: 30 * time.Millisecond, slots: 6, orders: 161, lookups: 65, target: 150 * time.Millisecond, deadline: 2500 * time.Millisecond, length: 9 * time.Second, burst: 1, flood: 1, seed: 1}
}

const (
	emulatedOrgs     = 30
	emulatedNetDelay = time.Millisecond
	callerDelay      = 3 * time.Millisecond
	upstreamQueueLen = 24
	lookupFailures   = 0.14
	slowPhase        = 600 * time.Millisecond
)

// plainResult counts outcomes by the arrival of requests.
type plainResult struct {
	arrived, inTime, late, refused, lateRefused, rejected, failed, open int
	halfRefused                                                         int     // after half of the target
	sent, rejections                                                    int     // to upstreams
	refusedFree                                                         int     // refused while slots were free
	reasons                                                             [16]int // refusals by Reason
	byOrg                                                               [emulatedOrgs]struct{ arrived, inTime, refused int }
}

func (r *plainResult) inTimeRatio() float64 { return float64(r.inTime) / float64(max(1, r.arrived)) }

func (r *plainResult) rejectedRatio() float64 {
	return float64(r.rejections) / float64(max(1, r.arrived))
}

func (r *plainResult) refusedOf(from, to int) float64 {
	arrived, refused := 0, 0
	for _, o := range r.byOrg[from:to] {
		arrived += o.arrived
		refused += o.refused
	}
	return float64(refused) / float64(max(1, arrived))
}

func (r *plainResult) String() string {
	return fmt.Sprintf("arrived %d in time %.3f late %.3f refused %.3f (late %d, after half of the target %d) rejected %.4f (%d) failed %d open %d, refused while slots were free %d; refused of the largest %.3f, of the rest %.3f; budget %d",
		r.arrived, r.inTimeRatio(), float64(r.late)/float64(max(1, r.arrived)), float64(r.refused)/float64(max(1, r.arrived)), r.lateRefused, r.halfRefused, r.rejectedRatio(), r.rejections, r.failed, r.open, r.refusedFree, r.refusedOf(0, 1), r.refusedOf(1, emulatedOrgs), r.reasons[ReasonBudget])
}

// simEvent is something that happens at a time.
type simEvent struct {
	at time.Time
	no int
	do func()
}

type simEvents []simEvent

func (q simEvents) Len() int { return len(q) }
func (q simEvents) Less(i, j int) bool {
	return q[i].at.Before(q[j].at) || q[i].at.Equal(q[j].at) && q[i].no < q[j].no
}
func (q simEvents) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *simEvents) Push(x any)   { *q = append(*q, x.(simEvent)) }
func (q *simEvents) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

// simUpstream is an upstream with slots and a queue that rejects what finds it full.
type simUpstream struct {
	id       string
	slots    int
	running  int
	queue    []*simAttempt
	queueLen int     // requests that may wait behind the slots
	slow     float64 // factor on its times, 0 for none
	silent   bool    // it takes requests and answers none
	max      int     // most requests present at a time
}

// simRequest is a caller's request.
type simRequest struct {
	no       uint64
	org      int
	lookup   bool
	at       time.Time
	attempts int
	attempt  *simAttempt
	done     bool
}

type simAttempt struct {
	r         *simRequest
	node      wire.NodeID
	up        *simUpstream
	sentAt    time.Time
	cancelled bool
	started   bool
}

// plainSim is an emulation of routers, callers and the upstreams of a plain service, in
// emulated time.
type plainSim struct {
	plainLoad
	t         *testing.T
	now       time.Time
	rnd       *rand.Rand // of upstreams
	arrivals  *rand.Rand // of callers, so that these are the same whatever becomes of the requests
	events    simEvents
	eventNo   int
	nodes     map[wire.NodeID]*Node
	order     []wire.NodeID
	cut       map[wire.NodeID]bool
	lose      func(from, to wire.NodeID, d *wire.Datagram) bool
	upstreams map[string]*simUpstream
	requests  map[wire.NodeID]map[uint64]*simRequest
	nextNo    uint64
	began     time.Time
	onSend    func(*simAttempt) // a request is sent to an upstream; may be nil
	result    plainResult
	logged    []Event
}

func newPlainSim(t *testing.T, l plainLoad) *plainSim {
	t.Helper()
	s := &plainSim{plainLoad: l, t: t, now: start, rnd: rand.New(rand.NewPCG(l.seed, 7)), arrivals: rand.New(rand.NewPCG(l.seed, 8)), nodes: map[wire.NodeID]*Node{}, cut: map[wire.NodeID]bool{}, upstreams: map[string]*simUpstream{}, requests: map[wire.NodeID]map[uint64]*simRequest{}}
	var list []routing.Instance
	for i := range 3 {
		id := fmt.Sprintf("c%d", i)
		list = append(list, routing.Instance{ID: id, Service: counter, Address: id, Place: fmt.Sprint("p", i), Slots: l.slots})
		actual := l.actual
		if actual == 0 {
			actual = max(l.slots, 6)
		}
		s.upstreams[id] = &simUpstream{id: id, slots: actual, queueLen: upstreamQueueLen}
	}
	b := routing.Builder{Number: 1, Services: []*routing.Service{{Name: counter}}, Limits: routing.Limits{TokensPerSecond: 1000}}
	tab, err := b.Build()
	require.NoError(t, err)
	for i := range l.routers {
		id := wire.NodeID(fmt.Sprintf("10.1.0.%d:1", i))
		n := New(Settings{ID: id, Inc: 1, Place: fmt.Sprint("p", i%3), Seeds: []wire.NodeID{"10.1.0.0:1"}, Retry: DefaultRetryRules, Seed: uint64(i), Disabled: l.disabled}, start)
		n.Step(Catalogue{Table: tab, Instances: list, Revision: 5, AsOf: 9}, start)
		s.nodes[id] = n
		s.order = append(s.order, id)
		s.requests[id] = map[uint64]*simRequest{}
		s.after(time.Duration(i)*TickInterval/time.Duration(l.routers), func() { s.tick(id) })
	}
	return s
}

func (s *plainSim) after(d time.Duration, do func()) {
	s.eventNo++
	heap.Push(&s.events, simEvent{s.now.Add(d), s.eventNo, do})
}

func (s *plainSim) tick(id wire.NodeID) {
	if s.cut[id] {
		return // the router has died
	}
	s.nodes[id].Tick(s.now)
	s.collect(id)
	s.after(TickInterval, func() { s.tick(id) })
}

func (s *plainSim) advance(d time.Duration) {
	end := s.now.Add(d)
	for len(s.events) > 0 && !s.events[0].at.After(end) {
		e := heap.Pop(&s.events).(simEvent)
		s.now = e.at
		e.do()
	}
	s.now = end
}

func (s *plainSim) step(id wire.NodeID, in Input) {
	if s.cut[id] {
		return
	}
	s.nodes[id].Step(in, s.now)
	s.collect(id)
}

// collect carries out a node's outputs.
func (s *plainSim) collect(id wire.NodeID) {
	for _, o := range s.nodes[id].Ready(s.now) {
		switch o := o.(type) {
		case Send:
			if s.cut[o.To] || s.lose != nil && s.lose(id, o.To, o.Datagram) {
				continue
			}
			raw, err := wire.Encode(o.Datagram)
			require.NoError(s.t, err)
			s.after(emulatedNetDelay, func() {
				d, err := wire.Decode(raw)
				require.NoError(s.t, err)
				d.From = id
				s.step(o.To, Receive{Datagram: d})
			})
		case FetchContent:
			s.after(emulatedNetDelay, func() { s.step(id, FetchContentEnded{}) })
		case Placement:
			s.placed(id, o)
		case Refuse:
			s.refused(id, o)
		case Event:
			s.logged = append(s.logged, o)
		}
	}
}

func (s *plainSim) placed(id wire.NodeID, p Placement) {
	r := s.requests[id][p.ID]
	require.NotNil(s.t, r)
	r.attempts++
	s.result.sent++
	a := &simAttempt{r: r, node: id, up: s.upstreams[p.Instance.ID], sentAt: s.now}
	r.attempt = a
	if s.onSend != nil {
		s.onSend(a)
	}
	s.after(emulatedNetDelay, func() { s.reach(a) })
	if timeout := max(firstAnswerTargets*s.target, 300*time.Millisecond); r.lookup {
		s.after(timeout, func() {
			if r.attempt == a && !r.done {
				s.cancel(a)
				s.again(a, wire.ProgressFailed)
			}
		})
	}
}

// firstAnswerTargets is the number of targets after which a lookup is sent elsewhere, as in
// package forward.
const firstAnswerTargets = 2

func (s *plainSim) refused(id wire.NodeID, o Refuse) {
	r := s.requests[id][o.ID]
	s.finish(id, r)
	s.result.refused++
	s.result.byOrg[r.org].refused++
	if s.now.Sub(r.at) > s.target {
		s.result.lateRefused++
	}
	if s.now.Sub(r.at) > s.target/2 {
		s.result.halfRefused++
	}
	s.result.reasons[o.Reason]++
	for _, u := range s.upstreams {
		if o.Reason == ReasonCapacity && u.running < u.slots && !u.silent && len(u.queue) == 0 && s.freeFor(u) {
			s.result.refusedFree++
			break
		}
	}
}

// freeFor reports whether the scheduler also knows that a slot of an upstream is free: an answer
// that is on its way does not count.
func (s *plainSim) freeFor(u *simUpstream) bool {
	n := s.nodes[s.scheduler()]
	p := n.pools[serviceID(counter)]
	for _, known := range p.order {
		if known.inst.ID == u.id {
			return len(known.runs) < u.slots
		}
	}
	return false
}

func (s *plainSim) scheduler() wire.NodeID {
	for _, id := range s.order {
		if !s.cut[id] {
			return s.nodes[id].schedulerOf(serviceID(counter), s.now)
		}
	}
	return ""
}

func (s *plainSim) finish(id wire.NodeID, r *simRequest) {
	r.done = true
	delete(s.requests[id], r.no)
}

// reach delivers an attempt to its upstream.
func (s *plainSim) reach(a *simAttempt) {
	u := a.up
	if a.cancelled {
		return
	}
	if u.running+len(u.queue) >= u.slots+u.queueLen {
		s.result.rejections++
		s.after(emulatedNetDelay, func() {
			if a.r.attempt == a && !a.r.done {
				s.again(a, wire.ProgressRejected)
			}
		})
		return
	}
	u.queue = append(u.queue, a)
	u.max = max(u.max, u.running+len(u.queue))
	s.startNext(u)
}

func (s *plainSim) startNext(u *simUpstream) {
	for u.running < u.slots && len(u.queue) > 0 && !u.silent {
		a := u.queue[0]
		u.queue = u.queue[1:]
		if a.cancelled {
			continue
		}
		u.running++
		a.started = true
		took := s.serve
		if !s.steady {
			took = time.Duration(float64(took) * s.slowFactor(u))
			if s.rnd.Float64() < 0.01 {
				took *= 5
			}
		}
		if u.slow > 0 {
			took = time.Duration(float64(took) * u.slow)
		}
		s.after(took, func() { s.answer(a) })
	}
}

// slowFactor is the upstream's times relative to its usual ones: 15% of the phases are slow.
func (s *plainSim) slowFactor(u *simUpstream) float64 {
	phase := s.now.UnixNano() / int64(slowPhase)
	if rand.New(rand.NewPCG(uint64(phase), uint64(u.id[1])+s.seed)).Float64() < 0.15 {
		return 2.5
	}
	return 1
}

func (s *plainSim) answer(a *simAttempt) {
	if a.up.silent {
		return
	}
	if !a.cancelled {
		a.up.running--
	}
	s.startNext(a.up)
	if a.cancelled {
		return
	}
	s.after(emulatedNetDelay, func() {
		r := a.r
		if r.attempt != a || r.done {
			return
		}
		s.step(a.node, FirstEvent{ID: r.no, After: s.now.Sub(a.sentAt)})
		if r.lookup && s.rnd.Float64() < lookupFailures {
			s.again(a, wire.ProgressFailed)
			return
		}
		s.succeed(a.node, r)
		s.step(a.node, End{ID: r.no, Event: wire.ProgressDone})
	})
}

func (s *plainSim) succeed(id wire.NodeID, r *simRequest) {
	s.finish(id, r)
	if s.now.Sub(r.at)+callerDelay <= s.target {
		s.result.inTime++
		s.result.byOrg[r.org].inTime++
		return
	}
	s.result.late++
}

// cancel ends the upstream's work on an attempt.
func (s *plainSim) cancel(a *simAttempt) {
	if a.started && !a.cancelled && !a.up.silent {
		a.up.running--
		defer s.startNext(a.up)
	}
	a.cancelled = true
}

// again handles an attempt that failed or was rejected.
func (s *plainSim) again(a *simAttempt, event uint8) {
	r := a.r
	r.attempt = nil
	if r.lookup && r.attempts < 2 {
		s.step(a.node, PlaceAgain{ID: r.no, Event: event})
		return
	}
	s.finish(a.node, r)
	if event == wire.ProgressRejected {
		s.result.rejected++
	} else {
		s.result.failed++
	}
	s.step(a.node, End{ID: r.no, Event: event})
}

// arriveEvery schedules the arrivals of one organisation's requests of one kind.
func (s *plainSim) arriveEvery(org int, rate float64, lookup bool) {
	rateNow := rate
	if third := s.length / 3; s.now.Sub(s.began) >= third && s.now.Sub(s.began) < 2*third {
		rateNow *= s.burst
		if org < s.floods {
			rateNow *= s.flood
		}
	}
	// Thinning: arrivals are drawn at the highest rate, and some are left out.
	most := rate * s.burst * s.flood
	gap := time.Duration(s.arrivals.ExpFloat64() / most * float64(time.Second))
	keep := s.arrivals.Float64() < rateNow/most
	s.after(gap, func() {
		if s.now.Sub(s.began) >= s.length {
			return
		}
		if keep {
			s.request(org, lookup)
		}
		s.arriveEvery(org, rate, lookup)
	})
}

func (s *plainSim) request(org int, lookup bool) {
	id := s.order[s.arrivals.IntN(len(s.order))]
	if s.cut[id] {
		return // callers find no router there
	}
	s.nextNo++
	r := &simRequest{no: s.nextNo, org: org, lookup: lookup, at: s.now.Add(-callerDelay)}
	s.requests[id][r.no] = r
	s.result.arrived++
	s.result.byOrg[org].arrived++
	deadline := r.at.Add(s.deadline)
	s.after(deadline.Sub(s.now), func() {
		if r.done {
			return
		}
		event := wire.ProgressUnused
		if r.attempt != nil {
			s.cancel(r.attempt)
			event = wire.ProgressFailed
		}
		s.finish(id, r)
		s.result.failed++
		s.step(id, End{ID: r.no, Event: event})
	})
	s.step(id, Arrive{Request: Request{ID: r.no, Service: counter, Org: fmt.Sprint("org", org), TargetTime: r.at.Add(s.target), Deadline: deadline}})
}

// run plays the load and returns what became of the requests.
func (s *plainSim) run() *plainResult {
	s.advance(3 * time.Second) // the routers find each other
	s.began = s.now
	total := 0.0
	for i := range emulatedOrgs {
		total += 1 / math.Sqrt(float64(i+1))
	}
	for i := range emulatedOrgs {
		part := 1 / math.Sqrt(float64(i+1)) / total
		s.arriveEvery(i, s.orders*part, false)
		s.arriveEvery(i, s.lookups*part, true)
	}
	for last := s.now.Add(s.length); s.now.Before(last) || s.open() > 0 && s.now.Before(last.Add(s.deadline+time.Second)); {
		if s.event != nil {
			s.event(s)
		}
		s.advance(10 * time.Millisecond)
	}
	s.result.open = s.open()
	return &s.result
}

// open returns the number of requests without an outcome.
func (s *plainSim) open() int {
	open := 0
	for _, list := range s.requests {
		open += len(list)
	}
	return open
}

func playPlain(t *testing.T, l plainLoad) *plainResult {
	t.Helper()
	return newPlainSim(t, l).run()
}
