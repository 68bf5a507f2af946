package dispatch

import (
	"math"
	"slices"
	"time"

	"github.com/silverswitch/silverswitch/internal/core/wire"
	"github.com/silverswitch/silverswitch/internal/dispatch/prefill"
	"github.com/silverswitch/silverswitch/internal/routing"
	"github.com/silverswitch/silverswitch/internal/version"
)

// Figures of the model of an upstream that are not learned.
const (
	slowWeight   = 0.25 // of one sample in a plain upstream's own slowness
	maxSlow      = 12.0
	slowHalfLife = 3 * time.Second // of a slowness that is not seen again
	memoryUsable = 0.9             // part of an engine's memory planned for
	toldFor      = 2 * time.Second // an engine's own word on what it keeps is believed
)

// upstream is what is known of one instance: its load, its health, and for an
// engine what it reads and keeps.
type upstream struct {
	id     version.ID
	inst   routing.Instance
	place  version.ID
	region version.ID               // 0 when it is not known
	runs   map[runKey]*run          // nil while it was never used
	nodes  map[wire.NodeID]*nodeUse // the same
	total  use
	unread []*run // without a first event, in order of placing
	queue  prefill.Queue
	output int // tokens that its runs will generate
	cache  *cache
	kept   int       // tokens of the prompt that is being placed that it keeps
	ready  int       // of these, read
	told   time.Time // the engine said itself what it keeps
	slow   float64   // a plain upstream's times against the pool's, 1 is normal
	seen   time.Time
	rest   rest
	conns  conns
	cold   coldState
	// evacuated says that its place is.
	evacuated bool

	set      *placeSet
	used     time.Time // last
	inUse    int       // its place in the working set, notInUse outside it
	lookedAt uint64    // number of the last decision that looked at it
	statedNo uint64    // number of the last statement of a load here
}

// runKey names a request placed anywhere in the fleet.
type runKey struct {
	node wire.NodeID
	no   uint64
}

// run is one placed request.
type run struct {
	key    runKey
	up     *upstream
	org    version.ID
	cost   float64 // as the meter counts it
	work   int     // tokens to read
	tokens int     // of memory that is this run's own: not shared with kept parts
	output int     // of that, what it generates
	parts  []wire.PromptPart
	until  time.Time // it has surely ended by then
	prompt prefill.Prompt
	entry  *prefill.Entry
	first  bool
	told   bool            // another router is the scheduler, and is told of it
	try    uint32          // of the ask that placed it
	answer wire.WorkAnswer // to that ask
}

func newUpstream(inst routing.Instance, engine *routing.Engine) *upstream {
	u := &upstream{
		id:    version.IDOf(inst.StartID()),
		inst:  inst,
		place: version.IDOf(inst.Place),
		slow:  1,
		inUse: notInUse,
	}
	if engine != nil {
		u.cache = newCache(int(float64(engine.MemoryTokens) * memoryUsable))
	}
	return u
}

// nodeUse is what one router has at an upstream: what was placed here, and what else
// the router states.
type nodeUse struct {
	runs, tokens int // placed here
	load         wire.WorkLoad
}

// use is a sum over routers, kept up to date by change.
type use struct{ running, memory, unread int }

func (n *nodeUse) sum() use {
	return use{
		running: n.runs + int(n.load.Running),
		memory:  n.tokens + int(n.load.Tokens),
		unread:  int(n.load.Unread),
	}
}

// change alters a router's use and the sums with it.
func (u *upstream) change(node wire.NodeID, alter func(*nodeUse)) {
	n := u.nodes[node]
	if n == nil {
		n = &nodeUse{}
		if u.nodes == nil {
			u.nodes = map[wire.NodeID]*nodeUse{}
		}
		u.nodes[node] = n
	}
	old := n.sum()
	alter(n)
	now := n.sum()
	u.total.running += now.running - old.running
	u.total.memory += now.memory - old.memory
	u.total.unread += now.unread - old.unread
	if *n == (nodeUse{}) {
		delete(u.nodes, node)
	}
}

// running returns the requests at the upstream.
func (u *upstream) running() int { return u.total.running }

// memory returns the tokens that running requests hold.
func (u *upstream) memory() int { return u.total.memory }

// backlog returns how long the engine needs to read what it was sent, in
// milliseconds. What routers state was decided by the scheduler before, or by the
// routers themselves.
func (u *upstream) backlog(m prefill.Model, now time.Time) float64 {
	return u.queue.Wait(m, now) + u.stated(m, now)
}

