// Package tokens drives the dispatch of the routed interface before modelled
// engines: many decision cores in one process, a network with a delay, callers in
// organisations that send as they do at the users'. Time is an argument, so a run
// follows from its seed. It measures who is served in time, what is read again, how
// well the model of engines predicts, and what control costs.
package tokens

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/silverswitch/silverswitch/internal/core/wire"
	"github.com/silverswitch/silverswitch/internal/dispatch"
	"github.com/silverswitch/silverswitch/internal/engine"
	"github.com/silverswitch/silverswitch/internal/routing"
)

// Sizes and rates of the world. Source: an operator's sheet.
const (
	Routers     = 6
	Engines     = 18
	places      = 3
	linkDelay   = time.Millisecond // one way, between routers
	serviceName = "model"
	// capacity is the tokens a second that the operators state for the service.
	capacity = 390_000
	// sealed is what sealing, UDP and IPv4 add to a datagram, in bytes.
	datagramOverheadBytes = 56
)

// class is one kind of request.
type class struct {
	name                  string
	perSecond             float64
	baseTokens, ownTokens int     // tokens of the shared parts, mean
	ownVariants           int     // how many different own shared parts
	meanPromptTokens      float64 // mean of the last part, its own
	meanOutputTokens      float64
	target                time.Duration
	deadline              time.Duration
	baseVariants          int // how many different first parts
	maxPromptTokens       float64
	promptSigma           float64
}

var classes = []class{
	{"deck-build", 74.3, 2520, 3780, 263, 2890, 52, 600 * time.Millisecond, 6 * time.Second, 4, 39_600, 1.0},
	{"quiz-hint", 94.4, 341, 227, 148, 1800, 24, time.Second, 4 * time.Second, 8, 6870, 1.3},
	{"drill-stream", 76.9, 103, 69, 120, 543, 280, time.Second, 15 * time.Second, 20, 2310, 0.89},
}

// Scenario is one run.
type Scenario struct {
	Seed          uint64
	Duration      time.Duration
	LoadFactor    float64 // times the rates of the sheet
	FloodFactor   float64 // times its usual that one organisation sends in the middle third
	KillScheduler bool    // the scheduler's router dies in the middle
	Routers       int     // 0 is Routers
	Overloaded    bool    // two organisations flood, one of them by a router short of processor
	LoadShedding  bool    // two organisations flood, one of them by a router that refuses at its door
	Without       dispatch.Without
	Engine        engine.Config // of every engine; the zero value is engine.DefaultFigures
}

// Result is what a run showed.
type Result struct {
	Asked, InTarget, Late, Refused int
	Owed                           float64 // tokens served in target of those owed: see owed.go
	Least                          float64 // the same of the worst served organisation
	Beyond                         float64 // tokens served in target beyond what was owed, in parts of what was
	Busy                           float64 // part of the time in which an engine reads a prompt
	ReadAgain                      int     // tokens of shared parts that some engine had read lately
	Fetched                        int
	Control                        float64 // bytes a second a router sends
	Predicted, Seen                [3]float64
	Ratio                          [3]float64 // seen over predicted, request by request, once learned
	Fair                           float64    // see fair.go: 1 and more is fair
}

// Quantiles of Predicted and Seen times to the first event, in milliseconds.
var Quantiles = [3]float64{0.5, 0.9, 0.99}

type inFlight struct {
	at time.Time
	to wire.NodeID
	d  *wire.Datagram
}

type world struct {
	Scenario
	rnd         *rand.Rand
	now         time.Time
	nodes       map[wire.NodeID]*dispatch.Node
	order       []wire.NodeID
	engines     map[string]*engine.Engine
	ids         []string
	calls       map[uint64]*call
	retries     []*call // refused, to come back
	retryAt     []time.Time
	inFlight    []inFlight
	lastID      uint64
	sentBytes   int
	windows     []window
	fair        fairness
	delayed     []delayed
	shedder     loadShedder
	readingMS   int // engine milliseconds with prompts unread
	lastUsed    map[uint64]time.Time
	res         Result
	predictedMS []float64
	seenMS      []float64
	ratios      []float64
}

// weights of the organisations: a few are large.
var orgWeights = func() []float64 {
	var w []float64
	for i := range 16 {
		w = append(w, 1/math.Pow(float64(i+1), 0.9))
	}
	return w
}()

var startTime = time.Unix(1_800_000_000, 0)

// Run plays a scenario.
func (s Scenario) Run() (Result, error) {
	w, err := s.simulate()
	if err != nil {
		return Result{}, err
	}
	return w.result(), nil
}

// play returns the world at the end of a scenario.
func (s Scenario) simulate() (*world, error) {
	w := &world{Scenario: s, rnd: rand.New(rand.NewPCG(s.Seed, 7)), now: startTime, nodes: map[wire.NodeID]*dispatch.Node{}, engines: map[string]*engine.Engine{},
		calls: map[uint64]*call{}, lastUsed: map[uint64]time.Time{}, shedder: newLoadShedder()}
	if err := w.boot(); err != nil {
		return nil, err
	}
	for w.now.Before(startTime.Add(warmUpDuration)) {
		w.step(false)
	}
	sent := w.sentBytes
	w.readingMS = 0
	for w.now.Before(startTime.Add(warmUpDuration + s.Duration)) {
		w.step(true)
	}
	w.res.Busy = float64(w.readingMS) / float64(s.Duration.Milliseconds()) / Engines
	w.res.Control = float64(w.sentBytes-sent) / s.Duration.Seconds() / float64(w.routers())
	for end := w.now.Add(drainDuration); w.now.Before(end); {
		w.step(false)
	}
	return w, nil
}

