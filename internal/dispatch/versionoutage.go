package dispatch

import (
	"slices"
	"time"

	"github.com/silverswitch/silverswitch/internal/core/wire"
	"github.com/silverswitch/silverswitch/internal/version"
)

// The times in which streams began elsewhere than at their homes. In such a time an instance that was
// listed may have been the home of a stream or not, as at the uncertain bounds of a span. Whoever sees
// that a stream begins elsewhere tells those that keep its record, so that a router that lacks the
// record refuses the stream.

const (
	// outageTells is how often the outages are told after a change, since datagrams may be lost.
	outageTells = 3
	// outageTellInterval is the least time between two tellings to all routers.
	outageTellInterval = time.Second
	// maxVersionOutages bounds the outages that are kept of a service; beyond, all versions count.
	maxVersionOutages = 64
	// maxInheritedOutages bounds the outages of services that are not in the table yet.
	maxInheritedOutages = 256
)

// versionOutage is a time in which streams whose home ran a version began elsewhere.
type versionOutage struct {
	version     version.ID
	from, until time.Time
}

// addOutage adds an outage, or extends the one that it continues.
func (h *versionHistory) addOutage(o versionOutage) {
	for i := range h.outages {
		known := &h.outages[i]
		if known.version == o.version && !o.from.After(known.until.Add(listDelay)) && !known.from.After(o.until.Add(listDelay)) {
			known.from, known.until = earlier(known.from, o.from), later(known.until, o.until)
			return
		}
	}
	if len(h.outages) == maxVersionOutages {
		h.known, h.whole, h.outages = later(h.known, o.until), false, h.outages[:0]
	}
	h.outages = append(h.outages, o)
}

// dropOutages drops outages that ended long ago.
func (h *versionHistory) dropOutages(now time.Time) {
	h.outages = slices.DeleteFunc(h.outages, func(o versionOutage) bool { return now.Sub(o.until) > h.remembers() })
}

// cover returns the times in which an instance was certainly a home.
func (h *versionHistory) cover(s *versionSpan) []timeRange {
	if s.end().Before(s.from) {
		return nil
	}
	out := []timeRange{{s.from, s.end()}}
	for _, o := range h.outages {
		if o.version == s.version {
			out = without(out, o.from.Add(-listDelay), o.until.Add(listDelay))
		}
	}
	return out
}

// outageMessages returns the outages for another router.
func (h *versionHistory) outageMessages(service version.ID, now time.Time) (out []wire.VersionOutage) {
	for _, o := range h.outages {
		out = append(out, wire.VersionOutage{Service: service, Version: o.version, FromMS: offsetMS(o.from, now), UntilMS: offsetMS(o.until, now)})
	}
	return out
}

// tellOutages sends the outages of a service to the routers that keep its records, and at intervals to
// all: those that keep the records may be lost together.
func (n *Node) tellOutages(p *pool, group []wire.NodeID, now time.Time) {
	h := &p.history
	to := n.recordKeepers(group)
	switch {
	case h.outagesUntold && now.Sub(h.outagesToldAt) >= outageTellInterval:
		to, h.outagesToldAt, h.outagesUntold = n.members.Live(true), now, false
	case h.outageTells == 0:
		return
	}
	h.outageTells = max(0, h.outageTells-1)
	for _, id := range n.otherRouters(to) {
		w := n.work(id)
		w.VersionOutages = append(w.VersionOutages, h.outageMessages(p.id, now)...)
	}
}

// inheritedOutage is an outage of a service that is not known here yet.
type inheritedOutage struct {
	service version.ID
	versionOutage
}

// handleVersionOutages takes the outages that another router tells of into account.
func (n *Node) handleVersionOutages(list []wire.VersionOutage, now time.Time) {
	for _, m := range list {
		o := versionOutage{m.Version, timeAt(m.FromMS, now), earlier(timeAt(m.UntilMS, now), now)}
		if p := n.pools[m.Service]; p != nil {
			p.history.addOutage(o)
		} else if len(n.inheritedOutages) < maxInheritedOutages {
			n.inheritedOutages = append(n.inheritedOutages, inheritedOutage{m.Service, o})
		}
	}
}

// applyInheritedOutages gives services that have come to the table the outages that were told before.
func (n *Node) applyInheritedOutages() {
	n.inheritedOutages = slices.DeleteFunc(n.inheritedOutages, func(o inheritedOutage) bool {
		p := n.pools[o.service]
		if p != nil {
			p.history.addOutage(o.versionOutage)
		}
		return p != nil
	})
}
