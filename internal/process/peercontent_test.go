package process

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/silverswitch/silverswitch/internal/conn"
	"github.com/silverswitch/silverswitch/internal/core/wire"
	"github.com/silverswitch/silverswitch/internal/dispatch"
	"github.com/silverswitch/silverswitch/internal/request/forward"
	"github.com/silverswitch/silverswitch/internal/routing"
)

// viewer is a router's view without its network.
func viewer(t *testing.T) *Steerer {
	t.Helper()
	return NewSteerer(dispatch.Settings{ID: "10.0.0.1:1", Inc: 1, Place: "p"}, nil, nil, nil, conn.NewExchanges(), zerolog.Nop())
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

// carry takes what one router gives another, as it is encoded, and returns its bytes.
func carry(t *testing.T, from, to *Steerer, table *routing.Table) int {
	t.Helper()
	now := from.now()
	raw, err := cbor.Marshal(from.contentFor(to.have(), now))
	require.NoError(t, err)
	var c content
	require.NoError(t, cbor.Unmarshal(raw, &c))
	if len(c.TableRaw) == 0 {
		table = nil
	}
	to.adopt("peer", c, table, len(raw), now)
	return len(raw)
}

// A router that knows the list and lacks a table reads the table alone. Before, it read all
// entries with it: half a megabyte before 6,000 upstreams, at each of 585 routers.
func TestPeerGivesWhatIsLacking(t *testing.T) {
	a, b := viewer(t), viewer(t)
	now := a.now()
	first, second := builtTable(t, 1), builtTable(t, 2)
	list := manyInstances(6000)
	a.take(listing(10, first, list), true, false, now)
	whole := carry(t, a, b, first)
	assert.Greater(t, whole, 200_000)
	assert.Equal(t, a.view.Instances(), b.view.Instances())

	a.take(listing(11, second, list[:1]), false, false, now)
	assert.Less(t, carry(t, a, b, second), 500)
	assert.Equal(t, uint64(2), b.number())

	a.take(Listing{AsOf: 14, Changes: []Change{{Revision: 12, Removed: list[5].ID}, {Revision: 13, Put: &routing.Instance{ID: "new", Service: "llm", Address: "10.3.0.1:1"}}}}, false, false, now)
	assert.Less(t, carry(t, a, b, nil), 500)
	assert.Equal(t, a.view.Instances(), b.view.Instances())
	assert.Len(t, b.view.Instances(), 6000)
	assert.False(t, b.wantsWhole)
}

// A new table that names the same services leaves the list of upstreams alone: at a fifth of
// a core going through 6,000 of them took a quarter of a second, in which the router refused
// callers. One that names another service lets its upstreams in.
func TestNewTableIsTakenWithoutTheList(t *testing.T) {
	s := viewer(t)
	now := s.now()
	list := append(manyInstances(3), routing.Instance{ID: "x", Service: "other", Address: "10.4.0.1:1"})
	s.take(listing(10, builtTable(t, 1), list), true, false, now)
	upstreams := func() int { return len(s.statusAt(now).Upstreams) }
	assert.Equal(t, 3, upstreams())
	s.take(listing(11, builtTable(t, 2), nil), false, false, now)
	assert.Equal(t, uint64(2), s.number())
	assert.Equal(t, 3, upstreams())
	assert.Equal(t, uint64(2), s.Table().Number)
	both, err := (&routing.Builder{Number: 3, Services: []*routing.Service{{Name: "llm"}, {Name: "other"}}}).Build()
	require.NoError(t, err)
	s.take(listing(12, both, nil), false, false, now)
	assert.Equal(t, 4, upstreams())
	assert.Equal(t, forward.MaySend, s.Unusable(&dispatch.Place{Instance: list[3]}))
	s.take(listing(13, builtTable(t, 4), nil), false, false, now)
	assert.Equal(t, 3, upstreams())
}

// A router that has missed something notices it by the checksum of the list, and reads all.
func TestDifferenceThatDoesNotFitIsReadWhole(t *testing.T) {
	a, b := viewer(t), viewer(t)
	now := a.now()
	table := builtTable(t, 1)
	a.take(listing(10, table, manyInstances(20)), true, false, now)
	b.take(listing(10, table, manyInstances(19)), true, false, now) // it lacks one, and does not know
	a.take(listing(11, nil, []routing.Instance{{ID: "new", Service: "llm"}}), false, false, now)
	carry(t, a, b, nil)
	assert.True(t, b.wantsWhole)
	assert.Equal(t, held{TableRev: 10}, b.have())
	carry(t, a, b, nil)
	assert.False(t, b.wantsWhole)
	assert.Equal(t, a.view.Instances(), b.view.Instances())
}

// A whole list that is older than what a router knows is not taken, and does not settle that
// something was missed: it did, and the router never read the list again.
func TestOlderListDoesNotSettleADifference(t *testing.T) {
	a, b := viewer(t), viewer(t)
	now := a.now()
	a.take(listing(10, builtTable(t, 1), manyInstances(3)), true, false, now)
	older := a.contentFor(held{}, now)
	b.take(listing(20, builtTable(t, 1), manyInstances(2)), true, false, now)
	b.wantsWhole = true
	b.adopt("peer", *older, nil, 0, now)
	assert.True(t, b.wantsWhole)
	assert.Len(t, b.view.Instances(), 2)
}

// A router that starts just after a place was evacuated was given what had been packed for
// another one before that, said that it was ready, and sent requests there.
func TestPackedContentIsNoOlderThanTheView(t *testing.T) {
	s := viewer(t)
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	go s.Run(ctx)
	places := func() int {
		var c content
		require.NoError(t, cbor.Unmarshal(s.Packed(conn.Query{}), &c))
		return len(c.Places)
	}
	s.TakeListing(listing(10, builtTable(t, 1), manyInstances(2)), true, false)
	assert.Zero(t, places())
	s.TakeListing(Listing{AsOf: 11, Changes: []Change{{Revision: 11, Place: &PlaceChange{Place: "p", Evacuated: true}}}}, false, false)
	_, _ = ask(&s.controlLoop, time.Second, func(time.Time) bool { return true }) // it has been taken
	assert.Equal(t, 1, places())
}

// Changes since a revision that a router does not have say nothing to it.
func TestDifferenceWithoutItsBaseIsNotTaken(t *testing.T) {
	a := viewer(t)
	now := a.now()
	a.take(listing(10, builtTable(t, 1), manyInstances(3)), true, false, now)
	a.adopt("peer", content{Revision: 30, AsOf: 30, Base: 20, Removed: []string{"i-00000000"}}, nil, 0, now)
	assert.Len(t, a.view.Instances(), 3)
	assert.Equal(t, uint64(10), a.view.AsOf)
}

// A release of hundreds of upstreams at once does not fit into a datagram: routers are told
// of the revision, and read it.
func TestLargeChangeIsReadAndNotTold(t *testing.T) {
	l := listing(12, nil, manyInstances(deltaMost+1))
	assert.Equal(t, &wire.StoreDelta{From: 10, To: 12, Table: true}, told(deltaOf(l, false, 10)))
	few := told(deltaOf(listing(12, nil, manyInstances(deltaMost)), false, 10))
	require.Len(t, few.Put, deltaMost)
	raw, err := wire.Encode(&wire.Datagram{Work: &wire.Work{Delta: few}})
	require.NoError(t, err)
	assert.Less(t, len(raw), wire.MaxDatagram)
}

// An entry that was missing from a listing after an outage was given time by the router that
// listed, and kept for good by those that read from it: when it was dropped there, no revision
// told of that.
func TestPeersDropWhatTheListingAfterAnOutageDidNotHave(t *testing.T) {
	inNextEra, ok := routing.RevisionIn(1, 8)
	require.True(t, ok)
	for name, asOf := range map[string]uint64{"history gone": 30, "store restored": inNextEra} {
		t.Run(name, func(t *testing.T) {
			a, b, late := viewer(t), viewer(t), viewer(t)
			now := a.now()
			list := manyInstances(3)
			a.take(listing(10, builtTable(t, 1), list), true, false, now)
			carry(t, a, b, builtTable(t, 1))
			carry(t, a, late, builtTable(t, 1))
			a.take(listing(asOf, nil, list[1:]), true, true, now)
			assert.Equal(t, asOf, a.view.Revision, "what is missing is a change that peers are told of")
			carry(t, a, b, nil)
			for _, s := range []*Steerer{a, b} {
				assert.Len(t, s.view.Instances(), 3, "it is given time")
				s.view.Tick(now.Add(2 * routing.LapseGrace))
				assert.Len(t, s.view.Instances(), 2)
			}
			carry(t, a, late, nil)
			assert.Len(t, late.view.Instances(), 2, "it reads after that")
		})
	}
}
