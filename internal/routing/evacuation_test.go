package routing

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

func evacuatedPlaces(v *View) (out []string) {
	for _, e := range v.Evacuations() {
		out = append(out, e.Place)
	}
	return out
}

func TestOlderRevisionDoesNotChangeEvacuation(t *testing.T) {
	v := NewView()
	assert.True(t, v.SetEvacuated("a", true, 10, now))
	assert.False(t, v.SetEvacuated("a", true, 12, now.Add(time.Second)), "no change")
	assert.Equal(t, []Evacuation{{Place: "a", Revision: 12, Since: now}}, v.Evacuations())
	assert.False(t, v.SetEvacuated("a", false, 11, now), "an older revision revokes nothing")
	assert.True(t, v.SetEvacuated("a", false, 13, now))
	assert.False(t, v.SetEvacuated("a", true, 12, now), "an older revision does not evacuate again")
	assert.Empty(t, evacuatedPlaces(v))
	assert.Equal(t, uint64(13), v.Revision)
}

func TestListRevokesUnlistedEvacuations(t *testing.T) {
	v := NewView()
	v.SetEvacuated("a", true, 10, now)
	v.SetEvacuated("b", true, 15, now)
	v.ReplaceEvacuations([]Evacuation{{Place: "c", Revision: 9}}, 12, now)
	assert.Equal(t, []string{"b", "c"}, evacuatedPlaces(v), "b was evacuated after the list was read")
	v.Complete(20)
	v.ReplaceEvacuations(nil, 18, now)
	assert.Equal(t, []string{"b", "c"}, evacuatedPlaces(v), "an older list")
}

// The cold period counts from when the entry was written, not from when it was read again.
func TestRereadEntryDoesNotRestartColdPeriod(t *testing.T) {
	v := NewView()
	v.Put(Instance{ID: "a", Revision: 10, ColdUntil: now.Add(3 * time.Second)}, 10)
	later := now.Add(2 * time.Second)
	again := Instance{ID: "a", Revision: 10, ColdUntil: later.Add(3 * time.Second)}
	v.Put(again, 10)
	v.Replace([]Instance{again}, 20, later)
	assert.Equal(t, time.Second, v.Instances()[0].ColdRemaining(later))
	v.Put(Instance{ID: "a", Revision: 21}, 21)
	assert.Zero(t, v.Instances()[0].ColdRemaining(later), "its next entry states no cold period")
}
