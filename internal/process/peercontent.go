package process

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/joomcode/errorx"
	"github.com/rs/zerolog"

	"github.com/silverswitch/silverswitch/internal/conn"
	"github.com/silverswitch/silverswitch/internal/core/wire"
	"github.com/silverswitch/silverswitch/internal/dispatch"
	"github.com/silverswitch/silverswitch/internal/routing"
)

// Routers read the content of the platform's store from each other. The answer holds the
// changes that the requesting router lacks where they are known, and the full content
// otherwise.

// contentRevision states which content a router already has.
type contentRevision struct {
	AsOf     uint64 `cbor:"1,keyasint"` // every change up to this revision is known
	TableRev uint64 `cbor:"2,keyasint"`
}

// content is the full view of the store, or the changes that a router lacks.
type content struct {
	Revision  uint64               `cbor:"1,keyasint"`
	AsOf      uint64               `cbor:"2,keyasint"`
	Base      uint64               `cbor:"3,keyasint,omitempty"` // Instances and Removed are changes since this revision; 0: Instances is complete
	TableRev  uint64               `cbor:"4,keyasint"`
	TableRaw  []byte               `cbor:"5,keyasint,omitempty"` // empty when the requesting router has this table
	Instances []wire.InstanceEntry `cbor:"6,keyasint,omitempty"`
	Removed   []string             `cbor:"7,keyasint,omitempty"` // IDs
	Places    []wire.PlaceEntry    `cbor:"8,keyasint,omitempty"` // evacuated places
	Sum       uint64               `cbor:"9,keyasint"`           // routing.View.Sum of the full list
	Lapsing   []lapse              `cbor:"10,keyasint,omitempty"`
	Versions  []string             `cbor:"11,keyasint,omitempty"` // software versions of Instances, in order
	Rejected  []lapse              `cbor:"12,keyasint,omitempty"` // whose entries were overwritten
}

// lapse is an instance whose entry is missing or was overwritten, and the grace period until it is
// removed.
type lapse struct {
	_     struct{} `cbor:",toarray"`
	ID    string
	ForMS uint32
}

// contentFor returns the content that a router at revision h lacks, or nil while there is no
// table.
func (rc *RoutedController) contentFor(have contentRevision, now time.Time) *content {
	if len(rc.view.TableRaw) == 0 {
		return nil
	}
	c := &content{Revision: rc.view.Revision, AsOf: rc.view.AsOf, TableRev: rc.view.TableRev, Sum: rc.view.Sum()}
	if have.TableRev != rc.view.TableRev {
		c.TableRaw = rc.view.TableRaw
	}
	list, removed, known := rc.view.ChangesSince(have.AsOf)
	if known {
		c.Base, c.Removed = have.AsOf, removed
	} else {
		list = rc.view.Instances()
	}
	for _, i := range list {
		c.Instances = append(c.Instances, entryOf(i, now))
	}
	c.Versions = wire.VersionsOf(c.Instances)
	for _, l := range rc.view.Lapsing(now) {
		c.Lapsing = append(c.Lapsing, lapse{ID: l.ID, ForMS: uint32(l.Remaining.Milliseconds())})
	}
	for _, r := range rc.view.Rejected(now) {
		c.Rejected = append(c.Rejected, lapse{ID: r.ID, ForMS: uint32(r.Remaining.Milliseconds())})
	}
	for _, e := range rc.view.Evacuations() {
		c.Places = append(c.Places, wire.PlaceEntry{Place: e.Place, Evacuated: true, Revision: e.Revision})
	}
	return c
}

// contentCache caches encoded answers for a short time, because hundreds of routers request
// the same content at the same time.
type contentCache struct {
	mu      sync.Mutex
	entries map[contentRevision]cachedContent
}

type cachedContent struct {
	raw         []byte
	at          time.Time
	publication uint64 // number of the publication that it encodes
}

// cachedContentTTL is how long an encoded answer is reused. The remaining cold periods in it
// are too long by up to this much, well within the permitted difference between routers.
const cachedContentTTL = 150 * time.Millisecond

// contentTimeout bounds the wait of a peer's content request for the control goroutine.
const contentTimeout = time.Second

// PackedContent returns the encoded content for a peer, or nil while there is none.
func (rc *RoutedController) PackedContent(q conn.Query) []byte {
	var have contentRevision
	if err := cbor.Unmarshal(q.Have, &have); err != nil {
		have = contentRevision{} // the peer gets the full content
	}
	rc.contentCache.mu.Lock()
	defer rc.contentCache.mu.Unlock()
	now, publication := rc.now(), rc.publications.Load()
	if p, known := rc.contentCache.entries[have]; known && p.publication == publication && now.Sub(p.at) < cachedContentTTL {
		return p.raw
	}
	c, _ := query(&rc.controlLoop, contentTimeout, func(now time.Time) *content { return rc.contentFor(have, now) })
	if c == nil {
		return nil
	}
	raw, err := cbor.Marshal(c)
	if err != nil {
		rc.log.Error().Err(err).Msg("content-not-encoded")
		return nil
	}
	rc.contentCache.put(have, cachedContent{raw, now, publication})
	return raw
}

