package process

import (
	"fmt"

	"github.com/rs/zerolog"

	"github.com/silverswitch/silverswitch/internal/dispatch"
)

// logReport logs one of the node's reports.
func logReport(log zerolog.Logger, o dispatch.Output) {
	switch o := o.(type) {
	case dispatch.ShareReport:
		log.Info().Str("service", o.Service).Str("organisation", o.Org).Int("asked", o.Requested).Int("got", o.Granted).Int("begun", o.Started).Int("share", o.Share).
			Int("asking_seconds", o.UnmetSeconds).Int("arrears", o.Arrears).Bool("waits", o.Waits).Msg("organisation-share")
	case dispatch.FairnessReport:
		log.Info().Str("service", o.Service).Str("least", o.Least).Str("best", o.Best).Float64("margin", o.Margin).Float64("margin_of_seconds", o.MarginOfSeconds).Int("asked", o.Requested).Int("got", o.Granted).Int("begun", o.Started).
			Int("best_begun", o.BestStarted).Str("gate", o.Gate).Int("turned_by_gate", o.TurnedByGate).Int("turned_by_routers", o.TurnedByRouters).Str("turned_most_by", string(o.Router)).Msg("least-served")
	case dispatch.SecondReport:
		e := log.Info().Str("service", o.Service).Str("organisation", o.Org).Int64("second", o.Second.Unix()).Int("asked", o.Requested).Int("got", o.Granted).Int("begun", o.Started)
		for i, name := range dispatch.GateNames() {
			e.Int("turned_by_"+name, o.Turned[i])
		}
		e.Msg("organisation-second")
	case dispatch.EngineReport:
		log.Info().Str("service", o.Service).Int("engines", o.Engines).Int("busy_percent", o.BusyPercent).Int("refused_idle", o.IdleRefused).
			Dict("least", waitFields(o.Least)).Dict("median", waitFields(o.Median)).Msg("engines-believed")
	case dispatch.LocalDecisionReport:
		log.Info().Str("service", o.Service).Str("organisation", o.Org).Int("placed", o.Placed).Int("refused", o.Refused).
			Int("placed_tokens", o.PlacedTokens).Int("turned_tokens", o.ShedTokens).
			Uint32("share_percent", o.Share).Int("share_age_ms", o.ShareAgeMS).Int("let_in_percent", o.AdmittedPercent).Msg("decided-alone")
	case dispatch.SlotReport:
		log.Info().Str("service", o.Service).Int("waiting", o.Waiting).Int("in_flight", o.InFlight).Int("allowed", o.Allowed).Int("upstreams", o.Upstreams).Int("silent", o.Silent).
			Float64("service_ms", o.ServiceMS).Float64("held_ms", o.HeldMS).Uint64("queued", o.Since.Queued).Uint64("waited_ms", o.Since.WaitedMS).
			Uint64("refused", o.Since.Refused).Uint64("displaced", o.Since.Displaced).Uint64("expired", o.Since.Expired).Uint64("rejected", o.Since.Rejected).Msg("plain-slots")
	case dispatch.UpstreamEnded:
		log.Info().Str("upstream", o.Instance.ID).Str("address", o.Instance.Address).Str("by", o.By).Int("running", o.Running).Msg("upstream-ended")
	case dispatch.PartReport:
		log.Info().Str("service", o.Service).Str("part", fmt.Sprintf("%016x", o.Part)).Int("crashes", o.Crashes).Bool("held", o.Service != "").Msg("prompt-part-held")
	case dispatch.QuarantineReport:
		log.Info().Stringer("fingerprint", o.Content).Str("organisation", o.Org).Int("crashes", o.Crashes).Int64("held_ms", o.Held.Milliseconds()).
			Str("seen_by", string(o.From)).Msg("request-suspected")
	}
}

// logColdChange logs that an upstream is now considered cold, or warm again.
func logColdChange(log zerolog.Logger, o dispatch.ColdChange) {
	if o.For <= 0 {
		log.Info().Str("upstream", o.Instance.ID).Str("place", o.Instance.Place).Msg("upstream-warm")
		return
	}
	log.Info().Str("upstream", o.Instance.ID).Str("place", o.Instance.Place).Stringer("why", o.Why).
		Int64("for_ms", o.For.Milliseconds()).Int("allowed_per_second", o.Allowed).Msg("upstream-cold")
}

func waitFields(w dispatch.WaitParts) *zerolog.Event {
	return zerolog.Dict().Int("wait_ms", w.WaitMS).Int("overdue_ms", w.OverdueMS).Int("stated_ms", w.StatedMS).Int("unread", w.Unread).Float64("slow", w.Slow)
}
