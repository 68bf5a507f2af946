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

// claimRetryAfter is when a caller should retry after the witnesses were unreachable. By then
// membership and the VM list have had time to change.
const claimRetryAfter = 5 * time.Second

// joinRetryAfter is when a caller should retry an order that came before this router knew the fleet.
const joinRetryAfter = time.Second

// arrive handles a new request. A request with a key first needs the consent of the key's
// witnesses. A router that does not know the fleet yet cannot tell who they are: a quorum of the
// routers that it happens to know shares no witness with that of another router.
func (n *Node) arrive(in Arrive, now time.Time) {
	if in.Key == nil {
		n.entry.Arrive(in.Request, now)
		return
	}
	if !n.members.KnowsFleet() {
		n.out = append(n.out, Refuse{ID: in.Request.ID, Reason: entry.ReasonNoWitnesses, RetryAfter: joinRetryAfter, MayHaveRun: true})
		return
	}
	attempt := wire.Attempt{Node: n.settings.ID, Inc: n.settings.Inc, No: in.Request.ID}
	a := &pendingProposal{proposal: claim.NewProposal(*in.Key, attempt, n.members.Roster(), now), req: in.Request}
	n.proposals[in.Request.ID] = a
	n.advanceProposal(a, now)
}

// vote answers a claim as a witness. A router consents only to keys whose witness it is by its own
// knowledge of the fleet, whatever the router that asks takes for the fleet. So two quorums without a
// common witness need three witnesses that neither have the VM list nor have heard of the other ones.
func (n *Node) vote(c *wire.Claim, now time.Time) (wire.Vote, bool) {
	if !c.Release && !c.Done && !n.isWitness(c) {
		return n.witness.Decline(c), true
	}
	return n.witness.Handle(c, now)
}

// isWitness reports whether this router is a witness of a key, as far as it knows. Routers that the VM
// list does not name yet count from the first key on that they vouch for.
func (n *Node) isWitness(c *wire.Claim) bool {
	if !n.members.KnowsFleet() || !n.members.IsListed() {
		return false
	}
	vouchFor := time.UnixMilli(c.Minted).Add(-claim.MaxClockSkew)
	return claim.IsWitness(c.Key, n.settings.ID, n.members.Witnesses(vouchFor))
}

// advanceProposal sends the claim to witnesses that have not voted, and acts on the result.
func (n *Node) advanceProposal(a *pendingProposal, now time.Time) {
	for _, id := range a.proposal.Due(now) {
		d := n.outbox.To(id)
		d.Claims = append(d.Claims, a.proposal.Claim())
	}
	switch a.proposal.Result(now) {
	case claim.Held:
		delete(n.proposals, a.req.ID)
		n.heldClaims[a.req.ID] = a.proposal
		n.entry.Arrive(a.req, now)
	case claim.NotHeld:
		n.refuseClaim(a, false)
	case claim.Indeterminate:
		n.refuseClaim(a, true)
	}
}

func (n *Node) refuseClaim(a *pendingProposal, mayHaveRun bool) {
	delete(n.proposals, a.req.ID)
	n.sendRelease(a.proposal)
	verdict, _ := a.proposal.Refusal()
	n.out = append(n.out, Refuse{ID: a.req.ID, Reason: claimReason(verdict), RetryAfter: claimRetryAfter, MayHaveRun: mayHaveRun})
}

func claimReason(v wire.Verdict) entry.Reason {
	switch v {
	case wire.VerdictTaken:
		return entry.ReasonKeyTaken
	case wire.VerdictExpired:
		return entry.ReasonKeyExpired
	case wire.VerdictForgotten:
		return entry.ReasonKeyForgotten
	}
	return entry.ReasonNoWitnesses
}

// release frees the key of a request that was refused before it ran.
func (n *Node) release(id uint64) {
	if proposal := n.heldClaims[id]; proposal != nil {
		delete(n.heldClaims, id)
		n.sendRelease(proposal)
	}
}

func (n *Node) sendRelease(proposal *claim.Proposal) {
	c := proposal.Claim()
	c.Release = true
	n.sendToWitnesses(proposal, c)
}

func (n *Node) sendToWitnesses(proposal *claim.Proposal, c wire.Claim) {
	for _, id := range proposal.Group() {
		d := n.outbox.To(id)
		d.Claims = append(d.Claims, c)
	}
}

func (n *Node) cancel(id uint64) {
	if a := n.proposals[id]; a != nil {
		delete(n.proposals, id)
		n.sendRelease(a.proposal)
		return
	}
	if n.entry.Cancel(id) {
		n.release(id)
	}
}

// finish ends a running request. Its key stays held, since the request may have run.
func (n *Node) finish(in Finish, now time.Time) {
	n.entry.Finish(in.ID, in.Units, in.Sample, now)
	proposal := n.heldClaims[in.ID]
	if proposal == nil {
		return
	}
	delete(n.heldClaims, in.ID)
	if in.Answered {
		c := proposal.Claim()
		c.Done = true
		n.sendToWitnesses(proposal, c)
	}
}

