package dispatch

import (
	"time"

	"github.com/silverswitch/silverswitch/internal/core/wire"
	"github.com/silverswitch/silverswitch/internal/routing"
	"github.com/silverswitch/silverswitch/internal/version"
)

// Why an upstream is taken for cold beside what its entry says: the entry may be written
// late, and an upstream may start again under the entry that it had.

// silentStart is for how long an upstream must have answered nothing, while it failed
// requests, to be taken for one that may start again.
const silentStart = time.Second

// ColdReason says why an upstream is believed to be cold.
type ColdReason uint8

// The reasons.
const (
	ColdNot      ColdReason = iota
	ColdStated              // its entry says so
	ColdStarted             // it was seen to start again
	ColdReturned            // its place was evacuated until now
	ColdSilent              // it has answered nothing for a while, and may start again
	ColdRefused             // it has refused a connection, and may start again
	ColdHealth              // its own health says so
	ColdTold                // another router has one of these reasons
)

// String returns the reason as logs and status pages show it.
func (r ColdReason) String() string {
	return [...]string{"", "stated", "started", "place-returned", "was-silent", "refused-connection", "health", "told"}[r]
}

// startedAgain takes an upstream whose former start has ended for one that has just started,
// when it is listed as born later.
func (p *pool) startedAgain(former routing.Instance, born int64, now time.Time) {
	if born <= former.Born {
		return
	}
	former.Born = born
	if u := p.ups[version.IDOf(former.StartID())]; u != nil {
		u.cold.suspect(now.Add(p.cold.Period), ColdStarted)
	}
}

// suspectStart takes an upstream for one that may start again at any moment, and is cold
// when it does: it has refused a connection, or it fails requests and has answered none for
// a while. Its entry may say so only after that.
func (p *pool) suspectStart(u *upstream, refused bool, now time.Time) {
	if p.cold.RequestsPerSecond <= 0 {
		return
	}
	silent := u.rest.resting(now) && now.Sub(u.cold.answered) >= silentStart
	if !refused && !silent {
		return
	}
	why := ColdSilent
	if refused {
		why = ColdRefused
	}
	next := now
	if u.rest.until.After(now) {
		next = u.rest.until // nothing is sent there before
	}
	u.cold.suspect(next.Add(p.cold.Period), why)
	u.cold.unproved = true
}

// doubts returns this router's own reasons to take upstreams for cold, for those that may
// schedule next. Load pattern: an upstream is down for two seconds, its scheduler is killed
// or cut off, and it starts again under the entry that it had.
func (n *Node) doubts(now time.Time) (out []wire.Doubt) {
	for _, p := range n.pools {
		if p.cold.RequestsPerSecond <= 0 {
			continue
		}
		for _, u := range p.order {
			if u.cold.until.After(now) && u.cold.why != ColdTold {
				out = append(out, wire.Doubt{Upstream: u.id, ForMS: leftMS(u.cold.until, now)})
			}
		}
	}
	return out
}

// mostDoubt bounds what a peer's word may keep from an upstream.
const mostDoubt = 10 * time.Second

// heardDoubts takes another router's.
func (n *Node) heardDoubts(list []wire.Doubt, now time.Time) {
	for _, d := range list {
		for _, p := range n.pools {
			if u := p.ups[d.Upstream]; u != nil && p.cold.RequestsPerSecond > 0 {
				u.cold.suspect(now.Add(min(time.Duration(d.ForMS)*time.Millisecond, mostDoubt)), ColdTold)
			}
		}
	}
}

// sawRefusal takes a refused connection that this router has seen itself where another one
// had placed the request: that one may be out of reach next.
func (n *Node) sawRefusal(f *flight, event uint8, now time.Time) {
	p := n.pools[f.pool]
	if p == nil || f.by == n.set.ID || event != wire.NoteRefused {
		return
	}
	if u := p.ups[f.placed]; u != nil {
		p.suspectStart(u, true, now)
	}
}

// answeredAgain notes an answer: one that might have started again has done so by now.
func (p *pool) answeredAgain(u *upstream, now time.Time) {
	if u.cold.unproved {
		u.cold.unproved = false
		u.cold.until = now.Add(p.cold.Period)
	}
	u.cold.answered = now
}

// looked takes what an upstream's own health says.
func (n *Node) looked(in Looked, now time.Time) {
	p, u := n.upstreamOf(in.Instance)
	if u == nil {
		return
	}
	if in.ColdFor == 0 {
		u.rest.failed(now)
		p.suspectStart(u, false, now)
		return
	}
	u.cold.suspect(now.Add(in.ColdFor), ColdHealth)
}
