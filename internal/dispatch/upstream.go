package dispatch

import (
	"math"
	"slices"
	"time"

	"github.com/silverswitch/silverswitch/internal/core/wire"
	"github.com/silverswitch/silverswitch/internal/dispatch/pace"
	"github.com/silverswitch/silverswitch/internal/dispatch/prefill"
	"github.com/silverswitch/silverswitch/internal/routing"
	"github.com/silverswitch/silverswitch/internal/version"
)

// Constants of the model of an upstream that are not learned.
const (
	slownessWeight    = 0.25 // of one sample in a plain upstream's slowness
	maxSlowness       = 12.0
	slownessHalfLife  = 3 * time.Second // of a slowness without new samples
	usableMemoryRatio = 0.9             // fraction of an engine's memory that is planned for
	cacheReportTTL    = 2 * time.Second // how long an engine's own report on its cache is relied on
)

// upstream is the model of one instance: its load and health, and for an engine its prefill
// queue and prefix cache.
type upstream struct {
	id              version.ID
	inst            routing.Instance
	version         version.ID // of its software
	place           version.ID
	region          version.ID                   // 0 if unknown
	runs            map[runKey]*run              // nil until the first use
	usageByRouter   map[wire.NodeID]*routerUsage // nil until the first use
	total           usageTotals
	unread          []*run // without a first event, in the order of placement
	queue           prefill.Queue
	startedUpTo     time.Time // latest placement of a run that has started
	outputTokens    int       // that its runs will generate
	cache           *cache
	cached          int       // cached tokens of the prompt that is being placed
	ready           int       // of these, already prefilled
	cacheReportedAt time.Time // when the engine last reported its cache
	slowFactor      float64   // a plain upstream's times relative to the pool's, 1 is normal
	slowSeenAt      time.Time
	ejection        ejection
	conns           conns
	cold            coldState
	slots           *upstreamSlots // of a plain upstream, nil until the first use
	pace            pace.Engine
	streams         streamCount
	congestedAt     time.Time // when a gap between events last came near its target
	// evacuated says that its place is evacuated.
	evacuated bool

	set          *placeSet
	lastUsed     time.Time
	inUse        int    // its index in the working set, notInUse outside it
	lastDecision uint64 // number of the last decision that considered it
	statementSeq uint64 // number of the last statement of a load here
}

// runKey identifies a placed request in the whole fleet.
type runKey struct {
	node wire.NodeID
	no   uint64
}

// run is a placed request.
type run struct {
	key          runKey
	up           *upstream
	org          version.ID
	cost         float64 // as counted by the meter
	work         int     // tokens to prefill
	tokens       int     // of memory that the run does not share with cached parts
	outputTokens int     // of these, to be generated
	parts        []wire.PromptPart
	until        time.Time // when it has certainly ended
	prompt       prefill.Prompt
	entry        *prefill.Entry
	pace         runPace
	firstEvent   bool
	placedAt     time.Time
	overtaken    bool                // its cost was taken back: its upstream has started later ones
	reported     bool                // another router is the scheduler, and gets a report of it
	try          uint32              // number of the placement request that placed it
	reply        wire.PlacementReply // to that placement request
	slot         slotRun
	stream       runStream // of another router's request
	expectMS     float64   // expected time to the first event
	rejected     bool      // its upstream has stated that it did not run it
	probes       bool      // its version was out of use
}

func newUpstream(inst routing.Instance, engine *routing.Engine) *upstream {
	u := &upstream{
		id:         version.IDOf(inst.StartID()),
		inst:       inst,
		version:    version.IDOf(inst.Version),
		place:      version.IDOf(inst.Place),
		slowFactor: 1,
		inUse:      notInUse,
	}
	if engine != nil {
		u.cache = newCache(int(float64(engine.MemoryTokens) * usableMemoryRatio))
	}
	return u
}

// routerUsage is what one router uses of an upstream: what was placed here, and what else
// the router states.
type routerUsage struct {
	runs, tokens int // placed here
	load         wire.UpstreamLoad
}

// usageTotals is a sum over routers, kept current by updateUsage.
type usageTotals struct{ running, memory, unread int }

func (n *routerUsage) sum() usageTotals {
	return usageTotals{
		running: n.runs + int(n.load.Running),
		memory:  n.tokens + int(n.load.Tokens),
		unread:  int(n.load.Unread),
	}
}

// updateUsage changes a router's usage and the totals with it.
func (u *upstream) updateUsage(node wire.NodeID, alter func(*routerUsage)) {
	n := u.usageByRouter[node]
	if n == nil {
		n = &routerUsage{}
		if u.usageByRouter == nil {
			u.usageByRouter = map[wire.NodeID]*routerUsage{}
		}
		u.usageByRouter[node] = n
	}
	old := n.sum()
	alter(n)
	now := n.sum()
	u.total.running += now.running - old.running
	u.total.memory += now.memory - old.memory
	u.total.unread += now.unread - old.unread
	if *n == (routerUsage{}) {
		delete(u.usageByRouter, node)
	}
}

// running returns the number of requests at the upstream.
func (u *upstream) running() int { return u.total.running }

// memory returns the tokens of memory that running requests hold.
func (u *upstream) memory() int { return u.total.memory }

