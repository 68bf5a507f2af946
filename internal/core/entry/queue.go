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
	urgent    []*trackedRequest
	normal    []*trackedRequest
	starts    float64 // starts while requests waited, decayed; see pace
	busy      float64 // seconds in which requests waited, decayed in the same way
	accruedAt time.Time
}

func (q *queue) len() int { return len(q.urgent) + len(q.normal) }

func (q *queue) head() *trackedRequest {
	if len(q.urgent) > 0 {
		return q.urgent[0]
	}
	if len(q.normal) > 0 {
		return q.normal[0]
	}
	return nil
}

func (e *Entry) enqueue(f *trackedRequest, q *queue, now time.Time) {
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
	e.updateNextDeadline(f)
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

// scheduleReports schedules the reports on a new request: at once when there may be a slot for
// it, slightly later when the pool is saturated and the queue was empty, and with the next
// report when other requests of the queue wait before it.
func (e *Entry) scheduleReports(q *queue, f *trackedRequest, now time.Time) {
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

// position is the number of requests that would start before a new one.
func (q *queue) position(urgent bool) int {
	if urgent {
		return len(q.urgent)
	}
	return q.len()
}

// retryAfter is the expected time until half of the queue has started.
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

// markChanged marks the row of the queue's organisation as changed in every pool that the queue
// waits for.
func (e *Entry) markChanged(q *queue) {
	for _, id := range q.pools {
		e.pool(id).markRow(q.key.org)
	}
}

// dequeue removes a request from its queue, if it waits in one.
func (e *Entry) dequeue(f *trackedRequest) {
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

func remove(list []*trackedRequest, f *trackedRequest) []*trackedRequest {
	for i, x := range list {
		if x == f {
			return append(list[:i:i], list[i+1:]...)
		}
	}
	return list
}

// accrue adds the time since the last call to the time in which requests waited, if they did.
// It must be called before the queue changes.
func (q *queue) accrue(now time.Time) {
	if q.len() > 0 {
		dt := now.Sub(q.accruedAt).Seconds()
		decay := math.Exp2(-dt / paceHalfLife.Seconds())
		q.starts *= decay
		q.busy = q.busy*decay + dt
	}
	q.accruedAt = now
}

// pace is the expected time between two starts while requests wait, or 0 when too few starts
// were observed.
func (q *queue) pace() time.Duration {
	if q.starts < minPaceStarts {
		return 0
	}
	return time.Duration(q.busy / q.starts * float64(time.Second))
}

// expire refuses waiting requests whose deadline has passed, and records the next deadline.
func (e *Entry) expire(now time.Time) {
	next := now.Add(maxRetryAfter)
	for _, id := range slices.Sorted(maps.Keys(e.requests)) {
		f := e.requests[id]
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

// updateNextDeadline keeps nextDeadline at or before the deadline of every waiting request.
func (e *Entry) updateNextDeadline(f *trackedRequest) {
	if f.Deadline.Before(e.nextDeadline) {
		e.nextDeadline = f.Deadline
	}
}

func (e *Entry) expiredRetryAfter(f *trackedRequest) time.Duration {
	if f.queue == nil {
		return minRetryAfter
	}
	return e.retryAfter(f.queue)
}

// dequeueStarted removes a request that starts from its queue, and keeps the reference to the
// queue in case the request is returned.
func (e *Entry) dequeueStarted(f *trackedRequest) {
	q := f.queue
	e.dequeue(f)
	f.queue = q
}
