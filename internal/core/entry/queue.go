package entry

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/silverswitch/silverswitch/internal/version"
)

type queueKey struct {
	org     version.ID
	service string
}

// queue is one organisation's waiting requests for one service.
type queue struct {
	key       queueKey
	pools     []version.ID
	urgent    []*flight
	normal    []*flight
	starts    float64 // while others waited, decayed; see pace
	busy      float64 // seconds in which requests waited, decayed alike
	accruedAt time.Time
}

func (q *queue) len() int { return len(q.urgent) + len(q.normal) }

func (q *queue) head() *flight {
	if len(q.urgent) > 0 {
		return q.urgent[0]
	}
	if len(q.normal) > 0 {
		return q.normal[0]
	}
	return nil
}

func (e *Entry) enqueue(f *flight, q *queue, now time.Time) {
	limit := e.ver.Organisations[f.Org].QueueLimit
	if e.waitingByOrg[f.Org] >= limit {
		e.refuse(f, ReasonQueueFull, e.retryAfter(q))
		return
	}
	if wait := q.pace() * time.Duration(q.position(f.Urgent)); now.Add(wait).After(f.Deadline) {
		e.refuse(f, ReasonDeadline, clampRetryAfter(now.Add(wait).Sub(f.Deadline)))
		return
	}
	f.queue = q
	e.noteDeadline(f)
	e.waitingByOrg[f.Org]++
	q.accrue(now)
	if f.Urgent {
		q.urgent = append(q.urgent, f)
	} else {
		q.normal = append(q.normal, f)
	}
	e.markChanged(q)
	e.scheduleReports(q, f, now)
}

// hurry tells the schedulers of a request at once when there may be a slot for
// it, a little later when the pool is full and the queue was empty, and with the
// next report when others of the queue wait before it.
func (e *Entry) scheduleReports(q *queue, f *flight, now time.Time) {
	for _, id := range q.pools {
		p := e.pool(id)
		switch {
		case !p.saturated || f.Urgent:
			p.scheduleReport(now)
		case q.len() == 1:
			p.scheduleReport(now.Add(arrivalReportDelay))
		}
	}
}

// position is how many requests would start before a new one.
func (q *queue) position(urgent bool) int {
	if urgent {
		return len(q.urgent)
	}
	return q.len()
}

// retryAfter is the time in which the queue works off half of what waits.
func (e *Entry) retryAfter(q *queue) time.Duration {
	return clampRetryAfter(q.pace() * time.Duration(q.len()) / 2)
}

func clampRetryAfter(d time.Duration) time.Duration {
	return min(max(d, minRetryAfter), maxRetryAfter)
}

func (e *Entry) queue(k queueKey) *queue {
	q := e.queues[k]
	if q == nil {
		q = &queue{key: k, pools: e.poolsFor(k)}
		e.queues[k] = q
	}
	return q
}

// touch marks a queue's organisation changed in every pool it waits for.
func (e *Entry) markChanged(q *queue) {
	for _, id := range q.pools {
		e.pool(id).markRow(q.key.org)
	}
}

// dequeue takes a flight out of its queue, if it waits in one.
func (e *Entry) dequeue(f *flight) {
	q := f.queue
	if q == nil || f.running {
		return
	}
	q.urgent = remove(q.urgent, f)
	q.normal = remove(q.normal, f)
	e.waitingByOrg[f.Org]--
	f.queue = nil
	e.markChanged(q)
}

func remove(list []*flight, f *flight) []*flight {
	for i, x := range list {
		if x == f {
			return append(list[:i:i], list[i+1:]...)
		}
	}
	return list
}

// mark books the time since the last mark as one in which requests waited, if
// they did. It is called before the queue changes.
func (q *queue) accrue(now time.Time) {
	if q.len() > 0 {
		dt := now.Sub(q.accruedAt).Seconds()
		decay := math.Exp2(-dt / paceHalfLife.Seconds())
		q.starts *= decay
		q.busy = q.busy*decay + dt
	}
	q.accruedAt = now
}

// pace is the expected time between two starts while requests wait, or 0 when
// too few were seen.
func (q *queue) pace() time.Duration {
	if q.starts < minPaceStarts {
		return 0
	}
	return time.Duration(q.busy / q.starts * float64(time.Second))
}

// expire refuses the late, and notes the next deadline of those that wait.
func (e *Entry) expire(now time.Time) {
	next := now.Add(maxRetryAfter)
	for _, id := range slices.Sorted(maps.Keys(e.flights)) {
		f := e.flights[id]
		if f.running {
			continue
		}
		if !now.Before(f.Deadline) {
			e.refuse(f, ReasonDeadline, e.expiredRetryAfter(f))
		} else if f.Deadline.Before(next) {
			next = f.Deadline
		}
	}
	e.nextDeadline = next
}

// awaits keeps nextDeadline at or before that of every waiting flight.
func (e *Entry) noteDeadline(f *flight) {
	if f.Deadline.Before(e.nextDeadline) {
		e.nextDeadline = f.Deadline
	}
}

func (e *Entry) expiredRetryAfter(f *flight) time.Duration {
	if f.queue == nil {
		return minRetryAfter
	}
	return e.retryAfter(f.queue)
}

// unqueue takes a flight that starts out of its queue but keeps the queue known.
func (e *Entry) dequeueStarted(f *flight) {
	q := f.queue
	e.dequeue(f)
	f.queue = q
}
