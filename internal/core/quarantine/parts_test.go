package quarantine

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/silverswitch/silverswitch/internal/core/wire"
	"github.com/silverswitch/silverswitch/internal/version"
)

var (
	guilty = PartKey{1, 0xbad}
	shared = PartKey{1, 0xf1}
)

// crashAt returns a crash of an attempt that began a tenth of a second before.
func crashAt(up version.ID, at time.Duration) Crash {
	return Crash{Upstream: up, Early: true, Began: start.Add(at - 100*time.Millisecond), At: start.Add(at)}
}

// crashParts records crashes half a second apart, of attempts with the given parts.
func crashParts(l *partList, crashes int, parts ...PartKey) {
	for i := range crashes {
		for _, k := range parts {
			l.addCrash(k, alpha, crashAt(version.ID(10+i), time.Duration(i)*500*time.Millisecond))
		}
	}
}

func heldAt(l *partList, k PartKey, at time.Duration) bool {
	l.update(start.Add(at))
	return l.held[k]
}

// Three consecutive crashes hold a part a second later, unless an attempt that began after a crash
// is answered whole meanwhile.
func TestConsecutiveCrashesHoldPart(t *testing.T) {
	l := newPartList()
	crashParts(l, 3, guilty, shared)
	assert.True(t, l.answer(shared, start.Add(1100*time.Millisecond)))
	assert.False(t, heldAt(l, guilty, 1900*time.Millisecond))
	assert.True(t, heldAt(l, guilty, 2*time.Second))
	assert.False(t, l.held[shared], "it was answered")
	assert.False(t, heldAt(l, PartKey{2, 0xbad}, 2*time.Second), "it is another service's")
	assert.True(t, heldAt(l, guilty, 2*time.Second))
	assert.Positive(t, l.view(func(PartKey) int { return 0 })[1][guilty.Part].Held(start.Add(holdPartDuration)))
}

// An answer to an attempt that began before a crash proves nothing: a part may begin to crash
// upstreams while older streams with it go on.
func TestOlderAnswerDoesNotClearPart(t *testing.T) {
	l := newPartList()
	crashParts(l, 3, guilty)
	assert.False(t, l.answer(guilty, start.Add(-time.Second)))
	assert.True(t, l.answer(guilty, start.Add(200*time.Millisecond)), "it clears the first crash alone")
	assert.False(t, heldAt(l, guilty, time.Minute))
}

// Many requests with the part arrive at once, and their crashes overlap. Five hold the part, a
// second and a half later.
func TestOverlappingCrashesHoldPart(t *testing.T) {
	l := newPartList()
	for up := range version.ID(5) {
		l.addCrash(guilty, alpha, Crash{Upstream: up, Began: start.Add(-time.Second), At: start.Add(time.Duration(up) * time.Millisecond)})
	}
	assert.False(t, heldAt(l, guilty, 1400*time.Millisecond))
	assert.True(t, heldAt(l, guilty, 1600*time.Millisecond))
}

// When a rack loses power, the parts that ran there are answered elsewhere, by requests that are
// tried again or new.
func TestRackOutageHoldsNoPartThatIsAnsweredElsewhere(t *testing.T) {
	l := newPartList()
	for up := range version.ID(6) {
		l.addCrash(shared, alpha, Crash{Upstream: up, Began: start.Add(-time.Second), At: start.Add(time.Duration(up) * time.Millisecond)})
	}
	l.answer(shared, start.Add(50*time.Millisecond))
	assert.False(t, heldAt(l, shared, time.Minute))
	assert.Empty(t, l.parts[shared].crashes)
}

// What ran beside a guilty part again and again, and was never answered since, is not held once
// the guilty one explains its crashes; nor is a request.
func TestCrashesThatAHeldPartExplainHoldNothingElse(t *testing.T) {
	l := newPartList()
	crashParts(l, 5, guilty)
	session := PartKey{1, 0x5e55}
	for _, i := range []int{0, 2, 4} {
		l.addCrash(session, alpha, crashAt(version.ID(10+i), time.Duration(i)*500*time.Millisecond))
	}
	assert.True(t, heldAt(l, guilty, 4*time.Second))
	assert.False(t, l.held[session])

	requests := New()
	for up := range version.ID(3) {
		requests.AddCrash(7, alpha, crash(10+up, true, start))
	}
	assert.True(t, held(requests, 7, start))
	requests.setExplained(l.explained)
	assert.False(t, held(requests, 7, start))
	requests.AddCrash(7, alpha, crash(20, true, start))
	requests.AddCrash(7, alpha, crash(21, true, start))
	assert.True(t, held(requests, 7, start), "it has crashed two that the part does not explain")
}

