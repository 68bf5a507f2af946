package forward

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// A route whose requests begin to take longer, or that is unknown, must not be expected to be fast.
func TestExpectedDurationFollowsTheLatestAnswers(t *testing.T) {
	d := newDurations()
	_, known := d.expected("r")
	assert.False(t, known)
	for range 10_000 {
		d.add("r", 10*time.Millisecond)
	}
	got, known := d.expected("r")
	assert.True(t, known)
	assert.InDelta(t, 10, got.Milliseconds(), 3)
	for range 100 {
		d.add("r", 2*time.Second)
	}
	got, _ = d.expected("r")
	assert.GreaterOrEqual(t, got, 2*time.Second)
	d.add("new", time.Second)
	got, known = d.expected("new")
	assert.True(t, known)
	assert.GreaterOrEqual(t, got, 4*time.Second, "one answer tells little")
	d.add("long", 10*time.Hour)
	got, _ = d.expected("long")
	assert.Greater(t, got, time.Hour)
}
