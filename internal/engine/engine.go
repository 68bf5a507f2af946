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
type Config struct {
	Slots                int     // requests that run at once
	MemoryTokens         int     // for running requests and kept parts together
	StepMS               float64 // of one step: each running request makes one token
	StepPerRequestMS     float64 // more for each running request
	StepPer1KContextMS   float64 // ms more for each 1,000 tokens of running requests
	PrefillTokensPerMS   float64 // prompt tokens read in a millisecond
	PrefillChunkTokens   int     // prompt tokens read in one step at most
	EventTokens          int     // tokens in one event of a stream
	FetchTokensPerMS     float64 // tokens fetched from another engine in a millisecond
	FetchSetupMS         float64
	RequestSetupMS       float64 // before a request is read, whatever its size
	AttentionMSPerMPairs float64 // for a million pairs of a read token and one before it
}

// DefaultConfig are those of engines that read 39 tokens a millisecond.
var DefaultConfig = Config{Slots: 64, MemoryTokens: 232_000, StepMS: 5.47, StepPerRequestMS: 0.0121, StepPer1KContextMS: 0.023,
	PrefillTokensPerMS: 38.7, PrefillChunkTokens: 1024, EventTokens: 3, FetchTokensPerMS: 420, FetchSetupMS: 1.7}

// Part is one part of a prompt.
type Part struct {
	ID     uint64
	Tokens int
}

// Request is what an engine is given.
type Request struct {
	ID     uint64
	Parts  []Part
	Output int         // tokens it will make
	Source PrefixCache // an engine to fetch kept parts from, or nil
}

// Keeper tells how many tokens of a prompt an engine keeps, from its first part on.
type PrefixCache interface{ Prefix(parts []Part) int }

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
	cfg          Config
	now          time.Time // the end of the last step
	waiting      []*activeRequest
	running      []*activeRequest
	cached       map[uint64]*list.Element
	recent       *list.List // of Part, most recently used first
	cachedTokens int        // tokens kept
	Read         int        // prompt tokens read
	Fetched      int        // tokens fetched from other engines
	Rejected     int        // requests turned away
}

// run is one request inside the engine.
type activeRequest struct {
	req            Request
	prefillStarted bool // its prompt is being read: what is kept of it by then counts
	unreadTokens   int
	readyAt        time.Time // its fetch has ended
	decoded        int
	contextTokens  int
}

// New returns an empty engine.
func New(cfg Config, now time.Time) *Engine {
	return &Engine{cfg: cfg, now: now, cached: map[uint64]*list.Element{}, recent: list.New()}
}

// Add gives the engine a request. It returns false when the engine can never hold it.
func (e *Engine) Add(r Request, now time.Time) bool {
	total := r.Output
	for _, p := range r.Parts {
		total += p.Tokens
	}
	if total > e.cfg.MemoryTokens || len(e.waiting) >= 3*e.cfg.Slots {
		e.Rejected++
		return false
	}
	if len(e.running) == 0 && len(e.waiting) == 0 && now.After(e.now) {
		e.now = now
	}
	x := &activeRequest{req: r, readyAt: now.Add(ms(e.cfg.RequestSetupMS))}
	e.fetch(x, now)
	e.waiting = append(e.waiting, x)
	return true
}

// fetch copies what the source keeps of the prompt beyond the own parts.
func (e *Engine) fetch(x *activeRequest, now time.Time) {
	if x.req.Source == nil || x.req.Source == PrefixCache(e) {
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
		e.addToCache(p)
	}
	e.Fetched += there - own
	x.readyAt = x.readyAt.Add(ms(e.cfg.FetchSetupMS + float64(there-own)/e.cfg.FetchTokensPerMS))
}

// Prefix returns how many tokens of a prompt are kept, from its first part on.
func (e *Engine) Prefix(parts []Part) int {
	n := 0
	for _, p := range parts {
		if e.cached[p.ID] == nil {
			break
		}
		n += p.Tokens
	}
	return n
}

// keep keeps a part as the one used last; the least recently used yield.
func (e *Engine) addToCache(p Part) {
	if el := e.cached[p.ID]; el != nil {
		e.recent.MoveToFront(el)
		return
	}
	e.cached[p.ID] = e.recent.PushFront(p)
	e.cachedTokens += p.Tokens
	e.evict()
}

