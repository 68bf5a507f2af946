package process

import (
	"context"
	"time"

	"github.com/joomcode/errorx"
	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"github.com/silverswitch/silverswitch/internal/clock"
	"github.com/silverswitch/silverswitch/internal/dispatch"
	"github.com/silverswitch/silverswitch/internal/routing"
)

// Timing of reading the source.
const (
	// sourceWatchTimeout is how long one watch waits for changes. It bounds how long a
	// silently broken watch goes unnoticed and how old the fleet's store reading becomes;
	// a longer timeout would save calls. storeReadInterval of internal/dispatch depends on it.
	sourceWatchTimeout = time.Second
	// sourceCheckWait is how long a reading waits for changes that only checks whether the source
	// answers: until its answer also counts at routers that take it for a little older.
	sourceCheckWait = 80 * time.Millisecond
	// sourceBatchDelay is the pause after each answer, so that changes in quick succession
	// cost one call. It is small compared with the 2 s within which routers must apply a
	// change.
	sourceBatchDelay = 150 * time.Millisecond
	// minSourceRetryPause and maxSourceRetryPause bound the pause after a failure. The
	// maximum is well below the time within which a router must follow a store that is
	// reachable again.
	minSourceRetryPause = 100 * time.Millisecond
	maxSourceRetryPause = 400 * time.Millisecond
	// sourceRetryPausePerRouter is multiplied by the number of routers to give the maximum
	// pause of routers that read the source only because no watcher could recently: all of
	// them together make 40 attempts a second in a fleet of any size.
	sourceRetryPausePerRouter = 25 * time.Millisecond
	// watchRoleCheckInterval is how often a router that does not watch checks whether it should.
	watchRoleCheckInterval = 100 * time.Millisecond
	// minSourceOutage is how long the source must have failed for entries to have lapsed
	// meanwhile.
	minSourceOutage = 600 * time.Millisecond
	// maxReadingGap is the longest time between two answers for which the source is known to
	// have answered all the while: a watch without changes, the pause after it, and some time for
	// the answer. An entry lapses only in a longer outage: its upstream must miss two of its writes,
	// which are more than a second apart.
	maxReadingGap = sourceWatchTimeout + sourceBatchDelay + 200*time.Millisecond
	// minSilentOutage is the time between two answers from which the source was away although no
	// reading failed: its connections were silent.
	minSilentOutage = maxReadingGap + 500*time.Millisecond
	// maxUnreadableAnswers is after how many answers of the watch in a row that are unreadable or late
	// the source is listed, because the watch may get the same answer for ever.
	maxUnreadableAnswers = 3
	// relistInterval is the shortest time between two such listings. It is the time within which
	// routers must apply a change.
	relistInterval = 2 * time.Second
)

// reading says what an answer of the source tells of the time before it.
type reading struct {
	away   time.Duration // how long the source had failed before, 0 if it had not or not for long
	steady bool          // the source has answered without a gap since the reading before
}

// sourceWatcher keeps the controller's view up to date with a source. It is used by one
// goroutine only.
type sourceWatcher struct {
	source   Source
	ctrl     *RoutedController
	log      zerolog.Logger
	calls    metrics.Counter
	failures metrics.Counter
	history  sourceHistory
	answers  answerLog
	kept     time.Duration // for which the source keeps its history

	historyReads  int       // attempts to read the history
	historyReadAt time.Time // of the last one
	historyAsOf   uint64    // the first listing, before which it is read
}

// sourceHistory is what a router remembers of the source's answers.
type sourceHistory struct {
	failingSince time.Time // zero while the source answers
	answeredAt   time.Time // when it last answered
}

// failed records a failure. It reports whether it is the first of a series.
func (h *sourceHistory) failed(now time.Time) (first bool) {
	if h.failingSince.IsZero() {
		h.failingSince = now
		return true
	}
	return false
}

// answered records an answer, and returns what it tells of the time before it.
func (h *sourceHistory) answered(now time.Time) reading {
	failing, gap := since(h.failingSince, now), since(h.answeredAt, now)
	first := h.answeredAt.IsZero()
	h.failingSince, h.answeredAt = time.Time{}, now
	switch {
	case failing >= minSourceOutage:
		return reading{away: failing}
	case gap >= minSilentOutage:
		return reading{away: gap}
	}
	return reading{steady: !first && gap <= maxReadingGap}
}

// since returns the time from t until now, 0 for a zero t.
func since(t, now time.Time) time.Duration {
	if t.IsZero() {
		return 0
	}
	return now.Sub(t)
}

func newSourceWatcher(source Source, ctrl *RoutedController, log zerolog.Logger, reg metrics.Registry) *sourceWatcher {
	return &sourceWatcher{
		source: source, ctrl: ctrl, log: log,
		calls:    metrics.GetOrRegisterCounter("source.calls", reg),
		failures: metrics.GetOrRegisterCounter("source.failures", reg),
		answers:  newAnswerLog(log, reg),
	}
}

// run lists and watches the source until the context ends.
func (w *sourceWatcher) run(ctx context.Context) {
	after, next := uint64(0), watchNext
	pause := minSourceRetryPause
	for ctx.Err() == nil {
		if !w.ctrl.Watches() {
			w.history = sourceHistory{}
			sleep(ctx, watchRoleCheckInterval)
			continue
		}
		if next != mustList {
			after = max(after, w.ctrl.AsOf()) // peers may have announced later changes meanwhile
		}
		var err error
		if after == 0 || next != watchNext {
			after, next, err = w.list(ctx, after, next)
		} else {
			after, next, err = w.watch(ctx, after)
		}
		if err == nil {
			pause = minSourceRetryPause
			sleep(ctx, sourceBatchDelay)
			continue
		}
		w.sourceFailed(ctx, err)
		sleep(ctx, pause)
		pause = min(2*pause, max(maxSourceRetryPause, w.ctrl.MaxRetryPause()))
	}
}

