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
// changed anything. At most so many are kept. Of a crash that is known already, the times recorded first stay, so that
// routers that exchange records repeatedly converge.
func mergeCrash(known []Crash, c Crash, most int) ([]Crash, bool) {
	for i := range known {
		if known[i].Upstream != c.Upstream {
			continue
		}
		changed := c.Early && !known[i].Early
		known[i].Early = known[i].Early || c.Early
		return known, changed
	}
	if len(known) >= most {
		return known, false
	}
	known = append(known, c)
	slices.SortFunc(known, func(a, b Crash) int { return a.At.Compare(b.At) })
	return known, true
}

// consecutive returns the crashes that count, of crashes that are sorted by time. A crash counts
// only if its attempt began after the previous crash that counted: many upstreams may lose power
// at once, and what several of them ran then is no more suspect than what one of them ran. Load
// pattern: a request that everyone sends is at three upstreams of a rack when it loses power.
func consecutive(crashes []Crash) []Crash {
	var out []Crash
	for _, c := range crashes {
		if n := len(out); n > 0 && c.Began.Before(out[n-1].At.Add(-crashTolerance)) {
			continue
		}
		out = append(out, c)
	}
	return out
}

// levelOf returns the level for crashes that are sorted by time.
func levelOf(crashes []Crash) int {
	list := consecutive(crashes)
	count, early := len(list), 0
	for _, c := range list {
		if c.Early {
			early++
		}
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
