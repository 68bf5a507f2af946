package process

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/silverswitch/silverswitch/internal/conn"
	"github.com/silverswitch/silverswitch/internal/core/wire"
	"github.com/silverswitch/silverswitch/internal/dispatch"
	"github.com/silverswitch/silverswitch/internal/request/forward"
	"github.com/silverswitch/silverswitch/internal/routing"
	"github.com/silverswitch/silverswitch/internal/standin"
)

// newTestController returns a controller without a network, whose source fails.
func newTestController(t *testing.T) *RoutedController {
	t.Helper()
	return NewRoutedController(dispatch.Settings{ID: "10.0.0.1:1", Inc: 1, Place: "p"}, failingSource{}, nil, nil, conn.NewExchanges(), zerolog.Nop())
}

func manyInstances(n int) (out []routing.Instance) {
	for i := range n {
		out = append(out, routing.Instance{ID: fmt.Sprintf("i-%08x", i), Service: "llm", Address: fmt.Sprintf("10.2.%d.%d:8100", i/250, i%250), Place: "p", Slots: 64, Born: 1_700_000_000_000})
	}
	return out
}

func listing(asOf uint64, table *routing.Table, list []routing.Instance) Listing {
	l := Listing{AsOf: asOf}
	if table != nil {
		l.Changes = append(l.Changes, Change{Revision: asOf, Table: table, TableRaw: []byte("the published table")})
	}
	for i := range list {
		l.Changes = append(l.Changes, Change{Revision: asOf, Put: &list[i]})
	}
	return l
}

func builtTable(t *testing.T, number uint64) *routing.Table {
	t.Helper()
	tab, err := (&routing.Builder{Number: number, Services: []*routing.Service{{Name: "llm"}}}).Build()
	require.NoError(t, err)
	return tab
}

// transferContent encodes the content that from sends to to, applies it there, and returns
// its size in bytes.
func transferContent(t *testing.T, from, to *RoutedController, table *routing.Table) int {
	t.Helper()
	now := from.now()
	raw, err := cbor.Marshal(from.contentFor(to.knownRevision(), now))
	require.NoError(t, err)
	var c content
	require.NoError(t, cbor.Unmarshal(raw, &c))
	if len(c.TableRaw) == 0 {
		table = nil
	}
	to.applyPeerContent("peer", c, table, len(raw), now)
	return len(raw)
}

// A router that lacks only the table must not receive the list of instances with it: with
// 6,000 upstreams that is half a megabyte for each of 585 routers.
func TestPeerSendsOnlyMissingContent(t *testing.T) {
	a, b := newTestController(t), newTestController(t)
	now := a.now()
	first, second := builtTable(t, 1), builtTable(t, 2)
	list := manyInstances(6000)
	a.applyListing(listing(10, first, list), true, reading{steady: true}, now)
	whole := transferContent(t, a, b, first)
	assert.Greater(t, whole, 200_000)
	assert.Equal(t, a.view.Instances(), b.view.Instances())

	a.applyListing(listing(11, second, list[:1]), false, reading{steady: true}, now)
	assert.Less(t, transferContent(t, a, b, second), 500)
	assert.Equal(t, uint64(2), b.tableVersion())

	a.applyListing(Listing{AsOf: 14, Changes: []Change{{Revision: 12, Removed: list[5].ID}, {Revision: 13, Put: &routing.Instance{ID: "new", Service: "llm", Address: "10.3.0.1:1"}}}}, false, reading{steady: true}, now)
	assert.Less(t, transferContent(t, a, b, nil), 500)
	assert.Equal(t, a.view.Instances(), b.view.Instances())
	assert.Len(t, b.view.Instances(), 6000)
	assert.False(t, b.needsFullContent)
}

// A new table with the same services must not rebuild the list of instances: with a fifth of a
// core and 6,000 instances that took a quarter of a second, during which the router refused
// callers. A table with another service makes its instances available.
func TestNewTableWithSameServicesKeepsInstances(t *testing.T) {
	rc := newTestController(t)
	now := rc.now()
	list := append(manyInstances(3), routing.Instance{ID: "x", Service: "other", Address: "10.4.0.1:1"})
	rc.applyListing(listing(10, builtTable(t, 1), list), true, reading{steady: true}, now)
	upstreams := func() int { return len(rc.statusAt(now).Upstreams) }
	assert.Equal(t, 3, upstreams())
	rc.applyListing(listing(11, builtTable(t, 2), nil), false, reading{steady: true}, now)
	assert.Equal(t, uint64(2), rc.tableVersion())
	assert.Equal(t, 3, upstreams())
	assert.Equal(t, uint64(2), rc.Table().Number)
	both, err := (&routing.Builder{Number: 3, Services: []*routing.Service{{Name: "llm"}, {Name: "other"}}}).Build()
	require.NoError(t, err)
	rc.applyListing(listing(12, both, nil), false, reading{steady: true}, now)
	assert.Equal(t, 4, upstreams())
	assert.Equal(t, forward.MaySend, rc.Unusable(&dispatch.Placement{Instance: list[3]}))
	rc.applyListing(listing(13, builtTable(t, 4), nil), false, reading{steady: true}, now)
	assert.Equal(t, 3, upstreams())
}

