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
	// wordEvery is the least time between two words to one router on one organisation:
	// with the lateness of a slow router on top still a small part of the window.
	wordEvery = 100 * time.Millisecond
	// wordFor is how long the word that an organisation has had its share holds by itself:
	// half of the window in which shares are counted.
	wordFor = shareSteps * shareStep / 2
	// shareFor is how long the share that was told is remembered. Shares change with what
	// all others ask for; an old one is still nearer than an even part.
	shareFor = 30 * time.Second
	// leastPart is the least part of a share that a router gives alone: of a few requests
	// one is more than their part. More routers than that are not late at once.
	leastPart = 1.0 / 8
)

// orgAt is an organisation at a service.
type orgAt struct{ service, org version.ID }

// heardWord is the scheduler's latest word on an organisation.
type heardWord struct {
	wire.ShareUpdate
	at time.Time
}

// words keeps what was heard, and when what was told last.
type words struct {
	heard map[orgAt]heardWord
	told  map[wordKey]time.Time
}

type wordKey struct {
	to wire.NodeID
	orgAt
}

func newWords() words { return words{heard: map[orgAt]heardWord{}, told: map[wordKey]time.Time{}} }

// tellWord tells a router how an organisation stands, unless it was told just now. Only
// the scheduler has a word: another router that is asked in its place says nothing.
func (n *Node) tellWord(to wire.NodeID, p *pool, org version.ID, now time.Time) {
	if p.engine == nil || n.schedulerOf(p.id, now) != n.set.ID {
		return
	}
	k := wordKey{to, orgAt{p.id, org}}
	if now.Sub(n.words.told[k]) < wordEvery {
		return
	}
	n.words.told[k] = now
	over := p.meter.over(org, now)
	w := n.work(to)
	w.ShareUpdates = append(w.ShareUpdates, wire.ShareUpdate{
		Service:      p.id,
		Org:          org,
		SharePercent: hundredths(over),
		Share:        uint32(p.meter.shares[org]),
		Requested:    uint32(total(&p.meter.of(org).asked)),
	})
}

// hundredths is a part of a share as it is told.
func hundredths(over float64) uint32 { return uint32(100 * min(over, mostOver)) }

// heardWords keeps what the scheduler says, also in answers that come too late.
func (n *Node) heardWords(list []wire.ShareUpdate, now time.Time) {
	for _, w := range list {
		n.words.heard[orgAt{w.Service, w.Org}] = heardWord{w, now}
	}
}

// expire forgets words that say nothing any more.
func (w *words) expire(now time.Time) {
	for k, h := range w.heard {
		if now.Sub(h.at) >= shareFor {
			delete(w.heard, k)
		}
	}
	for k, at := range w.told {
		if now.Sub(at) >= wordEvery {
			delete(w.told, k)
		}
	}
}

// aloneOver is how far over its share an organisation is for a decision without the
// scheduler: by the scheduler's word while that is fresh, and by what was placed here in
// the window against what the share covers of what came in here.
func (n *Node) aloneOver(p *pool, org version.ID, now time.Time) float64 {
	over := 0.0
	if allowed := n.allowance(p, org, now); allowed > 0 {
		over = total(&p.here.at(org, now).got) / allowed
	}
	if w := n.words.heard[orgAt{p.id, org}]; !w.at.IsZero() && now.Sub(w.at) < wordFor {
		over = max(over, float64(w.SharePercent)/100)
	}
	return over
}

// allowance is how many tokens of an organisation this router places in a window without
// the scheduler, 0 for no bound: what is asked here of the organisation's share, by the
// scheduler's last word; an even part of the capacity where there was none.
func (n *Node) allowance(p *pool, org version.ID, now time.Time) float64 {
	w := n.words.heard[orgAt{p.id, org}]
	if w.at.IsZero() {
		return p.here.capacity / float64(max(1, len(n.reports.names)))
	}
	asked := total(&p.here.at(org, now).asked)
	part := asked / max(1, float64(w.Requested))
	return float64(w.Share) * min(1, max(part, leastPart))
}
