package process

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/silverswitch/silverswitch/internal/conn"
	"github.com/silverswitch/silverswitch/internal/core/wire"
	"github.com/silverswitch/silverswitch/internal/dispatch"
	"github.com/silverswitch/silverswitch/internal/routing"
)

// The emulated fleet below has real controllers and readings of the store in virtual time, with
// links to the store and between the routers that can be cut, and a store that can be away.

const (
	// maxGoneInUse is how long a router in touch may go on listing an upstream that has left: less
	// than the 2 s for which an upstream serves after its entry was removed.
	maxGoneInUse = time.Second
	// watchTimeoutSlack is how long after its wait a watch without an answer fails.
	watchTimeoutSlack = 700 * time.Millisecond
	// largeFleet is a number of routers that do not all send to each other.
	largeFleet = 96
)

// emulatedStore is the platform's store.
type emulatedStore struct {
	revision uint64
	entries  map[string]routing.Instance
	changes  []Change
	away     bool // answers nobody
	silent   bool // and connections hang in place of being reset
}

func (s *emulatedStore) put(i routing.Instance) {
	s.revision++
	i.Revision = s.revision
	s.entries[i.ID] = i
	s.changes = append(s.changes, Change{Revision: s.revision, Put: &i})
}

func (s *emulatedStore) remove(id string) {
	s.revision++
	delete(s.entries, id)
	s.changes = append(s.changes, Change{Revision: s.revision, Removed: id})
}

func (s *emulatedStore) since(after uint64) Listing {
	l := Listing{AsOf: s.revision}
	for _, c := range s.changes {
		if c.Revision > after {
			l.Changes = append(l.Changes, c)
		}
	}
	return l
}

// emulatedRouter is a controller and its watch of the store.
type emulatedRouter struct {
	*RoutedController
	history  sourceHistory
	cut      bool // from the store
	alone    bool // from the other routers
	listed   bool
	asked    time.Time // when the present watch began, zero for none
	askAt    time.Time
	after    uint64    // revision from which it watches
	checkAt  time.Time // when a check is answered, zero for none
	pause    time.Duration
	events   []dispatch.Event
	lateness time.Duration // of its answers, by a slow CPU
}

type emulatedFleet struct {
	t       *testing.T
	now     time.Time
	table   *routing.Table
	store   emulatedStore
	routers []*emulatedRouter
	rnd     *rand.Rand
}

func newEmulatedFleet(t *testing.T, routers, upstreams int) *emulatedFleet {
	f := &emulatedFleet{t: t, now: time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC), table: builtTable(t, 1), store: emulatedStore{entries: map[string]routing.Instance{}}, rnd: rand.New(rand.NewPCG(uint64(routers), 7))}
	for _, i := range manyInstances(upstreams) {
		f.store.put(i)
	}
	for range routers {
		f.addRouter()
	}
	f.run(4 * time.Second)
	for _, r := range f.routers {
		require.Len(t, r.view.Instances(), upstreams, "router %s", r.id)
	}
	return f
}

func (f *emulatedFleet) addRouter() *emulatedRouter {
	i := len(f.routers)
	address := func(i int) wire.NodeID { return wire.NodeID(fmt.Sprintf("10.1.%d.%d:1", i/200, i%200)) }
	set := dispatch.Settings{ID: address(i), Inc: 1, Place: []string{"p", "q", "r"}[i%3], Seeds: []wire.NodeID{address(0), address(1), address(2)}, Retry: dispatch.DefaultRetryRules, Seed: uint64(i)}
	rc := NewRoutedController(set, failingSource{}, nil, nil, conn.NewExchanges(), zerolog.Nop())
	rc.node = dispatch.New(set, f.now)
	r := &emulatedRouter{RoutedController: rc, askAt: f.now, pause: minSourceRetryPause}
	f.routers = append(f.routers, r)
	return r
}

func (f *emulatedFleet) router(id wire.NodeID) *emulatedRouter {
	for _, r := range f.routers {
		if r.id == id {
			return r
		}
	}
	return nil
}

func (f *emulatedFleet) run(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); {
		f.step()
	}
}

func (f *emulatedFleet) step() {
	f.now = f.now.Add(dispatch.TickInterval)
	for _, r := range f.routers {
		f.read(r)
		r.tick(f.now)
	}
	f.deliver()
}

