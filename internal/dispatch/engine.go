package dispatch

import (
	"time"

	"github.com/silverswitch/silverswitch/internal/core/wire"
	"github.com/silverswitch/silverswitch/internal/routing"
	"github.com/silverswitch/silverswitch/internal/version"
)

// Figures of the model of an engine, before first-token times have corrected
// them. Sources: the sizes of the users' engines (38 to 43 prompt tokens a
// millisecond, steps of 5.5 ms) and docs/BENCH.md.
const (
	firstRate    = 30.0 // prompt tokens read in a millisecond, beside decoding
	minRate      = 2.0
	maxRate      = 400.0
	baseMS       = 22.0 // of a first event beyond reading: admission, three steps, the way
	fetchMS      = 12.0 // of fetching kept parts from another engine
	rateWeight   = 0.05 // of one sample in the average of the rate
	slowWeight   = 0.25 // of one sample in an engine's own slowness
	maxSlow      = 12.0
	slowHalfLife = 3 * time.Second // of a slowness that is not seen again
	memoryUsable = 0.9             // part of an engine's memory planned for
	toldFor      = 2 * time.Second // an engine's own word on what it keeps is believed
)

// upstream is what is known of one instance: its load, its health, and for an
// engine what it reads and keeps.
type upstream struct {
	id    version.ID
	inst  routing.Instance
	place version.ID
	runs  map[runKey]*run
	loads map[wire.NodeID]wire.WorkLoad // as other routers state them
	queue []*run                        // without a first event, in order of placing
	since time.Time                     // the head of the queue has been read since
	cache *cache
	told  time.Time // the engine said itself what it keeps
	slow  float64   // own times against the pool's, 1 is normal
	seen  time.Time
	rest  rest
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
	placed time.Time
	until  time.Time // it has surely ended by then
	first  bool
	alone  bool // nothing was queued before it
	want   float64
	try    uint32          // of the ask that placed it
	answer wire.WorkAnswer // to that ask
}

func newUpstream(inst routing.Instance, engine *routing.Engine) *upstream {
	u := &upstream{
		id:    version.IDOf(inst.ID),
		inst:  inst,
		place: version.IDOf(inst.Place),
		runs:  map[runKey]*run{},
		loads: map[wire.NodeID]wire.WorkLoad{},
		slow:  1,
	}
	if engine != nil {
		u.cache = newCache(int(float64(engine.MemoryTokens) * memoryUsable))
	}
	return u
}

// running returns the requests at the upstream: those placed here, or what
// routers state where that is more.
func (u *upstream) running() int {
	return u.sum(func(*run) int { return 1 }, func(l wire.WorkLoad) int { return int(l.Running) })
}

// memory returns the tokens that running requests hold.
func (u *upstream) memory() int {
	return u.sum(func(r *run) int { return r.tokens }, func(l wire.WorkLoad) int { return int(l.Tokens) })
}

func (u *upstream) sum(ofRun func(*run) int, ofLoad func(wire.WorkLoad) int) int {
	if len(u.loads) == 0 {
		n := 0
		for _, r := range u.runs {
			n += ofRun(r)
		}
		return n
	}
	byNode := map[wire.NodeID]int{}
	for k, r := range u.runs {
		byNode[k.node] += ofRun(r)
	}
	n := 0
	for node, l := range u.loads {
		n += max(0, ofLoad(l)-byNode[node])
	}
	for _, x := range byNode {
		n += x
	}
	return n
}

// backlog returns how long the engine needs to read what it was sent, in
// milliseconds. Reading goes in order of arrival, so only the time since the
// head began counts as progress, and no more than the head and half of what
// follows: a first event that does not come means that reading stands still.
func (u *upstream) backlog(rate float64, now time.Time) float64 {
	others := float64(u.unreadElsewhere())
	if len(u.queue) == 0 {
		return others / rate * u.slow
	}
	total := others
	for _, r := range u.queue {
		total += float64(r.work)
	}
	head := float64(u.queue[0].work)
	ms := total / rate * u.slow
	floor := (total - head) / 2 / rate * u.slow
	return max(ms-float64(now.Sub(u.since).Microseconds())/1000, floor)
}