// handleClaims answers claims as a witness, and handles votes on this router's own proposals.
func (n *Node) handleClaims(d *wire.Datagram, now time.Time) {
	for i := range d.Claims {
		if v, answer := n.vote(&d.Claims[i], now); answer {
			to := n.outbox.To(d.From)
			to.Votes = append(to.Votes, v)
		}
	}
	for _, v := range d.Votes {
		a := n.proposals[v.Attempt.No]
		if a == nil {
			continue
		}
		a.proposal.Vote(d.From, v)
		n.advanceProposal(a, now)
	}
}

func (n *Node) tickProposals(now time.Time) {
	for _, id := range slices.Sorted(maps.Keys(n.proposals)) {
		if a := n.proposals[id]; a != nil {
			n.advanceProposal(a, now)
		}
	}
}

// markDrain records that an upstream is leaving. First-hand information is announced to others
// as long as it holds, second-hand information for a few seconds. A drain that is not
// persistent expires. at is when the notice was given, as far as this node knows.
func (n *Node) markDrain(id version.ID, info drain, at time.Time) {
	d := n.drains[id]
	if d == nil {
		d = &drain{learnedAt: at}
		n.drains[id] = d
		n.setDrain(id, true)
		n.event("upstream-leaving", uint64(id), "")
		if info.firstHand {
			for _, peer := range n.members.Random(pushFanout) {
				n.outbox.To(peer)
			}
		}
	}
	if at.After(d.renewedAt) {
		d.renewedAt = at
	}
	d.firstHand = d.firstHand || info.firstHand
	d.persistent = d.persistent || info.persistent
}

// applyLeavingList drains the upstreams that the VM list marks as leaving, and ends the drains of
// those that it marked before and does not any more. An upstream that it does not name stays as it
// is, since the list lags.
func (n *Node) applyLeavingList(in Roster, now time.Time) {
	for _, address := range in.Serving {
		if !n.leavingAt[address] {
			continue
		}
		delete(n.leavingAt, address)
		for _, id := range n.upstreamsAt(map[string]bool{address: true}) {
			n.clearDrain(id)
		}
	}
	for _, address := range in.Leaving {
		n.leavingAt[address] = true
	}
	n.drainListed(now)
}

// drainListed drains the upstreams of the version in force at the addresses that the VM list marks as
// leaving. The list and the version are read in any order.
func (n *Node) drainListed(now time.Time) {
	for _, id := range n.upstreamsAt(n.leavingAt) {
		n.markDrain(id, drain{firstHand: true, persistent: true}, now)
	}
}

// upstreamsAt returns the upstreams at some addresses, sorted. A VM may serve several.
func (n *Node) upstreamsAt(addresses map[string]bool) []version.ID {
	if n.ver == nil || len(addresses) == 0 {
		return nil
	}
	var out []version.ID
	for id, u := range n.ver.Upstreams {
		if addresses[u.Address] {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}

func (n *Node) clearDrain(id version.ID) {
	if n.drains[id] == nil {
		return
	}
	delete(n.drains, id)
	n.setDrain(id, false)
	n.event("upstream-back", uint64(id), "")
}

func (n *Node) setDrain(id version.ID, draining bool) {
	n.entry.Drain(id, draining)
	for _, p := range n.pools {
		p.Drain(id, draining)
	}
}

func (n *Node) expireDrains(now time.Time) {
	for id, d := range n.drains {
		if !d.persistent && now.Sub(d.renewedAt) > drainTTL {
			n.clearDrain(id)
		}
	}
}

// leavingNotices returns every notice that holds, with its age, for a router that has just started: the
// one that was given the notice may be gone by then. The age keeps a notice from outliving its time
// by being passed on.
func (n *Node) leavingNotices() []wire.LeavingNotice {
	var out []wire.LeavingNotice
	for _, id := range slices.Sorted(maps.Keys(n.drains)) {
		l := wire.LeavingNotice{Upstream: id}
		if d := n.drains[id]; !d.persistent {
			l.AgeMS = uint32(max(0, n.lastTick.Sub(d.renewedAt).Milliseconds()))
		}
		out = append(out, l)
	}
	return out
}

// adoptLeavingNotices records the notices that a router has sent to this one, which joins.
func (n *Node) adoptLeavingNotices(notices []wire.LeavingNotice, now time.Time) {
	for _, l := range notices {
		if age := time.Duration(l.AgeMS) * time.Millisecond; age < drainTTL {
			n.markDrain(l.Upstream, drain{}, now.Add(-age))
		}
	}
}

// drainsToAnnounce lists the leaving upstreams that this node announces to others.
func (n *Node) drainsToAnnounce() []version.ID {
	var out []version.ID
	for id, d := range n.drains {
		if d.firstHand || n.lastTick.Sub(d.learnedAt) < drainAnnounceDuration {
			out = append(out, id)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i] < out[j] })
	return out
}
