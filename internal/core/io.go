package core

import (
	"time"

	"github.com/silverswitch/silverswitch/internal/core/claim"
	"github.com/silverswitch/silverswitch/internal/core/entry"
	"github.com/silverswitch/silverswitch/internal/core/wire"
	"github.com/silverswitch/silverswitch/internal/version"
)

// Input is one event. The types below are all inputs.
type Input interface{ input() }

// Receive is an authenticated datagram from another router.
type Receive struct{ Datagram *wire.Datagram }

// Arrive is a new request. Key is set when the request may run at most once and its caller sent
// an idempotency key.
type Arrive struct {
	Request entry.Request
	Key     *claim.Key
}

// Cancel says that the caller of a waiting request disconnected.
type Cancel struct{ ID uint64 }

// Progress is the service that a running request has received so far, in units of its service.
type Progress struct {
	ID    uint64
	Units float64
}

// Finish ends a running request. Answered is set when the caller received the complete answer.
type Finish struct {
	ID       uint64
	Units    float64
	Sample   wire.Sample
	Answered bool
}

// Return puts a started request back into its queue: nothing of it ran, or it may run again.
// Failed is set when the upstream was at fault.
type Return struct {
	ID     uint64
	Failed bool
}

// NewVersion is a configuration that passed every check.
type NewVersion struct{ Version *version.Version }

// BadVersion is a configuration that failed a check.
type BadVersion struct {
	Number version.Number
	Reason string
}

// Roster is the VM list: its routers, and the addresses of its upstreams by whether they are
// leaving.
type Roster struct {
	Routers []wire.NodeID
	Leaving []string
	Serving []string
}

// Drain says that an upstream is leaving, from a first-hand source. A statement of the upstream
// itself expires after a time; a Persistent one does not.
type Drain struct {
	Upstream   version.ID
	Persistent bool
}

// Leave begins a planned stop.
type Leave struct{}

func (Receive) input()    {}
func (Arrive) input()     {}
func (Cancel) input()     {}
func (Progress) input()   {}
func (Finish) input()     {}
func (Return) input()     {}
func (NewVersion) input() {}
func (BadVersion) input() {}
func (Roster) input()     {}
func (Drain) input()      {}
func (Leave) input()      {}

// Output is one action for the driver. The types below are all outputs.
type Output interface{ output() }

// Send is a datagram for another router.
type Send struct {
	To       wire.NodeID
	Datagram *wire.Datagram
}

// Start runs a request at an upstream.
type Start struct {
	ID       uint64
	Upstream version.ID
}

// Refuse rejects a request of which nothing was sent. MayHaveRun is set when an earlier attempt
// with the same key may have run, so that the outcome is unknown.
type Refuse struct {
	ID         uint64
	Reason     entry.Reason
	RetryAfter time.Duration
	MayHaveRun bool
}

// Fetch asks the driver to fetch a version from a peer.
type Fetch struct {
	From   wire.NodeID
	Number version.Number
}

// Event is a change of state, for one log line.
type Event struct {
	Name   string
	Value  uint64
	Detail string
}

func (Send) output()   {}
func (Start) output()  {}
func (Refuse) output() {}
func (Fetch) output()  {}
func (Event) output()  {}

// maxLocalRounds bounds how often messages of this node to itself are delivered within one
// Ready: report, grant, acknowledgement, and one in reserve.
const maxLocalRounds = 4

// Ready returns the outputs of all inputs since the last call. The driver calls it after each
// batch of inputs.
func (n *Node) Ready(now time.Time) []Output {
	for range maxLocalRounds {
		n.collectDecisions()
		n.sendReports(now)
		n.planPools(now)
		if !n.deliverToSelf(now) {
			break
		}
	}
	n.collectDecisions()
	n.logQuarantineChanges()
	n.flush()
	out := n.out
	n.out = nil
	return out
}

func (n *Node) collectDecisions() {
	starts, refusals := n.entry.Take()
	for _, s := range starts {
		n.out = append(n.out, Start{ID: s.ID, Upstream: s.Upstream})
	}
	for _, r := range refusals {
		n.release(r.ID)
		n.out = append(n.out, Refuse{ID: r.ID, Reason: r.Reason, RetryAfter: r.RetryAfter})
	}
}

func (n *Node) sendReports(now time.Time) {
	if n.ver == nil {
		return
	}
	reports, silent := n.entry.Reports(n.schedulerOf, now)
	for _, r := range reports {
		d := n.outbox.To(r.To)
		d.Reports = append(d.Reports, r.Report)
	}
	for _, id := range silent {
		n.members.Suspect(id, now)
	}
}

// deliverToSelf handles the messages of this node to itself. It returns false when there were
// none.
func (n *Node) deliverToSelf(now time.Time) bool {
	d := n.outbox.Take(n.settings.ID)
	if d == nil {
		return false
	}
	for i := range d.Reports {
		n.handleReport(n.settings.ID, n.settings.Inc, &d.Reports[i], now)
	}
	for i := range d.Grants {
		n.entry.Grants(n.settings.ID, &d.Grants[i], now)
	}
	d.From, d.Inc = n.settings.ID, n.settings.Inc
	n.handleClaims(d, now)
	return true
}

// attachVersion announces the version in force on pings and acks, by which every router soon
// learns it, and on every datagram for a short time after a change.
func (n *Node) attachVersion(d *wire.Datagram) {
	if n.ver == nil {
		return
	}
	if d.Ping != nil || d.Ack != nil || n.lastTick.Sub(n.versionSince) < versionAnnounceDuration {
		d.Version = &n.ver.Number
	}
}

// flush outputs every datagram.
func (n *Node) flush() {
	n.outbox.Flush(n.members, func(to wire.NodeID, d *wire.Datagram) {
		n.attachVersion(d)
		n.attachQuarantineChecksum(d)
		d.DrainingUpstreams = n.drainsToAnnounce()
		if d.JoinClock != 0 {
			d.LeavingNotices = n.leavingNotices()
		}
		n.out = append(n.out, Send{To: to, Datagram: d})
	})
}
