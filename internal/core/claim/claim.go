// Package claim keeps a request that may not be repeated from running twice,
// whichever router the caller's retry enters by. Before such a request runs, its
// attempt needs the consent of a quorum of the key's witnesses: a few routers
// chosen by rendezvous hashing over every router the fleet names, alive or not.
// Two quorums share a witness, and a witness consents to one attempt a key.
//
// Nothing is replicated, agreed in order or kept: a witness remembers a key for
// minutes, in memory, and vouches for no key minted before it started.
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

// Bounds of a key's life.
const (
	// Window is how long after minting a key may be used.
	KeyWindow = 10 * time.Minute
	// Skew is how far callers' and routers' clocks may differ.
	MaxClockSkew = 5 * time.Second
	// MaxGroupSize is the largest number of witnesses of a key.
	MaxGroupSize = 7
	// MaxKeys bounds a witness's memory; beyond it, it refuses.
	MaxKeys = 200000
	// VoteTimeout is how long votes are awaited, VoteRetryInterval between resends.
	VoteTimeout       = 600 * time.Millisecond
	VoteRetryInterval = 100 * time.Millisecond
)

// ErrKey is an idempotency key that cannot be dated.
var ErrKey = errorx.NewNamespace("claim").NewType("key")

// Key is a hashed idempotency key with the moment it was minted.
type Key struct {
	Sum    [16]byte
	Minted time.Time
}

// ParseKey reads an Idempotency-Key. It must be a UUID version 7, because its
// time tells a witness whether it may have forgotten the key.
func ParseKey(org, app, text string) (Key, error) {
	id, err := uuid.Parse(text)
	if err != nil || id.Version() != 7 {
		return Key{}, ErrKey.New("Idempotency-Key = %q: allowed: a UUID version 7", text)
	}
	sum := sha256.Sum256([]byte(org + "\x00" + app + "\x00" + id.String()))
	sec, nsec := id.Time().UnixTime()
	return Key{Sum: [16]byte(sum[:16]), Minted: time.Unix(sec, nsec)}, nil
}

// Group returns a key's witnesses, the highest of the rendezvous order first.
func Group(key [16]byte, roster []wire.NodeID) []wire.NodeID {
	type ranked struct {
		id wire.NodeID
		h  uint64
	}
	all := make([]ranked, len(roster))
	for i, id := range roster {
		d := xxhash.New()
		d.Write(key[:])
		d.WriteString(string(id))
		all[i] = ranked{id, d.Sum64()}
	}
	sort.Slice(all, func(i, j int) bool { return all[i].h > all[j].h })
	out := make([]wire.NodeID, 0, MaxGroupSize)
	for i := 0; i < len(all) && i < MaxGroupSize; i++ {
		out = append(out, all[i].id)
	}
	return out
}

// Quorum is how many of g witnesses must consent. Two groups that differ in at
// most 2*Quorum(g)-g-1 members still have quorums that share a witness.
func Quorum(g int) int {
	if g < 5 {
		return g/2 + 1
	}
	return g/2 + 2
}

// minToRuleOut is how many witnesses without another holder prove that no other
// attempt can have had a quorum, also when the two groups differ in one member
// (g of 5 or more) or in none (g below 5).
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

// Hear answers a claim. A release is not answered.
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

// judge decides on a key that nobody else holds here.
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

// Tick forgets keys that no witness would accept any more.
func (w *Witness) Tick(now time.Time) {
	for k, h := range w.keys {
		if now.After(h.until) {
			delete(w.keys, k)
		}
	}
}

// Len returns the number of keys remembered.
func (w *Witness) Len() int { return len(w.keys) }

// Result is the end of an Ask.
type Result uint8

// The results of asking the witnesses.
const (
	Pending       Result = iota
	Held                 // a quorum consented: the attempt alone may run
	NotHeld              // no quorum, and no other attempt can have run
	Indeterminate        // no quorum, and another attempt may have run or be running
)

// Ask collects the votes for one attempt. The control goroutine owns it.
type Proposal struct {
	Key      Key
	Attempt  wire.Attempt
	group    []wire.NodeID
	votes    map[wire.NodeID]wire.Vote
	started  time.Time
	lastSent time.Time
}

// NewProposal starts collecting votes.
func NewProposal(key Key, attempt wire.Attempt, roster []wire.NodeID, now time.Time) *Proposal {
	return &Proposal{Key: key, Attempt: attempt, group: Group(key.Sum, roster), votes: map[wire.NodeID]wire.Vote{}, started: now}
}

// Group returns the witnesses asked.
func (a *Proposal) Group() []wire.NodeID { return a.group }

// Vote takes a witness's answer.
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

// Due returns the witnesses to ask now, again or for the first time.
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

// Claim is the message for the witnesses.
func (a *Proposal) Claim() wire.Claim {
	return wire.Claim{Key: a.Key.Sum, Minted: a.Key.Minted.UnixMilli(), Attempt: a.Attempt}
}

// Result decides what the votes so far prove.
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

// Why returns the verdict that kept the attempt from its quorum, for the answer.
func (a *Proposal) Refusal() (verdict wire.Verdict, done bool) {
	for _, v := range a.votes {
		if v.Verdict == wire.VerdictTaken {
			return v.Verdict, v.Done
		}
	}
	for _, v := range a.votes {
		if v.Verdict != wire.VerdictGranted {
			verdict = v.Verdict
		}
	}
	return verdict, false
}
