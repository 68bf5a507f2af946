package tokens

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/silverswitch/silverswitch/internal/core/wire"
	"github.com/silverswitch/silverswitch/internal/dispatch"
	"github.com/silverswitch/silverswitch/internal/dispatch/pace"
	"github.com/silverswitch/silverswitch/internal/engine"
)

// PaceLoad is a deployment whose engines need longer for an event than its target allows, while
// they prefill without a break. It is scaled to a few engines.
type PaceLoad struct {
	engine          engine.Config
	engines         int
	slowness        []float64 // of the engines, in turn
	stallRatio      float64   // fraction of the time in which an engine takes longer for a moment
	gap             time.Duration
	tokensPerSecond float64
	classes         []class
	// shiftClass is sent shiftFactor times as often in each third shiftPeriod.
	shiftClass  int
	shiftFactor float64
}

const (
	// Stalls: an engine takes stallFactor times as long for stallDuration at a time.
	stallFactor   = 2.5
	stallDuration = 600 * time.Millisecond
	oftenStalled  = 0.15 // stallRatio of LoadA
	shiftPeriod   = 2 * time.Second
	// outputSigma is how far answers are longer or shorter than estimated, as the standard
	// deviation of a log-normal distribution with the median 1.
	outputSigma = 0.6
	// maxOutputRatio bounds how much longer an answer is than estimated.
	maxOutputRatio = 3.0
)

// PaceResult counts the streams of a run after learnDuration.
type PaceResult struct {
	Asked, OnTime, FirstLate, GapLate, Cut, Refused int
	SlowLate                                        int // of GapLate, those at engines that are slower than usual
}

// LoadA has engines of two speeds that stall at times, and a target of 250 ms.
func LoadA() *PaceLoad {
	const scale = 12.0 / 60
	return &PaceLoad{
		engine: engine.Config{Slots: 32, MemoryTokens: 608_736, StepMS: 3.88, StepPerRequestMS: 0.0276, StepPer1KContextMS: 0.00365, PrefillTokensPerMS: 66.2,
			PrefillChunkTokens: 1024, EventTokens: 7, FetchTokensPerMS: 420, FetchSetupMS: 1.7, RequestSetupMS: 12, AttentionMSPerMPairs: 0.276},
		engines: 12, slowness: []float64{0.7, 0.7, 1.7}, stallRatio: oftenStalled, gap: 250 * time.Millisecond, tokensPerSecond: 3_200_000 * scale,
		classes: []class{
			{"long", 260 * scale, 2000, 3382, 60, 6610, 55 * 7, 800 * time.Millisecond, 15 * time.Second, 4, 54_600, 0.9},
			{"chat", 253 * scale, 100, 98, 30, 628, 42 * 7, 300 * time.Millisecond, 12 * time.Second, 20, 6000, 0.9},
			{"short", 387 * scale, 300, 268, 60, 1800, 3 * 7, 400 * time.Millisecond, 3 * time.Second, 8, 9000, 0.9},
		},
		shiftFactor: 1,
	}
}

// LoadB has engines of one speed, and a target of 400 ms.
func LoadB() *PaceLoad {
	const scale = 12.0 / 60
	return &PaceLoad{
		engine: engine.Config{Slots: 48, MemoryTokens: 626_641, StepMS: 2.97, StepPerRequestMS: 0.0222, StepPer1KContextMS: 0.00407, PrefillTokensPerMS: 101,
			PrefillChunkTokens: 4096, EventTokens: 10, FetchTokensPerMS: 420, FetchSetupMS: 1.7, RequestSetupMS: 5, AttentionMSPerMPairs: 0.184},
		engines: 12, slowness: []float64{1}, gap: 400 * time.Millisecond, tokensPerSecond: 5_200_000 * scale,
		classes: []class{
			{"long", 334 * scale, 2000, 3382, 60, 6610, 38 * 10, 600 * time.Millisecond, 12 * time.Second, 4, 54_600, 0.9},
			{"chat", 635 * scale, 100, 98, 30, 628, 29 * 10, 400 * time.Millisecond, 10 * time.Second, 20, 6000, 0.9},
			{"short", 580 * scale, 300, 268, 60, 1800, 2 * 10, 400 * time.Millisecond, 2500 * time.Millisecond, 8, 9000, 0.9},
		},
		shiftFactor: 1,
	}
}

// callPace is what a router measures of a call's stream.
type callPace struct {
	first, last time.Time
	events      int
	longest     time.Duration
	missed      bool
	warnedAt    time.Time
	firstLate   bool
}

