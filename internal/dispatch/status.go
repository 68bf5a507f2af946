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
				InUse: u.inUse != notInUse, Running: u.running(), Slow: u.slowness(p.learner.Model(), now), Ejected: u.ejection.active(now), BackoffMS: int(remainingMS(p.backoffs[u.id], now)), Evacuated: u.evacuated}
			if p.isCold(u, now) {
				until, why := u.coldUntil()
				s.Cold = &ColdUpstream{ForMS: int(until.Sub(now).Milliseconds()), Why: why.String(), Allowed: n.coldLimit(p, now), Placed: len(u.cold.placed)}
			}
			s.Slots = p.slotState(u, now)
			if u.cache != nil {
				s.BacklogMS = int(u.backlog(p.learner.Model(), now))
				s.KeptTokens = u.cache.used
			}
			s.Pace = p.paceState(u, now)
			out = append(out, s)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	return out
}

// Role is what this router does for other routers.
type Role struct {
	Schedules  []string `json:"schedules"` // services
	Relays     bool     `json:"relays"`    // passes updates of the store's content on to the routers of its place
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

// UpstreamState is the state of one upstream in this router's model.
type UpstreamState struct {
	Service  string `json:"service"`
	ID       string `json:"id"`
	Address  string `json:"address"`
	Place    string `json:"place"`
	Draining bool   `json:"draining"`
	Ejected  bool   `json:"resting"`
	// BackoffMS is how much longer the upstream accepts nothing from this router.
	BackoffMS int  `json:"backoff_ms"`
	Evacuated bool `json:"evacuated"`
	InUse     bool `json:"in_use"` // it is in the working set
	// Cold is nil unless the upstream is taken for cold.
	Cold       *ColdUpstream `json:"cold,omitempty"`
	Running    int           `json:"running"`
	BacklogMS  int           `json:"backlog_ms"`
	KeptTokens int           `json:"kept_tokens"`
	Slow       float64       `json:"slow"`
	Slots      *SlotState    `json:"slots,omitempty"` // nil unless a plain upstream states slots
	Pace       *PaceState    `json:"pace,omitempty"`  // of an engine's streams, nil while nothing is known
}

// ColdUpstream is the state of a cold upstream, and what this router places there.
type ColdUpstream struct {
	ForMS   int    `json:"for_ms"`
	Why     string `json:"why"`
	Allowed int    `json:"allowed_per_second"` // 0 at a router that is not the scheduler
	Placed  int    `json:"placed_in_last_second"`
}