// stated is the part of the backlog that routers state beyond what was placed here.
func (u *upstream) stated(m prefill.Model, now time.Time) float64 {
	return float64(u.total.unread) * m.PerToken * u.queue.Slow(m, now)
}

// workOff takes from what routers state what the engine has read since: they state it
// anew every second and a half in a large fleet, and an engine with nothing else to read
// seemed up to a second behind for so long.
func (u *upstream) workOff(m prefill.Model, elapsed time.Duration, now time.Time) {
	if u.total.unread == 0 || u.queue.Wait(m, now) > 0 || m.PerToken <= 0 {
		return
	}
	read := float64(elapsed) / float64(time.Millisecond) / (m.PerToken * u.queue.Slow(m, now))
	part := min(1, read/float64(u.total.unread))
	for id, n := range u.nodes {
		if n.load.Unread > 0 {
			u.change(id, func(n *nodeUse) { n.load.Unread -= uint32(math.Ceil(part * float64(n.load.Unread))) })
		}
	}
}

// placeRun adds a run at the end of the queue.
func (u *upstream) placeRun(r *run, now time.Time) {
	r.up = u
	u.touch(now)
	if u.runs == nil {
		u.runs = map[runKey]*run{}
	}
	u.runs[r.key] = r
	u.conns.take(r.key.node, now)
	u.unread = append(u.unread, r)
	r.entry = u.queue.Add(r.prompt, now)
	u.output += r.output
	u.change(r.key.node, func(n *nodeUse) {
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

// fit forgets kept parts for which running requests leave no memory. Their
// prompts are among the parts, so only what they generate comes on top.
//
// While the engine tells itself what has left, nothing is guessed.
func (u *upstream) fit(now time.Time) {
	if now.Sub(u.told) < toldFor {
		return
	}
	u.cache.fit(u.output)
}

// ownTokens is the memory of a request that it shares with no other: the last
// part of its prompt and what it generates.
func ownTokens(input, output int, parts []wire.PromptPart) int {
	if len(parts) > 0 {
		input = int(parts[len(parts)-1].Tokens)
	}
	return input + output
}

// read takes the run out of those that are unread: its first event came, or it ended.
func (u *upstream) read(r *run, now time.Time) {
	i := slices.Index(u.unread, r)
	if i < 0 {
		return
	}
	u.unread = slices.Delete(u.unread, i, i+1)
	if r.entry.Doubted() {
		u.queue.Settle(r.entry, u.queue.Model(), now)
		return
	}
	u.queue.Drop(r.entry, now)
}

// end forgets a run. whole says that its prompt was read.
func (u *upstream) end(r *run, whole bool, now time.Time) {
	u.read(r, now)
	delete(u.runs, r.key)
	u.output -= r.output
	u.change(r.key.node, func(n *nodeUse) {
		n.runs--
		n.tokens -= r.tokens
	})
	if whole {
		u.conns.put(r.key.node, now)
	}
	if whole || r.first || u.cache == nil {
		return
	}
	for _, p := range r.parts {
		if e := u.cache.parts[p.Part]; e != nil && !e.Value.(*part).ready && !u.reading(p.Part) {
			u.cache.drop(p.Part)
		}
	}
}

// reading reports whether an unread run will read the part.
func (u *upstream) reading(part uint64) bool {
	for _, q := range u.unread {
		for _, p := range q.parts {
			if p.Part == part {
				return true
			}
		}
	}
	return false
}

// observe corrects a plain upstream's slowness by the time of an answer against what
// was expected.
func (u *upstream) observe(got, want float64, now time.Time) {
	ratio := min(max(got/max(want, 1), 0.2), maxSlow)
	u.slow = min(max(u.slow*(1+slowWeight*(ratio-1)), 0.7), maxSlow)
	u.seen = now
}

// slowness is the upstream's times against its service's, 1 is normal.
func (u *upstream) slowness(m prefill.Model, now time.Time) float64 {
	if u.cache != nil {
		return u.queue.Slow(m, now)
	}
	return u.slow
}

// settle lets a slowness that is no longer seen fade, so that the engine is
// tried again.
func (u *upstream) settle(now time.Time) {
	if u.slow > 1 && now.Sub(u.seen) > slowHalfLife {
		u.slow = 1 + (u.slow-1)/2
		u.seen = now
	}
}
