package tokens

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/silverswitch/silverswitch/internal/core/wire"
	"github.com/silverswitch/silverswitch/internal/dispatch"
	"github.com/silverswitch/silverswitch/internal/engine"
	"github.com/silverswitch/silverswitch/internal/routing"
)

// A release whose new version fails: engines that serve no request are added to the sound ones. They
// stay listed for a while. Then they serve, or are replaced by engines that do, perhaps around a loss
// of all routers: streams that could not begin at the failing version have begun at the other one.

// FailingVersion selects how the new version fails, and until when.
type FailingVersion struct {
	Count int // of engines that are added, 0 for a run to compare with
	How   Failure
	At    time.Duration // since the first request; negative: listed all along
	Until time.Duration // since the first request, 0 for the whole run
	End   FailureEnd
}

// String describes a failing version in reports.
func (f FailingVersion) String() string {
	s := fmt.Sprintf("%d, %s", f.Count, f.How)
	if f.At < 0 {
		s += " all along"
	}
	if f.Until == 0 {
		return s
	}
	return fmt.Sprintf("%s, %s at %s", s, f.End, f.Until)
}

// Failure is how an engine fails.
type Failure uint8

// The ways of failing.
const (
	Refuses Failure = iota // connections
	Silent                 // takes requests and does not answer
	Closes                 // connections, once it has read a request
	NotRun                 // states that it did not run the request
)

// String returns a way's name in reports.
func (f Failure) String() string { return [...]string{"refuses", "silent", "closes", "not run"}[f] }

// FailureEnd is what ends the failures.
type FailureEnd uint8

// The ends of failures.
const (
	Recovers FailureEnd = iota // the engines serve
	Replaced                   // engines of the version after the next one take their places
	Removed                    // the engines leave
)

// String returns an end's name in reports.
func (e FailureEnd) String() string { return [...]string{"recovers", "replaced", "removed"}[e] }

const (
	// routeAttempts is how often a router sends a request to engines that fail.
	routeAttempts = 2
	// failureDelay is how long an engine that fails and is not silent takes to do so.
	failureDelay = 2 * time.Millisecond
	// silenceTargetFactor times the target latency is how long an engine may be silent if the request
	// may be sent to another one.
	silenceTargetFactor = 2
)

// FailingResult counts what happened while engines of a failing version were listed. In a run to
// compare with it is the same time.
type FailingResult struct {
	Began, Asked int // attempts at new streams
	// Repeats is how often requests were sent to a further engine in the window of the retry budget
	// that has the most of what is allowed, and AllowedRepeats what is allowed in it.
	Repeats        int
	AllowedRepeats float64
}

// failing is the state of a run with a failing version.
type failing struct {
	engines       map[string]bool // that fail
	sent, repeats []time.Time     // requests, and sends to a further engine
}

// planFailing draws up the plan of the failing version.
func (w *world) planFailing() {
	f := w.Losses.Failing
	if f == nil || f.Count == 0 {
		return
	}
	if f.At >= 0 {
		w.plan(f.At, func() { w.addFailing(); w.publishList() })
	}
	if f.Until > 0 {
		w.plan(f.Until, w.endFailing)
	}
}

// bootFailing adds the engines that fail all along.
func (w *world) bootFailing() {
	w.failing.engines = map[string]bool{}
	if w.Losses != nil && w.Losses.Failing != nil && w.Losses.Failing.At < 0 {
		w.addFailing()
	}
}

// addFailing adds the engines that fail to the list.
func (w *world) addFailing() {
	r := &w.releases
	r.list = slices.Clone(r.list)
	for range w.Losses.Failing.Count {
		i := len(r.list)
		e := routing.Instance{ID: fmt.Sprintf("e%02d", i), Service: serviceName, Address: "10.9.0." + fmt.Sprint(i) + ":1", Place: placeName(i), Version: versionName(1)}
		r.list = append(r.list, e)
		r.version[e.ID] = e.Version
		w.failing.engines[e.ID] = true
	}
}

// endFailing ends the failures.
func (w *world) endFailing() {
	r := &w.releases
	var ended []string
	var list []routing.Instance
	for _, e := range r.list {
		if !w.failing.engines[e.ID] {
			list = append(list, e)
			continue
		}
		ended = append(ended, e.ID)
		switch w.Losses.Failing.End {
		case Removed:
			continue
		case Replaced:
			e.ID, e.Version = e.ID+".1", versionName(2)
			r.version[e.ID] = e.Version
		}
		w.engines[e.ID] = engine.New(w.engineConfig(), w.now)
		w.ids = append(w.ids, e.ID)
		list = append(list, e)
	}
	for _, id := range ended {
		delete(w.failing.engines, id)
	}
	if w.Losses.Failing.End != Recovers {
		r.list = list
		w.publishList()
		w.breakCalls(ended)
	}
}

