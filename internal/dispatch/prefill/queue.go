package prefill

import (
	"slices"
	"time"
)

// Queue follows the prompts that one engine has to read, in order of arrival: when
// each will have been read, corrected by each first event.
//
// Counting tokens that have no first event is not enough: an engine that needs 50 ms
// beyond reading seems to have a backlog though it reads nothing.
type Queue struct {
	entries []*Entry
	begin   time.Time // the head has been read from then on at the earliest
	last    time.Time // of the latest first event
	busy    Sample    // what was read since the engine last had nothing to read
	slow    slowness

	// What follows from the entries, for a model.
	model Model
	stale bool
	head  time.Time // when the head will have been read
	free  time.Time // when the last one will have been read
}

// Entry is one prompt in a queue.
type Entry struct {
	prompt  Prompt
	placed  time.Time
	doubted bool // what is heard of it tells nothing of the engine
}

// Doubt says that an entry's times are not the engine's: whoever sends it is late.
func (e *Entry) Doubt() { e.doubted = true }

// Doubted reports whether Doubt was called.
func (e *Entry) Doubted() bool { return e.doubted }

// Slow returns the engine's own times against the service's: 1 is normal.
func (q *Queue) Slow(m Model, now time.Time) float64 { return q.slow.factor(m, now) }

// Model returns the model by which the queue was last reckoned.
func (q *Queue) Model() Model { return q.model }

// Len returns how many prompts have no first event.
func (q *Queue) Len() int { return len(q.entries) }

// Wait returns the milliseconds until the engine would begin to read a further prompt.
// A head whose first event is overdue holds up all behind it, unless it is in doubt.
func (q *Queue) Wait(m Model, now time.Time) float64 {
	if len(q.entries) == 0 {
		return max(0, millis(q.begin.Sub(now)))
	}
	q.reckon(m, now)
	return max(0, millis(q.free.Sub(now))) + q.Overdue(m, now)
}

// Overdue returns for how many milliseconds the head's first event has been missing.
func (q *Queue) Overdue(m Model, now time.Time) float64 {
	if len(q.entries) == 0 || q.entries[0].doubted {
		return 0
	}
	q.reckon(m, now)
	overdue := millis(now.Sub(q.head)) - overdueBase*m.Base - noiseMS
	return min(max(0, overdue), mostOverdue)
}

const (
	// overdueBase is how many times the base may pass before a first event is overdue.
	overdueBase = 1.5
	// mostOverdue bounds what one silent prompt says of an engine, in milliseconds; a
	// longer silence ends the attempt.
	mostOverdue = 1000.0
)

// reckon works out when prompts will have been read, by the model as it is now: what was
// placed while the model was wrong is expected by the right one.
func (q *Queue) reckon(m Model, now time.Time) {
	if !q.stale && m == q.model {
		return
	}
	slow := q.Slow(m, now)
	at := q.begin
	for i, e := range q.entries {
		if e.placed.After(at) {
			at = e.placed
		}
		at = at.Add(duration(slow * m.Read(e.prompt)))
		if i == 0 {
			q.head = at
		}
	}
	q.free, q.model, q.stale = at, m, false
}

// Add appends a prompt.
func (q *Queue) Add(p Prompt, now time.Time) *Entry {
	e := &Entry{prompt: p, placed: now}
	q.entries = append(q.entries, e)
	q.stale = true
	return e
}

// First takes a prompt out: its first event came so many milliseconds after it was
// placed. It returns a sample for the learner when there is one.
func (q *Queue) First(e *Entry, gotMS float64, m Model, now time.Time) (Sample, bool) {
	i := slices.Index(q.entries, e)
	if i < 0 {
		return Sample{}, false
	}
	at := e.placed.Add(duration(min(max(gotMS, 0), maxSample)))
	out, ok := q.observe(e, at, gotMS, m, now)
	if i == 0 {
		q.begin = at.Add(-duration(m.Base))
	}
	if at.After(q.last) {
		q.last = at
	}
	q.remove(i)
	return out, ok
}

// observe adds a first event to the time in which the engine has been reading. It
// returns that time as a sample when it is long enough, or when the engine had nothing
// to read in between.
//
// Prompts of one step of the batch are read together, so that their first events come
// at once, 20 ms after those before. Taken one by one such times would make reading seem
// faster than it is, and waits behind long prompts too short.
func (q *Queue) observe(e *Entry, at time.Time, gotMS float64, m Model, now time.Time) (Sample, bool) {
	idle := !q.last.After(e.placed.Add(duration(m.Base)))
	var out Sample
	if idle {
		out = q.takeBusy()
		q.busy.Whole, q.busy.MS = 1, max(0, gotMS)
	} else {
		q.busy.MS += max(0, millis(at.Sub(q.last)))
	}
	q.busy.Prompt.add(e.prompt)
	if out.MS == 0 && q.busy.MS >= enoughMS {
		out = q.takeBusy()
	}
	if out.MS == 0 {
		return Sample{}, false
	}
	q.slow.add(out, m, now)
	return out, true
}

// takeBusy returns what was read since the last sample and begins a new one.
func (q *Queue) takeBusy() Sample {
	s := q.busy
	q.busy = Sample{}
	return s
}

// enoughMS is the time in which an engine read that makes one sample: several steps of a
// batch.
const enoughMS = 100.0

// Drop takes a prompt out that has ended without a first event; if it was being read,
// the next one is from now on.
func (q *Queue) Drop(e *Entry, now time.Time) {
	i := slices.Index(q.entries, e)
	if i < 0 {
		return
	}
	if i == 0 && now.After(q.begin) {
		q.begin = now
	}
	q.remove(i)
}

// Settle takes a prompt out of which nothing can be believed but that it was placed: it
// has been read when it was expected to be.
func (q *Queue) Settle(e *Entry, m Model, now time.Time) {
	i := slices.Index(q.entries, e)
	if i < 0 {
		return
	}
	q.reckon(m, now)
	if i == 0 && now.After(q.begin) {
		q.begin = now
		if q.head.Before(now) {
			q.begin = q.head
		}
	}
	q.remove(i)
}

func (q *Queue) remove(i int) {
	q.entries = slices.Delete(q.entries, i, i+1)
	q.stale = true
}

func millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func duration(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
