package forward

import (
	"io"
	"slices"
	"sync/atomic"
)

// Bounds are what a router takes on at once.
type Bounds struct {
	Requests int   // more are refused at once
	Answers  int64 // bytes of answers held until they are whole; others are passed on as they come
}

// heldBytes counts the bytes of answers that are held until they are whole. An answer is
// held so that a broken one can be tried elsewhere; without a bound on their sum an
// upstream's large answers end a router's process, and the callers' next tries the next
// one's. It may be used by any goroutine.
type heldBytes struct {
	most int64
	used atomic.Int64
}

// take reserves bytes, or returns false.
func (h *heldBytes) take(n int) bool {
	if h.used.Add(int64(n)) > h.most {
		h.used.Add(int64(-n))
		return false
	}
	return true
}

func (h *heldBytes) give(n int) { h.used.Add(int64(-n)) }

// holdStep is in how large pieces the bytes of an answer are reserved.
const holdStep = 4 << 10

// held is the beginning of an answer, or all of it.
type held struct {
	raw   []byte
	taken int // bytes reserved
	whole bool
}

// hold reads an answer until its end, or until no more may be held.
func (h *heldBytes) hold(body io.Reader) (a held, err error) {
	for {
		if len(a.raw) == a.taken {
			if !h.take(holdStep) {
				return a, nil
			}
			a.taken += holdStep
			a.raw = slices.Grow(a.raw, holdStep)
		}
		n, err := body.Read(a.raw[len(a.raw):a.taken])
		a.raw = a.raw[:len(a.raw)+n]
		if err == io.EOF {
			a.whole = true
			return a, nil
		}
		if err != nil {
			return a, err
		}
	}
}
