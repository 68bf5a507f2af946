// Package tokens simulates the dispatch of the routed interface with simulated engines: many
// decision cores in one process, a network with a delay, and callers of several
// organisations with the load that users have. Time is an argument, so a run is determined
// by its seed. It measures which organisations are served in time, how much is read again,
// how well the prefill model predicts, and the control traffic.
package tokens

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/silverswitch/silverswitch/internal/core/wire"
	"github.com/silverswitch/silverswitch/internal/dispatch"
	"github.com/silverswitch/silverswitch/internal/engine"
	"github.com/silverswitch/silverswitch/internal/routing"
)

// Sizes and rates of the simulation, from an operator's figures.
const (
	Routers     = 6
	Engines     = 18
	places      = 3
	linkDelay   = time.Millisecond // one-way delay between routers
	serviceName = "model"
	// capacity is the tokens a second that the operators state for the service.
	capacity = 390_000
	// datagramOverheadBytes is what encryption, UDP and IPv4 add to a datagram.
	datagramOverheadBytes = 56
)

// class is a kind of request. A prompt has three parts: a base part and an extension of it,
// both shared by many requests, and a part of the single request.
type class struct {
	name                        string
	perSecond                   float64
	baseTokens, extensionTokens int     // of the shared parts
	extensionVariants           int     // number of different extensions of each base part
	meanPromptTokens            float64 // of the part of the single request
	meanOutputTokens            float64
	target                      time.Duration
	deadline                    time.Duration
	baseVariants                int // number of different base parts
	maxPromptTokens             float64
	promptSigma                 float64
}

var classes = []class{
	{"deck-build", 74.3, 2520, 3780, 263, 2890, 52, 600 * time.Millisecond, 6 * time.Second, 4, 39_600, 1.0},
	{"quiz-hint", 94.4, 341, 227, 148, 1800, 24, time.Second, 4 * time.Second, 8, 6870, 1.3},
	{"drill-stream", 76.9, 103, 69, 120, 543, 280, time.Second, 15 * time.Second, 20, 2310, 0.89},
}

// Scenario describes a run.
type Scenario struct {
	Seed          uint64
	Duration      time.Duration // how long callers send
	LoadFactor    float64       // of the normal load
	FloodFactor   float64       // of one organisation's normal load, in the middle third; 0 for no flood
	KillScheduler bool          // kill the scheduler halfway
	Releases      bool          // engines run two software versions and are replaced: see releases.go
	Losses        *Losses       // all routers are lost while versions change: see losses.go; may be nil
	Routers       int           // 0 for Routers
	Overloaded    bool          // two organisations flood, one of them through an overloaded router
	LoadShedding  bool          // two organisations flood, one of them through a load shedding router
	Starved       bool          // two organisations flood, one of them through a starved router
	StarvedRole   bool          // the starved router is the scheduler
	Overlap       *Overlap      // floods that overlap while routers and engines are lost: see overlap.go; may be nil
	FloodDay      *FloodDay     // floods that begin, end and overlap: see floodday.go; may be nil
	Silences      *Silences     // engines say nothing for a moment: see silence.go; may be nil
	Disabled      dispatch.Disabled
	Engine        engine.Config // of all engines; the zero value stands for engine.DefaultConfig
	Pace          *PaceLoad     // other engines and requests, and a target for the gap between events; may be nil
}

// Result holds the measurements of a run.
type Result struct {
	Asked, InTarget, Late, Refused int
	Owed                           float64 // tokens served within the target latency and owed, as a ratio of those owed: see owed.go
	Least                          float64 // the same for the worst served organisation
	Beyond                         float64 // tokens served within the target latency beyond those owed, as a ratio of those owed
	Busy                           float64 // ratio of the time in which an engine has an unread prompt
	ReadAgain                      int     // tokens of shared parts read although some engine had read them recently
	Fetched                        int     // tokens fetched from other engines
	Control                        float64 // control bytes/s sent by a router
	Predicted, Seen                [3]float64
	Ratio                          [3]float64    // seen time over predicted time of each request, once the model has learned
	Fair                           float64       // see fair.go: the run was fair if at least 1
	Margin                         float64       // what the least served organisation started of what it could have, as a ratio of the best served: see fair.go
	Pace                           PaceResult    // of runs with a PaceLoad
	Release                        ReleaseResult // of runs with releases
	Silence                        SilenceResult // of runs with silences
}

