package forward

import (
	"time"

	"github.com/silverswitch/silverswitch/internal/dispatch"
)

// slowWrite is the time from which on a write to the caller counts as blocked by the caller: the
// upstream is not to blame for it.
const slowWrite = 10 * time.Millisecond

// paceMeter measures the time between the events that an upstream sends.
type paceMeter struct {
	last    time.Time // when the latest event was read, or its blocked write ended
	events  int       // after the first one
	took    time.Duration
	longest time.Duration
	missed  bool // a gap exceeded the target
}

// eventRead counts an event. It reports whether the gap before it is the first one to exceed the
// target; a target of 0 or less is none.
func (m *paceMeter) eventRead(target time.Duration, now time.Time) bool {
	if m.last.IsZero() {
		m.last = now
		return false
	}
	gap := max(0, now.Sub(m.last))
	m.last = now
	m.events++
	m.took += gap
	m.longest = max(m.longest, gap)
	if m.missed || target <= 0 || gap <= target {
		return false
	}
	m.missed = true
	return true
}

// eventWritten excludes the time of a blocked write from the next gap.
func (m *paceMeter) eventWritten(now time.Time) {
	if now.Sub(m.last) >= slowWrite {
		m.last = now
	}
}

// eventRead measures the gap before an event, and reports the first one that exceeds the target.
func (a *answer) eventRead(now time.Time) {
	if a.pace.eventRead(a.route.TargetGap, now) {
		a.s.count.streamsLate.Inc(1)
		a.s.ctrl.StreamPace(a.ticket, dispatch.StreamPace{Longest: a.pace.longest, Missed: true})
	}
}

// reportPace reports the events of a stream that has ended. Without a target nobody needs them.
func (a *answer) reportPace() {
	if a.pace.events == 0 {
		return
	}
	a.s.count.streamEvents.Inc(int64(a.pace.events))
	a.s.count.longestGap.Update(a.pace.longest)
	if a.route.TargetGap > 0 {
		a.s.ctrl.StreamPace(a.ticket, dispatch.StreamPace{Events: a.pace.events, Took: a.pace.took, Longest: a.pace.longest, Missed: a.pace.missed})
	}
}
