package dispatch

import (
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/silverswitch/silverswitch/internal/core/wire"
	"github.com/silverswitch/silverswitch/internal/routing"
	"github.com/silverswitch/silverswitch/internal/version"
)

// slowLoad replays the load of soak seed 4017 without processes: three engines that may serve
// less than is stated, three routers of which some are stopped and restarted, and callers that
// wait for each answer. Per router six callers of an organisation that floods, two of a small one
// and one of the small one that leaves after 90 ms. Engines read one prompt at a time. They cache
// nothing, while routers expect cached parts, or with caching they cache the first tokens of
// each prompt, which nine requests of an organisation share.
type slowLoad struct {
	*fleet
	rnd     *rand.Rand
	perMS   float64 // tokens that an engine reads in a millisecond
	caching bool
	cached  map[string]map[uint64]bool // parts, by engine
	reading map[string][]*slowCall
	callers []*slowCaller
	down    map[wire.NodeID]bool // routers that accept no callers
	no      uint64
	from    time.Time
	refused map[string]int
	asked   map[string]int
}

type slowCaller struct {
	router  wire.NodeID
	org     string
	pause   time.Duration
	leaves  time.Duration // after which it leaves, 0 if it does not
	count   int
	due     time.Time // of its next request
	current *slowCall
}

type slowCall struct {
	caller  *slowCaller
	router  wire.NodeID
	no      uint64
	sent    time.Time
	tokens  int
	parts   []wire.PromptPart
	engine  string
	readBy  time.Time // when its prompt has been read, zero while it waits
	ended   time.Time // when its last event comes, zero before the first event
	leaveAt time.Time
}

func newSlowLoad(t *testing.T, perMS float64, caching bool, seed uint64) *slowLoad {
	w := &slowLoad{fleet: newFleet(t, 3, 3), rnd: rand.New(rand.NewPCG(seed, 1)), perMS: perMS, caching: caching, cached: map[string]map[uint64]bool{}, reading: map[string][]*slowCall{}, down: map[wire.NodeID]bool{}, refused: map[string]int{}, asked: map[string]int{}}
	for _, id := range w.order {
		n := w.nodes[id]
		n.Step(Catalogue{Table: slowTable(t), Instances: instances(3), Revision: 6, AsOf: 10}, w.now)
		for range 6 {
			w.addCaller(id, "flood", 5*time.Millisecond, 0)
		}
		w.addCaller(id, "small", 120*time.Millisecond, 0)
		w.addCaller(id, "small", 120*time.Millisecond, 0)
		w.addCaller(id, "small", 200*time.Millisecond, 90*time.Millisecond)
	}
	w.from = w.now
	return w
}

// slowTable states the capacity of three engines that read 8 tokens a millisecond each.
func slowTable(t *testing.T) *routing.Table {
	t.Helper()
	b := routing.Builder{Number: 2, Limits: routing.Limits{TokensPerSecond: 24_000}, Services: []*routing.Service{
		{Name: engines, Engine: &routing.Engine{Slots: 32, MemoryTokens: 200_000, TokenBytes: 10, EventTokens: 3}},
		{Name: counter},
	}, Routes: []*routing.Route{{Name: "r", Prefix: "/", Timeout: 6 * time.Second, TargetLatency: 600 * time.Millisecond, Split: []routing.WeightedService{{Service: engines, Weight: 1}}}}}
	for _, org := range []string{"flood", "small"} {
		b.AddOrganisation(&routing.Organisation{Name: org}, nil)
	}
	tab, err := b.Build()
	if err != nil {
		t.Fatal(err)
	}
	return tab
}

func (w *slowLoad) addCaller(router wire.NodeID, org string, pause, leaves time.Duration) {
	w.callers = append(w.callers, &slowCaller{router: router, org: org, pause: pause, leaves: leaves, due: w.now.Add(time.Duration(w.rnd.IntN(50)) * time.Millisecond)})
}

// play runs the load for a duration.
func (w *slowLoad) play(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); {
		for _, c := range w.callers {
			w.advance(c)
		}
		w.readPrompts()
		w.run(TickInterval)
	}
}

