package forward

import (
	"sync/atomic"
	"time"

	"github.com/silverswitch/silverswitch/internal/conn"
)

// watchdog ends an attempt whose upstream is silent for longer than a limit. A
// router that is itself too slow to read, or was paused, takes no upstream for
// silent whose bytes wait to be read.
type watchdog struct {
	timer     *time.Timer
	onSilence func()
	exchange  atomic.Pointer[conn.Exchange]
}

// recheckInterval is after how long a watchdog looks again that has found bytes waiting.
const recheckInterval = 200 * time.Millisecond

// newWatchdog starts one; a limit of 0 is none.
func newWatchdog(onSilence func(), limit time.Duration) *watchdog {
	w := &watchdog{onSilence: onSilence}
	w.timer = time.AfterFunc(time.Hour, w.check)
	w.reset(limit)
	return w
}

// watch says which exchange's bytes to look for.
func (w *watchdog) watch(x *conn.Exchange) { w.exchange.Store(x) }

// look runs when nothing was read for the limit.
func (w *watchdog) check() {
	if x := w.exchange.Load(); x != nil && x.Waiting() {
		w.timer.Reset(recheckInterval)
		return
	}
	w.onSilence()
}

func (w *watchdog) reset(limit time.Duration) {
	if limit == 0 {
		w.stop()
		return
	}
	w.timer.Reset(limit)
}

func (w *watchdog) stop() { w.timer.Stop() }