// A router that has missed a change detects it by the checksum of the list, and reads the full
// content.
func TestChecksumMismatchTriggersFullRead(t *testing.T) {
	a, b := newTestController(t), newTestController(t)
	now := a.now()
	table := builtTable(t, 1)
	a.applyListing(listing(10, table, manyInstances(20)), true, reading{steady: true}, now)
	b.applyListing(listing(10, table, manyInstances(19)), true, reading{steady: true}, now) // one instance was missed
	a.applyListing(listing(11, nil, []routing.Instance{{ID: "new", Service: "llm"}}), false, reading{steady: true}, now)
	transferContent(t, a, b, nil)
	assert.True(t, b.needsFullContent)
	assert.Equal(t, contentRevision{TableRev: 10}, b.knownRevision())
	transferContent(t, a, b, nil)
	assert.False(t, b.needsFullContent)
	assert.Equal(t, a.view.Instances(), b.view.Instances())
}

// A full list that is older than the view is ignored, so it must not clear needsFullContent:
// the router would never read the list again.
func TestOlderContentLeavesFullReadPending(t *testing.T) {
	a, b := newTestController(t), newTestController(t)
	now := a.now()
	a.applyListing(listing(10, builtTable(t, 1), manyInstances(3)), true, reading{steady: true}, now)
	older := a.contentFor(contentRevision{}, now)
	b.applyListing(listing(20, builtTable(t, 1), manyInstances(2)), true, reading{steady: true}, now)
	b.needsFullContent = true
	b.applyPeerContent("peer", *older, nil, 0, now)
	assert.True(t, b.needsFullContent)
	assert.Len(t, b.view.Instances(), 2)
}

// Guards against serving cached content from before an evacuation: a router that starts just
// after it would become ready and send requests to the evacuated place.
func TestCachedContentIsNoOlderThanView(t *testing.T) {
	rc := newTestController(t)
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	go rc.Run(ctx)
	places := func() int {
		var c content
		require.NoError(t, cbor.Unmarshal(rc.PackedContent(conn.Query{}), &c))
		return len(c.Places)
	}
	rc.ApplyListing(listing(10, builtTable(t, 1), manyInstances(2)), true, reading{steady: true})
	assert.Zero(t, places())
	rc.ApplyListing(Listing{AsOf: 11, Changes: []Change{{Revision: 11, Place: &PlaceChange{Place: "p", Evacuated: true}}}}, false, reading{steady: true})
	_, _ = query(&rc.controlLoop, time.Second, func(time.Time) bool { return true }) // returns after the listing was applied
	assert.Equal(t, 1, places())
}

// A delta whose base is ahead of the view cannot be applied, because changes in between are
// missing.
func TestDeltaWithUnknownBaseIsIgnored(t *testing.T) {
	a := newTestController(t)
	now := a.now()
	a.applyListing(listing(10, builtTable(t, 1), manyInstances(3)), true, reading{steady: true}, now)
	a.applyPeerContent("peer", content{Revision: 30, AsOf: 30, Base: 20, Removed: []string{"i-00000000"}}, nil, 0, now)
	assert.Len(t, a.view.Instances(), 3)
	assert.Equal(t, uint64(10), a.view.AsOf)
}

// A release that replaces hundreds of upstreams at once does not fit into a datagram: only its
// revision is announced, and the routers fetch the content.
func TestLargeDeltaIsFetchedNotAnnounced(t *testing.T) {
	l := listing(12, nil, manyInstances(maxDeltaEntries+1))
	assert.Equal(t, &wire.StoreDelta{From: 10, To: 12, Table: true}, announcedDelta(deltaOf(l, false, 10)))
	few := announcedDelta(deltaOf(listing(12, nil, manyInstances(maxDeltaEntries)), false, 10))
	require.Len(t, few.Put, maxDeltaEntries)
	raw, err := wire.Encode(&wire.Datagram{Dispatch: &wire.Dispatch{Delta: few}})
	require.NoError(t, err)
	assert.Less(t, len(raw), wire.MaxDatagramBytes)
}

