//go:build review

package main

import (
	"fmt"
	"sync"
	"time"
)

// attempt is one requester attempt with its own request id, as requesters and servers see it.
type attempt struct {
	id       string
	router   *router
	route    string
	key      string
	kept     bool // the connection had carried a request before
	sent     time.Time
	arrivals []arrival
	runs     []string // servers that began to run it
	ended    time.Time
	status   int    // 0 without an answer
	end      string // how it ended without one
	whole    bool
}

// arrival is a request that has reached a server.
type arrival struct {
	server string
	at     time.Time
}

// ledger holds all attempts of a run. Its methods may be called by any goroutine.
type ledger struct {
	rec  *record
	mu   sync.Mutex
	next int
	all  map[string]*attempt
	list []*attempt
}

func newLedger(rec *record) *ledger { return &ledger{rec: rec, all: map[string]*attempt{}} }

// send registers an attempt that is about to be sent.
func (l *ledger) send(r *router, route, key string, kept bool) *attempt {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.next++
	a := &attempt{id: fmt.Sprintf("%016x", 0x9c41d07b00000000+uint64(l.next)), router: r, route: route, key: key, kept: kept, sent: time.Now()}
	l.all[a.id] = a
	l.list = append(l.list, a)
	l.rec.add("sent     %s to %s on %s with key %s, kept connection: %v", a.id, r.name, route, key, kept)
	return a
}

// end records how an attempt ended for its requester.
func (l *ledger) end(a *attempt, status int, whole bool, how string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a.status, a.whole, a.end, a.ended = status, whole, how, time.Now()
	l.rec.add("answered %s status %d whole %v %s", a.id, status, whole, how)
}

// arrived records that a request has reached a server.
func (l *ledger) arrived(id, server string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.rec.add("arrived  %s at %s", id, server)
	if a := l.all[id]; a != nil {
		a.arrivals = append(a.arrivals, arrival{server, time.Now()})
	}
}

// ran records that a server begins to run a request.
func (l *ledger) ran(id, server string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.rec.add("runs     %s at %s", id, server)
	if a := l.all[id]; a != nil {
		a.runs = append(a.runs, server)
	}
}

// attempts returns all attempts. It is called when nothing runs any more.
func (l *ledger) attempts() []*attempt {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]*attempt(nil), l.list...)
}