// put adds an encoded answer and removes those that have expired.
func (cache *contentCache) put(have contentRevision, new cachedContent) {
	if cache.entries == nil {
		cache.entries = map[contentRevision]cachedContent{}
	}
	for other, old := range cache.entries {
		if new.at.Sub(old.at) >= cachedContentTTL {
			delete(cache.entries, other)
		}
	}
	cache.entries[have] = new
}

// knownRevision returns the revision that this router states in a content request. It
// states no known revision of the list while it needs the full content.
func (rc *RoutedController) knownRevision() contentRevision {
	if rc.needsFullContent {
		return contentRevision{TableRev: rc.view.TableRev}
	}
	return contentRevision{AsOf: rc.view.AsOf, TableRev: rc.view.TableRev}
}

// fetchContent fetches content from a peer whose revision is ahead.
func (rc *RoutedController) fetchContent(from wire.NodeID, have contentRevision) {
	defer rc.Step(dispatch.FetchContentEnded{})
	raw, err := cbor.Marshal(have)
	if err != nil {
		rc.log.Error().Err(err).Msg("question-not-encoded")
		return
	}
	q := conn.Query{Method: conn.MethodContent, Requester: string(rc.id), Have: raw}
	if raw, err = conn.Fetch(context.Background(), q, string(from), rc.sealer); err != nil {
		if errorx.IsOfType(err, conn.ErrUnreadable) {
			rc.peersContent.failed(rc.log)
		}
		rc.log.Info().Err(err).Str("peer", string(from)).Msg("content-fetch-failed")
		return
	}
	var c content
	if err := cbor.Unmarshal(raw, &c); err != nil {
		rc.peersContent.failed(rc.log)
		rc.log.Warn().Err(err).Str("peer", string(from)).Msg("content-unreadable")
		return
	}
	var t *routing.Table
	if len(c.TableRaw) > 0 {
		if t, err = rc.source.Table(c.TableRaw); err != nil {
			rc.peersContent.failed(rc.log)
			rc.log.Warn().Err(err).Str("peer", string(from)).Msg("table-unreadable")
			return
		}
	}
	rc.peersContent.used()
	rc.enqueue(func(now time.Time) { rc.applyPeerContent(from, c, t, len(raw), now) })
}

// maxUnreadableContents is how many contents of peers in a row may be unreadable until a router reads
// the store itself, because each peer may have the same.
const maxUnreadableContents = 3

// peersContent counts the contents of peers that could not be read, in a row. Its methods may be
// called by any goroutine.
type peersContent struct{ unreadable atomic.Int32 }

// failed records an answer that could not be read, and logs when they are too many.
func (p *peersContent) failed(log zerolog.Logger) {
	if p.unreadable.Add(1) == maxUnreadableContents {
		log.Warn().Int("answers", maxUnreadableContents).Msg("peers-content-unreadable")
	}
}

// used records that content was read, from a peer or from the store.
func (p *peersContent) used() { p.unreadable.Store(0) }

// isUnreadable reports whether the store has to be read in place of the peers.
func (p *peersContent) isUnreadable() bool { return p.unreadable.Load() >= maxUnreadableContents }

// applyPeerContent applies a peer's content where it is ahead of this router's.
func (rc *RoutedController) applyPeerContent(from wire.NodeID, c content, t *routing.Table, bytes int, now time.Time) {
	before := rc.tableVersion()
	rc.updateLapseGrace()
	if t != nil {
		rc.view.SetTable(t, c.TableRaw, c.TableRev)
	}
	var list []routing.Instance
	wire.SetVersions(c.Instances, c.Versions)
	for _, e := range c.Instances {
		list = append(list, instanceOf(e, now))
	}
	if c.Base <= rc.view.AsOf {
		if rc.enterEra(c.AsOf, list, now) {
			rc.steadySince = now
		}
		rc.view.ReplaceEvacuations(evacuationsOf(c.Places), c.AsOf, now)
		rc.applyPeerEntries(c, list, now)
		rc.view.Revision = max(rc.view.Revision, c.Revision)
	}
	rc.asOf.Store(rc.view.AsOf)
	rc.publish(now)
	rc.log.Info().Str("peer", string(from)).Uint64("version", rc.tableVersion()).Uint64("before", before).Uint64("revision", c.Revision).
		Uint64("since", c.Base).Int("entries", len(list)).Int("removed", len(c.Removed)).Int("bytes", bytes).Msg("content-from-peer")
	rc.checkSum(from, c, now)
}

