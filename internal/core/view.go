package core

import (
	"sort"
	"time"

	"github.com/silverswitch/silverswitch/internal/core/entry"
	"github.com/silverswitch/silverswitch/internal/core/quarantine"
	"github.com/silverswitch/silverswitch/internal/core/sched"
	"github.com/silverswitch/silverswitch/internal/core/wire"
	"github.com/silverswitch/silverswitch/internal/version"
)

// View is a copy of the state that operators may see. It holds no content and no keys.
type View struct {
	ID       wire.NodeID      `json:"id"`
	Inc      wire.Incarnation `json:"incarnation"`
	Place    string           `json:"place"`
	Revision uint64           `json:"revision"`
	Hash     uint64           `json:"hash"`
	Ready    bool             `json:"ready"`
	Leaving  bool             `json:"leaving"`
	Watches  bool             `json:"watches_configuration"`
	Waiting  int              `json:"waiting"`
	Running  int              `json:"running"`
	Keys     int              `json:"keys_witnessed"`
	Cells    int              `json:"ledger_cells"`
	Members  []MemberView     `json:"members"`
	Pools    []PoolView       `json:"pools"`
	Entry    entry.Counts     `json:"requests"`

	Held   []quarantine.HeldRequest `json:"held"`
	Counts Counts                   `json:"control"`
}

// MemberView is another router as this one knows it.
type MemberView struct {
	ID     wire.NodeID `json:"id"`
	State  string      `json:"state"`
	Place  string      `json:"place"`
	Public string      `json:"public"`
}

// PoolView is a pool of which this router is the scheduler.
type PoolView struct {
	Service   string                `json:"service"`
	Region    string                `json:"region"`
	Routers   int                   `json:"routers"`
	Granted   uint64                `json:"granted"` // slots, since this router became scheduler
	Upstreams []sched.UpstreamLoad  `json:"upstreams"`
	Orgs      map[string]sched.Load `json:"organisations"`
}

// View returns a copy of the node's state.
func (n *Node) View(now time.Time) View {
	v := View{
		ID:      n.settings.ID,
		Inc:     n.settings.Inc,
		Place:   n.settings.Place,
		Ready:   n.IsReady(now),
		Leaving: n.leaving,
		Watches: n.Watches(),
		Waiting: n.entry.Waiting(),
		Held:    n.crashes.Held(n.organisationNames(), now),
		Running: n.entry.Running(),
		Keys:    n.witness.Len(),
		Cells:   n.led.Size(),
		Entry:   n.entry.Counts,
		Counts:  n.Counts,
	}
	if n.ver != nil {
		v.Revision, v.Hash = n.ver.Number.Revision, n.ver.Number.Hash
	}
	for _, m := range n.members.All() {
		v.Members = append(v.Members, MemberView{m.ID, m.State.String(), m.Place, m.Public})
	}
	for _, id := range n.poolIDs() {
		v.Pools = append(v.Pools, n.poolView(id))
	}
	return v
}

func (n *Node) poolView(id version.ID) PoolView {
	p := n.pools[id]
	def := n.ver.Pools[id]
	pv := PoolView{Service: def.Service, Region: def.Region, Routers: p.Routers(), Granted: p.Granted(), Upstreams: p.Upstreams(), Orgs: map[string]sched.Load{}}
	for org, l := range p.Backlog() {
		name := "(standing credit)"
		if o := n.ver.Organisations[org]; o != nil {
			name = o.Name
		}
		pv.Orgs[name] = l
	}
	return pv
}

// IsReady reports whether the load balancer may send callers here: a version is in force, and
// peers have had the chance to offer a newer one.
func (n *Node) IsReady(now time.Time) bool {
	if n.ver == nil || n.leaving {
		return false
	}
	return n.peerSeen || now.Sub(n.started) >= peerWaitTimeout
}

// Watches reports whether this router reads the configuration service. The first few live
// routers of each place do, and every router that has no version yet.
func (n *Node) Watches() bool {
	if n.ver == nil {
		return true
	}
	rank := 0
	for _, id := range n.members.Live(true) {
		if m := n.members.Get(id); m != nil && m.Place == n.settings.Place && id < n.settings.ID {
			rank++
		}
	}
	return rank < watchersPerPlace
}

// Redirect returns the public address of a random live router in one of the places, or "".
// Callers so spread over the routers.
func (n *Node) Redirect(allowed map[string]bool) string {
	var urls []string
	for _, id := range n.members.Live(false) {
		if m := n.members.Get(id); m != nil && allowed[m.Place] && m.Public != "" {
			urls = append(urls, m.Public)
		}
	}
	if len(urls) == 0 {
		return ""
	}
	sort.Strings(urls)
	return urls[n.rnd.IntN(len(urls))]
}

// Upstream returns an upstream of the version in force, or nil.
func (n *Node) Upstream(id version.ID) *version.Upstream {
	if n.ver == nil {
		return nil
	}
	return n.ver.Upstreams[id]
}
