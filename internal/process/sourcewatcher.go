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
	// sourceWatchTimeout is how long one watch waits. It bounds how long a watch that was
	// cut without a word goes unnoticed, and how old the fleet's knowledge of the
	// store gets; longer ones save calls. internal/dispatch's sightEvery rests on it.
	sourceWatchTimeout = time.Second
	// gather is the pause after each answer, so that changes in quick succession
	// cost one call. It is small beside the 2 s within which routers must follow.
	sourceBatchDelay = 150 * time.Millisecond
	// minSourceRetryPause and maxSourceRetryPause are the pauses after failures. The longest is
	// well within the time in which a router must follow a store that is back.
	minSourceRetryPause = 100 * time.Millisecond
	maxSourceRetryPause = 400 * time.Millisecond
	// sourceRetryPausePerRouter is a router's part in the pause of those that look only because
	// nobody could read the source lately: 40 tries a second in any fleet.
	sourceRetryPausePerRouter = 25 * time.Millisecond
	// watchRoleCheckInterval is how often a router that does not watch looks whether it should.
	watchRoleCheckInterval = 100 * time.Millisecond
	// outage is how long the source must have failed for its return to be one.
	minSourceOutage = 600 * time.Millisecond
)

// follower keeps the steerer's view up to date with a source. It is one
// goroutine.
type sourceWatcher struct {
	source       Source
	ctrl         *RoutedController
	log          zerolog.Logger
	calls        metrics.Counter
	failures     metrics.Counter
	failingSince time.Time // since when the source fails, or zero
}

func newSourceWatcher(source Source, ctrl *RoutedController, log zerolog.Logger, reg metrics.Registry) *sourceWatcher {
	return &sourceWatcher{
		source: source, ctrl: ctrl, log: log,
		calls:    metrics.GetOrRegisterCounter("source.calls", reg),
		failures: metrics.GetOrRegisterCounter("source.failures", reg),
	}
}

// run lists and watches until the context ends.
func (f *sourceWatcher) run(ctx context.Context) {
	after, relist := uint64(0), false
	pause := minSourceRetryPause
	for ctx.Err() == nil {
		if !f.ctrl.Watches() {
			f.failingSince = time.Time{}
			sleep(ctx, watchRoleCheckInterval)
			continue
		}
		if !relist {
			after = max(after, f.ctrl.AsOf()) // peers may have told more meanwhile
		}
		var err error
		if after == 0 {
			after, err = f.list(ctx)
			relist = relist && err != nil
		} else {
			after, err = f.watch(ctx, after)
			relist = after == 0
		}
		if err == nil {
			pause = minSourceRetryPause
			sleep(ctx, sourceBatchDelay)
			continue
		}
		f.sourceFailed(ctx, err)
		sleep(ctx, pause)
		pause = min(2*pause, max(maxSourceRetryPause, f.ctrl.MaxRetryPause()))
	}
}

func (f *sourceWatcher) list(ctx context.Context) (uint64, error) {
	f.calls.Inc(1)
	l, err := f.source.List(ctx)
	if err != nil {
		return 0, err
	}
	f.ctrl.ApplyListing(l, true, f.sourceAnswered(l.AsOf))
	return l.AsOf, nil
}

// watch returns the revision to go on from: 0 when the history is gone.
func (f *sourceWatcher) watch(ctx context.Context, after uint64) (uint64, error) {
	f.calls.Inc(1)
	l, err := f.source.Watch(ctx, after, sourceWatchTimeout)
	if errorx.IsOfType(err, ErrHistoryGone) {
		f.log.Info().Uint64("revision", after).Msg("source-history-gone")
		return 0, nil
	}
	if err != nil {
		return after, err
	}
	f.ctrl.ApplyListing(l, false, f.sourceAnswered(l.AsOf))
	return max(after, l.AsOf), nil
}

// failed counts a failure, and logs the first of a row.
func (f *sourceWatcher) sourceFailed(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	f.failures.Inc(1)
	f.ctrl.SourceFailed()
	if f.failingSince.IsZero() {
		f.failingSince = clock.System.Now()
		f.log.Warn().Err(err).Msg("source-lost")
	}
}

// worked notes the end of an outage. It reports whether it was long enough for
// entries to have lapsed in it.
func (f *sourceWatcher) sourceAnswered(asOf uint64) (back bool) {
	if f.failingSince.IsZero() {
		return false
	}
	away := clock.System.Since(f.failingSince)
	f.failingSince = time.Time{}
	f.log.Info().Int64("away_ms", away.Milliseconds()).Uint64("revision", asOf).Msg("source-regained")
	return away >= minSourceOutage
}
