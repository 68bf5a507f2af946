package version

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// ID is the 32-bit identifier of an organisation, upstream, pool or place in control
// messages. Load rejects a version in which two names have the same ID.
type ID uint32

// IDOf returns the ID of a name, which is never 0. Zero is reserved for "any".
func IDOf(name string) ID {
	id := ID(xxhash.Sum64String(name))
	if id == 0 {
		return 1
	}
	return id
}

// Number identifies an accepted version: the operators' revision and the first
// 8 bytes of the SHA-256 of the packed value.
type Number struct {
	_        struct{} `cbor:",toarray"`
	Revision uint64
	Hash     uint64
}

// Less orders versions by revision and then by hash, so that every router chooses the same
// one of two values published under one revision.
func (n Number) Less(o Number) bool {
	if n.Revision != o.Revision {
		return n.Revision < o.Revision
	}
	return n.Hash < o.Hash
}

// Kind is the kind of a service.
type Kind string

// The kinds of service.
const (
	KindModel Kind = "model"
	KindPlain Kind = "plain"
)

// Unit is the unit in which the service received by an organisation is measured.
type Unit string

// The units of service: generated tokens, or answered requests times their worth.
const (
	UnitTokens   Unit = "tokens"
	UnitAnswered Unit = "answered"
)

// Priority orders the requests within one organisation's share.
type Priority string

// The priorities of an application.
const (
	PriorityUrgent Priority = "urgent"
	PriorityNormal Priority = "normal"
)

// Place is a failure domain that contains routers and upstreams.
type Place struct {
	Name      string
	Region    string
	Evacuated bool // its upstreams receive no new requests; its routers still accept callers
}

// Service is a model or a plain service offered by upstreams.
type Service struct {
	Name string
	Kind Kind
}

// Upstream is one server of a service.
type Upstream struct {
	ID        ID
	Name      string
	Service   string
	Place     string
	Address   string // IP address and port
	Slots     int    // requests it may run at once
	Leaving   bool   // receives no new requests
	Pool      ID
	Evacuated bool // whether its place is evacuated
}

// Closed reports whether the upstream receives no new requests.
func (u *Upstream) Closed() bool { return u.Leaving || u.Evacuated }

// Application configures the use of a service by an organisation.
type Application struct {
	Name       string
	Service    string
	Idempotent bool
	Priority   Priority
	HintTokens int           // expected tokens of an answer, 0 when unknown
	Unit       Unit          // unit in which its service is measured
	Worth      float64       // service per answered request, in tokens
	Timeout    time.Duration // limit from the arrival of a request to the last byte of its answer
}

// Organisation is a customer of the operators, after its template was applied.
type Organisation struct {
	ID           ID
	Name         string
	Template     string
	KeyHashes    [][32]byte // SHA-256 of each API key
	Places       map[string]bool
	Share        float64
	QueueLimit   int // number of requests that may wait at one router
	Applications map[string]*Application
}

// Pool is the set of upstreams of one service in one region, whose capacity is granted by
// one scheduler.
type Pool struct {
	ID        ID
	Service   string
	Region    string
	Upstreams []*Upstream
}

// Version is a validated configuration. It is immutable after Load.
type Version struct {
	Number        Number
	Packed        []byte
	Places        map[string]*Place
	Services      map[string]*Service
	Upstreams     map[ID]*Upstream
	Organisations map[ID]*Organisation
	Pools         map[ID]*Pool
	byKeyHash     map[[32]byte]*Organisation
	byName        map[string]*Organisation
}

// ByKeyHash returns the organisation with an API key of the given SHA-256 hash, or nil. The
// lookup is by hash, so that timing reveals nothing about a key's characters.
func (v *Version) ByKeyHash(sum [32]byte) *Organisation { return v.byKeyHash[sum] }

// ByName returns the organisation with a name, or nil.
func (v *Version) ByName(name string) *Organisation { return v.byName[name] }

// Allows reports whether the organisation's requests may be handled in a place.
func (o *Organisation) Allows(place string) bool { return o.Places[place] }

// UsesService reports whether an application of the organisation uses a service.
func (o *Organisation) UsesService(service string) bool {
	for _, a := range o.Applications {
		if a.Service == service {
			return true
		}
	}
	return false
}

// PoolsOf returns the IDs of the service's pools with at least one upstream in a place that
// the organisation allows, in order.
func (v *Version) PoolsOf(o *Organisation, service string) []ID {
	var ids []ID
	for _, p := range sortedPools(v.Pools) {
		if p.Service == service && p.usableBy(o) {
			ids = append(ids, p.ID)
		}
	}
	return ids
}

func (p *Pool) usableBy(o *Organisation) bool {
	for _, u := range p.Upstreams {
		if o.Allows(u.Place) {
			return true
		}
	}
	return false
}
