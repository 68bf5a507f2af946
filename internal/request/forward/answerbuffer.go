package forward

import (
	"io"
	"slices"
	"sync/atomic"
)

// Bounds are what a router takes on at once.
type Limits struct {
	MaxRequests    int   // more are refused at once
	MaxAnswerBytes int64 // bytes of answers held until they are whole; others are passed on as they come
}

// buffers counts the bytes of answers that are held until they are whole. An answer is
// held so that a broken one can be tried elsewhere; without a bound on their sum an
// upstream's large answers end a router's process, and the callers' next tries the next
// one's. It may be used by any goroutine.
type answerBuffers struct {
	limit int64
	used  atomic.Int64
}

// take reserves bytes, or returns false.
func (h *answerBuffers) reserve(n int) bool {
	if h.used.Add(int64(n)) > h.limit {
		h.used.Add(int64(-n))
		return false
	}
	return true
}

func (h *answerBuffers) release(n int) { h.used.Add(int64(-n)) }

// bufferStepBytes is in how large pieces the bytes of an answer are reserved.
const bufferStepBytes = 4 << 10

// held is the beginning of an answer, or all of it.
type bufferedAnswer struct {
	raw      []byte
	reserved int // bytes reserved
	whole    bool
}

// hold reads an answer until its end, or until no more may be held.
func (h *answerBuffers) read(body io.Reader) (a bufferedAnswer, err error) {
	for {
		if len(a.raw) == a.reserved {
			if !h.reserve(bufferStepBytes) {
				return a, nil
			}
			a.reserved += bufferStepBytes
			a.raw = slices.Grow(a.raw, bufferStepBytes)
		}
		n, err := body.Read(a.raw[len(a.raw):a.reserved])
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
