package dispatch

import (
	"time"

	"github.com/silverswitch/silverswitch/internal/core/wire"
	"github.com/silverswitch/silverswitch/internal/version"
)

// The scheduler's word on how an organisation stands, told to the routers by which the
// organisation comes in, and what such a router may give it without being told again.
//
// Load pattern: an organisation sends many times its share by a router that is short of
// processor. Answers come there after the router has stopped waiting for them, so it
// decides alone, for all that comes. It may then neither refuse everything nor place
// everything: it places what the share covers of what comes in here.

const (
	// shareUpdateInterval is the least time between two words to one router on one organisation:
	// with the lateness of a slow router on top still a small part of the window.
	shareUpdateInterval = 100 * time.Millisecond
	// overTTL is how long the word that an organisation has had its share holds by itself:
	// half of the window in which shares are counted.
	overTTL = shareSteps * shareStep / 2
	// shareUpdateTTL is how long the share that was told is remembered. Shares change with what
	// all others ask for; an old one is still nearer than an even part.
	shareUpdateTTL = 30 * time.Second
	// minLocalShareRatio is the least part of a share that a router gives alone: of a few requests
	// one is more than their part. More routers than that are not late at once.
	minLocalShareRatio = 1.0 / 8
)

// serviceOrg is an organisation at a service.
type serviceOrg struct{ service, org version.ID }

// receivedShareUpdate is the scheduler's latest word on an organisation.
type receivedShareUpdate struct {
	wire.ShareWord
	at time.Time
}

// words keeps what was heard, and when what was told last.
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

// sendShareUpdate tells a router how an organisation stands, unless it was told just now. Only
// the scheduler has a word: another router that is asked in its place says nothing.
func (n *Node) sendShareUpdate(to wire.NodeID, p *pool, org version.ID, now time.Time) {
	if p.engine == nil || n.schedulerOf(p.id, now) != n.set.ID {
		return
	}
	k := shareUpdateKey{to, serviceOrg{p.id, org}}
	if now.Sub(n.words.sent[k]) < shareUpdateInterval {
		return
	}
	n.words.sent[k] = now
	over := p.meter.over(org, now)
	w := n.work(to)
	w.Words = append(w.Words, wire.ShareWord{
		Service: p.id,
		Org:     org,
		Over:    overPercent(over),
		Share:   uint32(p.meter.shares[org]),
		Asked:   uint32(windowTotal(&p.meter.usageOf(org).asked)),
	})
}

// hundredths is a part of a share as it is told.
func overPercent(over float64) uint32 { return uint32(100 * min(over, maxReportedOver)) }

// handleShareUpdates keeps what the scheduler says, also in answers that come too late.
func (n *Node) handleShareUpdates(list []wire.ShareWord, now time.Time) {
	for _, w := range list {
		n.words.received[serviceOrg{w.Service, w.Org}] = receivedShareUpdate{w, now}
	}
}

// expire forgets words that say nothing any more.
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

// localOver is how far over its share an organisation is for a decision without the
// scheduler: by the scheduler's word while that is fresh, and by what was placed here in
// the window against what the share covers of what came in here.
func (n *Node) localOver(p *pool, org version.ID, now time.Time) float64 {
	over := 0.0
	if allowed := n.localAllowance(p, org, now); allowed > 0 {
		over = windowTotal(&p.here.at(org, now).got) / allowed
	}
	if w := n.words.received[serviceOrg{p.id, org}]; !w.at.IsZero() && now.Sub(w.at) < overTTL {
		over = max(over, float64(w.Over)/100)
	}
	return over
}

// allowance is how many tokens of an organisation this router places in a window without
// the scheduler, 0 for no bound: what is asked here of the organisation's share, by the
// scheduler's last word; an even part of the capacity where there was none.
func (n *Node) localAllowance(p *pool, org version.ID, now time.Time) float64 {
	w := n.words.received[serviceOrg{p.id, org}]
	if w.at.IsZero() {
		return p.here.capacity / float64(max(1, len(n.reports.orgNames)))
	}
	asked := windowTotal(&p.here.at(org, now).asked)
	part := asked / max(1, float64(w.Asked))
	return float64(w.Share) * min(1, max(part, minLocalShareRatio))
}