// advance sends a caller's next request, or reads the answer to the current one.
func (w *slowLoad) advance(c *slowCaller) {
	if c.current == nil {
		if !w.now.Before(c.due) {
			w.send(c)
		}
		return
	}
	x := c.current
	if x.engine == "" {
		switch o := w.got[x.router][x.no].(type) {
		case Placement:
			x.engine = o.Instance.ID
			w.reading[x.engine] = append(w.reading[x.engine], x)
		case Refuse:
			w.count(c, true)
			c.current, c.due = nil, w.now.Add(c.pause+50*time.Millisecond)
			return
		}
	}
	switch {
	case c.leaves > 0 && !w.now.Before(x.leaveAt):
		w.finish(x, wire.ProgressUnused)
		c.due = w.now.Add(c.pause + 50*time.Millisecond)
	case !x.ended.IsZero() && !w.now.Before(x.ended):
		w.count(c, false)
		w.finish(x, wire.ProgressDone)
		c.due = w.now.Add(c.pause)
	}
}

// send sends every second request to the engines; the others are plain ones that take 15 ms.
func (w *slowLoad) send(c *slowCaller) {
	c.count++
	if c.leaves == 0 && c.count%4 >= 2 {
		c.due = w.now.Add(15*time.Millisecond + c.pause)
		return
	}
	if w.down[c.router] {
		c.due = w.now.Add(50*time.Millisecond + c.pause)
		return
	}
	w.no++
	x := &slowCall{caller: c, router: c.router, no: w.no, sent: w.now, tokens: 400 + w.rnd.IntN(2400), leaveAt: w.now.Add(c.leaves)}
	c.current = x
	x.parts = w.promptParts(x)
	w.nodes[c.router].Step(Arrive{Request: Request{ID: x.no, Service: engines, Org: c.org, Input: x.tokens, Output: 100, Parts: x.parts,
		TargetTime: w.now.Add(600 * time.Millisecond), Deadline: w.now.Add(6 * time.Second)}}, w.now)
	w.deliver()
}

// promptParts returns the parts of a prompt: with caching a shared one and its own, else one that
// requests of other lengths share.
func (w *slowLoad) promptParts(x *slowCall) []wire.PromptPart {
	const sharedTokens = 400 // the shortest prompt
	shared := wire.PromptPart{Part: uint64(len(x.caller.org)*100 + w.rnd.IntN(9)), Tokens: uint32(x.tokens)}
	if !w.caching {
		return []wire.PromptPart{shared}
	}
	shared.Tokens = sharedTokens
	return []wire.PromptPart{shared, {Part: 1_000_000 + x.no, Tokens: uint32(x.tokens - sharedTokens)}}
}

// unread returns how many tokens of a prompt an engine has to read. It caches the shared part.
func (w *slowLoad) unread(engine string, x *slowCall) int {
	if !w.caching {
		return x.tokens
	}
	if w.cached[engine] == nil {
		w.cached[engine] = map[uint64]bool{}
	}
	shared := x.parts[0]
	if w.cached[engine][shared.Part] {
		return x.tokens - int(shared.Tokens)
	}
	w.cached[engine][shared.Part] = true
	return x.tokens
}

func (w *slowLoad) count(c *slowCaller, refused bool) {
	if c.leaves > 0 || w.now.Before(w.from) {
		return
	}
	w.asked[c.org]++
	if refused {
		w.refused[c.org]++
	}
}

// finish ends a call at its engine and at its router.
func (w *slowLoad) finish(x *slowCall, event uint8) {
	list := w.reading[x.engine]
	for i, o := range list {
		if o == x {
			w.reading[x.engine] = append(list[:i:i], list[i+1:]...)
			break
		}
	}
	w.nodes[x.router].Step(End{ID: x.no, Event: event}, w.now)
	x.caller.current = nil
}

