package process

import (
	"slices"
	"time"

	"github.com/silverswitch/silverswitch/internal/core/wire"
	"github.com/silverswitch/silverswitch/internal/dispatch"
	"github.com/silverswitch/silverswitch/internal/routing"
)

// entryOf returns the wire entry of an instance.
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
		Version:  i.Version,
	}
}

// instanceOf returns the instance of a wire entry from a peer.
func instanceOf(e wire.InstanceEntry, now time.Time) routing.Instance {
	return routing.Instance{
		ID:        e.ID,
		Service:   e.Service,
		Address:   e.Address,
		Place:     e.Place,
		Slots:     e.Slots,
		Draining:  e.Draining,
		Version:   e.Version,
		Born:      e.Born,
		Revision:  e.Revision,
		ColdUntil: coldUntil(time.Duration(e.ColdMS)*time.Millisecond, now),
	}
}

// coldUntil returns the time at which a cold period of length d ends, zero for none.
func coldUntil(d time.Duration, now time.Time) time.Time {
	if d <= 0 {
		return time.Time{}
	}
	return now.Add(d)
}

// ApplyListing applies content or changes read from the source. whole means that the
// listing is complete, so that instances missing from it are gone.
func (rc *RoutedController) ApplyListing(l Listing, whole bool, r reading) {
	rc.enqueue(func(now time.Time) {
		rc.applyListing(l, whole, r, now)
	})
}

func (rc *RoutedController) applyListing(l Listing, whole bool, r reading, now time.Time) {
	before, revision, asOf := rc.tableVersion(), rc.view.Revision, rc.view.AsOf
	restored := false
	rc.logOlderListing(l, whole)
	var list []routing.Instance
	var evacuated []routing.Evacuation
	if whole {
		list, evacuated = splitListing(l, now)
		list = append(list, rc.knownRejected(l)...)
		restored = rc.enterEra(l.AsOf, list, now)
	}
	if restored || !r.steady {
		rc.steadySince = now
	}
	rc.listGap = rc.listGap || whole && asOf != 0
	rc.node.ReadStore(now.Sub(rc.steadySince), r.away, restored, now)
	rc.updateLapseGrace()
	for _, c := range l.Changes {
		if whole || c.Revision > asOf { // a peer or another reading may have told of it, and of what came after
			rc.applyChange(c, now)
		}
	}
	if whole {
		rc.view.ReplaceEvacuations(evacuated, l.AsOf, now)
		rc.view.Replace(list, l.AsOf, now)
	}
	rc.view.Complete(l.AsOf)
	rc.asOf.Store(rc.view.AsOf)
	if rc.view.Revision != revision || whole {
		rc.publish(now)
	} else {
		rc.node.Step(dispatch.CaughtUp{AsOf: rc.view.AsOf}, now)
	}
	rc.node.Step(dispatch.StoreRead{Delta: announcedDelta(deltaOf(l, whole, asOf)), FullListing: whole}, now)
	if after := rc.tableVersion(); after != before {
		rc.log.Info().Uint64("version", after).Uint64("before", before).Uint64("revision", rc.view.TableRev).Msg("table-accepted")
	}
}

// updateLapseGrace makes the view keep missing entries for as long as the node takes the store to
// have been away. It must be called before changes are applied, whoever read them.
func (rc *RoutedController) updateLapseGrace() { rc.view.SetLapseGrace(rc.node.LapseGraceUntil()) }

// logOlderListing logs a listing whose revision is lower than the revision already known.
func (rc *RoutedController) logOlderListing(l Listing, whole bool) {
	if l.AsOf < rc.view.AsOf {
		rc.log.Warn().Uint64("as_of", l.AsOf).Uint64("known", rc.view.AsOf).Bool("whole", whole).Msg("source-older-than-known")
	}
}

// enterEra prepares the view for content of a later era of the store, and reports whether
// asOf belongs to a later era than the view's content.
func (rc *RoutedController) enterEra(asOf uint64, list []routing.Instance, now time.Time) bool {
	if rc.view.AsOf == 0 || routing.EraOf(asOf) <= routing.EraOf(rc.view.AsOf) {
		return false
	}
	rc.log.Warn().Uint64("as_of", asOf).Uint64("known", rc.view.AsOf).Uint64("era", routing.EraOf(asOf)).Msg("source-restored")
	rc.view.StoreRestored(list, now)
	return true
}

// applyChange applies one change of the store's content to the view.
func (rc *RoutedController) applyChange(c Change, now time.Time) {
	switch {
	case c.Err != nil || c.Rejected != "":
		if c.Err != nil {
			rc.log.Error().Err(c.Err).Uint64("revision", c.Revision).Msg("published-value-unreadable")
		}
		rc.view.Reject(c.Rejected, c.Revision, now.Add(routing.RejectGrace))
	case c.Table != nil:
		rc.view.SetTable(c.Table, c.TableRaw, c.Revision)
	case c.Removed != "":
		rc.view.Remove(c.Removed, c.Revision, now)
	case c.Put != nil:
		rc.view.Put(c.instance(now), c.Revision)
	case c.Place != nil:
		rc.view.SetEvacuated(c.Place.Place, c.Place.Evacuated, c.Revision, now)
	}
}

