package core

import (
	"fmt"
	"time"

	"github.com/silverswitch/silverswitch/internal/core/quarantine"
	"github.com/silverswitch/silverswitch/internal/core/wire"
	"github.com/silverswitch/silverswitch/internal/fingerprint"
	"github.com/silverswitch/silverswitch/internal/version"
)

// AttemptIncomplete says that an attempt ended without a complete answer although the upstream
// may have run it. Early is set when its answer had no event yet.
type AttemptIncomplete struct {
	Content  fingerprint.Fingerprint
	Org      version.ID
	Upstream version.ID
	Began    time.Time // start of the attempt
	Early    bool
}

// ConnRefused says that an upstream's address refuses connections: its process has ended.
type ConnRefused struct{ Upstream version.ID }

// Answered says that a request to which crashes are attributed received a complete answer.
type Answered struct{ Content fingerprint.Fingerprint }

func (AttemptIncomplete) input() {}
func (ConnRefused) input()       {}
func (Answered) input()          {}

// Probe asks the driver whether an upstream's address refuses connections.
type Probe struct{ Upstream version.ID }

func (Probe) output() {}

// crashWindow is the time within which the ends of one upstream count as one crash, since no
// identifier distinguishes the processes of an upstream that restarts. Routers observe a crash
// within milliseconds of each other, and a process is either away for longer than the window or
// ends once within it.
const crashWindow = 5 * time.Second

// crashID returns the ID of an upstream's crash at a time.
func crashID(up version.ID, now time.Time) version.ID {
	return version.IDOf(fmt.Sprint(up, now.UnixNano()/int64(crashWindow)))
}

// Quarantine returns a copy of what is known of requests, and whether it has changed since the
// last call.
func (n *Node) Quarantine() (quarantine.View, bool) { return n.crashes.View() }

// attemptIncomplete handles an attempt that ended without a complete answer. The end of an upstream that is
// leaving is planned, and so is no evidence against the requests that it still runs.
func (n *Node) attemptIncomplete(in AttemptIncomplete, now time.Time) {
	if n.drains[in.Upstream] != nil {
		return
	}
	a := quarantine.Attempt{Content: in.Content, Org: in.Org, Began: in.Began, Early: in.Early, Lost: true}
	if n.crashes.AttemptIncomplete(in.Upstream, a, now) {
		n.out = append(n.out, Probe{Upstream: in.Upstream})
	}
}

func (n *Node) connRefused(up version.ID, now time.Time) {
	if n.drains[up] != nil {
		return
	}
	if running, isNew := n.crashes.Ended(up, crashID(up, now), now); isNew {
		n.event("upstream-ended", uint64(running), fmt.Sprintf("upstream %d refuses connections; value: attempts that it left without an answer", up))
	}
}

// attachQuarantineChecksum adds the checksum of the held requests to pings and acks, which every
// router soon receives from every other.
func (n *Node) attachQuarantineChecksum(d *wire.Datagram) {
	if d.Ping == nil && d.Ack == nil {
		return
	}
	if d.Crashes == nil {
		d.Crashes = &wire.CrashUpdate{}
	}
	d.Crashes.HasChecksum, d.Crashes.Checksum = true, n.crashes.Checksum()
}

// logQuarantineChanges outputs changes in what is known of requests, for the log.
func (n *Node) logQuarantineChanges() {
	for _, c := range n.crashes.Changes() {
		detail := fmt.Sprintf("fingerprint %s, organisation %d, held for %v, seen by %q; value: crashes", c.Content, c.Org, c.Held, c.From)
		n.event("request-suspected", uint64(c.Crashes), detail)
	}
}

// organisationNames returns the organisations' names by ID.
func (n *Node) organisationNames() map[version.ID]string {
	out := map[version.ID]string{}
	if n.ver == nil {
		return out
	}
	for id, o := range n.ver.Organisations {
		out[id] = o.Name
	}
	return out
}
