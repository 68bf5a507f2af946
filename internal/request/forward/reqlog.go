package forward

import (
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
)

// Bounds on lines about requests, for each second and process. Failures are what
// an engineer looks for; answered requests are there to compare with.
const (
	failureLines = 150
	successLines = 10
	noticeLines  = 20
	logPeriod    = time.Second
)

// reqLog writes lines about requests within bounds, and says how many it left
// out. A line never waits: the writer below drops what a slow sink cannot take.
type reqLog struct {
	failures lineBound
	success  lineBound
	notices  lineBound
	log      zerolog.Logger
}

// lineBound allows a number of lines a period. It may be used by any goroutine.
type lineBound struct {
	most    int64
	period  atomic.Int64
	used    atomic.Int64
	leftOut atomic.Int64
}

// allow reports whether one more line fits, and at the start of a period how many
// were left out in those before.
func (b *lineBound) allow(now time.Time) (ok bool, leftOut int64) {
	period := now.UnixNano() / int64(logPeriod)
	if old := b.period.Load(); old != period && b.period.CompareAndSwap(old, period) {
		b.used.Store(0)
		leftOut = b.leftOut.Swap(0)
	}
	if b.used.Add(1) > b.most {
		b.leftOut.Add(1)
		return false, leftOut
	}
	return true, leftOut
}

func newReqLog(log zerolog.Logger) *reqLog {
	return &reqLog{failures: lineBound{most: failureLines}, success: lineBound{most: successLines}, notices: lineBound{most: noticeLines}, log: log}
}

// failure returns an event for a line about what went wrong, or nil.
func (l *reqLog) failure() *zerolog.Event { return l.event(&l.failures, "failures") }

// answered returns an event for a line about an answered request, or nil.
func (l *reqLog) answered() *zerolog.Event { return l.event(&l.success, "answered") }

// notice returns an event for a line about an upstream's notice, or nil.
func (l *reqLog) notice() *zerolog.Event { return l.event(&l.notices, "notices") }

func (l *reqLog) event(b *lineBound, what string) *zerolog.Event {
	ok, leftOut := b.allow(time.Now())
	if leftOut > 0 {
		l.log.Info().Str("of", what).Int64("lines", leftOut).Msg("lines-left-out")
	}
	if !ok {
		return nil
	}
	return l.log.Info()
}
