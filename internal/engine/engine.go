// Package engine is the project's own model of a model engine: it batches
// continuously, reads prompts in chunks between the tokens of running requests,
// keeps parts of prompts in limited memory, and admits requests in order of
// arrival. Time is an argument. An Engine lives as long as one start of it.
package engine

import (
	"container/list"
	"time"
)

// Figures describe an engine. Source of the defaults: an operator's sheet.
type Figures struct {
	Slots        int     // requests that run at once
	MemoryTokens int     // for running requests and kept parts together
	StepMS       float64 // of one step: each running request makes one token
	StepPerRunMS float64 // more for each running request
	ContextPerK  float64 // ms more for each 1,000 tokens of running requests
	ReadPerMS    float64 // prompt tokens read in a millisecond
	Chunk        int     // prompt tokens read in one step at most
	EventTokens  int     // tokens in one event of a stream
	MovePerMS    float64 // tokens fetched from another engine in a millisecond
	MoveSetupMS  float64
	FirstMS      float64 // before a request is read, whatever its size
	PairsMS      float64 // for a million pairs of a read token and one before it
}

// DefaultFigures are those of engines that read 39 tokens a millisecond.
var DefaultFigures = Figures{Slots: 64, MemoryTokens: 232_000, StepMS: 5.47, StepPerRunMS: 0.0121, ContextPerK: 0.023,
	ReadPerMS: 38.7, Chunk: 1024, EventTokens: 3, MovePerMS: 420, MoveSetupMS: 1.7}

// Part is one part of a prompt.
type Part struct {
	ID     uint64
	Tokens int
}

// Request is what an engine is given.
type Request struct {
	ID     uint64
	Parts  []Part
	Output int    // tokens it will make
	Source Keeper // an engine to fetch kept parts from, or nil
}

// Keeper tells how many tokens of a prompt an engine keeps, from its first part on.
type Keeper interface{ Prefix(parts []Part) int }

// Event is one thing that a request did.
type Event struct {
	ID   uint64
	At   time.Time
	Kind EventKind
}

// EventKind says what.
type EventKind uint8

// The kinds of events.
const (
	First EventKind = iota // the first event of its stream
	More                   // another event
	Done                   // it has ended, with its last event
)

// Engine is one engine. One goroutine owns it.
type Engine struct {
	fig     Figures
	now     time.Time // the end of the last step
	waiting []*run
	running []*run
	kept    map[uint64]*list.Element
	order   *list.List // of Part, most recently used first
	used    int        // tokens kept
	Read    int        // prompt tokens read
	Fetched int        // tokens fetched from other engines
	Full    int        // requests turned away
}

// run is one request inside the engine.
type run struct {
	req     Request
	begun   bool // its prompt is being read: what is kept of it by then counts
	unread  int
	ready   time.Time // its fetch has ended
	made    int
	context int
}

// New returns an empty engine.
func New(fig Figures, now time.Time) *Engine {
	return &Engine{fig: fig, now: now, kept: map[uint64]*list.Element{}, order: list.New()}
}

// Add gives the engine a request. It returns false when the engine can never hold it.
func (e *Engine) Add(r Request, now time.Time) bool {
	total := r.Output
	for _, p := range r.Parts {
		total += p.Tokens
	}
	if total > e.fig.MemoryTokens || len(e.waiting) >= 3*e.fig.Slots {
		e.Full++
		return false
	}
	if len(e.running) == 0 && len(e.waiting) == 0 && now.After(e.now) {
		e.now = now
	}
	x := &run{req: r, ready: now.Add(ms(e.fig.FirstMS))}
	e.fetch(x, now)
	e.waiting = append(e.waiting, x)
	return true
}

// fetch copies what the source keeps of the prompt beyond the own parts.
func (e *Engine) fetch(x *run, now time.Time) {
	if x.req.Source == nil || x.req.Source == Keeper(e) {
		return
	}
	own, there := e.Prefix(x.req.Parts), x.req.Source.Prefix(x.req.Parts)
	if there <= own {
		return
	}
	n := 0
	for _, p := range x.req.Parts {
		if n += p.Tokens; n > there {
			break
		}
		e.keep(p)
	}
	e.Fetched += there - own
	x.ready = x.ready.Add(ms(e.fig.MoveSetupMS + float64(there-own)/e.fig.MovePerMS))
}

// Prefix returns how many tokens of a prompt are kept, from its first part on.
func (e *Engine) Prefix(parts []Part) int {
	n := 0
	for _, p := range parts {
		if e.kept[p.ID] == nil {
			break
		}
		n += p.Tokens
	}
	return n
}

