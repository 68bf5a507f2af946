package core

import (
	"maps"
	"slices"
	"sort"
	"time"

	"github.com/silverswitch/silverswitch/internal/core/claim"
	"github.com/silverswitch/silverswitch/internal/core/entry"
	"github.com/silverswitch/silverswitch/internal/core/wire"
	"github.com/silverswitch/silverswitch/internal/version"
)

// claimComeBack is when a caller should try again after the witnesses were out
// of reach: membership and the VM list have had time to change.
const claimComeBack = 5 * time.Second

// arrive takes a request: with a key, to the witnesses first.
func (n *Node) arrive(in Arrive, now time.Time) {
	if in.Key == nil {
		n.entry.Arrive(in.Request, now)
		return
	}
	attempt := wire.Attempt{Node: n.set.ID, Inc: n.set.Inc, No: in.Request.ID}
	a := &asking{ask: claim.NewAsk(*in.Key, attempt, n.members.Roster(), now), req: in.Request}
	n.asks[in.Request.ID] = a
	n.pursue(a, now)
}

// pursue asks the witnesses that have not voted and acts on what is proved.
func (n *Node) pursue(a *asking, now time.Time) {
	for _, id := range a.ask.Due(now) {
		d := n.box.To(id)
		d.Claims = append(d.Claims, a.ask.Claim())
	}
	switch a.ask.Result(now) {
	case claim.Held:
		delete(n.asks, a.req.ID)
		n.holds[a.req.ID] = a.ask
		n.entry.Arrive(a.req, now)
	case claim.NotHeld:
		n.refuseClaim(a, false)
	case claim.InDoubt:
		n.refuseClaim(a, true)
	}
}

func (n *Node) refuseClaim(a *asking, doubt bool) {
	delete(n.asks, a.req.ID)
	n.sendRelease(a.ask)
	verdict, _ := a.ask.Why()
	n.out = append(n.out, Refuse{ID: a.req.ID, Reason: claimReason(verdict), After: claimComeBack, Doubt: doubt})
}

func claimReason(v wire.Verdict) entry.Reason {
	switch v {
	case wire.VerdictTaken:
		return entry.ReasonKeyTaken
	case wire.VerdictExpired:
		return entry.ReasonKeyExpired
	case wire.VerdictCannot:
		return entry.ReasonKeyForgotten
	}
	return entry.ReasonNoWitnesses
}

// release frees the key of a request that was refused before it ran.
func (n *Node) release(id uint64) {
	if ask := n.holds[id]; ask != nil {
		delete(n.holds, id)
		n.sendRelease(ask)
	}
}

func (n *Node) sendRelease(ask *claim.Ask) {
	c := ask.Claim()
	c.Release = true
	n.tellWitnesses(ask, c)
}

func (n *Node) tellWitnesses(ask *claim.Ask, c wire.Claim) {
	for _, id := range ask.Group() {
		d := n.box.To(id)
		d.Claims = append(d.Claims, c)
	}
}

func (n *Node) cancel(id uint64) {
	if a := n.asks[id]; a != nil {
		delete(n.asks, id)
		n.sendRelease(a.ask)
		return
	}
	if n.entry.Cancel(id) {
		n.release(id)
	}
}

// finish ends a running request. Its key stays held: it may have run.
func (n *Node) finish(in Finish, now time.Time) {
	n.entry.Finish(in.ID, in.Units, in.Sample, now)
	ask := n.holds[in.ID]
	if ask == nil {
		return
	}
	delete(n.holds, in.ID)
	if in.Answered {
		c := ask.Claim()
		c.Done = true
		n.tellWitnesses(ask, c)
	}
}

// hearClaims answers claims as a witness and takes votes as an asker.
func (n *Node) hearClaims(d *wire.Datagram, now time.Time) {
	for i := range d.Claims {
		if v, answer := n.witness.Hear(&d.Claims[i], now); answer {
			to := n.box.To(d.From)
			to.Votes = append(to.Votes, v)
		}
	}
	for _, v := range d.Votes {
		a := n.asks[v.Attempt.No]
		if a == nil {
			continue
		}
		a.ask.Vote(d.From, v)
		n.pursue(a, now)
	}
}

func (n *Node) tickAsks(now time.Time) {
	for _, id := range slices.Sorted(maps.Keys(n.asks)) {
		if a := n.asks[id]; a != nil {
			n.pursue(a, now)
		}
	}
}

// markDrain notes that an upstream is leaving. First-hand news is told to others
// for as long as it holds, hearsay for a few seconds. What is not firm lapses.
func (n *Node) markDrain(id version.ID, how drain, now time.Time) {
	d := n.drains[id]
	if d == nil {
		d = &drain{first: now}
		n.drains[id] = d
		n.setDrain(id, true)
		n.event("upstream-leaving", uint64(id), "")
		if how.firstHand {
			for _, peer := range n.members.Random(pushTo) {
				n.box.To(peer)
			}
		}
	}
	d.renewed = now
	d.firstHand = d.firstHand || how.firstHand
	d.firm = d.firm || how.firm
}

func (n *Node) unmark(id version.ID) {
	if n.drains[id] == nil {
		return
	}
	delete(n.drains, id)
	n.setDrain(id, false)
	n.event("upstream-back", uint64(id), "")
}

func (n *Node) setDrain(id version.ID, drain bool) {
	n.entry.Drain(id, drain)
	for _, p := range n.pools {
		p.Drain(id, drain)
	}
}

func (n *Node) tickDrains(now time.Time) {
	for id, d := range n.drains {
		if !d.firm && now.Sub(d.renewed) > drainHold {
			n.unmark(id)
		}
	}
}

// drainsToTell lists the upstreams this node tells others of.
func (n *Node) drainsToTell() []version.ID {
	var out []version.ID
	for id, d := range n.drains {
		if d.firstHand || n.lastTick.Sub(d.first) < drainSpread {
			out = append(out, id)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i] < out[j] })
	return out
}
