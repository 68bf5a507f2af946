package tokens

import (
	"maps"
	"slices"
	"time"

	"github.com/silverswitch/silverswitch/internal/core/wire"
	"github.com/silverswitch/silverswitch/internal/dispatch"
	"github.com/silverswitch/silverswitch/internal/engine"
	"github.com/silverswitch/silverswitch/internal/routing"
)

// Engines that say nothing for a moment and go on where they were. A router asks for a second placement
// beside a silent one, as internal/request/forward does, and goes on with whichever engine is heard
// first. Nobody may end with nothing for a silence, and second runs stay within the retry budget.

// Silences selects when engines are silent.
type Silences struct {
	At     []time.Duration // since the first request
	Lasts  time.Duration
	Ratio  float64 // of the engines, rounded up
	Slack  int     // of the retry budget
	GiveUp bool    // routers end a silent attempt before they ask for another placement, to compare with
}

const (
	// minEventGapLimit is the silence within an answer after which a second placement is requested.
	minEventGapLimit = 700 * time.Millisecond
	// silenceOverlap is how long two engines may work on one stream.
	silenceOverlap = 250 * time.Millisecond
	// maxPauseWaited is how long the silence of all engines is waited out.
	maxPauseWaited = 2500 * time.Millisecond
	// silenceTick is how often silences are looked for, and askAgainAfter how soon after a refusal
	// another placement is requested.
	silenceTick   = 20 * time.Millisecond
	askAgainAfter = 500 * time.Millisecond
)

// SilenceResult is what became of the calls at silent engines.
type SilenceResult struct {
	Silent  int // calls whose engine was silent for too long
	Sent    int // to a second engine
	Refused int // second placements
	Second  int // that went on at the second engine
	Nothing int // that had an engine and ended with nothing, or with the beginning of an answer
	Late    int // whose answer was still going on when their time was over
	// Repeats is how often requests were sent to a second engine in the window of the retry budget that
	// has the most of what is allowed, and Allowed what is allowed in it.
	Repeats int
	Allowed float64
}

// silences is the state of a run with silences.
type silences struct {
	until   map[string]time.Time // by engine
	heardAt map[wire.NodeID]map[string]time.Time
	seconds map[uint64]*call // by the ID of the second placement
}

// secondRun is a call's second placement.
type secondRun struct {
	id     uint64 // 0 for none
	engine string // once it is sent
	sentAt time.Time
	askAt  time.Time // when another one may be requested
}

func (w *world) bootSilences() {
	w.silences = silences{until: map[string]time.Time{}, heardAt: map[wire.NodeID]map[string]time.Time{}, seconds: map[uint64]*call{}}
	for _, id := range w.order {
		w.silences.heardAt[id] = map[string]time.Time{}
	}
}

func (w *world) retryRules() dispatch.RetryRules {
	rules := dispatch.DefaultRetryRules
	if w.Silences != nil {
		rules.Slack = w.Silences.Slack
	}
	return rules
}

func (w *world) isSilent(engine string) bool { return w.silences.until[engine].After(w.now) }

// tickSilences begins silences and looks for calls at silent engines.
func (w *world) tickSilences() {
	s := w.Silences
	if s == nil {
		return
	}
	for _, at := range s.At {
		if w.now.Equal(startTime.Add(warmUpDuration + at)) {
			for _, id := range w.ids[:int(s.Ratio*float64(len(w.ids))+0.99)] {
				w.silences.until[id] = w.now.Add(s.Lasts)
			}
		}
	}
	if w.now.Sub(startTime)%silenceTick != 0 {
		return
	}
	for _, no := range slices.Sorted(maps.Keys(w.calls)) {
		if c := w.calls[no]; c.engine != "" {
			w.watchSilence(c)
		}
	}
}

// watchSilence takes the next step for a call that has an engine.
func (w *world) watchSilence(c *call) {
	since := c.sentAt
	if c.heardAt.After(since) {
		since = c.heardAt
	}
	limit := minEventGapLimit
	if c.heardAt.IsZero() {
		limit = max(silenceTargetFactor*c.class.target, 4*time.Duration(c.expectedMS)*time.Millisecond+600*time.Millisecond)
	}
	b := &c.beside
	switch {
	case w.now.After(c.req.Deadline):
		w.endOverdueCall(c, w.now.Sub(since) < limit)
	case b.engine != "":
		if w.now.Sub(b.sentAt) > silenceOverlap {
			w.goOnAtSecond(c)
		}
	case b.id != 0 || c.sends >= routeAttempts || w.now.Sub(since) < limit || w.now.Before(b.askAt):
	case w.Silences.GiveUp:
		w.res.Silence.Silent++
		w.engines[c.engine].Cancel(c.req.ID)
		w.attemptFailed(c, wire.ProgressFailed)
	case !w.servicePauses(c.router, since):
		if b.askAt.IsZero() {
			w.res.Silence.Silent++
		}
		w.askBeside(c)
	}
}