// publishList makes a new list of engines known to each router a little later.
func (w *world) publishList() {
	r := &w.releases
	r.revision++
	r.history.add(w.now, r.list)
	for _, id := range w.order {
		at := w.now.Add(time.Duration(w.retryRnd.Int64N(int64(maxListDelay))))
		w.delayed = append(w.delayed, delayed{at, w.listUpdate(id, r.revision, r.list)})
	}
}

// breakCalls fails the calls at engines that have ended.
func (w *world) breakCalls(engines []string) {
	for _, no := range slices.Sorted(maps.Keys(w.calls)) {
		if c := w.calls[no]; slices.Contains(engines, c.engine) {
			w.attemptFailed(c, wire.ProgressFailed)
		}
	}
}

// countSend counts a request that is sent to an engine.
func (w *world) countSend(c *call) {
	if c.sends++; c.sends > 1 {
		w.failing.repeats = append(w.failing.repeats, w.now)
	}
}

// sendToFailing sends a call to an engine that fails, and reports whether it is one.
func (w *world) sendToFailing(c *call, o dispatch.Placement) bool {
	if !w.failing.engines[o.Instance.ID] {
		return false
	}
	c.engine = o.Instance.ID
	after, event := failureDelay, uint8(wire.ProgressFailed)
	switch w.Losses.Failing.How {
	case Refuses:
		event = wire.ProgressRefused
	case NotRun:
		event = wire.ProgressRejected
	case Silent:
		after = c.req.Deadline.Sub(w.now)
		if c.sends < routeAttempts {
			after = min(after, max(silenceTargetFactor*c.class.target, 4*time.Duration(o.WaitMS)*time.Millisecond+600*time.Millisecond))
		}
	}
	sends := c.sends
	w.delayed = append(w.delayed, delayed{w.now.Add(after), func() {
		if w.calls[o.ID] == c && c.sends == sends && c.engine == o.Instance.ID {
			w.attemptFailed(c, event)
		}
	}})
	return true
}

// attemptFailed asks the router of a call for a further engine, or ends the call.
func (w *world) attemptFailed(c *call, event uint8) {
	c.engine = ""
	if c.sends < routeAttempts && w.now.Before(c.req.Deadline) {
		w.deliverInput(c.router, dispatch.PlaceAgain{ID: c.req.ID, Event: event})
		return
	}
	w.deliverInput(c.router, dispatch.End{ID: c.req.ID, Event: event})
	w.retryRefused(dispatch.Refuse{ID: c.req.ID})
}

// whileFailing reports whether a failing version is listed now.
func (w *world) whileFailing() bool {
	if w.Losses == nil || w.Losses.Failing == nil {
		return false
	}
	f := w.Losses.Failing
	age := w.since()
	return age >= f.At && (f.Until == 0 || age < f.Until)
}

// worstRepeats finds the window of the retry budget in which most of the allowed repeats were used.
func (w *world) worstRepeats() {
	if w.Losses == nil || w.Losses.Failing == nil {
		return
	}
	w.res.Release.Failing.Repeats, w.res.Release.Failing.AllowedRepeats = w.mostRepeats()
}

// mostRepeats returns the repeats in that window, and what is allowed in it.
func (w *world) mostRepeats() (most int, allowedThen float64) {
	rules, worst := w.retryRules(), -1.0
	for _, from := range w.failing.repeats {
		repeats := within(w.failing.repeats, from, rules.Window)
		sent := within(w.failing.sent, from.Add(-rules.Window/2), rules.Window*3/2) // repeats follow their requests
		allowed := rules.Ratio*float64(sent) + float64(rules.Slack)
		if ratio := float64(repeats) / allowed; ratio > worst {
			worst = ratio
			most, allowedThen = repeats, allowed
		}
	}
	return most, allowedThen
}

// within returns the number of times within a window.
func within(times []time.Time, from time.Time, window time.Duration) int {
	first, _ := slices.BinarySearchFunc(times, from, time.Time.Compare)
	end, _ := slices.BinarySearchFunc(times, from.Add(window), time.Time.Compare)
	return end - first
}
