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
	// followWait is how long one watch waits. It bounds how long a watch that was
	// cut without a word goes unnoticed, and how old the fleet's knowledge of the
	// store gets; longer ones save calls. internal/dispatch's sightEvery rests on it.
	followWait = time.Second
	// gather is the pause after each answer, so that changes in quick succession
	// cost one call. It is small beside the 2 s within which routers must follow.
	gather = 150 * time.Millisecond
	// followPause and followLongest are the pauses after failures. The longest is
	// well within the time in which a router must follow a store that is back.
	followPause   = 100 * time.Millisecond
	followLongest = 400 * time.Millisecond
	// pausePerRouter is a router's part in the pause of those that look only because
	// nobody could read the source lately: 40 tries a second in any fleet.
	pausePerRouter = 25 * time.Millisecond
	// notWanted is how often a router that does not watch looks whether it should.
	notWanted = 100 * time.Millisecond
	// outage is how long the source must have failed for its return to be one.
	outage = 600 * time.Millisecond
)

// follower keeps the steerer's view up to date with a source. It is one
// goroutine.
type follower struct {
	src   Source
	st    *Steerer
	log   zerolog.Logger
	calls metrics.Counter
	fails metrics.Counter
	lost  time.Time // since when the source fails, or zero
}

func newFollower(src Source, st *Steerer, log zerolog.Logger, reg metrics.Registry) *follower {
	return &follower{
		src: src, st: st, log: log,
		calls: metrics.GetOrRegisterCounter("source.calls", reg),
		fails: metrics.GetOrRegisterCounter("source.failures", reg),
	}
}

// run lists and watches until the context ends.
func (f *follower) run(ctx context.Context) {
	after, relist := uint64(0), false
	pause := followPause
	for ctx.Err() == nil {
		if !f.st.Watches() {
			f.lost = time.Time{}
			sleep(ctx, notWanted)
			continue
		}
		if !relist {
			after = max(after, f.st.AsOf()) // peers may have told more meanwhile
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
			pause = followPause
			sleep(ctx, gather)
			continue
		}
		f.failed(ctx, err)
		sleep(ctx, pause)
		pause = min(2*pause, max(followLongest, f.st.WatchPause()))
	}
}

func (f *follower) list(ctx context.Context) (uint64, error) {
	f.calls.Inc(1)
	l, err := f.src.List(ctx)
	if err != nil {
		return 0, err
	}
	f.st.TakeListing(l, true, f.worked(l.AsOf))
	return l.AsOf, nil
}

// watch returns the revision to go on from: 0 when the history is gone.
func (f *follower) watch(ctx context.Context, after uint64) (uint64, error) {
	f.calls.Inc(1)
	l, err := f.src.Watch(ctx, after, followWait)
	if errorx.IsOfType(err, ErrHistory) {
		f.log.Info().Uint64("revision", after).Msg("source-history-gone")
		return 0, nil
	}
	if err != nil {
		return after, err
	}
	f.st.TakeListing(l, false, f.worked(l.AsOf))
	return max(after, l.AsOf), nil
}

// failed counts a failure, and logs the first of a row.
func (f *follower) failed(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	f.fails.Inc(1)
	f.st.SourceFailed()
	if f.lost.IsZero() {
		f.lost = clock.System.Now()
		f.log.Warn().Err(err).Msg("source-lost")
	}
}

// worked notes the end of an outage. It reports whether it was long enough for
// entries to have lapsed in it.
func (f *follower) worked(asOf uint64) (back bool) {
	if f.lost.IsZero() {
		return false
	}
	away := clock.System.Since(f.lost)
	f.lost = time.Time{}
	f.log.Info().Int64("away_ms", away.Milliseconds()).Uint64("revision", asOf).Msg("source-regained")
	return away >= outage
}