// readPrompts lets each engine read its prompts one after the other.
func (w *slowLoad) readPrompts() {
	for _, inst := range instances(3) {
		id, list := inst.ID, w.reading[inst.ID]
		if len(list) == 0 {
			continue
		}
		x := list[0]
		if x.readBy.IsZero() {
			x.readBy = w.now.Add(time.Duration(float64(w.unread(id, x))/w.perMS) * time.Millisecond)
		}
		if w.now.Before(x.readBy) {
			continue
		}
		w.reading[id] = list[1:]
		x.ended = w.now.Add(time.Duration(4+w.rnd.IntN(30)) * 12 * time.Millisecond)
		w.nodes[x.router].Step(FirstEvent{ID: x.no, After: w.now.Sub(x.sent)}, w.now)
	}
}

// stop stops a router as planned. After 300 ms it accepts no callers.
func (w *slowLoad) stop(id wire.NodeID) {
	w.nodes[id].Step(Leave{}, w.now)
	w.play(300 * time.Millisecond)
	w.down[id] = true
}

// idle reports whether no caller waits for an answer from a router.
func (w *slowLoad) idle(id wire.NodeID) bool {
	for _, c := range w.callers {
		if c.router == id && c.current != nil {
			return false
		}
	}
	return true
}

// restartIdle restarts the stopped routers whose requests have ended.
func (w *slowLoad) restartIdle() {
	for _, id := range w.order {
		if w.down[id] && w.idle(id) {
			w.restart(id)
			w.down[id] = false
		}
	}
}

// playRestarting runs the load and restarts stopped routers.
func (w *slowLoad) playRestarting(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); {
		w.play(TickInterval)
		w.restartIdle()
	}
}

// ratio is the part of an organisation's requests that was refused.
func (w *slowLoad) ratio(org string) float64 {
	return float64(w.refused[org]) / float64(max(1, w.asked[org]))
}

// replay4017 plays the faults of the seed: the scheduler is stopped after 0.8 s, and two of
// three routers after 3.9 and 4.3 s. Refusals count from 4 s on, as the soak counts them.
func replay4017(t *testing.T, perMS float64, caching bool, seed uint64) *slowLoad {
	w := newSlowLoad(t, perMS, caching, seed)
	w.from = w.now.Add(4 * time.Second)
	w.playRestarting(800 * time.Millisecond)
	first := w.scheduler()
	w.stop(first)
	w.playRestarting(2800 * time.Millisecond)
	w.stop(first)
	w.playRestarting(100 * time.Millisecond)
	for _, id := range w.order {
		if id != first {
			w.stop(id)
			break
		}
	}
	w.playRestarting(3 * time.Second)
	return w
}

// replays4017 plays the faults with the seeds from 0 on, several at a time.
func replays4017(t *testing.T, perMS float64, caching bool, replays int) []*slowLoad {
	out := make([]*slowLoad, replays)
	t.Run("replays", func(t *testing.T) {
		for seed := range out {
			t.Run(strconv.Itoa(seed), func(t *testing.T) {
				t.Parallel()
				out[seed] = replay4017(t, perMS, caching, uint64(seed))
			})
		}
	})
	return out
}

// Guards against refusing a small organisation nearly as often as one that floods, where engines
// serve five eighths of the stated capacity and schedulers follow each other. The soak allows 0.6
// of the flood's ratio. One replay holds only 10 to 30 requests of the small organisation, so
// some replays miss that by chance: before, 26 of 150 did, with a mean of 0.42.
func TestSmallOrganisationGoesFirstAtSlowEngines(t *testing.T) {
	t.Parallel()
	const replays, maxMissed, maxMean = 150, 20, 0.36
	missed, sum := 0, 0.0
	for _, w := range replays4017(t, 5, false, replays) {
		small, flood := w.ratio("small"), w.ratio("flood")
		if flood > 0.25 && small > 0.6*flood {
			missed++
		}
		sum += small / max(flood, 0.01)
	}
	t.Logf("%d of %d replays missed the bound, mean %.3f", missed, replays, sum/replays)
	assert.LessOrEqual(t, missed, maxMissed)
	assert.LessOrEqual(t, sum/replays, maxMean)
}

