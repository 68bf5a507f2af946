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
	DialTimeout    time.Duration
	IdleTimeout    time.Duration
	MaxIdlePerHost int
	MaxHeaderBytes int
}

// DefaultLimits suit upstreams a millisecond away.
var DefaultLimits = Limits{
	DialTimeout:    2 * time.Second,
	IdleTimeout:    90 * time.Second,
	MaxIdlePerHost: 256,
	MaxHeaderBytes: 32 << 10,
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
	Pooled     http.RoundTripper
	SingleUse  http.RoundTripper
	transports []*http.Transport
}

// NewUpstreams returns empty pools.
func NewUpstreams(l Limits) *Upstreams {
	pooled, once := newTransport(l), newTransport(l)
	once.DisableKeepAlives = true
	return &Upstreams{Pooled: pooled, SingleUse: once, transports: []*http.Transport{pooled}}
}

func newTransport(l Limits) *http.Transport {
	return &http.Transport{
		Proxy:                  nil,
		DialContext:            (&net.Dialer{Timeout: l.DialTimeout, KeepAlive: 15 * time.Second}).DialContext,
		MaxIdleConns:           0,
		MaxIdleConnsPerHost:    l.MaxIdlePerHost,
		IdleConnTimeout:        l.IdleTimeout,
		MaxResponseHeaderBytes: int64(l.MaxHeaderBytes),
		DisableCompression:     true,
		ForceAttemptHTTP2:      false,
	}
}

// Close ends idle connections.
func (u *Upstreams) Close() {
	for _, t := range u.transports {
		t.CloseIdleConnections()
	}
}
