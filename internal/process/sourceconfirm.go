package process

import (
	"context"
	"time"

	"github.com/joomcode/errorx"

	"github.com/silverswitch/silverswitch/internal/dispatch"
)

const (
	// sourceConfirmTimeout bounds a reading that confirms what is known.
	sourceConfirmTimeout = time.Second
	// sourceConfirmWait is how long such a reading waits for changes: it asks for those that there are.
	sourceConfirmWait = time.Millisecond
	// maxConfirmReads bounds the calls of one reading whose answers have further changes.
	maxConfirmReads = 4
)

// confirmSource reads what has changed in the source up to now, and tells the node that it has. It reads
// beside the watch, and at routers that do not watch. A reading that fails confirms nothing: the node
// asks again while it needs to.
func (rc *RoutedController) confirmSource(ctx context.Context, no uint64) {
	ctx, stop := context.WithTimeout(ctx, sourceConfirmTimeout)
	defer stop()
	after := rc.AsOf()
	if after == 0 {
		return // it has not listed the source yet
	}
	for range maxConfirmReads {
		l, err := rc.source.Watch(ctx, after, sourceConfirmWait)
		if err != nil {
			rc.log.Info().Err(err).Uint64("value", no).Bool("history_gone", errorx.IsOfType(err, ErrHistoryGone)).Msg("source-not-confirmed")
			return
		}
		if l.AsOf < after {
			return // the source was restored
		}
		rc.enqueue(func(now time.Time) { rc.applyConfirmation(l, no, now) })
		if !l.Partial {
			return
		}
		after = l.AsOf
	}
}

// applyConfirmation applies the changes of a reading that confirms what is known. It counts as a reading of
// the source, though not as one of a series: what lapsed while the source was away is kept for a while,
// and other routers are told of the changes.
func (rc *RoutedController) applyConfirmation(l Listing, no uint64, now time.Time) {
	revision, asOf := rc.view.Revision, rc.view.AsOf
	rc.node.ReadStore(0, 0, false, now)
	rc.updateLapseGrace()
	for _, c := range l.Changes {
		if c.Revision > asOf { // a peer or the watch may have told of it, and of what came after
			rc.applyChange(c, now)
		}
	}
	rc.view.Complete(l.AsOf)
	rc.asOf.Store(rc.view.AsOf)
	if rc.view.Revision != revision {
		rc.publish(now)
	} else {
		rc.node.Step(dispatch.CaughtUp{AsOf: rc.view.AsOf}, now)
	}
	rc.node.Step(dispatch.StoreRead{Delta: announcedDelta(deltaOf(l, false, asOf))}, now)
	if !l.Partial {
		rc.node.Step(dispatch.StoreConfirmed{No: no, AsOf: l.AsOf}, now)
	}
}
