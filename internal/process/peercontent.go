package process

import (
	"context"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/silverswitch/silverswitch/internal/conn"
	"github.com/silverswitch/silverswitch/internal/core/wire"
	"github.com/silverswitch/silverswitch/internal/dispatch"
	"github.com/silverswitch/silverswitch/internal/routing"
)

// The content of the platform's store as routers read it from each other: what the asker
// lacks, where that is known, and all of it otherwise.

// held is the part of the content that a router has.
type held struct {
	AsOf     uint64 `cbor:"1,keyasint"` // every change up to this
	TableRev uint64 `cbor:"2,keyasint"`
}

// content is the view, or what a router that has a part of it lacks.
type content struct {
	Revision  uint64               `cbor:"1,keyasint"`
	AsOf      uint64               `cbor:"2,keyasint"`
	Base      uint64               `cbor:"3,keyasint,omitempty"` // Instances and Removed are the changes since; 0: all instances
	TableRev  uint64               `cbor:"4,keyasint"`
	TableRaw  []byte               `cbor:"5,keyasint,omitempty"` // empty for an asker that has it
	Instances []wire.InstanceEntry `cbor:"6,keyasint,omitempty"`
	Removed   []string             `cbor:"7,keyasint,omitempty"` // IDs
	Places    []wire.PlaceEntry    `cbor:"8,keyasint,omitempty"` // that are evacuated
	Sum       uint64               `cbor:"9,keyasint"`           // routing.View.Sum of the whole
	Lapsing   []lapse              `cbor:"10,keyasint,omitempty"`
}

// lapse is an instance whose entry is missing and that is given time.
type lapse struct {
	_     struct{} `cbor:",toarray"`
	ID    string
	ForMS uint32
}

// contentFor is what a router lacks, or nil while there is no table.
func (s *Steerer) contentFor(h held, now time.Time) *content {
	if len(s.view.TableRaw) == 0 {
		return nil
	}
	c := &content{Revision: s.view.Revision, AsOf: s.view.AsOf, TableRev: s.view.TableRev, Sum: s.view.Sum()}
	if h.TableRev != s.view.TableRev {
		c.TableRaw = s.view.TableRaw
	}
	list, removed, known := s.view.ChangesSince(h.AsOf)
	if known {
		c.Base, c.Removed = h.AsOf, removed
	} else {
		list = s.view.Instances()
	}
	for _, i := range list {
		c.Instances = append(c.Instances, entryOf(i, now))
	}
	for _, l := range s.view.Lapsing(now) {
		c.Lapsing = append(c.Lapsing, lapse{ID: l.ID, ForMS: uint32(l.Remaining.Milliseconds())})
	}
	for _, e := range s.view.Evacuations() {
		c.Places = append(c.Places, wire.PlaceEntry{Place: e.Place, Evacuated: true, Revision: e.Revision})
	}
	return c
}

// packs keeps what was packed for others lately: hundreds of routers ask for the same at
// the same time.
type packs struct {
	mu   sync.Mutex
	last map[held]pack
}

type pack struct {
	raw []byte
	at  time.Time
	no  uint64 // of the publication that it holds
}

// packedFor is how long a packed answer is given again. Cold times in it are old by as much,
// which is well within what routers may differ by.
const packedFor = 150 * time.Millisecond

// contentWait is how long a peer's question for the content waits for the control goroutine.
const contentWait = time.Second

// Packed returns the content for a peer, or nil while there is none.
func (s *Steerer) Packed(q conn.Query) []byte {
	var h held
	if err := cbor.Unmarshal(q.Have, &h); err != nil {
		h = held{} // it is given everything
	}
	s.packs.mu.Lock()
	defer s.packs.mu.Unlock()
	now, no := s.now(), s.publications.Load()
	if p, known := s.packs.last[h]; known && p.no == no && now.Sub(p.at) < packedFor {
		return p.raw
	}
	c, _ := ask(&s.controlLoop, contentWait, func(now time.Time) *content { return s.contentFor(h, now) })
	if c == nil {
		return nil
	}
	raw, err := cbor.Marshal(c)
	if err != nil {
		s.log.Error().Err(err).Msg("content-not-encoded")
		return nil
	}
	s.packs.keep(h, pack{raw, now, no})
	return raw
}

// keep takes a pack, and drops those that are too old to be given.
func (p *packs) keep(h held, new pack) {
	if p.last == nil {
		p.last = map[held]pack{}
	}
	for other, old := range p.last {
		if new.at.Sub(old.at) >= packedFor {
			delete(p.last, other)
		}
	}
	p.last[h] = new
}

// have is the part of the content that this router has.
func (s *Steerer) have() held {
	if s.wantsWhole {
		return held{TableRev: s.view.TableRev}
	}
	return held{AsOf: s.view.AsOf, TableRev: s.view.TableRev}
}

