// Package prefill models how long a model engine takes to the first event of a
// stream, and learns that model from the times that requests show.
//
// Load pattern: engines of unknown make behind one service, some ten times faster than
// others, whose prompts differ by a thousand times in length. With fixed figures the
// expected wait is wrong by several times, and requests are refused before idle engines.
//
// Time is an argument; nothing here reads a clock.
package prefill

// Model is the time to a first event at an idle engine:
// Base + PerToken x tokens to read + PerPair x pairs of tokens that attend +
// PerFetched x tokens that it fetches from another engine.
type Model struct {
	Base       float64 // milliseconds beyond reading: admission, the first tokens, the way
	PerToken   float64 // milliseconds for a token of the prompt that is read
	PerPair    float64 // milliseconds for a million pairs of a read token and one before it
	PerFetched float64 // milliseconds for a token that another engine keeps and hands over
}

// Prior is believed before anything is seen. It lies in the middle, by ratio, of
// engines that read 3 to 300 tokens a millisecond; a few samples outweigh it.
var Prior = Model{Base: 25, PerToken: 1.0 / 30, PerPair: 0.5, PerFetched: 1.0 / 400}

// Prompt is what an engine has to read.
type Prompt struct {
	Tokens  float64
	Pairs   float64 // millions
	Fetched float64 // tokens
}

// PromptOf returns the work of reading the last tokens of a prompt, some of which are
// fetched before: each attends to all before it, kept or read.
func PromptOf(read, fetched, whole int) Prompt {
	r, w := float64(read), float64(whole)
	return Prompt{Tokens: r, Pairs: r * (w - r/2) / 1e6, Fetched: float64(fetched)}
}

func (p *Prompt) add(o Prompt) {
	p.Tokens += o.Tokens
	p.Pairs += o.Pairs
	p.Fetched += o.Fetched
}

func (p *Prompt) scale(by float64) {
	p.Tokens *= by
	p.Pairs *= by
	p.Fetched *= by
}

// Read returns the milliseconds of fetching and reading a prompt.
func (m Model) Read(p Prompt) float64 {
	return m.PerToken*p.Tokens + m.PerPair*p.Pairs + m.PerFetched*p.Fetched
}

// of returns the time that a sample should have taken.
func (m Model) expectedMS(s Sample) float64 { return s.IdleStarts*m.Base + m.Read(s.Prompt) }

// usable reports whether a model, learned or told by a peer, can be reckoned with.
func (m Model) usable() bool {
	const most = 1e5
	sound := func(x float64) bool { return x >= 0 && x < most } // false for NaN
	return sound(m.Base) && sound(m.PerToken) && sound(m.PerPair) && sound(m.PerFetched)
}
