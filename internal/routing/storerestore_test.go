package routing

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// revisionAt returns the revision of a count in an era.
func revisionAt(t testing.TB, era, count uint64) uint64 {
	t.Helper()
	rev, ok := RevisionIn(era, count)
	require.True(t, ok)
	return rev
}

func TestLaterEraHasGreaterRevisions(t *testing.T) {
	assert.Equal(t, uint64(42), revisionAt(t, 0, 42))
	assert.Greater(t, revisionAt(t, 1, 1), revisionAt(t, 0, 999_999))
	assert.Equal(t, uint64(3_000_000_000_042), revisionAt(t, 3, 42))
	assert.Equal(t, uint64(3), EraOf(revisionAt(t, 3, 42)))
	assert.Equal(t, uint64(42), CountOf(revisionAt(t, 3, 42)))
	_, ok := RevisionIn(MaxEra+1, 1)
	assert.False(t, ok)
	_, ok = RevisionIn(1, revisionsPerEra)
	assert.False(t, ok)
}

// instancesAt returns instances of service s whose entries were written at a revision.
func instancesAt(rev uint64, ids ...string) (out []Instance) {
	for _, id := range ids {
		out = append(out, Instance{ID: id, Service: "s", Revision: rev})
	}
	return out
}

// restoredView returns a view that knew some instances of era 0 up to revision 50 and has
// just read the copy of the restored store in era 1, as of revision 40.
func restoredView(t *testing.T, known, copied []string, prepare func(v *View)) *View {
	v := NewView()
	v.Replace(instancesAt(revisionAt(t, 0, 10), known...), revisionAt(t, 0, 50), now)
	if prepare != nil {
		prepare(v)
	}
	l := instancesAt(revisionAt(t, 1, 10), copied...)
	v.SetLapseGrace(now.Add(LapseGrace))
	v.StoreRestored(l, now)
	v.Replace(l, revisionAt(t, 1, 40), now)
	return v
}

// The restored store reuses revision numbers: without eras, changes after the restore count
// as older than those known and are ignored.
func TestChangesAfterRestoreAreApplied(t *testing.T) {
	v := restoredView(t, []string{"a", "b"}, []string{"a", "b"}, nil)
	assert.Equal(t, revisionAt(t, 1, 40), v.AsOf)
	v.Put(Instance{ID: "a", Service: "s", Draining: true, Revision: revisionAt(t, 1, 41)}, revisionAt(t, 1, 41))
	v.Remove("b", revisionAt(t, 1, 42), now.Add(LapseGrace))
	assert.Equal(t, []string{"a"}, ids(v))
	assert.True(t, v.Instances()[0].Draining)
}

func TestRestoredCopyDoesNotReviveEndedInstance(t *testing.T) {
	end := func(v *View) { v.Remove("b", revisionAt(t, 0, 51), now) }
	t.Run("until its entry is removed", func(t *testing.T) {
		v := restoredView(t, []string{"a", "b"}, []string{"a", "b"}, end)
		assert.Equal(t, []string{"a"}, ids(v))
		v.Remove("b", revisionAt(t, 1, 41), now)
		v.Tick(now.Add(restoreGrace))
		assert.Equal(t, []string{"a"}, ids(v))
	})
	t.Run("unless its entry is written again", func(t *testing.T) {
		v := restoredView(t, []string{"a", "b"}, []string{"a", "b"}, end)
		v.Put(Instance{ID: "b", Service: "s", Revision: revisionAt(t, 1, 41)}, revisionAt(t, 1, 41))
		assert.Equal(t, []string{"a", "b"}, ids(v))
	})
	t.Run("unless it is another start", func(t *testing.T) {
		v := NewView()
		v.Put(Instance{ID: "b", Born: 5}, revisionAt(t, 0, 1))
		v.Remove("b", revisionAt(t, 0, 2), now)
		again := []Instance{{ID: "b", Born: 6}}
		v.StoreRestored(again, now)
		v.Replace(again, revisionAt(t, 1, 1), now)
		assert.Equal(t, []string{"b"}, ids(v))
	})
	t.Run("for the grace period", func(t *testing.T) {
		v := restoredView(t, []string{"a", "b"}, []string{"a", "b"}, end)
		assert.False(t, v.Tick(now.Add(restoreGrace-time.Millisecond)))
		assert.True(t, v.Tick(now.Add(restoreGrace)))
		assert.Equal(t, []string{"a", "b"}, ids(v), "it runs: its entry was not removed")
	})
	t.Run("also when it is listed again", func(t *testing.T) {
		v := restoredView(t, []string{"a", "b"}, []string{"a", "b"}, end)
		v.Replace(instancesAt(revisionAt(t, 1, 10), "a", "b"), revisionAt(t, 1, 44), now.Add(time.Second))
		assert.Equal(t, []string{"a"}, ids(v))
	})
}