const (
	// warmUpDuration is how long routers have to know each other before callers send.
	warmUpDuration = 3 * time.Second
	// learnDuration is how long after the first callers engines that nobody knows are learned.
	learnDuration = 5 * time.Second
	// tail is how long the last requests have to end.
	drainDuration = 8 * time.Second
	// recent is how long after its last use a part that is read again counts, as at
	// the users'.
	rereadWindow = 7200 * time.Millisecond
)

func (w *world) boot() error {
	b := routing.Builder{Number: 1, Limits: routing.Limits{TokensPerSecond: capacity}}
	f := w.Engine
	if f == (engine.Config{}) {
		f = engine.DefaultConfig
	}
	b.Services = []*routing.Service{{Name: serviceName, Engine: &routing.Engine{Slots: f.Slots, MemoryTokens: f.MemoryTokens, TokenBytes: 327_680, EventTokens: f.EventTokens}}}
	for _, c := range classes {
		b.Routes = append(b.Routes, &routing.Route{Name: c.name, Host: "h", Prefix: "/" + c.name + "/", Kind: routing.Stream, Timeout: c.deadline, Target: c.target,
			MaxAttempts: 1, Split: []routing.Part{{Service: serviceName, Weight: 1}}})
	}
	for i := range orgWeights {
		b.AddOrganisation(&routing.Organisation{Name: orgName(i)}, []string{orgName(i)})
	}
	table, err := b.Build()
	if err != nil {
		return err
	}
	var list []routing.Instance
	for i := range Engines {
		id := fmt.Sprintf("e%02d", i)
		list = append(list, routing.Instance{ID: id, Service: serviceName, Address: "10.9.0." + fmt.Sprint(i) + ":1", Place: placeName(i)})
		w.engines[id] = engine.New(f, startTime)
		w.ids = append(w.ids, id)
	}
	for i := range w.routers() {
		id := wire.NodeID(fmt.Sprintf("10.1.0.%d:1", i))
		n := dispatch.New(dispatch.Settings{ID: id, Inc: 1, Place: placeName(i), Seeds: []wire.NodeID{"10.1.0.0:1"}, Retry: dispatch.DefaultRetryRules, Seed: uint64(i), Without: w.Without}, startTime)
		n.Step(dispatch.Catalogue{Table: table, Instances: list, Revision: 5, AsOf: 9}, startTime)
		w.nodes[id] = n
		w.order = append(w.order, id)
	}
	return nil
}

func (s *Scenario) routers() int { return cmp.Or(s.Routers, Routers) }

func placeName(i int) string { return fmt.Sprintf("p%d", i%places) }

// step moves the world on by one millisecond.
func (w *world) step(load bool) {
	w.now = w.now.Add(time.Millisecond)
	if load {
		w.drawArrivals()
		w.killSchedulerHalfway()
	}
	w.sendRetries()
	w.tickShedder()
	w.runDelayed()
	w.advanceEngines()
	w.deliver()
	tick := w.now.Sub(startTime)%dispatch.TickEvery == 0
	for _, id := range w.order {
		n := w.nodes[id]
		if n == nil {
			continue
		}
		if tick {
			n.Tick(w.now)
		}
		w.applyOutputs(id, n.Ready(w.now))
	}
}

// middle kills the scheduler's router halfway, when the scenario says so.
func (w *world) killSchedulerHalfway() {
	if !w.KillScheduler || !w.now.Equal(startTime.Add(warmUpDuration+w.Duration/2)) {
		return
	}
	for _, id := range w.order {
		if n := w.nodes[id]; n != nil && len(n.Scheduled(w.now)) > 0 {
			delete(w.nodes, id)
			return
		}
	}
}

func (w *world) applyOutputs(id wire.NodeID, outs []dispatch.Output) {
	for _, o := range outs {
		switch o := o.(type) {
		case dispatch.Send:
			raw, err := wire.Encode(o.Datagram)
			if err != nil {
				panic(err) // our own message: an invariant
			}
			w.sentBytes += len(raw) + datagramOverheadBytes
			o.Datagram.From = id
			w.inFlight = append(w.inFlight, inFlight{w.now.Add(linkDelay), o.To, o.Datagram})
		case dispatch.Place:
			if c := w.calls[o.ID]; c != nil {
				c.placedAt = w.now
			}
			w.doOrDelay(id, overloadSendDelay, func() { w.sendToEngine(o) })
		case dispatch.Refuse:
			w.retryRefused(o)
		}
	}
}

func (w *world) deliver() {
	var later []inFlight
	for _, m := range w.inFlight {
		if m.at.After(w.now) {
			later = append(later, m)
		} else if w.nodes[m.to] != nil {
			w.deliverInput(m.to, dispatch.Receive{Datagram: m.d})
		}
	}
	w.inFlight = later
}

func (w *world) advanceEngines() {
	for _, id := range w.ids {
		if w.engines[id].HasUnreadPrompt() {
			w.readingMS++
		}
		for _, ev := range w.engines[id].Advance(w.now) {
			c := w.calls[ev.ID]
			if c == nil || c.engine != id {
				continue
			}
			if ev.Kind == engine.More {
				continue
			}
			if ev.Kind == engine.First {
				w.recordFirstEvent(c, ev.At)
				w.deliverInput(c.router, dispatch.First{ID: ev.ID, After: ev.At.Sub(c.placedAt)})
				continue
			}
			delete(w.calls, ev.ID)
			w.deliverInput(c.router, dispatch.End{ID: ev.ID, Event: wire.NoteDone})
		}
	}
}
