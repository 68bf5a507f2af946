package dispatch

import (
	"time"

	"github.com/silverswitch/silverswitch/internal/version"
)

// Engines may serve less than is stated. Nobody comes to its share then, and what decides is
// the max-min part of what is really given out.
//
// Load pattern: engines at five eighths of what is stated, prompts of half a second, a small
// organisation and one that sends ten times as much. Each engine that came free went to
// whoever came next, and the small one, at a third of its share, was refused as often.

const (
	// shortPart is the part of what was placed in the window that has to be refused for the
	// wait, of organisations under their shares, for engines to serve less than is stated.
	shortPart = 0.2
	// mostOfGiven is how many times its part of what is given out an organisation may have
	// had before others go first. Nobody is held back where all have had about the same.
	mostOfGiven = 1.25
	// heldFrom is the part of its share under which nobody is held back: the first to be
	// served after an outage has had more than its part of next to nothing.
	heldFrom = 0.25
)

// findGiven cuts what was given out in the window while engines serve less than is stated.
func (m *meter) findGiven(demands []demand) {
	got, missed := 0.0, 0.0
	for _, u := range m.orgs {
		got += total(&u.got)
		missed += total(&u.missed)
	}
	m.given = nil
	if missed > shortPart*got {
		m.given = maxMin(demands, got)
	}
}

// aheadOfGiven reports whether an organisation has had so much more than its part of what is
// given out that the others go first.
func (m *meter) aheadOfGiven(org version.ID, now time.Time) bool {
	m.refresh(now)
	part, short := m.given[org]
	return short && total(&m.of(org).got) > mostOfGiven*part
}
