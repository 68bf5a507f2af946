package request

import (
	"sync"

	"github.com/rcrowley/go-metrics"

	"github.com/silverswitch/silverswitch/internal/request/outcome"
)

// counters are the metrics of callers' requests.
type counters struct {
	reg      metrics.Registry
	arrived  metrics.Counter
	retried  metrics.Counter
	resumed  metrics.Counter
	repeated metrics.Counter // events received again after a resume
	foreign  metrics.Counter // answers that belong to another request
	// eventsRefused counts large events for which there was no memory.
	eventsRefused metrics.Counter
}

func newCounters(reg metrics.Registry) counters {
	c := func(name string) metrics.Counter { return metrics.GetOrRegisterCounter(name, reg) }
	return counters{
		reg:      reg,
		arrived:  c("requests.arrived"),
		retried:  c("requests.retried"),
		resumed:  c("streams.resumed"),
		repeated: c("streams.repeated_events"),
		foreign:  c("answers.foreign"),

		eventsRefused: c("streams.memory.events"),
	}
}

// outcome counts one request's end by kind and reason.
func (c counters) outcome(k outcome.Kind, reason string) {
	name := "requests.outcome." + string(k)
	if reason != "" {
		name += "." + reason
	}
	metrics.GetOrRegisterCounter(name, c.reg).Inc(1)
}

// Retry budget: on each router, and so in the whole fleet, retries are at most
// retryBudgetRatio of the answers, plus a reserve of maxRetryBudget.
const (
	retryBudgetRatio = 0.1
	maxRetryBudget   = 10
)

// retryBudget limits retries, so that failures do not multiply the load. It is safe for
// concurrent use.
type retryBudget struct {
	mu   sync.Mutex
	left float64
}

func newRetryBudget() *retryBudget { return &retryBudget{left: maxRetryBudget} }

// earn credits an answered request.
func (b *retryBudget) earn() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.left = min(b.left+retryBudgetRatio, maxRetryBudget)
}

// take spends one retry, or returns false if the budget is exhausted.
func (b *retryBudget) take() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.left < 1 {
		return false
	}
	b.left--
	return true
}