// read goes on with a router's reading of the store, as sourceWatcher does.
func (f *emulatedFleet) read(r *emulatedRouter) {
	if !r.checkAt.IsZero() && !f.now.Before(r.checkAt) && !r.asked.IsZero() { // checks run beside a watch
		r.checkAt = time.Time{}
		if !r.cut && !f.store.away {
			f.answer(r)
		}
	}
	reset := r.cut || f.store.away && !f.store.silent
	hangs := f.store.away && f.store.silent
	switch {
	case !r.node.Watches(f.now):
		r.history, r.asked = sourceHistory{}, time.Time{}
	case r.asked.IsZero() && f.now.Before(r.askAt):
	case reset, hangs && !r.asked.IsZero() && f.now.Sub(r.asked) >= sourceWatchTimeout+watchTimeoutSlack:
		r.history.failed(f.now)
		r.node.Step(dispatch.StoreUnreachable{}, f.now)
		r.asked, r.askAt, r.pause = time.Time{}, f.now.Add(r.pause), min(2*r.pause, maxSourceRetryPause)
	case r.asked.IsZero():
		r.asked, r.after = f.now, r.view.AsOf
	case hangs:
	case !r.listed || f.store.revision > r.after || f.now.Sub(r.asked) >= sourceWatchTimeout+r.lateness:
		f.answer(r)
	}
}

func (f *emulatedFleet) answer(r *emulatedRouter) {
	l := f.store.since(r.after)
	whole := !r.listed && r.view.AsOf == 0
	if whole {
		l = listing(f.store.revision, f.table, nil)
		for _, i := range f.store.entries {
			l.Changes = append(l.Changes, Change{Revision: i.Revision, Put: &i})
		}
	}
	r.applyListing(l, whole, r.history.answered(f.now), f.now)
	r.listed, r.asked, r.askAt, r.pause = true, time.Time{}, f.now.Add(sourceBatchDelay), minSourceRetryPause
}

func (f *emulatedFleet) deliver() {
	for moved := true; moved; {
		moved = false
		for _, r := range f.routers {
			for _, o := range r.node.Ready(f.now) {
				moved = f.carryOut(r, o) || moved
			}
		}
	}
}

// carryOut carries out an output of a router, and reports whether others may have outputs by it.
func (f *emulatedFleet) carryOut(r *emulatedRouter, o dispatch.Output) bool {
	switch o := o.(type) {
	case dispatch.Send:
		if to := f.router(o.To); to != nil && !r.alone && !to.alone {
			raw, err := wire.Encode(o.Datagram)
			require.NoError(f.t, err)
			d, err := wire.Decode(raw)
			require.NoError(f.t, err)
			d.From = r.id
			to.receive(d, f.now)
		}
	case dispatch.CheckStore:
		r.checkAt = f.now.Add(sourceCheckWait)
	case dispatch.ApplyDelta:
		r.applyPeerDelta(o, f.now)
	case dispatch.FetchContent:
		f.fetch(r, f.router(o.From))
	case dispatch.UpstreamLeaving:
		if r.view.MarkDraining(o.Instance) { // as drainUpstream does
			r.publish(f.now)
		}
	case dispatch.Event:
		r.events = append(r.events, o)
		return false
	default:
		return false
	}
	return true
}

// fetch transfers content in its encoded form.
func (f *emulatedFleet) fetch(to, from *emulatedRouter) {
	defer to.node.Step(dispatch.FetchContentEnded{}, f.now)
	if from == nil || from.alone || to.alone {
		return
	}
	c := from.contentFor(to.knownRevision(), f.now)
	if c == nil {
		return
	}
	raw, err := cbor.Marshal(c)
	require.NoError(f.t, err)
	var got content
	require.NoError(f.t, cbor.Unmarshal(raw, &got))
	table := f.table
	if len(got.TableRaw) == 0 {
		table = nil
	}
	to.applyPeerContent(from.id, got, table, len(raw), f.now)
}

func (r *emulatedRouter) lists(id string) bool {
	return slices.ContainsFunc(r.view.Instances(), func(i routing.Instance) bool { return i.ID == id })
}

// watchers returns the routers that read the store.
func (f *emulatedFleet) watchers() (out []*emulatedRouter) {
	for _, r := range f.routers {
		if r.node.Watches(f.now) {
			out = append(out, r)
		}
	}
	return out
}

