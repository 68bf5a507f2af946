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
}

type part struct {
	chain  uint64
	tokens int
	ready  bool // read; before that another engine cannot fetch it
	at     time.Time
}

func newCache(limit int) *cache {
	return &cache{limit: limit, parts: map[uint64]*list.Element{}, order: list.New()}
}

// prefix returns how many tokens of a prompt's parts are kept, counting whole
// parts from the first; readyOnly leaves out parts that are still being read.
func (c *cache) prefix(parts []wire.PromptPart, readyOnly bool) int {
	n := 0
	for _, p := range parts {
		e := c.parts[p.Chain]
		if e == nil || readyOnly && !e.Value.(*part).ready {
			break
		}
		n += int(p.Tokens)
	}
	return n
}

// add records a use of a part. ready says that it has been read.
func (c *cache) add(chain uint64, tokens int, ready bool, now time.Time) {
	if e := c.parts[chain]; e != nil {
		p := e.Value.(*part)
		p.ready = p.ready || ready
		p.at = now
		c.order.MoveToFront(e)
		return
	}
	c.parts[chain] = c.order.PushFront(&part{chain: chain, tokens: tokens, ready: ready, at: now})
	c.used += tokens
}

// drop forgets a part, and reports whether it was there and not yet read.
func (c *cache) drop(chain uint64) {
	e := c.parts[chain]
	if e == nil {
		return
	}
	c.order.Remove(e)
	delete(c.parts, chain)
	c.used -= e.Value.(*part).tokens
}

// fit forgets the least recently used parts beyond what running requests leave.
func (c *cache) fit(running int) {
	for c.used > max(0, c.limit-running) {
		e := c.order.Back()
		if e == nil {
			return
		}
		c.drop(e.Value.(*part).chain)
	}
}

// clear forgets everything: the engine has started anew or failed.
func (c *cache) clear() {
	c.parts = map[uint64]*list.Element{}
	c.order.Init()
	c.used = 0
}