// Guards against holding what most requests share, where crashes leave nothing to answer: of two
// parts at all crashes the one that was in single attempts is held, and the other is served again.
func TestWidelySharedPartIsNotHeldForTheCrashingOne(t *testing.T) {
	l := newPartList()
	for i := range 5 {
		at := time.Duration(i) * 200 * time.Millisecond
		l.addCrash(guilty, alpha, crashAt(version.ID(10+i), at))
		for range 3 {
			l.addCrash(shared, alpha, crashAt(version.ID(10+i), at))
		}
	}
	l.addCrash(shared, alpha, crashAt(99, -time.Second))
	assert.True(t, heldAt(l, guilty, 1500*time.Millisecond))
	assert.False(t, l.held[shared])
	assert.False(t, heldAt(l, shared, time.Minute), "the other part explains all but one of its crashes")
}

// A widely shared part that crashes upstreams is held, a little later, but within three seconds of
// the fifth crash.
func TestWidelySharedPartThatCrashesIsHeldLater(t *testing.T) {
	l := newPartList()
	for i := range 5 {
		for range 4 {
			l.addCrash(guilty, alpha, crashAt(version.ID(10+i), time.Duration(i)*50*time.Millisecond))
		}
	}
	fifth := 200 * time.Millisecond
	assert.False(t, heldAt(l, guilty, fifth+widePartSettleTime-250*time.Millisecond))
	assert.True(t, heldAt(l, guilty, fifth+widePartSettleTime))
}

// Of two parts that came together each time one is held, which stops both.
func TestOfPartsThatAlwaysCameTogetherOneIsHeld(t *testing.T) {
	l := newPartList()
	crashParts(l, 4, guilty, shared)
	l.update(start.Add(4 * time.Second))
	assert.Len(t, l.held, 1)

	l = newPartList()
	l.addCrash(shared, alpha, crashAt(9, -time.Minute))
	l.answer(shared, start.Add(-time.Second))
	crashParts(l, 4, guilty, shared)
	assert.True(t, heldAt(l, guilty, 4*time.Second), "the other one was answered before")
	assert.False(t, l.held[shared])
}

// A hold ends at one router after the other, so that a trial costs one upstream. A crash after it
// holds the part at once, for twice as long.
func TestHoldOfPartEndsAtOneRouterFirst(t *testing.T) {
	l := newPartList()
	crashParts(l, 3, guilty)
	last := time.Second
	require.True(t, heldAt(l, guilty, last+partSettleTime))
	at := start.Add(last + holdPartDuration)
	state := func(rank int) PartState {
		return l.view(func(PartKey) int { return rank })[1][guilty.Part]
	}
	assert.Zero(t, state(0).Held(at))
	assert.Equal(t, partTrialSpacing, state(1).Held(at))
	l.expire(at)
	l.addCrash(guilty, alpha, crashAt(99, last+holdPartDuration+time.Second))
	l.update(at.Add(time.Second))
	assert.Greater(t, state(0).Held(at.Add(time.Second)), 2*holdPartDuration-time.Second)
	l.expire(at.Add(10 * holdPartDuration))
	assert.Empty(t, l.parts)
}

// One organisation that sends ever new parts displaces its own, and never a held one.
func TestPartsOfOneOrganisationDisplaceItsOwn(t *testing.T) {
	l := newPartList()
	crashParts(l, 3, guilty)
	l.addCrash(PartKey{1, 7}, beta, crashAt(5, 0))
	require.True(t, heldAt(l, guilty, 3*time.Second))
	for i := range 2 * maxParts {
		l.addCrash(PartKey{2, uint64(i)}, alpha, crashAt(6, time.Duration(i)*time.Millisecond))
	}
	assert.Len(t, l.parts, maxParts)
	assert.NotNil(t, l.parts[PartKey{1, 7}])
	assert.NotNil(t, l.parts[guilty])
}

// Whatever routers observe, and in whichever order they exchange records, they hold the same
// parts.
func TestPartListsConvergeAfterExchange(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const routers = 3
		var lists [routers]*partList
		for i := range lists {
			lists[i] = newPartList()
		}
		exchange := func(from, to int) {
			for k := range lists[from].parts {
				w, _ := lists[from].record(k, start)
				lists[to].merge(w, start)
			}
		}
		for range rapid.IntRange(0, 60).Draw(t, "steps") {
			at := rapid.IntRange(0, routers-1).Draw(t, "router")
			k := PartKey{1, uint64(rapid.IntRange(1, 3).Draw(t, "part"))}
			when := -time.Duration(rapid.IntRange(1, 300).Draw(t, "hundredths")) * 10 * time.Millisecond
			switch rapid.IntRange(0, 5).Draw(t, "what") {
			case 0:
				lists[at].answer(k, start.Add(when+5*time.Millisecond))
			case 1:
				exchange(at, rapid.IntRange(0, routers-1).Draw(t, "to"))
			default:
				// An upstream crashes at one time, whoever observes it.
				up := version.ID(-when / (10 * time.Millisecond))
				lists[at].addCrash(k, alpha, Crash{Upstream: up, Began: start.Add(when - 50*time.Millisecond), At: start.Add(when)})
			}
		}
		for range 2 {
			for from := range routers {
				for to := range routers {
					exchange(from, to)
				}
			}
		}
		now := start.Add(10 * time.Second)
		for i := range lists {
			lists[i].update(now)
		}
		for i := 1; i < routers; i++ {
			for part := range uint64(4) {
				k := PartKey{1, part}
				if lists[0].held[k] != lists[i].held[k] {
					t.Fatalf("part %d is held at one router alone: %+v, %+v", part, lists[0].parts[k], lists[i].parts[k])
				}
			}
			if lists[0].checksum() != lists[i].checksum() {
				t.Fatalf("checksums differ")
			}
		}
	})
}