// A few entries with long names made a datagram longer than one can be: it was not sent, nor was what
// else was in it.
func TestAnnouncedDeltaFitsIntoADatagram(t *testing.T) {
	long := func(n, size int) (d wire.StoreDelta) {
		name := strings.Repeat("n", size)
		for range n {
			d.Put = append(d.Put, wire.InstanceEntry{ID: name, Service: name, Address: "10.0.0.1:8100", Place: name, Version: name, Slots: 1 << 16, Born: 1 << 41, Revision: 1 << 60, ColdMS: 1 << 31})
			d.Removed, d.Rejected = append(d.Removed, name), append(d.Rejected, name)
			d.Places = append(d.Places, wire.PlaceEntry{Place: name, Revision: 1 << 60})
		}
		return d
	}
	announced := 0
	for n := range maxDeltaEntries {
		for _, size := range []int{0, 20, 100, 256, 200_000 / (n + 1)} {
			d := long(n, size)
			d.From, d.To = 1, 2
			told := announcedDelta(&d)
			if told.Table {
				continue
			}
			announced++
			raw, err := wire.Encode(&wire.Datagram{Dispatch: &wire.Dispatch{Delta: told, DeltaVersions: wire.VersionsOf(told.Put), DeltaRejected: told.Rejected}})
			require.NoError(t, err)
			require.Less(t, len(raw), wire.MaxDatagramBytes)
			require.LessOrEqual(t, len(raw), deltaBytes(told)+200, "%d entries of %d bytes", n, size)
		}
	}
	assert.Greater(t, announced, maxDeltaEntries/3)
}

// Guards against instances that stay forever at routers that read from a peer: an entry missing
// from the listing after an outage gets a grace period at the router that listed, and its
// removal there raises no revision that would announce it to the others.
func TestPeersDropInstancesMissingAfterOutage(t *testing.T) {
	inNextEra, ok := routing.RevisionIn(1, 8)
	require.True(t, ok)
	for name, asOf := range map[string]uint64{"history gone": 30, "store restored": inNextEra} {
		t.Run(name, func(t *testing.T) {
			a, b, late := newTestController(t), newTestController(t), newTestController(t)
			now := a.now()
			list := manyInstances(3)
			a.applyListing(listing(10, builtTable(t, 1), list), true, reading{steady: true}, now)
			transferContent(t, a, b, builtTable(t, 1))
			transferContent(t, a, late, builtTable(t, 1))
			a.applyListing(listing(asOf, nil, list[1:]), true, reading{away: time.Second}, now)
			assert.Equal(t, asOf, a.view.Revision, "a missing entry counts as a change that is announced to peers")
			transferContent(t, a, b, nil)
			for _, rc := range []*RoutedController{a, b} {
				assert.Len(t, rc.view.Instances(), 3, "within the grace period")
				rc.view.Tick(now.Add(2 * routing.LapseGrace))
				assert.Len(t, rc.view.Instances(), 2)
			}
			transferContent(t, a, late, nil)
			assert.Len(t, late.view.Instances(), 2, "fetched after the grace period")
		})
	}
}

// An answer of the store that was on its way while a peer told of later changes brought back an
// upstream that had left: it was listed until the next full reading.
func TestOlderAnswerDoesNotBringBackWhatHasLeft(t *testing.T) {
	a := newTestController(t)
	now := a.now()
	list := manyInstances(3)
	a.applyListing(listing(10, builtTable(t, 1), list), true, reading{}, now)
	a.applyPeerDelta(dispatch.ApplyDelta{From: "peer", Delta: &wire.StoreDelta{From: 10, To: 12, Removed: []string{list[0].ID}}}, now)
	written := list[0]
	written.Slots++
	a.applyListing(Listing{AsOf: 11, Changes: []Change{{Revision: 11, Put: &written}}}, false, reading{steady: true}, now)
	assert.Len(t, a.view.Instances(), 2)
	a.applyListing(Listing{AsOf: 13, Changes: []Change{{Revision: 13, Put: &written}}}, false, reading{steady: true}, now)
	assert.Len(t, a.view.Instances(), 3, "a later entry counts")
}

