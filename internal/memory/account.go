// Package memory keeps the account of the memory that requests hold, by organisation and, within
// it, by service.
package memory

import (
	"sync"
	"time"
)

const (
	// freeMultiple bounds what one organisation may hold, as a multiple of what is still free
	// (dynamic thresholds, Choudhury and Hahn, 1998): one alone gets four fifths of the limit, and a
	// fifth is free when another comes.
	freeMultiple = 4
	// serviceMultiple bounds what one service may hold, as a multiple of what its organisation may
	// hold beyond what it holds: one service alone gets some 73% of the limit, and 7% is free
	// for the organisation's other services.
	serviceMultiple = 2
	// minRetryDelay and maxRetryDelay bound the estimate of RetryDelay.
	minRetryDelay = 100 * time.Millisecond
	maxRetryDelay = 5 * time.Second
	// initialHoldTime is the mean time for which memory is held, before any is released.
	initialHoldTime = time.Second
	// holdTimeWeight is the weight of the latest release in the mean hold time.
	holdTimeWeight = 0.1
	// shortRatio is the fraction of the limit from which memory is short.
	shortRatio = 0.25
)

// Account bounds the sum of the memory that requests hold. An organisation is refused once it
// holds freeMultiple times what is free, so the one that fills the memory is the one that is
// refused. The same holds for a service within its organisation, whose answers may fill the memory
// as well as the requests for it. It is safe for concurrent use.
type Account struct {
	now func() time.Time

	mu       sync.Mutex
	limit    int64
	used     int64
	base     int64
	refused  int64
	orgs     map[string]*holder // that hold memory
	holdTime time.Duration      // mean time from reserving to releasing
	idle     idleBlocks         // that were released and are not used again yet
}

// holder is what an organisation holds.
type holder struct {
	used     int64
	services map[string]int64 // what is held for each service
	promised time.Time        // until then, what is released is promised to requests that were refused
}

// add adds n bytes, which may be negative, for a service.
func (o *holder) add(service string, n int64) {
	o.used += n
	if service == "" {
		return
	}
	if o.services[service] += n; o.services[service] == 0 {
		delete(o.services, service)
	}
}

// NewAccount returns an account with a limit in bytes.
func NewAccount(limit int64) *Account {
	return &Account{now: time.Now, limit: limit, orgs: map[string]*holder{}, holdTime: initialHoldTime}
}

// Usage is the state of an account. All sizes are in bytes.
type Usage struct {
	Limit         int64            `json:"limit"`
	Used          int64            `json:"used"`
	Idle          int64            `json:"idle"`          // kept to be used again
	Base          int64            `json:"base"`          // held by the process for anything but requests
	Refused       int64            `json:"refused"`       // reservations refused so far
	Organisations map[string]int64 `json:"organisations"` // that hold memory
}

// Usage returns the present state.
func (a *Account) Usage() Usage {
	a.mu.Lock()
	defer a.mu.Unlock()
	u := Usage{Limit: a.limit, Used: a.used, Idle: a.idle.bytes(), Base: a.base, Refused: a.refused, Organisations: make(map[string]int64, len(a.orgs))}
	for name, h := range a.orgs {
		u.Organisations[name] = h.used
	}
	return u
}

// Used returns the bytes held.
func (a *Account) Used() int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.used
}

// Short reports whether memory is short, so that it is worth CPU time to release some sooner.
func (a *Account) Short() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return float64(a.used) >= shortRatio*float64(a.limit)
}

// collected updates the account after a collection that left live bytes in the process: the
// limit follows what is held for anything but requests, and half of the idle blocks are left to
// the next collection.
func (a *Account) collected(live int64, limitFor func(base int64) int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.base = max(0, live-a.used-a.idle.bytes())
	a.limit = limitFor(a.base)
	a.idle.halve()
}

// Hold is memory that a request holds. Its methods are safe for concurrent use.
type Hold struct {
	account *Account
	org     string
	service string // "" while it is not known
	bytes   int64
	since   time.Time
}