// attempt returns a broken attempt with parts.
func attempt(began time.Time, parts ...PartKey) Attempt {
	return Attempt{Content: 7, Org: alpha, Parts: parts, Began: began, Early: true, Lost: true}
}

// An unframed answer that ended with its upstream is a crash; one that ended before is whole once
// the upstream has answered a later attempt, or nothing is heard of its end in time.
func TestUnframedAnswerCountsByWhatBecomesOfItsUpstream(t *testing.T) {
	tr := NewTracker("a")
	now := start
	answer := func(up version.ID, k PartKey, framed bool) {
		tr.AnsweredBy(up, Answer{Parts: []PartKey{k}, Began: now.Add(-100 * time.Millisecond), Framed: framed, Content: 9, Org: alpha}, now)
	}
	sound := PartKey{1, 5}
	answer(1, sound, false)
	now = now.Add(300 * time.Millisecond)
	answer(1, guilty, false)
	now = now.Add(20 * time.Millisecond)
	running, isNew := tr.Ended(1, 1, now)
	assert.True(t, isNew)
	assert.Equal(t, 1, running)
	assert.Len(t, tr.parts.parts[guilty].crashes, 1)
	assert.Nil(t, tr.parts.parts[sound], "it had ended before")

	tr.parts.addCrash(sound, alpha, Crash{Upstream: 50, Began: now.Add(-time.Second), At: now.Add(-500 * time.Millisecond)})
	answer(2, sound, false)
	assert.Len(t, tr.parts.parts[sound].crashes, 1, "its upstream may just have ended")
	now = now.Add(200 * time.Millisecond)
	answer(2, PartKey{1, 6}, true)
	assert.Empty(t, tr.parts.parts[sound].crashes, "the upstream has answered since")

	tr.parts.addCrash(sound, alpha, Crash{Upstream: 51, Began: now.Add(-time.Second), At: now.Add(-500 * time.Millisecond)})
	now = now.Add(200 * time.Millisecond)
	answer(3, sound, false)
	now = now.Add(suspectAttemptTTL)
	tr.Tick(now)
	assert.Empty(t, tr.parts.parts[sound].crashes)
}

// Parts that are cleared at once are never announced, and a part that another router has told of
// is not announced again.
func TestPartsAreAnnouncedOnceTheyStayUncleared(t *testing.T) {
	a, b := NewTracker("a"), NewTracker("b")
	a.AttemptIncomplete(1, attempt(start, guilty, shared), start)
	a.Ended(1, 1, start)
	assert.Empty(t, a.TickParts(start))
	a.AnsweredBy(2, Answer{Parts: []PartKey{shared}, Began: start.Add(30 * time.Millisecond), Framed: true}, start.Add(100*time.Millisecond))
	records := a.TickParts(start.Add(partAnnounceDelay))
	require.Len(t, records, 1)
	assert.Equal(t, guilty.Part, records[0].Part)

	b.AttemptIncomplete(1, attempt(start, guilty), start)
	b.Ended(1, 1, start)
	b.HandleParts("a", &wire.PartUpdate{Records: records}, start.Add(partAnnounceDelay))
	assert.Empty(t, b.TickParts(start.Add(partAnnounceDelay+announceInterval)))
}

// Two sides of a cut hold different parts; a router that starts holds none. They agree once they
// hear each other.
func TestHeldPartsAreExchangedWhereChecksumsDiffer(t *testing.T) {
	a, b := NewTracker("a"), NewTracker("b")
	crashParts(a.parts, 3, guilty)
	now := start.Add(5 * time.Second)
	a.TickParts(now)
	require.NotZero(t, a.PartsChecksum())
	reply := b.HandleParts("a", &wire.PartUpdate{HasChecksum: true, Checksum: a.PartsChecksum()}, now)
	require.NotNil(t, reply)
	assert.Nil(t, b.HandleParts("a", &wire.PartUpdate{HasChecksum: true, Checksum: a.PartsChecksum()}, now), "at most once a second")
	held := a.HandleParts("b", reply, now)
	require.NotNil(t, held)
	b.HandleParts("a", held, now)
	b.TickParts(now)
	assert.Equal(t, a.PartsChecksum(), b.PartsChecksum())
	assert.True(t, b.parts.held[guilty])
	assert.Nil(t, b.HandleParts("a", &wire.PartUpdate{HasChecksum: true, Checksum: a.PartsChecksum()}, now.Add(time.Minute)))
}