// servicePauses reports whether a router has calls at two engines or more, and heard none of them in
// the second half of a silence.
func (w *world) servicePauses(router wire.NodeID, since time.Time) bool {
	half, silent := since.Add(w.now.Sub(since)/2), map[string]bool{}
	for _, c := range w.calls {
		if c.router == router && c.engine != "" && c.sentAt.Before(half) {
			silent[c.engine] = true
		}
	}
	for _, at := range w.silences.heardAt[router] {
		if at.After(half) {
			return false
		}
	}
	return len(silent) >= 2 && w.now.Sub(since) < maxPauseWaited
}

// askBeside requests a second placement for a call.
func (w *world) askBeside(c *call) {
	w.lastID++
	c.beside.id = w.lastID
	w.silences.seconds[c.beside.id] = c
	var silent []routing.Instance
	for _, i := range w.releases.list {
		if w.isSilent(i.ID) && w.silences.heardAt[c.router][i.ID].Before(w.now.Add(-minEventGapLimit)) {
			silent = append(silent, i)
		}
	}
	w.deliverInput(c.router, dispatch.PlaceBeside{ID: c.req.ID, NewID: c.beside.id, Avoid: silent})
}

// decidedBeside handles the outcome of a second placement, and reports whether it is one.
func (w *world) decidedBeside(id uint64, p *dispatch.Placement) bool {
	c := w.silences.seconds[id]
	if c == nil {
		return false
	}
	if p == nil {
		delete(w.silences.seconds, id)
		w.res.Silence.Refused++
		c.beside = secondRun{askAt: w.now.Add(askAgainAfter)}
		return true
	}
	w.countSend(c)
	w.res.Silence.Sent++
	c.beside.engine, c.beside.sentAt = p.Instance.ID, w.now
	if !w.engines[p.Instance.ID].Add(engine.Request{ID: id, Parts: c.parts, Output: c.output}, w.now) {
		w.endBeside(c)
	}
	return true
}

// endBeside cancels a call's second placement, if there is one.
func (w *world) endBeside(c *call) {
	if b := c.beside; b.id != 0 {
		if b.engine != "" {
			w.engines[b.engine].Cancel(b.id)
		}
		delete(w.silences.seconds, b.id)
		w.deliverInput(c.router, dispatch.End{ID: b.id, Event: wire.ProgressUnused})
		c.beside = secondRun{askAt: w.now.Add(askAgainAfter)}
	}
}

// goOnAtSecond gives a call's first engine up for the second.
func (w *world) goOnAtSecond(c *call) {
	w.res.Silence.Second++
	w.engines[c.engine].Cancel(c.req.ID)
	delete(w.calls, c.req.ID)
	w.deliverInput(c.router, dispatch.End{ID: c.req.ID, Event: wire.ProgressFailed})
	delete(w.silences.seconds, c.beside.id)
	c.goesOn = !c.heardAt.IsZero()
	c.req.ID, c.engine, c.sentAt, c.beside = c.beside.id, c.beside.engine, c.beside.sentAt, secondRun{}
	w.calls[c.req.ID] = c
}

// heard handles an event as its router hears it: an event of the second engine gives the first up, one
// of the first cancels the second. It returns the call, nil if the event is of none.
func (w *world) heard(id string, ev *engine.Event) *call {
	if w.Silences == nil {
		return w.calls[ev.ID]
	}
	c := w.calls[ev.ID]
	if s := w.silences.seconds[ev.ID]; s != nil {
		w.goOnAtSecond(s)
		c = s
	}
	if c == nil {
		return nil
	}
	w.endBeside(c)
	ev.At = w.now // it may have been held back by a silence
	c.heardAt = w.now
	w.silences.heardAt[c.router][id] = w.now
	return c
}

// endOverdueCall ends a call whose time is over. flows says that its answer was still going on.
func (w *world) endOverdueCall(c *call, flows bool) {
	if flows {
		w.res.Silence.Late++
	} else {
		w.res.Silence.Nothing++
	}
	w.endBeside(c)
	w.engines[c.engine].Cancel(c.req.ID)
	delete(w.calls, c.req.ID)
	w.deliverInput(c.router, dispatch.End{ID: c.req.ID, Event: wire.ProgressFailed})
}
