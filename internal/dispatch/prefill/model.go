// Package prefill models the time from a request to the first event of an engine's stream,
// and learns the model from observed times. Reading a prompt means prefilling it.
//
// Load pattern: engines of unknown type behind one service, some ten times faster than
// others, with prompts whose lengths differ by a factor of a thousand. With fixed
// parameters the expected wait is wrong by several times, and requests are refused in front
// of idle engines.
//
// Time is an argument; nothing here reads a clock.
package prefill

// Model is the time to the first event at an idle engine: Base + PerToken x tokens to read
// + PerPair x pairs of tokens in attention + PerFetched x tokens fetched from another
// engine.
type Model struct {
	Base       float64 // milliseconds beyond reading: admission, the first tokens, the network
	PerToken   float64 // milliseconds for each token of the prompt that is read
	PerPair    float64 // milliseconds for a million pairs of a token that is read and one before it
	PerFetched float64 // milliseconds for each token that is fetched from another engine's cache
}

// Prior is the model before any sample. It is in the geometric middle of engines that read
// 3 to 300 tokens a millisecond; a few samples outweigh it.
var Prior = Model{Base: 25, PerToken: 1.0 / 30, PerPair: 0.5, PerFetched: 1.0 / 400}

// Prompt is the work of reading a prompt, or of several prompts.
type Prompt struct {
	Tokens  float64
	Pairs   float64 // millions
	Fetched float64 // tokens
}

// PromptOf returns the work of reading the last tokens of a prompt after fetching some of
// the others: read, fetched and whole are numbers of tokens, whole that of the complete
// prompt. Each token that is read attends to all tokens before it, cached or read.
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

// Read returns the time of fetching and reading a prompt, in milliseconds.
func (m Model) Read(p Prompt) float64 {
	return m.PerToken*p.Tokens + m.PerPair*p.Pairs + m.PerFetched*p.Fetched
}

// expectedMS returns the time that a sample should have taken.
func (m Model) expectedMS(s Sample) float64 { return s.IdleStarts*m.Base + m.Read(s.Prompt) }

// usable reports whether the values of a model, learned or received from a peer, are in a
// plausible range.
func (m Model) usable() bool {
	const maxValue = 1e5
	plausible := func(x float64) bool { return x >= 0 && x < maxValue } // false for NaN
	return plausible(m.Base) && plausible(m.PerToken) && plausible(m.PerPair) && plausible(m.PerFetched)
}
