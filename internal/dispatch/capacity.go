package dispatch

import (
	"cmp"
	"slices"
	"time"
)

// Capacity is the capacity of a service whose engines this router schedules, in tokens a second.
type Capacity struct {
	Service string `json:"service"`
	Stated  int    `json:"stated_tokens_per_s"`
	Started int    `json:"started_tokens_per_s"` // in the window of shares, whoever placed them
}

// Capacities returns the capacities of the services with engines that this router schedules.
func (n *Node) Capacities(now time.Time) []Capacity {
	var out []Capacity
	for _, p := range n.pools {
		if p.engine != nil && n.schedulerOf(p.id, now) == n.settings.ID {
			out = append(out, Capacity{Service: p.service, Stated: perSecond(p.meter.capacity), Started: perSecond(p.meter.startedTokens(now))})
		}
	}
	slices.SortFunc(out, func(a, b Capacity) int { return cmp.Compare(a.Service, b.Service) })
	return out
}

// perSecond converts tokens in a window to tokens in a second.
func perSecond(windowTokens float64) int {
	return int(windowTokens / (shareSteps * shareStep).Seconds())
}

// startedTokens returns the tokens that all organisations have started in the window.
func (m *meter) startedTokens(now time.Time) float64 {
	m.advance(now)
	sum := 0.0
	for _, u := range m.orgs {
		sum += windowTotal(&u.started)
	}
	return sum
}
