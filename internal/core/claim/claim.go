// Package claim prevents a request that may not be repeated from running twice, whichever
// router the caller's retry reaches. Before such a request runs, its attempt needs the consent
// of a quorum of the key's witnesses: a few routers chosen by rendezvous hashing over every
// router that the fleet names, alive or not. Two quorums share a witness, and a witness
// consents to only one attempt for a key.
//
// Nothing is replicated, agreed in order or stored: a witness remembers a key for minutes, in
// memory, and vouches for no key that was minted before the witness started.
package claim

import (
	"bytes"
	"crypto/sha256"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
	"github.com/joomcode/errorx"

	"github.com/silverswitch/silverswitch/internal/core/wire"
)

// Limits on keys and on voting.
const (
	// KeyWindow is how long after minting a key may be used.
	KeyWindow = 10 * time.Minute
	// MaxClockSkew is how far the clocks of callers and routers may differ.
	MaxClockSkew = 5 * time.Second
	// MaxGroupSize is the maximum number of witnesses of a key.
	MaxGroupSize = 7
	// MaxKeys bounds a witness's memory; beyond it the witness does not consent.
	MaxKeys = 200000
	// VoteTimeout is how long votes are awaited, VoteRetryInterval the time between resends.
	VoteTimeout       = 600 * time.Millisecond
	VoteRetryInterval = 100 * time.Millisecond
)

// ErrKey is the error type of an idempotency key that has no usable time.
var ErrKey = errorx.NewNamespace("claim").NewType("key")

// Key is a hashed idempotency key with the time at which it was minted.
type Key struct {
	Sum    [16]byte
	Minted time.Time
}

// ParseKey parses an Idempotency-Key header. The key must be a UUID version 7, because its time
// tells a witness whether it may have forgotten the key.
func ParseKey(org, app, text string) (Key, error) {
	id, err := uuid.Parse(text)
	if err != nil || id.Version() != 7 {
		return Key{}, ErrKey.New("Idempotency-Key = %q: allowed: a UUID version 7", text)
	}
	sum := sha256.Sum256([]byte(org + "\x00" + app + "\x00" + id.String()))
	sec, nsec := id.Time().UnixTime()
	return Key{Sum: [16]byte(sum[:16]), Minted: time.Unix(sec, nsec)}, nil
}

// Group returns a key's witnesses, in rendezvous order.
func Group(key [16]byte, roster []wire.NodeID) []wire.NodeID {
	type ranked struct {
		id wire.NodeID
		h  uint64
	}
	all := make([]ranked, len(roster))
	for i, id := range roster {
		all[i] = ranked{id, rank(key, id)}
	}
	sort.Slice(all, func(i, j int) bool { return all[i].h > all[j].h })
	out := make([]wire.NodeID, 0, MaxGroupSize)
	for i := 0; i < len(all) && i < MaxGroupSize; i++ {
		out = append(out, all[i].id)
	}
	return out
}

// IsWitness reports whether a router is in a key's group.
func IsWitness(key [16]byte, id wire.NodeID, roster []wire.NodeID) bool {
	own, before := rank(key, id), 0
	for _, other := range roster {
		if rank(key, other) > own {
			before++
		}
	}
	return before < MaxGroupSize
}

// rank is a router's weight for a key (rendezvous hashing); the highest are the key's witnesses.
func rank(key [16]byte, id wire.NodeID) uint64 {
	var d xxhash.Digest
	d.Reset()
	d.Write(key[:])
	d.WriteString(string(id))
	return d.Sum64()
}

// Quorum is how many of g witnesses must consent. Two groups that differ in at most
// 2*Quorum(g)-g-1 members still have quorums that share a witness.
func Quorum(g int) int {
	if g < 5 {
		return g/2 + 1
	}
	return g/2 + 2
}

// minToRuleOut is the number of witnesses without another holder that proves that no other
// attempt can have had a quorum, even when the two groups differ in one member (g of 5 or more)
// or in none (g below 5).
func minToRuleOut(g int) int {
	if g < 5 {
		return g - Quorum(g) + 1
	}
	return g - Quorum(g) + 2
}

type holding struct {
	attempt wire.Attempt
	done    bool
	until   time.Time
}

// Witness remembers which attempt holds which key. The control goroutine owns it.
type Witness struct {
	started time.Time
	keys    map[[16]byte]*holding
}

// NewWitness returns a witness that vouches only for keys minted from now on.
func NewWitness(now time.Time) *Witness {
	return &Witness{started: now, keys: map[[16]byte]*holding{}}
}

