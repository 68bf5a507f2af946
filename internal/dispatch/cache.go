package dispatch

import (
	"container/list"
	"time"

	"github.com/silverswitch/silverswitch/internal/core/wire"
)

// cache is what one engine is believed to keep of prompts: the parts it was sent,
// the least recently used leaving first, as in the engines' own memory.
type cache struct {
	limit int // tokens
	used  int
	parts map[uint64]*list.Element
	order *list.List // of *part, most recently used first
	keep  heldBy     // notes who holds what; may be the zero value
}

type part struct {
	id     uint64
	tokens int
	ready  bool // read; before that another engine cannot fetch it
	at     time.Time
}

func newCache(limit int) *cache {
	return &cache{limit: limit, parts: map[uint64]*list.Element{}, order: list.New()}
}

// prefix returns how many tokens of a prompt's parts are kept, from the first up to
// what is missing, and how many of them have been read: another engine can fetch those.
func (c *cache) prefix(parts []wire.PromptPart) (kept, ready int) {
	allReady := true
	for _, p := range parts {
		e := c.parts[p.Part]
		if e == nil {
			break
		}
		own := e.Value.(*part)
		n := min(own.tokens, int(p.Tokens))
		kept += n
		if allReady = allReady && own.ready; allReady {
			ready = kept
		}
		if n < int(p.Tokens) {
			break
		}
	}
	return kept, ready
}

// add records a use of a part. ready says that it has been read.
func (c *cache) add(id uint64, tokens int, ready bool, now time.Time) {
	if e := c.parts[id]; e != nil {
		p := e.Value.(*part)
		p.ready = p.ready || ready
		p.at = now
		c.used += tokens - p.tokens
		p.tokens = tokens
		c.order.MoveToFront(e)
		return
	}
	c.parts[id] = c.order.PushFront(&part{id: id, tokens: tokens, ready: ready, at: now})
	c.used += tokens
	c.keep.added(id)
}

// drop forgets a part.
func (c *cache) drop(id uint64) {
	e := c.parts[id]
	if e == nil {
		return
	}
	c.order.Remove(e)
	delete(c.parts, id)
	c.used -= e.Value.(*part).tokens
	c.keep.dropped(id)
}

// clear forgets every part.
func (c *cache) clear() {
	for id := range c.parts {
		c.drop(id)
	}
}

// correctAfter is how old the own knowledge of a part must be until the engine's
// word, which comes late, goes before it.
const correctAfter = 600 * time.Millisecond

// correct takes the engine's own word.
func (c *cache) correct(in CacheUpdate, now time.Time) {
	listed := map[uint64]bool{}
	for _, k := range in.Parts {
		listed[k.Part] = k.Tokens > 0
		e := c.parts[k.Part]
		switch {
		case e == nil && k.Tokens > 0:
			c.add(k.Part, k.Tokens, true, now)
		case e == nil || now.Sub(e.Value.(*part).at) < correctAfter:
		case k.Tokens == 0:
			c.drop(k.Part)
		default:
			p := e.Value.(*part)
			c.used += k.Tokens - p.tokens
			p.tokens, p.ready = k.Tokens, true
		}
	}
	if !in.Full {
		return
	}
	for id, e := range c.parts {
		if !listed[id] && now.Sub(e.Value.(*part).at) >= correctAfter {
			c.drop(id)
		}
	}
}

// fit forgets the least recently used parts beyond what running requests leave.
func (c *cache) fit(running int) {
	for c.used > max(0, c.limit-running) {
		e := c.order.Back()
		if e == nil {
			return
		}
		c.drop(e.Value.(*part).id)
	}
}
