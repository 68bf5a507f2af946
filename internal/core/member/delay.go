package member

import (
	"time"

	"github.com/silverswitch/silverswitch/internal/core/wire"
)

// readDelays estimates how long the datagrams of one router waited before they were read: what the
// difference of the two clocks at the reading exceeds the least of the last two windows (LEDBAT's
// base delay, RFC 6817, 4.2). Clocks that differ or drift do not matter then. In the first two windows
// of a process its clock is taken to be no further behind than this one, so that a first datagram
// which waited is known to have waited.
//
// A window ends only when a datagram is read after its time, so that a pause does not replace the
// differences of before it.
type readDelays struct {
	inc             wire.Incarnation
	least, previous int32 // milliseconds, in this window and the one before
	since           time.Time
}

// delayWindow is how long a difference of clocks counts, at least. A clock that is set back seems to
// be a delay for up to twice as long.
const delayWindow = time.Minute

// read returns the delay of a datagram that is read now, 0 for a sender that states no time.
func (r *readDelays) read(d *wire.Datagram, now time.Time) time.Duration {
	if d.SentMS == 0 {
		return 0
	}
	diff := int32(wire.ClockMS(now) - d.SentMS)
	switch {
	case r.since.IsZero() || d.Inc != r.inc:
		*r = readDelays{inc: d.Inc, least: min(diff, 0), previous: min(diff, 0), since: now}
	case now.Sub(r.since) >= delayWindow:
		r.least, r.previous, r.since = diff, r.least, now
	}
	r.least = min(r.least, diff)
	return time.Duration(diff-min(r.least, r.previous)) * time.Millisecond
}

// ReadDelay returns how long the last datagram of a router waited before it was read, beyond the
// usual: the ages in it are as of its sending.
func (t *Table) ReadDelay(id wire.NodeID) time.Duration {
	if m := t.members[id]; m != nil {
		return m.readDelay
	}
	return 0
}
