package quarantine

import (
	"slices"
	"time"

	"github.com/silverswitch/silverswitch/internal/version"
)

// Crash is one upstream that crashed while it ran a request.
type Crash struct {
	Upstream version.ID // identifies the crash; the same at all routers
	Early    bool       // the answer had no event yet
	Began    time.Time  // start of the attempt
	At       time.Time
}

// crashTolerance is how much earlier than the previous crash an attempt may seem to have begun
// although it was sent after it. Routers exchange times in milliseconds, and receive them late.
const crashTolerance = 20 * time.Millisecond

// mergeCrash adds a crash to the known ones, which are sorted by time, and reports whether that
// changed anything. Of a crash that is known already, the times recorded first stay, so that
// routers that exchange records repeatedly converge.
func mergeCrash(known []Crash, c Crash) ([]Crash, bool) {
	for i := range known {
		if known[i].Upstream != c.Upstream {
			continue
		}
		changed := c.Early && !known[i].Early
		known[i].Early = known[i].Early || c.Early
		return known, changed
	}
	if len(known) >= maxCrashesPerRequest {
		return known, false
	}
	known = append(known, c)
	slices.SortFunc(known, func(a, b Crash) int { return a.At.Compare(b.At) })
	return known, true
}

// levelOf returns the level for crashes that are sorted by time. A crash counts only if its
// attempt began after the previous crash that counted: many upstreams may lose power at once,
// and what several of them ran then is no more suspect than what one of them ran. Load pattern:
// a request that everyone sends is at three upstreams of a rack when it loses power.
func levelOf(crashes []Crash) int {
	count, early := 0, 0
	var before time.Time
	for _, c := range crashes {
		if count > 0 && c.Began.Before(before.Add(-crashTolerance)) {
			continue
		}
		count++
		if c.Early {
			early++
		}
		before = c.At
	}
	switch {
	case count >= HoldAfterCrashes:
		return levelLong + count - HoldAfterCrashes
	case early >= HoldAfterCrashes-1:
		return levelBrief
	}
	return levelNone
}

// ageMS and ago convert a time to the age that routers send each other, and back.
func ageMS(now, t time.Time) uint32 { return uint32(max(0, now.Sub(t).Milliseconds())) }

func ago(now time.Time, ms uint32) time.Time {
	return now.Add(-time.Duration(ms) * time.Millisecond)
}
