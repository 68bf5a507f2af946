package forward

import (
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
)

// Limits on log lines about requests, per logPeriod and process. Failures get the most, as
// engineers look for them; answered requests are logged for comparison.
const (
	maxFailureLines = 150
	maxSuccessLines = 10
	maxNoticeLines  = 20
	// maxTakenUpLines is the limit for requests that go on with a stream, whether they are answered
	// or fail.
	maxTakenUpLines = 40
	logPeriod       = time.Second
)

// requestLog logs requests within the limits above, and logs how many lines it left out.
// Logging never blocks: the underlying writer drops lines when the sink is too slow.
type requestLog struct {
	failures lineLimiter
	success  lineLimiter
	notices  lineLimiter
	takenUp  lineLimiter
	log      zerolog.Logger
}

// lineLimiter allows limit lines in each period. It is safe for concurrent use.
type lineLimiter struct {
	limit   int64
	period  atomic.Int64
	used    atomic.Int64
	leftOut atomic.Int64
}

// allow reports whether another line may be written. The first call in a period also
// returns how many lines were left out since that was last reported.
func (l *lineLimiter) allow(now time.Time) (ok bool, leftOut int64) {
	period := now.UnixNano() / int64(logPeriod)
	if old := l.period.Load(); old != period && l.period.CompareAndSwap(old, period) {
		l.used.Store(0)
		leftOut = l.leftOut.Swap(0)
	}
	if l.used.Add(1) > l.limit {
		l.leftOut.Add(1)
		return false, leftOut
	}
	return true, leftOut
}

func newRequestLog(log zerolog.Logger) *requestLog {
	return &requestLog{failures: lineLimiter{limit: maxFailureLines}, success: lineLimiter{limit: maxSuccessLines}, notices: lineLimiter{limit: maxNoticeLines}, takenUp: lineLimiter{limit: maxTakenUpLines}, log: log}
}

// failure returns an event to log a failure, or nil if the limit is reached. resumed says that the
// request goes on with a stream.
func (l *requestLog) failure(resumed bool) *zerolog.Event {
	if resumed {
		return l.event(&l.takenUp, "streams-taken-up")
	}
	return l.event(&l.failures, "failures")
}

// answered returns an event to log an answered request, or nil if the limit is reached.
func (l *requestLog) answered(resumed bool) *zerolog.Event {
	if resumed {
		return l.event(&l.takenUp, "streams-taken-up")
	}
	return l.event(&l.success, "answered")
}

// notice returns an event to log an upstream's notice, or nil if the limit is reached.
func (l *requestLog) notice() *zerolog.Event { return l.event(&l.notices, "notices") }

func (l *requestLog) event(limiter *lineLimiter, what string) *zerolog.Event {
	ok, leftOut := limiter.allow(time.Now())
	if leftOut > 0 {
		l.log.Info().Str("of", what).Int64("lines", leftOut).Msg("lines-left-out")
	}
	if !ok {
		return nil
	}
	return l.log.Info()
}
