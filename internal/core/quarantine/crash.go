package quarantine

import (
	"slices"
	"time"

	"github.com/silverswitch/silverswitch/internal/version"
)

// Crash is one upstream that crashed while it ran a request.
type Crash struct {
	Upstream version.ID // names the crash: the same at all routers
	Early    bool       // the answer had no event yet
	Began    time.Time  // of the attempt
	At       time.Time
}

// crashTolerance is how much before the crash before an attempt may seem to have begun that
// was sent after it: routers tell each other in milliseconds, and hear each other late.
const crashTolerance = 20 * time.Millisecond

// mergeCrash adds a crash to those known, which are sorted by time, and reports whether
// there was news in it. What was known first of a crash stays, so that routers which tell
// each other again and again come to rest.
func mergeCrash(known []Crash, c Crash) ([]Crash, bool) {
	for i := range known {
		if known[i].Upstream != c.Upstream {
			continue
		}
		news := c.Early && !known[i].Early
		known[i].Early = known[i].Early || c.Early
		return known, news
	}
	if len(known) >= maxCrashesPerRequest {
		return known, false
	}
	known = append(known, c)
	slices.SortFunc(known, func(a, b Crash) int { return a.At.Compare(b.At) })
	return known, true
}

// levelOf judges crashes that are sorted by time. Only those count whose attempt began
// after the crash counted before: many upstreams may lose power at once, and what several
// of them ran then is no more suspect than what one of them ran. Load pattern: a request
// that everyone sends is at three upstreams of a rack when it goes.
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

// ageMS and ago tell a time as routers tell it to each other.
func ageMS(now, t time.Time) uint32 { return uint32(max(0, now.Sub(t).Milliseconds())) }

func ago(now time.Time, ms uint32) time.Time {
	return now.Add(-time.Duration(ms) * time.Millisecond)
}
