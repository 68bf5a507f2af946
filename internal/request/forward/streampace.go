package forward

import (
	"time"

	"github.com/silverswitch/silverswitch/internal/dispatch"
	"github.com/silverswitch/silverswitch/internal/dispatch/pace"
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

	warnedAt time.Time // of the latest gap warning
}

// gapReport is what an event tells about the gap before it.
type gapReport uint8

const (
	gapInTime  gapReport = iota
	gapWarning           // the gap came near the target
	gapMissed            // it is the first one to exceed the target
)

// eventRead counts an event and reports on the gap before it; a target of 0 or less is none.
func (m *paceMeter) eventRead(target time.Duration, now time.Time) gapReport {
	if m.last.IsZero() {
		m.last = now
		return gapInTime
	}
	gap := max(0, now.Sub(m.last))
	m.last = now
	m.events++
	m.took += gap
	m.longest = max(m.longest, gap)
	switch {
	case target <= 0 || float64(gap) <= pace.WarningRatio*float64(target):
		return gapInTime
	case gap > target && !m.missed:
		m.missed, m.warnedAt = true, now
		return gapMissed
	case now.Sub(m.warnedAt) < pace.WarningInterval:
		return gapInTime
	}
	m.warnedAt = now
	return gapWarning
}

// eventWritten excludes the time of a blocked write from the next gap.
func (m *paceMeter) eventWritten(now time.Time) {
	if now.Sub(m.last) >= slowWrite {
		m.last = now
	}
}

// eventRead measures the gap before an event, and reports the first one that exceeds the target
// and those that come near it.
func (a *answer) eventRead(now time.Time) {
	switch a.pace.eventRead(a.route.TargetGap, now) {
	case gapMissed:
		a.s.count.streamsLate.Inc(1)
		a.s.ctrl.StreamPace(a.ticket, dispatch.StreamPace{Longest: a.pace.longest, Missed: true})
	case gapWarning:
		a.s.count.gapWarnings.Inc(1)
		a.s.ctrl.StreamPace(a.ticket, dispatch.StreamPace{Longest: a.pace.longest, Missed: a.pace.missed})
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
