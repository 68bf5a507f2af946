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
	// budgetUseRatio is the part of the budget that is used, so that windows which
	// routers count a little differently stay within it together.
	budgetUseRatio = 0.8
	// evenSlackRatio is the part of the slack that is shared evenly between all routers
	// known: it is there for a router that needs it all of a sudden. The rest goes by
	// demand. While the fleet is cut each side keeps the last word of the other's
	// demand, so both together may take that rest twice at the very most, when both
	// sides' loads have grown many times; what budgetUseRatio keeps back covers it from
	// twice the usual load on.
	evenSlackRatio   = 0.6
	budgetSteps      = 20
	budgetRetryAfter = 500 * time.Millisecond
)

// retryBudget is this router's part of a service's budget: the ratio of the
// requests that came in here, and of the slack an even part and one by demand. So
// the fleet keeps to the rule without asking each other, also in a cut.
type retryBudget struct {
	rules    RetryRules
	ring     ring
	requests [budgetSteps + 1]int
	repeats  [budgetSteps + 1]int
}

func newRetryBudget(rules RetryRules) *retryBudget {
	return &retryBudget{rules: rules, ring: ring{interval: rules.Window / budgetSteps, size: budgetSteps + 1}}
}

func (b *retryBudget) advance(now time.Time) int {
	return b.ring.advance(now, func(i int) { b.requests[i], b.repeats[i] = 0, 0 })
}

func (b *retryBudget) countRequest(now time.Time) { b.requests[b.advance(now)]++ }

// asked returns the requests in the window.
func (b *retryBudget) recentRequests(now time.Time) int {
	b.advance(now)
	return sumOf(b.requests[:])
}

// recentRepeats returns the repeats in the window.
func (b *retryBudget) recentRepeats(now time.Time) int {
	b.advance(now)
	return sumOf(b.repeats[:])
}

func sumOf(list []int) int {
	sum := 0
	for _, n := range list {
		sum += n
	}
	return sum
}

// take spends one repeat, or returns false. routers is the size of the fleet, and
// part what of all requests for the service came in here.
func (b *retryBudget) allowRepeat(routers int, part float64, now time.Time) bool {
	i := b.advance(now)
	repeats := b.recentRepeats(now)
	slack := float64(b.rules.Slack) * (evenSlackRatio/float64(routers) + (1-evenSlackRatio)*part)
	if float64(repeats+1) > budgetUseRatio*(b.rules.Ratio*float64(b.recentRequests(now))+slack) {
		return false
	}
	b.repeats[i]++
	return true
}
