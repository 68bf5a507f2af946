// Package entry holds the requests that arrived at this router: where they wait, what they may
// run on, and what this router reports to the schedulers of its pools.
package entry

import (
	"maps"
	"slices"
	"sort"
	"time"

	"github.com/silverswitch/silverswitch/internal/core/ledger"
	"github.com/silverswitch/silverswitch/internal/core/wire"
	"github.com/silverswitch/silverswitch/internal/version"
)

// Request is what the core needs to know of a caller's request. It holds no content.
type Request struct {
	ID       uint64
	Org      version.ID
	App      string
	Urgent   bool
	Deadline time.Time
}

// Reason says why a request was refused. Reasons are part of the API for callers.
type Reason string

// The reasons for a refusal.
const (
	ReasonQueueFull    Reason = "queue-full"
	ReasonDeadline     Reason = "deadline"
	ReasonNoUpstream   Reason = "no-upstream-in-allowed-places"
	ReasonNoVersion    Reason = "no-configuration"
	ReasonWithdrawn    Reason = "withdrawn-by-configuration"
	ReasonNoWitnesses  Reason = "no-quorum-of-witnesses"
	ReasonKeyTaken     Reason = "key-in-use"
	ReasonKeyExpired   Reason = "key-outside-window"
	ReasonKeyForgotten Reason = "key-may-be-forgotten"
	ReasonCrashes      Reason = "crashes-upstreams"
	ReasonMemory       Reason = "memory-full"
)

// Start permits a request to run at an upstream.
type Start struct {
	ID       uint64
	Upstream version.ID
}

// Refusal is a request refused before anything of it was sent.
type Refusal struct {
	ID         uint64
	Reason     Reason
	RetryAfter time.Duration // when the caller should retry
}

// Timing of reports and of waiting requests.
const (
	progressInterval        = 2 * time.Second  // in a saturated pool; elsewhere service is reported with other changes
	keepAliveInterval       = 2 * time.Second  // while requests wait; well within a grant's lease
	creditKeepAliveInterval = 4 * time.Second  // while standing credits are in use
	creditIdleTimeout       = 10 * time.Second // after which unused credits are returned
	idleReportDelay         = 3 * time.Second  // of changes in a pool in which nothing waits
	fullReportInterval      = 45 * time.Second
	arrivalReportDelay      = 100 * time.Millisecond // of a request that arrives at a saturated pool
	ackReportDelay          = time.Second            // of a report that only acknowledges grants
	resendInterval          = 1300 * time.Millisecond
	idleResendInterval      = 7 * time.Second
	schedulerTimeout        = 2 * time.Second
	idleSchedulerTimeout    = 9 * time.Second
	minRetryAfter           = time.Second
	maxRetryAfter           = 2 * time.Minute
	paceHalfLife            = 30 * time.Second // of the samples behind the estimated pace
	minPaceStarts           = 3                // decayed number of starts below which there is no estimate
)

// trackedRequest is a request that waits or runs, from Arrive to its end.
type trackedRequest struct {
	Request
	queue    *queue
	arrived  time.Time
	running  bool
	upstream version.ID
	pool     version.ID
	served   uint64 // already counted in normService, in hundredths of a unit
}

// Entry holds this router's requests. The control goroutine owns it.
type Entry struct {
	ver          *version.Version
	place        string
	startedAt    time.Time // of the process; zero of the clock in reports
	requests     map[uint64]*trackedRequest
	queues       map[queueKey]*queue
	waitingByOrg map[version.ID]int // waiting requests of each organisation
	pools        map[version.ID]*poolState
	normService  map[version.ID]uint64
	announced    map[version.ID]uint64 // normService at the last call of Served
	draining     map[version.ID]bool
	started      []Start
	refused      []Refusal
	Counts       Counts

	nextDeadline time.Time // no waiting request has an earlier deadline
}

// Counts are this router's totals since its start.
type Counts struct {
	Arrived, Started, Finished, Refused, Canceled uint64
	GrantsUsed, GrantsReturned, GrantsLate        uint64
	CreditsUsed                                   uint64
}

