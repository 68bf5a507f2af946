package forward

import "time"

// watchdog ends an attempt whose upstream is silent for longer than a limit.
type watchdog struct {
	timer *time.Timer
	fire  func()
}

// newWatchdog starts one; a limit of 0 is none.
func newWatchdog(fire func(), limit time.Duration) *watchdog {
	w := &watchdog{fire: fire}
	w.reset(limit)
	return w
}

func (w *watchdog) reset(limit time.Duration) {
	switch {
	case limit == 0:
		w.stop()
	case w.timer == nil:
		w.timer = time.AfterFunc(limit, w.fire)
	default:
		w.timer.Reset(limit)
	}
}

func (w *watchdog) stop() {
	if w.timer != nil {
		w.timer.Stop()
	}
}