// Quantiles are the quantiles in Predicted, Seen (times to the first event, in milliseconds)
// and Ratio.
var Quantiles = [3]float64{0.5, 0.9, 0.99}

// inFlight is a datagram in transit.
type inFlight struct {
	at time.Time
	to wire.NodeID
	d  *wire.Datagram
}

// world is a simulation and its measurements.
type world struct {
	Scenario
	rnd        *rand.Rand
	now        time.Time
	nodes      map[wire.NodeID]*dispatch.Node
	order      []wire.NodeID
	engines    map[string]*engine.Engine
	ids        []string
	calls      map[uint64]*call
	retries    []*call // refused calls, to be retried at the times in retryAt
	retryAt    []time.Time
	inFlight   []inFlight
	stallUntil map[string]time.Time
	// With a PaceLoad, retries and stalls draw from numbers of their own, so that runs with
	// different decisions have the same arrivals.
	retryRnd, stallRnd *rand.Rand
	lastID             uint64
	sentBytes          int
	windows            []window
	fair               fairness
	delayed            []delayed
	shedder            loadShedder
	starved            starvedRouter
	overlap            overlap
	floodDay           floodDay
	releases           releases
	losses             losses
	failing            failing
	outOfStep          outOfStep
	silences           silences
	listAt             map[wire.NodeID]uint64 // revision of each router's list of engines
	readingMS          int                    // summed over the engines that have an unread prompt
	lastUsed           map[uint64]time.Time
	res                Result
	predictedMS        []float64
	seenMS             []float64
	ratios             []float64
}

// orgWeights are the relative loads of the organisations; a few are large.
var orgWeights = func() []float64 {
	var w []float64
	for i := range 16 {
		w = append(w, 1/math.Pow(float64(i+1), 0.9))
	}
	return w
}()

var startTime = time.Unix(1_800_000_000, 0)

// Run simulates the scenario and returns its measurements.
func (s Scenario) Run() (Result, error) {
	w, err := s.simulate()
	if err != nil {
		return Result{}, err
	}
	return w.result(), nil
}

// simulate returns the world at the end of the scenario.
func (s Scenario) simulate() (*world, error) {
	w := &world{Scenario: s, rnd: rand.New(rand.NewPCG(s.Seed, 7)), now: startTime, nodes: map[wire.NodeID]*dispatch.Node{}, engines: map[string]*engine.Engine{},
		calls: map[uint64]*call{}, lastUsed: map[uint64]time.Time{}, stallUntil: map[string]time.Time{}, shedder: newLoadShedder(), listAt: map[wire.NodeID]uint64{}}
	w.retryRnd, w.stallRnd = w.rnd, w.rnd
	if s.Pace != nil {
		w.retryRnd, w.stallRnd = rand.New(rand.NewPCG(s.Seed, 8)), rand.New(rand.NewPCG(s.Seed, 9))
	}
	if err := w.boot(); err != nil {
		return nil, err
	}
	if s.FloodDay != nil {
		w.drawFloods()
	}
	for w.now.Before(startTime.Add(warmUpDuration)) {
		w.step(false)
	}
	sent := w.sentBytes
	w.readingMS = 0
	for w.now.Before(startTime.Add(warmUpDuration + s.Duration)) {
		w.step(true)
	}
	w.res.Busy = float64(w.readingMS) / float64(s.Duration.Milliseconds()) / float64(len(w.ids))
	w.res.Control = float64(w.sentBytes-sent) / s.Duration.Seconds() / float64(w.routers())
	for end := w.now.Add(drainDuration); w.now.Before(end); {
		w.step(false)
	}
	return w, nil
}