// unreadElsewhere returns the tokens to be read that routers state beyond what
// was placed here: decided by the scheduler before, or by the routers themselves.
func (u *upstream) unreadElsewhere() int {
	n := 0
	for node, l := range u.loads {
		if l.Unread == 0 {
			continue
		}
		here := 0
		for _, r := range u.queue {
			if r.key.node == node {
				here += r.work
			}
		}
		n += max(0, int(l.Unread)-here)
	}
	return n
}

// place adds a run at the end of the queue.
func (u *upstream) placeRun(r *run, now time.Time) {
	r.up = u
	r.alone = len(u.queue) == 0
	u.runs[r.key] = r
	if len(u.queue) == 0 {
		u.since = now
	}
	u.queue = append(u.queue, r)
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
	output := 0
	for _, r := range u.runs {
		output += r.output
	}
	u.cache.fit(output)
}

// ownTokens is the memory of a request that it shares with no other: the last
// part of its prompt and what it generates.
func ownTokens(input, output int, parts []wire.PromptPart) int {
	if len(parts) > 0 {
		input = int(parts[len(parts)-1].Tokens)
	}
	return input + output
}

// read takes the run out of the queue: its first event came, or it ended.
func (u *upstream) read(r *run, now time.Time) {
	for i, q := range u.queue {
		if q == r {
			u.queue = append(u.queue[:i], u.queue[i+1:]...)
			u.since = now
			return
		}
	}
}

// end forgets a run. whole says that its prompt was read.
func (u *upstream) end(r *run, whole bool, now time.Time) {
	u.read(r, now)
	delete(u.runs, r.key)
	if whole || r.first || u.cache == nil {
		return
	}
	for _, p := range r.parts {
		if e := u.cache.parts[p.Part]; e != nil && !e.Value.(*part).ready && !u.reading(p.Part) {
			u.cache.drop(p.Part)
		}
	}
}

// reading reports whether a queued run will read the part.
func (u *upstream) reading(part uint64) bool {
	for _, q := range u.queue {
		for _, p := range q.parts {
			if p.Part == part {
				return true
			}
		}
	}
	return false
}

// observe corrects the engine's slowness by a first event's time against what
// was expected.
func (u *upstream) observe(got, want float64, now time.Time) {
	ratio := min(max(got/max(want, 1), 0.2), maxSlow)
	u.slow = min(max(u.slow*(1+slowWeight*(ratio-1)), 0.7), maxSlow)
	u.seen = now
}

// settle lets a slowness that is no longer seen fade, so that the engine is
// tried again.
func (u *upstream) settle(now time.Time) {
	if u.slow > 1 && now.Sub(u.seen) > slowHalfLife {
		u.slow = 1 + (u.slow-1)/2
		u.seen = now
	}
}

// rest keeps work away from an upstream after failures, longer each time, and
// lets it in again gently.
type rest struct {
	until time.Time
	span  time.Duration
	fails int
}

// Failures in a row after which an upstream rests, and for how long. One failure
// proves little: an upstream may lose a fortieth of its answers and be sound.
const (
	restAfter = 2
	minRest   = 300 * time.Millisecond
	maxRest   = 3 * time.Second
)

func (r *rest) failed(now time.Time) {
	r.fails++
	if r.fails < restAfter || now.Before(r.until) {
		return
	}
	r.span = min(max(minRest, 2*r.span), maxRest)
	r.until = now.Add(r.span)
}

func (r *rest) worked(now time.Time) {
	if now.Before(r.until) {
		return // answers of requests sent before it rested
	}
	r.fails, r.span = 0, 0
}

func (r *rest) resting(now time.Time) bool { return now.Before(r.until) }
