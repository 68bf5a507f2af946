package version

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// ID is the 32-bit name of an organisation, upstream, pool or place inside
// control messages. Load rejects a version in which two names share an ID.
type ID uint32

// IDOf returns the ID of a name. Zero is reserved for "any".
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

// Less orders versions the same way on every router: by revision, then by hash,
// so that two values published under one revision have one winner everywhere.
func (n Number) Less(o Number) bool {
	if n.Revision != o.Revision {
		return n.Revision < o.Revision
	}
	return n.Hash < o.Hash
}

// Kind tells a model engine from a plain service.
type Kind string

// The kinds of service.
const (
	KindModel Kind = "model"
	KindPlain Kind = "plain"
)

// Unit is what one organisation's service is counted in.
type Unit string

// The units of service: tokens generated, or answered requests times worth.
const (
	UnitTokens   Unit = "tokens"
	UnitAnswered Unit = "answered"
)

// Priority orders requests inside one organisation's share.
type Priority string

// The priorities of an application.
const (
	PriorityUrgent Priority = "urgent"
	PriorityNormal Priority = "normal"
)

// Place is a failure domain in which routers and upstreams stand.
type Place struct {
	Name      string
	Region    string
	Evacuated bool // nothing new is sent to its upstreams; its routers go on taking callers
}

// Service is a model or a plain service that upstreams offer.
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
	Address   string // host:port by IP number
	Slots     int    // requests it may run at once
	Leaving   bool   // receives no new work
	Pool      ID
	Evacuated bool // its place is
}

// Closed reports whether nothing new is to be sent to the upstream.
func (u *Upstream) Closed() bool { return u.Leaving || u.Evacuated }

// Application is one thing an organisation may call.
type Application struct {
	Name       string
	Service    string
	Idempotent bool
	Priority   Priority
	HintTokens int           // expected tokens of an answer, 0 when unknown
	Unit       Unit          // how service is counted
	Worth      float64       // service of one answered request, in tokens
	Timeout    time.Duration // longest time from arrival to the last byte
}

// Organisation is one customer of the operators, with its template applied.
type Organisation struct {
	ID           ID
	Name         string
	Template     string
	KeyHashes    [][32]byte // SHA-256 of each API key
	Places       map[string]bool
	Share        float64
	QueueLimit   int // requests that may wait at one router
	Applications map[string]*Application
}

// Pool is the upstreams of one service in one region; one scheduler grants it.
type Pool struct {
	ID        ID
	Service   string
	Region    string
	Upstreams []*Upstream
}

// Version is one checked configuration. It is never changed after Load.
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

// ByKeyHash returns the organisation whose API key hashes to sum, or nil. The map
// is keyed by the hash, so timing tells nothing about a key's characters.
func (v *Version) ByKeyHash(sum [32]byte) *Organisation { return v.byKeyHash[sum] }

// ByName returns the organisation of that name, or nil.
func (v *Version) ByName(name string) *Organisation { return v.byName[name] }

// Allows reports whether the organisation's requests may be in a place.
func (o *Organisation) Allows(place string) bool { return o.Places[place] }

// Calls reports whether an application of the organisation uses the service.
func (o *Organisation) UsesService(service string) bool {
	for _, a := range o.Applications {
		if a.Service == service {
			return true
		}
	}
	return false
}

// PoolsOf returns the pools that hold at least one upstream of the service in a
// place the organisation allows, in ID order.
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
