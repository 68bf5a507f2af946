// Package routing holds the routing table (routes, services, organisations and limits,
// as published by the operators) and a router's view of the platform's store: the table
// in force, the upstream instances and the evacuated places. A Table is validated
// completely before it is used, is immutable afterwards and is replaced by that of the
// next version.
package routing

import (
	"crypto/sha256"
	"net"
	"sort"
	"strings"
	"time"

	"github.com/joomcode/errorx"
)

// ErrTable is the type of errors for an invalid routing table.
var ErrTable = errorx.NewNamespace("routing").NewType("table")

// Kind determines whether a route's requests may be sent again.
type Kind uint8

// The kinds of route.
const (
	AtMostOnce Kind = iota // must not run more than once
	Idempotent             // may run again
	Stream                 // answers with events; must not run more than once unless it can be resumed
)

// WeightedService is a service that receives a fraction of a route's traffic.
type WeightedService struct {
	Service string
	Weight  int
}

// Route maps requests for a host and path prefix to services.
type Route struct {
	Name          string
	Host          string
	Prefix        string // begins and ends with a slash
	Kind          Kind
	Resumable     bool // a broken stream may be resumed after its last event
	Public        bool // needs no API key
	Affinity      bool // requests name the parts of their prompt, for prefix caches
	Timeout       time.Duration
	TargetLatency time.Duration // answers within this are on time; for streams: the first event
	TargetGap     time.Duration // longest gap between events that is on time
	Priority      int           // 0 is the most urgent
	MaxAttempts   int           // number of upstreams that one request may be sent to
	Split         []WeightedService
	Regions       Regions // regions of the upstreams that may handle its requests
}

// MayRepeat reports whether a request may be sent again after it may have run.
func (r *Route) MayRepeat() bool {
	return r.Kind == Idempotent || r.Kind == Stream && r.Resumable
}

// Pick selects a service in proportion to the weights; at is a position in [0, 1).
func (r *Route) Pick(at float64) string {
	total := 0
	for _, p := range r.Split {
		total += p.Weight
	}
	left := at * float64(total)
	for _, p := range r.Split {
		left -= float64(p.Weight)
		if left < 0 {
			return p.Service
		}
	}
	return r.Split[len(r.Split)-1].Service
}

// Engine describes the model engines of a service.
type Engine struct {
	Slots        int // requests in one batch
	MemoryTokens int // tokens of all running requests and cached prompt parts
	TokenBytes   int // memory per token
	EventTokens  int // tokens per event of a stream
}

// Cold limits the requests sent to an upstream that has just started. A cold upstream
// crashes at rates well above the limit.
type Cold struct {
	Period            time.Duration // how long an upstream is cold after a start
	RequestsPerSecond float64       // from all routers together; 0 means no limit
}

// Service is a group of interchangeable upstreams.
type Service struct {
	Name     string
	MaxConns int     // connections that one upstream accepts from all routers together
	Engine   *Engine // nil for a plain service
	Cold     Cold
	Health   string // path of the upstreams' health endpoint, "" when there is none
}

// Limits bounds what callers may send.
type Limits struct {
	HeaderBytes     int
	BodyBytes       int64
	HeaderTimeout   time.Duration
	IdleConnTimeout time.Duration
	TokensPerSecond float64 // capacity of all engines together, 0 when unknown
}

// Organisation is a holder of API keys. Its Priority, when not nil, overrides that of a
// route.
type Organisation struct {
	Name     string
	Priority *int
	Regions  Regions // regions of the upstreams that may handle its requests
}

// Table is one version of the routing configuration.
type Table struct {
	Number   uint64
	Limits   Limits
	Services map[string]*Service
	Routes   []*Route
	hosts    map[string][]*Route // longest prefix first
	orgs     []*Organisation
	keys     map[[32]byte]*Organisation // by SHA-256 of the API key; nil when no organisation is published
}

// Builder collects the content of a table. API keys are kept only as hashes.
type Builder struct {
	Number   uint64
	Limits   Limits
	Services []*Service
	Routes   []*Route
	orgs     []*Organisation
	keys     map[[32]byte]*Organisation
}

