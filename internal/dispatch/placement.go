package dispatch

import (
	"slices"
	"time"

	"github.com/silverswitch/silverswitch/internal/core/wire"
	"github.com/silverswitch/silverswitch/internal/dispatch/prefill"
	"github.com/silverswitch/silverswitch/internal/version"
)

// Where a request runs: at the upstream where its answer is expected first, with what
// else a place costs reckoned as time.

// Weights of a choice, in milliseconds of a first event's time.
const (
	otherPlaceMS = 8.0 // an engine in another place: bytes between places are priced
	// stayMS and keepMS are what another place and a fetch cost on top of that while an
	// engine has little to read: a request waits that much longer there where neither is
	// needed. Prompts and streams that cross are most of all bytes between places.
	stayMS = 30.0
	keepMS = 20.0
	// nearWait is the part of the target up to which a wait is little. Behind more, a
	// request goes where it is served soonest: late answers cost more than crossing.
	nearWait     = 0.1
	moveMS       = 10.0 // a fetch is priced, and keeps the same parts twice
	wakeMS       = 10.0 // an engine that is not in use: what later requests share is read there anew
	newConnMS    = 8.0  // the router keeps no connection to the engine: a new one is priced like a small move
	plainPlaceMS = 6.0  // a plain upstream in another place
	plainRunMS   = 10.0 // each request the own router has at a plain upstream
	// plainOtherMS is the same for requests that other routers state.
	plainOtherMS = 6.0
)

// takes reports whether an upstream may be given this work at all. One that rests
// after failures is passed over, unless rested says that all that could take it do:
// a try there is better than a refusal. One that backs off is not tried.
func (u *upstream) takes(a *wire.WorkAsk, rested bool, now time.Time) bool {
	if u.closed() || !u.mayRun(a.Regions) || u.rest.resting(now) && !rested || u.backsOff(a) {
		return false
	}
	for _, id := range a.Avoid {
		if id == u.id {
			return false
		}
	}
	return true
}

// mayRun reports whether an upstream stands in one of the regions that a request is bound
// to, if it is bound to any.
func (u *upstream) mayRun(regions []version.ID) bool {
	return len(regions) == 0 || u.region != 0 && slices.Contains(regions, u.region)
}

// choice is the best upstream for a request, with what is expected there.
type choice struct {
	up     *upstream
	source *upstream
	work   int // tokens to read
	prompt prefill.Prompt
	waitMS float64 // behind others
	ownMS  float64 // fetching kept parts and reading the rest
	price  float64 // beyond time, in milliseconds: another place, a fetch, a new connection
	cost   float64 // time and price
}

// choices are the two places that are weighed for a request.
type choices struct {
	soonest choice // of least cost
	near    choice // of least cost when another place and a fetch cost more
}

// best returns the one near while its wait is little.
func (b *choices) best(aimMS float64) *choice {
	if b.near.waitMS <= nearWait*aimMS {
		return &b.near
	}
	return &b.soonest
}

// expectation is what a choice stands for, in whole tokens and milliseconds.
type expectation struct {
	work, waitMS, ownMS int
	cold                bool // the upstream is
	look                bool // it may be, without anyone's knowledge
}

func (p *pool) expectation(c *choice, now time.Time) expectation {
	e := expectation{work: c.work, waitMS: int(c.waitMS)}
	if p.cold.RequestsPerSecond > 0 {
		e.cold = c.up.isCold(0, now)
		e.look = !e.cold && (p.blind || now.Sub(c.up.cold.answered) >= silentStart)
	}
	if p.engine != nil {
		e.ownMS = int(p.learner.Model().Base + c.ownMS)
	}
	return e
}

// choose returns the best upstreams, or nil when none takes work.
func (p *pool) choose(from wire.NodeID, a *wire.WorkAsk, now time.Time) *choices {
	if c := p.chooseOf(from, a, false, now); c != nil {
		return c
	}
	return p.chooseOf(from, a, true, now)
}

// chooseOf is choose among those that do not rest, or among all.
func (p *pool) chooseOf(from wire.NodeID, a *wire.WorkAsk, rested bool, now time.Time) *choices {
	look := p.candidates(a, now)
	best := p.bestOf(look, from, a, rested, now)
	if best == nil && !p.isSmall() {
		best = p.bestOf(p.others(a, rested, now), from, a, rested, now)
	}
	return best
}