// New returns an entry without requests, for a router in a place.
func New(place string, start time.Time) *Entry {
	return &Entry{
		place:        place,
		startedAt:    start,
		requests:     map[uint64]*trackedRequest{},
		queues:       map[queueKey]*queue{},
		waitingByOrg: map[version.ID]int{},
		pools:        map[version.ID]*poolState{},
		normService:  map[version.ID]uint64{},
		announced:    map[version.ID]uint64{},
		draining:     map[version.ID]bool{},
	}
}

// Take returns the starts and refusals decided since the last call.
func (e *Entry) Take() ([]Start, []Refusal) {
	s, r := e.started, e.refused
	e.started, e.refused = nil, nil
	return s, r
}

// SetVersion switches to a newer version. Waiting requests that it no longer allows are
// refused. Running ones continue, since their content is already at the upstream.
func (e *Entry) SetVersion(v *version.Version) {
	e.ver = v
	for _, q := range e.queues {
		q.pools = e.poolsFor(q.key)
	}
	for _, id := range slices.Sorted(maps.Keys(e.requests)) {
		f := e.requests[id]
		if f.running {
			continue
		}
		if reason, after := e.unstartable(f); reason != "" {
			e.refuse(f, reason, after)
		}
	}
	for _, p := range e.pools {
		p.requireFull()
	}
}

// unstartable returns why the version in force lets a tracked request start nowhere, "" if it does not,
// and when its caller should retry.
func (e *Entry) unstartable(f *trackedRequest) (Reason, time.Duration) {
	switch {
	case e.app(f.Request) == nil:
		return ReasonWithdrawn, 0
	case len(f.queue.pools) == 0:
		return ReasonNoUpstream, minRetryAfter
	}
	return "", 0
}

// app returns the application if the organisation may call it at this router now, or nil.
func (e *Entry) app(r Request) *version.Application {
	o := e.ver.Organisations[r.Org]
	if o == nil || !o.Allows(e.place) {
		return nil
	}
	return o.Applications[r.App]
}

func (e *Entry) poolsFor(k queueKey) []version.ID {
	o := e.ver.Organisations[k.org]
	if o == nil {
		return nil
	}
	return e.ver.PoolsOf(o, k.service)
}

// Arrive handles a new request. It is started, queued or refused; Take returns the outcome.
func (e *Entry) Arrive(r Request, now time.Time) {
	e.Counts.Arrived++
	f := &trackedRequest{Request: r, arrived: now}
	e.requests[r.ID] = f
	if e.ver == nil {
		e.refuse(f, ReasonNoVersion, minRetryAfter)
		return
	}
	app := e.app(r)
	if app == nil {
		e.refuse(f, ReasonWithdrawn, 0)
		return
	}
	if !now.Before(r.Deadline) {
		e.refuse(f, ReasonDeadline, minRetryAfter)
		return
	}
	q := e.queue(queueKey{r.Org, app.Service})
	if !e.reachable(r.Org, q) {
		e.refuse(f, ReasonNoUpstream, minRetryAfter)
		return
	}
	if e.startOnCredit(f, q, now) {
		return
	}
	e.enqueue(f, q, now)
}

// reachable reports whether any allowed upstream accepts new requests.
func (e *Entry) reachable(org version.ID, q *queue) bool {
	o := e.ver.Organisations[org]
	for _, id := range q.pools {
		for _, u := range e.ver.Pools[id].Upstreams {
			if o.Allows(u.Place) && !u.Closed() && !e.draining[u.ID] {
				return true
			}
		}
	}
	return false
}

func (e *Entry) refuse(f *trackedRequest, reason Reason, after time.Duration) {
	e.dequeue(f)
	delete(e.requests, f.ID)
	e.Counts.Refused++
	e.refused = append(e.refused, Refusal{ID: f.ID, Reason: reason, RetryAfter: after})
}

