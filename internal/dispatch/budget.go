package dispatch

import "time"

// RetryRules bound repeated sends to a service, for the whole fleet: in any
// Window at most Ratio x the requests for it + Slack.
type RetryRules struct {
	Ratio  float64
	Window time.Duration
	Slack  int
}

// DefaultRetryRules suit a fleet whose operators state none.
var DefaultRetryRules = RetryRules{Ratio: 0.1, Window: 10 * time.Second, Slack: 10}

const (
	// budgetSafe is the part of the budget that is used, so that windows which
	// routers count a little differently stay within it together.
	budgetSafe     = 0.8
	budgetSteps    = 20
	budgetComeBack = 500 * time.Millisecond
)

// retryBudget is this router's part of a service's budget: its part of the slack
// by the size of the fleet, and the ratio of the requests that came in here. So
// the fleet keeps to the rule without a word between routers, also in a cut.
type retryBudget struct {
	rules    RetryRules
	steps    steps
	requests [budgetSteps + 1]int
	repeats  [budgetSteps + 1]int
}

func newRetryBudget(rules RetryRules) *retryBudget {
	return &retryBudget{rules: rules, steps: steps{length: rules.Window / budgetSteps, kept: budgetSteps + 1}}
}

func (b *retryBudget) advance(now time.Time) int {
	return b.steps.advance(now, func(i int) { b.requests[i], b.repeats[i] = 0, 0 })
}

func (b *retryBudget) request(now time.Time) { b.requests[b.advance(now)]++ }

// take spends one repeat, or returns false.
func (b *retryBudget) take(routers int, now time.Time) bool {
	i := b.advance(now)
	requests, repeats := 0, 0
	for s := range b.requests {
		requests += b.requests[s]
		repeats += b.repeats[s]
	}
	allowed := budgetSafe * (b.rules.Ratio*float64(requests) + float64(b.rules.Slack)/float64(routers))
	if float64(repeats+1) > allowed {
		return false
	}
	b.repeats[i]++
	return true
}
