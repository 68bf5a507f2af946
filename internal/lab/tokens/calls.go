package tokens

import (
	"fmt"
	"sort"
	"time"

	"github.com/silverswitch/silverswitch/internal/core/wire"
	"github.com/silverswitch/silverswitch/internal/dispatch"
	"github.com/silverswitch/silverswitch/internal/engine"
)

// call is a caller's request, which is retried once when it is refused.
type call struct {
	class       *class
	org         int
	router      wire.NodeID
	req         dispatch.Request
	parts       []engine.Part
	arrivedAt   time.Time
	placedAt    time.Time
	sentAt      time.Time
	tries       int
	elsewhere   bool      // its next try arrives at another router
	submittedAt time.Time // this try
	expectedMS  float64   // expected time to the first event
	engine      string
	output      int // actual tokens of the answer
	pace        callPace

	held    string // software version of the events that the caller holds, "" for none
	got     bool   // this attempt has brought an event
	counted bool   // in ReleaseResult
	failed  int    // attempts to go on that did not, in a run with losses
	sends   int    // of this attempt to engines

	whileFailing bool // it began while a failing version was listed
	takenUpThere bool // this attempt goes on with a stream at a router out of step

	interrupted *interruptedStream // by the last loss, nil if none

	// In a run with silences:
	heardAt time.Time // last
	goesOn  bool      // its answer goes on at a second engine
	beside  secondRun
}

// sendToEngine sends a placed request to its engine.
func (w *world) sendToEngine(o dispatch.Placement) {
	c := w.calls[o.ID]
	if c == nil || w.nodes[c.router] == nil {
		return
	}
	w.countSend(c)
	if w.sendToFailing(c, o) {
		return
	}
	e := w.engines[o.Instance.ID]
	if e == nil { // it has ended, and its router does not know yet
		w.deliverInput(c.router, dispatch.PlaceAgain{ID: o.ID, Event: wire.ProgressRefused})
		return
	}
	r := engine.Request{ID: o.ID, Parts: c.parts, Output: c.output}
	for _, id := range w.ids {
		if o.Source != "" && o.Source == "10.9.0."+fmt.Sprint(indexOf(w.ids, id))+":1" {
			r.Source = w.engines[id]
		}
	}
	w.countRereads(c, e, r.Source)
	if !e.Add(r, w.now) {
		w.nodes[c.router].Step(dispatch.End{ID: o.ID, Event: wire.ProgressUnused}, w.now)
		w.res.Refused++
		return
	}
	c.sentAt, c.engine = w.now, o.Instance.ID
	c.expectedMS = float64(o.WaitMS + o.PrefillMS)
}

func indexOf(list []string, s string) int {
	for i, x := range list {
		if x == s {
			return i
		}
	}
	return -1
}

// countRereads counts the tokens of shared parts that the engine will read although some
// engine has read them recently.
func (w *world) countRereads(c *call, e *engine.Engine, source engine.PrefixCache) {
	cached := e.Prefix(c.parts)
	if source != nil {
		cached = max(cached, source.Prefix(c.parts))
	}
	n := 0
	for _, p := range c.parts[:len(c.parts)-1] {
		n += p.Tokens
		if last, used := w.lastUsed[p.ID]; n > cached && used && w.now.Sub(last) < rereadWindow {
			w.res.ReadAgain += p.Tokens
		}
		w.lastUsed[p.ID] = w.now
	}
}

// retryRefused schedules the retry of a refused call. After a second refusal the call is
// counted as refused.
func (w *world) retryRefused(o dispatch.Refuse) {
	c := w.calls[o.ID]
	if c == nil {
		return
	}
	delete(w.calls, o.ID)
	if c.sends > 0 && w.Silences != nil {
		w.res.Silence.Nothing++
		return
	}
	if c.held != "" { // its answer breaks off, or its caller could not go on
		if w.Losses != nil {
			w.refusedToGoOn(c, o)
		} else if !c.req.Resumed {
			w.takeUpElsewhere(c)
		}
		return
	}
	w.second(c.org, w.now).waited = true
	if c.tries++; c.tries > 1 {
		w.res.Refused++
		if w.counted(c) {
			w.res.Pace.Refused++
		}
		return
	}
	w.retries = append(w.retries, c)
	w.retryAt = append(w.retryAt, w.now.Add(o.After))
}

// sendRetries submits the refused calls whose retry is due.
func (w *world) sendRetries() {
	var retries []*call
	var times []time.Time
	for i, c := range w.retries {
		if w.retryAt[i].After(w.now) {
			retries, times = append(retries, c), append(times, w.retryAt[i])
			continue
		}
		w.submit(c)
	}
	w.retries, w.retryAt = retries, times
}

// recordFirstEvent records the first event of a call: the predicted and the actual time, and
// whether it met the target.
func (w *world) recordFirstEvent(c *call, at time.Time) {
	w.gotEvent(c)
	w.countStarted(c, at)
	w.predictedMS = append(w.predictedMS, c.expectedMS)
	took := float64(at.Sub(c.sentAt).Microseconds()) / 1000
	w.seenMS = append(w.seenMS, took)
	if c.arrivedAt.Sub(startTime) > warmUpDuration+learnDuration {
		w.ratios = append(w.ratios, took/max(1, c.expectedMS))
	}
	if at.Sub(c.arrivedAt) > c.class.target {
		w.res.Late++
		return
	}
	w.res.InTarget++
	w.window(c.arrivedAt).inTime[c.org] += dispatch.Cost(c.req.Input, c.req.Output)
}

// result returns the measurements at the end of a run.
func (w *world) result() Result {
	w.owed()
	w.worstRepeats()
	w.res.Silence.Repeats, w.res.Silence.Allowed = w.mostRepeats()
	w.res.Fair = w.fair.worst(int(w.Duration / time.Second))
	w.res.Margin = w.fair.margin(int(w.Duration / time.Second))
	for _, e := range w.engines {
		w.res.Fetched += e.Fetched
	}
	for i, q := range Quantiles {
		w.res.Ratio[i] = quantile(w.ratios, q)
		w.res.Predicted[i], w.res.Seen[i] = quantile(w.predictedMS, q), quantile(w.seenMS, q)
	}
	return w.res
}

func quantile(list []float64, q float64) float64 {
	if len(list) == 0 {
		return 0
	}
	sorted := append([]float64(nil), list...)
	sort.Float64s(sorted)
	return sorted[min(len(sorted)-1, int(q*float64(len(sorted))))]
}