// applyPeerEntries applies the instances of a peer's content to the view.
func (rc *RoutedController) applyPeerEntries(c content, list []routing.Instance, now time.Time) {
	switch {
	case c.Base == 0:
		rc.listGap = rc.listGap || rc.view.AsOf != 0 && c.AsOf > rc.view.AsOf
		rc.needsFullContent = rc.needsFullContent && c.AsOf < rc.view.AsOf // the view ignores an older list
		rc.view.Replace(list, c.AsOf, now)
	case c.AsOf > rc.view.AsOf:
		rc.applyPeerChanges(list, c.Removed, c.Base, c.AsOf, now)
	}
	for _, l := range c.Lapsing {
		rc.applyPeerLapse(routing.Lapse{ID: l.ID, Remaining: time.Duration(l.ForMS) * time.Millisecond}, c.AsOf, now)
	}
	for _, r := range c.Rejected {
		rc.view.Reject(r.ID, c.AsOf, now.Add(min(time.Duration(r.ForMS)*time.Millisecond, routing.RejectGrace)))
	}
}

// applyPeerLapse keeps an entry that a peer has found missing after an outage of the store, unless
// this router knows that the store was not away.
func (rc *RoutedController) applyPeerLapse(l routing.Lapse, asOf uint64, now time.Time) {
	if rc.node.StoreWasRead(now.Add(l.Remaining - routing.LapseGrace)) {
		rc.view.Remove(l.ID, asOf, now)
		return
	}
	rc.view.Lapse(l, asOf, now)
}

// applyPeerChanges applies a peer's changes up to the revision asOf.
func (rc *RoutedController) applyPeerChanges(put []routing.Instance, removed []string, from, asOf uint64, now time.Time) {
	for _, i := range put {
		rc.view.Put(i, asOf)
	}
	for _, id := range removed {
		if _, known := rc.view.Instance(id); !known && from == rc.view.AsOf { // else it may have been removed already
			rc.listGap = true // it came and left unseen
		}
		rc.view.Remove(id, asOf, now)
	}
	rc.view.Complete(asOf)
}

// checkSum compares the checksum of the list that results from a peer's changes with the
// peer's own. A difference means that this router missed an earlier change: it reads the
// full content from another router.
func (rc *RoutedController) checkSum(from wire.NodeID, c content, now time.Time) {
	if c.Base == 0 || c.Base > rc.view.AsOf || c.AsOf != rc.view.AsOf || c.Sum == rc.view.Sum() {
		return
	}
	other := rc.node.AlternativeSource(from, now)
	rc.log.Warn().Str("peer", string(from)).Uint64("as_of", c.AsOf).Str("reads_from", string(other)).Msg("content-differs")
	rc.needsFullContent = true
	if other != "" {
		go rc.fetchContent(other, rc.knownRevision())
	}
}

func evacuationsOf(places []wire.PlaceEntry) (out []routing.Evacuation) {
	for _, e := range places {
		out = append(out, routing.Evacuation{Place: e.Place, Revision: e.Revision})
	}
	return out
}

// maxDeltaEntries and maxDeltaBytes limit the entries in a delta announced by datagram. More
// do not fit well into a datagram, which holds other messages too; peers then learn the revision
// only, and fetch the content.
const (
	maxDeltaEntries = 200
	maxDeltaBytes   = 32 << 10
)

// entryOverheadBytes exceeds the encoded size of an entry without its names.
const entryOverheadBytes = 64

// announcedDelta returns the delta to announce by datagram: without its entries if there
// are too many, or if their names are too long.
func announcedDelta(d *wire.StoreDelta) *wire.StoreDelta {
	if d == nil || len(d.Put)+len(d.Removed)+len(d.Rejected) <= maxDeltaEntries && deltaBytes(d) <= maxDeltaBytes {
		return d
	}
	return &wire.StoreDelta{From: d.From, To: d.To, Table: true}
}

// deltaBytes returns an upper bound of the encoded size of a delta's entries.
func deltaBytes(d *wire.StoreDelta) (n int) {
	for _, e := range d.Put {
		n += entryOverheadBytes + len(e.ID) + len(e.Service) + len(e.Address) + len(e.Place) + len(e.Version)
	}
	for _, id := range slices.Concat(d.Removed, d.Rejected) {
		n += entryOverheadBytes + len(id)
	}
	for _, p := range d.Places {
		n += entryOverheadBytes + len(p.Place)
	}
	return n
}