// Hold returns an empty hold of an organisation.
func (a *Account) Hold(org string) Hold { return a.HoldFor(org, "") }

// HoldFor returns an empty hold of an organisation for one of its services.
func (a *Account) HoldFor(org, service string) Hold {
	return Hold{account: a, org: org, service: service, since: a.now()}
}

// Assign states the service that a hold of an unknown one is for.
func (h *Hold) Assign(service string) {
	a := h.account
	a.mu.Lock()
	defer a.mu.Unlock()
	if o := a.orgs[h.org]; o != nil && h.bytes > 0 {
		o.add(h.service, -h.bytes)
		o.add(service, h.bytes)
	}
	h.service = service
}

// Reserve adds n bytes to the hold. It returns false, and adds nothing, if the organisation has
// used up what it may hold, or the service its part of that.
func (h *Hold) Reserve(n int64) bool {
	a := h.account
	a.mu.Lock()
	defer a.mu.Unlock()
	o := a.orgs[h.org]
	held, heldForService := int64(0), int64(0)
	if o != nil {
		held, heldForService = o.used, o.services[h.service]
	}
	free := a.limit - a.used - n
	left := freeMultiple*free - held - n // for the organisation
	if free < 0 || left < 0 || h.service != "" && heldForService+n > serviceMultiple*left {
		a.refused++
		return false
	}
	if n == 0 {
		return true
	}
	if o == nil {
		o = &holder{services: map[string]int64{}}
		a.orgs[h.org] = o
	}
	o.add(h.service, n)
	a.used += n
	h.bytes += n
	a.idle.trim(free)
	return true
}

// Split moves n bytes of the hold to a new one.
func (h *Hold) Split(n int64) Hold {
	a := h.account
	a.mu.Lock()
	defer a.mu.Unlock()
	n = min(n, h.bytes)
	h.bytes -= n
	return Hold{account: a, org: h.org, service: h.service, bytes: n, since: h.since}
}

// Release releases the whole hold.
func (h *Hold) Release() {
	a := h.account
	a.mu.Lock()
	defer a.mu.Unlock()
	if h.bytes == 0 {
		return
	}
	a.holdTime += time.Duration(holdTimeWeight * float64(a.now().Sub(h.since)-a.holdTime))
	h.giveBack(h.bytes)
}

// Return releases n bytes of the hold.
func (h *Hold) Return(n int64) {
	h.account.mu.Lock()
	defer h.account.mu.Unlock()
	h.giveBack(min(n, h.bytes))
}

// giveBack releases n bytes of the hold, whose account must be locked.
func (h *Hold) giveBack(n int64) {
	if n == 0 {
		return
	}
	a := h.account
	a.used -= n
	h.bytes -= n
	o := a.orgs[h.org]
	if o.add(h.service, -n); o.used == 0 {
		delete(a.orgs, h.org)
	}
}

// RetryDelay estimates when an organisation whose reservation of n bytes was refused may reserve
// them: when as much is released beyond what others that were refused are told to come back for. The
// rate of release is what is held over the mean time that it is held (Little's law). Where the
// organisation holds little itself, the memory is filled by others, and what they release counts.
func (a *Account) RetryDelay(org string, n int64) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.used == 0 {
		return minRetryDelay
	}
	o := a.orgs[org]
	if o == nil || 2*o.used < a.used {
		return bounded(a.releaseTime(n, a.used))
	}
	now := a.now()
	if o.promised.Before(now) {
		o.promised = now
	}
	o.promised = o.promised.Add(a.releaseTime(n, o.used))
	if latest := now.Add(maxRetryDelay); o.promised.After(latest) {
		o.promised = latest
	}
	return bounded(o.promised.Sub(now))
}

// releaseTime returns the time in which n of held bytes are released.
func (a *Account) releaseTime(n, held int64) time.Duration {
	return time.Duration(float64(a.holdTime) * float64(n) / float64(held))
}

func bounded(d time.Duration) time.Duration { return min(max(d, minRetryDelay), maxRetryDelay) }