const (
	// warmUpDuration is how long routers have to join the fleet before callers send.
	warmUpDuration = 3 * time.Second
	// learnDuration is how long, from the first requests on, the prefill model learns the
	// engines, before its predictions are measured.
	learnDuration = 5 * time.Second
	// drainDuration is how long the last requests have to end.
	drainDuration = 8 * time.Second
	// rereadWindow is how long after its last use a part counts as read again, as the users
	// count it.
	rereadWindow = 7200 * time.Millisecond
)

// boot starts the engines and the routers, with a table and a list of instances.
func (w *world) boot() error {
	b := routing.Builder{Number: 1, Limits: routing.Limits{TokensPerSecond: w.capacity()}}
	f := w.engineConfig()
	b.Services = []*routing.Service{{Name: serviceName, Engine: &routing.Engine{Slots: f.Slots, MemoryTokens: f.MemoryTokens, TokenBytes: 327_680, EventTokens: f.EventTokens}}}
	for _, c := range w.classes() {
		b.Routes = append(b.Routes, &routing.Route{Name: c.name, Host: "h", Prefix: "/" + c.name + "/", Kind: routing.Stream, Resumable: w.hasVersions(), Timeout: c.deadline, TargetLatency: c.target, TargetGap: w.gapTarget(),
			MaxAttempts: 1, Split: []routing.WeightedService{{Service: serviceName, Weight: 1}}})
	}
	for i := range orgWeights {
		b.AddOrganisation(&routing.Organisation{Name: orgName(i)}, []string{orgName(i)})
	}
	table, err := b.Build()
	if err != nil {
		return err
	}
	var list []routing.Instance
	for i := range w.engineCount() {
		id := fmt.Sprintf("e%02d", i)
		list = append(list, routing.Instance{ID: id, Service: serviceName, Address: "10.9.0." + fmt.Sprint(i) + ":1", Place: placeName(i)})
		w.engines[id] = engine.New(f, startTime)
		w.ids = append(w.ids, id)
	}
	w.bootReleases(list, table)
	for i := range w.routers() {
		id := wire.NodeID(fmt.Sprintf("10.1.0.%d:1", i))
		w.order = append(w.order, id)
		n := w.newNode(id, 1)
		n.Step(dispatch.Catalogue{Table: table, Instances: w.releases.list, Revision: firstRevision, AsOf: firstRevision}, startTime)
		w.nodes[id], w.listAt[id] = n, firstRevision
	}
	w.planLosses()
	w.bootSilences()
	return nil
}

// newNode returns a router that knows the seed alone. Its place and random numbers follow from its
// position in the order of routers.
func (w *world) newNode(id wire.NodeID, inc wire.Incarnation) *dispatch.Node {
	i := slices.Index(w.order, id)
	return dispatch.New(dispatch.Settings{ID: id, Inc: inc, Place: placeName(i), Seeds: []wire.NodeID{"10.1.0.0:1"}, First: inc == 1, Retry: w.retryRules(), Seed: uint64(i), Disabled: w.Disabled}, w.now)
}

func (s *Scenario) engineConfig() engine.Config {
	switch {
	case s.Pace != nil:
		return s.Pace.engine
	case s.Engine == engine.Config{}:
		return engine.DefaultConfig
	}
	return s.Engine
}

func (s *Scenario) routers() int { return cmp.Or(s.Routers, Routers) }

func placeName(i int) string { return fmt.Sprintf("p%d", i%places) }

// step advances the simulation by one millisecond.
func (w *world) step(callersSend bool) {
	w.now = w.now.Add(time.Millisecond)
	if callersSend {
		w.drawArrivals()
		w.killSchedulerHalfway()
	}
	w.sendRetries()
	w.tickShedder()
	w.tickStarved()
	w.tickReleases()
	w.tickOverlap()
	w.tickFloodDay()
	w.tickSilences()
	w.runDelayed()
	w.setSpeeds()
	w.advanceEngines()
	w.endOverdue()
	w.deliver()
	tick := w.now.Sub(startTime)%dispatch.TickInterval == 0
	for _, id := range w.order {
		n := w.nodes[id]
		if n == nil || w.isOutOfStep(id, StandsStill) {
			continue
		}
		if tick {
			n.Tick(w.now)
		}
		w.applyOutputs(id, n.Ready(w.now))
	}
}

