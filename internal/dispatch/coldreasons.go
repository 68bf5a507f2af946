package dispatch

import (
	"time"

	"github.com/silverswitch/silverswitch/internal/core/wire"
	"github.com/silverswitch/silverswitch/internal/routing"
	"github.com/silverswitch/silverswitch/internal/version"
)

// Reasons to take an upstream for cold beyond its entry: the entry may be written late, and an
// upstream may restart under the same entry.

// silentRestartAfter is how long an upstream that fails requests must have answered none to be
// suspected of a restart.
const silentRestartAfter = time.Second

// ColdReason says why an upstream is taken for cold.
type ColdReason uint8

// Reasons to take an upstream for cold.
const (
	ColdNot      ColdReason = iota
	ColdStated              // its entry says so
	ColdStarted             // it has restarted
	ColdReturned            // its place was evacuated until now
	ColdSilent              // it has answered nothing for a while, and may restart
	ColdRefused             // it has refused a connection, and may restart
	ColdHealth              // its health check says so
	ColdReported            // another router reported one of these reasons
)

// String returns the reason as written in logs and on status pages.
func (r ColdReason) String() string {
	return [...]string{"", "stated", "started", "place-returned", "was-silent", "refused-connection", "health", "told"}[r]
}

// markRestarted treats an upstream whose former start has ended as just started, if it is
// listed with a later birth.
func (p *pool) markRestarted(former routing.Instance, born int64, now time.Time) {
	if born <= former.Born {
		return
	}
	former.Born = born
	if u := p.upstreams[version.IDOf(former.StartID())]; u != nil {
		u.cold.suspect(now.Add(p.cold.Period), ColdStarted)
	}
}

// suspectRestart treats an upstream as one that may restart at any moment and is cold then: it
// has refused a connection, or it fails requests and has answered none for a while. Its entry
// may say so only later.
func (p *pool) suspectRestart(u *upstream, refused bool, now time.Time) {
	if p.cold.RequestsPerSecond <= 0 {
		return
	}
	silent := u.ejection.active(now) && now.Sub(u.cold.answeredAt) >= silentRestartAfter
	if !refused && !silent {
		return
	}
	why := ColdSilent
	if refused {
		why = ColdRefused
	}
	next := now
	if u.ejection.until.After(now) {
		next = u.ejection.until // nothing is sent there before then
	}
	u.cold.suspect(next.Add(p.cold.Period), why)
	u.cold.unconfirmed = true
}

// suspicions returns this router's own reasons to take upstreams for cold, for the routers that
// may schedule next. Load pattern: an upstream is down for two seconds, its scheduler is killed
// or cut off, and the upstream restarts under the same entry.
func (n *Node) suspicions(now time.Time) (out []wire.ColdSuspicion) {
	for _, p := range n.pools {
		if p.cold.RequestsPerSecond <= 0 {
			continue
		}
		for _, u := range p.order {
			if u.cold.until.After(now) && u.cold.reason != ColdReported {
				out = append(out, wire.ColdSuspicion{Upstream: u.id, ForMS: remainingMS(u.cold.until, now)})
			}
		}
	}
	return out
}

// maxSuspicionTTL bounds how long a peer's suspicion restricts an upstream.
const maxSuspicionTTL = 10 * time.Second

// handleSuspicions applies another router's suspicions.
func (n *Node) handleSuspicions(list []wire.ColdSuspicion, now time.Time) {
	for _, d := range list {
		for _, p := range n.pools {
			if u := p.upstreams[d.Upstream]; u != nil && p.cold.RequestsPerSecond > 0 {
				u.cold.suspect(now.Add(min(time.Duration(d.ForMS)*time.Millisecond, maxSuspicionTTL)), ColdReported)
			}
		}
	}
}

// recordConnRefused records a refused connection that this router met where another router had
// placed the request, since that router may become unreachable next.
func (n *Node) recordConnRefused(f *inflightRequest, event uint8, now time.Time) {
	p := n.pools[f.service]
	if p == nil || f.scheduler == n.settings.ID || event != wire.ProgressRefused {
		return
	}
	if u := p.upstreams[f.upstreamID]; u != nil {
		p.suspectRestart(u, true, now)
	}
}

// markAnswered records an answer: an upstream that was suspected of a restart has restarted by
// now.
func (p *pool) markAnswered(u *upstream, now time.Time) {
	if u.cold.unconfirmed {
		u.cold.unconfirmed = false
		u.cold.until = now.Add(p.cold.Period)
	}
	u.cold.answeredAt = now
}

// healthCheckFailed applies the result of a health check.
func (n *Node) healthCheckFailed(in HealthCheckFailed, now time.Time) {
	p, u := n.upstreamOf(in.Instance)
	if u == nil {
		return
	}
	if in.ColdFor == 0 {
		u.ejection.recordFailure(now)
		p.suspectRestart(u, false, now)
		return
	}
	u.cold.suspect(now.Add(in.ColdFor), ColdHealth)
}
