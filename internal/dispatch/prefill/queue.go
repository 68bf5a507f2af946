package prefill

import (
	"slices"
	"time"
)

// Queue models the prompts that one engine has to read, in order of arrival, and when each
// will have been read. It is corrected by each first event.
//
// Counting tokens without a first event is not enough: an engine that needs 50 ms beyond
// reading would seem to have a backlog though it has nothing to read.
type Queue struct {
	entries        []*Entry
	headStart      time.Time // earliest time from which the head can have been read
	lastFirstEvent time.Time // latest first event
	sample         Sample    // what was read since the engine last had nothing to read
	slow           slowness
	takenOverAt    time.Time // see MarkTakenOver, zero unless marked

	// The following values are computed from the entries for one model.
	model    Model
	stale    bool
	headDone time.Time // when the head will have been read
	allDone  time.Time // when the last entry will have been read
}

// Entry is one prompt in a queue.
type Entry struct {
	prompt  Prompt
	placed  time.Time
	suspect bool // its times say nothing about the engine
}

// MarkSuspect marks the times of an entry as not caused by the engine, because the router
// that sends the request is overloaded.
func (e *Entry) MarkSuspect() { e.suspect = true }

// IsSuspect reports whether MarkSuspect was called.
func (e *Entry) IsSuspect() bool { return e.suspect }

// MarkTakenOver records that from now on this router places at the engine what another one
// placed until now. Prompts of the other router may be ahead in the engine, and their first
// events are not reported here. Times are used again after the first event of a prompt that was
// placed from now on: engines read prompts in order of arrival.
//
// Load pattern: a router becomes the scheduler while engines are half a second behind. All
// that it placed had waited for prompts unknown to it, and counted as found by an idle engine:
// the base time of the model rose from 25 ms to 475 and 668 ms, beyond the target latency.
func (q *Queue) MarkTakenOver(now time.Time) { q.takenOverAt = now }

// Slow returns the engine's times as a ratio of the service's; 1 is normal.
func (q *Queue) Slow(m Model, now time.Time) float64 { return q.slow.factor(m, now) }

// Model returns the model that was used last.
func (q *Queue) Model() Model { return q.model }

// Len returns the number of prompts without a first event.
func (q *Queue) Len() int { return len(q.entries) }

// Wait returns the time until the engine would begin to read a further prompt, in
// milliseconds. A head whose first event is overdue delays all prompts behind it, unless it
// is suspect.
func (q *Queue) Wait(m Model, now time.Time) float64 {
	if len(q.entries) == 0 {
		return max(0, millis(q.headStart.Sub(now)))
	}
	q.recompute(m, now)
	return max(0, millis(q.allDone.Sub(now))) + q.Overdue(m, now)
}

// Overdue returns for how long the head's first event has been overdue, in milliseconds.
func (q *Queue) Overdue(m Model, now time.Time) float64 {
	if len(q.entries) == 0 || q.entries[0].suspect {
		return 0
	}
	q.recompute(m, now)
	overdue := millis(now.Sub(q.headDone)) - overdueBaseFactor*m.Base - noiseMS
	return min(max(0, overdue), maxOverdueMS)
}

const (
	// overdueBaseFactor is the multiple of the base time after which a first event is
	// overdue.
	overdueBaseFactor = 1.5
	// maxOverdueMS limits the delay that one silent prompt adds to an engine, in
	// milliseconds; a longer silence ends the attempt.
	maxOverdueMS = 1000.0
)

// recompute computes when the prompts will have been read, by the model as it is now:
// prompts that were placed while the model was wrong are expected by the corrected one.
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

// FirstEvent removes a prompt whose first event came gotMS milliseconds after it was
// placed. It returns a sample for the learner when there is one.
func (q *Queue) FirstEvent(e *Entry, gotMS float64, m Model, now time.Time) (Sample, bool) {
	i := slices.Index(q.entries, e)
	if i < 0 {
		return Sample{}, false
	}
	at := e.placed.Add(duration(min(max(gotMS, 0), maxSampleMS)))
	var out Sample
	ok := false
	if q.takenOverAt.IsZero() {
		out, ok = q.observe(e, at, gotMS, m, now)
	} else {
		q.skipTakenOver(e)
	}
	if i == 0 {
		q.headStart = at.Add(-duration(m.Base))
	}
	if at.After(q.lastFirstEvent) {
		q.lastFirstEvent = at
	}
	q.remove(i)
	return out, ok
}

// observe adds a first event to the time in which the engine has been reading. It returns
// that time as a sample when it is long enough, or when the engine had nothing to read in
// between.
//
// Prompts of one step of the batch are read together, so that their first events come at
// once, 20 ms after the previous ones. Taken individually, such times would make reading
// seem faster than it is, and the waits behind long prompts too short.
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

// skipTakenOver discards the time of a prompt that may have waited for prompts of another
// router, and ends this state if the prompt was placed after the takeover.
func (q *Queue) skipTakenOver(e *Entry) {
	q.sample = Sample{}
	if !e.placed.Before(q.takenOverAt) {
		q.takenOverAt = time.Time{}
	}
}

// takeSample returns what was read since the last sample and begins a new one.
func (q *Queue) takeSample() Sample {
	s := q.sample
	q.sample = Sample{}
	return s
}

// minSampleMS is the reading time that makes up one sample: several steps of a batch.
const minSampleMS = 100.0

// Drop removes a prompt that has ended without a first event. If it was being read, reading
// of the next one starts now.
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

// CompleteAsExpected removes a prompt about which nothing reliable is known except that it
// was placed: it is taken to have been read when expected.
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
