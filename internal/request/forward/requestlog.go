package forward

import (
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
)

// Bounds on lines about requests, for each second and process. Failures are what
// an engineer looks for; answered requests are there to compare with.
const (
	maxFailureLines = 150
	maxSuccessLines = 10
	maxNoticeLines  = 20
	logPeriod       = time.Second
)

// requestLog writes lines about requests within bounds, and says how many it left
// out. A line never waits: the writer below drops what a slow sink cannot take.
type requestLog struct {
	failures lineLimiter
	success  lineLimiter
	notices  lineLimiter
	log      zerolog.Logger
}

// lineLimiter allows a number of lines a period. It may be used by any goroutine.
type lineLimiter struct {
	limit   int64
	period  atomic.Int64
	used    atomic.Int64
	leftOut atomic.Int64
}

// allow reports whether one more line fits, and at the start of a period how many
// were left out in those before.
func (b *lineLimiter) allow(now time.Time) (ok bool, leftOut int64) {
	period := now.UnixNano() / int64(logPeriod)
	if old := b.period.Load(); old != period && b.period.CompareAndSwap(old, period) {
		b.used.Store(0)
		leftOut = b.leftOut.Swap(0)
	}
	if b.used.Add(1) > b.limit {
		b.leftOut.Add(1)
		return false, leftOut
	}
	return true, leftOut
}

func newRequestLog(log zerolog.Logger) *requestLog {
	return &requestLog{failures: lineLimiter{limit: maxFailureLines}, success: lineLimiter{limit: maxSuccessLines}, notices: lineLimiter{limit: maxNoticeLines}, log: log}
}

// failure returns an event for a line about what went wrong, or nil.
func (l *requestLog) failure() *zerolog.Event { return l.event(&l.failures, "failures") }

// answered returns an event for a line about an answered request, or nil.
func (l *requestLog) answered() *zerolog.Event { return l.event(&l.success, "answered") }

// notice returns an event for a line about an upstream's notice, or nil.
func (l *requestLog) notice() *zerolog.Event { return l.event(&l.notices, "notices") }

func (l *requestLog) event(b *lineLimiter, what string) *zerolog.Event {
	ok, leftOut := b.allow(time.Now())
	if leftOut > 0 {
		l.log.Info().Str("of", what).Int64("lines", leftOut).Msg("lines-left-out")
	}
	if !ok {
		return nil
	}
	return l.log.Info()
}
