package dispatch

import (
	"time"

	"github.com/silverswitch/silverswitch/internal/core/quarantine"
	"github.com/silverswitch/silverswitch/internal/core/wire"
	"github.com/silverswitch/silverswitch/internal/fingerprint"
	"github.com/silverswitch/silverswitch/internal/routing"
	"github.com/silverswitch/silverswitch/internal/version"
)

// Requests that crash upstreams: what this router sees of them, and what it tells. What
// follows from it is package quarantine's to decide.

// Broke says that an attempt ended without a whole answer though the upstream may have
// run it. Early says that its answer had no event yet, Lost that the upstream's side ended
// the connection.
type Broke struct {
	Content  fingerprint.Fingerprint
	Org      string
	Instance routing.Instance
	Began    time.Time // of the attempt
	Early    bool
	Lost     bool
}

// ConnRefused says that an instance's address refuses connections: its process has ended.
type ConnRefused struct{ Instance routing.Instance }

// Answered says that a request to which crashes are set down has been answered whole.
type Answered struct{ Content fingerprint.Fingerprint }

func (Broke) input()       {}
func (ConnRefused) input() {}
func (Answered) input()    {}

// Probe asks the driver whether an instance's address refuses connections.
type Probe struct{ Instance routing.Instance }

// UpstreamEnded says that an upstream has ended without notice, by what that is known, and
// how many attempts of this router it left without an answer.
type UpstreamEnded struct {
	Instance routing.Instance
	By       string
	Running  int
}

// QuarantineReport is a change of what is believed of a request.
type QuarantineReport struct {
	quarantine.Change
	Org string
}

func (Probe) output()            {}
func (UpstreamEnded) output()    {}
func (QuarantineReport) output() {}

// Quarantine returns a copy of what is known of requests, and whether it has changed since
// the last call.
func (n *Node) Quarantine() (quarantine.View, bool) { return n.crashes.View() }

// Held returns the requests that are held, for status pages.
func (n *Node) Held(now time.Time) []quarantine.HeldRequest {
	return n.crashes.Held(n.reports.names, now)
}

// broke takes an attempt without a whole answer.
func (n *Node) broke(in Broke, now time.Time) {
	if n.isLeaving(in.Instance) {
		return // its end is planned, and says nothing of what it still runs
	}
	a := quarantine.Attempt{Content: in.Content, Org: version.IDOf(in.Org), Began: in.Began, Early: in.Early, Lost: in.Lost}
	if n.crashes.Broke(version.IDOf(in.Instance.StartID()), a, now) {
		n.out = append(n.out, Probe{Instance: in.Instance})
	}
}

// isLeaving reports whether an instance is known to be leaving.
func (n *Node) isLeaving(i routing.Instance) bool {
	_, u := n.upstreamOf(i)
	return u != nil && u.inst.Draining
}

// entryGone takes an upstream whose entry has gone.
func (n *Node) entryGone(i routing.Instance, now time.Time) {
	if i.Draining {
		n.crashes.Left(version.IDOf(i.StartID()), now)
		return
	}
	n.upstreamEnded(i, "entry gone", now)
}

// upstreamEnded takes the end of an upstream.
func (n *Node) upstreamEnded(i routing.Instance, by string, now time.Time) {
	if n.isLeaving(i) {
		return
	}
	start := version.IDOf(i.StartID())
	running, isNews := n.crashes.Ended(start, start, now)
	if !isNews {
		return
	}
	n.Counts.Ended++
	n.out = append(n.out, UpstreamEnded{Instance: i, By: by, Running: running})
}

// stateHeld tells a router what this one holds, as one number.
func (n *Node) stateHeld(to wire.NodeID) {
	c := n.box.Crashes(to)
	c.Stated, c.Sum = true, n.crashes.Sum()
}

// reportCrashes hands over what has changed, for the log.
func (n *Node) reportCrashes() {
	for _, c := range n.crashes.Changes() {
		n.out = append(n.out, QuarantineReport{Change: c, Org: n.reports.names[c.Org]})
	}
}
