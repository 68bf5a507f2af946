package dispatch

import "time"

// RetryRules limit the repeated sends to a service by the whole fleet: in any Window at
// most Ratio x the number of requests for it + Slack.
type RetryRules struct {
	Ratio  float64
	Window time.Duration
	Slack  int
}

// DefaultRetryRules apply when the operators configure none.
var DefaultRetryRules = RetryRules{Ratio: 0.1, Window: 10 * time.Second, Slack: 10}

const (
	// budgetUseRatio is the fraction of the budget that is used, so that routers whose
	// windows differ a little still stay within it together.
	budgetUseRatio = 0.8
	// evenSlackRatio is the fraction of the slack that is divided evenly between all known
	// routers, for a router that suddenly needs retries. The rest is divided by demand.
	// While the fleet is partitioned, each side keeps the demand last reported by the
	// other, so that both together may use that rest up to twice if the load of both sides
	// has grown many times. The reserve kept by budgetUseRatio covers this from twice the
	// usual load on.
	evenSlackRatio   = 0.6
	budgetSteps      = 20
	budgetRetryAfter = 500 * time.Millisecond
)

// retryBudget is this router's part of a service's budget: the ratio of the requests that
// arrived here, and a part of the slack, divided evenly and by demand. That way the fleet
// keeps the rules without coordination, also during a partition.
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

// recentRequests returns the number of requests in the window.
func (b *retryBudget) recentRequests(now time.Time) int {
	b.advance(now)
	return sumOf(b.requests[:])
}

// recentRepeats returns the number of repeats in the window.
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

// allowRepeat spends one repeat, or returns false. routers is the size of the fleet, and
// demand the fraction of all requests for the service that arrived here.
func (b *retryBudget) allowRepeat(routers int, demand float64, now time.Time) bool {
	i := b.advance(now)
	repeats := b.recentRepeats(now)
	slack := float64(b.rules.Slack) * (evenSlackRatio/float64(routers) + (1-evenSlackRatio)*demand)
	if float64(repeats+1) > budgetUseRatio*(b.rules.Ratio*float64(b.recentRequests(now))+slack) {
		return false
	}
	b.repeats[i]++
	return true
}

// returnRepeat gives back the latest repeat spent, because nothing was sent.
func (b *retryBudget) returnRepeat() {
	for age := range int64(b.ring.size) {
		if i := b.ring.slot(age); b.repeats[i] > 0 {
			b.repeats[i]--
			return
		}
	}
}