// killSchedulerHalfway kills the scheduler halfway through the run, if the scenario says so.
func (w *world) killSchedulerHalfway() {
	if !w.KillScheduler || !w.now.Equal(startTime.Add(warmUpDuration+w.Duration/2)) {
		return
	}
	delete(w.nodes, w.scheduler())
}

// applyOutputs carries out what a router has decided.
func (w *world) applyOutputs(id wire.NodeID, outs []dispatch.Output) {
	for _, o := range outs {
		switch o := o.(type) {
		case dispatch.Send:
			raw, err := wire.Encode(o.Datagram)
			if err != nil {
				panic(err) // a node's own datagram is always within the limits
			}
			w.sentBytes += len(raw) + datagramOverheadBytes
			o.Datagram.From = id
			w.inFlight = append(w.inFlight, inFlight{w.now.Add(linkDelay), o.To, o.Datagram})
		case dispatch.Placement:
			if w.decidedBeside(o.ID, &o) {
				continue
			}
			w.decidedAtCrowdedRouter(id, o.ID)
			if c := w.calls[o.ID]; c != nil {
				c.placedAt = w.now
			}
			w.send(id, o)
		case dispatch.Refuse:
			if w.decidedBeside(o.ID, nil) {
				continue
			}
			w.decidedAtCrowdedRouter(id, o.ID)
			w.retryRefused(o)
		case dispatch.FetchSnapshot:
			w.fetchSnapshot(id, o)
		case dispatch.Event:
			if o.Name == "stream-not-confirmed" {
				w.res.Release.OutOfStep.Unconfirmed++
			}
		case dispatch.ConfirmStore:
			w.confirmStore(id, func(asOf uint64) dispatch.Input { return dispatch.StoreConfirmed{No: o.No, AsOf: asOf} })
		}
	}
}

// snapshotDelay is how long a router takes to fetch a snapshot from another one.
const snapshotDelay = 10 * time.Millisecond

// fetchSnapshot gives a router what another one knows as a member of a scheduler group.
func (w *world) fetchSnapshot(id wire.NodeID, o dispatch.FetchSnapshot) {
	w.delayed = append(w.delayed, delayed{w.now.Add(snapshotDelay), func() {
		if from := w.nodes[o.From]; from != nil && !w.areCutOff(o.From, id) {
			w.deliverInput(id, dispatch.SnapshotFetched{From: o.From, Snapshot: from.Snapshot(id, w.now)})
		}
	}})
}

// deliver passes the datagrams that have arrived to their receivers.
func (w *world) deliver() {
	var later []inFlight
	for _, m := range w.inFlight {
		if m.at.After(w.now) {
			later = append(later, m)
		} else if w.nodes[m.to] != nil && !w.areCutOff(m.d.From, m.to) && !w.receiveAtCrowdedRouter(m) {
			w.deliverInput(m.to, dispatch.Receive{Datagram: m.d})
		}
	}
	w.inFlight = later
}

// advanceEngines runs the engines up to now and reports their events to the routers.
func (w *world) advanceEngines() {
	for _, id := range w.ids {
		if w.engines[id].HasUnreadPrompt() {
			w.readingMS++
		}
		if w.isSilent(id) {
			continue
		}
		for _, ev := range w.engines[id].Advance(w.now) {
			c := w.heard(id, &ev)
			if c == nil || c.engine != id {
				continue
			}
			w.paceEvent(c, ev)
			if ev.Kind == engine.More {
				continue
			}
			if ev.Kind == engine.FirstEvent {
				if !c.goesOn {
					w.recordFirstEvent(c, ev.At)
				}
				w.deliverInput(c.router, dispatch.FirstEvent{ID: ev.ID, After: ev.At.Sub(c.placedAt)})
				continue
			}
			delete(w.calls, ev.ID)
			w.deliverInput(c.router, dispatch.End{ID: ev.ID, Event: wire.ProgressDone})
		}
	}
}