// keep keeps a part as the one used last; the least recently used yield.
func (e *Engine) keep(p Part) {
	if el := e.kept[p.ID]; el != nil {
		e.order.MoveToFront(el)
		return
	}
	e.kept[p.ID] = e.order.PushFront(p)
	e.used += p.Tokens
	e.yield()
}

func (e *Engine) yield() {
	for e.used > 0 && e.used+e.made() > e.fig.MemoryTokens {
		old := e.order.Remove(e.order.Back()).(Part)
		delete(e.kept, old.ID)
		e.used -= old.Tokens
	}
}

// made is the memory of what running requests have generated.
func (e *Engine) made() int {
	n := 0
	for _, x := range e.running {
		n += x.made
	}
	return n
}

// Advance runs steps up to a time and returns what happened in them.
func (e *Engine) Advance(to time.Time) []Event {
	var out []Event
	for e.now.Before(to) {
		e.admit()
		if len(e.running) == 0 {
			if len(e.waiting) == 0 {
				e.now = to
				break
			}
			e.now = earlier(e.waiting[0].ready, to) // it waits for its fetch
			continue
		}
		out = append(out, e.step()...)
	}
	return out
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// admit starts what waits, in order of arrival.
func (e *Engine) admit() {
	for len(e.waiting) > 0 && len(e.running) < e.fig.Slots && !e.waiting[0].ready.After(e.now) {
		x := e.waiting[0]
		e.waiting = e.waiting[1:]
		total := 0
		for _, p := range x.req.Parts {
			total += p.Tokens
		}
		x.context = total
		x.unread = total
		e.running = append(e.running, x)
	}
}

// step is one batch: a chunk of the prompts in order, and a token for each request
// that has been read.
func (e *Engine) step() []Event {
	chunk, context, pairs := e.fig.Chunk, 0, 0.0
	var made []*run
	for _, x := range e.running {
		context += x.context + x.made
		if x.unread == 0 {
			made = append(made, x)
			continue
		}
		if chunk > 0 && !x.begun {
			x.begun = true
			x.unread = max(1, x.context-e.Prefix(x.req.Parts))
		}
		n := min(chunk, x.unread)
		chunk -= n
		pairs += float64(n) * (float64(x.context-x.unread) + float64(n)/2) / 1e6
		x.unread -= n
		e.Read += n
		if x.unread == 0 && n > 0 {
			e.readWhole(x)
			made = append(made, x)
		}
	}
	length := e.fig.StepMS + e.fig.StepPerRunMS*float64(len(e.running)) + e.fig.ContextPerK*float64(context)/1000 + float64(e.fig.Chunk-chunk)/e.fig.ReadPerMS + pairs*e.fig.PairsMS
	e.now = e.now.Add(ms(length))
	return e.tokens(made)
}

func (e *Engine) readWhole(x *run) {
	for _, p := range x.req.Parts {
		e.keep(p)
	}
}

// tokens gives each request one more token.
func (e *Engine) tokens(made []*run) []Event {
	var out []Event
	for _, x := range made {
		x.made++
		switch {
		case x.made == 1: // an event comes with its first token
			out = append(out, Event{x.req.ID, e.now, First})
		case (x.made-1)%e.fig.EventTokens == 0 && x.made < x.req.Output:
			out = append(out, Event{x.req.ID, e.now, More})
		}
		if x.made >= x.req.Output {
			out = append(out, Event{x.req.ID, e.now, Done})
			e.drop(x)
		}
	}
	e.yield()
	return out
}

func (e *Engine) drop(x *run) {
	for i, y := range e.running {
		if y == x {
			e.running = append(e.running[:i], e.running[i+1:]...)
			return
		}
	}
}

// Cancel ends a request, wherever it is.
func (e *Engine) Cancel(id uint64) {
	for _, list := range []*[]*run{&e.waiting, &e.running} {
		for i, x := range *list {
			if x.req.ID == id {
				*list = append((*list)[:i:i], (*list)[i+1:]...)
				return
			}
		}
	}
}

// Reading reports whether any prompt is not read yet.
func (e *Engine) Reading() bool {
	if len(e.waiting) > 0 {
		return true
	}
	for _, x := range e.running {
		if x.unread > 0 {
			return true
		}
	}
	return false
}

// Load returns the requests that wait and run.
func (e *Engine) Load() (waiting, running int) { return len(e.waiting), len(e.running) }

func ms(x float64) time.Duration { return time.Duration(x * float64(time.Millisecond)) }