// backlog returns how long the engine needs to prefill all that it was sent, in
// milliseconds. The loads that routers state were placed by an earlier scheduler, or by the
// routers themselves.
func (u *upstream) backlog(m prefill.Model, now time.Time) float64 {
	return u.queue.Wait(m, now) + u.stated(m, now)
}

// stated returns the part of the backlog that routers state beyond what was placed here.
func (u *upstream) stated(m prefill.Model, now time.Time) float64 {
	return float64(u.total.unread) * m.PerToken * u.queue.Slow(m, now)
}

// decayStatedLoad subtracts from the stated loads what the engine has prefilled since they
// were stated. In a large fleet routers state them only every second and a half; without
// this, an engine with nothing else to prefill seemed up to a second behind for that long.
func (u *upstream) decayStatedLoad(m prefill.Model, elapsed time.Duration, now time.Time) {
	if u.total.unread == 0 || u.queue.Wait(m, now) > 0 || m.PerToken <= 0 {
		return
	}
	read := float64(elapsed) / float64(time.Millisecond) / (m.PerToken * u.queue.Slow(m, now))
	fraction := min(1, read/float64(u.total.unread))
	for id, n := range u.usageByRouter {
		if n.load.Unread > 0 {
			u.updateUsage(id, func(n *routerUsage) { n.load.Unread -= uint32(math.Ceil(fraction * float64(n.load.Unread))) })
		}
	}
}

// placeRun appends a run to the queue.
func (u *upstream) placeRun(r *run, now time.Time) {
	r.up = u
	u.streams.stale = true
	u.markUsed(now)
	if u.runs == nil {
		u.runs = map[runKey]*run{}
	}
	u.runs[r.key] = r
	u.conns.use(r.key.node, now)
	u.unread = append(u.unread, r)
	r.entry = u.queue.Add(r.prompt, now)
	u.outputTokens += r.outputTokens
	u.updateUsage(r.key.node, func(n *routerUsage) {
		n.runs++
		n.tokens += r.tokens
	})
	if u.cache == nil {
		return
	}
	for _, p := range r.parts {
		u.cache.add(p.Part, int(p.Tokens), false, now)
	}
	u.fit(now)
}

// fit evicts cached parts from the model for which running requests leave no memory. The
// requests' prompts are cached parts themselves, so only their output adds to these.
//
// While the engine reports evictions itself, none are assumed.
func (u *upstream) fit(now time.Time) {
	if now.Sub(u.cacheReportedAt) < cacheReportTTL {
		return
	}
	u.cache.fit(u.outputTokens)
}

// privateTokens returns the memory that a request shares with no other: the last part of its
// prompt and its output.
func privateTokens(input, output int, parts []wire.PromptPart) int {
	if len(parts) > 0 {
		input = int(parts[len(parts)-1].Tokens)
	}
	return input + output
}

// markRead removes a run from the unread ones: its first event came, or it ended.
func (u *upstream) markRead(r *run, now time.Time) {
	i := slices.Index(u.unread, r)
	if i < 0 {
		return
	}
	u.unread = slices.Delete(u.unread, i, i+1)
	if r.entry.IsSuspect() {
		u.queue.CompleteAsExpected(r.entry, u.queue.Model(), now)
		return
	}
	u.queue.Drop(r.entry, now)
}

// endRun removes a run. prefilled says that its prompt was prefilled.
func (u *upstream) endRun(r *run, prefilled bool, now time.Time) {
	u.markRead(r, now)
	delete(u.runs, r.key)
	u.streams.stale = true
	u.outputTokens -= r.outputTokens
	u.updateUsage(r.key.node, func(n *routerUsage) {
		n.runs--
		n.tokens -= r.tokens
	})
	if prefilled {
		u.conns.release(r.key.node, now)
	}
	if prefilled || r.firstEvent || u.cache == nil {
		return
	}
	for _, p := range r.parts {
		if e := u.cache.parts[p.Part]; e != nil && !e.Value.(*cachedPart).ready && !u.willRead(p.Part) {
			u.cache.drop(p.Part)
		}
	}
}

// willRead reports whether an unread run will prefill the part.
func (u *upstream) willRead(part uint64) bool {
	for _, q := range u.unread {
		for _, p := range q.parts {
			if p.Part == part {
				return true
			}
		}
	}
	return false
}

// observeLatency adjusts a plain upstream's slowness by the latency of an answer, relative to
// the expected one.
func (u *upstream) observeLatency(got, want float64, now time.Time) {
	ratio := min(max(got/max(want, 1), 0.2), maxSlowness)
	u.slowFactor = min(max(u.slowFactor*(1+slownessWeight*(ratio-1)), 0.7), maxSlowness)
	u.slowSeenAt = now
}

// slowness returns the upstream's times relative to its service's, 1 is normal.
func (u *upstream) slowness(m prefill.Model, now time.Time) float64 {
	if u.cache != nil {
		return u.queue.Slow(m, now)
	}
	return u.slowFactor
}

// fadeSlowness reduces a slowness without new samples, so that the upstream is tried again.
func (u *upstream) fadeSlowness(now time.Time) {
	if u.slowFactor > 1 && now.Sub(u.slowSeenAt) > slownessHalfLife {
		u.slowFactor = 1 + (u.slowFactor-1)/2
		u.slowSeenAt = now
	}
}
