package forward

import (
	"io"
	"slices"
	"sync/atomic"
)

// Limits bound what a router handles at the same time.
type Limits struct {
	MaxRequests    int   // concurrent requests; more are refused immediately
	MaxAnswerBytes int64 // of answers buffered until they are whole; others are forwarded as they arrive
}

// answerBuffers bounds the memory of answers that are buffered until they are whole. An
// answer is buffered so that the request can be sent elsewhere if the answer breaks.
// Without a bound on the sum, an upstream's large answers would exhaust the memory of one
// router after the other, as callers retry at the next. It is safe for concurrent use.
type answerBuffers struct {
	limit int64
	used  atomic.Int64
}

// reserve reserves n bytes, or returns false if the limit is reached.
func (b *answerBuffers) reserve(n int) bool {
	if b.used.Add(int64(n)) > b.limit {
		b.used.Add(int64(-n))
		return false
	}
	return true
}

func (b *answerBuffers) release(n int) { b.used.Add(int64(-n)) }

// bufferStepBytes is the size of the pieces in which memory for an answer is reserved.
const bufferStepBytes = 4 << 10

// bufferedAnswer is the beginning of an answer, or all of it.
type bufferedAnswer struct {
	raw      []byte
	reserved int  // bytes to release
	whole    bool // raw is all of the answer
}

// read reads an answer until its end, or until the limit of buffered bytes is reached. The
// caller must release the reserved bytes, also after an error.
func (b *answerBuffers) read(body io.Reader) (a bufferedAnswer, err error) {
	for {
		if len(a.raw) == a.reserved {
			if !b.reserve(bufferStepBytes) {
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
