package process

import (
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"
)

// answerLog counts and logs the answers of the source that could not be used as a whole. It is used
// by one goroutine only.
type answerLog struct {
	log      zerolog.Logger
	values   metrics.Counter // values that could not be used
	partial  metrics.Counter // answers that were read in part
	failed   metrics.Counter // answers that could not be used, or did not begin in time
	inPart   bool            // the answer before was read in part
	inARow   int             // unreadable or late answers
	relisted time.Time       // when the source was listed for these
}

func newAnswerLog(log zerolog.Logger, reg metrics.Registry) answerLog {
	return answerLog{
		log:     log,
		values:  metrics.GetOrRegisterCounter("source.unreadable_values", reg),
		partial: metrics.GetOrRegisterCounter("source.partial_answers", reg),
		failed:  metrics.GetOrRegisterCounter("source.unreadable_answers", reg),
	}
}

// read records an answer that was used.
func (a *answerLog) read(l Listing) {
	a.inARow = 0
	a.values.Inc(int64(l.Unreadable))
	if shown := countErrors(l.Changes); l.Unreadable > shown {
		a.log.Error().Int("values", l.Unreadable).Int("shown", shown).Uint64("as_of", l.AsOf).Msg("published-values-unreadable")
	}
	if l.Partial {
		a.partial.Inc(1)
	}
	if l.Partial && !a.inPart {
		a.log.Warn().Uint64("as_of", l.AsOf).Int("changes", len(l.Changes)).Msg("source-answer-read-in-part")
	}
	a.inPart = l.Partial
}

// countErrors returns how many changes have an error, which is logged when they are applied.
func countErrors(list []Change) (n int) {
	for _, c := range list {
		if c.Err != nil {
			n++
		}
	}
	return n
}

// unreadable records an answer of the watch after a revision that could not be used or did not begin in
// time. It reports
// whether to list the source, because the watch may get the same answer again and again.
func (a *answerLog) unreadable(after uint64, err error, now time.Time) (relist bool) {
	a.failed.Inc(1)
	a.inARow++
	if a.inARow < maxUnreadableAnswers || now.Sub(a.relisted) < relistInterval {
		return false
	}
	a.log.Warn().Err(err).Uint64("revision", after).Int("answers", a.inARow).Msg("source-answer-unreadable")
	a.inARow, a.relisted = 0, now
	return true
}
