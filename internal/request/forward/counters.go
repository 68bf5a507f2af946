package forward

import (
	"strconv"
	"sync"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"github.com/silverswitch/silverswitch/internal/dispatch"
)

// counters are the metrics of the routed interface.
type counters struct {
	reg                                                                                                                      metrics.Registry
	arrived, answered, opened, resumed, repeated, broken, shed, unservable, memoryFull, quarantined, withdrawn, healthChecks metrics.Counter
	leavingNotices, backoffNotices                                                                                           metrics.Counter
	stopRefused, stopNotRun, stopInDoubt                                                                                     metrics.Counter
	silences, secondRefused, firstWentOn, secondWentOn                                                                       metrics.Counter
	eventsRefused, headsRefused                                                                                              metrics.Counter
	streamEvents, streamsLate, gapWarnings                                                                                   metrics.Counter
	firstEvent, decision, longestGap                                                                                         metrics.Timer
	byStatus                                                                                                                 *sync.Map // metrics.Counter by status
}

func newCounters(reg metrics.Registry) counters {
	c := func(name string) metrics.Counter { return metrics.GetOrRegisterCounter("forward."+name, reg) }
	return counters{
		byStatus: &sync.Map{},
		reg:      reg, arrived: c("arrived"), answered: c("answered"), opened: c("connections"), resumed: c("resumed"),
		repeated: c("repeated"), broken: c("broken"), shed: c("shed"), unservable: c("unservable"), memoryFull: c("memory.full"), quarantined: c("held"), withdrawn: c("withdrawn"), healthChecks: c("looked"),
		leavingNotices: c("notices.leaving"), backoffNotices: c("notices.backoff"),
		stopRefused: c("stop.refused"), stopNotRun: c("stop.not.run"), stopInDoubt: c("stop.in.doubt"),
		silences: c("silences"), secondRefused: c("second.refused"), firstWentOn: c("second.lost"), secondWentOn: c("second.won"),
		eventsRefused: c("memory.events"), headsRefused: c("memory.heads"),
		streamEvents: c("stream.events"), streamsLate: c("stream.late"), gapWarnings: c("stream.gap.warnings"),
		longestGap: metrics.GetOrRegisterTimer("forward.stream.gap", reg),
		firstEvent: metrics.GetOrRegisterTimer("forward.first", reg),
		decision:   metrics.GetOrRegisterTimer("forward.decision", reg),
	}
}

// failed counts a failure by its status.
func (c *counters) failed(status int) {
	if n, known := c.byStatus.Load(status); known {
		n.(metrics.Counter).Inc(1)
		return
	}
	n := metrics.GetOrRegisterCounter("forward.status."+strconv.Itoa(status), c.reg)
	c.byStatus.Store(status, n)
	n.Inc(1)
}

// logEnd logs a request that ended without an answer.
func (req *callerRequest) logEnd(f failure) {
	e := req.s.reqLog.failure(req.resumed)
	if e == nil {
		return
	}
	req.addRequestFields(e, f.upstream)
	if f.err != nil {
		e.AnErr("cause", f.err)
	}
	if d := f.refusal; d != nil {
		e.Str("by", string(d.By)).Int("wait_ms", d.WaitMS).Int("limit_ms", d.LimitMS).Int("own_ms", d.PrefillMS).Uint32("share_percent", d.SharePercent).Uint64("revision", d.Revision)
	}
	if f.crashes > 0 {
		e.Stringer("fingerprint", req.fingerprint()).Int("crashes", f.crashes)
	}
	if f.retryAfter > 0 {
		e.Int64("come_back_ms", f.retryAfter.Milliseconds())
	}
	e.Int("status", f.status).Str("reason", f.reason).Msg("request-failed")
}

// addRequestFields adds the fields that every log line about a request has: its id, the
// inputs of the decision and their version.
func (req *callerRequest) addRequestFields(e *zerolog.Event, up string) {
	e.Str("request", req.id).Str("organisation", req.org).Int64("after_ms", req.s.clock.Since(req.arrived).Milliseconds())
	if req.route != nil {
		e.Str("route", req.route.Name).Int64("time_ms", req.deadline.Sub(req.arrived).Milliseconds())
	}
	if req.table != nil {
		e.Uint64("version", req.table.Number)
	}
	if up != "" {
		e.Str("upstream", up)
	}
	if req.resumed {
		e.Str("resumes", req.r.Header.Get(req.s.dialect.Resumes)).Int64("after_event", parseLastEventID(req.r.Header))
	}
}

// addPlacementFields adds the inputs of a placement decision.
func addPlacementFields(e *zerolog.Event, p *dispatch.Placement) {
	e.Str("by", string(p.By)).Int("wait_ms", p.WaitMS).Int("own_ms", p.PrefillMS).Int("work", p.PrefillTokens).Uint64("revision", p.Revision)
	if p.Source != "" {
		e.Str("source", p.Source)
	}
	if p.Instance.Version != "" {
		e.Str("software", p.Instance.Version)
	}
}