// requireGoneSoon removes an upstream's entry and requires that routers in touch cease to list it.
func (f *emulatedFleet) requireGoneSoon(id string, inTouch func(*emulatedRouter) bool, about string) {
	f.store.remove(id)
	f.run(maxGoneInUse)
	for _, r := range f.routers {
		if inTouch(r) {
			require.False(f.t, r.lists(id), "%s: router %s lists %s %v after its entry was removed", about, r.id, id, maxGoneInUse)
		}
	}
}

// One machine's link to the store made the whole fleet keep servers that had left for 2.3 s: the
// end of its outage was taken for one of the store. The same by several links, one after the other
// or at once, and by a router that is cut off altogether.
func TestServersThatLeaveAfterOneLinkIsBackAreDropped(t *testing.T) {
	t.Parallel()
	for name, victims := range map[string]func(f *emulatedFleet) []*emulatedRouter{
		"a watcher":    func(f *emulatedFleet) []*emulatedRouter { return f.watchers()[:1] },
		"a seed":       func(f *emulatedFleet) []*emulatedRouter { return f.routers[:1] },
		"two watchers": func(f *emulatedFleet) []*emulatedRouter { return f.watchers()[:2] },
		"a whole place": func(f *emulatedFleet) []*emulatedRouter {
			return []*emulatedRouter{f.routers[1], f.routers[4], f.routers[7]}
		},
	} {
		for _, alone := range []bool{false, true} {
			for _, cutFor := range []time.Duration{700 * time.Millisecond, 3200 * time.Millisecond} {
				about := fmt.Sprintf("%s, cut off for %v, from the routers too: %t", name, cutFor, alone)
				f := newEmulatedFleet(t, 8, 20)
				for i := range 3 {
					cut := victims(f)
					for _, r := range cut {
						r.cut, r.alone = true, alone
					}
					f.run(cutFor)
					for _, r := range cut {
						r.cut, r.alone = false, false
					}
					f.run(time.Duration(f.rnd.IntN(500)) * time.Millisecond)
					f.requireGoneSoon(fmt.Sprintf("i-%08x", i), func(r *emulatedRouter) bool { return !slices.Contains(cut, r) }, about)
					f.run(2 * time.Second)
					for _, r := range f.routers {
						require.False(t, r.lists(fmt.Sprintf("i-%08x", i)), "%s: %s", about, r.id)
					}
				}
			}
		}
	}
}

// A reader's span must be told whole: one link may be cut for longer than any number that bounds it.
func TestServersThatLeaveAfterALongCutAreDropped(t *testing.T) {
	t.Parallel()
	f := newEmulatedFleet(t, 8, 20)
	r := f.watchers()[0]
	r.cut = true
	f.run(2 * time.Minute)
	r.cut = false
	f.run(250 * time.Millisecond)
	f.requireGoneSoon("i-00000000", func(other *emulatedRouter) bool { return other != r }, "two minutes")
}

// A router that was cut off keeps a server that left meanwhile only until it hears that others have
// read the store all the while.
func TestRouterThatWasCutOffDropsWhatLeftMeanwhile(t *testing.T) {
	f := newEmulatedFleet(t, 8, 20)
	r := f.watchers()[0]
	r.cut, r.alone = true, true
	f.run(time.Second)
	f.store.remove("i-00000000")
	f.run(2 * time.Second)
	require.True(t, r.lists("i-00000000"))
	r.cut, r.alone = false, false
	f.run(maxGoneInUse)
	assert.False(t, r.lists("i-00000000"))
	for _, other := range f.routers {
		assert.Empty(t, other.view.Lapsing(f.now), "router %s", other.id)
	}
}

// Two links that fail in turn, so that one of the two is cut off nearly all the time.
func TestServersThatLeaveWhileLinksFlapAreDropped(t *testing.T) {
	f := newEmulatedFleet(t, 8, 20)
	a, b := f.watchers()[0], f.watchers()[1]
	for i := range 10 {
		a.cut, b.cut = i%2 == 0, i%2 == 1
		f.run(900 * time.Millisecond)
		id := fmt.Sprintf("i-%08x", i)
		f.requireGoneSoon(id, func(r *emulatedRouter) bool { return r != a && r != b }, fmt.Sprintf("round %d", i))
	}
}