// fetch reads the content from a peer that knows more.
func (s *Steerer) fetch(from wire.NodeID, have held) {
	defer s.Step(dispatch.FetchEnded{})
	raw, err := cbor.Marshal(have)
	if err != nil {
		s.log.Error().Err(err).Msg("question-not-encoded")
		return
	}
	q := conn.Query{Method: conn.MethodContent, Requester: string(s.id), Have: raw}
	if raw, err = conn.Fetch(context.Background(), q, string(from), s.sealer); err != nil {
		s.log.Info().Err(err).Str("peer", string(from)).Msg("content-fetch-failed")
		return
	}
	var c content
	if err := cbor.Unmarshal(raw, &c); err != nil {
		s.log.Warn().Err(err).Str("peer", string(from)).Msg("content-unreadable")
		return
	}
	var t *routing.Table
	if len(c.TableRaw) > 0 {
		if t, err = s.src.Table(c.TableRaw); err != nil {
			s.log.Warn().Err(err).Str("peer", string(from)).Msg("table-unreadable")
			return
		}
	}
	s.do(func(now time.Time) { s.adopt(from, c, t, len(raw), now) })
}

// adopt takes a peer's content where it is ahead of the own.
func (s *Steerer) adopt(from wire.NodeID, c content, t *routing.Table, bytes int, now time.Time) {
	before := s.number()
	if t != nil {
		s.view.SetTable(t, c.TableRaw, c.TableRev)
	}
	var list []routing.Instance
	for _, e := range c.Instances {
		list = append(list, instanceOf(e, now))
	}
	if c.Base <= s.view.AsOf {
		s.enterEra(c.AsOf, list, now)
		s.view.ReplaceEvacuations(evacuationsOf(c.Places), c.AsOf, now)
		s.takeEntries(c, list, now)
		s.view.Revision = max(s.view.Revision, c.Revision)
	}
	s.asOf.Store(s.view.AsOf)
	s.publish(now)
	s.log.Info().Str("peer", string(from)).Uint64("version", s.number()).Uint64("before", before).Uint64("revision", c.Revision).
		Uint64("since", c.Base).Int("entries", len(list)).Int("removed", len(c.Removed)).Int("bytes", bytes).Msg("content-from-peer")
	s.checkSum(from, c, now)
}

// takeEntries takes the entries of a peer's content.
func (s *Steerer) takeEntries(c content, list []routing.Instance, now time.Time) {
	switch {
	case c.Base == 0:
		s.wantsWhole = s.wantsWhole && c.AsOf < s.view.AsOf // an older list is not taken
		s.view.Replace(list, c.AsOf, now)
	case c.AsOf > s.view.AsOf:
		s.applyChanges(list, c.Removed, c.AsOf, now)
	}
	for _, l := range c.Lapsing {
		s.view.Lapse(routing.Lapse{ID: l.ID, Remaining: time.Duration(l.ForMS) * time.Millisecond}, c.AsOf, now)
	}
}

// applyChanges takes what a peer knows of changes up to a revision.
func (s *Steerer) applyChanges(put []routing.Instance, removed []string, asOf uint64, now time.Time) {
	for _, i := range put {
		s.view.Put(i, asOf)
	}
	for _, id := range removed {
		s.view.Remove(id, asOf, now)
	}
	s.view.Complete(asOf)
}

// checkSum compares the list that results from a peer's changes with the peer's own. Where
// they differ, something was missed before: all of it is read, from another router.
func (s *Steerer) checkSum(from wire.NodeID, c content, now time.Time) {
	if c.Base == 0 || c.Base > s.view.AsOf || c.AsOf != s.view.AsOf || c.Sum == s.view.Sum() {
		return
	}
	other := s.node.Another(from, now)
	s.log.Warn().Str("peer", string(from)).Uint64("as_of", c.AsOf).Str("reads_from", string(other)).Msg("content-differs")
	s.wantsWhole = true
	if other != "" {
		go s.fetch(other, s.have())
	}
}

func evacuationsOf(places []wire.PlaceEntry) (out []routing.Evacuation) {
	for _, e := range places {
		out = append(out, routing.Evacuation{Place: e.Place, Revision: e.Revision})
	}
	return out
}

// deltaMost is how many entries a change told by datagram may hold: more do not fit well
// into one, and are read by those who are told of the revision.
const deltaMost = 200

// told is a change as it is told by datagram.
func told(d *wire.StoreDelta) *wire.StoreDelta {
	if d == nil || len(d.Put)+len(d.Removed) <= deltaMost {
		return d
	}
	return &wire.StoreDelta{From: d.From, To: d.To, Table: true}
}
