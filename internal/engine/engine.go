// Package engine simulates an inference engine with continuous batching, chunked prefill
// between the decode steps of running requests, a prefix cache in limited memory, and
// admission in order of arrival. Time is an argument. An Engine represents one start of an
// engine process: its cache begins empty.
package engine

import (
	"container/list"
	"time"
)

// Config describes the capacity and speed of an engine. DefaultConfig holds an operator's
// figures.
type Config struct {
	Slots                int     // requests that run at once
	MemoryTokens         int     // for the output of running requests and the prefix cache together
	StepMS               float64 // base duration of a step, in which each running request makes one token
	StepPerRequestMS     float64 // added for each running request
	StepPer1KContextMS   float64 // added for each 1,000 tokens of running requests
	PrefillTokensPerMS   float64 // prefill speed
	PrefillChunkTokens   int     // maximum number of prompt tokens read in one step
	EventTokens          int     // output tokens in one event of a stream
	FetchTokensPerMS     float64 // speed of fetching cached tokens from another engine
	FetchSetupMS         float64 // added for each fetch
	RequestSetupMS       float64 // delay before a prompt is read, whatever its size
	AttentionMSPerMPairs float64 // attention: added per million pairs of a prompt token and a token before it
}

// DefaultConfig is that of engines that read 39 prompt tokens a millisecond.
var DefaultConfig = Config{Slots: 64, MemoryTokens: 232_000, StepMS: 5.47, StepPerRequestMS: 0.0121, StepPer1KContextMS: 0.023,
	PrefillTokensPerMS: 38.7, PrefillChunkTokens: 1024, EventTokens: 3, FetchTokensPerMS: 420, FetchSetupMS: 1.7}

// Part is one part of a prompt. Parts with the same ID have the same content.
type Part struct {
	ID     uint64
	Tokens int
}

// Request is an inference request.
type Request struct {
	ID     uint64
	Parts  []Part
	Output int         // number of output tokens
	Source PrefixCache // an engine to fetch cached parts from, or nil
}

// PrefixCache returns how many tokens of a prompt an engine has cached, from the first part
// on.
type PrefixCache interface{ Prefix(parts []Part) int }

// Event is a step in the progress of a request.
type Event struct {
	ID   uint64
	At   time.Time
	Kind EventKind
}

// EventKind is the kind of an Event.
type EventKind uint8

// The kinds of events.
const (
	FirstEvent EventKind = iota // the first event of the request's stream
	More                        // a further event of the stream
	Done                        // the request ended, with the last event of its stream
)

// Engine is a simulated engine. It must be used by one goroutine at a time.
type Engine struct {
	cfg          Config
	now          time.Time // the end of the last step
	waiting      []*activeRequest
	running      []*activeRequest
	cached       map[uint64]*list.Element
	recent       *list.List // of Part, most recently used first; the values of cached are its elements
	cachedTokens int
	slow         float64 // multiplies all times
	Read         int     // total prompt tokens read
	Fetched      int     // total tokens fetched from other engines
	Rejected     int     // requests that Add rejected
}

// activeRequest is a request that waits or runs in the engine.
type activeRequest struct {
	req            Request
	prefillStarted bool      // the prefix cached at the start of prefill is not read
	unreadTokens   int       // of the prompt
	readyAt        time.Time // end of the setup and of the fetch
	decoded        int       // output tokens so far
	contextTokens  int       // of the prompt
}

// New returns an engine without requests and with an empty cache.
func New(cfg Config, now time.Time) *Engine {
	return &Engine{cfg: cfg, now: now, cached: map[uint64]*list.Element{}, recent: list.New(), slow: 1}
}

// SetSlowness sets the factor by which all times are longer than configured, from the next step
// on.
func (e *Engine) SetSlowness(factor float64) { e.slow = factor }

// Add queues a request. It returns false if the request exceeds the engine's memory, or if
// too many requests wait already.
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
	x := &activeRequest{req: r, readyAt: now.Add(ms(e.slow * e.cfg.RequestSetupMS))}
	e.fetch(x, now)
	e.waiting = append(e.waiting, x)
	return true
}

