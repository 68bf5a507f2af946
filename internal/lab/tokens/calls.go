package tokens

import (
	"fmt"
	"sort"
	"time"

	"github.com/silverswitch/silverswitch/internal/core/wire"
	"github.com/silverswitch/silverswitch/internal/dispatch"
	"github.com/silverswitch/silverswitch/internal/engine"
)

type call struct {
	class   *class
	org     int
	router  wire.NodeID
	req     dispatch.Request
	parts   []engine.Part
	arrived time.Time
	placed  time.Time
	sent    time.Time
	tries   int
	expect  float64 // milliseconds to the first event
	engine  string
}

func (w *world) place(o dispatch.Place) {
	c := w.calls[o.ID]
	if c == nil || w.nodes[c.router] == nil {
		return
	}
	e := w.engines[o.Instance.ID]
	r := engine.Request{ID: o.ID, Parts: c.parts, Output: c.req.Output}
	for _, id := range w.ids {
		if o.Source != "" && o.Source == "10.9.0."+fmt.Sprint(indexOf(w.ids, id))+":1" {
			r.Source = w.engines[id]
		}
	}
	w.countAgain(c, e, r.Source)
	if !e.Add(r, w.now) {
		w.nodes[c.router].Step(dispatch.End{ID: o.ID, Event: wire.ProgressUnused}, w.now)
		w.res.Refused++
		return
	}
	c.sent, c.engine = w.now, o.Instance.ID
	c.expect = float64(o.WaitMS + o.OwnMS)
}

func indexOf(list []string, s string) int {
	for i, x := range list {
		if x == s {
			return i
		}
	}
	return -1
}

// countAgain counts shared parts that will be read though some engine has read them
// lately.
func (w *world) countAgain(c *call, e *engine.Engine, source engine.Keeper) {
	have := e.Prefix(c.parts)
	if source != nil {
		have = max(have, source.Prefix(c.parts))
	}
	n := 0
	for _, p := range c.parts[:len(c.parts)-1] {
		n += p.Tokens
		if last, used := w.lastUse[p.ID]; n > have && used && w.now.Sub(last) < recent {
			w.res.ReadAgain += p.Tokens
		}
		w.lastUse[p.ID] = w.now
	}
}

func (w *world) refused(o dispatch.Refuse) {
	c := w.calls[o.ID]
	if c == nil {
		return
	}
	delete(w.calls, o.ID)
	w.second(c.org, w.now).waited = true
	if c.tries++; c.tries > 1 {
		w.res.Refused++
		return
	}
	w.again = append(w.again, c)
	w.backAt = append(w.backAt, w.now.Add(o.After))
}

// comeBack sends refused requests again, by another router, when they were told to.
func (w *world) comeBack() {
	var again []*call
	var at []time.Time
	for i, c := range w.again {
		if w.backAt[i].After(w.now) {
			again, at = append(again, c), append(at, w.backAt[i])
			continue
		}
		w.submit(c)
	}
	w.again, w.backAt = again, at
}

func (w *world) first(c *call, at time.Time) {
	w.countBegun(c, at)
	w.pred = append(w.pred, c.expect)
	took := float64(at.Sub(c.sent).Microseconds()) / 1000
	w.seen = append(w.seen, took)
	if c.arrived.Sub(begin) > warmUp+learnIn {
		w.ratios = append(w.ratios, took/max(1, c.expect))
	}
	if at.Sub(c.arrived) > c.class.target {
		w.res.Late++
		return
	}
	w.res.InTarget++
	w.window(c.arrived).got[c.org] += dispatch.Cost(c.req.Input, c.req.Output)
}

func (w *world) result() Result {
	w.owed()
	w.res.Fair = w.fair.least(int(w.For / time.Second))
	for _, e := range w.engines {
		w.res.Fetched += e.Fetched
	}
	for i, q := range Quantiles {
		w.res.Ratio[i] = quantile(w.ratios, q)
		w.res.Predicted[i], w.res.Seen[i] = quantile(w.pred, q), quantile(w.seen, q)
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