// Guards against refusing a small organisation nearly as often as one that floods while schedulers
// follow each other, at engines that serve what is stated and cache what they have read. Usage
// that a standby had received was replicated once more when it became the scheduler: the small
// organisation seemed to be at its share, and a fifth of the replays missed the bound of the soak.
// The seed has to pass 30 times in a row, so at most one replay in thirty may miss it.
func TestSmallOrganisationGoesFirstThroughTakeovers(t *testing.T) {
	t.Parallel()
	const replays, maxMissed = 60, 2
	missed := 0
	for _, w := range replays4017(t, 8, true, replays) {
		if small, flood := w.ratio("small"), w.ratio("flood"); flood > 0.25 && small > 0.6*flood {
			missed++
		}
	}
	t.Logf("%d of %d replays missed the bound", missed, replays)
	assert.LessOrEqual(t, missed, maxMissed)
}

// serve counts tokens that were granted and have started.
func (m *meter) serve(org version.ID, tokens float64, now time.Time) {
	m.addGrant(org, tokens, now)
	m.addStart(org, tokens, now)
}

// slowMeter returns a meter of engines that serve half of what is stated, after a window in
// which an organisation that floods was granted most of that. The small one requested so much in
// each step.
func slowMeter(t *testing.T, requested float64) (*meter, time.Time) {
	t.Helper()
	m := newMeter(1000)
	now := start
	for range shareSteps {
		now = now.Add(shareStep)
		m.addRequest(1, requested, now)
		m.addRequest(2, 2000, now)
		m.serve(1, 45, now)
		m.serve(2, 80, now)
	}
	return m, now
}

// Guards against treating organisations alike of which one has used more and the other less than
// its part of what engines serve, because both are under their shares of the stated capacity.
func TestLeadCountsBelowTheStatedShare(t *testing.T) {
	m, now := slowMeter(t, 200)
	assert.Less(t, m.usedShare(2, now), 1.0)
	assert.True(t, m.mustYield(2, now))
	assert.False(t, m.mustYield(1, now))
}

// Guards against a hold by what a window with gaps holds: just after a change of scheduler the
// window lacked the last second of a flood's grants, and the small organisation was refused
// because of its share in front of idle engines.
func TestWindowWithAGapHoldsNoSmallOrganisationBack(t *testing.T) {
	m, now := slowMeter(t, 200)
	for range stepsPerSecond {
		now = now.Add(shareStep)
		m.addRequest(1, 200, now)
		m.addRequest(2, 2000, now)
		m.serve(1, 45, now)
	}
	assert.False(t, m.mustYield(1, now))
}

// Guards against changed decisions where engines serve what is asked: nobody goes short but the
// organisation that floods, or nobody has done so for a second.
func TestNobodyIsHeldBackForAFloodOfItsOwn(t *testing.T) {
	m, now := slowMeter(t, 45)
	assert.False(t, m.mustYield(2, now))
	assert.False(t, m.mustYield(1, now))
	assert.Zero(t, m.ledger.usedSlack(2))
	m = newMeter(1000)
	m.addRequest(1, 500, start)
	m.serve(1, 300, start)
	m.addRequest(2, 5000, start)
	m.serve(2, 3000, start)
	assert.False(t, m.mustYield(2, start), "little is granted in the first second at any engine")
}

// Guards against a hold that outlasts slow engines.
func TestHoldEndsWithinAWindow(t *testing.T) {
	m, now := slowMeter(t, 200)
	require.True(t, m.mustYield(2, now))
	for range shareSteps {
		now = now.Add(shareStep)
		m.addRequest(1, 50, now)
		m.serve(1, 50, now)
		m.addRequest(2, 2000, now)
		m.serve(2, 200, now)
	}
	assert.False(t, m.mustYield(2, now))
}

// Guards against a new scheduler that holds nobody back: the snapshot has what was requested and
// granted, and neither what was refused nor what had started. An organisation that was granted
// what it requested does not go short.
func TestHoldOutlastsAScheduler(t *testing.T) {
	old, now := slowMeter(t, 200)
	p := newPool(&routing.Service{Name: engines, Engine: &routing.Engine{Slots: 32, MemoryTokens: 200_000}}, 1000)
	p.meter.applySnapshot(old.window(now), now)
	require.True(t, old.mustYield(2, now))
	assert.True(t, p.meter.mustYield(2, now))
	assert.False(t, p.meter.mustYield(1, now))
	assert.InDelta(t, old.ledger.usedSlack(2), p.meter.ledger.usedSlack(2), 0.001)

	served := newMeter(1000)
	for step := range shareSteps {
		now := start.Add(time.Duration(step) * shareStep)
		served.addReplicated(1, 100, 100, now)
		served.addReplicated(2, 9000, 4000, now)
	}
	assert.False(t, served.mustYield(2, start.Add((shareSteps-1)*shareStep)))
	assert.True(t, served.ledger.rows[2].short)
	assert.False(t, served.ledger.rows[1].short)
}

