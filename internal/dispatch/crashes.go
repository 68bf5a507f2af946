package dispatch

import (
	"slices"
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
	Parts    []uint64  // of the prompt, but for the last one, which belongs to the request alone
	Began    time.Time // of the attempt
	Early    bool
	Lost     bool
}

// ConnRefused reports that an instance's address refuses connections: its process has
// ended.
type ConnRefused struct{ Instance routing.Instance }

// Answered reports that a request suspected of crashes has been answered completely.
type Answered struct{ Content fingerprint.Fingerprint }

// PromptAnswered reports a complete answer to a request with a prompt. Parts is as in
// AttemptIncomplete. Framed is false if the answer had neither a length nor chunks, so that its
// upstream may have broken it off.
type PromptAnswered struct {
	Content  fingerprint.Fingerprint // of an unframed answer
	Org      string
	Instance routing.Instance
	Parts    []uint64
	Began    time.Time // of the attempt
	Framed   bool
}

func (AttemptIncomplete) input() {}
func (ConnRefused) input()       {}
func (Answered) input()          {}
func (PromptAnswered) input()    {}

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

// PartReport is a part of a prompt that is held because upstreams crashed while they ran requests
// with it, or, with Service empty, that no part is held any more.
type PartReport struct {
	Service string
	Part    uint64
	Crashes int
}

func (PartReport) output()       {}
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
	a := quarantine.Attempt{Content: in.Content, Org: version.IDOf(in.Org), Parts: partKeys(in.Instance.Service, in.Parts), Began: in.Began, Early: in.Early, Lost: in.Lost}
	if n.crashes.AttemptIncomplete(version.IDOf(in.Instance.StartID()), a, now) {
		n.out = append(n.out, Probe{Instance: in.Instance})
	}
}

// promptAnswered handles a complete answer to a request with a prompt.
func (n *Node) promptAnswered(in PromptAnswered, now time.Time) {
	a := quarantine.Answer{Content: in.Content, Org: version.IDOf(in.Org), Parts: partKeys(in.Instance.Service, in.Parts), Began: in.Began, Framed: in.Framed}
	n.crashes.AnsweredBy(version.IDOf(in.Instance.StartID()), a, now)
}

func partKeys(service string, parts []uint64) []quarantine.PartKey {
	out := make([]quarantine.PartKey, 0, len(parts))
	for _, part := range parts {
		out = append(out, quarantine.PartKey{Service: serviceID(service), Part: part})
	}
	return out
}

// partViewInterval is the shortest time between two copies of the held parts.
const partViewInterval = 30 * time.Millisecond

// HeldParts returns a copy of the prompt parts that are held, and whether it has changed since the
// last call.
func (n *Node) HeldParts(now time.Time) (quarantine.PartView, bool) {
	if now.Sub(n.partViewAt) < partViewInterval {
		return nil, false
	}
	n.partViewAt = now
	return n.crashes.PartView(func(k quarantine.PartKey) int { return n.partRank(k, now) })
}

// partRank is this router's place in the order in which routers try a part again after its hold.
func (n *Node) partRank(k quarantine.PartKey, now time.Time) int {
	return max(0, slices.Index(n.ranked(version.ID(k.Part)^k.Service, now), n.settings.ID))
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
	if sum := n.crashes.PartsChecksum(); sum != 0 { // a router that holds none is told by those that do
		p := n.outbox.Parts(to)
		p.HasChecksum, p.Checksum = true, sum
	}
}

// reportQuarantineChanges outputs the changes since the last call, for the log.
func (n *Node) reportQuarantineChanges() {
	for _, c := range n.crashes.Changes() {
		n.out = append(n.out, QuarantineReport{Change: c, Org: n.reports.orgNames[c.Org]})
	}
	for _, c := range n.crashes.PartChanges() {
		r := PartReport{Part: c.Part.Part, Crashes: c.Crashes}
		if p := n.pools[c.Part.Service]; p != nil {
			r.Service = p.service
		}
		n.out = append(n.out, r)
	}
}