// fetch copies the parts of the prompt's prefix that the request's source has cached and
// this engine has not, and delays the request by the time of the transfer.
func (e *Engine) fetch(x *activeRequest, now time.Time) {
	if x.req.Source == nil || x.req.Source == PrefixCache(e) {
		return
	}
	cached, atSource := e.Prefix(x.req.Parts), x.req.Source.Prefix(x.req.Parts)
	if atSource <= cached {
		return
	}
	n := 0
	for _, p := range x.req.Parts {
		if n += p.Tokens; n > atSource {
			break
		}
		e.addToCache(p)
	}
	e.Fetched += atSource - cached
	x.readyAt = x.readyAt.Add(ms(e.cfg.FetchSetupMS + float64(atSource-cached)/e.cfg.FetchTokensPerMS))
}

// Prefix returns how many tokens of a prompt are cached, from the first part on.
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

// addToCache adds a part to the cache, or marks it as most recently used, and evicts the
// least recently used parts if memory is short.
func (e *Engine) addToCache(p Part) {
	if el := e.cached[p.ID]; el != nil {
		e.recent.MoveToFront(el)
		return
	}
	e.cached[p.ID] = e.recent.PushFront(p)
	e.cachedTokens += p.Tokens
	e.evict()
}

// evict removes the least recently used parts until the cache fits the memory that the
// output of running requests leaves.
func (e *Engine) evict() {
	for e.cachedTokens > 0 && e.cachedTokens+e.decoded() > e.cfg.MemoryTokens {
		old := e.recent.Remove(e.recent.Back()).(Part)
		delete(e.cached, old.ID)
		e.cachedTokens -= old.Tokens
	}
}

// decoded returns the number of output tokens that running requests hold in memory.
func (e *Engine) decoded() int {
	n := 0
	for _, x := range e.running {
		n += x.decoded
	}
	return n
}

// Advance runs steps until a time and returns their events.
func (e *Engine) Advance(to time.Time) []Event {
	var out []Event
	for e.now.Before(to) {
		e.admit()
		if len(e.running) == 0 {
			if len(e.waiting) == 0 {
				e.now = to
				break
			}
			e.now = earlier(e.waiting[0].readyAt, to) // nothing runs before the first request's setup and fetch have ended
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

// admit moves waiting requests into free slots, in order of arrival. A request that is not
// ready holds back those behind it.
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

// step runs one batch: one chunk of prefill, spent on unread prompts in order, and one
// output token for each request whose prompt is read.
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
	duration := e.cfg.StepMS + e.cfg.StepPerRequestMS*float64(len(e.running)) + e.cfg.StepPer1KContextMS*float64(contextTokens)/1000 + float64(e.cfg.PrefillChunkTokens-chunk)/e.cfg.PrefillTokensPerMS + pairs*e.cfg.AttentionMSPerMPairs
	e.now = e.now.Add(ms(e.slow * duration))
	return e.decode(decoded)
}

// cachePrompt adds all parts of a prompt to the cache.
func (e *Engine) cachePrompt(x *activeRequest) {
	for _, p := range x.req.Parts {
		e.addToCache(p)
	}
}

// decode adds one output token to each request and returns the resulting events.
func (e *Engine) decode(decoded []*activeRequest) []Event {
	var out []Event
	for _, x := range decoded {
		x.decoded++
		switch {
		case x.decoded == 1: // the first token is an event of its own
			out = append(out, Event{x.req.ID, e.now, FirstEvent})
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

// Cancel removes a request, whether it waits or runs.
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

// HasUnreadPrompt reports whether a request waits or has an unread part of its prompt.
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

// Load returns the numbers of waiting and running requests.
func (e *Engine) Load() (waiting, running int) { return len(e.waiting), len(e.running) }

func ms(x float64) time.Duration { return time.Duration(x * float64(time.Millisecond)) }