func (e *Engine) evict() {
	for e.cachedTokens > 0 && e.cachedTokens+e.decoded() > e.cfg.MemoryTokens {
		old := e.recent.Remove(e.recent.Back()).(Part)
		delete(e.cached, old.ID)
		e.cachedTokens -= old.Tokens
	}
}

// made is the memory of what running requests have generated.
func (e *Engine) decoded() int {
	n := 0
	for _, x := range e.running {
		n += x.decoded
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
			e.now = earlier(e.waiting[0].readyAt, to) // it waits for its fetch
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
	for len(e.waiting) > 0 && len(e.running) < e.cfg.Slots && !e.waiting[0].readyAt.After(e.now) {
		x := e.waiting[0]
		e.waiting = e.waiting[1:]
		total := 0
		for _, p := range x.req.Parts {
			total += p.Tokens
		}
		x.contextTokens = total
		x.unreadTokens = total
		e.running = append(e.running, x)
	}
}

// step is one batch: a chunk of the prompts in order, and a token for each request
// that has been read.
func (e *Engine) step() []Event {
	chunk, contextTokens, pairs := e.cfg.PrefillChunkTokens, 0, 0.0
	var decoded []*activeRequest
	for _, x := range e.running {
		contextTokens += x.contextTokens + x.decoded
		if x.unreadTokens == 0 {
			decoded = append(decoded, x)
			continue
		}
		if chunk > 0 && !x.prefillStarted {
			x.prefillStarted = true
			x.unreadTokens = max(1, x.contextTokens-e.Prefix(x.req.Parts))
		}
		n := min(chunk, x.unreadTokens)
		chunk -= n
		pairs += float64(n) * (float64(x.contextTokens-x.unreadTokens) + float64(n)/2) / 1e6
		x.unreadTokens -= n
		e.Read += n
		if x.unreadTokens == 0 && n > 0 {
			e.cachePrompt(x)
			decoded = append(decoded, x)
		}
	}
	length := e.cfg.StepMS + e.cfg.StepPerRequestMS*float64(len(e.running)) + e.cfg.StepPer1KContextMS*float64(contextTokens)/1000 + float64(e.cfg.PrefillChunkTokens-chunk)/e.cfg.PrefillTokensPerMS + pairs*e.cfg.AttentionMSPerMPairs
	e.now = e.now.Add(ms(length))
	return e.decode(decoded)
}

func (e *Engine) cachePrompt(x *activeRequest) {
	for _, p := range x.req.Parts {
		e.addToCache(p)
	}
}

// tokens gives each request one more token.
func (e *Engine) decode(decoded []*activeRequest) []Event {
	var out []Event
	for _, x := range decoded {
		x.decoded++
		switch {
		case x.decoded == 1: // an event comes with its first token
			out = append(out, Event{x.req.ID, e.now, First})
		case (x.decoded-1)%e.cfg.EventTokens == 0 && x.decoded < x.req.Output:
			out = append(out, Event{x.req.ID, e.now, More})
		}
		if x.decoded >= x.req.Output {
			out = append(out, Event{x.req.ID, e.now, Done})
			e.removeRunning(x)
		}
	}
	e.evict()
	return out
}

func (e *Engine) removeRunning(x *activeRequest) {
	for i, y := range e.running {
		if y == x {
			e.running = append(e.running[:i], e.running[i+1:]...)
			return
		}
	}
}

// Cancel ends a request, wherever it is.
func (e *Engine) Cancel(id uint64) {
	for _, list := range []*[]*activeRequest{&e.waiting, &e.running} {
		for i, x := range *list {
			if x.req.ID == id {
				*list = append((*list)[:i:i], (*list)[i+1:]...)
				return
			}
		}
	}
}

// Reading reports whether any prompt is not read yet.
func (e *Engine) HasUnreadPrompt() bool {
	if len(e.waiting) > 0 {
		return true
	}
	for _, x := range e.running {
		if x.unreadTokens > 0 {
			return true
		}
	}
	return false
}

// Load returns the requests that wait and run.
func (e *Engine) Load() (waiting, running int) { return len(e.waiting), len(e.running) }

func ms(x float64) time.Duration { return time.Duration(x * float64(time.Millisecond)) }