// instance returns the instance that the change puts, with the end of its cold period by
// this router's clock.
func (c *Change) instance(now time.Time) routing.Instance {
	i := *c.Put
	i.ColdUntil = coldUntil(c.ColdFor, now)
	return i
}

// splitListing returns the instances and evacuated places of a complete listing.
func splitListing(l Listing, now time.Time) (list []routing.Instance, evacuated []routing.Evacuation) {
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

// knownRejected returns what is known of the instances whose entries in a complete listing cannot be
// used: the entries are not missing. An entry that was created anew since then was.
func (rc *RoutedController) knownRejected(l Listing) (list []routing.Instance) {
	for _, c := range l.Changes {
		i, known := rc.view.Instance(c.Rejected)
		if anew := c.Created > rc.view.RevisionOf(c.Rejected); known && !anew {
			list = append(list, i)
		}
	}
	return list
}

// deltaOf returns the changes of a listing to announce to peers. It returns nil when the
// listing changes nothing or was read whole.
func deltaOf(l Listing, whole bool, from uint64) *wire.StoreDelta {
	if whole || len(l.Changes) == 0 || l.AsOf <= from {
		return nil
	}
	d := &wire.StoreDelta{From: from, To: l.AsOf}
	for _, c := range l.Changes {
		switch {
		case c.Table != nil:
			d.Table = true
		case c.Removed != "":
			d.Removed = append(d.Removed, c.Removed)
		case c.Rejected != "":
			d.Rejected = append(d.Rejected, c.Rejected)
		case c.Put != nil:
			isPut := func(id string) bool { return id == c.Put.ID }
			d.Removed, d.Rejected = slices.DeleteFunc(d.Removed, isPut), slices.DeleteFunc(d.Rejected, isPut) // peers apply these last
			e := entryOf(*c.Put, time.Time{})
			e.ColdMS = uint32(c.ColdFor.Milliseconds())
			d.Put = append(d.Put, e)
		case c.Place != nil:
			d.Places = append(d.Places, wire.PlaceEntry{Place: c.Place.Place, Evacuated: c.Place.Evacuated, Revision: c.Revision})
		}
	}
	return d
}

// applyPeerDelta applies changes that a peer has read from the store and announced.
func (rc *RoutedController) applyPeerDelta(o dispatch.ApplyDelta, now time.Time) {
	if o.Delta.From > rc.view.AsOf || o.Delta.To <= rc.view.AsOf {
		return // earlier changes are missing, or these are already known
	}
	rc.updateLapseGrace()
	for _, e := range o.Delta.Places {
		rc.view.SetEvacuated(e.Place, e.Evacuated, e.Revision, now)
	}
	var list []routing.Instance
	for _, e := range o.Delta.Put {
		list = append(list, instanceOf(e, now))
	}
	rc.applyPeerChanges(list, o.Delta.Removed, o.Delta.From, o.Delta.To, now)
	for _, id := range o.Delta.Rejected {
		rc.view.Reject(id, o.Delta.To, now.Add(routing.RejectGrace))
	}
	rc.asOf.Store(rc.view.AsOf)
	rc.publish(now)
}

// publish passes the view's changes on to the node, and publishes the table and the
// availability of instances for request handlers.
func (rc *RoutedController) publish(now time.Time) {
	changes, evacuated := rc.view.TakeChanges(), rc.view.Evacuations()
	c := dispatch.Catalogue{Table: rc.view.Table, Evacuated: evacuated, Revision: rc.view.Revision, AsOf: rc.view.AsOf}
	tableChanged := rc.view.Table != rc.publishedTable
	if tableChanged && rc.OnTable != nil {
		rc.OnTable(rc.view.Table.Limits)
	}
	if tableChanged && !rc.view.Table.SameServices(rc.publishedTable) {
		list := rc.view.Instances()
		c.Instances = list
		rc.publishAvailability(list, evacuated)
		clear(rc.loggedUnknownService)
		rc.logUnknownServices(list)
	} else {
		c.Incremental, c.Instances, c.Ended = true, changes.Put, changes.Ended
		rc.updateAvailability(changes, evacuated)
		rc.logUnknownServices(changes.Put)
	}
	c.Gap, rc.listGap = rc.listGap, false
	rc.publishedTable = rc.view.Table
	rc.publications.Add(1)
	rc.node.Step(c, now)
	rc.publishServiceStates(now)
	rc.table.Store(rc.view.Table)
	rc.updateReady(now)
}

// logUnknownServices logs each instance whose service is not in the table. No requests are
// sent to such an instance.
func (rc *RoutedController) logUnknownServices(list []routing.Instance) {
	if rc.view.Table == nil {
		return
	}
	for _, i := range list {
		if rc.view.Table.Services[i.Service] != nil || rc.loggedUnknownService[i.StartID()] {
			continue
		}
		rc.loggedUnknownService[i.StartID()] = true
		rc.log.Warn().Str("upstream", i.ID).Str("service", i.Service).Uint64("version", rc.tableVersion()).Msg("service-not-in-table")
	}
}