func (w *world) classes() []class {
	if w.Pace != nil {
		return w.Pace.classes
	}
	return classes
}

func (w *world) engineCount() int {
	if w.Pace != nil {
		return w.Pace.engines
	}
	return Engines
}

func (w *world) capacity() float64 {
	if w.Pace != nil {
		return w.Pace.tokensPerSecond
	}
	return capacity
}

func (w *world) gapTarget() time.Duration {
	if w.Pace != nil {
		return w.Pace.gap
	}
	return 0
}

// shift returns by how much more a class is sent now.
func (w *world) shift(class int) float64 {
	if w.Pace == nil || class != w.Pace.shiftClass || int(w.now.Sub(startTime)/shiftPeriod)%3 != 0 {
		return 1
	}
	return w.Pace.shiftFactor
}

// drawOutput draws the actual length of an answer.
func (w *world) drawOutput(c *call) {
	c.output = c.req.Output
	if w.Pace != nil {
		c.output = max(1, int(min(maxOutputRatio, math.Exp(outputSigma*w.rnd.NormFloat64()))*float64(c.req.Output)))
	}
}

// setSpeeds sets the engines' speeds: their own, and their stalls.
func (w *world) setSpeeds() {
	if w.Pace == nil || w.now.Sub(startTime)%(10*time.Millisecond) != 0 {
		return
	}
	for i, id := range w.ids {
		slow := w.Pace.slowness[i%len(w.Pace.slowness)]
		if w.stallUntil[id].After(w.now) {
			slow *= stallFactor
		} else if ratio := w.Pace.stallRatio; ratio > 0 && w.stallRnd.Float64() < ratio/(1-ratio)*float64(10*time.Millisecond)/float64(stallDuration) {
			w.stallUntil[id] = w.now.Add(stallDuration)
		}
		w.engines[id].SetSlowness(slow)
	}
}

// counted reports whether a call counts in the result: the models have learned the engines.
func (w *world) counted(c *call) bool {
	return w.Pace != nil && c.arrivedAt.Sub(startTime) > warmUpDuration+learnDuration
}

// paceEvent measures an event of a stream as routers do, and reports it to the call's router.
func (w *world) paceEvent(c *call, ev engine.Event) {
	if w.Pace == nil {
		return
	}
	m := &c.pace
	if m.last.IsZero() {
		m.first, m.last = ev.At, ev.At
		m.firstLate = ev.At.Sub(c.arrivedAt) > c.class.target
	} else if gap := ev.At.Sub(m.last); gap > 0 {
		m.events++
		m.last = ev.At
		m.longest = max(m.longest, gap)
		if gap > w.Pace.gap && !m.missed {
			m.missed = true
			m.warnedAt = ev.At
			w.deliverInput(c.router, dispatch.StreamPace{ID: ev.ID, Longest: gap, Missed: true})
		} else if float64(gap) > pace.WarningRatio*float64(w.Pace.gap) && ev.At.Sub(m.warnedAt) >= pace.WarningInterval {
			m.warnedAt = ev.At
			w.deliverInput(c.router, dispatch.StreamPace{ID: ev.ID, Longest: gap, Missed: m.missed})
		}
	}
	if ev.Kind != engine.Done {
		return
	}
	w.deliverInput(c.router, dispatch.StreamPace{ID: ev.ID, Events: m.events, Took: m.last.Sub(m.first), Longest: m.longest, Missed: m.missed})
	if !w.counted(c) {
		return
	}
	r := &w.res.Pace
	switch {
	case m.firstLate:
		r.FirstLate++
	case m.missed:
		r.GapLate++
		if w.Pace.slowness[slices.Index(w.ids, c.engine)%len(w.Pace.slowness)] > 1 {
			r.SlowLate++
		}
	default:
		r.OnTime++
	}
}

// endOverdue ends the calls whose deadline has passed, as their callers do.
func (w *world) endOverdue() {
	if w.Pace == nil || w.now.Sub(startTime)%(50*time.Millisecond) != 0 {
		return
	}
	for _, id := range slices.Sorted(maps.Keys(w.calls)) {
		c := w.calls[id]
		if c.engine == "" || w.now.Before(c.req.Deadline) {
			continue
		}
		w.engines[c.engine].Cancel(id)
		delete(w.calls, id)
		w.deliverInput(c.router, dispatch.End{ID: id, Event: wire.ProgressFailed})
		if w.counted(c) {
			w.res.Pace.Cut++
		}
	}
}