func TestInstanceMissingFromRestoredCopyHasGracePeriod(t *testing.T) {
	v := restoredView(t, []string{"a", "b"}, []string{"a"}, nil)
	assert.Equal(t, []string{"a", "b"}, ids(v))
	v.Tick(now.Add(LapseGrace))
	assert.Equal(t, []string{"a"}, ids(v))
}

func TestRestoredCopyDoesNotUndoDraining(t *testing.T) {
	v := restoredView(t, []string{"a"}, []string{"a"}, func(v *View) {
		v.Put(Instance{ID: "a", Service: "s", Draining: true, Revision: revisionAt(t, 0, 51)}, revisionAt(t, 0, 51))
	})
	assert.True(t, v.Instances()[0].Draining)
}

func TestRestoredCopyDoesNotRestartColdPeriod(t *testing.T) {
	v := NewView()
	until := now.Add(2 * time.Second)
	v.Put(Instance{ID: "a", Revision: revisionAt(t, 0, 7), ColdUntil: until}, revisionAt(t, 0, 7))
	copied := []Instance{{ID: "a", Revision: revisionAt(t, 1, 7), ColdUntil: until.Add(time.Second)}}
	v.StoreRestored(copied, now)
	v.Replace(copied, revisionAt(t, 1, 8), now)
	assert.Equal(t, until, v.Instances()[0].ColdUntil)
}

func TestOlderTableOfRestoredCopyIsRejected(t *testing.T) {
	v := NewView()
	old, current, next := &Table{Number: 45}, &Table{Number: 49}, &Table{Number: 53}
	require.True(t, v.SetTable(current, nil, revisionAt(t, 0, 42)))
	assert.False(t, v.SetTable(old, nil, revisionAt(t, 1, 38)))
	assert.True(t, v.SetTable(next, nil, revisionAt(t, 1, 39)))
	// A router started after the restore knows the copy's table and receives the newer one.
	v = NewView()
	require.True(t, v.SetTable(old, nil, revisionAt(t, 1, 38)))
	assert.True(t, v.SetTable(current, nil, revisionAt(t, 0, 42)))
}

// An evacuation written after the copy was made is missing from the restored store. Nothing
// may be sent to that place during the grace period.
func TestEvacuationMissingFromRestoredCopyPersists(t *testing.T) {
	evacuated := func() *View {
		v := NewView()
		v.SetEvacuated("p", true, revisionAt(t, 0, 45), now)
		v.Complete(revisionAt(t, 0, 50))
		v.StoreRestored(nil, now)
		v.ReplaceEvacuations(nil, revisionAt(t, 1, 40), now)
		v.Replace(nil, revisionAt(t, 1, 40), now)
		return v
	}
	v := evacuated()
	require.Len(t, v.Evacuations(), 1)
	assert.True(t, v.Tick(now.Add(restoreGrace)), "the operators have not written the evacuation again")
	assert.Empty(t, v.Evacuations())

	v = evacuated()
	v.SetEvacuated("p", true, revisionAt(t, 1, 41), now)
	v.Tick(now.Add(restoreGrace))
	assert.Len(t, v.Evacuations(), 1, "the operators have written it again")

	v = evacuated()
	v.SetEvacuated("p", false, revisionAt(t, 1, 41), now)
	assert.Empty(t, v.Evacuations(), "the operators have revoked it")
}

// A router that has read the copy must report all changes to peers that know only the
// previous era.
func TestPeerOfPreviousEraGetsChanges(t *testing.T) {
	v := restoredView(t, []string{"a", "b"}, []string{"a", "c"}, nil)
	put, _, known := v.ChangesSince(revisionAt(t, 0, 50))
	require.True(t, known)
	var names []string
	for _, i := range put {
		names = append(names, i.ID)
	}
	assert.Contains(t, names, "c")
	_, _, known = v.ChangesSince(revisionAt(t, 0, 51))
	assert.False(t, known, "the peer knew more than this router and reads the full list")
}
