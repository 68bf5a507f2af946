package dispatch

import (
	"slices"

	"github.com/silverswitch/silverswitch/internal/routing"
)

// urgency lists the priorities in use at a service, the most urgent one (the smallest
// number) first.
type urgency []int

// urgencyOf collects the priorities of the routes that lead to a service and of the
// organisations. An organisation's own priority takes precedence over the route's.
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

// rank is the number of more urgent priorities in use.
func (u urgency) rank(priority int) int {
	for i, p := range u {
		if priority <= p {
			return i
		}
	}
	return max(0, len(u)-1)
}
