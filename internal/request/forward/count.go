package forward

import (
	"strconv"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"
)

type counters struct {
	reg                                                  metrics.Registry
	arrived, answered, opened, resumed, repeated, broken metrics.Counter
	first                                                metrics.Timer
}

func newCounters(reg metrics.Registry) counters {
	c := func(name string) metrics.Counter { return metrics.GetOrRegisterCounter("forward."+name, reg) }
	return counters{
		reg: reg, arrived: c("arrived"), answered: c("answered"), opened: c("connections"), resumed: c("resumed"),
		repeated: c("repeated"), broken: c("broken"),
		first: metrics.GetOrRegisterTimer("forward.first", reg),
	}
}

func (c counters) failed(status int) {
	metrics.GetOrRegisterCounter("forward.status."+strconv.Itoa(status), c.reg).Inc(1)
}

// logEnd writes the line of a request's end. Answers are not logged one by one:
// they are counted, and their placing is sampled.
func (v *visit) logEnd(status int, reason, up string, err error) {
	e := v.s.log.Info()
	v.fields(e, up)
	if err != nil {
		e = e.AnErr("cause", err)
	}
	e.Int("status", status).Str("reason", reason).Msg("request-failed")
}

func (v *visit) fields(e *zerolog.Event, up string) {
	e.Str("request", v.id).Str("organisation", v.org).Int64("after_ms", time.Since(v.arrived).Milliseconds())
	if v.route != nil {
		e.Str("route", v.route.Name)
	}
	if v.table != nil {
		e.Uint64("version", v.table.Number)
	}
	if up != "" {
		e.Str("upstream", up)
	}
}
