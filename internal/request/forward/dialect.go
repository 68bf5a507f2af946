// Package forward carries requests of any method, path and body to the upstreams
// of their route, unchanged, and their answers back. Everything in it lives as
// long as one request. What headers are called is the deployment's Dialect;
// where a request runs is decided by internal/dispatch.
package forward

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/silverswitch/silverswitch/internal/core/wire"
)

// Dialect names the headers that callers, routers and upstreams of a deployment
// use.
type Dialect struct {
	RequestID      string   // of the caller's attempt; upstreams repeat it
	Deadline       string   // milliseconds that the caller waits; handed down: what is left
	Proof          string   // an upstream's own answer carries it
	Organisation   string   // set by the router for upstreams
	ExpectInstance string   // set by the router: any other instance refuses
	NotExecuted    string   // on an upstream's answer: the request did not run
	PromptParts    string   // ID:TOKENS,... in order
	TokenUsage     string   // PROMPT,MOST-OUTPUT
	LengthHint     string   // the caller's estimate of the output
	CacheSource    string   // set by the router: fetch kept parts from this address
	ColdFor        string   // of an upstream's health answers: milliseconds that it is cold
	Leaving        string   // on every answer of an upstream that leaves: 1
	RouterOnly     []string // other headers that only a router may set
}

// headerLastEventID is the position after which a caller wants a stream.
const headerLastEventID = "Last-Event-Id"

// hopByHopHeaders are headers that concern one connection only (RFC 9110, 7.6.1).
var hopByHopHeaders = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length"}

// copyEndToEnd copies headers but those of one connection, which the Connection
// header may name more of.
func copyEndToEnd(to, from http.Header) {
	for name, values := range from {
		to[name] = values
	}
	for _, list := range from["Connection"] {
		for _, name := range strings.Split(list, ",") {
			to.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopHeaders {
		to.Del(name)
	}
}

// upstreamHeader returns what an upstream gets of a caller's headers. The API key
// and headers that only routers set never pass.
func (d *Dialect) upstreamHeader(from http.Header) http.Header {
	h := make(http.Header, len(from)+4)
	copyEndToEnd(h, from)
	h.Del("Authorization")
	h.Del("Expect")
	h.Del(d.Organisation)
	h.Del(d.ExpectInstance)
	h.Del(d.CacheSource)
	for _, name := range d.RouterOnly {
		h.Del(name)
	}
	return h
}

// prompt is what the headers say of the work a request brings.
type prompt struct {
	parts  []wire.PromptPart
	input  int
	output int
}

const (
	// maxParts bounds the prompt parts that are looked at.
	maxParts = 64
	// maxTokens bounds a count of tokens from outside.
	maxTokens = 100_000_000
	// unhintedOutputRatio is the part of the most output that is expected without a hint.
	unhintedOutputRatio = 0.5
)

// readPrompt reads the headers. What is malformed is left out: it is the
// upstream's to refuse.
func (d *Dialect) readPrompt(h http.Header) prompt {
	var p prompt
	in, out, _ := strings.Cut(h.Get(d.TokenUsage), ",")
	p.input = parseTokenCount(in)
	p.output = int(unhintedOutputRatio * float64(parseTokenCount(out)))
	if hint := parseTokenCount(h.Get(d.LengthHint)); hint > 0 {
		p.output = hint
	}
	sum := 0
	for _, text := range strings.Split(h.Get(d.PromptParts), ",") {
		id, count, ok := strings.Cut(strings.TrimSpace(text), ":")
		n := parseTokenCount(count)
		if !ok || n == 0 || len(p.parts) >= maxParts {
			break
		}
		p.parts = append(p.parts, wire.PromptPart{Part: PartID(id), Tokens: uint32(n)})
		sum += n
	}
	p.input = max(p.input, sum)
	return p
}

// PartID is the number of a prompt part's name inside the fleet.
func PartID(name string) uint64 { return xxhash.Sum64String(name) }

func parseTokenCount(text string) int {
	n, err := strconv.Atoi(strings.TrimSpace(text))
	if err != nil || n < 0 || n > maxTokens {
		return 0
	}
	return n
}

// deadline returns how long the caller waits, or def when it does not say.
func (d *Dialect) deadline(h http.Header, def time.Duration) time.Duration {
	ms, err := strconv.ParseFloat(h.Get(d.Deadline), 64)
	if err != nil || ms < 0 || ms > float64(def.Milliseconds()) {
		return def
	}
	return time.Duration(ms * float64(time.Millisecond))
}
