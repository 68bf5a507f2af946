package process

import (
	"time"

	"github.com/silverswitch/silverswitch/internal/core/wire"
	"github.com/silverswitch/silverswitch/internal/dispatch"
	"github.com/silverswitch/silverswitch/internal/routing"
)

// entryOf is an instance as peers are told of it.
func entryOf(i routing.Instance, now time.Time) wire.InstanceEntry {
	return wire.InstanceEntry{
		ID:       i.ID,
		Service:  i.Service,
		Address:  i.Address,
		Place:    i.Place,
		Slots:    i.Slots,
		Draining: i.Draining,
		Born:     i.Born,
		Revision: i.Revision,
		ColdMS:   uint32(i.ColdRemaining(now).Milliseconds()),
	}
}

// instanceOf is an instance as a peer tells of it.
func instanceOf(e wire.InstanceEntry, now time.Time) routing.Instance {
	return routing.Instance{
		ID:        e.ID,
		Service:   e.Service,
		Address:   e.Address,
		Place:     e.Place,
		Slots:     e.Slots,
		Draining:  e.Draining,
		Born:      e.Born,
		Revision:  e.Revision,
		ColdUntil: coldUntil(time.Duration(e.ColdMS)*time.Millisecond, now),
	}
}

// coldUntil is the end of a cold time, zero for none.
func coldUntil(d time.Duration, now time.Time) time.Time {
	if d <= 0 {
		return time.Time{}
	}
	return now.Add(d)
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
	before, revision, asOf := s.number(), s.view.Revision, s.view.AsOf
	s.logOlder(l, whole)
	var list []routing.Instance
	var evacuated []routing.Evacuation
	if whole {
		list, evacuated = listed(l, now)
		back = s.enterEra(l.AsOf, list, now) || back
	}
	if back {
		s.view.StartLapseGrace(now)
	}
	for _, c := range l.Changes {
		s.takeChange(c, now)
	}
	if whole {
		s.view.ReplaceEvacuations(evacuated, l.AsOf, now)
		s.view.Replace(list, l.AsOf, now)
	}
	s.view.Complete(l.AsOf)
	s.asOf.Store(s.view.AsOf)
	if s.view.Revision != revision || whole {
		s.publish(now)
	} else {
		s.node.Step(dispatch.Seen{AsOf: s.view.AsOf}, now)
	}
	s.node.Step(dispatch.Sighted{Delta: told(deltaOf(l, whole, asOf)), Whole: whole, Back: back}, now)
	if after := s.number(); after != before {
		s.log.Info().Uint64("version", after).Uint64("before", before).Uint64("revision", s.view.TableRev).Msg("table-accepted")
	}
}

// logOlder writes a line for content that is as of a lower revision than is known.
func (s *Steerer) logOlder(l Listing, whole bool) {
	if l.AsOf < s.view.AsOf {
		s.log.Warn().Uint64("as_of", l.AsOf).Uint64("known", s.view.AsOf).Bool("whole", whole).Msg("source-older-than-known")
	}
}

// enterEra prepares the view for content of a later era than what it holds. It reports
// whether it is.
func (s *Steerer) enterEra(asOf uint64, list []routing.Instance, now time.Time) bool {
	if s.view.AsOf == 0 || routing.EraOf(asOf) <= routing.EraOf(s.view.AsOf) {
		return false
	}
	s.log.Warn().Uint64("as_of", asOf).Uint64("known", s.view.AsOf).Uint64("era", routing.EraOf(asOf)).Msg("source-restored")
	s.view.StoreRestored(list, now)
	return true
}

// takeChange takes one change of the store's content.
func (s *Steerer) takeChange(c Change, now time.Time) {
	switch {
	case c.Err != nil:
		s.log.Error().Err(c.Err).Uint64("revision", c.Revision).Msg("published-value-unreadable")
		s.view.Reject(c.Rejected, c.Revision)
	case c.Table != nil:
		s.view.SetTable(c.Table, c.TableRaw, c.Revision)
	case c.Removed != "":
		s.view.Remove(c.Removed, c.Revision, now)
	case c.Put != nil:
		s.view.Put(c.instance(now), c.Revision)
	case c.Place != nil:
		s.view.SetEvacuated(c.Place.Place, c.Place.Evacuated, c.Revision, now)
	}
}

// instance is the entry that a change puts, with its cold time by this router's clock.
func (c *Change) instance(now time.Time) routing.Instance {
	i := *c.Put
	i.ColdUntil = coldUntil(c.ColdFor, now)
	return i
}

// listed returns the instances and evacuations of a whole listing.
func listed(l Listing, now time.Time) (list []routing.Instance, evacuated []routing.Evacuation) {
	for _, c := range l.Changes {
		switch {
		case c.Err != nil:
		case c.Put != nil:
			list = append(list, c.instance(now))
		case c.Place != nil && c.Place.Evacuated:
			evacuated = append(evacuated, routing.Evacuation{Place: c.Place.Place, Revision: c.Revision})
		}
	}
	return list, evacuated
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
			e := entryOf(*c.Put, time.Time{})
			e.ColdMS = uint32(c.ColdFor.Milliseconds())
			d.Put = append(d.Put, e)
		case c.Place != nil:
			d.Places = append(d.Places, wire.PlaceEntry{Place: c.Place.Place, Evacuated: c.Place.Evacuated, Revision: c.Revision})
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
	for _, e := range o.Delta.Places {
		s.view.SetEvacuated(e.Place, e.Evacuated, e.Revision, now)
	}
	var list []routing.Instance
	for _, e := range o.Delta.Put {
		list = append(list, instanceOf(e, now))
	}
	s.applyChanges(list, o.Delta.Removed, o.Delta.To, now)
	s.asOf.Store(s.view.AsOf)
	s.publish(now)
}

// publish hands what has changed in the view to the node and to requests.
func (s *Steerer) publish(now time.Time) {
	changes, evacuated := s.view.TakeChanges(), s.view.Evacuations()
	c := dispatch.Catalogue{Table: s.view.Table, Evacuated: evacuated, Revision: s.view.Revision, AsOf: s.view.AsOf}
	tableChanged := s.view.Table != s.published
	if tableChanged && s.OnTable != nil {
		s.OnTable(s.view.Table.Limits)
	}
	if tableChanged && !s.view.Table.SameServices(s.published) {
		list := s.view.Instances()
		c.Instances = list
		s.publishUsable(list, evacuated)
		clear(s.unnamed)
		s.logUnnamed(list)
	} else {
		c.Part, c.Instances, c.Ended = true, changes.Put, changes.Ended
		s.updateUsable(changes, evacuated)
		s.logUnnamed(changes.Put)
	}
	s.published = s.view.Table
	s.publications.Add(1)
	s.node.Step(c, now)
	s.table.Store(s.view.Table)
	s.judgeReady(now)
}

// logUnnamed writes a line for each entry whose service no table names: nothing is sent
// there.
func (s *Steerer) logUnnamed(list []routing.Instance) {
	if s.view.Table == nil {
		return
	}
	for _, i := range list {
		if s.view.Table.Services[i.Service] != nil || s.unnamed[i.StartID()] {
			continue
		}
		s.unnamed[i.StartID()] = true
		s.log.Warn().Str("upstream", i.ID).Str("service", i.Service).Uint64("version", s.number()).Msg("service-not-in-table")
	}
}