// An entry that lapsed and was written again within one reading was told as both, and peers dropped
// an upstream that lives.
func TestEntryThatIsBackWithinOneReadingIsKeptByPeers(t *testing.T) {
	list := manyInstances(2)
	removed, put := Change{Removed: list[0].ID}, Change{Put: &list[0]}
	for name, c := range map[string]struct {
		changes []Change
		want    int
	}{"back": {[]Change{removed, put}, 2}, "gone again": {[]Change{removed, put, removed}, 1}, "new and gone": {[]Change{put, removed}, 1}} {
		a := newTestController(t)
		now := a.now()
		a.applyListing(listing(10, builtTable(t, 1), list), true, reading{}, now)
		l := Listing{AsOf: 10}
		for _, ch := range c.changes {
			l.AsOf++
			ch.Revision = l.AsOf
			l.Changes = append(l.Changes, ch)
		}
		a.applyPeerDelta(dispatch.ApplyDelta{From: "peer", Delta: deltaOf(l, false, 10)}, now)
		assert.Len(t, a.view.Instances(), c.want, name)
	}
}

func overwritten(rev uint64, id string) Change { return Change{Revision: rev, Rejected: id} }

// A listing in which the entries of live upstreams are overwritten dropped the upstreams.
func TestListingKeepsInstancesWhoseEntriesAreOverwritten(t *testing.T) {
	a, list := newTestController(t), manyInstances(3)
	now := a.now()
	a.applyListing(listing(10, builtTable(t, 1), list), true, reading{}, now)
	l := listing(12, nil, list[:1])
	l.Changes = append(l.Changes, overwritten(11, list[1].ID), overwritten(12, "unknown"))
	a.applyListing(l, true, reading{steady: true}, now)
	assert.Equal(t, list[:2], a.view.Instances(), "the third entry is missing")
	a.view.Tick(now.Add(routing.RejectGrace))
	assert.Equal(t, list[:1], a.view.Instances())
}

// Guards against peers that drop an upstream whose entry was overwritten at once, or never: those that
// read the changes, fetch them, or fetch everything.
func TestPeersDropInstancesWhoseEntriesStayOverwritten(t *testing.T) {
	a, told, fetched, late := newTestController(t), newTestController(t), newTestController(t), newTestController(t)
	now, list := a.now(), manyInstances(3)
	a.applyListing(listing(10, builtTable(t, 1), list), true, reading{steady: true}, now)
	transferContent(t, a, told, builtTable(t, 1))
	transferContent(t, a, fetched, builtTable(t, 1))
	l := Listing{AsOf: 13, Changes: []Change{overwritten(11, list[0].ID), overwritten(12, list[1].ID), {Revision: 13, Put: &list[1]}}}
	list[1].Revision = 13
	d := deltaOf(l, false, 10)
	a.applyListing(l, false, reading{steady: true}, now)
	assert.Equal(t, []string{list[0].ID}, d.Rejected, "the second was written again")
	told.applyPeerDelta(dispatch.ApplyDelta{From: "peer", Delta: d}, now)
	transferContent(t, a, fetched, nil)
	transferContent(t, a, late, builtTable(t, 1))
	for i, rc := range []*RoutedController{a, told, fetched, late} {
		assert.Len(t, rc.view.Instances(), 3, "router %d, within the grace period", i)
		rc.view.Tick(now.Add(routing.RejectGrace + time.Second))
		assert.Len(t, rc.view.Instances(), 2, "router %d", i)
	}
}

// The servers' entries together may be longer than what routers read from each other, or take too long:
// a router that joined, and left the reading of the store to others, never had any.
func TestRouterThatCannotReadPeersContentReadsTheStore(t *testing.T) {
	sealer, err := conn.NewSealer("a-secret-for-tests-only", "route")
	require.NoError(t, err)
	for name, answer := range map[string][]byte{"too long": make([]byte, 17<<20), "no content": []byte("odd")} {
		t.Run(name, func(t *testing.T) {
			addr := standin.FreeAddr()
			peer, err := conn.ServeFetch(addr, sealer, conn.Handlers{conn.MethodContent: func(conn.Query) []byte { return answer }})
			require.NoError(t, err)
			defer peer.Close()
			ctx, stop := context.WithCancel(t.Context())
			defer stop()
			rc, source := newTestController(t), &slowSource{}
			rc.sealer = sealer
			rc.watches.Store(false)
			for range maxUnreadableContents {
				assert.False(t, rc.Watches())
				rc.fetchContent(wire.NodeID(addr), contentRevision{})
			}
			assert.True(t, rc.Watches())
			go rc.run(ctx, time.Hour, rc, zerolog.Nop())
			go newSourceWatcher(source, rc, zerolog.Nop(), metrics.NewRegistry()).run(ctx)
			require.Eventually(t, func() bool { return rc.AsOf() == 1 }, 10*time.Second, time.Millisecond)
			assert.False(t, rc.Watches(), "the next content may be readable")
			rc.fetchContent("127.0.0.1:1", contentRevision{})
			assert.Zero(t, rc.peersContent.unreadable.Load(), "a peer that cannot be reached says nothing")
		})
	}
}
