package routing

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestChangesAreTakenOnce(t *testing.T) {
	v := NewView()
	a, b := Instance{ID: "a", Born: 1}, Instance{ID: "b"}
	v.Replace([]Instance{a, b}, 10, now)
	assert.Equal(t, Changes{Put: []Instance{a, b}}, v.TakeChanges())
	v.Replace([]Instance{a, b}, 11, now)
	assert.Equal(t, Changes{}, v.TakeChanges(), "the same list")

	next, draining := a, b
	next.Born, draining.Draining = 2, true
	v.Put(next, 12)
	v.Put(draining, 13)
	assert.Equal(t, Changes{Put: []Instance{next, draining}, Ended: []Ended{{Instance: a, Restarted: true}}}, v.TakeChanges())

	v.Remove("b", 14, now)
	v.Put(draining, 15)
	assert.Equal(t, Changes{Put: []Instance{draining}}, v.TakeChanges(), "removed and put again between two calls")

	v.SetLapseGrace(now.Add(LapseGrace))
	v.Remove("b", 16, now)
	assert.Equal(t, Changes{}, v.TakeChanges(), "within the grace period")
	assert.True(t, v.Tick(now.Add(LapseGrace)))
	assert.Equal(t, Changes{Ended: []Ended{{Instance: draining}}}, v.TakeChanges())
}

// A peer that applies the changes since a revision has the same list as one that reads the
// full list.
func TestChangesSinceRevisionYieldTheSameList(t *testing.T) {
	v, peer := NewView(), NewView()
	list := []Instance{{ID: "a"}, {ID: "b"}, {ID: "c"}}
	v.Replace(list, 10, now)
	peer.Replace(list, 10, now)
	v.Remove("a", 11, now)
	v.Put(Instance{ID: "d"}, 12)
	v.Put(Instance{ID: "b", Born: 5}, 13)
	v.Complete(13)

	put, removed, known := v.ChangesSince(10)
	require.True(t, known)
	assert.Equal(t, []Instance{{ID: "b", Born: 5}, {ID: "d"}}, put)
	assert.Equal(t, []string{"a"}, removed)
	assert.NotEqual(t, v.Sum(), peer.Sum())
	for _, i := range put {
		peer.Put(i, 13)
	}
	peer.Remove("a", 13, now)
	assert.Equal(t, v.Sum(), peer.Sum())
	assert.Equal(t, v.Instances(), peer.Instances())

	_, _, known = v.ChangesSince(9)
	assert.False(t, known, "removals before the list was read are unknown")
	_, _, known = v.ChangesSince(0)
	assert.False(t, known)
}

// A store that has lost its history is listed in full every second. Only actual changes
// are reported, and only peers whose revision lies within a skipped range read the full
// list.
func TestRelistingLeavesGapInRememberedRemovals(t *testing.T) {
	v := NewView()
	v.Replace([]Instance{{ID: "a"}, {ID: "b"}}, 10, now)
	v.Replace([]Instance{{ID: "a"}, {ID: "c"}}, 20, now)
	put, removed, known := v.ChangesSince(10)
	require.True(t, known)
	assert.Equal(t, []Instance{{ID: "c"}}, put)
	assert.Equal(t, []string{"b"}, removed)
	_, _, known = v.ChangesSince(15)
	assert.False(t, known, "an instance added at 12 and removed at 18 is unknown here")
	put, removed, known = v.ChangesSince(20)
	assert.True(t, known)
	assert.Empty(t, put)
	assert.Empty(t, removed)
	for rev := uint64(21); rev < 30+2*maxGaps; rev += 2 {
		v.Replace([]Instance{{ID: "a"}}, rev, now)
	}
	assert.LessOrEqual(t, len(v.journal.gaps), maxGaps)
	_, _, known = v.ChangesSince(10)
	assert.False(t, known)
}

// Removals are remembered up to a bound; a peer that is further behind reads the full list.
func TestRememberedRemovalsAreBounded(t *testing.T) {
	v := NewView()
	v.Replace(nil, 1, now)
	for i := range uint64(maxRemoved + 10) {
		id := fmt.Sprint(i)
		v.Put(Instance{ID: id}, 2+2*i)
		v.Remove(id, 3+2*i, now)
	}
	assert.LessOrEqual(t, len(v.journal.removed), maxRemoved)
	_, _, known := v.ChangesSince(5)
	assert.False(t, known)
	_, removed, known := v.ChangesSince(3 + 2*(maxRemoved+5))
	assert.True(t, known)
	assert.Equal(t, []string{fmt.Sprint(maxRemoved + 6), fmt.Sprint(maxRemoved + 7), fmt.Sprint(maxRemoved + 8), fmt.Sprint(maxRemoved + 9)}, removed)
}
