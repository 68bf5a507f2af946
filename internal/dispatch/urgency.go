package dispatch

import (
	"slices"

	"github.com/silverswitch/silverswitch/internal/routing"
)

// urgency is the priorities in use at a service, most urgent (the least number)
// first.
type urgency []int

// urgencyOf collects the priorities of the routes that lead to a service and of the
// organisations, whose own priority goes before the route's.
func urgencyOf(t *routing.Table, service string) urgency {
	var u urgency
	for _, r := range t.Routes {
		for _, part := range r.Split {
			if part.Service == service && part.Weight > 0 {
				u = append(u, r.Priority)
			}
		}
	}
	for _, o := range t.Organisations() {
		if o.Priority != nil {
			u = append(u, *o.Priority)
		}
	}
	slices.Sort(u)
	return slices.Compact(u)
}

// rank is how many more urgent priorities are in use.
func (u urgency) rank(priority int) int {
	for i, p := range u {
		if priority <= p {
			return i
		}
	}
	return max(0, len(u)-1)
}
