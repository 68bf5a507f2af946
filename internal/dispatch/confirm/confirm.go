// Package confirm decides when a router's knowledge is current enough to conclude something from
// absence: that a service has no other software version, that nobody has recorded a stream, or that
// no stream has begun elsewhere than at its home.
//
// Knowledge does not tell its own age: a router that was suspended or cut off finds in its tables, and
// in the messages that waited for it, what was true before. So a conclusion rests on a question that
// was asked after the conclusion was needed, and on the answers to that very question. An answer is
// matched by the number of its question; whatever came unasked confirms nothing.
package confirm

import (
	"slices"
	"time"
)

const (
	// maxKept bounds the questions whose answers still count; the oldest is given up.
	maxKept = 16
	// answerTTL is how long answers to a question count.
	answerTTL = 2 * time.Second
)

// Questions is a series of questions of one kind, of which any later one serves as well as an earlier
// one. P identifies those who answer. The zero value has asked nothing.
type Questions[P comparable] struct {
	First   uint64 // number of the first question; it tells this process's questions from those of a former one
	last    uint64
	newest  uint64 // number of the latest question that has enough answers
	lastAt  time.Time
	kept    []*question[P]
	current time.Time
}

type question[P comparable] struct {
	no       uint64
	askedAt  time.Time
	needed   int
	answered map[P]bool
}

// CurrentAt returns as of when knowledge is confirmed: when the latest question was asked that has
// enough answers. It is zero if none has.
func (q *Questions[P]) CurrentAt() time.Time { return q.current }

// Confirms reports whether knowledge is confirmed as of a time or later.
func (q *Questions[P]) Confirms(at time.Time) bool {
	return !q.current.IsZero() && !q.current.Before(at)
}

// Pace is how often questions are asked while knowledge is needed.
type Pace struct {
	Next  time.Duration // after a question that has enough answers
	Again time.Duration // after one that has not: answers may be late, or lost
}

// IsDue reports whether to ask now, for knowledge as of a time.
func (q *Questions[P]) IsDue(at time.Time, pace Pace, now time.Time) bool {
	wait := pace.Again
	if !q.lastAt.After(q.current) {
		wait = pace.Next
	}
	return !q.Confirms(at) && (q.last == 0 || now.Sub(q.lastAt) >= wait)
}

// WaitsFor returns for how long the oldest question whose answer would be news has been waiting, 0 if
// there is none.
func (q *Questions[P]) WaitsFor(now time.Time) time.Duration {
	for _, o := range q.kept {
		if o.askedAt.After(q.current) {
			return now.Sub(o.askedAt)
		}
	}
	return 0
}

// Ask begins a question that needs a number of answers, and returns its number. A question that needs
// none confirms at once.
func (q *Questions[P]) Ask(needed int, now time.Time) uint64 {
	q.expire(now)
	q.last = max(q.last+1, q.First, 1)
	q.lastAt = now
	q.kept = append(q.kept, &question[P]{no: q.last, askedAt: now, needed: needed, answered: map[P]bool{}})
	if needed <= 0 {
		q.confirm(q.last, now)
	}
	return q.last
}

// Answer counts an answer to a question. It returns when the question was asked, and reports whether
// the question has enough answers. An answer to a question that is not known any more counts for
// nothing.
func (q *Questions[P]) Answer(no uint64, from P, now time.Time) (askedAt time.Time, enough bool) {
	q.expire(now)
	for _, o := range q.kept {
		if o.no != no {
			continue
		}
		o.answered[from] = true
		if len(o.answered) >= o.needed {
			q.confirm(no, o.askedAt)
			return o.askedAt, true
		}
		return o.askedAt, false
	}
	return time.Time{}, false
}

// AskedAt returns when a question was asked, zero if it is not known any more.
func (q *Questions[P]) AskedAt(no uint64) time.Time {
	for _, o := range q.kept {
		if o.no == no {
			return o.askedAt
		}
	}
	return time.Time{}
}

// Answered reports whether a question, or a later one, has enough answers.
func (q *Questions[P]) Answered(no uint64) bool { return no != 0 && no <= q.newest }

func (q *Questions[P]) confirm(no uint64, askedAt time.Time) {
	q.newest = max(q.newest, no)
	q.Raise(askedAt)
}

// Raise makes knowledge confirmed as of a time by other means.
func (q *Questions[P]) Raise(to time.Time) {
	if to.After(q.current) {
		q.current = to
	}
}

// Progress returns how many answers the latest question has, and needs.
func (q *Questions[P]) Progress() (have, needed int) {
	if len(q.kept) == 0 {
		return 0, 0
	}
	o := q.kept[len(q.kept)-1]
	return len(o.answered), o.needed
}

// expire gives up questions that are old, and the oldest beyond maxKept.
func (q *Questions[P]) expire(now time.Time) {
	old := 0
	for old < len(q.kept) && (len(q.kept)-old >= maxKept || now.Sub(q.kept[old].askedAt) >= answerTTL) {
		old++
	}
	q.kept = slices.Delete(q.kept, 0, old)
}