// Cancel ends a waiting request whose caller disconnected, and reports whether it did. A
// running request ends by Finish, once the upstream has confirmed the end.
func (e *Entry) Cancel(id uint64) bool {
	f := e.requests[id]
	if f == nil || f.running {
		return false
	}
	e.dequeue(f)
	delete(e.requests, id)
	e.Counts.Canceled++
	return true
}

// Refuse refuses a request that has not started.
func (e *Entry) Refuse(id uint64, reason Reason, after time.Duration) {
	if f := e.requests[id]; f != nil && !f.running {
		e.refuse(f, reason, after)
	}
}

// Return releases the slot of a request that did not run: no byte was sent, or the upstream
// proved that it did not run it. The request goes back to the head of its queue.
func (e *Entry) Return(id uint64, failed bool, now time.Time) {
	f := e.requests[id]
	if f == nil || !f.running {
		return
	}
	p := e.pool(f.pool)
	p.release(f.Org, f.upstream, now)
	if failed {
		p.addSample(wire.Sample{Upstream: f.upstream, Failed: 1})
	}
	f.running = false
	reason, after := e.unstartable(f) // the version may have changed while it ran
	if !now.Before(f.Deadline) {
		reason, after = ReasonDeadline, minRetryAfter
	}
	if reason != "" {
		f.queue = nil
		e.refuse(f, reason, after)
		return
	}
	e.updateNextDeadline(f)
	e.waitingByOrg[f.Org]++
	if f.Urgent {
		f.queue.urgent = append([]*trackedRequest{f}, f.queue.urgent...)
	} else {
		f.queue.normal = append([]*trackedRequest{f}, f.queue.normal...)
	}
	e.markChanged(f.queue)
}

// Progress sets the service that a running request has received so far, in units.
func (e *Entry) Progress(id uint64, units float64) {
	f := e.requests[id]
	if f == nil || !f.running {
		return
	}
	e.charge(f, units)
}

func (e *Entry) charge(f *trackedRequest, units float64) {
	total := uint64(units * ledger.Scale)
	if total <= f.served {
		return
	}
	share := 1.0
	if o := e.ver.Organisations[f.Org]; o != nil {
		share = o.Share
	}
	e.normService[f.Org] += uint64(float64(total-f.served) / share)
	f.served = total
	e.pool(f.pool).markProgress(f.Org)
}

// Finish ends a running request with the service it received and a sample of its upstream.
func (e *Entry) Finish(id uint64, units float64, s wire.Sample, now time.Time) {
	f := e.requests[id]
	if f == nil || !f.running {
		return
	}
	e.charge(f, units)
	p := e.pool(f.pool)
	p.release(f.Org, f.upstream, now)
	s.Upstream = f.upstream
	p.addSample(s)
	delete(e.requests, id)
	e.Counts.Finished++
}

// Drain marks an upstream as leaving or not. Nothing new is started at one that is leaving.
func (e *Entry) Drain(id version.ID, drain bool) {
	e.draining[id] = drain
	if drain {
		for _, p := range e.pools {
			p.dropCredits(id)
		}
	}
}

// Waiting returns the number of requests without a slot.
func (e *Entry) Waiting() int { return len(e.requests) - e.Running() }

// Running returns the number of requests that hold a slot.
func (e *Entry) Running() int {
	n := 0
	for _, f := range e.requests {
		if f.running {
			n++
		}
	}
	return n
}

// Served returns this router's service cells that grew since the last call, sorted by
// organisation.
func (e *Entry) Served() []wire.LedgerRow {
	var out []wire.LedgerRow
	for org, n := range e.normService {
		if n > e.announced[org] {
			e.announced[org] = n
			out = append(out, wire.LedgerRow{Org: org, NormService: n})
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Org < out[j].Org })
	return out
}

// SaturatedPools returns the pools that their schedulers reported as saturated, in ID order.
func (e *Entry) SaturatedPools() []version.ID {
	var out []version.ID
	for _, id := range e.poolIDs() {
		if e.pools[id].saturated && e.ver.Pools[id] != nil {
			out = append(out, id)
		}
	}
	return out
}
