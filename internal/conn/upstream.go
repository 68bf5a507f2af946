package conn

import (
	"encoding/json"
	"net"
	"net/http"
	"time"
)

func unmarshal(raw json.RawMessage, v any) error { return json.Unmarshal(raw, v) }

// Limits bounds each phase of a call to an upstream.
type Limits struct {
	Dial         time.Duration
	IdleConn     time.Duration
	IdlePerHost  int
	HeaderBuffer int
}

// DefaultLimits suit upstreams a millisecond away.
var DefaultLimits = Limits{
	Dial:         2 * time.Second,
	IdleConn:     90 * time.Second,
	IdlePerHost:  256,
	HeaderBuffer: 32 << 10,
}

// Upstreams holds the connections to all upstreams. It may be used by any
// goroutine.
//
// net/http sends a request again by itself when a reused connection dies before
// the first byte of the reply and the request is replayable: a GET, HEAD, OPTIONS
// or TRACE, or one with an Idempotency-Key header, whose body is empty or can be
// rewound (Request.GetBody). What may not be repeated therefore goes through
// Once, which never reuses a connection, with GetBody unset.
type Upstreams struct {
	Pooled http.RoundTripper
	Once   http.RoundTripper
	idle   []*http.Transport
}

// NewUpstreams returns empty pools.
func NewUpstreams(l Limits) *Upstreams {
	pooled, once := newTransport(l), newTransport(l)
	once.DisableKeepAlives = true
	return &Upstreams{Pooled: pooled, Once: once, idle: []*http.Transport{pooled}}
}

func newTransport(l Limits) *http.Transport {
	return &http.Transport{
		Proxy:                  nil,
		DialContext:            (&net.Dialer{Timeout: l.Dial, KeepAlive: 15 * time.Second}).DialContext,
		MaxIdleConns:           0,
		MaxIdleConnsPerHost:    l.IdlePerHost,
		IdleConnTimeout:        l.IdleConn,
		MaxResponseHeaderBytes: int64(l.HeaderBuffer),
		DisableCompression:     true,
		ForceAttemptHTTP2:      false,
	}
}

// Close ends idle connections.
func (u *Upstreams) Close() {
	for _, t := range u.idle {
		t.CloseIdleConnections()
	}
}
