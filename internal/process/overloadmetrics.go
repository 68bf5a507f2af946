package process

import (
	"net"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"
)

// observeCallers makes the overload detector sample the connections of callers, and
// publishes its gauges: the shed ratio, and the ratio for each reason on its own, of which
// the largest applies.
func (d *overloadDetector) observeCallers(l *connLimiter, reg metrics.Registry) {
	l.arrivals.Store(&d.arrivals)
	for name, value := range map[string]func(overloadState) float64{
		"ratio":        func(s overloadState) float64 { return s.ratio },
		"by_processor": func(s overloadState) float64 { return s.byProcessor },
		"by_lag":       func(s overloadState) float64 { return s.byLag },
		"by_unread":    func(s overloadState) float64 { return s.byUnread },
	} {
		_ = reg.Register("overload.shed_"+name, metrics.NewFunctionalGaugeFloat64(func() float64 { return value(d.current()) })) // the names are new
	}
}

// arrivalsPointer is set once callers are observed.
type arrivalsPointer struct{ atomic.Pointer[arrivalStats] }

// sample samples a connection from which a request was just read.
func (p *arrivalsPointer) sample(c net.Conn) {
	if a := p.Load(); a != nil {
		a.sample(c, time.Now())
	}
}

// addFields adds the decision and its inputs to a log line.
func (s overloadState) addFields(e *zerolog.Event) *zerolog.Event {
	return e.Float64("excess", s.ratio).Str("reason", string(s.reason)).Float64("use", s.use).Int64("lag_us", s.lag.Microseconds()).Int64("unread_ms", s.unread.Milliseconds()).Int64("accept_wait_ms", s.backlog.Milliseconds()).Int64("target_ms", s.target.Milliseconds()).Int64("undecided", s.undecided).Int64("most_undecided", s.maxUndecided)
}
