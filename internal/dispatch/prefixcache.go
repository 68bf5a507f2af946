package dispatch

import (
	"container/list"
	"time"

	"github.com/silverswitch/silverswitch/internal/core/wire"
)

// cache is the model of one engine's prefix cache: the prompt parts that were sent to it,
// of which the least recently used ones are evicted first, as in the engine itself.
type cache struct {
	limit    int // in tokens
	used     int
	parts    map[uint64]*list.Element
	order    *list.List     // of *cachedPart, most recently used first
	recorder holderRecorder // records which engine holds which part; may be the zero value
}

type cachedPart struct {
	id     uint64
	tokens int
	ready  bool // it has been read; before that, other engines cannot fetch it
	at     time.Time
}

func newCache(limit int) *cache {
	return &cache{limit: limit, parts: map[uint64]*list.Element{}, order: list.New()}
}

// prefix returns how many tokens of a prompt's parts are cached, up to the first missing
// one, and how many of these have been read, so that another engine can fetch them.
func (c *cache) prefix(parts []wire.PromptPart) (cached, ready int) {
	allReady := true
	for _, p := range parts {
		e := c.parts[p.Part]
		if e == nil {
			break
		}
		own := e.Value.(*cachedPart)
		n := min(own.tokens, int(p.Tokens))
		cached += n
		if allReady = allReady && own.ready; allReady {
			ready = cached
		}
		if n < int(p.Tokens) {
			break
		}
	}
	return cached, ready
}

// add records a use of a part. ready tells whether the part has been read.
func (c *cache) add(id uint64, tokens int, ready bool, now time.Time) {
	if e := c.parts[id]; e != nil {
		p := e.Value.(*cachedPart)
		p.ready = p.ready || ready
		p.at = now
		c.used += tokens - p.tokens
		p.tokens = tokens
		c.order.MoveToFront(e)
		return
	}
	c.parts[id] = c.order.PushFront(&cachedPart{id: id, tokens: tokens, ready: ready, at: now})
	c.used += tokens
	c.recorder.added(id)
}

func (c *cache) drop(id uint64) {
	e := c.parts[id]
	if e == nil {
		return
	}
	c.order.Remove(e)
	delete(c.parts, id)
	c.used -= e.Value.(*cachedPart).tokens
	c.recorder.dropped(id)
}

func (c *cache) clear() {
	for id := range c.parts {
		c.drop(id)
	}
}

// engineReportLag is the age from which this router's own knowledge of a part gives way to
// the engine's report, which arrives late.
const engineReportLag = 600 * time.Millisecond

// applyReport corrects the model by the engine's own report.
func (c *cache) applyReport(in CacheUpdate, now time.Time) {
	listed := map[uint64]bool{}
	for _, k := range in.Parts {
		listed[k.Part] = k.Tokens > 0
		e := c.parts[k.Part]
		switch {
		case e == nil && k.Tokens > 0:
			c.add(k.Part, k.Tokens, true, now)
		case e == nil || now.Sub(e.Value.(*cachedPart).at) < engineReportLag:
		case k.Tokens == 0:
			c.drop(k.Part)
		default:
			p := e.Value.(*cachedPart)
			c.used += k.Tokens - p.tokens
			p.tokens, p.ready = k.Tokens, true
		}
	}
	if !in.Full {
		return
	}
	for id, e := range c.parts {
		if !listed[id] && now.Sub(e.Value.(*cachedPart).at) >= engineReportLag {
			c.drop(id)
		}
	}
}

// fit evicts the least recently used parts that do not fit beside the running requests.
func (c *cache) fit(running int) {
	for c.used > max(0, c.limit-running) {
		e := c.order.Back()
		if e == nil {
			return
		}
		c.drop(e.Value.(*cachedPart).id)
	}
}