// AddOrganisation adds an organisation with its API keys.
func (b *Builder) AddOrganisation(o *Organisation, apiKeys []string) {
	if b.keys == nil {
		b.keys = map[[32]byte]*Organisation{}
	}
	b.orgs = append(b.orgs, o)
	for _, k := range apiKeys {
		b.keys[sha256.Sum256([]byte(k))] = o
	}
}

// Build validates everything and returns the table, or an ErrTable that names the fault.
func (b *Builder) Build() (*Table, error) {
	t := &Table{
		Number:   b.Number,
		Limits:   b.Limits,
		Services: map[string]*Service{},
		Routes:   b.Routes,
		hosts:    map[string][]*Route{},
		orgs:     b.orgs,
		keys:     b.keys,
	}
	for _, s := range b.Services {
		if s.Name == "" {
			return nil, ErrTable.New("a service has no name")
		}
		if s.Cold.Period < 0 || !(s.Cold.RequestsPerSecond >= 0) {
			return nil, ErrTable.New("service %q: cold period = %s, %g requests per second: allowed: 0 or more", s.Name, s.Cold.Period, s.Cold.RequestsPerSecond)
		}
		t.Services[s.Name] = s
	}
	for _, r := range b.Routes {
		if err := t.validateRoute(r); err != nil {
			return nil, err
		}
		host := strings.ToLower(r.Host)
		t.hosts[host] = append(t.hosts[host], r)
	}
	for _, routes := range t.hosts {
		sort.SliceStable(routes, func(i, j int) bool { return len(routes[i].Prefix) > len(routes[j].Prefix) })
	}
	return t, nil
}

func (t *Table) validateRoute(r *Route) error {
	if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
		return ErrTable.New("route %q: prefix = %q: allowed: a path that begins and ends with a slash", r.Name, r.Prefix)
	}
	if r.Timeout <= 0 {
		return ErrTable.New("route %q: timeout = %s: allowed: more than 0", r.Name, r.Timeout)
	}
	weight := 0
	for _, p := range r.Split {
		if t.Services[p.Service] == nil {
			return ErrTable.New("route %q: service = %q: allowed: one of the table's services", r.Name, p.Service)
		}
		if p.Weight < 0 {
			return ErrTable.New("route %q: weight = %d: allowed: 0 or more", r.Name, p.Weight)
		}
		weight += p.Weight
	}
	if weight == 0 {
		return ErrTable.New("route %q: no service has a weight above 0", r.Name)
	}
	r.MaxAttempts = max(1, r.MaxAttempts)
	return nil
}

// Match returns the route with the longest prefix that matches a host and path, or nil.
func (t *Table) Match(host, path string) *Route {
	if strings.IndexByte(host, ':') >= 0 { // without a port SplitHostPort allocates an error
		if h, _, err := net.SplitHostPort(host); err == nil {
			host = h
		}
	}
	for _, r := range t.hosts[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// ByAPIKey returns the organisation that holds an API key, or nil. Only the key's hash
// is compared, so that timing reveals nothing about its characters.
func (t *Table) ByAPIKey(key string) *Organisation { return t.keys[sha256.Sum256([]byte(key))] }

// HealthPath returns the path of the health endpoint of a service's upstreams, or "".
func (t *Table) HealthPath(service string) string {
	if s := t.Services[service]; s != nil {
		return s.Health
	}
	return ""
}

// HasEngines reports whether a service's upstreams are engines.
func (t *Table) HasEngines(service string) bool {
	s := t.Services[service]
	return s != nil && s.Engine != nil
}

// RequiresAPIKey reports whether requests need an API key: they do when organisations are
// published, even if none of them holds a key any more.
func (t *Table) RequiresAPIKey() bool { return t.keys != nil }

// Organisations returns every organisation, including those without keys.
func (t *Table) Organisations() []*Organisation { return t.orgs }

// SameServices reports whether another table has the same service names. It returns
// false for nil.
func (t *Table) SameServices(other *Table) bool {
	if other == nil || len(t.Services) != len(other.Services) {
		return false
	}
	for name := range t.Services {
		if other.Services[name] == nil {
			return false
		}
	}
	return true
}
