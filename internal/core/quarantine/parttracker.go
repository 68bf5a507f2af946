package quarantine

import (
	"cmp"
	"slices"
	"time"

	"github.com/silverswitch/silverswitch/internal/core/wire"
	"github.com/silverswitch/silverswitch/internal/fingerprint"
	"github.com/silverswitch/silverswitch/internal/version"
)

// This file has what a Tracker does about parts of prompts: which answers clear them, and what it
// tells other routers and hears of them.

// Answer is an attempt that was answered whole.
type Answer struct {
	Parts []PartKey // of its prompt, but for the last one
	Began time.Time
	// Framed is false if the answer had neither a length nor chunks: the end of such an answer
	// cannot be told from one that its upstream broke off.
	Framed  bool
	Content fingerprint.Fingerprint // of an unframed answer
	Org     version.ID
}

// AnsweredBy records the whole answer of an attempt at an upstream. It clears the crashes of its
// parts before it. An unframed answer counts once a later attempt at the upstream has been
// answered, or no end of the upstream has become known in time.
func (t *Tracker) AnsweredBy(up version.ID, a Answer, now time.Time) {
	t.confirmUnframed(up, a.Began, now)
	if a.Framed {
		t.clearParts(a.Parts, a.Began, now)
		return
	}
	d := suspectAttempt{a.Content, a.Org, a.Parts, false, a.Began, now}
	if _, ended := t.ended[up]; ended {
		t.addCrash(up, d, now)
		return
	}
	if list := t.unframed[up]; len(list) < maxSuspectAttempts {
		t.unframed[up] = append(list, d)
	}
}

// confirmUnframed counts the unframed answers of an upstream that ended before an attempt which
// was answered began: the upstream was alive.
func (t *Tracker) confirmUnframed(up version.ID, began, now time.Time) {
	list := t.unframed[up]
	if len(list) == 0 {
		return
	}
	t.unframed[up] = slices.DeleteFunc(list, func(d suspectAttempt) bool {
		if !d.at.Before(began) {
			return false
		}
		t.clearUnframed(d, now)
		return true
	})
}

// clearUnframed counts an unframed answer as whole.
func (t *Tracker) clearUnframed(d suspectAttempt, now time.Time) {
	t.clearParts(d.parts, d.began, now)
	if t.list.State(d.content).Crashes > 0 {
		t.Answered(d.content, now)
	}
}

// clearParts clears the crashes of parts before an attempt that was answered whole.
func (t *Tracker) clearParts(parts []PartKey, began, now time.Time) {
	for _, k := range parts {
		if t.parts.answer(k, began) {
			t.announcePart(k, now)
		}
	}
}

// announcePart plans the announcement of a change of a part. It waits for a moment, in which most
// parts that ran beside the guilty one are cleared, here or at another router.
func (t *Tracker) announcePart(k PartKey, now time.Time) {
	t.partsChanged = true
	w := t.pendingParts[k]
	if w.remaining == 0 {
		w.due = now.Add(partAnnounceDelay)
	}
	w.remaining = announceCount
	t.pendingParts[k] = w
}

// takePendingParts returns the records of parts that are due, those with the most crashes first.
// Parts that were cleared before anybody was told of them are left out.
func (t *Tracker) takePendingParts(now time.Time) []wire.PartRecord {
	var due []PartKey
	for k, w := range t.pendingParts {
		switch p := t.parts.parts[k]; {
		case p == nil || len(p.crashes) == 0 && !p.told:
			delete(t.pendingParts, k)
		case !now.Before(w.due):
			due = append(due, k)
		}
	}
	slices.SortFunc(due, func(a, b PartKey) int {
		return cmp.Or(cmp.Compare(len(t.parts.parts[b].crashes), len(t.parts.parts[a].crashes)), a.compare(b))
	})
	var out []wire.PartRecord
	for _, k := range due[:min(len(due), maxAnnounced)] {
		w := t.pendingParts[k]
		w.remaining, w.due = w.remaining-1, now.Add(announceInterval)
		t.parts.parts[k].told = true
		t.pendingParts[k] = w
		if w.remaining == 0 {
			delete(t.pendingParts, k)
		}
		if r, known := t.parts.record(k, now); known {
			out = append(out, r)
		}
	}
	return out
}

// TickParts removes expired state of parts, holds the parts that are due, and returns the records
// to send to all routers now. It is called after Tick.
func (t *Tracker) TickParts(now time.Time) []wire.PartRecord {
	if now.Sub(t.partsUpdated) >= partUpdateInterval && t.parts.update(now) {
		t.partsChanged, t.partsUpdated = true, now
		t.list.setExplained(t.parts.explained)
		t.logParts(now)
	}
	return t.takePendingParts(now)
}

// PartChange is a part that is held, or no longer is, for the log.
type PartChange struct {
	Part    PartKey
	Crashes int
	Held    bool
}

// PartChanges returns the changes since the last call.
func (t *Tracker) PartChanges() []PartChange {
	out := t.partChanges
	t.partChanges = nil
	return out
}

// logParts records which parts are held now.
func (t *Tracker) logParts(now time.Time) {
	for _, w := range t.parts.heldRecords(now) {
		t.partChanges = append(t.partChanges, PartChange{Part: PartKey{w.Service, w.Part}, Crashes: len(w.Crashes), Held: true})
	}
	if len(t.parts.held) == 0 {
		t.partChanges = append(t.partChanges, PartChange{})
	}
}

// PartView returns a copy of the held parts, and whether it has changed since the last call. rank
// is this router's rank for a part.
func (t *Tracker) PartView(rank func(PartKey) int) (PartView, bool) {
	if !t.partsChanged {
		return nil, false
	}
	t.partsChanged = false
	return t.parts.view(rank), true
}

// HandleParts handles another router's update on parts. It returns a reply when the two routers do
// not hold the same parts.
func (t *Tracker) HandleParts(from wire.NodeID, c *wire.PartUpdate, now time.Time) *wire.PartUpdate {
	for _, w := range c.Records {
		changed, ahead := t.parts.merge(w, now)
		t.partsChanged = t.partsChanged || changed
		if k := (PartKey{w.Service, w.Part}); !ahead {
			delete(t.pendingParts, k) // everybody has been told what this router knows
		} else if _, known := t.pendingParts[k]; !known {
			t.announcePart(k, now)
		}
	}
	if !c.HasChecksum || c.Checksum == t.parts.checksum() {
		return nil
	}
	if at, known := t.exchangedPart[from]; known && now.Sub(at) < exchangeInterval {
		return nil
	}
	t.exchangedPart[from] = now
	return t.HeldParts(now)
}

// HeldParts returns all records of held parts, for a router that has just started or holds
// different parts.
func (t *Tracker) HeldParts(now time.Time) *wire.PartUpdate {
	held := t.parts.heldRecords(now)
	return &wire.PartUpdate{Records: held[:min(len(held), maxHeldParts)], HasChecksum: true, Checksum: t.parts.checksum()}
}

// PartsChecksum returns a value that is the same at routers that hold the same parts.
func (t *Tracker) PartsChecksum() uint64 { return t.parts.checksum() }
