package conn

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"time"
)

func unmarshal(raw json.RawMessage, v any) error { return json.Unmarshal(raw, v) }

// Limits bounds the phases of a call to an upstream and the idle connections.
type Limits struct {
	DialTimeout    time.Duration
	IdleTimeout    time.Duration
	MaxIdlePerHost int
	MaxHeaderBytes int
}

// DefaultLimits are for upstreams about a millisecond away.
var DefaultLimits = Limits{
	DialTimeout:    2 * time.Second,
	IdleTimeout:    90 * time.Second,
	MaxIdlePerHost: 256,
	MaxHeaderBytes: 32 << 10,
}

// Upstreams holds the HTTP transports to all upstreams. It may be used by any goroutine.
//
// net/http resends a request by itself when a reused connection breaks before the first
// byte of the response and the request is replayable: a GET, HEAD, OPTIONS or TRACE, or
// one with an Idempotency-Key header, whose body is empty or can be rewound
// (Request.GetBody). Requests that must not be repeated therefore go through SingleUse,
// which never reuses a connection, with GetBody unset.
type Upstreams struct {
	Pooled     http.RoundTripper
	SingleUse  http.RoundTripper
	transports []*http.Transport
}

// NewUpstreams returns transports without open connections.
func NewUpstreams(l Limits) *Upstreams {
	pooled, singleUse := newTransport(l), newTransport(l)
	singleUse.DisableKeepAlives = true
	return &Upstreams{Pooled: pooled, SingleUse: singleUse, transports: []*http.Transport{pooled}}
}

func newTransport(l Limits) *http.Transport {
	d := &net.Dialer{Timeout: l.DialTimeout, KeepAlive: 15 * time.Second}
	return &http.Transport{
		Proxy: nil,
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			c, err := dialReset(ctx, d, network, addr)
			if err != nil {
				return nil, err
			}
			return c, nil
		},
		MaxIdleConns:           0,
		MaxIdleConnsPerHost:    l.MaxIdlePerHost,
		IdleConnTimeout:        l.IdleTimeout,
		MaxResponseHeaderBytes: int64(l.MaxHeaderBytes),
		DisableCompression:     true,
		ForceAttemptHTTP2:      false,
	}
}

// Close closes idle connections.
func (u *Upstreams) Close() {
	for _, t := range u.transports {
		t.CloseIdleConnections()
	}
}