// After a true outage of the store live servers whose entries lapsed in it are back within two
// seconds. No router may drop them meanwhile: not one that did not notice the outage, started in
// it or was cut off then.
func TestLiveServersAreKeptAfterATrueOutage(t *testing.T) {
	t.Parallel()
	for _, silent := range []bool{false, true} {
		for _, away := range []time.Duration{1500 * time.Millisecond, 2200 * time.Millisecond, 4 * time.Second, 9 * time.Second} {
			for _, lapseAfter := range []time.Duration{-time.Millisecond, 30 * time.Millisecond, 600 * time.Millisecond} {
				if silent && away < minSilentOutage {
					continue // a reading may wait for as long without an outage
				}
				about := fmt.Sprintf("away for %v, silent: %t, entries lapse %v after it", away, silent, lapseAfter)
				f := newEmulatedFleet(t, 8, 12)
				alone := f.watchers()[0]
				f.store.away, f.store.silent = true, silent
				f.run(away / 3)
				alone.alone = true
				started := f.addRouter()
				f.run(away - away/3)
				lapsed := []routing.Instance{}
				for i := range 6 {
					lapsed = append(lapsed, f.store.entries[fmt.Sprintf("i-%08x", i)])
				}
				lapse := func() {
					for _, i := range lapsed {
						f.store.remove(i.ID)
					}
				}
				if lapseAfter < 0 {
					lapse()
				}
				f.store.away = false
				if lapseAfter >= 0 {
					f.run(lapseAfter)
					lapse()
				}
				requireKept := func() {
					for _, r := range f.routers {
						if r == started && len(r.view.Instances()) == 0 {
							continue // it has no content yet
						}
						for _, i := range lapsed {
							require.True(t, r.lists(i.ID), "%s: router %s (cut off: %t, started in it: %t) has dropped %s", about, r.id, r == alone, r == started, i.ID)
						}
					}
				}
				for back := f.now.Add(1700*time.Millisecond - max(0, lapseAfter)); f.now.Before(back); {
					f.step()
					requireKept()
					alone.alone = f.now.Before(back.Add(-time.Second))
				}
				for _, i := range lapsed {
					f.store.put(i)
				}
				for end := f.now.Add(3 * time.Second); f.now.Before(end); {
					f.step()
					requireKept()
				}
				f.requireGoneSoon("i-0000000b", func(*emulatedRouter) bool { return true }, about)
			}
		}
	}
}

// The readings of most routers of a large fleet reach it through others.
func TestLargeFleetTellsOneLinkFromTheStore(t *testing.T) {
	t.Parallel()
	f := newEmulatedFleet(t, largeFleet, 10)
	r := f.watchers()[0]
	r.cut, r.alone = true, true
	f.run(1500 * time.Millisecond)
	r.cut, r.alone = false, false
	f.run(200 * time.Millisecond)
	f.requireGoneSoon("i-00000000", func(other *emulatedRouter) bool { return other != r }, "a large fleet")

	f.store.away = true
	f.run(2500 * time.Millisecond)
	f.store.away = false
	f.run(30 * time.Millisecond)
	lapsed := f.store.entries["i-00000001"]
	f.store.remove(lapsed.ID)
	for range 8 {
		f.run(200 * time.Millisecond)
		for _, r := range f.routers {
			require.True(t, r.lists(lapsed.ID), "router %s", r.id)
		}
	}
}

// A router that has read the store all the while fetched content from one whose link was cut, and
// took over from it what it had itself dropped.
func TestMissingEntriesOfAPeerAreNotTakenOverWhereTheStoreWasRead(t *testing.T) {
	steady, cut, started := newTestController(t), newTestController(t), newTestController(t)
	now := steady.now()
	list := manyInstances(3)
	for _, rc := range []*RoutedController{steady, cut} {
		rc.applyListing(listing(10, builtTable(t, 1), list), true, reading{}, now)
	}
	now = now.Add(time.Second)
	steady.applyListing(Listing{AsOf: 10}, false, reading{steady: true}, now)
	steady.applyListing(Listing{AsOf: 11, Changes: []Change{{Revision: 11, Removed: list[0].ID}}}, false, reading{steady: true}, now)
	cut.applyListing(Listing{AsOf: 12, Changes: []Change{{Revision: 11, Removed: list[0].ID}, {Revision: 12, Put: &list[1]}}}, false, reading{away: 700 * time.Millisecond}, now)
	c := cut.contentFor(contentRevision{}, now)
	require.Len(t, c.Lapsing, 1)
	steady.applyPeerContent("peer", *c, nil, 0, now)
	assert.Len(t, steady.view.Instances(), 2)
	started.applyPeerContent("peer", *c, nil, 0, now)
	assert.Len(t, started.view.Instances(), 3, "a router that knows nothing of it keeps them")
}