// bestOf returns the best of some upstreams, or nil when none takes work.
func (p *pool) bestOf(look []*upstream, from wire.NodeID, a *wire.WorkAsk, rested bool, now time.Time) *choices {
	if p.engine == nil {
		if c := p.choosePlain(look, a, rested, now); c != nil {
			return &choices{soonest: *c, near: *c}
		}
		return nil
	}
	holder := p.lookUp(look, a, now)
	var best choices
	for _, u := range look {
		if p.hasRoom(u, a, rested, now) {
			best.weigh(p.at(u, from, a, holder, now), a.Place)
		}
	}
	if best.soonest.up == nil {
		return nil
	}
	return &best
}

// hasRoom reports whether an upstream takes a request now.
func (p *pool) hasRoom(u *upstream, a *wire.WorkAsk, rested bool, now time.Time) bool {
	if !u.takes(a, rested, now) || !p.coldRoom(u, now) {
		return false
	}
	if p.engine == nil {
		return true
	}
	own := ownTokens(int(a.Input), int(a.Output), a.Parts)
	usable := int(memoryUsable * float64(p.engine.MemoryTokens))
	return u.running() < p.engine.Slots && u.memory()+own <= usable
}

// weigh takes a place where it is better than those before.
func (b *choices) weigh(c choice, place version.ID) {
	if b.soonest.up == nil || c.cost < b.soonest.cost {
		b.soonest = c
	}
	if b.near.up == nil || c.away(place) < b.near.away(place) {
		b.near = c
	}
}

// away is the cost of a choice with what it costs beyond to leave a place, and to fetch.
func (c *choice) away(place version.ID) float64 {
	out := c.cost
	if c.up.place != place {
		out += stayMS
	}
	if c.source != nil {
		out += keepMS
	}
	return out
}

// lookUp notes at some engines how much of the prompt each keeps, and returns the one that
// keeps most of it read.
func (p *pool) lookUp(look []*upstream, a *wire.WorkAsk, now time.Time) *upstream {
	var holder *upstream
	for _, u := range look {
		u.kept, u.ready = 0, 0
		if p.without.Parts {
			continue
		}
		u.kept, u.ready = u.cache.prefix(a.Parts)
		if p.without.Fetch || u.ready == 0 || u.evacuated || !u.mayRun(a.Regions) || u.rest.resting(now) {
			continue
		}
		if holder == nil || u.ready > holder.ready {
			holder = u
		}
	}
	return holder
}

// at works out what a request would meet at an engine.
func (p *pool) at(u *upstream, from wire.NodeID, a *wire.WorkAsk, holder *upstream, now time.Time) choice {
	m := p.learner.Model()
	c := choice{up: u, waitMS: u.backlog(m, now)}
	kept, fetched := u.kept, 0
	if holder != nil && holder != u && holder.ready > kept {
		fetched = holder.ready - kept
		kept = holder.ready
		c.source = holder
		c.price += moveMS
	}
	c.work = max(0, int(a.Input)-kept)
	c.prompt = prefill.PromptOf(c.work, fetched, int(a.Input))
	c.ownMS = m.Read(c.prompt) * u.queue.Slow(m, now)
	if u.place != a.Place {
		c.price += otherPlaceMS
	}
	if !p.without.Connection && !u.conns.kept(from, now) {
		c.price += newConnMS
	}
	if u.inUse == notInUse && !p.isSmall() {
		c.price += wakeMS
	}
	c.cost = c.waitMS + c.ownMS + c.price + p.crowd(u)
	if p.alone {
		c.cost += spread(from, u)
	}
	return c
}

// spreadMS is the most that a router which decides by itself counts for one engine against
// another, by its own order of them.
//
// Load pattern: all routers start anew at once and know nothing of each other. Each sent
// its first requests to the engine that comes first of those with nothing to read: the same
// one for all of a place.
const spreadMS = 20.0

// spread is an engine's place in a router's own order, from 0 to spreadMS (rendezvous
// hashing).
func spread(from wire.NodeID, u *upstream) float64 {
	return spreadMS * float64(rank(u.id, from)>>11) / (1 << 53)
}

// crowd is what a full batch adds to every token of its requests.
func (p *pool) crowd(u *upstream) float64 {
	return 0.3 * float64(u.running())
}

// choosePlain returns the best of some plain upstreams, or nil when none takes work.
func (p *pool) choosePlain(look []*upstream, a *wire.WorkAsk, rested bool, now time.Time) *choice {
	var best *choice
	for _, u := range look {
		if !p.hasRoom(u, a, rested, now) {
			continue
		}
		u.settle(now)
		own := len(u.runs)
		c := &choice{up: u, cost: (float64(own)*plainRunMS + float64(max(0, u.running()-own))*plainOtherMS) * u.slow}
		if u.place != a.Place {
			c.cost += plainPlaceMS
		}
		if best == nil || c.cost < best.cost {
			best = c
		}
	}
	return best
}