// Handle handles a claim, and returns the vote. A claim with Release or Done set is not
// answered.
func (w *Witness) Handle(c *wire.Claim, now time.Time) (wire.Vote, bool) {
	h := w.keys[c.Key]
	mine := h != nil && h.attempt == c.Attempt
	if c.Release {
		if mine {
			delete(w.keys, c.Key)
		}
		return wire.Vote{}, false
	}
	if c.Done {
		if mine {
			h.done = true
		}
		return wire.Vote{}, false
	}
	v := wire.Vote{Key: c.Key, Attempt: c.Attempt}
	if h != nil && !mine {
		v.Verdict, v.Holder, v.Done = wire.VerdictTaken, h.attempt, h.done
		return v, true
	}
	v.Verdict = w.judge(c, now)
	if v.Verdict == wire.VerdictGranted && h == nil {
		w.keys[c.Key] = &holding{attempt: c.Attempt, until: time.UnixMilli(c.Minted).Add(KeyWindow + 2*MaxClockSkew)}
	}
	return v, true
}

// Decline returns the vote on a claim of a router that is not a witness of the key, as far as it knows.
func (w *Witness) Decline(c *wire.Claim) wire.Vote {
	v := wire.Vote{Key: c.Key, Attempt: c.Attempt, Verdict: wire.VerdictNotWitness}
	if h := w.keys[c.Key]; h != nil && h.attempt != c.Attempt {
		v.Verdict, v.Holder, v.Done = wire.VerdictTaken, h.attempt, h.done
	}
	return v
}

// judge returns the verdict on a key that no other attempt holds here.
func (w *Witness) judge(c *wire.Claim, now time.Time) wire.Verdict {
	minted := time.UnixMilli(c.Minted)
	if now.Sub(minted) > KeyWindow || minted.Sub(now) > MaxClockSkew {
		return wire.VerdictExpired
	}
	if !minted.After(w.started.Add(MaxClockSkew)) || len(w.keys) >= MaxKeys {
		return wire.VerdictForgotten
	}
	return wire.VerdictGranted
}

// Tick removes keys that no witness would still accept.
func (w *Witness) Tick(now time.Time) {
	for k, h := range w.keys {
		if now.After(h.until) {
			delete(w.keys, k)
		}
	}
}

// Len returns the number of keys remembered.
func (w *Witness) Len() int { return len(w.keys) }

// Result is the outcome of a Proposal.
type Result uint8

// The results of a proposal.
const (
	Pending       Result = iota
	Held                 // a quorum consented: only this attempt may run
	NotHeld              // no quorum, and no other attempt can have run
	Indeterminate        // no quorum, and another attempt may have run or be running
)

// Proposal collects the votes for one attempt. The control goroutine owns it.
type Proposal struct {
	Key      Key
	Attempt  wire.Attempt
	group    []wire.NodeID
	votes    map[wire.NodeID]wire.Vote
	started  time.Time
	lastSent time.Time
}

// NewProposal returns a proposal without votes, to the witnesses of its key.
func NewProposal(key Key, attempt wire.Attempt, roster []wire.NodeID, now time.Time) *Proposal {
	return &Proposal{Key: key, Attempt: attempt, group: Group(key.Sum, roster), votes: map[wire.NodeID]wire.Vote{}, started: now}
}

// Group returns the witnesses.
func (a *Proposal) Group() []wire.NodeID { return a.group }

// Vote records a witness's vote. Votes on other attempts and of other routers are ignored.
func (a *Proposal) Vote(from wire.NodeID, v wire.Vote) {
	if v.Attempt != a.Attempt || !bytes.Equal(v.Key[:], a.Key.Sum[:]) {
		return
	}
	for _, id := range a.group {
		if id == from {
			a.votes[from] = v
		}
	}
}

// Due returns the witnesses to which the claim is to be sent now, for the first time or again.
func (a *Proposal) Due(now time.Time) []wire.NodeID {
	if !a.lastSent.IsZero() && now.Sub(a.lastSent) < VoteRetryInterval {
		return nil
	}
	a.lastSent = now
	var out []wire.NodeID
	for _, id := range a.group {
		if _, voted := a.votes[id]; !voted {
			out = append(out, id)
		}
	}
	return out
}

// Claim returns the message to the witnesses.
func (a *Proposal) Claim() wire.Claim {
	return wire.Claim{Key: a.Key.Sum, Minted: a.Key.Minted.UnixMilli(), Attempt: a.Attempt}
}

// Result returns what the votes so far prove.
func (a *Proposal) Result(now time.Time) Result {
	granted := 0
	for _, v := range a.votes {
		if v.Verdict == wire.VerdictGranted {
			granted++
		}
	}
	g := len(a.group)
	if granted >= Quorum(g) {
		return Held
	}
	undecided := g - len(a.votes)
	if undecided > 0 && now.Sub(a.started) < VoteTimeout {
		return Pending
	}
	if granted >= minToRuleOut(g) {
		return NotHeld
	}
	return Indeterminate
}

// Refusal returns the verdict that kept the attempt from its quorum, for the answer to the
// caller.
func (a *Proposal) Refusal() (verdict wire.Verdict, done bool) {
	for _, v := range a.votes {
		if v.Verdict == wire.VerdictTaken {
			return v.Verdict, v.Done
		}
	}
	for _, v := range a.votes {
		if v.Verdict != wire.VerdictGranted && (verdict == wire.VerdictGranted || v.Verdict < verdict) {
			verdict = v.Verdict
		}
	}
	return verdict, false
}
