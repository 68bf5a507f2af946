package dispatch

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/silverswitch/silverswitch/internal/core/wire"
	"github.com/silverswitch/silverswitch/internal/routing"
)

// at returns a time in milliseconds after the start.
func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func ms(n int) time.Duration { return time.Duration(n) * time.Millisecond }

// An outage of one link was taken for one of the store, although others had read it all the while.
func TestOutageIsBelievedUnlessTheStoreWasRead(t *testing.T) {
	out := outage{at(5000), at(6000)}
	for name, c := range map[string]struct {
		readings [][2]int // end and length in milliseconds
		want     bool
	}{
		"no reading is known":                       {nil, true},
		"read all the while":                        {[][2]int{{6100, 3000}}, false},
		"read up to its end":                        {[][2]int{{6000, 1000}}, false},
		"last reading before its end":               {[][2]int{{5900, 3000}}, true},
		"readings began again with it":              {[][2]int{{4900, 3000}, {6000, 0}, {7000, 1000}}, true},
		"readings began in it":                      {[][2]int{{7000, 1500}}, true},
		"the first reader again, a moment before":   {[][2]int{{6900, 1000}}, true},
		"read all the while, and cut off after it":  {[][2]int{{6100, 3000}, {9000, 0}}, false},
		"read all the while, in two known readings": {[][2]int{{5500, 3000}, {6500, 4000}}, false},
	} {
		before := newOutages()
		for _, r := range c.readings {
			before.read("reader", span{at(r[0] - r[1]), at(r[0])})
		}
		assert.Equal(t, c.want, before.experienced(out), "%s, known before", name)

		after := newOutages()
		require.True(t, after.experienced(out))
		for _, r := range c.readings {
			after.read("reader", span{at(r[0] - r[1]), at(r[0])})
		}
		_, believed := after.latest()
		assert.Equal(t, c.want, believed, "%s, known after", name)
	}
}

// Each router that watched the store reports the end of an outage at its own time. The grace period
// would not end as long as one of them does.
func TestOneOutageIsReportedOnce(t *testing.T) {
	o := newOutages()
	assert.True(t, o.reported(outage{at(1000), at(3000)}))
	assert.False(t, o.reported(outage{at(1200), at(3300)}))
	assert.True(t, o.reported(outage{at(5000), at(9000)}))
	out, _ := o.latest()
	assert.Equal(t, at(9000), out.to)
}

// What is remembered of readings must not grow with the time that a fleet runs.
func TestReadingsAreForgotten(t *testing.T) {
	o := newOutages()
	for i := range 1000 {
		o.read(wire.NodeID(string(rune('a'+i%26))), span{at(i * 20), at(i * 20)})
		o.experienced(outage{at(i * 20), at(i*20 + 10)})
	}
	assert.LessOrEqual(t, len(o.past), maxPastSpans)
	o.read("z", span{at(100_000), at(100_000)})
	assert.Len(t, o.spans, 1)
	assert.Empty(t, o.past)
	assert.Empty(t, o.believed)
}

// One router's outage was believed until the next heartbeat of those that had read the store
// meanwhile, up to a second and a half, in which servers that had left were kept.
func TestReadersContradictAnOutageAtOnce(t *testing.T) {
	f := newFleet(t, 8, 2)
	cut, reader := f.order[0], f.order[1]
	read := func(id wire.NodeID, steady, away time.Duration) {
		f.nodes[id].ReadStore(steady, away, false, f.now)
		f.nodes[id].Step(StoreRead{}, f.now)
	}
	began := f.now
	read(cut, 0, 0)
	read(reader, 0, 0)
	f.run(ms(800))
	read(reader, ms(800), 0)
	f.run(ms(300))
	read(cut, 0, ms(700))
	f.now = f.now.Add(TickInterval)
	checks := 0
	for range 3 {
		for _, id := range f.order {
			for _, o := range f.nodes[id].Ready(f.now) {
				switch o := o.(type) {
				case Send:
					d := *o.Datagram
					d.From = id
					f.nodes[o.To].Step(Receive{Datagram: &d}, f.now)
				case CheckStore:
					checks++
					assert.Equal(t, reader, id)
					f.now = f.now.Add(2 * maxReadingSkew)
					read(reader, f.now.Sub(began), 0)
				}
			}
		}
	}
	assert.Equal(t, 1, checks)
	for _, id := range f.order {
		assert.Zero(t, f.nodes[id].LapseGraceUntil(), "router %s", id)
	}
	assert.True(t, f.nodes[f.order[2]].StoreWasRead(f.now.Add(-ms(200))))
}

// A router of a version before readings told of the time before them is still believed.
func TestOutageWithoutASpanIsBelieved(t *testing.T) {
	f := newFleet(t, 3, 2)
	d := &wire.Dispatch{Reading: &wire.StoreReading{Reader: f.order[0], Inc: 1, No: 9, RecoveredMS: 101}}
	f.nodes[f.order[1]].handleReading(f.order[0], d.Reading, readingSpanOf(d), f.now)
	assert.Equal(t, f.now.Add(routing.LapseGrace-ms(100)), f.nodes[f.order[1]].LapseGraceUntil())
	events := f.nodes[f.order[1]].Ready(f.now)
	assert.True(t, slices.ContainsFunc(events, func(o Output) bool {
		e, ok := o.(Event)
		return ok && e.Name == "source-back-at-peer"
	}))
}

// A router that is back reached one other only, which told of its outage together with readings that
// were known or their receiver's own. Those that had read the store meanwhile did not hear of it.
func TestOutageIsAnsweredWhateverReadingItComesWith(t *testing.T) {
	f := newFleet(t, 8, 2)
	reader, told := f.nodes[f.order[1]], f.nodes[f.order[2]]
	began := f.now
	read := func() {
		reader.ReadStore(f.now.Sub(began), 0, false, f.now)
		reader.Step(StoreRead{}, f.now)
	}
	read()
	f.run(ms(1100))
	read()
	f.run(ms(200))
	told.handleOutage("10.1.0.99:1", &wire.StoreReading{RecoveredMS: 1}, wire.ReadingSpan{AwayMS: 700}, f.now)
	require.False(t, told.LapseGraceUntil().IsZero())
	said := told.store.current(f.now)
	require.Equal(t, f.order[1], said.Reader, "the reading is the receiver's own")
	reader.Ready(f.now)
	told.Tick(f.now.Add(TickInterval))
	asks := func(o Output) bool {
		s, ok := o.(Send)
		return ok && s.To == f.order[1] && s.Datagram.Dispatch != nil && s.Datagram.Dispatch.Reading.RecoveredMS > 0
	}
	assert.True(t, slices.ContainsFunc(told.Ready(f.now), asks), "it is told at once")
	reader.handleReading(f.order[2], said, *told.store.readingSpan(), f.now)
	assert.True(t, slices.ContainsFunc(reader.Ready(f.now), func(o Output) bool { _, ok := o.(CheckStore); return ok }))
}
