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
	timer   *time.Timer
	fire    func()
	waiting atomic.Pointer[conn.Exchange]
}

// lookAgain is after how long a watchdog looks again that has found bytes waiting.
const lookAgain = 200 * time.Millisecond

// newWatchdog starts one; a limit of 0 is none.
func newWatchdog(fire func(), limit time.Duration) *watchdog {
	w := &watchdog{fire: fire}
	w.timer = time.AfterFunc(time.Hour, w.look)
	w.reset(limit)
	return w
}

// watch says which exchange's bytes to look for.
func (w *watchdog) watch(x *conn.Exchange) { w.waiting.Store(x) }

// look runs when nothing was read for the limit.
func (w *watchdog) look() {
	if x := w.waiting.Load(); x != nil && x.HasUnread() {
		w.timer.Reset(lookAgain)
		return
	}
	w.fire()
}

func (w *watchdog) reset(limit time.Duration) {
	if limit == 0 {
		w.stop()
		return
	}
	w.timer.Reset(limit)
}

func (w *watchdog) stop() { w.timer.Stop() }
