package dispatch

import (
	"sort"
	"time"
)

// Upstreams returns the state of every upstream, for status pages.
func (n *Node) Upstreams(now time.Time) []UpstreamState {
	var out []UpstreamState
	for _, p := range n.pools {
		for _, u := range p.order {
			s := UpstreamState{Service: p.service, ID: u.inst.ID, Address: u.inst.Address, Place: u.inst.Place, Draining: u.inst.Draining,
				InUse: u.inUse != notInUse, Running: u.running(), Slow: u.slowness(p.learner.Model(), now), Resting: u.ejection.resting(now), BackoffMS: int(leftMS(p.backoffs[u.id], now)), Evacuated: u.evacuated}
			if p.isCold(u, now) {
				until, why := u.coldUntil()
				s.Cold = &ColdUpstream{ForMS: int(until.Sub(now).Milliseconds()), Why: why.String(), Allowed: n.coldLimit(p, now), Placed: len(u.cold.placed)}
			}
			if u.cache != nil {
				s.BacklogMS = int(u.backlog(p.learner.Model(), now))
				s.KeptTokens = u.cache.used
			}
			out = append(out, s)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	return out
}

// Role is what this router does for others.
type Role struct {
	Schedules  []string `json:"schedules"` // services
	Relays     bool     `json:"relays"`    // passes news of the store on to its place
	ReadsStore bool     `json:"reads_store"`
}

// Role returns this router's role, for status pages.
func (n *Node) Role(now time.Time) Role {
	r := Role{Relays: n.isRelay(now), ReadsStore: n.Watches(now)}
	for _, p := range n.pools {
		if n.schedulerOf(p.id, now) == n.settings.ID {
			r.Schedules = append(r.Schedules, p.service)
		}
	}
	sort.Strings(r.Schedules)
	return r
}

// UpstreamState is one upstream as this router models it.
type UpstreamState struct {
	Service  string `json:"service"`
	ID       string `json:"id"`
	Address  string `json:"address"`
	Place    string `json:"place"`
	Draining bool   `json:"draining"`
	Resting  bool   `json:"resting"`
	// BackoffMS is how much longer the upstream wants nothing of this router.
	BackoffMS int  `json:"backoff_ms"`
	Evacuated bool `json:"evacuated"`
	InUse     bool `json:"in_use"` // it is in the working set
	// Cold is nil for one that is not believed to be cold.
	Cold       *ColdUpstream `json:"cold,omitempty"`
	Running    int           `json:"running"`
	BacklogMS  int           `json:"backlog_ms"`
	KeptTokens int           `json:"kept_tokens"`
	Slow       float64       `json:"slow"`
}

// ColdUpstream is what is believed of a cold upstream, and what this router places there.
type ColdUpstream struct {
	ForMS   int    `json:"for_ms"`
	Why     string `json:"why"`
	Allowed int    `json:"allowed_per_second"` // 0 at a router that does not schedule
	Placed  int    `json:"placed_in_last_second"`
}
