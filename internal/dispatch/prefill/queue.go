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
	entries        []*Entry
	headStart      time.Time // the head has been read from then on at the earliest
	lastFirstEvent time.Time // of the latest first event
	sample         Sample    // what was read since the engine last had nothing to read
	slow           slowness

	// What follows from the entries, for a model.
	model    Model
	stale    bool
	headDone time.Time // when the head will have been read
	allDone  time.Time // when the last one will have been read
}

// Entry is one prompt in a queue.
type Entry struct {
	prompt  Prompt
	placed  time.Time
	suspect bool // what is heard of it tells nothing of the engine
}

// Doubt says that an entry's times are not the engine's: whoever sends it is late.
func (e *Entry) MarkSuspect() { e.suspect = true }

// Doubted reports whether Doubt was called.
func (e *Entry) IsSuspect() bool { return e.suspect }

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
		return max(0, millis(q.headStart.Sub(now)))
	}
	q.recompute(m, now)
	return max(0, millis(q.allDone.Sub(now))) + q.Overdue(m, now)
}

// Overdue returns for how many milliseconds the head's first event has been missing.
func (q *Queue) Overdue(m Model, now time.Time) float64 {
	if len(q.entries) == 0 || q.entries[0].suspect {
		return 0
	}
	q.recompute(m, now)
	overdue := millis(now.Sub(q.headDone)) - overdueBaseFactor*m.Base - noiseMS
	return min(max(0, overdue), maxOverdueMS)
}

const (
	// overdueBaseFactor is how many times the base may pass before a first event is overdue.
	overdueBaseFactor = 1.5
	// maxOverdueMS bounds what one silent prompt says of an engine, in milliseconds; a
	// longer silence ends the attempt.
	maxOverdueMS = 1000.0
)

// reckon works out when prompts will have been read, by the model as it is now: what was
// placed while the model was wrong is expected by the right one.
func (q *Queue) recompute(m Model, now time.Time) {
	if !q.stale && m == q.model {
		return
	}
	slow := q.Slow(m, now)
	at := q.headStart
	for i, e := range q.entries {
		if e.placed.After(at) {
			at = e.placed
		}
		at = at.Add(duration(slow * m.Read(e.prompt)))
		if i == 0 {
			q.headDone = at
		}
	}
	q.allDone, q.model, q.stale = at, m, false
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
func (q *Queue) FirstEvent(e *Entry, gotMS float64, m Model, now time.Time) (Sample, bool) {
	i := slices.Index(q.entries, e)
	if i < 0 {
		return Sample{}, false
	}
	at := e.placed.Add(duration(min(max(gotMS, 0), maxSampleMS)))
	out, ok := q.observe(e, at, gotMS, m, now)
	if i == 0 {
		q.headStart = at.Add(-duration(m.Base))
	}
	if at.After(q.lastFirstEvent) {
		q.lastFirstEvent = at
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
	idle := !q.lastFirstEvent.After(e.placed.Add(duration(m.Base)))
	var out Sample
	if idle {
		out = q.takeSample()
		q.sample.IdleStarts, q.sample.MS = 1, max(0, gotMS)
	} else {
		q.sample.MS += max(0, millis(at.Sub(q.lastFirstEvent)))
	}
	q.sample.Prompt.add(e.prompt)
	if out.MS == 0 && q.sample.MS >= minSampleMS {
		out = q.takeSample()
	}
	if out.MS == 0 {
		return Sample{}, false
	}
	q.slow.add(out, m, now)
	return out, true
}

// takeSample returns what was read since the last sample and begins a new one.
func (q *Queue) takeSample() Sample {
	s := q.sample
	q.sample = Sample{}
	return s
}

// minSampleMS is the time in which an engine read that makes one sample: several steps of a
// batch.
const minSampleMS = 100.0

// Drop takes a prompt out that has ended without a first event; if it was being read,
// the next one is from now on.
func (q *Queue) Drop(e *Entry, now time.Time) {
	i := slices.Index(q.entries, e)
	if i < 0 {
		return
	}
	if i == 0 && now.After(q.headStart) {
		q.headStart = now
	}
	q.remove(i)
}

// Settle takes a prompt out of which nothing can be believed but that it was placed: it
// has been read when it was expected to be.
func (q *Queue) CompleteAsExpected(e *Entry, m Model, now time.Time) {
	i := slices.Index(q.entries, e)
	if i < 0 {
		return
	}
	q.recompute(m, now)
	if i == 0 && now.After(q.headStart) {
		q.headStart = now
		if q.headDone.Before(now) {
			q.headStart = q.headDone
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
