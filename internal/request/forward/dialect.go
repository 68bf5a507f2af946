// Package forward is the HTTP request path of the routed interface. It forwards requests
// of any method, path and body unchanged to the upstreams of their route, and returns the
// answers. Its state lives as long as one request. The deployment's Dialect names the
// headers; package dispatch decides where a request runs.
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
	RequestID      string   // of the caller's attempt; upstreams return it
	Deadline       string   // milliseconds the caller waits; upstreams get the time left
	Proof          string   // present on every answer that an upstream produced itself
	Organisation   string   // set by the router for upstreams
	ExpectInstance string   // set by the router; any other instance refuses the request
	NotExecuted    string   // on an upstream's answer: the request did not run
	PromptParts    string   // ID:TOKENS,... in the order of the prompt
	TokenUsage     string   // prompt tokens, a comma, and the most output tokens
	LengthHint     string   // the caller's estimate of the output tokens
	CacheSource    string   // set by the router: address to fetch cached parts from
	ColdFor        string   // on health answers: milliseconds for which the upstream is still cold
	Resumes        string   // ID of the caller's attempt that brought the first event of a stream that it takes up
	Leaving        string   // 1 on every answer of an upstream that is leaving
	RouterOnly     []string // other headers that only a router may set
}

// headerLastEventID holds the position of the last event that the receiver has; the stream
// continues after it.
const headerLastEventID = "Last-Event-Id"

// stream identifies a stream that may be resumed over its caller's attempts, and reports whether
// the caller has events of it, and whether it says which attempt brought the first one. The ID
// stands for the organisation and that attempt.
func (d *Dialect) stream(h http.Header, org, attempt string) (id uint64, resumed, named bool) {
	first := h.Get(d.Resumes)
	named = first != ""
	resumed = named || parseLastEventID(h) > 0
	if !named {
		first = attempt
	}
	return max(1, xxhash.Sum64String(org+"\x00"+first)), resumed, named
}

// hopByHopHeaders concern a single connection and are not forwarded (RFC 9110, 7.6.1).
var hopByHopHeaders = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length"}

// copyEndToEnd copies all headers except hop-by-hop ones, including those that the
// Connection header lists.
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

// upstreamHeader returns the caller's headers that are forwarded to an upstream. The API
// key and the headers that only routers may set are never among them.
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

// prompt is the work of a request as estimated from its headers, in tokens.
type prompt struct {
	parts  []wire.PromptPart
	input  int
	output int
}

const (
	// maxParts bounds the prompt parts read from a request.
	maxParts = 64
	// maxTokens is the largest token count that is accepted from a header.
	maxTokens = 100_000_000
	// unhintedOutputRatio is the fraction of the maximum output that is expected when the
	// caller gives no hint.
	unhintedOutputRatio = 0.5
)

// readPrompt reads the prompt headers. Malformed values are ignored, since validating them
// is up to the upstream.
func (d *Dialect) readPrompt(h http.Header) prompt {
	var p prompt
	in, out, _ := strings.Cut(h.Get(d.TokenUsage), ",")
	p.input = parseTokenCount(in)
	p.output = int(unhintedOutputRatio * float64(parseTokenCount(out)))
	if hint := parseTokenCount(h.Get(d.LengthHint)); hint > 0 {
		p.output = hint
	}
	sum := 0
	list := h.Get(d.PromptParts)
	for text := range strings.SplitSeq(list, ",") {
		id, count, ok := strings.Cut(strings.TrimSpace(text), ":")
		n := parseTokenCount(count)
		if !ok || n == 0 || len(p.parts) >= maxParts {
			break
		}
		if p.parts == nil {
			p.parts = make([]wire.PromptPart, 0, min(maxParts, 1+strings.Count(list, ",")))
		}
		p.parts = append(p.parts, wire.PromptPart{Part: PartID(id), Tokens: uint32(n)})
		sum += n
	}
	p.input = max(p.input, sum)
	return p
}

// PartID returns the number that stands for a prompt part's name between routers.
func PartID(name string) uint64 { return xxhash.Sum64String(name) }

// parseTokenCount returns 0 for a malformed or too large count.
func parseTokenCount(text string) int {
	n, err := strconv.Atoi(strings.TrimSpace(text))
	if err != nil || n < 0 || n > maxTokens {
		return 0
	}
	return n
}

// deadline returns how long the caller waits. It is def if the header is missing,
// malformed or longer than def.
func (d *Dialect) deadline(h http.Header, def time.Duration) time.Duration {
	text := h.Get(d.Deadline)
	if ms := parseDigits(text); ms >= 0 {
		if ms > def.Milliseconds() {
			return def
		}
		return time.Duration(ms) * time.Millisecond
	}
	ms, err := strconv.ParseFloat(text, 64)
	if err != nil || !(ms >= 0 && ms <= float64(def.Milliseconds())) { // also for not a number
		return def
	}
	return time.Duration(ms * float64(time.Millisecond))
}

// maxDigits is the longest text that parseDigits parses.
const maxDigits = 9

// parseDigits returns the value of a text of decimal digits, or -1 for any other text or one
// that is longer than maxDigits. It needs little stack: with strconv.ParseFloat at this depth
// the stack of each new connection's goroutine grew once more, a tenth of what a refusal on a
// new connection costs.
func parseDigits(text string) int64 {
	if len(text) == 0 || len(text) > maxDigits {
		return -1
	}
	var n int64
	for i := range len(text) {
		c := text[i]
		if c < '0' || c > '9' {
			return -1
		}
		n = 10*n + int64(c-'0')
	}
	return n
}
