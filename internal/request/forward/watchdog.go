package forward

import (
	"sync/atomic"
	"time"

	"github.com/silverswitch/silverswitch/internal/conn"
)

// watchdog fires once when an attempt's upstream has been silent for a limit. It does not
// fire while received bytes are unread: then this router is slow or was paused, and the
// upstream is not silent.
type watchdog struct {
	timer     *time.Timer
	lastLimit atomic.Int64
	onSilence func()
	exchange  atomic.Pointer[conn.Exchange]
}

// recheckInterval is the time until the next check after one that found unread bytes.
const recheckInterval = 200 * time.Millisecond

// newWatchdog starts a watchdog. With a limit of 0 it never fires.
func newWatchdog(onSilence func(), limit time.Duration) *watchdog {
	w := &watchdog{onSilence: onSilence}
	w.timer = time.AfterFunc(time.Hour, w.check)
	w.reset(limit)
	return w
}

// watch sets the exchange whose unread bytes keep the watchdog from firing.
func (w *watchdog) watch(x *conn.Exchange) { w.exchange.Store(x) }

// check runs when nothing was read for the limit.
func (w *watchdog) check() {
	if x := w.exchange.Load(); x != nil && x.HasUnread() {
		w.timer.Reset(recheckInterval)
		return
	}
	w.onSilence()
}

// reset restarts the watchdog with a limit; 0 stops it.
func (w *watchdog) reset(limit time.Duration) {
	if limit == 0 {
		w.stop()
		return
	}
	w.lastLimit.Store(int64(limit))
	w.timer.Reset(limit)
}

func (w *watchdog) stop() { w.timer.Stop() }

// limit returns the latest limit.
func (w *watchdog) limit() time.Duration { return time.Duration(w.lastLimit.Load()) }
