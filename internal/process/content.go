package process

import (
	"context"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/silverswitch/silverswitch/internal/conn"
	"github.com/silverswitch/silverswitch/internal/core/wire"
	"github.com/silverswitch/silverswitch/internal/dispatch"
	"github.com/silverswitch/silverswitch/internal/routing"
)

// content is the view as other routers fetch it.
type content struct {
	_         struct{} `cbor:",toarray"`
	Revision  uint64
	AsOf      uint64
	TableRev  uint64
	TableRaw  []byte
	Instances []routing.Instance
}

// TakeListing takes content, or changes, from the source. whole says that what
// is not listed is gone; back that the source had been away, so that entries may
// have lapsed.
func (s *Steerer) TakeListing(l Listing, whole, back bool) {
	s.do(func(now time.Time) {
		s.take(l, whole, back, now)
	})
}

func (s *Steerer) take(l Listing, whole, back bool, now time.Time) {
	if back {
		s.view.StoreReturned(now)
	}
	before, revision, asOf := s.number(), s.view.Revision, s.view.AsOf
	var list []routing.Instance
	for _, c := range l.Changes {
		switch {
		case c.Err != nil:
			s.log.Error().Err(c.Err).Uint64("revision", c.Revision).Msg("published-value-unreadable")
			s.view.Reject(c.Rejected, c.Revision)
		case c.Table != nil:
			s.view.SetTable(c.Table, c.TableRaw, c.Revision)
		case c.Removed != "":
			s.view.Remove(c.Removed, c.Revision, now)
		case c.Put != nil:
			if whole {
				list = append(list, *c.Put)
			}
			s.view.Put(*c.Put, c.Revision)
		}
	}
	if whole {
		s.view.Replace(list, l.AsOf, now)
	}
	s.view.Complete(l.AsOf)
	s.asOf.Store(s.view.AsOf)
	if s.view.Revision != revision || whole {
		s.publish(now)
	} else {
		s.node.Step(dispatch.Seen{AsOf: s.view.AsOf}, now)
	}
	s.node.Step(dispatch.Sighted{Delta: deltaOf(l, whole, asOf), Back: back}, now)
	if after := s.number(); after != before {
		s.log.Info().Uint64("version", after).Uint64("before", before).Uint64("revision", s.view.TableRev).Msg("table-accepted")
	}
}

// deltaOf is what a listing changed, for peers; nil when it changed nothing, or
// when it was read whole.
func deltaOf(l Listing, whole bool, from uint64) *wire.StoreDelta {
	if whole || len(l.Changes) == 0 || l.AsOf <= from {
		return nil
	}
	d := &wire.StoreDelta{From: from, To: l.AsOf}
	for _, c := range l.Changes {
		switch {
		case c.Table != nil:
			d.Table = true
		case c.Removed != "" || c.Rejected != "":
			d.Removed = append(d.Removed, c.Removed+c.Rejected)
		case c.Put != nil:
			i := c.Put
			d.Put = append(d.Put, wire.InstanceEntry{ID: i.ID, Service: i.Service, Address: i.Address, Place: i.Place, Slots: i.Slots, Draining: i.Draining, Born: i.Born})
		}
	}
	return d
}

// apply takes changes that a peer has read from the store.
func (s *Steerer) apply(o dispatch.Apply) {
	if o.Delta.From > s.view.AsOf || o.Delta.To <= s.view.AsOf {
		return // another source was faster
	}
	now := s.now()
	for _, e := range o.Delta.Put {
		s.view.Put(routing.Instance{ID: e.ID, Service: e.Service, Address: e.Address, Place: e.Place, Slots: e.Slots, Draining: e.Draining, Born: e.Born}, o.Delta.To)
	}
	for _, id := range o.Delta.Removed {
		s.view.Remove(id, o.Delta.To, now)
	}
	s.view.Complete(o.Delta.To)
	s.asOf.Store(s.view.AsOf)
	s.publish(now)
}

// publish hands the view to the node, to requests and to peers.
func (s *Steerer) publish(now time.Time) {
	list := s.view.Instances()
	s.node.Step(dispatch.Catalogue{Table: s.view.Table, Instances: list, Revision: s.view.Revision, AsOf: s.view.AsOf}, now)
	if s.view.Table != nil && s.OnTable != nil {
		s.OnTable(s.view.Table.Limits)
	}
	s.table.Store(s.view.Table)
	usable := make(map[string]bool, len(list))
	for _, i := range list {
		usable[i.Start()] = !i.Draining
	}
	s.logUnnamed(list)
	s.usable.Store(&usable)
	s.content.Store(&content{Revision: s.view.Revision, AsOf: s.view.AsOf, TableRev: s.view.TableRev, TableRaw: s.view.TableRaw, Instances: list})
	s.judgeReady(now)
}

// Packed returns the content for peers, or nil while there is none.
func (s *Steerer) Packed(string) []byte {
	c := s.content.Load()
	if c == nil || len(c.TableRaw) == 0 {
		return nil
	}
	raw, err := cbor.Marshal(c)
	if err != nil {
		s.log.Error().Err(err).Msg("content-not-encoded")
		return nil
	}
	return raw
}

// fetch reads the content from a peer that knows more.
func (s *Steerer) fetch(o dispatch.Fetch) {
	raw, err := conn.Fetch(context.Background(), conn.MethodVersion, string(s.id), string(o.From), s.sealer)
	if err != nil {
		s.log.Info().Err(err).Str("peer", string(o.From)).Msg("content-fetch-failed")
		return
	}
	var c content
	if err := cbor.Unmarshal(raw, &c); err != nil {
		s.log.Warn().Err(err).Str("peer", string(o.From)).Msg("content-unreadable")
		return
	}
	t, err := s.src.Table(c.TableRaw)
	if err != nil {
		s.log.Warn().Err(err).Str("peer", string(o.From)).Msg("table-unreadable")
		return
	}
	s.do(func(now time.Time) { s.adopt(o.From, c, t, now) })
}

// adopt takes a peer's content where it is ahead of the own.
func (s *Steerer) adopt(from wire.NodeID, c content, t *routing.Table, now time.Time) {
	before := s.number()
	s.view.SetTable(t, c.TableRaw, c.TableRev)
	s.view.Replace(c.Instances, c.AsOf, now)
	s.view.Revision = max(s.view.Revision, c.Revision)
	s.asOf.Store(s.view.AsOf)
	s.publish(now)
	s.log.Info().Str("peer", string(from)).Uint64("version", s.number()).Uint64("before", before).Uint64("revision", c.Revision).Msg("content-from-peer")
}

// logUnnamed writes a line for each entry whose service no table names: nothing is sent
// there.
func (s *Steerer) logUnnamed(list []routing.Instance) {
	if s.view.Table == nil {
		return
	}
	unnamed := map[string]bool{}
	for _, i := range list {
		if s.view.Table.Services[i.Service] != nil {
			continue
		}
		unnamed[i.Start()] = true
		if !s.unnamed[i.Start()] {
			s.log.Warn().Str("upstream", i.ID).Str("service", i.Service).Uint64("version", s.number()).Msg("service-not-in-table")
		}
	}
	s.unnamed = unnamed
}