// nextCall is what a watcher calls next.
type nextCall int

const (
	watchNext nextCall = iota
	mayList            // the watch may fail for ever; it goes on if the listing fails too
	mustList           // the watch cannot go on
)

// list returns the revision to watch from. If the listing fails, it is that of before.
func (w *sourceWatcher) list(ctx context.Context, after uint64, next nextCall) (uint64, nextCall, error) {
	w.calls.Inc(1)
	l, err := w.source.List(ctx)
	if err != nil && next == mayList {
		return after, watchNext, err
	}
	if err != nil {
		return after, next, err
	}
	w.answers.read(l)
	w.ctrl.peersContent.used()
	w.ctrl.ApplyListing(l, true, w.sourceAnswered(l.AsOf))
	w.tryHistory(ctx, l.AsOf, instancesIn(l))
	return l.AsOf, watchNext, nil
}

// tryHistory reads what the source tells of the time before a revision, while no other router has
// told it. listed are the instances of that revision's listing, nil if it was not read here.
func (w *sourceWatcher) tryHistory(ctx context.Context, asOf uint64, listed []routing.Instance) {
	source, tells := w.source.(HistorySource)
	now := clock.System.Now()
	if !tells || w.kept == 0 || now.Sub(w.historyReadAt) < historyReadTimeout {
		return
	}
	if !w.ctrl.NeedsStoreHistory() {
		w.historyReads = 0
		return
	}
	if w.historyReads == maxHistoryAttempts {
		return
	}
	if w.historyReads == 0 {
		w.historyAsOf = asOf
	}
	w.historyReads, w.historyReadAt = w.historyReads+1, now
	go w.readHistory(ctx, source, w.historyAsOf, listed)
}

func (w *sourceWatcher) readHistory(ctx context.Context, source HistorySource, asOf uint64, listed []routing.Instance) {
	ctx, stop := context.WithTimeout(ctx, historyReadTimeout)
	defer stop()
	lagging := make(chan *dispatch.LaggingList, 1)
	go func() { lagging <- readLagging(ctx, source) }()
	h, ok := readHistory(ctx, source, asOf)
	h.readAt, h.listed, h.lagging = time.Now(), listed, <-lagging
	h.begin = h.readAt.Add(-w.kept)
	w.calls.Inc(int64(h.reads) + 1)
	line := w.log.Info().Bool("complete", ok).Bool("whole", h.whole).Int("calls", h.reads+1).Int("changes", len(h.changes)).Uint64("as_of", asOf).Uint64("oldest", h.oldest)
	if h.lagging != nil {
		line = line.Uint64("lagging_as_of", h.lagging.AsOf)
	}
	line.Msg("source-history-read")
	if ok {
		w.ctrl.Step(h.replay(asOf, w.kept))
	}
}

// watch returns the revision to continue from, and how. While it waits, it reads the source at once
// when the controller asks for that.
func (w *sourceWatcher) watch(ctx context.Context, after uint64) (uint64, nextCall, error) {
	w.calls.Inc(1)
	var l Listing
	var err error
	done := make(chan struct{})
	go func() {
		l, err = w.source.Watch(ctx, after, sourceWatchTimeout)
		close(done)
	}()
	for waiting := true; waiting; {
		select {
		case <-done:
			waiting = false
		case <-w.ctrl.sourceChecks:
			w.check(ctx, after)
		}
	}
	if errorx.IsOfType(err, ErrHistoryGone) {
		w.log.Info().Uint64("revision", after).Msg("source-history-gone")
		return after, mustList, nil
	}
	useless := errorx.IsOfType(err, ErrUnreadable) || errorx.IsOfType(err, ErrLate)
	if useless && w.answers.unreadable(after, err, clock.System.Now()) {
		return after, mayList, err
	}
	if err != nil {
		return after, watchNext, err
	}
	w.answers.read(l)
	w.ctrl.ApplyListing(l, false, w.sourceAnswered(l.AsOf))
	w.tryHistory(ctx, max(after, l.AsOf), nil)
	return max(after, l.AsOf), watchNext, nil
}

// check reads the source at once, beside a watch that may still wait.
func (w *sourceWatcher) check(ctx context.Context, after uint64) {
	w.calls.Inc(1)
	l, err := w.source.Watch(ctx, after, sourceCheckWait)
	switch {
	case err == nil:
		w.ctrl.ApplyListing(l, false, w.sourceAnswered(l.AsOf))
	case !errorx.IsOfType(err, ErrHistoryGone): // the watch meets that too
		w.sourceFailed(ctx, err)
	}
}

// sourceFailed counts a failure, and logs the first of a series.
func (w *sourceWatcher) sourceFailed(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	w.failures.Inc(1)
	w.ctrl.SourceFailed()
	if w.history.failed(clock.System.Now()) {
		w.log.Warn().Err(err).Msg("source-lost")
	}
}

// sourceAnswered ends an outage, if there was one, and returns what the answer tells of the time
// before it.
func (w *sourceWatcher) sourceAnswered(asOf uint64) reading {
	now := clock.System.Now()
	if since := w.history.failingSince; !since.IsZero() {
		w.log.Info().Int64("away_ms", now.Sub(since).Milliseconds()).Uint64("revision", asOf).Msg("source-regained")
	}
	return w.history.answered(now)
}