// Guards against a negative use of shares: callers that left were refunded in a later step than
// their grants, which left the window first. The soak showed a use of -1,960 tokens.
func TestRefundIsTakenBackInTheStepOfItsGrant(t *testing.T) {
	m := newMeter(1000)
	m.addRequest(1, 500, start)
	m.addGrant(1, 500, start)
	later := start.Add(3 * time.Second)
	m.addRequest(1, 100, later)
	m.addGrant(1, 100, later)
	m.refund(1, 500, start, later)
	assert.InDelta(t, 100, windowTotal(&m.at(1, later).got), 0.01)
	gone := start.Add(5 * time.Second)
	assert.InDelta(t, 100, windowTotal(&m.at(1, gone).got), 0.01)
	m.refund(1, 500, start, gone)
	assert.InDelta(t, 100, windowTotal(&m.at(1, gone).got), 0.01, "the grant has left the window")
	m.refund(9, 500, start, gone)
	assert.Zero(t, m.usageOf(9).got)
}

// Guards against a division by zero, and against a rule that needs a stated capacity.
func TestHoldWithoutAStatedCapacity(t *testing.T) {
	m, now := slowMeter(t, 200)
	m.setCapacity(0)
	assert.Zero(t, m.usedShare(1, now))
	assert.True(t, m.mustYield(2, now))
	assert.False(t, m.mustYield(1, now))
	assert.False(t, newMeter(0).mustYield(1, start))
}

// The status tells what engines start of the stated capacity, and a log line and the status tell
// who goes short.
func TestStartedCapacityAndMarginAreReported(t *testing.T) {
	f := newFleet(t, 1, 2)
	n := f.nodes[f.order[0]]
	p := n.pools[serviceID(engines)]
	p.meter = newMeter(1000)
	for range ledgerSteps {
		f.run(shareStep)
		p.meter.addRequest(1, 200, f.now)
		p.meter.addRequest(2, 200, f.now)
		p.meter.serve(1, 20, f.now)
		p.meter.serve(2, 80, f.now)
	}
	f.run(reportInterval)
	caps := n.Capacities(f.now)
	require.Len(t, caps, 1)
	assert.Equal(t, 1000, caps[0].Stated)
	assert.Positive(t, caps[0].Started)
	assert.InDelta(t, 25, n.LeastServedPercent(f.now), 1)
	f.run(2 * ledgerSteps * shareStep)
	assert.Zero(t, n.Capacities(f.now)[0].Started)
	assert.Equal(t, 100, n.LeastServedPercent(f.now))
}

// Guards against engines that stand idle after a restart of all routers: refusals of the first
// second made shares parts of the little that had been granted, and organisations at half of
// their stated shares were refused for the rest of the window.
func TestHoldEndsWithTheRefusals(t *testing.T) {
	m := newMeter(1_000_000)
	now := start
	a, b := version.ID(1), version.ID(2)
	for range stepsPerSecond {
		for _, org := range []version.ID{a, b} {
			m.addRequest(org, 100_000, now)
		}
		m.serve(a, 40_000, now)
		now = now.Add(shareStep)
	}
	now = now.Add(-shareStep)
	assert.True(t, m.usedShare(a, now) < 1)
	m.setCapacity(100_000)
	assert.True(t, m.mustYield(a, now), "requests of the other one are still refused")
	now = now.Add(time.Second + shareStep)
	m.addRequest(a, 100_000, now)
	m.addRequest(b, 100_000, now)
	assert.False(t, m.mustYield(a, now), "none is any more, so the engines have room")
}
