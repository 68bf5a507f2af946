package dispatch

import (
	"time"

	"github.com/silverswitch/silverswitch/internal/core/wire"
	"github.com/silverswitch/silverswitch/internal/version"
)

// Share updates: the scheduler reports how much of its share an organisation has used to
// the routers that receive the organisation's requests, and with that how much such a
// router may place without a placement request.
//
// Load pattern: an organisation sends many times its share through a router that is short
// of CPU. Placement replies arrive there after the router has stopped waiting for them, so
// it makes a local decision for every request. It may neither refuse everything nor place
// everything: it places the fraction of the share that corresponds to the requests it
// receives.

const (
	// shareUpdateInterval is the minimum time between two updates to one router on one
	// organisation. Together with the delay of an overloaded router it is still a small
	// fraction of the window.
	shareUpdateInterval = 100 * time.Millisecond
	// overShareTTL is how long an update that an organisation has used up its share is valid by
	// itself: half of the window in which shares are counted.
	overShareTTL = shareSteps * shareStep / 2
	// shareUpdateTTL is how long a reported share is remembered. Shares change with the
	// demand of all other organisations, but an old share is still a better estimate than
	// an even one.
	shareUpdateTTL = 30 * time.Second
	// minLocalShareRatio is the smallest fraction of a share that a router grants in local
	// decisions: when few requests arrive, a single one can exceed the router's fraction.
	// No more than eight routers are expected to be overloaded at once.
	minLocalShareRatio = 1.0 / 8
)

// serviceOrg names an organisation at a service.
type serviceOrg struct{ service, org version.ID }

// receivedShareUpdate is the scheduler's latest update on an organisation.
type receivedShareUpdate struct {
	wire.ShareUpdate
	at time.Time
}

// shareUpdates keeps the updates received, and when each update was last sent.
type shareUpdates struct {
	received map[serviceOrg]receivedShareUpdate
	sent     map[shareUpdateKey]time.Time
}

type shareUpdateKey struct {
	to wire.NodeID
	serviceOrg
}

func newShareUpdates() shareUpdates {
	return shareUpdates{received: map[serviceOrg]receivedShareUpdate{}, sent: map[shareUpdateKey]time.Time{}}
}

// sendShareUpdate reports to a router how much of its share an organisation has used,
// unless it did so just now. Only the scheduler reports this: a router that decides in
// the scheduler's place does not know.
func (n *Node) sendShareUpdate(to wire.NodeID, p *pool, org version.ID, now time.Time) {
	if p.engine == nil || n.schedulerOf(p.id, now) != n.settings.ID {
		return
	}
	k := shareUpdateKey{to, serviceOrg{p.id, org}}
	if now.Sub(n.shareUpdates.sent[k]) < shareUpdateInterval {
		return
	}
	n.shareUpdates.sent[k] = now
	usedShare := p.meter.usedShare(org, now)
	w := n.work(to)
	w.ShareUpdates = append(w.ShareUpdates, wire.ShareUpdate{
		Service:      p.id,
		Org:          org,
		SharePercent: usedSharePercent(usedShare),
		Share:        uint32(p.meter.shares[org]),
		Requested:    uint32(windowTotal(&p.meter.usageOf(org).requested)),
	})
}

// usedSharePercent is the use of a share as it is reported, in per cent.
func usedSharePercent(usedShare float64) uint32 {
	return uint32(100 * min(usedShare, maxReportedUsedShare))
}

// handleShareUpdates keeps the scheduler's updates, including those that come with replies
// that are too late.
func (n *Node) handleShareUpdates(list []wire.ShareUpdate, now time.Time) {
	for _, w := range list {
		n.shareUpdates.received[serviceOrg{w.Service, w.Org}] = receivedShareUpdate{w, now}
	}
}

// expire forgets updates that are no longer valid.
func (w *shareUpdates) expire(now time.Time) {
	for k, h := range w.received {
		if now.Sub(h.at) >= shareUpdateTTL {
			delete(w.received, k)
		}
	}
	for k, at := range w.sent {
		if now.Sub(at) >= shareUpdateInterval {
			delete(w.sent, k)
		}
	}
}

// localUsedShare is how much of its share an organisation has used, for a decision without the
// scheduler: the larger of the scheduler's latest value, while that is fresh, and of what
// was placed here in the window as a ratio of the local allowance.
func (n *Node) localUsedShare(p *pool, org version.ID, now time.Time) float64 {
	usedShare := 0.0
	if allowed := n.localAllowance(p, org, now); allowed > 0 {
		usedShare = windowTotal(&p.local.at(org, now).got) / allowed
	}
	if w := n.shareUpdates.received[serviceOrg{p.id, org}]; !w.at.IsZero() && now.Sub(w.at) < overShareTTL {
		usedShare = max(usedShare, float64(w.SharePercent)/100)
	}
	return usedShare
}

// localAllowance is how many tokens of an organisation this router may place in a window
// without the scheduler, 0 for no limit. It is the fraction of the organisation's share
// that corresponds to the demand received here, by the scheduler's latest update, or an
// even part of the capacity without an update.
func (n *Node) localAllowance(p *pool, org version.ID, now time.Time) float64 {
	w := n.shareUpdates.received[serviceOrg{p.id, org}]
	if w.at.IsZero() {
		return p.local.capacity / float64(max(1, len(n.reports.orgNames)))
	}
	requested := windowTotal(&p.local.at(org, now).requested)
	fraction := requested / max(1, float64(w.Requested))
	return float64(w.Share) * min(1, max(fraction, minLocalShareRatio))
}
