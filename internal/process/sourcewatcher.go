package process

import (
	"context"
	"time"

	"github.com/joomcode/errorx"
	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"github.com/silverswitch/silverswitch/internal/clock"
)

// Timing of reading the source.
const (
	// sourceWatchTimeout is how long one watch waits for changes. It bounds how long a
	// silently broken watch goes unnoticed and how old the fleet's store reading becomes;
	// a longer timeout would save calls. storeReadInterval of internal/dispatch depends on it.
	sourceWatchTimeout = time.Second
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
)

// sourceWatcher keeps the controller's view up to date with a source. It is used by one
// goroutine only.
type sourceWatcher struct {
	source       Source
	ctrl         *RoutedController
	log          zerolog.Logger
	calls        metrics.Counter
	failures     metrics.Counter
	failingSince time.Time // zero while the source answers
}

func newSourceWatcher(source Source, ctrl *RoutedController, log zerolog.Logger, reg metrics.Registry) *sourceWatcher {
	return &sourceWatcher{
		source: source, ctrl: ctrl, log: log,
		calls:    metrics.GetOrRegisterCounter("source.calls", reg),
		failures: metrics.GetOrRegisterCounter("source.failures", reg),
	}
}

// run lists and watches the source until the context ends.
func (w *sourceWatcher) run(ctx context.Context) {
	after, relist := uint64(0), false
	pause := minSourceRetryPause
	for ctx.Err() == nil {
		if !w.ctrl.Watches() {
			w.failingSince = time.Time{}
			sleep(ctx, watchRoleCheckInterval)
			continue
		}
		if !relist {
			after = max(after, w.ctrl.AsOf()) // peers may have announced later changes meanwhile
		}
		var err error
		if after == 0 {
			after, err = w.list(ctx)
			relist = relist && err != nil
		} else {
			after, err = w.watch(ctx, after)
			relist = after == 0
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

func (w *sourceWatcher) list(ctx context.Context) (uint64, error) {
	w.calls.Inc(1)
	l, err := w.source.List(ctx)
	if err != nil {
		return 0, err
	}
	w.ctrl.ApplyListing(l, true, w.sourceAnswered(l.AsOf))
	return l.AsOf, nil
}

// watch returns the revision to continue from, 0 when the source no longer has the history
// after it.
func (w *sourceWatcher) watch(ctx context.Context, after uint64) (uint64, error) {
	w.calls.Inc(1)
	l, err := w.source.Watch(ctx, after, sourceWatchTimeout)
	if errorx.IsOfType(err, ErrHistoryGone) {
		w.log.Info().Uint64("revision", after).Msg("source-history-gone")
		return 0, nil
	}
	if err != nil {
		return after, err
	}
	w.ctrl.ApplyListing(l, false, w.sourceAnswered(l.AsOf))
	return max(after, l.AsOf), nil
}

// sourceFailed counts a failure, and logs the first of a series.
func (w *sourceWatcher) sourceFailed(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	w.failures.Inc(1)
	w.ctrl.SourceFailed()
	if w.failingSince.IsZero() {
		w.failingSince = clock.System.Now()
		w.log.Warn().Err(err).Msg("source-lost")
	}
}

// sourceAnswered ends an outage, if there was one, and reports whether it was long enough
// for entries to have lapsed meanwhile.
func (w *sourceWatcher) sourceAnswered(asOf uint64) (returned bool) {
	if w.failingSince.IsZero() {
		return false
	}
	away := clock.System.Since(w.failingSince)
	w.failingSince = time.Time{}
	w.log.Info().Int64("away_ms", away.Milliseconds()).Uint64("revision", asOf).Msg("source-regained")
	return away >= minSourceOutage
}
