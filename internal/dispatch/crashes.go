package dispatch

import (
	"time"

	"github.com/silverswitch/silverswitch/internal/core/quarantine"
	"github.com/silverswitch/silverswitch/internal/core/wire"
	"github.com/silverswitch/silverswitch/internal/fingerprint"
	"github.com/silverswitch/silverswitch/internal/routing"
	"github.com/silverswitch/silverswitch/internal/version"
)

// Requests that crash upstreams: what this router observes of them and reports. Package
// quarantine decides what follows from it.

// AttemptIncomplete reports that an attempt ended without a complete answer though the
// upstream may have run it. Early is set if the answer had no event yet, Lost if the upstream's side
// closed the connection.
type AttemptIncomplete struct {
	Content  fingerprint.Fingerprint
	Org      string
	Instance routing.Instance
	Began    time.Time // of the attempt
	Early    bool
	Lost     bool
}

// ConnRefused reports that an instance's address refuses connections: its process has
// ended.
type ConnRefused struct{ Instance routing.Instance }

// Answered reports that a request suspected of crashes has been answered completely.
type Answered struct{ Content fingerprint.Fingerprint }

func (AttemptIncomplete) input() {}
func (ConnRefused) input()       {}
func (Answered) input()          {}

// Probe asks the driver to check whether an instance's address refuses connections.
type Probe struct{ Instance routing.Instance }

// UpstreamEnded reports that an upstream has ended without notice, by which sign this is
// known, and how many attempts of this router it left unanswered.
type UpstreamEnded struct {
	Instance routing.Instance
	By       string
	Running  int
}

// QuarantineReport is a change in the suspicion of a request.
type QuarantineReport struct {
	quarantine.Change
	Org string
}

func (Probe) output()            {}
func (UpstreamEnded) output()    {}
func (QuarantineReport) output() {}

// Quarantine returns a copy of the suspected requests, and whether it has changed since the
// last call.
func (n *Node) Quarantine() (quarantine.View, bool) { return n.crashes.View() }

// Held returns the held requests, for status pages.
func (n *Node) Held(now time.Time) []quarantine.HeldRequest {
	return n.crashes.Held(n.reports.orgNames, now)
}

// attemptIncomplete handles an attempt that ended without a complete answer.
func (n *Node) attemptIncomplete(in AttemptIncomplete, now time.Time) {
	if n.isLeaving(in.Instance) {
		return // the end is planned, and proves nothing about the requests that still run there
	}
	a := quarantine.Attempt{Content: in.Content, Org: version.IDOf(in.Org), Began: in.Began, Early: in.Early, Lost: in.Lost}
	if n.crashes.AttemptIncomplete(version.IDOf(in.Instance.StartID()), a, now) {
		n.out = append(n.out, Probe{Instance: in.Instance})
	}
}

func (n *Node) isLeaving(i routing.Instance) bool {
	_, u := n.upstreamOf(i)
	return u != nil && u.inst.Draining
}

// entryRemoved handles an upstream whose entry was removed from the store.
func (n *Node) entryRemoved(i routing.Instance, now time.Time) {
	if i.Draining {
		n.crashes.Left(version.IDOf(i.StartID()), now)
		return
	}
	n.upstreamEnded(i, "entry gone", now)
}

// upstreamEnded handles the unplanned end of an upstream.
func (n *Node) upstreamEnded(i routing.Instance, by string, now time.Time) {
	if n.isLeaving(i) {
		return
	}
	start := version.IDOf(i.StartID())
	running, isNew := n.crashes.Ended(start, start, now)
	if !isNew {
		return
	}
	n.Counts.Ended++
	n.out = append(n.out, UpstreamEnded{Instance: i, By: by, Running: running})
}

// attachQuarantineChecksum adds the checksum of the held requests to the datagram for a router.
func (n *Node) attachQuarantineChecksum(to wire.NodeID) {
	c := n.outbox.Crashes(to)
	c.HasChecksum, c.Checksum = true, n.crashes.Checksum()
}

// reportQuarantineChanges outputs the changes since the last call, for the log.
func (n *Node) reportQuarantineChanges() {
	for _, c := range n.crashes.Changes() {
		n.out = append(n.out, QuarantineReport{Change: c, Org: n.reports.orgNames[c.Org]})
	}
}
